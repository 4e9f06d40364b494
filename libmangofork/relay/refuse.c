#include "refuse.h"

/* Callers wait for at most this part of the time they have left. */
#define LEFT_PART 3
/* An instance that has just started knows its configuration within a few reads of the platform. */
#define START_US (150 * MF_US_PER_MS)
/* A service without upstreams gets one no sooner than discovery tells of it. */
#define NO_UPSTREAM_US (400 * MF_US_PER_MS)
/* Room is looked for again after this part of the objective when it is not known when it comes. */
#define FULL_PART 4

static uint64_t
wish_us (const MfRefusal *refusal)
{
  switch (refusal->code)
    {
    case MF_CODE_NO_CONFIG:
      return START_US;
    case MF_CODE_DRAINING:
      return 0; /* another instance takes it now */
    case MF_CODE_NO_UPSTREAM:
      return NO_UPSTREAM_US;
    default:
      return refusal->room_us > 0 ? refusal->room_us : refusal->objective_us / FULL_PART;
    }
}

uint64_t
mf_refuse_retry_after_us (const MfRefusal *refusal)
{
  uint64_t wish = wish_us (refusal);
  uint64_t most = refusal->left_us / LEFT_PART;

  /* Callers that are refused together come back spread over half the time again. */
  wish += (wish / 2) * (uint64_t)refusal->point >> 32;
  return wish < most ? wish : most;
}
