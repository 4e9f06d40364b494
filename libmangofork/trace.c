#include "trace.h"

#include <stdlib.h>
#include <string.h>

#include "table.h"

/* The number of requests kept is the number of steps divided by this. */
#define STEPS_PER_REQUEST 8
/* Requests of one name that mf_trace_foreach visits. */
#define SAME_NAME_SHOWN_MAX 16
#define PHASES_MAX 16

/* One entry of the ring. Sequence numbers count all steps from 1; 0 means none. */
typedef struct
{
  MfTraceStep step;
  uint64_t previous_sequence; /* previous step of the same request */
} Entry;

/* One recorded request. */
typedef struct TracedRequest TracedRequest;

struct TracedRequest
{
  uint64_t request_id; /* 0 while unused */
  char name[MF_TRACE_NAME_BYTES];
  uint64_t last_sequence; /* its last step */
  bool named;             /* in by_name: the latest request of its name */
  TracedRequest *older;   /* the previous request of the same name */
  uint64_t older_id;      /* request_id of older; another one means that the row was reused */
  UT_hash_handle hh;      /* by request_id */
  UT_hash_handle hname;   /* by name */
};

struct MfTrace
{
  Entry *entries;
  uint32_t n_entries;
  uint64_t sequence;
  TracedRequest *requests;
  uint32_t n_requests;
  uint32_t next_request;
  TracedRequest *by_id;
  TracedRequest *by_name;
  uint64_t ended[MF_ENDED_BY_COUNT][PHASES_MAX];
};

MfTrace *
mf_trace_new (uint32_t n_steps)
{
  MfTrace *trace = calloc (1, sizeof *trace);

  if (trace == NULL)
    return NULL;
  trace->n_entries = n_steps > 0 ? n_steps : 1;
  trace->n_requests = trace->n_entries / STEPS_PER_REQUEST + 1;
  trace->entries = calloc (trace->n_entries, sizeof *trace->entries);
  trace->requests = calloc (trace->n_requests, sizeof *trace->requests);
  if (trace->entries == NULL || trace->requests == NULL)
    {
      mf_trace_free (trace);
      return NULL;
    }
  return trace;
}

/* Accepts NULL. */
void
mf_trace_free (MfTrace *trace)
{
  if (trace == NULL)
    return;
  HASH_CLEAR (hh, trace->by_id);
  HASH_CLEAR (hname, trace->by_name);
  free (trace->entries);
  free (trace->requests);
  free (trace);
}

static TracedRequest *
request_find (const MfTrace *trace, uint64_t request_id)
{
  TracedRequest *request;

  HASH_FIND (hh, trace->by_id, &request_id, sizeof request_id, request);
  return request;
}

static TracedRequest *
request_find_by_name (const MfTrace *trace, const char *name)
{
  TracedRequest *request;

  HASH_FIND (hname, trace->by_name, name, strlen (name), request);
  return request;
}

static void
request_unlink_name (MfTrace *trace, TracedRequest *request)
{
  if (request->named && trace->by_name != NULL)
    HASH_DELETE (hname, trace->by_name, request);
  request->named = false;
}

static void
request_link_name (MfTrace *trace, TracedRequest *request)
{
  HASH_ADD_KEYPTR (hname, trace->by_name, request->name, strlen (request->name), request);
  request->named = true;
}

static void
request_remove (MfTrace *trace, TracedRequest *request)
{
  request_unlink_name (trace, request);
  HASH_DELETE (hh, trace->by_id, request);
  request->request_id = 0;
}

/* Returns the row of a request. A new request replaces the oldest one. */
static TracedRequest *
request_find_or_add (MfTrace *trace, uint64_t request_id)
{
  TracedRequest *request = request_find (trace, request_id);

  if (request != NULL)
    return request;
  request = &trace->requests[trace->next_request];
  trace->next_request = (trace->next_request + 1) % trace->n_requests;
  if (request->request_id != 0)
    request_remove (trace, request);
  *request = (TracedRequest){ .request_id = request_id };
  HASH_ADD (hh, trace->by_id, request_id, sizeof request->request_id, request);
  return request;
}

void
mf_trace_add_step (MfTrace *trace, const MfTraceStep *step)
{
  TracedRequest *request = request_find_or_add (trace, step->request_id);
  Entry *entry;

  trace->sequence++;
  entry = &trace->entries[trace->sequence % trace->n_entries];
  entry->step = *step;
  entry->previous_sequence = request->last_sequence;
  request->last_sequence = trace->sequence;
  if (step->kind == MF_TRACE_ENDED && step->code != MF_CODE_OK && step->ended_by < MF_ENDED_BY_COUNT
      && step->phase < PHASES_MAX)
    trace->ended[step->ended_by][step->phase]++;
}

void
mf_trace_set_name (MfTrace *trace, uint64_t request_id, const char *name)
{
  TracedRequest *request = request_find_or_add (trace, request_id);
  TracedRequest *older;

  request_unlink_name (trace, request);
  mf_name_set (request->name, sizeof request->name, name);
  older = request_find_by_name (trace, request->name);
  if (older != NULL)
    {
      request_unlink_name (trace, older);
      request->older = older;
      request->older_id = older->request_id;
    }
  request_link_name (trace, request);
}

/* Calls func for the steps of one request that the ring still holds. */
static void
request_foreach_step (const MfTrace *trace, const TracedRequest *request, MfTraceFunc func,
                      void *data)
{
  uint64_t oldest
      = trace->sequence >= trace->n_entries ? trace->sequence - trace->n_entries + 1 : 1;
  uint64_t sequence = request->last_sequence;
  uint64_t *sequences;
  uint32_t n = 0;

  while (sequence >= oldest)
    {
      n++;
      sequence = trace->entries[sequence % trace->n_entries].previous_sequence;
    }
  sequences = calloc ((size_t)n + 1, sizeof *sequences);
  if (sequences == NULL)
    return;
  sequence = request->last_sequence;
  for (uint32_t i = n; i-- > 0;)
    {
      sequences[i] = sequence;
      sequence = trace->entries[sequence % trace->n_entries].previous_sequence;
    }
  for (uint32_t i = 0; i < n; i++)
    func (&trace->entries[sequences[i] % trace->n_entries].step, data);
  free (sequences);
}

bool
mf_trace_foreach (const MfTrace *trace, const char *name, MfTraceFunc func, void *data)
{
  const TracedRequest *requests[SAME_NAME_SHOWN_MAX];
  char truncated_name[MF_TRACE_NAME_BYTES];
  const TracedRequest *request;
  uint32_t n = 0;

  mf_name_set (truncated_name, sizeof truncated_name, name);
  request = request_find_by_name (trace, truncated_name);
  while (request != NULL && n < SAME_NAME_SHOWN_MAX)
    {
      requests[n++] = request;
      request = request->older != NULL && request->older->request_id == request->older_id
                    ? request->older
                    : NULL;
    }
  for (uint32_t i = n; i-- > 0;)
    request_foreach_step (trace, requests[i], func, data);
  return n > 0;
}

uint64_t
mf_trace_n_ended (const MfTrace *trace, MfEndedBy by, uint32_t phase)
{
  return by < MF_ENDED_BY_COUNT && phase < PHASES_MAX ? trace->ended[by][phase] : 0;
}

const char *
mf_trace_kind_name (MfTraceKind kind)
{
  static const char *const names[MF_TRACE_KIND_COUNT] = {
    [MF_TRACE_ARRIVED] = "arrived",     [MF_TRACE_QUEUED] = "queued",
    [MF_TRACE_PLACED] = "placed",       [MF_TRACE_ALTERNATIVE] = "alternative",
    [MF_TRACE_CALLED] = "called",       [MF_TRACE_PREFILLED] = "prefilled",
    [MF_TRACE_IMPORTED] = "imported",   [MF_TRACE_FIRST_TOKEN] = "first-token",
    [MF_TRACE_CALL_FAILED] = "broken",  [MF_TRACE_RETRIED] = "retried",
    [MF_TRACE_RESUMED] = "resumed",     [MF_TRACE_HEDGED] = "hedged",
    [MF_TRACE_CLAIMED] = "claimed",     [MF_TRACE_CANCELLED] = "cancelled",
    [MF_TRACE_SUSPECTED] = "suspected", [MF_TRACE_ENDED] = "ended",
  };

  return kind < MF_TRACE_KIND_COUNT ? names[kind] : "none";
}

const char *
mf_ended_by_name (MfEndedBy by)
{
  static const char *const names[MF_ENDED_BY_COUNT] = {
    [MF_ENDED_BY_NOBODY] = "nobody",
    [MF_ENDED_BY_CALLER] = "caller",
    [MF_ENDED_BY_UPSTREAM] = "upstream",
    [MF_ENDED_BY_INSTANCE] = "instance",
  };

  return by < MF_ENDED_BY_COUNT ? names[by] : "nobody";
}
