#include "libmangofork/relay/dispatch.h"
#include "libmangofork/relay/stage.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#define BEGIN_US (100 * MF_US_PER_S)
#define STEP_US (100 * MF_US_PER_MS)

static void
test_engines_are_split_as_their_work_is (void **state)
{
  (void)state;
  /* 35 engines; the answers need 20 decode engines while the prompts need 3 prefill engines. */
  assert_in_range (mf_stage_optimal_prefill (35, 3., 20.), 5, 7);
  assert_in_range (mf_stage_optimal_prefill (35, 10., 10.), 18, 21);
  /* At least three prefill and two decode engines are kept under any load. */
  assert_int_equal (mf_stage_optimal_prefill (35, 0.01, 20.), 3);
  assert_int_equal (mf_stage_optimal_prefill (35, 20., 0.01), 33);
  assert_int_equal (mf_stage_optimal_prefill (3, 1., 1.), 1);
}

/* Passes the same snapshot for a time. Returns when the move was first suggested; 0: never. */
static uint64_t
first_move_us (MfStageTrend *trend, const MfStageSnapshot *snapshot, MfStageMove move,
               uint64_t from_us, uint64_t duration_us)
{
  for (uint64_t at_us = from_us; at_us < from_us + duration_us; at_us += STEP_US)
    {
      if (mf_stage_decide (trend, snapshot, at_us) == move)
        return at_us;
    }
  return 0;
}

static void
test_moves_wait_until_enough_was_seen (void **state)
{
  const MfStageSnapshot idle = { 13, 22, 0.2, 0.2, 1. };
  const MfStageSnapshot busy = { 13, 22, 4., 5., 20. };
  const MfStageSnapshot crash = { 8, 22, 8., 40., 19. };
  const MfStageSnapshot too_few_prefill = { 2, 16, 2., 12., 10. };
  MfStageTrend trend = { 0 };
  uint64_t at_us;

  (void)state;
  assert_int_equal (first_move_us (&trend, &idle, MF_STAGE_TO_DECODE, BEGIN_US, 10 * MF_US_PER_S),
                    0);
  at_us = first_move_us (&trend, &busy, MF_STAGE_TO_DECODE, BEGIN_US + 10 * MF_US_PER_S,
                         10 * MF_US_PER_S);
  assert_in_range (at_us, BEGIN_US + 10 * MF_US_PER_S, BEGIN_US + 14 * MF_US_PER_S);
  /* Prompts that wait for two seconds after a crash must not move a decode engine. */
  mf_stage_reset (&trend);
  first_move_us (&trend, &busy, MF_STAGE_TO_PREFILL, BEGIN_US, 5 * MF_US_PER_S);
  assert_int_equal (first_move_us (&trend, &crash, MF_STAGE_TO_PREFILL, BEGIN_US + 5 * MF_US_PER_S,
                                   2 * MF_US_PER_S),
                    0);
  /* Prompts that keep waiting do, even if slots reserved for them fill the decode engines. */
  mf_stage_reset (&trend);
  assert_true (
      first_move_us (&trend, &too_few_prefill, MF_STAGE_TO_PREFILL, BEGIN_US, 8 * MF_US_PER_S)
      >= BEGIN_US + 3 * MF_US_PER_S);
}

static void
test_too_few_engines_stay_as_they_are (void **state)
{
  const MfStageSnapshot small = { 1, 2, 1., 9., 2. };
  const MfStageSnapshot none = { 0, 9, 0., 0., 9. };
  MfStageTrend trend = { 0 };

  (void)state;
  assert_int_equal (first_move_us (&trend, &small, MF_STAGE_TO_DECODE, BEGIN_US, 10 * MF_US_PER_S),
                    0);
  assert_int_equal (first_move_us (&trend, &small, MF_STAGE_TO_PREFILL, BEGIN_US, 10 * MF_US_PER_S),
                    0);
  assert_int_equal (first_move_us (&trend, &none, MF_STAGE_TO_PREFILL, BEGIN_US, 10 * MF_US_PER_S),
                    0);
}

/* Simulated load: a decode engine holds eight answers of 3.5 s, a prefill engine prefills one
 * prompt at a time in 95 ms, and half of the engines start as prefill engines. */
#define N_ENGINES 16
#define N_PREFILL 8
#define SLOTS_USABLE 8
#define TOKENS 7500
#define PREFILL_US (95 * MF_US_PER_MS)
#define ANSWER_US (3500 * MF_US_PER_MS)
#define OBJECTIVE_US (900 * MF_US_PER_MS)
#define MAX_AGE_US (3300 * MF_US_PER_MS)
#define CHANGE_US (7 * MF_US_PER_S)
#define TICK_US (10 * MF_US_PER_MS)
#define N_CALLS_MAX 4000

typedef struct
{
  uint64_t started_us;
  uint64_t prefilled_us; /* end of the prefill; 0: no slot granted yet */
  uint32_t prefill;
  uint32_t decode;
} Call;

typedef struct
{
  MfTargets targets;
  MfTarget engines[N_ENGINES];
  uint64_t free_us[N_ENGINES]; /* when a prefill engine finishes its last prompt */
  MfDispatch *dispatch;
  Call calls[N_CALLS_MAX];
  uint32_t n_calls;
  uint64_t now_us;
  uint32_t n_in_time;
  uint32_t n_moves;
} Simulation;

static const MfRouteService engine_service = {
  .name = "llm",
  .is_engine = true,
  .engine_slots = 16,
  .kv_capacity_tokens = (SLOTS_USABLE + 1) * TOKENS - 1,
};

static const MfRouteService *
on_service_config (void *data, const char *service)
{
  (void)data;
  (void)service;
  return &engine_service;
}

static void
on_grant (void *data, uint64_t requester, const MfGrant *grant)
{
  Simulation *simulation = data;
  Call *call = &simulation->calls[grant->id];
  uint64_t *free_us;

  (void)requester;
  assert_int_not_equal (grant->prefill, 0);
  call->decode = (uint32_t)grant->decode - 1;
  call->prefill = (uint32_t)grant->prefill - 1;
  free_us = &simulation->free_us[call->prefill];
  *free_us = (*free_us > simulation->now_us ? *free_us : simulation->now_us) + PREFILL_US;
  call->prefilled_us = *free_us;
  simulation->n_in_time += call->prefilled_us <= call->started_us + OBJECTIVE_US;
  mf_target_begin_request (&simulation->engines[call->decode], TOKENS, simulation->now_us);
  mf_target_begin_request (&simulation->engines[call->prefill], TOKENS / 2, simulation->now_us);
}

static const MfDispatchCallbacks user = { .grant = on_grant, .service_config = on_service_config };

static void
simulation_init (Simulation *simulation)
{
  memset (simulation, 0, sizeof *simulation);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    {
      MfTarget *target = &simulation->engines[i];

      target->info.role = i < N_PREFILL ? MF_ROLE_PREFILL : MF_ROLE_DECODE;
      target->info.slots = 16;
      mf_name_set (target->info.service, sizeof target->info.service, "llm");
      target->id_hash = i + 1;
      target->next = simulation->targets.first;
      simulation->targets.first = target;
    }
  simulation->dispatch = mf_dispatch_new (&simulation->targets, &user, simulation);
  assert_non_null (simulation->dispatch);
}

/* Ends prefills, answers and stage changes that are due. */
static void
simulation_finish_due (Simulation *simulation)
{
  for (uint32_t i = 0; i < simulation->n_calls; i++)
    {
      const Call *call = &simulation->calls[i];

      if (call->prefilled_us == 0 || simulation->now_us < call->prefilled_us)
        continue;
      if (simulation->now_us - call->prefilled_us < TICK_US)
        mf_target_end_request (&simulation->engines[call->prefill], TOKENS / 2);
      if (simulation->now_us - call->prefilled_us >= ANSWER_US
          && simulation->now_us - call->prefilled_us < ANSWER_US + TICK_US)
        mf_target_end_request (&simulation->engines[call->decode], TOKENS);
    }
  for (uint32_t i = 0; i < N_ENGINES; i++)
    {
      MfTarget *target = &simulation->engines[i];

      if (target->stage_until_us == 0 || target->stage_until_us > simulation->now_us)
        continue;
      target->stage_until_us = 0;
      target->info.role = target->stage_ordered;
    }
}

static void
simulation_balance (Simulation *simulation, MfStageTrend *trend)
{
  MfStageSnapshot snapshot = { 0 };
  MfTarget *idle = NULL;

  for (uint32_t i = 0; i < N_ENGINES; i++)
    {
      MfTarget *target = &simulation->engines[i];
      bool changes = target->stage_until_us > simulation->now_us;

      if ((changes ? target->stage_ordered : target->info.role) == MF_ROLE_PREFILL)
        snapshot.n_prefill++;
      else
        snapshot.n_decode++;
      if (target->info.role == MF_ROLE_PREFILL)
        {
          snapshot.prefill_busy += target->n_active > 0;
          snapshot.queued_prompts += target->n_active;
          idle = changes ? idle : target;
        }
      else
        snapshot.decode_used += (double)target->n_active / SLOTS_USABLE;
    }
  if (mf_stage_decide (trend, &snapshot, simulation->now_us) != MF_STAGE_TO_DECODE)
    return;
  assert_non_null (idle);
  idle->stage_ordered = MF_ROLE_DECODE;
  idle->stage_until_us = simulation->now_us + CHANGE_US;
  simulation->n_moves++;
}

/* Streams arrive for 40 s: at first as many as the decode engines hold, then a third more. Returns
 * how many callers get their first event within the objective. */
static uint32_t
simulation_run (Simulation *simulation, bool balanced)
{
  MfStageTrend trend = { 0 };
  uint64_t due_us = BEGIN_US;

  simulation_init (simulation);
  for (simulation->now_us = BEGIN_US; simulation->now_us < BEGIN_US + 40 * MF_US_PER_S;
       simulation->now_us += TICK_US)
    {
      uint64_t interval_us = simulation->now_us < BEGIN_US + 6 * MF_US_PER_S ? 58000 : 44000;

      for (; due_us <= simulation->now_us && simulation->n_calls < N_CALLS_MAX;
           due_us += interval_us)
        {
          MfSlotRequest request = { .id = simulation->n_calls,
                                    .service = "llm",
                                    .prompt_tokens = TOKENS / 2,
                                    .kv_tokens = TOKENS,
                                    .objective_us = OBJECTIVE_US - 2 * PREFILL_US,
                                    .max_age_us = MAX_AGE_US };

          simulation->calls[simulation->n_calls++].started_us = simulation->now_us;
          mf_dispatch_enqueue (simulation->dispatch, MF_DISPATCH_SELF, &request,
                               simulation->now_us);
        }
      simulation_finish_due (simulation);
      mf_dispatch_run (simulation->dispatch, simulation->now_us);
      if (balanced && simulation->now_us % STEP_US == 0)
        simulation_balance (simulation, &trend);
    }
  mf_dispatch_free (simulation->dispatch);
  return simulation->n_in_time;
}

/* With more streams than the decode engines hold and idle prefill engines, changing the stage of
 * engines serves more callers in time. */
static void
test_callers_are_served_in_time_by_engines_that_change (void **state)
{
  static Simulation simulation;
  uint32_t fixed = simulation_run (&simulation, false);
  uint32_t balanced = simulation_run (&simulation, true);

  (void)state;
  assert_in_range (simulation.n_moves, 1, N_PREFILL - 2);
  assert_true (balanced > fixed + fixed / 10);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_engines_are_split_as_their_work_is),
    cmocka_unit_test (test_moves_wait_until_enough_was_seen),
    cmocka_unit_test (test_too_few_engines_stay_as_they_are),
    cmocka_unit_test (test_callers_are_served_in_time_by_engines_that_change),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
