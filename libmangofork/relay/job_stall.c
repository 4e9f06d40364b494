#include "job_row.h"

#include "libmangofork/clock.h"

/* An upstream is not taken for silent before this time. */
#define STALL_MIN_US (100 * MF_US_PER_MS)

/* A run that is sent while another one is silent takes its place after this time, if its upstream
 * has not accepted or declined it before. Two upstreams may work at a request for 400 ms. */
#define SUCCESSOR_MAX_US (200 * MF_US_PER_MS)

/* Ends the accounting of the stalled run. */
static void
stalled_release (MfJob *job)
{
  MfStalledRun *stalled = &job->stalled;

  mf_target_end_request (stalled->target, stalled->target_tokens);
  stalled->target->n_suspects -= stalled->was_suspect;
  mf_target_unref (stalled->target);
  mf_job_answer_clear (&stalled->answer);
  *stalled = (MfStalledRun){ 0 };
  if (job->is_engine)
    mf_jobs_load_changed (job->jobs);
}

/* Whether the request has been sent to another upstream while the stalled run goes on. */
bool
mf_job_has_successor (const MfJob *job)
{
  return job->stalled.link != NULL && job->link != NULL && job->phase != MF_JOB_PREFILL;
}

/* Accounts for an exchange with another upstream that is cancelled: it may have been executed, and
 * have crashed that upstream, or has not arrived. */
static void
job_note_cancelled (MfJob *job)
{
  bool is_run = job->phase != MF_JOB_PREFILL;

  if (!mf_link_has_sent (job->link))
    {
      mf_job_return_send (job, job->target);
      return;
    }
  mf_job_note_failure (job, job->target, false);
  job->n_arrivals += is_run;
  job->n_runs += is_run;
}

/* Cancels what was begun to send the request to another upstream. */
static void
job_cancel_search (MfJob *job)
{
  if (job->link != NULL)
    job_note_cancelled (job);
  mf_job_cancel_query (job);
  mf_job_drop_rate (job);
  mf_job_cancel (job);
  mf_job_reserve (job, NULL);
  if (job->n_prefills > job->stalled.n_prefills)
    mf_job_release_kv (job);
  mf_job_answer_clear (&job->answer);
  if (job->waiting_since_us > 0)
    job->waited_us += mf_clock_now_us () - job->waiting_since_us;
  job->waiting_since_us = 0;
}

/* Continues with the stalled run; why is the cause, for the log. */
static void
job_keep_run (MfJob *job, const char *why)
{
  MfStalledRun stalled = job->stalled;
  uint64_t now_us = mf_clock_now_us ();

  mf_relay_log_event (job->jobs->log, "request.kept",
                      "id=%s upstream=%s why=\"%s\" searched_ms=%.1f events=%llu awaiting=%s",
                      job->id, stalled.target->info.id, why,
                      (double)(now_us - stalled.since_us) / 1e3,
                      (unsigned long long)job->events.n_events, mf_job_query_name (job));
  job->jobs->counters.counts[MF_RELAY_COUNT_KEPT]++;
  job_cancel_search (job);
  job->stalled = (MfStalledRun){ 0 };
  job->link = stalled.link;
  job->target = stalled.target;
  job->target_tokens = stalled.target_tokens;
  mf_name_set (job->last_upstream, sizeof job->last_upstream, stalled.target->info.id);
  job->phase = stalled.phase;
  job->answer = stalled.answer;
  job->sent_us = stalled.sent_us;
  job->n_events_before = stalled.n_events_before;
  job->answer_began = stalled.answer_began;
  job->was_suspect = stalled.was_suspect;
  job->is_retry = stalled.is_retry;
  job->n_arrivals--;
  job->n_runs--;
  mf_job_withdraw_failure (job);
  job->step_deadline_us = now_us + mf_job_stall_us (job);
  mf_job_set_timer (job);
}

/* The stalled run has delivered something. */
static void
job_resume_run (MfJob *job)
{
  job_keep_run (job, "upstream goes on");
  mf_link_set_callbacks (job->link, &mf_job_run_callbacks);
  mf_job_note_upstream_alive (job);
}

/* Cancels the stalled run, if any. */
void
mf_job_drop_stalled (MfJob *job)
{
  if (job->stalled.link == NULL)
    return;
  mf_link_cancel (job->stalled.link);
  stalled_release (job);
}

/* Logs that an exchange with a silent upstream ends; since_us is when it was found silent. */
static void
log_moved (const MfJob *job, const MfTarget *from, uint64_t sent_us, uint64_t since_us)
{
  uint64_t now_us = mf_clock_now_us ();

  mf_relay_log_event (
      job->jobs->log, "request.moved",
      "id=%s from=%s why=\"answer timed out\" waited_ms=%.1f searched_ms=%.1f in_flight=%u",
      job->id, from->info.id, (double)(now_us - sent_us) / 1e3, (double)(now_us - since_us) / 1e3,
      from->n_active);
}

/* Cancels the stalled run, if any, as another upstream has the request. */
void
mf_job_move (MfJob *job)
{
  if (job->stalled.link == NULL)
    return;
  log_moved (job, job->stalled.target, job->stalled.sent_us, job->stalled.since_us);
  mf_job_drop_stalled (job);
}

/* The same for a run that has begun an answer which is buffered. It is slow and not silent: more
 * bytes would not show that the answer will be complete. */
void
mf_job_move_if_slow (MfJob *job)
{
  if (job->stalled.link != NULL && !job->stalled.has_stream && job->stalled.answer.status != 0)
    mf_job_move (job);
}

/* The successor of a stalled run is now the only one. */
static void
successor_begin (MfJob *job)
{
  mf_event_stream_begin_run (&job->events, job->target->id_hash);
  mf_job_set_send_deadline (job);
  mf_job_set_timer (job);
}

/* The run that was sent while another one was silent takes its place. */
void
mf_job_take_over (MfJob *job)
{
  mf_job_move (job);
  successor_begin (job);
}

/* The request has been sent to another upstream: the stalled run ends when that one has accepted
 * it, or soon. */
void
mf_job_await_successor (MfJob *job)
{
  job->step_deadline_us = mf_clock_now_us () + SUCCESSOR_MAX_US;
}

/* The other upstream has neither accepted nor declined the request in time. */
void
mf_job_successor_expired (MfJob *job)
{
  if (mf_link_has_sent (job->link))
    {
      mf_job_take_over (job);
      return;
    }
  mf_job_await_successor (job);
  mf_job_set_timer (job);
}

static void
on_stalled_head (void *data, const MfHead *head, uint32_t status)
{
  MfJob *job = data;

  if (mf_job_has_successor (job) && (status < 200 || status >= 300))
    {
      mf_job_take_over (job);
      return;
    }
  job_resume_run (job);
  mf_job_run_callbacks.head (job, head, status);
}

static void
on_stalled_body (void *data, const char *bytes, size_t n_bytes)
{
  MfJob *job = data;
  MfBuffer complete = { 0 };

  mf_target_record_alive (job->stalled.target, mf_clock_now_us ());
  if (!job->stalled.has_stream)
    {
      job_resume_run (job);
      mf_job_run_callbacks.body (job, bytes, n_bytes);
      return;
    }
  mf_event_stream_feed (&job->events, bytes, n_bytes, &complete);
  /* Bytes that complete no event do not count as progress. */
  if (mf_buffer_bytes (&complete) == 0 && !complete.failed && job->events.defect == NULL)
    return;
  if (mf_buffer_bytes (&complete) == 0 && mf_job_has_successor (job))
    {
      mf_buffer_clear (&complete);
      mf_job_take_over (job);
      return;
    }
  job_resume_run (job);
  mf_job_pass_on (job, &complete);
}

static void
on_stalled_end (void *data, MfLinkEnd end, const char *why)
{
  MfJob *job = data;
  MfTarget *target = job->stalled.target;
  bool has_successor = mf_job_has_successor (job);
  bool is_defective = has_successor && mf_job_stream_defect (job, end) != NULL;

  if ((end == MF_LINK_COMPLETE || end == MF_LINK_CLOSED) && !is_defective)
    {
      job_keep_run (job, "upstream goes on");
      mf_job_run_callbacks.end (job, end, why);
      return;
    }
  mf_target_probe (target);
  stalled_release (job);
  if (has_successor)
    successor_begin (job);
}

static const MfLinkCallbacks stalled_callbacks = {
  .head = on_stalled_head,
  .body = on_stalled_body,
  .end = on_stalled_end,
};

/* Returns after which silence of the upstream the request is sent to another one. A route may name
 * no objective. */
uint64_t
mf_job_stall_us (const MfJob *job)
{
  const MfRoute *route = job->route;
  uint64_t stall_us = job->phase == MF_JOB_STREAMING && route->target_gap_us > 0
                          ? route->target_gap_us * MF_JOB_STALL_GAPS
                          : route->target_latency_us;

  return stall_us > STALL_MIN_US ? stall_us : STALL_MIN_US;
}

/* Sets the current run aside until another one takes its place, which may not happen: then the run
 * goes on. */
void
mf_job_stall (MfJob *job)
{
  job->stalled = (MfStalledRun){
    .link = job->link,
    .target = job->target,
    .target_tokens = job->target_tokens,
    .phase = job->phase,
    .answer = job->answer,
    .since_us = mf_clock_now_us (),
    .sent_us = job->sent_us,
    .n_events_before = job->n_events_before,
    .n_prefills = job->n_prefills,
    .has_stream = mf_job_has_stream (job),
    .answer_began = job->answer_began,
    .was_suspect = job->was_suspect,
    .is_retry = job->is_retry,
  };
  mf_link_set_callbacks (job->link, &stalled_callbacks);
  job->reread_counter = MF_RELAY_COUNT_REREAD_MOVED;
  job->kv_used |= job->answer.status != 0;
  job->link = NULL;
  job->target = NULL;
  job->answer = (MfJobAnswer){ 0 };
  job->phase = MF_JOB_WAITING;
  job->waiting_since_us = 0;
  /* It may have been executed. */
  job->n_arrivals++;
  job->n_runs++;
  mf_relay_log_event (
      job->jobs->log, "request.stalled", "id=%s upstream=%s waited_ms=%.1f events=%llu", job->id,
      job->stalled.target->info.id, (double)(job->stalled.since_us - job->stalled.sent_us) / 1e3,
      (unsigned long long)job->events.n_events);
}

/* Cancels the current exchange, which no upstream executes, as its upstream is silent. */
void
mf_job_move_at_once (MfJob *job)
{
  log_moved (job, job->target, job->sent_us, mf_clock_now_us ());
  job->reread_counter = MF_RELAY_COUNT_REREAD_MOVED;
  mf_job_cancel (job);
}

/* Continues with the stalled run, if any, in place of an end of the request that only concerns the
 * search for another upstream. Returns whether it does. */
bool
mf_job_keep_stalled (MfJob *job, MfCode code, const char *why)
{
  if (job->stalled.link == NULL || job->caller == NULL || code == MF_CODE_DEADLINE)
    return false;
  mf_link_set_callbacks (job->stalled.link, &mf_job_run_callbacks);
  job_keep_run (job, why);
  return true;
}
