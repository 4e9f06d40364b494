#include "job_row.h"

#include "libmangofork/clock.h"

#include <string.h>

/* The leader replies within a few round trips between data centres and loop iterations of a small
 * instance. */
#define REPLY_TIMEOUT_US (80 * MF_US_PER_MS)

/* Returns the state of a service, and creates it at the first call. */
MfServiceState *
mf_jobs_service (MfJobs *jobs, const char *service)
{
  MfServiceState *state;

  for (uint32_t i = 0; i < jobs->n_services; i++)
    {
      if (strcmp (jobs->services[i].service, service) == 0)
        return &jobs->services[i];
    }
  if (jobs->n_services == MF_JOBS_SERVICES_MAX)
    return &jobs->services[MF_JOBS_SERVICES_MAX - 1];
  state = &jobs->services[jobs->n_services++];
  mf_name_set (state->service, sizeof state->service, service);
  mf_budget_init (&state->budget, jobs->budget_window_us, jobs->budget_ratio);
  return state;
}

/* Retries that this instance may send regardless of its request count: its part of the slack that
 * all instances share. */
static uint32_t
jobs_allowance (const MfJobs *jobs)
{
  return mf_budget_allowance (jobs->budget_slack, mf_jobs_n_instances (jobs),
                              mf_clock_now_us () - jobs->started_us, jobs->budget_window_us);
}

/* Number of sends that a retry of the request takes besides its first prefill and first run. */
static uint32_t
retry_n_sends (const MfJob *job)
{
  bool needs_prefill = job->kv_target == NULL || job->kv_used;
  uint32_t n_sends = (needs_prefill && job->n_prefill_sends > 0) + (job->n_run_sends > 0);

  return n_sends > 0 ? n_sends : 1;
}

/* Acquires all sends from this instance's own budget, or none. */
static bool
acquire_sends (MfJob *job, uint32_t n_sends)
{
  MfBudget *budget = &mf_jobs_service (job->jobs, job->service->name)->budget;
  bool allowed
      = mf_budget_acquire (budget, jobs_allowance (job->jobs), n_sends, mf_clock_now_us ());

  job->n_reserved_sends += allowed ? n_sends : 0;
  job->jobs->counters.counts[allowed ? MF_RELAY_COUNT_RETRIES : MF_RELAY_COUNT_RETRIES_DENIED]++;
  return allowed;
}

/* Acquires a retry of the request from this instance's own budget. */
bool
mf_job_acquire_retry (MfJob *job)
{
  return acquire_sends (job, retry_n_sends (job));
}

/* The same for a request that is to be moved, unless what it acquired for an earlier attempt is
 * left. */
bool
mf_job_acquire_move (MfJob *job)
{
  return job->n_reserved_sends >= retry_n_sends (job) || mf_job_acquire_retry (job);
}

/* Whether the next send is allowed: it is the first prefill or run, it was reserved before, or the
 * instance's own budget has one left. */
bool
mf_job_acquire_send (MfJob *job, bool prefill)
{
  uint32_t n_before = prefill ? job->n_prefill_sends : job->n_run_sends;

  return n_before == 0 || job->n_reserved_sends > 0 || acquire_sends (job, 1);
}

/* Sends a retry request to the leader of the service. Returns the leader, or MF_DISPATCH_SELF if
 * this instance leads or the message could not be sent. */
static uint64_t
leader_send (MfJobs *jobs, const char *service, const MfRetryRequest *retry)
{
  uint64_t leader;

  if (jobs->peers == NULL)
    return MF_DISPATCH_SELF;
  leader = mf_peers_leader (jobs->peers, service, mf_clock_now_us ());
  if (leader == MF_DISPATCH_SELF)
    return MF_DISPATCH_SELF;
  jobs->message.kind = MF_RELAY_MESSAGE_RETRY;
  jobs->message.retry = *retry;
  mf_name_set (jobs->message.retry.service, MF_NAME_BYTES, service);
  return mf_peers_send (jobs->peers, leader, &jobs->message) ? leader : MF_DISPATCH_SELF;
}

/* Charges the leader's pool for sends beyond an instance's own budget. */
static void
pool_charge (MfJobs *jobs, const char *service, uint32_t n_sends)
{
  MfLeadership *leadership = mf_jobs_find_leadership (jobs, service);

  if (leadership != NULL && leadership->led_since_us > 0)
    mf_budget_charge (&leadership->retry_pool, n_sends, mf_clock_now_us ());
}

/* Counts a send. All but the first prefill and the first run of a request are retries. A retry that
 * was not reserved and exceeds this instance's own budget is reported to the leader. */
void
mf_job_note_send (MfJob *job, bool prefill)
{
  uint32_t n_before = prefill ? job->n_prefill_sends++ : job->n_run_sends++;
  MfJobs *jobs = job->jobs;
  MfBudget *budget;
  uint64_t now_us = mf_clock_now_us ();

  job->is_retry = n_before > 0;
  if (!job->is_retry)
    return;
  if (job->n_reserved_sends > 0)
    {
      job->n_reserved_sends--;
      return;
    }
  budget = &mf_jobs_service (jobs, job->service->name)->budget;
  mf_budget_charge (budget, 1, now_us);
  if (!job->is_engine || mf_budget_allows (budget, jobs_allowance (jobs), 0, now_us))
    return;
  if (leader_send (jobs, job->service->name, &(MfRetryRequest){ .n_sends = 1, .is_done = true })
      == MF_DISPATCH_SELF)
    pool_charge (jobs, job->service->name, 1);
}

/* Acquires sends from the leader's pool. An instance that has led for less than a window does not
 * know what its predecessor granted, and grants nothing. */
static bool
pool_acquire (MfJobs *jobs, const char *service, uint32_t n_sends)
{
  MfLeadership *leadership = mf_jobs_find_leadership (jobs, service);
  uint64_t now_us = mf_clock_now_us ();
  uint32_t pool;

  if (leadership == NULL || leadership->led_since_us == 0 || jobs->peers == NULL
      || now_us - leadership->led_since_us < jobs->budget_window_us)
    return false;
  pool
      = mf_budget_pool (jobs->budget_slack, mf_peers_n_known (jobs->peers), jobs->budget_window_us);
  if (!mf_budget_allows (&leadership->retry_pool, pool, n_sends, now_us))
    return false;
  pool_charge (jobs, service, n_sends);
  return true;
}

/* Returns sends to the pool that they were granted from. The pool of a later leadership grants
 * nothing for a window, and has no charges as old. */
static void
pool_return (MfJobs *jobs, const MfRetryRequest *retry)
{
  MfLeadership *leadership = mf_jobs_find_leadership (jobs, retry->service);

  if (leadership != NULL && leadership->led_since_us > 0)
    mf_budget_return (&leadership->retry_pool, retry->n_sends, retry->granted_us,
                      mf_clock_now_us ());
}

/* Ends a request whose retry was denied. */
void
mf_job_retry_denied (MfJob *job)
{
  MfJobDenial denial = job->denial;

  mf_job_close_query (job);
  if (denial.may_have_run)
    mf_job_finish (job, denial.code, denial.why);
  else
    mf_job_refuse (job, denial.code, denial.why);
}

/* Continues with a retry that was granted. */
static void
job_retry_granted (MfJob *job)
{
  mf_job_close_query (job);
  job->n_reserved_sends += retry_n_sends (job);
  job->jobs->counters.counts[MF_RELAY_COUNT_RETRIES_GRANTED]++;
  mf_job_advance (job);
}

/* Requests a retry from the leader. Returns false if the request could not be sent. */
static bool
request_retry (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t id = ++jobs->last_peer_request_id;
  uint64_t leader = leader_send (jobs, job->service->name,
                                 &(MfRetryRequest){ .id = id, .n_sends = retry_n_sends (job) });

  if (leader == MF_DISPATCH_SELF)
    return false;
  mf_job_open_query (job, MF_JOB_QUERY_RETRY, id, leader, REPLY_TIMEOUT_US);
  return true;
}

/* Retries the request if the instance's own budget or the leader's pool allows it, else ends it. */
void
mf_job_retry_or_end (MfJob *job, const MfJobDenial *denial)
{
  job->denial = *denial;
  if (mf_job_acquire_retry (job))
    mf_job_advance (job);
  else if (job->is_engine && pool_acquire (job->jobs, job->service->name, retry_n_sends (job)))
    job_retry_granted (job);
  else if (!job->is_engine || !request_retry (job))
    mf_job_retry_denied (job);
}

/* Replies to a retry request of another instance. A grant that cannot be sent is taken back. */
static void
retry_handle (MfJobs *jobs, uint64_t peer, const MfRetryRequest *retry)
{
  MfRetryRequest reply = *retry;

  reply.allowed = pool_acquire (jobs, retry->service, retry->n_sends);
  reply.granted_us = mf_clock_now_us ();
  jobs->message.kind = MF_RELAY_MESSAGE_RETRY_REPLY;
  jobs->message.retry = reply;
  if (!mf_peers_send (jobs->peers, peer, &jobs->message) && reply.allowed)
    pool_return (jobs, &reply);
}

/* Handles the reply to a retry request of this instance. A grant that no request waits for any more
 * is returned. */
static void
reply_handle (MfJobs *jobs, uint64_t peer, const MfRetryRequest *retry)
{
  MfJob *job = mf_jobs_match_reply (jobs, MF_JOB_QUERY_RETRY, retry->id, peer);

  if (job != NULL && retry->allowed)
    job_retry_granted (job);
  else if (job != NULL)
    mf_job_retry_denied (job);
  else if (retry->allowed && retry->n_sends > 0)
    {
      jobs->message.kind = MF_RELAY_MESSAGE_RETRY_RETURN;
      jobs->message.retry = *retry;
      mf_peers_send (jobs->peers, peer, &jobs->message);
    }
}

/* Handles a message of another instance about a retry. */
void
mf_jobs_handle_retry_message (MfJobs *jobs, uint64_t peer, const MfRelayMessage *message)
{
  MfRetryRequest retry = message->retry;

  if (message->kind == MF_RELAY_MESSAGE_RETRY && retry.is_done)
    pool_charge (jobs, retry.service, retry.n_sends);
  else if (message->kind == MF_RELAY_MESSAGE_RETRY)
    retry_handle (jobs, peer, &retry);
  else if (message->kind == MF_RELAY_MESSAGE_RETRY_RETURN)
    pool_return (jobs, &retry);
  else
    reply_handle (jobs, peer, &retry);
}
