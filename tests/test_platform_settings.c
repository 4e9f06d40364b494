#include "platform/platform.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#define REQUIRED                                                                                   \
  "node=front-1\nzone=z-a\nlisten.front=10.1.0.35:8144\nlisten.readiness=10.1.0.35:8140\n"         \
  "provider.address=10.200.1.7:8142\n"

static bool
parse (const char *text, MfRelaySettings *settings, MfError *error)
{
  *error = (MfError){ 0 };
  return platform_settings_parse (text, strlen (text), settings, error);
}

static void
test_all_keys (void **state)
{
  static const char text[] = REQUIRED
      "unknown=1\nno line\nlisten.control=10.1.0.35:8146\ninternalPorts=7660,7675\n"
      "seeds=10.1.0.35:8146,10.2.0.28:8146\nlimits.memoryMb=110\nlimits.maxFds=4100\n"
      "heartbeatMs=1200\nbounds.contactMs=3500.5\nbounds.drainMs=2000\nbounds.configApplyMs="
      "1500\nbounds."
      "graceS=8.5\r\n"
      "bounds.retryBudgetRatio=0.25\nbounds.budgetWindowS=12\nbounds.retryBudgetSlack=52\n"
      "bounds.revokeMs=400\nbounds.strictRevocation=true\nbounds.fenceRequired=true\nbounds."
      "leaseMs=2500\n"
      "bounds.quotaWindowS=7\nbounds.quotaOverage=0.5\nbounds.quotaSlack=90000";
  MfRelaySettings settings;
  MfError error;

  (void)state;
  assert_true (parse (text, &settings, &error));
  assert_string_equal (settings.name, "front-1");
  assert_string_equal (settings.data_centre, "z-a");
  assert_string_equal (settings.metrics, "10.1.0.35:7660");
  assert_string_equal (settings.peers, "10.1.0.35:8146");
  assert_string_equal (settings.seeds, "10.1.0.35:8146,10.2.0.28:8146");
  assert_int_equal (settings.memory_bytes, 110 << 20);
  assert_int_equal (settings.registration_us, 1200 * MF_US_PER_MS);
  assert_int_equal (settings.recovery_us, 3500500);
  assert_int_equal (settings.grace_us, 8500000);
  assert_int_equal (settings.change_bound_us, 1500 * MF_US_PER_MS);
  /* A key with two rows sets both. */
  assert_int_equal (settings.config_apply_us, 1500 * MF_US_PER_MS);
  assert_int_equal (settings.revoke_us, 400 * MF_US_PER_MS);
  assert_true (settings.revokes_at_once);
  assert_true (settings.orders_fenced);
  assert_int_equal (settings.order_interval_us, 2500000);
  assert_int_equal (settings.quota_window_us, 7 * MF_US_PER_S);
  assert_true (settings.quota_overage > 0.49 && settings.quota_overage < 0.51);
  assert_int_equal (settings.quota_slack, 90000);
  assert_int_equal (settings.retry_window_us, 12 * MF_US_PER_S);
  assert_int_equal (settings.retry_slack, 52);
  assert_true (settings.retry_ratio > 0.249 && settings.retry_ratio < 0.251);
}

static void
test_bounds_may_be_missing (void **state)
{
  MfRelaySettings settings;
  MfError error;

  (void)state;
  /* The lower of the two bounds applies, in either order. */
  assert_true (
      parse (REQUIRED "bounds.configApplyMs=3000\nbounds.drainMs=4000\n", &settings, &error));
  assert_int_equal (settings.change_bound_us, 3 * MF_US_PER_S);
  assert_true (parse (REQUIRED, &settings, &error));
  assert_int_equal (settings.recovery_us, 3 * MF_US_PER_S);
  assert_int_equal (settings.change_bound_us, 2 * MF_US_PER_S);
  assert_int_equal (settings.config_apply_us, 2 * MF_US_PER_S);
  assert_int_equal (settings.revoke_us, 0);
  assert_string_equal (settings.peers, "");
  assert_string_equal (settings.metrics, "");
}

static void
test_faults_name_their_key (void **state)
{
  MfRelaySettings settings;
  MfError error;

  (void)state;
  assert_false (parse ("node=a\n", &settings, &error));
  assert_int_equal (error.code, MF_CODE_TEXT_MISSING);
  assert_non_null (strstr (error.text, "zone"));
  assert_false (parse (REQUIRED "bounds.graceS=soon\n", &settings, &error));
  assert_int_equal (error.code, MF_CODE_TEXT_TYPE);
  assert_non_null (strstr (error.text, "bounds.graceS"));
  assert_false (parse (REQUIRED "bounds.graceS=-1\n", &settings, &error));
  assert_false (parse (REQUIRED "bounds.graceS=nan\n", &settings, &error));
  assert_false (platform_settings_read ("/nowhere/settings.conf", &settings, &error));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_keys),
    cmocka_unit_test (test_bounds_may_be_missing),
    cmocka_unit_test (test_faults_name_their_key),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
