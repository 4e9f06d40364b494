#ifndef MF_RELAY_ROUTE_H
#define MF_RELAY_ROUTE_H

#include "libmangofork/customer.h"
#include "libmangofork/types.h"

/* How often requests of a route may run. */
typedef enum
{
  MF_ROUTE_IDEMPOTENT,     /* may run more than once */
  MF_ROUTE_NON_IDEMPOTENT, /* runs once at most */
  MF_ROUTE_STREAMING,      /* answered by a stream of events; runs once unless resumable */
} MfRouteKind;

/* A service that a route sends to, with its weight. */
typedef struct
{
  uint32_t service; /* index into MfRoutes.services */
  uint32_t weight;
} MfRouteShare;

typedef struct
{
  char *name;
  char *host;
  char *path_prefix;
  uint32_t host_bytes;
  uint32_t prefix_bytes;
  MfRouteKind kind;
  uint64_t timeout_us;        /* maximum time until the caller is answered */
  uint64_t target_latency_us; /* objective: time to the answer or to the first event */
  uint64_t target_gap_us;     /* objective: longest pause between two events */
  uint32_t priority;          /* 0 is the most urgent */
  uint32_t attempts_max;      /* maximum upstreams that one request may run on */
  bool resumable;
  bool is_exempt; /* needs no key of a customer */
  MfRouteShare *shares;
  uint32_t n_shares;
  uint64_t changed_us; /* since then it leads to these services; 0: since it is known here */
} MfRoute;

/* A configured service. engine_slots is 0 for a plain service. */
typedef struct
{
  char *name;
  uint32_t connections_max; /* limit of an upstream for all callers together; 0: unknown */
  bool is_engine;
  uint32_t engine_slots;
  uint64_t kv_capacity_tokens;
  uint32_t event_tokens;    /* answer tokens per event of a stream; 0: unknown */
  uint64_t kv_retention_us; /* prefilled KV is kept this long for its decode */
  uint64_t stage_change_us; /* duration of a role change of an engine; 0: unknown */
} MfRouteService;

/* Limits on requests of callers. */
typedef struct
{
  uint64_t header_bytes_max;
  uint64_t body_bytes_max;
  uint64_t header_timeout_us;
  uint64_t idle_timeout_us;
} MfCallerLimits;

/* One version of the operators' configuration; shared by the requests that were started with it. */
typedef struct
{
  uint64_t era;       /* of the source that it was read from */
  uint64_t text_hash; /* of the text that it was read from */
  uint64_t version;
  MfRoute *routes;
  uint32_t n_routes;
  MfRouteService *services;
  uint32_t n_services;
  MfCallerLimits limits;
  MfCustomers *customers; /* NULL: callers have no keys */
  uint32_t n_refs;
} MfRoutes;

MfRoutes *mf_routes_new (uint32_t n_routes, uint32_t n_services);
MfRoutes *mf_routes_ref (MfRoutes *routes);
void mf_routes_unref (MfRoutes *routes);
uint32_t mf_routes_service (const MfRoutes *routes, const char *name);
const MfRoute *mf_routes_find (const MfRoutes *routes, const char *host, size_t host_bytes,
                               const char *path, size_t path_bytes);
uint64_t mf_routes_stream_timeout_us (const MfRoutes *routes);
void mf_routes_note_changes (MfRoutes *routes, const MfRoutes *before, uint64_t now_us);
uint32_t mf_route_choose (const MfRoute *route, uint32_t random);

#endif
