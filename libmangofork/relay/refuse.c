#include "refuse.h"

/* The proposed delay is at most the caller's remaining time divided by this. */
#define LEFT_DIVISOR 3
/* An instance that has just started has its configuration after a few reads of the platform's
 * store. */
#define STARTUP_RETRY_US (150 * MF_US_PER_MS)
/* One that has no configuration after this time cannot reach the store, whose outages last
 * seconds. */
#define STARTUP_US (300 * MF_US_PER_MS)
#define STORE_RETRY_US (2 * MF_US_PER_S)
/* Discovery takes at least this long to report a new upstream. */
#define NO_UPSTREAM_RETRY_US (400 * MF_US_PER_MS)
/* The delay is the latency objective divided by this if it is not known when capacity becomes
 * available. */
#define OBJECTIVE_DIVISOR 4

static uint64_t
base_delay_us (const MfRefusal *refusal)
{
  switch (refusal->code)
    {
    case MF_CODE_NO_CONFIG:
      return refusal->uptime_us < STARTUP_US ? STARTUP_RETRY_US : STORE_RETRY_US;
    case MF_CODE_CONFIG_STALE:
      return STORE_RETRY_US;
    case MF_CODE_DRAINING:
      return 0; /* another instance can take it at once */
    case MF_CODE_NO_UPSTREAM:
      return NO_UPSTREAM_RETRY_US;
    default:
      return refusal->available_us > 0 ? refusal->available_us
                                       : refusal->objective_us / OBJECTIVE_DIVISOR;
    }
}

/* Returns the delay in microseconds after which a refused caller should retry. */
uint64_t
mf_refuse_retry_after_us (const MfRefusal *refusal)
{
  uint64_t delay_us = base_delay_us (refusal);
  uint64_t max_us = refusal->left_us / LEFT_DIVISOR;

  /* Spreads callers that are refused together over half the delay. */
  delay_us += (delay_us / 2) * (uint64_t)refusal->jitter >> 32;
  return delay_us < max_us ? delay_us : max_us;
}
