#include "cancel.h"
#include "request.h"
#include "window.h"

#include <stdlib.h>

/* Timeout of the first byte of an upstream's answer, unless the request's deadline comes before. */
#define FIRST_BYTE_TIMEOUT_US (10 * MF_US_PER_S)

static void
link_to_upstream (MfCore *core, MfCall *call)
{
  MfUpstream *row = &core->board.upstreams[call->upstream];

  call->prev_upstream = NULL;
  call->next_upstream = row->calls;
  if (row->calls != NULL)
    row->calls->prev_upstream = call;
  row->calls = call;
}

static void
unlink_from_upstream (MfCore *core, MfCall *call)
{
  MfUpstream *row = &core->board.upstreams[call->upstream];

  if (call->prev_upstream != NULL)
    call->prev_upstream->next_upstream = call->next_upstream;
  else
    row->calls = call->next_upstream;
  if (call->next_upstream != NULL)
    call->next_upstream->prev_upstream = call->prev_upstream;
}

static uint64_t
call_timeout_us (const MfCore *core, const MfRequest *request)
{
  uint64_t left_us = request->deadline_us > core->board.now_us
                         ? request->deadline_us - core->board.now_us
                         : MF_US_PER_MS;

  return left_us < FIRST_BYTE_TIMEOUT_US ? left_us : FIRST_BYTE_TIMEOUT_US;
}

static void
emit_start (MfCore *core, const MfRequest *request, const MfCall *call)
{
  const MfUpstream *row = &core->board.upstreams[call->upstream];
  uint32_t tokens_left
      = request->max_tokens > request->delivered ? request->max_tokens - request->delivered : 0;
  MfAction action = {
    .type = MF_ACTION_CALL_START,
    .call = { .call_id = call->id,
              .kind = call->kind,
              .upstream = call->upstream,
              .address = row->config.address,
              .engine = row->config.engine,
              .request_id = request->id,
              .attempt = call->attempt,
              .from_token = request->delivered,
              .max_tokens = tokens_left,
              .prefill_call_id = request->prefill_call_id,
              .target_attempt = call->attempt,
              .priority = (uint32_t)request->class_,
              .cache_salt = request->cache_salt,
              .fresh_connection = !request->idempotent,
              .timeout_us = call_timeout_us (core, request) },
  };

  mf_core_emit (core, &action);
}

/* Counts the slot, the pieces and the prefill tokens of a call at its upstream. */
static void
account_call (MfCore *core, MfRequest *request, MfCall *call)
{
  MfUpstream *row = &core->board.upstreams[call->upstream];

  call->pieces = request->pieces;
  if (call->kind == MF_CALL_PREFILL)
    call->pieces = (request->prompt_tokens + request->delivered) / MF_PIECE_TOKENS + 1;
  call->holds_pieces = true;
  if (call->kind == MF_CALL_DECODE && request->reserved == call->upstream)
    request->reserved = MF_NONE;
  else
    mf_upstream_acquire_slot (core, call->upstream, call->pieces);
  if (call->kind == MF_CALL_PREFILL)
    {
      call->prefill_tokens = request->prompt_tokens + request->delivered;
      call->queued_tokens
          = mf_upstream_prefill_queue (row) + call->prefill_tokens - request->cached_tokens;
      row->own_prefill_tokens += call->prefill_tokens;
    }
  call->suspect = request->suspect;
  row->n_suspects += call->suspect;
}

/* Creates a call for the request and asks the adapters to start it. */
MfCall *
mf_call_start (MfCore *core, MfRequest *request, MfCallKind kind, uint32_t upstream)
{
  MfCall *call = calloc (1, sizeof *call);

  if (call == NULL)
    abort ();
  call->id = mf_core_next_call_id (core);
  call->kind = kind;
  call->upstream = upstream;
  call->attempt = kind == MF_CALL_RESUME ? request->attempt : ++request->attempt;
  call->started_us = core->board.now_us;
  call->request = request;
  call->next = request->calls;
  request->calls = call;
  HASH_ADD (hh, core->board.requests->calls, id, sizeof call->id, call);
  link_to_upstream (core, call);
  account_call (core, request, call);
  mf_request_trace (core, request, MF_TRACE_CALLED, upstream, MF_NONE, kind);
  emit_start (core, request, call);
  return call;
}

MfCall *
mf_call_find (const MfCore *core, uint64_t call_id)
{
  MfCall *call;

  HASH_FIND (hh, core->board.requests->calls, &call_id, sizeof call_id, call);
  return call;
}

void
mf_call_end (MfCore *core, MfCall *call)
{
  MfUpstream *row = &core->board.upstreams[call->upstream];
  MfCall **link = &call->request->calls;

  while (*link != call)
    link = &(*link)->next;
  *link = call->next;
  HASH_DEL (core->board.requests->calls, call);
  unlink_from_upstream (core, call);
  if (call->holds_pieces)
    mf_upstream_release_slot (core, call->upstream, call->pieces);
  if (call->kind == MF_CALL_PREFILL && !call->prefilled)
    row->own_prefill_tokens -= call->prefill_tokens;
  row->n_suspects -= call->suspect;
  free (call);
}

/* Returns whether a call of this kind makes its engine hold KV. */
static bool
may_hold_kv (const MfCall *call)
{
  return call->kind == MF_CALL_PREFILL || call->kind == MF_CALL_DECODE
         || call->kind == MF_CALL_RESUME;
}

void
mf_call_abandon (MfCore *core, MfCall *call)
{
  MfRequest *request = call->request;
  MfAction action = { .type = MF_ACTION_CALL_ABORT, .call_id = call->id };

  mf_core_emit (core, &action);
  if ((call->sent || call->kind == MF_CALL_RESUME) && !call->prefilled && may_hold_kv (call))
    mf_cancel_add (core, call->upstream, request->id, call->id, call->attempt);
  if (call->kind == MF_CALL_PREFILL && call->sent && !call->prefilled)
    request->wasted_tokens += call->prefill_tokens;
  if (call->sent)
    request->n_unknown++;
  mf_call_end (core, call);
}

void
mf_call_clear_suspect (MfCore *core, MfRequest *request)
{
  for (MfCall *call = request->calls; call != NULL; call = call->next)
    {
      core->board.upstreams[call->upstream].n_suspects -= call->suspect;
      call->suspect = false;
    }
  request->suspect = false;
}

void
mf_call_abandon_all (MfCore *core, MfRequest *request)
{
  while (request->calls != NULL)
    mf_call_abandon (core, request->calls);
}

/* Counts the transfer of the waiting KV on the link of its prefill engine. */
void
mf_call_begin_transfer (MfCore *core, MfRequest *request)
{
  MfUpstream *row = &core->board.upstreams[request->prefill_upstream];

  mf_call_end_transfer (core, request);
  request->transferring = true;
  row->transfer_bytes += request->kv_bytes;
  if (row->n_transfers++ == 0)
    row->transfer_progress_us = core->board.now_us;
}

void
mf_call_end_transfer (MfCore *core, MfRequest *request)
{
  MfUpstream *row = &core->board.upstreams[request->prefill_upstream];

  if (!request->transferring)
    return;
  request->transferring = false;
  row->transfer_bytes -= request->kv_bytes;
  row->n_transfers--;
}

void
mf_call_drop_prefill (MfCore *core, MfRequest *request, bool imported)
{
  MfAction action = { .type = MF_ACTION_KV_HANDLE_DROP, .call_id = request->prefill_call_id };

  if (request->prefill_call_id == 0)
    return;
  mf_call_end_transfer (core, request);
  mf_core_emit (core, &action);
  mf_upstream_release_slot (core, request->prefill_upstream, request->prefill_pieces);
  if (!imported)
    {
      mf_cancel_add (core, request->prefill_upstream, request->id, request->prefill_call_id,
                     request->prefill_attempt);
      request->wasted_tokens += request->prompt_tokens + request->delivered;
    }
  request->prefill_call_id = 0;
  request->kv_bytes = 0;
}

void
mf_call_reserve (MfCore *core, MfRequest *request, uint32_t upstream)
{
  mf_call_unreserve (core, request);
  request->reserved = upstream;
  if (upstream != MF_NONE)
    mf_upstream_acquire_slot (core, upstream, request->pieces);
}

void
mf_call_unreserve (MfCore *core, MfRequest *request)
{
  if (request->reserved != MF_NONE)
    mf_upstream_release_slot (core, request->reserved, request->pieces);
  request->reserved = MF_NONE;
}

static MfPoolRow *
window_pool (MfCore *core, const MfRequest *request)
{
  const MfService *service = &mf_request_service (core, request)->config;
  uint32_t pool = service->kind == MF_SERVICE_MODEL ? service->decode_pool : service->plain_pool;

  return &core->board.services.pools[pool];
}

void
mf_call_enter_window (MfCore *core, MfRequest *request, bool slot_reserved)
{
  MfPoolRow *pool = window_pool (core, request);

  request->in_window = true;
  request->in_transit = true;
  pool->n_in_transit++;
  mf_window_acquire (pool, slot_reserved);
}

/* The request has its slot, or has given up waiting for one. */
void
mf_call_end_transit (MfCore *core, MfRequest *request)
{
  if (request->in_transit)
    window_pool (core, request)->n_in_transit--;
  request->in_transit = false;
}

void
mf_call_leave_window (MfCore *core, MfRequest *request)
{
  mf_call_end_transit (core, request);
  if (request->in_window)
    mf_window_release (window_pool (core, request));
  request->in_window = false;
}
