#include "health.h"
#include "policy.h"
#include "prefix.h"
#include "queue.h"
#include "retry.h"
#include "share.h"
#include "window.h"

/* Upstreams that one decision examines at most; of a larger pool this many are sampled. */
#define SAMPLE_MAX 8
/* Weight of an upstream in full health. */
#define FULL_WEIGHT_PPM 1000000
/* Used until a value has been observed. */
#define PREFILL_RATE_DEFAULT_TOKENS_PER_S 50000
#define KV_LIFE_DEFAULT_US (500 * MF_US_PER_MS)
/* A prefill engine with a longer queue than this gets no request. Work waits in this instance's
 * queue instead, where it can still be reordered. */
#define PREFILL_WAIT_MAX_US (150 * MF_US_PER_MS)
/* A decode slot is reserved at placement only while more than 1/SPARE_DIVISOR of the pool's slots
 * plus SPARE_MIN are free. The margin is for slots that other instances take before a load report
 * shows it. */
#define SPARE_DIVISOR 20
#define SPARE_MIN 2
/* The margin for late requests. */
#define LATE_SPARE_DIVISOR 7
/* Time that a KV may wait for a decode slot. No further prefill is started for a nearly full pool
 * once a KV has waited for half of it. */
#define DECODE_WAIT_PLANNED_US (100 * MF_US_PER_MS)
/* Requests of class read may use this many times this instance's share of an upstream's slots. */
#define READ_SHARE_FACTOR 3

/* The upstreams of a pool that one decision examines. */
typedef struct
{
  uint32_t rows[SAMPLE_MAX];
  uint32_t n_rows;
} Sample;

/* Samples candidates without a scan of the whole pool: evenly spaced ones from a random start. */
static void
sample_pool (MfCore *core, uint32_t pool, Sample *sample)
{
  const MfPoolRow *row = &core->board.services.pools[pool];
  uint32_t n = row->n_active;
  uint32_t from;

  sample->n_rows = n < SAMPLE_MAX ? n : SAMPLE_MAX;
  if (n == 0)
    return;
  from = (uint32_t)mf_core_random_below (core, n);
  for (uint32_t i = 0; i < sample->n_rows; i++)
    sample->rows[i] = row->active[(from + i * (n / sample->n_rows)) % n];
}

static uint64_t
prefill_rate (const MfUpstream *row)
{
  return row->prefill_tokens_per_s > 0 ? row->prefill_tokens_per_s
                                       : PREFILL_RATE_DEFAULT_TOKENS_PER_S;
}

static uint64_t
link_rate (const MfUpstream *row)
{
  if (row->link_bytes_per_s > 0)
    return row->link_bytes_per_s;
  return row->config.link_bytes_per_s > 0 ? row->config.link_bytes_per_s : UINT64_C (10000000000);
}

static uint64_t
ratio_us (uint64_t n, uint64_t per_s)
{
  return (uint64_t)((double)n * (double)MF_US_PER_S / (double)per_s);
}

static uint64_t
kv_bytes (const MfCore *core, const MfRequest *request)
{
  return mf_request_service (core, request)->config.kv_token_bytes
         * (request->prompt_tokens + request->delivered);
}

static uint64_t
transfer_us (const MfCore *core, const MfUpstream *row, const MfRequest *request)
{
  return ratio_us (kv_bytes (core, request) + row->transfer_bytes, link_rate (row));
}

/* Returns whether the upstream may run the request. A suspect runs only where no other suspect
 * runs. */
static bool
allows_suspect (const MfUpstream *row, const MfRequest *request)
{
  return !request->suspect || row->n_suspects == 0;
}

static bool
has_pieces (const MfUpstream *row, uint32_t pieces)
{
  uint32_t total = row->load.pieces_total > 0 ? row->load.pieces_total : row->config.pieces;
  uint32_t pieces_per_slot = row->own_slots > 0 ? row->own_pieces / row->own_slots : pieces;
  int64_t free_now = total - row->own_pieces;

  if (row->load_at_us > 0)
    {
      int64_t reported
          = (int64_t)row->load.pieces_free - (int64_t)row->own_since_report * pieces_per_slot;

      if (reported < free_now)
        free_now = reported;
    }
  return total == 0 || free_now >= (int64_t)pieces;
}

static bool
can_decode (const MfCore *core, const MfRequest *request, uint32_t upstream)
{
  const MfUpstream *row = &core->board.upstreams[upstream];
  uint32_t used = mf_upstream_slots_used (row);

  return mf_upstream_is_usable (row) && row->role == MF_ROLE_DECODE
         && row->full_until_us <= core->board.now_us && used < mf_upstream_slots (row)
         && has_pieces (row, request->pieces) && allows_suspect (row, request);
}

/* Returns the sampled decode engine with capacity that has the lowest share of its slots in use,
 * weighted by health; MF_NONE if there is none. */
static uint32_t
place_decode (MfCore *core, MfRequest *request)
{
  uint32_t pool = mf_request_service (core, request)->config.decode_pool;
  uint64_t best_load = UINT64_MAX;
  uint32_t best = MF_NONE;
  Sample sample;

  sample_pool (core, pool, &sample);
  for (uint32_t i = 0; i < sample.n_rows; i++)
    {
      uint32_t upstream = sample.rows[i];
      const MfUpstream *row = &core->board.upstreams[upstream];
      uint64_t load;

      if (!can_decode (core, request, upstream))
        continue;
      load = (uint64_t)(mf_upstream_slots_used (row) + 1) * FULL_WEIGHT_PPM
             / mf_upstream_slots (row) * FULL_WEIGHT_PPM
             / (mf_health_weight_ppm (core, upstream) + 1);
      if (upstream == request->last_upstream)
        load *= 2;
      if (load < best_load)
        {
          best_load = load;
          best = upstream;
        }
    }
  return best;
}

/* Returns the predicted time from now to the first token if the prompt is prefilled at the
 * upstream. Returns UINT64_MAX if it cannot be placed there, or if the transfers already on the
 * upstream's link would take more than half of a KV's lifetime, so that its own KV might expire. */
static uint64_t
predict_us (const MfCore *core, const MfRequest *request, uint32_t upstream, uint64_t *wait_us,
            uint32_t *cached)
{
  const MfUpstream *row = &core->board.upstreams[upstream];
  uint32_t tokens = request->prompt_tokens + request->delivered;
  uint64_t life_us = row->kv_life_us > 0 ? row->kv_life_us : KV_LIFE_DEFAULT_US;
  uint64_t link_us = transfer_us (core, row, request);

  *wait_us = UINT64_MAX;
  if (!mf_upstream_is_usable (row) || row->role != MF_ROLE_PREFILL
      || row->full_until_us > core->board.now_us || !allows_suspect (row, request)
      || !has_pieces (row, tokens / MF_PIECE_TOKENS + 1)
      || ratio_us (row->transfer_bytes, link_rate (row)) > life_us / 2)
    return UINT64_MAX;
  *cached = mf_prefix_cached_tokens (core, upstream, request);
  if (*cached >= tokens)
    *cached = tokens - 1;
  *wait_us = ratio_us (mf_upstream_prefill_queue (row), prefill_rate (row));
  return *wait_us + ratio_us (tokens - *cached, prefill_rate (row)) + link_us
         + mf_request_service (core, request)->config.tbt_target_us;
}

/* Records the second best prefill engine, which mangofork explain shows. */
static void
note_alternative (MfRequest *request, uint32_t upstream, uint64_t predicted_us)
{
  if (upstream == MF_NONE
      || (request->alternative_us != 0 && request->alternative_us <= predicted_us))
    return;
  request->alternative = upstream;
  request->alternative_us = predicted_us;
}

/* Returns the sampled prefill engine with the lowest predicted time to the first token, weighted by
 * health, among those that would begin within PREFILL_WAIT_MAX_US; MF_NONE if there is none. */
static uint32_t
place_prefill (MfCore *core, MfRequest *request, uint64_t *ttft_us)
{
  uint32_t pool = mf_request_service (core, request)->config.prefill_pool;
  uint64_t best_us = UINT64_MAX;
  uint32_t best = MF_NONE;
  Sample sample;

  request->alternative_us = 0;
  sample_pool (core, pool, &sample);
  for (uint32_t i = 0; i < sample.n_rows; i++)
    {
      uint32_t upstream = sample.rows[i];
      uint32_t cached = 0;
      uint64_t wait_us;
      uint64_t predicted_us = predict_us (core, request, upstream, &wait_us, &cached);

      if (predicted_us == UINT64_MAX || wait_us > PREFILL_WAIT_MAX_US)
        continue;
      predicted_us = predicted_us * FULL_WEIGHT_PPM / (mf_health_weight_ppm (core, upstream) + 1);
      if (upstream == request->last_upstream)
        predicted_us *= 2;
      if (predicted_us < best_us)
        {
          note_alternative (request, best, best_us);
          best_us = predicted_us;
          best = upstream;
          request->cached_tokens = cached;
        }
      else
        note_alternative (request, upstream, predicted_us);
    }
  *ttft_us = best_us;
  return best;
}

/* Returns the free decode slots of the pool by the load reports, less those for which own requests
 * are in transit. Extrapolated from a sample if the pool is large. */
static int64_t
free_slots (MfCore *core, uint32_t pool, int64_t *n_slots)
{
  const MfPoolRow *row = &core->board.services.pools[pool];
  int64_t n_free = 0;
  Sample sample;

  *n_slots = 0;
  sample_pool (core, pool, &sample);
  for (uint32_t i = 0; i < sample.n_rows; i++)
    {
      const MfUpstream *upstream = &core->board.upstreams[sample.rows[i]];

      if (!mf_upstream_is_usable (upstream))
        continue;
      *n_slots += mf_upstream_slots (upstream);
      n_free += (int64_t)mf_upstream_slots (upstream) - mf_upstream_slots_used (upstream);
    }
  if (sample.n_rows > 0)
    {
      n_free = n_free * row->n_active / sample.n_rows;
      *n_slots = *n_slots * row->n_active / sample.n_rows;
    }
  return n_free - row->n_in_transit;
}

/* Returns the time from placement to the first token without queueing, at the rates of the pool's
 * first active engine. */
static uint64_t
unloaded_us (const MfCore *core, const MfRequest *request)
{
  const MfService *service = &mf_request_service (core, request)->config;
  const MfPoolRow *pool;
  const MfUpstream *row;

  if (service->kind == MF_SERVICE_PLAIN)
    return mf_request_service (core, request)->answer_us;
  pool = &core->board.services.pools[service->prefill_pool];
  if (pool->n_active == 0)
    return 0;
  row = &core->board.upstreams[pool->active[0]];
  return ratio_us (request->prompt_tokens + request->delivered, prefill_rate (row))
         + ratio_us (kv_bytes (core, request), link_rate (row)) + 2 * service->tbt_target_us;
}

/* Returns whether one more request may start for a decode pool that is nearly full: the window must
 * allow it, and no own KV may be waiting for long. */
static bool
may_start (const MfCore *core, const MfPoolRow *pool)
{
  return mf_queue_transfer_wait_us (core) <= DECODE_WAIT_PLANNED_US / 2 && mf_window_allows (pool);
}

/* Returns whether the pool has free slots that requests still on time will not need soon. */
static bool
has_spare_slots (MfCore *core, const MfRequest *request)
{
  const MfService *service = &mf_request_service (core, request)->config;
  int64_t n_slots;
  int64_t n_free;

  if (service->kind == MF_SERVICE_PLAIN)
    return true;
  n_free = free_slots (core, service->decode_pool, &n_slots);
  return n_free > n_slots / LATE_SPARE_DIVISOR + SPARE_MIN;
}

/* Checks for decode capacity before a prefill is spent. While the pool has spare slots, both
 * engines are chosen together and the decode slot is reserved. When the pool is nearly full,
 * prefills start before a slot is free, and the KV's lifetime limits how long they may wait for
 * one. */
static MfPlaceResult
place_model (MfCore *core, MfRequest *request, MfPlacement *placement)
{
  uint32_t pool = mf_request_service (core, request)->config.decode_pool;
  int64_t n_slots;
  int64_t n_free = free_slots (core, pool, &n_slots);

  if (n_free > n_slots / SPARE_DIVISOR + SPARE_MIN)
    placement->decode = place_decode (core, request);
  if (placement->decode == MF_NONE && !may_start (core, &core->board.services.pools[pool]))
    return MF_PLACE_WAIT;
  placement->prefill = place_prefill (core, request, &placement->ttft_us);
  return placement->prefill == MF_NONE ? MF_PLACE_WAIT : MF_PLACE_FOUND;
}

/* Returns how many slots of the upstream a plain request may use. Reads may exceed the window and
 * the share, up to the upstream's slots: the answers that they slow down narrow the windows of all
 * instances, so that orders give way to reads. */
static uint32_t
plain_slots (const MfCore *core, const MfRequest *request, uint32_t upstream)
{
  const MfUpstream *row = &core->board.upstreams[upstream];
  uint32_t share = mf_share_limit (core, upstream);

  if (request->class_ != MF_CLASS_READ)
    return share;
  return share * READ_SHARE_FACTOR < mf_upstream_slots (row) ? share * READ_SHARE_FACTOR
                                                             : mf_upstream_slots (row);
}

/* Returns the sampled upstream with the lowest product of own calls and answer time, weighted by
 * health; MF_NONE if there is none. */
static uint32_t
place_plain (MfCore *core, MfRequest *request)
{
  uint32_t pool = mf_request_service (core, request)->config.plain_pool;
  uint64_t best_load = UINT64_MAX;
  uint32_t best = MF_NONE;
  Sample sample;

  if (request->class_ != MF_CLASS_READ && !mf_window_allows (&core->board.services.pools[pool]))
    return MF_NONE;
  sample_pool (core, pool, &sample);
  for (uint32_t i = 0; i < sample.n_rows; i++)
    {
      uint32_t upstream = sample.rows[i];
      const MfUpstream *row = &core->board.upstreams[upstream];
      uint64_t load;

      if (!mf_upstream_is_usable (row) || !allows_suspect (row, request)
          || row->own_slots >= plain_slots (core, request, upstream))
        continue;
      load = (uint64_t)(row->own_slots + 1) * (row->answer_us + MF_US_PER_MS) * 1000
             / (mf_health_weight_ppm (core, upstream) / 1000 + 1);
      if (upstream == request->last_upstream)
        load *= 4;
      if (load < best_load)
        {
          best_load = load;
          best = upstream;
        }
    }
  return best;
}

const MfPolicy mf_place_policy = {
  .name = "place",
  .queues = true,
  .resumes = true,
  .hedges = true,
  .isolates = true,
  .place_model = place_model,
  .place_decode = place_decode,
  .has_spare_slots = has_spare_slots,
  .place_plain = place_plain,
  .may_retry = mf_retry_may,
  .unloaded_us = unloaded_us,
};
