#include "platform/platform.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define REQUIRED                                                                                   \
  "node=front-1\nzone=z-a\nlisten.front=10.1.0.35:8144\nlisten.readiness=10.1.0.35:8140\n"         \
  "provider.address=10.200.1.7:8142\n"

/* Keys that may be absent. */
static const char *const optional[] = {
  "listen.control",          "seeds",
  "internalPorts",           "limits.memoryMb",
  "limits.maxFds",           "heartbeatMs",
  "bounds.contactMs",        "bounds.drainMs",
  "bounds.configApplyMs",    "bounds.revokeMs",
  "bounds.strictRevocation", "bounds.graceS",
  "bounds.retryBudgetRatio", "bounds.budgetWindowS",
  "bounds.retryBudgetSlack", "bounds.fenceRequired",
  "bounds.quotaWindowS",     "bounds.quotaOverage",
  "bounds.quotaSlack",       "bounds.leaseMs",
};
static const char *const required[]
    = { "node", "zone", "listen.front", "listen.readiness", "provider.address" };

static MfSettingFaults faults;

static bool
parse (const char *text, MfRelaySettings *settings, MfError *error)
{
  *error = (MfError){ 0 };
  faults = (MfSettingFaults){ 0 };
  return platform_settings_parse (text, strlen (text), settings, &faults, error);
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
  assert_int_equal (faults.n_faults, 0);
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

/* Instances ended at each start, and threw a reload away, when a key that they know came without a
 * value. */
static void
test_empty_value_is_as_good_as_absent (void **state)
{
  static const char *const ends[] = { "=\n", "= \t\r\n", "=", "\n" };
  MfRelaySettings without;
  MfError error;

  (void)state;
  assert_true (parse (REQUIRED, &without, &error));
  for (size_t i = 0; i < MF_ARRAY_LEN (optional) * MF_ARRAY_LEN (ends); i++)
    {
      MfRelaySettings settings;
      char text[512];

      snprintf (text, sizeof text, REQUIRED "%s%s", optional[i / MF_ARRAY_LEN (ends)],
                ends[i % MF_ARRAY_LEN (ends)]);
      assert_true (parse (text, &settings, &error));
      assert_int_equal (faults.n_faults, 0);
      assert_memory_equal (&settings, &without, sizeof settings);
    }
}

static void
test_required_key_without_a_value_is_named (void **state)
{
  static const char *const values[]
      = { "front-1", "z-a", "10.1.0.35:8144", "10.1.0.35:8140", "10.200.1.7:8142" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (required) * 2; i++)
    {
      bool is_absent = i % 2 == 0;
      char text[512] = "";
      MfRelaySettings settings = { .name = "before" };
      MfError error;

      for (size_t j = 0; j < MF_ARRAY_LEN (required); j++)
        {
          size_t n = strlen (text);

          if (j == i / 2 && is_absent)
            continue;
          snprintf (text + n, sizeof text - n, "%s=%s\n", required[j], j == i / 2 ? "" : values[j]);
        }
      assert_false (parse (text, &settings, &error));
      assert_int_equal (error.code, MF_CODE_TEXT_MISSING);
      assert_non_null (strstr (error.text, required[i / 2]));
      assert_string_equal (settings.name, "before");
    }
}

/* A value that cannot be used took all other keys with it. */
static void
test_unusable_value_is_named_and_the_rest_applies (void **state)
{
  static const struct
  {
    const char *line;
    MfCode code;
  } rows[] = {
    { "bounds.graceS=soon", MF_CODE_TEXT_TYPE },
    { "bounds.graceS=-1", MF_CODE_TEXT_TYPE },
    { "bounds.graceS=nan", MF_CODE_TEXT_TYPE },
    { "bounds.graceS=inf", MF_CODE_TEXT_TYPE },
    { "bounds.graceS=1e300", MF_CODE_TEXT_RANGE },
    { "bounds.graceS=0", MF_CODE_TEXT_RANGE },
    { "bounds.contactMs=0", MF_CODE_TEXT_RANGE },
    { "bounds.strictRevocation=yes", MF_CODE_TEXT_TYPE },
    { "limits.maxFds=4294967296", MF_CODE_TEXT_RANGE },
    { "internalPorts=a,b", MF_CODE_TEXT_TYPE },
    { "listen.control=control:80", MF_CODE_TEXT_TYPE },
  };
  MfRelaySettings without;
  MfError error;

  (void)state;
  assert_true (parse (REQUIRED "bounds.leaseMs=2500\n", &without, &error));
  for (size_t i = 0; i < MF_ARRAY_LEN (rows); i++)
    {
      MfRelaySettings settings;
      char text[512];
      char key[64];

      snprintf (key, sizeof key, "%.*s", (int)strcspn (rows[i].line, "="), rows[i].line);
      snprintf (text, sizeof text, REQUIRED "%s\nbounds.leaseMs=2500\n", rows[i].line);
      assert_true (parse (text, &settings, &error));
      assert_int_equal (faults.n_faults, 1);
      assert_int_equal (faults.faults[0].code, rows[i].code);
      assert_non_null (strstr (faults.faults[0].text, key));
      assert_non_null (strstr (faults.faults[0].text, rows[i].line + strlen (key) + 1));
      assert_memory_equal (&settings, &without, sizeof settings);
    }
}

/* A line above 4,095 bytes was skipped, and a file above 64 KiB read in part. */
static void
test_long_lines_and_files_are_read_whole (void **state)
{
  enum
  {
    N_BYTES = 100000
  };
  static char text[N_BYTES + 512];
  MfRelaySettings settings;
  MfError error;

  (void)state;
  memset (text, 'x', N_BYTES);
  snprintf (text + N_BYTES, sizeof text - N_BYTES,
            "=1\n" REQUIRED "bounds.graceS=00000000000000000000000000005\n");
  assert_true (parse (text, &settings, &error));
  assert_int_equal (settings.grace_us, 5 * MF_US_PER_S);
}

/* A file that its writer has not finished is read as far as it goes, or refused as a whole. */
static void
test_file_may_end_anywhere (void **state)
{
  static const char text[] = REQUIRED "seeds=10.1.0.35:8146\nbounds.graceS=12\n";
  MfRelaySettings settings = { .name = "before" };
  MfError error;

  (void)state;
  for (size_t n = 0; n < sizeof text; n++)
    {
      bool is_usable;

      settings = (MfRelaySettings){ .name = "before" };
      error = (MfError){ 0 };
      faults = (MfSettingFaults){ 0 };
      is_usable = platform_settings_parse (text, n, &settings, &faults, &error);
      assert_int_equal (is_usable, !mf_error_is_set (&error));
      assert_string_equal (settings.name, is_usable ? "front-1" : "before");
      assert_true (is_usable || n < strlen (REQUIRED));
    }
}

static void
test_missing_file_is_named (void **state)
{
  MfRelaySettings settings;
  MfError error = { 0 };

  (void)state;
  assert_false (platform_settings_read ("/nowhere/settings.conf", &settings, &faults, &error));
  assert_int_equal (error.code, MF_CODE_FILE_READ);
  assert_non_null (strstr (error.text, "/nowhere/settings.conf"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_keys),
    cmocka_unit_test (test_bounds_may_be_missing),
    cmocka_unit_test (test_empty_value_is_as_good_as_absent),
    cmocka_unit_test (test_required_key_without_a_value_is_named),
    cmocka_unit_test (test_unusable_value_is_named_and_the_rest_applies),
    cmocka_unit_test (test_long_lines_and_files_are_read_whole),
    cmocka_unit_test (test_file_may_end_anywhere),
    cmocka_unit_test (test_missing_file_is_named),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
