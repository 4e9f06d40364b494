#include "job_row.h"

#include "libmangofork/clock.h"

/* Upstreams and instances that are started together, and the difference between their machines'
 * clocks: an upstream that has started this much earlier was there before. */
#define STARTED_BEFORE_MS 3000

static uint64_t
history_age_us (const MfJobs *jobs, uint64_t now_us)
{
  return (uint64_t)((int64_t)now_us - jobs->history_since_us);
}

/* Whether crashes within lifetime_us may be unknown because all instances that knew of them have
 * ended. Where no upstream has been running for longer than the instances, there were none. */
bool
mf_jobs_history_is_lost (const MfJobs *jobs, uint64_t lifetime_us, uint64_t now_us)
{
  uint64_t age_us = history_age_us (jobs, now_us);
  uint64_t since_ms = mf_clock_wall_ms () - age_us / MF_US_PER_MS;

  if (age_us >= lifetime_us)
    return false;
  for (const MfTarget *target = jobs->targets.first; target != NULL; target = target->next)
    {
      if (target->info.started_ms > 0 && target->info.started_ms + STARTED_BEFORE_MS < since_ms)
        return true;
    }
  return false;
}

/* Informs an instance that has been sent all suspects since when they are known. */
void
mf_jobs_send_history (MfJobs *jobs, uint64_t peer)
{
  jobs->message.kind = MF_RELAY_MESSAGE_HISTORY;
  jobs->message.history_age_us = history_age_us (jobs, mf_clock_now_us ());
  mf_peers_send (jobs->peers, peer, &jobs->message);
}

/* Takes over what another instance has seen for longer than this one. */
void
mf_jobs_handle_history (MfJobs *jobs, uint64_t age_us)
{
  uint64_t now_us = mf_clock_now_us ();
  uint64_t own_age_us = history_age_us (jobs, now_us);

  if (age_us <= own_age_us)
    return;
  mf_relay_log_state (jobs->log, "suspects.history", "since_ms=%llu before_ms=%llu",
                      (unsigned long long)age_us / MF_US_PER_MS,
                      (unsigned long long)own_age_us / MF_US_PER_MS);
  jobs->history_since_us = (int64_t)now_us - (int64_t)age_us;
}
