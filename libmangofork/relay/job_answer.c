#include "job_row.h"

#include "libmangofork/clock.h"

#include <string.h>
#include <strings.h>

/* Another upstream answers at the address, so the intended one is gone. Discovery reports that
 * within this time. */
#define MISDIRECTED_AVOID_US (3 * MF_US_PER_S)
/* Limit of an answer that is buffered before it is sent to the caller. */
#define ANSWER_BYTES_MAX (4 * 1024 * 1024)
/* The same for an answer to a prefill, which contains only the KV handle. */
#define PREFILL_BYTES_MAX (64 * 1024)
/* Answers smaller than this are not checked against the limit for all buffered answers
 * (MfJobs.answer_bytes_max) unless all buffers together exceed theirs. */
#define ANSWER_BYTES_SMALL (64 * 1024)
/* Giving up an answer smaller than this would free nothing worth mentioning. */
#define ANSWER_BYTES_TINY 8192
/* Failed connection attempts cost only time; after more than this many the request is refused. */
#define CONNECT_FAILURES_MAX 5
/* An upstream that is still there after this many events has survived the beginning of its answer.
 */
#define BEGUN_EVENTS 2

/* Stores the headers that are forwarded to the caller. */
static void
answer_set_head (MfJobAnswer *answer, const MfHead *head, uint32_t status)
{
  size_t n_bytes = 0;

  answer->status = status;
  answer->sealed = mf_head_count (head, MF_HEADER_RESPONSE_SEAL) > 0;
  answer->not_run = mf_head_count (head, MF_HEADER_NOT_RUN) > 0 || status == 421;
  answer->encoded = mf_head_value (head, MF_HEADER_CONTENT_ENCODING, &n_bytes) != NULL;
  for (uint32_t i = 0; i < head->n_fields; i++)
    {
      const MfHeadField *field = &head->fields[i];

      if (field->header == MF_HEADER_CONNECTION || field->header == MF_HEADER_KEEP_ALIVE
          || field->header == MF_HEADER_HOP_BY_HOP || field->header == MF_HEADER_CONTENT_LENGTH
          || mf_head_is_hop_by_hop (head, field))
        continue;
      mf_buffer_add (&answer->headers, mf_head_text (head, field->name_at), field->name_bytes);
      mf_buffer_add (&answer->headers, ": ", 2);
      mf_buffer_add (&answer->headers, mf_head_text (head, field->value_at), field->value_bytes);
      mf_buffer_add (&answer->headers, "\r\n", 2);
    }
}

/* Whether the answer is a success and unmodified by an intermediary. */
static bool
answer_is_good (const MfJobAnswer *answer)
{
  return answer->status >= 200 && answer->status < 300 && answer->sealed && !answer->encoded
         && !answer->not_run && !answer->is_no_stream;
}

/* Whether the answer is a stream that is passed on while it comes. */
bool
mf_job_has_stream (const MfJob *job)
{
  return job->phase == MF_JOB_STREAMING && answer_is_good (&job->answer);
}

/* Whether the body is said to be something else than events. */
static bool
head_is_no_stream (const MfHead *head)
{
  static const char type[] = "text/event-stream";
  size_t n_bytes = 0;
  const char *value = mf_head_value (head, MF_HEADER_CONTENT_TYPE, &n_bytes);

  return value != NULL
         && (n_bytes < strlen (type) || strncasecmp (value, type, strlen (type)) != 0);
}

/* Returns why a complete success is not passed on. */
static const char *
answer_defect (const MfJobAnswer *answer)
{
  if (answer->is_no_stream)
    return "answer to the rest of a stream is no stream";
  return answer->encoded ? "answer has a content encoding" : "answer has no seal header";
}

static void
on_answer_head (void *data, const MfHead *head, uint32_t status)
{
  MfJob *job = data;

  mf_target_record_alive (job->target, mf_clock_now_us ());
  if (status != 421)
    mf_job_note_upstream_alive (job);
  mf_job_answer_clear (&job->answer);
  answer_set_head (&job->answer, head, status);
  job->answer.is_no_stream = job->head_sent && head_is_no_stream (head);
}

static void
on_run_head (void *data, const MfHead *head, uint32_t status)
{
  MfJob *job = data;

  on_answer_head (data, head, status);
  if (job->route->kind != MF_ROUTE_STREAMING || !answer_is_good (&job->answer))
    return;
  if (mf_job_has_successor (job))
    mf_job_take_over (job);
  job->phase = MF_JOB_STREAMING;
  if (job->head_sent)
    return;
  job->head_sent = true;
  mf_caller_begin (job->caller, status, &job->answer.headers);
}

/* Aborts an exchange and closes its connection, as the rest of the answer is of no use. */
static void
job_abort_exchange (MfJob *job, const char *why)
{
  const MfLinkCallbacks *callbacks
      = job->phase == MF_JOB_PREFILL ? &mf_job_prefill_callbacks : &mf_job_run_callbacks;

  mf_link_cancel (job->link);
  callbacks->end (job, MF_LINK_BROKEN, why);
}

/* Memory of what has been received of the request's answer and not been passed on. */
static size_t
job_answer_bytes (const MfJob *job)
{
  return job->answer.headers.capacity + job->answer.body.capacity + job->events.partial.capacity;
}

/* Returns the request with the largest answer being received. */
static MfJob *
jobs_find_largest_answer (const MfJobs *jobs)
{
  MfJob *largest = NULL;

  for (MfJob *job = jobs->first; job != NULL; job = job->next)
    {
      if (job->link != NULL
          && (largest == NULL || job_answer_bytes (job) > job_answer_bytes (largest)))
        largest = job;
    }
  return largest;
}

/* Whether all buffered answers together exceed their limit. */
static bool
jobs_answers_are_over_memory (const MfJobs *jobs)
{
  uint64_t total_bytes = 0;

  for (const MfJob *job = jobs->first; job != NULL; job = job->next)
    total_bytes += job_answer_bytes (job) + job->fallback_answer.body.capacity;
  return total_bytes > jobs->answer_bytes_max;
}

/* Gives up the largest answer being received if the answers, or all buffers, exceed their limit.
 * job, whose answer has grown, may have been freed on return. */
static void
job_check_memory (const MfJob *job)
{
  const MfJobs *jobs = job->jobs;
  MfJob *largest;

  if (!mf_jobs_are_over_memory (jobs)
      && (job_answer_bytes (job) < ANSWER_BYTES_SMALL || !jobs_answers_are_over_memory (jobs)))
    return;
  largest = jobs_find_largest_answer (jobs);
  if (largest != NULL && job_answer_bytes (largest) >= ANSWER_BYTES_TINY)
    job_abort_exchange (largest, "answers exceed the memory limit");
}

static void
on_answer_body (void *data, const char *bytes, size_t n_bytes)
{
  MfJob *job = data;
  MfBuffer *body = &job->answer.body;
  size_t limit_bytes = job->phase == MF_JOB_PREFILL ? PREFILL_BYTES_MAX : ANSWER_BYTES_MAX;

  if (mf_buffer_bytes (body) + n_bytes > limit_bytes)
    {
      job_abort_exchange (job, "answer exceeds the size limit for buffering");
      return;
    }
  mf_buffer_add (body, bytes, n_bytes);
  job_check_memory (job);
}

/* Accounts for an answer that has become longer than expected. */
static void
job_add_tokens (MfJob *job)
{
  uint64_t tokens = job->prompt_tokens + job->events.n_events * job->service->event_tokens;

  if (tokens <= job->target_tokens)
    return;
  mf_target_add_tokens (job->target, tokens - job->target_tokens);
  job->target_tokens = tokens;
}

/* Logs that a run has gone on with a stream after a gap, where no gap was expected. */
static void
job_log_gap (MfJob *job)
{
  MfEventGap gap = job->events.gap;

  if (gap.first == 0)
    return;
  job->events.gap = (MfEventGap){ 0 };
  mf_relay_log_event (job->jobs->log, "request.gap",
                      "id=%s upstream=%s after=%llu first=%llu step=%llu confirmed=%s", job->id,
                      job->target->info.id, (unsigned long long)gap.after,
                      (unsigned long long)gap.first, (unsigned long long)gap.step,
                      gap.is_confirmed ? "yes" : "no");
}

/* Sends the events that a stream's bytes have completed to the caller, and clears them. The request
 * may have been freed on return. */
void
mf_job_pass_on (MfJob *job, MfBuffer *events)
{
  job_log_gap (job);
  /* Bytes that complete no event do not count as progress. */
  if (job->route->resumable && mf_buffer_bytes (events) > 0)
    job->step_deadline_us = mf_clock_now_us () + mf_job_stall_us (job);
  if (job->route->resumable && job->events.n_events > 0 && !job->origin_noted)
    mf_job_note_begun (job);
  if (events->failed)
    {
      mf_buffer_clear (events);
      mf_job_finish (job, MF_CODE_NO_MEMORY, "out of memory while passing on events");
      return;
    }
  mf_caller_write (job->caller, mf_buffer_data (events), mf_buffer_bytes (events));
  mf_buffer_clear (events);
  if (job->events.n_events >= job->n_events_before + BEGUN_EVENTS)
    mf_job_note_sound (job);
  job_add_tokens (job);
  if (job->events.defect != NULL)
    job_abort_exchange (job, job->events.defect);
  else
    job_check_memory (job);
}

static void
on_run_body (void *data, const char *bytes, size_t n_bytes)
{
  MfJob *job = data;
  uint64_t now_us = mf_clock_now_us ();
  MfBuffer complete = { 0 };

  if (!mf_job_has_stream (job))
    {
      on_answer_body (data, bytes, n_bytes);
      return;
    }
  mf_target_record_alive (job->target, now_us);
  if (job->first_event_us == 0)
    {
      job->first_event_us = now_us;
      if (job->granted_us > 0)
        mf_jobs_note_first_event (job->jobs, now_us - job->granted_us);
    }
  job->stream_bytes += n_bytes;
  mf_event_stream_feed (&job->events, bytes, n_bytes, &complete);
  mf_job_pass_on (job, &complete);
}

/* The upstream declined the request without executing it. */
static void
job_declined (MfJob *job, MfTarget *target)
{
  uint64_t now_us = mf_clock_now_us ();

  job->jobs->counters.counts[MF_RELAY_COUNT_NOT_RUN]++;
  if (job->answer.status == 421)
    {
      job->jobs->counters.counts[MF_RELAY_COUNT_MISDIRECTED]++;
      mf_target_mark_replaced (target, now_us + MISDIRECTED_AVOID_US);
      mf_jobs_load_changed (job->jobs);
    }
  else
    mf_target_record_decline (target, now_us);
  mf_relay_log_event (job->jobs->log, "request.declined",
                      "id=%s upstream=%s status=%u in_flight=%u tokens=%llu memory_age_ms=%.1f",
                      job->id, target->info.id, job->answer.status, target->n_active,
                      (unsigned long long)target->active_tokens,
                      job->kv_target != NULL ? (double)(now_us - job->prefilled_us) / 1e3 : 0.);
  if (job->caller == NULL)
    {
      mf_job_finish (job, MF_CODE_DEPARTED, "upstream declined and caller disconnected");
      return;
    }
  mf_job_avoid (job, target->id_hash);
  mf_job_retry_or_end (job, &(MfJobDenial){
                                .code = MF_CODE_RETRY_BUDGET,
                                .why = "upstream declined and retry budget exhausted",
                            });
}

/* The request may have been executed and has no complete answer. */
static void
job_failed (MfJob *job, MfTarget *target, const char *why)
{
  char parts[MF_PARTS_TEXT_BYTES];

  job->jobs->counters.counts[MF_RELAY_COUNT_BROKEN]++;
  mf_target_record_failure (target, false, mf_clock_now_us ());
  mf_relay_log_event (
      job->jobs->log, "request.broken",
      "id=%s digest=%016llx content=%016llx parts=%s upstream=%s why=\"%s\" events=%llu try=%u",
      job->id, (unsigned long long)job->digest, (unsigned long long)job->content,
      mf_parts_format (&job->parts, parts, sizeof parts), target->info.id, why,
      (unsigned long long)job->events.n_events, job->n_arrivals);
  if (job->caller == NULL)
    {
      mf_job_finish (job, MF_CODE_DEPARTED, why);
      return;
    }
  mf_job_avoid (job, target->id_hash);
  if (!mf_job_may_retry (job) || (job->head_sent && !job->events.has_last_id)
      || job->n_runs >= job->route->attempts_max)
    {
      mf_job_finish (job, MF_CODE_UPSTREAM_DIED, why);
      return;
    }
  if (job->head_sent)
    {
      job->jobs->counters.counts[MF_RELAY_COUNT_RESUMED]++;
      mf_job_reset_give_up (job);
    }
  mf_job_retry_after_failure (job, target,
                              &(MfJobDenial){
                                  .code = MF_CODE_UPSTREAM_DIED,
                                  .why = why,
                                  .may_have_run = true,
                              });
}

/* No connection could be made, so nothing was sent. */
static void
job_connect_failed (MfJob *job, MfTarget *target, const char *why)
{
  job->jobs->counters.counts[MF_RELAY_COUNT_UNREACHED]++;
  mf_job_return_send (job, target);
  mf_target_record_failure (target, true, mf_clock_now_us ());
  mf_relay_log_state (job->jobs->log, "upstream.unreached",
                      "upstream=%s address=%s id=%s why=\"%s\" failures=%u suspect_ms=%llu",
                      target->info.id, target->info.address, job->id, why, target->n_failures,
                      (unsigned long long)(target->suspect_until_us - mf_clock_now_us ()) / 1000);
  if (job->caller == NULL)
    {
      mf_job_finish (job, MF_CODE_DEPARTED, why);
      return;
    }
  mf_job_avoid (job, target->id_hash);
  if (++job->n_connect_failures > CONNECT_FAILURES_MAX)
    mf_job_refuse (job, MF_CODE_NO_UPSTREAM, why);
  else
    mf_job_advance (job);
}

/* An upstream has answered with an error where it was to go on with a stream. */
static void
job_failed_to_resume (MfJob *job, MfTarget *target)
{
  const MfJobDenial denial = {
    .code = MF_CODE_UPSTREAM_ERROR,
    .why = "upstream failed to resume the stream",
    .may_have_run = true,
  };

  if (job->answer.status < 500 || job->caller == NULL || !mf_job_may_retry (job)
      || job->n_runs >= job->route->attempts_max)
    {
      mf_job_finish (job, denial.code, denial.why);
      return;
    }
  mf_job_avoid (job, target->id_hash);
  mf_job_retry_or_end (job, &denial);
}

/* Keeps the error answer of an upstream. */
static void
job_set_fallback (MfJob *job)
{
  mf_job_answer_clear (&job->fallback_answer);
  job->fallback_answer = job->answer;
  job->answer = (MfJobAnswer){ 0 };
}

/* A complete answer has arrived. */
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
      mf_job_finish (job, MF_CODE_NO_MEMORY, "out of memory while buffering the answer");
      return;
    }
  if (answer_is_good (answer))
    {
      mf_target_record_answer (target, now_us - job->sent_us, now_us);
      mf_job_note_answer_bytes (job, target->info.role, mf_buffer_bytes (&answer->body));
      mf_job_move (job);
      mf_job_reply (job, answer);
      return;
    }
  if (answer->status < 300)
    {
      job_failed (job, target, answer_defect (answer));
      return;
    }
  if (answer->status >= 500)
    mf_target_record_failure (target, false, now_us);
  if (answer->status >= 500 && job->caller != NULL && !job->head_sent && mf_job_may_retry (job)
      && job->n_runs < job->route->attempts_max && mf_job_acquire_retry (job))
    {
      job_set_fallback (job);
      mf_job_avoid (job, target->id_hash);
      mf_job_advance (job);
      return;
    }
  if (job->head_sent)
    {
      job_failed_to_resume (job, target);
      return;
    }
  if (answer->status >= 500 && job->stalled.link != NULL)
    {
      job_set_fallback (job);
      mf_job_refuse (job, MF_CODE_UPSTREAM_ERROR, "another upstream failed");
      return;
    }
  mf_job_reply (job, answer);
}

/* Returns how long the upstream took to begin its stream. For one that was resumed there, which had
 * begun before, this is its average. */
static uint64_t
job_time_to_begin_us (const MfJob *job, const MfTarget *target)
{
  return job->first_event_us >= job->sent_us ? job->first_event_us - job->sent_us
                                             : (uint64_t)target->answer_us;
}

/* Returns why a stream that has ended is incomplete, or NULL. The end of its connection ends it
 * only after an event: a new stream has one at least. */
const char *
mf_job_stream_defect (const MfJob *job, MfLinkEnd end)
{
  if (!mf_event_stream_at_boundary (&job->events))
    return "stream ended inside an event";
  if (end == MF_LINK_CLOSED && job->events.n_events == 0 && !job->is_resumed)
    return "stream ended before its first event";
  return NULL;
}

/* Returns why the upstream has left its answer incomplete, or NULL; why is that of the link. */
static const char *
job_defect (const MfJob *job, MfLinkEnd end, const char *why)
{
  if (end == MF_LINK_BROKEN)
    return why;
  return mf_job_has_stream (job) ? mf_job_stream_defect (job, end) : NULL;
}

/* Sends the blank lines after the last event of a complete stream: the caller gets all bytes of the
 * upstream's answer. */
static void
job_pass_on_end (MfJob *job)
{
  const MfBuffer *end = &job->events.partial;

  if (job->caller != NULL && mf_buffer_bytes (end) > 0)
    mf_caller_write (job->caller, mf_buffer_data (end), mf_buffer_bytes (end));
}

/* A complete answer of the upstream itself shows that it has survived its beginning. One that ends
 * with the connection does not: the upstream may have crashed. */
static void
job_note_complete (MfJob *job, MfTarget *target, MfLinkEnd end)
{
  if (job->answer.not_run || !job->answer.sealed)
    return;
  if (end == MF_LINK_COMPLETE)
    mf_job_note_sound (job);
  else if (!job->answer_began && job->parts.n_parts > 0)
    mf_job_note_failure (job, target, false);
}

static void
on_run_end (void *data, MfLinkEnd end, const char *why)
{
  MfJob *job = data;
  MfTarget *target = mf_target_ref (job->target);
  MfJobs *jobs = job->jobs;
  const char *defect = job_defect (job, end, why);

  job->link = NULL;
  job->step_deadline_us = 0;
  mf_job_release_target (job);
  if (end != MF_LINK_UNREACHED)
    job->n_arrivals++;
  if (end == MF_LINK_COMPLETE || (end == MF_LINK_CLOSED && defect == NULL))
    job_note_complete (job, target, end);
  if (end == MF_LINK_UNREACHED)
    job_connect_failed (job, target, why);
  else if (defect != NULL)
    {
      job->n_runs++;
      job->kv_used = true;
      mf_job_note_failure (job, target, true);
      mf_target_probe (target);
      job_failed (job, target, defect);
    }
  else if (mf_job_has_stream (job))
    {
      job->n_runs++;
      job->kv_used = true;
      mf_target_record_answer (target, job_time_to_begin_us (job, target), mf_clock_now_us ());
      mf_jobs_note_answer (jobs, job->events.n_events * job->service->event_tokens,
                           mf_clock_now_us () - job->sent_us);
      mf_job_note_answer_bytes (job, target->info.role, job->stream_bytes);
      job_pass_on_end (job);
      mf_job_finish (job, MF_CODE_OK, "answered");
    }
  else
    {
      job->kv_used = !job->answer.not_run;
      job_answered (job, target);
    }
  mf_target_unref (target);
  mf_jobs_run_dispatch (jobs);
}

const MfLinkCallbacks mf_job_run_callbacks = {
  .head = on_run_head,
  .body = on_run_body,
  .end = on_run_end,
};

/* The prefill is complete: continues with the decode engine. */
static void
job_prefilled (MfJob *job, MfTarget *target)
{
  uint64_t now_us = mf_clock_now_us ();

  mf_target_record_prefill (target, job->prompt_tokens, now_us - job->sent_us, now_us);
  mf_job_note_answer_bytes (job, target->info.role, mf_buffer_bytes (&job->answer.body));
  job->kv_target = mf_target_ref (target);
  job->prefilled_us = now_us;
  job->kv_used = false;
  job->jobs->counters.counts[MF_RELAY_COUNT_PREFILLS]++;
  mf_job_advance (job);
}

static void
on_prefill_end (void *data, MfLinkEnd end, const char *why)
{
  char parts[MF_PARTS_TEXT_BYTES];
  MfJob *job = data;
  MfTarget *target = mf_target_ref (job->target);
  MfJobAnswer *answer = &job->answer;

  job->link = NULL;
  job->step_deadline_us = 0;
  mf_job_release_target (job);
  job->phase = MF_JOB_WAITING;
  job->waiting_since_us = 0;
  if (end != MF_LINK_UNREACHED)
    job->n_prefills++;
  if (end == MF_LINK_UNREACHED)
    job_connect_failed (job, target, why);
  else if (end != MF_LINK_BROKEN && answer->status == 200 && !answer->not_run
           && job->jobs->dialect->read_prefill (mf_buffer_data (&answer->body),
                                                mf_buffer_bytes (&answer->body), &job->kv))
    job_prefilled (job, target);
  else if (end != MF_LINK_BROKEN && answer->not_run)
    job_declined (job, target);
  else
    {
      mf_target_record_failure (target, false, mf_clock_now_us ());
      mf_relay_log_event (
          job->jobs->log, "request.broken",
          "id=%s digest=%016llx content=%016llx parts=%s upstream=%s stage=prefill status=%u "
          "why=\"%s\"",
          job->id, (unsigned long long)job->digest, (unsigned long long)job->content,
          mf_parts_format (&job->parts, parts, sizeof parts), target->info.id, answer->status, why);
      mf_job_avoid (job, target->id_hash);
      if (end == MF_LINK_BROKEN)
        {
          mf_job_note_failure (job, target, true);
          mf_target_probe (target);
        }
      mf_job_retry_after_failure (job, target,
                                  &(MfJobDenial){
                                      .code = MF_CODE_RETRY_BUDGET,
                                      .why = "prefill failed",
                                  });
    }
  mf_target_unref (target);
}

const MfLinkCallbacks mf_job_prefill_callbacks = {
  .head = on_answer_head,
  .body = on_answer_body,
  .end = on_prefill_end,
};
