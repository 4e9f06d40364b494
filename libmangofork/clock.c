#include "clock.h"

#include "types.h"

#include <time.h>

static uint64_t
clock_read_us (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return (uint64_t)now.tv_sec * MF_US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

/* Returns the monotonic clock, in microseconds. It stands still while the machine is suspended. */
uint64_t
mf_clock_now_us (void)
{
  return clock_read_us (CLOCK_MONOTONIC);
}

/* Returns a monotonic clock that also runs while the machine is suspended, in microseconds. */
uint64_t
mf_clock_boottime_us (void)
{
  return clock_read_us (CLOCK_BOOTTIME);
}

/* Returns the wall clock, in milliseconds since 1970. It may be set forwards or backwards. */
uint64_t
mf_clock_wall_ms (void)
{
  return clock_read_us (CLOCK_REALTIME) / 1000;
}
