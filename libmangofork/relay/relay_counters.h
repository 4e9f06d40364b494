#ifndef MF_RELAY_COUNTERS_H
#define MF_RELAY_COUNTERS_H

#include "libmangofork/buffer.h"
#include "libmangofork/code.h"

/* Upper bounds of a latency histogram's buckets are powers of two milliseconds. */
#define MF_RELAY_BUCKETS 16

/* Columns: identifier, name in the metrics, what it counts. */
#define MF_RELAY_COUNTER_TABLE(X)                                                                  \
  X (REQUESTS, "requests_total", "requests read from callers")                                     \
  X (ANSWERED, "answers_total", "answers given whole")                                             \
  X (REFUSED, "refusals_total", "requests refused that have not run")                              \
  X (FAILED, "failures_total", "requests that may have run and failed")                            \
  X (DEPARTED, "departures_total", "callers that left before their answer")                        \
  X (UNREADABLE, "unreadable_total", "requests refused because they could not be read")            \
  X (SENDS, "sends_total", "requests sent to upstreams, repeats included")                         \
  X (RETRIES, "repeats_total", "repeats sent to upstreams")                                        \
  X (RETRIES_GRANTED, "repeats_given_total", "repeats that the leading instance allowed")          \
  X (RETRIES_DENIED, "repeats_denied_total", "repeats the retry budget did not allow")             \
  X (NOT_RUN, "rejections_total", "requests that upstreams declined to run")                       \
  X (BROKEN, "broken_total", "exchanges with upstreams that broke")                                \
  X (UNREACHED, "unreached_total", "connections to upstreams that could not be made")              \
  X (PREFILLS, "prefills_total", "prompts read at prefill engines")                                \
  X (PREFILLS_WASTED, "prefills_wasted_total", "prefills whose memory was not used")               \
  X (RESUMED, "streams_resumed_total", "streams that went on at another upstream")                 \
  X (WAITED, "waited_total", "requests that waited for room")                                      \
  X (MISDIRECTED, "misdirected_total", "requests that reached another upstream than was meant")    \
  X (STORE_CALLS, "platform_calls_total", "calls to the platform's store")                         \
  X (STORE_FAILURES, "platform_failures_total", "calls to the platform's store that failed")       \
  X (ORDERS, "orders_total", "orders given to engines")                                            \
  X (ORDERS_REFUSED, "orders_refused_total", "orders that engines refused")                        \
  X (SUSPICIONS, "suspicions_total", "upstreams that ended under a request, by request")           \
  X (QUARANTINES, "convictions_total", "requests refused as upstreams have ended under them")      \
  X (SUSPECTS_REFUSED, "suspects_refused_total", "tries of such requests that were refused")       \
  X (CONNECTS, "connects_total", "connections opened to upstreams")

typedef enum
{
#define MF_RELAY_COUNTER_ENUM(id, name, help) MF_RELAY_COUNT_##id,
  MF_RELAY_COUNTER_TABLE (MF_RELAY_COUNTER_ENUM)
#undef MF_RELAY_COUNTER_ENUM
      MF_RELAY_N_COUNTERS,
} MfRelayCounter;

typedef struct
{
  uint64_t buckets[MF_RELAY_BUCKETS + 1]; /* the last is without bound */
  uint64_t sum_us;
  uint64_t count;
} MfRelayHistogram;

/* What is counted of requests since the process started. */
typedef struct
{
  uint64_t counts[MF_RELAY_N_COUNTERS];
  uint64_t by_code[64];         /* ends of requests by the index of their code */
  MfRelayHistogram answer;      /* plain requests: to the whole answer */
  MfRelayHistogram first_event; /* streams: to the first event */
  MfRelayHistogram waited;      /* for room */
} MfRelayCounters;

void mf_relay_histogram_observe (MfRelayHistogram *histogram, uint64_t value_us);
void mf_relay_counters_render (const MfRelayCounters *counters, MfBuffer *out);

#endif
