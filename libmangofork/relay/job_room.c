#include "job_row.h"

#include "libmangofork/clock.h"
#include "libmangofork/fair.h"

#include <string.h>

/* The leader replies to a slot request at once, with a grant or with "queued": within a few round
 * trips between data centres and loop iterations of a small instance. */
#define REPLY_TIMEOUT_US (80 * MF_US_PER_MS)
/* After this many requests without a reply the instance grants slots itself: it may be isolated,
 * and a quarter of the shortest first-event objective has passed. */
#define UNANSWERED_MAX 3
/* Most first events arrive within this multiple of the average time. */
#define FIRST_EVENT_FACTOR 1.4

/* Maximum age at which a grant still lets the first event meet the objective. */
static uint64_t
grant_objective_us (const MfJob *job)
{
  uint64_t first_event_us = (uint64_t)(job->jobs->mean_first_event_us * FIRST_EVENT_FACTOR);
  uint64_t objective_us = job->route->target_latency_us;

  return objective_us > first_event_us ? objective_us - first_event_us : 0;
}

/* Excludes the engines that accept no requests of this instance, as far as the list has space: the
 * leader does not know what they have announced to this instance. */
static void
request_avoid_unusable (const MfJob *job, MfSlotRequest *request, uint64_t now_us)
{
  for (const MfTarget *target = job->jobs->targets.first;
       target != NULL && request->n_avoid < MF_PLACE_AVOID_MAX; target = target->next)
    {
      if (target->info.role == MF_ROLE_DECODE && !target->info.leaving
          && (!mf_target_accepts (target, now_us)
              || !mf_target_rate_ready (target, MF_DISPATCH_RATE_WAIT_US, now_us))
          && strcmp (target->info.service, job->service->name) == 0
          && !mf_place_avoids (request->avoid, request->n_avoid, target))
        request->avoid[request->n_avoid++] = target->id_hash;
    }
}

/* Number of decode engines of the service that the request does not exclude. */
static uint32_t
request_n_usable (const MfJob *job, const MfSlotRequest *request)
{
  uint32_t n_usable = 0;

  for (const MfTarget *target = job->jobs->targets.first; target != NULL; target = target->next)
    n_usable += target->info.role == MF_ROLE_DECODE && !target->info.leaving
                && (request->version == 0 || target->version == request->version)
                && strcmp (target->info.service, job->service->name) == 0
                && !mf_place_avoids (request->avoid, request->n_avoid, target);
  return n_usable;
}

/* Excludes the engines that run suspect requests, but leaves at least one usable. */
static void
request_avoid_suspects (const MfJob *job, MfSlotRequest *request)
{
  uint32_t n_usable = request_n_usable (job, request);

  for (const MfTarget *target = job->jobs->targets.first;
       target != NULL && request->n_avoid < MF_PLACE_AVOID_MAX && n_usable > 1;
       target = target->next)
    {
      if (target->info.role != MF_ROLE_DECODE || target->n_suspects == 0
          || strcmp (target->info.service, job->service->name) != 0
          || mf_place_avoids (request->avoid, request->n_avoid, target))
        continue;
      request->avoid[request->n_avoid++] = target->id_hash;
      n_usable--;
    }
}

/* Priority of a slot request; 0 without customers. */
static uint32_t
slot_priority (const MfJob *job)
{
  uint32_t priority = job->routes->customers != NULL ? mf_job_priority (job) : 0;

  return priority < MF_FAIR_PRIORITY_MAX ? priority : MF_FAIR_PRIORITY_MAX;
}

/* Builds a slot request. An interrupted stream takes precedence over streams that have not started,
 * as its caller has received a part of it. */
static MfSlotRequest
request_make (MfJob *job, uint64_t now_us)
{
  uint64_t max_age_us = job->give_up_us - job->first_try_us;
  MfSlotRequest request = {
    .id = ++job->jobs->last_peer_request_id,
    .prompt_tokens = job->prompt_tokens,
    .kv_tokens = job->kv_tokens,
    .is_prefilled = job->kv_target != NULL,
    .age_us = now_us - job->first_try_us,
    .version = job->version,
    .objective_us = job->head_sent ? max_age_us : grant_objective_us (job),
    .max_age_us = max_age_us,
    .n_avoid = job->n_avoid,
    .customer = job->customer != NULL ? job->customer->name_hash : 0,
    .priority = slot_priority (job),
  };

  memcpy (request.service, job->service->name,
          strnlen (job->service->name, sizeof request.service - 1));
  memcpy (request.data_centre, job->jobs->targets.data_centre, sizeof request.data_centre);
  memcpy (request.avoid, job->avoid, sizeof job->avoid);
  request_avoid_unusable (job, &request, now_us);
  if (mf_job_is_suspect (job))
    request_avoid_suspects (job, &request);
  return request;
}

/* Refuses a request that no slot can be granted to in time, at once instead of when it gives up. */
static void
job_reject (MfJob *job, uint64_t wait_us)
{
  mf_job_close_query (job);
  job->pause_end_us = mf_clock_now_us () + wait_us;
  mf_job_refuse (job, MF_CODE_QUEUE_FULL,
                 "the queue for engine slots is longer than the time left");
}

/* Whether a slot request is to be queued at the dispatcher of this instance. Logs it if not. */
static bool
admit (MfJobs *jobs, const MfSlotRequest *request, uint64_t now_us, uint64_t *wait_us)
{
  char name[MF_NAME_BYTES];

  if (mf_dispatch_admit (jobs->dispatch, request, now_us, wait_us))
    return true;
  mf_relay_log_state (jobs->log, "dispatch.refused",
                      "customer=\"%s\" priority=%u service=%s waiting=%u wait_ms=%.1f",
                      mf_jobs_customer_name (jobs, request->customer, name, sizeof name),
                      request->priority, request->service, mf_dispatch_n_waiting (jobs->dispatch),
                      (double)*wait_us / 1e3);
  return false;
}

/* Enqueues the request at the dispatcher of this instance, or refuses it. It may have been freed on
 * return. */
static void
request_enqueue_local (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();
  MfSlotRequest request = request_make (job, now_us);
  uint64_t wait_us = 0;

  if (!admit (jobs, &request, now_us, &wait_us))
    {
      job_reject (job, wait_us);
      return;
    }
  mf_job_open_query (job, MF_JOB_QUERY_SLOT, request.id, MF_DISPATCH_SELF, 0);
  mf_dispatch_enqueue (jobs->dispatch, MF_DISPATCH_SELF, &request, now_us);
  mf_jobs_schedule_dispatch (jobs);
}

/* Takes a slot request that has not been granted out of the queue. */
void
mf_job_withdraw_slot_request (MfJob *job)
{
  MfJobs *jobs = job->jobs;

  if (job->query.peer == MF_DISPATCH_SELF)
    mf_dispatch_cancel (jobs->dispatch, MF_DISPATCH_SELF, job->query.id);
  else
    {
      jobs->message.kind = MF_RELAY_MESSAGE_CANCEL;
      jobs->message.grant.id = job->query.id;
      mf_peers_send (jobs->peers, job->query.peer, &jobs->message);
    }
}

/* Requests a slot from the leader, or from the dispatcher of this instance. */
void
mf_job_request_slot (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();
  uint64_t leader = jobs->peers == NULL ? MF_DISPATCH_SELF
                                        : mf_peers_leader (jobs->peers, job->service->name, now_us);
  uint64_t id;

  mf_job_cancel_query (job);
  if (job->phase != MF_JOB_WAITING || job->waiting_since_us == 0)
    {
      job->phase = MF_JOB_WAITING;
      job->waiting_since_us = now_us;
    }
  if (leader == MF_DISPATCH_SELF)
    {
      request_enqueue_local (job);
      return;
    }
  jobs->message.kind = MF_RELAY_MESSAGE_SLOT_REQUEST;
  jobs->message.slot_request = request_make (job, now_us);
  id = jobs->message.slot_request.id;
  if (mf_peers_send (jobs->peers, leader, &jobs->message))
    mf_job_open_query (job, MF_JOB_QUERY_SLOT, id, leader, REPLY_TIMEOUT_US);
  else
    request_enqueue_local (job);
}

/* The leader has not replied: sends the slot request to the next one. If all waiting instances
 * granted slots themselves, they would take the same ones. */
void
mf_job_slot_request_expired (MfJob *job)
{
  MfJobs *jobs = job->jobs;

  mf_relay_log_state (jobs->log, "dispatch.unanswered", "id=%s waited_ms=%.1f", job->id,
                      (double)(mf_clock_now_us () - job->waiting_since_us) / 1e3);
  mf_peers_exclude_leader (jobs->peers, job->query.peer);
  mf_job_cancel_query (job);
  if (++job->n_unanswered_requests < UNANSWERED_MAX)
    mf_job_request_slot (job);
  else
    request_enqueue_local (job);
}

/* Continues with the engines of a grant, as far as this instance can use them. */
static void
job_granted (MfJob *job, const MfGrant *grant)
{
  MfTargets *targets = &job->jobs->targets;
  MfTarget *decode = mf_targets_by_hash (targets, grant->decode);
  uint64_t now_us = mf_clock_now_us ();

  mf_relay_log_event (job->jobs->log, "request.granted",
                      "id=%s decode=%s by=%s waited_ms=%.1f load=%u load_tokens=%llu tokens=%llu",
                      job->id, decode != NULL ? decode->info.id : "unknown",
                      job->query.peer == MF_DISPATCH_SELF ? "self" : "peer",
                      (double)(now_us - job->waiting_since_us) / 1e3,
                      decode != NULL ? mf_target_load (decode) : 0,
                      (unsigned long long)(decode != NULL ? mf_target_load_tokens (decode) : 0),
                      (unsigned long long)job->kv_tokens);
  mf_job_close_query (job);
  job->n_unanswered_requests = 0;
  job->waited_us += now_us - job->waiting_since_us;
  job->waiting_since_us = now_us;
  job->granted_prefill = grant->prefill;
  job->granted_us = now_us;
  if (decode != NULL && mf_target_accepts (decode, now_us))
    mf_job_reserve (job, decode);
  else
    mf_job_avoid (job, grant->decode);
  mf_job_advance (job);
}

static void
on_grant (void *data, uint64_t requester, const MfGrant *grant)
{
  MfJobs *jobs = data;
  MfJob *job;

  if (requester != MF_DISPATCH_SELF)
    {
      jobs->message.kind = MF_RELAY_MESSAGE_GRANT;
      jobs->message.grant = *grant;
      mf_peers_send (jobs->peers, requester, &jobs->message);
      return;
    }
  job = mf_jobs_find_query (jobs, MF_JOB_QUERY_SLOT, grant->id);
  if (job != NULL)
    job_granted (job, grant);
}

static const MfRouteService *
on_service_config (void *data, const char *service)
{
  MfJobs *jobs = data;
  uint32_t index = jobs->routes == NULL ? MF_NONE : mf_routes_service (jobs->routes, service);

  return index == MF_NONE ? NULL : &jobs->routes->services[index];
}

const MfDispatchCallbacks mf_job_dispatch_callbacks = {
  .grant = on_grant,
  .service_config = on_service_config,
};

/* Enqueues another instance's slot request, and replies "queued" if it is not granted at once; or
 * rejects it. */
static void
request_handle (MfJobs *jobs, uint64_t peer, const MfSlotRequest *request)
{
  uint64_t id = request->id;
  uint64_t wait_us = 0;

  if (!admit (jobs, request, mf_clock_now_us (), &wait_us))
    {
      jobs->message.kind = MF_RELAY_MESSAGE_REJECTED;
      jobs->message.grant.id = id;
      jobs->message.wait_us = wait_us;
      mf_peers_send (jobs->peers, peer, &jobs->message);
      return;
    }
  mf_dispatch_enqueue (jobs->dispatch, peer, request, mf_clock_now_us ());
  mf_jobs_run_dispatch (jobs);
  if (!mf_dispatch_is_waiting (jobs->dispatch, peer, id))
    return;
  jobs->message.kind = MF_RELAY_MESSAGE_QUEUED;
  jobs->message.grant.id = id;
  mf_peers_send (jobs->peers, peer, &jobs->message);
}

/* Handles a message of another instance other than a load report. */
static void
on_message (void *data, uint64_t peer, const MfRelayMessage *message)
{
  MfJobs *jobs = data;
  MfJob *job;

  switch (message->kind)
    {
    case MF_RELAY_MESSAGE_SLOT_REQUEST:
      request_handle (jobs, peer, &message->slot_request);
      return;
    case MF_RELAY_MESSAGE_CANCEL:
      mf_dispatch_cancel (jobs->dispatch, peer, message->grant.id);
      return;
    case MF_RELAY_MESSAGE_GRANT_ACK:
      mf_dispatch_ack_grants (jobs->dispatch, peer, message->grant.id);
      jobs->remote_load_stale = true;
      return;
    case MF_RELAY_MESSAGE_QUEUED:
      job = mf_jobs_match_reply (jobs, MF_JOB_QUERY_SLOT, message->grant.id, peer);
      if (job == NULL)
        return;
      job->step_deadline_us = 0;
      mf_job_set_timer (job);
      return;
    case MF_RELAY_MESSAGE_REJECTED:
      job = mf_jobs_match_reply (jobs, MF_JOB_QUERY_SLOT, message->grant.id, peer);
      if (job != NULL)
        job_reject (job, message->wait_us);
      return;
    case MF_RELAY_MESSAGE_GRANT:
      mf_peers_ack_grant (jobs->peers, peer, message->grant.id);
      job = mf_jobs_match_reply (jobs, MF_JOB_QUERY_SLOT, message->grant.id, peer);
      if (job != NULL)
        job_granted (job, &message->grant);
      /* The slot now shows in this instance's load, or is free again. */
      mf_jobs_load_changed (jobs);
      return;
    case MF_RELAY_MESSAGE_FEED:
      if (jobs->on_feed != NULL)
        jobs->on_feed (jobs->on_feed_data, peer, &message->feed);
      return;
    case MF_RELAY_MESSAGE_SUSPECTS:
    case MF_RELAY_MESSAGE_CONTENTS:
      mf_jobs_handle_suspects (jobs, peer, &message->suspects);
      return;
    case MF_RELAY_MESSAGE_LIMITS:
      mf_jobs_handle_limits (jobs, &message->limits);
      return;
    case MF_RELAY_MESSAGE_HISTORY:
      mf_jobs_handle_history (jobs, message->history_age_us);
      return;
    case MF_RELAY_MESSAGE_LISTINGS:
      mf_jobs_handle_listings (jobs, &message->listings);
      return;
    case MF_RELAY_MESSAGE_RATE_ASK:
    case MF_RELAY_MESSAGE_RATE_GRANT:
      mf_jobs_handle_rate (jobs, peer, message);
      return;
    case MF_RELAY_MESSAGE_QUOTA_ASK:
    case MF_RELAY_MESSAGE_QUOTA_GRANT:
      mf_jobs_handle_quota (jobs, peer, message);
      return;
    case MF_RELAY_MESSAGE_ORIGIN:
    case MF_RELAY_MESSAGE_ORIGIN_ASK:
    case MF_RELAY_MESSAGE_ORIGIN_REPLY:
      mf_jobs_handle_origin (jobs, peer, message);
      return;
    case MF_RELAY_MESSAGE_RETRY:
    case MF_RELAY_MESSAGE_RETRY_REPLY:
    case MF_RELAY_MESSAGE_RETRY_RETURN:
      mf_jobs_handle_retry_message (jobs, peer, message);
      return;
    default:
      return;
    }
}

/* A peer has connected that may have restarted. */
static void
on_peer_reached (void *data, uint64_t peer)
{
  mf_jobs_send_suspects (data, peer);
  mf_jobs_send_limits (data, peer);
  mf_jobs_send_listings (data, peer);
}

/* A peer has disconnected. */
static void
on_peer_lost (void *data, uint64_t peer)
{
  MfJobs *jobs = data;
  uint64_t now_us = mf_clock_now_us ();

  mf_dispatch_drop_requester (jobs->dispatch, peer);
  jobs->remote_load_stale = true;
  /* The new leader must have received this instance's load before its slot requests:
   * mf_peers_leader sends a report to a new leader. */
  for (uint32_t i = 0; jobs->peers != NULL && jobs->routes != NULL && i < jobs->routes->n_services;
       i++)
    {
      if (jobs->routes->services[i].is_engine)
        mf_peers_leader (jobs->peers, jobs->routes->services[i].name, now_us);
    }
  mf_jobs_queries_peer_lost (jobs, peer);
  mf_jobs_suspects_peer_lost (jobs, peer);
}

static void
on_fill_report (void *data, MfLoadReport *report)
{
  MfJobs *jobs = data;

  mf_load_fill_report (&jobs->targets, report, mf_clock_now_us ());
}

static void
on_loads_changed (void *data)
{
  MfJobs *jobs = data;

  jobs->remote_load_stale = true;
  mf_jobs_run_dispatch (jobs);
}

const MfPeersCallbacks mf_jobs_peers_callbacks = {
  .fill_report = on_fill_report,
  .loads_changed = on_loads_changed,
  .message = on_message,
  .reached = on_peer_reached,
  .lost = on_peer_lost,
};
