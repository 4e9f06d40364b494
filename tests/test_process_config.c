#include "fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <signal.h>

static const char revision_name[] = "mangofork_config_revision";

static double
revision (Fleet *fleet, int instance)
{
  return fleet_counter (fleet, instance, revision_name);
}

static double
count_accepted (Fleet *fleet)
{
  double n = 0;

  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    n += fleet_counter (fleet, i, "mangofork_config_accepted_total");
  return n;
}

static bool
all_newer (Fleet *fleet, void *data)
{
  const double *old_revision = data;

  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    {
      if (revision (fleet, i) <= *old_revision)
        return false;
    }
  return true;
}

static void
assert_request_succeeds (Fleet *fleet, int instance)
{
  Caller *caller = fleet_send_completion (fleet, instance, "served", 5);

  caller_wait (caller);
  assert_true (caller_is_complete (caller));
}

static void
test_new_text_is_in_force_everywhere (void **state)
{
  Fleet *fleet = *state;
  double before = revision (fleet, 1);

  fleet_publish_tbt_target (fleet, 31);
  fleet_wait_until (fleet, all_newer, &before);
  assert_request_succeeds (fleet, 1);
}

/* Guards against a platform that serves an earlier revision again: running instances must not
 * accept it, and a restarted instance must get the newer one. */
static void
test_text_never_reverts (void **state)
{
  Fleet *fleet = *state;
  double before = revision (fleet, 1);
  double accepted;
  double n_accepted;

  fleet_publish_tbt_target (fleet, 31);
  fleet_wait_until (fleet, all_newer, &before);
  accepted = revision (fleet, 1);
  n_accepted = count_accepted (fleet);
  fleet_fault (fleet, "platform", "revert", 1);
  fleet_sleep_ms (fleet, 1500);
  assert_true (count_accepted (fleet) == n_accepted);
  fleet_signal (fleet, 1, SIGKILL);
  fleet_start (fleet, 1);
  fleet_wait_ready (fleet, 1);
  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    assert_true (revision (fleet, i) >= accepted);
  assert_request_succeeds (fleet, 1);
}

static bool
has_refused (Fleet *fleet, void *data)
{
  (void)data;
  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    {
      if (fleet_counter (fleet, i, "mangofork_config_refused_total") > 0)
        return true;
    }
  return false;
}

/* A text with errors is refused; the previous revision stays in force. */
static void
test_faulty_text_changes_nothing (void **state)
{
  Fleet *fleet = *state;
  double before = revision (fleet, 1);

  fleet_publish (fleet, "{ \"services\": 7 }");
  fleet_wait_until (fleet, has_refused, NULL);
  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    {
      assert_true (revision (fleet, i) == before);
      assert_request_succeeds (fleet, i);
    }
  fleet_publish_tbt_target (fleet, 32);
  fleet_wait_until (fleet, all_newer, &before);
}

/* While the platform is down, an instance that restarts gets its configuration from the others. */
static void
test_platform_down_stops_nothing (void **state)
{
  Fleet *fleet = *state;
  double before = revision (fleet, 1);

  fleet_fault (fleet, "platform", "down", 0);
  fleet_sleep_ms (fleet, 1000);
  for (int i = 1; i <= FLEET_N_INSTANCES; i++)
    assert_request_succeeds (fleet, i);
  fleet_signal (fleet, 2, SIGKILL);
  fleet_start (fleet, 2);
  fleet_wait_ready (fleet, 2);
  assert_true (revision (fleet, 2) == before);
  assert_request_succeeds (fleet, 2);
  fleet_fault (fleet, "platform", "up", 0);
  fleet_publish_tbt_target (fleet, 33);
  fleet_wait_until (fleet, all_newer, &before);
}

int
main (int argc, char **argv)
{
#define FLEET_TEST(name) cmocka_unit_test_setup_teardown (name, fleet_setup, fleet_teardown)
  const struct CMUnitTest tests[] = {
    FLEET_TEST (test_new_text_is_in_force_everywhere),
    FLEET_TEST (test_text_never_reverts),
    FLEET_TEST (test_faulty_text_changes_nothing),
    FLEET_TEST (test_platform_down_stops_nothing),
  };

  if (argc > 1)
    cmocka_set_test_filter (argv[1]);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
