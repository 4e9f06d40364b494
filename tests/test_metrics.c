#include "libmangofork/metrics.h"

#include "one_core.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static bool
is_name_byte (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
}

/* Checks one sample: a name, labels in quotes, and a number. */
static void
check_sample (const char *line)
{
  const char *at = line;
  char *end;

  while (is_name_byte (*at))
    at++;
  assert_true (at > line);
  if (*at == '{')
    {
      at = strchr (at, '}');
      assert_non_null (at);
      at++;
    }
  assert_int_equal (*at, ' ');
  strtod (at + 1, &end);
  assert_int_equal (*end, '\0');
}

static char *
metrics_of (OneCore *one)
{
  MfBuffer buffer = { 0 };
  char *text;

  assert_true (mf_metrics_render (one->core, &buffer));
  mf_buffer_add (&buffer, "", 1);
  text = strdup (mf_buffer_data (&buffer));
  assert_non_null (text);
  mf_buffer_clear (&buffer);
  return text;
}

static void
test_every_line_is_a_sample_or_a_comment (void **state)
{
  OneCore *one = one_core_new ();
  char *text = metrics_of (one);
  char *rest = text;
  char *line;

  (void)state;
  while ((line = strsep (&rest, "\n")) != NULL)
    {
      if (*line != '\0' && *line != '#')
        check_sample (line);
    }
  free (text);
  one_core_free (one);
}

static void
test_ends_are_labelled (void **state)
{
  OneCore *one = one_core_new ();
  char *text;

  (void)state;
  one_core_request (one, "a", "/orders/1", ONE_ANSWERS, 10 * MF_US_PER_MS);
  one_core_request (one, "b", "/orders/2", ONE_ANSWERS, 300 * MF_US_PER_MS);
  one_core_request (one, "c", "/nothing", ONE_ANSWERS, 1);
  text = metrics_of (one);
  assert_non_null (
      strstr (text, "mangofork_service_requests_total{service=\"orders\",result=\"good\"} 1\n"));
  assert_non_null (
      strstr (text, "mangofork_service_requests_total{service=\"orders\",result=\"late\"} 1\n"));
  assert_non_null (strstr (text, "mangofork_ended_total{code=\"1009\",name=\"no-service\"} 1\n"));
  assert_non_null (strstr (text, "mangofork_ended_total{code=\"0\",name=\"ok\"} 2\n"));
  free (text);
  one_core_free (one);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_every_line_is_a_sample_or_a_comment),
    cmocka_unit_test (test_ends_are_labelled),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
