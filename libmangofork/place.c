#include "health.h"
#include "policy.h"
#include "prefix.h"
#include "queue.h"
#include "retry.h"
#include "share.h"
#include "window.h"

/* Up to this many upstreams are all looked at; of more, this many are drawn. */
#define SAMPLE_MAX 8
#define FULL_WEIGHT_PPM 1000000
/* Assumed until observed. */
#define PREFILL_RATE_DEFAULT_TOKENS_PER_S 50000
#define KV_LIFE_DEFAULT_US (500 * MF_US_PER_MS)
/* Work is kept in our own queue, where it can be reordered, rather than in an engine's. */
#define PREFILL_WAIT_MAX_US (150 * MF_US_PER_MS)
/* Slots free beyond one in this many, and beyond a few that other instances may take before a
 * report shows it, are to spare. */
#define SPARE_DIVISOR 20
#define SPARE_MIN 2
/* The same for requests that are late already. */
#define LATE_SPARE_DIVISOR 7
/* The time a KV is planned to wait for its slot. */
#define DECODE_WAIT_PLANNED_US (100 * MF_US_PER_MS)
/* Reads may take so many times this instance's share of an upstream. */
#define READ_SHARE_FACTOR 3

/* The upstreams of a pool that one decision looks at. */
typedef struct
{
  uint32_t rows[SAMPLE_MAX];
  uint32_t n_rows;
} Sample;

/* Draws candidates without looking at the whole pool. */
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

/* Whether a suspect may run there: alone among suspects. */
static bool
allows_suspect (const MfUpstream *row, const MfRequest *request)
{
  return !request->suspect || row->suspects == 0;
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

/* The least loaded of a few decode engines with room, by the share of its slots in use. */
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

/* Predicted time from now to the first token when the prompt is prefilled there; UINT64_MAX when it
 * may not be, or when its KV would not be taken up within its life. */
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

/* Remembers the second best prefill engine, so that a placement can be explained. */
static void
note_alternative (MfRequest *request, uint32_t upstream, uint64_t predicted_us)
{
  if (upstream == MF_NONE || (request->runner_up_us != 0 && request->runner_up_us <= predicted_us))
    return;
  request->runner_up = upstream;
  request->runner_up_us = predicted_us;
}

/* The prefill engine with the least predicted time to the first token, that would begin soon. */
static uint32_t
place_prefill (MfCore *core, MfRequest *request, uint64_t *ttft_us)
{
  uint32_t pool = mf_request_service (core, request)->config.prefill_pool;
  uint64_t best_us = UINT64_MAX;
  uint32_t best = MF_NONE;
  Sample sample;

  request->runner_up_us = 0;
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

/* Decode slots of the pool that are free by the reports, less those that requests of ours are on
 * the way to. Judged by a sample when the pool is large. */
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
  return n_free - row->n_coming;
}

/* Time from placement to the first token when nothing waits, by the pool's usual rates. */
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

/* Whether one more request may be on its way to a pool that is nearly full: within the window, and
 * not while a KV of ours already waits there. */
static bool
may_start (const MfCore *core, const MfPoolRow *pool)
{
  return mf_queue_transfer_wait_us (core) <= DECODE_WAIT_PLANNED_US / 2 && mf_window_allows (pool);
}

/* Whether there is room to spare, that requests in time will not need soon. */
static bool
has_spare (MfCore *core, const MfRequest *request)
{
  const MfService *service = &mf_request_service (core, request)->config;
  int64_t n_slots;
  int64_t n_free;

  if (service->kind == MF_SERVICE_PLAIN)
    return true;
  n_free = free_slots (core, service->decode_pool, &n_slots);
  return n_free > n_slots / LATE_SPARE_DIVISOR + SPARE_MIN;
}

/* Decode room first; only then is a prefill spent. While the pool has slots to spare, the engines
 * are chosen together and the slot is kept. When it is nearly full, requests start towards slots
 * that are about to be free; the KV's life is what they may wait. */
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

/* Reads pass the window and the share, up to what an upstream holds: the answers they slow down
 * narrow the windows of all instances, and so make orders give way. */
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

/* The upstream with the least own work and the fastest answers. */
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
  .has_spare = has_spare,
  .place_plain = place_plain,
  .may_retry = mf_retry_may,
  .unloaded_us = unloaded_us,
};
