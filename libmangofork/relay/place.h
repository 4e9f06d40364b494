#ifndef MF_RELAY_PLACE_H
#define MF_RELAY_PLACE_H

#include "route.h"
#include "target.h"

/* Upstreams one request keeps away from; more tries than that are not made. */
#define MF_PLACE_AVOID_MAX 6

/* What is to be placed. */
typedef struct
{
  const char *service;
  MfRole role;
  uint64_t tokens; /* of the prompt for a prefill, of all its engine memory for a decode */
  const MfRouteService *traits;
  uint64_t avoid[MF_PLACE_AVOID_MAX]; /* hashes of those already tried */
  uint32_t n_avoid;
  const char *data_centre;        /* of the instance that sends the request */
  const char *memory_data_centre; /* where the engine memory lies that it goes on from, or NULL */
  bool must_fit;                  /* only engines that have room for it now */
  uint32_t point;                 /* uniform; decides between equals */
} MfPlaceAsk;

/* Whether an upstream is among those that a request keeps away from. */
bool mf_place_avoids (const uint64_t *avoid, uint32_t n_avoid, const MfTarget *target);
/* Chooses the upstream that is expected to answer first. NULL when none is usable; any_alive then
 * tells whether one of the role is known at all that is not leaving. */
MfTarget *mf_place_choose (const MfTargets *targets, const MfPlaceAsk *ask, uint64_t now_us,
                           bool *any_alive);
/* How long the answer is expected to take there, in microseconds. */
double mf_place_cost_us (const MfTarget *target, const MfPlaceAsk *ask, uint64_t now_us);
/* Whether some upstream of the service has this role and is not leaving. */
bool mf_place_has_role (const MfTargets *targets, const char *service, MfRole role);

#endif
