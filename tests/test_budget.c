#include "libmangofork/relay/budget.h"

#include <setjmp.h>
#include <stdarg.h>

#include <cmocka.h>

#define WINDOW_US (10 * MF_US_PER_S)
#define RATIO 0.2
#define ALLOWANCE 2

/* Instances that cannot communicate stay within their common limit in any window. */
static void
test_any_window_of_any_instances_keeps_to_the_ratio (void **state)
{
  enum
  {
    N_INSTANCES = 6,
    N_STEPS = 600,
  };
  static uint32_t retries[N_STEPS];
  static uint32_t requests[N_STEPS];
  MfBudget budgets[N_INSTANCES];
  uint32_t window = (uint32_t)(WINDOW_US / (100 * MF_US_PER_MS));

  (void)state;
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    mf_budget_init (&budgets[i], WINDOW_US, RATIO);
  for (uint32_t step = 0; step < N_STEPS; step++)
    {
      uint64_t now_us = MF_US_PER_S + step * 100 * MF_US_PER_MS;

      for (uint32_t i = 0; i < N_INSTANCES; i++)
        {
          /* The load varies, and every request asks for three retries. */
          uint32_t n_requests = (step / 37 + i) % 4;

          for (uint32_t k = 0; k < n_requests; k++)
            {
              mf_budget_note_request (&budgets[i], now_us);
              requests[step]++;
              for (uint32_t tries = 0; tries < 3; tries++)
                retries[step] += mf_budget_acquire (&budgets[i], ALLOWANCE, 1, now_us);
            }
        }
    }
  for (uint32_t from = 0; from + window <= N_STEPS; from++)
    {
      uint32_t n_retries = 0;
      uint32_t n_requests = 0;
      uint32_t n_before = 0;

      for (uint32_t step = from; step < from + window; step++)
        {
          n_retries += retries[step];
          n_requests += requests[step];
          n_before += step >= window ? requests[step - window] : 0;
        }
      if (n_before > n_requests)
        n_requests = n_before;
      /* The limit of the deployments: 40 for all instances and two for each. */
      assert_true (n_retries <= RATIO * n_requests + 40 + ALLOWANCE * N_INSTANCES);
    }
}

static void
test_allowance_without_requests (void **state)
{
  MfBudget budget;

  (void)state;
  mf_budget_init (&budget, WINDOW_US, RATIO);
  assert_true (mf_budget_acquire (&budget, ALLOWANCE, 1, MF_US_PER_S));
  assert_true (mf_budget_acquire (&budget, ALLOWANCE, 1, MF_US_PER_S));
  assert_false (mf_budget_acquire (&budget, ALLOWANCE, 1, MF_US_PER_S));
  assert_false (mf_budget_acquire (&budget, ALLOWANCE, 1, MF_US_PER_S + WINDOW_US - MF_US_PER_S));
  assert_true (mf_budget_acquire (&budget, ALLOWANCE, 1, 2 * MF_US_PER_S + WINDOW_US));
}

/* The allowances of all instances, and of all of them restarted within a window, stay within the
 * slack for deployments of any size. */
static void
test_allowances_keep_to_the_slack (void **state)
{
  static const uint32_t sizes[][2] = { { 6, 52 }, { 7, 54 }, { 84, 208 }, { 300, 640 } };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      uint32_t n_instances = sizes[i][0];
      uint32_t slack = sizes[i][1];
      uint32_t allowance = mf_budget_allowance (slack, n_instances, WINDOW_US, WINDOW_US);
      uint32_t startup_allowance = mf_budget_allowance (slack, 1, WINDOW_US - 1, WINDOW_US);

      assert_true (allowance * n_instances <= slack);
      assert_true (startup_allowance * n_instances <= slack);
      assert_true (allowance >= 1);
      /* The leader's pool is what the allowances leave, less a reserve. */
      assert_true (allowance * n_instances + mf_budget_pool (slack, n_instances, WINDOW_US)
                   <= slack * 3 / 4);
      assert_true (mf_budget_pool (slack, n_instances, WINDOW_US) >= slack / 5);
    }
  /* If the slack suffices, a restarted fleet stays within it as well. */
  assert_true (mf_budget_allowance (52, 6, WINDOW_US, WINDOW_US) * 6
                   + mf_budget_allowance (52, 6, 0, WINDOW_US) * 6
               <= 52);
}

/* A retry that is returned is free again, once, and not after the window has passed it. */
static void
test_returned_retries_are_free_again (void **state)
{
  MfBudget budget;
  uint64_t now_us = 100 * MF_US_PER_S;

  (void)state;
  mf_budget_init (&budget, 10 * MF_US_PER_S, 0.);
  assert_true (mf_budget_acquire (&budget, 4, 2, now_us));
  assert_true (mf_budget_acquire (&budget, 4, 2, now_us + 3 * MF_US_PER_S));
  assert_false (mf_budget_allows (&budget, 4, 1, now_us + 3 * MF_US_PER_S));
  mf_budget_return (&budget, 2, now_us, now_us + 4 * MF_US_PER_S);
  assert_true (mf_budget_allows (&budget, 4, 2, now_us + 4 * MF_US_PER_S));
  assert_false (mf_budget_allows (&budget, 4, 3, now_us + 4 * MF_US_PER_S));
  mf_budget_return (&budget, 2, now_us, now_us + 4 * MF_US_PER_S);
  assert_false (mf_budget_allows (&budget, 4, 3, now_us + 4 * MF_US_PER_S));
  /* What was charged at 103 s stays charged. */
  mf_budget_return (&budget, 2, now_us, now_us + 12 * MF_US_PER_S);
  assert_false (mf_budget_allows (&budget, 4, 3, now_us + 12 * MF_US_PER_S));
  mf_budget_return (&budget, UINT32_MAX, now_us + 3 * MF_US_PER_S, now_us + 12 * MF_US_PER_S);
  assert_true (mf_budget_allows (&budget, 4, 4, now_us + 12 * MF_US_PER_S));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_any_window_of_any_instances_keeps_to_the_ratio),
    cmocka_unit_test (test_allowance_without_requests),
    cmocka_unit_test (test_allowances_keep_to_the_slack),
    cmocka_unit_test (test_returned_retries_are_free_again),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
