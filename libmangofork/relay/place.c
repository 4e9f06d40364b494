#include "place.h"

#include "load.h"

#include <string.h>

/* Response time of a plain service before any was observed: about the processing time of the known
 * services. */
#define DEFAULT_ANSWER_US 15000.
/* Prefill time per token before any was observed. */
#define DEFAULT_US_PER_TOKEN 18.
/* Cost of an answer from another data centre beside its time: traffic between data centres is
 * priced at about 2 % of the value of a plain request. */
#define CROSS_DATA_CENTRE_COST_US 4000.
/* Transferring KV to another data centre takes twice the link time; avoiding it is worth this share
 * of additional load. */
#define CROSS_DATA_CENTRE_KV_SHARE 0.08
/* Least relative cost of an upstream in another data centre for a request that is to leave. */
#define LEAVING_COST_MIN 0.5
/* Weight of the requests of this instance at an upstream: they stand for those of other instances
 * as well, whose load at plain services is unknown. */
#define OTHER_INSTANCES_FACTOR 2.
/* A suspect request waits this long rather than run beside another. */
#define SUSPECT_COST_US 1e6
/* Relative cost of an upstream that fails every request. */
#define FAILURE_COST_FACTOR 12.

/* Relative cost of an upstream with a rate limit: others are used first. */
#define LIMITED_COST_FACTOR 2.
/* Only an answer shows that a limit has ended: an upstream whose limit no answer has confirmed for
 * this long is preferred while this instance has no request there. */
#define LIMIT_CONFIRMED_US (1 * MF_US_PER_S)
#define UNCONFIRMED_COST_FACTOR 0.1

/* Relative cost of an upstream at which this instance would exceed its part of the connections that
 * the upstream accepts from all. It resets connections beyond them. */
#define CROWDED_COST_FACTOR 4.

/* Whether an upstream is in a list of those to avoid. */
bool
mf_place_avoids (const uint64_t *avoid, uint32_t n_avoid, const MfTarget *target)
{
  for (uint32_t i = 0; i < n_avoid; i++)
    {
      if (avoid[i] == target->id_hash)
        return true;
    }
  return false;
}

/* Whether an upstream is of the kind that the request needs and has not left. */
static bool
is_eligible (const MfTarget *target, const MfPlaceQuery *query, uint64_t now_us)
{
  return !mf_target_has_left (target) && target->info.role == query->role
         && mf_target_serves_version (target, query->version, now_us)
         && strcmp (target->info.service, query->service) == 0;
}

/* Whether another process answers at its address, as this instance has seen itself. */
static bool
is_replaced (const MfTarget *target, uint64_t now_us)
{
  return target->replaced && target->suspect_until_us > now_us;
}

/* Whether the upstream is in the data centre of the sending instance. */
static bool
is_same_data_centre (const MfTarget *target, const MfPlaceQuery *query)
{
  return strcmp (target->info.data_centre, query->data_centre) == 0;
}

/* Whether KV has to be moved to or from another data centre if the upstream is chosen. */
static bool
moves_kv (const MfTarget *target, const MfPlaceQuery *query)
{
  const char *other_end
      = query->role == MF_ROLE_DECODE ? query->kv_data_centre : query->decode_data_centre;

  return query->role != MF_ROLE_PLAIN
         && (other_end != NULL ? strcmp (other_end, target->info.data_centre) != 0
                               : !is_same_data_centre (target, query));
}

/* Adds to the cost of an upstream what spillover says of its data centre. An upstream of the
 * sender's data centre costs more only if KV has to come from another one, or go there. */
static double
spillover_cost_us (double cost_us, const MfTarget *target, const MfPlaceQuery *query,
                   uint64_t now_us)
{
  uint64_t kv_tokens = moves_kv (target, query) ? query->tokens : 0;
  double crossed_us;

  if (is_same_data_centre (target, query))
    return cost_us + mf_spillover_kv_us (query->spillover, kv_tokens);
  crossed_us = cost_us
               + mf_spillover_cost_us (query->spillover,
                                       &(MfSpilloverQuery){
                                           .service = query->service,
                                           .role = query->role,
                                           .data_centre = target->info.data_centre,
                                           .request_bytes = query->request_bytes,
                                           .kv_moved_tokens = kv_tokens,
                                           .is_central = query->is_grant,
                                           .draw = query->tie_break,
                                       },
                                       now_us);
  return crossed_us > cost_us * LEAVING_COST_MIN ? crossed_us : cost_us * LEAVING_COST_MIN;
}

/* Time since the last sign of life of an upstream with running requests. */
static double
silence_us (const MfTarget *target, uint64_t now_us)
{
  return target->n_active > 0 ? (double)(now_us - target->silent_since_us) : 0.;
}

static double
plain_cost_us (const MfTarget *target, const MfPlaceQuery *query, uint64_t now_us)
{
  double answer_us = mf_target_answer_us (target, DEFAULT_ANSWER_US, now_us);
  double silent_us = silence_us (target, now_us);
  uint32_t slots = target->info.slots > 0 ? target->info.slots : 1;

  if (silent_us > answer_us)
    answer_us = silent_us;
  answer_us *= 1. + OTHER_INSTANCES_FACTOR * target->n_active / slots;
  if (query->spillover != NULL)
    return spillover_cost_us (answer_us, target, query, now_us);
  return answer_us + (is_same_data_centre (target, query) ? 0. : CROSS_DATA_CENTRE_COST_US);
}

static double
prefill_cost_us (const MfTarget *target, const MfPlaceQuery *query, uint64_t now_us)
{
  double us_per_token = target->us_per_token > 0. ? target->us_per_token : DEFAULT_US_PER_TOKEN;
  double silent_us = silence_us (target, now_us);
  double cost_us = us_per_token * (double)(mf_target_load_tokens (target) + query->tokens);

  /* The engine declines prompts for now. When all do, the one that may accept first is chosen. */
  if (target->full_until_us > now_us)
    cost_us += (double)MF_US_PER_S + (double)(target->full_until_us - now_us);
  if (silent_us > cost_us)
    cost_us = silent_us;
  if (query->spillover != NULL)
    return spillover_cost_us (cost_us, target, query, now_us);
  return cost_us + (is_same_data_centre (target, query) ? 0. : CROSS_DATA_CENTRE_COST_US);
}

/* Cost of a decode: how full the engine is, as a share of its slots or its KV capacity, whichever
 * is higher. */
static double
decode_cost (const MfTarget *target, const MfPlaceQuery *query, uint64_t now_us)
{
  uint32_t slots = target->info.slots > 0 ? target->info.slots : 1;
  double slot_share = (double)(mf_target_load (target) + 1) / slots;
  double kv_share = 0.;
  double share;

  if (query->service_config != NULL && query->service_config->kv_capacity_tokens > 0)
    kv_share = (double)(mf_target_load_tokens (target) + query->tokens)
               / (double)query->service_config->kv_capacity_tokens;
  share = slot_share > kv_share ? slot_share : kv_share;
  if (query->spillover == NULL && moves_kv (target, query))
    share += CROSS_DATA_CENTRE_KV_SHARE;
  if (target->full_until_us > now_us)
    share += 1.;
  /* With running streams, a second without an event is too long for a normal pause. */
  if (silence_us (target, now_us) > (double)MF_US_PER_S)
    share += 2.;
  share *= (double)MF_US_PER_S;
  return query->spillover != NULL ? spillover_cost_us (share, target, query, now_us) : share;
}

/* Whether a request there would open a connection beyond this instance's part of them. */
static bool
is_crowded (const MfTarget *target, const MfPlaceQuery *query)
{
  return query->connections_max > 0 && target->pool.n_idle == 0
         && target->pool.n_links >= query->connections_max;
}

static double
limited_factor (const MfTarget *target, uint64_t now_us)
{
  bool is_confirmed = now_us < target->limit.heard_us + LIMIT_CONFIRMED_US;

  return is_confirmed || target->n_active > 0 ? LIMITED_COST_FACTOR : UNCONFIRMED_COST_FACTOR;
}

/* Returns the expected time to the answer in microseconds, with penalties. */
double
mf_place_cost_us (const MfTarget *target, const MfPlaceQuery *query, uint64_t now_us)
{
  double cost_us;
  double failure_share;

  switch (query->role)
    {
    case MF_ROLE_PREFILL:
      cost_us = prefill_cost_us (target, query, now_us);
      break;
    case MF_ROLE_DECODE:
      cost_us = decode_cost (target, query, now_us);
      break;
    default:
      cost_us = plain_cost_us (target, query, now_us);
      break;
    }
  if (query->avoid_suspects && target->n_suspects > 0)
    cost_us += SUSPECT_COST_US;
  if (mf_target_is_limited (target))
    cost_us *= limited_factor (target, now_us);
  if (is_crowded (target, query))
    cost_us *= CROWDED_COST_FACTOR;
  failure_share = mf_target_failure_share (target, now_us);
  if (target->remote_failure_share > failure_share)
    failure_share = target->remote_failure_share;
  return cost_us * (1. + FAILURE_COST_FACTOR * failure_share);
}

/* Whether an upstream is kept for streams that its version has begun. */
static bool
is_kept (const MfTarget *target, const MfPlaceQuery *query)
{
  for (uint32_t i = 0; query->version == 0 && i < query->n_kept_versions; i++)
    {
      if (query->kept_versions[i] == target->version)
        return true;
    }
  return false;
}

static const char *const obstacle_names[] = {
  [MF_PLACE_NO_OBSTACLE] = "",
  [MF_PLACE_SUSPECT] = "cannot be reached; used only if there is no other",
  [MF_PLACE_NOT_ELIGIBLE] = "has left, or has another role, service or version",
  [MF_PLACE_CHANGING] = "changes its stage",
  [MF_PLACE_PAUSED] = "has asked for a pause, or is held back",
  [MF_PLACE_LIMITED] = "its rate limit is reached",
  [MF_PLACE_PACED] = "its rate limit admits no further grant yet",
  [MF_PLACE_AVOIDED] = "has declined or failed the request",
  [MF_PLACE_KEPT] = "is kept for streams of its version",
  [MF_PLACE_FULL] = "has no free capacity",
  [MF_PLACE_REPLACED] = "another process answers at its address",
};

/* Returns an obstacle in words; "" for none. */
const char *
mf_place_obstacle_text (MfPlaceObstacle obstacle)
{
  return obstacle_names[obstacle];
}

/* Returns why an upstream is not to be chosen for the request. */
MfPlaceObstacle
mf_place_obstacle (const MfTarget *target, const MfPlaceQuery *query, uint64_t now_us)
{
  if (!is_eligible (target, query, now_us))
    return MF_PLACE_NOT_ELIGIBLE;
  if (target->stage_until_us > now_us)
    return MF_PLACE_CHANGING;
  if (!mf_target_accepts (target, now_us))
    return MF_PLACE_PAUSED;
  if (!mf_target_rate_ready (target, query->max_wait_us, now_us))
    return MF_PLACE_LIMITED;
  if (query->is_grant && target->dispatch_after_us > now_us)
    return MF_PLACE_PACED;
  if (mf_place_avoids (query->avoid, query->n_avoid, target))
    return MF_PLACE_AVOIDED;
  if (is_kept (target, query))
    return MF_PLACE_KEPT;
  if (query->must_fit && !mf_load_fits (target, query->service_config, query->tokens, now_us))
    return MF_PLACE_FULL;
  if (!mf_target_is_suspect (target, now_us))
    return MF_PLACE_NO_OBSTACLE;
  /* Another process would only decline what is meant for this one. */
  return is_replaced (target, now_us) ? MF_PLACE_REPLACED : MF_PLACE_SUSPECT;
}

/* Returns the upstream that is expected to answer first. Returns NULL when none is usable;
 * any_available then says whether one of this role is known that is not leaving. */
MfTarget *
mf_place_choose (const MfTargets *targets, const MfPlaceQuery *query, uint64_t now_us,
                 bool *any_available)
{
  MfTarget *best = NULL;
  MfTarget *suspect = NULL;
  double best_us = 0.;
  uint32_t n_equal = 0;

  *any_available = false;
  for (MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      MfPlaceObstacle obstacle = mf_place_obstacle (target, query, now_us);
      double cost_us;

      if (obstacle == MF_PLACE_NOT_ELIGIBLE || obstacle == MF_PLACE_CHANGING)
        continue;
      *any_available = true;
      if (obstacle == MF_PLACE_SUSPECT
          && (suspect == NULL || target->suspect_until_us < suspect->suspect_until_us))
        suspect = target;
      if (obstacle != MF_PLACE_NO_OBSTACLE)
        continue;
      cost_us = mf_place_cost_us (target, query, now_us);
      if (best == NULL || cost_us < best_us * 0.999)
        {
          best = target;
          best_us = cost_us;
          n_equal = 1;
        }
      else if (cost_us <= best_us * 1.001 && query->tie_break % ++n_equal == 0)
        best = target;
    }
  return best != NULL ? best : suspect;
}

/* Whether there is an upstream for the request that is neither leaving nor in its list to avoid. */
bool
mf_place_has_any (const MfTargets *targets, const MfPlaceQuery *query, uint64_t now_us)
{
  for (const MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      if (is_eligible (target, query, now_us)
          && !mf_place_avoids (query->avoid, query->n_avoid, target))
        return true;
    }
  return false;
}

/* Returns when the first upstream for the request takes requests again, after the pause that it
 * asked for or as its rate limit admits, in time of the monotonic clock; 0 when one takes requests
 * now or all are leaving. */
uint64_t
mf_place_available_us (const MfTargets *targets, const MfPlaceQuery *query, uint64_t now_us)
{
  uint64_t first_us = 0;

  for (const MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      uint64_t available_us = mf_target_available_us (target);

      if (!is_eligible (target, query, now_us))
        continue;
      if (available_us <= now_us)
        return 0;
      if (first_us == 0 || available_us < first_us)
        first_us = available_us;
    }
  return first_us;
}
