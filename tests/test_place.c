#include "libmangofork/relay/place.h"

#include "libmangofork/relay/load.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#define NOW_US (100 * MF_US_PER_S)

static const MfRouteService engine = {
  .name = "llm",
  .is_engine = true,
  .engine_slots = 12,
  .kv_capacity_tokens = 100000,
};

/* Three upstreams of one role, one in each of three data centres. */
typedef struct
{
  MfTargets targets;
  MfTarget upstreams[3];
} Fleet;

static void
fleet_make (Fleet *fleet, MfRole role)
{
  static const char *const centres[] = { "a", "b", "c" };

  memset (fleet, 0, sizeof *fleet);
  for (uint32_t i = 0; i < 3; i++)
    {
      MfTarget *target = &fleet->upstreams[i];

      target->info.role = role;
      target->info.slots = 6;
      mf_name_set (target->info.service, sizeof target->info.service, "llm");
      mf_name_set (target->info.data_centre, sizeof target->info.data_centre, centres[i]);
      mf_name_set (target->info.id, sizeof target->info.id, centres[i]);
      target->id_hash = mf_load_hash (centres[i]);
      target->next = fleet->targets.first;
      fleet->targets.first = target;
    }
}

/* Returns the index of the chosen upstream; -1 for none. */
static int
choose (const Fleet *fleet, MfPlaceQuery query)
{
  bool any_available = false;
  const MfTarget *target;

  query.service = "llm";
  query.role = fleet->upstreams[0].info.role;
  query.service_config = &engine;
  query.data_centre = "b";
  target = mf_place_choose (&fleet->targets, &query, NOW_US, &any_available);
  return target == NULL ? -1 : (int)(target - fleet->upstreams);
}

/* Returns when the first upstream of a service takes requests again. */
static uint64_t
available_us (const Fleet *fleet, const char *service)
{
  return mf_place_available_us (
      &fleet->targets, &(MfPlaceQuery){ .service = service, .role = MF_ROLE_PLAIN }, NOW_US);
}

static void
test_plain_requests_stay_in_their_data_centre (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_PLAIN);
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
  mf_target_begin_request (&fleet.upstreams[1], 0, NOW_US);
  assert_int_not_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
}

static void
test_slow_failing_and_silent_upstreams_are_avoided (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_PLAIN);
  for (uint32_t i = 0; i < 10; i++)
    mf_target_record_answer (&fleet.upstreams[1], 80 * MF_US_PER_MS, NOW_US);
  assert_int_not_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
  fleet_make (&fleet, MF_ROLE_PLAIN);
  mf_target_record_failure (&fleet.upstreams[1], false, NOW_US);
  assert_int_not_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
  fleet_make (&fleet, MF_ROLE_DECODE);
  mf_target_begin_request (&fleet.upstreams[1], 100, NOW_US - 2 * MF_US_PER_S);
  assert_int_not_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
  /* Failures that another instance reports count as well. */
  fleet_make (&fleet, MF_ROLE_DECODE);
  fleet.upstreams[1].remote_failure_share = 0.5;
  assert_int_not_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
}

static void
test_leaving_and_tried_upstreams_are_not_chosen (void **state)
{
  Fleet fleet;
  MfPlaceQuery query = { .n_avoid = 1 };

  (void)state;
  fleet_make (&fleet, MF_ROLE_PLAIN);
  fleet.upstreams[1].info.leaving = true;
  query.avoid[0] = fleet.upstreams[0].id_hash;
  assert_int_equal (choose (&fleet, query), 2);
  fleet.upstreams[2].info.leaving = true;
  assert_int_equal (choose (&fleet, query), -1);
}

/* A stream that has begun goes on at its version or not at all. */
static void
test_only_upstreams_of_the_version_are_chosen (void **state)
{
  static const MfRole roles[] = { MF_ROLE_PLAIN, MF_ROLE_PREFILL, MF_ROLE_DECODE };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (roles); i++)
    {
      Fleet fleet;

      fleet_make (&fleet, roles[i]);
      for (uint32_t j = 0; j < 3; j++)
        fleet.upstreams[j].version = j == 2 ? 9 : 8;
      assert_int_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
      assert_int_equal (choose (&fleet, (MfPlaceQuery){ .version = 9 }), 2);
      assert_int_equal (choose (&fleet, (MfPlaceQuery){ .version = 7 }), -1);
      mf_target_record_failure (&fleet.upstreams[2], true, NOW_US);
      assert_int_equal (choose (&fleet, (MfPlaceQuery){ .version = 9 }), 2);
      fleet.upstreams[2].info.leaving = true;
      assert_int_equal (choose (&fleet, (MfPlaceQuery){ .version = 9 }), -1);
    }
}

/* An id that is used again may belong to a process of another version, which is not listed yet. */
static void
test_stream_does_not_go_on_at_an_upstream_that_has_ended (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_DECODE);
  for (uint32_t i = 0; i < 3; i++)
    fleet.upstreams[i].version = 9;
  fleet.upstreams[1].ended_us = NOW_US - 2 * MF_US_PER_S;
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
  assert_int_not_equal (choose (&fleet, (MfPlaceQuery){ .version = 9 }), 1);
  fleet.upstreams[1].ended_us = NOW_US - 6 * MF_US_PER_S;
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ .version = 9 }), 1);
}

/* A paused upstream is not chosen even when it is the only one: it asked for the pause because it
 * cannot take more. */
static void
test_paused_upstreams_are_not_chosen (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_PLAIN);
  fleet.upstreams[1].paused_until_us = NOW_US + 2000;
  assert_int_not_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
  assert_int_equal (available_us (&fleet, "llm"), 0);
  fleet.upstreams[0].paused_until_us = NOW_US + 1000;
  fleet.upstreams[2].paused_until_us = NOW_US + 3000;
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ 0 }), -1);
  assert_int_equal (available_us (&fleet, "llm"), NOW_US + 1000);
  fleet.upstreams[0].announced_leaving = true;
  assert_int_equal (available_us (&fleet, "llm"), NOW_US + 2000);
  assert_int_equal (available_us (&fleet, "none"), 0);
}

static void
test_suspects_only_when_there_is_no_other (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_PLAIN);
  fleet.upstreams[1].suspect_until_us = NOW_US + 1;
  assert_int_not_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
  fleet.upstreams[0].suspect_until_us = NOW_US + 3;
  fleet.upstreams[2].suspect_until_us = NOW_US + 2;
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
}

static void
test_decodes_go_where_kv_is_free (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_DECODE);
  mf_target_begin_request (&fleet.upstreams[0], 60000, NOW_US);
  fleet.upstreams[1].n_remote = 1;
  fleet.upstreams[1].remote_tokens = 70000;
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ .tokens = 8000 }), 2);
}

static void
test_decodes_go_where_their_kv_is (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_DECODE);
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ .tokens = 8000, .kv_data_centre = "c" }), 2);
}

static void
test_prompts_go_to_the_shortest_queue (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_PREFILL);
  mf_target_begin_request (&fleet.upstreams[1], 20000, NOW_US);
  mf_target_reserve (&fleet.upstreams[0], 3000);
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ .tokens = 5000 }), 2);
}

/* An engine that has just declined a prompt is chosen last. */
static void
test_prompts_avoid_engines_that_declined (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_PREFILL);
  fleet.upstreams[1].full_until_us = NOW_US + 1;
  mf_target_begin_request (&fleet.upstreams[0], 20000, NOW_US);
  mf_target_begin_request (&fleet.upstreams[2], 20000, NOW_US);
  assert_int_not_equal (choose (&fleet, (MfPlaceQuery){ .tokens = 5000 }), 1);
  fleet.upstreams[0].full_until_us = NOW_US + 2000;
  fleet.upstreams[2].full_until_us = NOW_US + 2000;
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ .tokens = 5000 }), 1);
}

static void
test_upstreams_with_a_rate_limit_come_last (void **state)
{
  static const MfRole roles[] = { MF_ROLE_PLAIN, MF_ROLE_PREFILL, MF_ROLE_DECODE };
  MfRateNotice limit = { .is_limited = true, .micro_per_s = MF_RATE_MICRO, .heard_us = NOW_US };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (roles); i++)
    {
      Fleet fleet;

      fleet_make (&fleet, roles[i]);
      assert_int_equal (choose (&fleet, (MfPlaceQuery){ .tokens = 5000 }), 1);
      fleet.upstreams[1].limit = limit;
      assert_in_set (choose (&fleet, (MfPlaceQuery){ .tokens = 5000 }),
                     ((const uintmax_t[]){ 0, 2 }), 2);
      /* It comes first once an answer is needed to see whether the limit has ended. */
      fleet.upstreams[1].limit.heard_us = NOW_US - 2 * MF_US_PER_S;
      assert_int_equal (choose (&fleet, (MfPlaceQuery){ .tokens = 5000 }), 1);
      fleet.upstreams[1].n_active = 1;
      assert_in_set (choose (&fleet, (MfPlaceQuery){ .tokens = 5000 }),
                     ((const uintmax_t[]){ 0, 2 }), 2);
    }
}

static void
test_upstream_is_used_once_its_rate_limit_admits_a_request (void **state)
{
  Fleet fleet;
  MfRateNotice limit = { .is_limited = true, .micro_per_s = MF_RATE_MICRO, .heard_us = NOW_US };

  (void)state;
  fleet_make (&fleet, MF_ROLE_PLAIN);
  for (uint32_t i = 0; i < 3; i++)
    {
      fleet.upstreams[i].limit = limit;
      fleet.upstreams[i].rate_ready_us = NOW_US + (3 - i) * 100 * MF_US_PER_MS;
    }
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ 0 }), -1);
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ .max_wait_us = 100 * MF_US_PER_MS }), 2);
  assert_int_equal (available_us (&fleet, "llm"), NOW_US + 100 * MF_US_PER_MS);
  fleet.upstreams[0].paused_until_us = NOW_US + 50 * MF_US_PER_MS;
  fleet.upstreams[0].limit.is_limited = false;
  assert_int_equal (available_us (&fleet, "llm"), NOW_US + 50 * MF_US_PER_MS);
}

/* An upstream resets connections beyond those that it accepts from all instances. */
static void
test_no_more_than_this_instances_part_of_connections (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_PLAIN);
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ .connections_max = 2 }), 1);
  fleet.upstreams[1].pool.n_links = 2;
  assert_in_set (choose (&fleet, (MfPlaceQuery){ .connections_max = 2 }),
                 ((const uintmax_t[]){ 0, 2 }), 2);
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 1);
  fleet.upstreams[1].pool.n_idle = 1;
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ .connections_max = 2 }), 1);
  /* Where there is no other, it is used. */
  fleet.upstreams[1].pool.n_idle = 0;
  fleet.upstreams[0].announced_leaving = fleet.upstreams[2].announced_leaving = true;
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ .connections_max = 2 }), 1);
}

/* What is meant for a process is declined by the next one at its address, and counts there. */
static void
test_replaced_upstream_is_not_used_as_a_last_resort (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_PLAIN);
  for (uint32_t i = 0; i < 3; i++)
    {
      fleet.upstreams[i].suspect_until_us = NOW_US + MF_US_PER_S;
      fleet.upstreams[i].replaced = i > 0;
    }
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 0);
  fleet.upstreams[0].replaced = true;
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ 0 }), -1);
  fleet.upstreams[2].suspect_until_us = NOW_US;
  assert_int_equal (choose (&fleet, (MfPlaceQuery){ 0 }), 2);
}

/* Cost of an upstream without spillover, as documented: the time there, and a constant for another
 * data centre. */
static double
constant_cost_us (const MfTarget *target, const MfPlaceQuery *query)
{
  bool is_other = strcmp (target->info.data_centre, query->data_centre) != 0;
  double slots = target->info.slots;
  double slot_share = (mf_target_load (target) + 1.) / slots;
  double kv_share = (double)(mf_target_load_tokens (target) + query->tokens) / 100000.;

  switch (query->role)
    {
    case MF_ROLE_PREFILL:
      return 18. * (double)(mf_target_load_tokens (target) + query->tokens)
             + (is_other ? 4000. : 0.);
    case MF_ROLE_DECODE:
      return ((slot_share > kv_share ? slot_share : kv_share) + (is_other ? 0.08 : 0.)) * 1e6;
    default:
      return 15000. * (1. + 2. * target->n_active / slots) + (is_other ? 4000. : 0.);
    }
}

/* Guards against other placement where spillover is off. */
static void
test_constant_costs_without_spillover (void **state)
{
  static const MfRole roles[] = { MF_ROLE_PLAIN, MF_ROLE_PREFILL, MF_ROLE_DECODE };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (roles); i++)
    {
      MfPlaceQuery query = {
        .service = "llm",
        .role = roles[i],
        .tokens = 5000,
        .service_config = &engine,
        .data_centre = "b",
        .decode_data_centre = "c",
        .request_bytes = 100000,
      };
      Fleet fleet;

      fleet_make (&fleet, roles[i]);
      for (uint32_t n = 0; n < 9; n++)
        {
          MfTarget *loaded = &fleet.upstreams[n % 3];

          for (uint32_t j = 0; j < 3; j++)
            {
              const MfTarget *target = &fleet.upstreams[j];
              double cost_us = mf_place_cost_us (target, &query, NOW_US);

              assert_true (cost_us == constant_cost_us (target, &query));
            }
          mf_target_begin_request (loaded, 700 * n, NOW_US);
        }
    }
}

/* Notes the same times for some seconds: here of "b", there of the others. */
static MfSpillover *
spillover_make (MfRole role, double here_us, double there_us)
{
  static const char *const centres[] = { "a", "b", "c" };
  MfSpillover *spillover = mf_spillover_new (MF_SPILLOVER_US_PER_KB_DEFAULT, 0);

  assert_non_null (spillover);
  for (uint64_t now_us = NOW_US - 30 * MF_US_PER_S; now_us <= NOW_US; now_us += 100 * MF_US_PER_MS)
    {
      for (uint32_t i = 0; i < 3; i++)
        mf_spillover_note (spillover,
                           &(MfSpilloverNote){
                               .service = "llm",
                               .role = role,
                               .data_centre = centres[i],
                               .is_here = i == 1,
                               .n_usable = 1,
                               .time_us = i == 1 ? here_us : there_us,
                               .time_seen_us = now_us,
                           },
                           now_us);
      mf_spillover_update (spillover, now_us, NULL, NULL);
    }
  return spillover;
}

/* Guards against leaving without need, and against staying where nothing is usable. */
static void
test_share_decides_what_leaves (void **state)
{
  MfSpillover *idle = spillover_make (MF_ROLE_PLAIN, 15e3, 15e3);
  MfSpillover *slow = spillover_make (MF_ROLE_PLAIN, 80e3, 15e3);
  MfPlaceQuery query = { .spillover = idle, .request_bytes = 1024 };
  Fleet fleet;

  (void)state;
  fleet_make (&fleet, MF_ROLE_PLAIN);
  mf_target_begin_request (&fleet.upstreams[1], 0, NOW_US);
  assert_int_equal (choose (&fleet, query), 1);
  query.spillover = slow;
  assert_int_not_equal (choose (&fleet, query), 1);
  query.tie_break = UINT32_MAX;
  assert_int_equal (choose (&fleet, query), 1);
  /* A long request pays for its bytes. */
  query.tie_break = 0;
  query.request_bytes = 1024 * 1024;
  assert_int_equal (choose (&fleet, query), 1);
  query.tie_break = UINT32_MAX;
  fleet.upstreams[1].suspect_until_us = NOW_US + 1;
  assert_int_not_equal (choose (&fleet, query), 1);
  mf_spillover_free (idle);
  mf_spillover_free (slow);
}

/* The instance that grants slots for all has no share, and decides for other data centres too. */
static void
test_grants_add_the_crossing_alone (void **state)
{
  MfSpillover *spillover = mf_spillover_new (MF_SPILLOVER_US_PER_KB_DEFAULT, 0);
  MfPlaceQuery query = { .spillover = spillover, .tokens = 5200, .is_grant = true };
  Fleet fleet;

  (void)state;
  assert_non_null (spillover);
  fleet_make (&fleet, MF_ROLE_DECODE);
  assert_int_equal (choose (&fleet, query), 1);
  fleet.upstreams[1].n_remote = 2;
  assert_int_not_equal (choose (&fleet, query), 1);
  /* The KV of a prefill has to come to the engine that decodes. */
  fleet_make (&fleet, MF_ROLE_PREFILL);
  assert_int_equal (choose (&fleet, query), 1);
  query.decode_data_centre = "c";
  assert_int_equal (choose (&fleet, query), 2);
  mf_spillover_free (spillover);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_plain_requests_stay_in_their_data_centre),
    cmocka_unit_test (test_slow_failing_and_silent_upstreams_are_avoided),
    cmocka_unit_test (test_leaving_and_tried_upstreams_are_not_chosen),
    cmocka_unit_test (test_only_upstreams_of_the_version_are_chosen),
    cmocka_unit_test (test_stream_does_not_go_on_at_an_upstream_that_has_ended),
    cmocka_unit_test (test_paused_upstreams_are_not_chosen),
    cmocka_unit_test (test_suspects_only_when_there_is_no_other),
    cmocka_unit_test (test_decodes_go_where_kv_is_free),
    cmocka_unit_test (test_decodes_go_where_their_kv_is),
    cmocka_unit_test (test_prompts_go_to_the_shortest_queue),
    cmocka_unit_test (test_prompts_avoid_engines_that_declined),
    cmocka_unit_test (test_upstreams_with_a_rate_limit_come_last),
    cmocka_unit_test (test_upstream_is_used_once_its_rate_limit_admits_a_request),
    cmocka_unit_test (test_no_more_than_this_instances_part_of_connections),
    cmocka_unit_test (test_replaced_upstream_is_not_used_as_a_last_resort),
    cmocka_unit_test (test_constant_costs_without_spillover),
    cmocka_unit_test (test_share_decides_what_leaves),
    cmocka_unit_test (test_grants_add_the_crossing_alone),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
