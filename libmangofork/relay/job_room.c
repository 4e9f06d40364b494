#include "job_row.h"

#include "libmangofork/clock.h"

#include <string.h>

/* The instance that decides for all answers an ask at once, if only that it is queued: a few round
 * trips between data centres and turns of a small instance's loop. */
#define ANSWER_US (80 * MF_US_PER_MS)
/* After so many that do not answer an instance decides for itself: it may be cut off, and a quarter
 * of the shortest objective for a first event has gone. */
#define UNANSWERED_MAX 3
/* First events take up to so many times their average; most then come in time. */
#define FIRST_FACTOR 1.4

static MfJob *
job_by_ask (const MfJobs *jobs, uint64_t ask_id)
{
  for (MfJob *job = jobs->first; job != NULL; job = job->next)
    {
      if (job->ask_id == ask_id && job->phase == MF_JOB_WAITING)
        return job;
    }
  return NULL;
}

/* The age at which a place still lets the first event be in time. */
static uint64_t
start_objective_us (const MfJob *job)
{
  uint64_t first_us = (uint64_t)(job->jobs->first_us * FIRST_FACTOR);
  uint64_t objective_us = job->route->target_latency_us;

  return objective_us > first_us ? objective_us - first_us : 0;
}

/* Adds the engines that take nothing of this instance, as far as they fit: the instance that
 * decides does not know what they have told this one. */
static void
ask_avoid_unusable (const MfJob *job, MfSlotRequest *ask, uint64_t now_us)
{
  for (const MfTarget *target = job->jobs->targets.first;
       target != NULL && ask->n_avoid < MF_PLACE_AVOID_MAX; target = target->next)
    {
      if (target->info.role == MF_ROLE_DECODE && !target->info.leaving
          && !mf_target_accepts (target, now_us)
          && strcmp (target->info.service, job->service->name) == 0
          && !mf_place_avoids (ask->avoid, ask->n_avoid, target))
        ask->avoid[ask->n_avoid++] = target->id_hash;
    }
}

/* Decode engines of the service that the ask does not name. */
static uint32_t
ask_n_open (const MfJob *job, const MfSlotRequest *ask)
{
  uint32_t n_open = 0;

  for (const MfTarget *target = job->jobs->targets.first; target != NULL; target = target->next)
    n_open += target->info.role == MF_ROLE_DECODE && !target->info.leaving
              && strcmp (target->info.service, job->service->name) == 0
              && !mf_place_avoids (ask->avoid, ask->n_avoid, target);
  return n_open;
}

/* Adds the engines where requests run under which another has ended, while one is left without. */
static void
ask_avoid_suspects (const MfJob *job, MfSlotRequest *ask)
{
  uint32_t n_open = ask_n_open (job, ask);

  for (const MfTarget *target = job->jobs->targets.first;
       target != NULL && ask->n_avoid < MF_PLACE_AVOID_MAX && n_open > 1; target = target->next)
    {
      if (target->info.role != MF_ROLE_DECODE || target->n_suspects == 0
          || strcmp (target->info.service, job->service->name) != 0
          || mf_place_avoids (ask->avoid, ask->n_avoid, target))
        continue;
      ask->avoid[ask->n_avoid++] = target->id_hash;
      n_open--;
    }
}

/* What is asked for this request. A stream that broke off goes before those that have not begun:
 * its caller has been promised the rest. */
static MfSlotRequest
ask_make (MfJob *job, uint64_t now_us)
{
  uint64_t patience_us = job->give_up_us - job->asked_us;
  MfSlotRequest ask = {
    .id = ++job->jobs->last_ask_id,
    .prompt_tokens = job->prompt_tokens,
    .kv_tokens = job->memory_tokens,
    .is_prefilled = job->memory_target != NULL,
    .age_us = now_us - job->asked_us,
    .objective_us = job->head_sent ? patience_us : start_objective_us (job),
    .max_age_us = patience_us,
    .n_avoid = job->n_avoid,
  };

  memcpy (ask.service, job->service->name, strnlen (job->service->name, sizeof ask.service - 1));
  memcpy (ask.data_centre, job->jobs->targets.data_centre, sizeof ask.data_centre);
  memcpy (ask.avoid, job->avoid, sizeof job->avoid);
  ask_avoid_unusable (job, &ask, now_us);
  if (mf_job_is_suspect (job))
    ask_avoid_suspects (job, &ask);
  return ask;
}

/* Asks this instance itself. */
static void
ask_here (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();
  MfSlotRequest ask = ask_make (job, now_us);

  job->ask_id = ask.id;
  job->asked = MF_DISPATCH_SELF;
  job->try_due_us = 0;
  mf_dispatch_enqueue (jobs->dispatch, MF_DISPATCH_SELF, &ask, now_us);
  mf_job_set_timer (job);
  mf_jobs_wake_later (jobs);
}

/* Takes back an ask that was not answered. */
void
mf_job_unask (MfJob *job)
{
  MfJobs *jobs = job->jobs;

  if (job->ask_id == 0)
    return;
  if (job->asked == MF_DISPATCH_SELF)
    mf_dispatch_cancel (jobs->dispatch, MF_DISPATCH_SELF, job->ask_id);
  else
    {
      jobs->message.kind = MF_RELAY_MESSAGE_CANCEL;
      jobs->message.grant.id = job->ask_id;
      mf_peers_send (jobs->peers, job->asked, &jobs->message);
    }
  job->ask_id = 0;
}

/* Asks for room at an engine, here or at the instance that decides for all. */
void
mf_job_ask_room (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();
  uint64_t leader = jobs->peers == NULL ? MF_DISPATCH_SELF
                                        : mf_peers_leader (jobs->peers, job->service->name, now_us);

  mf_job_unask (job);
  if (job->phase != MF_JOB_WAITING || job->waiting_since_us == 0)
    {
      job->phase = MF_JOB_WAITING;
      job->waiting_since_us = now_us;
    }
  if (leader == MF_DISPATCH_SELF)
    {
      ask_here (job);
      return;
    }
  jobs->message.kind = MF_RELAY_MESSAGE_SLOT_REQUEST;
  jobs->message.slot_request = ask_make (job, now_us);
  job->ask_id = jobs->message.slot_request.id;
  job->asked = leader;
  job->try_due_us = now_us + ANSWER_US;
  if (mf_peers_send (jobs->peers, leader, &jobs->message))
    mf_job_set_timer (job);
  else
    ask_here (job);
}

/* The instance that was asked does not answer: the next one is asked. Were all that wait to decide
 * for themselves, they would take the same places. */
void
mf_job_ask_expired (MfJob *job)
{
  MfJobs *jobs = job->jobs;

  mf_lines_state (jobs->lines, "dispatch.unanswered", "id=%s waited_ms=%.1f", job->id,
                  (double)(mf_clock_now_us () - job->waiting_since_us) / 1e3);
  mf_peers_exclude_leader (jobs->peers, job->asked);
  mf_job_unask (job);
  if (++job->n_unanswered < UNANSWERED_MAX)
    mf_job_ask_room (job);
  else
    ask_here (job);
}

/* Goes on with the engines that a grant names, as far as this instance can use them. */
static void
job_granted (MfJob *job, const MfGrant *grant)
{
  MfTargets *targets = &job->jobs->targets;
  MfTarget *decode = mf_targets_by_hash (targets, grant->decode);
  uint64_t now_us = mf_clock_now_us ();

  mf_lines_add (job->jobs->lines, "request.granted",
                "id=%s decode=%s by=%s waited_ms=%.1f load=%u load_tokens=%llu tokens=%llu",
                job->id, decode != NULL ? decode->info.id : "unknown",
                job->asked == MF_DISPATCH_SELF ? "self" : "peer",
                (double)(now_us - job->waiting_since_us) / 1e3,
                decode != NULL ? mf_target_load (decode) : 0,
                (unsigned long long)(decode != NULL ? mf_target_load_tokens (decode) : 0),
                (unsigned long long)job->memory_tokens);
  job->ask_id = 0;
  job->n_unanswered = 0;
  job->try_due_us = 0;
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
on_grant (void *data, uint64_t asker, const MfGrant *grant)
{
  MfJobs *jobs = data;
  MfJob *job;

  if (asker != MF_DISPATCH_SELF)
    {
      jobs->message.kind = MF_RELAY_MESSAGE_GRANT;
      jobs->message.grant = *grant;
      mf_peers_send (jobs->peers, asker, &jobs->message);
      return;
    }
  job = job_by_ask (jobs, grant->id);
  if (job != NULL)
    job_granted (job, grant);
}

static const MfRouteService *
on_traits (void *data, const char *service)
{
  MfJobs *jobs = data;
  uint32_t index = jobs->routes == NULL ? MF_NONE : mf_routes_service (jobs->routes, service);

  return index == MF_NONE ? NULL : &jobs->routes->services[index];
}

const MfDispatchCallbacks mf_job_dispatch_user = {
  .grant = on_grant,
  .service_config = on_traits,
};

/* Tells an asker whose ask could not be granted at once that it is kept. */
static void
ask_take (MfJobs *jobs, uint64_t peer, const MfSlotRequest *ask)
{
  uint64_t id = ask->id;
  uint32_t n_before = mf_dispatch_n_waiting (jobs->dispatch);

  mf_dispatch_enqueue (jobs->dispatch, peer, ask, mf_clock_now_us ());
  mf_jobs_wake (jobs);
  if (mf_dispatch_n_waiting (jobs->dispatch) <= n_before)
    return;
  jobs->message.kind = MF_RELAY_MESSAGE_QUEUED;
  jobs->message.grant.id = id;
  mf_peers_send (jobs->peers, peer, &jobs->message);
}

/* A message that is no report has come from another instance. */
static void
on_message (void *data, uint64_t peer, const MfRelayMessage *message)
{
  MfJobs *jobs = data;
  MfJob *job;

  switch (message->kind)
    {
    case MF_RELAY_MESSAGE_SLOT_REQUEST:
      ask_take (jobs, peer, &message->slot_request);
      return;
    case MF_RELAY_MESSAGE_CANCEL:
      mf_dispatch_cancel (jobs->dispatch, peer, message->grant.id);
      return;
    case MF_RELAY_MESSAGE_GRANT_ACK:
      mf_dispatch_ack_grants (jobs->dispatch, peer, message->grant.id);
      jobs->others_stale = true;
      return;
    case MF_RELAY_MESSAGE_QUEUED:
      job = job_by_ask (jobs, message->grant.id);
      if (job == NULL || job->asked != peer)
        return;
      job->try_due_us = 0;
      mf_job_set_timer (job);
      return;
    case MF_RELAY_MESSAGE_GRANT:
      mf_peers_ack_grant (jobs->peers, peer, message->grant.id);
      job = job_by_ask (jobs, message->grant.id);
      if (job != NULL && job->asked == peer)
        job_granted (job, &message->grant);
      /* The place shows in the load, or is free again. */
      mf_jobs_load_changed (jobs);
      return;
    case MF_RELAY_MESSAGE_FEED:
      if (jobs->take_feed != NULL)
        jobs->take_feed (jobs->take_feed_data, peer, &message->feed);
      return;
    case MF_RELAY_MESSAGE_SUSPECTS:
      mf_jobs_take_suspects (jobs, &message->suspects);
      return;
    case MF_RELAY_MESSAGE_RETRY:
    case MF_RELAY_MESSAGE_RETRY_REPLY:
      mf_jobs_take_repeat_message (jobs, peer, message);
      return;
    default:
      return;
    }
}

/* Another instance has been reached that may have started anew. */
static void
on_peer_reached (void *data, uint64_t peer)
{
  mf_jobs_tell_suspects (data, peer);
}

/* Another instance is gone. */
static void
on_peer_gone (void *data, uint64_t peer)
{
  MfJobs *jobs = data;
  uint64_t now_us = mf_clock_now_us ();

  mf_dispatch_drop_requester (jobs->dispatch, peer);
  jobs->others_stale = true;
  /* Whoever decides now is to know what this instance has before the asks reach it. */
  for (uint32_t i = 0; jobs->peers != NULL && jobs->routes != NULL && i < jobs->routes->n_services;
       i++)
    {
      if (jobs->routes->services[i].is_engine)
        mf_peers_leader (jobs->peers, jobs->routes->services[i].name, now_us);
    }
  for (MfJob *job = jobs->first; job != NULL; job = job->next)
    {
      if (job->phase != MF_JOB_WAITING || job->ask_id == 0 || job->asked != peer)
        continue;
      job->ask_id = 0;
      mf_job_ask_room (job);
    }
}

static void
on_fill (void *data, MfLoadReport *report)
{
  MfJobs *jobs = data;

  mf_load_fill_report (&jobs->targets, report, mf_clock_now_us ());
}

static void
on_changed (void *data)
{
  MfJobs *jobs = data;

  jobs->others_stale = true;
  mf_jobs_wake (jobs);
}

const MfPeersCallbacks mf_jobs_peers_user = {
  .fill_report = on_fill,
  .loads_changed = on_changed,
  .message = on_message,
  .reached = on_peer_reached,
  .gone = on_peer_gone,
};
