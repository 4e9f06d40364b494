#include "job_row.h"

#include "libmangofork/clock.h"

/* An allocator replies within a few round trips between data centres and loop iterations of a small
 * instance. */
#define REPLY_TIMEOUT_US (80 * MF_US_PER_MS)
/* Instances that are not reachable count for this long: an instance forgets a peer after 30 s, and
 * both sides of a longer partition would each allocate the whole limit. */
#define INSTANCES_KEPT_US (300 * MF_US_PER_S)
/* Reports that are due are sent, and changes of state are logged, at this interval. */
#define REPORT_INTERVAL_S 0.1
/* Returns the instance that allocates a quota. */
static uint64_t
jobs_allocator (const MfJobs *jobs, uint64_t key)
{
  return jobs->peers == NULL ? MF_DISPATCH_SELF
                             : mf_peers_allocator (jobs->peers, key, mf_clock_now_us ());
}

/* Returns the customer of a hash in the configuration in force, or NULL. */
static const MfCustomerInfo *
jobs_customer (const MfJobs *jobs, uint64_t key)
{
  const MfCustomers *customers = jobs->routes != NULL ? jobs->routes->customers : NULL;

  for (uint32_t i = 0; customers != NULL && i < mf_customers_n (customers); i++)
    {
      const MfCustomerInfo *info = mf_customers_get (customers, i);

      if (info->name_hash == key)
        return info;
    }
  return NULL;
}

static MfQuotaLimit
customer_limit (const MfCustomerInfo *customer)
{
  return (MfQuotaLimit){ .per_s = customer->per_s, .burst = customer->burst };
}

/* Counts units of the request's customer. The name is needed the first time only. */
static void
job_count_units (const MfJob *job, const char *name, MfCustomerCount count)
{
  mf_relay_counters_note_customer (&job->jobs->counters, name, job->quota_key, count,
                                   job->quota_units);
}

/* Records how many instances are known. */
void
mf_jobs_note_instances (MfJobs *jobs, uint64_t now_us)
{
  uint32_t n_known = mf_jobs_n_instances (jobs);

  if (n_known < jobs->n_quota_instances && now_us < jobs->quota_instances_us + INSTANCES_KEPT_US)
    return;
  jobs->n_quota_instances = n_known;
  jobs->quota_instances_us = now_us;
}

/* Admits a request of this instance or of another one, or denies it. */
static MfQuotaGrant
jobs_allocate (MfJobs *jobs, const MfQuotaAsk *ask)
{
  const MfCustomerInfo *customer = jobs_customer (jobs, ask->key);
  uint64_t now_us = mf_clock_now_us ();
  MfQuotaView view = { .n_alive = 1, .n_known = 1 };
  MfQuotaLimit limit = { 0 };

  mf_jobs_note_instances (jobs, now_us);
  if (jobs->peers != NULL)
    view = (MfQuotaView){ .n_alive = mf_peers_n_alive (jobs->peers, now_us),
                          .n_known = jobs->n_quota_instances };
  if (customer != NULL)
    limit = customer_limit (customer);
  if (!ev_is_active (&jobs->quota_timer))
    ev_timer_again (jobs->loop, &jobs->quota_timer);
  return mf_quotas_ask (jobs->quotas, ask, customer != NULL ? &limit : NULL, &jobs->quota_bounds,
                        view, now_us);
}

/* Sends an ask to a peer. Returns false when the peer is not connected. */
static bool
ask_send (MfJobs *jobs, uint64_t peer, const MfQuotaAsk *ask, uint64_t id)
{
  jobs->message.kind = MF_RELAY_MESSAGE_QUOTA_ASK;
  jobs->message.quota = (MfQuotaMessage){ .id = id, .ask = *ask };
  return mf_peers_send (jobs->peers, peer, &jobs->message);
}

static void
log_changes (MfJobs *jobs, uint64_t now_us)
{
  uint64_t key = 0;
  bool is_limited = false;

  while (mf_quotas_next_change (jobs->quotas, now_us, &key, &is_limited))
    {
      const MfCustomerInfo *customer = jobs_customer (jobs, key);

      mf_relay_log_state (jobs->log, is_limited ? "quota.limited" : "quota.unlimited",
                          "customer=\"%s\" hash=%016llx per_s=%llu burst=%llu "
                          "instances_alive=%u instances_known=%u",
                          customer != NULL ? customer->name : "unknown", (unsigned long long)key,
                          (unsigned long long)(customer != NULL ? customer->per_s : 0),
                          (unsigned long long)(customer != NULL ? customer->burst : 0),
                          jobs->peers != NULL ? mf_peers_n_alive (jobs->peers, now_us) : 1,
                          jobs->n_quota_instances);
    }
}

/* Sends the reports that are due and logs changes of state, until there are none left to come. */
void
mf_jobs_quota_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  MfJobs *jobs = watcher->data;
  uint64_t now_us = mf_clock_now_us ();
  uint64_t allocator = 0;
  MfQuotaAsk ask;

  (void)events;
  while (mf_quota_asker_next_report (jobs->quota_asker, now_us, &ask, &allocator))
    {
      if (allocator == MF_DISPATCH_SELF)
        jobs_allocate (jobs, &ask);
      else if (jobs->peers != NULL)
        ask_send (jobs, allocator, &ask, 0);
    }
  log_changes (jobs, now_us);
  if (!mf_quota_asker_has_reports (jobs->quota_asker) && !mf_quotas_any_limited (jobs->quotas))
    ev_timer_stop (loop, watcher);
}

/* Initialises an instance that knows of no use. Returns false when out of memory. */
bool
mf_jobs_init_quotas (MfJobs *jobs)
{
  jobs->quotas = mf_quotas_new ();
  jobs->quota_asker = mf_quota_asker_new ();
  ev_init (&jobs->quota_timer, mf_jobs_quota_tick);
  jobs->quota_timer.repeat = REPORT_INTERVAL_S;
  jobs->quota_timer.data = jobs;
  return jobs->quotas != NULL && jobs->quota_asker != NULL;
}

void
mf_jobs_clear_quotas (MfJobs *jobs)
{
  ev_timer_stop (jobs->loop, &jobs->quota_timer);
  mf_quotas_free (jobs->quotas);
  mf_quota_asker_free (jobs->quota_asker);
}

/* Returns what the request counts against its customer's quota. */
static uint32_t
job_units (const MfJob *job)
{
  uint64_t prompt_tokens
      = job->prompt_tokens < MF_QUOTA_ASK_UNITS_MAX ? job->prompt_tokens : MF_QUOTA_ASK_UNITS_MAX;
  uint64_t output_tokens
      = job->output_tokens < MF_QUOTA_ASK_UNITS_MAX ? job->output_tokens : MF_QUOTA_ASK_UNITS_MAX;
  uint64_t n_units = prompt_tokens + output_tokens;

  if (!job->customer->counts_tokens)
    return 1;
  if (mf_head_count (mf_caller_head (job->caller), MF_HEADER_TOKEN_COUNT) == 0)
    n_units = job->customer->plain_tokens;
  return (uint32_t)(n_units < MF_QUOTA_ASK_UNITS_MAX ? n_units : MF_QUOTA_ASK_UNITS_MAX);
}

static MfQuotaRequest
job_quota_request (const MfJob *job)
{
  return (MfQuotaRequest){
    .key = job->quota_key,
    .n_units = job->quota_units,
    .limit = job->quota_limit,
    .allocator = job->quota_allocator,
    .n_instances = mf_jobs_n_instances (job->jobs),
    .random = mf_jobs_random (job->jobs),
    .wants_lease = job->quota_allocator != MF_DISPATCH_SELF,
  };
}

static void
job_note_admitted (MfJob *job)
{
  job->quota_state = MF_JOB_QUOTA_ADMITTED;
  job_count_units (job, job->customer != NULL ? job->customer->name : "", MF_CUSTOMER_UNITS);
}

static void
job_deny (MfJob *job, uint64_t retry_us)
{
  job->jobs->counters.counts[MF_RELAY_COUNT_QUOTA_DENIED]++;
  job_count_units (job, job->customer != NULL ? job->customer->name : "", MF_CUSTOMER_UNITS_DENIED);
  /* Unlike other refusals it names a time beyond the caller's deadline, as an earlier try would be
   * refused as well. */
  job->quota_retry_us = retry_us > 0 ? retry_us : 1;
  mf_job_refuse (job, MF_CODE_CUSTOMER_LIMIT, "over the customer's quota");
}

/* Decides with the bucket of this instance, as the allocator does not answer. Returns whether the
 * request is admitted; otherwise it has ended. */
static bool
job_admit_local (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  MfQuotaRequest request = job_quota_request (job);
  uint64_t retry_us = 0;

  mf_job_close_query (job);
  jobs->counters.counts[MF_RELAY_COUNT_QUOTA_LOCAL]++;
  if (!mf_quota_asker_local (jobs->quota_asker, &request, mf_clock_now_us (), &retry_us))
    {
      job_deny (job, retry_us);
      return false;
    }
  job_note_admitted (job);
  return true;
}

/* Ends the wait for a reply. Returns whether the request is admitted; otherwise it has ended. */
static bool
job_handle_grant (MfJob *job, const MfQuotaGrant *grant)
{
  MfJobs *jobs = job->jobs;
  MfQuotaRequest request = job_quota_request (job);
  uint64_t retry_us = 0;

  mf_job_close_query (job);
  if (!mf_quota_asker_handle_grant (jobs->quota_asker, &request, grant, mf_clock_now_us (),
                                    &retry_us))
    {
      job_deny (job, retry_us);
      return false;
    }
  jobs->counters.counts[MF_RELAY_COUNT_QUOTA_GRANTED]++;
  job_note_admitted (job);
  return true;
}

/* Continues a request that has waited for a reply and is admitted. */
static void
job_continue (MfJob *job)
{
  uint64_t now_us = mf_clock_now_us ();

  job->waited_us += now_us - job->waiting_since_us;
  job->waiting_since_us = now_us;
  mf_job_advance (job);
}

/* Asks the allocator. Returns whether the request is admitted at once; otherwise it waits for the
 * reply, or has ended. */
static bool
job_ask (MfJob *job, const MfQuotaAsk *ask)
{
  MfJobs *jobs = job->jobs;
  uint64_t id = ++jobs->last_peer_request_id;
  MfQuotaGrant grant;

  jobs->counters.counts[MF_RELAY_COUNT_QUOTA_ASKED]++;
  if (job->quota_allocator == MF_DISPATCH_SELF)
    {
      grant = jobs_allocate (jobs, ask);
      return grant.redirected ? job_admit_local (job) : job_handle_grant (job, &grant);
    }
  if (!ask_send (jobs, job->quota_allocator, ask, id))
    return job_admit_local (job);
  mf_job_open_query (job, MF_JOB_QUERY_QUOTA, id, job->quota_allocator, REPLY_TIMEOUT_US);
  job->quota_state = MF_JOB_QUOTA_ASKED;
  return false;
}

/* The request does not wait for the allocator's reply any more: nothing has been decided. */
void
mf_job_quota_cancelled (MfJob *job)
{
  job->quota_state = MF_JOB_QUOTA_UNDECIDED;
}

/* Admits a request within the quota of its customer at its arrival, before anything is sent for it.
 * Returns whether it may go on; otherwise it waits for a reply of the allocator, or has been
 * refused and freed. */
bool
mf_job_admit (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  MfQuotaRequest request;
  MfQuotaAsk ask;
  uint64_t retry_us = 0;

  if (job->quota_state != MF_JOB_QUOTA_UNDECIDED)
    return job->quota_state != MF_JOB_QUOTA_ASKED;
  if (job->customer == NULL || job->customer->per_s == 0)
    {
      job->quota_state = MF_JOB_QUOTA_EXEMPT;
      return true;
    }
  job->quota_key = job->customer->name_hash;
  job->quota_limit = customer_limit (job->customer);
  job->quota_units = job_units (job);
  job->quota_allocator = jobs_allocator (jobs, job->quota_key);
  if (!ev_is_active (&jobs->quota_timer))
    ev_timer_again (jobs->loop, &jobs->quota_timer);
  request = job_quota_request (job);
  switch (mf_quota_asker_begin (jobs->quota_asker, &request, mf_clock_now_us (), &ask, &retry_us))
    {
    case MF_QUOTA_ADMIT:
      job_note_admitted (job);
      return true;
    case MF_QUOTA_DENY:
      job_deny (job, retry_us);
      return false;
    case MF_QUOTA_LOCAL:
      return job_admit_local (job);
    case MF_QUOTA_ASK:
      break;
    }
  return job_ask (job, &ask);
}

/* Returns the units of a request that has been refused, or whose caller has departed, if no
 * upstream has run or prefilled it. */
void
mf_job_return_quota (MfJob *job)
{
  if (job->quota_state != MF_JOB_QUOTA_ADMITTED || job->n_runs > 0 || job->n_prefills > 0
      || job->stalled.link != NULL || (job->link != NULL && mf_link_has_sent (job->link)))
    return;
  job->quota_state = MF_JOB_QUOTA_EXEMPT;
  job_count_units (job, "", MF_CUSTOMER_UNITS_RETURNED);
  mf_quota_asker_return (job->jobs->quota_asker, job->quota_key, job->quota_units, true,
                         mf_clock_now_us ());
  if (!ev_is_active (&job->jobs->quota_timer))
    ev_timer_again (job->jobs->loop, &job->jobs->quota_timer);
}

/* The allocator has not replied in time. */
void
mf_job_quota_expired (MfJob *job)
{
  MfJobs *jobs = job->jobs;

  mf_relay_log_state (jobs->log, "quota.unanswered", "id=%s customer=\"%s\" hash=%016llx", job->id,
                      job->customer != NULL ? job->customer->name : "",
                      (unsigned long long)job->quota_key);
  mf_quota_asker_note_unanswered (jobs->quota_asker, job->quota_key, job->quota_allocator,
                                  mf_clock_now_us ());
  if (job_admit_local (job))
    job_continue (job);
}

/* Handles an ask of another instance. */
static void
handle_ask (MfJobs *jobs, uint64_t peer, const MfQuotaMessage *quota)
{
  MfQuotaGrant grant = { .redirected = true };

  if (jobs_allocator (jobs, quota->ask.key) == MF_DISPATCH_SELF)
    grant = jobs_allocate (jobs, &quota->ask);
  if (quota->id == 0)
    return;
  jobs->message.kind = MF_RELAY_MESSAGE_QUOTA_GRANT;
  jobs->message.quota = (MfQuotaMessage){
    .id = quota->id, .ask = { .key = quota->ask.key, .n_units = quota->ask.n_units }, .grant = grant
  };
  mf_peers_send (jobs->peers, peer, &jobs->message);
}

/* Handles an ask of another instance, or the reply to one of this instance. */
void
mf_jobs_handle_quota (MfJobs *jobs, uint64_t peer, const MfRelayMessage *message)
{
  MfQuotaMessage quota = message->quota;
  MfJob *job;

  if (message->kind == MF_RELAY_MESSAGE_QUOTA_ASK)
    {
      handle_ask (jobs, peer, &quota);
      return;
    }
  job = mf_jobs_match_reply (jobs, MF_JOB_QUERY_QUOTA, quota.id, peer);
  if (job == NULL)
    {
      if (quota.grant.granted)
        mf_quota_asker_return (jobs->quota_asker, quota.ask.key,
                               quota.ask.n_units + quota.grant.n_leased, false, mf_clock_now_us ());
      return;
    }
  if (quota.grant.redirected ? job_admit_local (job) : job_handle_grant (job, &quota.grant))
    job_continue (job);
}

/* The allocator that is to reply was lost: goes on with the local bucket. */
void
mf_job_quota_peer_lost (MfJob *job)
{
  if (job_admit_local (job))
    job_continue (job);
}
