#include "claim.h"
#include "queue.h"

static void
record_end (MfCore *core, MfRequest *request, MfCode code, MfEndedBy by)
{
  MfBoard *board = &core->board;
  const MfServiceRow *service = &board->services.rows[request->service];
  MfTraceStep step = {
    .request_id = request->id,
    .at_us = board->now_us,
    .kind = MF_TRACE_ENDED,
    .upstream = MF_NONE,
    .other_upstream = MF_NONE,
    .value = request->delivered,
    .code = code,
    .phase = (uint8_t)request->phase,
    .ended_by = (uint8_t)by,
  };
  MfBurnSample sample = {
    .service = service->index_in_config,
    .customer = request->customer == MF_NONE
                    ? MF_NONE
                    : board->services.customers[request->customer].index_in_config,
    .code = code,
    .outcome = mf_finish_outcome (request),
    .refused = code != MF_CODE_OK && code != MF_CODE_DEPARTED && request->delivered == 0,
    .departed = code == MF_CODE_DEPARTED,
    .ttft_us = request->first_output_us > 0 ? request->first_output_us - request->arrived_us : 0,
    .n_gaps = request->n_gaps,
    .n_gaps_late = request->n_gaps_late,
    .prefill_tokens = request->prefill_tokens,
    .wasted_prefill_tokens = request->wasted_tokens,
  };

  mf_trace_add_step (board->trace, &step);
  board->counters.by_code[mf_code_index (code)]++;
  mf_counter_add (&board->counters, MF_COUNTER_WASTED_PREFILL_TOKENS, request->wasted_tokens);
  if (code == MF_CODE_OK)
    mf_counter_add (&board->counters, MF_COUNTER_ANSWERED, 1);
  if (mf_burn_is_good (&service->config, &sample))
    mf_counter_add (&board->counters, MF_COUNTER_GOOD, 1);
  if (service->in_config)
    mf_burn_record (board->burn, board->config, &sample, board->now_us);
}

/* Returns whether any of the work ran, as far as known. A running call that was sent counts as
 * unknown. */
MfOutcome
mf_finish_outcome (const MfRequest *request)
{
  if (request->ran)
    return MF_OUTCOME_RAN;
  if (request->n_unknown > 0)
    return MF_OUTCOME_UNKNOWN;
  for (const MfCall *call = request->calls; call != NULL; call = call->next)
    {
      if (call->sent)
        return MF_OUTCOME_UNKNOWN;
    }
  return MF_OUTCOME_NOT_RUN;
}

static void
settle_claim (MfCore *core, MfRequest *request, const MfClaimResult *result)
{
  if (!request->claimed)
    return;
  request->claimed = false;
  mf_claim_finish (core, request->id, result);
}

/* Releases everything that the request holds, in this instance and at upstreams. */
static void
release_resources (MfCore *core, MfRequest *request)
{
  if (request->queued)
    mf_queue_remove (core, request);
  mf_call_abandon_all (core, request);
  mf_call_drop_prefill (core, request, false);
  mf_call_unreserve (core, request);
  mf_call_leave_window (core, request);
  mf_queue_remove_transfer (core, request);
  mf_queue_schedule_pass (core);
}

/* Ends a request whose answer is complete. For a plain call, event is its last one. */
void
mf_finish_answered (MfCore *core, MfRequest *request, const MfEvent *event)
{
  bool plain = event != NULL && mf_request_service (core, request)->config.kind == MF_SERVICE_PLAIN;
  MfAction action = {
    .type = plain ? MF_ACTION_ANSWER_PLAIN : MF_ACTION_ANSWER_END,
    .answer = { .request_id = request->id, .status = 200, .outcome = MF_OUTCOME_RAN },
  };
  MfClaimResult result = { .decision = MF_CLAIM_ANSWERED, .outcome = MF_OUTCOME_RAN };

  request->ran = true;
  if (plain)
    {
      result.status = action.answer.status = event->call.status;
      result.content_type = action.answer.content_type = event->call.content_type;
      result.body = action.answer.data = event->call.data;
      result.body_bytes = action.answer.data_bytes = event->call.data_bytes;
    }
  settle_claim (core, request, &result);
  release_resources (core, request);
  if (!request->departed)
    mf_core_emit (core, &action);
  record_end (core, request, request->departed ? MF_CODE_DEPARTED : MF_CODE_OK,
              MF_ENDED_BY_UPSTREAM);
  mf_request_remove (core, request);
}

/* Answers a request with the recorded answer of an earlier run under the same key. */
void
mf_finish_replayed (MfCore *core, MfRequest *request, const MfClaimResult *claim)
{
  MfAction action = {
    .type = MF_ACTION_ANSWER_PLAIN,
    .answer = { .request_id = request->id,
                .status = claim->status,
                .content_type = claim->content_type,
                .data = claim->body,
                .data_bytes = claim->body_bytes,
                .outcome = MF_OUTCOME_RAN,
                .replayed = true },
  };

  request->ran = true;
  request->first_output_us = core->board.now_us;
  mf_counter_add (&core->board.counters, MF_COUNTER_REPLAYS, 1);
  mf_core_emit (core, &action);
  record_end (core, request, MF_CODE_OK, MF_ENDED_BY_INSTANCE);
  mf_request_remove (core, request);
}

/* Returns whether the code attributes the failure to an upstream. That a request is poison, or that
 * no upstream is left, is decided by this instance. */
static bool
ended_by_upstream (MfCode code)
{
  return code == MF_CODE_UPSTREAM_DIED || code == MF_CODE_UPSTREAM_ERROR
         || code == MF_CODE_UPSTREAM_STALLED || code == MF_CODE_ANSWER_TOO_LARGE;
}

/* Refuses the request. The outcome follows from the request's own calls, except for codes that
 * describe an earlier run. */
void
mf_finish_refused (MfCore *core, MfRequest *request, MfCode code, uint64_t retry_after_ms)
{
  const MfCodeInfo *info = mf_code_info (code);
  MfOutcome outcome = mf_finish_outcome (request);
  MfAction action = {
    .type = MF_ACTION_ANSWER_REFUSE,
    .answer = { .request_id = request->id,
                .code = code,
                .status = info->http_status,
                .retry_after_ms = retry_after_ms },
  };
  MfClaimResult result = { .decision = MF_CLAIM_UNKNOWN, .code = code };

  if (code == MF_CODE_KEY_UNKNOWN || code == MF_CODE_KEY_TOO_OLD || code == MF_CODE_POISON)
    outcome = info->outcome;
  action.answer.outcome = result.outcome = outcome;
  settle_claim (core, request, &result);
  release_resources (core, request);
  if (!request->departed)
    mf_core_emit (core, &action);
  record_end (core, request, request->departed ? MF_CODE_DEPARTED : code,
              ended_by_upstream (code) ? MF_ENDED_BY_UPSTREAM : MF_ENDED_BY_INSTANCE);
  mf_request_remove (core, request);
}

/* Ends a request whose caller has disconnected: no answer is sent, and what it holds is
 * released. */
void
mf_finish_departed (MfCore *core, MfRequest *request)
{
  MfClaimResult result = { .decision = MF_CLAIM_UNKNOWN, .code = MF_CODE_DEPARTED };

  result.outcome = mf_finish_outcome (request);
  settle_claim (core, request, &result);
  release_resources (core, request);
  record_end (core, request, MF_CODE_DEPARTED, MF_ENDED_BY_CALLER);
  mf_request_remove (core, request);
}

void
mf_finish_not_admitted (MfCore *core, const MfRequestEvent *event, uint32_t service,
                        uint32_t customer, MfCode code, uint64_t retry_after_ms)
{
  MfBoard *board = &core->board;
  const MfCodeInfo *info = mf_code_info (code);
  MfAction action = {
    .type = MF_ACTION_ANSWER_REFUSE,
    .answer = { .request_id = event->request_id,
                .code = code,
                .status = info->http_status,
                .outcome = info->outcome,
                .retry_after_ms = retry_after_ms },
  };
  MfTraceStep step = { .request_id = event->request_id,
                       .at_us = board->now_us,
                       .kind = MF_TRACE_ENDED,
                       .upstream = MF_NONE,
                       .other_upstream = MF_NONE,
                       .code = code,
                       .phase = MF_PHASE_ENDED,
                       .ended_by = MF_ENDED_BY_INSTANCE };
  MfBurnSample sample
      = { .customer = customer, .code = code, .outcome = info->outcome, .refused = true };

  mf_trace_add_step (board->trace, &step);
  board->counters.by_code[mf_code_index (code)]++;
  if (service != MF_NONE)
    {
      sample.service = board->services.rows[service].index_in_config;
      if (customer != MF_NONE)
        sample.customer = board->services.customers[customer].index_in_config;
      mf_burn_record (board->burn, board->config, &sample, board->now_us);
    }
  mf_core_emit (core, &action);
}
