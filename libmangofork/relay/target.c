#include "target.h"

#include "load_report.h"

#include "libmangofork/clock.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Weight of one observation in a moving average; ten requests make a new picture. */
#define AVERAGE_WEIGHT 0.15
/* What was seen of an upstream counts half after this time, as slow and failing ones recover within
 * seconds. */
#define AVERAGE_HALF_LIFE_US (3. * (double)MF_US_PER_S)
/* An upstream that cannot be reached is left alone for this long, doubled with each failure. */
#define SUSPECT_FIRST_US (300 * MF_US_PER_MS)
#define SUSPECT_MAX_US (2400 * MF_US_PER_MS)
#define SUSPECT_DOUBLINGS 3
/* One instance may be cut off; two that cannot reach an upstream speak for the others. */
#define SUSPECT_QUORUM 2
/* Idle connections kept to one upstream; the busiest plain service of the sites needs three. */
#define IDLE_LINKS_MAX 8
/* An upstream that names no idle time may close at once; one second is the least it could name. */
#define IDLE_DEFAULT_US (500 * MF_US_PER_MS)
/* Round trips are below 50 ms between regions; a lost opening packet is sent again after a second.
 */
#define CONNECT_TIMEOUT_US (250 * MF_US_PER_MS)

/* An upstream that asks for a longer pause is asked again after this time. */
#define PAUSE_MAX_S 300.

/* An upstream that declined for want of room is not asked by others for so long; doubled each time,
 * up to the last, while it declines with nothing there: an engine that changes its stage does so
 * for seconds, and who has just started does not know of the order. */
#define DECLINED_US (120 * MF_US_PER_MS)
#define DECLINED_DOUBLINGS 4

static void
target_free (MfTarget *target)
{
  mf_link_pool_close (&target->pool);
  free (target);
}

/* A target that requests use stays in memory until the last lets go of it. */
MfTarget *
mf_target_ref (MfTarget *target)
{
  target->n_refs++;
  return target;
}

/* Lets go of a target; the last one frees it. */
void
mf_target_unref (MfTarget *target)
{
  if (--target->n_refs == 0)
    target_free (target);
}

/* The upstream of an id; NULL when it is not known. */
MfTarget *
mf_targets_find (const MfTargets *targets, const char *id)
{
  for (MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      if (strcmp (target->info.id, id) == 0)
        return target;
    }
  return NULL;
}

/* The upstream that instances name to each other by this hash; NULL when it is not known here. */
MfTarget *
mf_targets_by_hash (const MfTargets *targets, uint64_t hash)
{
  for (MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      if (target->id_hash == hash)
        return target;
    }
  return NULL;
}

/* Names the process, which a later one of the same id is not. Never 0. */
uint64_t
mf_target_process_id (const MfTarget *target)
{
  uint64_t parts[] = { target->id_hash, target->info.started_ms };
  uint64_t process = XXH3_64bits (parts, sizeof parts);

  return process != 0 ? process : 1;
}

static void
target_record_end (MfTarget *target, const char *why)
{
  MfTargets *targets = target->targets;

  target->ended_us = mf_clock_now_us ();
  if (targets->callbacks != NULL)
    targets->callbacks->ended (targets->user_data, target, why);
}

static void
on_refused (void *owner)
{
  target_record_end (owner, "nothing listens at its address");
}

static void
on_probe_end (void *data, MfLinkEnd end, const char *why)
{
  MfTarget *target = data;

  (void)why;
  target->probe = NULL;
  if (end != MF_LINK_COMPLETE)
    mf_target_record_failure (target, true, mf_clock_now_us ());
  if (target->targets->callbacks != NULL)
    target->targets->callbacks->probed (target->targets->user_data, target);
  mf_target_unref (target);
}

static const MfLinkCallbacks probe_callbacks = {
  .end = on_probe_end,
};

/* Opens a connection to see whether the process is there. */
void
mf_target_probe (MfTarget *target)
{
  if (target->probe != NULL || !target->listed)
    return;
  target->probe = mf_link_open (&target->pool, &probe_callbacks, target);
  if (target->probe != NULL)
    mf_target_ref (target);
}

static void
probe_cancel (MfTarget *target)
{
  if (target->probe == NULL)
    return;
  mf_link_cancel (target->probe);
  target->probe = NULL;
  mf_target_unref (target);
}

static void
target_drop (MfTargets *targets, MfTarget *dropped)
{
  for (MfTarget **link = &targets->first; *link != NULL; link = &(*link)->next)
    {
      if (*link != dropped)
        continue;
      *link = dropped->next;
      targets->n_targets--;
      probe_cancel (dropped);
      mf_link_pool_close (&dropped->pool);
      dropped->pool.n_idle_max = 0;
      dropped->listed = false;
      mf_target_unref (dropped);
      return;
    }
}

/* Takes from the head of an answer what its upstream says of itself. */
static void
on_answer_head (void *owner, const MfHead *head, uint32_t status)
{
  MfTarget *target = owner;
  char value[32] = "";
  double pause_s = 0.;

  if (mf_head_count (head, MF_HEADER_LEAVING) > 0
      && !(mf_head_copy (head, MF_HEADER_LEAVING, value, sizeof value) && strcmp (value, "0") == 0))
    mf_target_record_leaving (target);
  if (status != 503 || mf_head_count (head, MF_HEADER_RETRY_AFTER) == 0)
    return;
  if (mf_head_seconds (head, MF_HEADER_RETRY_AFTER, &pause_s))
    {
      mf_target_pause (target, pause_s, mf_clock_now_us ());
      return;
    }
  mf_head_copy (head, MF_HEADER_RETRY_AFTER, value, sizeof value);
  if (target->targets->log != NULL)
    mf_relay_log_state (target->targets->log, "upstream.pause_unreadable",
                        "upstream=%s value=\"%s\"", target->info.id, value);
}

/* Whether the process of an entry has said that it is about to stop. Where one of the two names no
 * time of birth, they are taken for the same process. */
static bool
has_departed (const MfTargets *targets, const MfTarget *target)
{
  uint32_t n_kept = targets->n_departures < MF_TARGETS_DEPARTURES_MAX ? targets->n_departures
                                                                      : MF_TARGETS_DEPARTURES_MAX;

  for (uint32_t i = 0; i < n_kept; i++)
    {
      const MfDeparture *departure = &targets->departures[i];

      if (departure->id_hash == target->id_hash
          && (departure->started_ms == target->info.started_ms || departure->started_ms == 0
              || target->info.started_ms == 0))
        return true;
    }
  return false;
}

static MfTarget *
target_add (MfTargets *targets, const MfTargetInfo *info)
{
  MfTarget *target = calloc (1, sizeof *target);

  if (target == NULL)
    return NULL;
  target->info = *info;
  target->pool = (MfLinkPool){
    .loop = targets->loop,
    .dialect = targets->dialect,
    .n_idle_max = IDLE_LINKS_MAX,
    .idle_default_us = IDLE_DEFAULT_US,
    .connect_timeout_us = CONNECT_TIMEOUT_US,
    .unacked_timeout_us = targets->unacked_timeout_us,
    .on_response = on_answer_head,
    .refused = on_refused,
    .owner = target,
  };
  target->targets = targets;
  memcpy (target->pool.address, info->address, sizeof target->pool.address);
  target->id_hash = mf_load_hash (info->id);
  target->announced_leaving = has_departed (targets, target);
  target->n_refs = 1;
  target->next = targets->first;
  targets->first = target;
  targets->n_targets++;
  return target;
}

/* Of two processes at one address only the one that was started last is there. Discovery names the
 * other until its entry lapses. */
static void
targets_replace (MfTargets *targets, MfTarget *added)
{
  for (MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      MfTarget *older = target;

      if (target == added || strcmp (target->info.address, added->info.address) != 0)
        continue;
      if (target->info.started_ms > added->info.started_ms)
        older = added;
      mf_target_mark_replaced (older, UINT64_MAX);
    }
}

/* Adds an upstream, or renews what is known of it. A process that was started anew, or has moved,
 * begins without a past. Returns what was done: whether anything changed. */
bool
mf_targets_update (MfTargets *targets, const MfTargetInfo *info)
{
  MfTarget *target = mf_targets_find (targets, info->id);
  bool changed;

  if (target != NULL
      && (strcmp (target->info.address, info->address) != 0
          || target->info.started_ms != info->started_ms
          || strcmp (target->info.service, info->service) != 0))
    {
      target_record_end (target, "it was started anew");
      target_drop (targets, target);
      target = NULL;
    }
  changed = target == NULL;
  if (target == NULL)
    {
      target = target_add (targets, info);
      if (target == NULL)
        return false;
      targets_replace (targets, target);
      if (targets->callbacks != NULL && !target->replaced)
        targets->callbacks->added (targets->user_data, target);
    }
  changed = changed || target->info.leaving != info->leaving || target->info.role != info->role
            || target->unlisted_us != 0;
  target->info = *info;
  target->listed = true;
  target->unlisted_us = 0;
  return changed;
}

/* Discovery no longer names it. Unless at once, it stays in use until mf_targets_expire. */
bool
mf_targets_remove (MfTargets *targets, const char *id, bool at_once, uint64_t now_us)
{
  MfTarget *target = mf_targets_find (targets, id);

  if (target == NULL)
    return false;
  if (at_once)
    target_drop (targets, target);
  else if (target->unlisted_us == 0)
    target->unlisted_us = now_us;
  else
    return false;
  return true;
}

/* Drops what was removed, not at once, before this time. */
uint32_t
mf_targets_expire (MfTargets *targets, uint64_t before_us)
{
  uint32_t n_dropped = 0;
  MfTarget *next;

  for (MfTarget *target = targets->first; target != NULL; target = next)
    {
      next = target->next;
      if (target->unlisted_us == 0 || target->unlisted_us > before_us)
        continue;
      target_drop (targets, target);
      n_dropped++;
    }
  return n_dropped;
}

/* Marks all as not seen, before a full list is read. */
void
mf_targets_begin_list (MfTargets *targets)
{
  for (MfTarget *target = targets->first; target != NULL; target = target->next)
    target->listed = false;
}

/* Drops all upstreams; those in use stay until they are let go of. */
void
mf_targets_clear (MfTargets *targets)
{
  while (targets->first != NULL)
    target_drop (targets, targets->first);
}

/* A request with so many tokens begins there. */
void
mf_target_begin_request (MfTarget *target, uint64_t tokens, uint64_t now_us)
{
  if (target->n_active++ == 0)
    target->silent_since_us = now_us;
  target->active_tokens += tokens;
}

/* A request with so many tokens has ended there. */
void
mf_target_end_request (MfTarget *target, uint64_t tokens)
{
  target->n_active--;
  target->active_tokens -= tokens;
}

/* A request there has come to need so many more. */
void
mf_target_add_tokens (MfTarget *target, uint64_t tokens)
{
  target->active_tokens += tokens;
}

/* Keeps room for a request that will come there; given back before it comes. */
void
mf_target_reserve (MfTarget *target, uint64_t tokens)
{
  target->n_reserved++;
  target->reserved_tokens += tokens;
}

/* Gives back room that was kept. */
void
mf_target_unreserve (MfTarget *target, uint64_t tokens)
{
  target->n_reserved--;
  target->reserved_tokens -= tokens;
}

/* All that is there or about to be, of all instances, as far as this one knows. */
uint32_t
mf_target_load (const MfTarget *target)
{
  return target->n_active + target->n_reserved + target->n_remote;
}

/* Engine memory in tokens of all that is there or about to be, of all instances. */
uint64_t
mf_target_load_tokens (const MfTarget *target)
{
  return target->active_tokens + target->reserved_tokens + target->remote_tokens;
}

/* Whether it is about to stop, by discovery or by its own word. */
bool
mf_target_is_leaving (const MfTarget *target)
{
  return target->info.leaving || target->announced_leaving;
}

/* Whether it takes requests of this instance: it is not leaving and has not asked for a pause. */
bool
mf_target_accepts (const MfTarget *target, uint64_t now_us)
{
  return !mf_target_is_leaving (target) && target->paused_until_us <= now_us;
}

/* The process says that it is about to stop. That outlasts its entry in discovery and ends with the
 * next process of this id. */
void
mf_target_record_leaving (MfTarget *target)
{
  MfTargets *targets = target->targets;

  if (target->announced_leaving)
    return;
  target->announced_leaving = true;
  targets->departures[targets->n_departures++ % MF_TARGETS_DEPARTURES_MAX]
      = (MfDeparture){ .id_hash = target->id_hash, .started_ms = target->info.started_ms };
  if (targets->log != NULL)
    mf_relay_log_state (targets->log, "upstream.leaving",
                        "upstream=%s service=%s listed_leaving=%s in_flight=%u", target->info.id,
                        target->info.service, target->info.leaving ? "yes" : "no",
                        target->n_active);
}

/* The process wants no requests of this instance for so many seconds. */
void
mf_target_pause (MfTarget *target, double pause_s, uint64_t now_us)
{
  double bounded_s = pause_s < PAUSE_MAX_S ? pause_s : PAUSE_MAX_S;
  uint64_t until_us = now_us + (uint64_t)(bounded_s * (double)MF_US_PER_S);

  if (until_us <= target->paused_until_us)
    return;
  target->paused_until_us = until_us;
  if (target->targets->log != NULL)
    mf_relay_log_state (target->targets->log, "upstream.paused",
                        "upstream=%s service=%s asked_s=%.3f pause_s=%.3f in_flight=%u",
                        target->info.id, target->info.service, pause_s, bounded_s,
                        target->n_active);
}

/* Whether requests are to be kept from it: this instance avoids it, another met a different process
 * in its place, or several others cannot reach it and fewer get answers. */
bool
mf_target_is_suspect (const MfTarget *target, uint64_t now_us)
{
  bool others_avoid = target->n_remote_replaced > 0
                      || (target->n_remote_unreachable >= SUSPECT_QUORUM
                          && target->n_remote_unreachable > target->n_remote_answering);

  return target->suspect_until_us > now_us
         || (others_avoid && target->remote_avoid_until_us > now_us);
}

/* A sign of life. */
void
mf_target_record_alive (MfTarget *target, uint64_t now_us)
{
  target->alive_us = now_us;
  target->silent_since_us = now_us;
  target->n_failures = 0;
  target->suspect_until_us = 0;
  target->replaced = false;
}

/* Another process answers at its address: it is left alone until discovery has told of it. */
void
mf_target_mark_replaced (MfTarget *target, uint64_t until_us)
{
  target->suspect_until_us = until_us;
  target->replaced = true;
  target->alive_us = 0;
  target_record_end (target, "another process answers at its address");
}

/* How much an observation of this time still counts, 0 to 1. */
static double
age_weight (uint64_t seen_us, uint64_t now_us)
{
  return exp2 (-(double)(now_us - seen_us) / AVERAGE_HALF_LIFE_US);
}

static void
average_add (double *average, double value)
{
  *average = *average <= 0. ? value : *average + AVERAGE_WEIGHT * (value - *average);
}

/* It declined a request for want of room. */
void
mf_target_record_decline (MfTarget *target, uint64_t now_us)
{
  uint32_t doublings
      = target->n_declined < DECLINED_DOUBLINGS ? target->n_declined : DECLINED_DOUBLINGS;

  target->n_declined = mf_target_load (target) == 0 ? target->n_declined + 1 : 0;
  target->full_until_us
      = now_us + (target->n_declined > 0 ? DECLINED_US << doublings : DECLINED_US);
}

/* It answered in good order after so long. */
void
mf_target_record_answer (MfTarget *target, uint64_t answer_us, uint64_t now_us)
{
  mf_target_record_alive (target, now_us);
  target->n_declined = 0;
  average_add (&target->answer_us, (double)answer_us);
  target->answered_us = now_us;
  target->failure_share = mf_target_failure_share (target, now_us) * (1. - AVERAGE_WEIGHT);
  target->failed_us = now_us;
}

/* It read a prompt of so many tokens, queueing included. */
void
mf_target_record_prefill (MfTarget *target, uint64_t tokens, uint64_t prefill_us, uint64_t now_us)
{
  if (tokens > 0)
    average_add (&target->us_per_token, (double)prefill_us / (double)tokens);
  mf_target_record_answer (target, prefill_us, now_us);
}

/* It answered with a failure, or not at all. */
void
mf_target_record_failure (MfTarget *target, bool unreachable, uint64_t now_us)
{
  double share = mf_target_failure_share (target, now_us);
  uint32_t doublings;
  uint64_t avoid_us;

  target->failure_share = share + AVERAGE_WEIGHT * (1. - share);
  target->failed_us = now_us;
  target->alive_us = 0;
  if (!unreachable)
    return;
  doublings = target->n_failures < SUSPECT_DOUBLINGS ? target->n_failures : SUSPECT_DOUBLINGS;
  target->n_failures++;
  avoid_us = SUSPECT_FIRST_US << doublings;
  if (avoid_us > SUSPECT_MAX_US)
    avoid_us = SUSPECT_MAX_US;
  if (now_us + avoid_us > target->suspect_until_us)
    target->suspect_until_us = now_us + avoid_us;
  mf_link_pool_close (&target->pool);
}

/* The share of failures as it counts now: it fades with time. */
double
mf_target_failure_share (const MfTarget *target, uint64_t now_us)
{
  return target->failure_share * age_weight (target->failed_us, now_us);
}

/* What an answer takes there by all that was seen; unseen targets are given fallback_us. */
double
mf_target_answer_us (const MfTarget *target, double fallback_us, uint64_t now_us)
{
  double weight;

  if (target->answer_us <= 0.)
    return fallback_us;
  weight = age_weight (target->answered_us, now_us);
  return target->answer_us * weight + fallback_us * (1. - weight);
}
