#include "budget.h"

/* Part of the common slack that is divided among the instances, for when they cannot talk. */
#define ALLOWANCE_PERCENT 40
/* Part of it that is planned to be used; the rest is for instances that are not known, and for
 * sends that could not be foreseen when a repeat was given. */
#define USED_PERCENT 75
/* Least part of an instance that has run for a window. */
#define ALLOWANCE_MIN 1

/* Begins a budget without requests. ratio is repeats for each request, window_us what both are
 * counted in. */
void
mf_budget_init (MfBudget *budget, uint64_t window_us, double ratio)
{
  *budget = (MfBudget){ .window_us = window_us, .ratio = ratio };
}

/* Moves on to the part of the window that now is in. */
static void
budget_advance (MfBudget *budget, uint64_t now_us)
{
  uint64_t bucket_us = budget->window_us / MF_BUDGET_BUCKETS;

  if (bucket_us == 0)
    return;
  for (uint32_t i = 0; i < MF_BUDGET_BUCKETS && now_us - budget->bucket_begun_us >= bucket_us; i++)
    {
      budget->bucket = (budget->bucket + 1) % MF_BUDGET_BUCKETS;
      budget->n_requests[budget->bucket] = 0;
      budget->n_retries[budget->bucket] = 0;
      budget->bucket_begun_us += bucket_us;
    }
  if (now_us - budget->bucket_begun_us >= bucket_us)
    budget->bucket_begun_us = now_us;
}

/* Counts a request of a caller, at the time now_us. */
void
mf_budget_note_request (MfBudget *budget, uint64_t now_us)
{
  budget_advance (budget, now_us);
  budget->n_requests[budget->bucket]++;
}

/* Whether the window has room for so many repeats more. floor repeats are allowed whatever the
 * requests. */
bool
mf_budget_allows (MfBudget *budget, uint32_t allowance, uint32_t n_wanted, uint64_t now_us)
{
  uint64_t n_requests = 0;
  uint64_t n_retries = 0;

  budget_advance (budget, now_us);
  for (uint32_t i = 0; i < MF_BUDGET_BUCKETS; i++)
    {
      n_requests += budget->n_requests[i];
      n_retries += budget->n_retries[i];
    }
  return (double)(n_retries + n_wanted) <= budget->ratio * (double)n_requests + (double)allowance;
}

/* Takes so many repeats; returns false, and takes none, when the window has no room for all. floor
 * repeats are allowed whatever the requests. */
bool
mf_budget_acquire (MfBudget *budget, uint32_t allowance, uint32_t n_wanted, uint64_t now_us)
{
  if (!mf_budget_allows (budget, allowance, n_wanted, now_us))
    return false;
  budget->n_retries[budget->bucket] += n_wanted;
  return true;
}

/* Counts repeats that were not taken before. */
void
mf_budget_charge (MfBudget *budget, uint32_t n_retries, uint64_t now_us)
{
  budget_advance (budget, now_us);
  budget->n_retries[budget->bucket] += n_retries;
}

/* This instance's part of the repeats that all instances together may send whatever their requests.
 * One that has not run for a whole window does not know what it sent before it was started anew: it
 * has none. */
uint32_t
mf_budget_allowance (uint32_t slack, uint32_t n_instances, uint64_t uptime_us, uint64_t window_us)
{
  uint32_t allowance;

  if (uptime_us < window_us || n_instances == 0)
    return 0;
  allowance = slack * ALLOWANCE_PERCENT / 100 / n_instances;
  return allowance > ALLOWANCE_MIN ? allowance : ALLOWANCE_MIN;
}

/* What is left for the instance that decides for all to give to those that have used their part. */
uint32_t
mf_budget_pool (uint32_t slack, uint32_t n_instances, uint64_t window_us)
{
  uint32_t used = slack * USED_PERCENT / 100;
  uint32_t allowances
      = n_instances * mf_budget_allowance (slack, n_instances, window_us, window_us);

  return used > allowances ? used - allowances : 0;
}
