#include "claim.h"
#include "cancel.h"
#include "health.h"
#include "policy.h"
#include "queue.h"
#include "retry.h"
#include "suspect_core.h"
#include "window.h"

/* A stream without a token for this long is taken to be broken. */
#define STALL_BASE_US (600 * MF_US_PER_MS)
#define STALL_GAPS 12
/* An engine that holds a broken stream answers a resume within this, or is not asked again. */
#define RESUME_WAIT_US (250 * MF_US_PER_MS)
/* A prefill is given up after this many times its predicted time, and no sooner than the least. */
#define PREFILL_STALL_FACTOR 4
#define PREFILL_STALL_MIN_US (1500 * MF_US_PER_MS)
/* Between two looks for a free decode engine while a KV waits. */
#define TRANSFER_LOOK_US (4 * MF_US_PER_MS)
/* The time an import takes at least; a KV with less life left is given up. */
#define IMPORT_MIN_US (10 * MF_US_PER_MS)
/* A link that carried nothing of ours for this long, and this many times what the KV should take,
 * is stalled. */
#define CARRY_PATIENCE_US (150 * MF_US_PER_MS)
#define CARRY_FACTOR 2
#define CARRY_RATE_MIN 1e9
/* Tokens past the place where its upstream died that clear a suspect. */
#define CLEAR_TOKENS 8
#define CLAIMS_MAX 3
/* Time to read what came in during a pause, before anything is called stalled. */
#define WOKE_GRACE_US (100 * MF_US_PER_MS)
/* An upstream that refused is not asked again for this long, unless one of our own leaves it. */
#define FULL_US (40 * MF_US_PER_MS)
#define HEDGE_MIN_US (10 * MF_US_PER_MS)
#define HEDGE_ANSWERS 3

/* One input to one request. */
typedef struct
{
  MfCore *core;
  MfRequest *request;
  MfCall *call;         /* NULL unless it comes from a call */
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

  return STALL_BASE_US + STALL_GAPS * service->config.tbt_target_us;
}

/* Whether this process was paused after that time: what seems to have taken long may have come in
 * meanwhile, and no upstream is to blame. */
static bool
spans_pause (const MfCore *core, uint64_t since_us)
{
  return core->board.woke_us > since_us;
}

/* Gives a request more time when this process has only just woken: its answer may be waiting to be
 * read. Returns whether it did. */
static bool
bear_with_pause (const Step *step)
{
  MfCore *core = step->core;

  if (core->board.woke_us == 0 || now_us (step) >= core->board.woke_us + WOKE_GRACE_US)
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
let_go (MfCore *core, MfRequest *request)
{
  mf_call_abandon_all (core, request);
  mf_call_drop_prefill (core, request, false);
  mf_call_unreserve (core, request);
  mf_call_leave (core, request);
  mf_queue_end_wait (core, request);
  request->n_refused = 0;
}

/* Sends the request back to its queue for another try, or refuses it when no try is left. */
static void
try_again (MfCore *core, MfRequest *request, MfCode code)
{
  uint64_t delay_us;

  let_go (core, request);
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
  request->n_retries++;
  request->not_before_us = core->board.now_us + delay_us;
  mf_counter_add (&core->board.counters, MF_COUNTER_RETRIES, 1);
  mf_request_note (core, request, MF_TRACE_RETRIED, request->last_upstream, MF_NONE,
                   request->delivered);
  mf_request_set_phase (request, MF_PHASE_QUEUED);
  mf_queue_add_again (core, request);
}

/* An engine had no room and ran nothing: the request waits for its turn again, which is no retry.
 */
static void
back_to_queue (MfCore *core, MfRequest *request)
{
  if (!mf_policy (core)->queues)
    {
      try_again (core, request, MF_CODE_QUEUE_FULL);
      return;
    }
  let_go (core, request);
  request->not_before_us = 0;
  mf_request_set_phase (request, MF_PHASE_QUEUED);
  mf_queue_add_again (core, request);
}

/* The upstream has refused for want of room. */
static void
note_full (MfCore *core, uint32_t upstream)
{
  core->board.upstreams[upstream].full_until_us = core->board.now_us + FULL_US;
}

/* The call is over without a whole answer. Returns whether it certainly ran nothing. */
static bool
end_failed (const Step *step)
{
  const MfCallEvent *event = &step->event->call;
  MfCall *call = step->call;
  MfRequest *request = step->request;
  uint32_t upstream = call->upstream;
  bool clean;
  bool broke;

  call->sent = call->sent || event->sent;
  clean = !call->sent || event->refused || event->leaving;
  broke = !clean && !event->timed_out && step->event->type == MF_EVENT_CALL_FAILED;
  if (!clean)
    {
      request->n_unknown++;
      if (call->kind == MF_CALL_PREFILL)
        request->wasted_tokens += call->prefill_tokens;
    }
  /* What a resume would have continued is held by the engine even if the resume never left. */
  if (call->kind == MF_CALL_RESUME || (!clean && call->kind != MF_CALL_PLAIN))
    mf_cancel_add (step->core, upstream, request->id, call->id, call->attempt);
  request->last_upstream = upstream;
  mf_call_end (step->core, call);
  mf_health_note_call (step->core, upstream, step->event);
  if (broke)
    mf_suspect_call_failed (step->core, request, upstream);
  return clean;
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

/* A keyed call that may have reached its upstream runs on, so that its outcome is known when the
 * caller asks again. */
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

/* The call is about to leave. Where the process was paused since the grant, it must not. */
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
    mf_queue_stir (step->core);
}

/* Counts what an earlier arrival of the same key did, or may have done, as this request's own. */
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

  mf_request_note (step->core, request, MF_TRACE_CLAIMED, MF_NONE, MF_NONE,
                   (uint64_t)step->claim->verdict);
  if (step->claim->verdict == MF_CLAIM_GRANTED)
    {
      request->claimed = true;
      mf_request_set_phase (request, MF_PHASE_QUEUED);
      mf_queue_add (step->core, request);
    }
  else if (step->claim->verdict == MF_CLAIM_ANSWERED && step->claim->status != 0)
    mf_finish_replayed (step->core, request, step->claim);
  else
    {
      MfCode code = step->claim->verdict == MF_CLAIM_ANSWERED ? MF_CODE_KEY_UNKNOWN
                                                              : codes[step->claim->verdict];

      count_earlier_run (request, step->claim->outcome);
      mf_finish_refused (step->core, request, code,
                         step->claim->verdict == MF_CLAIM_NO_QUORUM ? 1000 : 0);
    }
}

/* How long a transfer may take before its link is looked at. */
static uint64_t
carry_patience_us (const MfCore *core, const MfRequest *request)
{
  const MfUpstream *row = &core->board.upstreams[request->prefill_upstream];
  double rate = row->link_bytes_per_s > 0 ? (double)row->link_bytes_per_s : CARRY_RATE_MIN;
  double bytes = (double)(row->transfer_bytes + request->kv_bytes);

  return CARRY_PATIENCE_US + (uint64_t)(CARRY_FACTOR * bytes / rate * (double)MF_US_PER_S);
}

/* Sends the waiting KV to a decode engine when there is one. Returns false when it still waits. */
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
  mf_queue_end_wait (core, request);
  mf_call_start (core, request, MF_CALL_DECODE, upstream);
  mf_call_begin_transfer (core, request);
  mf_request_check_at (core, request, core->board.now_us + carry_patience_us (core, request));
  return true;
}

/* Sends the KV on, or waits for room while it lives. */
static void
transfer_or_wait (MfCore *core, MfRequest *request)
{
  if (!request->waits && mf_life_try_transfer (core, request))
    return;
  if (core->board.now_us + IMPORT_MIN_US >= request->kv_expires_us)
    {
      mf_window_note_loss (decode_pool (core, request));
      try_again (core, request, MF_CODE_QUEUE_FULL);
      return;
    }
  mf_queue_wait_transfer (core, request);
  mf_request_check_at (core, request, core->board.now_us + TRANSFER_LOOK_US);
}

static void
prefilled (const Step *step)
{
  MfRequest *request = step->request;
  MfCall *call = step->call;
  MfUpstream *row = &step->core->board.upstreams[call->upstream];

  call->sent = true;
  call->prefilled = true;
  call->held = false;
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
    mf_health_note_prefill (step->core, call->upstream, call->ahead_tokens,
                            now_us (step) - call->started_us);
  mf_request_note (step->core, request, MF_TRACE_PREFILLED, call->upstream, MF_NONE,
                   request->kv_bytes);
  mf_request_set_phase (request, MF_PHASE_TRANSFERRING);
  transfer_or_wait (step->core, request);
}

static void
prefill_failed (const Step *step)
{
  bool refused = step->event->call.refused;
  bool clean = end_failed (step);

  if (refused)
    {
      note_full (step->core, step->request->last_upstream);
      back_to_queue (step->core, step->request);
    }
  else
    try_again (step->core, step->request, clean ? MF_CODE_NO_UPSTREAM : MF_CODE_UPSTREAM_DIED);
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
  if (bear_with_pause (step))
    return;
  step->request->last_upstream = step->request->calls->upstream;
  mf_health_note_stall (step->core, step->request->last_upstream);
  try_again (step->core, step->request, MF_CODE_UPSTREAM_STALLED);
}

/* The decode engine holds the KV: the prefill engine's part is over. */
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
  mf_call_arrived (step->core, request);
  mf_call_drop_prefill (step->core, request, true);
  mf_request_note (step->core, request, MF_TRACE_IMPORTED, step->call->upstream, MF_NONE, 0);
  mf_request_set_phase (request, MF_PHASE_DECODING);
  mf_request_check_at (step->core, request, now_us (step) + stall_us (step->core, request));
}

/* The stream of a call is broken: it goes on at the same engine when that can be, else elsewhere
 * from a new prefill of the prompt and what was delivered. */
static void
recover_stream (const Step *step, MfCode code)
{
  MfCore *core = step->core;
  MfRequest *request = step->request;
  uint32_t upstream = step->call->upstream;
  bool lives = mf_upstream_is_usable (&core->board.upstreams[upstream]);
  bool timed_out = step->event->call.timed_out;

  mf_request_note (core, request, MF_TRACE_BROKEN, upstream, MF_NONE, request->delivered);
  if (mf_policy (core)->resumes && lives && !timed_out && request->phase == MF_PHASE_DECODING)
    {
      request->attempt = step->call->attempt;
      request->last_upstream = upstream;
      mf_call_end (core, step->call);
      mf_health_note_call (core, upstream, step->event);
      mf_suspect_call_failed (core, request, upstream);
      mf_request_set_phase (request, MF_PHASE_RESUMING);
      mf_call_start (core, request, MF_CALL_RESUME, upstream);
      mf_request_check_at (core, request, now_us (step) + RESUME_WAIT_US);
      return;
    }
  end_failed (step);
  try_again (core, request, code);
}

static void
note_tokens (MfCore *core, MfRequest *request, const MfCall *call, uint32_t n_tokens)
{
  uint64_t now = core->board.now_us;
  const MfServiceRow *service = mf_request_service (core, request);
  uint64_t gap_us;

  if (request->first_us == 0)
    {
      request->first_us = now;
      request->n_gaps += n_tokens - 1;
      mf_request_note (core, request, MF_TRACE_FIRST_TOKEN, call->upstream, MF_NONE,
                       now - request->arrived_us);
    }
  else
    {
      gap_us = (now - request->last_us) / n_tokens;
      request->n_gaps += n_tokens;
      request->n_gaps_late += gap_us > service->config.tbt_target_us ? n_tokens : 0;
      if (call->started_us < request->last_us && !spans_pause (core, request->last_us))
        mf_health_note_gap (core, call->upstream, gap_us);
    }
  request->last_us = now;
}

/* Hands tokens on, when they are the next ones. Returns false when the request is no longer at this
 * call, because tokens are missing. */
static bool
take_tokens (const Step *step)
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
      try_again (step->core, request, MF_CODE_UPSTREAM_ERROR);
      return false;
    }
  request->delivered += event->n_tokens;
  request->ran = true;
  note_tokens (step->core, request, step->call, event->n_tokens);
  mf_counter_add (&step->core->board.counters, MF_COUNTER_TOKENS, event->n_tokens);
  mf_core_emit (step->core, &action);
  if (request->suspect && request->delivered >= request->cleared_at + CLEAR_TOKENS)
    mf_suspect_clear (step->core, request);
  mf_request_check_at (step->core, request, now_us (step) + stall_us (step->core, request));
  return true;
}

static void
decoding_tokens (const Step *step)
{
  take_tokens (step);
}

static void
transferring_tokens (const Step *step)
{
  if (step->call->kind != MF_CALL_DECODE)
    return;
  imported (step);
  take_tokens (step);
}

static void
resuming_tokens (const Step *step)
{
  mf_counter_add (&step->core->board.counters, MF_COUNTER_RESUMES, 1);
  mf_request_note (step->core, step->request, MF_TRACE_RESUMED, step->call->upstream, MF_NONE,
                   step->request->delivered);
  mf_request_set_phase (step->request, MF_PHASE_DECODING);
  take_tokens (step);
}

static bool
stream_is_whole (const Step *step)
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
  else if (stream_is_whole (step))
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
  if (stream_is_whole (step))
    finish_stream (step);
  else
    recover_stream (step, MF_CODE_UPSTREAM_ERROR);
}

/* A decode engine did not take the KV: another one may, while it lives. */
static void
transfer_refused (const Step *step)
{
  MfRequest *request = step->request;
  uint32_t upstream = step->call->upstream;
  bool lost = !step->event->call.refused && !step->event->call.leaving;
  bool clean = end_failed (step);

  request->n_refused++;
  if (step->event->call.refused)
    note_full (step->core, upstream);
  if (!clean || (lost && step->event->type == MF_EVENT_CALL_DONE))
    try_again (step->core, request, MF_CODE_UPSTREAM_DIED);
  else
    transfer_or_wait (step->core, request);
}

static void
transferring_done (const Step *step)
{
  if (step->call->kind == MF_CALL_PREFILL)
    mf_call_end (step->core, step->call);
  else if (stream_is_whole (step))
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
  else if (!bear_with_pause (step))
    {
      const MfUpstream *row = &step->core->board.upstreams[request->prefill_upstream];
      uint64_t moved_us
          = row->transfer_at_us > call->started_us ? row->transfer_at_us : call->started_us;
      uint64_t stalled_us = moved_us + carry_patience_us (step->core, request);

      if (now_us (step) < stalled_us)
        {
          mf_request_check_at (step->core, request, stalled_us);
          return;
        }
      mf_health_note_transfer_stall (step->core, request->prefill_upstream);
      request->last_upstream = request->prefill_upstream;
      try_again (step->core, request, MF_CODE_UPSTREAM_STALLED);
    }
}

static void
decoding_timer (const Step *step)
{
  MfRequest *request = step->request;
  const MfCall *call = decode_call (request);

  if (now_us (step) >= request->deadline_us)
    {
      refuse_deadline (step);
      return;
    }
  if (bear_with_pause (step))
    return;
  if (call != NULL)
    {
      request->last_upstream = call->upstream;
      mf_health_note_stall (step->core, call->upstream);
    }
  mf_request_note (step->core, request, MF_TRACE_BROKEN, request->last_upstream, MF_NONE,
                   request->delivered);
  try_again (step->core, request, MF_CODE_UPSTREAM_STALLED);
}

static void
plain_done (const Step *step)
{
  MfRequest *request = step->request;
  const MfCallEvent *event = &step->event->call;
  MfServiceRow *service = &step->core->board.services.rows[request->service];
  bool nothing_ran = event->refused || event->leaving;
  uint64_t answer_us = now_us (step) - step->call->started_us;
  uint64_t delay_us;

  if (nothing_ran || (event->status >= 500 && request->idempotent))
    {
      if (nothing_ran || mf_policy (step->core)->may_retry (step->core, request, &delay_us))
        {
          end_failed (step);
          if (request->calls == NULL && event->refused)
            back_to_queue (step->core, request);
          else if (request->calls == NULL)
            try_again (step->core, request, MF_CODE_NO_UPSTREAM);
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
  request->first_us = now_us (step);
  mf_call_end (step->core, step->call);
  mf_finish_answered (step->core, request, step->event);
}

static void
plain_failed (const Step *step)
{
  MfRequest *request = step->request;
  bool timed_out = step->event->call.timed_out;
  bool clean = end_failed (step);

  if (request->calls != NULL)
    return;
  if (clean || request->idempotent)
    try_again (step->core, request, clean ? MF_CODE_NO_UPSTREAM : MF_CODE_UPSTREAM_DIED);
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
  mf_request_note (core, request, MF_TRACE_HEDGED, upstream, request->last_upstream, 0);
  mf_call_start (core, request, MF_CALL_PLAIN, upstream)->hedge = true;
}

/* Every pair that is not here is an event that came late or crossed another: it is dropped and
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

/* Puts a request through the state machine. Returns false when this input means nothing in its
 * phase; the request may be gone afterwards. */
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

/* Starts a model request at the engines chosen for it. */
void
mf_life_start_model (MfCore *core, MfRequest *request, const MfPlacement *placement)
{
  uint64_t patience_us = placement->ttft_us * PREFILL_STALL_FACTOR;

  if (patience_us < PREFILL_STALL_MIN_US)
    patience_us = PREFILL_STALL_MIN_US;
  mf_request_note (core, request, MF_TRACE_PLACED, placement->prefill, placement->decode,
                   placement->ttft_us);
  if (request->runner_up_us > 0)
    mf_request_note (core, request, MF_TRACE_ALTERNATIVE, request->runner_up, MF_NONE,
                     request->runner_up_us);
  mf_request_set_phase (request, MF_PHASE_PREFILLING);
  mf_call_enter (core, request, placement->decode != MF_NONE);
  mf_call_reserve (core, request, placement->decode);
  mf_call_start (core, request, MF_CALL_PREFILL, placement->prefill);
  mf_request_check_at (core, request, core->board.now_us + patience_us);
}

/* Claims the key again when the grant went stale while the call waited. */
static void
claim_again (MfCore *core, MfRequest *request)
{
  MfClaimResult result = { .verdict = MF_CLAIM_UNKNOWN, .outcome = MF_OUTCOME_NOT_RUN };

  if (mf_finish_outcome (request) != MF_OUTCOME_NOT_RUN || ++request->n_claims > CLAIMS_MAX)
    {
      mf_finish_refused (core, request, MF_CODE_KEY_NO_QUORUM, 1000);
      return;
    }
  request->claimed = false;
  mf_claim_finish (core, request->id, &result);
  mf_request_set_phase (request, MF_PHASE_CLAIMING);
  mf_claim_begin (core, request->id, request->key_digest, request->digest, request->key_minted_ms,
                  request->deadline_us);
}

/* Starts a plain call at the upstream chosen for it. */
void
mf_life_start_plain (MfCore *core, MfRequest *request, uint32_t upstream)
{
  uint64_t usual_us = mf_request_service (core, request)->answer_us * HEDGE_ANSWERS;

  if (request->claimed && !mf_claim_may_send (core, request->id))
    {
      claim_again (core, request);
      return;
    }
  mf_request_set_phase (request, MF_PHASE_CONNECTING);
  mf_call_enter (core, request, false);
  mf_call_start (core, request, MF_CALL_PLAIN, upstream);
  mf_request_check_at (core, request,
                       core->board.now_us + (usual_us > HEDGE_MIN_US ? usual_us : HEDGE_MIN_US));
}

/* Begins a request that has been admitted: a call that may not be repeated claims its key first. */
void
mf_life_begin (MfCore *core, MfRequest *request)
{
  bool plain = mf_request_service (core, request)->config.kind == MF_SERVICE_PLAIN;

  if (plain && request->has_key && !request->idempotent)
    {
      mf_request_set_phase (request, MF_PHASE_CLAIMING);
      mf_claim_begin (core, request->id, request->key_digest, request->digest,
                      request->key_minted_ms, request->deadline_us);
      return;
    }
  mf_request_set_phase (request, MF_PHASE_QUEUED);
  mf_queue_add (core, request);
}
