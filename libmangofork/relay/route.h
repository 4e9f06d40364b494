#ifndef MF_RELAY_ROUTE_H
#define MF_RELAY_ROUTE_H

#include "libmangofork/types.h"

/* What a route's requests allow. */
typedef enum
{
  MF_ROUTE_IDEMPOTENT,     /* may run more than once */
  MF_ROUTE_NON_IDEMPOTENT, /* runs once at most */
  MF_ROUTE_STREAMING,      /* answered by a series of events; runs once unless resumable */
} MfRouteKind;

/* One service a route may send to, and how often against the others. */
typedef struct
{
  uint32_t service; /* into MfRoutes.services */
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
  uint64_t timeout_us;        /* the longest a caller may be kept */
  uint64_t target_latency_us; /* to the answer, or a stream's first event */
  uint64_t target_gap_us;     /* longest pause between two events of a stream */
  uint32_t priority;          /* 0 is the most urgent */
  uint32_t attempts_max;      /* upstreams that one request may run on */
  bool resumable;
  MfRouteShare *shares;
  uint32_t n_shares;
} MfRoute;

/* One service of the configuration. For a plain service, slots is 0. */
typedef struct
{
  char *name;
  uint32_t connections_max; /* an upstream takes from all callers together; 0: not told */
  bool is_engine;
  uint32_t engine_slots;
  uint64_t kv_capacity_tokens;
  uint32_t event_tokens;    /* tokens of an answer in one event of its stream; 0: not told */
  uint64_t kv_retention_us; /* prefilled memory is kept this long for its decode */
  uint64_t stage_change_us; /* an engine ordered to the other stage is away so long; 0: not told */
} MfRouteService;

/* What callers may send. */
typedef struct
{
  uint64_t header_bytes_max;
  uint64_t body_bytes_max;
  uint64_t header_timeout_us;
  uint64_t idle_timeout_us;
} MfCallerLimits;

/* One version of the operators' configuration; shared by the requests that began under it. */
typedef struct
{
  uint64_t version;
  MfRoute *routes;
  uint32_t n_routes;
  MfRouteService *services;
  uint32_t n_services;
  MfCallerLimits limits;
  uint32_t n_refs;
} MfRoutes;

MfRoutes *mf_routes_new (uint32_t n_routes, uint32_t n_services);
MfRoutes *mf_routes_ref (MfRoutes *routes);
void mf_routes_unref (MfRoutes *routes);
uint32_t mf_routes_service (const MfRoutes *routes, const char *name);
const MfRoute *mf_routes_find (const MfRoutes *routes, const char *host, size_t host_bytes,
                               const char *path, size_t path_bytes);
uint32_t mf_route_choose (const MfRoute *route, uint32_t random);

#endif
