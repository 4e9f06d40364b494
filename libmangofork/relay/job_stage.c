#include "job.h"

#include "libmangofork/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time for the previous leader to notice that it has lost the leadership, in addition to the
 * lifetime of a vote for it. */
#define HANDOVER_MARGIN_US (1 * MF_US_PER_S)
/* Minimum interval between orders for one service, so that each shows in the load before the next
 * decision. */
#define ORDER_INTERVAL_US (500 * MF_US_PER_MS)
/* Time for an engine to finish its work before it changes: a prefill ends within the first time, an
 * answer takes longer. */
#define PREFILL_DRAIN_US (1 * MF_US_PER_S)
#define DECODE_DRAIN_US (6 * MF_US_PER_S)
/* Time to connect to an engine, on a slow machine too. */
#define CONNECT_TIME_US (500 * MF_US_PER_MS)
/* Engines reply to an order at once; one without a reply may have been accepted. */
#define ORDER_TIMEOUT_US (2 * MF_US_PER_S)
/* An order is sent only while fewer than one in this many engines are changing, so that the effect
 * shows before the next change. */
#define CHANGING_DIVISOR 8
/* An engine that has refused or not followed this many orders gets no more. */
#define ORDERS_FAILED_MAX 2

struct MfStageOrder
{
  MfStageOrder *next;
  MfJobs *jobs;
  MfTarget *target;
  MfLink *link;
  MfRole role;
  uint64_t unavailable_us; /* how long the engine accepts no requests if it follows the order */
  uint32_t status;
};

/* Returns the stage of an engine, or the one it is changing to. */
static MfRole
target_stage (const MfTarget *target, uint64_t now_us)
{
  return target->stage_until_us > now_us ? target->stage_ordered : target->info.role;
}

/* Share of a decode engine's slots or KV in use, whichever is higher, 0 to 1. */
static double
decode_share (const MfTarget *target, const MfRouteService *service)
{
  double share = 0.;

  if (target->info.slots > 0)
    share = (double)mf_target_load (target) / target->info.slots;
  if (service->kv_capacity_tokens > 0)
    {
      double kv_share
          = (double)mf_target_load_tokens (target) / (double)service->kv_capacity_tokens;

      share = kv_share > share ? kv_share : share;
    }
  return share < 1. ? share : 1.;
}

static bool
is_engine_of (const MfTarget *target, const MfRouteService *service)
{
  return !mf_target_has_left (target) && target->info.role != MF_ROLE_PLAIN
         && strcmp (target->info.service, service->name) == 0;
}

static uint32_t
n_changing (const MfJobs *jobs, const MfRouteService *service, uint64_t now_us)
{
  uint32_t n_engines = 0;

  for (const MfTarget *target = jobs->targets.first; target != NULL; target = target->next)
    n_engines += is_engine_of (target, service) && target->stage_until_us > now_us;
  return n_engines;
}

/* Leaves out unreachable engines: they have crashed but are listed for a while. */
static MfStageSnapshot
snapshot_make (const MfJobs *jobs, const MfRouteService *service, uint64_t now_us)
{
  MfStageSnapshot snapshot = { 0 };

  for (const MfTarget *target = jobs->targets.first; target != NULL; target = target->next)
    {
      if (!is_engine_of (target, service) || mf_target_is_suspect (target, now_us))
        continue;
      if (target_stage (target, now_us) == MF_ROLE_PREFILL)
        snapshot.n_prefill++;
      else
        snapshot.n_decode++;
      if (target->info.role == MF_ROLE_PREFILL)
        {
          snapshot.prefill_busy += mf_target_load (target) > 0;
          snapshot.queued_prompts += mf_target_load (target);
        }
      else
        snapshot.decode_used += decode_share (target, service);
    }
  return snapshot;
}

static uint32_t
n_of_stage (const MfJobs *jobs, const MfRouteService *service, MfRole role, const char *data_centre,
            uint64_t now_us)
{
  uint32_t n_engines = 0;

  for (const MfTarget *target = jobs->targets.first; target != NULL; target = target->next)
    n_engines += is_engine_of (target, service) && target_stage (target, now_us) == role
                 && strcmp (target->info.data_centre, data_centre) == 0;
  return n_engines;
}

/* Chooses the engine to change: the least loaded one in the data centre with most engines of that
 * stage. */
static MfTarget *
target_choose (const MfJobs *jobs, const MfRouteService *service, MfRole from, uint64_t now_us)
{
  MfTarget *best = NULL;
  uint32_t best_n = 0;

  for (MfTarget *target = jobs->targets.first; target != NULL; target = target->next)
    {
      uint32_t n_engines;

      if (!is_engine_of (target, service) || target->info.role != from
          || target->stage_until_us > now_us || !mf_target_accepts (target, now_us)
          || mf_target_is_suspect (target, now_us) || target->n_orders_failed >= ORDERS_FAILED_MAX)
        continue;
      n_engines = n_of_stage (jobs, service, from, target->info.data_centre, now_us);
      if (best != NULL
          && (n_engines < best_n
              || (n_engines == best_n && mf_target_load (target) >= mf_target_load (best))))
        continue;
      best = target;
      best_n = n_engines;
    }
  return best;
}

static void
order_free (MfStageOrder *order)
{
  for (MfStageOrder **position = &order->jobs->orders; *position != NULL;
       position = &(*position)->next)
    {
      if (*position != order)
        continue;
      *position = order->next;
      break;
    }
  mf_target_unref (order->target);
  free (order);
}

/* Cancels all orders in flight. */
void
mf_jobs_cancel_orders (MfJobs *jobs)
{
  while (jobs->orders != NULL)
    {
      mf_link_cancel (jobs->orders->link);
      order_free (jobs->orders);
    }
}

static void
on_order_head (void *data, const MfHead *head, uint32_t status)
{
  MfStageOrder *order = data;

  (void)head;
  order->status = status;
}

/* An order without a reply may have been accepted; only a refusal makes the engine usable in its
 * old stage again. */
static void
on_order_end (void *data, MfLinkEnd end, const char *why)
{
  MfStageOrder *order = data;
  MfTarget *target = order->target;
  bool accepted = order->status == 200 || order->status == 202;
  bool refused = end == MF_LINK_UNREACHED || (end != MF_LINK_BROKEN && !accepted);

  if (refused)
    target->stage_until_us = 0;
  target->n_orders_failed += !accepted;
  order->jobs->counters.counts[MF_RELAY_COUNT_ORDERS_REFUSED] += refused;
  mf_relay_log_state (order->jobs->log, "engine.order_ended",
                      "upstream=%s stage=%s status=%u taken=%s why=\"%s\" away_ms=%llu",
                      target->info.id, mf_role_name (order->role), order->status,
                      accepted  ? "yes"
                      : refused ? "no"
                                : "unknown",
                      why, (unsigned long long)(refused ? 0 : order->unavailable_us) / 1000);
  order_free (order);
}

static const MfLinkCallbacks order_callbacks = {
  .head = on_order_head,
  .end = on_order_end,
};

static void
order_send (MfJobs *jobs, MfLeadership *leadership, const MfRouteService *service, MfTarget *target,
            MfRole role, uint64_t now_us)
{
  MfStageOrder *order = calloc (1, sizeof *order);
  MfBuffer body = { 0 };
  char head[512];
  int head_bytes;

  if (order == NULL)
    return;
  jobs->dialect->write_stage_order (role, jobs->instance, leadership->fence, &body);
  head_bytes = snprintf (head, sizeof head,
                         "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n"
                         "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                         jobs->dialect->order_path, target->info.address,
                         mf_dialect_header_name (jobs->dialect, MF_HEADER_EXPECT_UPSTREAM),
                         target->info.id, mf_buffer_bytes (&body));
  *order = (MfStageOrder){
    .next = jobs->orders,
    .jobs = jobs,
    .target = mf_target_ref (target),
    .role = role,
    .unavailable_us
    = service->stage_change_us + (role == MF_ROLE_DECODE ? PREFILL_DRAIN_US : DECODE_DRAIN_US),
  };
  jobs->orders = order;
  mf_peers_record_fence (jobs->peers, service->name, leadership->fence);
  leadership->ordered_us = now_us;
  mf_target_note_send (target, now_us);
  mf_jobs_charge_rate (jobs, target);
  target->stage_ordered = role;
  target->stage_until_us = now_us + order->unavailable_us;
  order->link = mf_link_start (&target->pool, &(MfLinkRequest){
                                                  .callbacks = &order_callbacks,
                                                  .data = order,
                                                  .head = head,
                                                  .head_bytes = (size_t)head_bytes,
                                                  .body = mf_buffer_data (&body),
                                                  .body_bytes = mf_buffer_bytes (&body),
                                                  .timeout_us = ORDER_TIMEOUT_US,
                                              });
  mf_buffer_clear (&body);
  if (order->link != NULL)
    return;
  target->stage_until_us = 0;
  order_free (order);
}

/* Orders that have not changed the engine's stage in time count as failed. */
static void
orders_expire (MfJobs *jobs, uint64_t now_us)
{
  for (MfTarget *target = jobs->targets.first; target != NULL; target = target->next)
    {
      if (target->stage_until_us == 0 || target->stage_until_us > now_us)
        continue;
      target->stage_until_us = 0;
      target->n_orders_failed += target->info.role != target->stage_ordered;
    }
}

/* How long an instance must lead before its first order. By then the previous leader has stopped
 * giving orders, and the platform's minimum interval between two holders has passed. Engines that
 * do not check fences would also accept a delayed order of the previous leader, so its timeout is
 * added for them. */
static uint64_t
first_order_delay_us (const MfJobs *jobs)
{
  uint64_t wait_us
      = jobs->order_interval_us + mf_peers_report_lifetime_us (jobs->peers) + HANDOVER_MARGIN_US;

  return jobs->orders_fenced ? wait_us : wait_us + ORDER_TIMEOUT_US + CONNECT_TIME_US;
}

/* Balances prefill and decode engines of a service that this instance leads. */
void
mf_jobs_balance_stages (MfJobs *jobs, MfLeadership *leadership, const MfRouteService *service,
                        uint64_t now_us)
{
  MfStageSnapshot snapshot;
  MfStageMove move;
  MfRole role;
  MfTarget *target;

  if (service->stage_change_us == 0)
    return;
  orders_expire (jobs, now_us);
  snapshot = snapshot_make (jobs, service, now_us);
  move = mf_stage_decide (&leadership->trend, &snapshot, now_us);
  /* Before this delay has passed, the previous leader may still give orders and not all instances
   * have sent their votes. */
  if (move == MF_STAGE_STAY
      || n_changing (jobs, service, now_us) * CHANGING_DIVISOR
             >= snapshot.n_prefill + snapshot.n_decode
      || now_us - leadership->led_since_us < first_order_delay_us (jobs)
      || now_us - leadership->ordered_us < ORDER_INTERVAL_US)
    return;
  role = move == MF_STAGE_TO_DECODE ? MF_ROLE_DECODE : MF_ROLE_PREFILL;
  if (role == MF_ROLE_PREFILL && n_changing (jobs, service, now_us) > 0)
    return;
  target = target_choose (jobs, service, role == MF_ROLE_DECODE ? MF_ROLE_PREFILL : MF_ROLE_DECODE,
                          now_us);
  if (target == NULL)
    return;
  jobs->counters.counts[MF_RELAY_COUNT_ORDERS]++;
  mf_relay_log_state (jobs->log, "engine.ordered",
                      "upstream=%s stage=%s fence=%llu led_ms=%llu prefill=%u decode=%u "
                      "prefill_busy=%.2f decode_used=%.2f",
                      target->info.id, mf_role_name (role), (unsigned long long)leadership->fence,
                      (unsigned long long)(now_us - leadership->led_since_us) / 1000,
                      snapshot.n_prefill, snapshot.n_decode, leadership->trend.prefill_busy,
                      leadership->trend.decode_used);
  order_send (jobs, leadership, service, target, role, now_us);
}
