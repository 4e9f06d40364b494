#include "libmangofork/member_row.h"
#include "libmangofork/share.h"

#include "fakes/cores.h"
#include "fakes/text.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define SLOTS 20
#define N_INSTANCES 6
#define STEP_US (100 * MF_US_PER_MS)

/* Six instances share one engine. Each uses what it wants within its share, and an eighth of its
 * calls ends with each step. */
typedef struct
{
  FakeCores *cores;
  uint32_t upstream;
  uint32_t demand[N_INSTANCES];
  uint32_t used_max; /* most slots in use at once, over all instances */
  uint64_t used_sum;
  uint32_t n_steps;
} Engine;

static void
engine_new (Engine *engine)
{
  const FakeCoresOptions options
      = { .n_instances = N_INSTANCES, .n_data_centres = 3, .delay_us = MF_US_PER_MS, .seed = 8 };
  char *text = fake_config_text (&(FakeConfigTextOptions){
      .n_upstreams = 1, .slots = SLOTS, .version = "", .checks_fencing = true });

  *engine = (Engine){ .cores = fake_cores_new (&options) };
  fake_cores_publish (engine->cores, 1, text);
  free (text);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    fake_cores_start (engine->cores, i);
  fake_cores_run (engine->cores, 5 * MF_US_PER_S);
  engine->upstream = mf_upstream_find (fake_cores_core (engine->cores, 0), mf_hash_name ("d0"));
}

static uint32_t *
used_by (Engine *engine, uint32_t instance)
{
  return &fake_cores_core (engine->cores, instance)->board.upstreams[engine->upstream].own_slots;
}

static void
use_slots (Engine *engine, uint32_t instance)
{
  MfCore *core = fake_cores_core (engine->cores, instance);
  uint32_t *used = used_by (engine, instance);
  uint32_t limit;

  *used -= (*used + 7) / 8;
  mf_share_set_demand (core, engine->upstream, engine->demand[instance]);
  limit = mf_share_limit (core, engine->upstream);
  while (*used < engine->demand[instance] && *used < limit)
    ++*used;
}

static void
engine_run (Engine *engine, uint64_t for_us)
{
  engine->used_max = 0;
  engine->used_sum = 0;
  engine->n_steps = 0;
  for (uint64_t at_us = 0; at_us < for_us; at_us += STEP_US)
    {
      uint32_t total = 0;

      for (uint32_t i = 0; i < N_INSTANCES; i++)
        {
          if (fake_cores_core (engine->cores, i) == NULL)
            continue;
          use_slots (engine, i);
          total += *used_by (engine, i);
        }
      fake_cores_run (engine->cores, STEP_US);
      engine->used_max = total > engine->used_max ? total : engine->used_max;
      engine->used_sum += total;
      engine->n_steps++;
    }
}

static void
test_one_with_demand_fills_the_engine (void **state)
{
  Engine engine;

  (void)state;
  engine_new (&engine);
  engine.demand[2] = 30;
  engine_run (&engine, MF_US_PER_S);
  engine_run (&engine, 2 * MF_US_PER_S);
  assert_int_equal (*used_by (&engine, 2), SLOTS);
  assert_int_equal (engine.used_max, SLOTS);
  fake_cores_free (engine.cores);
}

static void
test_equal_demand_is_shared_without_overrun (void **state)
{
  Engine engine;

  (void)state;
  engine_new (&engine);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    engine.demand[i] = 15;
  engine_run (&engine, 3 * MF_US_PER_S);
  engine_run (&engine, 5 * MF_US_PER_S);
  assert_int_equal (engine.used_max, SLOTS);
  assert_int_equal (engine.used_sum, (uint64_t)engine.n_steps * SLOTS);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    assert_in_range (*used_by (&engine, i), SLOTS / N_INSTANCES, SLOTS / N_INSTANCES + 1);
  fake_cores_free (engine.cores);
}

static void
test_small_demand_is_met_and_the_rest_shared (void **state)
{
  Engine engine;

  (void)state;
  engine_new (&engine);
  engine.demand[0] = 1;
  engine.demand[1] = 30;
  engine.demand[2] = 30;
  engine_run (&engine, 4 * MF_US_PER_S);
  assert_int_equal (*used_by (&engine, 0), 1);
  assert_in_range (*used_by (&engine, 1), 9, 10);
  assert_int_equal (*used_by (&engine, 1) + *used_by (&engine, 2), SLOTS - 1);
  fake_cores_free (engine.cores);
}

/* Demand moves from one instance to all others at once. Until they know of each other, the slots in
 * use may exceed the engine's only slightly. */
static void
test_moving_demand_overruns_little (void **state)
{
  Engine engine;
  uint32_t peak = 0;

  (void)state;
  engine_new (&engine);
  engine.demand[0] = 30;
  engine_run (&engine, 3 * MF_US_PER_S);
  for (uint32_t i = 1; i < N_INSTANCES; i++)
    engine.demand[i] = 10;
  engine_run (&engine, 2 * MF_US_PER_S);
  peak = engine.used_max;
  engine_run (&engine, 3 * MF_US_PER_S);
  print_message ("peak use while demand moved: %u of %u slots\n", peak, SLOTS);
  assert_true (peak <= SLOTS + 2 * (N_INSTANCES - 1));
  assert_int_equal (engine.used_max, SLOTS);
  assert_true (engine.used_sum >= (uint64_t)engine.n_steps * SLOTS * 95 / 100);
  fake_cores_free (engine.cores);
}

static void
test_share_of_the_dead_returns (void **state)
{
  Engine engine;

  (void)state;
  engine_new (&engine);
  engine.demand[0] = 30;
  engine.demand[1] = 30;
  engine_run (&engine, 4 * MF_US_PER_S);
  assert_in_range (*used_by (&engine, 0), 9, 11);
  fake_cores_kill (engine.cores, 1, true);
  engine_run (&engine, 5 * MF_US_PER_S);
  assert_int_equal (*used_by (&engine, 0), SLOTS);
  fake_cores_free (engine.cores);
}

/* A newly started instance that gets no digests takes no more than an equal part. */
static void
test_unheard_instances_are_left_their_part (void **state)
{
  Engine engine;
  MfCore *core;

  (void)state;
  engine_new (&engine);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      fake_cores_set_link_cut (engine.cores, 0, i, true);
      fake_cores_set_link_cut (engine.cores, i, 0, true);
    }
  fake_cores_start (engine.cores, 0);
  core = fake_cores_core (engine.cores, 0);
  for (uint32_t i = 0; i < 30 && core->board.config == NULL; i++)
    fake_cores_run (engine.cores, 100 * MF_US_PER_MS);
  assert_non_null (core->board.config);
  mf_share_set_demand (core, engine.upstream, 30);
  assert_in_range (mf_share_limit (core, engine.upstream), 1, SLOTS / N_INSTANCES + 1);
  fake_cores_free (engine.cores);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_with_demand_fills_the_engine),
    cmocka_unit_test (test_equal_demand_is_shared_without_overrun),
    cmocka_unit_test (test_small_demand_is_met_and_the_rest_shared),
    cmocka_unit_test (test_moving_demand_overruns_little),
    cmocka_unit_test (test_share_of_the_dead_returns),
    cmocka_unit_test (test_unheard_instances_are_left_their_part),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
