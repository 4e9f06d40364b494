/* A tenant without a limit gets one while its streams are running, and then one runner turns slow.
 * Whatever the router decides about a stream that has begun, its client must get no bytes that are
 * no part of that answer. */
#define _GNU_SOURCE
#include "../stand/stand.h"

#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* One of the decode runners turns slow: one in 8 runners, at most 0.16 of them. */
#define DECODERS 7
#define CLIENTS 28
#define STREAM_EVENTS 40
/* A pause of the sheet's runners, below targetGapMs, and with the slow one's factor. */
#define EVENT_GAP_S 0.19
#define SLOW_FACTOR 5.
#define SLOW_S 7.
/* The daemon has run for longer than budgetWindowS when the streams begin. */
#define STREAMS_AT_S 12.
#define QUOTA_AT_S 14.
#define EXTRA_AT_S 15.5
#define SLOW_AT_S 16.5
#define EXTRA_CLIENTS 6
#define BYTES_MAX 65536

static const char config[]
    = "{\"version\":%u,\"routes\":[{\"name\":\"r-note\",\"host\":\"kitabu.example\","
      "\"pathPrefix\":\"/note/\",\"kind\":\"streaming\",\"timeoutMs\":14000,"
      "\"targetLatencyMs\":2000,\"priority\":2,\"service\":\"kitabu-lm\",\"maxAttempts\":2,"
      "\"authExempt\":false,\"sessionAffinity\":true,\"resumable\":true,\"targetGapMs\":300}],"
      "\"services\":[{\"name\":\"kitabu-lm\",\"healthPath\":\"/health\",\"maxConnections\":620,"
      "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,\"kvCapacityTokens\":75061,"
      "\"kvTokenBytes\":18432,\"linkMbps\":2900000.0,\"moves\":true,\"backups\":true,"
      "\"stride\":1,\"most\":12,\"kvRetentionS\":0.5,\"roleSwitchS\":6.0,\"pinMs\":4000.0,"
      "\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
      "\"tenants\":[{\"name\":\"branch\",\"apiKeys\":[\"banfqasnmgkcuyj8pjbv\"],\"priority\":1,"
      "\"unit\":\"token_stream\",\"plainTokens\":200%s}]}";

/* Settings of the site that differ from those of the stand-in. */
static const char settings[]
    = "bounds.contactMs=4000\nbounds.ackMs=6000\nbounds.catchUpS=6\nbounds.drainMs=3000\n"
      "bounds.configApplyMs=3000\nbounds.maxStretchMs=6000\nbounds.strictRevocation=false\n"
      "bounds.revokeMs=5000\nbounds.retryBudgetSlack=204\nbounds.quotaWindowS=8\n"
      "bounds.quotaOverage=0.25\nbounds.quotaSlack=120000\nbounds.recoveryS=15\n"
      "bounds.transitMs=200\n";

static Daemon router;
static unsigned indexes[CLIENTS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned n_whole;
static unsigned n_foreign;

/* Whether the runner of this number is slow now. */
static bool
is_slow (unsigned runner)
{
  double at_s = now_s ();

  return has_trouble () && runner == 1 && at_s >= SLOW_AT_S && at_s < SLOW_AT_S + SLOW_S;
}

/* Works for some time. Returns false as soon as the daemon has closed the connection: a runner
 * drops a request then. */
static bool
work (int fd, double seconds)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLRDHUP };
  double until_s = now_s () + seconds;
  double left_s;

  while ((left_s = until_s - now_s ()) > 0)
    {
      if (left_s < 0.002)
        sleep_s (left_s);
      else if (poll (&poll_fd, 1, (int)(left_s * 1000) - 1) > 0)
        return false;
    }
  return true;
}

/* Streams the events after the last one that the caller has. Returns false if the daemon has closed
 * the connection. */
static bool
runner_stream (int fd, const Message *request, const char *id, unsigned runner)
{
  char last[32] = "0";
  char event[64];

  message_header (request, "Last-Event-Id", last, sizeof last);
  record ("runner %u: runs %s after event %s", runner, id, last);
  if (!send_text (fd,
                  "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: "
                  "1.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\nContent-Type: "
                  "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                  id))
    return false;
  for (unsigned i = (unsigned)atoi (last) + 1; i <= STREAM_EVENTS; i++)
    {
      int n = snprintf (event, sizeof event, "id: %u\ndata: token %u\n\n", i, i);

      if (!work (fd, EVENT_GAP_S * (is_slow (runner) ? SLOW_FACTOR : 1.))
          || !send_text (fd, "%x\r\n%s\r\n", n, event))
        {
          record ("runner %u: the connection of %s is closed by the daemon at event %u", runner, id,
                  i);
          return false;
        }
    }
  return send_text (fd, "0\r\n\r\n");
}

/* Runner 0 prefills, the others decode. */
static void
runner_conn (int fd, void *data)
{
  unsigned runner = *(const unsigned *)data;
  Message request;
  bool is_open = true;

  while (is_open && read_request (fd, &request))
    {
      char id[64] = "";
      char stage[32] = "";
      char body[128];

      message_header (&request, "X-Attempt-Id", id, sizeof id);
      message_header (&request, "X-Stage", stage, sizeof stage);
      if (strncmp (request.head, "POST /note/", 11) != 0)
        is_open = send_text (fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                 "Content-Length: 30\r\n\r\n{\"epoch\":1,\"next\":0,\"held\":[]}");
      else if ((runner == 0) != (strcmp (stage, "prefill") == 0))
        is_open = send_text (fd,
                             "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\n"
                             "Content-Length: 0\r\n\r\n",
                             id);
      else if (runner == 0)
        {
          sleep_s (0.02);
          snprintf (body, sizeof body, "{\"kvHandle\":\"k%s\",\"tokens\":1460,\"version\":1}", id);
          is_open = send_text (fd,
                               "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Type: "
                               "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                               id, strlen (body), body);
        }
      else
        is_open = runner_stream (fd, &request, id, runner);
      message_free (&request);
    }
  close (fd);
}

static void
stream_send (int fd, const char *id, unsigned client)
{
  send_text (fd,
             "POST /note/%u HTTP/1.1\r\nHost: kitabu.example\r\nX-Attempt-Id: %s\r\nX-Api-Key: "
             "banfqasnmgkcuyj8pjbv\r\nX-Model: m\r\nX-Token-Count: 1460,80\r\nX-Prompt-Prefix: "
             "5c1e07a2:200,91bd%02x:1260\r\nX-Deadline-Ms: 14000\r\nContent-Length: "
             "10\r\n\r\n0123456789",
             client, id, client);
}

/* Reads all bytes until the connection has been silent for timeout_s or ends. */
static size_t
read_raw (int fd, char *bytes, double timeout_s)
{
  size_t n_bytes = 0;

  for (;;)
    {
      struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
      ssize_t n;

      if (n_bytes == BYTES_MAX - 1 || poll (&poll_fd, 1, (int)(timeout_s * 1000)) <= 0)
        break;
      n = recv (fd, bytes + n_bytes, BYTES_MAX - 1 - n_bytes, 0);
      if (n <= 0)
        break;
      n_bytes += (size_t)n;
      bytes[n_bytes] = '\0';
      if (n_bytes >= 5 && strcmp (bytes + n_bytes - 5, "0\r\n\r\n") == 0)
        break;
    }
  bytes[n_bytes] = '\0';
  return n_bytes;
}

/* Returns the first byte after the chunks of an answer that are as they should be. complete is set
 * if the last one is among them. */
static const char *
chunks_end (const char *at, bool *complete)
{
  *complete = false;
  for (;;)
    {
      char *digits_end;
      unsigned long size = strtoul (at, &digits_end, 16);

      if (digits_end == at || strncmp (digits_end, "\r\n", 2) != 0
          || strlen (digits_end) < 2 + size + 2 || strncmp (digits_end + 2 + size, "\r\n", 2) != 0)
        return at;
      at = digits_end + 2 + size + 2;
      if (size == 0)
        {
          *complete = true;
          return at;
        }
    }
}

static void *
client_thread (void *data)
{
  unsigned client = *(const unsigned *)data;
  char *bytes = malloc (BYTES_MAX);
  const char *body;
  const char *rest;
  char id[32];
  char line[64] = "";
  bool complete;
  unsigned n_events = 0;
  int fd;

  sleep_s (STREAMS_AT_S + client * 0.01 - now_s ());
  fd = client_connect (router.front);
  snprintf (id, sizeof id, "a%u", client);
  record ("client %u: sends %s", client, id);
  stream_send (fd, id, client);
  read_raw (fd, bytes, 6.);
  close (fd);
  body = strstr (bytes, "\r\n\r\n");
  if (strncmp (bytes, "HTTP/1.1 200 ", 13) != 0 || body == NULL)
    cannot_run ("client %u: %s got no stream: %.60s", client, id, bytes);
  rest = chunks_end (body + 4, &complete);
  for (const char *at = body; at < rest && (at = strstr (at, "id: ")) != NULL && at < rest; at++)
    n_events++;
  snprintf (line, sizeof line, "%.*s", (int)strcspn (rest, "\r\n"), rest);
  record ("client %u: %s got %u of %u events, %s%s%s", client, id, n_events, STREAM_EVENTS,
          complete ? "complete" : "not complete", line[0] != '\0' ? "; then, in the stream: " : "",
          line);
  pthread_mutex_lock (&lock);
  n_whole += complete && n_events == STREAM_EVENTS && rest[0] == '\0';
  n_foreign += strstr (rest, "HTTP/1.1 ") != NULL;
  pthread_mutex_unlock (&lock);
  free (bytes);
  return NULL;
}

/* The tenant goes on sending, beyond its new limit. */
static void
extra_streams (void)
{
  for (unsigned i = 0; i < EXTRA_CLIENTS; i++)
    {
      char bytes[4096];
      char id[32];
      int fd = client_connect (router.front);
      ssize_t n;

      snprintf (id, sizeof id, "b%u", i);
      record ("tenant: sends %s", id);
      stream_send (fd, id, CLIENTS + i);
      n = recv (fd, bytes, sizeof bytes - 1, 0);
      bytes[n > 0 ? n : 0] = '\0';
      record ("tenant: %s got %.*s", id, (int)strcspn (bytes, "\r\n"), bytes);
      close (fd);
      sleep_s (0.1);
    }
}

static void
config_put (Store *store, unsigned version, const char *quota)
{
  char text[4096];

  snprintf (text, sizeof text, config, version, quota);
  store_put (store, "op/config", text);
  record ("operator: configuration %u, the tenant has %s", version,
          quota[0] != '\0' ? quota + 1 : "no limit");
}

int
main (int argc, char **argv)
{
  Store *store;
  char entry[512];
  pthread_t threads[CLIENTS];
  FILE *file;

  for (unsigned i = 0; i < sizeof indexes / sizeof indexes[0]; i++)
    indexes[i] = i;
  stand_start (argc > 1 ? argv[1] : "record.txt", 100);
  store = store_new ();
  config_put (store, 1, "");
  for (unsigned i = 0; i <= DECODERS; i++)
    {
      char key[32];

      snprintf (key, sizeof key, "servers/i-%u", i);
      snprintf (entry, sizeof entry,
                "{\"service\":\"kitabu-lm\",\"address\":\"127.0.0.1:%u\",\"zone\":"
                "\"pl-central-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
                "\"coldRemainingMs\":0,\"stage\":\"%s\",\"models\":[{\"name\":\"m\",\"version\":1,"
                "\"adapters\":[]}],\"sequence\":1,\"born\":%lld}",
                server_start (runner_conn, &indexes[i]), i == 0 ? "prefill" : "decode",
                (long long)time (NULL) * 1000);
      store_put (store, key, entry);
    }
  daemon_prepare (&router, 1, store_port (store));
  file = fopen (router.settings, "a");
  if (file == NULL)
    cannot_run ("%s cannot be written", router.settings);
  fputs (settings, file);
  fclose (file);
  daemon_start (&router);
  daemon_wait_ready (&router);
  for (unsigned i = 0; i < CLIENTS; i++)
    pthread_create (&threads[i], NULL, client_thread, &indexes[i]);
  sleep_s (QUOTA_AT_S - now_s ());
  config_put (store, 2, ",\"ratePerS\":500,\"burst\":500");
  sleep_s (EXTRA_AT_S - now_s ());
  extra_streams ();
  sleep_s (SLOW_AT_S - now_s ());
  if (has_trouble ())
    record ("runner 1 turns slow: %g times as long for %g s", SLOW_FACTOR, SLOW_S);
  for (unsigned i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  record ("%u of %u streams are whole, %u have bytes of another answer inside", n_whole, CLIENTS,
          n_foreign);
  if (!has_trouble () && n_whole != CLIENTS)
    stand_exit (1);
  record ("MIXED %s", n_foreign > 0 ? "broken" : "held");
  stand_exit (n_foreign > 0 ? 1 : 0);
}
