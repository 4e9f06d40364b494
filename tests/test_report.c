#include "libmangofork/report.h"

#include "one_core.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

static json_object *
report_of (OneCore *one)
{
  MfBuffer buffer = { 0 };

  assert_true (mf_report_render (one->core, &buffer));
  return one_core_json (&buffer);
}

/* Guards against a request counted under the wrong result, or under two: answered, late, departed
 * and failed requests each show in their own count only. */
static void
test_report_counts_each_end_once (void **state)
{
  OneCore *one = one_core_new ();
  json_object *report;

  (void)state;
  one_core_request (one, "a", "/orders/1", ONE_ANSWERS, 10 * MF_US_PER_MS);
  one_core_request (one, "b", "/orders/2", ONE_ANSWERS, 300 * MF_US_PER_MS);
  one_core_request (one, "c", "/orders/3", ONE_CALLER_LEAVES, 10 * MF_US_PER_MS);
  one_core_request (one, "d", "/orders/4", ONE_FAILS, 10 * MF_US_PER_MS);
  report = report_of (one);
  assert_string_equal (one_core_text (report, "services.1.service"), "orders");
  assert_int_equal (one_core_number (report, "services.1.answered"), 2);
  assert_int_equal (one_core_number (report, "services.1.good"), 1);
  assert_int_equal (one_core_number (report, "services.1.departed"), 1);
  assert_int_equal (one_core_number (report, "services.1.failed"), 1);
  assert_int_equal (one_core_number (report, "services.1.refused"), 0);
  assert_int_equal (one_core_number (report, "services.0.answered"), 0);
  /* 50 % were late and 5 % are allowed: a burn rate of 10. */
  assert_string_equal (one_core_text (report, "services.1.objectives.0.windows.5m.burn"), "10.000");
  assert_string_equal (one_core_text (report, "ended_by.0.ended_by"), "caller");
  assert_int_equal (one_core_number (report, "counters.mangofork_requests_total"), 4);
  json_object_put (report);
  one_core_free (one);
}

/* A failure counts in every window, and all alerts fire; when the shortest window has passed, the
 * alert that needs it stops. */
static void
test_alerts_need_both_windows (void **state)
{
  OneCore *one = one_core_new ();
  json_object *report;

  (void)state;
  one_core_request (one, "a", "/orders/1", ONE_FAILS, MF_US_PER_MS);
  report = report_of (one);
  assert_int_equal (
      json_object_array_length (one_core_at (report, "services.1.objectives.1.alerts")), 3);
  json_object_put (report);
  one_core_wait (one, UINT64_C (12) * 60 * MF_US_PER_S);
  one_core_request (one, "b", "/orders/1", ONE_ANSWERS, MF_US_PER_MS);
  report = report_of (one);
  assert_int_equal (
      json_object_array_length (one_core_at (report, "services.1.objectives.1.alerts")), 2);
  json_object_put (report);
  one_core_free (one);
}

static void
test_series_sums_to_the_counters (void **state)
{
  OneCore *one = one_core_new ();
  json_object *report;
  json_object *points;
  uint64_t n_requests = 0;

  (void)state;
  for (uint32_t i = 0; i < 30; i++)
    one_core_request (one, "a", "/orders/1", ONE_ANSWERS, 500 * MF_US_PER_MS);
  one_core_wait (one, 2 * MF_US_PER_S);
  report = report_of (one);
  points = one_core_at (report, "series.fine");
  assert_true (json_object_array_length (points) >= 8);
  for (size_t i = 0; i < json_object_array_length (points); i++)
    n_requests += one_core_number (json_object_array_get_idx (points, i), "requests");
  assert_int_equal (n_requests, 30);
  json_object_put (report);
  one_core_free (one);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_report_counts_each_end_once),
    cmocka_unit_test (test_alerts_need_both_windows),
    cmocka_unit_test (test_series_sums_to_the_counters),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
