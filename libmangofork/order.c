#include "member.h"
#include "gossip.h"
#include "rendezvous.h"

#include <stdlib.h>
#include <string.h>

/* Time between two passes over the engines that differ from the desired state. */
#define CHECK_PERIOD_US (250 * MF_US_PER_MS)
/* An order is sent only if the difference has lasted this long and this instance has been the
 * issuer for this long. The second time is longer if the engine does not check fencing numbers, as
 * it would accept an order of a former issuer too. */
#define SETTLE_US MF_US_PER_S
#define SETTLE_NO_FENCING_US (3 * MF_US_PER_S)
/* A load report older than this does not show the effect of the last order. */
#define REPORT_AGE_MAX_US (2 * MF_US_PER_S)
#define ORDER_TIMEOUT_US (30 * MF_US_PER_S)
/* Time between two orders to an engine; it doubles with each order up to the maximum. */
#define BACKOFF_MIN_US (10 * MF_US_PER_S)
#define BACKOFF_MAX_US (600 * MF_US_PER_S)
/* After an order of another issuer was seen, none is sent for this long. */
#define BACKOFF_OTHER_ISSUER_US (30 * MF_US_PER_S)
/* At most one in this many engines of a pool is emptied or loading at once, but at least one. */
#define POOL_BUSY_DIVISOR 4
/* Rate at which one load reads from the weight store. */
#define LOAD_BYTES_PER_S (UINT64_C (250) * 1000 * 1000)
/* Loads in the fleet at once. */
#define LOADS_MAX 64
/* The order in which upstreams are selected changes after this time, so that an engine that cannot
 * be brought to the desired state does not block the others. */
#define SELECTION_EPOCH_MS (300 * UINT64_C (1000))
/* Orders in flight from this instance. */
#define CALLS_MAX 64
/* An instance polls only the upstreams that it uses itself, but issues orders to others as well.
 * Each period it checks the next STALE_POLL_ROWS rows, and polls the engines of which it is the
 * issuer and that have not reported for STALE_POLL_AGE_US. */
#define STALE_POLL_PERIOD_US (500 * MF_US_PER_MS)
#define STALE_POLL_ROWS 16
#define STALE_POLL_AGE_US (10 * MF_US_PER_S)

/* The state of an engine that the configuration asks for. An empty string means any. */
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
  bool selected;    /* may be ordered now; given no work if the order requires an empty engine */
  bool backing_off; /* waits for next_order_us, and this wait has been counted */
  uint64_t differs_since_us;
  uint64_t selected_us;
  uint64_t issuer_since_us; /* 0 when this instance is not the issuer */
  uint64_t ordered_us;
  uint64_t next_order_us; /* earliest time of the next order */
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
  OrderRow *rows; /* indexed like the upstreams */
  uint32_t n_rows;
  uint32_t n_differ;
  uint64_t next_check_us;
  uint64_t next_stale_poll_us;
  uint32_t stale_poll_row; /* the next one to check */
  OrderCall calls[CALLS_MAX];
  uint32_t n_calls;
};

/* Puts an upstream on hold while it serves another model than its pool, or is emptied for an
 * order. An adapter is loaded without emptying the engine. */
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

/* Returns whether an engine reports another name than is wanted. An engine that reports no model or
 * version is never ordered to change it. */
static bool
name_differs (const char *wanted, const char *reported)
{
  return wanted[0] != '\0' && reported[0] != '\0' && strcmp (wanted, reported) != 0;
}

/* Returns the value that an order would set, and its kind; NULL if the engine is as desired or
 * cannot be ordered. */
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

/* Compares an engine's last report with the configuration. */
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

/* State of a selection: loads in the fleet, and for each pool the engines that are emptied or
 * loading. */
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

/* Returns the next upstream to select, or MF_NONE. */
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

/* Returns how many loads the weight store allows at once. */
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

/* Selects the engines that may be ordered now from those that differ. Every instance computes the
 * same selection from the same reports. Thus all of them give no work to an engine that is being
 * emptied, a pool is never completely out of service, and the loads of the fleet together stay
 * within the rate of the weight store. */
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

/* Returns whether an order would end no work: the other instances have had time to stop placing
 * work on the engine, and the engine has reported since then that it has none. */
static bool
is_empty (const MfUpstream *state, const OrderRow *row)
{
  return state->load.measured_us > row->selected_us + SETTLE_US && state->load.slots_used == 0
         && state->load.queued == 0 && state->own_slots == 0;
}

/* Returns whether an order may be sent now. In a partition only the side with a majority sends
 * orders, so that two revisions of the configuration cannot make an engine flap. */
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

/* Returns a fencing number above every known one. It is taken from the clock, so that it is also
 * above those of earlier incarnations. */
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
  mf_core_log (core, "order", state->config.name, "", value, "differs from the configuration");
  mf_gossip_publish (core, MF_GOSSIP_FENCE, state->name_hash, state->fence_last);
  mf_core_emit (core, &action);
}

/* Sends the next order to a selected engine if this instance is its issuer and the order is due. */
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

/* Selects engines and sends the orders that are due. */
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

/* Handles the end of an order's call. The effect of the order is read from the next report. */
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

/* Polls those of the next few engines that this instance is the issuer of and that have not
 * reported lately. */
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
