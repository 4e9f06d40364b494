/* A runner answers before it has read a long body, with an answer that has no length, and its
 * connection is reset on the way. The client must not get that as a complete success. */
#include "../stand/stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define REQUESTS 100
/* Of these, so many are long and have an answer that breaks off: 0.02, the usual share of garbled
 * answers. */
#define LONG_EACH 50
#define IS_LONG(i) ((i) % LONG_EACH == LONG_EACH / 2)
/* Within maxBodyBytes of the configuration, 4,194,304, and more than the kernel buffers of a
 * connection take, so that the daemon still has a part of it to send. */
#define LONG_BYTES 4190000
#define SHORT_BYTES 600
#define ANSWER_BYTES 6000
/* What the runner has sent of its answer when the connection is reset. */
#define SENT_BYTES 2000

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r-upload\",\"host\":\"shop.example\",\"pathPrefix\":"
      "\"/upload/\",\"kind\":\"non_idempotent\",\"timeoutMs\":8000,\"targetLatencyMs\":1000,"
      "\"priority\":2,\"service\":\"orders\",\"maxAttempts\":1}],\"services\":[{\"name\":"
      "\"orders\","
      "\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000}}";

static char answer[ANSWER_BYTES];

/* Reads and discards the body, so that the connection ends without a reset. */
static void
drain (int fd, size_t n_bytes)
{
  char bytes[65536];
  ssize_t n;

  while (n_bytes > 0 && (n = read (fd, bytes, n_bytes < sizeof bytes ? n_bytes : sizeof bytes)) > 0)
    n_bytes -= (size_t)n;
}

/* Answers a long request before its body has been read, without a length. */
static void
answer_early (int fd, const char *id, size_t n_bytes)
{
  record ("runner: runs %s, and answers before it has read the body", id);
  send_text (fd,
             "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: 1.07.5a2.%d.0.c9f2a4d1\r\n"
             "Content-Type: text/plain\r\n\r\n",
             id, ANSWER_BYTES);
  send_all (fd, answer, SENT_BYTES / 2);
  sleep_s (0.3);
  send_all (fd, answer + SENT_BYTES / 2, SENT_BYTES / 2);
  if (has_trouble ())
    {
      close_with_reset (fd);
      record ("runner: the connection of %s was reset after %d of %d bytes of the answer", id,
              SENT_BYTES, ANSWER_BYTES);
      return;
    }
  send_all (fd, answer + SENT_BYTES, ANSWER_BYTES - SENT_BYTES);
  drain (fd, n_bytes);
  record ("runner: the answer of %s is complete, the connection is closed", id);
  close (fd);
}

static void
runner_conn (int fd, void *data)
{
  Message request;

  (void)data;
  while (read_request_head (fd, &request))
    {
      char id[64] = "";
      char length[32] = "0";
      size_t n_bytes;

      message_header (&request, "X-Attempt-Id", id, sizeof id);
      message_header (&request, "Content-Length", length, sizeof length);
      message_free (&request);
      n_bytes = strtoul (length, NULL, 10);
      if (n_bytes == LONG_BYTES)
        {
          answer_early (fd, id, n_bytes);
          return;
        }
      drain (fd, n_bytes);
      send_text (fd,
                 "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: 1.07.5a2.%d.0.c9f2a4d1"
                 "\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n",
                 id, ANSWER_BYTES, ANSWER_BYTES);
      send_all (fd, answer, ANSWER_BYTES);
    }
  close (fd);
}

int
main (int argc, char **argv)
{
  Daemon daemon;
  Store *store;
  char entry[512];
  char *body = malloc (LONG_BYTES);
  unsigned n_broken = 0;
  unsigned n_whole = 0;

  stand_start (argc > 1 ? argv[1] : "record.txt", 100);
  memset (body, 'b', LONG_BYTES);
  for (unsigned i = 0; i < ANSWER_BYTES; i++)
    answer[i] = (char)('a' + i % 26);
  store = store_new ();
  store_put (store, "op/config", config);
  snprintf (entry, sizeof entry,
            "{\"service\":\"orders\",\"address\":\"127.0.0.1:%u\",\"zone\":\"pl-central-a\","
            "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,"
            "\"sequence\":1}",
            server_start_small (runner_conn, NULL, 16384));
  store_put (store, "servers/i-1", entry);
  daemon_prepare (&daemon, 1, store_port (store));
  daemon_start (&daemon);
  daemon_wait_ready (&daemon);
  sleep_s (1);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      int fd = client_connect (daemon.front);
      int n_bytes = IS_LONG (i) ? LONG_BYTES : SHORT_BYTES;
      Message response;
      bool is_success;
      bool is_whole;

      if (IS_LONG (i))
        record ("client: sends a%u with %d bytes", i, n_bytes);
      send_text (fd,
                 "POST /upload/%u HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a%u\r\n"
                 "X-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n",
                 i, i, n_bytes);
      send_all (fd, body, (size_t)n_bytes);
      read_response (fd, &response, 10);
      close (fd);
      is_success = response.status >= 200 && response.status < 300 && response.complete;
      is_whole = response.body_bytes == ANSWER_BYTES
                 && memcmp (response.body, answer, ANSWER_BYTES) == 0;
      if (IS_LONG (i) || !is_success || !is_whole)
        record ("client: a%u got status %d, %s, %zu of the %d bytes of the answer", i,
                response.status, response.complete ? "complete" : "not complete",
                response.body_bytes, ANSWER_BYTES);
      n_broken += is_success && !is_whole;
      n_whole += is_success && is_whole;
      message_free (&response);
    }
  record ("%u requests were sent, %u of %u bytes, the others of %u; %u got the whole answer",
          REQUESTS, REQUESTS / LONG_EACH, LONG_BYTES, SHORT_BYTES, n_whole);
  if (!has_trouble () && n_whole != REQUESTS)
    {
      record ("without the disruption %u of %d answers are whole", n_whole, REQUESTS);
      stand_exit (1);
    }
  record ("%s: %u of %d clients got a success with a part of the runner's body",
          n_broken > 0 ? "MIXED broken" : "MIXED held", n_broken, REQUESTS);
  stand_exit (n_broken > 0 ? 1 : 0);
}
