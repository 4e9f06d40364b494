#include "stage.h"

#include <math.h>

/* Observations count half after this time: shorter than the bursts of the sites (3 to 5 s), longer
 * than the swing of single requests. */
#define HALF_LIFE_US (2. * (double)MF_US_PER_S)
/* Nothing is decided on less than this: half of what the averages weigh was then seen. */
#define OBSERVED_MIN_US (2 * MF_US_PER_S)
/* A move is wanted for so long before it is made: some observations; and to give a decode engine
 * up, about as long as crashed engines are away. */
#define WANTED_MIN_US (500 * MF_US_PER_MS)
#define WANTED_PREFILL_MIN_US (3 * MF_US_PER_S)
/* Prefill engines beyond those that are busy on average, as a multiple of the square root of these:
 * prompts then seldom wait, for any number of engines (square-root staffing). While a prompt waits,
 * the place that is kept for it at a decode engine is lost. Measured against 1.0 (docs/POLICY.md).
 */
#define PREFILL_MARGIN 0.3
/* Part of the decode engines' memory that is planned to be taken; they are filled to 0.97. */
#define DECODE_USED_SHARE 0.95
/* Below this part of decode memory in use there is room for a burst of several times the traffic,
 * and nothing is moved. */
#define DECODE_PRESSURE_SHARE 0.25
/* Prompts at each prefill engine, that being read included, from which on they wait for longer than
 * they are read. */
#define QUEUE_PROMPTS 1.5
/* One prefill engine may be taken away and another crash, and prompts still be read. */
#define PREFILL_MIN 3
/* With fewer, the loss of one engine would leave none to answer. */
#define DECODE_MIN 2
/* For so many engines one more prefill engine is kept than wanted, as some are down at any time.
 * Measured with 22 engines, where a spare costs, and with 35, where it pays (docs/POLICY.md). */
#define ENGINES_PER_SPARE 30

/* Prefill engines that a service of so many engines is best served with, where reading a prompt
 * takes prefill_busy engines while its answers take decode_used. */
uint32_t
mf_stage_optimal_prefill (uint32_t n_engines, double prefill_busy, double decode_used)
{
  if (n_engines < PREFILL_MIN + DECODE_MIN || decode_used <= 0.)
    return n_engines / 2;
  for (uint32_t n_prefill = PREFILL_MIN; n_prefill < n_engines - DECODE_MIN; n_prefill++)
    {
      uint32_t n_decode = n_engines - n_prefill;
      /* What is read when this many decode engines are as full as planned. */
      double busy = prefill_busy * DECODE_USED_SHARE * n_decode / decode_used;

      if (busy + PREFILL_MARGIN * sqrt (busy) <= n_prefill)
        return n_prefill;
    }
  return n_engines - DECODE_MIN;
}

/* Forgets what was seen, after a gap in the observations. */
void
mf_stage_reset (MfStageTrend *trend)
{
  *trend = (MfStageTrend){ 0 };
}

static void
trend_add (MfStageTrend *trend, const MfStageSnapshot *snapshot, uint64_t now_us)
{
  double weight;

  if (trend->first_observed_us == 0)
    {
      trend->first_observed_us = now_us;
      trend->prefill_busy = snapshot->prefill_busy;
      trend->queued_prompts = snapshot->queued_prompts;
      trend->decode_used = snapshot->decode_used;
    }
  weight = 1. - exp2 (-(double)(now_us - trend->last_observed_us) / HALF_LIFE_US);
  trend->last_observed_us = now_us;
  trend->prefill_busy += weight * (snapshot->prefill_busy - trend->prefill_busy);
  trend->queued_prompts += weight * (snapshot->queued_prompts - trend->queued_prompts);
  trend->decode_used += weight * (snapshot->decode_used - trend->decode_used);
}

/* What the averages ask for. */
static MfStageMove
trend_wants (const MfStageTrend *trend, const MfStageSnapshot *snapshot)
{
  uint32_t n_engines = snapshot->n_prefill + snapshot->n_decode;
  uint32_t optimal;

  if (n_engines < PREFILL_MIN + DECODE_MIN || snapshot->n_prefill == 0 || snapshot->n_decode == 0)
    return MF_STAGE_STAY;
  optimal = mf_stage_optimal_prefill (n_engines, trend->prefill_busy, trend->decode_used);
  if (snapshot->n_prefill > optimal + n_engines / ENGINES_PER_SPARE
      && trend->queued_prompts < QUEUE_PROMPTS * snapshot->n_prefill
      && trend->decode_used > DECODE_PRESSURE_SHARE * snapshot->n_decode)
    return MF_STAGE_TO_DECODE;
  /* A change takes seconds in which the engine does neither: one that is missing alone is borne. */
  if (snapshot->n_prefill + 1 < optimal
      && trend->queued_prompts > QUEUE_PROMPTS * snapshot->n_prefill)
    return MF_STAGE_TO_PREFILL;
  return MF_STAGE_STAY;
}

/* Takes an observation and decides. A move is named each time until it shows in the view. */
MfStageMove
mf_stage_decide (MfStageTrend *trend, const MfStageSnapshot *snapshot, uint64_t now_us)
{
  MfStageMove wanted;
  uint64_t wanted_min_us;

  trend_add (trend, snapshot, now_us);
  wanted = trend_wants (trend, snapshot);
  if (wanted != trend->wanted)
    {
      trend->wanted = wanted;
      trend->wanted_since_us = now_us;
    }
  wanted_min_us = wanted == MF_STAGE_TO_PREFILL ? WANTED_PREFILL_MIN_US : WANTED_MIN_US;
  if (now_us - trend->first_observed_us < OBSERVED_MIN_US
      || now_us - trend->wanted_since_us < wanted_min_us)
    return MF_STAGE_STAY;
  return wanted;
}
