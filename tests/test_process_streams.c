#include "fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define N_STREAMS 9
/* Length of an answer that does not end during a test. */
#define LONG_TOKENS 4000

/* Streams that have all received their first tokens. */
typedef struct
{
  Caller *callers[N_STREAMS];
  unsigned n;
  unsigned n_tokens;
} Streams;

static bool
have_started (Fleet *fleet, void *data)
{
  const Streams *streams = data;

  (void)fleet;
  for (unsigned i = 0; i < streams->n; i++)
    {
      if (!caller_has_tokens (streams->callers[i], 3))
        return false;
    }
  return true;
}

/* Starts n streams at one instance, or spread over all if instance is 0, and waits until each has
 * received 3 tokens. */
static void
start_streams (Fleet *fleet, Streams *streams, int instance, unsigned n, unsigned n_tokens)
{
  char tag[16];

  streams->n = n;
  for (unsigned i = 0; i < n; i++)
    {
      snprintf (tag, sizeof tag, "s%u", i);
      streams->callers[i] = fleet_send_completion (
          fleet, instance != 0 ? instance : (int)(i % FLEET_N_INSTANCES) + 1, tag, n_tokens);
    }
  fleet_wait_until (fleet, have_started, streams);
}

static void
assert_all_complete (Streams *streams)
{
  for (unsigned i = 0; i < streams->n; i++)
    {
      caller_wait (streams->callers[i]);
      if (!caller_is_complete (streams->callers[i]))
        print_error ("stream %u ended with: %s\n", i, caller_body_tail (streams->callers[i]));
      assert_true (caller_is_complete (streams->callers[i]));
    }
}

static void
disconnect_all (Streams *streams)
{
  for (unsigned i = 0; i < streams->n; i++)
    caller_disconnect (streams->callers[i]);
}

static void
test_streams_outlive_their_engine (void **state)
{
  Fleet *fleet = *state;
  Streams streams;

  start_streams (fleet, &streams, 0, N_STREAMS, 120);
  fleet_fault (fleet, "p1", "kill", 0);
  fleet_sleep_ms (fleet, 100);
  fleet_fault (fleet, "d1", "kill", 0);
  assert_all_complete (&streams);
  assert_int_equal (fleet_sum_ledger (fleet, "engines", "deaths"), 2);
  fleet_wait_kv_freed (fleet);
}

static void
test_streams_outlive_their_connections (void **state)
{
  Fleet *fleet = *state;
  Streams streams;
  double n_resumes = 0;

  start_streams (fleet, &streams, 0, N_STREAMS, 120);
  fleet_fault (fleet, "d1", "drop", 0);
  fleet_fault (fleet, "d2", "drop", 0);
  fleet_fault (fleet, "d3", "drop", 0);
  assert_all_complete (&streams);
  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    n_resumes += fleet_counter (fleet, i, "mangofork_resumes_total");
  assert_true (n_resumes > 0);
  assert_int_equal (fleet_sum_ledger (fleet, "engines", "deaths"), 0);
  fleet_wait_kv_freed (fleet);
}

static void
test_streams_outlive_a_slow_and_a_stalled_engine (void **state)
{
  Fleet *fleet = *state;
  Streams streams;

  start_streams (fleet, &streams, 0, N_STREAMS, 120);
  fleet_fault (fleet, "d1", "stall", 8000);
  fleet_fault (fleet, "d2", "slow", 20);
  assert_all_complete (&streams);
  fleet_wait_kv_freed (fleet);
}

/* The other instances must cancel the work of an instance that was killed. */
static void
test_memory_of_a_killed_instance_is_freed (void **state)
{
  Fleet *fleet = *state;
  Streams streams;

  start_streams (fleet, &streams, 1, 5, LONG_TOKENS);
  assert_true (fleet_n_kv_entries (fleet) >= 5);
  fleet_signal (fleet, 1, SIGKILL);
  fleet_wait_kv_freed (fleet);
  assert_true (fleet_sum_ledger (fleet, "engines", "owner_cancels") > 0);
  fleet_start (fleet, 1);
  fleet_wait_ready (fleet, 1);
  start_streams (fleet, &streams, 0, N_STREAMS, 20);
  assert_all_complete (&streams);
}

/* The other instances declare a paused instance dead and cancel its work at the engines. When it
 * resumes, it must still complete the streams of its callers. */
static void
test_paused_instance_completes_its_streams (void **state)
{
  Fleet *fleet = *state;
  Streams streams;

  start_streams (fleet, &streams, 1, 3, 600);
  fleet_signal (fleet, 1, SIGSTOP);
  fleet_sleep_ms (fleet, 6000);
  fleet_signal (fleet, 1, SIGCONT);
  assert_all_complete (&streams);
  fleet_wait_kv_freed (fleet);
}

static bool
has_prefilled (Fleet *fleet, void *data)
{
  const uint64_t *n = data;

  return fleet_sum_ledger (fleet, "engines", "prefills") >= *n;
}

static void
test_departed_callers_hold_no_memory (void **state)
{
  Fleet *fleet = *state;
  uint64_t n_prefills = 1;
  Streams streams;

  start_streams (fleet, &streams, 0, 3, LONG_TOKENS);
  disconnect_all (&streams);
  for (unsigned i = 1; i <= 3; i++)
    {
      char prefill[] = "p1";

      prefill[1] = (char)('0' + i);
      fleet_fault (fleet, prefill, "stall", 700);
    }
  n_prefills += fleet_sum_ledger (fleet, "engines", "prefills");
  streams.callers[0] = fleet_send_completion (fleet, 1, "prefilling", LONG_TOKENS);
  fleet_wait_until (fleet, has_prefilled, &n_prefills);
  caller_disconnect (streams.callers[0]);
  /* More requests than the engines can decode at once, so that some callers disconnect while their
   * request is queued. */
  for (unsigned i = 0; i < 90; i++)
    fleet_send_completion (fleet, (int)(i % FLEET_N_INSTANCES) + 1, "queued", LONG_TOKENS);
  fleet_sleep_ms (fleet, 1500);
  fleet_disconnect_callers (fleet);
  fleet_wait_kv_freed (fleet);
  start_streams (fleet, &streams, 0, N_STREAMS, 20);
  assert_all_complete (&streams);
}

static void
test_shutdown_cuts_off_no_stream (void **state)
{
  Fleet *fleet = *state;
  Streams streams;
  Caller *late;

  start_streams (fleet, &streams, 1, 6, 250);
  fleet_signal (fleet, 1, SIGTERM);
  fleet_sleep_ms (fleet, 600);
  late = fleet_send_completion (fleet, 1, "late", 10);
  caller_wait (late);
  assert_int_not_equal (caller_status (late), 200);
  if (caller_status (late) != 0)
    assert_string_equal (caller_outcome (late), "not-run");
  assert_all_complete (&streams);
  assert_int_equal (fleet_wait_exit_code (fleet, 1), 0);
  fleet_wait_kv_freed (fleet);
}

static void
test_half_the_instances_are_replaced (void **state)
{
  Fleet *fleet = *state;
  Streams streams;
  Streams unaffected;

  start_streams (fleet, &unaffected, 3, 3, 400);
  start_streams (fleet, &streams, 1, 2, 60);
  fleet_signal (fleet, 1, SIGTERM);
  fleet_signal (fleet, 2, SIGKILL);
  assert_all_complete (&streams);
  assert_int_equal (fleet_wait_exit_code (fleet, 1), 0);
  fleet_start (fleet, 1);
  fleet_start (fleet, 2);
  fleet_wait_ready (fleet, 1);
  fleet_wait_ready (fleet, 2);
  start_streams (fleet, &streams, 0, N_STREAMS, 20);
  assert_all_complete (&streams);
  assert_all_complete (&unaffected);
  fleet_wait_kv_freed (fleet);
}

/* A request that crashes engines must be quarantined after two crashes, and the streams of other
 * callers must complete. */
static void
test_poison_request_crashes_at_most_two_engines (void **state)
{
  Fleet *fleet = *state;
  Streams streams;

  start_streams (fleet, &streams, 0, N_STREAMS, 300);
  for (int i = 0; i < 6; i++)
    {
      Caller *poison = fleet_send_prompt (fleet, i % FLEET_N_INSTANCES + 1, "POISON");

      caller_wait (poison);
      assert_int_not_equal (caller_status (poison), 200);
      assert_string_not_equal (caller_outcome (poison), "not-run");
      fleet_sleep_ms (fleet, 300);
    }
  assert_true (fleet_sum_ledger (fleet, "engines", "deaths") <= 2);
  assert_all_complete (&streams);
}

/* 3 s after an engine announced that it leaves, no instance may send it work. */
static void
test_leaving_engine_gets_no_new_work (void **state)
{
  Fleet *fleet = *state;
  Streams streams;
  uint64_t n_refused;

  start_streams (fleet, &streams, 0, N_STREAMS, 30);
  fleet_fault (fleet, "d2", "leave", 0);
  assert_all_complete (&streams);
  fleet_sleep_ms (fleet, 3000);
  n_refused = fleet_sum_ledger (fleet, "engines", "refused");
  start_streams (fleet, &streams, 0, N_STREAMS, 30);
  assert_all_complete (&streams);
  assert_int_equal (fleet_sum_ledger (fleet, "engines", "refused"), n_refused);
}

int
main (int argc, char **argv)
{
#define FLEET_TEST(name) cmocka_unit_test_setup_teardown (name, fleet_setup, fleet_teardown)
  const struct CMUnitTest tests[] = {
    FLEET_TEST (test_streams_outlive_their_engine),
    FLEET_TEST (test_streams_outlive_their_connections),
    FLEET_TEST (test_streams_outlive_a_slow_and_a_stalled_engine),
    FLEET_TEST (test_memory_of_a_killed_instance_is_freed),
    FLEET_TEST (test_paused_instance_completes_its_streams),
    FLEET_TEST (test_departed_callers_hold_no_memory),
    FLEET_TEST (test_shutdown_cuts_off_no_stream),
    FLEET_TEST (test_half_the_instances_are_replaced),
    FLEET_TEST (test_poison_request_crashes_at_most_two_engines),
    FLEET_TEST (test_leaving_engine_gets_no_new_work),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
