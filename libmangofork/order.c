#include "member.h"
#include "news.h"
#include "rendezvous.h"

#include <stdlib.h>
#include <string.h>

#define CHECK_PERIOD_US (250 * MF_US_PER_MS)
/* A difference must last before anything is done about it, and this instance must have been the
 * issuer that long; longer where the engine does not check fencing numbers. */
#define SETTLE_US MF_US_PER_S
#define SETTLE_NO_FENCING_US (3 * MF_US_PER_S)
/* A load report older than this is no read-back. */
#define REPORT_AGE_MAX_US (2 * MF_US_PER_S)
#define ORDER_TIMEOUT_US (30 * MF_US_PER_S)
#define BACKOFF_MIN_US (10 * MF_US_PER_S)
#define BACKOFF_MAX_US (600 * MF_US_PER_S)
/* After another issuer's order was seen. */
#define BACKOFF_OTHER_ISSUER_US (30 * MF_US_PER_S)
/* The part of a pool that may be emptied or loading at once. */
#define POOL_BUSY_DIVISOR 4
/* What one load takes of the weight store. */
#define LOAD_BYTES_PER_S (UINT64_C (250) * 1000 * 1000)
#define LOADS_MAX 64
/* The turns of upstreams that wait for an order are drawn anew so often, so that one that cannot
 * be brought to the desired state does not keep the others from theirs. */
#define SELECTION_EPOCH_MS (300 * UINT64_C (1000))
#define CALLS_MAX 64
/* An instance polls few upstreams for its own use. As issuer it looks after all of its upstreams:
 * so many are gone through at a time, and those without a recent report are polled. */
#define STALE_POLL_PERIOD_US (500 * MF_US_PER_MS)
#define STALE_POLL_ROWS 16
#define STALE_POLL_AGE_US (10 * MF_US_PER_S)

/* What the text wants of an engine. */
typedef struct
{
  MfRole role;
  const char *model;
  const char *adapter;
  const char *version;
} DesiredState;

typedef struct
{
  bool differs;
  MfOrderKind kind;
  bool selected; /* its turn has come: work is kept off it when the order needs that */
  bool backing_off;
  uint64_t differs_since_us;
  uint64_t selected_us;
  uint64_t issuer_since_us; /* since when this instance is its issuer; 0 when it is not */
  uint64_t ordered_us;
  uint64_t next_order_us; /* no order before */
  uint64_t backoff_us;
  bool call_running;
} OrderRow;

typedef struct
{
  uint64_t call_id;
  uint32_t upstream;
} OrderCall;

struct MfOrders
{
  OrderRow *rows; /* one an upstream */
  uint32_t n_rows;
  uint32_t n_differ;
  uint64_t next_check_us;
  uint64_t next_stale_poll_us;
  uint32_t stale_poll_row;
  OrderCall calls[CALLS_MAX];
  uint32_t n_calls;
};

/* Keeps work off an upstream that serves another model than its pool's, or that is being emptied
 * for an order. */
static void
update_hold (MfCore *core, uint32_t upstream)
{
  const OrderRow *row = &core->board.orders->rows[upstream];

  core->board.upstreams[upstream].on_hold = row->differs && row->kind != MF_ORDER_ADAPTER
                                            && (row->kind == MF_ORDER_MODEL || row->selected);
}

static DesiredState
desired_state (const MfConfig *config, uint32_t pool)
{
  DesiredState desired = { config->pools[pool].role, "", "", "" };

  for (uint32_t i = 0; i < config->n_services; i++)
    {
      const MfService *service = &config->services[i];

      if (service->kind != MF_SERVICE_MODEL
          || (service->prefill_pool != pool && service->decode_pool != pool))
        continue;
      if (desired.model[0] == '\0')
        desired.model = service->model;
      if (desired.adapter[0] == '\0')
        desired.adapter = service->adapter;
      if (desired.version[0] == '\0')
        desired.version = service->version;
    }
  return desired;
}

/* Whether a report names something else than is wanted. An engine that reports no model or version
 * is not asked for one. */
static bool
name_differs (const char *wanted, const char *reported)
{
  return wanted[0] != '\0' && reported[0] != '\0' && strcmp (wanted, reported) != 0;
}

/* Returns what an order would set, or NULL when the upstream is as desired or out of reach. */
static const char *
difference (const MfCore *core, uint32_t upstream, MfOrderKind *kind)
{
  const MfConfig *config = core->board.config;
  const MfUpstream *state = &core->board.upstreams[upstream];
  DesiredState desired;

  if (config == NULL || !state->in_config || state->load_at_us == 0 || state->load.leaving
      || state->health == MF_HEALTH_DEAD || state->health == MF_HEALTH_LEAVING
      || state->config.pool >= config->n_pools
      || config->pools[state->config.pool].role == MF_ROLE_PLAIN)
    return NULL;
  desired = desired_state (config, state->config.pool);
  if (state->load.role != desired.role)
    {
      *kind = MF_ORDER_ROLE;
      return mf_role_name (desired.role);
    }
  if (name_differs (desired.model, state->load.model))
    {
      *kind = MF_ORDER_MODEL;
      return desired.model;
    }
  if (name_differs (desired.version, state->load.version))
    {
      *kind = MF_ORDER_VERSION;
      return desired.version;
    }
  *kind = MF_ORDER_ADAPTER;
  return desired.adapter[0] != '\0' && strcmp (desired.adapter, state->load.adapter) != 0
             ? desired.adapter
             : NULL;
}

/* Compares an upstream's last report with the text. */
static void
row_update (MfCore *core, uint32_t upstream)
{
  MfOrders *orders = core->board.orders;
  OrderRow *row = &orders->rows[upstream];
  MfUpstream *state = &core->board.upstreams[upstream];
  uint64_t now_us = core->board.now_us;
  MfOrderKind kind = row->kind;
  bool differs = difference (core, upstream, &kind) != NULL;

  if (state->load.fence_seen > state->fence_last)
    {
      if (state->fence_last != 0 && row->next_order_us < now_us + BACKOFF_OTHER_ISSUER_US)
        row->next_order_us = now_us + BACKOFF_OTHER_ISSUER_US;
      state->fence_last = state->load.fence_seen;
    }
  if (differs == row->differs && kind == row->kind)
    return;
  orders->n_differ += differs;
  orders->n_differ -= row->differs;
  row->differs = differs;
  row->kind = kind;
  row->selected = false;
  row->differs_since_us = now_us;
  row->issuer_since_us = 0;
  if (now_us - row->ordered_us > BACKOFF_MAX_US)
    row->backoff_us = 0;
  update_hold (core, upstream);
}

/* How far the choice has gone: loads in the fleet, and upstreams of each pool not in service. */
typedef struct
{
  uint32_t n_loading;
  uint32_t loads_max;
  uint32_t *pool_busy;
  uint32_t *pool_size;
} Selection;

static bool
selection_allows (const Selection *selection, const OrderRow *row, uint32_t pool)
{
  uint32_t pool_max = selection->pool_size[pool] / POOL_BUSY_DIVISOR;

  if (row->kind != MF_ORDER_ROLE && selection->n_loading >= selection->loads_max)
    return false;
  return row->kind == MF_ORDER_ADAPTER
         || selection->pool_busy[pool] < (pool_max > 1 ? pool_max : 1);
}

/* Returns the upstream whose turn is next, or MF_NONE. */
static uint32_t
selection_next (const MfCore *core, const Selection *selection, const bool *selected)
{
  const MfOrders *orders = core->board.orders;
  uint64_t best_score = 0, epoch = core->board.wall_ms / SELECTION_EPOCH_MS;
  uint32_t best = MF_NONE;

  for (uint32_t i = 0; i < orders->n_rows; i++)
    {
      const MfUpstream *state = &core->board.upstreams[i];
      uint64_t score;

      if (!orders->rows[i].differs || state->load.loading || selected[i]
          || !selection_allows (selection, &orders->rows[i], state->config.pool))
        continue;
      score = mf_rendezvous_score (state->name_hash, epoch);
      if (best == MF_NONE || score > best_score)
        {
          best = i;
          best_score = score;
        }
    }
  return best;
}

static uint32_t
loads_max (const MfConfig *config)
{
  uint64_t n = config->weight_store_bytes_per_s / LOAD_BYTES_PER_S;

  if (config->weight_store_bytes_per_s == 0 || n > LOADS_MAX)
    return LOADS_MAX;
  return n > 0 ? (uint32_t)n : 1;
}

static void
row_set_selected (MfCore *core, uint32_t upstream, bool selected)
{
  OrderRow *row = &core->board.orders->rows[upstream];

  if (selected && !row->selected)
    row->selected_us = core->board.now_us;
  row->selected = selected;
  update_hold (core, upstream);
}

/* Gives turns to upstreams that differ. Every instance computes the same turns from the same
 * reports, so that all keep work off an upstream that is being emptied, a pool is never out of
 * service as a whole, and the fleet's loads together keep to the weight store's rate. */
static void
select_upstreams (MfCore *core, Selection *selection, bool *selected)
{
  MfOrders *orders = core->board.orders;
  uint32_t upstream;

  for (uint32_t i = 0; i < orders->n_rows; i++)
    {
      const MfUpstream *state = &core->board.upstreams[i];

      if (!state->in_config || state->config.pool >= core->board.config->n_pools)
        continue;
      selection->pool_size[state->config.pool]++;
      selection->pool_busy[state->config.pool] += state->load.loading;
      selection->n_loading += state->load.loading;
    }
  while ((upstream = selection_next (core, selection, selected)) != MF_NONE)
    {
      selected[upstream] = true;
      selection->n_loading += orders->rows[upstream].kind != MF_ORDER_ROLE;
      selection->pool_busy[core->board.upstreams[upstream].config.pool]++;
    }
  for (uint32_t i = 0; i < orders->n_rows; i++)
    row_set_selected (core, i, selected[i]);
}

static bool
report_is_fresh (const MfCore *core, const MfUpstream *state, const OrderRow *row)
{
  uint64_t since_us = row->selected_us > row->ordered_us ? row->selected_us : row->ordered_us;
  uint64_t paused_us = mf_member_paused_us (core);

  if (since_us < paused_us)
    since_us = paused_us;
  return state->load.measured_us > since_us
         && state->load.measured_us + REPORT_AGE_MAX_US > core->board.now_us;
}

/* Whether nothing would be lost: the others have had time to stop placing work on it, and the
 * engine itself says since then that it has none. */
static bool
is_empty (const MfUpstream *state, const OrderRow *row)
{
  return state->load.measured_us > row->selected_us + SETTLE_US && state->load.slots_used == 0
         && state->load.queued == 0 && state->own_slots == 0;
}

/* Whether an order may go out now. Only the side of a partition that has a majority orders, so that
 * two revisions of the text cannot make an engine flap. */
static bool
may_order (const MfCore *core, const MfUpstream *state, const OrderRow *row)
{
  uint64_t now_us = core->board.now_us;
  uint64_t settle_us = state->config.checks_fencing ? SETTLE_US : SETTLE_NO_FENCING_US;

  if (row->call_running || state->load.loading || core->board.draining
      || !mf_member_has_majority (core))
    return false;
  if (now_us < row->differs_since_us + SETTLE_US || now_us < row->issuer_since_us + settle_us)
    return false;
  if (!report_is_fresh (core, state, row))
    return false;
  if (row->kind != MF_ORDER_ADAPTER && !is_empty (state, row))
    return false;
  return state->config.checks_fencing || mf_member_paused_us (core) == 0
         || now_us > mf_member_paused_us (core) + SETTLE_NO_FENCING_US;
}

/* A number above every one known, and above those of earlier incarnations, whose clocks were
 * behind. */
static uint64_t
next_fence (const MfCore *core, const MfUpstream *state)
{
  uint64_t fence = core->board.wall_ms;

  if (fence <= state->fence_last)
    fence = state->fence_last + 1;
  return fence;
}

static void
order_send (MfCore *core, uint32_t upstream)
{
  MfOrders *orders = core->board.orders;
  OrderRow *row = &orders->rows[upstream];
  MfUpstream *state = &core->board.upstreams[upstream];
  MfOrderKind kind;
  const char *value = difference (core, upstream, &kind);
  MfAction action = {
    .type = MF_ACTION_CALL_START,
    .call = { .kind = MF_CALL_ORDER,
              .upstream = upstream,
              .address = state->config.address,
              .engine = state->config.engine,
              .timeout_us = ORDER_TIMEOUT_US,
              .order = row->kind },
  };

  if (value == NULL || kind != row->kind || orders->n_calls == CALLS_MAX)
    return;
  state->fence_last = next_fence (core, state);
  row->ordered_us = core->board.now_us;
  row->backoff_us = row->backoff_us < BACKOFF_MIN_US ? BACKOFF_MIN_US : 2 * row->backoff_us;
  if (row->backoff_us > BACKOFF_MAX_US)
    row->backoff_us = BACKOFF_MAX_US;
  row->next_order_us = core->board.now_us + row->backoff_us;
  row->call_running = true;
  action.call.call_id = mf_core_next_call_id (core);
  action.call.fence = state->fence_last;
  mf_name_set (action.call.order_value, sizeof action.call.order_value, value);
  orders->calls[orders->n_calls++]
      = (OrderCall){ .call_id = action.call.call_id, .upstream = upstream };
  mf_counter_add (&core->board.counters, MF_COUNTER_ORDERS, 1);
  mf_core_log (core, "order", state->config.name, "", value, "differs from the text");
  mf_news_note (core, MF_NEWS_FENCE, state->name_hash, state->fence_last);
  mf_core_emit (core, &action);
}

/* Brings one chosen upstream closer to its desired state when this instance is its issuer. */
static void
row_reconcile (MfCore *core, uint32_t upstream)
{
  OrderRow *row = &core->board.orders->rows[upstream];
  const MfUpstream *state = &core->board.upstreams[upstream];
  bool backing_off;

  if (mf_member_rank (core, state->name_hash, NULL) > 0)
    {
      row->issuer_since_us = 0;
      return;
    }
  if (row->issuer_since_us == 0)
    row->issuer_since_us = core->board.now_us;
  if (state->load_at_us + MF_US_PER_S < core->board.now_us)
    mf_upstream_poll (core, upstream);
  if (!may_order (core, state, row))
    return;
  backing_off = core->board.now_us < row->next_order_us;
  if (backing_off && !row->backing_off)
    mf_counter_add (&core->board.counters, MF_COUNTER_ORDERS_HELD, 1);
  row->backing_off = backing_off;
  if (!backing_off)
    order_send (core, upstream);
}

static void
reconcile (MfCore *core)
{
  MfOrders *orders = core->board.orders;
  uint32_t n_pools = core->board.config->n_pools;
  uint32_t *pools = calloc ((size_t)2 * n_pools + 1, sizeof *pools);
  bool *selected = calloc (orders->n_rows + 1, sizeof *selected);

  if (pools != NULL && selected != NULL)
    {
      Selection selection = {
        .loads_max = loads_max (core->board.config),
        .pool_busy = pools,
        .pool_size = pools + n_pools,
      };

      select_upstreams (core, &selection, selected);
      for (uint32_t i = 0; i < orders->n_rows; i++)
        {
          if (orders->rows[i].selected)
            row_reconcile (core, i);
        }
    }
  free (pools);
  free (selected);
}

static void
rows_grow (MfOrders *orders, uint32_t n_rows)
{
  OrderRow *rows;

  if (n_rows <= orders->n_rows)
    return;
  rows = realloc (orders->rows, n_rows * sizeof *rows);
  if (rows == NULL)
    return;
  memset (rows + orders->n_rows, 0, (n_rows - orders->n_rows) * sizeof *rows);
  orders->rows = rows;
  orders->n_rows = n_rows;
}

/* An order's call has ended; what came of it is read from the next report. */
static void
call_ended (MfOrders *orders, uint64_t call_id)
{
  for (uint32_t i = 0; i < orders->n_calls; i++)
    {
      if (orders->calls[i].call_id != call_id)
        continue;
      orders->rows[orders->calls[i].upstream].call_running = false;
      orders->calls[i] = orders->calls[--orders->n_calls];
      return;
    }
}

static void
order_handle (MfCore *core, const MfEvent *event)
{
  MfOrders *orders = core->board.orders;

  if (event->type == MF_EVENT_LOAD && event->load.upstream < orders->n_rows)
    row_update (core, event->load.upstream);
  else if (event->type == MF_EVENT_CALL_DONE || event->type == MF_EVENT_CALL_FAILED)
    call_ended (orders, event->call.call_id);
}

/* Polls those of the next few upstreams that this instance is the issuer of and does not use. */
static void
poll_stale (MfCore *core)
{
  MfOrders *orders = core->board.orders;

  for (uint32_t i = 0; i < STALE_POLL_ROWS && i < orders->n_rows; i++)
    {
      uint32_t upstream = orders->stale_poll_row++ % orders->n_rows;
      const MfUpstream *state = &core->board.upstreams[upstream];

      if (state->in_config && state->role != MF_ROLE_PLAIN
          && state->load_at_us + STALE_POLL_AGE_US < core->board.now_us
          && mf_member_rank (core, state->name_hash, NULL) == 0)
        mf_upstream_poll (core, upstream);
    }
}

static void
order_tick (MfCore *core)
{
  MfOrders *orders = core->board.orders;

  if (core->board.now_us >= orders->next_stale_poll_us)
    {
      orders->next_stale_poll_us = core->board.now_us + STALE_POLL_PERIOD_US;
      poll_stale (core);
    }
  if (orders->n_differ == 0 || core->board.config == NULL)
    return;
  if (core->board.now_us >= orders->next_check_us)
    {
      orders->next_check_us = core->board.now_us + CHECK_PERIOD_US;
      reconcile (core);
    }
  mf_core_wake_at (core, orders->next_check_us);
}

static void
order_config (MfCore *core)
{
  rows_grow (core->board.orders, core->board.n_upstreams);
  for (uint32_t i = 0; i < core->board.orders->n_rows; i++)
    row_update (core, i);
}

static bool
order_init (MfCore *core, MfError *error)
{
  core->board.orders = calloc (1, sizeof *core->board.orders);
  if (core->board.orders == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for orders");
  return core->board.orders != NULL;
}

static void
order_finish (MfCore *core)
{
  if (core->board.orders == NULL)
    return;
  free (core->board.orders->rows);
  free (core->board.orders);
  core->board.orders = NULL;
}

const MfController mf_order_controller = {
  .name = "order",
  .init = order_init,
  .finish = order_finish,
  .handle = order_handle,
  .tick = order_tick,
  .config = order_config,
};
