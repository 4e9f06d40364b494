#ifndef MF_RELAY_REFUSE_H
#define MF_RELAY_REFUSE_H

#include "libmangofork/code.h"

/* What is known when a request is refused. */
typedef struct
{
  MfCode code;
  uint64_t left_us;      /* until the caller gives up */
  uint64_t objective_us; /* the route's target latency */
  uint64_t uptime_us;    /* of this process */
  uint64_t available_us; /* when room is expected; 0: not known */
  uint32_t jitter;       /* uniform; spreads the returns */
} MfRefusal;

uint64_t mf_refuse_retry_after_us (const MfRefusal *refusal);

#endif
