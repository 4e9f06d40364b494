#include "libmangofork/relay/refuse.h"

#include <setjmp.h>
#include <stdarg.h>

#include <cmocka.h>

static void
test_no_longer_than_callers_wait (void **state)
{
  static const MfCode codes[]
      = { MF_CODE_NO_CONFIG, MF_CODE_DRAINING, MF_CODE_NO_UPSTREAM, MF_CODE_QUEUE_FULL };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (codes); i++)
    {
      MfRefusal refusal = {
        .code = codes[i],
        .left_us = 600 * MF_US_PER_MS,
        .objective_us = 14 * MF_US_PER_S,
        .available_us = 30 * MF_US_PER_S,
        .jitter = UINT32_MAX,
      };

      assert_true (mf_refuse_retry_after_us (&refusal) <= 200 * MF_US_PER_MS);
    }
}

/* Callers that are refused at the same time must not retry at the same time. */
static void
test_returns_are_spread (void **state)
{
  MfRefusal refusal = {
    .code = MF_CODE_QUEUE_FULL,
    .left_us = 14 * MF_US_PER_S,
    .objective_us = 900 * MF_US_PER_MS,
  };
  uint64_t first_us = mf_refuse_retry_after_us (&refusal);

  (void)state;
  refusal.jitter = UINT32_MAX;
  assert_true (mf_refuse_retry_after_us (&refusal) > first_us + first_us / 3);
}

static void
test_another_instance_takes_it_at_once (void **state)
{
  MfRefusal refusal = { .code = MF_CODE_DRAINING, .left_us = 14 * MF_US_PER_S };

  (void)state;
  assert_int_equal (mf_refuse_retry_after_us (&refusal), 0);
}

/* An instance that has just started may be retried at once. One without a configuration for longer
 * cannot reach the store, and a caller that retries only once should do so later. */
static void
test_without_configuration (void **state)
{
  MfRefusal refusal = { .code = MF_CODE_NO_CONFIG, .left_us = 14 * MF_US_PER_S };
  uint64_t first_us = mf_refuse_retry_after_us (&refusal);

  (void)state;
  assert_true (first_us <= 200 * MF_US_PER_MS);
  refusal.uptime_us = MF_US_PER_S;
  assert_true (mf_refuse_retry_after_us (&refusal) >= MF_US_PER_S);
  refusal.left_us = 600 * MF_US_PER_MS;
  assert_int_equal (mf_refuse_retry_after_us (&refusal), 200 * MF_US_PER_MS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_longer_than_callers_wait),
    cmocka_unit_test (test_returns_are_spread),
    cmocka_unit_test (test_another_instance_takes_it_at_once),
    cmocka_unit_test (test_without_configuration),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
