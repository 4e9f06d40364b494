#include "fakes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "libmangofork/table.h"

#define KEY_BYTES 128

/* Number of executions of the order with one key. */
typedef struct
{
  char key[KEY_BYTES];
  uint64_t n_runs;
  UT_hash_handle hh;
} RunCount;

/* A call in execution. It completes even if its connection has closed. */
typedef struct PendingCall PendingCall;
struct PendingCall
{
  FakePlain *plain;
  FakeConn *conn; /* NULL once the connection has closed */
  ev_timer timer;
  char key[KEY_BYTES]; /* "" for a read */
  PendingCall *next;
};

/* Fault injected into the next calls. */
typedef enum
{
  PLAIN_FAULT_NONE,
  PLAIN_FAULT_DIE_BEFORE, /* the connection is reset before the call is executed */
  PLAIN_FAULT_DIE_AFTER,  /* the call is executed, then the connection is reset */
  PLAIN_FAULT_CUT,        /* the call is executed, but its answer is truncated */
  PLAIN_FAULT_REFUSE,     /* the call is refused and not executed */
  PLAIN_FAULT_ERROR,      /* the call is executed and answered with status 500 */
  PLAIN_FAULT_COUNT,
} PlainFault;

static const char *const fault_names[PLAIN_FAULT_COUNT] = {
  [PLAIN_FAULT_NONE] = "none",           [PLAIN_FAULT_DIE_BEFORE] = "die-before",
  [PLAIN_FAULT_DIE_AFTER] = "die-after", [PLAIN_FAULT_CUT] = "cut",
  [PLAIN_FAULT_REFUSE] = "refuse",       [PLAIN_FAULT_ERROR] = "error",
};

struct FakePlain
{
  struct ev_loop *loop;
  char name[MF_NAME_BYTES];
  FakeHttp *http;
  uint64_t work_us;
  PlainFault fault;
  uint64_t n_faults_left; /* number of further calls with the fault */
  bool leaving;
  bool silent;
  uint64_t n_calls;
  uint64_t n_reads;
  uint64_t n_refused;
  RunCount *run_counts;
  PendingCall *pending_calls;
  FakePlain *next;
};

static void
pending_calls_free (FakePlain *plain)
{
  PendingCall *pending_call = plain->pending_calls;

  plain->pending_calls = NULL;
  while (pending_call != NULL)
    {
      PendingCall *next = pending_call->next;

      ev_timer_stop (plain->loop, &pending_call->timer);
      free (pending_call);
      pending_call = next;
    }
}

static void
pending_call_free (PendingCall *pending_call)
{
  PendingCall **at = &pending_call->plain->pending_calls;

  while (*at != pending_call)
    at = &(*at)->next;
  *at = pending_call->next;
  ev_timer_stop (pending_call->plain->loop, &pending_call->timer);
  free (pending_call);
}

static RunCount *
run_count_add (FakePlain *plain, const char *key)
{
  RunCount *run_count = calloc (1, sizeof *run_count);

  if (run_count == NULL)
    abort ();
  mf_name_set (run_count->key, sizeof run_count->key, key);
  HASH_ADD_STR (plain->run_counts, key, run_count);
  return run_count;
}

static uint64_t
count_run (FakePlain *plain, const char *key)
{
  RunCount *run_count = NULL;

  if (*key == '\0')
    {
      plain->n_reads++;
      return 0;
    }
  HASH_FIND_STR (plain->run_counts, key, run_count);
  if (run_count == NULL)
    run_count = run_count_add (plain, key);
  return ++run_count->n_runs;
}

static PlainFault
consume_fault (FakePlain *plain)
{
  if (plain->n_faults_left == 0)
    return PLAIN_FAULT_NONE;
  plain->n_faults_left--;
  return plain->fault;
}

static void
send_truncated_answer (FakeConn *conn, const char *body)
{
  char text[512];
  int n = snprintf (text, sizeof text, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%.8s",
                    strlen (body), body);

  fake_conn_send_raw (conn, text, (size_t)n);
  fake_conn_close (conn, false);
}

/* Executes the call and sends its answer, or what the injected fault leaves of it. */
static void
on_work_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  static const char headers[] = "Content-Type: application/json\r\n";
  PendingCall *pending_call = timer->data;
  FakePlain *plain = pending_call->plain;
  FakeConn *conn = pending_call->conn;
  PlainFault fault = consume_fault (plain);
  uint64_t n_runs = count_run (plain, pending_call->key);
  char body[KEY_BYTES + MF_NAME_BYTES + 64];
  int n;

  (void)loop;
  (void)events;
  n = snprintf (body, sizeof body, "{\"by\":\"%s\",\"order\":\"%s\",\"run\":%llu}", plain->name,
                pending_call->key, (unsigned long long)n_runs);
  pending_call_free (pending_call);
  if (conn == NULL)
    return;
  if (fault == PLAIN_FAULT_DIE_AFTER)
    fake_conn_close (conn, true);
  else if (fault == PLAIN_FAULT_CUT)
    send_truncated_answer (conn, body);
  else
    fake_conn_answer (conn, fault == PLAIN_FAULT_ERROR ? 500 : 200, headers, body, (size_t)n);
}

static void
refuse (FakePlain *plain, FakeConn *conn)
{
  const char *headers = plain->leaving ? "Mangofork-Ran: no\r\nMangofork-Leaving: yes\r\n"
                                       : "Mangofork-Ran: no\r\n";

  plain->n_refused++;
  fake_conn_answer (conn, 503, headers, "{}", 2);
}

static void
on_request (FakeConn *conn, const FakeHttpRequest *request, void *data)
{
  FakePlain *plain = data;
  bool is_order = strcmp (request->method, "POST") == 0;
  json_object *body = is_order ? json_tokener_parse (request->body) : NULL;
  PendingCall *pending_call;

  plain->n_calls++;
  if (plain->silent)
    return;
  if (plain->leaving || (plain->n_faults_left > 0 && plain->fault == PLAIN_FAULT_REFUSE))
    {
      consume_fault (plain);
      refuse (plain, conn);
      return;
    }
  if (plain->n_faults_left > 0 && plain->fault == PLAIN_FAULT_DIE_BEFORE)
    {
      consume_fault (plain);
      fake_conn_close (conn, true);
      return;
    }
  pending_call = calloc (1, sizeof *pending_call);
  if (pending_call == NULL)
    abort ();
  pending_call->plain = plain;
  pending_call->conn = conn;
  if (is_order)
    mf_name_set (pending_call->key, sizeof pending_call->key,
                 fake_setting_text (body, "order", "unnamed"));
  pending_call->next = plain->pending_calls;
  plain->pending_calls = pending_call;
  ev_timer_init (&pending_call->timer, on_work_timer, (double)plain->work_us / 1e6, 0.0);
  pending_call->timer.data = pending_call;
  ev_timer_start (plain->loop, &pending_call->timer);
  json_object_put (body);
}

static void
on_closed (FakeConn *conn, void *data)
{
  FakePlain *plain = data;

  for (PendingCall *pending_call = plain->pending_calls; pending_call != NULL;
       pending_call = pending_call->next)
    {
      if (pending_call->conn == conn)
        pending_call->conn = NULL;
    }
}

bool
fake_plain_fault (FakePlain *plain, const char *kind, uint64_t value)
{
  for (PlainFault fault = PLAIN_FAULT_NONE; fault < PLAIN_FAULT_COUNT; fault++)
    {
      if (strcmp (kind, fault_names[fault]) != 0)
        continue;
      plain->fault = fault;
      plain->n_faults_left = value;
      return true;
    }
  if (strcmp (kind, "slow") == 0)
    plain->work_us = value * MF_US_PER_MS;
  else if (strcmp (kind, "leave") == 0)
    plain->leaving = value != 0;
  else if (strcmp (kind, "silent") == 0)
    plain->silent = value != 0;
  else if (strcmp (kind, "kill") == 0)
    {
      /* Calls in execution are lost. */
      fake_http_stop (plain->http);
      pending_calls_free (plain);
    }
  else if (strcmp (kind, "restart") == 0)
    fake_http_start (plain->http);
  else
    return false;
  return true;
}

json_object *
fake_plain_ledger (const FakePlain *plain)
{
  json_object *row = json_object_new_object ();
  json_object *run_counts = json_object_new_object ();

  for (const RunCount *run_count = plain->run_counts; run_count != NULL;
       run_count = run_count->hh.next)
    fake_add_number (run_counts, run_count->key, run_count->n_runs);
  fake_add_text (row, "name", plain->name);
  fake_add_number (row, "calls", plain->n_calls);
  fake_add_number (row, "reads", plain->n_reads);
  fake_add_number (row, "refused", plain->n_refused);
  json_object_object_add (row, "runs", run_counts);
  return row;
}

FakePlain *
fake_plain_new (struct ev_loop *loop, FakePlain **list, json_object *settings)
{
  static const FakeHttpCallbacks callbacks = { .on_request = on_request, .on_closed = on_closed };
  FakePlain *plain = calloc (1, sizeof *plain);

  if (plain == NULL)
    abort ();
  plain->loop = loop;
  mf_name_set (plain->name, sizeof plain->name, fake_setting_text (settings, "name", "plain"));
  plain->work_us = fake_setting (settings, "work_ms", 2) * MF_US_PER_MS;
  plain->http = fake_http_new (loop, fake_setting_text (settings, "address", "127.0.0.1:0"),
                               &callbacks, plain);
  plain->next = *list;
  *list = plain;
  return plain;
}

void
fake_plain_free (FakePlain *plain)
{
  RunCount *run_count = plain->run_counts;

  fake_http_free (plain->http);
  pending_calls_free (plain);
  HASH_CLEAR (hh, plain->run_counts);
  while (run_count != NULL)
    {
      RunCount *next = run_count->hh.next;

      free (run_count);
      run_count = next;
    }
  free (plain);
}

const char *
fake_plain_name (const FakePlain *plain)
{
  return plain->name;
}

FakePlain *
fake_plain_next (FakePlain *plain)
{
  return plain->next;
}
