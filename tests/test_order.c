#include "libmangofork/member.h"

#include "fakes/cores.h"
#include "fakes/text.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define N_SLOTS 6
#define ENGINES_MAX 8
#define STEP_US (100 * MF_US_PER_MS)
#define LAG_US (50 * MF_US_PER_MS)
#define LOAD_US (3 * MF_US_PER_S)

/* An engine that loads versions on orders. */
typedef struct
{
  char version[MF_NAME_BYTES];
  char next_version[MF_NAME_BYTES];
  uint64_t load_end_us; /* when the running load ends; 0 for none */
  uint64_t fence_seen;
  uint32_t n_used;
  uint32_t n_orders;
  uint32_t n_refused;
  uint32_t n_busy_orders; /* received while it had work */
  uint64_t fences[64];
} Engine;

typedef struct
{
  uint32_t slot;
  uint64_t call_id;
  uint16_t status;
} Reply;

typedef struct
{
  FakeCores *cores;
  Engine engines[ENGINES_MAX];
  uint32_t n_engines;
  bool checks_fencing;
  bool paused[N_SLOTS]; /* instances that are paused and get no reports */
  Reply replies[64];
  uint32_t n_replies;
  uint32_t n_loading_max; /* highest number of engines loading at once */
} Fleet;

static void
on_call (FakeCores *cores, uint32_t slot, const MfCallAction *call, void *data)
{
  Fleet *fleet = data;
  uint32_t at = call->kind == MF_CALL_ORDER
                    ? (uint32_t)strtoul (strrchr (call->address, ':') + 1, NULL, 10) - 20000
                    : ENGINES_MAX;
  Engine *engine = &fleet->engines[at % ENGINES_MAX];
  uint16_t status = 200;

  if (call->kind != MF_CALL_ORDER)
    return;
  if (fleet->checks_fencing && call->fence < engine->fence_seen)
    {
      engine->n_refused++;
      status = 412;
    }
  else
    {
      engine->n_busy_orders += engine->n_used > 0;
      engine->fences[engine->n_orders++ % 64] = call->fence;
      engine->fence_seen = fleet->checks_fencing ? call->fence : 0;
      engine->load_end_us = fake_cores_now_us (cores) + LOAD_US;
      memcpy (engine->next_version, call->order_value, sizeof engine->next_version);
    }
  fleet->replies[fleet->n_replies++] = (Reply){ slot, call->call_id, status };
}

static void
fleet_new (Fleet *fleet, uint32_t n_engines, bool checks_fencing)
{
  const FakeCoresOptions options = {
    .n_instances = N_SLOTS,
    .n_data_centres = 3,
    .delay_us = MF_US_PER_MS,
    .seed = 9,
    .on_call = on_call,
    .data = fleet,
  };
  char *text = fake_config_text (&(FakeConfigTextOptions){
      .n_upstreams = n_engines, .slots = 20, .version = "v1", .checks_fencing = checks_fencing });

  *fleet = (Fleet){
    .cores = fake_cores_new (&options),
    .n_engines = n_engines,
    .checks_fencing = checks_fencing,
  };
  for (uint32_t i = 0; i < n_engines; i++)
    strcpy (fleet->engines[i].version, "v1");
  fake_cores_publish (fleet->cores, 1, text);
  free (text);
  for (uint32_t i = 0; i < N_SLOTS; i++)
    fake_cores_start (fleet->cores, i);
  fake_cores_run (fleet->cores, 5 * MF_US_PER_S);
}

static void
publish (Fleet *fleet, uint64_t revision, const char *version)
{
  char *text
      = fake_config_text (&(FakeConfigTextOptions){ .n_upstreams = fleet->n_engines,
                                                    .slots = 20,
                                                    .version = version,
                                                    .checks_fencing = fleet->checks_fencing });

  fake_cores_publish (fleet->cores, revision, text);
  free (text);
}

static void
report (Fleet *fleet, uint32_t slot, uint32_t at)
{
  MfCore *core = fake_cores_core (fleet->cores, slot);
  const Engine *engine = &fleet->engines[at];
  MfEvent event = { .type = MF_EVENT_LOAD,
                    .load = { .incarnation = 1,
                              .measured_us = fake_cores_now_us (fleet->cores) - LAG_US,
                              .slots_total = 20,
                              .slots_used = engine->n_used,
                              .pieces_total = 200,
                              .pieces_free = 200,
                              .role = MF_ROLE_DECODE,
                              .model = "m0",
                              .loading = engine->load_end_us != 0,
                              .fence_seen = engine->fence_seen } };
  char name[MF_NAME_BYTES];

  snprintf (name, sizeof name, "d%u", at);
  event.load.upstream = mf_upstream_find (core, mf_hash_name (name));
  memcpy (event.load.version, engine->version, sizeof engine->version);
  fake_cores_handle_event (fleet->cores, slot, &event);
}

static bool
is_on_hold (Fleet *fleet, uint32_t slot, uint32_t at)
{
  MfCore *core = fake_cores_core (fleet->cores, slot);
  char name[MF_NAME_BYTES];

  snprintf (name, sizeof name, "d%u", at);
  return core->board.upstreams[mf_upstream_find (core, mf_hash_name (name))].on_hold;
}

/* Ends a load that is due. A busy engine loses its work step by step while it is on hold or
 * loading, and gets new work afterwards. */
static void
engine_step (Fleet *fleet, uint32_t at, bool busy)
{
  Engine *engine = &fleet->engines[at];

  if (engine->load_end_us != 0 && engine->load_end_us <= fake_cores_now_us (fleet->cores))
    {
      memcpy (engine->version, engine->next_version, sizeof engine->version);
      engine->load_end_us = 0;
    }
  if (!busy)
    return;
  if (is_on_hold (fleet, 0, at) || engine->load_end_us != 0)
    engine->n_used -= engine->n_used > 0;
  else
    engine->n_used = 10;
}

static void
fleet_run (Fleet *fleet, uint64_t for_us, bool busy)
{
  for (uint64_t at_us = 0; at_us < for_us; at_us += STEP_US)
    {
      uint32_t n_loading = 0;

      for (uint32_t i = 0; i < fleet->n_engines; i++)
        {
          engine_step (fleet, i, busy);
          n_loading += fleet->engines[i].load_end_us != 0;
          for (uint32_t slot = 0; slot < N_SLOTS; slot++)
            {
              if (!fleet->paused[slot] && fake_cores_core (fleet->cores, slot) != NULL)
                report (fleet, slot, i);
            }
        }
      fleet->n_loading_max = n_loading > fleet->n_loading_max ? n_loading : fleet->n_loading_max;
      for (uint32_t i = 0; i < fleet->n_replies; i++)
        {
          const Reply *reply = &fleet->replies[i];
          MfEvent event = { .type = MF_EVENT_CALL_DONE,
                            .call = { .call_id = reply->call_id, .status = reply->status } };

          if (fake_cores_core (fleet->cores, reply->slot) != NULL)
            fake_cores_handle_event (fleet->cores, reply->slot, &event);
        }
      fleet->n_replies = 0;
      fake_cores_run (fleet->cores, STEP_US);
    }
}

static void
assert_all_at (const Fleet *fleet, const char *version, uint32_t n_orders)
{
  for (uint32_t i = 0; i < fleet->n_engines; i++)
    {
      assert_string_equal (fleet->engines[i].version, version);
      assert_int_equal (fleet->engines[i].n_orders, n_orders);
      assert_int_equal (fleet->engines[i].n_busy_orders, 0);
    }
}

static void
test_nothing_is_ordered_when_all_is_as_desired (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_new (&fleet, 8, true);
  fleet_run (&fleet, 10 * MF_US_PER_S, true);
  assert_all_at (&fleet, "v1", 0);
  fake_cores_free (fleet.cores);
}

/* A new version is rolled out with one order per engine, to at most two engines at once, and to
 * none that has work. */
static void
test_rollout_empties_few_engines_at_a_time (void **state)
{
  static const bool checks[] = { true, false };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (checks); i++)
    {
      Fleet fleet;

      fleet_new (&fleet, 8, checks[i]);
      publish (&fleet, 2, "v2");
      fleet_run (&fleet, 120 * MF_US_PER_S, true);
      assert_all_at (&fleet, "v2", 1);
      assert_in_range (fleet.n_loading_max, 1, 2);
      fake_cores_free (fleet.cores);
    }
}

/* Fencing numbers increase from order to order, also after all instances have restarted. */
static void
test_fences_rise_over_incarnations (void **state)
{
  Fleet fleet;
  const Engine *engine = &fleet.engines[0];

  (void)state;
  fleet_new (&fleet, 1, true);
  for (uint32_t round = 0; round < 4; round++)
    {
      publish (&fleet, 2 + round, round % 2 == 0 ? "v2" : "v1");
      fleet_run (&fleet, 90 * MF_US_PER_S, false);
      for (uint32_t slot = 0; slot < N_SLOTS; slot++)
        fake_cores_start (fleet.cores, slot);
      fleet_run (&fleet, 5 * MF_US_PER_S, false);
    }
  assert_int_equal (engine->n_orders, 4);
  for (uint32_t i = 1; i < engine->n_orders; i++)
    assert_true (engine->fences[i] > engine->fences[i - 1]);
  assert_int_equal (engine->n_refused, 0);
  fake_cores_free (fleet.cores);
}

/* An issuer is paused before it sends its order, and another instance sends it. After the pause the
 * former issuer does not send it again. Each instance is paused once, as any may be the issuer. */
static void
test_paused_issuer_orders_nothing_twice (void **state)
{
  static const bool checks[] = { true, false };

  (void)state;
  for (size_t i = 0; i < 2 * N_SLOTS; i++)
    {
      Fleet fleet;
      uint32_t slot = (uint32_t)i / 2;

      fleet_new (&fleet, 1, checks[i % 2]);
      publish (&fleet, 2, "v2");
      fleet_run (&fleet, MF_US_PER_S, false);
      fake_cores_pause (fleet.cores, slot, 30 * MF_US_PER_S);
      fleet.paused[slot] = true;
      fleet_run (&fleet, 30 * MF_US_PER_S, false);
      fleet.paused[slot] = false;
      fleet_run (&fleet, 30 * MF_US_PER_S, false);
      assert_all_at (&fleet, "v2", 1);
      fake_cores_free (fleet.cores);
    }
}

/* The two sides of a partition have revisions that ask for different versions. Only the majority
 * sends orders; otherwise the engines would load the two versions in alternation. */
static void
test_partition_does_not_make_engines_flap (void **state)
{
  static const bool checks[] = { true, false };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (checks); i++)
    {
      Fleet fleet;
      uint32_t n_orders = 0;

      fleet_new (&fleet, 4, checks[i]);
      for (uint32_t a = 0; a < N_SLOTS; a++)
        {
          if (a < 2)
            fake_cores_set_platform (fleet.cores, a, FAKE_PLATFORM_DOWN);
          for (uint32_t b = 0; b < N_SLOTS; b++)
            fake_cores_set_link_cut (fleet.cores, a, b, (a < 2) != (b < 2));
        }
      fleet_run (&fleet, 10 * MF_US_PER_S, false);
      publish (&fleet, 2, "v2");
      fleet_run (&fleet, 600 * MF_US_PER_S, false);
      for (uint32_t k = 0; k < 4; k++)
        n_orders += fleet.engines[k].n_orders;
      print_message ("%u orders to 4 engines in 600 s of partition, fencing %s\n", n_orders,
                     checks[i] ? "checked" : "ignored");
      assert_int_equal (n_orders, 4);
      fake_cores_free (fleet.cores);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nothing_is_ordered_when_all_is_as_desired),
    cmocka_unit_test (test_rollout_empties_few_engines_at_a_time),
    cmocka_unit_test (test_fences_rise_over_incarnations),
    cmocka_unit_test (test_paused_issuer_orders_nothing_twice),
    cmocka_unit_test (test_partition_does_not_make_engines_flap),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
