#include "fair.h"

#include <stdlib.h>

/* A flow is at most this many tokens behind its level, so that a request that no engine can take
 * earns no burst: about six streams. */
#define BEHIND_TOKENS_MAX 32768
/* And at most this many ahead, after grants out of turn: about 25 streams. */
#define AHEAD_TOKENS_MAX 131072
/* A flow is starved below this percentage of the share that all are served: a quarter, and a margin
 * for the time until the next grant to it. */
#define STARVED_PER_MILLE 255
/* One grant in this many goes to a starved flow. All of them together need 25.5 % of the grants at
 * most. */
#define STARVED_ONE_IN 3
/* Averages are brought up to date in periods of a second. */
#define PERIOD_US MF_US_PER_S
/* Periods without an event that are counted, at most: they make all loads small. */
#define PERIODS_MAX 1200
/* The share of requests served is averaged over about PERIOD_US / (1 - SHARE_KEPT): 10 s. */
#define SHARE_KEPT 0.9
/* The usual load is averaged over this many periods, and known after USUAL_PERIODS_MIN. Longer than
 * most bursts; a load that stays high for longer becomes usual. */
#define USUAL_PERIODS 600
#define USUAL_PERIODS_MIN 60
/* A period counts for at most this multiple of the usual load, and one request, so that a burst
 * does not become usual within minutes. */
#define USUAL_GROWTH_MAX 2.
/* A load is within the usual up to this multiple of it. */
#define USUAL_MARGIN 1.25
/* And a burst of it of this many seconds, and one request. */
#define USUAL_BURST_S 5.
/* Weight of a period in the rate of grants of a level. */
#define LEVEL_RATE_WEIGHT 0.2
/* A flow with fewer requests a second than this counts as idle. */
#define ACTIVE_PER_S_MIN 0.05
/* Period in which the rate of a flow's grants is measured. */
#define RATE_PERIOD_US MF_US_PER_S
/* A flow may get this many times its measured rate of grants before a refusal is wrong. */
#define RATE_MARGIN 1.5

/* Requests that have ended, and those of them that got a slot; decaying. */
typedef struct
{
  double n_ended;
  double n_granted;
} Share;

typedef struct
{
  uint64_t customer;
  uint32_t priority;
  uint32_t n_waiting;
  uint64_t start; /* tag: tokens; of its next request */
  Share share;
  uint64_t used_us;
  uint64_t waiting_since_us; /* it has had waiting requests throughout since then */
  uint64_t rate_period_us;   /* start of the period of n_granted */
  uint32_t n_granted;        /* in this period and the one before */
  uint32_t n_granted_before;
  uint32_t n_arrived; /* in this period of the averages */
  uint32_t n_periods; /* since it is known here, up to USUAL_PERIODS */
  double usual_per_s; /* requests */
  double allowance;   /* requests that are within the usual load or the equal share */
  double allowance_per_s;
} Flow;

/* State of one priority. */
typedef struct
{
  uint64_t virtual_time; /* tokens */
  uint64_t last_finish;  /* highest finish tag */
  uint32_t n_waiting;
  uint32_t n_flows_waiting;
  uint32_t n_granted; /* in this period of the averages */
  double per_s;       /* moving average of the grants */
  uint32_t n_flows;   /* that are not idle */
} Level;

struct MfFair
{
  Flow flows[MF_FAIR_FLOWS_MAX];
  uint32_t n_flows;
  Level levels[MF_FAIR_PRIORITY_MAX + 1];
  Share all;
  uint64_t decayed_us;
  uint32_t n_until_starved; /* grants until one may go to a starved flow */
  /* Of the flows with waiting requests: their first start tag at each priority, and whether they
   * are starved; computed again after a change. */
  uint64_t first_start[MF_FAIR_PRIORITY_MAX + 1];
  bool is_starved[MF_FAIR_FLOWS_MAX];
  bool ranks_valid;
  uint64_t now_us;      /* of the last event */
  uint64_t refilled_us; /* the allowances are of that time */
};

/* Returns NULL when out of memory. */
MfFair *
mf_fair_new (void)
{
  return calloc (1, sizeof (MfFair));
}

/* Accepts NULL. */
void
mf_fair_free (MfFair *fair)
{
  free (fair);
}

static void
share_decay (Share *share, double kept)
{
  share->n_ended *= kept;
  share->n_granted *= kept;
}

/* Adds a period to the usual load of a flow. */
static void
usual_note (Flow *flow)
{
  double n_arrived = flow->n_arrived;

  if (flow->n_periods >= USUAL_PERIODS_MIN && n_arrived > flow->usual_per_s * USUAL_GROWTH_MAX + 1.)
    n_arrived = flow->usual_per_s * USUAL_GROWTH_MAX + 1.;
  if (flow->n_periods < USUAL_PERIODS)
    flow->n_periods++;
  flow->usual_per_s += (n_arrived - flow->usual_per_s) / flow->n_periods;
  flow->n_arrived = 0;
}

/* Ends a period of the averages. */
static void
period_end (MfFair *fair)
{
  share_decay (&fair->all, SHARE_KEPT);
  for (uint32_t i = 0; i <= MF_FAIR_PRIORITY_MAX; i++)
    {
      Level *level = &fair->levels[i];

      level->per_s += (level->n_granted - level->per_s) * LEVEL_RATE_WEIGHT;
      level->n_granted = 0;
      level->n_flows = 0;
    }
  for (uint32_t i = 0; i < fair->n_flows; i++)
    {
      Flow *flow = &fair->flows[i];

      share_decay (&flow->share, SHARE_KEPT);
      usual_note (flow);
      fair->levels[flow->priority].n_flows
          += flow->n_waiting > 0 || flow->usual_per_s >= ACTIVE_PER_S_MIN;
    }
  for (uint32_t i = 0; i < fair->n_flows; i++)
    {
      Flow *flow = &fair->flows[i];
      const Level *level = &fair->levels[flow->priority];
      double equal_per_s = level->n_flows > 0 ? level->per_s / level->n_flows : level->per_s;

      flow->allowance_per_s = flow->usual_per_s * USUAL_MARGIN;
      if (flow->allowance_per_s < equal_per_s)
        flow->allowance_per_s = equal_per_s;
    }
}

/* Ends the periods of the averages that are over. */
static void
decay (MfFair *fair, uint64_t now_us)
{
  if (fair->decayed_us == 0)
    fair->decayed_us = fair->refilled_us = now_us;
  /* The end of a request may be noted with the time of an earlier event. */
  if (now_us < fair->now_us)
    return;
  fair->now_us = now_us;
  if (now_us >= fair->decayed_us + PERIODS_MAX * PERIOD_US)
    fair->decayed_us = now_us - PERIODS_MAX * PERIOD_US;
  for (; now_us >= fair->decayed_us + PERIOD_US; fair->decayed_us += PERIOD_US)
    period_end (fair);
}

/* Counts a request that has ended. */
static void
note_end (MfFair *fair, Flow *flow, bool is_granted, uint64_t now_us)
{
  decay (fair, now_us);
  flow->share.n_ended += 1.;
  flow->share.n_granted += is_granted;
  fair->all.n_ended += 1.;
  fair->all.n_granted += is_granted;
  fair->ranks_valid = false;
}

/* Returns the flow of a customer at a priority, or MF_NONE. */
uint32_t
mf_fair_find (const MfFair *fair, uint64_t customer, uint32_t priority)
{
  for (uint32_t i = 0; i < fair->n_flows; i++)
    {
      if (fair->flows[i].customer == customer && fair->flows[i].priority == priority)
        return i;
    }
  return MF_NONE;
}

/* Returns the flow without waiting requests that was used longest ago, or MF_NONE. */
static uint32_t
find_idle (const MfFair *fair)
{
  uint32_t idle = MF_NONE;

  for (uint32_t i = 0; i < fair->n_flows; i++)
    {
      if (fair->flows[i].n_waiting == 0
          && (idle == MF_NONE || fair->flows[i].used_us < fair->flows[idle].used_us))
        idle = i;
    }
  return idle;
}

/* Returns the flow whose priority is nearest to one. */
static uint32_t
find_nearest (const MfFair *fair, uint32_t priority)
{
  uint32_t nearest = 0;

  for (uint32_t i = 1; i < fair->n_flows; i++)
    {
      if (abs ((int)fair->flows[i].priority - (int)priority)
          < abs ((int)fair->flows[nearest].priority - (int)priority))
        nearest = i;
    }
  return nearest;
}

/* Returns the flow of a customer at a priority, a new one if there is none. */
static uint32_t
flow_get (MfFair *fair, uint64_t customer, uint32_t priority, uint64_t now_us)
{
  uint32_t flow = mf_fair_find (fair, customer, priority);

  if (flow == MF_NONE && fair->n_flows < MF_FAIR_FLOWS_MAX)
    {
      flow = fair->n_flows++;
      fair->flows[flow] = (Flow){ .customer = customer, .priority = priority };
    }
  if (flow == MF_NONE && (flow = find_idle (fair)) != MF_NONE)
    {
      fair->all.n_ended -= fair->flows[flow].share.n_ended;
      fair->all.n_granted -= fair->flows[flow].share.n_granted;
      fair->flows[flow] = (Flow){ .customer = customer, .priority = priority };
    }
  if (flow == MF_NONE)
    flow = find_nearest (fair, priority);
  fair->flows[flow].used_us = now_us;
  return flow;
}

static uint32_t
clamp_priority (uint32_t priority)
{
  return priority < MF_FAIR_PRIORITY_MAX ? priority : MF_FAIR_PRIORITY_MAX;
}

/* Adds a waiting request. Returns its flow, to be passed to the call that ends it: mf_fair_finish,
 * mf_fair_fail or mf_fair_leave. */
uint32_t
mf_fair_start (MfFair *fair, uint64_t customer, uint32_t priority, uint64_t now_us)
{
  uint32_t index = flow_get (fair, customer, clamp_priority (priority), now_us);
  Flow *flow = &fair->flows[index];
  Level *level = &fair->levels[flow->priority];

  decay (fair, now_us);
  flow->n_arrived++;
  /* When nothing waits, nobody is owed anything. */
  if (level->n_waiting == 0 && level->last_finish > level->virtual_time)
    level->virtual_time = level->last_finish;
  if (flow->n_waiting == 0)
    {
      flow->waiting_since_us = now_us;
      level->n_flows_waiting++;
      if (flow->start < level->virtual_time)
        flow->start = level->virtual_time;
    }
  flow->n_waiting++;
  level->n_waiting++;
  fair->ranks_valid = false;
  return index;
}

/* Removes a waiting request without counting it, as when the connection to its instance is lost. */
void
mf_fair_leave (MfFair *fair, uint32_t flow)
{
  Level *level = &fair->levels[fair->flows[flow].priority];

  level->n_waiting--;
  level->n_flows_waiting -= --fair->flows[flow].n_waiting == 0;
  fair->ranks_valid = false;
}

/* Removes a waiting request that has got no slot. */
void
mf_fair_fail (MfFair *fair, uint32_t flow, uint64_t now_us)
{
  mf_fair_leave (fair, flow);
  note_end (fair, &fair->flows[flow], false, now_us);
}

/* Counts a request that was refused instead of queued. */
void
mf_fair_refuse (MfFair *fair, uint64_t customer, uint32_t priority, uint64_t now_us)
{
  uint32_t flow = flow_get (fair, customer, clamp_priority (priority), now_us);

  note_end (fair, &fair->flows[flow], false, now_us);
  fair->flows[flow].n_arrived++;
}

/* Counts a grant in the rate of a flow. */
static void
rate_note (Flow *flow, uint64_t now_us)
{
  if (now_us >= flow->rate_period_us + RATE_PERIOD_US)
    {
      bool follows = now_us < flow->rate_period_us + 2 * RATE_PERIOD_US;

      flow->n_granted_before = follows ? flow->n_granted : 0;
      flow->rate_period_us = follows ? flow->rate_period_us + RATE_PERIOD_US : now_us;
      flow->n_granted = 0;
    }
  flow->n_granted++;
}

/* Removes a waiting request that has got a slot; its cost is in tokens. */
void
mf_fair_finish (MfFair *fair, uint32_t index, uint64_t cost, uint64_t now_us)
{
  Flow *flow = &fair->flows[index];
  Level *level = &fair->levels[flow->priority];
  MfFairRank rank = mf_fair_rank (fair, index);
  uint64_t limit;

  mf_fair_leave (fair, index);
  /* A grant out of turn, ahead of flows with lower tags, does not move the others' time. */
  if ((!rank.is_starved || rank.lead == 0) && flow->start > level->virtual_time)
    level->virtual_time = flow->start;
  if (flow->start + BEHIND_TOKENS_MAX < level->virtual_time)
    flow->start = level->virtual_time - BEHIND_TOKENS_MAX;
  flow->start += cost;
  limit = level->virtual_time + (cost > AHEAD_TOKENS_MAX ? cost : AHEAD_TOKENS_MAX);
  if (flow->start > limit)
    flow->start = limit;
  if (flow->start > level->last_finish)
    level->last_finish = flow->start;
  if (rank.is_starved)
    fair->n_until_starved = STARVED_ONE_IN - 1;
  else if (fair->n_until_starved > 0)
    fair->n_until_starved--;
  flow->allowance -= 1.;
  level->n_granted++;
  rate_note (flow, now_us);
  note_end (fair, flow, true, now_us);
}

/* Whether a flow is served less than a quarter as often as all. */
static bool
flow_is_starved (const MfFair *fair, const Flow *flow)
{
  return flow->share.n_granted * fair->all.n_ended * 1000.
         < flow->share.n_ended * fair->all.n_granted * STARVED_PER_MILLE;
}

/* Brings the allowances up to date. They are hardly ever negative: what a flow got beyond them
 * while nobody else wanted it is not held against it. */
static void
allowances_refill (MfFair *fair)
{
  double passed_s = (double)(fair->now_us - fair->refilled_us) / (double)MF_US_PER_S;

  fair->refilled_us = fair->now_us;
  for (uint32_t i = 0; i < fair->n_flows; i++)
    {
      Flow *flow = &fair->flows[i];
      double burst = flow->allowance_per_s * USUAL_BURST_S + 1.;

      flow->allowance += flow->allowance_per_s * passed_s;
      if (flow->allowance > burst)
        flow->allowance = burst;
      if (flow->allowance < -1.)
        flow->allowance = -1.;
    }
}

/* Whether the next request of a flow exceeds both its usual load and its equal share, while others
 * of its priority wait. */
static bool
flow_is_excess (const MfFair *fair, const Flow *flow)
{
  return flow->n_periods >= USUAL_PERIODS_MIN && flow->allowance < 1.
         && fair->levels[flow->priority].n_flows_waiting > 1;
}

static void
ranks_compute (MfFair *fair)
{
  allowances_refill (fair);
  for (uint32_t i = 0; i < fair->n_flows; i++)
    fair->first_start[fair->flows[i].priority] = UINT64_MAX;
  for (uint32_t i = 0; i < fair->n_flows; i++)
    {
      const Flow *flow = &fair->flows[i];

      fair->is_starved[i] = fair->n_until_starved == 0 && flow_is_starved (fair, flow);
      if (flow->n_waiting > 0 && flow->start < fair->first_start[flow->priority])
        fair->first_start[flow->priority] = flow->start;
    }
  fair->ranks_valid = true;
}

/* Returns the rank of a flow with waiting requests; valid until a request is added or ends. With a
 * single flow it is the same for any number of requests and any service. */
MfFairRank
mf_fair_rank (MfFair *fair, uint32_t index)
{
  const Flow *flow = &fair->flows[index];

  if (!fair->ranks_valid)
    ranks_compute (fair);
  return (MfFairRank){
    .is_starved = fair->is_starved[index],
    .priority = flow->priority,
    .is_excess = flow_is_excess (fair, flow),
    .lead = flow->start - fair->first_start[flow->priority],
  };
}

/* Returns a negative number if the first goes before the other, 0 if they are equal. */
int
mf_fair_compare (const MfFairRank *one, const MfFairRank *other)
{
  if (one->is_starved != other->is_starved)
    return one->is_starved ? -1 : 1;
  if (one->priority != other->priority)
    return one->priority < other->priority ? -1 : 1;
  if (one->is_excess != other->is_excess)
    return one->is_excess ? 1 : -1;
  return (one->lead > other->lead) - (one->lead < other->lead);
}

/* Whether a request of a flow can get a slot within left_us if n_before requests of the flow go
 * before it. It cannot if they outnumber the grants that the flow may get: RATE_MARGIN times the
 * better of its rates in this period and the last, and one. Without a full period in which its
 * requests waited and got slots, nothing is known. wait_us is set to the time in which those before
 * it are served at the present rate; 0: not known. */
bool
mf_fair_can_serve (const MfFair *fair, uint32_t index, uint32_t n_before, uint64_t left_us,
                   uint64_t now_us, uint64_t *wait_us)
{
  const Flow *flow = &fair->flows[index];
  uint32_t n_granted
      = flow->n_granted > flow->n_granted_before ? flow->n_granted : flow->n_granted_before;

  *wait_us = 0;
  if (flow->n_waiting == 0 || n_granted == 0 || flow->n_granted_before == 0
      || flow->waiting_since_us + RATE_PERIOD_US > flow->rate_period_us
      || now_us >= flow->rate_period_us + 2 * RATE_PERIOD_US)
    return true;
  *wait_us = n_before * RATE_PERIOD_US / n_granted;
  return (double)n_before
         <= RATE_MARGIN * n_granted * (double)left_us / (double)RATE_PERIOD_US + 1.;
}
