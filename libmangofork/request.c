#include "policy.h"
#include "limit.h"
#include "queue.h"
#include "retry.h"
#include "suspect_core.h"

#include <xxhash.h>
#include <stdlib.h>
#include <string.h>

/* Deadline of requests to a service that configures none. */
#define DEADLINE_DEFAULT_US (60 * MF_US_PER_S)

const char *
mf_phase_name (MfPhase phase)
{
  static const char *const names[MF_PHASE_COUNT] = {
    [MF_PHASE_QUEUED] = "queued",         [MF_PHASE_CLAIMING] = "claiming",
    [MF_PHASE_PREFILLING] = "prefilling", [MF_PHASE_TRANSFERRING] = "transferring",
    [MF_PHASE_DECODING] = "decoding",     [MF_PHASE_RESUMING] = "resuming",
    [MF_PHASE_CONNECTING] = "connecting", [MF_PHASE_SENT] = "sent",
    [MF_PHASE_ENDED] = "ended",
  };

  return phase < MF_PHASE_COUNT ? names[phase] : "none";
}

const MfPolicy *
mf_policy (const MfCore *core)
{
  return core->board.options.naive ? &mf_naive_policy : &mf_place_policy;
}

MfRequest *
mf_request_find (const MfCore *core, uint64_t request_id)
{
  MfRequest *request;

  HASH_FIND (hh, core->board.requests->by_id, &request_id, sizeof request_id, request);
  return request;
}

uint32_t
mf_request_count (const MfCore *core)
{
  return HASH_COUNT (core->board.requests->by_id);
}

/* Calls func for each request. func may remove the request that it is given. */
void
mf_request_foreach (MfCore *core, void (*func) (MfRequest *request, void *data), void *data)
{
  MfRequest *request;
  MfRequest *next;

  HASH_ITER (hh, core->board.requests->by_id, request, next)
  {
    func (request, data);
  }
}

const MfServiceRow *
mf_request_service (const MfCore *core, const MfRequest *request)
{
  return &core->board.services.rows[request->service];
}

void
mf_request_set_phase (MfRequest *request, MfPhase phase)
{
  request->phase = phase;
}

/* Schedules the next MF_INPUT_TIMER; the deadline may fire it earlier. If the timer is already set
 * to an earlier time, the heap is updated only when that fires. A time in the past is replaced by
 * the next microsecond, so that no request can loop within one step. */
void
mf_request_check_at (MfCore *core, MfRequest *request, uint64_t at_us)
{
  if (at_us <= core->board.now_us)
    at_us = core->board.now_us + 1;
  request->check_us = at_us;
  if (request->timer.at_us > at_us)
    mf_heap_set (&core->board.requests->timers, &request->timer, at_us);
}

void
mf_request_trace (MfCore *core, const MfRequest *request, MfTraceKind kind, uint32_t upstream,
                  uint32_t other, uint64_t value)
{
  MfTraceStep step = {
    .request_id = request->id,
    .at_us = core->board.now_us,
    .kind = kind,
    .upstream = upstream,
    .other_upstream = other,
    .value = value,
    .phase = (uint8_t)request->phase,
  };

  mf_trace_add_step (core->board.trace, &step);
}

/* Removes the request from all tables and frees it. */
void
mf_request_remove (MfCore *core, MfRequest *request)
{
  mf_limit_release (core, request);
  mf_heap_remove (&core->board.requests->timers, &request->timer);
  HASH_DEL (core->board.requests->by_id, request);
  free (request);
}

static bool
method_is_safe (const char *method)
{
  return method != NULL && (strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0);
}

static uint64_t
customer_cache_salt (const MfCore *core, uint32_t customer)
{
  uint64_t name = customer == MF_NONE ? 0 : core->board.services.customers[customer].name_hash;

  return XXH3_64bits (&name, sizeof name);
}

static MfRequest *
request_new (MfCore *core, const MfRequestEvent *event, uint32_t service, uint32_t customer)
{
  const MfService *config = &core->board.services.rows[service].config;
  uint64_t limit_us = config->deadline_us > 0 ? config->deadline_us : DEADLINE_DEFAULT_US;
  MfRequest *request = calloc (1, sizeof *request);

  if (request == NULL)
    return NULL;
  *request = (MfRequest){
    .timer.position = MF_HEAP_NO_POSITION,
    .id = event->request_id,
    .service = service,
    .customer = customer,
    .class_ = event->has_class && event->class_ > config->class_ ? event->class_ : config->class_,
    .idempotent = config->kind == MF_SERVICE_MODEL
                  || (config->get_is_idempotent && method_is_safe (event->method)),
    .has_idempotency_key = event->has_idempotency_key,
    .key_created_ms = event->key_created_ms,
    .digest = event->digest,
    .cache_salt = customer_cache_salt (core, customer),
    .prompt_tokens = event->prompt_tokens,
    .max_tokens = event->max_tokens,
    .arrived_us = core->board.now_us,
    .deadline_us
    = core->board.now_us
      + (event->has_deadline && event->deadline_us < limit_us ? event->deadline_us : limit_us),
    .check_us = UINT64_MAX,
    .reserved = MF_NONE,
    .last_upstream = MF_NONE,
    .n_prefix_hashes = event->n_prefix_hashes,
    .pieces = (event->prompt_tokens + event->max_tokens) / MF_PIECE_TOKENS + 1,
  };
  memcpy (request->key_digest, event->key_digest, sizeof request->key_digest);
  memcpy (request->prefix_hashes, event->prefix_hashes, sizeof request->prefix_hashes);
  return request;
}

/* Finds the service and the customer of a request. Returns MF_CODE_OK or the code of the
 * refusal. */
static MfCode
resolve (MfCore *core, const MfRequestEvent *event, uint32_t *service, uint32_t *customer)
{
  if (core->board.config == NULL)
    return MF_CODE_NO_CONFIG;
  if (event->has_api_key)
    *customer = mf_service_find_customer (core, event->api_key_digest);
  if (*customer == MF_NONE && (event->has_api_key || !core->board.config->allow_anonymous))
    return MF_CODE_NO_CUSTOMER;
  *service = event->model != NULL ? mf_service_find_model (core, event->model)
                                  : mf_service_find_path (core, event->path);
  return *service == MF_NONE ? MF_CODE_NO_SERVICE : MF_CODE_OK;
}

/* Checks the limits that apply before a request is accepted. Returns MF_CODE_OK or the code of the
 * refusal. */
static MfCode
admit (MfCore *core, uint32_t service, uint32_t customer, uint64_t *retry_after_ms)
{
  MfCode code;

  if (core->board.draining)
    return MF_CODE_DRAINING;
  if (mf_request_count (core) >= core->board.options.requests_max)
    return MF_CODE_OVER_LIMIT;
  if (!mf_service_may_wait (core, service, &code))
    return code;
  return mf_limit_acquire (core, customer, retry_after_ms) ? MF_CODE_OK : MF_CODE_CUSTOMER_LIMIT;
}

static void
handle_request (MfCore *core, const MfRequestEvent *event)
{
  uint32_t service = MF_NONE;
  uint32_t customer = MF_NONE;
  uint64_t retry_after_ms = 1000;
  MfCode code = resolve (core, event, &service, &customer);
  MfRequest *request = NULL;

  mf_counter_add (&core->board.counters, MF_COUNTER_REQUESTS, 1);
  if (event->name != NULL)
    mf_trace_set_name (core->board.trace, event->request_id, event->name);
  if (code == MF_CODE_OK)
    code = admit (core, service, customer, &retry_after_ms);
  else if (code != MF_CODE_NO_CONFIG)
    retry_after_ms = 0;
  if (code == MF_CODE_OK)
    request = request_new (core, event, service, customer);
  if (request == NULL)
    {
      mf_finish_not_admitted (core, event, service, customer,
                              code != MF_CODE_OK ? code : MF_CODE_NO_MEMORY, retry_after_ms);
      return;
    }
  HASH_ADD (hh, core->board.requests->by_id, id, sizeof request->id, request);
  mf_heap_set (&core->board.requests->timers, &request->timer, request->deadline_us);
  mf_request_trace (core, request, MF_TRACE_ARRIVED, MF_NONE, MF_NONE, request->prompt_tokens);
  mf_retry_earn (core, service);
  if (!mf_suspect_admit (core, request))
    mf_finish_refused (core, request, MF_CODE_POISON, 0);
  else
    mf_life_begin (core, request);
}

static void
handle_departed (MfCore *core, uint64_t request_id)
{
  MfRequest *request = mf_request_find (core, request_id);

  if (request != NULL && !request->departed)
    mf_life_input (core, request, MF_INPUT_DEPARTED, NULL, NULL, NULL);
}

static void
handle_call (MfCore *core, const MfEvent *event)
{
  static const MfInput inputs[MF_EVENT_COUNT] = {
    [MF_EVENT_CALL_SENT] = MF_INPUT_CALL_SENT,    [MF_EVENT_CALL_PREFILLED] = MF_INPUT_PREFILLED,
    [MF_EVENT_CALL_IMPORTED] = MF_INPUT_IMPORTED, [MF_EVENT_CALL_TOKENS] = MF_INPUT_TOKENS,
    [MF_EVENT_CALL_DONE] = MF_INPUT_DONE,         [MF_EVENT_CALL_FAILED] = MF_INPUT_FAILED,
  };
  MfCall *call = mf_call_find (core, event->call.call_id);
  bool late = event->type == MF_EVENT_CALL_PREFILLED || event->type == MF_EVENT_CALL_IMPORTED
              || event->type == MF_EVENT_CALL_TOKENS;

  if (call != NULL)
    late = !mf_life_input (core, call->request, inputs[event->type], call, event, NULL);
  if (late)
    mf_counter_add (&core->board.counters, MF_COUNTER_LATE_DROPPED, 1);
}

static void
request_handle (MfCore *core, const MfEvent *event)
{
  if (event->type == MF_EVENT_REQUEST)
    handle_request (core, &event->request);
  else if (event->type == MF_EVENT_DEPARTED)
    handle_departed (core, event->departed_id);
  else if (event->type >= MF_EVENT_CALL_SENT && event->type <= MF_EVENT_CALL_FAILED)
    handle_call (core, event);
}

/* Passes the result of a claim to its request. If the request has ended or no longer waits for the
 * claim, the result is dropped and counted. */
void
mf_request_claim_settled (MfCore *core, uint64_t request_id, const MfClaimResult *result)
{
  MfRequest *request = mf_request_find (core, request_id);

  if (request == NULL || !mf_life_input (core, request, MF_INPUT_CLAIM, NULL, NULL, result))
    mf_counter_add (&core->board.counters, MF_COUNTER_LATE_DROPPED, 1);
}

/* Fails the calls in progress on an upstream whose process has ended. Calls that are started in the
 * course of this have higher ids and are left alone. */
void
mf_request_upstream_died (MfCore *core, uint32_t upstream)
{
  uint64_t newest_id = core->next_call_id;
  MfCall *call = core->board.upstreams[upstream].calls;

  while (call != NULL)
    {
      MfAction action = { .type = MF_ACTION_CALL_ABORT, .call_id = call->id };
      MfEvent event = {
        .type = MF_EVENT_CALL_FAILED,
        .now_us = core->board.now_us,
        .call = { .call_id = call->id, .sent = call->sent, .connect_failed = !call->sent },
      };

      mf_core_emit (core, &action);
      mf_life_input (core, call->request, MF_INPUT_FAILED, call, &event, NULL);
      call = core->board.upstreams[upstream].calls;
      while (call != NULL && call->id > newest_id)
        call = call->next_upstream;
    }
}

/* Fires all timers that are due. */
static void
request_tick (MfCore *core)
{
  MfRequests *requests = core->board.requests;
  MfHeapNode *node;

  while ((node = mf_heap_first (&requests->timers)) != NULL && node->at_us <= core->board.now_us)
    {
      MfRequest *request = (MfRequest *)node;
      uint64_t next_us
          = request->check_us < request->deadline_us ? request->check_us : request->deadline_us;

      if (next_us > core->board.now_us)
        {
          mf_heap_set (&requests->timers, node, next_us);
          continue;
        }
      request->check_us = UINT64_MAX;
      mf_heap_set (&requests->timers, node,
                   request->deadline_us > core->board.now_us ? request->deadline_us
                                                             : core->board.now_us + MF_US_PER_S);
      mf_life_input (core, request, MF_INPUT_TIMER, NULL, NULL, NULL);
    }
  if (node != NULL)
    mf_core_wake_at (core, node->at_us);
}

static bool
request_init (MfCore *core, MfError *error)
{
  core->board.requests = calloc (1, sizeof *core->board.requests);
  if (core->board.requests == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the requests");
  return core->board.requests != NULL;
}

static void
request_finish (MfCore *core)
{
  MfRequests *requests = core->board.requests;
  MfRequest *request;
  MfRequest *next_request;
  MfCall *call;
  MfCall *next_call;

  if (requests == NULL)
    return;
  HASH_ITER (hh, requests->calls, call, next_call)
  {
    HASH_DEL (requests->calls, call);
    free (call);
  }
  HASH_ITER (hh, requests->by_id, request, next_request)
  {
    HASH_DEL (requests->by_id, request);
    free (request);
  }
  mf_heap_clear (&requests->timers);
  free (requests);
}

const MfController mf_request_controller = {
  .name = "request",
  .init = request_init,
  .finish = request_finish,
  .handle = request_handle,
  .tick = request_tick,
};
