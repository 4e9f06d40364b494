#include "stage.h"

#include <math.h>

/* Half-life of an observation: longer than the fluctuation caused by single requests, shorter than
 * the bursts at the known sites (3 to 5 s). */
#define HALF_LIFE_US (2. * (double)MF_US_PER_S)
/* Minimum time observed before the first decision; half of the averages' weight is then covered. */
#define OBSERVED_MIN_US (2 * MF_US_PER_S)
/* How long the averages must suggest a move before it is made: for a few observations, or, if it
 * takes away a decode engine, for about as long as a crashed engine is down. */
#define WANTED_MIN_US (500 * MF_US_PER_MS)
#define WANTED_PREFILL_MIN_US (3 * MF_US_PER_S)
/* Prefill engines kept beyond those busy on average, as a multiple of the square root of their
 * number (square-root staffing): prompts then seldom wait, for any number of engines. While a
 * prompt waits, the slot reserved for it at a decode engine is wasted. Compared with 1.0 in
 * docs/POLICY.md. */
#define PREFILL_MARGIN 0.3
/* Planned share of the decode capacity in use; the dispatcher fills engines up to 0.97. */
#define DECODE_USED_SHARE 0.95
/* Below this share of the decode capacity in use, a burst of several times the traffic still fits,
 * and no engine is moved. */
#define DECODE_PRESSURE_SHARE 0.25
/* From this number of prompts per prefill engine on, including the one being processed, prompts
 * wait longer than their prefill takes. */
#define QUEUE_PROMPTS 1.5
/* Prefill still works after one engine is taken away and another crashes. */
#define PREFILL_MIN 3
/* With fewer, the loss of one engine would leave none to decode. */
#define DECODE_MIN 2
/* One spare prefill engine is kept per this many engines, as some are down at any time. With 22
 * engines a spare costs more than it gains, with 35 it pays (docs/POLICY.md). */
#define ENGINES_PER_SPARE 30

/* Best number of prefill engines for a service with n_engines engines whose prefills keep
 * prefill_busy engines busy and whose answers fill decode_used engines. */
uint32_t
mf_stage_optimal_prefill (uint32_t n_engines, double prefill_busy, double decode_used)
{
  if (n_engines < PREFILL_MIN + DECODE_MIN || decode_used <= 0.)
    return n_engines / 2;
  for (uint32_t n_prefill = PREFILL_MIN; n_prefill < n_engines - DECODE_MIN; n_prefill++)
    {
      uint32_t n_decode = n_engines - n_prefill;
      /* Prefill load when this many decode engines are filled as planned. */
      double busy = prefill_busy * DECODE_USED_SHARE * n_decode / decode_used;

      if (busy + PREFILL_MARGIN * sqrt (busy) <= n_prefill)
        return n_prefill;
    }
  return n_engines - DECODE_MIN;
}

/* Discards all observations, after a gap in them. */
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

/* Returns the move that the averages suggest. */
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
  /* An engine does neither stage for the seconds that a change takes: a lack of only one is
   * accepted. */
  if (snapshot->n_prefill + 1 < optimal
      && trend->queued_prompts > QUEUE_PROMPTS * snapshot->n_prefill)
    return MF_STAGE_TO_PREFILL;
  return MF_STAGE_STAY;
}

/* Adds an observation and decides. A move is returned each time until it shows in the snapshot. */
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
