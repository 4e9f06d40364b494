#include "libmangofork/relay/version.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define NOW_US (100 * MF_US_PER_S)

static void
test_versions_that_have_left_count_for_a_while (void **state)
{
  MfVersionLog log;

  (void)state;
  mf_version_log_init (&log);
  assert_false (mf_version_log_is_complete (&log, NOW_US));
  log.complete_since_us = NOW_US;
  assert_false (mf_version_log_is_complete (&log, NOW_US));
  assert_true (mf_version_log_is_complete (&log, NOW_US + MF_VERSION_LAG_US));
  assert_false (mf_version_log_has_other (&log, 1, 8, NOW_US));
  mf_version_log_note (&log, 1, 7, NOW_US);
  mf_version_log_note (&log, 1, 7, NOW_US - 5);
  assert_true (mf_version_log_has_other (&log, 1, 8, NOW_US + MF_VERSION_LAG_US));
  assert_false (mf_version_log_has_other (&log, 1, 8, NOW_US + MF_VERSION_LAG_US + 1));
  assert_false (mf_version_log_has_other (&log, 1, 7, NOW_US));
  assert_false (mf_version_log_has_other (&log, 2, 8, NOW_US));
}

/* A version that was forgotten may have been in use until it was. */
static void
test_forgotten_versions_make_the_log_incomplete (void **state)
{
  MfVersionLog log;

  (void)state;
  mf_version_log_init (&log);
  log.complete_since_us = NOW_US - MF_US_PER_S;
  for (uint64_t i = 0; i <= MF_VERSION_USES_MAX; i++)
    mf_version_log_note (&log, 1, i + 1, NOW_US + i * MF_US_PER_S);
  assert_false (mf_version_log_is_complete (&log, NOW_US + MF_VERSION_LAG_US));
  assert_true (mf_version_log_is_complete (&log, NOW_US + MF_VERSION_LAG_US + 1));
}

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_versions_that_have_left_count_for_a_while),
    cmocka_unit_test (test_forgotten_versions_make_the_log_incomplete),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
