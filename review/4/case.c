/* A planned stop. Clients keep their connections; on these, streams that began before SIGTERM end
 * shortly after the third second of the stop, and the clients send the next request at once. The
 * daemon must answer or refuse it, and not accept it and cut it off. */
#include "../stand/stand.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define CLIENTS 8
#define STREAM_EVENTS 130
#define EVENT_GAP_S 0.046
/* Length of a stream: 130 events, the most of the sheet, with pauses below those that it allows. */
#define STREAM_S (STREAM_EVENTS * EVENT_GAP_S)
/* SIGTERM comes at this time. The streams of the first round end this long after it, and the
 * further ones CLIENT_STEP_S later each. */
#define TERM_AT_S 8.
#define FIRST_END_S 3.13
#define CLIENT_STEP_S 0.014
#define GRACE_S 8.
/* RULES.md, LOST: a request that was sent later than this after SIGTERM is not excused by a runner
 * that is still at work at the end. */
#define EXCUSED_S 3.

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r-report\",\"host\":\"till.example\",\"pathPrefix\":"
      "\"/report/\",\"kind\":\"streaming\",\"timeoutMs\":14000,\"targetLatencyMs\":900,"
      "\"priority\":1,\"service\":\"asystent\",\"maxAttempts\":1,\"sessionAffinity\":true,"
      "\"resumable\":false,\"targetGapMs\":300}],\"services\":[{\"name\":\"asystent\","
      "\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,"
      "\"engine\":{\"slots\":64,\"kvCapacityTokens\":100125,\"kvTokenBytes\":18432,"
      "\"linkMbps\":2900000.0,\"moves\":true,\"backups\":true,\"stride\":1,\"most\":12,"
      "\"kvRetentionS\":0.5,\"roleSwitchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,"
      "\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static Daemon router;
static unsigned indexes[CLIENTS];
static double term_s; /* when SIGTERM was sent; 0: not */
static unsigned n_lost;
static unsigned n_whole;
static unsigned n_second;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* One of a runner that prefills, or one that decodes. */
static void
runner_conn (int fd, void *data)
{
  bool prefills = data != NULL;
  Message request;

  while (read_request (fd, &request))
    {
      char id[64] = "";
      char stage[32] = "";
      bool is_open = true;

      message_header (&request, "X-Attempt-Id", id, sizeof id);
      message_header (&request, "X-Stage", stage, sizeof stage);
      if (strncmp (request.head, "POST /report/", 13) != 0)
        send_text (
            fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                "59\r\n\r\n{\"epoch\":1,\"next\":0,\"lost\":false,\"held\":[],\"events\":[] }   ");
      else if (prefills != (strcmp (stage, "prefill") == 0))
        send_text (fd,
                   "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: "
                   "0\r\n\r\n",
                   id);
      else if (prefills)
        {
          char body[128];

          sleep_s (0.03);
          snprintf (body, sizeof body, "{\"kvHandle\":\"k%s\",\"tokens\":1460,\"version\":1}", id);
          send_text (fd,
                     "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Type: application/json\r\n"
                     "Content-Length: %zu\r\n\r\n%s",
                     id, strlen (body), body);
        }
      else
        {
          char event[300];
          char text[261];

          record ("runner: runs %s", id);
          memset (text, 't', sizeof text - 1);
          text[sizeof text - 1] = '\0';
          send_text (fd,
                     "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: "
                     "1.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\nContent-Type: "
                     "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                     id);
          for (unsigned i = 1; i <= STREAM_EVENTS && is_open; i++)
            {
              int n = snprintf (event, sizeof event, "id: %u\ndata: %s\n\n", i, text);

              sleep_s (EVENT_GAP_S);
              is_open = send_text (fd, "%x\r\n%s\r\n", n, event);
              if (!is_open)
                record ("runner: the connection of %s is closed by the daemon at event %u", id, i);
            }
          if (is_open)
            send_text (fd, "0\r\n\r\n");
        }
      message_free (&request);
      if (!is_open)
        break;
    }
  close (fd);
}

/* Sends one stream on an open connection and reads it to its end. */
static void
stream_run (int fd, const char *id, unsigned client, unsigned round)
{
  Message response;
  double sent_s = now_s ();
  double after_s = term_s > 0 ? sent_s - term_s : -1;
  double ended_s;
  unsigned n_events = 0;

  send_text (fd,
             "POST /report/%u-%u HTTP/1.1\r\nHost: till.example\r\nX-Attempt-Id: %s\r\nX-Model: "
             "m\r\nX-Token-Count: 1460,130\r\nX-Prompt-Prefix: 5c1e07a2:200,91bd%02x%02x:1260\r\n"
             "X-Deadline-Ms: 14000\r\nContent-Length: 10\r\n\r\n0123456789",
             client, round, id, client, round);
  read_response (fd, &response, 16);
  ended_s = now_s ();
  for (const char *at = response.body; at != NULL && (at = strstr (at, "id: ")) != NULL; at++)
    n_events++;
  record ("client %u: %s sent %+.3f s after SIGTERM got status %d, %u of %d events, %s", client, id,
          after_s, response.status, n_events, STREAM_EVENTS,
          response.complete ? "complete" : "the connection ended before the answer's end");
  pthread_mutex_lock (&lock);
  n_second += round > 0;
  n_whole += response.status == 200 && response.complete && n_events == STREAM_EVENTS;
  /* Taken by the daemon and given to a runner, as its first events show, and then cut. */
  n_lost += after_s > EXCUSED_S && response.status == 200 && !response.complete && n_events > 0
            && ended_s < term_s + GRACE_S + 1 && ended_s - sent_s < 14 * 0.7;
  pthread_mutex_unlock (&lock);
  message_free (&response);
}

static void *
client_thread (void *data)
{
  unsigned client = *(const unsigned *)data;
  int fd;
  char id[32];

  sleep_s (TERM_AT_S + FIRST_END_S + client * CLIENT_STEP_S - STREAM_S - 0.13 - now_s ());
  fd = client_connect (router.front);
  snprintf (id, sizeof id, "a%u", client);
  stream_run (fd, id, client, 0);
  snprintf (id, sizeof id, "b%u", client);
  stream_run (fd, id, client, 1);
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  Store *store;
  char entry[512];
  pthread_t threads[CLIENTS];
  int status = 0;

  for (unsigned i = 0; i < sizeof indexes / sizeof indexes[0]; i++)
    indexes[i] = i;
  stand_start (argc > 1 ? argv[1] : "record.txt", 100);
  store = store_new ();
  store_put (store, "op/config", config);
  for (unsigned i = 0; i < 2; i++)
    {
      char key[32];

      snprintf (key, sizeof key, "servers/i-%u", i);
      snprintf (entry, sizeof entry,
                "{\"service\":\"asystent\",\"address\":\"127.0.0.1:%u\",\"zone\":\"pl-central-a\","
                "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,"
                "\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                "\"sequence\":1}",
                server_start (runner_conn, i == 0 ? &lock : NULL), i == 0 ? "prefill" : "decode");
      store_put (store, key, entry);
    }
  daemon_prepare (&router, 1, store_port (store));
  daemon_start (&router);
  daemon_wait_ready (&router);
  for (unsigned i = 0; i < CLIENTS; i++)
    pthread_create (&threads[i], NULL, client_thread, &indexes[i]);
  sleep_s (TERM_AT_S - now_s ());
  if (has_trouble ())
    {
      term_s = now_s ();
      kill (router.pid, SIGTERM);
      record ("platform: SIGTERM, %g s of grace", GRACE_S);
    }
  for (unsigned i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  if (!has_trouble () && n_whole != 2 * CLIENTS)
    {
      record ("without the disruption %u of %u streams are whole", n_whole, 2 * CLIENTS);
      stand_exit (1);
    }
  if (has_trouble () && daemon_has_ended (&router, &status))
    record ("platform: the daemon had ended by itself");
  record ("%s: %u requests that were sent later than 3 s after SIGTERM were passed on and cut off",
          n_lost > 0 ? "LOST broken" : "LOST held", n_lost);
  stand_exit (n_lost > 0 ? 1 : 0);
}
