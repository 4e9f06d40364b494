#ifndef MF_BURN_H
#define MF_BURN_H

#include "config.h"

/* How one request ended, as the service-level report counts it. */
typedef struct
{
  uint32_t service;
  uint32_t customer; /* or MF_NONE */
  MfCode code;
  MfOutcome outcome;
  bool refused;         /* an honest refusal, counted apart from failures */
  bool departed;        /* the caller left; counts neither way */
  uint64_t ttft_us;     /* 0 when no token or answer came */
  uint32_t n_gaps;      /* gaps between tokens */
  uint32_t n_gaps_late; /* of them, longer than the service's target */
  uint32_t prefill_tokens;
  uint32_t wasted_prefill_tokens;
} MfBurnSample;

typedef struct MfBurn MfBurn;

MfBurn *mf_burn_new (void);
void mf_burn_free (MfBurn *burn);
void mf_burn_note (MfBurn *burn, const MfConfig *config, const MfBurnSample *sample,
                   uint64_t now_us);

/* Whether a request was good: whole, its first token in time and 95 in 100 gaps in time. The
 * program, the bench and the report share this definition. */
bool mf_burn_is_good (const MfService *service, const MfBurnSample *sample);

/* Encodes this instance's buckets that changed since the last call, for the digest to peers, at
 * most max_bytes. Returns the bytes written. */
size_t mf_burn_pack (MfBurn *burn, uint64_t now_us, uint8_t *dst, size_t max_bytes);
/* Takes in what a peer packed. Malformed input is ignored and returns false. */
bool mf_burn_merge (MfBurn *burn, const MfOwner *peer, const uint8_t *src, size_t src_bytes,
                    uint64_t now_us);

#endif
