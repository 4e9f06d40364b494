#include "job_row.h"

#include "libmangofork/clock.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Instances that are told which version began a stream, besides the one where it began: enough for
 * some of them to survive the loss of most instances. */
#define HOLDERS 4
/* Instances that are asked. Instances that have returned meanwhile may rank above the holders. */
#define ASKED 8
/* The others reply within a few round trips between data centres and loop iterations of a small
 * instance. */
#define REPLY_TIMEOUT_US (100 * MF_US_PER_MS)
/* The same for engines, which are asked twice in turn when no instance knows, and for the instance
 * that asks them. */
#define ENGINES_TIMEOUT_US (850 * MF_US_PER_MS)
#define ENGINES_REPLY_TIMEOUT_US (950 * MF_US_PER_MS)
/* A stream begins this much before its caller's deadline tells, at most: for the network and for
 * rounding. */
#define AGE_MARGIN_US (500 * MF_US_PER_MS)

/* Returns a hash that identifies a stream: by the id of the attempt that began it and the target of
 * the request, which all attempts have in common. Never 0. */
static uint64_t
stream_hash (const MfJob *job, const char *id)
{
  const MfHead *head = mf_caller_head (job->caller);
  uint64_t parts[] = {
    XXH3_64bits (id, strlen (id)),
    XXH3_64bits (mf_head_text (head, 0), head->target_bytes),
  };
  uint64_t hash = XXH3_64bits (parts, sizeof parts);

  return hash != 0 ? hash : 1;
}

/* Returns the time before which the stream that the caller takes up has not begun; 0: it may have
 * begun at any time. Callers wait for no longer than the longest timeout, and the deadline tells
 * how much of that has passed, unless it shows that this one waits for longer. */
static uint64_t
stream_begun_us (const MfJob *job)
{
  uint64_t timeout_us = job->jobs->stream_timeout_us;
  uint64_t left_ms = 0;
  uint64_t age_us;

  if (!mf_head_number (mf_caller_head (job->caller), MF_HEADER_DEADLINE, &left_ms)
      || left_ms > timeout_us / MF_US_PER_MS)
    return 0;
  age_us = timeout_us - left_ms * MF_US_PER_MS + AGE_MARGIN_US;
  return job->started_us > age_us ? job->started_us - age_us : 0;
}

/* Returns the only version at which a stream may have begun since a time, as far as this instance
 * knows; 0: it does not. */
static uint64_t
jobs_infer_version (const MfJobs *jobs, const char *service, uint64_t begun_us)
{
  uint64_t boottime_us = mf_clock_boottime_us ();

  if (boottime_us > jobs->upstreams_as_of_us + jobs->upstreams_age_max_us)
    return 0;
  return mf_targets_sole_version (&jobs->targets, service, begun_us);
}

/* Whether the stream that the caller takes up can only have begun at the request's service, as the
 * route has led to no other since. */
static bool
job_service_is_certain (const MfJob *job)
{
  return job->route->n_shares == 1
         && (job->route->changed_us == 0
             || stream_begun_us (job) > job->route->changed_us + MF_VERSION_LAG_US);
}

/* Tells the holders, and records here, that a version has made events of a stream. */
static void
jobs_note_origin (MfJobs *jobs, uint64_t stream, uint64_t version)
{
  mf_origins_note (jobs->origins, stream, version);
  if (jobs->peers == NULL)
    return;
  jobs->message.kind = MF_RELAY_MESSAGE_ORIGIN;
  jobs->message.origin = (MfOriginMessage){ .stream = stream, .version = version };
  mf_peers_send_ranked (jobs->peers, stream, HOLDERS, &jobs->message);
}

/* The first event of the answer has come and is not passed on yet: binds the stream to the version
 * that has made it. */
void
mf_job_note_begun (MfJob *job)
{
  job->version = job->target->version;
  job->origin_noted = true;
  if (job->route->resumable && job->stream != 0)
    jobs_note_origin (job->jobs, job->stream, job->version);
}

static void
job_log_origin (const MfJob *job, const char *known_by)
{
  mf_relay_log_event (job->jobs->log, "request.resume",
                      "id=%s begun_as=%s known_by=%s version=%016llx waited_ms=%.1f", job->id,
                      job->begun_as, known_by, (unsigned long long)job->version,
                      (double)(mf_clock_now_us () - job->started_us) / 1e3);
}

/* Refuses to go on with a stream whose version no instance knows. */
static void
job_refuse_unknown (MfJob *job, const char *why)
{
  job_log_origin (job, "nobody");
  mf_job_refuse (job, MF_CODE_NO_VERSION, why);
}

static void
job_refuse_ambiguous (MfJob *job)
{
  job_refuse_unknown (job, "streams of two versions have this name");
}

/* Chooses the service of the version that began the stream, if the route leads there. */
static void
job_choose_service (MfJob *job)
{
  const MfTarget *target = mf_targets_by_version (&job->jobs->targets, job->version);

  for (uint32_t i = 0; target != NULL && i < job->route->n_shares; i++)
    {
      const MfRouteService *service = &job->routes->services[job->route->shares[i].service];

      if (strcmp (service->name, target->info.service) != 0)
        continue;
      job->service = service;
      job->is_engine = service->is_engine;
      return;
    }
}

/* Binds the stream that the caller takes up to the version that began it. */
static void
job_bind (MfJob *job, uint64_t version, const char *known_by)
{
  job->version = version;
  job_choose_service (job);
  mf_job_close_query (job);
  job->waiting_since_us = 0;
  job_log_origin (job, known_by);
}

static MfOriginMessage
origin_ask_make (MfJob *job, bool asks_engines)
{
  MfOriginMessage ask = {
    .id = ++job->jobs->last_peer_request_id,
    .stream = job->stream,
    .begun_us = stream_begun_us (job),
    .part = job->parts.own_hash,
    .tokens = job->parts.own_tokens,
    .asks_engines = asks_engines,
  };

  mf_name_set (ask.service, sizeof ask.service, job->service->name);
  return ask;
}

/* Returns the instance that asks the engines of a service for all: that of highest rank for a key
 * which differs from the leader's, as the leader is busy. */
static uint64_t
jobs_engine_asker (const MfJobs *jobs, const char *service)
{
  return jobs->peers == NULL
             ? MF_DISPATCH_SELF
             : mf_peers_allocator (jobs->peers, ~mf_load_hash (service), mf_clock_now_us ());
}

/* Asks what the engines hold, where this instance does so for all. To be called some time after the
 * start, when the others are connected: if all instances were lost, the engines hold the prompts of
 * broken streams until there is new traffic. */
void
mf_jobs_ask_engines (MfJobs *jobs)
{
  for (uint32_t i = 0; jobs->routes != NULL && i < jobs->routes->n_services; i++)
    {
      const MfRouteService *service = &jobs->routes->services[i];

      if (service->is_engine && jobs_engine_asker (jobs, service->name) == MF_DISPATCH_SELF)
        mf_held_parts_ask (jobs->held_parts, service->name, false);
    }
}

/* Has one instance ask the engines. Returns false when it is this one or cannot be reached. */
static bool
job_ask_for_engines (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t asker = jobs_engine_asker (jobs, job->service->name);
  uint64_t id;

  if (asker == MF_DISPATCH_SELF)
    return false;
  jobs->message.kind = MF_RELAY_MESSAGE_ORIGIN_ASK;
  jobs->message.origin = origin_ask_make (job, true);
  id = jobs->message.origin.id;
  if (!mf_peers_send (jobs->peers, asker, &jobs->message))
    return false;
  job->n_origin_replies_due = 1;
  mf_job_open_query (job, MF_JOB_QUERY_ORIGIN, id, asker, ENGINES_REPLY_TIMEOUT_US);
  return true;
}

/* Looks for the version at the engines: the one that began the stream still holds its prompt,
 * unless it has evicted or lost it. Returns whether the request may go on now; else it waits for
 * the engines, or has been refused and freed. */
static bool
job_find_at_engines (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t version = 0;
  bool may_ask = job->is_engine && job->parts.own_hash != 0;

  switch (mf_held_parts_find (jobs->held_parts, job->service->name, job->parts.own_hash,
                              job->parts.own_tokens, &version))
    {
    case MF_HELD_AT_ONE_VERSION:
      job_bind (job, version, "engines");
      return true;
    case MF_HELD_AT_SEVERAL:
      job_refuse_unknown (job, "engines of several versions hold the prompt of the stream");
      return false;
    default:
      break;
    }
  if (may_ask && job->n_engine_asks == 0)
    {
      job->n_engine_asks = 1;
      if (job_ask_for_engines (job))
        return false;
    }
  if (may_ask && job->n_engine_asks == 1)
    {
      job->n_engine_asks = 2;
      if (mf_held_parts_ask (jobs->held_parts, job->service->name, true))
        {
          mf_job_open_query (job, MF_JOB_QUERY_ENGINES, ++jobs->last_peer_request_id, 0,
                             ENGINES_TIMEOUT_US);
          return false;
        }
    }
  job_refuse_unknown (job, "the version that began the stream is not known");
  return false;
}

static MfJob *
job_awaiting_engines (const MfJobs *jobs, const char *service)
{
  for (MfJob *job = jobs->first; job != NULL; job = job->next)
    {
      if (job->query.kind == MF_JOB_QUERY_ENGINES && strcmp (job->service->name, service) == 0)
        return job;
    }
  return NULL;
}

/* Decides on a request after the engines have been asked. */
static void
job_engines_answered (MfJob *job)
{
  mf_job_close_query (job);
  if (job_find_at_engines (job))
    mf_job_advance (job);
}

/* Replies to another instance what is known of the engines that hold a part. */
static void
engine_ask_reply (MfJobs *jobs, const MfEngineAsk *ask)
{
  MfOriginMessage reply = { .id = ask->id };
  uint64_t version = 0;

  switch (mf_held_parts_find (jobs->held_parts, ask->service, ask->part, ask->tokens, &version))
    {
    case MF_HELD_AT_ONE_VERSION:
      reply.version = version;
      break;
    case MF_HELD_NOWHERE:
      reply.is_inferred = !mf_held_parts_are_current (jobs->held_parts, ask->service);
      break;
    default:
      break;
    }
  jobs->message.kind = MF_RELAY_MESSAGE_ORIGIN_REPLY;
  jobs->message.origin = reply;
  mf_peers_send (jobs->peers, ask->peer, &jobs->message);
}

/* Asks the engines for another instance, unless their answers are known. */
static void
engine_ask_handle (MfJobs *jobs, uint64_t peer, const MfOriginMessage *origin)
{
  MfEngineAsk ask
      = { .peer = peer, .id = origin->id, .part = origin->part, .tokens = origin->tokens };
  uint64_t version = 0;

  mf_name_set (ask.service, sizeof ask.service, origin->service);
  if (mf_held_parts_find (jobs->held_parts, ask.service, ask.part, ask.tokens, &version)
          == MF_HELD_NOWHERE
      && jobs->n_engine_asks < MF_JOBS_ENGINE_ASKS_MAX
      && mf_held_parts_ask (jobs->held_parts, ask.service, true))
    jobs->engine_asks[jobs->n_engine_asks++] = ask;
  else
    engine_ask_reply (jobs, &ask);
}

/* Replies to the instances that have asked for the engines of a service. */
static void
engine_asks_reply (MfJobs *jobs, const char *service)
{
  uint32_t n_kept = 0;

  for (uint32_t i = 0; i < jobs->n_engine_asks; i++)
    {
      if (strcmp (jobs->engine_asks[i].service, service) == 0)
        engine_ask_reply (jobs, &jobs->engine_asks[i]);
      else
        jobs->engine_asks[n_kept++] = jobs->engine_asks[i];
    }
  jobs->n_engine_asks = n_kept;
}

/* Whether this instance or another waits for what the engines of a service hold. */
static bool
engines_are_awaited (const MfJobs *jobs, const char *service)
{
  for (uint32_t i = 0; i < jobs->n_engine_asks; i++)
    {
      if (strcmp (jobs->engine_asks[i].service, service) == 0)
        return true;
    }
  return job_awaiting_engines (jobs, service) != NULL;
}

static void
on_engines_answered (void *data, const char *service)
{
  MfJobs *jobs = data;
  MfJob *job;

  /* The query was for what they hold now, and has to be made for what they have held lately. */
  if (engines_are_awaited (jobs, service) && !mf_held_parts_are_current (jobs->held_parts, service)
      && mf_held_parts_ask (jobs->held_parts, service, true))
    return;
  engine_asks_reply (jobs, service);
  while ((job = job_awaiting_engines (jobs, service)) != NULL)
    job_engines_answered (job);
}

const MfHeldCallbacks mf_jobs_held_callbacks = {
  .answered = on_engines_answered,
};

/* Asks the instances that may know the version. Returns false when none can be reached. */
static bool
job_ask_origin (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t id;

  if (jobs->peers == NULL || job->stream == 0)
    return false;
  jobs->message.kind = MF_RELAY_MESSAGE_ORIGIN_ASK;
  jobs->message.origin = origin_ask_make (job, false);
  id = jobs->message.origin.id;
  job->n_origin_replies_due
      = mf_peers_send_ranked (jobs->peers, job->stream, ASKED, &jobs->message);
  if (job->n_origin_replies_due == 0)
    return false;
  mf_job_open_query (job, MF_JOB_QUERY_ORIGIN, id, 0, REPLY_TIMEOUT_US);
  return true;
}

/* Whether this instance may conclude from its own list which version began the stream: one that is
 * cut off from the others may not have read yet what they use. */
static bool
job_may_infer (const MfJob *job)
{
  const MfPeers *peers = job->jobs->peers;

  if (job->n_engine_asks > 0 || !job_service_is_certain (job))
    return false;
  if (peers == NULL || mf_peers_n_known (peers) == 1 || job->origin_was_answered)
    return true;
  /* Without a name of the stream, the others have not been queried. */
  return job->stream == 0 && mf_peers_n_alive (peers, mf_clock_now_us ()) > 1;
}

/* Looks for the version after no instance has been found that has recorded it. Returns like
 * job_find_at_engines. */
static bool
job_find_without_record (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t version = 0;

  if (job_may_infer (job))
    version = jobs_infer_version (jobs, job->service->name, stream_begun_us (job));
  if (version == 0 && job->inferred_version == 0)
    return job_find_at_engines (job);
  job_bind (job, version != 0 ? version : job->inferred_version,
            version != 0 ? "sole" : "peer-sole");
  return true;
}

/* Finds out which version began the stream that the caller takes up. Returns whether the request
 * may go on now; else it waits for other instances, or has been refused and freed. */
bool
mf_job_find_origin (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  MfOriginState state = MF_ORIGIN_UNKNOWN;
  uint64_t version = 0;

  jobs->counters.counts[MF_RELAY_COUNT_TAKEN_UP]++;
  if (job->begun_as[0] != '\0')
    {
      job->stream = stream_hash (job, job->begun_as);
      state = mf_origins_find (jobs->origins, job->stream, &version);
    }
  if (state == MF_ORIGIN_AMBIGUOUS)
    {
      job_refuse_ambiguous (job);
      return false;
    }
  if (state == MF_ORIGIN_KNOWN)
    {
      job_bind (job, version, "self");
      return true;
    }
  /* What is recorded elsewhere counts for more than what can be inferred here. */
  return !job_ask_origin (job) && job_find_without_record (job);
}

/* All replies have come, or the time for them is over. */
void
mf_job_origin_expired (MfJob *job)
{
  if (job->query.kind == MF_JOB_QUERY_ENGINES)
    {
      job_engines_answered (job);
      return;
    }
  mf_job_close_query (job);
  if (job_find_without_record (job))
    mf_job_advance (job);
}

/* Sets the name by which the stream of a new request can be taken up. */
void
mf_job_name_stream (MfJob *job)
{
  if (job->id[0] != '\0')
    job->stream = stream_hash (job, job->id);
}

/* Answers another instance's question. */
static void
origin_ask_handle (MfJobs *jobs, uint64_t peer, const MfOriginMessage *ask)
{
  MfOriginMessage reply = { .id = ask->id };
  MfOriginState state = mf_origins_find (jobs->origins, ask->stream, &reply.version);

  if (state == MF_ORIGIN_UNKNOWN)
    {
      reply.is_inferred = true;
      reply.version = jobs_infer_version (jobs, ask->service, ask->begun_us);
    }
  jobs->message.kind = MF_RELAY_MESSAGE_ORIGIN_REPLY;
  jobs->message.origin = reply;
  mf_peers_send (jobs->peers, peer, &jobs->message);
}

/* Handles the reply to a question of this instance. What was recorded counts at once, what is
 * inferred after all have replied. */
static void
origin_reply_handle (MfJobs *jobs, uint64_t peer, const MfOriginMessage *reply)
{
  MfJob *job = mf_jobs_match_reply (jobs, MF_JOB_QUERY_ORIGIN, reply->id, peer);

  if (job == NULL)
    return;
  job->origin_was_answered = true;
  if (job->n_origin_replies_due > 0)
    job->n_origin_replies_due--;
  if (reply->version != 0 && !reply->is_inferred)
    {
      job_bind (job, reply->version, job->n_engine_asks > 0 ? "engines" : "peer");
      mf_job_advance (job);
      return;
    }
  /* It has recorded two versions. */
  if (reply->version == 0 && !reply->is_inferred && job->n_engine_asks == 0)
    {
      job_refuse_ambiguous (job);
      return;
    }
  if (reply->version != 0 && job_service_is_certain (job))
    job->inferred_version = reply->version;
  if (job->n_origin_replies_due > 0)
    return;
  /* The engines have been asked, and need not be again. */
  if (job->n_engine_asks == 1 && !reply->is_inferred)
    job->n_engine_asks = 2;
  mf_job_origin_expired (job);
}

/* Handles a message of another instance about the version that began a stream. */
void
mf_jobs_handle_origin (MfJobs *jobs, uint64_t peer, const MfRelayMessage *message)
{
  MfOriginMessage origin = message->origin;

  switch (message->kind)
    {
    case MF_RELAY_MESSAGE_ORIGIN:
      if (origin.stream != 0 && origin.version != 0)
        mf_origins_note (jobs->origins, origin.stream, origin.version);
      return;
    case MF_RELAY_MESSAGE_ORIGIN_ASK:
      if (origin.asks_engines)
        engine_ask_handle (jobs, peer, &origin);
      else
        origin_ask_handle (jobs, peer, &origin);
      return;
    default:
      origin_reply_handle (jobs, peer, &origin);
      return;
    }
}
