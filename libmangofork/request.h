#ifndef MF_REQUEST_H
#define MF_REQUEST_H

#include "core.h"
#include "heap.h"

#include "table.h"

/* The phase of a request. */
typedef enum
{
  MF_PHASE_QUEUED,
  MF_PHASE_CLAIMING, /* waits for votes on its idempotency key, or for an earlier run */
  MF_PHASE_PREFILLING,
  MF_PHASE_TRANSFERRING,
  MF_PHASE_DECODING,
  MF_PHASE_RESUMING,
  MF_PHASE_CONNECTING, /* plain: no byte can have been sent */
  MF_PHASE_SENT,       /* plain: the upstream may have received the call */
  MF_PHASE_ENDED,
  MF_PHASE_COUNT,
} MfPhase;

const char *mf_phase_name (MfPhase phase);

/* Inputs to the state machine of a request; the columns of the table in life.c. */
typedef enum
{
  MF_INPUT_DEPARTED,
  MF_INPUT_CALL_SENT,
  MF_INPUT_PREFILLED,
  MF_INPUT_IMPORTED,
  MF_INPUT_TOKENS,
  MF_INPUT_DONE,
  MF_INPUT_FAILED,
  MF_INPUT_CLAIM, /* its claim has a result */
  MF_INPUT_TIMER,
  MF_INPUT_COUNT,
} MfInput;

/* The decision on a claim of an idempotency key. */
typedef enum
{
  MF_CLAIM_GRANTED,   /* run it, once */
  MF_CLAIM_ANSWERED,  /* answered by an earlier run, whose answer is in the result */
  MF_CLAIM_UNKNOWN,   /* the outcome of an earlier run is unknown */
  MF_CLAIM_NO_QUORUM, /* too few votes; nothing was run for this request */
  MF_CLAIM_BODY_DIFFERS,
  MF_CLAIM_TOO_OLD,
} MfClaimDecision;

typedef struct
{
  MfClaimDecision decision;
  uint16_t status;
  MfCode code;
  MfOutcome outcome;
  const char *content_type;
  const char *body;
  size_t body_bytes;
} MfClaimResult;

/* Called by the claim controller when a claim started with mf_claim_begin has a result. May be
 * called before mf_claim_begin returns. */
void mf_request_claim_settled (MfCore *core, uint64_t request_id, const MfClaimResult *result);

typedef struct MfRequest MfRequest;

/* One running call to an upstream for a request. */
typedef struct MfCall
{
  uint64_t id;
  MfCallKind kind;
  uint32_t upstream;
  uint32_t attempt;
  uint32_t pieces; /* pieces of KV memory used there */
  uint32_t prefill_tokens;
  uint64_t queued_tokens; /* prefill: tokens queued at the engine, its own uncached ones included */
  uint64_t started_us;
  bool sent;
  bool hedge;
  bool suspect;      /* counted in its upstream's suspects */
  bool holds_pieces; /* its slot and pieces are counted at its upstream */
  bool prefilled;    /* prefill done: its KV belongs to the request */
  MfRequest *request;
  struct MfCall *next;          /* of the request */
  struct MfCall *prev_upstream; /* of the upstream */
  struct MfCall *next_upstream;
  UT_hash_handle hh;
} MfCall;

struct MfRequest
{
  MfHeapNode timer; /* first member: the heap's nodes are requests */
  uint64_t id;
  MfPhase phase;
  uint32_t service;
  uint32_t customer; /* MF_NONE: anonymous */
  MfClass class_;
  bool idempotent;
  bool has_idempotency_key;
  bool claimed;       /* granted; mf_claim_finish must be called */
  bool departed;      /* the caller has disconnected, but the call continues for its key */
  bool ran;           /* some of the work has certainly started at an upstream */
  uint32_t n_unknown; /* ended calls that may have run */
  uint8_t key_digest[MF_DIGEST_BYTES];
  uint64_t key_created_ms;
  uint64_t digest;
  uint64_t cache_salt;
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint64_t prefix_hashes[MF_PREFIX_HASHES_MAX];
  uint32_t n_prefix_hashes;

  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t check_us; /* when the next MF_INPUT_TIMER is due; timer may be earlier */
  uint64_t first_output_us;
  uint64_t last_output_us;
  uint64_t not_before_us; /* end of the backoff */
  uint32_t n_gaps;
  uint32_t n_gaps_late;
  uint32_t delivered;
  uint32_t attempt;
  uint32_t n_retries;
  uint32_t n_crashes; /* upstreams that crashed while they ran it */
  bool suspect;
  bool suspect_pending; /* whether its upstream died is not known yet */
  uint8_t n_claims;
  uint32_t suspected_at_token; /* tokens delivered when it became a suspect */

  MfCall *calls;
  uint32_t alternative;    /* second best prefill engine at its placement */
  uint64_t alternative_us; /* its predicted time to the first token; 0 for none */
  uint32_t cached_tokens;  /* of the prompt, at the last chosen prefill engine, as far as known */
  bool in_window;          /* counted in its pool's window */
  bool in_transit;         /* counted as on its way to a slot of its pool */
  bool transferring;       /* its KV is counted on its prefill engine's link */
  bool awaits_decode;      /* its KV waits for a decode engine; listed in the queue */
  uint32_t reserved;       /* decode upstream with a slot reserved for it, or MF_NONE */
  uint32_t pieces;
  uint64_t prefill_call_id; /* call whose KV waits; 0 for none */
  uint32_t prefill_upstream;
  uint32_t prefill_attempt;
  uint32_t prefill_pieces;
  uint64_t kv_expires_us;
  uint64_t kv_bytes;
  uint64_t prefilled_us;
  uint32_t n_refused;     /* times that decode engines refused the KV that waits */
  uint32_t last_upstream; /* last that failed it; avoided by the next attempt */

  uint32_t prefill_tokens; /* computed for it over all attempts */
  uint32_t wasted_tokens;

  MfRequest *prev; /* of its list in the queue */
  MfRequest *next;
  uint8_t tier; /* Tier in queue.c */
  bool queued;
  void *customer_queue;
  UT_hash_handle hh;
};

MfRequest *mf_request_find (const MfCore *core, uint64_t request_id);
uint32_t mf_request_count (const MfCore *core);
void mf_request_foreach (MfCore *core, void (*func) (MfRequest *request, void *data), void *data);
/* Fails every call in progress on an upstream whose process has ended. */
void mf_request_upstream_died (MfCore *core, uint32_t upstream);
/* Schedules the next MF_INPUT_TIMER; the deadline may fire it earlier. */
void mf_request_check_at (MfCore *core, MfRequest *request, uint64_t at_us);
void mf_request_set_phase (MfRequest *request, MfPhase phase);
const MfServiceRow *mf_request_service (const MfCore *core, const MfRequest *request);
void mf_request_trace (MfCore *core, const MfRequest *request, MfTraceKind kind, uint32_t upstream,
                       uint32_t other, uint64_t value);
/* Passes an input to the state machine of a request. Returns false if the input has no handler in
 * the request's phase. The request may have been freed on return. */
bool mf_life_input (MfCore *core, MfRequest *request, MfInput input, MfCall *call,
                    const MfEvent *event, const MfClaimResult *claim);
/* For tests: whether the table has a handler for the pair. */
bool mf_life_accepts (MfPhase phase, MfInput input);
struct MfPlacement; /* policy.h */

/* Starts a request that has been placed. */
void mf_life_start_model (MfCore *core, MfRequest *request, const struct MfPlacement *placement);
void mf_life_start_plain (MfCore *core, MfRequest *request, uint32_t upstream);
/* Sends the waiting KV to a decode engine if one has capacity. Returns false if the KV has to
 * wait. */
bool mf_life_try_transfer (MfCore *core, MfRequest *request);
/* Starts an admitted request. */
void mf_life_begin (MfCore *core, MfRequest *request);

/* call.c */
MfCall *mf_call_start (MfCore *core, MfRequest *request, MfCallKind kind, uint32_t upstream);
/* Frees a call that has ended. */
void mf_call_end (MfCore *core, MfCall *call);
/* Closes the call's connection. If the engine may hold memory for it, a cancel is sent until
 * confirmed. */
void mf_call_abandon (MfCore *core, MfCall *call);
/* Clears the suspect marks of the request and of its running calls. */
void mf_call_clear_suspect (MfCore *core, MfRequest *request);
void mf_call_abandon_all (MfCore *core, MfRequest *request);
MfCall *mf_call_find (const MfCore *core, uint64_t call_id);
/* Releases the KV at the prefill engine; its tokens count as wasted unless it was imported. */
void mf_call_drop_prefill (MfCore *core, MfRequest *request, bool imported);
void mf_call_begin_transfer (MfCore *core, MfRequest *request);
void mf_call_end_transfer (MfCore *core, MfRequest *request);
void mf_call_unreserve (MfCore *core, MfRequest *request);
/* Starts and stops counting the request in its pool's window. A request with a reserved slot does
 * not depend on the window, and widens it if it is full. */
void mf_call_enter_window (MfCore *core, MfRequest *request, bool slot_reserved);
void mf_call_leave_window (MfCore *core, MfRequest *request);
void mf_call_end_transit (MfCore *core, MfRequest *request);
void mf_call_reserve (MfCore *core, MfRequest *request, uint32_t upstream);

/* finish.c: the terminal states. Each function frees the request. */
void mf_finish_answered (MfCore *core, MfRequest *request, const MfEvent *event);
void mf_finish_refused (MfCore *core, MfRequest *request, MfCode code, uint64_t retry_after_ms);
void mf_finish_departed (MfCore *core, MfRequest *request);
void mf_finish_replayed (MfCore *core, MfRequest *request, const MfClaimResult *claim);
MfOutcome mf_finish_outcome (const MfRequest *request);
/* Refuses an event for which no request was created. */
void mf_finish_not_admitted (MfCore *core, const MfRequestEvent *event, uint32_t service,
                             uint32_t customer, MfCode code, uint64_t retry_after_ms);
/* Removes the request from all tables and frees it. */
void mf_request_remove (MfCore *core, MfRequest *request);

struct MfRequests
{
  MfRequest *by_id;
  MfCall *calls;
  MfHeap timers;
};

#endif
