#include "series.h"

#include "cancel.h"
#include "queue.h"

#include <stdlib.h>

/* Points kept of each kind. */
#define POINTS_MAX 240

/* The points of one kind; the newest overwrites the oldest. */
typedef struct
{
  MfSeriesPoint points[POINTS_MAX];
  uint32_t n;
  uint32_t next;
  uint64_t start_us;
  MfCounters start_counters; /* at start_us, when the current interval started */
} Ring;

struct MfSeries
{
  Ring rings[MF_SERIES_COUNT];
};

static const uint64_t lengths_us[MF_SERIES_COUNT] = {
  [MF_SERIES_FINE] = 2 * MF_US_PER_S,
  [MF_SERIES_COARSE] = 60 * MF_US_PER_S,
};

uint64_t
mf_series_length_us (MfSeriesKind kind)
{
  return lengths_us[kind];
}

/* Sums the slots of the upstreams that this instance uses, a bounded number per pool. */
static void
point_slots (const MfCore *core, MfSeriesPoint *point)
{
  const MfServices *services = &core->board.services;

  for (uint32_t i = 0; i < services->n_pools; i++)
    {
      const MfPoolRow *pool = &services->pools[i];

      for (uint32_t k = 0; pool->in_config && k < pool->n_active; k++)
        {
          const MfUpstream *upstream = &core->board.upstreams[pool->active[k]];

          point->slots_used[pool->role] += mf_upstream_slots_used (upstream);
          point->slots[pool->role] += mf_upstream_slots (upstream);
        }
    }
}

static void
ring_add_point (MfCore *core, Ring *ring)
{
  const MfCounters *now = &core->board.counters;
  MfSeriesPoint *point = &ring->points[ring->next];

  *point = (MfSeriesPoint){
    .end_us = core->board.now_us,
    .length_us = core->board.now_us - ring->start_us,
    .queued = mf_queue_length (core),
    .in_flight = mf_request_count (core),
    .cancels = mf_cancel_count (core),
  };
  for (uint32_t i = 0; i < MF_COUNTER_COUNT; i++)
    point->counters[i] = now->values[i] - ring->start_counters.values[i];
  for (uint32_t i = 0; i < MF_CODES_MAX; i++)
    point->by_code[i] = (uint32_t)(now->by_code[i] - ring->start_counters.by_code[i]);
  point_slots (core, point);
  ring->start_counters = *now;
  ring->start_us = core->board.now_us;
  ring->next = (ring->next + 1) % POINTS_MAX;
  if (ring->n < POINTS_MAX)
    ring->n++;
}

void
mf_series_foreach (const MfCore *core, MfSeriesKind kind, MfSeriesFunc func, void *data)
{
  const Ring *ring = &core->board.series->rings[kind];

  for (uint32_t i = 0; i < ring->n; i++)
    func (&ring->points[(ring->next + POINTS_MAX - ring->n + i) % POINTS_MAX], data);
}

static bool
series_init (MfCore *core, MfError *error)
{
  core->board.series = calloc (1, sizeof *core->board.series);
  if (core->board.series == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the series");
      return false;
    }
  for (uint32_t i = 0; i < MF_SERIES_COUNT; i++)
    core->board.series->rings[i].start_us = core->board.now_us;
  return true;
}

static void
series_finish (MfCore *core)
{
  free (core->board.series);
}

static void
series_tick (MfCore *core)
{
  for (uint32_t i = 0; i < MF_SERIES_COUNT; i++)
    {
      Ring *ring = &core->board.series->rings[i];

      if (core->board.now_us - ring->start_us >= lengths_us[i])
        ring_add_point (core, ring);
      mf_core_wake_at (core, ring->start_us + lengths_us[i]);
    }
}

const MfController mf_series_controller = {
  .name = "series",
  .init = series_init,
  .finish = series_finish,
  .tick = series_tick,
};
