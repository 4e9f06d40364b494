#ifndef MF_COUNTER_H
#define MF_COUNTER_H

#include "code.h"

/* The counters that have no labels. Columns: identifier, exported name, help text. */
#define MF_COUNTER_TABLE(X)                                                                        \
  X (REQUESTS, "mangofork_requests_total", "requests received completely")                         \
  X (ANSWERED, "mangofork_answered_total", "requests answered in full")                            \
  X (DEPARTED, "mangofork_departed_total", "callers that left before the end")                     \
  X (GOOD, "mangofork_good_total", "answers that met both latency targets")                        \
  X (TOKENS, "mangofork_tokens_total", "tokens sent to callers")                                   \
  X (PREFILL_TOKENS, "mangofork_prefill_tokens_total", "prompt tokens prefilled")                  \
  X (WASTED_PREFILL_TOKENS, "mangofork_wasted_prefill_tokens_total",                               \
     "prompt tokens prefilled that no decode used")                                                \
  X (RETRIES, "mangofork_retries_total", "retries of calls")                                       \
  X (HEDGES, "mangofork_hedges_total", "idempotent reads sent to a second upstream")               \
  X (RESUMES, "mangofork_resumes_total", "streams resumed")                                        \
  X (LATE_DROPPED, "mangofork_late_dropped_total", "events of earlier attempts dropped")           \
  X (CANCELS, "mangofork_cancels_total", "cancels confirmed by engines")                           \
  X (EJECTIONS, "mangofork_ejections_total", "upstreams ejected or found dead")                    \
  X (QUARANTINES, "mangofork_convictions_total", "requests quarantined for crashing upstreams")    \
  X (CONFIG_ACCEPTED, "mangofork_config_accepted_total",                                           \
     "revisions of the operators' text accepted")                                                  \
  X (CONFIG_REFUSED, "mangofork_config_refused_total",                                             \
     "revisions of the operators' text refused as faulty")                                         \
  X (CONFIG_STALE, "mangofork_config_stale_total",                                                 \
     "revisions of the operators' text older than the one in force, ignored")                      \
  X (PLATFORM_CALLS, "mangofork_platform_calls_total", "calls made to the platform")               \
  X (PEER_FRAMES_IN, "mangofork_peer_frames_in_total", "frames read from peers")                   \
  X (PEER_FRAMES_OUT, "mangofork_peer_frames_out_total", "frames sent to peers")                   \
  X (PEER_FRAMES_BAD, "mangofork_peer_frames_bad_total", "malformed frames dropped")               \
  X (PEER_BYTES_OUT, "mangofork_peer_bytes_out_total", "bytes sent to peers")                      \
  X (GOSSIP_DROPPED, "mangofork_news_dropped_total",                                               \
     "gossip dropped before it was sent to every peer")                                            \
  X (CLAIMS, "mangofork_claims_total", "idempotency keys claimed")                                 \
  X (CLAIMS_REFUSED, "mangofork_claims_refused_total",                                             \
     "claims refused because another instance holds the key")                                      \
  X (CLAIMS_NO_QUORUM, "mangofork_claims_no_quorum_total", "claims without a quorum of votes")     \
  X (REPLAYS, "mangofork_replays_total", "recorded answers replayed")                              \
  X (ORDERS, "mangofork_orders_total", "orders sent to engines")                                   \
  X (ORDERS_HELD, "mangofork_orders_held_total", "orders delayed by back-off")                     \
  X (PAUSES, "mangofork_pauses_total", "pauses of this process")

typedef enum
{
#define MF_COUNTER_ENUM(id, name, help) MF_COUNTER_##id,
  MF_COUNTER_TABLE (MF_COUNTER_ENUM)
#undef MF_COUNTER_ENUM
      MF_COUNTER_COUNT,
} MfCounter;

#define MF_CODES_MAX 64

/* Counters of this process. They never decrease. */
typedef struct
{
  uint64_t values[MF_COUNTER_COUNT];
  uint64_t by_code[MF_CODES_MAX]; /* ended requests, indexed by mf_code_index */
} MfCounters;

static inline void
mf_counter_add (MfCounters *counters, MfCounter counter, uint64_t n)
{
  counters->values[counter] += n;
}

const char *mf_counter_name (MfCounter counter);
const char *mf_counter_help (MfCounter counter);

#endif
