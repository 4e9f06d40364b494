#ifndef MF_RELAY_STAGE_H
#define MF_RELAY_STAGE_H

#include "libmangofork/types.h"

/* How the engines of one service stand at a moment. */
typedef struct
{
  uint32_t n_prefill;    /* engines that read prompts, those being changed to it included */
  uint32_t n_decode;     /* the same for decode engines */
  double prefill_busy;   /* prefill engines with a prompt to read */
  double queued_prompts; /* at the prefill engines, those being read included */
  double decode_used;    /* decode engines' worth of slots or memory that is taken */
} MfStageSnapshot;

/* What to do about it. */
typedef enum
{
  MF_STAGE_STAY,
  MF_STAGE_TO_DECODE,  /* one prefill engine is to become a decode engine */
  MF_STAGE_TO_PREFILL, /* and the other way round */
} MfStageMove;

/* Moving averages of what was seen, and how long they have asked for a move. */
typedef struct
{
  double prefill_busy;
  double queued_prompts;
  double decode_used;
  uint64_t first_observed_us; /* of the observations in a row; 0: none yet */
  uint64_t last_observed_us;
  MfStageMove wanted;
  uint64_t wanted_since_us;
} MfStageTrend;

uint32_t mf_stage_optimal_prefill (uint32_t n_engines, double prefill_busy, double decode_used);
MfStageMove mf_stage_decide (MfStageTrend *trend, const MfStageSnapshot *snapshot, uint64_t now_us);
void mf_stage_reset (MfStageTrend *trend);

#endif
