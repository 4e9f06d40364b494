#include "shutdown.h"

#include "libmangofork/clock.h"

/* The process exits this long before it would be killed. */
#define EXIT_MARGIN_US (250 * MF_US_PER_MS)
/* Resumable streams are accepted for this part of the grace period, but no longer than the load
 * balancer needs to stop using this instance: it checks readiness every second and acts on the
 * second failure. */
#define STREAMS_PERCENT 40
#define STREAMS_MAX_US (2500 * MF_US_PER_MS)
/* Answers take up to this percentage of the estimate of the longest one. */
#define LONGEST_PERCENT 150

/* Returns the latest time of the process's exit. */
uint64_t
mf_shutdown_exit_by_us (const MfShutdown *shutdown)
{
  uint64_t margin_us
      = shutdown->grace_us / 4 < EXIT_MARGIN_US ? shutdown->grace_us / 4 : EXIT_MARGIN_US;

  return shutdown->started_us + shutdown->grace_us - margin_us;
}

static uint64_t
streams_until_us (const MfShutdown *shutdown)
{
  uint64_t open_us = shutdown->grace_us * STREAMS_PERCENT / 100;

  return shutdown->started_us + (open_us < STREAMS_MAX_US ? open_us : STREAMS_MAX_US);
}

/* Whether a request may be sent to an upstream now. Its answer must be certain to end before the
 * exit, or could be cut off. Only of a stream that can be resumed elsewhere a likely end is enough,
 * and only as long as the load balancer sends new requests here. */
bool
mf_shutdown_admits (const MfShutdown *shutdown, const MfShutdownRequest *request, uint64_t now_us)
{
  uint64_t exit_by_us = mf_shutdown_exit_by_us (shutdown);

  if (shutdown->started_us == 0 || request->deadline_us <= exit_by_us)
    return true;
  if (!request->can_be_resumed || (!request->is_accepted && now_us >= streams_until_us (shutdown)))
    return false;
  return now_us + request->longest_us * LONGEST_PERCENT / 100 < exit_by_us;
}
