#include "job_row.h"

#include "libmangofork/clock.h"

#include <string.h>

/* An allocator replies within a few round trips between data centres and loop iterations of a small
 * instance. */
#define REPLY_TIMEOUT_US (80 * MF_US_PER_MS)
/* An allocator that did not reply is asked again after this time; meanwhile the instance uses its
 * local part of the rate. */
#define UNANSWERED_US (1 * MF_US_PER_S)
/* Part of a rate that is divided among the instances for when they cannot reach an allocator. */
#define LOCAL_PERCENT 25
/* Part of a rate that an allocator grants for each percent of the known instances that are alive:
 * two allocators of a partitioned fleet stay below one and a half times the rate. */
#define ALIVE_PERCENT 125
/* A denial holds for this long at most, and one by the local part of the rate until the allocator
 * is asked again: the rate, its allocator and the fleet may be others by then. */
#define DENIED_MAX_US (5 * MF_US_PER_S)
/* Of the time that a request has left, it waits for a unit at most a part. */
#define WAIT_LEFT_DIVISOR 2

/* Part of each rate that this instance may grant as an allocator, in percent. */
static uint32_t
jobs_rate_percent (const MfJobs *jobs, uint64_t now_us)
{
  uint32_t percent;

  if (jobs->peers == NULL)
    return 100;
  percent = ALIVE_PERCENT * mf_peers_n_alive (jobs->peers, now_us) / mf_peers_n_known (jobs->peers);
  return percent < 100 ? percent : 100;
}

/* Returns the instance that allocates a rate. */
static uint64_t
jobs_allocator (const MfJobs *jobs, uint64_t key)
{
  return jobs->peers == NULL ? MF_DISPATCH_SELF
                             : mf_peers_allocator (jobs->peers, key, mf_clock_now_us ());
}

/* Allocates units of the rate of an upstream to an instance. */
static MfRateGrant
jobs_allocate (MfJobs *jobs, const MfRateAsk *ask)
{
  const MfTarget *target = mf_targets_by_process (&jobs->targets, ask->key);
  uint64_t now_us = mf_clock_now_us ();

  if (target != NULL && target->limit.heard_us > 0)
    mf_rate_shares_note_limit (jobs->rates, ask->key, &target->limit, now_us);
  return mf_rate_shares_ask (jobs->rates, ask, jobs_rate_percent (jobs, now_us), now_us);
}

/* Makes an ask to an allocator. One that was not asked last is told what this instance has sent
 * lately. */
static MfRateAsk
ask_make (MfTarget *target, uint64_t allocator)
{
  MfRateAsk ask = { .key = target->process_id, .limit = target->limit };

  if (!target->rate_was_asked || target->rate_allocator != allocator)
    ask.n_charged = mf_target_n_recent_sends (target, mf_clock_now_us ());
  target->rate_was_asked = true;
  target->rate_allocator = allocator;
  return ask;
}

/* Sends an ask to a peer. Returns false when the peer is not connected. */
static bool
ask_send (MfJobs *jobs, uint64_t peer, const MfRateAsk *ask, uint64_t id)
{
  jobs->message.kind = MF_RELAY_MESSAGE_RATE_ASK;
  jobs->message.rate = (MfRateMessage){ .id = id, .ask = *ask };
  return mf_peers_send (jobs->peers, peer, &jobs->message);
}

/* Tells the allocator of units that were used or not used, without a request for more. */
static void
jobs_tell_allocator (MfJobs *jobs, MfTarget *target, uint32_t n_charged, uint32_t n_returned)
{
  uint64_t allocator = jobs_allocator (jobs, target->process_id);
  MfRateAsk ask = ask_make (target, allocator);

  ask.n_charged = ask.n_charged > n_charged ? ask.n_charged : n_charged;
  ask.n_returned = n_returned;
  if (ask.n_charged == 0 && ask.n_returned == 0)
    return;
  if (allocator == MF_DISPATCH_SELF)
    jobs_allocate (jobs, &ask);
  else
    ask_send (jobs, allocator, &ask, 0);
}

/* Counts a send that needed no grant against the limit of its upstream, if it has one. */
void
mf_jobs_charge_rate (MfJobs *jobs, MfTarget *target)
{
  if (mf_target_is_limited (target))
    jobs_tell_allocator (jobs, target, 1, 0);
}

static void
jobs_return_rate (MfJobs *jobs, MfTarget *target)
{
  if (mf_target_is_limited (target))
    jobs_tell_allocator (jobs, target, 0, 1);
}

/* Returns the unit that the request was granted for an upstream and has not used. */
void
mf_job_return_rate (MfJob *job, MfTarget *target)
{
  if (job->rate_is_local)
    mf_rate_bucket_return (&target->local_rate, 1, mf_clock_now_us ());
  else
    jobs_return_rate (job->jobs, target);
}

/* Forgets what the request has asked for or been granted; a unit in hand is returned. */
void
mf_job_drop_rate (MfJob *job)
{
  MfTarget *target = job->rate_target;

  if (target == NULL)
    return;
  job->rate_target = NULL;
  /* The reply to an ask in flight finds no request and returns the unit. */
  if (job->query.kind == MF_JOB_QUERY_RATE)
    mf_job_close_query (job);
  if (job->rate_granted)
    mf_job_return_rate (job, target);
  job->rate_granted = false;
  mf_target_unref (target);
}

/* Returns the upstream that the request has been granted a unit for, if it can still be used. */
MfTarget *
mf_job_granted_target (MfJob *job, MfRole role, uint64_t now_us)
{
  MfTarget *target = job->rate_target;

  if (target == NULL || !job->rate_granted || target->info.role != role)
    return NULL;
  if (!target->is_dropped && mf_target_accepts (target, now_us)
      && !mf_place_avoids (job->avoid, job->n_avoid, target))
    return target;
  mf_job_drop_rate (job);
  return NULL;
}

/* Returns how long the request waits at most until an upstream's rate limit admits it. */
uint64_t
mf_job_rate_wait_max_us (const MfJob *job, uint64_t now_us)
{
  uint64_t left_us = job->give_up_us > now_us ? (job->give_up_us - now_us) / WAIT_LEFT_DIVISOR : 0;

  return left_us < MF_DISPATCH_RATE_WAIT_US ? left_us : MF_DISPATCH_RATE_WAIT_US;
}

/* The limit of the upstream does not admit the request in time: continues with others. */
static void
job_denied (MfJob *job, uint64_t wait_us)
{
  MfTarget *target = job->rate_target;
  uint64_t now_us = mf_clock_now_us ();
  bool is_decode = target->info.role == MF_ROLE_DECODE;
  uint64_t max_us = job->rate_is_local ? UNANSWERED_US : DENIED_MAX_US;

  target->rate_ready_us = now_us + (wait_us < max_us ? wait_us : max_us);
  job->jobs->counters.counts[MF_RELAY_COUNT_RATE_DENIED]++;
  mf_relay_log_event (job->jobs->log, "request.limited",
                      "id=%s upstream=%s per_s=%.3f max_wait_ms=%.1f wait_ms=%.1f", job->id,
                      target->info.id, (double)target->limit.micro_per_s / (double)MF_RATE_MICRO,
                      (double)job->rate_max_wait_us / 1e3, (double)wait_us / 1e3);
  if (is_decode)
    {
      mf_job_avoid (job, target->id_hash);
      mf_job_reserve (job, NULL);
    }
  mf_job_drop_rate (job);
  mf_job_advance (job);
}

/* Continues as the answer to an ask says. is_placed is set while the upstream is the one that the
 * request would be sent to now; otherwise it is placed anew with the unit in hand. */
static void
job_handle_grant (MfJob *job, const MfRateGrant *grant, bool is_placed)
{
  uint64_t now_us = mf_clock_now_us ();

  mf_job_close_query (job);
  job->step_deadline_us = 0;
  if (!grant->granted)
    {
      job_denied (job, grant->wait_us);
      return;
    }
  job->rate_granted = true;
  if (grant->wait_us > 0)
    {
      job->step_deadline_us = now_us + grant->wait_us;
      mf_job_set_timer (job);
      return;
    }
  job->waited_us += now_us - job->waiting_since_us;
  job->waiting_since_us = now_us;
  if (is_placed)
    mf_job_send_within_limit (job, job->rate_target, job->rate_prefill, 0);
  else
    mf_job_advance (job);
}

/* Takes a unit of this instance's local part of the rate: no allocator has answered. */
static void
job_acquire_local (MfJob *job, bool is_placed)
{
  MfJobs *jobs = job->jobs;
  MfTarget *target = job->rate_target;
  uint64_t now_us = mf_clock_now_us ();
  MfRateGrant grant = { 0 };

  jobs->counters.counts[MF_RELAY_COUNT_RATE_LOCAL]++;
  mf_rate_bucket_set (&target->local_rate,
                      mf_rate_effective (target->limit.micro_per_s) * LOCAL_PERCENT / 100
                          / mf_jobs_n_instances (jobs),
                      now_us);
  grant.granted = mf_rate_bucket_acquire (&target->local_rate, 1, job->rate_max_wait_us, now_us,
                                          &grant.wait_us);
  job->rate_is_local = true;
  job_handle_grant (job, &grant, is_placed);
}

/* Asks the allocator of the upstream's rate for a unit. */
static void
job_ask (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  MfTarget *target = job->rate_target;
  uint64_t allocator = jobs_allocator (jobs, target->process_id);
  MfRateAsk ask = ask_make (target, allocator);
  uint64_t now_us = mf_clock_now_us ();
  uint64_t id;
  MfRateGrant grant;

  ask.n_units = 1;
  ask.max_wait_us = job->rate_max_wait_us;
  job->rate_is_local = false;
  jobs->counters.counts[MF_RELAY_COUNT_RATE_ASKED]++;
  if (allocator == MF_DISPATCH_SELF)
    {
      grant = jobs_allocate (jobs, &ask);
      job_handle_grant (job, &grant, true);
      return;
    }
  id = ++jobs->last_peer_request_id;
  if (now_us >= target->rate_unanswered_us + UNANSWERED_US && ask_send (jobs, allocator, &ask, id))
    mf_job_open_query (job, MF_JOB_QUERY_RATE, id, allocator, REPLY_TIMEOUT_US);
  else
    job_acquire_local (job, true);
}

/* Sends a prefill or a run to an upstream within its rate limit: at once, when the limit admits it,
 * or not at all, in which case the request continues with other upstreams or ends. The request may
 * have been freed on return. */
void
mf_job_send_within_limit (MfJob *job, MfTarget *target, bool prefill, uint64_t max_wait_us)
{
  uint64_t now_us = mf_clock_now_us ();

  if (mf_job_end_revoked (job))
    return;
  if (!mf_target_is_limited (target) || (job->rate_granted && job->rate_target == target))
    {
      if (job->rate_target == target)
        job->rate_granted = false;
      mf_job_drop_rate (job);
      mf_job_send (job, target, prefill);
      return;
    }
  mf_job_drop_rate (job);
  if (job->waiting_since_us == 0)
    job->waiting_since_us = now_us;
  job->phase = MF_JOB_WAITING;
  job->rate_target = mf_target_ref (target);
  job->rate_prefill = prefill;
  job->rate_max_wait_us = max_wait_us;
  job_ask (job);
}

/* The allocator has not replied. */
void
mf_job_rate_expired (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();

  mf_relay_log_state (jobs->log, "rate.unanswered", "id=%s upstream=%s", job->id,
                      job->rate_target->info.id);
  job->rate_target->rate_unanswered_us = now_us;
  job_acquire_local (job, false);
}

/* Handles an ask of another instance, or the reply to one of this instance. */
void
mf_jobs_handle_rate (MfJobs *jobs, uint64_t peer, const MfRelayMessage *message)
{
  MfRateMessage rate = message->rate;
  MfRateGrant grant = { .redirected = true };
  MfTarget *target;
  MfJob *job;

  if (message->kind == MF_RELAY_MESSAGE_RATE_ASK)
    {
      if (jobs_allocator (jobs, rate.ask.key) == MF_DISPATCH_SELF)
        grant = jobs_allocate (jobs, &rate.ask);
      jobs->message.kind = MF_RELAY_MESSAGE_RATE_GRANT;
      jobs->message.rate
          = (MfRateMessage){ .id = rate.id, .ask = { .key = rate.ask.key }, .grant = grant };
      if (rate.id != 0)
        mf_peers_send (jobs->peers, peer, &jobs->message);
      return;
    }
  job = mf_jobs_match_reply (jobs, MF_JOB_QUERY_RATE, rate.id, peer);
  target = mf_targets_by_process (&jobs->targets, rate.ask.key);
  if (job != NULL && rate.grant.redirected)
    job_acquire_local (job, false);
  else if (job != NULL)
    job_handle_grant (job, &rate.grant, false);
  else if (rate.grant.granted && target != NULL)
    jobs_return_rate (jobs, target);
}

/* The allocator that is to reply was lost: asks the next one. */
void
mf_job_rate_peer_lost (MfJob *job)
{
  job_ask (job);
}

/* Informs the others of a limit that an answer has changed, and the allocator of what this instance
 * has sent lately. */
void
mf_jobs_limit_changed (MfJobs *jobs, MfTarget *target, bool by_answer)
{
  if (by_answer && jobs->peers != NULL)
    {
      jobs->message.kind = MF_RELAY_MESSAGE_LIMITS;
      jobs->message.limits.n_entries = 1;
      jobs->message.limits.entries[0]
          = (MfLimitEntry){ .process = target->process_id, .limit = target->limit };
      mf_peers_send_all (jobs->peers, &jobs->message);
    }
  if (!mf_target_is_limited (target))
    {
      target->rate_was_asked = false;
      return;
    }
  jobs_tell_allocator (jobs, target, 0, 0);
  /* The bucket fills from now on. */
  if (jobs_allocator (jobs, target->process_id) == MF_DISPATCH_SELF)
    jobs_allocate (jobs, &(MfRateAsk){ .key = target->process_id, .limit = target->limit });
}

/* Sends the limits of all upstreams to an instance that may have restarted. */
void
mf_jobs_send_limits (MfJobs *jobs, uint64_t peer)
{
  MfLimitUpdate *update = &jobs->message.limits;

  update->n_entries = 0;
  for (const MfTarget *target = jobs->targets.first;
       target != NULL && update->n_entries < MF_LIMIT_ENTRIES_MAX; target = target->next)
    {
      if (mf_target_is_limited (target))
        update->entries[update->n_entries++]
            = (MfLimitEntry){ .process = target->process_id, .limit = target->limit };
    }
  jobs->message.kind = MF_RELAY_MESSAGE_LIMITS;
  if (update->n_entries > 0)
    mf_peers_send (jobs->peers, peer, &jobs->message);
}

/* Handles limits that another instance has heard of. */
void
mf_jobs_handle_limits (MfJobs *jobs, const MfLimitUpdate *update)
{
  for (uint32_t i = 0; i < update->n_entries; i++)
    mf_targets_note_limit (&jobs->targets, update->entries[i].process, &update->entries[i].limit);
}
