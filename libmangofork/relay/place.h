#ifndef MF_RELAY_PLACE_H
#define MF_RELAY_PLACE_H

#include "route.h"
#include "target.h"

/* Upstreams that one request or ask keeps away from. */
#define MF_PLACE_AVOID_MAX 16

/* What is to be placed. */
typedef struct
{
  const char *service;
  MfRole role;
  uint64_t tokens; /* of the prompt for a prefill, of all its engine memory for a decode */
  const MfRouteService *service_config;
  uint64_t avoid[MF_PLACE_AVOID_MAX]; /* hashes of those already tried */
  uint32_t n_avoid;
  const char *data_centre;    /* of the instance that sends the request */
  const char *kv_data_centre; /* where the engine memory lies that it goes on from, or NULL */
  bool avoid_suspects;        /* not beside a request under which an upstream has ended */
  bool must_fit;              /* only engines that have room for it now */
  uint32_t tie_break;         /* uniform; decides between equals */
} MfPlaceQuery;

bool mf_place_avoids (const uint64_t *avoid, uint32_t n_avoid, const MfTarget *target);
MfTarget *mf_place_choose (const MfTargets *targets, const MfPlaceQuery *query, uint64_t now_us,
                           bool *any_available);
double mf_place_cost_us (const MfTarget *target, const MfPlaceQuery *query, uint64_t now_us);
bool mf_place_has_role (const MfTargets *targets, const char *service, MfRole role,
                        const uint64_t *avoid, uint32_t n_avoid);
uint64_t mf_place_pause_end_us (const MfTargets *targets, const char *service, MfRole role,
                                uint64_t now_us);

#endif
