#include "upstream.h"

#include "cancel.h"
#include "health.h"
#include "prefix.h"
#include "queue.h"
#include "window.h"

#include <xxhash.h>
#include <stdlib.h>
#include <string.h>

/* Limit of running polls for load reports, and least time between two starts. */
#define POLLS_MAX 64
#define POLL_GAP_MIN_US (3 * MF_US_PER_MS)
#define POLL_TIMEOUT_US (400 * MF_US_PER_MS)
/* Time between polls of an upstream that is given no work. */
#define POLL_UNUSABLE_PERIOD_US (500 * MF_US_PER_MS)

uint64_t
mf_hash_name (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

const char *
mf_health_name (MfHealth health)
{
  static const char *const names[MF_HEALTH_COUNT] = {
    [MF_HEALTH_OK] = "ok",     [MF_HEALTH_SLOW] = "slow",       [MF_HEALTH_EJECTED] = "ejected",
    [MF_HEALTH_DEAD] = "dead", [MF_HEALTH_LEAVING] = "leaving",
  };

  return health < MF_HEALTH_COUNT ? names[health] : "none";
}

/* Returns whether the upstream may be given new work. */
bool
mf_upstream_is_usable (const MfUpstream *upstream)
{
  return upstream->in_config && upstream->health <= MF_HEALTH_SLOW && !upstream->on_hold;
}

/* Returns the number of slots: that of the last load report, or the configured one before the
 * first. */
uint32_t
mf_upstream_slots (const MfUpstream *upstream)
{
  return upstream->load.slots_total > 0 ? upstream->load.slots_total : upstream->config.slots;
}

/* Returns an estimate of the slots in use: that of the last load report, corrected by this
 * instance's own placements and ends since it was measured. */
uint32_t
mf_upstream_slots_used (const MfUpstream *upstream)
{
  int64_t used = (int64_t)upstream->load.slots_used + upstream->own_since_report;

  return used > (int64_t)upstream->own_slots ? (uint32_t)used : upstream->own_slots;
}

/* Returns an estimate of the tokens that wait for prefill: that of the last load report, corrected
 * by this instance's own prefills since. */
uint64_t
mf_upstream_prefill_queue (const MfUpstream *upstream)
{
  int64_t since = (int64_t)upstream->own_prefill_tokens - (int64_t)upstream->own_prefill_at_report;
  int64_t queued = (int64_t)upstream->load.prefill_tokens_queued + since;

  return queued > (int64_t)upstream->own_prefill_tokens ? (uint64_t)queued
                                                        : upstream->own_prefill_tokens;
}

static void
note_change (MfUpstream *upstream, uint64_t now_us, int sign)
{
  upstream->own_changes_us[upstream->n_own_changes++ % MF_OWN_CHANGES_MAX] = sign * (int64_t)now_us;
  upstream->own_since_report += sign;
}

/* Counts a placement by this instance. */
void
mf_upstream_acquire_slot (MfCore *core, uint32_t upstream, uint32_t pieces)
{
  MfUpstream *row = &core->board.upstreams[upstream];

  row->own_slots++;
  row->own_pieces += pieces;
  note_change (row, core->board.now_us, 1);
}

/* Counts the end of a placement by this instance. */
void
mf_upstream_release_slot (MfCore *core, uint32_t upstream, uint32_t pieces)
{
  MfUpstream *row = &core->board.upstreams[upstream];

  row->own_slots--;
  row->own_pieces -= pieces;
  row->full_until_us = 0;
  note_change (row, core->board.now_us, -1);
  mf_queue_schedule_pass (core);
}

/* Returns the own placements less ends that a report measured at measured_us cannot include. */
static int32_t
changes_since (const MfUpstream *upstream, uint64_t measured_us)
{
  uint32_t n
      = upstream->n_own_changes < MF_OWN_CHANGES_MAX ? upstream->n_own_changes : MF_OWN_CHANGES_MAX;
  int32_t net = 0;

  for (uint32_t i = 1; i <= n; i++)
    {
      int64_t at_us = upstream->own_changes_us[(upstream->n_own_changes - i) % MF_OWN_CHANGES_MAX];
      int sign = at_us < 0 ? -1 : 1;

      if ((uint64_t)(at_us * sign) < measured_us)
        break;
      net += sign;
    }
  return net;
}

typedef struct
{
  uint64_t weight;
  uint32_t row;
} Ranked;

static int
ranked_compare (const void *a, const void *b)
{
  uint64_t x = ((const Ranked *)a)->weight;
  uint64_t y = ((const Ranked *)b)->weight;

  return x < y ? -1 : x > y;
}

/* Sorts the members of a pool by a rendezvous hash of this instance's name and theirs, so that the
 * instances of a large fleet use different subsets and a change of members affects few of them. */
static void
rank_members (MfCore *core, MfPoolRow *pool)
{
  uint64_t self = mf_hash_name (core->board.options.self.name);
  Ranked *ranked = calloc (pool->n_members + 1, sizeof *ranked);

  if (ranked == NULL)
    abort ();
  for (uint32_t i = 0; i < pool->n_members; i++)
    {
      uint64_t pair[2] = { self, core->board.upstreams[pool->members[i]].name_hash };

      ranked[i] = (Ranked){ .weight = XXH3_64bits (pair, sizeof pair), .row = pool->members[i] };
    }
  qsort (ranked, pool->n_members, sizeof *ranked, ranked_compare);
  for (uint32_t i = 0; i < pool->n_members; i++)
    pool->members[i] = ranked[i].row;
  free (ranked);
}

/* Fills the active subset with the first usable members, and then with unusable ones, which are
 * polled so that they can return to use. */
static void
fill_active (MfCore *core, MfPoolRow *pool)
{
  pool->n_active = 0;
  pool->n_usable = 0;
  for (int pass = 0; pass < 2; pass++)
    {
      for (uint32_t i = 0; i < pool->n_members && pool->n_active < MF_POOL_ACTIVE_MAX; i++)
        {
          bool usable = mf_upstream_is_usable (&core->board.upstreams[pool->members[i]]);

          if (usable != (pass == 0))
            continue;
          pool->active[pool->n_active++] = pool->members[i];
          pool->n_usable += usable;
        }
    }
  if (pool->n_usable > 0)
    pool->down_since_us = 0;
  else if (pool->down_since_us == 0)
    pool->down_since_us = core->board.now_us;
}

/* Updates the active subsets of all pools after a change of health. */
void
mf_upstream_refresh_pools (MfCore *core)
{
  for (uint32_t i = 0; i < core->board.services.n_pools; i++)
    fill_active (core, &core->board.services.pools[i]);
}

/* Returns how many slots the members that may be active have together. */
static uint32_t
pool_slots (const MfCore *core, uint32_t pool)
{
  const MfPoolRow *row = &core->board.services.pools[pool];
  uint32_t n = 0;

  for (uint32_t i = 0; i < row->n_members && i < MF_POOL_ACTIVE_MAX; i++)
    n += core->board.upstreams[row->members[i]].config.slots;
  return n;
}

/* Sets the health of an upstream. A change is logged. */
void
mf_upstream_set_health (MfCore *core, uint32_t upstream, MfHealth health, MfCode reason)
{
  MfUpstream *row = &core->board.upstreams[upstream];
  MfHealth before = row->health;

  if (before == health)
    return;
  if (row->role == MF_ROLE_DECODE && before <= MF_HEALTH_SLOW && health > MF_HEALTH_SLOW)
    mf_window_note_slots_lost (&core->board.services.pools[row->pool], mf_upstream_slots (row),
                               pool_slots (core, row->pool));
  row->health = health;
  row->health_reason = reason;
  row->health_since_us = core->board.now_us;
  if (health == MF_HEALTH_EJECTED || health == MF_HEALTH_DEAD)
    mf_counter_add (&core->board.counters, MF_COUNTER_EJECTIONS, 1);
  mf_upstream_refresh_pools (core);
  mf_core_log (core, "upstream", row->config.name, mf_health_name (before), mf_health_name (health),
               mf_code_info (reason)->name);
  if (row->pool != MF_NONE)
    mf_health_readmit_ejected (core, row->pool);
}

static void
add_member (MfPoolRow *pool, uint32_t row)
{
  uint32_t n = pool->n_members + 1;

  if ((n & (n - 1)) == 0 || pool->members == NULL)
    {
      uint32_t *members = realloc (pool->members, (size_t)n * 2 * sizeof *members);
      uint32_t *active = realloc (pool->active, MF_POOL_ACTIVE_MAX * sizeof *active);

      if (members == NULL || active == NULL)
        abort ();
      pool->members = members;
      pool->active = active;
    }
  pool->members[pool->n_members++] = row;
}

static void
apply_upstream (MfCore *core, uint32_t row, const MfUpstreamConfig *config, uint32_t index)
{
  MfUpstream *upstream = &core->board.upstreams[row];
  bool address_changed = strcmp (upstream->config.address, config->address) != 0;

  upstream->config = *config;
  upstream->in_config = true;
  upstream->index_in_config = index;
  upstream->pool = core->board.services.config_pool_rows[config->pool];
  upstream->role = core->board.services.pools[upstream->pool].role;
  if (address_changed)
    {
      upstream->health = MF_HEALTH_OK;
      upstream->load = (MfLoadEvent){ .role = upstream->role };
      upstream->load_at_us = 0;
    }
  add_member (&core->board.services.pools[upstream->pool], row);
}

/* Brings the table in line with the configuration in force. Upstreams keep their rows by name; the
 * rows are found through a sorted index. */
void
mf_upstream_apply_config (MfCore *core)
{
  MfBoard *board = &core->board;
  const MfConfig *config = board->config;
  uint32_t n_known = board->n_upstreams;
  Ranked *known = calloc (n_known + 1, sizeof *known);
  MfUpstream *rows = realloc (board->upstreams, (n_known + config->n_upstreams + 1) * sizeof *rows);

  if (known == NULL || rows == NULL)
    abort ();
  board->upstreams = rows;
  for (uint32_t i = 0; i < n_known; i++)
    {
      known[i] = (Ranked){ .weight = rows[i].name_hash, .row = i };
      rows[i].in_config = false;
      rows[i].index_in_config = MF_NONE;
    }
  qsort (known, n_known, sizeof *known, ranked_compare);
  for (uint32_t i = 0; i < config->n_upstreams; i++)
    {
      Ranked want = { .weight = mf_hash_name (config->upstreams[i].name) };
      const Ranked *found = bsearch (&want, known, n_known, sizeof *known, ranked_compare);
      uint32_t row = found != NULL ? found->row : board->n_upstreams++;

      if (found == NULL)
        rows[row] = (MfUpstream){ .name_hash = want.weight, .slow_start_ppm = 1000000 };
      apply_upstream (core, row, &config->upstreams[i], i);
    }
  free (known);
  mf_upstream_index_build (core);
  for (uint32_t i = 0; i < board->services.n_pools; i++)
    {
      rank_members (core, &board->services.pools[i]);
      if (board->services.pools[i].role == MF_ROLE_PLAIN)
        mf_window_init (&board->services.pools[i], pool_slots (core, i));
    }
  mf_upstream_refresh_pools (core);
}

/* Applies the report of another instance that an incarnation of the upstream is leaving; the
 * incarnation is 0 if the upstream has none. Reports about a replaced incarnation are ignored. */
void
mf_upstream_note_leaving (MfCore *core, uint32_t upstream, uint64_t incarnation)
{
  MfUpstream *row = &core->board.upstreams[upstream];

  if (row->health == MF_HEALTH_DEAD
      || (row->load_at_us != 0 && incarnation != 0 && row->load.incarnation != incarnation))
    return;
  row->leaving_at_us = core->board.now_us;
  row->watched = true;
  mf_upstream_set_health (core, upstream, MF_HEALTH_LEAVING, MF_CODE_NO_UPSTREAM);
}

/* Applies the report of another instance that an incarnation of the upstream died. The report alone
 * takes nothing out of use, so that gossip cannot empty a pool; this instance polls the upstream at
 * once. */
void
mf_upstream_note_dead (MfCore *core, uint32_t upstream, uint64_t incarnation)
{
  const MfUpstream *row = &core->board.upstreams[upstream];

  if (row->load.incarnation == incarnation && row->health != MF_HEALTH_DEAD)
    mf_upstream_poll (core, upstream);
}

struct MfPolls
{
  struct
  {
    uint64_t call_id;
    uint32_t upstream;
  } running[POLLS_MAX];
  uint32_t n_running;
  uint32_t cursor_pool;
  uint32_t cursor_member;
  uint64_t next_us;
};

/* Starts a poll for a load report, unless one is running already. */
void
mf_upstream_poll (MfCore *core, uint32_t upstream)
{
  MfPolls *polls = core->board.polls;
  MfUpstream *row = &core->board.upstreams[upstream];
  MfAction action = {
    .type = MF_ACTION_CALL_START,
    .call = { .kind = MF_CALL_LOAD,
              .upstream = upstream,
              .address = row->config.address,
              .engine = row->config.engine,
              .cache_after = mf_prefix_last_event (core, upstream),
              .timeout_us = POLL_TIMEOUT_US },
  };

  if (row->load_call_id != 0 || polls->n_running == POLLS_MAX || row->role == MF_ROLE_PLAIN)
    return;
  action.call.call_id = mf_core_next_call_id (core);
  row->load_call_id = action.call.call_id;
  row->load_due_us = core->board.now_us
                     + (row->health <= MF_HEALTH_SLOW ? core->board.options.load_period_us / 2
                                                      : POLL_UNUSABLE_PERIOD_US);
  polls->running[polls->n_running].call_id = action.call.call_id;
  polls->running[polls->n_running++].upstream = upstream;
  mf_core_emit (core, &action);
}

static void
handle_poll_end (MfCore *core, const MfEvent *event)
{
  MfPolls *polls = core->board.polls;

  for (uint32_t i = 0; i < polls->n_running; i++)
    {
      uint32_t upstream = polls->running[i].upstream;

      if (polls->running[i].call_id != event->call.call_id)
        continue;
      polls->running[i] = polls->running[--polls->n_running];
      core->board.upstreams[upstream].load_call_id = 0;
      mf_health_note_poll (core, upstream, event);
      return;
    }
}

/* Stores a load report. A report older than the stored one is dropped. */
static void
handle_load (MfCore *core, const MfLoadEvent *load)
{
  MfUpstream *row;

  if (load->upstream >= core->board.n_upstreams)
    return;
  row = &core->board.upstreams[load->upstream];
  if (row->load_at_us != 0 && load->incarnation == row->load.incarnation
      && load->measured_us < row->load.measured_us)
    return;
  mf_health_note_load (core, load->upstream, load);
  row->load = *load;
  row->load_at_us = core->board.now_us;
  row->role = load->role;
  row->own_prefill_at_report = row->own_prefill_tokens;
  row->own_since_report = changes_since (row, load->measured_us);
}

static void
upstream_handle (MfCore *core, const MfEvent *event)
{
  if (event->type == MF_EVENT_LOAD)
    handle_load (core, &event->load);
  else if (event->type == MF_EVENT_CALL_DONE || event->type == MF_EVENT_CALL_FAILED)
    handle_poll_end (core, event);
}

/* Returns the next active upstream that is due for a poll, or MF_NONE if none is. Counts the active
 * upstreams that are polled. */
static uint32_t
next_to_poll (MfCore *core, uint32_t *n_active)
{
  MfPolls *polls = core->board.polls;
  MfServices *services = &core->board.services;

  *n_active = 0;
  for (uint32_t i = 0; i < services->n_pools; i++)
    *n_active += services->pools[i].role == MF_ROLE_PLAIN ? 0 : services->pools[i].n_active;
  for (uint32_t tries = 0; tries < *n_active + services->n_pools + 1; tries++)
    {
      const MfPoolRow *pool = &services->pools[polls->cursor_pool % services->n_pools];
      uint32_t row;

      if (pool->role == MF_ROLE_PLAIN || polls->cursor_member >= pool->n_active)
        {
          polls->cursor_pool = (polls->cursor_pool + 1) % services->n_pools;
          polls->cursor_member = 0;
          continue;
        }
      row = pool->active[polls->cursor_member++];
      if (core->board.upstreams[row].load_due_us <= core->board.now_us
          && core->board.upstreams[row].load_call_id == 0)
        return row;
    }
  return MF_NONE;
}

/* Starts the polls that are due, spread evenly over the period. */
static void
upstream_tick (MfCore *core)
{
  MfPolls *polls = core->board.polls;
  uint32_t n_active;
  uint32_t row;
  uint64_t gap_us;

  if (core->board.services.n_pools == 0)
    return;
  if (core->board.now_us >= polls->next_us)
    {
      row = next_to_poll (core, &n_active);
      gap_us = core->board.options.load_period_us / (n_active > 0 ? n_active : 1);
      polls->next_us = core->board.now_us + (gap_us > POLL_GAP_MIN_US ? gap_us : POLL_GAP_MIN_US);
      if (row != MF_NONE)
        mf_upstream_poll (core, row);
    }
  mf_core_wake_at (core, polls->next_us);
}

static bool
upstream_init (MfCore *core, MfError *error)
{
  core->board.polls = calloc (1, sizeof *core->board.polls);
  if (core->board.polls == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the upstreams");
  return core->board.polls != NULL;
}

static void
upstream_finish (MfCore *core)
{
  free (core->board.polls);
  free (core->board.upstreams);
  free (core->board.upstream_index);
}

const MfController mf_upstream_controller = {
  .name = "upstream",
  .init = upstream_init,
  .finish = upstream_finish,
  .handle = upstream_handle,
  .tick = upstream_tick,
  .config = mf_upstream_apply_config,
};
