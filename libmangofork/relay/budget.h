#ifndef MF_RELAY_BUDGET_H
#define MF_RELAY_BUDGET_H

#include "libmangofork/types.h"

/* Buckets of the sliding window. */
#define MF_BUDGET_BUCKETS 20

/* Retry budget of this instance for one service. Each instance keeps to the ratio for its own
 * requests, so the sum does too, even without communication. */
typedef struct
{
  uint64_t window_us;
  double ratio;
  uint64_t bucket_started_us;
  uint32_t bucket;
  uint32_t n_requests[MF_BUDGET_BUCKETS];
  uint32_t n_retries[MF_BUDGET_BUCKETS];
} MfBudget;

void mf_budget_init (MfBudget *budget, uint64_t window_us, double ratio);
void mf_budget_note_request (MfBudget *budget, uint64_t now_us);
bool mf_budget_allows (MfBudget *budget, uint32_t allowance, uint32_t n_wanted, uint64_t now_us);
bool mf_budget_acquire (MfBudget *budget, uint32_t allowance, uint32_t n_wanted, uint64_t now_us);
void mf_budget_charge (MfBudget *budget, uint32_t n_retries, uint64_t now_us);
void mf_budget_return (MfBudget *budget, uint32_t n_retries, uint64_t charged_us, uint64_t now_us);
uint32_t mf_budget_allowance (uint32_t slack, uint32_t n_instances, uint64_t uptime_us,
                              uint64_t window_us);
uint32_t mf_budget_pool (uint32_t slack, uint32_t n_instances, uint64_t window_us);

#endif
