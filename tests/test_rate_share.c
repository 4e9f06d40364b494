#include "libmangofork/rate_share.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define START_US (100 * MF_US_PER_S)
#define KEY 7
#define INSTANCES_MAX 300
#define SENDS_MAX 65536
#define MAX_WAIT_US (250 * MF_US_PER_MS)
/* The rule that the shared rate is to keep. */
#define WINDOW_US (4 * MF_US_PER_S)

/* Instances that share a rate through one allocator at a time, without a network. */
typedef struct
{
  MfRateShares *shares[INSTANCES_MAX];
  uint32_t asked[INSTANCES_MAX]; /* number of the allocator asked last, from 1; 0: none */
  uint64_t blocked_until_us[INSTANCES_MAX];
  uint32_t n_instances;
  uint32_t allocator;
  MfRateNotice limit;
  uint64_t random;
  uint64_t sends_us[SENDS_MAX];
  uint32_t senders[SENDS_MAX];
  uint32_t n_sends;
  uint32_t n_asks;
} Fleet;

static uint32_t
draw (Fleet *fleet, uint32_t bound)
{
  fleet->random ^= fleet->random << 13;
  fleet->random ^= fleet->random >> 7;
  fleet->random ^= fleet->random << 17;
  return (uint32_t)(fleet->random >> 33) % bound;
}

static void
fleet_setup (Fleet *fleet, uint32_t n_instances, uint64_t micro_per_s)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->n_instances = n_instances;
  fleet->random = n_instances * 2 + 1;
  fleet->limit = (MfRateNotice){
    .is_limited = true, .micro_per_s = micro_per_s, .asked_us = START_US, .heard_us = START_US
  };
  for (uint32_t i = 0; i < n_instances; i++)
    {
      fleet->shares[i] = mf_rate_shares_new ();
      assert_non_null (fleet->shares[i]);
    }
}

static void
fleet_teardown (Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->n_instances; i++)
    mf_rate_shares_free (fleet->shares[i]);
}

static uint32_t
n_sends_within (const Fleet *fleet, uint64_t from_us, uint64_t until_us)
{
  uint32_t n_sends = 0;

  for (uint32_t i = 0; i < fleet->n_sends; i++)
    n_sends += fleet->sends_us[i] > from_us && fleet->sends_us[i] <= until_us;
  return n_sends;
}

static uint32_t
n_recent_sends (const Fleet *fleet, uint32_t instance, uint64_t now_us)
{
  uint32_t n_sends = 0;

  for (uint32_t i = 0; i < fleet->n_sends; i++)
    n_sends += fleet->senders[i] == instance && fleet->sends_us[i] + MF_US_PER_S > now_us;
  return n_sends;
}

/* One instance wants to send a request. */
static void
fleet_want (Fleet *fleet, uint32_t instance, uint64_t now_us)
{
  MfRateAsk ask = { .key = KEY, .n_units = 1, .max_wait_us = MAX_WAIT_US, .limit = fleet->limit };
  MfRateGrant grant;

  if (fleet->blocked_until_us[instance] > now_us + MAX_WAIT_US)
    return;
  if (fleet->asked[instance] != fleet->allocator + 1)
    ask.n_charged = n_recent_sends (fleet, instance, now_us);
  fleet->asked[instance] = fleet->allocator + 1;
  fleet->n_asks++;
  grant = mf_rate_shares_ask (fleet->shares[fleet->allocator], &ask, 100, now_us);
  if (!grant.granted)
    {
      fleet->blocked_until_us[instance] = now_us + grant.wait_us;
      return;
    }
  assert_in_range (fleet->n_sends, 0, SENDS_MAX - 1);
  fleet->senders[fleet->n_sends] = instance;
  fleet->sends_us[fleet->n_sends++] = now_us + grant.wait_us;
}

/* Lets the instances want n_per_ms requests a millisecond, at random. */
static void
fleet_press (Fleet *fleet, uint64_t from_us, uint64_t for_us, uint32_t n_per_ms)
{
  for (uint64_t at_us = from_us; at_us < from_us + for_us; at_us += MF_US_PER_MS)
    {
      for (uint32_t i = 0; i < n_per_ms; i++)
        fleet_want (fleet, draw (fleet, fleet->n_instances), at_us);
    }
}

/* Most sends in any window that ends after from_us. */
static uint32_t
n_most (const Fleet *fleet, uint64_t from_us)
{
  uint32_t n_found = 0;

  for (uint32_t i = 0; i < fleet->n_sends; i++)
    {
      uint32_t n_sends = n_sends_within (fleet, fleet->sends_us[i] - WINDOW_US, fleet->sends_us[i]);

      if (fleet->sends_us[i] > from_us && n_sends > n_found)
        n_found = n_sends;
    }
  return n_found;
}

static const uint32_t fleet_sizes[] = { 6, 84, 300 };
static const double rates[] = { 0.3, 0.9, 4.9, 10.3, 60 };

static void
test_all_instances_together_use_the_rate_and_no_more (void **state)
{
  static Fleet fleet;

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (fleet_sizes); i++)
    {
      for (size_t j = 0; j < MF_ARRAY_LEN (rates); j++)
        {
          uint32_t n_used;

          fleet_setup (&fleet, fleet_sizes[i], (uint64_t)(rates[j] * 1e6));
          fleet_press (&fleet, START_US, 20 * MF_US_PER_S, 1);
          assert_true (n_most (&fleet, START_US) <= rates[j] * 6 + 5);
          n_used = n_sends_within (&fleet, START_US + 5 * MF_US_PER_S, START_US + 20 * MF_US_PER_S);
          assert_true (n_used >= rates[j] * 15 * 0.9 - 1);
          /* Those who are denied do not ask again and again. */
          assert_in_range (fleet.n_asks, 0, 20 * 600);
          fleet_teardown (&fleet);
        }
    }
}

static void
test_new_allocator_grants_nothing_twice (void **state)
{
  static Fleet fleet;

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (fleet_sizes); i++)
    {
      for (size_t j = 0; j < MF_ARRAY_LEN (rates); j++)
        {
          fleet_setup (&fleet, fleet_sizes[i], (uint64_t)(rates[j] * 1e6));
          for (uint32_t round = 0; round < 8; round++)
            {
              fleet.allocator = round % 3;
              fleet_press (&fleet, START_US + round * 1500 * MF_US_PER_MS, 1500 * MF_US_PER_MS, 2);
            }
          assert_true (n_most (&fleet, START_US) <= rates[j] * 6 + 5);
          fleet_teardown (&fleet);
        }
    }
}

static void
test_burst_of_all_instances_at_once_stays_within_the_rate (void **state)
{
  static Fleet fleet;

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (fleet_sizes); i++)
    {
      fleet_setup (&fleet, fleet_sizes[i], 4900000);
      for (uint32_t round = 0; round < 5; round++)
        {
          for (uint32_t j = 0; j < fleet.n_instances; j++)
            fleet_want (&fleet, j, START_US + (10 + round) * MF_US_PER_S);
        }
      assert_true (n_most (&fleet, START_US) <= 4.9 * 6 + 5);
      assert_in_range (fleet.n_sends, 10, 40);
      fleet_teardown (&fleet);
    }
}

/* The steps between limits: each holds from when it is known, and the last one ends the count. */
static void
test_steps_between_limits (void **state)
{
  static const double steps[] = { 40, 4.9, 0, 10.3, 0.5 };
  static Fleet fleet;

  (void)state;
  fleet_setup (&fleet, 84, 0);
  for (size_t i = 0; i < MF_ARRAY_LEN (steps); i++)
    {
      uint64_t from_us = START_US + i * 8 * MF_US_PER_S;

      fleet.limit.micro_per_s = (uint64_t)(steps[i] * 1e6);
      fleet.limit.asked_us = fleet.limit.heard_us = from_us;
      memset (fleet.blocked_until_us, 0, sizeof fleet.blocked_until_us);
      fleet_press (&fleet, from_us, 8 * MF_US_PER_S, 1);
      assert_true (n_sends_within (&fleet, from_us + 4 * MF_US_PER_S, from_us + 8 * MF_US_PER_S)
                   <= steps[i] * 6 + 5);
    }
  /* A limit of nothing lets through what shows its end. */
  assert_in_range (
      n_sends_within (&fleet, START_US + 16 * MF_US_PER_S, START_US + 24 * MF_US_PER_S), 1, 4);
  fleet.limit = (MfRateNotice){ .asked_us = START_US + 40 * MF_US_PER_S,
                                .heard_us = START_US + 40 * MF_US_PER_S };
  memset (fleet.blocked_until_us, 0, sizeof fleet.blocked_until_us);
  fleet.n_sends = 0;
  fleet_press (&fleet, START_US + 40 * MF_US_PER_S, MF_US_PER_S, 1);
  assert_int_equal (fleet.n_sends, 1000);
  fleet_teardown (&fleet);
}

static void
test_part_of_the_rate_is_granted_by_part_of_the_fleet (void **state)
{
  MfRateShares *shares = mf_rate_shares_new ();
  MfRateAsk ask = { .key = KEY,
                    .n_units = 1,
                    .limit = { .is_limited = true,
                               .micro_per_s = 100 * MF_RATE_MICRO,
                               .asked_us = START_US,
                               .heard_us = START_US } };
  uint32_t n_granted = 0;

  (void)state;
  assert_non_null (shares);
  for (uint32_t ms = 0; ms < 4000; ms++)
    n_granted += mf_rate_shares_ask (shares, &ask, 62, START_US + ms * MF_US_PER_MS).granted;
  assert_in_range (n_granted, 240, 248);
  mf_rate_shares_free (shares);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_instances_together_use_the_rate_and_no_more),
    cmocka_unit_test (test_new_allocator_grants_nothing_twice),
    cmocka_unit_test (test_burst_of_all_instances_at_once_stays_within_the_rate),
    cmocka_unit_test (test_steps_between_limits),
    cmocka_unit_test (test_part_of_the_rate_is_granted_by_part_of_the_fleet),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
