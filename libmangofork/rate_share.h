#ifndef MF_RATE_SHARE_H
#define MF_RATE_SHARE_H

#include "rate.h"

/* The rates that one instance allocates to all. An instance that begins to ask another allocator
 * says what it has used lately, so the allocator needs no state of its predecessor. */
typedef struct MfRateShares MfRateShares;

/* What an instance asks of an allocator. */
typedef struct
{
  uint64_t key;         /* identifies the rate */
  uint32_t n_units;     /* asked for; 0: none, no answer is needed */
  uint32_t n_charged;   /* used without a grant of this allocator */
  uint32_t n_returned;  /* granted and not used */
  uint64_t max_wait_us; /* the units are of use until then */
  MfRateNotice limit;   /* as the instance knows it */
} MfRateAsk;

typedef struct
{
  bool granted;
  bool redirected; /* another instance allocates the rate */
  /* Granted: the units may be used after this time. Otherwise, they could be if asked for now. */
  uint64_t wait_us;
} MfRateGrant;

MfRateShares *mf_rate_shares_new (void);
void mf_rate_shares_free (MfRateShares *shares);
MfRateGrant mf_rate_shares_ask (MfRateShares *shares, const MfRateAsk *ask, uint32_t percent,
                                uint64_t now_us);
void mf_rate_shares_note_limit (MfRateShares *shares, uint64_t key, const MfRateNotice *limit,
                                uint64_t now_us);
uint64_t mf_rate_effective (uint64_t micro_per_s);

#endif
