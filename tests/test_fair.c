#include "libmangofork/fair.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define NOW_US (100 * MF_US_PER_S)
#define COST 5000

/* Grants one slot to the first of the flows; of equal ones to the one of lowest index. */
static uint32_t
serve (MfFair *fair, const uint32_t *flows, uint32_t n_flows, const uint32_t *n_waiting,
       uint64_t now_us)
{
  uint32_t best = MF_NONE;
  MfFairRank best_rank = { 0 };

  for (uint32_t i = 0; i < n_flows; i++)
    {
      MfFairRank rank;

      if (n_waiting[i] == 0)
        continue;
      rank = mf_fair_rank (fair, flows[i]);
      if (best != MF_NONE && mf_fair_compare (&rank, &best_rank) >= 0)
        continue;
      best = i;
      best_rank = rank;
    }
  if (best != MF_NONE)
    mf_fair_finish (fair, flows[best], COST, now_us);
  return best;
}

static uint32_t
start (MfFair *fair, uint64_t customer, uint32_t priority, uint32_t n_requests, uint64_t now_us)
{
  uint32_t flow = MF_NONE;

  for (uint32_t i = 0; i < n_requests; i++)
    flow = mf_fair_start (fair, customer, priority, now_us);
  return flow;
}

/* Guards against a customer with a long queue getting more than one with a short queue. */
static void
test_customers_share_alike (void **state)
{
  MfFair *fair = mf_fair_new ();
  uint32_t n_waiting[2] = { 90, 10 };
  uint32_t n_served[2] = { 0 };
  uint32_t flows[2] = { start (fair, 1, 0, 90, NOW_US), start (fair, 2, 0, 10, NOW_US) };

  (void)state;
  for (uint32_t i = 0; i < 20; i++)
    {
      uint32_t served = serve (fair, flows, 2, n_waiting, NOW_US);

      n_served[served]++;
      n_waiting[served]--;
    }
  assert_int_equal (n_served[0], 10);
  assert_int_equal (n_served[1], 10);
  mf_fair_free (fair);
}

/* Guards against credit for idle time: a customer that was idle while another was served shares
 * from then on, and is not served first until it has caught up. */
static void
test_idle_customer_gets_no_burst (void **state)
{
  MfFair *fair = mf_fair_new ();
  uint32_t n_waiting[2] = { 300, 0 };
  uint32_t flows[2] = { start (fair, 1, 0, 300, NOW_US), MF_NONE };
  uint32_t n_idle_served = 0;

  (void)state;
  for (uint32_t i = 0; i < 100; i++, n_waiting[0]--)
    assert_int_equal (serve (fair, flows, 1, n_waiting, NOW_US), 0);
  flows[1] = start (fair, 2, 0, 50, NOW_US + MF_US_PER_S);
  n_waiting[1] = 50;
  for (uint32_t i = 0; i < 20; i++)
    {
      uint32_t served = serve (fair, flows, 2, n_waiting, NOW_US + MF_US_PER_S);

      n_idle_served += served == 1;
      n_waiting[served]--;
    }
  assert_in_range (n_idle_served, 9, 11);
  mf_fair_free (fair);
}

/* Guards against a penalty for capacity that nobody else wanted. */
static void
test_unused_capacity_is_free (void **state)
{
  MfFair *fair = mf_fair_new ();
  uint32_t n_waiting[2] = { 1, 0 };
  uint32_t flows[2];
  uint32_t n_served = 0;

  (void)state;
  for (uint32_t i = 0; i < 100; i++)
    {
      flows[0] = start (fair, 1, 0, 1, NOW_US);
      serve (fair, flows, 1, n_waiting, NOW_US);
    }
  flows[0] = start (fair, 1, 0, 10, NOW_US);
  flows[1] = start (fair, 2, 0, 10, NOW_US);
  n_waiting[0] = n_waiting[1] = 10;
  for (uint32_t i = 0; i < 10; i++)
    {
      uint32_t served = serve (fair, flows, 2, n_waiting, NOW_US);

      n_served += served == 0;
      n_waiting[served]--;
    }
  assert_int_equal (n_served, 5);
  mf_fair_free (fair);
}

/* Guards against a customer without a usual load being put last: it has its equal share at once,
 * also when another usually needs more. */
static void
test_new_customer_has_its_equal_share (void **state)
{
  MfFair *fair = mf_fair_new ();
  uint32_t n_waiting[3] = { 1, 0, 0 };
  uint32_t n_served[3] = { 0 };
  uint32_t flows[3] = { MF_NONE, start (fair, 2, 0, 1, NOW_US), start (fair, 3, 0, 1, NOW_US) };
  uint64_t now_us = NOW_US;

  (void)state;
  mf_fair_fail (fair, flows[1], NOW_US);
  mf_fair_fail (fair, flows[2], NOW_US);
  for (; now_us < NOW_US + 120 * MF_US_PER_S; now_us += 100 * MF_US_PER_MS)
    {
      flows[0] = start (fair, 1, 0, 1, now_us);
      serve (fair, flows, 1, n_waiting, now_us);
    }
  /* Two others appear. There are ten slots a second, and the first still needs eight of them. */
  flows[1] = start (fair, 2, 0, 2000, now_us);
  flows[2] = start (fair, 3, 0, 2000, now_us);
  n_waiting[1] = n_waiting[2] = 2000;
  n_waiting[0] = 0;
  for (uint32_t i = 0; i < 600; i++, now_us += 100 * MF_US_PER_MS)
    {
      uint32_t served;

      if (i % 5 != 0)
        {
          flows[0] = start (fair, 1, 0, 1, now_us);
          n_waiting[0]++;
        }
      served = serve (fair, flows, 3, n_waiting, now_us);
      n_served[served]++;
      n_waiting[served]--;
    }
  print_message ("served %u, %u and %u of 600\n", n_served[0], n_served[1], n_served[2]);
  /* Equal shares are 3.3 a second. */
  assert_in_range (n_served[1], 150, 220);
  assert_in_range (n_served[2], 150, 220);
  mf_fair_free (fair);
}

/* Guards against starvation of a less urgent level: of requests that end in equal numbers at both
 * levels, it is served a quarter as often as all, and not much more. */
static void
test_lower_priority_keeps_a_quarter (void **state)
{
  MfFair *fair = mf_fair_new ();
  uint32_t n_served[2] = { 0 };
  uint32_t flows[2];
  uint32_t n_waiting[2] = { 1, 1 };
  uint32_t n_steps = 40000;

  (void)state;
  flows[0] = start (fair, 1, 0, 1, NOW_US);
  flows[1] = start (fair, 2, 9, 1, NOW_US);
  for (uint32_t i = 0; i < n_steps; i++)
    {
      uint64_t now_us = NOW_US + i * 10 * MF_US_PER_MS;
      uint32_t served = serve (fair, flows, 2, n_waiting, now_us);

      n_served[served]++;
      /* One request of each level ends in each step. */
      mf_fair_fail (fair, flows[1 - served], now_us);
      start (fair, 1, 0, 1, now_us);
      start (fair, 2, 9, 1, now_us);
    }
  print_message ("urgent %u, less urgent %u of %u\n", n_served[0], n_served[1], n_steps);
  assert_true (n_served[1] * 2. / n_steps >= 0.25);
  assert_true (n_served[1] * 2. / n_steps <= 0.27);
  mf_fair_free (fair);
}

/* Guards against growth by invented customers, and against eviction of one that waits. */
static void
test_number_of_flows_is_bounded (void **state)
{
  MfFair *fair = mf_fair_new ();
  uint32_t waiting = start (fair, 1, 0, 1, NOW_US);

  (void)state;
  for (uint64_t customer = 2; customer < 4 * MF_FAIR_FLOWS_MAX; customer++)
    {
      uint32_t flow = start (fair, customer, 0, 1, NOW_US + customer);

      assert_in_range (flow, 0, MF_FAIR_FLOWS_MAX - 1);
      assert_int_not_equal (flow, waiting);
      mf_fair_fail (fair, flow, NOW_US + customer);
    }
  assert_int_equal (mf_fair_find (fair, 1, 0), waiting);
  for (uint64_t customer = 1; customer < 2 * MF_FAIR_FLOWS_MAX; customer++)
    assert_in_range (start (fair, customer, 3, 1, NOW_US), 0, MF_FAIR_FLOWS_MAX - 1);
  mf_fair_free (fair);
}

/* Guards against refusals that are not certain: they need a second of grants while requests waited
 * throughout, and half as many requests more than that rate allows. */
static void
test_refusals_need_a_known_rate (void **state)
{
  MfFair *fair = mf_fair_new ();
  uint64_t wait_us = 0;
  uint64_t now_us = NOW_US;
  uint32_t n_waiting = 1000;
  uint32_t flow = start (fair, 1, 0, n_waiting, NOW_US);

  (void)state;
  assert_true (mf_fair_can_serve (fair, flow, 1000, MF_US_PER_S, NOW_US, &wait_us));
  for (; now_us < NOW_US + 3 * MF_US_PER_S; now_us += 100 * MF_US_PER_MS, n_waiting--)
    {
      if (now_us < NOW_US + MF_US_PER_S)
        assert_true (mf_fair_can_serve (fair, flow, 1000, MF_US_PER_S, now_us, &wait_us));
      assert_int_equal (serve (fair, &flow, 1, &n_waiting, now_us), 0);
    }
  assert_true (mf_fair_can_serve (fair, flow, 31, 2 * MF_US_PER_S, now_us, &wait_us));
  assert_false (mf_fair_can_serve (fair, flow, 32, 2 * MF_US_PER_S, now_us, &wait_us));
  assert_int_equal (wait_us, 3200 * MF_US_PER_MS);
  /* Nothing is known any more after a pause in the grants. */
  assert_true (
      mf_fair_can_serve (fair, flow, 1000, MF_US_PER_S, now_us + 3 * MF_US_PER_S, &wait_us));
  mf_fair_free (fair);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_customers_share_alike),
    cmocka_unit_test (test_idle_customer_gets_no_burst),
    cmocka_unit_test (test_unused_capacity_is_free),
    cmocka_unit_test (test_new_customer_has_its_equal_share),
    cmocka_unit_test (test_lower_priority_keeps_a_quarter),
    cmocka_unit_test (test_number_of_flows_is_bounded),
    cmocka_unit_test (test_refusals_need_a_known_rate),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
