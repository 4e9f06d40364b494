#include "budget.h"

/* Share of the common slack that is divided among the instances in advance, for when they cannot
 * communicate. */
#define ALLOWANCE_PERCENT 40
/* Share of the slack that is planned to be used. The rest covers unknown instances and sends that
 * were not foreseen when a retry was granted. */
#define USED_PERCENT 75
/* Minimum allowance of an instance that has run for a window. */
#define ALLOWANCE_MIN 1

/* Initialises a budget of ratio retries per request, both counted over window_us. */
void
mf_budget_init (MfBudget *budget, uint64_t window_us, double ratio)
{
  *budget = (MfBudget){ .window_us = window_us, .ratio = ratio };
}

/* Advances the window to now_us. */
static void
budget_advance (MfBudget *budget, uint64_t now_us)
{
  uint64_t bucket_us = budget->window_us / MF_BUDGET_BUCKETS;

  if (bucket_us == 0)
    return;
  for (uint32_t i = 0; i < MF_BUDGET_BUCKETS && now_us - budget->bucket_started_us >= bucket_us;
       i++)
    {
      budget->bucket = (budget->bucket + 1) % MF_BUDGET_BUCKETS;
      budget->n_requests[budget->bucket] = 0;
      budget->n_retries[budget->bucket] = 0;
      budget->bucket_started_us += bucket_us;
    }
  if (now_us - budget->bucket_started_us >= bucket_us)
    budget->bucket_started_us = now_us;
}

/* Counts a caller's request. */
void
mf_budget_note_request (MfBudget *budget, uint64_t now_us)
{
  budget_advance (budget, now_us);
  budget->n_requests[budget->bucket]++;
}

/* Whether n_wanted more retries fit into the window. allowance retries are allowed regardless of
 * the request count. */
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

/* Acquires n_wanted retries if all of them fit into the window; otherwise acquires none and returns
 * false. allowance retries are allowed regardless of the request count. */
bool
mf_budget_acquire (MfBudget *budget, uint32_t allowance, uint32_t n_wanted, uint64_t now_us)
{
  if (!mf_budget_allows (budget, allowance, n_wanted, now_us))
    return false;
  budget->n_retries[budget->bucket] += n_wanted;
  return true;
}

/* Counts retries that were sent without being acquired before. */
void
mf_budget_charge (MfBudget *budget, uint32_t n_retries, uint64_t now_us)
{
  budget_advance (budget, now_us);
  budget->n_retries[budget->bucket] += n_retries;
}

/* Returns retries that were charged at charged_us and will not be sent, unless the window has
 * passed them. */
void
mf_budget_return (MfBudget *budget, uint32_t n_retries, uint64_t charged_us, uint64_t now_us)
{
  uint64_t bucket_us = budget->window_us / MF_BUDGET_BUCKETS;
  uint64_t n_back = 0;
  uint32_t *n_charged;

  budget_advance (budget, now_us);
  if (bucket_us == 0)
    return;
  if (charged_us < budget->bucket_started_us)
    n_back = (budget->bucket_started_us - charged_us + bucket_us - 1) / bucket_us;
  if (n_back >= MF_BUDGET_BUCKETS)
    return;
  n_charged = &budget->n_retries[(budget->bucket + MF_BUDGET_BUCKETS - n_back) % MF_BUDGET_BUCKETS];
  *n_charged -= n_retries < *n_charged ? n_retries : *n_charged;
}

/* This instance's allowance of the slack, the retries that all instances together may send
 * regardless of their request counts. An instance that has run for less than a window does not know
 * what it sent before a restart, and has none. */
uint32_t
mf_budget_allowance (uint32_t slack, uint32_t n_instances, uint64_t uptime_us, uint64_t window_us)
{
  uint32_t allowance;

  if (uptime_us < window_us || n_instances == 0)
    return 0;
  allowance = slack * ALLOWANCE_PERCENT / 100 / n_instances;
  return allowance > ALLOWANCE_MIN ? allowance : ALLOWANCE_MIN;
}

/* Retries that the leader may grant to instances that have used up their allowance. */
uint32_t
mf_budget_pool (uint32_t slack, uint32_t n_instances, uint64_t window_us)
{
  uint32_t used = slack * USED_PERCENT / 100;
  uint32_t allowances
      = n_instances * mf_budget_allowance (slack, n_instances, window_us, window_us);

  return used > allowances ? used - allowances : 0;
}
