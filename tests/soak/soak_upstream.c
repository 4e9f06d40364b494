#include "soak_upstream.h"

#include "tests/fakes/upstream.h"

#include "libmangofork/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUNS_MAX 65536
/* Own parts of prompts that an engine holds; those of earlier requests are evicted. */
#define HELD_PARTS_MAX 64
#define HELD_PART_BYTES 24
#define ACTIVE_RUNS_MAX 512
#define ID_BYTES 40
/* Percentage of the requests that an upstream in a misbehaving mode mistreats. */
#define MISBEHAVING_PERCENT 60
/* Crashes after which a request, or requests with a part, must not be sent any more. */
#define CRASHES_OF_REQUEST_MAX 3
#define CRASHES_OF_PART_MAX 5

typedef struct
{
  char id[ID_BYTES];
  uint32_t n_runs;
} RunCount;

struct SoakLedger
{
  uint32_t numbering; /* of the events of streams, in numberings */
  RunCount rows[RUNS_MAX];
  uint32_t n_rows;
  uint32_t n_reserved_headers;
  uint64_t grace_us;
  SoakCrasher crashers[SOAK_CRASHERS_MAX];
  SoakCrasher deadly_parts[SOAK_DEADLY_PARTS_MAX];
  bool deadly_parts_ended;
  SoakArrivalCountsFunc arrival_counts; /* for requests with deadly parts; NULL: all count */
  void *arrival_data;
  SoakLateArrivalFunc late_arrival; /* may be NULL */
  void *late_data;
};

/* One request that runs. */
typedef struct
{
  SoakUpstream *upstream;
  FakeUpstreamConn *conn; /* NULL: free */
  char id[ID_BYTES];
  ev_timer timer;
  uint32_t next_event; /* of a stream; the first is 1 */
  bool answers_twice;
  bool has_length;      /* a stream whose head names its length; the others are in chunks */
  SoakCrasher *crasher; /* NULL: the request crashes nothing */
} Run;

struct SoakUpstream
{
  struct ev_loop *loop;
  FakeUpstream *fake;
  SoakLedger *ledger;
  MfRole role;
  char id[ID_BYTES];
  SoakMode mode;
  uint32_t version;                                 /* 0: its events name none */
  char held_parts[HELD_PARTS_MAX][HELD_PART_BYTES]; /* "ID:TOKENS"; the oldest is overwritten */
  uint32_t n_held_parts;                            /* ever held */
  uint64_t random;
  Run runs[ACTIVE_RUNS_MAX];
  uint64_t last_arrival_us;
  SoakLimit *limit; /* NULL: it never names one */
  const SoakLimitCallbacks *limit_callbacks;
  void *limit_data;
  SoakPauseFunc pause; /* NULL: events follow each other at once */
  void *pause_data;
  double down_s;
  SoakDownFunc on_down;
  void *data;
  ev_timer restart_timer;
};

static uint32_t
number_in_ones (uint32_t number)
{
  return number;
}

static uint32_t
number_in_tens (uint32_t number)
{
  return number * 10;
}

static uint32_t
number_with_growing_steps (uint32_t number)
{
  return number * (number + 3) / 2;
}

static uint32_t (*const numberings[]) (uint32_t number)
    = { number_in_ones, number_in_tens, number_with_growing_steps };

void
soak_ledger_set_numbering (SoakLedger *ledger, uint64_t numbering)
{
  ledger->numbering = (uint32_t)(numbering % MF_ARRAY_LEN (numberings));
}

uint32_t
soak_ledger_event_id (const SoakLedger *ledger, uint32_t number)
{
  return numberings[ledger->numbering](number);
}

SoakLedger *
soak_ledger_new (void)
{
  SoakLedger *ledger = calloc (1, sizeof *ledger);

  if (ledger == NULL)
    abort ();
  for (uint32_t i = 0; i < SOAK_CRASHERS_MAX; i++)
    ledger->crashers[i].n_crashes_max = CRASHES_OF_REQUEST_MAX;
  for (uint32_t i = 0; i < SOAK_DEADLY_PARTS_MAX; i++)
    ledger->deadly_parts[i].n_crashes_max = CRASHES_OF_PART_MAX;
  return ledger;
}

void
soak_ledger_free (SoakLedger *ledger)
{
  free (ledger);
}

/* Returns how often a request has run, prefill not counted. */
uint32_t
soak_ledger_n_runs (const SoakLedger *ledger, const char *id)
{
  for (uint32_t i = 0; i < ledger->n_rows; i++)
    {
      if (strcmp (ledger->rows[i].id, id) == 0)
        return ledger->rows[i].n_runs;
    }
  return 0;
}

/* Returns the number of requests that arrived with X-Pin-Ms, which only the router may set. */
uint32_t
soak_ledger_n_reserved_headers (const SoakLedger *ledger)
{
  return ledger->n_reserved_headers;
}

SoakCrasher
soak_ledger_crasher (const SoakLedger *ledger, uint32_t crasher)
{
  return ledger->crashers[crasher];
}

SoakCrasher
soak_ledger_deadly_part (const SoakLedger *ledger, uint32_t part)
{
  return ledger->deadly_parts[part];
}

void
soak_ledger_end_deadly_parts (SoakLedger *ledger)
{
  ledger->deadly_parts_ended = true;
}

/* Sets the function that decides whether a late request with a deadly part counts. */
void
soak_ledger_set_arrival_counts (SoakLedger *ledger, SoakArrivalCountsFunc func, void *data)
{
  ledger->arrival_counts = func;
  ledger->arrival_data = data;
}

/* Sets the function that is called for each late arrival of a request that crashes upstreams. */
void
soak_ledger_set_late_arrival (SoakLedger *ledger, SoakLateArrivalFunc func, void *data)
{
  ledger->late_arrival = func;
  ledger->late_data = data;
}

/* Sets how long after the last crash that is allowed a request may still arrive without being late.
 */
void
soak_ledger_set_grace (SoakLedger *ledger, uint64_t grace_us)
{
  ledger->grace_us = grace_us;
}

static void
crasher_count_arrival (const SoakLedger *ledger, SoakCrasher *crasher, const char *id)
{
  crasher->n_arrivals++;
  if (crasher->last_crash_us == 0
      || mf_clock_now_us () <= crasher->last_crash_us + ledger->grace_us)
    return;
  crasher->n_late_arrivals++;
  if (ledger->late_arrival != NULL)
    ledger->late_arrival (ledger->late_data, id);
}

/* Counts the arrival of a crashing request. Returns NULL for any other request. */
static SoakCrasher *
ledger_count_crasher (SoakLedger *ledger, const char *text, const char *id)
{
  const char *body = strstr (text, "\r\n\r\n" SOAK_CRASH);
  SoakCrasher *crasher;

  if (body == NULL)
    return NULL;
  crasher = &ledger->crashers[(uint32_t)(body[4 + strlen (SOAK_CRASH)] - '0') % SOAK_CRASHERS_MAX];
  crasher_count_arrival (ledger, crasher, id);
  return crasher;
}

/* Counts the arrival of a request with a deadly part. Returns NULL for any other request. */
static SoakCrasher *
ledger_count_deadly_part (SoakLedger *ledger, const char *text, const char *id)
{
  char parts[256];
  const char *part;
  SoakCrasher *crasher;

  if (ledger->deadly_parts_ended
      || !fake_upstream_request_header (text, "X-Prompt-Prefix", parts, sizeof parts))
    return NULL;
  part = strstr (parts, SOAK_DEADLY_PART);
  if (part == NULL)
    return NULL;
  crasher = &ledger->deadly_parts[(uint32_t)(part[strlen (SOAK_DEADLY_PART)] - '0')
                                  % SOAK_DEADLY_PARTS_MAX];
  if (ledger->arrival_counts == NULL || ledger->arrival_counts (ledger->arrival_data, id))
    crasher_count_arrival (ledger, crasher, id);
  return crasher;
}

/* Counts one run of a request. */
static void
ledger_add (SoakLedger *ledger, const char *id)
{
  for (uint32_t i = ledger->n_rows; i-- > 0;)
    {
      if (strcmp (ledger->rows[i].id, id) != 0)
        continue;
      ledger->rows[i].n_runs++;
      return;
    }
  if (ledger->n_rows == RUNS_MAX)
    abort ();
  snprintf (ledger->rows[ledger->n_rows].id, ID_BYTES, "%s", id);
  ledger->rows[ledger->n_rows++].n_runs = 1;
}

/* Writes the header that names the limit; "" if there is none. An answer that is meant for another
 * process tells the instance nothing of this one. */
static void
limit_header (const SoakUpstream *upstream, bool misdirected, char *header, size_t header_bytes)
{
  uint32_t milli_per_s
      = upstream->limit == NULL ? SOAK_LIMIT_NONE : soak_limit_milli_per_s (upstream->limit);

  header[0] = '\0';
  if (milli_per_s == SOAK_LIMIT_NONE)
    return;
  snprintf (header, header_bytes, "Server-Limit: %u.%03u\r\n", milli_per_s / 1000,
            milli_per_s % 1000);
  if (!misdirected)
    soak_limit_note_answer (upstream->limit, mf_clock_now_us ());
}

static void
send_answer (const Run *run, const char *status, const char *headers, const char *body)
{
  char text[512];
  char limit[48];

  limit_header (run->upstream, strncmp (status, "421", 3) == 0, limit, sizeof limit);
  snprintf (text, sizeof text,
            "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%s%sContent-Length: %zu\r\n\r\n%s", status, run->id,
            headers, limit, strlen (body), body);
  fake_upstream_conn_send (run->conn, text);
}

static void
run_finish (Run *run)
{
  ev_timer_stop (run->upstream->loop, &run->timer);
  run->conn = NULL;
}

/* Writes an event of a stream. Returns its size. */
static size_t
event_format (const Run *run, uint32_t number, char *event, size_t event_bytes)
{
  uint32_t id = soak_ledger_event_id (run->upstream->ledger, number);

  if (run->upstream->version > 0)
    return (size_t)snprintf (event, event_bytes, "id: %u\ndata: %s v%u\n\n", id, run->id,
                             run->upstream->version);
  return (size_t)snprintf (event, event_bytes, "id: %u\ndata: %s\n\n", id, run->id);
}

/* Sends the next event of a stream. Returns false after the last one. */
static bool
stream_step (Run *run)
{
  const char *end = run->has_length ? "" : "0\r\n\r\n";
  char event[96];
  char chunk[128];
  size_t n_bytes;

  /* Resumed after its last event: only its end had been lost. */
  if (run->next_event > SOAK_STREAM_EVENTS)
    {
      fake_upstream_conn_send (run->conn, end);
      return false;
    }
  n_bytes = event_format (run, run->next_event, event, sizeof event);
  snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", n_bytes, event);
  fake_upstream_conn_send (run->conn, run->has_length ? event : chunk);
  if (run->next_event++ < SOAK_STREAM_EVENTS)
    return true;
  fake_upstream_conn_send (run->conn, end);
  return false;
}

/* Begins an answer and stops inside it: a stream, which has neither a length nor chunks, inside its
 * first event. */
static void
run_begin_answer (const Run *run)
{
  char text[256];

  snprintf (
      text, sizeof text, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n%s", run->id,
      run->upstream->role == MF_ROLE_DECODE ? "Content-Type: text/event-stream\r\n\r\nid: 1\nda"
                                            : "Content-Length: 100\r\n\r\nansw");
  fake_upstream_conn_send (run->conn, text);
}

/* Resets the connections of all requests that run, or closes them. */
static void
runs_abort (SoakUpstream *upstream, bool reset)
{
  for (uint32_t i = 0; i < ACTIVE_RUNS_MAX; i++)
    {
      FakeUpstreamConn *conn = upstream->runs[i].conn;

      if (conn == NULL)
        continue;
      run_finish (&upstream->runs[i]);
      fake_upstream_conn_close (conn, reset);
    }
}

static void
on_restart_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  SoakUpstream *upstream = watcher->data;

  (void)loop;
  (void)events;
  fake_upstream_start (upstream->fake);
  upstream->on_down (upstream->data, upstream, false);
}

/* Acts like a crash of the process: ends all connections and refuses new ones for down_s. The
 * kernel of a process that had read all its input closes its connections in order. */
static void
upstream_crash (SoakUpstream *upstream, SoakCrasher *crasher)
{
  crasher->crashed_us = mf_clock_now_us ();
  if (++crasher->n_crashes == crasher->n_crashes_max)
    crasher->last_crash_us = mf_clock_now_us ();
  runs_abort (upstream, crasher->n_crashes_max != CRASHES_OF_PART_MAX);
  fake_upstream_stop (upstream->fake);
  ev_timer_set (&upstream->restart_timer, upstream->down_s, 0.);
  ev_timer_start (upstream->loop, &upstream->restart_timer);
  upstream->on_down (upstream->data, upstream, true);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  Run *run = watcher->data;
  char body[64];

  (void)events;
  if (run->crasher != NULL)
    {
      upstream_crash (run->upstream, run->crasher);
      return;
    }
  if (run->upstream->role == MF_ROLE_DECODE)
    {
      if (stream_step (run))
        {
          double pause_s = run->upstream->pause == NULL
                               ? 0.02
                               : run->upstream->pause (run->upstream->pause_data, run->upstream);

          ev_timer_set (&run->timer, pause_s, 0.);
          if (pause_s >= 0.)
            ev_timer_start (loop, &run->timer);
          return;
        }
    }
  else if (run->upstream->role == MF_ROLE_PREFILL)
    send_answer (run, "200 OK", "", "{\"kvHandle\":\"h\",\"tokens\":10,\"version\":1}");
  else
    {
      snprintf (body, sizeof body, "answer to %s", run->id);
      send_answer (run, "200 OK", "X-Response-Seal: s\r\n", body);
      if (run->answers_twice)
        send_answer (run, "200 OK", "X-Response-Seal: s\r\n", body);
    }
  run_finish (run);
}

static uint32_t
draw (SoakUpstream *upstream, uint32_t bound)
{
  upstream->random ^= upstream->random << 13;
  upstream->random ^= upstream->random >> 7;
  upstream->random ^= upstream->random << 17;
  return (uint32_t)(upstream->random >> 33) % bound;
}

static Run *
run_new (SoakUpstream *upstream, FakeUpstreamConn *conn, const char *id)
{
  for (uint32_t i = 0; i < ACTIVE_RUNS_MAX; i++)
    {
      Run *run = &upstream->runs[i];

      if (run->conn != NULL)
        continue;
      *run = (Run){ .upstream = upstream, .conn = conn, .next_event = 1 };
      snprintf (run->id, sizeof run->id, "%s", id);
      ev_timer_init (&run->timer, on_timer, 0., 0.);
      run->timer.data = run;
      return run;
    }
  abort ();
}

static void
run_start (Run *run, double after_s)
{
  char text[256];
  char limit[48];
  char event[96];
  char framing[48] = "Transfer-Encoding: chunked";
  size_t n_bytes = 0;

  if (run->upstream->role == MF_ROLE_DECODE)
    {
      limit_header (run->upstream, false, limit, sizeof limit);
      for (uint32_t i = run->next_event; i <= SOAK_STREAM_EVENTS; i++)
        n_bytes += event_format (run, i, event, sizeof event);
      if (run->has_length)
        snprintf (framing, sizeof framing, "Content-Length: %zu", n_bytes);
      snprintf (text, sizeof text,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n%s"
                "Content-Type: text/event-stream\r\n%s\r\n\r\n",
                run->id, limit, framing);
      fake_upstream_conn_send (run->conn, text);
    }
  ev_timer_set (&run->timer, after_s, 0.);
  ev_timer_start (run->upstream->loop, &run->timer);
}

/* Mistreats a request in the way of the upstream's mode. Returns false when the request still has
 * to run as usual. */
static bool
run_misbehave (SoakUpstream *upstream, Run *run)
{
  FakeUpstreamConn *conn = run->conn;

  switch (upstream->mode)
    {
    case SOAK_DECLINES:
      send_answer (run, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
      run_finish (run);
      return true;
    case SOAK_FAILS:
      ledger_add (upstream->ledger, run->id);
      send_answer (run, "500 Internal Server Error", "X-Response-Seal: s\r\n", "failed");
      run_finish (run);
      return true;
    case SOAK_RESETS:
      ledger_add (upstream->ledger, run->id);
      run_finish (run);
      fake_upstream_conn_close (conn, true);
      return true;
    case SOAK_NO_ANSWER:
      ledger_add (upstream->ledger, run->id);
      return true;
    default:
      run->answers_twice = upstream->mode == SOAK_ANSWERS_TWICE;
      return false;
    }
}

/* Keeps the last part of a request's prompt, as an engine does that runs it. */
static void
held_parts_add (SoakUpstream *upstream, const char *text)
{
  char parts[256];
  const char *own;

  if (!fake_upstream_request_header (text, "X-Prompt-Prefix", parts, sizeof parts))
    return;
  own = strrchr (parts, ',') != NULL ? strrchr (parts, ',') + 1 : parts;
  mf_name_set (upstream->held_parts[upstream->n_held_parts++ % HELD_PARTS_MAX], HELD_PART_BYTES,
               own);
}

/* Answers which parts of prompts it holds. */
static void
held_parts_send (const SoakUpstream *upstream, FakeUpstreamConn *conn)
{
  uint32_t n_held
      = upstream->n_held_parts < HELD_PARTS_MAX ? upstream->n_held_parts : HELD_PARTS_MAX;
  char body[HELD_PARTS_MAX * (HELD_PART_BYTES + 16) + 64] = "{\"epoch\":1,\"next\":0,\"held\":[";
  char text[sizeof body + 128];
  size_t at = strlen (body);

  for (uint32_t i = 0; i < n_held; i++)
    {
      const char *part = upstream->held_parts[i];
      size_t id_bytes = strcspn (part, ":");

      at += (size_t)snprintf (body + at, sizeof body - at, "%s[\"\",\"%.*s\",%s,\"m\"]",
                              i > 0 ? "," : "", (int)id_bytes, part,
                              part[id_bytes] == ':' ? part + id_bytes + 1 : "0");
    }
  snprintf (body + at, sizeof body - at, "]}");
  snprintf (text, sizeof text, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (body),
            body);
  fake_upstream_conn_send (conn, text);
}

static void
on_request (FakeUpstreamConn *conn, const char *text, void *data)
{
  SoakUpstream *upstream = data;
  char id[ID_BYTES] = "";
  char expected[ID_BYTES] = "";
  char last[16] = "0";
  char value[64];
  bool prefill = fake_upstream_request_header (text, "X-Stage", value, sizeof value);
  SoakCrasher *deadly;
  Run *run;

  fake_upstream_request_header (text, "X-Attempt-Id", id, sizeof id);
  fake_upstream_request_header (text, "X-Expect-Instance", expected, sizeof expected);
  fake_upstream_request_header (text, "Last-Event-Id", last, sizeof last);
  if (strncmp (text, "GET /kv-list ", 13) == 0 && strcmp (expected, upstream->id) == 0)
    {
      held_parts_send (upstream, conn);
      return;
    }
  run = run_new (upstream, conn, id);
  if (upstream->limit != NULL
      && upstream->limit_callbacks->arrival_counts (upstream->limit_data, id)
      && soak_limit_note_arrival (upstream->limit, mf_clock_now_us ()))
    upstream->limit_callbacks->excess (upstream->limit_data, upstream);
  if (strncmp (text, "DELETE ", 7) == 0)
    {
      send_answer (run, "200 OK", "", "");
      run_finish (run);
      return;
    }
  if (strcmp (expected, upstream->id) != 0 || prefill != (upstream->role == MF_ROLE_PREFILL))
    {
      send_answer (run, "421 Misdirected Request", "", "");
      run_finish (run);
      return;
    }
  if (fake_upstream_request_header (text, "X-Pin-Ms", value, sizeof value))
    upstream->ledger->n_reserved_headers++;
  upstream->last_arrival_us = mf_clock_now_us ();
  run->crasher
      = upstream->down_s > 0. ? ledger_count_crasher (upstream->ledger, text, run->id) : NULL;
  if (run->crasher != NULL)
    {
      ev_timer_set (&run->timer, 0.005, 0.);
      ev_timer_start (upstream->loop, &run->timer);
      return;
    }
  deadly = upstream->down_s > 0. ? ledger_count_deadly_part (upstream->ledger, text, id) : NULL;
  if (upstream->mode == SOAK_UNRESPONSIVE)
    return;
  if (upstream->role == MF_ROLE_PREFILL)
    {
      run_start (run, 0.005);
      return;
    }
  if (deadly != NULL)
    {
      run->crasher = deadly;
      run_begin_answer (run);
      ev_timer_set (&run->timer, 0.005, 0.);
      ev_timer_start (upstream->loop, &run->timer);
      return;
    }
  if (draw (upstream, 100) < MISBEHAVING_PERCENT && run_misbehave (upstream, run))
    return;
  ledger_add (upstream->ledger, id);
  if (upstream->role == MF_ROLE_DECODE)
    held_parts_add (upstream, text);
  while (soak_ledger_event_id (upstream->ledger, run->next_event) <= strtoul (last, NULL, 10))
    run->next_event++;
  run->has_length = upstream->pause != NULL && draw (upstream, 2) == 0;
  run_start (run, upstream->mode == SOAK_SLOW ? 0.15 : 0.003 + draw (upstream, 8) * 0.001);
}

static void
on_conn_closed (FakeUpstreamConn *conn, void *data)
{
  SoakUpstream *upstream = data;

  for (uint32_t i = 0; i < ACTIVE_RUNS_MAX; i++)
    {
      if (upstream->runs[i].conn == conn)
        run_finish (&upstream->runs[i]);
    }
}

/* Listens at a free port of the loopback address. The seed determines which requests are
 * mistreated and how long requests run. */
SoakUpstream *
soak_upstream_new (struct ev_loop *loop, SoakLedger *ledger, MfRole role, const char *id,
                   uint64_t seed)
{
  SoakUpstream *upstream = calloc (1, sizeof *upstream);

  if (upstream == NULL)
    abort ();
  upstream->loop = loop;
  upstream->ledger = ledger;
  upstream->role = role;
  upstream->random = seed * 2 + 1;
  snprintf (upstream->id, sizeof upstream->id, "%s", id);
  upstream->fake = fake_upstream_new (loop, on_request, upstream);
  fake_upstream_set_closed_func (upstream->fake, on_conn_closed);
  ev_init (&upstream->restart_timer, on_restart_timer);
  upstream->restart_timer.data = upstream;
  return upstream;
}

/* Lets crashing requests crash the upstream, which listens again after down_s. Without this call,
 * or with down_s 0, such requests run like any other. */
void
soak_upstream_enable_crashes (SoakUpstream *upstream, double down_s, SoakDownFunc func, void *data)
{
  upstream->down_s = down_s;
  upstream->on_down = func;
  upstream->data = data;
}

/* See SoakLimit. */
SoakLimit *
soak_upstream_enable_limits (SoakUpstream *upstream, const SoakLimitCallbacks *callbacks,
                             void *data)
{
  upstream->limit = soak_limit_new ();
  upstream->limit_callbacks = callbacks;
  upstream->limit_data = data;
  return upstream->limit;
}

void
soak_upstream_free (SoakUpstream *upstream)
{
  runs_abort (upstream, true);
  soak_limit_free (upstream->limit);
  ev_timer_stop (upstream->loop, &upstream->restart_timer);
  fake_upstream_free (upstream->fake);
  free (upstream);
}

const char *
soak_upstream_address (const SoakUpstream *upstream)
{
  return fake_upstream_address (upstream->fake);
}

/* Acts like a restart under a new id: resets the requests that run, and answers 421 to requests for
 * another id. */
void
soak_upstream_restart (SoakUpstream *upstream, const char *id)
{
  runs_abort (upstream, true);
  upstream->n_held_parts = 0;
  snprintf (upstream->id, sizeof upstream->id, "%s", id);
}

void
soak_upstream_set_version (SoakUpstream *upstream, uint32_t version)
{
  upstream->version = version;
}

void
soak_upstream_set_mode (SoakUpstream *upstream, SoakMode mode)
{
  upstream->mode = mode;
}

void
soak_upstream_set_pause (SoakUpstream *upstream, SoakPauseFunc func, void *data)
{
  upstream->pause = func;
  upstream->pause_data = data;
}

/* Returns the number of requests that run now. */
uint32_t
soak_upstream_n_active (const SoakUpstream *upstream)
{
  uint32_t n_active = 0;

  for (uint32_t i = 0; i < ACTIVE_RUNS_MAX; i++)
    n_active += upstream->runs[i].conn != NULL;
  return n_active;
}

/* Returns when the last request that was meant for this upstream arrived; 0: none yet. */
uint64_t
soak_upstream_last_arrival_us (const SoakUpstream *upstream)
{
  return upstream->last_arrival_us;
}
