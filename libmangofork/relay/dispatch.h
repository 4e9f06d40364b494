#ifndef MF_RELAY_DISPATCH_H
#define MF_RELAY_DISPATCH_H

#include "load.h"
#include "place.h"

/* Decides which waiting request gets a place at which engine. For each service one instance decides
 * for all while it can be reached; any instance decides for itself when it cannot. It answers
 * bursts that exceed the engines' memory: places that come free go to one request each, to those
 * that can still be in time first, where without it every instance with a waiting request takes
 * them at once.
 *
 * A grant is a promise of the dispatcher only: the engine may still decline. */
typedef struct MfDispatch MfDispatch;

/* Who asks: 0 is this instance, others are named by the hash of their address. */
#define MF_DISPATCH_SELF 0

/* A request for a place. */
typedef struct
{
  uint64_t id; /* of the asker's choice; rises */
  char service[MF_NAME_BYTES];
  char data_centre[MF_NAME_BYTES]; /* of the asker */
  uint64_t prompt_tokens;
  uint64_t kv_tokens;
  bool is_prefilled;                  /* its prompt has been read already */
  uint64_t age_us;                    /* since the caller's request came */
  uint64_t objective_us;              /* it is in time if served before this age */
  uint64_t max_age_us;                /* it is of no use after this age */
  uint64_t avoid[MF_PLACE_AVOID_MAX]; /* hashes of upstreams that have declined or failed */
  uint32_t n_avoid;
} MfSlotRequest;

/* Where it is to go. */
typedef struct
{
  uint64_t id;
  uint64_t decode;  /* hash of the engine that has room */
  uint64_t prefill; /* hash of the engine that is to read the prompt; 0: none */
} MfGrant;

typedef struct
{
  void (*grant) (void *data, uint64_t requester, const MfGrant *grant);
  /* What a service's engines are like in the configuration in force; NULL when not known. */
  const MfRouteService *(*service_config) (void *data, const char *service);
} MfDispatchCallbacks;

MfDispatch *mf_dispatch_new (MfTargets *targets, const MfDispatchCallbacks *callbacks, void *data);
void mf_dispatch_free (MfDispatch *dispatch);
void mf_dispatch_enqueue (MfDispatch *dispatch, uint64_t requester, const MfSlotRequest *request,
                          uint64_t now_us);
void mf_dispatch_cancel (MfDispatch *dispatch, uint64_t requester, uint64_t id);
void mf_dispatch_drop_requester (MfDispatch *dispatch, uint64_t requester);
void mf_dispatch_ack_grants (MfDispatch *dispatch, uint64_t requester, uint64_t id);
uint32_t mf_dispatch_run (MfDispatch *dispatch, uint64_t now_us);
uint32_t mf_dispatch_n_waiting (const MfDispatch *dispatch);
void mf_dispatch_add_pending (const MfDispatch *dispatch, uint64_t now_us);

#endif
