#include "rate_share.h"

#include <stdlib.h>

/* Rates allocated at one time; the one unused for longest is dropped for a further one. */
#define SHARES_MAX 256
/* A lower limit, or one of 0, yields this: units that show when it has ended. */
#define EFFECTIVE_MIN_MICRO (MF_RATE_MICRO / 4)
/* Each ask denied in the last second beyond DENIED_FREE delays the next one for this long, which
 * bounds the asks of large fleets. */
#define DENIED_FREE 200
#define DENIED_SPACING_US (3 * MF_US_PER_MS)

typedef struct
{
  uint64_t key;
  uint64_t used_us; /* 0: free */
  MfRateNotice limit;
  MfRateBucket bucket;
  uint64_t denied_second;
  uint32_t n_denied;        /* in that second */
  uint32_t n_denied_before; /* in the second before */
} Share;

struct MfRateShares
{
  Share rows[SHARES_MAX];
};

/* Returns NULL when out of memory. */
MfRateShares *
mf_rate_shares_new (void)
{
  return calloc (1, sizeof (MfRateShares));
}

/* Accepts NULL. */
void
mf_rate_shares_free (MfRateShares *shares)
{
  free (shares);
}

/* Returns the rate at which units of a limit are granted, in millionths a second. */
uint64_t
mf_rate_effective (uint64_t micro_per_s)
{
  return micro_per_s > EFFECTIVE_MIN_MICRO ? micro_per_s : EFFECTIVE_MIN_MICRO;
}

static Share *
share_get (MfRateShares *shares, uint64_t key, uint64_t now_us)
{
  Share *oldest = &shares->rows[0];

  for (uint32_t i = 0; i < SHARES_MAX; i++)
    {
      Share *share = &shares->rows[i];

      if (share->used_us > 0 && share->key == key)
        {
          share->used_us = now_us;
          return share;
        }
      if (share->used_us < oldest->used_us)
        oldest = share;
    }
  *oldest = (Share){ .key = key, .used_us = now_us };
  mf_rate_bucket_init (&oldest->bucket, 0, now_us);
  return oldest;
}

/* Merges what this instance knows of the limit of a rate that it may allocate. */
void
mf_rate_shares_note_limit (MfRateShares *shares, uint64_t key, const MfRateNotice *limit,
                           uint64_t now_us)
{
  mf_rate_notice_merge (&share_get (shares, key, now_us)->limit, limit);
}

static void
share_note_denied (Share *share, uint64_t now_us)
{
  uint64_t second = now_us / MF_US_PER_S;

  if (second != share->denied_second)
    {
      share->n_denied_before = second == share->denied_second + 1 ? share->n_denied : 0;
      share->n_denied = 0;
      share->denied_second = second;
    }
  share->n_denied++;
}

/* Grants units or denies them. percent is the part of the rate that this allocator may grant. */
MfRateGrant
mf_rate_shares_ask (MfRateShares *shares, const MfRateAsk *ask, uint32_t percent, uint64_t now_us)
{
  Share *share = share_get (shares, ask->key, now_us);
  MfRateGrant grant = { 0 };

  mf_rate_notice_merge (&share->limit, &ask->limit);
  if (!share->limit.is_limited)
    return (MfRateGrant){ .granted = true };
  mf_rate_bucket_set (&share->bucket, mf_rate_effective (share->limit.micro_per_s) * percent / 100,
                      now_us);
  if (ask->n_charged > 0)
    mf_rate_bucket_charge (&share->bucket, ask->n_charged, now_us);
  if (ask->n_returned > 0)
    mf_rate_bucket_return (&share->bucket, ask->n_returned, now_us);
  if (ask->n_units == 0)
    return grant;
  grant.granted = mf_rate_bucket_acquire (&share->bucket, ask->n_units, ask->max_wait_us, now_us,
                                          &grant.wait_us);
  if (grant.granted)
    return grant;
  share_note_denied (share, now_us);
  if (grant.wait_us < UINT64_MAX && share->n_denied_before > DENIED_FREE)
    grant.wait_us += (share->n_denied_before - DENIED_FREE) * DENIED_SPACING_US;
  return grant;
}
