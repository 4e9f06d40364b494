#ifndef SOAK_UPSTREAM_H
#define SOAK_UPSTREAM_H

#include "soak_limit.h"

#include <ev.h>

/* Upstreams for the soak of the relay, plain services and engines, that share a ledger of the
 * requests that they have run. */
typedef struct SoakUpstream SoakUpstream;
typedef struct SoakLedger SoakLedger;

/* Number of events of a complete stream. */
#define SOAK_STREAM_EVENTS 8

/* How an upstream treats requests; without effect on prefill engines. The modes from SOAK_DECLINES
 * to SOAK_ANSWERS_TWICE affect only a part of the requests. */
typedef enum
{
  SOAK_SERVES,
  SOAK_SLOW,
  SOAK_DECLINES,      /* 503 without running the request */
  SOAK_FAILS,         /* 500 after running the request */
  SOAK_RESETS,        /* runs the request, then resets the connection */
  SOAK_NO_ANSWER,     /* runs the request, but never answers */
  SOAK_ANSWERS_TWICE, /* sends its answer twice */
  SOAK_MODE_COUNT,
  SOAK_UNRESPONSIVE, /* never answers and runs nothing; the soak does not draw it */
} SoakMode;

/* How the upstreams of a ledger number the events of a stream: from 1, in tens, or with steps that
 * grow. Which of these decides the remainder of the value that is set. */
void soak_ledger_set_numbering (SoakLedger *ledger, uint64_t numbering);
/* Returns the id of the event of this number, counted from 1; 0 for 0. */
uint32_t soak_ledger_event_id (const SoakLedger *ledger, uint32_t number);

SoakLedger *soak_ledger_new (void);
void soak_ledger_free (SoakLedger *ledger);
uint32_t soak_ledger_n_runs (const SoakLedger *ledger, const char *id);
uint32_t soak_ledger_n_reserved_headers (const SoakLedger *ledger);

SoakUpstream *soak_upstream_new (struct ev_loop *loop, SoakLedger *ledger, MfRole role,
                                 const char *id, uint64_t seed);
void soak_upstream_free (SoakUpstream *upstream);
const char *soak_upstream_address (const SoakUpstream *upstream);
void soak_upstream_restart (SoakUpstream *upstream, const char *id);
/* Lets its events name the version of its software; 0: they name none. */
void soak_upstream_set_version (SoakUpstream *upstream, uint32_t version);
void soak_upstream_set_mode (SoakUpstream *upstream, SoakMode mode);

/* Returns the time in seconds until the next event of a stream; below 0: it never comes. */
typedef double (*SoakPauseFunc) (void *data, const SoakUpstream *upstream);

/* Lets the function name the pauses within streams. Half of the streams then name their length. */
void soak_upstream_set_pause (SoakUpstream *upstream, SoakPauseFunc func, void *data);
uint32_t soak_upstream_n_active (const SoakUpstream *upstream);
uint64_t soak_upstream_last_arrival_us (const SoakUpstream *upstream);

typedef struct
{
  /* Whether a request that has arrived, named by its id, counts against the limits. */
  bool (*arrival_counts) (void *data, const char *id);
  /* More requests have arrived than the limits allow. */
  void (*excess) (void *data, SoakUpstream *upstream);
} SoakLimitCallbacks;

/* Lets the upstream name rate limits in its answers and count what arrives. Returns the limits,
 * which the caller sets; they are freed with the upstream. */
SoakLimit *soak_upstream_enable_limits (SoakUpstream *upstream, const SoakLimitCallbacks *callbacks,
                                        void *data);

/* A request whose body begins with this crashes each upstream that runs it. The digit that follows
 * identifies the request. */
#define SOAK_CRASH "crash"
#define SOAK_CRASHERS_MAX 8

/* Called when a request has crashed the upstream, and when it listens again. In the latter case the
 * callback gives it a new id with soak_upstream_restart. */
typedef void (*SoakDownFunc) (void *data, SoakUpstream *upstream, bool down);

void soak_upstream_enable_crashes (SoakUpstream *upstream, double down_s, SoakDownFunc func,
                                   void *data);

/* A request with such a part in its prompt crashes each upstream that begins to answer it. The
 * digit that follows identifies the part. */
#define SOAK_DEADLY_PART "dead"
#define SOAK_DEADLY_PARTS_MAX 4

/* Effects of one such request, or one such part, on all upstreams of a ledger. */
typedef struct
{
  uint32_t n_arrivals; /* at prefill engines too */
  uint32_t n_crashes;
  uint64_t crashed_us;      /* time of the latest crash; 0: none yet */
  uint32_t n_crashes_max;   /* crashes after which further arrivals are late */
  uint64_t last_crash_us;   /* time of the last of these; 0: not reached */
  uint32_t n_late_arrivals; /* later after that than the grace time of the ledger */
} SoakCrasher;

/* Whether a late arrival, named by the id of its request, counts. */
typedef bool (*SoakArrivalCountsFunc) (void *data, const char *id);

/* Called for each late arrival of a request that crashes upstreams, named by its id. */
typedef void (*SoakLateArrivalFunc) (void *data, const char *id);

SoakCrasher soak_ledger_crasher (const SoakLedger *ledger, uint32_t crasher);
/* From now on no part is deadly. */
void soak_ledger_end_deadly_parts (SoakLedger *ledger);
SoakCrasher soak_ledger_deadly_part (const SoakLedger *ledger, uint32_t part);
void soak_ledger_set_grace (SoakLedger *ledger, uint64_t grace_us);
void soak_ledger_set_arrival_counts (SoakLedger *ledger, SoakArrivalCountsFunc func, void *data);
void soak_ledger_set_late_arrival (SoakLedger *ledger, SoakLateArrivalFunc func, void *data);

#endif
