#include "job_row.h"

#include "libmangofork/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An idempotent request is tried elsewhere after this percentage of its latency objective, which
 * leaves the second upstream time to meet it; or, if later, after this multiple of the upstream's
 * usual answer time. */
#define RETRY_OBJECTIVE_PERCENT 45
#define RETRY_ANSWER_FACTOR 3.
/* A prefill is retried elsewhere after this multiple of the expected time, but not before the
 * minimum. */
#define PREFILL_FACTOR 4.
#define PREFILL_TIMEOUT_MIN_US (350 * MF_US_PER_MS)
/* Prefill time per token before any was observed, as in place.c. */
#define DEFAULT_US_PER_TOKEN 18.
/* A resumable stream is moved to another upstream after this many latency objectives without a
 * first event. */
#define FIRST_EVENT_OBJECTIVES 1
/* A request that may be executed only once is not sent on a connection that was idle for longer:
 * the upstream may have closed it silently. */
#define RUN_ONCE_IDLE_MAX_US (2 * MF_US_PER_S)
/* Timeout of a call that frees KV; the KV expires by itself anyway. */
#define RELEASE_TIMEOUT_US (2 * MF_US_PER_S)

/* Excludes an upstream, named by its hash, that has declined or failed the request or that this
 * instance cannot use. */
void
mf_job_avoid (MfJob *job, uint64_t id_hash)
{
  for (uint32_t i = 0; i < job->n_avoid; i++)
    {
      if (job->avoid[i] == id_hash)
        return;
    }
  if (job->n_avoid < MF_JOB_AVOID_MAX)
    job->avoid[job->n_avoid++] = id_hash;
}

/* Reserves a slot at an engine and gives back the one reserved before, if any; NULL only gives it
 * back. */
void
mf_job_reserve (MfJob *job, MfTarget *target)
{
  if (job->reserved_target == target)
    return;
  if (job->reserved_target != NULL)
    {
      mf_target_unreserve (job->reserved_target, job->kv_tokens);
      mf_target_unref (job->reserved_target);
    }
  job->reserved_target = target;
  if (target != NULL)
    mf_target_reserve (mf_target_ref (target), job->kv_tokens);
  mf_jobs_load_changed (job->jobs);
}

/* Ends the accounting of the request at its current upstream. */
void
mf_job_release_target (MfJob *job)
{
  if (job->target == NULL)
    return;
  mf_target_end_request (job->target, job->target_tokens);
  job->target->n_suspects -= job->was_suspect;
  mf_target_unref (job->target);
  job->target = NULL;
  if (job->is_engine)
    mf_jobs_load_changed (job->jobs);
}

/* Cancels the current exchange, if any. */
void
mf_job_cancel (MfJob *job)
{
  if (job->link != NULL)
    mf_link_cancel (job->link);
  job->link = NULL;
  mf_job_release_target (job);
}

static void
on_released (void *data, MfLinkEnd end, const char *why)
{
  (void)end;
  (void)why;
  mf_target_unref (data);
}

static const MfLinkCallbacks release_callbacks = {
  .end = on_released,
};

/* Tells the engine that holds the prefilled KV to free it. */
void
mf_job_release_kv (MfJob *job)
{
  MfTarget *target = job->kv_target;
  char path[160];
  char head[320];

  if (target == NULL)
    return;
  job->kv_target = NULL;
  if (!job->kv_used && target->paused_until_us > mf_clock_now_us ())
    mf_relay_log_event (job->jobs->log, "memory.left",
                        "id=%s upstream=%s handle=%s why=\"engine requested a pause\"", job->id,
                        target->info.id, job->kv.handle);
  else if (!job->kv_used && mf_target_is_limited (target))
    mf_relay_log_event (job->jobs->log, "memory.left",
                        "id=%s upstream=%s handle=%s why=\"engine limits its requests\"", job->id,
                        target->info.id, job->kv.handle);
  else if (!job->kv_used && !target->is_dropped)
    {
      snprintf (path, sizeof path, "%s%s", job->jobs->dialect->release_path, job->kv.handle);
      snprintf (head, sizeof head, "DELETE %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n",
                path, target->info.address);
      mf_target_note_send (target, mf_clock_now_us ());
      mf_relay_log_event (job->jobs->log, "memory.freed", "id=%s upstream=%s handle=%s", job->id,
                          target->info.id, job->kv.handle);
      /* The exchange holds the reference until it ends. */
      if (mf_link_start (&target->pool,
                         &(MfLinkRequest){
                             .callbacks = &release_callbacks,
                             .data = target,
                             .head = head,
                             .head_bytes = strlen (head),
                             .timeout_us = RELEASE_TIMEOUT_US,
                         })
          != NULL)
        return;
    }
  mf_target_unref (target);
}

/* Adds the caller's headers that are forwarded to the upstream. */
static void
head_add_caller_fields (const MfJob *job, MfBuffer *out)
{
  const MfHead *head = mf_caller_head (job->caller);
  bool hides_key = mf_job_hides_key (job);

  for (uint32_t i = 0; i < head->n_fields; i++)
    {
      const MfHeadField *field = &head->fields[i];

      switch (field->header)
        {
        case MF_HEADER_CONNECTION:
        case MF_HEADER_KEEP_ALIVE:
        case MF_HEADER_HOP_BY_HOP:
        case MF_HEADER_EXPECT_CONTINUE:
        case MF_HEADER_CONTENT_LENGTH:
        case MF_HEADER_DEADLINE:
        case MF_HEADER_EXPECT_UPSTREAM:
        case MF_HEADER_STAGE:
        case MF_HEADER_KV_SOURCE:
        case MF_HEADER_ENGINE_PRIORITY:
        case MF_HEADER_ENGINE_CONTROL:
          continue;
        case MF_HEADER_API_KEY:
        case MF_HEADER_CUSTOMER:
          if (hides_key || mf_head_is_hop_by_hop (head, field))
            continue;
          break;
        case MF_HEADER_LAST_EVENT_ID:
          if (job->events.has_last_id)
            continue;
          break;
        default:
          if (mf_head_is_hop_by_hop (head, field))
            continue;
          break;
        }
      mf_buffer_add (out, mf_head_text (head, field->name_at), field->name_bytes);
      mf_buffer_add (out, ": ", 2);
      mf_buffer_add (out, mf_head_text (head, field->value_at), field->value_bytes);
      mf_buffer_add (out, "\r\n", 2);
    }
}

static void
head_add (const MfJob *job, MfBuffer *out, MfHeaderId header, const char *value)
{
  mf_head_write (out, mf_dialect_header_name (job->jobs->dialect, header), value, strlen (value));
}

/* Writes the head of the upstream request. */
static void
job_write_head (const MfJob *job, const MfTarget *target, bool prefill, MfBuffer *out)
{
  const MfHead *head = mf_caller_head (job->caller);
  const char *method = mf_caller_method (job->caller);
  uint64_t now_us = mf_clock_now_us ();
  uint64_t left_us = job->deadline_us > now_us ? job->deadline_us - now_us : 0;
  size_t body_bytes = mf_buffer_bytes (mf_caller_body (job->caller));
  char value[192];

  mf_buffer_add_text (out, method);
  mf_buffer_add_text (out, " ");
  mf_buffer_add (out, mf_head_text (head, 0), head->target_bytes);
  mf_buffer_add_text (out, " HTTP/1.1\r\n");
  head_add_caller_fields (job, out);
  snprintf (value, sizeof value, "%llu", (unsigned long long)(left_us / MF_US_PER_MS + 1));
  head_add (job, out, MF_HEADER_DEADLINE, value);
  head_add (job, out, MF_HEADER_EXPECT_UPSTREAM, target->info.id);
  if (job->customer != NULL)
    head_add (job, out, MF_HEADER_CUSTOMER, job->customer->name);
  if (prefill)
    head_add (job, out, MF_HEADER_STAGE, job->jobs->dialect->stage_prefill);
  else if (job->kv_target != NULL)
    {
      snprintf (value, sizeof value, "%s/%s", job->kv_target->info.address, job->kv.handle);
      head_add (job, out, MF_HEADER_KV_SOURCE, value);
    }
  if (!prefill && job->events.has_last_id)
    {
      snprintf (value, sizeof value, "%llu", (unsigned long long)job->events.last_id);
      mf_head_write (out, "Last-Event-Id", value, strlen (value));
    }
  if (body_bytes > 0 || strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0
      || strcmp (method, "PATCH") == 0)
    {
      snprintf (value, sizeof value, "%zu", body_bytes);
      mf_head_write (out, "Content-Length", value, strlen (value));
    }
  mf_buffer_add_text (out, "\r\n");
}

/* Returns after which time an attempt is abandoned for another upstream; 0: never. */
static uint64_t
job_send_timeout_us (const MfJob *job, const MfTarget *target, bool prefill)
{
  const MfRoute *route = job->route;
  double expected_us;
  double limit_us;

  if (prefill)
    {
      expected_us = (target->us_per_token > 0. ? target->us_per_token : DEFAULT_US_PER_TOKEN)
                    * (double)target->active_tokens;
      limit_us = expected_us * PREFILL_FACTOR;
      return limit_us > (double)PREFILL_TIMEOUT_MIN_US ? (uint64_t)limit_us
                                                       : PREFILL_TIMEOUT_MIN_US;
    }
  if (route->kind == MF_ROUTE_IDEMPOTENT)
    {
      limit_us = (double)route->target_latency_us * RETRY_OBJECTIVE_PERCENT / 100.;
      expected_us = mf_target_answer_us (target, limit_us / RETRY_ANSWER_FACTOR, mf_clock_now_us ())
                    * RETRY_ANSWER_FACTOR;
      return (uint64_t)(expected_us > limit_us ? expected_us : limit_us);
    }
  if (route->kind == MF_ROUTE_STREAMING && route->resumable)
    return route->target_latency_us * FIRST_EVENT_OBJECTIVES;
  return 0;
}

/* Sets when the current attempt is abandoned for another upstream. */
void
mf_job_set_send_deadline (MfJob *job)
{
  uint64_t timeout_us = job_send_timeout_us (job, job->target, job->phase == MF_JOB_PREFILL);

  job->step_deadline_us = timeout_us > 0 ? job->sent_us + timeout_us : 0;
}

/* Returns a send that has not arrived to the retry budget, and its unit to the rate limit. */
void
mf_job_return_send (MfJob *job, MfTarget *target)
{
  if (job->is_retry)
    job->n_reserved_sends++;
  else if (target->info.role == MF_ROLE_PREFILL)
    job->n_prefill_sends--;
  else
    job->n_run_sends--;
  mf_job_return_rate (job, target);
}

/* Sends a prefill or a run to an upstream. Returns false if it was not sent: an upstream has it,
 * memory has run out, or this process might exit before the answer is complete. The request may
 * have ended then. */
bool
mf_job_send (MfJob *job, MfTarget *target, bool prefill)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();
  const MfBuffer *body = mf_caller_body (job->caller);
  bool run_once = !prefill && !mf_job_may_retry (job);
  MfBuffer head = { 0 };

  if (mf_job_end_busy (job) || mf_job_end_unfinishable (job, true))
    return false;
  if (!prefill)
    mf_job_move_if_slow (job);
  job_write_head (job, target, prefill, &head);
  job->target = mf_target_ref (target);
  job->was_suspect = mf_job_is_suspect (job);
  target->n_suspects += job->was_suspect;
  job->answer_began = false;
  if (!prefill && job->stalled.link == NULL)
    mf_event_stream_begin_run (&job->events, target->id_hash);
  job->n_events_before = job->events.n_events;
  mf_name_set (job->last_upstream, sizeof job->last_upstream, target->info.id);
  job->target_tokens = prefill ? job->prompt_tokens : job->kv_tokens;
  if (!prefill)
    mf_job_reserve (job, NULL);
  mf_target_begin_request (target, job->target_tokens, now_us);
  mf_target_note_send (target, now_us);
  mf_job_note_spillover (job, target, prefill);
  mf_target_limit_idle (target, job->service->connections_max, mf_jobs_n_instances (jobs));
  if (job->is_engine)
    mf_jobs_load_changed (jobs);
  job->phase = prefill ? MF_JOB_PREFILL : job->head_sent ? MF_JOB_STREAMING : MF_JOB_RUNNING;
  job->waiting_since_us = 0;
  mf_job_note_send (job, prefill);
  if (prefill && job->n_prompt_sends++ > 0)
    jobs->counters.counts[job->reread_counter] += job->prompt_tokens;
  if (prefill)
    job->reread_counter = MF_RELAY_COUNT_REREAD_BROKEN;
  job->sent_us = now_us;
  if (!prefill && job->stalled.link != NULL)
    mf_job_await_successor (job);
  else
    mf_job_set_send_deadline (job);
  mf_job_answer_clear (&job->answer);
  job->link = mf_link_start (
      &target->pool, &(MfLinkRequest){
                         .callbacks = prefill ? &mf_job_prefill_callbacks : &mf_job_run_callbacks,
                         .data = job,
                         .head = mf_buffer_data (&head),
                         .head_bytes = mf_buffer_bytes (&head),
                         .body = mf_buffer_data (body),
                         .body_bytes = mf_buffer_bytes (body),
                         .body_is_kept = true,
                         .echo_id = job->id[0] != '\0' ? job->id : NULL,
                         .idle_max_us = run_once ? RUN_ONCE_IDLE_MAX_US : 0,
                         .head_only = job->is_head_request,
                     });
  mf_buffer_clear (&head);
  jobs->counters.counts[MF_RELAY_COUNT_SENDS]++;
  mf_relay_log_event (jobs->log, "request.send",
                      "id=%s digest=%016llx upstream=%s version=%s stage=%s try=%u "
                      "after_event=%lld memory=%s "
                      "in_flight=%u tokens=%llu "
                      "answer_ms=%.1f failure_share=%.2f seen_ms=%.0f left_ms=%lld",
                      job->id, (unsigned long long)job->digest, target->info.id,
                      target->info.version, prefill ? "prefill" : mf_role_name (target->info.role),
                      job->n_arrivals + 1,
                      job->events.has_last_id ? (long long)job->events.last_id : -1LL,
                      job->kv_target != NULL ? job->kv.handle : "none", target->n_active,
                      (unsigned long long)target->active_tokens, target->answer_us / 1e3,
                      mf_target_failure_share (target, now_us),
                      target->answered_us > 0 ? (double)(now_us - target->answered_us) / 1e3 : -1.,
                      ((long long)job->deadline_us - (long long)now_us) / 1000);
  if (job->link == NULL)
    {
      mf_job_release_target (job);
      mf_job_refuse (job, MF_CODE_NO_MEMORY, "out of memory while sending the request");
      return false;
    }
  mf_job_set_timer (job);
  return true;
}
