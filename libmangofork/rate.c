#include "rate.h"

/* Units that may accumulate, in milliseconds of the rate; at least one unit. */
#define BURST_MS 500
/* Units that were used without a grant are made up for, up to this many milliseconds of the rate.
 */
#define OVERDRAFT_MS 3000
/* A longer time without an update refills any bucket. */
#define REFILL_MAX_US (60 * MF_US_PER_S)

/* Returns what a rate yields in this time. */
static int64_t
rate_yield (uint64_t micro_per_s, uint64_t ms)
{
  return (int64_t)(micro_per_s * ms / 1000);
}

/* Returns the units that may accumulate. */
static int64_t
bucket_max_micro (const MfRateBucket *bucket)
{
  int64_t max_micro = bucket->burst_micro > 0 ? (int64_t)bucket->burst_micro
                                              : rate_yield (bucket->micro_per_s, BURST_MS);

  return max_micro > (int64_t)MF_RATE_MICRO ? max_micro : (int64_t)MF_RATE_MICRO;
}

static void
bucket_clamp (MfRateBucket *bucket)
{
  int64_t max_micro = bucket_max_micro (bucket);
  int64_t min_micro = bucket->debt_micro > 0 ? -(int64_t)bucket->debt_micro
                                             : -rate_yield (bucket->micro_per_s, OVERDRAFT_MS);

  if (bucket->level_micro > max_micro)
    bucket->level_micro = max_micro;
  if (bucket->level_micro < min_micro)
    bucket->level_micro = min_micro;
}

/* Adds what the rate has yielded since the last update. */
static void
bucket_update (MfRateBucket *bucket, uint64_t now_us)
{
  uint64_t passed_us = now_us > bucket->updated_us ? now_us - bucket->updated_us : 0;

  if (passed_us > REFILL_MAX_US)
    passed_us = REFILL_MAX_US;
  /* Whole seconds apart: the product of a minute and a high rate exceeds 64 bits. */
  bucket->level_micro += (int64_t)(bucket->micro_per_s * (passed_us / MF_US_PER_S)
                                   + bucket->micro_per_s * (passed_us % MF_US_PER_S) / MF_US_PER_S);
  bucket->updated_us = now_us;
  bucket_clamp (bucket);
}

/* Initialises an empty bucket: its holder does not know what was granted before. */
void
mf_rate_bucket_init (MfRateBucket *bucket, uint64_t micro_per_s, uint64_t now_us)
{
  *bucket = (MfRateBucket){ .micro_per_s = micro_per_s, .updated_us = now_us };
}

/* Changes the rate from now on. */
void
mf_rate_bucket_set (MfRateBucket *bucket, uint64_t micro_per_s, uint64_t now_us)
{
  if (bucket->micro_per_s == micro_per_s)
    return;
  bucket_update (bucket, now_us);
  bucket->micro_per_s = micro_per_s;
  bucket_clamp (bucket);
}

/* Sets the units that may accumulate, and those that may be overdrawn, from now on, in place of
 * parts of the rate; 0: the part of the rate. With a burst, more units than half of it are
 * granted once the bucket is half full, and may overdraw it: a full one is rare under load. */
void
mf_rate_bucket_set_bounds (MfRateBucket *bucket, uint64_t burst_micro, uint64_t debt_micro,
                           uint64_t now_us)
{
  if (bucket->burst_micro == burst_micro && bucket->debt_micro == debt_micro)
    return;
  bucket_update (bucket, now_us);
  bucket->burst_micro = burst_micro;
  bucket->debt_micro = debt_micro;
  bucket_clamp (bucket);
}

/* Returns the units that are available now, at least 0. */
uint64_t
mf_rate_bucket_n_available (MfRateBucket *bucket, uint64_t now_us)
{
  bucket_update (bucket, now_us);
  return bucket->level_micro > 0 ? (uint64_t)bucket->level_micro / MF_RATE_MICRO : 0;
}

/* Returns the time in microseconds in which a rate that is not 0 yields these units. */
static uint64_t
yield_time_us (uint64_t micro_per_s, uint64_t micro)
{
  uint64_t rest_micro = micro % micro_per_s;

  return micro / micro_per_s * MF_US_PER_S
         + (rest_micro * MF_US_PER_S + micro_per_s - 1) / micro_per_s;
}

/* Takes units that are available now, or will be within max_wait_us. Returns whether they were
 * taken. wait_us is set to the time until they are, or would be, available; UINT64_MAX: never. */
bool
mf_rate_bucket_acquire (MfRateBucket *bucket, uint32_t n_units, uint64_t max_wait_us,
                        uint64_t now_us, uint64_t *wait_us)
{
  int64_t wanted_micro = (int64_t)(n_units * MF_RATE_MICRO);
  int64_t missing_micro;

  bucket_update (bucket, now_us);
  missing_micro = wanted_micro - bucket->level_micro;
  if (bucket->burst_micro > 0 && wanted_micro > bucket_max_micro (bucket) / 2)
    missing_micro = bucket_max_micro (bucket) / 2 - bucket->level_micro;
  *wait_us = 0;
  if (missing_micro > 0 && bucket->micro_per_s == 0)
    *wait_us = UINT64_MAX;
  else if (missing_micro > 0)
    *wait_us = yield_time_us (bucket->micro_per_s, (uint64_t)missing_micro);
  if (*wait_us > max_wait_us)
    return false;
  bucket->level_micro -= wanted_micro;
  return true;
}

/* Counts units that were used without a grant. */
void
mf_rate_bucket_charge (MfRateBucket *bucket, uint32_t n_units, uint64_t now_us)
{
  bucket_update (bucket, now_us);
  bucket->level_micro -= (int64_t)(n_units * MF_RATE_MICRO);
  bucket_clamp (bucket);
}

/* Takes units back that were granted and not used. */
void
mf_rate_bucket_return (MfRateBucket *bucket, uint32_t n_units, uint64_t now_us)
{
  bucket_update (bucket, now_us);
  bucket->level_micro += (int64_t)(n_units * MF_RATE_MICRO);
  bucket_clamp (bucket);
}

/* Whether one notice allows less than the other. */
static bool
is_lower (const MfRateNotice *one, const MfRateNotice *other)
{
  if (one->is_limited != other->is_limited)
    return one->is_limited;
  return one->is_limited && one->micro_per_s < other->micro_per_s;
}

static bool
is_same (const MfRateNotice *one, const MfRateNotice *other)
{
  return !is_lower (one, other) && !is_lower (other, one);
}

/* Merges an update into what is known. The later answer counts. Where the order of the two is not
 * known, as their times overlap, the lower limit counts. Returns whether the limit has changed. */
bool
mf_rate_notice_merge (MfRateNotice *known, const MfRateNotice *update)
{
  bool same = is_same (known, update);
  uint64_t heard_us = update->heard_us > known->heard_us ? update->heard_us : known->heard_us;

  if (known->heard_us == 0 || update->asked_us >= known->heard_us)
    {
      *known = *update;
      return !same;
    }
  if (update->heard_us <= known->asked_us)
    return false;
  if (same && update->asked_us > known->asked_us)
    known->asked_us = update->asked_us;
  else if (is_lower (update, known))
    *known = *update;
  else if (!same)
    return false;
  known->heard_us = heard_us;
  return !same;
}
