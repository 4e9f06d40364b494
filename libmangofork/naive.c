#include "policy.h"

/* Retries with a fixed delay, as a simple client library makes them. */
#define RETRIES_MAX 3
#define RETRY_DELAY_US (100 * MF_US_PER_MS)

/* Returns the next upstream of a pool in round-robin order, whatever its health. */
static uint32_t
next_round_robin (MfCore *core, uint32_t pool)
{
  MfPoolRow *row = &core->board.services.pools[pool];

  if (row->n_members == 0)
    return MF_NONE;
  return row->members[row->next_member++ % row->n_members];
}

static MfPlaceResult
place_model (MfCore *core, MfRequest *request, MfPlacement *placement)
{
  placement->prefill
      = next_round_robin (core, mf_request_service (core, request)->config.prefill_pool);
  placement->decode = MF_NONE;
  placement->ttft_us = MF_US_PER_S;
  return placement->prefill == MF_NONE ? MF_PLACE_WAIT : MF_PLACE_FOUND;
}

/* Offers the KV to RETRIES_MAX engines in round-robin order; then it is discarded. */
static uint32_t
place_decode (MfCore *core, MfRequest *request)
{
  if (request->n_refused >= RETRIES_MAX)
    return MF_NONE;
  return next_round_robin (core, mf_request_service (core, request)->config.decode_pool);
}

static bool
has_spare_slots (MfCore *core, const MfRequest *request)
{
  (void)core;
  (void)request;
  return true;
}

static uint32_t
place_plain (MfCore *core, MfRequest *request)
{
  return next_round_robin (core, mf_request_service (core, request)->config.plain_pool);
}

static bool
may_retry (MfCore *core, MfRequest *request, uint64_t *delay_us)
{
  (void)core;
  *delay_us = RETRY_DELAY_US;
  return request->n_retries < RETRIES_MAX;
}

static uint64_t
unloaded_us (const MfCore *core, const MfRequest *request)
{
  (void)core;
  (void)request;
  return 0;
}

const MfPolicy mf_naive_policy = {
  .name = "naive",
  .place_model = place_model,
  .place_decode = place_decode,
  .has_spare_slots = has_spare_slots,
  .place_plain = place_plain,
  .may_retry = may_retry,
  .unloaded_us = unloaded_us,
};
