#ifndef MF_RATE_H
#define MF_RATE_H

#include "types.h"

/* A rate that several instances share. One of them, the allocator, keeps the token bucket and
 * grants each unit; which one is up to the caller. Rates and amounts are counted in millionths of a
 * unit. Units are whatever the rate counts. */
#define MF_RATE_MICRO UINT64_C (1000000)
/* Units a second; a higher rate counts as no limit. */
#define MF_RATE_MAX UINT64_C (10000)

/* A token bucket. */
typedef struct
{
  uint64_t micro_per_s;
  int64_t level_micro; /* units available; below zero: granted in advance, or overdrawn */
  uint64_t updated_us;
  uint64_t burst_micro; /* units that may accumulate; 0: a part of the rate */
  uint64_t debt_micro;  /* units that may be overdrawn; 0: a part of the rate */
} MfRateBucket;

/* What is known of a limit, from answers of whoever names it. The answer was made between the two
 * times. */
typedef struct
{
  bool is_limited;
  uint64_t micro_per_s; /* if limited */
  uint64_t asked_us;    /* the request that was answered was sent then */
  uint64_t heard_us;    /* its answer was read then; 0: nothing is known */
} MfRateNotice;

void mf_rate_bucket_init (MfRateBucket *bucket, uint64_t micro_per_s, uint64_t now_us);
void mf_rate_bucket_set (MfRateBucket *bucket, uint64_t micro_per_s, uint64_t now_us);
void mf_rate_bucket_set_bounds (MfRateBucket *bucket, uint64_t burst_micro, uint64_t debt_micro,
                                uint64_t now_us);
uint64_t mf_rate_bucket_n_available (MfRateBucket *bucket, uint64_t now_us);
bool mf_rate_bucket_acquire (MfRateBucket *bucket, uint32_t n_units, uint64_t max_wait_us,
                             uint64_t now_us, uint64_t *wait_us);
void mf_rate_bucket_charge (MfRateBucket *bucket, uint32_t n_units, uint64_t now_us);
void mf_rate_bucket_return (MfRateBucket *bucket, uint32_t n_units, uint64_t now_us);

bool mf_rate_notice_merge (MfRateNotice *known, const MfRateNotice *update);

#endif
