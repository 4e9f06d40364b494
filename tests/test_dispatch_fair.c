#include "libmangofork/relay/dispatch.h"
#include "libmangofork/relay/load.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define NOW_US (100 * MF_US_PER_S)
#define OBJECTIVE_US (900 * MF_US_PER_MS)
#define MAX_AGE_US (3300 * MF_US_PER_MS)
#define STEP_US (10 * MF_US_PER_MS)
#define N_ENGINES 8
#define N_CUSTOMERS 16
#define N_STREAMS_MAX 20000
/* Time in which the usual loads become known, and the time that is measured. */
#define WARM_UP_S 90
#define RUN_S 60
/* Eight engines of four slots, each held for a second on average. */
#define CAPACITY_PER_S 32.
#define KV_TOKENS 5269

/* Load of a customer, and what it gets. */
typedef struct
{
  double per_s;
  double flood; /* multiple of it that is sent in the time that is measured; 0: 1 */
  uint32_t priority;
  uint64_t random;
  double due; /* requests that are due, in parts */
  uint32_t n_sent;
  uint32_t n_served;
  uint32_t n_in_time; /* of these, within the objective */
  uint32_t n_refused;
} Load;

typedef struct
{
  uint64_t sent_us;
  uint64_t granted_us; /* 0: it waits or has ended without a slot */
  bool has_ended;
  uint32_t customer;
  uint64_t requester;
  uint64_t kv_tokens;
  uint64_t held_us; /* how long it holds its slot */
  uint32_t engine;
} Stream;

typedef struct
{
  MfTargets targets;
  MfTarget engines[N_ENGINES];
  MfDispatch *dispatch;
  Load *loads;
  Stream *streams;
  uint32_t n_streams;
  uint32_t first_open; /* earlier streams have ended */
  uint64_t now_us;
  uint64_t measured_us; /* requests count from then on */
  uint64_t order[512];  /* ids of grants */
  uint32_t n_order;
} Simulation;

static const MfRouteService services[] = {
  { .name = "llm", .is_engine = true, .engine_slots = 4 },
  { .name = "other", .is_engine = true, .engine_slots = 4 },
};

static const MfRouteService *
on_service_config (void *data, const char *service)
{
  (void)data;
  for (uint32_t i = 0; i < MF_ARRAY_LEN (services); i++)
    {
      if (strcmp (service, services[i].name) == 0)
        return &services[i];
    }
  return NULL;
}

/* The load of a pending grant stays until the stream ends, as if reported. */
static void
on_grant (void *data, uint64_t requester, const MfGrant *grant)
{
  Simulation *simulation = data;
  Stream *stream;
  Load *load;

  mf_dispatch_ack_grants (simulation->dispatch, requester, grant->id);
  if (simulation->n_order < MF_ARRAY_LEN (simulation->order))
    simulation->order[simulation->n_order++] = grant->id;
  if (simulation->streams == NULL)
    return;
  stream = &simulation->streams[grant->id - 1];
  load = &simulation->loads[stream->customer];
  stream->granted_us = simulation->now_us;
  stream->engine = (uint32_t)grant->decode - 1;
  if (stream->sent_us < simulation->measured_us)
    return;
  load->n_served++;
  load->n_in_time += simulation->now_us <= stream->sent_us + OBJECTIVE_US;
}

static const MfDispatchCallbacks callbacks
    = { .grant = on_grant, .service_config = on_service_config };

static void
simulation_setup (Simulation *simulation, uint32_t n_slots)
{
  memset (simulation, 0, sizeof *simulation);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    {
      MfTarget *target = &simulation->engines[i];

      target->info.role = MF_ROLE_DECODE;
      target->info.slots = n_slots;
      mf_name_set (target->info.service, sizeof target->info.service, "llm");
      target->id_hash = i + 1;
      target->next = simulation->targets.first;
      simulation->targets.first = target;
    }
  simulation->dispatch = mf_dispatch_new (&simulation->targets, &callbacks, simulation);
  assert_non_null (simulation->dispatch);
}

/* Returns a number in [0, 1). */
static double
random_next (uint64_t *random)
{
  *random = *random * UINT64_C (6364136223846793005) + UINT64_C (1442695040888963407);
  return (double)(*random >> 33) / (double)(UINT64_C (1) << 31);
}

static MfSlotRequest
stream_request (const Simulation *simulation, uint32_t index)
{
  const Stream *stream = &simulation->streams[index];

  return (MfSlotRequest){
    .id = index + 1,
    .service = "llm",
    .prompt_tokens = stream->kv_tokens,
    .kv_tokens = stream->kv_tokens,
    .age_us = simulation->now_us - stream->sent_us,
    .objective_us = OBJECTIVE_US,
    .max_age_us = MAX_AGE_US,
    .customer = stream->customer + 1,
    .priority = simulation->loads[stream->customer].priority,
  };
}

static void
stream_send (Simulation *simulation, uint32_t customer, uint32_t n_requesters)
{
  Load *load = &simulation->loads[customer];
  uint32_t index = simulation->n_streams++;
  uint64_t wait_us = 0;
  MfSlotRequest request;

  assert_in_range (index, 0, N_STREAMS_MAX - 1);
  simulation->streams[index] = (Stream){
    .sent_us = simulation->now_us,
    .customer = customer,
    .requester = 1 + (uint64_t)(random_next (&load->random) * n_requesters),
    .kv_tokens = (uint64_t)(KV_TOKENS * (0.5 + random_next (&load->random))),
    .held_us = (uint64_t)((double)MF_US_PER_S * (0.5 + random_next (&load->random))),
  };
  load->n_sent += simulation->now_us >= simulation->measured_us;
  request = stream_request (simulation, index);
  if (mf_dispatch_admit (simulation->dispatch, &request, simulation->now_us, &wait_us))
    {
      mf_dispatch_enqueue (simulation->dispatch, simulation->streams[index].requester, &request,
                           simulation->now_us);
      return;
    }
  assert_true (wait_us > 0);
  simulation->streams[index].has_ended = true;
  load->n_refused += simulation->now_us >= simulation->measured_us;
}

/* Ends streams that have been served, and those that have waited for too long. */
static void
streams_end (Simulation *simulation)
{
  for (uint32_t i = simulation->first_open; i < simulation->n_streams; i++)
    {
      Stream *stream = &simulation->streams[i];

      if (stream->has_ended)
        {
          simulation->first_open += i == simulation->first_open;
          continue;
        }
      if (stream->granted_us > 0)
        {
          MfTarget *engine = &simulation->engines[stream->engine];

          stream->has_ended = simulation->now_us >= stream->granted_us + stream->held_us;
          engine->n_remote -= stream->has_ended;
          engine->remote_tokens -= stream->has_ended ? stream->kv_tokens : 0;
          continue;
        }
      stream->has_ended = simulation->now_us >= stream->sent_us + MAX_AGE_US;
      if (stream->has_ended)
        mf_dispatch_cancel (simulation->dispatch, stream->requester, i + 1);
    }
}

/* Replaces the dispatcher by one without state, to which all waiting requests are sent again. */
static void
leader_change (Simulation *simulation)
{
  mf_dispatch_free (simulation->dispatch);
  simulation->dispatch = mf_dispatch_new (&simulation->targets, &callbacks, simulation);
  for (uint32_t i = simulation->first_open; i < simulation->n_streams; i++)
    {
      MfSlotRequest request = stream_request (simulation, i);

      if (!simulation->streams[i].has_ended && simulation->streams[i].granted_us == 0)
        mf_dispatch_enqueue (simulation->dispatch, simulation->streams[i].requester, &request,
                             simulation->now_us);
    }
}

/* Runs the loads for RUN_S; with changes_leader, the leader starts anew every second. */
static void
simulate (Load *loads, uint32_t n_customers, uint32_t n_requesters, bool changes_leader)
{
  Simulation simulation;

  simulation_setup (&simulation, 4);
  simulation.loads = loads;
  simulation.measured_us = NOW_US + WARM_UP_S * MF_US_PER_S;
  simulation.streams = calloc (N_STREAMS_MAX, sizeof *simulation.streams);
  assert_non_null (simulation.streams);
  for (uint32_t i = 0; i < n_customers; i++)
    loads[i].random = i + 1;
  for (uint32_t step = 0; step < (WARM_UP_S + RUN_S) * 100; step++)
    {
      simulation.now_us = NOW_US + step * STEP_US;
      if (changes_leader && step % 100 == 99)
        leader_change (&simulation);
      streams_end (&simulation);
      for (uint32_t i = 0; i < n_customers; i++)
        {
          double per_s = loads[i].per_s;

          if (simulation.now_us >= simulation.measured_us && loads[i].flood > 0.)
            per_s *= loads[i].flood;
          /* Irregular arrivals: between none and twice the mean. */
          loads[i].due += per_s / 100. * 2. * random_next (&loads[i].random);
          for (; loads[i].due >= 1.; loads[i].due -= 1.)
            stream_send (&simulation, i, n_requesters);
        }
      mf_dispatch_run (simulation.dispatch, simulation.now_us);
    }
  mf_dispatch_free (simulation.dispatch);
  free (simulation.streams);
}

/* Fills the usual loads of 16 customers, three of them large: 90 % of the capacity. */
static void
usual_loads (Load *loads)
{
  static const double large_per_s[] = { 6., 5., 4. };

  memset (loads, 0, N_CUSTOMERS * sizeof *loads);
  for (uint32_t i = 0; i < N_CUSTOMERS; i++)
    loads[i].per_s = i < 3 ? large_per_s[i] : (CAPACITY_PER_S * 0.9 - 15.) / (N_CUSTOMERS - 3);
}

static double
served_share (const Load *loads, uint32_t n_loads)
{
  uint32_t n_sent = 0;
  uint32_t n_served = 0;

  for (uint32_t i = 0; i < n_loads; i++)
    {
      n_sent += loads[i].n_sent;
      n_served += loads[i].n_served;
    }
  return (double)n_served / n_sent;
}

/* Compares a run in which a customer sends nine times its usual load with one in which it does not.
 */
static void
check_flood (uint32_t flooding, uint32_t n_requesters, bool changes_leader)
{
  Load usual[N_CUSTOMERS];
  Load flood[N_CUSTOMERS];
  uint32_t n_usual[2] = { 0 };
  uint32_t n_flood[2] = { 0 };
  double all;
  double worst = 1.;

  usual_loads (usual);
  usual_loads (flood);
  flood[flooding].flood = 9.;
  simulate (usual, N_CUSTOMERS, n_requesters, false);
  simulate (flood, N_CUSTOMERS, n_requesters, changes_leader);
  all = served_share (flood, N_CUSTOMERS);
  for (uint32_t i = 0; i < N_CUSTOMERS; i++)
    {
      /* Nobody is served less than a quarter as often as all. */
      assert_true (flood[i].n_served >= all / 4. * flood[i].n_sent);
      if (i == flooding)
        continue;
      if (flood[i].n_served < worst * usual[i].n_served)
        worst = (double)flood[i].n_served / usual[i].n_served;
      n_usual[0] += usual[i].n_served;
      n_usual[1] += usual[i].n_in_time;
      n_flood[0] += flood[i].n_served;
      n_flood[1] += flood[i].n_in_time;
    }
  print_message ("%u requesters, %.1f/s to %.1f/s: others served %u to %u (%.1f %%), in time %u to "
                 "%u (%.1f %%), one of them %.1f %%; it %u of %u, %u refused\n",
                 n_requesters, usual[flooding].per_s, 9. * flood[flooding].per_s, n_usual[0],
                 n_flood[0], 100. * n_flood[0] / n_usual[0] - 100., n_usual[1], n_flood[1],
                 100. * n_flood[1] / n_usual[1] - 100., 100. * worst - 100.,
                 flood[flooding].n_served, flood[flooding].n_sent, flood[flooding].n_refused);
  assert_true (n_flood[0] >= 0.95 * n_usual[0]);
  assert_true (n_flood[1] >= 0.95 * n_usual[1]);
  /* Once usual loads are known, the flood gets only what the others leave. */
  assert_true (changes_leader || n_flood[0] >= 0.99 * n_usual[0]);
}

/* Guards against a customer that takes the capacity of the others. */
static void
test_nine_times_the_load_costs_the_others_little (void **state)
{
  static const uint32_t n_requesters[] = { 6, 82, 300 };

  (void)state;
  for (uint32_t i = 0; i < MF_ARRAY_LEN (n_requesters); i++)
    {
      check_flood (0, n_requesters[i], false);
      check_flood (N_CUSTOMERS - 1, n_requesters[i], false);
    }
}

/* Guards against lost requests and lost fairness when leaders follow each other. */
static void
test_leaders_that_start_anew_stay_fair (void **state)
{
  (void)state;
  check_flood (0, 82, true);
}

/* Guards against starvation of less urgent customers, while the urgent keep most. */
static void
test_urgent_customers_first_and_nobody_starves (void **state)
{
  Load loads[3] = {
    { .per_s = 2 * CAPACITY_PER_S, .priority = 0 },
    { .per_s = CAPACITY_PER_S / 2, .priority = 1 },
    { .per_s = CAPACITY_PER_S / 4, .priority = 200 },
  };
  double all;

  (void)state;
  simulate (loads, 3, 82, false);
  all = served_share (loads, 3);
  for (uint32_t i = 0; i < 3; i++)
    {
      double share = served_share (&loads[i], 1);

      print_message ("priority %u: served %u of %u, %.2f of the share of all\n", loads[i].priority,
                     loads[i].n_served, loads[i].n_sent, share / all);
      assert_true (share >= all / 4.);
      assert_true (i == 0 ? share > all : share < all / 2.);
    }
}

/* Guards against capacity that is left unused: a customer alone gets all of it, and what is left by
 * customers that need less goes to the one that can use it. */
static void
test_unused_shares_go_to_others (void **state)
{
  Load alone[1] = { { .per_s = 3 * CAPACITY_PER_S } };
  Load two[2] = { { .per_s = 3 * CAPACITY_PER_S }, { .per_s = CAPACITY_PER_S / 8 } };

  (void)state;
  simulate (alone, 1, 82, false);
  assert_true (alone[0].n_served >= 0.98 * CAPACITY_PER_S * RUN_S);
  simulate (two, 2, 82, false);
  print_message ("alone %u; %u and %u of %u, %u in time\n", alone[0].n_served, two[0].n_served,
                 two[1].n_served, two[1].n_sent, two[1].n_in_time);
  assert_true (two[0].n_served + two[1].n_served >= 0.98 * CAPACITY_PER_S * RUN_S);
  assert_true (two[1].n_in_time >= 0.99 * two[1].n_sent);
}

typedef struct
{
  MfSlotRequest request;
  uint64_t arrived_us;
} Queued;

/* The order without customers. */
static bool
goes_before (const Queued *one, const Queued *other)
{
  bool one_late = NOW_US > one->arrived_us + one->request.objective_us;
  bool other_late = NOW_US > other->arrived_us + other->request.objective_us;

  if (one->request.is_prefilled != other->request.is_prefilled)
    return one->request.is_prefilled;
  if ((one->request.version != 0) != (other->request.version != 0))
    return one->request.version != 0;
  if (one_late != other_late)
    return other_late;
  return one->arrived_us < other->arrived_us;
}

/* Guards against another order of grants where the configuration has no customers; and, with a
 * customer, of the requests of one customer. */
static void
test_order_of_one_customer_is_as_without (void **state)
{
  uint64_t random = 7;

  (void)state;
  for (uint32_t round = 0; round < 2000; round++)
    {
      Simulation simulation;
      Queued queued[40];
      uint32_t n_queued = 1 + (uint32_t)(random_next (&random) * 40.);
      uint32_t n_expected = 0;
      bool is_taken[40] = { false };

      simulation_setup (&simulation, 0);
      for (uint32_t i = 0; i < N_ENGINES; i++)
        {
          simulation.engines[i].version = i % 2 + 1;
          if (i >= N_ENGINES / 2)
            mf_name_set (simulation.engines[i].info.service, MF_NAME_BYTES, "other");
        }
      for (uint32_t i = 0; i < n_queued; i++)
        {
          MfSlotRequest *request = &queued[i].request;

          *request = (MfSlotRequest){
            .id = i + 1,
            .kv_tokens = (uint64_t)(random_next (&random) * 20000.),
            .is_prefilled = random_next (&random) < 0.2,
            .version = random_next (&random) < 0.3 ? 1 + (uint64_t)(random_next (&random) * 2.) : 0,
            .age_us = (uint64_t)(random_next (&random) * 20.) * 200 * MF_US_PER_MS,
            .objective_us = OBJECTIVE_US,
            .max_age_us = MAX_AGE_US,
            .customer = round % 2,
          };
          mf_name_set (request->service, sizeof request->service,
                       round % 2 == 0 && random_next (&random) < 0.5 ? "other" : "llm");
          queued[i].arrived_us = NOW_US - request->age_us;
          mf_dispatch_enqueue (simulation.dispatch, 1 + i % 5, request, NOW_US);
        }
      mf_dispatch_run (simulation.dispatch, NOW_US);
      /* Of equal requests, the one that was queued last comes first. */
      for (uint32_t i = 0; i < n_queued; i++)
        {
          uint32_t best = MF_NONE;

          for (uint32_t j = n_queued; j-- > 0;)
            {
              if (!is_taken[j] && (best == MF_NONE || goes_before (&queued[j], &queued[best])))
                best = j;
            }
          is_taken[best] = true;
          if (queued[best].request.age_us > MAX_AGE_US)
            continue;
          assert_int_equal (simulation.order[n_expected], queued[best].request.id);
          n_expected++;
        }
      assert_int_equal (simulation.n_order, n_expected);
      mf_dispatch_free (simulation.dispatch);
    }
}

/* Guards against counters that grow with the number of customers. */
static void
test_counters_are_bounded (void **state)
{
  Simulation simulation;
  const MfDispatchCustomer *rows;
  uint32_t n_rows;
  MfSlotRequest request
      = { .service = "llm", .objective_us = OBJECTIVE_US, .max_age_us = MAX_AGE_US };

  (void)state;
  simulation_setup (&simulation, 0);
  request.id = 1;
  mf_dispatch_enqueue (simulation.dispatch, 1, &request, NOW_US);
  mf_dispatch_run (simulation.dispatch, NOW_US);
  mf_dispatch_customers (simulation.dispatch, &n_rows);
  assert_int_equal (n_rows, 0);
  for (request.id = 2; request.id < 202; request.id++)
    {
      request.customer = request.id;
      mf_dispatch_enqueue (simulation.dispatch, 1, &request, NOW_US);
      mf_dispatch_run (simulation.dispatch, NOW_US);
    }
  rows = mf_dispatch_customers (simulation.dispatch, &n_rows);
  assert_int_equal (n_rows, MF_DISPATCH_CUSTOMERS_MAX);
  assert_int_equal (rows[0].n_granted, 1);
  assert_true (rows[n_rows - 1].customer == MF_DISPATCH_OTHER_CUSTOMERS);
  assert_int_equal (rows[n_rows - 1].n_granted, 200 - (MF_DISPATCH_CUSTOMERS_MAX - 1));
  mf_dispatch_free (simulation.dispatch);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nine_times_the_load_costs_the_others_little),
    cmocka_unit_test (test_leaders_that_start_anew_stay_fair),
    cmocka_unit_test (test_urgent_customers_first_and_nobody_starves),
    cmocka_unit_test (test_unused_shares_go_to_others),
    cmocka_unit_test (test_order_of_one_customer_is_as_without),
    cmocka_unit_test (test_counters_are_bounded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
