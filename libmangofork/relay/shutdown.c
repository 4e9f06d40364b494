#include "shutdown.h"

#include "libmangofork/clock.h"

/* The process exits this long before it would be killed. */
#define EXIT_MARGIN_US (250 * MF_US_PER_MS)
/* Streams are accepted for this part of the grace period, but no longer than the load balancer
 * needs to stop using this instance: it checks readiness every second and acts on the second
 * failure. */
#define STREAMS_PERCENT 40
#define STREAMS_MAX_US (2500 * MF_US_PER_MS)

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
 * exit, or could be cut off. Of a stream it is enough that there is time for it before the exit, as
 * there must be before its deadline, while the load balancer sends new requests here: many other
 * instances may be stopping as well, and could take it no better. */
bool
mf_shutdown_admits (const MfShutdown *shutdown, const MfShutdownRequest *request, uint64_t now_us)
{
  uint64_t exit_by_us = mf_shutdown_exit_by_us (shutdown);

  if (shutdown->started_us == 0 || request->deadline_us <= exit_by_us)
    return true;
  if (!request->is_stream || (!request->is_accepted && now_us >= streams_until_us (shutdown)))
    return false;
  return now_us + request->answer_us < exit_by_us;
}
