#ifndef MF_RELAY_PLACE_H
#define MF_RELAY_PLACE_H

#include "route.h"
#include "target.h"

#include "libmangofork/spillover.h"

/* Maximum upstreams that one request avoids. */
#define MF_PLACE_AVOID_MAX 16

/* Versions whose upstreams are kept for streams that have begun there, at most. */
#define MF_PLACE_KEPT_VERSIONS_MAX 8

/* The request to place. */
typedef struct
{
  const char *service;
  MfRole role;
  uint64_t version; /* hash of the software version that the upstream must have; 0: any */
  uint64_t tokens;  /* prompt tokens for a prefill, total KV use for a decode */
  const MfRouteService *service_config;
  uint64_t avoid[MF_PLACE_AVOID_MAX]; /* hashes of upstreams already tried */
  uint32_t n_avoid;
  const char *data_centre;    /* of the sending instance */
  const char *kv_data_centre; /* of the prefilled KV; NULL: none */
  /* For a prefill: of the engine that decodes; NULL: taken to be that of the sending instance. */
  const char *decode_data_centre;
  const MfSpillover *spillover; /* decides what another data centre costs; NULL: constants */
  uint64_t request_bytes;       /* of head and body; 0: unknown */
  uint32_t connections_max;     /* part of this instance in an upstream's connections; 0: unknown */
  bool avoid_suspects;          /* avoid upstreams that run suspect requests */
  bool must_fit;                /* only engines with free capacity */
  bool is_grant;                /* for a request of any instance, which is granted a slot */
  uint64_t max_wait_us;         /* how long it may wait until an upstream's rate limit admits it */
  /* Versions that only a request bound to one of them may use. */
  uint64_t kept_versions[MF_PLACE_KEPT_VERSIONS_MAX];
  uint32_t n_kept_versions;
  uint32_t tie_break; /* uniform random number; decides between equal costs, and
                         whether the request is in the share that may leave its data centre */
} MfPlaceQuery;

/* Why an upstream is not chosen. */
typedef enum
{
  MF_PLACE_NO_OBSTACLE,
  MF_PLACE_SUSPECT, /* it is chosen only if there is no other */
  MF_PLACE_NOT_ELIGIBLE,
  MF_PLACE_CHANGING,
  MF_PLACE_PAUSED,
  MF_PLACE_LIMITED,
  MF_PLACE_PACED,
  MF_PLACE_AVOIDED,
  MF_PLACE_KEPT,
  MF_PLACE_FULL,
  MF_PLACE_REPLACED,
} MfPlaceObstacle;

MfPlaceObstacle mf_place_obstacle (const MfTarget *target, const MfPlaceQuery *query,
                                   uint64_t now_us);
const char *mf_place_obstacle_text (MfPlaceObstacle obstacle);
bool mf_place_avoids (const uint64_t *avoid, uint32_t n_avoid, const MfTarget *target);
MfTarget *mf_place_choose (const MfTargets *targets, const MfPlaceQuery *query, uint64_t now_us,
                           bool *any_available);
double mf_place_cost_us (const MfTarget *target, const MfPlaceQuery *query, uint64_t now_us);
bool mf_place_has_any (const MfTargets *targets, const MfPlaceQuery *query, uint64_t now_us);
uint64_t mf_place_available_us (const MfTargets *targets, const MfPlaceQuery *query,
                                uint64_t now_us);

#endif
