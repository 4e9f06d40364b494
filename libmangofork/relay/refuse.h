#ifndef MF_RELAY_REFUSE_H
#define MF_RELAY_REFUSE_H

#include "libmangofork/code.h"

/* What is known about a refused request. */
typedef struct
{
  MfCode code;
  uint64_t left_us;      /* until the caller's deadline */
  uint64_t objective_us; /* latency objective of the route */
  uint64_t uptime_us;    /* of this process */
  uint64_t available_us; /* when capacity is expected, from now; 0: not known */
  uint32_t jitter;       /* uniform random number */
} MfRefusal;

uint64_t mf_refuse_retry_after_us (const MfRefusal *refusal);

#endif
