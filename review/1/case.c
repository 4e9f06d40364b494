/* Clients leave before their deadline, while a model runner reads the prompt of their request, on a
 * route whose requests may run once at most. The daemon must go on. */
#include "../stand/stand.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Clients of the model runners; of these, LEAVERS leave: 0.2 of them, the share of the site file.
 */
#define CLIENTS 10
#define LEAVERS 2
/* They leave this long after they have sent the request; half of the objective is 450 ms. */
#define LEAVE_S 0.15
/* How long the prompt of a request is read: 5,000 tokens among others. */
#define PREFILL_S 0.3
#define DECODE_S 0.5
/* Clients of the plain service, one request after the other on kept connections. */
#define ORDER_CLIENTS 12
/* Within the sheet's 110 ms. */
#define ORDER_S 0.1
#define START_S 3.
#define END_S 6.
/* RULES.md, LOST: more than so many connections. */
#define LOST_MAX 3

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r-summary\",\"host\":\"till.example\",\"pathPrefix\":"
      "\"/summary/\",\"kind\":\"non_idempotent\",\"timeoutMs\":14000,\"targetLatencyMs\":900,"
      "\"priority\":1,\"service\":\"asystent\",\"maxAttempts\":1,\"sessionAffinity\":true},"
      "{\"name\":\"r-reserve\",\"host\":\"till.example\",\"pathPrefix\":\"/reserve/\",\"kind\":"
      "\"non_idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":100,\"priority\":2,\"service\":"
      "\"zamowienia\",\"maxAttempts\":1}],\"services\":[{\"name\":\"asystent\",\"healthPath\":"
      "\"/"
      "health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
      "\"kvCapacityTokens\":100125,\"kvTokenBytes\":18432,\"linkMbps\":2900000.0,\"moves\":true,"
      "\"backups\":true,\"stride\":58,\"most\":12,\"kvRetentionS\":0.5,\"roleSwitchS\":6.0,"
      "\"pinMs\":4000.0,\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"zamowienia\","
      "\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000}}";

static Daemon router;
static unsigned indexes[ORDER_CLIENTS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool has_arrived[ORDER_CLIENTS]; /* the order in progress is at a runner */
static unsigned n_answered;
static unsigned n_summaries;
static unsigned n_lost;
static unsigned n_failed;

/* Runners: one that prefills, one that decodes, and a plain one. */
typedef enum
{
  PREFILL,
  DECODE,
  PLAIN,
} Role;

static void
answer_send (int fd, const char *id, const char *seal, const char *body)
{
  send_text (fd,
             "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n%s",
             id, seal, strlen (body), body);
}

static void
order_run (int fd, const char *id)
{
  unsigned client = 0;

  sscanf (id, "order-%u-", &client);
  has_arrived[client % ORDER_CLIENTS] = true;
  sleep_s (ORDER_S);
  answer_send (fd, id, "X-Response-Seal: 1.07.5a2.2.0.c9f2a4d1\r\n", "{}");
}

static void
runner_conn (int fd, void *data)
{
  Role role = *(const Role *)data;
  Message request;

  while (read_request (fd, &request))
    {
      char id[64] = "";
      char stage[32] = "";
      bool is_prefill;

      message_header (&request, "X-Attempt-Id", id, sizeof id);
      message_header (&request, "X-Stage", stage, sizeof stage);
      is_prefill = strcmp (stage, "prefill") == 0;
      if (id[0] == '\0')
        answer_send (fd, "none", "",
                     "{\"epoch\":1,\"next\":0,\"lost\":false,\"held\":[],\"events\":[]}");
      else if (role == PLAIN)
        order_run (fd, id);
      else if (is_prefill != (role == PREFILL))
        send_text (fd,
                   "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n"
                   "\r\n",
                   id);
      else if (is_prefill)
        {
          char body[128];

          snprintf (body, sizeof body, "{\"kvHandle\":\"k-%s\",\"tokens\":5000,\"version\":1}", id);
          sleep_s (PREFILL_S);
          record ("runner: has read the prompt of %s", id);
          answer_send (fd, id, "", body);
        }
      else
        {
          record ("runner: runs %s", id);
          sleep_s (DECODE_S);
          send_text (fd,
                     "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: "
                     "1.07.5a2.2.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\nContent-Type: "
                     "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "10\r\nid: 1\ndata: aa\n\n\r\n10\r\nid: 2\ndata: bb\n\n\r\n0\r\n\r\n",
                     id);
        }
      message_free (&request);
    }
  close (fd);
}

static void *
order_thread (void *data)
{
  unsigned client = *(const unsigned *)data;
  int fd = client_connect (router.front);
  unsigned n_sent = 0;

  for (unsigned round = 0; fd >= 0 && now_s () < END_S; round++)
    {
      Message response;
      bool is_cut;

      has_arrived[client] = false;
      n_sent++;
      send_text (fd,
                 "POST /reserve/%u-%u HTTP/1.1\r\nHost: till.example\r\nX-Attempt-Id: order-%u-%u"
                 "\r\nX-Deadline-Ms: 600\r\nContent-Length: 5\r\n\r\norder",
                 client, round, client, round);
      read_response (fd, &response, 3);
      is_cut = response.status == 0 && has_arrived[client] && round > 0;
      pthread_mutex_lock (&lock);
      n_answered += response.status == 200 && response.complete;
      n_failed += response.status != 200;
      n_lost += is_cut;
      pthread_mutex_unlock (&lock);
      if (response.status != 200)
        {
          record ("client: order-%u-%u got %s, %s at a runner", client, round,
                  response.status == 0 ? "no answer, the connection was closed" : "a failure",
                  has_arrived[client] ? "it is" : "it is not");
          message_free (&response);
          break;
        }
      message_free (&response);
    }
  record ("client: order-%u-0 and those after it: %u sent", client, n_sent);
  if (fd >= 0)
    close (fd);
  return NULL;
}

static void *
summary_thread (void *data)
{
  unsigned client = *(const unsigned *)data;
  bool leaves = has_trouble () && client < LEAVERS;
  Message response;
  int fd;

  sleep_s (START_S + client * 0.05 - now_s ());
  fd = client_connect (router.front);
  if (fd < 0)
    {
      record ("client: summary-%u finds no daemon", client);
      return NULL;
    }
  record ("client: sends summary-%u", client);
  send_text (fd,
             "POST /summary/%u HTTP/1.1\r\nHost: till.example\r\nX-Attempt-Id: summary-%u\r\n"
             "X-Model: m\r\nX-Token-Count: 5000,70\r\nX-Prompt-Prefix: 5c1e07a2:200,91bd3f%02x:4800"
             "\r\nX-Deadline-Ms: 14000\r\nContent-Length: 6\r\n\r\nprompt",
             client, client, client);
  if (leaves)
    {
      sleep_s (LEAVE_S);
      record ("client: leaves summary-%u", client);
      close (fd);
      return NULL;
    }
  read_response (fd, &response, 10);
  record ("client: summary-%u got %s", client,
          response.status == 200 ? "its answer"
          : response.status == 0 ? "no answer, the connection was closed"
                                 : "a failure");
  pthread_mutex_lock (&lock);
  n_summaries += response.status == 200 && response.complete;
  pthread_mutex_unlock (&lock);
  message_free (&response);
  close (fd);
  return NULL;
}

static void
runner_add (Store *store, const Role *role)
{
  static const char *const stages[]
      = { "\"stage\":\"prefill\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],",
          "\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],", "" };
  char key[32];
  char entry[512];

  snprintf (key, sizeof key, "servers/i-%u", (unsigned)*role);
  snprintf (
      entry, sizeof entry,
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"pl-central-a\",\"version\":"
      "\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,%s\"sequence\":1}",
      *role == PLAIN ? "zamowienia" : "asystent", server_start (runner_conn, (void *)role),
      stages[*role]);
  store_put (store, key, entry);
}

int
main (int argc, char **argv)
{
  static const Role roles[] = { PREFILL, DECODE, PLAIN };
  Store *store;
  pthread_t orders[ORDER_CLIENTS];
  pthread_t summaries[CLIENTS];
  int status = 0;
  bool has_ended;

  stand_start (argc > 1 ? argv[1] : "record.txt", 100);
  store = store_new ();
  store_put (store, "op/config", config);
  for (unsigned i = 0; i < 3; i++)
    runner_add (store, &roles[i]);
  daemon_prepare (&router, 1, store_port (store));
  daemon_start (&router);
  daemon_wait_ready (&router);
  sleep_s (1);
  for (unsigned i = 0; i < ORDER_CLIENTS; i++)
    {
      indexes[i] = i;
      pthread_create (&orders[i], NULL, order_thread, &indexes[i]);
    }
  for (unsigned i = 0; i < CLIENTS; i++)
    pthread_create (&summaries[i], NULL, summary_thread, &indexes[i]);
  for (unsigned i = 0; i < CLIENTS; i++)
    pthread_join (summaries[i], NULL);
  for (unsigned i = 0; i < ORDER_CLIENTS; i++)
    pthread_join (orders[i], NULL);
  has_ended = daemon_has_ended (&router, &status);
  if (has_ended && WIFSIGNALED (status))
    record ("platform: the daemon has ended by itself, by signal %d (%s)", WTERMSIG (status),
            strsignal (WTERMSIG (status)));
  else if (has_ended)
    record ("platform: the daemon has ended by itself, with status %d", WEXITSTATUS (status));
  record ("%u orders and %u summaries were answered, %u orders were not", n_answered, n_summaries,
          n_failed);
  record ("%s: %u kept connections were closed without an answer to what was at a sound runner",
          n_lost > LOST_MAX ? "LOST broken" : "LOST held", n_lost);
  if (!has_trouble () && (has_ended || n_summaries != CLIENTS || n_failed > 0))
    stand_exit (1);
  stand_exit (n_lost > LOST_MAX ? 1 : 0);
}
