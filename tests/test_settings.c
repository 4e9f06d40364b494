#include "libmangofork/settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static void
count_fault (const MfError *fault, void *data)
{
  (void)fault;
  (*(uint32_t *)data)++;
}

static uint32_t
faults_of (const char *text, MfSettings *settings)
{
  uint32_t n_faults = 0;
  bool good = mf_settings_parse (text, strlen (text), settings, count_fault, &n_faults);

  assert_int_equal (good, n_faults == 0);
  return n_faults;
}

#define REQUIRED_SETTINGS                                                                          \
  "\"name\": \"e1\", \"data_centre\": \"a\", \"listen\": \"127.0.0.1:1\", "                        \
  "\"admin\": \"127.0.0.1:2\", \"peer\": \"[::1]:3\", \"platform\": { \"address\": "               \
  "\"127.0.0.1:4\" }"

static void
test_defaults (void **state)
{
  MfSettings settings;

  (void)state;
  assert_int_equal (faults_of ("{ " REQUIRED_SETTINGS " }", &settings), 0);
  assert_string_equal (settings.options.self.name, "e1");
  assert_string_equal (settings.options.address, "[::1]:3");
  assert_string_equal (settings.platform_text_key, "mangofork/text");
  assert_int_equal (settings.options.load_period_us, 100 * MF_US_PER_MS);
  assert_int_equal (settings.body_bytes_max, 4194304);
}

static void
test_example_is_read (void **state)
{
  MfSettings settings;
  char text[8192] = { 0 };
  FILE *file = fopen (SOURCE_ROOT "/examples/instance.json", "r");

  (void)state;
  assert_non_null (file);
  assert_true (fread (text, 1, sizeof text - 1, file) > 0);
  fclose (file);
  assert_int_equal (faults_of (text, &settings), 0);
  assert_string_equal (settings.peer_key_file, "peer.key");
  assert_int_equal (settings.options.platform_period_us, 5 * MF_US_PER_S);
  assert_int_equal (settings.slow_sender_us, 10 * MF_US_PER_S);
}

static void
test_every_fault_is_reported (void **state)
{
  MfSettings settings;

  (void)state;
  assert_int_equal (faults_of ("{}", &settings), 6);
  assert_int_equal (faults_of ("{ " REQUIRED_SETTINGS
                               ", \"limits\": { \"body_bytes_max\": 1, \"x\": 2 } }",
                               &settings),
                    2);
  assert_int_equal (faults_of ("{ " REQUIRED_SETTINGS
                               ", \"drain\": { \"grace_ms\": 9, \"limit_ms\": 8 } }",
                               &settings),
                    1);
  assert_int_equal (faults_of ("{ " REQUIRED_SETTINGS ", \"log_level\": \"loud\" }", &settings), 1);
  assert_int_equal (faults_of ("{ " REQUIRED_SETTINGS ", \"load_period_s\": 1 }", &settings), 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_defaults),
    cmocka_unit_test (test_example_is_read),
    cmocka_unit_test (test_every_fault_is_reported),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
