#ifndef MF_RELAY_COUNTERS_H
#define MF_RELAY_COUNTERS_H

#include "libmangofork/buffer.h"
#include "libmangofork/code.h"

/* Buckets of a latency histogram. Their upper bounds are 1, 2, 4, ... milliseconds. */
#define MF_RELAY_BUCKETS 16

/* Columns: identifier, metric name, help text. */
#define MF_RELAY_COUNTER_TABLE(X)                                                                  \
  X (REQUESTS, "requests_total", "requests read from callers")                                     \
  X (ANSWERED, "answers_total", "requests answered completely")                                    \
  X (REFUSED, "refusals_total", "requests refused before they ran")                                \
  X (FAILED, "failures_total", "requests that may have run and failed")                            \
  X (CUT_OFF, "answers_cut_off_total", "of these, answers that had begun")                         \
  X (SECOND_HEADS, "second_heads_total",                                                           \
     "responses cut off in place of a second head, an internal error")                             \
  X (SECOND_SENDS, "second_sends_total",                                                           \
     "requests that were ended in place of a second run beside one, an internal error")            \
  X (LATE_REPLIES, "late_replies_total",                                                           \
     "replies of other instances that no request waited for any more")                             \
  X (DEPARTED, "departures_total", "callers that disconnected before their response")              \
  X (UNREADABLE, "unreadable_total", "requests refused because they could not be read")            \
  X (SENDS, "sends_total", "requests sent to upstreams, retries included")                         \
  X (RETRIES, "repeats_total", "retries sent to upstreams")                                        \
  X (RETRIES_GRANTED, "repeats_given_total", "retries that the leader granted")                    \
  X (RETRIES_DENIED, "repeats_denied_total", "retries denied by the retry budget")                 \
  X (NOT_RUN, "rejections_total", "requests that upstreams declined to run")                       \
  X (BROKEN, "broken_total", "exchanges with upstreams that failed")                               \
  X (UNREACHED, "unreached_total", "failed connection attempts to upstreams")                      \
  X (PREFILLS, "prefills_total", "prefills completed at prefill engines")                          \
  X (PREFILLS_WASTED, "prefills_wasted_total", "prefills whose KV was not used")                   \
  X (REREAD_MOVED, "prompt_tokens_reread_moved_total",                                             \
     "tokens of prompts sent to a further engine, as the one before was silent")                   \
  X (REREAD_BROKEN, "prompt_tokens_reread_broken_total",                                           \
     "tokens of prompts prefilled again, as the prefill or the run before broke")                  \
  X (REREAD_LAPSED, "prompt_tokens_reread_lapsed_total",                                           \
     "tokens of prompts prefilled again, as no decode could use the KV in time")                   \
  X (UNUSED_DEPARTED, "prompt_tokens_unused_departed_total",                                       \
     "tokens of prompts prefilled for callers that disconnected before a run")                     \
  X (UNUSED_ENDED, "prompt_tokens_unused_ended_total",                                             \
     "tokens of prompts prefilled for requests that ended otherwise before a run")                 \
  X (RESUMED, "streams_resumed_total", "streams resumed at another upstream")                      \
  X (KEPT, "runs_kept_total",                                                                      \
     "silent runs that were kept, as no other upstream was found in time")                         \
  X (TAKEN_UP, "streams_taken_up_total", "streams that callers took up again")                     \
  X (NO_VERSION, "streams_refused_total", "of these, refused, as no upstream can go on with them") \
  X (WAITED, "waited_total", "requests that waited for capacity")                                  \
  X (MISDIRECTED, "misdirected_total", "requests that reached another upstream than intended")     \
  X (STORE_CALLS, "platform_calls_total", "requests to the platform's store")                      \
  X (STORE_FAILURES, "platform_failures_total", "requests to the platform's store that failed")    \
  X (ORDERS, "orders_total", "orders sent to engines")                                             \
  X (ORDERS_REFUSED, "orders_refused_total", "orders that engines rejected")                       \
  X (SUSPICIONS, "suspicions_total", "crashes of upstreams attributed to a request")               \
  X (QUARANTINES, "convictions_total", "requests quarantined because they crash upstreams")        \
  X (SUSPECTS_REFUSED, "suspects_refused_total", "refused attempts of quarantined requests")       \
  X (RATE_ASKED, "rate_asks_total", "requests that needed a unit of an upstream's rate limit")     \
  X (RATE_DENIED, "rate_denied_total", "of these, denied, as the limit was reached")               \
  X (RATE_LOCAL, "rate_local_total", "of these, decided locally, as no allocator replied")         \
  X (QUOTA_ASKED, "quota_asks_total", "requests that asked the allocator of a customer's quota")   \
  X (QUOTA_GRANTED, "quota_granted_total", "of these, admitted by the allocator")                  \
  X (QUOTA_DENIED, "quota_denied_total", "requests refused over the quota of their customer")      \
  X (QUOTA_LOCAL, "quota_local_total", "requests decided locally, as no allocator replied")        \
  X (KEYS_REFUSED, "keys_refused_total", "requests refused at once for their key")                 \
  X (KEYS_REVOKED, "keys_revoked_total", "requests ended as their key was removed meanwhile")      \
  X (KEYS_MOVED, "keys_moved_total", "requests whose key another customer has got meanwhile")      \
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
  uint64_t buckets[MF_RELAY_BUCKETS + 1]; /* the last one has no upper bound */
  uint64_t sum_us;
  uint64_t count;
} MfRelayHistogram;

/* Customers with counters of their own; the others share one row. */
#define MF_RELAY_CUSTOMERS_MAX 64
/* Bytes of a customer's name in the counters, including the terminating NUL. */
#define MF_RELAY_CUSTOMER_BYTES 128

typedef enum
{
  MF_CUSTOMER_REQUESTS,
  MF_CUSTOMER_ANSWERED,
  MF_CUSTOMER_REFUSED,
  MF_CUSTOMER_FAILED,
  MF_CUSTOMER_DEPARTED,
  MF_CUSTOMER_UNITS,
  MF_CUSTOMER_UNITS_DENIED,
  MF_CUSTOMER_UNITS_RETURNED,
  MF_CUSTOMER_N_COUNTS,
} MfCustomerCount;

typedef struct
{
  char name[MF_RELAY_CUSTOMER_BYTES]; /* "": the customers without a row of their own */
  uint64_t name_hash;
  uint64_t counts[MF_CUSTOMER_N_COUNTS];
} MfCustomerCounts;

/* Counted since the process started. */
typedef struct
{
  MfCustomerCounts customers[MF_RELAY_CUSTOMERS_MAX + 1]; /* the last one is the shared row */
  uint32_t n_customers;                                   /* with a row of their own */
  uint64_t counts[MF_RELAY_N_COUNTERS];
  uint64_t by_code[64];         /* ended requests, by the index of their code */
  MfRelayHistogram answer;      /* plain requests: time to the complete response */
  MfRelayHistogram first_event; /* streams: time to the first event */
  MfRelayHistogram waited;      /* time spent waiting for capacity */
} MfRelayCounters;

void mf_relay_histogram_observe (MfRelayHistogram *histogram, uint64_t value_us);
void mf_relay_counters_note_customer (MfRelayCounters *counters, const char *name,
                                      uint64_t name_hash, MfCustomerCount count, uint64_t n);
void mf_relay_counters_render (const MfRelayCounters *counters, MfBuffer *out);

#endif
