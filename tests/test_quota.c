#include "libmangofork/quota.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define KEY 77
#define PER_S 315000
#define BURST 315000
#define STREAM 5269
#define PLAIN 200
#define START_US (1000 * MF_US_PER_S)
#define STEP_US 250
#define WINDOW_MS 8000
/* What is permitted and what is to be used at least, in any window. */
#define UPPER ((PER_S * 8. + BURST) * 1.25 + 120000)
#define LOWER (0.97 * PER_S * 8)
#define TIMEOUT_US (80 * MF_US_PER_MS)
#define INSTANCES_MAX 300
#define RUN_MS_MAX 60000
#define FLIGHTS_MAX 16384

static const MfQuotaBounds bounds
    = { .window_us = 8 * MF_US_PER_S, .overage = 0.25, .slack = 120000 };

/* A message on its way, or the end of the wait for a reply. */
typedef enum
{
  FLIGHT_FREE,
  FLIGHT_ASK,
  FLIGHT_GRANT,
  FLIGHT_TIMEOUT,
} FlightKind;

typedef struct
{
  FlightKind kind;
  uint64_t at_us;
  uint32_t from;
  uint32_t to;
  uint64_t id; /* 0: a report */
  uint32_t n_units;
  MfQuotaAsk ask;
  MfQuotaGrant grant;
} Flight;

typedef struct
{
  MfQuotas *quotas;
  MfQuotaAsker *asker;
  uint32_t allocator; /* as it believes */
  uint32_t side;      /* of a partition */
  MfQuotaView view;
  bool is_frozen;
  bool is_dead;
  MfRateBucket share; /* of the rate, where these are compared */
  double demand;      /* units in the current second */
} Instance;

/* Ways to divide a quota. Shares follow demand with full knowledge of the last second. */
typedef enum
{
  BY_ALLOCATOR,
  BY_EQUAL_SHARES,
  BY_DEMAND,
  BY_NOTICE, /* each instance admits until the allocator, told afterwards, denies */
} Policy;

/* A fleet on a virtual clock. */
typedef struct
{
  Instance instances[INSTANCES_MAX];
  uint32_t n_instances;
  Flight flights[FLIGHTS_MAX];
  uint32_t n_flights; /* in use, from the first */
  uint64_t now_us;
  uint64_t last_id;
  uint64_t random;
  MfQuotaLimit limit;
  Policy policy;
  double load;           /* units asked for a second */
  double plain_share;    /* of the units, the part that plain requests ask for */
  double asked_units[2]; /* of plain requests and of streams */
  double admitted_units[2];
  double share_first;       /* of the requests, those of the first quarter of the instances */
  bool is_pending[1 << 20]; /* by id */
  double admitted[RUN_MS_MAX];
  uint64_t n_requests;
  uint64_t n_denied;
  uint64_t n_messages;
  double arrivals; /* due */
} Fleet;

static Fleet fleet;

static double
random_01 (void)
{
  fleet.random ^= fleet.random << 13;
  fleet.random ^= fleet.random >> 7;
  fleet.random ^= fleet.random << 17;
  return (double)(fleet.random >> 11) / 9007199254740992.;
}

static void
setup (uint32_t n_instances, double load)
{
  memset (&fleet, 0, sizeof fleet);
  fleet.n_instances = n_instances;
  fleet.now_us = START_US;
  fleet.random = 88172645463325252U + n_instances;
  fleet.limit = (MfQuotaLimit){ PER_S, BURST };
  fleet.load = load;
  fleet.share_first = 0.5;
  fleet.plain_share = 0.2;
  for (uint32_t i = 0; i < n_instances; i++)
    {
      fleet.instances[i].quotas = mf_quotas_new ();
      fleet.instances[i].asker = mf_quota_asker_new ();
      fleet.instances[i].view = (MfQuotaView){ n_instances, n_instances };
    }
}

static void
teardown (void)
{
  for (uint32_t i = 0; i < fleet.n_instances; i++)
    {
      mf_quotas_free (fleet.instances[i].quotas);
      mf_quota_asker_free (fleet.instances[i].asker);
    }
}

static Flight *
flight_new (FlightKind kind, uint32_t from, uint32_t to, uint64_t id, uint64_t after_us)
{
  uint32_t i = 0;

  while (fleet.flights[i].kind != FLIGHT_FREE)
    i++;
  assert_true (i < FLIGHTS_MAX - 1);
  if (i >= fleet.n_flights)
    fleet.n_flights = i + 1;
  fleet.flights[i] = (Flight){
    .kind = kind, .from = from, .to = to, .id = id, .at_us = fleet.now_us + after_us
  };
  fleet.n_messages += kind != FLIGHT_TIMEOUT;
  return &fleet.flights[i];
}

/* Half of a round trip of 3 to 20 ms. */
static uint64_t
latency_us (void)
{
  return 1500 + (uint64_t)(random_01 () * 8500.);
}

static void
note_end (uint32_t n_units, bool admitted)
{
  uint64_t ms = (fleet.now_us - START_US) / MF_US_PER_MS;

  if (admitted && ms < RUN_MS_MAX)
    fleet.admitted[ms] += n_units;
  fleet.n_denied += !admitted;
  fleet.asked_units[n_units == STREAM] += n_units;
  fleet.admitted_units[n_units == STREAM] += admitted ? n_units : 0;
}

static MfQuotaRequest
request_of (uint32_t i, uint32_t n_units)
{
  return (MfQuotaRequest){
    .key = KEY,
    .n_units = n_units,
    .limit = fleet.limit,
    .allocator = fleet.instances[i].allocator,
    .n_instances = fleet.n_instances,
    .random = (uint32_t)(random_01 () * 4294967295.),
    .wants_lease = fleet.instances[i].allocator != i,
  };
}

static void
decide_locally (uint32_t i, uint32_t n_units)
{
  MfQuotaRequest request = request_of (i, n_units);
  uint64_t retry_us = 0;

  note_end (n_units,
            mf_quota_asker_local (fleet.instances[i].asker, &request, fleet.now_us, &retry_us));
}

/* Sets the instance's part of the rate and of the burst. */
static void
share_set (uint32_t i, double part)
{
  uint64_t micro = (uint64_t)(PER_S * 13. / 12. * part * 1e6) + 1;

  mf_rate_bucket_set (&fleet.instances[i].share, micro, fleet.now_us);
  mf_rate_bucket_set_bounds (&fleet.instances[i].share, micro, 0, fleet.now_us);
}

static bool
share_admits (uint32_t i, uint32_t n_units)
{
  bool has = mf_rate_bucket_n_available (&fleet.instances[i].share, fleet.now_us) >= n_units;

  if (has)
    mf_rate_bucket_charge (&fleet.instances[i].share, n_units, fleet.now_us);
  return has;
}

static void
arrive (uint32_t i, uint32_t n_units)
{
  Instance *instance = &fleet.instances[i];
  MfQuotaRequest request = request_of (i, n_units);
  uint64_t retry_us = 0;
  MfQuotaAsk ask;
  Flight *flight;

  fleet.n_requests++;
  instance->demand += n_units;
  if (fleet.policy == BY_EQUAL_SHARES || fleet.policy == BY_DEMAND)
    {
      note_end (n_units, share_admits (i, n_units));
      return;
    }
  switch (mf_quota_asker_begin (instance->asker, &request, fleet.now_us, &ask, &retry_us))
    {
    case MF_QUOTA_ADMIT:
      note_end (n_units, true);
      return;
    case MF_QUOTA_DENY:
      assert_true (retry_us > 0);
      note_end (n_units, false);
      return;
    case MF_QUOTA_LOCAL:
      decide_locally (i, n_units);
      return;
    case MF_QUOTA_ASK:
      break;
    }
  if (instance->allocator == i)
    {
      MfQuotaGrant grant = mf_quotas_ask (instance->quotas, &ask, &fleet.limit, &bounds,
                                          instance->view, fleet.now_us);

      if (grant.redirected)
        decide_locally (i, n_units);
      else
        note_end (n_units, mf_quota_asker_handle_grant (instance->asker, &request, &grant,
                                                        fleet.now_us, &retry_us));
      return;
    }
  fleet.last_id++;
  assert_true (fleet.last_id < MF_ARRAY_LEN (fleet.is_pending));
  fleet.is_pending[fleet.last_id] = true;
  flight = flight_new (FLIGHT_ASK, i, instance->allocator, fleet.last_id, latency_us ());
  flight->ask = ask;
  if (fleet.policy == BY_NOTICE)
    {
      note_end (n_units, true);
      flight->ask.n_charged += n_units;
      flight->ask.n_units = 1;
      flight->ask.n_wanted = 0;
      return;
    }
  flight_new (FLIGHT_TIMEOUT, i, instance->allocator, fleet.last_id, TIMEOUT_US)->n_units = n_units;
}

static void
handle_ask (const Flight *flight)
{
  Instance *instance = &fleet.instances[flight->to];
  MfQuotaGrant grant = { .redirected = true };
  Flight *reply;

  if (instance->allocator == flight->to)
    grant = mf_quotas_ask (instance->quotas, &flight->ask, &fleet.limit, &bounds, instance->view,
                           fleet.now_us);
  if (flight->id == 0)
    return;
  reply = flight_new (FLIGHT_GRANT, flight->to, flight->from, flight->id, latency_us ());
  reply->n_units = flight->ask.n_units;
  reply->grant = grant;
}

static void
handle_grant (const Flight *flight)
{
  MfQuotaRequest request = request_of (flight->to, flight->n_units);
  MfQuotaAsker *asker = fleet.instances[flight->to].asker;
  uint64_t retry_us = 0;

  if (fleet.policy == BY_NOTICE)
    {
      mf_quota_asker_handle_grant (asker, &request, &flight->grant, fleet.now_us, &retry_us);
      return;
    }
  if (!fleet.is_pending[flight->id])
    {
      if (flight->grant.granted)
        mf_quota_asker_return (asker, KEY, flight->n_units + flight->grant.n_leased, false,
                               fleet.now_us);
      return;
    }
  fleet.is_pending[flight->id] = false;
  if (flight->grant.redirected)
    decide_locally (flight->to, flight->n_units);
  else
    note_end (flight->n_units, mf_quota_asker_handle_grant (asker, &request, &flight->grant,
                                                            fleet.now_us, &retry_us));
}

static void
handle_flight (Flight *flight)
{
  Flight now = *flight;
  const Instance *to = &fleet.instances[now.to];

  if (now.kind != FLIGHT_TIMEOUT && to->is_frozen)
    return;
  flight->kind = FLIGHT_FREE;
  if (now.kind == FLIGHT_TIMEOUT)
    {
      if (!fleet.is_pending[now.id])
        return;
      fleet.is_pending[now.id] = false;
      mf_quota_asker_note_unanswered (fleet.instances[now.from].asker, KEY, now.to, fleet.now_us);
      decide_locally (now.from, now.n_units);
      return;
    }
  if (to->is_dead || fleet.instances[now.from].side != to->side)
    return;
  if (now.kind == FLIGHT_ASK)
    handle_ask (&now);
  else
    handle_grant (&now);
}

static void
send_reports (uint32_t i)
{
  MfQuotaAsk ask;
  uint64_t allocator = 0;

  while (mf_quota_asker_next_report (fleet.instances[i].asker, fleet.now_us, &ask, &allocator))
    {
      if (allocator == i)
        mf_quotas_ask (fleet.instances[i].quotas, &ask, &fleet.limit, &bounds,
                       fleet.instances[i].view, fleet.now_us);
      else
        flight_new (FLIGHT_ASK, i, (uint32_t)allocator, 0, latency_us ())->ask = ask;
    }
}

static uint32_t
choose_instance (void)
{
  uint32_t quarter = fleet.n_instances / 4;

  return random_01 () < fleet.share_first
             ? (uint32_t)(random_01 () * quarter)
             : quarter + (uint32_t)(random_01 () * (fleet.n_instances - quarter));
}

static void
shares_follow_demand (void)
{
  double sum = 1.;

  for (uint32_t i = 0; i < fleet.n_instances; i++)
    sum += fleet.instances[i].demand;
  for (uint32_t i = 0; i < fleet.n_instances; i++)
    {
      share_set (i, fleet.instances[i].demand / sum);
      fleet.instances[i].demand = 0;
    }
}

/* Runs the fleet for a time. Arrivals are a Poisson process. */
static void
run (uint64_t for_ms)
{
  uint64_t until_us = fleet.now_us + for_ms * MF_US_PER_MS;
  double n_per_s = fleet.load * ((1. - fleet.plain_share) / STREAM + fleet.plain_share / PLAIN);
  double stream_share = (1. - fleet.plain_share) / STREAM
                        / ((1. - fleet.plain_share) / STREAM + fleet.plain_share / PLAIN);

  for (; fleet.now_us < until_us; fleet.now_us += STEP_US)
    {
      for (uint32_t i = 0; i < fleet.n_flights; i++)
        {
          if (fleet.flights[i].kind != FLIGHT_FREE && fleet.flights[i].at_us <= fleet.now_us)
            handle_flight (&fleet.flights[i]);
        }
      for (uint32_t i = 0; fleet.now_us % (100 * MF_US_PER_MS) == 0 && i < fleet.n_instances; i++)
        {
          if (!fleet.instances[i].is_dead && !fleet.instances[i].is_frozen)
            send_reports (i);
        }
      if (fleet.policy == BY_DEMAND && fleet.now_us % MF_US_PER_S == 0)
        shares_follow_demand ();
      /* At most some arrivals a step: two coin flips each half approximate the process. */
      for (uint32_t flip = 0; flip < 4; flip++)
        {
          uint32_t i;

          if (random_01 () >= n_per_s * STEP_US / 4e6)
            continue;
          i = choose_instance ();
          if (!fleet.instances[i].is_dead && !fleet.instances[i].is_frozen)
            arrive (i, random_01 () < stream_share ? STREAM : PLAIN);
        }
    }
}

/* Returns the largest or the smallest use of a window between two times of the run. */
static double
window_units (uint64_t from_ms, uint64_t to_ms, uint64_t window_ms, bool largest)
{
  double sum = 0;
  double found = largest ? 0 : 1e18;

  for (uint64_t ms = from_ms; ms < to_ms; ms++)
    {
      sum += fleet.admitted[ms];
      if (ms >= from_ms + window_ms)
        sum -= fleet.admitted[ms - window_ms];
      if (ms + 1 >= from_ms + window_ms && (largest ? sum > found : sum < found))
        found = sum;
    }
  return found;
}

static uint64_t
now_ms (void)
{
  return (fleet.now_us - START_US) / MF_US_PER_MS;
}

/* Prints the figures of a run and checks the bounds over windows from a time on. */
static void
check (const char *what, uint64_t from_ms, double lower)
{
  double most = window_units (0, now_ms (), WINDOW_MS, true);
  double least = window_units (from_ms, now_ms (), WINDOW_MS, false);
  double seconds = (double)now_ms () / 1000.;

  printf ("%-32s n=%3u load=%.1f most=%.0f (%.3f of bound) least=%.3f of limit requests/s=%.0f "
          "denied=%.4f messages/s=%.0f plain=%.3f streams=%.3f\n",
          what, fleet.n_instances, fleet.load / PER_S, most, most / UPPER, least / (PER_S * 8.),
          (double)fleet.n_requests / seconds, (double)fleet.n_denied / (double)fleet.n_requests,
          (double)fleet.n_messages / seconds, fleet.admitted_units[0] / (fleet.asked_units[0] + 1),
          fleet.admitted_units[1] / (fleet.asked_units[1] + 1));
  assert_true (most < UPPER || fleet.policy != BY_ALLOCATOR);
  assert_true (least > lower);
}

static const uint32_t sizes[] = { 6, 82, 300 };

/* Makes another instance the allocator at those that are not dead and of a side. */
static void
set_allocator (uint32_t allocator, uint32_t side, MfQuotaView view)
{
  for (uint32_t i = 0; i < fleet.n_instances; i++)
    {
      if (fleet.instances[i].side != side)
        continue;
      fleet.instances[i].allocator = allocator;
      fleet.instances[i].view = view;
    }
}

static void
test_half_of_the_limit_is_never_refused (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      setup (sizes[i], 0.5 * PER_S);
      run (20000);
      check ("half", 0, 0.);
      assert_int_equal (fleet.n_denied, 0);
      teardown ();
    }
}

static void
test_nine_times_the_limit_gets_the_limit (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      setup (sizes[i], 0.5 * PER_S);
      run (4000);
      fleet.load = 9. * PER_S;
      run (20000);
      check ("nine times", 4000, LOWER);
      teardown ();
    }
}

/* A customer that sends streams only has fewer requests, which are refused at few messages. */
static void
test_denials_cost_few_messages (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      setup (sizes[i], 9. * PER_S);
      fleet.plain_share = 0.;
      run (20000);
      check ("streams only", 0, LOWER);
      assert_true (fleet.n_messages < fleet.n_requests * 5 / 4);
      teardown ();
    }
}

/* The figures of other ways to divide a quota, for the design note: shares refuse below the limit,
 * and notices after the fact exceed the bound. Above the limit, only streams are sent. */
static void
test_other_ways_are_worse (void **state)
{
  static const char *const names[] = { "allocator", "equal shares", "shares by demand", "notices" };
  double refused[4];
  double most[4];

  (void)state;
  for (uint32_t j = 0; j < 2 * MF_ARRAY_LEN (names); j++)
    {
      bool is_above = j % 2 == 1;

      setup (300, (is_above ? 9. : 0.5) * PER_S);
      fleet.policy = (Policy)(j / 2);
      fleet.plain_share = is_above ? 0. : 0.2;
      for (uint32_t i = 0; i < fleet.n_instances; i++)
        {
          share_set (i, 1. / fleet.n_instances);
          mf_rate_bucket_return (&fleet.instances[i].share, BURST, fleet.now_us);
        }
      run (20000);
      check (names[j / 2], 0, -1.);
      if (is_above)
        most[j / 2] = window_units (0, now_ms (), WINDOW_MS, true);
      else
        refused[j / 2] = (double)fleet.n_denied / (double)fleet.n_requests;
      teardown ();
    }
  assert_true (refused[BY_ALLOCATOR] < 1e-9);
  assert_true (refused[BY_EQUAL_SHARES] > 0.05 && refused[BY_DEMAND] > 0.05);
  assert_true (most[BY_NOTICE] > UPPER);
}

/* The first instance allocates and ends; its requests are timed out or go on, and half a second
 * later all others know the next one. */
static void
test_allocator_is_lost (void **state)
{
  static const double loads[] = { 0.5, 9 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes) * 2; i++)
    {
      MfQuotaView view = { sizes[i / 2] - 1, sizes[i / 2] };

      setup (sizes[i / 2], loads[i % 2] * PER_S);
      run (10000);
      fleet.instances[0].is_dead = true;
      run (500);
      set_allocator (1, 0, view);
      run (15000);
      check ("allocator lost", 0, loads[i % 2] > 1. ? LOWER * 0.9 : 0.);
      teardown ();
    }
}

/* Each half learns after three seconds that the other is gone, and allocates; later they merge. */
static void
test_partition_in_two_halves (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      uint32_t n = sizes[i];

      setup (n, 9. * PER_S);
      run (5000);
      for (uint32_t j = n / 2; j < n; j++)
        fleet.instances[j].side = 1;
      run (3000);
      set_allocator (0, 0, (MfQuotaView){ n / 2, n });
      set_allocator (n / 2, 1, (MfQuotaView){ n - n / 2, n });
      run (15000);
      for (uint32_t j = n / 2; j < n; j++)
        fleet.instances[j].side = 0;
      set_allocator (0, 0, (MfQuotaView){ n, n });
      run (10000);
      check ("two halves", 0, LOWER * 0.9);
      teardown ();
    }
}

/* Sides of any size, down to one instance each, stay below the bound together. */
static void
test_partition_in_many_sides (void **state)
{
  static const uint32_t n_sides[] = { 4, 6, 300 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (n_sides); i++)
    {
      uint32_t n = 300 / n_sides[i];

      setup (300, 9. * PER_S);
      fleet.plain_share = 0.;
      run (5000);
      for (uint32_t j = 0; j < 300; j++)
        {
          fleet.instances[j].side = j / n;
          fleet.instances[j].allocator = j / n * n;
          fleet.instances[j].view = (MfQuotaView){ n, 300 };
        }
      run (20000);
      check ("many sides", 0, -1.);
      teardown ();
    }
}

/* Instances with leases freeze, the allocator for a shorter time than its reports are valid. */
static void
test_frozen_instances_exceed_nothing (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      setup (sizes[i], 0.9 * PER_S);
      run (5000);
      fleet.instances[1].is_frozen = true;
      run (2000);
      fleet.instances[1].is_frozen = false;
      fleet.load = 9. * PER_S;
      run (3000);
      fleet.instances[0].is_frozen = true;
      run (2000);
      fleet.instances[0].is_frozen = false;
      run (10000);
      check ("frozen", 12000, LOWER);
      teardown ();
    }
}

/* Within a window of the change, the new limit holds. */
static void
test_lowered_limit_takes_effect_at_once (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      MfQuotaLimit lowered = { PER_S / 4, BURST / 4 };
      double most;

      setup (sizes[i], 0.9 * PER_S);
      run (10000);
      fleet.limit = lowered;
      run (20000);
      most = window_units (10000, 30000, WINDOW_MS, true);
      printf ("lowered n=%u most=%.3f of bound\n", sizes[i],
              most / ((PER_S * 8. + BURST) / 4 * 1.25 + 120000));
      assert_true (most < (PER_S * 8. + BURST) / 4 * 1.25 + 120000);
      teardown ();
    }
}

/* The load of one quarter of the instances moves to the others and back. */
static void
test_demand_that_jumps_is_not_refused (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      setup (sizes[i], 0.9 * PER_S);
      for (uint32_t j = 0; j < 10; j++)
        {
          fleet.share_first = j % 2 == 0 ? 0.95 : 0.05;
          run (2000);
        }
      check ("jumps", 0, 0.);
      assert_int_equal (fleet.n_denied, 0);
      teardown ();
    }
}

/* A request of more units than a bucket can hold must not be refused for ever. */
static void
test_request_larger_than_the_burst_is_admitted_against_debt (void **state)
{
  MfQuotas *quotas = mf_quotas_new ();
  MfQuotaAsk ask = { .key = KEY, .n_units = 1000 };
  MfQuotaLimit limit = { .per_s = 100, .burst = 100 };
  MfQuotaView view = { 1, 1 };
  MfQuotaGrant grant;

  (void)state;
  grant = mf_quotas_ask (quotas, &ask, &limit, &bounds, view, START_US);
  assert_true (grant.granted);
  /* The next unit only after the debt is paid. */
  ask.n_units = 1;
  grant = mf_quotas_ask (quotas, &ask, &limit, &bounds, view, START_US + 2 * MF_US_PER_S);
  assert_false (grant.granted);
  assert_in_range (grant.wait_us, 4 * MF_US_PER_S, 9 * MF_US_PER_S);
  mf_quotas_free (quotas);
}

/* More customers than rows must neither fail nor forget the ones in use. */
static void
test_customers_are_bounded (void **state)
{
  MfQuotas *quotas = mf_quotas_new ();
  MfQuotaLimit limit = { .per_s = 10, .burst = 10 };
  MfQuotaView view = { 1, 1 };
  uint32_t n_granted = 0;

  (void)state;
  for (uint32_t i = 0; i < 2000; i++)
    {
      MfQuotaAsk ask = { .key = i + 1000, .n_units = 1 };

      mf_quotas_ask (quotas, &ask, &limit, &bounds, view, START_US + i);
      ask.key = KEY;
      n_granted += mf_quotas_ask (quotas, &ask, &limit, &bounds, view, START_US + i).granted;
    }
  assert_in_range (n_granted, 10, 15);
  mf_quotas_free (quotas);
}

/* The log must name each change of a customer's state once. */
static void
test_changes_of_state_are_named_once (void **state)
{
  MfQuotas *quotas = mf_quotas_new ();
  MfQuotaAsk ask = { .key = KEY, .n_units = 15 };
  MfQuotaLimit limit = { .per_s = 10, .burst = 10 };
  MfQuotaView view = { 1, 1 };
  uint64_t key = 0;
  bool is_limited = false;

  (void)state;
  assert_false (mf_quotas_next_change (quotas, START_US, &key, &is_limited));
  for (uint32_t i = 0; i < 3; i++)
    mf_quotas_ask (quotas, &ask, &limit, &bounds, view, START_US);
  assert_true (mf_quotas_next_change (quotas, START_US, &key, &is_limited));
  assert_true (key == KEY && is_limited);
  assert_false (mf_quotas_next_change (quotas, START_US, &key, &is_limited));
  assert_true (mf_quotas_any_limited (quotas));
  assert_true (mf_quotas_next_change (quotas, START_US + 6 * MF_US_PER_S, &key, &is_limited));
  assert_false (is_limited);
  assert_false (mf_quotas_any_limited (quotas));
  mf_quotas_free (quotas);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_half_of_the_limit_is_never_refused),
    cmocka_unit_test (test_nine_times_the_limit_gets_the_limit),
    cmocka_unit_test (test_denials_cost_few_messages),
    cmocka_unit_test (test_other_ways_are_worse),
    cmocka_unit_test (test_allocator_is_lost),
    cmocka_unit_test (test_partition_in_two_halves),
    cmocka_unit_test (test_partition_in_many_sides),
    cmocka_unit_test (test_frozen_instances_exceed_nothing),
    cmocka_unit_test (test_lowered_limit_takes_effect_at_once),
    cmocka_unit_test (test_demand_that_jumps_is_not_refused),
    cmocka_unit_test (test_request_larger_than_the_burst_is_admitted_against_debt),
    cmocka_unit_test (test_customers_are_bounded),
    cmocka_unit_test (test_changes_of_state_are_named_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
