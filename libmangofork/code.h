#ifndef MF_CODE_H
#define MF_CODE_H

#include "types.h"

/* The result codes. Columns: identifier, number, HTTP status (0 if callers never see the code),
 * outcome that a refusal with this code states unless the request's history shows another one,
 * short name, summary. docs/ERRORS.md has the same table with a runbook entry for each code.
 *
 * 1xxx: request of the caller, 2xxx: routing and capacity, 3xxx: upstreams, 4xxx: idempotent calls,
 * 5xxx: settings and operators' text, 6xxx: platform and peers, 7xxx: this process. */
#define MF_CODE_TABLE(X)                                                                           \
  X (OK, 0, 200, RAN, "ok", "the request was answered")                                            \
  X (BAD_JSON, 1001, 400, NOT_RUN, "bad-json", "the body is not valid JSON")                       \
  X (BAD_ENCODING, 1002, 400, NOT_RUN, "bad-encoding", "the body is not valid UTF-8")              \
  X (BAD_FIELD, 1003, 400, NOT_RUN, "bad-field", "a field is missing or has a wrong type")         \
  X (BODY_TOO_LARGE, 1004, 413, NOT_RUN, "body-too-large", "the body exceeds the limit")           \
  X (BODY_TRUNCATED, 1005, 400, NOT_RUN, "body-truncated", "the body ended early")                 \
  X (HEADERS_TOO_LARGE, 1006, 431, NOT_RUN, "headers-too-large", "the headers exceed the limit")   \
  X (BAD_LENGTH, 1007, 400, NOT_RUN, "bad-length", "the lengths of the body conflict")             \
  X (SLOW_SENDER, 1008, 408, NOT_RUN, "slow-sender", "the request took too long to arrive")        \
  X (NO_SERVICE, 1009, 404, NOT_RUN, "no-service", "no service has this path or model")            \
  X (BAD_METHOD, 1010, 405, NOT_RUN, "bad-method", "the method is not offered here")               \
  X (NO_CUSTOMER, 1011, 401, NOT_RUN, "no-customer", "the API key belongs to no customer")         \
  X (TOO_LONG, 1012, 400, NOT_RUN, "too-long", "the prompt fits no engine")                        \
  X (BAD_HEADER, 1013, 400, NOT_RUN, "bad-header", "a header has a wrong value")                   \
  X (DEPARTED, 1014, 499, UNKNOWN, "departed", "the caller left before the end")                   \
  X (QUEUE_FULL, 2001, 503, NOT_RUN, "queue-full", "no capacity is expected before the deadline")  \
  X (DEADLINE, 2002, 504, NOT_RUN, "deadline", "the deadline passed")                              \
  X (CUSTOMER_LIMIT, 2003, 429, NOT_RUN, "customer-limit", "the customer's own limit is reached")  \
  X (RETRY_BUDGET, 2004, 503, UNKNOWN, "retry-budget", "the retry budget is spent")                \
  X (NO_CONFIG, 2005, 503, NOT_RUN, "no-config", "no operators' text is in force yet")             \
  X (DRAINING, 2006, 503, NOT_RUN, "draining", "this instance is shutting down")                   \
  X (DEPENDENCY_DOWN, 2007, 503, NOT_RUN, "dependency-down", "a dependency has no live upstream")  \
  X (OVER_LIMIT, 2008, 503, NOT_RUN, "over-limit", "this instance holds too many requests")        \
  X (CONFIG_STALE, 2009, 503, NOT_RUN, "config-stale", "the configuration may be out of date")     \
  X (NO_UPSTREAM, 3001, 503, NOT_RUN, "no-upstream", "the service has no live upstream")           \
  X (UPSTREAM_DIED, 3002, 502, UNKNOWN, "upstream-died", "the upstream died before its answer")    \
  X (UPSTREAM_ERROR, 3003, 502, RAN, "upstream-error", "the upstream answered with an error")      \
  X (UPSTREAM_STALLED, 3004, 504, UNKNOWN, "upstream-stalled", "the upstream stopped answering")   \
  X (POISON, 3005, 422, RAN, "poison", "this request has crashed upstreams and is not run again")  \
  X (ANSWER_TOO_LARGE, 3006, 502, RAN, "answer-too-large", "the upstream's answer is too large")   \
  X (NO_VERSION, 3007, 503, NOT_RUN, "no-version", "no upstream can go on with this stream")       \
  X (BAD_STATUS, 3008, 0, UNKNOWN, "bad-status", "the upstream's answer has no valid status")      \
  X (KEY_UNKNOWN, 4001, 409, UNKNOWN, "key-unknown", "the outcome of this key's call is unknown")  \
  X (KEY_NO_QUORUM, 4002, 503, UNKNOWN, "key-no-quorum", "too few instances answered for the key") \
  X (KEY_BODY_DIFFERS, 4003, 422, NOT_RUN, "key-body-differs",                                     \
     "the key was used with another body")                                                         \
  X (KEY_TOO_OLD, 4004, 409, UNKNOWN, "key-too-old", "the key is older than keys are kept")        \
  X (KEY_BAD, 4005, 400, NOT_RUN, "key-bad", "the key is empty or too long")                       \
  X (TEXT_SYNTAX, 5001, 0, NOT_RUN, "text-syntax", "the text is not JSON with comments")           \
  X (TEXT_UNKNOWN_KEY, 5002, 0, NOT_RUN, "text-unknown-key", "the text has an unknown key")        \
  X (TEXT_TYPE, 5003, 0, NOT_RUN, "text-type", "a value has the wrong type or unit")               \
  X (TEXT_RANGE, 5004, 0, NOT_RUN, "text-range", "a value is out of range")                        \
  X (TEXT_DUPLICATE, 5005, 0, NOT_RUN, "text-duplicate", "a name is given twice")                  \
  X (TEXT_MISSING, 5006, 0, NOT_RUN, "text-missing", "a required key or dependency is missing")    \
  X (TEXT_CYCLE, 5007, 0, NOT_RUN, "text-cycle", "the dependencies form a cycle")                  \
  X (TEXT_TOO_LARGE, 5008, 0, NOT_RUN, "text-too-large", "the text exceeds one megabyte")          \
  X (FILE_READ, 5009, 0, NOT_RUN, "file-read", "a file could not be read")                         \
  X (PLATFORM_DOWN, 6001, 0, NOT_RUN, "platform-down", "the platform does not answer")             \
  X (PLATFORM_STALE, 6002, 0, NOT_RUN, "platform-stale", "the platform served an older revision")  \
  X (PEER_FRAME, 6003, 0, NOT_RUN, "peer-frame", "a frame from a peer was malformed")              \
  X (PEER_AUTH, 6004, 0, NOT_RUN, "peer-auth", "a peer failed to authenticate")                    \
  X (PEER_VERSION, 6005, 0, NOT_RUN, "peer-version", "no common protocol version with a peer")     \
  X (NO_MEMORY, 7001, 503, NOT_RUN, "no-memory", "memory ran out")                                 \
  X (INTERNAL, 7002, 500, UNKNOWN, "internal", "an internal consistency check failed")             \
  X (LISTEN, 7003, 0, NOT_RUN, "listen", "an address could not be listened on")                    \
  X (USAGE, 7004, 0, NOT_RUN, "usage", "the command line is wrong")

typedef enum
{
#define MF_CODE_ENUM(id, number, status, outcome, name, summary) MF_CODE_##id = (number),
  MF_CODE_TABLE (MF_CODE_ENUM)
#undef MF_CODE_ENUM
} MfCode;

/* One row of the table of result codes. */
typedef struct
{
  MfCode code;
  uint16_t http_status;
  MfOutcome outcome;
  const char *name;
  const char *summary;
} MfCodeInfo;

/* Called for each row; returns false to stop. */
typedef bool (*MfCodeFunc) (const MfCodeInfo *info, void *data);

const MfCodeInfo *mf_code_info (MfCode code);
size_t mf_code_index (MfCode code);
size_t mf_code_count (void);
void mf_code_foreach (MfCodeFunc func, void *data);

#endif
