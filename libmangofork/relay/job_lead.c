#include "job.h"

#include "libmangofork/clock.h"

#include <string.h>

/* A longer gap between calls of mf_jobs_tick_leadership means that the machine was suspended. What
 * this instance knows of the others is then too old to lead by. */
#define TICK_GAP_MAX_US (300 * MF_US_PER_MS)

/* Returns the leadership state of a service; NULL if the service has not been seen yet. */
MfLeadership *
mf_jobs_find_leadership (MfJobs *jobs, const char *service)
{
  for (uint32_t i = 0; i < jobs->n_leaderships; i++)
    {
      if (strcmp (jobs->leaderships[i].service, service) == 0)
        return &jobs->leaderships[i];
    }
  return NULL;
}

static MfLeadership *
leadership_add (MfJobs *jobs, const char *service)
{
  MfLeadership *leadership;

  if (jobs->n_leaderships == MF_JOBS_LEADERSHIPS_MAX)
    return NULL;
  leadership = &jobs->leaderships[jobs->n_leaderships++];
  *leadership = (MfLeadership){ 0 };
  mf_name_set (leadership->service, MF_NAME_BYTES, service);
  return leadership;
}

/* Starts a leadership. Observations from an earlier one are discarded, as another instance has led
 * since. The fence is higher than all known ones, whatever the local wall clock says. */
static void
leadership_begin (const MfJobs *jobs, MfLeadership *leadership, uint64_t now_us)
{
  uint64_t instance_bits = mf_load_hash (jobs->instance) & ((1U << MF_FENCE_OWN_BITS) - 1);
  uint64_t started_ms = mf_clock_wall_ms ();
  uint64_t known_ms = mf_peers_fence (jobs->peers, leadership->service) >> MF_FENCE_OWN_BITS;

  if (known_ms >= started_ms)
    started_ms = known_ms + 1;
  leadership->led_since_us = now_us;
  leadership->fence = started_ms << MF_FENCE_OWN_BITS | instance_bits;
  mf_budget_init (&leadership->retry_pool, jobs->budget_window_us, 0.);
  mf_stage_reset (&leadership->trend);
}

/* Called about ten times a second; performs the leader's duties for each engine service.
 * boottime_us is a clock that also counts time spent suspended. */
void
mf_jobs_tick_leadership (MfJobs *jobs, uint64_t now_us, uint64_t boottime_us)
{
  bool was_suspended = boottime_us - jobs->leadership_ticked_us > TICK_GAP_MAX_US;

  jobs->leadership_ticked_us = boottime_us;
  if (jobs->peers == NULL || jobs->routes == NULL)
    return;
  for (uint32_t i = 0; i < jobs->routes->n_services; i++)
    {
      const MfRouteService *service = &jobs->routes->services[i];
      MfLeadership *leadership = mf_jobs_find_leadership (jobs, service->name);

      if (!service->is_engine
          || (leadership == NULL && (leadership = leadership_add (jobs, service->name)) == NULL))
        continue;
      if (was_suspended || !mf_peers_is_leader (jobs->peers, service->name, now_us))
        {
          leadership->led_since_us = 0;
          continue;
        }
      /* A higher fence than its own means that another instance has led since: starts a new
       * leadership. */
      if (leadership->led_since_us == 0
          || mf_peers_fence (jobs->peers, service->name) > leadership->fence)
        leadership_begin (jobs, leadership, now_us);
      mf_jobs_refresh_remote_load (jobs, now_us);
      mf_jobs_balance_stages (jobs, leadership, service, now_us);
    }
}
