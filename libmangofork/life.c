#include "claim.h"
#include "cancel.h"
#include "health.h"
#include "policy.h"
#include "queue.h"
#include "retry.h"
#include "suspect_core.h"
#include "window.h"

/* A stream without a token for STALL_BASE_US plus STALL_TOKEN_GAPS times the service's target time
 * between tokens is considered broken. */
#define STALL_BASE_US (600 * MF_US_PER_MS)
#define STALL_TOKEN_GAPS 12
/* Time in which an engine must answer a resume; after that the request is retried from a new
 * prefill. */
#define RESUME_TIMEOUT_US (250 * MF_US_PER_MS)
/* A prefill times out after PREFILL_STALL_FACTOR times its predicted time to the first token, but
 * not before PREFILL_STALL_MIN_US. */
#define PREFILL_STALL_FACTOR 4
#define PREFILL_STALL_MIN_US (1500 * MF_US_PER_MS)
/* Interval of the checks for a free decode engine while a KV waits. */
#define TRANSFER_POLL_US (4 * MF_US_PER_MS)
/* Minimum duration of a KV import. A waiting KV with less time left to its expiry is discarded. */
#define IMPORT_MIN_US (10 * MF_US_PER_MS)
/* A link is considered stalled when no transfer of this instance on it has ended for
 * TRANSFER_TIMEOUT_MIN_US plus TRANSFER_TIMEOUT_FACTOR times the expected duration of the transfers
 * on it. The default rate applies until one has been observed. */
#define TRANSFER_TIMEOUT_MIN_US (150 * MF_US_PER_MS)
#define TRANSFER_TIMEOUT_FACTOR 2
#define LINK_RATE_DEFAULT_BYTES_PER_S 1e9
/* A suspect is cleared once it has delivered this many tokens more than when its upstream
 * failed. */
#define SUSPECT_CLEAR_TOKENS 8
/* Maximum number of times that a request claims its idempotency key again. */
#define CLAIMS_MAX 3
/* After a pause of this process, time to read the input that arrived meanwhile before an upstream
 * is considered stalled. */
#define PAUSE_GRACE_US (100 * MF_US_PER_MS)
/* An upstream that refused a call for lack of capacity gets no new one for this long, or until a
 * call of this instance there ends. */
#define UPSTREAM_FULL_US (40 * MF_US_PER_MS)
/* An idempotent plain call is hedged after HEDGE_ANSWER_FACTOR times the service's mean time to an
 * answer, but not before HEDGE_DELAY_MIN_US. */
#define HEDGE_DELAY_MIN_US (10 * MF_US_PER_MS)
#define HEDGE_ANSWER_FACTOR 3

/* One input to the state machine of one request. */
typedef struct
{
  MfCore *core;
  MfRequest *request;
  MfCall *call;         /* NULL unless the input comes from a call */
  const MfEvent *event; /* NULL for a timer and a claim */
  const MfClaimResult *claim;
} Step;

typedef void (*Handler) (const Step *step);

static uint64_t
now_us (const Step *step)
{
  return step->core->board.now_us;
}

static uint64_t
stall_us (const MfCore *core, const MfRequest *request)
{
  const MfServiceRow *service = mf_request_service (core, request);

  return STALL_BASE_US + STALL_TOKEN_GAPS * service->config.tbt_target_us;
}

/* Returns whether this process was paused after since_us. A duration that spans a pause is not
 * counted against an upstream: its event may have arrived during the pause and been read
 * afterwards. */
static bool
spans_pause (const MfCore *core, uint64_t since_us)
{
  return core->board.process_pause_end_us > since_us;
}

/* Extends the timeout of a request when this process has just resumed after a pause, because the
 * answer may still be waiting to be read. Returns whether it did. */
static bool
extend_after_pause (const Step *step)
{
  MfCore *core = step->core;

  if (core->board.process_pause_end_us == 0
      || now_us (step) >= core->board.process_pause_end_us + PAUSE_GRACE_US)
    return false;
  mf_request_check_at (core, step->request, now_us (step) + stall_us (core, step->request));
  return true;
}

static MfPoolRow *
decode_pool (MfCore *core, const MfRequest *request)
{
  return &core->board.services.pools[mf_request_service (core, request)->config.decode_pool];
}

static void
release_resources (MfCore *core, MfRequest *request)
{
  mf_call_abandon_all (core, request);
  mf_call_drop_prefill (core, request, false);
  mf_call_unreserve (core, request);
  mf_call_leave_window (core, request);
  mf_queue_remove_transfer (core, request);
  request->n_refused = 0;
}

/* Queues the request again for a retry that the policy has allowed. */
static void
retry_after (MfCore *core, MfRequest *request, uint64_t delay_us)
{
  request->n_retries++;
  request->not_before_us = core->board.now_us + delay_us;
  mf_counter_add (&core->board.counters, MF_COUNTER_RETRIES, 1);
  mf_request_trace (core, request, MF_TRACE_RETRIED, request->last_upstream, MF_NONE,
                    request->delivered);
  mf_request_set_phase (request, MF_PHASE_QUEUED);
  mf_queue_requeue (core, request);
}

/* Queues the request again for a retry. Refuses it if its deadline has passed, or with code if the
 * policy allows no further retry. */
static void
retry_or_refuse (MfCore *core, MfRequest *request, MfCode code)
{
  uint64_t delay_us;

  release_resources (core, request);
  if (core->board.now_us >= request->deadline_us)
    {
      mf_finish_refused (core, request, MF_CODE_DEADLINE, 0);
      return;
    }
  if (!mf_policy (core)->may_retry (core, request, &delay_us))
    {
      mf_finish_refused (core, request, code, mf_queue_retry_after_ms (core, request->service));
      return;
    }
  retry_after (core, request, delay_us);
}

/* Queues the request again after an upstream refused it for lack of capacity and ran none of it.
 * Under a policy with queues this does not count as a retry. */
static void
requeue (MfCore *core, MfRequest *request)
{
  if (!mf_policy (core)->queues)
    {
      retry_or_refuse (core, request, MF_CODE_QUEUE_FULL);
      return;
    }
  release_resources (core, request);
  request->not_before_us = 0;
  mf_request_set_phase (request, MF_PHASE_QUEUED);
  mf_queue_requeue (core, request);
}

/* The upstream has refused a call for lack of capacity. */
static void
note_upstream_full (MfCore *core, uint32_t upstream)
{
  core->board.upstreams[upstream].full_until_us = core->board.now_us + UPSTREAM_FULL_US;
}

/* Ends a call that got no complete answer. Returns true if the upstream certainly ran none of
 * it. */
static bool
end_failed (const Step *step)
{
  const MfCallEvent *event = &step->event->call;
  MfCall *call = step->call;
  MfRequest *request = step->request;
  uint32_t upstream = call->upstream;
  bool not_run;
  bool connection_broke;

  call->sent = call->sent || event->sent;
  not_run = !call->sent || event->refused || event->leaving;
  connection_broke = !not_run && !event->timed_out && step->event->type == MF_EVENT_CALL_FAILED;
  if (!not_run)
    {
      request->n_unknown++;
      if (call->kind == MF_CALL_PREFILL)
        request->wasted_tokens += call->prefill_tokens;
    }
  /* The engine still holds the stream that a resume was to continue, even if the resume was never
   * sent. */
  if (call->kind == MF_CALL_RESUME || (!not_run && call->kind != MF_CALL_PLAIN))
    mf_cancel_add (step->core, upstream, request->id, call->id, call->attempt);
  request->last_upstream = upstream;
  mf_call_end (step->core, call);
  mf_health_note_call (step->core, upstream, step->event);
  if (connection_broke)
    mf_suspect_call_failed (step->core, request, upstream);
  return not_run;
}

static void
departed (const Step *step)
{
  mf_counter_add (&step->core->board.counters, MF_COUNTER_DEPARTED, 1);
  mf_finish_departed (step->core, step->request);
}

static void
claiming_departed (const Step *step)
{
  mf_claim_cancel (step->core, step->request->id);
  departed (step);
}

/* A call with an idempotency key that may have reached its upstream continues, so that its outcome
 * is known when the caller sends the key again. */
static void
sent_departed (const Step *step)
{
  if (!step->request->claimed)
    {
      departed (step);
      return;
    }
  mf_counter_add (&step->core->board.counters, MF_COUNTER_DEPARTED, 1);
  step->request->departed = true;
}

static void
note_sent (const Step *step)
{
  step->call->sent = true;
}

static void claim_again (MfCore *core, MfRequest *request);

/* The call is about to be sent. If the grant of its key may have expired because this process was
 * paused, the call must not be sent: the key is claimed again. */
static void
connecting_sent (const Step *step)
{
  MfRequest *request = step->request;

  if (request->claimed && !mf_claim_may_send (step->core, request->id))
    {
      mf_call_abandon_all (step->core, request);
      claim_again (step->core, request);
      return;
    }
  step->call->sent = true;
  mf_request_set_phase (request, MF_PHASE_SENT);
}

static void
queued_timer (const Step *step)
{
  MfRequest *request = step->request;

  if (now_us (step) >= request->deadline_us)
    mf_finish_refused (step->core, request, MF_CODE_DEADLINE,
                       mf_queue_retry_after_ms (step->core, request->service));
  else
    mf_queue_schedule_pass (step->core);
}

/* Counts work that an earlier request with the same key did, or may have done, as this request's
 * own. */
static void
count_earlier_run (MfRequest *request, MfOutcome outcome)
{
  if (outcome == MF_OUTCOME_RAN)
    request->ran = true;
  else if (outcome == MF_OUTCOME_UNKNOWN)
    request->n_unknown++;
}

static void
claiming_timer (const Step *step)
{
  if (now_us (step) < step->request->deadline_us)
    return;
  mf_claim_cancel (step->core, step->request->id);
  count_earlier_run (step->request, MF_OUTCOME_UNKNOWN);
  mf_finish_refused (step->core, step->request, MF_CODE_KEY_NO_QUORUM, 1000);
}

static void
claim_settled (const Step *step)
{
  static const MfCode codes[] = {
    [MF_CLAIM_UNKNOWN] = MF_CODE_KEY_UNKNOWN,
    [MF_CLAIM_NO_QUORUM] = MF_CODE_KEY_NO_QUORUM,
    [MF_CLAIM_BODY_DIFFERS] = MF_CODE_KEY_BODY_DIFFERS,
    [MF_CLAIM_TOO_OLD] = MF_CODE_KEY_TOO_OLD,
  };
  MfRequest *request = step->request;

  mf_request_trace (step->core, request, MF_TRACE_CLAIMED, MF_NONE, MF_NONE,
                    (uint64_t)step->claim->decision);
  if (step->claim->decision == MF_CLAIM_GRANTED)
    {
      request->claimed = true;
      mf_request_set_phase (request, MF_PHASE_QUEUED);
      mf_queue_add (step->core, request);
    }
  else if (step->claim->decision == MF_CLAIM_ANSWERED && step->claim->status != 0)
    mf_finish_replayed (step->core, request, step->claim);
  else
    {
      MfCode code = step->claim->decision == MF_CLAIM_ANSWERED ? MF_CODE_KEY_UNKNOWN
                                                               : codes[step->claim->decision];

      count_earlier_run (request, step->claim->outcome);
      mf_finish_refused (step->core, request, code,
                         step->claim->decision == MF_CLAIM_NO_QUORUM ? 1000 : 0);
    }
}

/* Returns how long a transfer may take before its link is checked for a stall. */
static uint64_t
transfer_timeout_us (const MfCore *core, const MfRequest *request)
{
  const MfUpstream *row = &core->board.upstreams[request->prefill_upstream];
  double rate
      = row->link_bytes_per_s > 0 ? (double)row->link_bytes_per_s : LINK_RATE_DEFAULT_BYTES_PER_S;
  double bytes = (double)(row->transfer_bytes + request->kv_bytes);

  return TRANSFER_TIMEOUT_MIN_US
         + (uint64_t)(TRANSFER_TIMEOUT_FACTOR * bytes / rate * (double)MF_US_PER_S);
}

/* Sends the waiting KV to a decode engine if one has capacity. Returns false if the KV has to
 * wait. */
bool
mf_life_try_transfer (MfCore *core, MfRequest *request)
{
  uint32_t upstream = request->reserved;

  if (upstream == MF_NONE || !mf_upstream_is_usable (&core->board.upstreams[upstream]))
    {
      mf_call_unreserve (core, request);
      upstream = mf_policy (core)->place_decode (core, request);
    }
  if (upstream == MF_NONE)
    return false;
  mf_queue_remove_transfer (core, request);
  mf_call_start (core, request, MF_CALL_DECODE, upstream);
  mf_call_begin_transfer (core, request);
  mf_request_check_at (core, request, core->board.now_us + transfer_timeout_us (core, request));
  return true;
}

/* Sends the KV to a decode engine, or waits for one while the KV has not expired. A KV about to
 * expire is discarded and the request is retried. */
static void
transfer_or_wait (MfCore *core, MfRequest *request)
{
  if (!request->awaits_decode && mf_life_try_transfer (core, request))
    return;
  if (core->board.now_us + IMPORT_MIN_US >= request->kv_expires_us)
    {
      mf_window_note_kv_expired (decode_pool (core, request));
      retry_or_refuse (core, request, MF_CODE_QUEUE_FULL);
      return;
    }
  mf_queue_add_transfer (core, request);
  mf_request_check_at (core, request, core->board.now_us + TRANSFER_POLL_US);
}

static void
prefilled (const Step *step)
{
  MfRequest *request = step->request;
  MfCall *call = step->call;
  MfUpstream *row = &step->core->board.upstreams[call->upstream];

  call->sent = true;
  call->prefilled = true;
  call->holds_pieces = false;
  request->ran = true;
  request->prefill_call_id = call->id;
  request->prefill_upstream = call->upstream;
  request->prefill_attempt = call->attempt;
  request->prefill_pieces = call->pieces;
  request->kv_expires_us = step->event->call.expires_us;
  request->kv_bytes = step->event->call.kv_bytes;
  request->prefilled_us = now_us (step);
  request->prefill_tokens += call->prefill_tokens;
  row->own_prefill_tokens -= call->prefill_tokens;
  row->kv_life_us = request->kv_expires_us - now_us (step);
  mf_counter_add (&step->core->board.counters, MF_COUNTER_PREFILL_TOKENS, call->prefill_tokens);
  if (!spans_pause (step->core, call->started_us))
    mf_health_note_prefill (step->core, call->upstream, call->queued_tokens,
                            now_us (step) - call->started_us);
  mf_request_trace (step->core, request, MF_TRACE_PREFILLED, call->upstream, MF_NONE,
                    request->kv_bytes);
  mf_request_set_phase (request, MF_PHASE_TRANSFERRING);
  transfer_or_wait (step->core, request);
}

static void
prefill_failed (const Step *step)
{
  bool refused = step->event->call.refused;
  bool not_run = end_failed (step);

  if (refused)
    {
      note_upstream_full (step->core, step->request->last_upstream);
      requeue (step->core, step->request);
    }
  else
    retry_or_refuse (step->core, step->request,
                     not_run ? MF_CODE_NO_UPSTREAM : MF_CODE_UPSTREAM_DIED);
}

static void
refuse_deadline (const Step *step)
{
  mf_finish_refused (step->core, step->request, MF_CODE_DEADLINE, 0);
}

static void
prefilling_timer (const Step *step)
{
  if (now_us (step) >= step->request->deadline_us)
    {
      refuse_deadline (step);
      return;
    }
  if (extend_after_pause (step))
    return;
  step->request->last_upstream = step->request->calls->upstream;
  mf_health_note_stall (step->core, step->request->last_upstream);
  retry_or_refuse (step->core, step->request, MF_CODE_UPSTREAM_STALLED);
}

/* The decode engine has imported the KV: the copy at the prefill engine is released. */
static void
imported (const Step *step)
{
  MfRequest *request = step->request;

  step->call->sent = true;
  if (!spans_pause (step->core, step->call->started_us))
    mf_health_note_transfer (step->core, request->prefill_upstream, request->kv_bytes,
                             now_us (step) - step->call->started_us);
  mf_window_note_wait (decode_pool (step->core, request),
                       step->call->started_us - request->prefilled_us);
  mf_call_end_transit (step->core, request);
  mf_call_drop_prefill (step->core, request, true);
  mf_request_trace (step->core, request, MF_TRACE_IMPORTED, step->call->upstream, MF_NONE, 0);
  mf_request_set_phase (request, MF_PHASE_DECODING);
  mf_request_check_at (step->core, request, now_us (step) + stall_us (step->core, request));
}

/* Handles a broken stream. It is resumed at the same engine if possible; otherwise the request is
 * retried elsewhere with a new prefill of the prompt and the tokens already delivered. */
static void
recover_stream (const Step *step, MfCode code)
{
  MfCore *core = step->core;
  MfRequest *request = step->request;
  uint32_t upstream = step->call->upstream;
  bool usable = mf_upstream_is_usable (&core->board.upstreams[upstream]);
  bool timed_out = step->event->call.timed_out;

  mf_request_trace (core, request, MF_TRACE_CALL_FAILED, upstream, MF_NONE, request->delivered);
  if (mf_policy (core)->resumes && usable && !timed_out && request->phase == MF_PHASE_DECODING)
    {
      request->attempt = step->call->attempt;
      request->last_upstream = upstream;
      mf_call_end (core, step->call);
      mf_health_note_call (core, upstream, step->event);
      mf_suspect_call_failed (core, request, upstream);
      mf_request_set_phase (request, MF_PHASE_RESUMING);
      mf_call_start (core, request, MF_CALL_RESUME, upstream);
      mf_request_check_at (core, request, now_us (step) + RESUME_TIMEOUT_US);
      return;
    }
  end_failed (step);
  retry_or_refuse (core, request, code);
}

static void
note_tokens (MfCore *core, MfRequest *request, const MfCall *call, uint32_t n_tokens)
{
  uint64_t now = core->board.now_us;
  const MfServiceRow *service = mf_request_service (core, request);
  uint64_t gap_us;

  if (request->first_output_us == 0)
    {
      request->first_output_us = now;
      request->n_gaps += n_tokens - 1;
      mf_request_trace (core, request, MF_TRACE_FIRST_TOKEN, call->upstream, MF_NONE,
                        now - request->arrived_us);
    }
  else
    {
      gap_us = (now - request->last_output_us) / n_tokens;
      request->n_gaps += n_tokens;
      request->n_gaps_late += gap_us > service->config.tbt_target_us ? n_tokens : 0;
      if (call->started_us < request->last_output_us
          && !spans_pause (core, request->last_output_us))
        mf_health_note_gap (core, call->upstream, gap_us);
    }
  request->last_output_us = now;
}

/* Delivers tokens to the caller if they directly follow the delivered ones; repeated tokens are
 * ignored. If tokens are missing, the calls are ended and the request is retried or refused;
 * returns false in this case. */
static bool
deliver_tokens (const Step *step)
{
  const MfCallEvent *event = &step->event->call;
  MfRequest *request = step->request;
  MfAction action = {
    .type = MF_ACTION_ANSWER_TOKENS,
    .answer = { .request_id = request->id,
                .data = event->data,
                .data_bytes = event->data_bytes,
                .n_tokens = event->n_tokens },
  };

  if (event->n_tokens == 0 || event->first_index + event->n_tokens <= request->delivered)
    return true;
  if (event->first_index != request->delivered)
    {
      request->last_upstream = step->call->upstream;
      retry_or_refuse (step->core, request, MF_CODE_UPSTREAM_ERROR);
      return false;
    }
  request->delivered += event->n_tokens;
  request->ran = true;
  note_tokens (step->core, request, step->call, event->n_tokens);
  mf_counter_add (&step->core->board.counters, MF_COUNTER_TOKENS, event->n_tokens);
  mf_core_emit (step->core, &action);
  if (request->suspect && request->delivered >= request->suspected_at_token + SUSPECT_CLEAR_TOKENS)
    mf_suspect_clear (step->core, request);
  mf_request_check_at (step->core, request, now_us (step) + stall_us (step->core, request));
  return true;
}

static void
decoding_tokens (const Step *step)
{
  deliver_tokens (step);
}

static void
transferring_tokens (const Step *step)
{
  if (step->call->kind != MF_CALL_DECODE)
    return;
  imported (step);
  deliver_tokens (step);
}

static void
resuming_tokens (const Step *step)
{
  mf_counter_add (&step->core->board.counters, MF_COUNTER_RESUMES, 1);
  mf_request_trace (step->core, step->request, MF_TRACE_RESUMED, step->call->upstream, MF_NONE,
                    step->request->delivered);
  mf_request_set_phase (step->request, MF_PHASE_DECODING);
  deliver_tokens (step);
}

static bool
stream_is_complete (const Step *step)
{
  const MfCallEvent *event = &step->event->call;
  const MfRequest *request = step->request;

  if (event->refused || event->leaving || event->status >= 300)
    return false;
  return event->stopped || (request->max_tokens > 0 && request->delivered >= request->max_tokens);
}

static void
finish_stream (const Step *step)
{
  MfRequest *request = step->request;
  MfServiceRow *service = &step->core->board.services.rows[request->service];

  mf_service_note_output (service, request->delivered);
  if (request->suspect)
    mf_suspect_clear (step->core, request);
  mf_health_note_call (step->core, step->call->upstream, step->event);
  mf_call_end (step->core, step->call);
  mf_finish_answered (step->core, request, NULL);
}

static void
decoding_done (const Step *step)
{
  if (step->call->kind == MF_CALL_PREFILL)
    mf_call_end (step->core, step->call);
  else if (stream_is_complete (step))
    finish_stream (step);
  else
    recover_stream (step, MF_CODE_UPSTREAM_ERROR);
}

static void
decoding_failed (const Step *step)
{
  if (step->call->kind == MF_CALL_PREFILL)
    mf_call_end (step->core, step->call);
  else
    recover_stream (step, MF_CODE_UPSTREAM_DIED);
}

static void
resuming_done (const Step *step)
{
  if (stream_is_complete (step))
    finish_stream (step);
  else
    recover_stream (step, MF_CODE_UPSTREAM_ERROR);
}

/* A decode call has ended before the import of its KV. The KV is offered to another engine until it
 * expires, unless the engine may have begun to run the call. */
static void
transfer_refused (const Step *step)
{
  MfRequest *request = step->request;
  uint32_t upstream = step->call->upstream;
  bool failed = !step->event->call.refused && !step->event->call.leaving;
  bool not_run = end_failed (step);

  request->n_refused++;
  if (step->event->call.refused)
    note_upstream_full (step->core, upstream);
  if (!not_run || (failed && step->event->type == MF_EVENT_CALL_DONE))
    retry_or_refuse (step->core, request, MF_CODE_UPSTREAM_DIED);
  else
    transfer_or_wait (step->core, request);
}

static void
transferring_done (const Step *step)
{
  if (step->call->kind == MF_CALL_PREFILL)
    mf_call_end (step->core, step->call);
  else if (stream_is_complete (step))
    {
      imported (step);
      finish_stream (step);
    }
  else
    transfer_refused (step);
}

static void
transferring_failed (const Step *step)
{
  if (step->call->kind == MF_CALL_PREFILL)
    mf_call_end (step->core, step->call);
  else
    transfer_refused (step);
}

static const MfCall *
decode_call (const MfRequest *request)
{
  const MfCall *call = request->calls;

  while (call != NULL && call->kind == MF_CALL_PREFILL)
    call = call->next;
  return call;
}

static void
transferring_timer (const Step *step)
{
  MfRequest *request = step->request;
  const MfCall *call = decode_call (request);

  if (now_us (step) >= request->deadline_us)
    refuse_deadline (step);
  else if (call == NULL)
    transfer_or_wait (step->core, request);
  else if (!extend_after_pause (step))
    {
      const MfUpstream *row = &step->core->board.upstreams[request->prefill_upstream];
      uint64_t last_transfer_us = row->transfer_progress_us > call->started_us
                                      ? row->transfer_progress_us
                                      : call->started_us;
      uint64_t stalled_us = last_transfer_us + transfer_timeout_us (step->core, request);

      if (now_us (step) < stalled_us)
        {
          mf_request_check_at (step->core, request, stalled_us);
          return;
        }
      mf_health_note_transfer_stall (step->core, request->prefill_upstream);
      request->last_upstream = request->prefill_upstream;
      retry_or_refuse (step->core, request, MF_CODE_UPSTREAM_STALLED);
    }
}

static void
decoding_timer (const Step *step)
{
  MfRequest *request = step->request;
  const MfCall *call = decode_call (request);
  uint64_t delay_us;

  if (now_us (step) >= request->deadline_us)
    {
      refuse_deadline (step);
      return;
    }
  if (extend_after_pause (step))
    return;
  if (call == NULL)
    {
      retry_or_refuse (step->core, request, MF_CODE_UPSTREAM_STALLED);
      return;
    }
  request->last_upstream = call->upstream;
  mf_health_note_stall (step->core, call->upstream);
  /* Without a retry, the engine may still go on. */
  if (!mf_policy (step->core)->may_retry (step->core, request, &delay_us))
    {
      mf_request_check_at (step->core, request, now_us (step) + stall_us (step->core, request));
      return;
    }
  mf_request_trace (step->core, request, MF_TRACE_CALL_FAILED, request->last_upstream, MF_NONE,
                    request->delivered);
  release_resources (step->core, request);
  retry_after (step->core, request, delay_us);
}

static void
plain_done (const Step *step)
{
  MfRequest *request = step->request;
  const MfCallEvent *event = &step->event->call;
  MfServiceRow *service = &step->core->board.services.rows[request->service];
  bool not_run = event->refused || event->leaving;
  uint64_t answer_us = now_us (step) - step->call->started_us;
  uint64_t delay_us;

  if (not_run || (event->status >= 500 && request->idempotent))
    {
      if (not_run || mf_policy (step->core)->may_retry (step->core, request, &delay_us))
        {
          end_failed (step);
          if (request->calls == NULL && event->refused)
            requeue (step->core, request);
          else if (request->calls == NULL)
            retry_or_refuse (step->core, request, MF_CODE_NO_UPSTREAM);
          return;
        }
    }
  if (event->status < 500 && !spans_pause (step->core, step->call->started_us))
    {
      mf_health_note_answer (step->core, step->call->upstream, answer_us);
      mf_window_note_answer (&step->core->board.services.pools[service->config.plain_pool],
                             answer_us);
      service->answer_us += ((int64_t)answer_us - (int64_t)service->answer_us) / 16;
    }
  mf_health_note_call (step->core, step->call->upstream, step->event);
  if (request->suspect)
    mf_suspect_clear (step->core, request);
  request->first_output_us = now_us (step);
  mf_call_end (step->core, step->call);
  mf_finish_answered (step->core, request, step->event);
}

static void
plain_failed (const Step *step)
{
  MfRequest *request = step->request;
  bool timed_out = step->event->call.timed_out;
  bool not_run = end_failed (step);

  if (request->calls != NULL)
    return;
  if (not_run || request->idempotent)
    retry_or_refuse (step->core, request, not_run ? MF_CODE_NO_UPSTREAM : MF_CODE_UPSTREAM_DIED);
  else
    mf_finish_refused (step->core, request,
                       timed_out ? MF_CODE_UPSTREAM_STALLED : MF_CODE_UPSTREAM_DIED, 0);
}

static void
plain_timer (const Step *step)
{
  MfCore *core = step->core;
  MfRequest *request = step->request;
  uint32_t upstream;

  if (now_us (step) >= request->deadline_us)
    {
      refuse_deadline (step);
      return;
    }
  if (!mf_policy (core)->hedges || !request->idempotent || request->calls == NULL
      || request->calls->next != NULL)
    return;
  request->last_upstream = request->calls->upstream;
  upstream = mf_policy (core)->place_plain (core, request);
  if (upstream == MF_NONE || upstream == request->last_upstream
      || !mf_retry_may_hedge (core, request->service))
    return;
  mf_counter_add (&core->board.counters, MF_COUNTER_HEDGES, 1);
  mf_request_trace (core, request, MF_TRACE_HEDGED, upstream, request->last_upstream, 0);
  mf_call_start (core, request, MF_CALL_PLAIN, upstream)->hedge = true;
}

/* An event without a handler in this table arrived late or crossed another one: it is dropped and
 * counted. */
static const Handler handlers[MF_PHASE_COUNT][MF_INPUT_COUNT] = {
  [MF_PHASE_QUEUED] = {
    [MF_INPUT_DEPARTED] = departed,
    [MF_INPUT_TIMER] = queued_timer,
  },
  [MF_PHASE_CLAIMING] = {
    [MF_INPUT_DEPARTED] = claiming_departed,
    [MF_INPUT_CLAIM] = claim_settled,
    [MF_INPUT_TIMER] = claiming_timer,
  },
  [MF_PHASE_PREFILLING] = {
    [MF_INPUT_DEPARTED] = departed,
    [MF_INPUT_CALL_SENT] = note_sent,
    [MF_INPUT_PREFILLED] = prefilled,
    [MF_INPUT_DONE] = prefill_failed,
    [MF_INPUT_FAILED] = prefill_failed,
    [MF_INPUT_TIMER] = prefilling_timer,
  },
  [MF_PHASE_TRANSFERRING] = {
    [MF_INPUT_DEPARTED] = departed,
    [MF_INPUT_CALL_SENT] = note_sent,
    [MF_INPUT_IMPORTED] = imported,
    [MF_INPUT_TOKENS] = transferring_tokens,
    [MF_INPUT_DONE] = transferring_done,
    [MF_INPUT_FAILED] = transferring_failed,
    [MF_INPUT_TIMER] = transferring_timer,
  },
  [MF_PHASE_DECODING] = {
    [MF_INPUT_DEPARTED] = departed,
    [MF_INPUT_CALL_SENT] = note_sent,
    [MF_INPUT_TOKENS] = decoding_tokens,
    [MF_INPUT_DONE] = decoding_done,
    [MF_INPUT_FAILED] = decoding_failed,
    [MF_INPUT_TIMER] = decoding_timer,
  },
  [MF_PHASE_RESUMING] = {
    [MF_INPUT_DEPARTED] = departed,
    [MF_INPUT_CALL_SENT] = note_sent,
    [MF_INPUT_TOKENS] = resuming_tokens,
    [MF_INPUT_DONE] = resuming_done,
    [MF_INPUT_FAILED] = decoding_failed,
    [MF_INPUT_TIMER] = decoding_timer,
  },
  [MF_PHASE_CONNECTING] = {
    [MF_INPUT_DEPARTED] = departed,
    [MF_INPUT_CALL_SENT] = connecting_sent,
    [MF_INPUT_DONE] = plain_done,
    [MF_INPUT_FAILED] = plain_failed,
    [MF_INPUT_TIMER] = plain_timer,
  },
  [MF_PHASE_SENT] = {
    [MF_INPUT_DEPARTED] = sent_departed,
    [MF_INPUT_CALL_SENT] = note_sent,
    [MF_INPUT_DONE] = plain_done,
    [MF_INPUT_FAILED] = plain_failed,
    [MF_INPUT_TIMER] = plain_timer,
  },
};

bool
mf_life_accepts (MfPhase phase, MfInput input)
{
  return handlers[phase][input] != NULL;
}

/* Passes an input to the state machine of a request. Returns false if the input has no handler in
 * the request's phase. The request may have been freed on return. */
bool
mf_life_input (MfCore *core, MfRequest *request, MfInput input, MfCall *call, const MfEvent *event,
               const MfClaimResult *claim)
{
  Step step = { .core = core, .request = request, .call = call, .event = event, .claim = claim };
  Handler handler = handlers[request->phase][input];

  if (handler == NULL)
    return false;
  handler (&step);
  return true;
}

/* Starts a model request at the engines of its placement. */
void
mf_life_start_model (MfCore *core, MfRequest *request, const MfPlacement *placement)
{
  uint64_t timeout_us = placement->ttft_us * PREFILL_STALL_FACTOR;

  if (timeout_us < PREFILL_STALL_MIN_US)
    timeout_us = PREFILL_STALL_MIN_US;
  mf_request_trace (core, request, MF_TRACE_PLACED, placement->prefill, placement->decode,
                    placement->ttft_us);
  if (request->alternative_us > 0)
    mf_request_trace (core, request, MF_TRACE_ALTERNATIVE, request->alternative, MF_NONE,
                      request->alternative_us);
  mf_request_set_phase (request, MF_PHASE_PREFILLING);
  mf_call_enter_window (core, request, placement->decode != MF_NONE);
  mf_call_reserve (core, request, placement->decode);
  mf_call_start (core, request, MF_CALL_PREFILL, placement->prefill);
  mf_request_check_at (core, request, core->board.now_us + timeout_us);
}

/* Claims the key again after its grant expired while the call waited to be sent. */
static void
claim_again (MfCore *core, MfRequest *request)
{
  MfClaimResult result = { .decision = MF_CLAIM_UNKNOWN, .outcome = MF_OUTCOME_NOT_RUN };

  if (mf_finish_outcome (request) != MF_OUTCOME_NOT_RUN || ++request->n_claims > CLAIMS_MAX)
    {
      mf_finish_refused (core, request, MF_CODE_KEY_NO_QUORUM, 1000);
      return;
    }
  request->claimed = false;
  mf_claim_finish (core, request->id, &result);
  mf_request_set_phase (request, MF_PHASE_CLAIMING);
  mf_claim_begin (core, request->id, request->key_digest, request->digest, request->key_created_ms,
                  request->deadline_us);
}

/* Starts a plain call at the upstream chosen for it. */
void
mf_life_start_plain (MfCore *core, MfRequest *request, uint32_t upstream)
{
  uint64_t hedge_delay_us = mf_request_service (core, request)->answer_us * HEDGE_ANSWER_FACTOR;

  if (request->claimed && !mf_claim_may_send (core, request->id))
    {
      claim_again (core, request);
      return;
    }
  mf_request_set_phase (request, MF_PHASE_CONNECTING);
  mf_call_enter_window (core, request, false);
  mf_call_start (core, request, MF_CALL_PLAIN, upstream);
  mf_request_check_at (
      core, request,
      core->board.now_us
          + (hedge_delay_us > HEDGE_DELAY_MIN_US ? hedge_delay_us : HEDGE_DELAY_MIN_US));
}

/* Starts an admitted request. A plain call that is not idempotent and has a key claims the key
 * first; all other requests are queued. */
void
mf_life_begin (MfCore *core, MfRequest *request)
{
  bool plain = mf_request_service (core, request)->config.kind == MF_SERVICE_PLAIN;

  if (plain && request->has_idempotency_key && !request->idempotent)
    {
      mf_request_set_phase (request, MF_PHASE_CLAIMING);
      mf_claim_begin (core, request->id, request->key_digest, request->digest,
                      request->key_created_ms, request->deadline_us);
      return;
    }
  mf_request_set_phase (request, MF_PHASE_QUEUED);
  mf_queue_add (core, request);
}
