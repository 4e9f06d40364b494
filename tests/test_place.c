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
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
