#include "health.h"

#include "cancel.h"
#include "gossip.h"
#include "prefix.h"
#include "queue.h"
#include "suspect_core.h"

#include <stdlib.h>

#define FULL_WEIGHT_PPM 1000000
#define CHECK_PERIOD_US (100 * MF_US_PER_MS)
/* An upstream is dead after this many failed connections in a row, and stalled after this many
 * polls in a row without an answer. */
#define DEAD_AFTER_FAILURES 2
#define STALLED_AFTER_POLLS 3
/* At least BURST_FAILURES_MIN failed calls within FAILURE_WINDOW_US are an error burst if at least
 * half of the calls failed. An error burst ejects the upstream. */
#define FAILURE_WINDOW_US (2 * MF_US_PER_S)
#define BURST_FAILURES_MIN 5
/* Gray failures. An upstream is slow from SLOW_PERCENT of its pool's median, and recovered at
 * RECOVERED_PERCENT of it. */
#define SLOW_PERCENT 160
#define RECOVERED_PERCENT 130
/* Replaces SLOW_PERCENT for prefill engines and plain services, whose rates are noisier than gaps
 * between tokens. */
#define NOISY_SLOW_PERCENT 250
/* An upstream is ejected from this percentage of its pool's median. */
#define EJECT_PERCENT 400
/* Share of new work of a slow upstream. */
#define SLOW_WEIGHT_PPM 150000
/* An upstream whose slowness exceeds the median by less than this is not slow, whatever the
 * percentage. */
#define SLOW_EXCESS_MIN_US (5 * MF_US_PER_MS)
/* At most one in this many upstreams of a pool is ejected. */
#define EJECTED_DIVISOR 3
/* A load report that is this much later than the last sign of leaving, and does not say that the
 * upstream is leaving, means that it stays. */
#define LEAVING_STALE_US (2 * MF_US_PER_S)
/* An upstream without load reports is given work again this long after its last sign of leaving.
 * If it is still leaving, its reply says so. */
#define LEAVING_RETRY_US (30 * MF_US_PER_S)
/* An upstream that was ejected or is dead is due for a probe after this time, which doubles with
 * each ejection up to PROBE_DOUBLINGS_MAX times. */
#define PROBE_FIRST_US (1 * MF_US_PER_S)
#define PROBE_DOUBLINGS_MAX 4
/* Slow start of an upstream that returns to use: its initial weight, and by how much the weight
 * rises at each periodic check. */
#define SLOW_START_PPM 100000
#define SLOW_START_STEP_PPM 30000
#define MEDIAN_MAX MF_POOL_ACTIVE_MAX

static void
start_watching (MfUpstream *row)
{
  row->watched = true;
}

static bool
may_eject (const MfCore *core, const MfUpstream *upstream)
{
  const MfPoolRow *pool = &core->board.services.pools[upstream->pool];
  uint32_t n_out = 0;

  for (uint32_t i = 0; i < pool->n_active; i++)
    n_out += core->board.upstreams[pool->active[i]].health != MF_HEALTH_OK
             && core->board.upstreams[pool->active[i]].health != MF_HEALTH_SLOW;
  return pool->n_usable > 1 && (n_out + 1) * EJECTED_DIVISOR <= pool->n_members + 1;
}

/* Takes an upstream out of use that may have failed, unless too many of its pool are out of use
 * already. */
static void
eject (MfCore *core, uint32_t upstream, MfCode reason)
{
  MfUpstream *row = &core->board.upstreams[upstream];
  uint32_t doublings
      = row->n_ejections < PROBE_DOUBLINGS_MAX ? row->n_ejections : PROBE_DOUBLINGS_MAX;

  if (!row->in_config || row->health > MF_HEALTH_SLOW || !may_eject (core, row))
    return;
  row->n_ejections++;
  row->probe_at_us = core->board.now_us + (PROBE_FIRST_US << doublings);
  start_watching (row);
  mf_upstream_set_health (core, upstream, MF_HEALTH_EJECTED, reason);
}

/* Marks an upstream as dead because its process is gone. Its calls are ended at the end of the
 * step. */
static void
declare_dead (MfCore *core, uint32_t upstream)
{
  MfUpstream *row = &core->board.upstreams[upstream];
  uint32_t doublings
      = row->n_ejections < PROBE_DOUBLINGS_MAX ? row->n_ejections : PROBE_DOUBLINGS_MAX;

  if (row->health == MF_HEALTH_DEAD)
    return;
  row->n_ejections++;
  row->probe_at_us = core->board.now_us + (PROBE_FIRST_US << doublings);
  row->death_pending = true;
  core->board.health->n_died++;
  start_watching (row);
  mf_upstream_set_health (core, upstream, MF_HEALTH_DEAD, MF_CODE_UPSTREAM_DIED);
  mf_gossip_publish (core, MF_GOSSIP_UPSTREAM_DEAD, row->name_hash, row->load.incarnation);
}

/* Returns an upstream to use, with a slow start and without the measurements from before. */
static void
reinstate (MfCore *core, uint32_t upstream)
{
  MfUpstream *row = &core->board.upstreams[upstream];

  row->slow_start_ppm = SLOW_START_PPM;
  row->n_consecutive_failures = 0;
  row->n_window_failures = 0;
  row->n_window_calls = 0;
  row->ejected_by_polls = false;
  row->token_gap_us = 0;
  row->answer_us = 0;
  row->prefill_sum_tokens = 0;
  row->prefill_sum_us = 0;
  row->prefill_tokens_per_s = 0;
  start_watching (row);
  mf_upstream_set_health (core, upstream, MF_HEALTH_OK, MF_CODE_OK);
}

/* Returns the ejected upstreams of a pool to use if it has no usable upstream left. They were
 * ejected on suspicion only, and a pool without upstreams serves nothing. */
void
mf_health_readmit_ejected (MfCore *core, uint32_t pool)
{
  const MfPoolRow *row = &core->board.services.pools[pool];
  uint32_t ejected[MF_POOL_ACTIVE_MAX];
  uint32_t n = 0;

  if (row->n_usable > 0)
    return;
  for (uint32_t i = 0; i < row->n_active; i++)
    {
      if (core->board.upstreams[row->active[i]].health == MF_HEALTH_EJECTED)
        ejected[n++] = row->active[i];
    }
  for (uint32_t i = 0; i < n; i++)
    reinstate (core, ejected[i]);
}

/* Gives no new work to an upstream that says that it is leaving, and publishes that to the other
 * instances. */
static void
note_leaving (MfCore *core, uint32_t upstream)
{
  MfUpstream *row = &core->board.upstreams[upstream];

  row->leaving_at_us = core->board.now_us;
  start_watching (row);
  if (row->health == MF_HEALTH_LEAVING)
    return;
  mf_upstream_set_health (core, upstream, MF_HEALTH_LEAVING, MF_CODE_NO_UPSTREAM);
  mf_gossip_publish (core, MF_GOSSIP_UPSTREAM_LEAVING, row->name_hash, row->load.incarnation);
}

/* Reports the end of a poll for a load report. Polls that fail to connect show a death, polls that
 * time out a stall. An answer returns a dead upstream to use, and one that was ejected because of
 * its polls. */
void
mf_health_note_poll (MfCore *core, uint32_t upstream, const MfEvent *event)
{
  MfUpstream *row = &core->board.upstreams[upstream];

  if (event->type == MF_EVENT_CALL_DONE && event->call.status < 300)
    {
      row->n_consecutive_failures = 0;
      if (row->call_failed)
        mf_suspect_upstream_alive (core, upstream);
      row->call_failed = false;
      if (row->health == MF_HEALTH_DEAD
          || (row->health == MF_HEALTH_EJECTED && row->ejected_by_polls))
        reinstate (core, upstream);
      return;
    }
  row->n_consecutive_failures++;
  if (event->call.connect_failed
      && (row->call_failed || row->n_consecutive_failures >= DEAD_AFTER_FAILURES))
    declare_dead (core, upstream);
  else if (event->call.timed_out && row->n_consecutive_failures >= STALLED_AFTER_POLLS)
    {
      eject (core, upstream, MF_CODE_UPSTREAM_STALLED);
      row->ejected_by_polls = row->health == MF_HEALTH_EJECTED;
    }
}

/* Handles a load report. A new incarnation means that the previous one has died. */
void
mf_health_note_load (MfCore *core, uint32_t upstream, const MfLoadEvent *load)
{
  MfUpstream *row = &core->board.upstreams[upstream];

  if (row->load_at_us != 0 && load->incarnation != row->load.incarnation)
    {
      row->death_pending = true;
      core->board.health->n_died++;
      mf_gossip_publish (core, MF_GOSSIP_UPSTREAM_DEAD, row->name_hash, row->load.incarnation);
      mf_cancel_upstream_restarted (core, upstream);
      if (row->health == MF_HEALTH_LEAVING && !load->leaving)
        reinstate (core, upstream);
    }
  if (load->leaving)
    note_leaving (core, upstream);
  else if (row->health == MF_HEALTH_LEAVING
           && load->measured_us >= row->leaving_at_us + LEAVING_STALE_US)
    reinstate (core, upstream);
}

/* Counts a call in the current failure window, and ejects the upstream on an error burst. */
static void
count_call (MfCore *core, uint32_t upstream, bool failed)
{
  MfUpstream *row = &core->board.upstreams[upstream];

  if (core->board.now_us - row->window_start_us > FAILURE_WINDOW_US)
    {
      row->window_start_us = core->board.now_us;
      row->n_window_calls = 0;
      row->n_window_failures = 0;
    }
  row->n_window_calls++;
  row->n_window_failures += failed;
  if (row->n_window_failures >= BURST_FAILURES_MIN
      && row->n_window_failures * 2 >= row->n_window_calls)
    eject (core, upstream, MF_CODE_UPSTREAM_ERROR);
}

/* Reports the end of a call. After a failure other than a timeout, the upstream is polled at once;
 * if it cannot be connected to, it is dead. */
void
mf_health_note_call (MfCore *core, uint32_t upstream, const MfEvent *event)
{
  MfUpstream *row = &core->board.upstreams[upstream];
  const MfCallEvent *call = &event->call;
  bool failed = event->type == MF_EVENT_CALL_FAILED;

  if (call->leaving)
    {
      note_leaving (core, upstream);
      return;
    }
  if (call->refused)
    return;
  if (!failed)
    {
      row->n_consecutive_failures = 0;
      count_call (core, upstream, call->status >= 500);
      return;
    }
  count_call (core, upstream, true);
  if (call->connect_failed && ++row->n_consecutive_failures >= DEAD_AFTER_FAILURES)
    declare_dead (core, upstream);
  else if (!call->timed_out)
    {
      row->call_failed = true;
      mf_upstream_poll (core, upstream);
    }
}

/* Reports that a call of this instance has made no progress for too long. */
void
mf_health_note_stall (MfCore *core, uint32_t upstream)
{
  eject (core, upstream, MF_CODE_UPSTREAM_STALLED);
}

/* Updates a running mean, where a new sample weighs one in divisor. */
static void
update_mean (uint64_t *value, uint64_t sample, int divisor)
{
  if (*value == 0)
    *value = sample;
  else
    *value = (uint64_t)((int64_t)*value + ((int64_t)sample - (int64_t)*value) / divisor);
}

/* Reports a time between two tokens of a stream. */
void
mf_health_note_gap (MfCore *core, uint32_t upstream, uint64_t gap_us)
{
  MfUpstream *row = &core->board.upstreams[upstream];

  update_mean (&row->token_gap_us, gap_us, 64);
  update_mean (&core->board.services.pools[row->pool].token_gap_us, gap_us, 256);
}

static uint64_t
rate_per_s (uint64_t n, uint64_t taken_us)
{
  return (uint64_t)((double)n * (double)MF_US_PER_S / (double)taken_us);
}

/* Reports a prefill that took taken_us. n_tokens includes the tokens that were queued at the engine
 * before it. */
void
mf_health_note_prefill (MfCore *core, uint32_t upstream, uint64_t n_tokens, uint64_t taken_us)
{
  MfUpstream *row = &core->board.upstreams[upstream];

  row->prefill_sum_tokens += n_tokens - row->prefill_sum_tokens / 16;
  row->prefill_sum_us += taken_us - row->prefill_sum_us / 16;
  if (row->prefill_sum_us > 0)
    row->prefill_tokens_per_s = rate_per_s (row->prefill_sum_tokens, row->prefill_sum_us) + 1;
}

/* Reports that the upstream's link has transferred a KV. */
void
mf_health_note_transfer (MfCore *core, uint32_t upstream, uint64_t n_bytes, uint64_t taken_us)
{
  MfUpstream *row = &core->board.upstreams[upstream];

  row->transfer_progress_us = core->board.now_us;
  row->link_sum_bytes += n_bytes - row->link_sum_bytes / 16;
  row->link_sum_us += taken_us - row->link_sum_us / 16;
  if (row->link_sum_us > 0 && row->link_sum_bytes > 0)
    row->link_bytes_per_s = rate_per_s (row->link_sum_bytes, row->link_sum_us);
}

/* Reports that the KV transfers on the upstream's link make no progress. */
void
mf_health_note_transfer_stall (MfCore *core, uint32_t upstream)
{
  eject (core, upstream, MF_CODE_UPSTREAM_STALLED);
}

/* Reports the time to the answer of a plain call. */
void
mf_health_note_answer (MfCore *core, uint32_t upstream, uint64_t answer_us)
{
  update_mean (&core->board.upstreams[upstream].answer_us, answer_us, 16);
}

/* Returns the upstream's share of full weight for new work, in parts per million. */
uint32_t
mf_health_weight_ppm (const MfCore *core, uint32_t upstream)
{
  const MfUpstream *row = &core->board.upstreams[upstream];

  if (row->health == MF_HEALTH_SLOW)
    return SLOW_WEIGHT_PPM < row->slow_start_ppm ? SLOW_WEIGHT_PPM : row->slow_start_ppm;
  return row->slow_start_ppm;
}

/* Returns how slow the upstream is, 0 if unknown: microseconds between two tokens (decode), to the
 * answer (plain), or for the prefill of 10,000 tokens. */
static uint64_t
slowness (const MfUpstream *row)
{
  if (row->role == MF_ROLE_DECODE)
    return row->token_gap_us;
  if (row->role == MF_ROLE_PLAIN)
    return row->answer_us;
  return row->prefill_tokens_per_s > 0 ? UINT64_C (10000000000) / row->prefill_tokens_per_s : 0;
}

static int
compare_u64 (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? -1 : x > y;
}

/* Returns the lower median of the slowness of a pool's usable upstreams; 0 if fewer than three of
 * them have one, which is too few to compare with. */
static uint64_t
pool_median (const MfCore *core, const MfPoolRow *pool)
{
  uint64_t values[MEDIAN_MAX];
  uint32_t n = 0;

  for (uint32_t i = 0; i < pool->n_active; i++)
    {
      const MfUpstream *row = &core->board.upstreams[pool->active[i]];

      if (mf_upstream_is_usable (row) && slowness (row) > 0)
        values[n++] = slowness (row);
    }
  if (n < 3)
    return 0;
  qsort (values, n, sizeof values[0], compare_u64);
  return values[(n - 1) / 2];
}

/* Compares an upstream's slowness with its pool's median, and changes its health to slow, ejected
 * or ok accordingly. */
static void
check_speed (MfCore *core, uint32_t upstream, uint64_t median)
{
  MfUpstream *row = &core->board.upstreams[upstream];
  uint64_t percent = slowness (row) * 100 / median;

  if (slowness (row) == 0 || slowness (row) < median + SLOW_EXCESS_MIN_US)
    percent = 100;
  if (row->health <= MF_HEALTH_SLOW && percent >= EJECT_PERCENT)
    eject (core, upstream, MF_CODE_UPSTREAM_STALLED);
  else if (row->health == MF_HEALTH_OK
           && percent >= (row->role == MF_ROLE_DECODE ? SLOW_PERCENT : NOISY_SLOW_PERCENT))
    mf_upstream_set_health (core, upstream, MF_HEALTH_SLOW, MF_CODE_UPSTREAM_STALLED);
  else if (row->health == MF_HEALTH_SLOW && percent <= RECOVERED_PERCENT)
    mf_upstream_set_health (core, upstream, MF_HEALTH_OK, MF_CODE_OK);
}

/* Raises the weight of an upstream in slow start, and returns one that is out of use when it is due
 * for a probe. */
static void
check_upstream (MfCore *core, uint32_t upstream)
{
  MfUpstream *row = &core->board.upstreams[upstream];
  bool polled = row->role != MF_ROLE_PLAIN;

  if (row->health <= MF_HEALTH_SLOW)
    {
      row->slow_start_ppm += SLOW_START_STEP_PPM;
      if (row->slow_start_ppm >= FULL_WEIGHT_PPM)
        {
          row->slow_start_ppm = FULL_WEIGHT_PPM;
          row->watched = false;
        }
    }
  else if (row->health == MF_HEALTH_LEAVING)
    {
      if (!polled && core->board.now_us >= row->leaving_at_us + LEAVING_RETRY_US)
        reinstate (core, upstream);
    }
  else if (core->board.now_us >= row->probe_at_us && (!polled || row->health == MF_HEALTH_EJECTED))
    reinstate (core, upstream);
}

static void
check_all (MfCore *core)
{
  MfServices *services = &core->board.services;

  for (uint32_t i = 0; i < services->n_pools; i++)
    {
      MfPoolRow *pool = &services->pools[i];
      uint32_t active[MF_POOL_ACTIVE_MAX];
      uint32_t n_active = pool->n_active;
      uint64_t median = pool_median (core, pool);

      for (uint32_t j = 0; j < n_active; j++)
        active[j] = pool->active[j];
      for (uint32_t j = 0; j < n_active; j++)
        {
          if (core->board.upstreams[active[j]].watched)
            check_upstream (core, active[j]);
          if (median > 0)
            check_speed (core, active[j], median);
        }
    }
}

/* Ends the calls on upstreams that were found dead in this step. */
static void
handle_deaths (MfCore *core)
{
  core->board.health->n_died = 0;
  for (uint32_t i = 0; i < core->board.n_upstreams; i++)
    {
      MfUpstream *row = &core->board.upstreams[i];

      if (!row->death_pending)
        continue;
      row->death_pending = false;
      row->call_failed = false;
      mf_prefix_clear (core, i);
      mf_request_upstream_died (core, i);
      mf_suspect_upstream_crashed (core, i);
    }
}

static void
health_tick (MfCore *core)
{
  MfHealthState *health = core->board.health;

  if (health->n_died > 0)
    handle_deaths (core);
  if (core->board.now_us >= health->next_check_us)
    {
      health->next_check_us = core->board.now_us + CHECK_PERIOD_US;
      check_all (core);
    }
  mf_core_wake_at (core, health->next_check_us);
}

static bool
health_init (MfCore *core, MfError *error)
{
  core->board.health = calloc (1, sizeof *core->board.health);
  if (core->board.health == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while creating the health state");
  return core->board.health != NULL;
}

static void
health_finish (MfCore *core)
{
  free (core->board.health);
}

const MfController mf_health_controller = {
  .name = "health",
  .init = health_init,
  .finish = health_finish,
  .tick = health_tick,
};
