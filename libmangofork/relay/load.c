#include "load.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Share of the expected answer that counts towards the KV use of a request. On average half of an
 * answer is generated; the rest allows for a few requests that are near their end at once. */
#define ANSWER_KV_SHARE 0.6
/* Share of the KV capacity of an engine that is filled; the rest is for answers longer than
 * expected. */
#define FILL_SHARE_MAX 0.97
/* An upstream without requests is reported only from this failure share on. */
#define FAILURE_REPORT_MIN_PERCENT 10
/* Upper bound of the avoidance time in one report; later reports extend it. */
#define AVOIDED_MAX_US (10 * MF_US_PER_S)
/* An upstream with running streams sends several events within this time; after it, the upstream
 * counts as silent. */
#define ANSWERING_US (1 * MF_US_PER_S)

/* Returns the expected length of an answer, from the caller's estimate and the recent average. */
uint64_t
mf_load_answer_tokens (uint64_t hint_tokens, uint64_t typical_tokens, uint64_t max_tokens)
{
  double answer = typical_tokens > 0 ? (double)typical_tokens : (double)max_tokens / 2.;

  /* The estimate is right at the median but often far off, so the geometric mean with the average
   * is used. */
  if (hint_tokens > 0)
    answer = sqrt (answer * (double)hint_tokens);
  if (answer > (double)max_tokens)
    answer = (double)max_tokens;
  return (uint64_t)answer;
}

/* Returns the expected KV use of a request: its whole prompt and part of the answer, because the
 * requests of an engine do not end at the same time. hint_tokens is the caller's estimate of the
 * answer length (0: none), typical_tokens the recent average (0: none), max_tokens the limit of the
 * answer. */
uint64_t
mf_load_kv_tokens (uint64_t prompt_tokens, uint64_t hint_tokens, uint64_t typical_tokens,
                   uint64_t max_tokens)
{
  uint64_t answer = mf_load_answer_tokens (hint_tokens, typical_tokens, max_tokens);

  return prompt_tokens + (uint64_t)((double)answer * ANSWER_KV_SHARE);
}

/* Whether an engine has capacity for a request of this many tokens beside its present load. */
bool
mf_load_fits (const MfTarget *target, const MfRouteService *config, uint64_t tokens,
              uint64_t now_us)
{
  uint64_t capacity = (uint64_t)((double)config->kv_capacity_tokens * FILL_SHARE_MAX);

  if (target->full_until_us > now_us)
    return false;
  if (mf_target_load (target) == 0)
    return true;
  if (target->info.slots > 0 && mf_target_load (target) >= target->info.slots)
    return false;
  return capacity == 0 || mf_target_load_tokens (target) + tokens <= capacity;
}

/* Returns the hash that identifies an upstream or an instance in messages between instances; never
 * 0. */
uint64_t
mf_load_hash (const char *name)
{
  uint64_t hash = XXH3_64bits (name, strlen (name));

  return hash != 0 ? hash : 1;
}

static MfReachability
target_reachability (const MfTarget *target, uint64_t now_us)
{
  if (target->suspect_until_us > now_us)
    return target->replaced ? MF_REACHABILITY_REPLACED : MF_REACHABILITY_UNREACHABLE;
  if (target->alive_us > 0 && now_us - target->alive_us < ANSWERING_US)
    return MF_REACHABILITY_ANSWERING;
  return MF_REACHABILITY_UNKNOWN;
}

/* Fills a report with the load of this instance at the engines. */
void
mf_load_fill_report (const MfTargets *targets, MfLoadReport *report, uint64_t now_us)
{
  for (const MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      uint32_t n_own = target->n_active + target->n_reserved;
      uint32_t failure_percent = (uint32_t)(mf_target_failure_share (target, now_us) * 100.);
      uint64_t avoided_us
          = target->suspect_until_us > now_us ? target->suspect_until_us - now_us : 0;

      if (avoided_us > AVOIDED_MAX_US)
        avoided_us = AVOIDED_MAX_US;

      if (target->info.role == MF_ROLE_PLAIN
          || (n_own == 0 && failure_percent < FAILURE_REPORT_MIN_PERCENT && avoided_us == 0)
          || report->n_entries == MF_LOAD_ENTRIES_MAX)
        continue;
      report->entries[report->n_entries++] = (MfLoadEntry){
        .upstream = target->id_hash,
        .n_active = n_own,
        .tokens = (uint32_t)(target->active_tokens + target->reserved_tokens),
        .failure_percent = failure_percent,
        .reachability = target_reachability (target, now_us),
        .avoided_ms = (uint32_t)((avoided_us + MF_US_PER_MS - 1) / MF_US_PER_MS),
      };
    }
}

/* Clears the load of the other instances at each upstream, before it is summed up again. */
void
mf_load_reset_remote (MfTargets *targets)
{
  for (MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      target->n_remote = 0;
      target->remote_tokens = 0;
      target->remote_failure_share = 0.;
      target->n_remote_unreachable = 0;
      target->n_remote_replaced = 0;
      target->n_remote_answering = 0;
      target->remote_avoid_until_us = 0;
    }
}

/* Adds a load entry of another instance, received at received_us. data is the MfTargets. */
void
mf_load_add_remote (void *data, const MfLoadEntry *entry, uint64_t received_us)
{
  MfTarget *target = mf_targets_by_hash (data, entry->upstream);
  double failure_share = entry->failure_percent < 100 ? entry->failure_percent / 100. : 1.;

  if (target == NULL)
    return;
  target->n_remote += entry->n_active;
  target->remote_tokens += entry->tokens;
  if (failure_share > target->remote_failure_share)
    target->remote_failure_share = failure_share;
  target->n_remote_answering += entry->reachability == MF_REACHABILITY_ANSWERING;
  target->n_remote_unreachable += entry->reachability == MF_REACHABILITY_UNREACHABLE;
  target->n_remote_replaced += entry->reachability == MF_REACHABILITY_REPLACED;
  if (received_us + entry->avoided_ms * MF_US_PER_MS > target->remote_avoid_until_us)
    target->remote_avoid_until_us = received_us + entry->avoided_ms * MF_US_PER_MS;
}
