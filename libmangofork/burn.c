#include "burn.h"

#include <stdlib.h>

struct MfBurn
{
  uint64_t n_samples;
};

MfBurn *
mf_burn_new (void)
{
  return calloc (1, sizeof (MfBurn));
}

void
mf_burn_free (MfBurn *burn)
{
  free (burn);
}

void
mf_burn_note (MfBurn *burn, const MfConfig *config, const MfBurnSample *sample, uint64_t now_us)
{
  (void)config;
  (void)sample;
  (void)now_us;
  burn->n_samples++;
}

bool
mf_burn_is_good (const MfService *service, const MfBurnSample *sample)
{
  if (sample->code != MF_CODE_OK || sample->ttft_us > service->ttft_target_us)
    return false;
  return (uint64_t)sample->n_gaps_late * 20 <= sample->n_gaps;
}

size_t
mf_burn_pack (MfBurn *burn, uint64_t now_us, uint8_t *dst, size_t max_bytes)
{
  (void)burn;
  (void)now_us;
  (void)dst;
  (void)max_bytes;
  return 0;
}

bool
mf_burn_merge (MfBurn *burn, const MfOwner *peer, const uint8_t *src, size_t src_bytes,
               uint64_t now_us)
{
  (void)burn;
  (void)peer;
  (void)src;
  (void)now_us;
  return src_bytes == 0;
}
