#include "libmangofork/burn.h"

#include "libmangofork/upstream.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MINUTE_US (60 * MF_US_PER_S)
#define START_US (1000 * MINUTE_US)
#define HOURS_26_US (UINT64_C (26) * 60 * MINUTE_US)

static MfService service = {
  .name = "s",
  .ttft_target_us = 1000,
  .objective_ttft_ppm = 950000,
  .objective_tbt_ppm = 900000,
  .objective_availability_ppm = 999000,
};
static MfCustomer customer = { .name = "c" };

static MfConfig
config_of (void)
{
  return (
      MfConfig){ .services = &service, .n_services = 1, .customers = &customer, .n_customers = 1 };
}

static MfBurnSample
good_sample (void)
{
  return (MfBurnSample){ .code = MF_CODE_OK, .ttft_us = 1000, .n_gaps = 20, .n_gaps_late = 1 };
}

static void
record (MfBurn *burn, MfBurnSample sample, uint32_t n, uint64_t now_us)
{
  MfConfig config = config_of ();

  for (uint32_t i = 0; i < n; i++)
    mf_burn_record (burn, &config, &sample, now_us);
}

static MfBurnCounts
counts_of (const MfBurn *burn, MfBurnWindow window, bool with_peers, uint64_t now_us)
{
  MfBurnCounts counts;

  mf_burn_counts (burn, MF_BURN_SERVICE, mf_hash_name ("s"), window, with_peers, now_us, &counts);
  return counts;
}

static void
test_good_needs_both_targets (void **state)
{
  MfBurnSample sample = good_sample ();

  (void)state;
  assert_true (mf_burn_is_good (&service, &sample));
  sample.ttft_us = 1001;
  assert_false (mf_burn_is_good (&service, &sample));
  sample = good_sample ();
  sample.n_gaps_late = 2;
  assert_false (mf_burn_is_good (&service, &sample));
  sample = good_sample ();
  sample.code = MF_CODE_DEADLINE;
  assert_false (mf_burn_is_good (&service, &sample));
}

static void
test_refusals_and_departures_are_apart (void **state)
{
  MfBurn *burn = mf_burn_new (START_US);
  MfBurnSample refused
      = { .code = MF_CODE_QUEUE_FULL, .outcome = MF_OUTCOME_NOT_RUN, .refused = true };
  MfBurnSample failed = { .code = MF_CODE_DEADLINE, .outcome = MF_OUTCOME_RAN, .refused = true };
  MfBurnSample departed = { .code = MF_CODE_DEPARTED, .departed = true };
  MfBurnSample callers
      = { .code = MF_CODE_TOO_LONG, .outcome = MF_OUTCOME_NOT_RUN, .refused = true };
  MfBurnCounts counts;

  (void)state;
  record (burn, refused, 3, START_US);
  record (burn, failed, 1, START_US);
  record (burn, departed, 2, START_US);
  record (burn, callers, 5, START_US);
  record (burn, good_sample (), 9, START_US);
  counts = counts_of (burn, MF_BURN_WINDOW_5M, false, START_US);
  assert_int_equal (counts.total[MF_SLI_AVAILABILITY], 10);
  assert_int_equal (counts.bad[MF_SLI_AVAILABILITY], 1);
  assert_int_equal (counts.total[MF_SLI_TTFT], 9);
  assert_int_equal (counts.refused, 3);
  assert_int_equal (counts.bad[MF_SLI_REFUSALS], 3);
  assert_int_equal (counts.total[MF_SLI_REFUSALS], 13);
  assert_int_equal (counts.departed, 2);
  assert_int_equal (counts.good, 9);
  mf_burn_free (burn);
}

static void
test_windows_drop_old_requests (void **state)
{
  MfBurn *burn = mf_burn_new (START_US);
  MfBurnSample late = good_sample ();
  MfBurnCounts counts;

  (void)state;
  late.ttft_us = 2000;
  record (burn, late, 10, START_US);
  record (burn, good_sample (), 10, START_US + 10 * MINUTE_US);
  counts = counts_of (burn, MF_BURN_WINDOW_5M, false, START_US + 10 * MINUTE_US);
  assert_int_equal (counts.bad[MF_SLI_TTFT], 0);
  assert_int_equal (counts.total[MF_SLI_TTFT], 10);
  counts = counts_of (burn, MF_BURN_WINDOW_1H, false, START_US + 10 * MINUTE_US);
  assert_int_equal (counts.bad[MF_SLI_TTFT], 10);
  /* 50 % were late and 5 % are allowed: a burn rate of 10. */
  assert_true (mf_burn_rate (&counts, MF_SLI_TTFT) > 9.99);
  assert_true (mf_burn_rate (&counts, MF_SLI_TTFT) < 10.01);
  counts = counts_of (burn, MF_BURN_WINDOW_1D, false, START_US + HOURS_26_US);
  assert_int_equal (counts.total[MF_SLI_TTFT], 0);
  counts = counts_of (burn, MF_BURN_WINDOW_COUNT, false, START_US + HOURS_26_US);
  assert_int_equal (counts.total[MF_SLI_TTFT], 20);
  mf_burn_free (burn);
}

/* Requests are counted exactly once when digests are lost or repeated, or a peer restarts. */
static void
test_peers_merge_exactly (void **state)
{
  MfBurn *local = mf_burn_new (START_US);
  MfBurn *remote = mf_burn_new (START_US);
  MfInstanceId remote_id = { .name = "entry-2", .incarnation = 7 };
  uint8_t digest[2048];
  size_t n;

  (void)state;
  record (local, good_sample (), 1, START_US);
  record (remote, good_sample (), 5, START_US + 1);
  n = mf_burn_pack (remote, START_US + 2, digest, sizeof digest);
  assert_true (n > 0);
  assert_true (mf_burn_merge (local, &remote_id, digest, n, START_US + 3));
  assert_true (mf_burn_merge (local, &remote_id, digest, n, START_US + 4));
  record (remote, good_sample (), 2, START_US + 5);
  mf_burn_pack (remote, START_US + 5, digest, sizeof digest); /* this digest is lost */
  record (remote, good_sample (), 3, START_US + 6);
  n = mf_burn_pack (remote, START_US + 6, digest, sizeof digest);
  assert_true (mf_burn_merge (local, &remote_id, digest, n, START_US + 7));
  assert_int_equal (counts_of (local, MF_BURN_WINDOW_5M, true, START_US + 8).total[MF_SLI_TTFT],
                    11);
  assert_int_equal (counts_of (local, MF_BURN_WINDOW_5M, false, START_US + 8).total[MF_SLI_TTFT],
                    1);
  mf_burn_free (remote);
  remote = mf_burn_new (START_US);
  remote_id.incarnation = 8;
  record (remote, good_sample (), 4, START_US + 9);
  n = mf_burn_pack (remote, START_US + 9, digest, sizeof digest);
  assert_true (mf_burn_merge (local, &remote_id, digest, n, START_US + 10));
  assert_int_equal (counts_of (local, MF_BURN_WINDOW_5M, true, START_US + 11).total[MF_SLI_TTFT],
                    15);
  mf_burn_free (remote);
  mf_burn_free (local);
}

/* Counts are merged in full from a peer that started earlier than this instance but counted its
 * first request later, even while this instance is idle; so are rows that appear later. */
static void
test_an_idle_instance_takes_the_first_counts (void **state)
{
  MfBurn *local = mf_burn_new (START_US + 10);
  MfBurn *remote = mf_burn_new (START_US);
  MfInstanceId remote_id = { .name = "entry-2", .incarnation = 7 };
  uint8_t digest[2048];
  MfBurnSample sample = good_sample ();
  MfBurnCounts counts;
  size_t n;

  (void)state;
  sample.customer = MF_NONE;
  record (remote, sample, 3, START_US + 20);
  n = mf_burn_pack (remote, START_US + 30, digest, sizeof digest);
  assert_true (mf_burn_merge (local, &remote_id, digest, n, START_US + 30));
  assert_int_equal (counts_of (local, MF_BURN_WINDOW_5M, true, START_US + 40).total[MF_SLI_TTFT],
                    3);
  sample.customer = 0;
  record (remote, sample, 2, START_US + 50);
  n = mf_burn_pack (remote, START_US + 60, digest, sizeof digest);
  assert_true (mf_burn_merge (local, &remote_id, digest, n, START_US + 60));
  assert_int_equal (counts_of (local, MF_BURN_WINDOW_5M, true, START_US + 70).total[MF_SLI_TTFT],
                    5);
  mf_burn_counts (local, MF_BURN_CUSTOMER, mf_hash_name ("c"), MF_BURN_WINDOW_5M, true,
                  START_US + 70, &counts);
  assert_int_equal (counts.total[MF_SLI_TTFT], 2);
  mf_burn_free (remote);
  mf_burn_free (local);
}

/* Requests that a peer counted before this instance started are not merged into its windows. */
static void
test_a_fresh_instance_takes_no_history (void **state)
{
  MfBurn *local = mf_burn_new (START_US + MINUTE_US);
  MfBurn *remote = mf_burn_new (START_US);
  MfInstanceId remote_id = { .name = "entry-2", .incarnation = 7 };
  uint8_t digest[2048];
  size_t n;

  (void)state;
  record (remote, good_sample (), 100, START_US);
  n = mf_burn_pack (remote, START_US + MINUTE_US, digest, sizeof digest);
  record (local, good_sample (), 1, START_US + MINUTE_US);
  assert_true (mf_burn_merge (local, &remote_id, digest, n, START_US + MINUTE_US + 1));
  record (remote, good_sample (), 2, START_US + MINUTE_US + 2);
  n = mf_burn_pack (remote, START_US + MINUTE_US + 3, digest, sizeof digest);
  assert_true (mf_burn_merge (local, &remote_id, digest, n, START_US + MINUTE_US + 4));
  assert_int_equal (
      counts_of (local, MF_BURN_WINDOW_5M, true, START_US + MINUTE_US + 5).total[MF_SLI_TTFT], 3);
  mf_burn_free (remote);
  mf_burn_free (local);
}

static void
test_malformed_digests_are_ignored (void **state)
{
  MfBurn *local = mf_burn_new (START_US);
  MfBurn *remote = mf_burn_new (START_US);
  MfInstanceId remote_id = { .name = "entry-2", .incarnation = 7 };
  uint8_t digest[2048];
  uint8_t *copy;
  size_t n;

  (void)state;
  record (remote, good_sample (), 5, START_US);
  n = mf_burn_pack (remote, START_US, digest, sizeof digest);
  for (size_t i = 0; i < n; i++)
    {
      copy = malloc (n);
      assert_non_null (copy);
      memcpy (copy, digest, n);
      copy[i] = 0xc1;
      mf_burn_merge (local, &remote_id, copy, n, START_US);
      free (copy);
      copy = malloc (i + 1);
      assert_non_null (copy);
      memcpy (copy, digest, i);
      mf_burn_merge (local, &remote_id, copy, i, START_US);
      free (copy);
    }
  assert_false (mf_burn_merge (local, &remote_id, (const uint8_t *)"x", 1, START_US));
  assert_true (mf_burn_pack (remote, START_US, digest, 40) <= 40);
  mf_burn_free (remote);
  mf_burn_free (local);
}

/* When digests are too small for all customers, rows are sent in rotation and all arrive. */
static void
test_many_customers_fit_small_digests (void **state)
{
  enum
  {
    N = 2400
  };
  MfBurn *local = mf_burn_new (START_US);
  MfBurn *remote = mf_burn_new (START_US);
  MfInstanceId remote_id = { .name = "entry-2", .incarnation = 7 };
  MfCustomer *customers = calloc (N, sizeof *customers);
  MfConfig config
      = { .services = &service, .n_services = 1, .customers = customers, .n_customers = N };
  MfBurnSample sample = good_sample ();
  uint8_t digest[1024];
  uint32_t n_found = 0;

  (void)state;
  assert_non_null (customers);
  record (local, sample, 1, START_US);
  for (uint32_t i = 0; i < N; i++)
    {
      snprintf (customers[i].name, sizeof customers[i].name, "c%u", i);
      sample.customer = i;
      mf_burn_record (remote, &config, &sample, START_US + 1);
    }
  for (uint32_t i = 0; i < N; i++)
    {
      size_t n = mf_burn_pack (remote, START_US + 2, digest, sizeof digest);

      assert_true (n <= sizeof digest);
      assert_true (mf_burn_merge (local, &remote_id, digest, n, START_US + 3));
    }
  for (uint32_t i = 0; i < N; i++)
    {
      MfBurnCounts counts;

      mf_burn_counts (local, MF_BURN_CUSTOMER, mf_hash_name (customers[i].name), MF_BURN_WINDOW_1D,
                      true, START_US + 4, &counts);
      n_found += counts.total[MF_SLI_TTFT] == 1;
    }
  assert_int_equal (n_found, N);
  assert_int_equal (mf_burn_n_rows_missed (local), 0);
  free (customers);
  mf_burn_free (remote);
  mf_burn_free (local);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_good_needs_both_targets),
    cmocka_unit_test (test_refusals_and_departures_are_apart),
    cmocka_unit_test (test_windows_drop_old_requests),
    cmocka_unit_test (test_peers_merge_exactly),
    cmocka_unit_test (test_an_idle_instance_takes_the_first_counts),
    cmocka_unit_test (test_a_fresh_instance_takes_no_history),
    cmocka_unit_test (test_malformed_digests_are_ignored),
    cmocka_unit_test (test_many_customers_fit_small_digests),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
