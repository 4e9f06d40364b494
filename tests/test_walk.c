#include "fakes/rig.h"

#include <setjmp.h>
#include <stdarg.h>

#include <cmocka.h>

/* Random runs of the core against the engine model, reproducible by seed, with two faults at a
 * time. */

#define WALKS 40
#define WALK_LENGTH_US (12 * MF_US_PER_S)
#define SETTLE_US (90 * MF_US_PER_S)
#define N_PREFILL 2
#define N_DECODE 3

static uint64_t
random_below (uint64_t *state, uint64_t bound)
{
  uint64_t z = (*state += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (z ^ (z >> 31)) % bound;
}

static void
walk_options (uint64_t seed, bool naive, RigOptions *options)
{
  FakeEngineOptions engine;

  rig_engine_options (MF_ROLE_PREFILL, seed, &engine);
  engine.slots = 8;
  engine.queue = 8;
  engine.pieces = 40;
  engine.cache_gap_ppm = 100000;
  *options = (RigOptions){
    .seed = seed,
    .naive = naive,
    .n_cores = 2,
    .hop_us = 500,
    .prefill = engine,
    .n_prefill = N_PREFILL,
    .decode = engine,
    .n_decode = N_DECODE,
    .plain = { .workers = 2, .serve_us = 30 * MF_US_PER_MS, .speed_percent = 100 },
    .n_plain = 2,
    .model_deadline_us = 30 * MF_US_PER_S,
    .expected_tokens = 40,
  };
  options->decode.role = MF_ROLE_DECODE;
  options->prefill.cache_pieces = 10;
}

static void
send_requests (Rig *rig, uint64_t *state, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    {
      RigRequest request = {
        .core = (uint32_t)random_below (state, 2),
        .service = (uint32_t)random_below (state, 3),
        .customer = (uint32_t)random_below (state, 4),
        .digest = 1 + random_below (state, 1000000000),
        .prompt_tokens = 20 + (uint32_t)random_below (state, 5000),
        .answer_tokens = 1 + (uint32_t)random_below (state, 120),
        .max_tokens = 200,
      };
      uint64_t at_us = rig_now_us (rig) + random_below (state, WALK_LENGTH_US);
      uint32_t index = rig_send (rig, &request, at_us);

      if (random_below (state, 5) == 0)
        rig_depart (rig, index, at_us + random_below (state, 2 * MF_US_PER_S));
    }
}

static void
inject_fault (Rig *rig, uint64_t *state)
{
  uint32_t engine = (uint32_t)random_below (state, N_PREFILL + N_DECODE);
  uint32_t plain = (uint32_t)random_below (state, 2);
  uint64_t now_us = rig_now_us (rig);

  switch (random_below (state, 8))
    {
    case 0:
      fake_engine_kill (rig_engine (rig, engine), now_us);
      break;
    case 1:
      fake_engine_restart (rig_engine (rig, engine), now_us);
      break;
    case 2:
      rig_pause_engine (rig, engine, now_us + random_below (state, 3 * MF_US_PER_S));
      break;
    case 3:
      fake_engine_set_speed (rig_engine (rig, engine), 10 + (uint32_t)random_below (state, 90));
      break;
    case 4:
      fake_engine_stall_link (rig_engine (rig, (uint32_t)random_below (state, N_PREFILL)), now_us,
                              now_us + random_below (state, 3 * MF_US_PER_S));
      break;
    case 5:
      fake_engine_leave (rig_engine (rig, engine));
      break;
    case 6:
      rig_plain (rig, plain)->dead = !rig_plain (rig, plain)->dead;
      break;
    default:
      rig_plain (rig, plain)->speed_percent = 10 + (uint32_t)random_below (state, 90);
      break;
    }
  rig_update_engine (rig, engine);
}

static void
repair_all (Rig *rig)
{
  for (uint32_t i = 0; i < N_PREFILL + N_DECODE; i++)
    {
      if (fake_engine_is_dead (rig_engine (rig, i)))
        fake_engine_restart (rig_engine (rig, i), rig_now_us (rig));
      rig_update_engine (rig, i);
    }
  for (uint32_t i = 0; i < 2; i++)
    *rig_plain (rig, i) = (RigPlain){ .workers = rig_plain (rig, i)->workers,
                                      .serve_us = rig_plain (rig, i)->serve_us,
                                      .speed_percent = 100,
                                      .busy = rig_plain (rig, i)->busy };
}

static void
check_request (const RigRequest *request, bool at_end)
{
  assert_true (request->n_ends <= 1);
  assert_false (request->corrupt);
  if (request->service == 2)
    assert_true (request->n_sent <= 1 && request->n_runs <= 1);
  if (request->n_ends == 1 && request->code == MF_CODE_OK)
    assert_true (rig_request_is_complete (request));
  if (request->n_ends == 1 && request->code != MF_CODE_OK && request->outcome == MF_OUTCOME_NOT_RUN)
    assert_false (request->ran);
  if (at_end && !request->departed)
    assert_int_equal (request->n_ends, 1);
}

static void
check_all (Rig *rig, bool at_end)
{
  for (uint32_t i = 0; i < rig_n_requests (rig); i++)
    check_request (rig_request (rig, i), at_end);
}

static void
walk (uint64_t seed)
{
  uint64_t state = seed;
  RigOptions options;
  Rig *rig;
  uint64_t end_us;

  walk_options (seed, false, &options);
  rig = rig_new (&options);
  end_us = rig_now_us (rig) + WALK_LENGTH_US;
  send_requests (rig, &state, 120);
  while (rig_now_us (rig) < end_us)
    {
      inject_fault (rig, &state);
      inject_fault (rig, &state);
      rig_run (rig, rig_now_us (rig) + 1 + random_below (&state, 2 * MF_US_PER_S));
      check_all (rig, false);
    }
  repair_all (rig);
  rig_run (rig, end_us + SETTLE_US);
  check_all (rig, true);
  assert_int_equal (rig_n_kv_entries (rig), 0);
  rig_free (rig);
}

static void
test_promises_hold_under_two_faults_at_a_time (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= WALKS; seed++)
    walk (seed);
}

/* A request that kills every upstream that runs it is repeated through both instances. */
static void
test_poison_costs_two_deaths_and_refuses_no_innocent (void **state)
{
  uint64_t deaths = 0;
  RigOptions options;
  Rig *rig;

  (void)state;
  walk_options (5, false, &options);
  options.prefill.poison_digest = 666;
  options.n_prefill = 4;
  rig = rig_new (&options);
  for (uint32_t i = 0; i < 60; i++)
    {
      RigRequest request = { .core = i % 2,
                             .digest = i % 6 == 3 ? 666 : 1000 + i,
                             .prompt_tokens = 500,
                             .answer_tokens = 30,
                             .max_tokens = 60 };

      rig_send (rig, &request, rig_now_us (rig) + (1 + i) * 300 * MF_US_PER_MS);
    }
  rig_run (rig, rig_now_us (rig) + SETTLE_US);
  for (uint32_t i = 0; i < 4; i++)
    deaths += fake_engine_ledger (rig_engine (rig, i))->deaths;
  assert_int_equal (deaths, 2);
  for (uint32_t i = 0; i < rig_n_requests (rig); i++)
    {
      const RigRequest *request = rig_request (rig, i);

      check_request (request, true);
      assert_int_equal (request->code, request->digest == 666 ? MF_CODE_POISON : MF_CODE_OK);
    }
  rig_free (rig);
}

static void
test_shutdown_cuts_nothing_off_and_ends (void **state)
{
  uint64_t seed = 3;
  uint64_t grace_end_us;
  RigOptions options;
  Rig *rig;

  (void)state;
  walk_options (3, false, &options);
  rig = rig_new (&options);
  send_requests (rig, &seed, 60);
  rig_run (rig, rig_now_us (rig) + 6 * MF_US_PER_S);
  rig_shutdown (rig, 0);
  grace_end_us = rig_now_us (rig) + rig_core (rig, 0)->board.options.drain_grace_us;
  rig_run (rig, rig_now_us (rig) + 20 * MF_US_PER_S);
  assert_true (rig_has_exited (rig, 0));
  assert_false (rig_core (rig, 0)->board.ready);
  for (uint32_t i = 0; i < rig_n_requests (rig); i++)
    {
      const RigRequest *request = rig_request (rig, i);

      /* After the grace period the load balancer no longer sends requests to this instance. */
      if (request->core == 0 && request->sent_us >= grace_end_us)
        continue;
      if (!request->departed)
        assert_int_equal (request->code, MF_CODE_OK);
      check_request (request, true);
    }
  assert_int_equal (rig_n_kv_entries (rig), 0);
  rig_free (rig);
}

static void
test_leaving_engine_gets_no_new_work (void **state)
{
  uint64_t seed = 9;
  uint64_t tokens;
  RigOptions options;
  Rig *rig;

  (void)state;
  walk_options (9, false, &options);
  rig = rig_new (&options);
  send_requests (rig, &seed, 120);
  rig_run (rig, rig_now_us (rig) + 2 * MF_US_PER_S);
  fake_engine_leave (rig_engine (rig, N_PREFILL));
  rig_run (rig, rig_now_us (rig) + 3 * MF_US_PER_S);
  for (uint32_t i = 0; i < 2; i++)
    assert_int_equal (rig_core (rig, i)->board.upstreams[N_PREFILL].health, MF_HEALTH_LEAVING);
  tokens = fake_engine_ledger (rig_engine (rig, N_PREFILL))->refused;
  rig_run (rig, rig_now_us (rig) + 20 * MF_US_PER_S);
  assert_int_equal (fake_engine_ledger (rig_engine (rig, N_PREFILL))->refused, tokens);
  for (uint32_t i = 0; i < rig_n_requests (rig); i++)
    check_request (rig_request (rig, i), true);
  rig_free (rig);
}

/* The same requests under the naive policy and the router's must get the same answers. */
static void
test_answers_equal_those_of_the_naive_policy (void **state)
{
  Rig *rigs[2];

  (void)state;
  for (int naive = 0; naive < 2; naive++)
    {
      uint64_t seed = 11;
      RigOptions options;

      walk_options (11, naive, &options);
      rigs[naive] = rig_new (&options);
      send_requests (rigs[naive], &seed, 150);
      rig_run (rigs[naive], rig_now_us (rigs[naive]) + 5 * MF_US_PER_S);
      fake_engine_kill (rig_engine (rigs[naive], N_PREFILL), rig_now_us (rigs[naive]));
      rig_update_engine (rigs[naive], N_PREFILL);
      rig_run (rigs[naive], rig_now_us (rigs[naive]) + SETTLE_US);
    }
  for (uint32_t i = 0; i < rig_n_requests (rigs[0]); i++)
    {
      const RigRequest *router = rig_request (rigs[0], i);
      const RigRequest *naive = rig_request (rigs[1], i);

      check_request (router, true);
      if (router->departed)
        continue;
      assert_int_equal (router->code, MF_CODE_OK);
      if (naive->code == MF_CODE_OK && !naive->corrupt)
        assert_int_equal (router->n_tokens, naive->n_tokens);
    }
  rig_free (rigs[0]);
  rig_free (rigs[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_promises_hold_under_two_faults_at_a_time),
    cmocka_unit_test (test_poison_costs_two_deaths_and_refuses_no_innocent),
    cmocka_unit_test (test_shutdown_cuts_nothing_off_and_ends),
    cmocka_unit_test (test_leaving_engine_gets_no_new_work),
    cmocka_unit_test (test_answers_equal_those_of_the_naive_policy),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
