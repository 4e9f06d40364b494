#ifndef MF_TRACE_H
#define MF_TRACE_H

#include "code.h"

#define MF_TRACE_NAME_BYTES 64

/* Kinds of steps in the processing of a request. */
typedef enum
{
  MF_TRACE_ARRIVED,
  MF_TRACE_QUEUED,      /* value: requests ahead of it */
  MF_TRACE_PLACED,      /* upstream: prefill; other_upstream: decode; value: predicted TTFT, us */
  MF_TRACE_ALTERNATIVE, /* upstream: the second best; value: its predicted TTFT, us */
  MF_TRACE_CALLED,      /* value: MfCallKind */
  MF_TRACE_PREFILLED,
  MF_TRACE_IMPORTED,
  MF_TRACE_FIRST_TOKEN,
  MF_TRACE_CALL_FAILED, /* value: tokens delivered */
  MF_TRACE_RETRIED,
  MF_TRACE_RESUMED,
  MF_TRACE_HEDGED, /* upstream: the second one; other_upstream: the slow one */
  MF_TRACE_CLAIMED,
  MF_TRACE_CANCELLED,
  MF_TRACE_SUSPECTED,
  MF_TRACE_ENDED, /* value: tokens delivered; code: the result */
  MF_TRACE_KIND_COUNT,
} MfTraceKind;

/* Who ended a request. */
typedef enum
{
  MF_ENDED_BY_NOBODY,
  MF_ENDED_BY_CALLER,
  MF_ENDED_BY_UPSTREAM,
  MF_ENDED_BY_INSTANCE,
  MF_ENDED_BY_COUNT,
} MfEndedBy;

typedef struct
{
  uint64_t request_id;
  uint64_t at_us;
  MfTraceKind kind;
  uint32_t upstream;       /* or MF_NONE */
  uint32_t other_upstream; /* or MF_NONE */
  uint64_t value;
  MfCode code;
  uint8_t phase;    /* MfPhase */
  uint8_t ended_by; /* MfEndedBy */
} MfTraceStep;

typedef struct MfTrace MfTrace;

typedef void (*MfTraceFunc) (const MfTraceStep *step, void *data);

/* Creates a ring of n_steps steps, shared by all requests; the newest overwrites the oldest. */
MfTrace *mf_trace_new (uint32_t n_steps);
void mf_trace_free (MfTrace *trace);
void mf_trace_add_step (MfTrace *trace, const MfTraceStep *step);
/* Sets the name under which callers know the request, for mf_trace_foreach. */
void mf_trace_set_name (MfTrace *trace, uint64_t request_id, const char *name);
/* Calls func for each recorded step of the requests of that name, oldest first. Callers may use one
 * name for several requests; the latest request comes last. Returns false when no request of that
 * name is recorded. */
bool mf_trace_foreach (const MfTrace *trace, const char *name, MfTraceFunc func, void *data);

/* Returns how many requests were ended without an answer by that party in that MfPhase, including
 * those whose steps have been overwritten. */
uint64_t mf_trace_n_ended (const MfTrace *trace, MfEndedBy by, uint32_t phase);

const char *mf_trace_kind_name (MfTraceKind kind);
const char *mf_ended_by_name (MfEndedBy by);

#endif
