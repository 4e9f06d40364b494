/* Runners answer before they have read a long body, with an answer that has no length. Half of the
 * connections of one daemon are reset. The clients must not get what had come until then as a
 * complete success. */
#include "../stand/stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DAEMONS 3
#define RUNNERS 3
/* Requests at each daemon at the same time. */
#define REQUESTS 4
/* Within maxBodyBytes of the configuration, 4,194,304, and more than the kernel buffers of a
 * connection take, so that the daemon still has a part of it to send. */
#define BODY_BYTES 4190000
/* The answer comes in pieces while the runner works. */
#define PIECE_BYTES 100
#define PIECES 60
#define PIECE_GAP_S 0.02
#define ANSWER_BYTES (PIECE_BYTES * PIECES)
/* When connections are reset; the answers take from 2.2 s to 3.4 s. */
#define START_S 2.
#define RESET_S 2.9

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r-upload\",\"host\":\"shop.example\",\"pathPrefix\":"
      "\"/upload/\",\"kind\":\"non_idempotent\",\"timeoutMs\":8000,\"targetLatencyMs\":1000,"
      "\"priority\":2,\"service\":\"orders\",\"maxAttempts\":1}],\"services\":[{\"name\":"
      "\"orders\","
      "\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000}}";

static Daemon daemons[DAEMONS];
static char answer[ANSWER_BYTES];
static char *body;
static unsigned indexes[DAEMONS * REQUESTS];
static unsigned n_broken;
static unsigned n_whole;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* A sound runner. */
static void
runner_conn (int fd, void *data)
{
  Message request;
  char id[64] = "";
  char bytes[65536];
  size_t left = BODY_BYTES;
  ssize_t n;

  (void)data;
  if (!read_request_head (fd, &request))
    {
      close (fd);
      return;
    }
  message_header (&request, "X-Attempt-Id", id, sizeof id);
  message_free (&request);
  record ("runner: runs %s, and answers before it has read the body", id);
  send_text (fd,
             "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: 1.07.5a2.%d.0.c9f2a4d1\r\n"
             "Content-Type: text/plain\r\n\r\n",
             id, ANSWER_BYTES);
  for (unsigned i = 0; i < PIECES; i++)
    {
      if (!send_all (fd, answer + (size_t)i * PIECE_BYTES, PIECE_BYTES))
        break;
      sleep_s (PIECE_GAP_S);
    }
  while (left > 0 && (n = read (fd, bytes, left < sizeof bytes ? left : sizeof bytes)) > 0)
    left -= (size_t)n;
  if (left == 0)
    record ("runner: has read the body of %s and closes the connection", id);
  close (fd);
}

/* The way between daemons and a runner. */
typedef struct
{
  int from;
  int to;
} Way;

static void *
forward_thread (void *data)
{
  Way way = *(Way *)data;
  char bytes[16384];
  ssize_t n;

  free (data);
  while ((n = read (way.from, bytes, sizeof bytes)) > 0 && send_all (way.to, bytes, (size_t)n))
    ;
  return NULL;
}

static void
proxy_conn (int fd, void *data)
{
  unsigned runner = *(const unsigned *)data;
  Message request;
  char id[64] = "";
  unsigned at_daemon = DAEMONS;
  unsigned number = 0;
  int send_bytes = 16384; /* small windows, as on the platform's links */
  bool is_reset;
  size_t n_bytes = 0;
  char bytes[16384];
  ssize_t n;
  Way *way = malloc (sizeof *way);
  pthread_t thread;
  int to;

  if (!read_request_head (fd, &request))
    {
      free (way);
      close (fd);
      return;
    }
  to = client_connect (runner);
  setsockopt (to, SOL_SOCKET, SO_SNDBUF, &send_bytes, sizeof send_bytes);
  message_header (&request, "X-Attempt-Id", id, sizeof id);
  sscanf (id, "d%u-%u", &at_daemon, &number);
  /* Half of the connections of the first daemon. */
  is_reset = has_trouble () && at_daemon == 0 && number % 2 == 0;
  send_all (to, request.head, strlen (request.head));
  message_free (&request);
  *way = (Way){ .from = fd, .to = to };
  pthread_create (&thread, NULL, forward_thread, way);
  while ((n = read (to, bytes, sizeof bytes)) > 0)
    {
      bool resets_now = is_reset && now_s () >= RESET_S;

      /* The other direction is at rest, as the runner isn't reading. */
      if (resets_now)
        {
          shutdown (to, SHUT_RDWR);
          pthread_join (thread, NULL);
        }
      n_bytes += (size_t)n;
      if (!send_all (fd, bytes, (size_t)n))
        break;
      if (!resets_now)
        continue;
      close_with_reset (fd);
      close (to);
      record ("network: the connection of %s is reset, %zu bytes after the beginning of the answer",
              id, n_bytes);
      return;
    }
  shutdown (fd, SHUT_WR);
  pthread_join (thread, NULL);
  close (to);
  close (fd);
}

static void *
client_thread (void *data)
{
  unsigned index = *(const unsigned *)data;
  unsigned at_daemon = index / REQUESTS;
  unsigned number = index % REQUESTS;
  int fd = client_connect (daemons[at_daemon].front);
  Message response;
  bool is_success;
  bool is_whole;

  sleep_s (START_S - now_s ());
  record ("client: sends d%u-%u with %d bytes to daemon %u", at_daemon, number, BODY_BYTES,
          at_daemon);
  send_text (fd,
             "POST /upload/%u HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: d%u-%u\r\n"
             "X-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n",
             number, at_daemon, number, BODY_BYTES);
  send_all (fd, body, BODY_BYTES);
  read_response (fd, &response, 10);
  close (fd);
  is_success = response.status >= 200 && response.status < 300 && response.complete;
  is_whole
      = response.body_bytes == ANSWER_BYTES && memcmp (response.body, answer, ANSWER_BYTES) == 0;
  record ("client: d%u-%u got status %d, %s, %zu bytes; the runner's answer has %d", at_daemon,
          number, response.status, response.complete ? "complete" : "not complete",
          response.body_bytes, ANSWER_BYTES);
  pthread_mutex_lock (&lock);
  n_broken += is_success && !is_whole;
  n_whole += is_success && is_whole;
  pthread_mutex_unlock (&lock);
  message_free (&response);
  return NULL;
}

int
main (int argc, char **argv)
{
  static unsigned runner_ports[RUNNERS];
  Store *store;
  char entry[512];
  pthread_t threads[DAEMONS * REQUESTS];

  stand_start (argc > 1 ? argv[1] : "record.txt", 100);
  body = malloc (BODY_BYTES);
  memset (body, 'b', BODY_BYTES);
  for (unsigned i = 0; i < ANSWER_BYTES; i++)
    answer[i] = (char)('a' + i % 26);
  store = store_new ();
  store_put (store, "op/config", config);
  for (unsigned i = 0; i < RUNNERS; i++)
    {
      char key[32];

      runner_ports[i] = server_start_small (runner_conn, NULL, 16384);
      snprintf (key, sizeof key, "servers/i-%u", i);
      snprintf (entry, sizeof entry,
                "{\"service\":\"orders\",\"address\":\"127.0.0.1:%u\",\"zone\":\"pl-central-a\","
                "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,"
                "\"sequence\":1}",
                server_start_small (proxy_conn, &runner_ports[i], 16384));
      store_put (store, key, entry);
    }
  daemon_prepare (daemons, DAEMONS, store_port (store));
  for (unsigned i = 0; i < DAEMONS; i++)
    daemon_start (&daemons[i]);
  for (unsigned i = 0; i < DAEMONS; i++)
    daemon_wait_ready (&daemons[i]);
  if (now_s () > START_S)
    cannot_run ("the daemons were not ready in time");
  for (unsigned i = 0; i < DAEMONS * REQUESTS; i++)
    {
      indexes[i] = i;
      pthread_create (&threads[i], NULL, client_thread, &indexes[i]);
    }
  for (unsigned i = 0; i < DAEMONS * REQUESTS; i++)
    pthread_join (threads[i], NULL);
  record ("%u of %u clients got the whole answer", n_whole, DAEMONS * REQUESTS);
  record ("%s: %u of %u clients got a success with a part of the runner's body",
          n_broken > 0 ? "MIXED broken" : "MIXED held", n_broken, DAEMONS * REQUESTS);
  if (!has_trouble () && n_whole != DAEMONS * REQUESTS)
    stand_exit (1);
  stand_exit (n_broken > 0 ? 1 : 0);
}
