#include "libmangofork/rate.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define NOW_US (100 * MF_US_PER_S)
#define PER_S(rate) ((uint64_t)((rate)*1e6))

/* Number of units that are granted, one at a time, without a wait. */
static uint32_t
n_granted (MfRateBucket *bucket, uint32_t n_wanted, uint64_t now_us)
{
  uint32_t n = 0;
  uint64_t wait_us = 0;

  while (n < n_wanted && mf_rate_bucket_acquire (bucket, 1, 0, now_us, &wait_us))
    n++;
  return n;
}

static void
test_bucket_yields_its_rate (void **state)
{
  static const double rates[] = { 0.25, 0.9, 1, 4.9, 10.3, 100, 5000 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (rates); i++)
    {
      MfRateBucket bucket;
      double n = 0;

      mf_rate_bucket_init (&bucket, PER_S (rates[i]), NOW_US);
      assert_int_equal (n_granted (&bucket, 1000, NOW_US), 0);
      for (uint32_t ms = 0; ms < 60000; ms++)
        n += n_granted (&bucket, 1000, NOW_US + ms * MF_US_PER_MS);
      assert_true (n <= rates[i] * 60 + 1);
      assert_true (n >= rates[i] * 59.999 - 1.1);
    }
}

/* In any 4 s a full bucket grants less than one and a half times its rate and five. */
static void
test_bucket_bounds_a_burst (void **state)
{
  static const double rates[] = { 0.25, 1, 4.9, 10.3, 100, 5000 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (rates); i++)
    {
      MfRateBucket bucket;
      uint32_t n = 0;

      mf_rate_bucket_init (&bucket, PER_S (rates[i]), NOW_US);
      for (uint32_t ms = 0; ms <= 4000; ms++)
        n += n_granted (&bucket, 100000, NOW_US + 3600 * MF_US_PER_S + ms * MF_US_PER_MS);
      assert_true (n <= rates[i] * 6 + 5);
    }
}

static void
test_units_are_granted_in_advance_up_to_the_wait (void **state)
{
  MfRateBucket bucket;
  uint64_t wait_us = 0;

  (void)state;
  mf_rate_bucket_init (&bucket, PER_S (10), NOW_US);
  assert_true (mf_rate_bucket_acquire (&bucket, 1, 250000, NOW_US, &wait_us));
  assert_int_equal (wait_us, 100000);
  assert_true (mf_rate_bucket_acquire (&bucket, 1, 250000, NOW_US, &wait_us));
  assert_int_equal (wait_us, 200000);
  assert_false (mf_rate_bucket_acquire (&bucket, 1, 250000, NOW_US, &wait_us));
  assert_int_equal (wait_us, 300000);
  mf_rate_bucket_return (&bucket, 1, NOW_US);
  assert_true (mf_rate_bucket_acquire (&bucket, 1, 250000, NOW_US, &wait_us));
  assert_int_equal (wait_us, 200000);
  /* Nothing is granted twice once the time has come. */
  assert_int_equal (n_granted (&bucket, 10, NOW_US + 200000), 0);
  assert_int_equal (n_granted (&bucket, 10, NOW_US + 300000), 1);
}

static void
test_overdrafts_are_made_up_for_within_a_bound (void **state)
{
  MfRateBucket bucket;

  (void)state;
  mf_rate_bucket_init (&bucket, PER_S (10), NOW_US);
  mf_rate_bucket_charge (&bucket, 10, NOW_US);
  assert_int_equal (n_granted (&bucket, 10, NOW_US + MF_US_PER_S), 0);
  assert_int_equal (n_granted (&bucket, 10, NOW_US + 1100000), 1);
  mf_rate_bucket_charge (&bucket, 100000, NOW_US + 1100000);
  assert_int_equal (n_granted (&bucket, 10, NOW_US + 4000000), 0);
  assert_int_equal (n_granted (&bucket, 10, NOW_US + 4200000), 1);
}

static void
test_rate_changes (void **state)
{
  MfRateBucket bucket;
  uint64_t wait_us = 0;

  (void)state;
  mf_rate_bucket_init (&bucket, PER_S (1000), NOW_US);
  assert_int_equal (n_granted (&bucket, 1000, NOW_US + MF_US_PER_S), 500);
  /* What had accumulated at the higher rate is not granted at the lower one. */
  mf_rate_bucket_set (&bucket, PER_S (2), NOW_US + 2 * MF_US_PER_S);
  assert_int_equal (n_granted (&bucket, 1000, NOW_US + 2 * MF_US_PER_S), 1);
  mf_rate_bucket_set (&bucket, 0, NOW_US + 2 * MF_US_PER_S);
  assert_false (
      mf_rate_bucket_acquire (&bucket, 1, MF_US_PER_S, NOW_US + 9 * MF_US_PER_S, &wait_us));
  assert_true (wait_us == UINT64_MAX);
  mf_rate_bucket_set (&bucket, PER_S (100), NOW_US + 9 * MF_US_PER_S);
  assert_int_equal (n_granted (&bucket, 1000, NOW_US + 9 * MF_US_PER_S + 100000), 10);
}

static MfRateNotice
notice (double per_s, uint64_t asked_ms, uint64_t heard_ms)
{
  return (MfRateNotice){ .is_limited = per_s >= 0.,
                         .micro_per_s = per_s >= 0. ? PER_S (per_s) : 0,
                         .asked_us = NOW_US + asked_ms * MF_US_PER_MS,
                         .heard_us = NOW_US + heard_ms * MF_US_PER_MS };
}

static void
test_later_answers_count_and_of_overlapping_ones_the_lower (void **state)
{
  static const struct
  {
    double per_s; /* -1: names no limit */
    uint32_t asked_ms;
    uint32_t heard_ms;
    bool changes;
    double known_per_s;
  } steps[] = {
    { -1, 0, 10, false, -1 },   { 5, 5, 20, true, 5 },    { -1, 8, 15, false, 5 },
    { 8, 15, 30, false, 5 },    { 5, 25, 40, false, 5 },  { -1, 39, 60, false, 5 },
    { -1, 41, 60, true, -1 },   { 5, 10, 41, false, -1 }, { 5, 42, 58, true, 5 },
    { -1, 50, 70, false, 5 },   { -1, 60, 80, true, -1 }, { 0, 90, 99, true, 0 },
    { 20, 100, 110, true, 20 }, { 4, 105, 108, true, 4 }, { 20, 109, 112, false, 4 },
    { 20, 111, 115, true, 20 },
  };
  MfRateNotice known = { 0 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (steps); i++)
    {
      MfRateNotice update = notice (steps[i].per_s, steps[i].asked_ms, steps[i].heard_ms);

      assert_int_equal (mf_rate_notice_merge (&known, &update), steps[i].changes);
      assert_int_equal (known.is_limited, steps[i].known_per_s >= 0.);
      if (known.is_limited)
        assert_int_equal (known.micro_per_s, PER_S (steps[i].known_per_s));
    }
}

/* Instances that hear the same answers in any order agree once a later one has come to all. */
static void
test_instances_agree_whatever_the_order_of_notices (void **state)
{
  static const uint32_t orders[][3] = { { 0, 1, 2 }, { 2, 1, 0 }, { 1, 0, 2 }, { 2, 0, 1 } };
  MfRateNotice notices[] = { notice (5, 0, 10), notice (-1, 20, 30), notice (3, 40, 50) };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (orders); i++)
    {
      MfRateNotice known = { 0 };

      for (size_t j = 0; j < MF_ARRAY_LEN (orders[i]); j++)
        mf_rate_notice_merge (&known, &notices[orders[i][j]]);
      assert_true (known.is_limited);
      assert_int_equal (known.micro_per_s, PER_S (3));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bucket_yields_its_rate),
    cmocka_unit_test (test_bucket_bounds_a_burst),
    cmocka_unit_test (test_units_are_granted_in_advance_up_to_the_wait),
    cmocka_unit_test (test_overdrafts_are_made_up_for_within_a_bound),
    cmocka_unit_test (test_rate_changes),
    cmocka_unit_test (test_later_answers_count_and_of_overlapping_ones_the_lower),
    cmocka_unit_test (test_instances_agree_whatever_the_order_of_notices),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
