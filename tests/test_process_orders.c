#include "fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <signal.h>
#include <string.h>

/* Execution time of an order that is still running when the fault occurs. */
#define SLOW_MS 1500

static void
fault_all_plain (Fleet *fleet, const char *kind, unsigned value)
{
  fleet_fault (fleet, "o1", kind, value);
  fleet_fault (fleet, "o2", kind, value);
  fleet_fault (fleet, "o3", kind, value);
}

static bool
has_arrived (Fleet *fleet, void *data)
{
  const uint64_t *n = data;

  return fleet_sum_ledger (fleet, "plain", "calls") >= *n;
}

/* Sends an order and waits until an upstream has received it but not yet executed it. */
static Caller *
start_order (Fleet *fleet, int instance, const char *order)
{
  uint64_t n_calls = fleet_sum_ledger (fleet, "plain", "calls") + 1;
  Caller *caller = fleet_send_order (fleet, instance, order, order);

  fleet_wait_until (fleet, has_arrived, &n_calls);
  return caller;
}

static Caller *
run_order (Fleet *fleet, int instance, const char *order)
{
  Caller *caller = fleet_send_order (fleet, instance, order, order);

  caller_wait (caller);
  return caller;
}

static bool
has_run (Fleet *fleet, void *data)
{
  return fleet_n_runs (fleet, data) > 0;
}

/* Checks an answer to an order: it is the result of the execution, or a refusal whose outcome is
 * consistent with the number of executions, which is at most 1. */
static void
assert_answer_allowed (Fleet *fleet, Caller *caller, const char *order)
{
  if (caller_status (caller) == 200)
    assert_non_null (strstr (caller_body (caller), order));
  else if (strcmp (caller_outcome (caller), "not-run") == 0)
    assert_int_equal (fleet_n_runs (fleet, order), 0);
  else
    assert_string_not_equal (caller_outcome (caller), "");
  assert_true (fleet_n_runs (fleet, order) <= 1);
}

static int
setup (void **state)
{
  if (fleet_setup (state) != 0)
    return -1;
  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    fleet_wait_voting (*state, i);
  return 0;
}

static void
test_resent_order_gets_the_first_answer (void **state)
{
  Fleet *fleet = *state;
  Caller *first = run_order (fleet, 1, "a");

  assert_int_equal (caller_status (first), 200);
  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    {
      Caller *again = run_order (fleet, i, "a");

      assert_int_equal (caller_status (again), 200);
      assert_string_equal (caller_body (again), caller_body (first));
    }
  assert_int_equal (fleet_n_runs (fleet, "a"), 1);
}

static void
test_resent_order_waits_for_the_run (void **state)
{
  Fleet *fleet = *state;
  Caller *first;
  Caller *second;
  Caller *third;

  fault_all_plain (fleet, "slow", SLOW_MS);
  first = start_order (fleet, 1, "b");
  second = fleet_send_order (fleet, 2, "b", "b");
  third = fleet_send_order (fleet, 3, "b", "b");
  caller_wait (first);
  caller_wait (second);
  caller_wait (third);
  assert_int_equal (caller_status (first), 200);
  assert_answer_allowed (fleet, second, "b");
  assert_answer_allowed (fleet, third, "b");
  assert_int_equal (fleet_n_runs (fleet, "b"), 1);
}

/* The order may have run although its instance was killed before it could report the result. */
static void
test_instance_killed_in_mid_order (void **state)
{
  Fleet *fleet = *state;
  Caller *second;
  Caller *third;

  fault_all_plain (fleet, "slow", SLOW_MS);
  start_order (fleet, 1, "c");
  fleet_signal (fleet, 1, SIGKILL);
  second = fleet_send_order (fleet, 2, "c", "c");
  caller_wait (second);
  third = run_order (fleet, 3, "c");
  fleet_wait_until (fleet, has_run, "c");
  assert_answer_allowed (fleet, second, "c");
  assert_answer_allowed (fleet, third, "c");
  fleet_start (fleet, 1);
  fleet_wait_ready (fleet, 1);
  fleet_wait_voting (fleet, 1);
  assert_answer_allowed (fleet, run_order (fleet, 1, "c"), "c");
}

static void
test_instance_paused_in_mid_order_wakes_late (void **state)
{
  Fleet *fleet = *state;
  Caller *first;
  Caller *second;

  fault_all_plain (fleet, "slow", SLOW_MS);
  first = start_order (fleet, 1, "d");
  fleet_signal (fleet, 1, SIGSTOP);
  second = fleet_send_order (fleet, 2, "d", "d");
  fleet_sleep_ms (fleet, 4000);
  fleet_signal (fleet, 1, SIGCONT);
  caller_wait (first);
  caller_wait (second);
  assert_answer_allowed (fleet, first, "d");
  assert_answer_allowed (fleet, second, "d");
  assert_answer_allowed (fleet, run_order (fleet, 3, "d"), "d");
}

/* Pauses the instance at different times between the arrival of the order and the call to its
 * upstream: an instance that resumes must not run an order that another one has run meanwhile. */
static void
test_instance_paused_around_the_send (void **state)
{
  static const char *const orders[] = { "e0", "e1", "e2", "e3", "e4", "e5" };
  Fleet *fleet = *state;

  for (unsigned i = 0; i < MF_ARRAY_LEN (orders); i++)
    {
      Caller *first = fleet_send_order (fleet, 1, orders[i], orders[i]);
      Caller *second;

      fleet_sleep_ms (fleet, i);
      fleet_signal (fleet, 1, SIGSTOP);
      second = fleet_send_order (fleet, 2, orders[i], orders[i]);
      fleet_sleep_ms (fleet, 1500);
      fleet_signal (fleet, 1, SIGCONT);
      caller_wait (first);
      caller_wait (second);
      assert_answer_allowed (fleet, first, orders[i]);
      assert_answer_allowed (fleet, second, orders[i]);
    }
}

static void
assert_refused_as_unknown (Caller *caller)
{
  assert_int_equal (caller_status (caller), 503);
  assert_string_equal (caller_outcome (caller), "unknown");
}

/* An instance without a quorum must refuse the order, with the outcome "unknown", as the majority
 * may have run it. */
static void
test_minority_refuses_and_runs_nothing (void **state)
{
  Fleet *fleet = *state;
  Caller *minority;
  Caller *majority;

  fleet_isolate (fleet, 3, true);
  minority = run_order (fleet, 3, "f");
  assert_refused_as_unknown (minority);
  assert_int_equal (fleet_n_runs (fleet, "f"), 0);
  majority = run_order (fleet, 1, "f");
  assert_int_equal (caller_status (majority), 200);
  assert_int_equal (fleet_n_runs (fleet, "f"), 1);
  assert_refused_as_unknown (run_order (fleet, 3, "f"));
  fleet_isolate (fleet, 3, false);
  fleet_wait_voting (fleet, 3);
  assert_answer_allowed (fleet, run_order (fleet, 3, "f"), "f");
}

static void
test_partition_in_mid_order (void **state)
{
  Fleet *fleet = *state;
  Caller *first;
  Caller *second;

  fault_all_plain (fleet, "slow", SLOW_MS);
  first = start_order (fleet, 3, "g");
  fleet_isolate (fleet, 3, true);
  second = run_order (fleet, 1, "g");
  caller_wait (first);
  assert_int_equal (caller_status (first), 200);
  assert_answer_allowed (fleet, second, "g");
  fleet_isolate (fleet, 3, false);
  fleet_wait_voting (fleet, 3);
  assert_answer_allowed (fleet, run_order (fleet, 2, "g"), "g");
}

/* Holds back the data of one direction on each link of instance 1: from the instance that opened
 * the link (hold-in), then to it (hold-out). */
static void
test_link_held_one_way (void **state)
{
  static const char *const kinds[] = { "hold-in", "hold-out" };
  static const char *const orders[] = { "h0", "h1" };
  Fleet *fleet = *state;

  for (unsigned i = 0; i < MF_ARRAY_LEN (kinds); i++)
    {
      Caller *first;
      Caller *second;

      for (int other = 2; other <= FLEET_N_INSTANCES; other++)
        {
          fleet_link_fault (fleet, other, kinds[i], 1);
          fleet_link_fault (fleet, 1, kinds[i], other);
        }
      first = fleet_send_order (fleet, 1, orders[i], orders[i]);
      second = fleet_send_order (fleet, 2, orders[i], orders[i]);
      caller_wait (first);
      caller_wait (second);
      assert_answer_allowed (fleet, first, orders[i]);
      assert_answer_allowed (fleet, second, orders[i]);
      fleet_isolate (fleet, 1, false);
      fleet_wait_voting (fleet, 1);
      assert_answer_allowed (fleet, run_order (fleet, 1, orders[i]), orders[i]);
    }
}

/* The upstream resets or truncates the exchange: the router must not report that the order did not
 * run. */
static void
test_upstream_breaks_off_an_order (void **state)
{
  static const char *const kinds[] = { "die-before", "die-after", "cut" };
  static const char *const orders[] = { "i0", "i1", "i2" };
  Fleet *fleet = *state;

  for (unsigned i = 0; i < MF_ARRAY_LEN (kinds); i++)
    {
      Caller *first;

      fault_all_plain (fleet, kinds[i], 1);
      first = run_order (fleet, 1, orders[i]);
      assert_int_not_equal (caller_status (first), 200);
      assert_string_not_equal (caller_outcome (first), "not-run");
      fault_all_plain (fleet, "none", 0);
      assert_answer_allowed (fleet, run_order (fleet, 2, orders[i]), orders[i]);
    }
}

static void
test_order_without_a_key_is_not_repeated (void **state)
{
  Fleet *fleet = *state;
  Caller *caller;

  fault_all_plain (fleet, "die-after", 1);
  caller = fleet_send_order (fleet, 1, "j", NULL);
  caller_wait (caller);
  assert_string_not_equal (caller_outcome (caller), "not-run");
  assert_int_equal (fleet_n_runs (fleet, "j"), 1);
}

static void
test_refused_order_runs_elsewhere (void **state)
{
  Fleet *fleet = *state;

  fleet_fault (fleet, "o1", "leave", 1);
  fleet_fault (fleet, "o2", "refuse", 1);
  assert_int_equal (caller_status (run_order (fleet, 1, "k")), 200);
  assert_int_equal (fleet_n_runs (fleet, "k"), 1);
}

static void
test_reads_outlive_their_upstream (void **state)
{
  Fleet *fleet = *state;
  Caller *callers[12];

  fleet_fault (fleet, "o1", "kill", 0);
  fleet_fault (fleet, "o2", "die-before", 3);
  for (unsigned i = 0; i < MF_ARRAY_LEN (callers); i++)
    callers[i] = fleet_send_get (fleet, (int)(i % FLEET_N_INSTANCES) + 1, "/stock/drawer");
  for (unsigned i = 0; i < MF_ARRAY_LEN (callers); i++)
    {
      caller_wait (callers[i]);
      assert_int_equal (caller_status (callers[i]), 200);
    }
}

static void
test_shutdown_cuts_off_no_order (void **state)
{
  Fleet *fleet = *state;
  Caller *first;

  fault_all_plain (fleet, "slow", SLOW_MS);
  first = start_order (fleet, 1, "l");
  fleet_signal (fleet, 1, SIGTERM);
  caller_wait (first);
  assert_int_equal (caller_status (first), 200);
  assert_int_equal (fleet_wait_exit_code (fleet, 1), 0);
  assert_answer_allowed (fleet, run_order (fleet, 2, "l"), "l");
}

int
main (int argc, char **argv)
{
#define FLEET_TEST(name) cmocka_unit_test_setup_teardown (name, setup, fleet_teardown)
  const struct CMUnitTest tests[] = {
    FLEET_TEST (test_resent_order_gets_the_first_answer),
    FLEET_TEST (test_resent_order_waits_for_the_run),
    FLEET_TEST (test_instance_killed_in_mid_order),
    FLEET_TEST (test_instance_paused_in_mid_order_wakes_late),
    FLEET_TEST (test_instance_paused_around_the_send),
    FLEET_TEST (test_minority_refuses_and_runs_nothing),
    FLEET_TEST (test_partition_in_mid_order),
    FLEET_TEST (test_link_held_one_way),
    FLEET_TEST (test_upstream_breaks_off_an_order),
    FLEET_TEST (test_order_without_a_key_is_not_repeated),
    FLEET_TEST (test_refused_order_runs_elsewhere),
    FLEET_TEST (test_reads_outlive_their_upstream),
    FLEET_TEST (test_shutdown_cuts_off_no_order),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
