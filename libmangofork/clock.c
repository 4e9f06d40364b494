#include "clock.h"

#include "types.h"

#include <time.h>

/* Returns the monotonic clock, in microseconds. */
uint64_t
mf_clock_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * MF_US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

/* Returns the wall clock, in milliseconds since 1970. It may jump. */
uint64_t
mf_clock_wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}
