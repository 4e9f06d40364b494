#include "job_row.h"

#include "libmangofork/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An idempotent request is tried elsewhere after this part of its objective, which leaves the
 * second upstream time to be in time; or when it has taken so many times what it takes there. */
#define RETRY_OBJECTIVE_PERCENT 45
#define RETRY_ANSWERS 3.
/* A prompt is read elsewhere when this takes so many times what was expected, and at least this. */
#define PREFILL_FACTOR 4.
#define PREFILL_MIN_US (350 * MF_US_PER_MS)
#define TOKEN_FALLBACK_US 18.
/* A stream that may go on elsewhere does so after a pause of so many times the longest in order. */
#define SILENT_GAPS 3
#define SILENT_FIRST_OBJECTIVES 1
/* An engine that declined for want of room is not asked by others for so long. */
#define FULL_US (120 * MF_US_PER_MS)
/* An upstream that is another than was meant is gone; discovery tells within this time. */
#define MISDIRECTED_US (3 * MF_US_PER_S)
/* Requests that may run only once use no connection that was idle for longer: an upstream may have
 * dropped it without a word. */
#define ORDER_IDLE_MAX_US (2 * MF_US_PER_S)
/* Bytes of an answer that is kept whole before it goes to the caller. */
#define ANSWER_BYTES_MAX (4 * 1024 * 1024)
/* The same of an answer to a prefill, which names the memory and no more. */
#define PREFILL_BYTES_MAX (64 * 1024)
/* Answers below this size are not counted towards what all requests together may keep: callers'
 * number bounds them. */
#define ANSWER_BYTES_SMALL (64 * 1024)
/* A call that frees engine memory is given up after this time: what it frees lapses by itself. */
#define RELEASE_US (2 * MF_US_PER_S)
/* Connections that failed before anything left cost nothing but time; more are not tried. */
#define UNREACHED_MAX 5

/* Keeps the request from an upstream, named by its hash, that has declined or failed it, or that
 * this instance cannot use. */
void
mf_job_avoid (MfJob *job, uint64_t id_hash)
{
  if (job->n_avoid < MF_JOB_AVOID_MAX)
    job->avoid[job->n_avoid++] = id_hash;
}

/* Keeps room at an engine, in place of any kept before; NULL gives it back. */
void
mf_job_reserve (MfJob *job, MfTarget *target)
{
  if (job->room == target)
    return;
  if (job->room != NULL)
    {
      mf_target_unreserve (job->room, job->memory_tokens);
      mf_target_unref (job->room);
    }
  job->room = target;
  if (target != NULL)
    mf_target_reserve (mf_target_ref (target), job->memory_tokens);
  mf_jobs_load_changed (job->jobs);
}

/* Lets go of the upstream. */
static void
job_leave_target (MfJob *job)
{
  if (job->target == NULL)
    return;
  mf_target_end (job->target, job->target_tokens);
  mf_target_unref (job->target);
  job->target = NULL;
  if (job->is_engine)
    mf_jobs_load_changed (job->jobs);
}

/* Ends the exchange under way without hearing its end. */
void
mf_job_cancel (MfJob *job)
{
  if (job->link != NULL)
    mf_link_cancel (job->link);
  job->link = NULL;
  job_leave_target (job);
}

static void
on_released (void *data, MfLinkEnd end, const char *why)
{
  (void)end;
  (void)why;
  mf_target_unref (data);
}

static const MfLinkUser release_user = {
  .end = on_released,
};

/* Tells the engine that holds the prompt that nobody will come for it. */
void
mf_job_release_memory (MfJob *job)
{
  MfTarget *target = job->memory_target;
  char path[160];
  char head[320];

  if (target == NULL)
    return;
  job->memory_target = NULL;
  if (!job->memory_used && target->paused_until_us > mf_clock_now_us ())
    mf_lines_add (job->jobs->lines, "memory.left",
                  "id=%s upstream=%s handle=%s why=\"the engine asked for a pause\"", job->id,
                  target->info.id, job->memory.handle);
  else if (!job->memory_used && target->listed)
    {
      snprintf (path, sizeof path, "%s%s", job->jobs->dialect->release_path, job->memory.handle);
      snprintf (head, sizeof head, "DELETE %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n",
                path, target->info.address);
      /* The exchange keeps the reference until it ends. */
      if (mf_link_start (&target->pool,
                         &(MfLinkCall){
                             .user = &release_user,
                             .data = target,
                             .head = head,
                             .head_bytes = strlen (head),
                             .timeout_us = RELEASE_US,
                         })
          != NULL)
        return;
    }
  mf_target_unref (target);
}

/* Adds the caller's headers that go on to the upstream. */
static void
head_add_callers (const MfJob *job, MfBuffer *out)
{
  const MfHead *head = mf_caller_head (job->caller);

  for (uint32_t i = 0; i < head->n_fields; i++)
    {
      const MfHeadField *field = &head->fields[i];

      switch (field->word)
        {
        case MF_WORD_CONNECTION:
        case MF_WORD_KEEP_ALIVE:
        case MF_WORD_HOP:
        case MF_WORD_EXPECT_CONTINUE:
        case MF_WORD_CONTENT_LENGTH:
        case MF_WORD_DEADLINE:
        case MF_WORD_EXPECT_UPSTREAM:
        case MF_WORD_STAGE:
        case MF_WORD_KV_SOURCE:
        case MF_WORD_ENGINE_PRIORITY:
        case MF_WORD_ENGINE_CONTROL:
          continue;
        case MF_WORD_LAST_EVENT:
          if (job->events.has_last)
            continue;
          break;
        default:
          if (mf_head_is_hop (head, field))
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
head_add (const MfJob *job, MfBuffer *out, MfWord word, const char *value)
{
  mf_head_write (out, mf_dialect_name (job->jobs->dialect, word), value, strlen (value));
}

/* Writes the head of the request as the upstream gets it. */
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
  head_add_callers (job, out);
  snprintf (value, sizeof value, "%llu", (unsigned long long)(left_us / MF_US_PER_MS + 1));
  head_add (job, out, MF_WORD_DEADLINE, value);
  head_add (job, out, MF_WORD_EXPECT_UPSTREAM, target->info.id);
  if (prefill)
    head_add (job, out, MF_WORD_STAGE, job->jobs->dialect->stage_prefill);
  else if (job->memory_target != NULL)
    {
      snprintf (value, sizeof value, "%s/%s", job->memory_target->info.address, job->memory.handle);
      head_add (job, out, MF_WORD_KV_SOURCE, value);
    }
  if (!prefill && job->events.has_last)
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

/* When the upstream is given up for another; 0: never. */
static uint64_t
job_try_due_us (const MfJob *job, const MfTarget *target, bool prefill, uint64_t now_us)
{
  const MfRoute *route = job->route;
  double expected_us;
  double limit_us;

  if (prefill)
    {
      expected_us = (target->us_per_token > 0. ? target->us_per_token : TOKEN_FALLBACK_US)
                    * (double)target->active_tokens;
      limit_us = expected_us * PREFILL_FACTOR;
      return now_us + (limit_us > (double)PREFILL_MIN_US ? (uint64_t)limit_us : PREFILL_MIN_US);
    }
  if (route->kind == MF_ROUTE_IDEMPOTENT)
    {
      limit_us = (double)route->target_latency_us * RETRY_OBJECTIVE_PERCENT / 100.;
      expected_us = mf_target_answer_us (target, limit_us / RETRY_ANSWERS, now_us) * RETRY_ANSWERS;
      return now_us + (uint64_t)(expected_us > limit_us ? expected_us : limit_us);
    }
  if (route->kind == MF_ROUTE_STREAMING && route->resumable)
    return now_us + route->target_latency_us * SILENT_FIRST_OBJECTIVES;
  return 0;
}

static void on_prefill_end (void *data, MfLinkEnd end, const char *why);
static void on_run_end (void *data, MfLinkEnd end, const char *why);

static const MfLinkUser prefill_user;
static const MfLinkUser run_user;

/* Begins an exchange with an upstream: reading the prompt only, or the run. Returns false when the
 * request has ended for want of memory. */
bool
mf_job_send (MfJob *job, MfTarget *target, bool prefill)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();
  const MfBuffer *body = mf_caller_body (job->caller);
  bool once = !prefill && !mf_job_may_repeat (job);
  MfBuffer head = { 0 };

  job_write_head (job, target, prefill, &head);
  job->target = mf_target_ref (target);
  mf_name_set (job->last_upstream, sizeof job->last_upstream, target->info.id);
  job->target_tokens = prefill ? job->prompt_tokens : job->memory_tokens;
  if (!prefill)
    mf_job_reserve (job, NULL);
  mf_target_begin (target, job->target_tokens, now_us);
  if (job->is_engine)
    mf_jobs_load_changed (jobs);
  job->phase = prefill ? MF_JOB_PREFILL : job->head_sent ? MF_JOB_STREAMING : MF_JOB_RUNNING;
  job->waiting_since_us = 0;
  mf_job_note_send (job, prefill);
  job->sent_us = now_us;
  job->try_due_us = job_try_due_us (job, target, prefill, now_us);
  mf_job_answer_clear (&job->answer);
  job->link = mf_link_start (&target->pool, &(MfLinkCall){
                                                .user = prefill ? &prefill_user : &run_user,
                                                .data = job,
                                                .head = mf_buffer_data (&head),
                                                .head_bytes = mf_buffer_bytes (&head),
                                                .body = mf_buffer_data (body),
                                                .body_bytes = mf_buffer_bytes (body),
                                                .echo_id = job->id[0] != '\0' ? job->id : NULL,
                                                .idle_max_us = once ? ORDER_IDLE_MAX_US : 0,
                                                .head_only = job->is_head,
                                            });
  mf_buffer_clear (&head);
  jobs->counters.counts[MF_RELAY_COUNT_SENDS]++;
  mf_lines_add (jobs->lines, "request.send",
                "id=%s upstream=%s stage=%s try=%u memory=%s in_flight=%u tokens=%llu "
                "answer_ms=%.1f failure_share=%.2f seen_ms=%.0f left_ms=%lld",
                job->id, target->info.id, prefill ? "prefill" : mf_role_name (target->info.role),
                job->n_arrivals + 1, job->memory_target != NULL ? job->memory.handle : "none",
                target->n_active, (unsigned long long)target->active_tokens,
                target->answer_us / 1e3, mf_target_failure_share (target, now_us),
                target->answered_us > 0 ? (double)(now_us - target->answered_us) / 1e3 : -1.,
                ((long long)job->deadline_us - (long long)now_us) / 1000);
  if (job->link == NULL)
    {
      job_leave_target (job);
      mf_job_refuse (job, MF_CODE_NO_MEMORY, "no memory to send it");
      return false;
    }
  mf_job_set_timer (job);
  return true;
}

/* Keeps the headers of an answer that go on to the caller. */
static void
answer_take_head (MfJobAnswer *answer, const MfHead *head, uint32_t status)
{
  size_t n_bytes = 0;

  answer->status = status;
  answer->sealed = mf_head_count (head, MF_WORD_SEAL) > 0;
  answer->not_run = mf_head_count (head, MF_WORD_NOT_RUN) > 0 || status == 421;
  answer->encoded = mf_head_value (head, MF_WORD_CONTENT_ENCODING, &n_bytes) != NULL;
  for (uint32_t i = 0; i < head->n_fields; i++)
    {
      const MfHeadField *field = &head->fields[i];

      if (field->word == MF_WORD_CONNECTION || field->word == MF_WORD_KEEP_ALIVE
          || field->word == MF_WORD_HOP || field->word == MF_WORD_CONTENT_LENGTH
          || mf_head_is_hop (head, field))
        continue;
      mf_buffer_add (&answer->headers, mf_head_text (head, field->name_at), field->name_bytes);
      mf_buffer_add (&answer->headers, ": ", 2);
      mf_buffer_add (&answer->headers, mf_head_text (head, field->value_at), field->value_bytes);
      mf_buffer_add (&answer->headers, "\r\n", 2);
    }
}

/* A success that is the upstream's own bytes. */
static bool
answer_is_good (const MfJobAnswer *answer)
{
  return answer->status >= 200 && answer->status < 300 && answer->sealed && !answer->encoded
         && !answer->not_run;
}

static void
on_answer_head (void *data, const MfHead *head, uint32_t status)
{
  MfJob *job = data;

  mf_target_alive (job->target, mf_clock_now_us ());
  mf_job_answer_clear (&job->answer);
  answer_take_head (&job->answer, head, status);
}

static void
on_run_head (void *data, const MfHead *head, uint32_t status)
{
  MfJob *job = data;

  on_answer_head (data, head, status);
  if (job->route->kind != MF_ROUTE_STREAMING || !answer_is_good (&job->answer))
    return;
  job->phase = MF_JOB_STREAMING;
  if (job->head_sent)
    return;
  job->head_sent = true;
  mf_caller_begin (job->caller, status, &job->answer.headers);
}

/* Ends an exchange whose answer is not worth reading on: the upstream's connection is closed. */
static void
job_cut (MfJob *job, const char *why)
{
  bool is_prefill = job->phase == MF_JOB_PREFILL;

  mf_link_cancel (job->link);
  if (is_prefill)
    on_prefill_end (job, MF_LINK_BROKEN, why);
  else
    on_run_end (job, MF_LINK_BROKEN, why);
}

/* Of the requests with an answer on its way, the one that keeps most of it; NULL while all that is
 * kept together is less than what is allowed. */
static MfJob *
jobs_find_greediest (const MfJobs *jobs)
{
  MfJob *most = NULL;
  uint64_t total_bytes = 0;

  for (MfJob *job = jobs->first; job != NULL; job = job->next)
    {
      size_t n_bytes = mf_buffer_bytes (&job->answer.body);

      total_bytes += n_bytes + mf_buffer_bytes (&job->held.body);
      if (job->link != NULL && (most == NULL || n_bytes > mf_buffer_bytes (&most->answer.body)))
        most = job;
    }
  return total_bytes > jobs->answer_bytes_max ? most : NULL;
}

static void
on_answer_body (void *data, const char *bytes, size_t n_bytes)
{
  MfJob *job = data;
  MfBuffer *body = &job->answer.body;
  size_t limit_bytes = job->phase == MF_JOB_PREFILL ? PREFILL_BYTES_MAX : ANSWER_BYTES_MAX;
  MfJob *greediest;

  if (mf_buffer_bytes (body) + n_bytes > limit_bytes)
    {
      job_cut (job, "the answer is too large to keep");
      return;
    }
  mf_buffer_add (body, bytes, n_bytes);
  if (mf_buffer_bytes (body) < ANSWER_BYTES_SMALL)
    return;
  greediest = jobs_find_greediest (job->jobs);
  if (greediest != NULL)
    job_cut (greediest, "the answers that are kept have come to more than is allowed");
}

/* Reckons with what the answer has come to, once that is more than was expected. */
static void
job_grow (MfJob *job)
{
  uint64_t tokens = job->prompt_tokens + job->events.n_events * job->service->event_tokens;

  if (tokens <= job->target_tokens)
    return;
  mf_target_grow (job->target, tokens - job->target_tokens);
  job->target_tokens = tokens;
}

/* Gives the caller what has come of a stream. */
static void
on_run_body (void *data, const char *bytes, size_t n_bytes)
{
  MfJob *job = data;
  uint64_t now_us = mf_clock_now_us ();
  MfBuffer whole = { 0 };

  if (job->phase != MF_JOB_STREAMING || !answer_is_good (&job->answer))
    {
      on_answer_body (data, bytes, n_bytes);
      return;
    }
  mf_target_alive (job->target, now_us);
  if (job->first_event_us == 0)
    {
      job->first_event_us = now_us;
      if (job->granted_us > 0)
        mf_jobs_note_first (job->jobs, now_us - job->granted_us);
    }
  if (job->route->resumable)
    {
      mf_events_feed (&job->events, bytes, n_bytes, &whole);
      /* Bytes that end no event are no progress. */
      if (mf_buffer_bytes (&whole) > 0)
        job->try_due_us = now_us + job->route->target_gap_us * SILENT_GAPS;
      mf_caller_write (job->caller, mf_buffer_data (&whole), mf_buffer_bytes (&whole));
      mf_buffer_clear (&whole);
    }
  else
    {
      mf_events_count (&job->events, bytes, n_bytes);
      mf_caller_write (job->caller, bytes, n_bytes);
    }
  job_grow (job);
  if (mf_events_is_endless (&job->events))
    job_cut (job, "an event has no end");
}

/* The upstream declined: the request has not run there. */
static void
job_declined (MfJob *job, MfTarget *target)
{
  uint64_t now_us = mf_clock_now_us ();

  job->jobs->counters.counts[MF_RELAY_COUNT_NOT_RUN]++;
  if (job->answer.status == 421)
    {
      job->jobs->counters.counts[MF_RELAY_COUNT_MISDIRECTED]++;
      mf_target_replaced (target, now_us + MISDIRECTED_US);
      mf_jobs_load_changed (job->jobs);
    }
  else
    target->full_until_us = now_us + FULL_US;
  mf_lines_add (job->jobs->lines, "request.declined",
                "id=%s upstream=%s status=%u in_flight=%u tokens=%llu memory_age_ms=%.1f", job->id,
                target->info.id, job->answer.status, target->n_active,
                (unsigned long long)target->active_tokens,
                job->memory_target != NULL ? (double)(now_us - job->memory_us) / 1e3 : 0.);
  if (job->caller == NULL)
    {
      mf_job_finish (job, MF_CODE_DEPARTED, "declined, and the caller has left");
      return;
    }
  mf_job_avoid (job, target->id_hash);
  mf_job_repeat_or_end (job, &(MfJobDenied){
                                 .code = MF_CODE_RETRY_BUDGET,
                                 .why = "declined, and the retry budget is spent",
                             });
}

/* The request may have run, and has no whole answer. */
static void
job_broke (MfJob *job, MfTarget *target, const char *why)
{
  job->jobs->counters.counts[MF_RELAY_COUNT_BROKEN]++;
  mf_target_failed (target, false, mf_clock_now_us ());
  mf_lines_add (job->jobs->lines, "request.broken", "id=%s upstream=%s why=\"%s\" events=%llu",
                job->id, target->info.id, why, (unsigned long long)job->events.n_events);
  if (job->caller == NULL)
    {
      mf_job_finish (job, MF_CODE_DEPARTED, why);
      return;
    }
  mf_job_avoid (job, target->id_hash);
  mf_events_cut (&job->events);
  if (!mf_job_may_repeat (job) || (job->head_sent && !job->events.has_last)
      || job->n_runs >= job->route->attempts_max)
    {
      mf_job_finish (job, MF_CODE_UPSTREAM_DIED, why);
      return;
    }
  if (job->head_sent)
    {
      job->jobs->counters.counts[MF_RELAY_COUNT_RESUMED]++;
      mf_job_wait_again (job);
    }
  mf_job_repeat_or_end (job, &(MfJobDenied){
                                 .code = MF_CODE_UPSTREAM_DIED,
                                 .why = why,
                                 .may_have_run = true,
                             });
}

/* No connection could be made: nothing has left. */
static void
job_unreached (MfJob *job, MfTarget *target, const char *why)
{
  job->jobs->counters.counts[MF_RELAY_COUNT_UNREACHED]++;
  /* It did not arrive: the next send takes its place. */
  if (job->is_repeat)
    job->n_prepaid++;
  else if (target->info.role == MF_ROLE_PREFILL)
    job->n_prefill_sends--;
  else
    job->n_run_sends--;
  mf_target_failed (target, true, mf_clock_now_us ());
  mf_lines_state (job->jobs->lines, "upstream.unreached",
                  "upstream=%s address=%s id=%s why=\"%s\" failures=%u suspect_ms=%llu",
                  target->info.id, target->info.address, job->id, why, target->n_failures,
                  (unsigned long long)(target->suspect_until_us - mf_clock_now_us ()) / 1000);
  if (job->caller == NULL)
    {
      mf_job_finish (job, MF_CODE_DEPARTED, why);
      return;
    }
  mf_job_avoid (job, target->id_hash);
  if (++job->n_unreached > UNREACHED_MAX)
    mf_job_refuse (job, MF_CODE_NO_UPSTREAM, why);
  else
    mf_job_advance (job);
}

/* A whole answer has come to the request. */
static void
job_answered (MfJob *job, MfTarget *target)
{
  uint64_t now_us = mf_clock_now_us ();
  MfJobAnswer *answer = &job->answer;

  if (answer->not_run)
    {
      job_declined (job, target);
      return;
    }
  job->n_runs++;
  if (answer->body.failed)
    {
      mf_job_finish (job, MF_CODE_NO_MEMORY, "no memory to keep the answer");
      return;
    }
  if (answer_is_good (answer))
    {
      mf_target_answered (target, now_us - job->sent_us, now_us);
      mf_job_reply (job, answer);
      return;
    }
  if (answer->status < 300)
    {
      job_broke (job, target, answer->encoded ? "the answer is encoded" : "the answer has no seal");
      return;
    }
  if (answer->status >= 500)
    mf_target_failed (target, false, now_us);
  if (answer->status >= 500 && job->caller != NULL && !job->head_sent && mf_job_may_repeat (job)
      && job->n_runs < job->route->attempts_max && mf_job_take_repeat (job))
    {
      mf_job_answer_clear (&job->held);
      job->held = *answer;
      *answer = (MfJobAnswer){ 0 };
      mf_job_avoid (job, target->id_hash);
      mf_job_advance (job);
      return;
    }
  if (job->head_sent)
    mf_job_finish (job, MF_CODE_UPSTREAM_ERROR, "the upstream failed to go on with the stream");
  else
    mf_job_reply (job, answer);
}

static void
on_run_end (void *data, MfLinkEnd end, const char *why)
{
  MfJob *job = data;
  MfTarget *target = mf_target_ref (job->target);
  MfJobs *jobs = job->jobs;

  job->link = NULL;
  job->try_due_us = 0;
  job_leave_target (job);
  if (end != MF_LINK_UNREACHED)
    job->n_arrivals++;
  if (end == MF_LINK_UNREACHED)
    job_unreached (job, target, why);
  else if (end == MF_LINK_BROKEN)
    {
      job->n_runs++;
      job->memory_used = true;
      job_broke (job, target, why);
    }
  else if (job->phase == MF_JOB_STREAMING && answer_is_good (&job->answer))
    {
      job->n_runs++;
      job->memory_used = true;
      if (job->route->resumable && !mf_events_at_boundary (&job->events))
        job_broke (job, target, "the stream ended within an event");
      else
        {
          mf_target_answered (target, job->first_event_us - job->sent_us, mf_clock_now_us ());
          mf_jobs_note_answer (jobs, job->events.n_events * job->service->event_tokens,
                               mf_clock_now_us () - job->sent_us);
          mf_job_finish (job, MF_CODE_OK, "answered");
        }
    }
  else
    {
      job->memory_used = !job->answer.not_run;
      job_answered (job, target);
    }
  mf_target_unref (target);
  mf_jobs_wake (jobs);
}

static const MfLinkUser run_user = {
  .head = on_run_head,
  .body = on_run_body,
  .end = on_run_end,
};

/* The prompt has been read: the request goes on to a decode engine at once. */
static void
job_prefilled (MfJob *job, MfTarget *target)
{
  uint64_t now_us = mf_clock_now_us ();

  mf_target_read (target, job->prompt_tokens, now_us - job->sent_us, now_us);
  job->memory_target = mf_target_ref (target);
  job->memory_us = now_us;
  job->memory_used = false;
  job->jobs->counters.counts[MF_RELAY_COUNT_PREFILLS]++;
  mf_job_advance (job);
}

static void
on_prefill_end (void *data, MfLinkEnd end, const char *why)
{
  MfJob *job = data;
  MfTarget *target = mf_target_ref (job->target);
  MfJobAnswer *answer = &job->answer;

  job->link = NULL;
  job->try_due_us = 0;
  job_leave_target (job);
  job->phase = MF_JOB_WAITING;
  job->waiting_since_us = 0;
  if (end != MF_LINK_UNREACHED)
    job->n_prefills++;
  if (end == MF_LINK_UNREACHED)
    job_unreached (job, target, why);
  else if (end == MF_LINK_WHOLE && answer->status == 200 && !answer->not_run
           && job->jobs->dialect->read_prefill (mf_buffer_data (&answer->body),
                                                mf_buffer_bytes (&answer->body), &job->memory))
    job_prefilled (job, target);
  else if (end == MF_LINK_WHOLE && answer->not_run)
    job_declined (job, target);
  else
    {
      mf_target_failed (target, false, mf_clock_now_us ());
      mf_lines_add (job->jobs->lines, "request.broken",
                    "id=%s upstream=%s stage=prefill status=%u why=\"%s\"", job->id,
                    target->info.id, answer->status, why);
      mf_job_avoid (job, target->id_hash);
      mf_job_repeat_or_end (job, &(MfJobDenied){
                                     .code = MF_CODE_RETRY_BUDGET,
                                     .why = "the prompt was not read",
                                 });
    }
  mf_target_unref (target);
}

static const MfLinkUser prefill_user = {
  .head = on_answer_head,
  .body = on_answer_body,
  .end = on_prefill_end,
};
