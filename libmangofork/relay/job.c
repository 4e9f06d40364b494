#include "job_row.h"

#include "refuse.h"

#include "libmangofork/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

/* Maximum number of concurrent requests. At 60 KB each, the largest size at the known sites, they
 * take half of the smallest instance's memory. */
#define JOBS_MAX 700
/* Limit of buffered answers where the process does not know how much memory it has. */
#define ANSWERS_BYTES_MAX (64 * 1024 * 1024)
/* The caller of a stream disconnects after a pause of two seconds, four latency objectives or eight
 * gap objectives, whichever is longest (platform documentation of its clients). */
#define ABANDON_MIN_US (2 * MF_US_PER_S)
#define ABANDON_OBJECTIVES 4
#define ABANDON_GAPS 8
/* A refusal is sent this long before the caller would disconnect, so that it still arrives and the
 * caller can retry. */
#define ABANDON_MARGIN_US (300 * MF_US_PER_MS)
/* The deadline of a caller's first try is at least this percentage of the route's timeout. A
 * shorter one means that the caller has already spent time at another instance and that the latency
 * objective is missed. */
#define FIRST_TRY_PERCENT 84
/* Interval at which the dispatcher runs while requests wait, in addition to running whenever a slot
 * becomes free. */
#define DISPATCH_INTERVAL_S 0.02
/* Minimum share of the expected answer time that must be left to start an answer: half of the
 * answers are shorter than expected, few of them by more than this. */
#define ANSWER_TIME_MIN_SHARE 0.5
/* Time left of a request without a deadline, for the retry time when its key is not known. */
#define LEFT_DEFAULT_MS 3000
/* Weight of one answer in the moving averages; answer lengths vary by half. */
#define ANSWER_WEIGHT 0.05
/* Weight of one sample in the moving average of the time to the first event, which changes with the
 * load within seconds. */
#define FIRST_EVENT_WEIGHT 0.1

/* Returns a uniform random number; not for secrets. */
uint32_t
mf_jobs_random (MfJobs *jobs)
{
  jobs->random_state ^= jobs->random_state << 13;
  jobs->random_state ^= jobs->random_state >> 7;
  jobs->random_state ^= jobs->random_state << 17;
  return (uint32_t)(jobs->random_state >> 32);
}

/* Records the time from a slot's grant to the first event of the stream. */
void
mf_jobs_note_first_event (MfJobs *jobs, uint64_t took_us)
{
  if (jobs->mean_first_event_us <= 0.)
    jobs->mean_first_event_us = (double)took_us;
  jobs->mean_first_event_us += FIRST_EVENT_WEIGHT * ((double)took_us - jobs->mean_first_event_us);
}

/* Records the length and duration of an engine's answer. */
void
mf_jobs_note_answer (MfJobs *jobs, uint64_t tokens, uint64_t took_us)
{
  double token_us;

  if (tokens == 0)
    return;
  token_us = (double)took_us / (double)tokens;
  if (jobs->mean_answer_tokens <= 0.)
    {
      jobs->mean_answer_tokens = (double)tokens;
      jobs->mean_token_us = token_us;
    }
  jobs->mean_answer_tokens += ANSWER_WEIGHT * ((double)tokens - jobs->mean_answer_tokens);
  jobs->mean_token_us += ANSWER_WEIGHT * (token_us - jobs->mean_token_us);
}

void
mf_job_answer_clear (MfJobAnswer *answer)
{
  mf_buffer_clear (&answer->headers);
  mf_buffer_clear (&answer->body);
  *answer = (MfJobAnswer){ 0 };
}

/* Whether all buffers of the process together exceed their limit. */
bool
mf_jobs_are_over_memory (const MfJobs *jobs)
{
  return jobs->buffers_bytes_max > 0 && mf_buffers_bytes () > jobs->buffers_bytes_max;
}

/* Whether the request may be executed more than once. */
bool
mf_job_may_retry (const MfJob *job)
{
  return job->route->kind == MF_ROUTE_IDEMPOTENT
         || (job->route->kind == MF_ROUTE_STREAMING && job->route->resumable);
}

/* Whether an upstream may be executing the request; a prefill executes nothing. */
bool
mf_job_is_at_upstream (const MfJob *job)
{
  return job->stalled.link != NULL
         || (job->link != NULL && job->phase != MF_JOB_PREFILL && mf_link_has_sent (job->link));
}

static void
job_free (MfJob *job)
{
  MfJobs *jobs = job->jobs;

  mf_job_cancel_query (job);
  ev_timer_stop (jobs->loop, &job->timer);
  mf_job_drop_rate (job);
  if (job->link != NULL && mf_link_has_sent (job->link))
    mf_job_note_failure (job, job->target, false);
  mf_job_end_trial (job);
  mf_job_drop_stalled (job);
  mf_job_cancel (job);
  mf_job_reserve (job, NULL);
  mf_job_release_kv (job);
  if (job->prev != NULL)
    job->prev->next = job->next;
  else
    jobs->first = job->next;
  if (job->next != NULL)
    job->next->prev = job->prev;
  jobs->n_jobs--;
  jobs->n_ended++;
  mf_job_answer_clear (&job->answer);
  mf_job_answer_clear (&job->fallback_answer);
  mf_event_stream_clear (&job->events);
  mf_routes_unref (job->customer_routes);
  mf_routes_unref (job->routes);
  free (job);
}

/* Returns the kind of a route for the log. */
static const char *
route_kind_name (const MfRoute *route)
{
  switch (route->kind)
    {
    case MF_ROUTE_IDEMPOTENT:
      return "idempotent";
    case MF_ROUTE_NON_IDEMPOTENT:
      return "non-idempotent";
    case MF_ROUTE_STREAMING:
      return route->resumable ? "resumable" : "streaming";
    }
  return "unknown";
}

/* Returns what the end of a request counts as for its customer. */
static MfCustomerCount
customer_outcome (MfCode code, uint32_t status)
{
  if (code == MF_CODE_OK)
    return MF_CUSTOMER_ANSWERED;
  if (code == MF_CODE_DEPARTED)
    return MF_CUSTOMER_DEPARTED;
  return status == 503 || status == 401 || status == 429 ? MF_CUSTOMER_REFUSED : MF_CUSTOMER_FAILED;
}

/* Counts and logs the end of a request. */
static void
job_record_end (MfJob *job, MfCode code, uint32_t status, const char *why)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();
  uint64_t took_us = now_us - job->started_us;
  char customer[160] = "";

  mf_job_note_outcome (job, code == MF_CODE_OK);
  if (code != MF_CODE_OK
      && (job->phase == MF_JOB_PREFILL || (job->kv_target != NULL && !job->kv_used)))
    jobs->counters.counts[code == MF_CODE_DEPARTED ? MF_RELAY_COUNT_UNUSED_DEPARTED
                                                   : MF_RELAY_COUNT_UNUSED_ENDED]
        += job->prompt_tokens;
  jobs->counters.by_code[mf_code_index (code)]++;
  mf_jobs_count_customer (jobs, job->customer, customer_outcome (code, status));
  if (job->customer != NULL)
    snprintf (customer, sizeof customer, " customer=\"%s\"", job->customer->name);
  if (job->phase == MF_JOB_WAITING && job->waiting_since_us > 0)
    job->waited_us += now_us - job->waiting_since_us;
  jobs->counters.counts[MF_RELAY_COUNT_WAITED] += job->waited_us > 0;
  if (job->waited_us > 0)
    mf_relay_histogram_observe (&jobs->counters.waited, job->waited_us);
  if (code == MF_CODE_OK && job->first_event_us > 0)
    mf_relay_histogram_observe (&jobs->counters.first_event, job->first_event_us - job->started_us);
  else if (code == MF_CODE_OK)
    mf_relay_histogram_observe (&jobs->counters.answer, took_us);
  mf_relay_log_event (
      jobs->log, "request.end",
      "id=%s digest=%016llx route=%s kind=%s on_connection=%u service=%s code=%d status=%u "
      "why=\"%s\" took_ms=%.1f first_event_ms=%.1f waited_ms=%.1f sends=%u runs=%u prefills=%u "
      "events=%llu last_upstream=%s left_ms=%lld stop_ms=%lld config=%llu%s",
      job->id, (unsigned long long)job->digest, job->route->name, route_kind_name (job->route),
      job->on_connection, job->service->name, (int)code, status, why, (double)took_us / 1e3,
      job->first_event_us > 0 ? (double)(job->first_event_us - job->started_us) / 1e3 : 0.,
      (double)job->waited_us / 1e3, job->n_arrivals, job->n_runs, job->n_prefills,
      (unsigned long long)job->events.n_events,
      job->last_upstream[0] != '\0' ? job->last_upstream : "none",
      ((long long)job->deadline_us - (long long)now_us) / 1000,
      jobs->shutdown.started_us > 0 ? (long long)(now_us - jobs->shutdown.started_us) / 1000 : -1LL,
      (unsigned long long)job->routes->version, customer);
}

static void
headers_add_retry_after (MfBuffer *headers, uint64_t retry_after_us)
{
  char line[48];

  snprintf (line, sizeof line, "Retry-After: %.3f\r\n", (double)retry_after_us / 1e6);
  mf_buffer_add_text (headers, line);
}

/* How a request ends. */
typedef struct
{
  MfCode code;
  uint32_t status;           /* of the response */
  const MfJobAnswer *answer; /* of an upstream, complete; NULL: none, or one that was streamed */
  bool is_refusal;           /* no upstream has executed the request, nor will one */
  bool may_retry;            /* the refusal names a time at which to return */
  const char *why;
} MfJobEnd;

/* Sends a response generated by the relay. Returns as mf_caller_reply does. */
static bool
job_reply_error (const MfJob *job, MfCaller *caller, const MfJobEnd *end)
{
  const MfCodeInfo *info = mf_code_info (end->code);
  uint64_t now_us = mf_clock_now_us ();
  MfBuffer headers = { 0 };
  char body[160];
  bool is_sent;

  mf_buffer_add_text (&headers, "Content-Type: application/json\r\n");
  if (job->quota_retry_us > 0)
    headers_add_retry_after (&headers, job->quota_retry_us);
  else if (end->may_retry && job->deadline_us > now_us)
    headers_add_retry_after (
        &headers, mf_refuse_retry_after_us (&(MfRefusal){
                      .code = end->code,
                      .left_us = job->deadline_us - now_us,
                      .objective_us = job->route->target_latency_us,
                      .available_us = job->pause_end_us > now_us ? job->pause_end_us - now_us : 0,
                      .jitter = mf_jobs_random (job->jobs),
                  }));
  snprintf (body, sizeof body, "{\"code\": %d, \"name\": \"%s\", \"message\": \"%s\"}\n",
            (int)end->code, info->name, info->summary);
  is_sent = mf_caller_reply (caller, end->status, &headers, body, strlen (body));
  mf_buffer_clear (&headers);
  return is_sent;
}

/* Responds to the caller of a request, which is detached from it: completes the response that has
 * begun or cuts it off, or sends a whole one. Returns false if the caller has a head already and
 * its connection was closed in place of a second one. */
static bool
job_respond (MfJob *job, const MfJobEnd *end, bool is_cut_off)
{
  MfCaller *caller = job->caller;

  job->caller = NULL;
  if (caller == NULL)
    return true;
  if (is_cut_off)
    mf_caller_abort (caller);
  else if (job->head_sent)
    mf_caller_end (caller);
  else if (end->answer != NULL)
    return mf_caller_reply (caller, end->status, &end->answer->headers,
                            mf_buffer_data (&end->answer->body),
                            mf_buffer_bytes (&end->answer->body));
  else
    return job_reply_error (job, caller, end);
  return true;
}

/* Ends a request and frees it. All responses to requests are sent here, except the head and the
 * events of a stream: once the head has been sent, only the end of that stream can follow it,
 * whatever has been decided. */
static void
job_end (MfJob *job, const MfJobEnd *end)
{
  MfRelayCounters *counters = &job->jobs->counters;
  bool is_cut_off = job->head_sent && (end->code != MF_CODE_OK || end->answer != NULL);

  if (end->code == MF_CODE_OK && !is_cut_off)
    counters->counts[MF_RELAY_COUNT_ANSWERED]++;
  else if (end->is_refusal && !is_cut_off)
    counters->counts[MF_RELAY_COUNT_REFUSED]++;
  else
    counters->counts[MF_RELAY_COUNT_FAILED]++;
  counters->counts[MF_RELAY_COUNT_CUT_OFF] += is_cut_off && job->caller != NULL;
  job_record_end (job, end->code, is_cut_off ? 0 : end->status, end->why);
  if (!job_respond (job, end, is_cut_off))
    {
      counters->counts[MF_RELAY_COUNT_SECOND_HEADS]++;
      mf_relay_log_state (job->jobs->log, "internal.second_head", "id=%s code=%d status=%u",
                          job->id, (int)end->code, end->status);
    }
  job_free (job);
}

/* Sends an upstream's complete answer to the caller and frees the request. */
void
mf_job_reply (MfJob *job, const MfJobAnswer *answer)
{
  job_end (job, &(MfJobEnd){
                    .code = MF_CODE_OK,
                    .status = answer->status,
                    .answer = answer,
                    .why = "answered",
                });
}

/* Returns the status of a refusal: 503, unless it is for the customer of the caller's key. */
static uint32_t
refusal_status (MfCode code)
{
  return code == MF_CODE_NO_CUSTOMER || code == MF_CODE_CUSTOMER_LIMIT
             ? mf_code_info (code)->http_status
             : 503;
}

/* Refuses a request that has not been executed and will not be, so that the caller may safely retry
 * it. While an upstream that was silent may be executing it, the request goes on there. */
void
mf_job_refuse (MfJob *job, MfCode code, const char *why)
{
  if (mf_job_keep_stalled (job, code, why))
    return;
  if (job->head_sent || (job->n_runs > 0 && !mf_job_may_retry (job)))
    {
      mf_job_finish (job, code, why);
      return;
    }
  if (job->fallback_answer.status != 0 && code != MF_CODE_NO_CUSTOMER)
    {
      mf_job_reply (job, &job->fallback_answer);
      return;
    }
  mf_job_return_quota (job);
  job->jobs->counters.counts[MF_RELAY_COUNT_NO_VERSION] += code == MF_CODE_NO_VERSION;
  job_end (job, &(MfJobEnd){
                    .code = code,
                    .status = refusal_status (code),
                    .is_refusal = true,
                    /* A stream that cannot go on now cannot later: its caller begins anew. */
                    .may_retry = code != MF_CODE_NO_VERSION && code != MF_CODE_NO_CUSTOMER,
                    .why = why,
                });
}

/* Ends a request that may have been executed and has no complete answer. It goes on while an
 * upstream that was silent may be executing it, except after its deadline. */
void
mf_job_finish (MfJob *job, MfCode code, const char *why)
{
  uint32_t status = mf_code_info (code)->http_status;

  if (mf_job_keep_stalled (job, code, why))
    return;
  if (code != MF_CODE_OK && !job->head_sent && job->fallback_answer.status != 0)
    {
      mf_job_reply (job, &job->fallback_answer);
      return;
    }
  /* Status 503 promises that the request has not been executed. */
  if (status == 503)
    status = 502;
  job_end (job, &(MfJobEnd){ .code = code, .status = status, .why = why });
}

/* Ends a request that is about to be sent although an exchange of it goes on, which would be a
 * second run beside one that is not cancelled. Returns false if there is no such exchange, which is
 * so unless this program has an error. */
bool
mf_job_end_busy (MfJob *job)
{
  if (job->link == NULL)
    return false;
  job->jobs->counters.counts[MF_RELAY_COUNT_SECOND_SENDS]++;
  mf_relay_log_state (job->jobs->log, "internal.second_send", "id=%s phase=%d upstream=%s", job->id,
                      (int)job->phase, job->target != NULL ? job->target->info.id : "none");
  mf_job_finish (job, MF_CODE_INTERNAL, "the request was to be sent while an upstream had it");
  return true;
}

/* Arms the timer for the earliest timeout. */
void
mf_job_set_timer (MfJob *job)
{
  uint64_t now_us = mf_clock_now_us ();
  uint64_t due_us = job->deadline_us;

  if (job->step_deadline_us > 0 && job->step_deadline_us < due_us)
    due_us = job->step_deadline_us;
  if (job->phase == MF_JOB_WAITING && job->give_up_us < due_us)
    due_us = job->give_up_us;
  ev_timer_stop (job->jobs->loop, &job->timer);
  ev_timer_set (&job->timer, due_us > now_us ? (double)(due_us - now_us) / 1e6 : 0., 0.);
  ev_timer_start (job->jobs->loop, &job->timer);
}

/* Time after which a stream without events is refused: shortly before its caller would
 * disconnect. */
static uint64_t
abandon_timeout_us (const MfRoute *route)
{
  uint64_t abandon_us = ABANDON_MIN_US;

  if (route->target_latency_us * ABANDON_OBJECTIVES > abandon_us)
    abandon_us = route->target_latency_us * ABANDON_OBJECTIVES;
  if (route->target_gap_us * ABANDON_GAPS > abandon_us)
    abandon_us = route->target_gap_us * ABANDON_GAPS;
  return abandon_us - ABANDON_MARGIN_US;
}

/* Whether the caller would soon disconnect because it has got no part of the answer. Callers of
 * answers that come as a whole wait until their deadline. */
static bool
job_is_about_to_be_abandoned (const MfJob *job, uint64_t now_us)
{
  return job->route->kind == MF_ROUTE_STREAMING && !job->head_sent
         && now_us >= job->started_us + abandon_timeout_us (job->route);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  MfJob *job = watcher->data;
  uint64_t now_us = mf_clock_now_us ();

  (void)loop;
  (void)events;
  if (now_us >= job->deadline_us)
    {
      if (job->n_runs == 0 && (job->phase == MF_JOB_WAITING || job->phase == MF_JOB_PREFILL))
        mf_job_refuse (job, MF_CODE_QUEUE_FULL,
                       "deadline exceeded before the request was executed");
      else
        mf_job_finish (job, MF_CODE_DEADLINE, "deadline exceeded");
      return;
    }
  if (job->phase == MF_JOB_WAITING && now_us >= job->give_up_us)
    {
      if (job_is_about_to_be_abandoned (job, now_us))
        mf_job_drop_stalled (job);
      mf_job_refuse (job, MF_CODE_QUEUE_FULL, "no engine slot became free in time");
      return;
    }
  if (job->step_deadline_us > 0 && now_us >= job->step_deadline_us)
    {
      job->step_deadline_us = 0;
      mf_job_step_expired (job);
      return;
    }
  mf_job_set_timer (job);
}

/* Of a stream that is taken up, only the rest is expected. */
static void
job_subtract_received (MfJob *job, const MfHead *head)
{
  uint64_t last_event = 0;
  uint64_t received;

  if (!job->is_resumed || !mf_head_number (head, MF_HEADER_LAST_EVENT_ID, &last_event))
    return;
  received = last_event < UINT32_MAX ? last_event * job->service->event_tokens : UINT64_MAX;
  job->expected_tokens = job->expected_tokens > received ? job->expected_tokens - received : 0;
}

/* Parses a header of the form "prompt,output" with token counts. */
static void
job_read_token_counts (MfJob *job, const MfHead *head)
{
  char text[48];
  char *comma;
  uint64_t hint_tokens = 0;

  if (!mf_head_copy (head, MF_HEADER_TOKEN_COUNT, text, sizeof text))
    return;
  job->prompt_tokens = strtoull (text, &comma, 10);
  if (*comma == ',')
    job->output_tokens = strtoull (comma + 1, NULL, 10);
  mf_head_number (head, MF_HEADER_LENGTH_HINT, &hint_tokens);
  job->expected_tokens = mf_load_answer_tokens (
      hint_tokens, (uint64_t)job->jobs->mean_answer_tokens, job->output_tokens);
  job->kv_tokens = mf_load_kv_tokens (job->prompt_tokens, hint_tokens,
                                      (uint64_t)job->jobs->mean_answer_tokens, job->output_tokens);
  job_subtract_received (job, head);
}

static void
job_read_parts (MfJob *job, const MfHead *head)
{
  size_t text_bytes = 0;
  const char *text = mf_head_value (head, MF_HEADER_PROMPT_PARTS, &text_bytes);

  if (text != NULL)
    mf_parts_read (&job->parts, text, text_bytes);
}

/* Reads which stream the caller takes up, if any, and after which event. */
static void
job_read_resumed_stream (MfJob *job, const MfHead *head)
{
  size_t id_bytes = 0;
  const char *id = mf_head_value (head, MF_HEADER_LAST_EVENT_ID, &id_bytes);

  job->is_resumed
      = job->route->kind == MF_ROUTE_STREAMING && mf_head_count (head, MF_HEADER_LAST_EVENT_ID) > 0;
  if (job->is_resumed
      && !mf_head_copy (head, MF_HEADER_STREAM_BEGUN_AS, job->begun_as, sizeof job->begun_as))
    job->begun_as[0] = '\0';
  job->events.has_last_id
      = job->is_resumed && mf_event_id_read (id, id_bytes, &job->events.last_id);
}

/* Minimum time reserved for a complete answer; 0 before the first sample. */
uint64_t
mf_job_answer_min_us (const MfJob *job)
{
  return (uint64_t)((double)job->expected_tokens * job->jobs->mean_token_us
                    * ANSWER_TIME_MIN_SHARE);
}

/* Restarts the time after which the request is given up, as a part of the stream has been
 * delivered. */
void
mf_job_reset_give_up (MfJob *job)
{
  uint64_t until_us = mf_clock_now_us () + abandon_timeout_us (job->route);

  job->give_up_us = until_us < job->deadline_us ? until_us : job->deadline_us;
}

static void
job_read_deadline (MfJob *job, const MfHead *head)
{
  const MfRoute *route = job->route;
  uint64_t left_ms = 0;
  uint64_t abandon_us = abandon_timeout_us (route);

  job->deadline_us = job->started_us + route->timeout_us;
  job->first_try_us = job->started_us;
  if (mf_head_number (head, MF_HEADER_DEADLINE, &left_ms)
      && left_ms * MF_US_PER_MS < route->timeout_us)
    job->deadline_us = job->started_us + left_ms * MF_US_PER_MS;
  if (left_ms > 0 && left_ms * MF_US_PER_MS < route->timeout_us * FIRST_TRY_PERCENT / 100)
    job->first_try_us -= route->timeout_us * FIRST_TRY_PERCENT / 100 - left_ms * MF_US_PER_MS;
  job->give_up_us = job->deadline_us;
  if (route->kind == MF_ROUTE_STREAMING && job->started_us + abandon_us < job->deadline_us)
    job->give_up_us = job->started_us + abandon_us;
  if (job->is_engine && job->started_us + mf_job_answer_min_us (job) < job->deadline_us)
    {
      uint64_t latest_us = job->deadline_us - mf_job_answer_min_us (job);

      job->give_up_us = latest_us < job->give_up_us ? latest_us : job->give_up_us;
    }
  else if (job->is_engine)
    job->give_up_us = job->started_us;
}

static MfJob *
job_new (MfJobs *jobs, MfCaller *caller, const MfRoute *route, uint32_t service,
         const MfKeyDigest *key)
{
  const MfHead *head = mf_caller_head (caller);
  MfJob *job = calloc (1, sizeof *job);

  if (job == NULL)
    return NULL;
  job->jobs = jobs;
  job->caller = caller;
  job->routes = mf_routes_ref (jobs->routes);
  job->route = route;
  job->key = *key;
  job->service = &jobs->routes->services[service];
  job->is_engine = job->service->is_engine;
  job->is_head_request = strcmp (mf_caller_method (caller), "HEAD") == 0;
  job->started_us = mf_caller_started_us (caller);
  job->next = jobs->first;
  if (jobs->first != NULL)
    jobs->first->prev = job;
  jobs->first = job;
  jobs->n_jobs++;
  ev_init (&job->timer, on_timer);
  job->timer.data = job;
  if (!mf_head_copy (head, MF_HEADER_REQUEST_ID, job->id, sizeof job->id))
    job->id[0] = '\0';
  job->content = mf_job_content (caller, route);
  job->digest = mf_job_digest (caller);
  job->events.name = job->digest;
  job->events.numbering = &mf_jobs_service (jobs, job->service->name)->numbering;
  job->caller_hash = mf_caller_address_hash (caller);
  job->try_id = ++jobs->n_started;
  job->on_connection = mf_caller_n_requests (caller);
  job_read_resumed_stream (job, head);
  job_read_parts (job, head);
  job_read_token_counts (job, head);
  job_read_deadline (job, head);
  mf_job_find_customer (job);
  mf_jobs_count_customer (jobs, job->customer, MF_CUSTOMER_REQUESTS);
  mf_caller_set_job (caller, job);
  return job;
}

/* Answers a request for which no job exists. */
static void
caller_reply_code (MfJobs *jobs, MfCaller *caller, MfCode code, bool may_retry)
{
  const MfCodeInfo *info = mf_code_info (code);
  const MfHead *head = mf_caller_head (caller);
  MfBuffer headers = { 0 };
  char id[MF_JOB_ID_BYTES] = "";
  uint64_t left_ms = 0;
  uint64_t retry_us = 0;

  mf_head_copy (head, MF_HEADER_REQUEST_ID, id, sizeof id);
  if (!mf_head_number (head, MF_HEADER_DEADLINE, &left_ms) && code == MF_CODE_CONFIG_STALE)
    left_ms = LEFT_DEFAULT_MS;
  jobs->counters.by_code[mf_code_index (code)]++;
  jobs->counters.counts[MF_RELAY_COUNT_REFUSED]++;
  if (may_retry)
    {
      retry_us = mf_refuse_retry_after_us (&(MfRefusal){
          .code = code,
          .left_us = left_ms * MF_US_PER_MS,
          .uptime_us = mf_clock_now_us () - jobs->started_us,
          .jitter = mf_jobs_random (jobs),
      });
      headers_add_retry_after (&headers, retry_us);
    }
  mf_relay_log_event (
      jobs->log, "request.refused",
      "id=%s code=%d status=%u why=\"%s\" config=%llu requests=%u retry_after_ms=%llu", id,
      (int)code, info->http_status, info->summary,
      (unsigned long long)(jobs->routes != NULL ? jobs->routes->version : 0), jobs->n_jobs,
      (unsigned long long)(retry_us / 1000));
  mf_caller_reply (caller, info->http_status, &headers, info->summary, strlen (info->summary));
  mf_buffer_clear (&headers);
}

static void
on_request (void *data, MfCaller *caller)
{
  MfJobs *jobs = data;
  const MfHead *head = mf_caller_head (caller);
  const MfRoute *route;
  size_t host_bytes = 0;
  const char *host = mf_head_value (head, MF_HEADER_HOST, &host_bytes);
  const char *target = mf_head_text (head, 0);
  size_t path_bytes = head->target_bytes;
  const char *query = memchr (target, '?', path_bytes);
  MfKeyDigest key;
  MfCode code;
  uint32_t service;
  MfJob *job;

  jobs->counters.counts[MF_RELAY_COUNT_REQUESTS]++;
  if (jobs->routes == NULL)
    {
      caller_reply_code (jobs, caller, MF_CODE_NO_CONFIG, true);
      return;
    }
  if (query != NULL)
    path_bytes = (size_t)(query - target);
  route = mf_routes_find (jobs->routes, host == NULL ? "" : host, host_bytes, target, path_bytes);
  if (route == NULL)
    {
      bool may_be_added = mf_jobs_config_may_be_stale (jobs);

      caller_reply_code (jobs, caller, may_be_added ? MF_CODE_CONFIG_STALE : MF_CODE_NO_SERVICE,
                         may_be_added);
      return;
    }
  code = mf_jobs_check_key (jobs, caller, route, &key);
  if (code != MF_CODE_OK)
    {
      jobs->counters.counts[MF_RELAY_COUNT_KEYS_REFUSED] += code == MF_CODE_NO_CUSTOMER;
      caller_reply_code (jobs, caller, code, code == MF_CODE_CONFIG_STALE);
      return;
    }
  service = mf_route_choose (route, mf_jobs_random (jobs));
  if (service == MF_NONE)
    {
      caller_reply_code (jobs, caller, MF_CODE_NO_UPSTREAM, true);
      return;
    }
  if (jobs->n_jobs >= jobs->jobs_max || mf_jobs_are_over_memory (jobs))
    {
      caller_reply_code (jobs, caller, MF_CODE_OVER_LIMIT, true);
      return;
    }
  job = job_new (jobs, caller, route, service, &key);
  if (job == NULL)
    {
      caller_reply_code (jobs, caller, MF_CODE_NO_MEMORY, true);
      return;
    }
  mf_budget_note_request (&mf_jobs_service (jobs, job->service->name)->budget, mf_clock_now_us ());
  if (mf_job_end_unfinishable (job, false))
    return;
  if (job->is_engine && job->give_up_us <= job->started_us)
    {
      mf_job_refuse (job, MF_CODE_QUEUE_FULL, "not enough time left for a complete answer");
      return;
    }
  if (job->is_resumed)
    {
      if (!mf_job_find_origin (job))
        return;
    }
  else
    mf_job_name_stream (job);
  mf_job_advance (job);
}

/* The caller has disconnected. A non-idempotent request that an upstream is executing is left to
 * finish, as aborting it halfway gains nothing; everything else is cancelled. */
static void
on_departed (void *data, MfCaller *caller)
{
  MfJobs *jobs = data;
  MfJob *job = mf_caller_job (caller);

  if (job == NULL)
    return;
  jobs->counters.counts[MF_RELAY_COUNT_DEPARTED]++;
  job->caller = NULL;
  if (job->route->kind == MF_ROUTE_NON_IDEMPOTENT && mf_job_is_at_upstream (job)
      && mf_link_copy_body (job->link))
    return;
  mf_job_return_quota (job);
  job_record_end (job, MF_CODE_DEPARTED, 0, "caller disconnected");
  job_free (job);
}

static void
on_writable (void *data, MfCaller *caller, bool can_write)
{
  MfJob *job = mf_caller_job (caller);

  (void)data;
  if (job != NULL && job->stalled.link != NULL)
    mf_link_pause_reading (job->stalled.link, !can_write);
  if (job == NULL || job->link == NULL)
    return;
  mf_link_pause_reading (job->link, !can_write);
  /* The stream may pause because its caller reads slowly, so the upstream does not time out until
   * its next event. */
  if (!mf_job_has_successor (job))
    job->step_deadline_us = 0;
}

static void
on_refused (void *data, MfCode code)
{
  MfJobs *jobs = data;

  jobs->counters.counts[MF_RELAY_COUNT_UNREADABLE]++;
  jobs->counters.by_code[mf_code_index (code)]++;
  mf_relay_log_event (jobs->log, "request.unreadable", "code=%d why=\"%s\"", (int)code,
                      mf_code_info (code)->summary);
}

const MfListenerCallbacks mf_job_listener_callbacks = {
  .request = on_request,
  .departed = on_departed,
  .writable = on_writable,
  .refused = on_refused,
};

/* Schedules a load report after this instance's load of the engines has changed. */
void
mf_jobs_load_changed (MfJobs *jobs)
{
  if (jobs->peers != NULL)
    mf_peers_schedule_report (jobs->peers);
}

/* Recomputes the load that other instances put on the engines, if it has changed. */
void
mf_jobs_refresh_remote_load (MfJobs *jobs, uint64_t now_us)
{
  if (!jobs->remote_load_stale)
    return;
  mf_load_reset_remote (&jobs->targets);
  if (jobs->peers != NULL)
    mf_peers_foreach_entry (jobs->peers, now_us, mf_load_add_remote, &jobs->targets);
  mf_dispatch_add_pending (jobs->dispatch, now_us);
  jobs->remote_load_stale = false;
}

/* Grants free slots to waiting requests, including those of other instances. */
void
mf_jobs_run_dispatch (MfJobs *jobs)
{
  uint64_t now_us = mf_clock_now_us ();
  uint32_t n_waiting;

  if (mf_dispatch_n_waiting (jobs->dispatch) == 0)
    return;
  mf_jobs_refresh_remote_load (jobs, now_us);
  n_waiting = mf_dispatch_run (jobs->dispatch, now_us);
  if (n_waiting > 0 && !ev_is_active (&jobs->dispatch_timer))
    ev_timer_again (jobs->loop, &jobs->dispatch_timer);
  else if (n_waiting == 0)
    ev_timer_stop (jobs->loop, &jobs->dispatch_timer);
}

/* Runs mf_jobs_run_dispatch in the next iteration of the loop. */
void
mf_jobs_schedule_dispatch (MfJobs *jobs)
{
  ev_timer_stop (jobs->loop, &jobs->dispatch_now_timer);
  ev_timer_set (&jobs->dispatch_now_timer, 0., 0.);
  ev_timer_start (jobs->loop, &jobs->dispatch_now_timer);
}

static void
on_quarantine_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  mf_jobs_end_quarantined (watcher->data);
}

static void
on_dispatch_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  mf_jobs_run_dispatch (watcher->data);
}

/* Initialises an instance without configuration, upstreams and peers. */
void
mf_jobs_init (MfJobs *jobs, struct ev_loop *loop, const MfDialect *dialect, MfRelayLog *log)
{
  jobs->loop = loop;
  jobs->started_us = mf_clock_now_us ();
  jobs->dialect = dialect;
  jobs->log = log;
  jobs->jobs_max = JOBS_MAX;
  jobs->answer_bytes_max = ANSWERS_BYTES_MAX;
  jobs->spillover_us_per_kb = MF_SPILLOVER_US_PER_KB_DEFAULT;
  jobs->targets.loop = loop;
  jobs->targets.callbacks = &mf_job_targets_callbacks;
  jobs->targets.user_data = jobs;
  jobs->targets.dialect = dialect;
  if (getrandom (&jobs->random_state, sizeof jobs->random_state, 0) != sizeof jobs->random_state)
    jobs->random_state = mf_clock_now_us ();
  jobs->random_state |= 1;
  ev_init (&jobs->dispatch_timer, on_dispatch_timer);
  jobs->dispatch_timer.repeat = DISPATCH_INTERVAL_S;
  jobs->dispatch_timer.data = jobs;
  ev_init (&jobs->dispatch_now_timer, on_dispatch_timer);
  jobs->dispatch_now_timer.data = jobs;
  ev_init (&jobs->quarantine_timer, on_quarantine_timer);
  jobs->quarantine_timer.data = jobs;
  jobs->rates = mf_rate_shares_new ();
  jobs->origins = mf_origins_new ();
  jobs->held_parts = mf_held_parts_new (&jobs->targets, &mf_jobs_held_callbacks, jobs);
  mf_version_log_init (&jobs->targets.versions);
  if (jobs->rates == NULL || jobs->origins == NULL || jobs->held_parts == NULL
      || !mf_jobs_init_suspects (jobs) || !mf_jobs_init_quotas (jobs))
    abort ();
  jobs->dispatch = mf_dispatch_new (&jobs->targets, &mf_job_dispatch_callbacks, jobs);
}

/* Drops all requests without an answer and frees everything. */
void
mf_jobs_clear (MfJobs *jobs)
{
  ev_timer_stop (jobs->loop, &jobs->dispatch_timer);
  ev_timer_stop (jobs->loop, &jobs->dispatch_now_timer);
  ev_timer_stop (jobs->loop, &jobs->quarantine_timer);
  while (jobs->first != NULL)
    job_free (jobs->first);
  mf_jobs_cancel_orders (jobs);
  mf_held_parts_free (jobs->held_parts);
  mf_dispatch_free (jobs->dispatch);
  mf_targets_clear (&jobs->targets);
  mf_suspects_free (jobs->suspects);
  mf_origins_free (jobs->origins);
  mf_rate_shares_free (jobs->rates);
  mf_spillover_free (jobs->spillover);
  mf_jobs_clear_quotas (jobs);
  mf_routes_unref (jobs->routes);
  jobs->routes = NULL;
}

/* Applies a configuration and takes ownership of the reference. */
void
mf_jobs_configure (MfJobs *jobs, MfRoutes *routes)
{
  uint64_t stream_timeout_us = mf_routes_stream_timeout_us (routes);

  jobs->configured_us = mf_clock_boottime_us ();
  mf_routes_note_changes (routes, jobs->routes, mf_clock_now_us ());
  if (stream_timeout_us > jobs->stream_timeout_us)
    jobs->stream_timeout_us = stream_timeout_us;
  mf_routes_unref (jobs->routes);
  jobs->routes = routes;
  for (MfJob *job = jobs->first; job != NULL; job = job->next)
    mf_job_find_customer (job);
}
