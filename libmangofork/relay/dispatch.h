#ifndef MF_RELAY_DISPATCH_H
#define MF_RELAY_DISPATCH_H

#include "load.h"
#include "place.h"

/* Assigns engine slots to waiting requests. For each service one instance, the leader, assigns the
 * slots for all instances; an instance that cannot reach the leader assigns slots itself. It is
 * needed in bursts that exceed the KV capacity of the engines. Each slot that becomes free is
 * granted to one request: by priority, then by fair queueing over customers (MfFair), then requests
 * that can still meet their objective come first. Without it,
 * every instance with a waiting request would send one to the same free slot at once.
 *
 * A grant reserves nothing at the engine, which may still decline the request. */
typedef struct MfDispatch MfDispatch;

/* Id of this instance as a requester; others have the hash of their address. */
#define MF_DISPATCH_SELF 0

/* How long a request may wait until an engine's rate limit admits it. */
#define MF_DISPATCH_RATE_WAIT_US (250 * MF_US_PER_MS)

/* A request for a slot at an engine. */
typedef struct
{
  uint64_t id; /* chosen by the requester; increasing */
  char service[MF_NAME_BYTES];
  char data_centre[MF_NAME_BYTES]; /* of the requester */
  uint64_t prompt_tokens;
  uint64_t kv_tokens;
  uint64_t version;  /* hash of the software version that began the stream; 0: it has not begun */
  bool is_prefilled; /* its prompt has been prefilled */
  uint64_t age_us;   /* time since the caller's request arrived */
  uint64_t objective_us;              /* the objective is met if it is served before this age */
  uint64_t max_age_us;                /* it is dropped after this age */
  uint64_t avoid[MF_PLACE_AVOID_MAX]; /* hashes of upstreams that have declined or failed it */
  uint32_t n_avoid;
  uint64_t customer; /* hash of its name; 0: none */
  uint32_t priority; /* 0 is the most urgent; at most MF_FAIR_PRIORITY_MAX; 0 without customers */
} MfSlotRequest;

/* Customers with counters of their own, at most. Further ones are counted in the last row. */
#define MF_DISPATCH_CUSTOMERS_MAX 64
/* Customer of the row that counts further ones. */
#define MF_DISPATCH_OTHER_CUSTOMERS UINT64_MAX

/* Counters of the slot requests of a customer at this instance. */
typedef struct
{
  uint64_t customer; /* hash of its name; 0: requests without a customer */
  uint64_t n_granted;
  uint64_t n_waited;  /* for which no slot was free at once */
  uint64_t n_refused; /* at once, as no slot could be granted in time */
  uint64_t waited_us; /* total time until the grants */
} MfDispatchCustomer;

/* The engines assigned to a request. */
typedef struct
{
  uint64_t id;
  uint64_t decode;  /* hash of the decode engine */
  uint64_t prefill; /* hash of the engine that prefills the prompt; 0: none */
} MfGrant;

typedef struct
{
  void (*grant) (void *data, uint64_t requester, const MfGrant *grant);
  /* Returns the service as configured; NULL when it is unknown. */
  const MfRouteService *(*service_config) (void *data, const char *service);
} MfDispatchCallbacks;

MfDispatch *mf_dispatch_new (MfTargets *targets, const MfDispatchCallbacks *callbacks, void *data);
void mf_dispatch_free (MfDispatch *dispatch);
void mf_dispatch_enqueue (MfDispatch *dispatch, uint64_t requester, const MfSlotRequest *request,
                          uint64_t now_us);
bool mf_dispatch_can_serve (const MfDispatch *dispatch, const MfSlotRequest *request,
                            uint64_t *wait_us);
bool mf_dispatch_admit (MfDispatch *dispatch, const MfSlotRequest *request, uint64_t now_us,
                        uint64_t *wait_us);
void mf_dispatch_cancel (MfDispatch *dispatch, uint64_t requester, uint64_t id);
void mf_dispatch_drop_requester (MfDispatch *dispatch, uint64_t requester);
void mf_dispatch_ack_grants (MfDispatch *dispatch, uint64_t requester, uint64_t id);
uint32_t mf_dispatch_run (MfDispatch *dispatch, uint64_t now_us);
bool mf_dispatch_is_waiting (const MfDispatch *dispatch, uint64_t requester, uint64_t id);
uint32_t mf_dispatch_n_waiting (const MfDispatch *dispatch);
const MfDispatchCustomer *mf_dispatch_customers (const MfDispatch *dispatch, uint32_t *n_customers);
void mf_dispatch_add_pending (const MfDispatch *dispatch, uint64_t now_us);

#endif
