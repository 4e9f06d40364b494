#include "libmangofork/confsync.h"
#include "libmangofork/text_delta.h"

#include "fakes/cores.h"
#include "fakes/text.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* A text is in force everywhere within this time after the first instance accepted it. */
#define IN_FORCE_US (2 * MF_US_PER_S)

static FakeCores *
fleet_new (uint32_t n_instances, uint32_t n_data_centres)
{
  const FakeCoresOptions options = {
    .n_instances = n_instances,
    .n_data_centres = n_data_centres,
    .delay_us = MF_US_PER_MS,
    .seed = 6,
  };

  return fake_cores_new (&options);
}

static void
publish (FakeCores *cores, uint64_t revision, uint32_t n_upstreams)
{
  char *text = fake_config_text (&(FakeConfigTextOptions){
      .n_upstreams = n_upstreams, .slots = 20, .version = "", .checks_fencing = true });

  fake_cores_publish (cores, revision, text);
  free (text);
}

static void
start_all (FakeCores *cores, uint32_t n_instances)
{
  for (uint32_t i = 0; i < n_instances; i++)
    fake_cores_start (cores, i);
  fake_cores_run (cores, 5 * MF_US_PER_S);
}

static uint64_t
revision_at (FakeCores *cores, uint32_t slot)
{
  const MfConfig *config = fake_cores_core (cores, slot)->board.config;

  return config != NULL ? config->revision : 0;
}

static uint64_t
counter_at (FakeCores *cores, uint32_t slot, MfCounter counter)
{
  return fake_cores_core (cores, slot)->board.counters.values[counter];
}

static uint32_t
count_revision (FakeCores *cores, uint32_t n_instances, uint64_t revision)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < n_instances; i++)
    n += fake_cores_core (cores, i) != NULL && revision_at (cores, i) == revision;
  return n;
}

/* Runs until the revision is in force at one instance, for at most two minutes. */
static void
run_until_first (FakeCores *cores, uint32_t n_instances, uint64_t revision)
{
  for (uint32_t i = 0; i < 12000 && count_revision (cores, n_instances, revision) == 0; i++)
    fake_cores_run (cores, 10 * MF_US_PER_MS);
}

static void
test_text_is_in_force_everywhere_in_time (void **state)
{
  static const uint32_t sizes[] = { 1, 7, 60 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      FakeCores *cores = fleet_new (sizes[i], sizes[i] < 6 ? 1 : 6);

      publish (cores, 10, 4);
      start_all (cores, sizes[i]);
      assert_int_equal (count_revision (cores, sizes[i], 10), sizes[i]);
      publish (cores, 11, 5);
      run_until_first (cores, sizes[i], 11);
      fake_cores_run (cores, IN_FORCE_US);
      assert_int_equal (count_revision (cores, sizes[i], 11), sizes[i]);
      fake_cores_free (cores);
    }
}

/* A starting instance whose platform serves a stale text never puts that one in force, as its peers
 * have a newer one. */
static void
test_fresh_instance_trusts_peers_before_a_stale_platform (void **state)
{
  FakeCores *cores = fleet_new (7, 3);

  (void)state;
  publish (cores, 10, 4);
  start_all (cores, 7);
  publish (cores, 20, 5);
  fake_cores_run (cores, 10 * MF_US_PER_S);
  fake_cores_set_platform (cores, 3, FAKE_PLATFORM_STALE);
  fake_cores_start (cores, 3);
  for (uint32_t i = 0; i < 400; i++)
    {
      fake_cores_run (cores, 10 * MF_US_PER_MS);
      assert_true (revision_at (cores, 3) == 0 || revision_at (cores, 3) == 20);
    }
  assert_int_equal (revision_at (cores, 3), 20);
  fake_cores_free (cores);
}

/* The text in force stays when the platform fails at some instances and serves an older revision at
 * the others; an instance that starts meanwhile gets the text from its peers. */
static void
test_platform_down_or_reverting_changes_nothing (void **state)
{
  FakeCores *cores = fleet_new (7, 3);
  uint64_t n_stale = 0;

  (void)state;
  publish (cores, 10, 4);
  start_all (cores, 7);
  publish (cores, 20, 5);
  fake_cores_run (cores, 10 * MF_US_PER_S);
  for (uint32_t i = 0; i < 7; i++)
    fake_cores_set_platform (cores, i, i < 3 ? FAKE_PLATFORM_DOWN : FAKE_PLATFORM_STALE);
  fake_cores_run (cores, 600 * MF_US_PER_S);
  assert_int_equal (count_revision (cores, 7, 20), 7);
  for (uint32_t i = 0; i < 7; i++)
    n_stale += counter_at (cores, i, MF_COUNTER_CONFIG_STALE);
  assert_true (n_stale > 0);
  fake_cores_start (cores, 0);
  fake_cores_run (cores, 4 * MF_US_PER_S);
  assert_int_equal (revision_at (cores, 0), 20);
  fake_cores_free (cores);
}

/* A faulty revision is refused and not read again and again; the next one is accepted. */
static void
test_poisoned_revision_is_refused (void **state)
{
  FakeCores *cores = fleet_new (7, 3);
  uint64_t n_refused = 0;

  (void)state;
  publish (cores, 10, 4);
  start_all (cores, 7);
  fake_cores_publish (cores, 11, "{\"services\":7}");
  fake_cores_run (cores, 20 * MF_US_PER_S);
  assert_int_equal (count_revision (cores, 7, 10), 7);
  for (uint32_t i = 0; i < 7; i++)
    n_refused += counter_at (cores, i, MF_COUNTER_CONFIG_REFUSED);
  assert_in_range (n_refused, 1, 2 * 7);
  publish (cores, 12, 6);
  run_until_first (cores, 7, 12);
  fake_cores_run (cores, IN_FORCE_US);
  assert_int_equal (count_revision (cores, 7, 12), 7);
  fake_cores_free (cores);
}

/* Only one side of a partition reads a newer text. After the partition has healed, the highest
 * revision is in force on both sides. */
static void
test_partition_heals_to_the_highest_revision (void **state)
{
  FakeCores *cores = fleet_new (8, 2);

  (void)state;
  publish (cores, 10, 4);
  start_all (cores, 8);
  for (uint32_t i = 0; i < 4; i++)
    {
      fake_cores_set_platform (cores, i, FAKE_PLATFORM_DOWN);
      for (uint32_t j = 4; j < 8; j++)
        {
          fake_cores_set_link_cut (cores, i, j, true);
          fake_cores_set_link_cut (cores, j, i, true);
        }
    }
  fake_cores_run (cores, 10 * MF_US_PER_S);
  publish (cores, 11, 5);
  fake_cores_run (cores, 120 * MF_US_PER_S);
  assert_int_equal (count_revision (cores, 8, 10), 4);
  assert_int_equal (count_revision (cores, 8, 11), 4);
  for (uint32_t i = 0; i < 64; i++)
    fake_cores_set_link_cut (cores, i / 8, i % 8, false);
  fake_cores_run (cores, 10 * MF_US_PER_S);
  assert_int_equal (count_revision (cores, 8, 11), 8);
  fake_cores_free (cores);
}

/* A fleet's calls to the platform stay within the budget, which does not depend on its size. */
static void
test_platform_calls_keep_to_the_budget (void **state)
{
  static const uint32_t sizes[] = { 12, 60 };
  const uint64_t seconds = 100, period_s = 5, data_centres = 6;
  const uint64_t readers = MF_READERS_PER_DATA_CENTRE * data_centres;
  const uint64_t reads_per_s
      = 2 * MF_US_PER_S / MF_READ_INTERVAL_PER_INSTANCE_US; // NOLINT(misc-redundant-expression)
  const uint64_t budget = seconds * (2 * readers / period_s + reads_per_s);

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      FakeCores *cores = fleet_new (sizes[i], (uint32_t)data_centres);
      uint64_t n_calls;

      publish (cores, 10, 4);
      start_all (cores, sizes[i]);
      n_calls = fake_cores_n_platform_calls (cores);
      for (uint32_t change = 0; change < 10; change++)
        {
          publish (cores, 11 + change, 4 + change % 2);
          fake_cores_run (cores, seconds * MF_US_PER_S / 10);
        }
      n_calls = fake_cores_n_platform_calls (cores) - n_calls;
      print_message ("%u instances: %llu calls in %llu s, budget %llu\n", sizes[i],
                     (unsigned long long)n_calls, (unsigned long long)seconds,
                     (unsigned long long)budget);
      assert_true (n_calls <= budget);
      fake_cores_free (cores);
    }
}

/* When all instances of a data centre restart at once, each reads the list once, and few read the
 * text. */
static void
test_restart_of_a_data_centre_makes_no_storm (void **state)
{
  FakeCores *cores = fleet_new (60, 3);
  uint64_t n_calls;

  (void)state;
  publish (cores, 10, 4);
  start_all (cores, 60);
  n_calls = fake_cores_n_platform_calls (cores);
  for (uint32_t i = 0; i < 60; i += 3)
    fake_cores_start (cores, i);
  fake_cores_run (cores, 5 * MF_US_PER_S);
  n_calls = fake_cores_n_platform_calls (cores) - n_calls;
  print_message ("20 of 60 restarted: %llu calls in 5 s\n", (unsigned long long)n_calls);
  assert_in_range (n_calls, 20, 20 + 20);
  assert_int_equal (count_revision (cores, 60, 10), 60);
  fake_cores_free (cores);
}

/* A change of a large text is sent between instances as a difference. */
static void
test_large_text_travels_as_a_difference (void **state)
{
  const uint32_t n_upstreams = 8000;
  FakeCores *cores = fleet_new (3, 1);
  uint64_t full_text_bytes, n_bytes = 0, n_bytes_after = 0;

  (void)state;
  publish (cores, 10, n_upstreams);
  start_all (cores, 3);
  assert_int_equal (count_revision (cores, 3, 10), 3);
  full_text_bytes = fake_cores_core (cores, 0)->board.config->text_bytes;
  assert_in_range (full_text_bytes, 800000, MF_CONFIG_TEXT_BYTES_MAX);
  for (uint32_t i = 0; i < 3; i++)
    n_bytes += fake_cores_bytes_sent (cores, i);
  publish (cores, 11, n_upstreams + 1);
  run_until_first (cores, 3, 11);
  fake_cores_run (cores, IN_FORCE_US);
  assert_int_equal (count_revision (cores, 3, 11), 3);
  for (uint32_t i = 0; i < 3; i++)
    n_bytes_after += fake_cores_bytes_sent (cores, i);
  assert_true (n_bytes_after - n_bytes < full_text_bytes / 2);
  fake_cores_free (cores);
}

/* A difference between any two texts rebuilds the second, and is refused if its hash is wrong. */
static void
test_difference_rebuilds_the_text (void **state)
{
  static const char *const texts[] = { "", "a", "aa", "aba", "abba", "xabby", "aabbaa" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (texts) * MF_ARRAY_LEN (texts); i++)
    {
      const char *base = texts[i / MF_ARRAY_LEN (texts)], *text = texts[i % MF_ARRAY_LEN (texts)];
      MfConfigMessage message = { .full_text_hash = mf_text_hash (text, strlen (text)) };
      size_t n_bytes;
      char *rebuilt;

      mf_text_delta_make (base, strlen (base), text, strlen (text), &message);
      rebuilt = mf_text_delta_apply (base, strlen (base), &message, &n_bytes);
      assert_non_null (rebuilt);
      assert_string_equal (rebuilt, text);
      free (rebuilt);
      message.full_text_hash++;
      assert_null (mf_text_delta_apply (base, strlen (base), &message, &n_bytes));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_text_is_in_force_everywhere_in_time),
    cmocka_unit_test (test_fresh_instance_trusts_peers_before_a_stale_platform),
    cmocka_unit_test (test_platform_down_or_reverting_changes_nothing),
    cmocka_unit_test (test_poisoned_revision_is_refused),
    cmocka_unit_test (test_partition_heals_to_the_highest_revision),
    cmocka_unit_test (test_platform_calls_keep_to_the_budget),
    cmocka_unit_test (test_restart_of_a_data_centre_makes_no_storm),
    cmocka_unit_test (test_large_text_travels_as_a_difference),
    cmocka_unit_test (test_difference_rebuilds_the_text),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
