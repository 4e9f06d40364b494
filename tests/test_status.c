#include "libmangofork/status.h"

#include "one_core.h"

#include "libmangofork/explain.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

static json_object *
status_of (OneCore *one)
{
  MfBuffer buffer = { 0 };

  assert_true (mf_status_render (one->core, &buffer));
  return one_core_json (&buffer);
}

/* A service is down because a dependency is down, and the status names that dependency. */
static void
test_status_names_the_cause (void **state)
{
  OneCore *one = one_core_new ();
  json_object *status = status_of (one);
  uint32_t stock = mf_upstream_find (one->core, mf_hash_name ("s1"));

  (void)state;
  assert_int_equal (one_core_number (status, "config.revision"), 7);
  assert_string_equal (one_core_text (status, "services.1.state"), "up");
  json_object_put (status);
  mf_upstream_set_health (one->core, stock, MF_HEALTH_DEAD, MF_CODE_UPSTREAM_DIED);
  mf_upstream_refresh_pools (one->core);
  status = status_of (one);
  assert_string_equal (one_core_text (status, "services.1.service"), "orders");
  assert_string_equal (one_core_text (status, "services.1.state"), "down");
  assert_int_equal (one_core_number (status, "services.1.code"), MF_CODE_DEPENDENCY_DOWN);
  assert_string_equal (one_core_text (status, "services.1.needs_down.0"), "stock");
  assert_int_equal (one_core_number (status, "services.0.code"), MF_CODE_NO_UPSTREAM);
  json_object_put (status);
  one_core_free (one);
}

static void
test_status_shows_the_refused_text (void **state)
{
  OneCore *one = one_core_new ();
  const char *bad = "{ \"services\": [],\n  \"pools\": 1 }";
  MfEvent event = { .type = MF_EVENT_PLATFORM_TEXT,
                    .text = { .revision = 8, .text = bad, .text_bytes = strlen (bad) } };
  json_object *status;

  (void)state;
  one_core_step (one, &event);
  status = status_of (one);
  assert_int_equal (one_core_number (status, "config.revision"), 7);
  assert_int_equal (one_core_number (status, "config.refused.revision"), 8);
  assert_int_equal (one_core_number (status, "config.refused.line"), 2);
  assert_int_equal (one_core_number (status, "config.refused.code"), MF_CODE_TEXT_TYPE);
  json_object_put (status);
  one_core_free (one);
}

/* An explanation has who ended the request, in which phase, and every step before. */
static void
test_explanation_lists_all_steps (void **state)
{
  OneCore *one = one_core_new ();
  MfBuffer buffer = { 0 };
  json_object *explanation;
  json_object *steps;

  (void)state;
  one_core_request (one, "left", "/orders/1", ONE_CALLER_LEAVES, 10 * MF_US_PER_MS);
  mf_trace_set_name (one->core->board.trace, one->next_request, "left");
  assert_false (mf_explain_render (one->core, "nobody", &buffer));
  assert_int_equal (mf_buffer_bytes (&buffer), 0);
  assert_true (mf_explain_render (one->core, "left", &buffer));
  explanation = one_core_json (&buffer);
  assert_string_equal (one_core_text (explanation, "requests.0.ended_by"), "caller");
  assert_string_equal (one_core_text (explanation, "requests.0.phase"), "sent");
  assert_int_equal (one_core_number (explanation, "requests.0.code"), MF_CODE_DEPARTED);
  steps = one_core_at (explanation, "requests.0.steps");
  assert_true (json_object_array_length (steps) >= 3);
  assert_string_equal (one_core_text (steps, "0.step"), "arrived");
  json_object_put (explanation);
  one_core_free (one);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_status_names_the_cause),
    cmocka_unit_test (test_status_shows_the_refused_text),
    cmocka_unit_test (test_explanation_lists_all_steps),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
