#include "job_row.h"

#include "libmangofork/clock.h"

#include <string.h>

/* Prefilled KV is used up to this percentage of its retention time; the rest covers the
 * transfer. */
#define KV_USE_PERCENT 80

/* Returns the number of known instances, this one included. */
uint32_t
mf_jobs_n_instances (const MfJobs *jobs)
{
  return jobs->peers != NULL ? mf_peers_n_known (jobs->peers) : 1;
}

/* Returns this instance's part of the connections that an upstream of the service accepts from all
 * instances together, at least one; 0: not known. */
uint32_t
mf_jobs_connections_max (const MfJobs *jobs, const MfRouteService *service)
{
  uint32_t part = service->connections_max / mf_jobs_n_instances (jobs);

  return part > 0 || service->connections_max == 0 ? part : 1;
}

/* The same for the service of a request. */
uint32_t
mf_job_connections_max (const MfJob *job)
{
  return mf_jobs_connections_max (job->jobs, job->service);
}

/* Placement criteria of a request for an upstream of the given role. */
static MfPlaceQuery
job_place_query (const MfJob *job, MfRole role)
{
  MfPlaceQuery query = {
    .service = job->service->name,
    .role = role,
    .version = job->version,
    .tokens = role == MF_ROLE_PREFILL ? job->prompt_tokens : job->kv_tokens,
    .service_config = job->service,
    .n_avoid = job->n_avoid,
    .connections_max = mf_job_connections_max (job),
    .avoid_suspects = mf_job_is_suspect (job),
    .kv_data_centre
    = role == MF_ROLE_DECODE && job->kv_target != NULL ? job->kv_target->info.data_centre : NULL,
    .decode_data_centre
    = job->reserved_target != NULL ? job->reserved_target->info.data_centre : NULL,
    .data_centre = job->jobs->targets.data_centre,
    .spillover = job->jobs->targets.spillover,
    .request_bytes = mf_job_request_bytes (job),
    .tie_break = mf_jobs_random (job->jobs),
  };

  for (uint32_t i = 0; i < job->n_avoid; i++)
    query.avoid[i] = job->avoid[i];
  if (job->stalled.target != NULL)
    query.avoid[query.n_avoid++] = job->stalled.target->id_hash;
  return query;
}

/* Ends a request that has no upstream left to try. */
static void
job_end_without_upstream (MfJob *job, bool any_available)
{
  if (job->n_runs > 0)
    mf_job_finish (job, MF_CODE_UPSTREAM_DIED, "no other upstream to try");
  else if (!any_available && job->version != 0)
    mf_job_refuse (job, MF_CODE_NO_VERSION, "no upstream of the version that began the stream");
  else if (any_available)
    mf_job_refuse (job, MF_CODE_QUEUE_FULL, "all upstreams declined");
  else
    mf_job_refuse (job, MF_CODE_NO_UPSTREAM, "service has no upstream");
}

/* Records when the first upstream of a role takes requests again, if none does now. */
static void
job_note_available (MfJob *job, MfRole role, uint64_t now_us)
{
  MfPlaceQuery query = job_place_query (job, role);

  job->pause_end_us = mf_place_available_us (&job->jobs->targets, &query, now_us);
}

static void
job_place_plain (MfJob *job)
{
  MfPlaceQuery query = job_place_query (job, MF_ROLE_PLAIN);
  bool any_available = false;
  uint64_t now_us = mf_clock_now_us ();
  MfTarget *target = mf_job_granted_target (job, MF_ROLE_PLAIN, now_us);

  if (target == NULL)
    target = mf_place_choose (&job->jobs->targets, &query, now_us, &any_available);
  /* Waits for a rate limit only if no upstream takes the request now. */
  if (target == NULL || mf_target_is_suspect (target, now_us))
    {
      query.max_wait_us = mf_job_rate_wait_max_us (job, now_us);
      target = mf_place_choose (&job->jobs->targets, &query, now_us, &any_available);
    }
  if (target == NULL)
    {
      job_note_available (job, MF_ROLE_PLAIN, now_us);
      job_end_without_upstream (job, any_available);
    }
  else
    mf_job_send_within_limit (job, target, false, query.max_wait_us);
}

/* Releases prefilled KV that the engine no longer holds because it was used or has expired. */
static void
job_check_kv (MfJob *job, uint64_t now_us)
{
  uint64_t retention_us = job->service->kv_retention_us * KV_USE_PERCENT / 100;

  if (job->kv_target == NULL || (!job->kv_used && now_us - job->prefilled_us <= retention_us))
    return;
  job->jobs->counters.counts[MF_RELAY_COUNT_PREFILLS_WASTED] += !job->kv_used;
  if (!job->kv_used)
    job->reread_counter = MF_RELAY_COUNT_REREAD_LAPSED;
  mf_job_release_kv (job);
}

/* Returns the engine with a slot reserved for this request, if it is still usable; otherwise gives
 * the slot back. */
static MfTarget *
job_use_reserved_target (MfJob *job, uint64_t now_us)
{
  MfTarget *reserved = job->reserved_target;

  if (reserved != NULL && !reserved->is_dropped
      && mf_target_serves_version (reserved, job->version, now_us)
      && mf_target_accepts (reserved, now_us)
      && ((job->rate_granted && job->rate_target == reserved)
          || mf_target_rate_ready (reserved, mf_job_rate_wait_max_us (job, now_us), now_us))
      && !mf_place_avoids (job->avoid, job->n_avoid, reserved))
    return reserved;
  /* The leader may not know yet that the engine is unusable: avoids being granted it again. */
  if (reserved != NULL)
    mf_job_avoid (job, reserved->id_hash);
  mf_job_reserve (job, NULL);
  return NULL;
}

/* Chooses the prefill engine: the granted one if usable, else the best one known here. */
static MfTarget *
job_choose_prefill (MfJob *job, uint64_t now_us)
{
  MfTargets *targets = &job->jobs->targets;
  MfPlaceQuery query = job_place_query (job, MF_ROLE_PREFILL);
  bool any_available = false;
  MfTarget *prefill = mf_job_granted_target (job, MF_ROLE_PREFILL, now_us);

  if (prefill != NULL)
    return prefill;
  prefill = mf_targets_by_hash (targets, job->granted_prefill);
  if (prefill != NULL && prefill->info.role == MF_ROLE_PREFILL
      && mf_target_serves_version (prefill, job->version, now_us)
      && mf_target_accepts (prefill, now_us) && mf_target_rate_ready (prefill, 0, now_us)
      && prefill->suspect_until_us <= now_us
      && !mf_place_avoids (job->avoid, job->n_avoid, prefill))
    return prefill;
  prefill = mf_place_choose (targets, &query, now_us, &any_available);
  return prefill != NULL && prefill->suspect_until_us <= now_us ? prefill : NULL;
}

/* Starts over with all engines, except one that still runs the request. */
static void
job_forget_avoided (MfJob *job)
{
  job->n_avoid = 0;
  if (job->stalled.target != NULL)
    mf_job_avoid (job, job->stalled.target->id_hash);
}

/* All decode engines are paused or have reached their rate limits: waits for the first that takes
 * requests again, or ends the request if that is too late. */
static void
job_wait_paused (MfJob *job, uint64_t now_us)
{
  if (job->pause_end_us >= job->give_up_us)
    {
      job_end_without_upstream (job, true);
      return;
    }
  if (job->waiting_since_us == 0)
    job->waiting_since_us = now_us;
  job->phase = MF_JOB_WAITING;
  job->step_deadline_us = job->pause_end_us;
  mf_job_set_timer (job);
}

static void
job_place_engine (MfJob *job)
{
  MfTargets *targets = &job->jobs->targets;
  uint64_t now_us = mf_clock_now_us ();
  MfPlaceQuery any = job_place_query (job, MF_ROLE_DECODE);
  MfTarget *decode;
  MfTarget *prefill;

  any.n_avoid = 0;
  if (!mf_place_has_any (targets, &any, now_us))
    {
      job_end_without_upstream (job, false);
      return;
    }
  job_check_kv (job, now_us);
  decode = job_use_reserved_target (job, now_us);
  if (decode == NULL)
    {
      MfPlaceQuery others = job_place_query (job, MF_ROLE_DECODE);

      mf_job_drop_rate (job);
      /* All engines, or as many as can be listed, have declined or failed: starts over with all of
       * them. */
      if (job->n_avoid == MF_JOB_AVOID_MAX || !mf_place_has_any (targets, &others, now_us))
        job_forget_avoided (job);
      job_note_available (job, MF_ROLE_DECODE, now_us);
      if (job->pause_end_us > 0)
        job_wait_paused (job, now_us);
      else
        mf_job_request_slot (job);
      return;
    }
  if (job->kv_target != NULL)
    {
      mf_job_send_within_limit (job, decode, false, mf_job_rate_wait_max_us (job, now_us));
      return;
    }
  prefill = job_choose_prefill (job, now_us);
  if (prefill != NULL && mf_job_acquire_send (job, true))
    mf_job_send_within_limit (job, prefill, true, 0);
  else if (prefill == NULL || job->n_run_sends == 0)
    mf_job_send_within_limit (job, decode, false, mf_job_rate_wait_max_us (job, now_us));
  else
    {
      mf_job_drop_rate (job);
      mf_job_retry_or_end (job, &(MfJobDenial){
                                    .code = MF_CODE_RETRY_BUDGET,
                                    .why = "prefilled KV lost and retry budget exhausted",
                                    .may_have_run = job->n_runs > 0,
                                });
    }
}

/* Decides the next step of a request and starts it; a query that is still open is cancelled. A
 * request without a caller has no next step: its head and body are the caller's. */
void
mf_job_advance (MfJob *job)
{
  if (mf_job_end_busy (job))
    return;
  mf_job_cancel_query (job);
  if (job->caller == NULL)
    {
      mf_job_finish (job, MF_CODE_DEPARTED, "caller disconnected");
      return;
    }
  if (mf_job_end_quarantined (job) || mf_job_end_revoked (job) || !mf_job_admit (job))
    return;
  if (job->is_engine)
    job_place_engine (job);
  else
    job_place_plain (job);
}

/* The current attempt or wait has timed out. */
void
mf_job_step_expired (MfJob *job)
{
  MfTarget *target = job->target;
  bool any_available = false;
  MfPlaceQuery query;

  if (job->phase == MF_JOB_WAITING)
    {
      /* Without a query, the wait for a unit of a rate that was granted, or a pause, is over. */
      if (!mf_job_query_expired (job))
        mf_job_advance (job);
      return;
    }
  if (mf_job_has_successor (job))
    {
      mf_job_successor_expired (job);
      return;
    }
  query = job_place_query (job, target->info.role);
  if (job->n_avoid < MF_PLACE_AVOID_MAX)
    query.avoid[query.n_avoid++] = target->id_hash;
  if (job->phase != MF_JOB_PREFILL
      && (!mf_job_may_retry (job) || job->n_runs + 1 >= job->route->attempts_max
          || !mf_job_may_move (job)))
    {
      mf_job_set_timer (job);
      return;
    }
  if (mf_place_choose (&job->jobs->targets, &query, mf_clock_now_us (), &any_available) == NULL
      || !mf_job_acquire_move (job))
    {
      mf_job_set_timer (job);
      return;
    }
  mf_target_record_failure (target, false, mf_clock_now_us ());
  mf_job_note_failure (job, target, false);
  mf_job_avoid (job, target->id_hash);
  if (job->phase != MF_JOB_PREFILL && mf_link_has_sent (job->link))
    mf_job_stall (job);
  else
    mf_job_move_at_once (job);
  if (job->head_sent)
    mf_job_reset_give_up (job);
  mf_job_advance (job);
}
