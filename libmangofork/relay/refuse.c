#include "refuse.h"

/* Callers wait for at most this part of the time they have left. */
#define LEFT_DIVISOR 3
/* An instance that has just started knows its configuration within a few reads of the platform. */
#define STARTUP_RETRY_US (150 * MF_US_PER_MS)
/* One that has none after this time does not reach the platform's store, whose absences last
 * seconds. */
#define STARTUP_US (300 * MF_US_PER_MS)
#define STORE_RETRY_US (2 * MF_US_PER_S)
/* A service without upstreams gets one no sooner than discovery tells of it. */
#define NO_UPSTREAM_RETRY_US (400 * MF_US_PER_MS)
/* Room is looked for again after this part of the objective when it is not known when it comes. */
#define OBJECTIVE_DIVISOR 4

static uint64_t
base_delay_us (const MfRefusal *refusal)
{
  switch (refusal->code)
    {
    case MF_CODE_NO_CONFIG:
      return refusal->uptime_us < STARTUP_US ? STARTUP_RETRY_US : STORE_RETRY_US;
    case MF_CODE_DRAINING:
      return 0; /* another instance takes it now */
    case MF_CODE_NO_UPSTREAM:
      return NO_UPSTREAM_RETRY_US;
    default:
      return refusal->available_us > 0 ? refusal->available_us
                                       : refusal->objective_us / OBJECTIVE_DIVISOR;
    }
}

/* When a caller that is refused had best come back, in microseconds from now. */
uint64_t
mf_refuse_retry_after_us (const MfRefusal *refusal)
{
  uint64_t delay_us = base_delay_us (refusal);
  uint64_t max_us = refusal->left_us / LEFT_DIVISOR;

  /* Callers that are refused together come back spread over half the time again. */
  delay_us += (delay_us / 2) * (uint64_t)refusal->jitter >> 32;
  return delay_us < max_us ? delay_us : max_us;
}
