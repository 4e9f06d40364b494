#ifndef MF_RELAY_STAGE_H
#define MF_RELAY_STAGE_H

#include "libmangofork/types.h"

/* Load of the engines of one service at one time. */
typedef struct
{
  uint32_t n_prefill;    /* prefill engines, including those changing to prefill */
  uint32_t n_decode;     /* the same for decode engines */
  double prefill_busy;   /* prefill engines that are busy */
  double queued_prompts; /* at the prefill engines, including those being processed */
  double decode_used;    /* slots or KV in use, in decode engines: 1.5 is one and a half of them */
} MfStageSnapshot;

/* Decision about the split of the engines. */
typedef enum
{
  MF_STAGE_STAY,
  MF_STAGE_TO_DECODE,  /* change one prefill engine to decode */
  MF_STAGE_TO_PREFILL, /* change one decode engine to prefill */
} MfStageMove;

/* Moving averages of the load, and how long they have suggested a move. */
typedef struct
{
  double prefill_busy;
  double queued_prompts;
  double decode_used;
  uint64_t first_observed_us; /* start of the current series of observations; 0: none */
  uint64_t last_observed_us;
  MfStageMove wanted;
  uint64_t wanted_since_us;
} MfStageTrend;

uint32_t mf_stage_optimal_prefill (uint32_t n_engines, double prefill_busy, double decode_used);
MfStageMove mf_stage_decide (MfStageTrend *trend, const MfStageSnapshot *snapshot, uint64_t now_us);
void mf_stage_reset (MfStageTrend *trend);

#endif
