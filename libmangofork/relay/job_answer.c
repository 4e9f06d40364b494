#include "job_row.h"

#include "libmangofork/clock.h"

/* A stream that may go on elsewhere does so after a pause of so many times the longest in order. */
#define SILENT_GAPS 3
/* An upstream that is another than was meant is gone; discovery tells within this time. */
#define MISDIRECTED_US (3 * MF_US_PER_S)
/* Bytes of an answer that is kept whole before it goes to the caller. */
#define ANSWER_BYTES_MAX (4 * 1024 * 1024)
/* The same of an answer to a prefill, which names the memory and no more. */
#define PREFILL_BYTES_MAX (64 * 1024)
/* Answers below this size are not counted towards what all requests together may keep: callers'
 * number bounds them. */
#define ANSWER_BYTES_SMALL (64 * 1024)
/* Connections that failed before anything left cost nothing but time; more are not tried. */
#define UNREACHED_MAX 5

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

  mf_target_record_alive (job->target, mf_clock_now_us ());
  if (status != 421)
    mf_job_note_alive (job);
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
  const MfLinkUser *user = job->phase == MF_JOB_PREFILL ? &mf_job_prefill_user : &mf_job_run_user;

  mf_link_cancel (job->link);
  user->end (job, MF_LINK_BROKEN, why);
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
  mf_target_add_tokens (job->target, tokens - job->target_tokens);
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
  mf_target_record_alive (job->target, now_us);
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
      mf_target_mark_replaced (target, now_us + MISDIRECTED_US);
      mf_jobs_load_changed (job->jobs);
    }
  else
    mf_target_record_decline (target, now_us);
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
  mf_target_record_failure (target, false, mf_clock_now_us ());
  mf_lines_add (job->jobs->lines, "request.broken",
                "id=%s digest=%016llx upstream=%s why=\"%s\" events=%llu", job->id,
                (unsigned long long)job->digest, target->info.id, why,
                (unsigned long long)job->events.n_events);
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
  mf_job_repeat_after_break (job, target,
                             &(MfJobDenied){
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
  mf_target_record_failure (target, true, mf_clock_now_us ());
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
      mf_target_record_answer (target, now_us - job->sent_us, now_us);
      mf_job_reply (job, answer);
      return;
    }
  if (answer->status < 300)
    {
      job_broke (job, target, answer->encoded ? "the answer is encoded" : "the answer has no seal");
      return;
    }
  if (answer->status >= 500)
    mf_target_record_failure (target, false, now_us);
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
  mf_job_leave_target (job);
  if (end != MF_LINK_UNREACHED)
    job->n_arrivals++;
  if (end == MF_LINK_UNREACHED)
    job_unreached (job, target, why);
  else if (end == MF_LINK_BROKEN)
    {
      job->n_runs++;
      job->memory_used = true;
      mf_job_note_break (job, target);
      mf_target_probe (target);
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
          mf_target_record_answer (target, job->first_event_us - job->sent_us, mf_clock_now_us ());
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

const MfLinkUser mf_job_run_user = {
  .head = on_run_head,
  .body = on_run_body,
  .end = on_run_end,
};

/* The prompt has been read: the request goes on to a decode engine at once. */
static void
job_prefilled (MfJob *job, MfTarget *target)
{
  uint64_t now_us = mf_clock_now_us ();

  mf_target_record_prefill (target, job->prompt_tokens, now_us - job->sent_us, now_us);
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
  mf_job_leave_target (job);
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
      mf_target_record_failure (target, false, mf_clock_now_us ());
      mf_lines_add (job->jobs->lines, "request.broken",
                    "id=%s digest=%016llx upstream=%s stage=prefill status=%u why=\"%s\"", job->id,
                    (unsigned long long)job->digest, target->info.id, answer->status, why);
      mf_job_avoid (job, target->id_hash);
      if (end == MF_LINK_BROKEN)
        {
          mf_job_note_break (job, target);
          mf_target_probe (target);
        }
      mf_job_repeat_after_break (job, target,
                                 &(MfJobDenied){
                                     .code = MF_CODE_RETRY_BUDGET,
                                     .why = "the prompt was not read",
                                 });
    }
  mf_target_unref (target);
}

const MfLinkUser mf_job_prefill_user = {
  .head = on_answer_head,
  .body = on_answer_body,
  .end = on_prefill_end,
};
