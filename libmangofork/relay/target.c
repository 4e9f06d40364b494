#include "target.h"

#include "load_report.h"

#include "libmangofork/clock.h"
#include "libmangofork/rate.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Weight of one observation in a moving average; ten requests replace most of the old value. */
#define AVERAGE_WEIGHT 0.15
/* Half-life of observations; slow and failing upstreams recover within seconds. */
#define AVERAGE_HALF_LIFE_US (3. * (double)MF_US_PER_S)
/* An upstream that cannot be reached is avoided for this long, doubled with each further failure up
 * to the maximum. */
#define SUSPECT_FIRST_US (300 * MF_US_PER_MS)
#define SUSPECT_MAX_US (2400 * MF_US_PER_MS)
#define SUSPECT_DOUBLINGS 3
/* One whose process has ended is avoided for this long. Discovery removes it within this time; a
 * process that takes its place has an entry of its own. */
#define ENDED_AVOID_US (3 * MF_US_PER_S)
/* A single instance may be partitioned; the reports of this many instances that cannot reach an
 * upstream count for the others. */
#define SUSPECT_QUORUM 2
/* Idle connections kept to one upstream; three are enough for the busiest plain service of the
 * known sites. */
#define IDLE_LINKS_MAX 8
/* Idle timeout of an upstream that announces none and may close at once; the least that it could
 * announce is one second. */
#define IDLE_DEFAULT_US (500 * MF_US_PER_MS)
/* Round trips between regions take less than 50 ms; a lost SYN is sent again only after a second.
 */
#define CONNECT_TIMEOUT_US (250 * MF_US_PER_MS)

/* Discovery that has returned from a copy drops the entries of processes that do not renew them
 * within three intervals of their registration and some reserve. */
#define HELD_US (6 * MF_US_PER_S)

/* A process that has taken the place of another, under its id, is listed within this time after the
 * other was last found to have ended. */
#define SUCCESSOR_LISTED_US (5 * MF_US_PER_S)

/* A longer pause that an upstream asks for is cut to this. */
#define PAUSE_MAX_S 300.

/* An upstream that declined for lack of capacity gets no other requests for this long. The time is
 * doubled with each request that it declines while it has no load, up to DECLINED_DOUBLINGS times:
 * an engine that changes its stage declines for seconds, and an instance that has just started does
 * not know of the order to change. */
#define DECLINED_US (120 * MF_US_PER_MS)
#define DECLINED_DOUBLINGS 4

static void
target_free (MfTarget *target)
{
  mf_link_pool_close (&target->pool);
  free (target);
}

/* Adds a reference. A target stays in memory until the last one is released. */
MfTarget *
mf_target_ref (MfTarget *target)
{
  target->n_refs++;
  return target;
}

/* Releases a reference; the last one frees the target. */
void
mf_target_unref (MfTarget *target)
{
  if (--target->n_refs == 0)
    target_free (target);
}

/* Returns the upstream with this id, or NULL. */
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

/* Returns the upstream with this hash of its id, or NULL. */
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

/* Returns a hash that identifies the process, different from later ones with the same id. Never 0.
 */
uint64_t
mf_target_process_id (const MfTarget *target)
{
  return target->process_id;
}

/* Returns the upstream with this process id, or NULL. */
MfTarget *
mf_targets_by_process (const MfTargets *targets, uint64_t process_id)
{
  for (MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      if (target->process_id == process_id)
        return target;
    }
  return NULL;
}

/* Returns an upstream of this version, or NULL. */
const MfTarget *
mf_targets_by_version (const MfTargets *targets, uint64_t version)
{
  for (const MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      if (target->version == version)
        return target;
    }
  return NULL;
}

static uint64_t
process_hash (uint64_t id_hash, uint64_t started_ms)
{
  uint64_t parts[] = { id_hash, started_ms };
  uint64_t process = XXH3_64bits (parts, sizeof parts);

  return process != 0 ? process : 1;
}

/* Returns a hash that identifies the software version of a service, never 0. */
static uint64_t
version_hash (uint64_t service, const char *version)
{
  uint64_t parts[] = { service, mf_load_hash (version) };
  uint64_t hash = XXH3_64bits (parts, sizeof parts);

  return hash != 0 ? hash : 1;
}

/* Returns what is known of the limit of an unlisted process, or NULL. */
static MfRateNotice *
unlisted_limit (MfTargets *targets, uint64_t process_id)
{
  for (uint32_t i = 0; i < MF_TARGETS_UNLISTED_LIMITS_MAX; i++)
    {
      if (targets->unlisted_limits[i].process_id == process_id)
        return &targets->unlisted_limits[i].limit;
    }
  return NULL;
}

/* Merges a notice of another instance about the limit of a process, listed or not. */
void
mf_targets_note_limit (MfTargets *targets, uint64_t process_id, const MfRateNotice *limit)
{
  MfTarget *target = mf_targets_by_process (targets, process_id);
  MfRateNotice *unlisted;

  if (target != NULL)
    {
      mf_target_note_limit (target, limit, false);
      return;
    }
  unlisted = unlisted_limit (targets, process_id);
  if (unlisted != NULL)
    mf_rate_notice_merge (unlisted, limit);
  else
    targets->unlisted_limits[targets->n_unlisted_limits++ % MF_TARGETS_UNLISTED_LIMITS_MAX]
        = (MfUnlistedLimit){ .process_id = process_id, .limit = *limit };
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
  MfTarget *target = owner;
  uint64_t until_us = mf_clock_now_us () + ENDED_AVOID_US;

  if (until_us > target->suspect_until_us)
    target->suspect_until_us = until_us;
  target_record_end (target, "nothing listens at its address");
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

/* Opens a connection to check whether the process is running. */
void
mf_target_probe (MfTarget *target)
{
  if (target->probe != NULL || target->is_dropped)
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

/* Streams may have begun at an upstream until now, but do not from now on. */
static void
target_note_last_use (MfTarget *target)
{
  mf_version_log_note (&target->targets->versions, target->service, target->version,
                       mf_clock_now_us ());
}

/* Records what this instance has read of a process, and reports it unless it was known. */
static void
targets_note_own (MfTargets *targets, uint64_t process_id, MfListingState state,
                  const MfPosition *position)
{
  MfListing listing = { .process = process_id, .state = state, .position = *position };

  if (mf_listings_note (&targets->listings, &listing) && targets->callbacks != NULL
      && targets->callbacks->listing_changed != NULL)
    targets->callbacks->listing_changed (targets->user_data, &listing);
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
      if (!mf_target_is_leaving (dropped))
        target_note_last_use (dropped);
      /* Discovery may list the same process again. */
      if (dropped->limit.is_limited)
        mf_targets_note_limit (targets, dropped->process_id, &dropped->limit);
      probe_cancel (dropped);
      mf_link_pool_close (&dropped->pool);
      dropped->pool.n_idle_max = 0;
      dropped->listed = false;
      dropped->is_dropped = true;
      mf_target_unref (dropped);
      return;
    }
}

/* Whether it names a limit for the requests of all instances together. */
bool
mf_target_is_limited (const MfTarget *target)
{
  return target->limit.is_limited;
}

/* Whether a request to it may be granted within max_wait_us, as far as known here. */
bool
mf_target_rate_ready (const MfTarget *target, uint64_t max_wait_us, uint64_t now_us)
{
  return !target->limit.is_limited || target->rate_ready_us <= now_us + max_wait_us;
}

/* Returns the time from which on it may take requests of this instance again; 0: it does now. */
uint64_t
mf_target_available_us (const MfTarget *target)
{
  if (target->limit.is_limited && target->rate_ready_us > target->paused_until_us)
    return target->rate_ready_us;
  return target->paused_until_us;
}

/* Merges a notice of its limit, from one of its answers or from another instance. */
void
mf_target_note_limit (MfTarget *target, const MfRateNotice *limit, bool by_answer)
{
  MfTargets *targets = target->targets;
  uint64_t now_us = mf_clock_now_us ();

  if (!mf_rate_notice_merge (&target->limit, limit))
    return;
  target->rate_ready_us = 0;
  target->dispatch_after_us = 0;
  mf_rate_bucket_init (&target->local_rate, 0, now_us);
  if (targets->log != NULL)
    mf_relay_log_state (targets->log, "upstream.limit",
                        "upstream=%s service=%s named=%s per_s=%.3f by=%s sends_1s=%u",
                        target->info.id, target->info.service,
                        target->limit.is_limited ? "yes" : "no",
                        (double)target->limit.micro_per_s / (double)MF_RATE_MICRO,
                        by_answer ? "answer" : "peer", mf_target_n_recent_sends (target, now_us));
  if (targets->callbacks != NULL && targets->callbacks->limit_changed != NULL)
    targets->callbacks->limit_changed (targets->user_data, target, by_answer);
}

/* Applies the rate limit that a response names, or that it names none. Only an answer to a request
 * with an id, by the upstream itself, shows that a limit has ended: other responses may never carry
 * one. */
static void
target_read_limit (MfTarget *target, const MfHead *head, uint32_t status, uint64_t asked_us)
{
  bool is_answer
      = asked_us > 0 && (status < 300 || mf_head_count (head, MF_HEADER_RESPONSE_SEAL) > 0);
  MfRateNotice limit = { .asked_us = asked_us, .heard_us = mf_clock_now_us () };
  char value[32] = "";

  /* Status 421: another process answers at the address. */
  if (status < 200 || status == 421)
    return;
  if (mf_head_rate (head, MF_HEADER_RATE_LIMIT, &limit.micro_per_s))
    {
      limit.is_limited = limit.micro_per_s < MF_RATE_MAX * MF_RATE_MICRO;
      mf_target_note_limit (target, &limit, true);
    }
  else if (mf_head_count (head, MF_HEADER_RATE_LIMIT) > 0)
    {
      mf_head_copy (head, MF_HEADER_RATE_LIMIT, value, sizeof value);
      if (target->targets->log != NULL)
        mf_relay_log_state (target->targets->log, "upstream.limit_unreadable",
                            "upstream=%s value=\"%s\"", target->info.id, value);
    }
  else if (is_answer)
    mf_target_note_limit (target, &limit, true);
}

/* Applies what a response header says about the upstream itself. */
static void
on_answer_head (void *owner, const MfHead *head, uint32_t status, uint64_t asked_us)
{
  MfTarget *target = owner;
  char value[32] = "";
  double pause_s = 0.;

  if (mf_head_count (head, MF_HEADER_LEAVING) > 0
      && !(mf_head_copy (head, MF_HEADER_LEAVING, value, sizeof value) && strcmp (value, "0") == 0))
    mf_target_record_leaving (target);
  target_read_limit (target, head, status, asked_us);
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

/* Whether the process of an entry has announced that it is about to stop. Where one of the two
 * start times is unknown, they are taken for the same process. */
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

/* Compares the entry of an upstream with what any instance has read of it later; NULL: nothing. */
static void
target_check_listing (MfTarget *target, const MfListing *listing)
{
  bool was_withdrawn = target->is_withdrawn;

  target->is_withdrawn = listing != NULL && listing->state == MF_LISTING_REMOVED
                         && mf_position_is_later (&listing->position, &target->position);
  if (target->is_withdrawn != was_withdrawn && target->targets->log != NULL)
    mf_relay_log_state (target->targets->log, "upstream.withdrawn",
                        "upstream=%s service=%s withdrawn=%s revision=%llu in_flight=%u",
                        target->info.id, target->info.service, target->is_withdrawn ? "yes" : "no",
                        (unsigned long long)(listing != NULL ? listing->position.revision : 0),
                        target->n_active);
}

/* Merges what another instance has read of a process. */
void
mf_targets_note_listing (MfTargets *targets, const MfListing *listing)
{
  MfTarget *target;

  if (!mf_listings_note (&targets->listings, listing))
    return;
  target = mf_targets_by_process (targets, listing->process);
  if (target == NULL)
    return;
  if (listing->state == MF_LISTING_LEAVING)
    mf_target_record_leaving (target);
  else
    target_check_listing (target, listing);
}

static bool
is_known_to_leave (const MfTargets *targets, uint64_t process_id)
{
  const MfListing *listing = mf_listings_find (&targets->listings, process_id);

  return listing != NULL && listing->state == MF_LISTING_LEAVING;
}

static MfTarget *
target_add (MfTargets *targets, const MfTargetInfo *info)
{
  MfTarget *target = calloc (1, sizeof *target);
  const MfRateNotice *limit;

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
  target->process_id = process_hash (target->id_hash, info->started_ms);
  target->service = mf_load_hash (info->service);
  target->version = version_hash (target->service, info->version);
  target->announced_leaving
      = has_departed (targets, target) || is_known_to_leave (targets, target->process_id);
  if (targets->is_restoring && mf_listings_find (&targets->listings, target->process_id) != NULL)
    target->held_until_us = mf_clock_now_us () + HELD_US;
  limit = unlisted_limit (targets, target->process_id);
  if (limit != NULL)
    target->limit = *limit;
  target->n_refs = 1;
  target->next = targets->first;
  targets->first = target;
  targets->n_targets++;
  return target;
}

/* Of two processes at one address only the one that was started last is running. Discovery lists
 * the other until its entry expires. An entry that is held says nothing yet about its address. */
static void
targets_replace (MfTargets *targets, MfTarget *added)
{
  if (added->held_until_us > 0)
    return;
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

/* Whether an entry of a known process is older than what is known of it. */
static bool
entry_is_older (const MfTarget *target, const MfTargetInfo *info)
{
  return info->started_ms > 0 && info->sequence < target->info.sequence;
}

/* Adds an upstream or updates its entry. A process that was restarted or has moved starts with
 * empty statistics. Returns whether anything changed. */
bool
mf_targets_update (MfTargets *targets, const MfTargetInfo *info)
{
  MfTarget *target = mf_targets_find (targets, info->id);
  const MfListing *listing;
  bool changed;

  if (target != NULL
      && (strcmp (target->info.address, info->address) != 0
          || target->info.started_ms != info->started_ms
          || strcmp (target->info.version, info->version) != 0
          || strcmp (target->info.service, info->service) != 0))
    {
      target_record_end (target, "the process was restarted");
      targets_note_own (targets, target->process_id, MF_LISTING_REMOVED, &targets->position);
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
  if (!targets->is_restoring && target->held_until_us > 0)
    {
      target->held_until_us = 0;
      targets_replace (targets, target);
    }
  if (info->leaving && !mf_target_is_leaving (target))
    target_note_last_use (target);
  if (!entry_is_older (target, info))
    target->info = *info;
  /* A process that has begun to leave does not return. */
  if (target->info.leaving && info->started_ms > 0)
    mf_target_record_leaving (target);
  target->listed = true;
  target->unlisted_us = 0;
  target->position = targets->position;
  listing = mf_listings_find (&targets->listings, target->process_id);
  if (listing != NULL)
    targets_note_own (targets, target->process_id, MF_LISTING_LISTED, &target->position);
  target_check_listing (target, listing);
  return changed;
}

/* Discovery no longer lists it. Unless at_once is set, it stays in use until mf_targets_expire. */
bool
mf_targets_remove (MfTargets *targets, const char *id, bool at_once, uint64_t now_us)
{
  MfTarget *target = mf_targets_find (targets, id);

  if (target == NULL)
    return false;
  if (at_once)
    {
      targets_note_own (targets, target->process_id, MF_LISTING_REMOVED, &targets->position);
      target_drop (targets, target);
      return true;
    }
  if (target->unlisted_us > 0)
    return false;
  target->unlisted_us = now_us;
  target->position = targets->position;
  return true;
}

/* Drops the upstreams that were removed before this time without at_once. Returns their number. */
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
      targets_note_own (targets, target->process_id, MF_LISTING_REMOVED, &target->position);
      target_drop (targets, target);
      n_dropped++;
    }
  return n_dropped;
}

/* Marks all upstreams as unlisted, before a full list is read. */
void
mf_targets_begin_list (MfTargets *targets)
{
  for (MfTarget *target = targets->first; target != NULL; target = target->next)
    target->listed = false;
}

/* Returns the only software version of a service at which any instance may have begun a stream
 * since a time, as a hash; 0 when there were several, none, or not all of them are known. */
uint64_t
mf_targets_sole_version (const MfTargets *targets, const char *service, uint64_t since_us)
{
  uint64_t service_hash = mf_load_hash (service);
  uint64_t version = 0;

  if (!mf_version_log_is_complete (&targets->versions, since_us))
    return 0;
  for (const MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      if (target->service != service_hash || mf_target_is_leaving (target))
        continue;
      if (version != 0 && target->version != version)
        return 0;
      version = target->version;
    }
  if (version == 0
      || mf_version_log_has_other (&targets->versions, service_hash, version, since_us))
    return 0;
  return version;
}

/* Drops all upstreams; those in use stay in memory until they are released. */
void
mf_targets_clear (MfTargets *targets)
{
  while (targets->first != NULL)
    target_drop (targets, targets->first);
}

/* Adds the load of a request that begins there. */
void
mf_target_begin_request (MfTarget *target, uint64_t tokens, uint64_t now_us)
{
  if (target->n_active++ == 0)
    target->silent_since_us = now_us;
  target->active_tokens += tokens;
}

/* Removes the load of a request that has ended there. */
void
mf_target_end_request (MfTarget *target, uint64_t tokens)
{
  target->n_active--;
  target->active_tokens -= tokens;
}

static uint64_t
send_slot (uint64_t now_us)
{
  return now_us / (MF_TARGET_SENDS_US / MF_TARGET_SEND_SLOTS);
}

/* Keeps no more connections idle than half of this instance's part of those that the upstream
 * accepts from all, rounded up, and at most IDLE_LINKS_MAX. connections_max 0: not known. */
void
mf_target_limit_idle (MfTarget *target, uint32_t connections_max, uint32_t n_instances)
{
  uint32_t n_idle = (connections_max / n_instances + 1) / 2;

  if (!target->is_dropped)
    target->pool.n_idle_max
        = connections_max == 0 || n_idle > IDLE_LINKS_MAX ? IDLE_LINKS_MAX : n_idle;
}

/* Counts one HTTP request of any kind that is sent there. */
void
mf_target_note_send (MfTarget *target, uint64_t now_us)
{
  MfTargetSends *sends = &target->sends;
  uint64_t slot = send_slot (now_us);

  if (slot - sends->slot >= MF_TARGET_SEND_SLOTS)
    memset (sends->n_sends, 0, sizeof sends->n_sends);
  else
    {
      for (uint64_t passed = sends->slot + 1; passed <= slot; passed++)
        sends->n_sends[passed % MF_TARGET_SEND_SLOTS] = 0;
    }
  sends->slot = slot;
  sends->n_sends[slot % MF_TARGET_SEND_SLOTS]++;
}

/* Returns the number of requests that this instance has sent there within MF_TARGET_SENDS_US. */
uint32_t
mf_target_n_recent_sends (const MfTarget *target, uint64_t now_us)
{
  uint64_t slot = send_slot (now_us);
  uint32_t n_sends = 0;

  for (uint64_t i = 0; i < MF_TARGET_SEND_SLOTS; i++)
    {
      if (target->sends.slot >= i && slot - (target->sends.slot - i) < MF_TARGET_SEND_SLOTS)
        n_sends += target->sends.n_sends[(target->sends.slot - i) % MF_TARGET_SEND_SLOTS];
    }
  return n_sends;
}

/* Adds to the KV use of a running request. */
void
mf_target_add_tokens (MfTarget *target, uint64_t tokens)
{
  target->active_tokens += tokens;
}

/* Reserves capacity for a request; released before the request begins. */
void
mf_target_reserve (MfTarget *target, uint64_t tokens)
{
  target->n_reserved++;
  target->reserved_tokens += tokens;
}

/* Releases reserved capacity. */
void
mf_target_unreserve (MfTarget *target, uint64_t tokens)
{
  target->n_reserved--;
  target->reserved_tokens -= tokens;
}

/* Returns the number of running and reserved requests of all instances, as far as known here. */
uint32_t
mf_target_load (const MfTarget *target)
{
  return target->n_active + target->n_reserved + target->n_remote;
}

/* Returns the KV use in tokens of the running and reserved requests of all instances. */
uint64_t
mf_target_load_tokens (const MfTarget *target)
{
  return target->active_tokens + target->reserved_tokens + target->remote_tokens;
}

/* Whether it is about to stop, according to discovery or its own responses. */
bool
mf_target_is_leaving (const MfTarget *target)
{
  return target->info.leaving || target->announced_leaving;
}

/* Whether it is about to stop, or some instance has read that it has no entry any more. */
bool
mf_target_has_left (const MfTarget *target)
{
  return mf_target_is_leaving (target) || target->is_withdrawn;
}

/* Whether it accepts requests of this instance: it has not left and has not asked for a pause. */
bool
mf_target_accepts (const MfTarget *target, uint64_t now_us)
{
  return !mf_target_has_left (target) && target->paused_until_us <= now_us
         && target->held_until_us <= now_us;
}

/* Records that the process announced that it is about to stop. This outlasts its entry in discovery
 * and does not apply to the next process with this id. */
void
mf_target_record_leaving (MfTarget *target)
{
  MfTargets *targets = target->targets;

  if (target->announced_leaving)
    return;
  target_note_last_use (target);
  target->announced_leaving = true;
  targets->departures[targets->n_departures++ % MF_TARGETS_DEPARTURES_MAX]
      = (MfDeparture){ .id_hash = target->id_hash, .started_ms = target->info.started_ms };
  /* A process without a start time has the identity of the next one with its id. */
  if (target->info.started_ms > 0)
    targets_note_own (targets, target->process_id, MF_LISTING_LEAVING, &targets->position);
  if (targets->log != NULL)
    mf_relay_log_state (targets->log, "upstream.leaving",
                        "upstream=%s service=%s listed_leaving=%s in_flight=%u", target->info.id,
                        target->info.service, target->info.leaving ? "yes" : "no",
                        target->n_active);
}

/* Pauses the requests of this instance to the process for this many seconds, as it asked. */
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

/* Whether another process, with its id and perhaps of another version, may have taken its place:
 * discovery lists that one some time after its start. */
static bool
may_be_another (const MfTarget *target, uint64_t now_us)
{
  return target->ended_us > 0 && now_us < target->ended_us + SUCCESSOR_LISTED_US;
}

/* Whether it serves the version that a stream needs, 0 if any will do. */
bool
mf_target_serves_version (const MfTarget *target, uint64_t version, uint64_t now_us)
{
  return version == 0 || (target->version == version && !may_be_another (target, now_us));
}

/* Whether requests should avoid it: this instance avoids it, another instance found a different
 * process at its address, or SUSPECT_QUORUM others cannot reach it and fewer get answers. */
bool
mf_target_is_suspect (const MfTarget *target, uint64_t now_us)
{
  bool others_avoid = target->n_remote_replaced > 0
                      || (target->n_remote_unreachable >= SUSPECT_QUORUM
                          && target->n_remote_unreachable > target->n_remote_answering);

  return target->suspect_until_us > now_us
         || (others_avoid && target->remote_avoid_until_us > now_us);
}

/* Records a sign of life. */
void
mf_target_record_alive (MfTarget *target, uint64_t now_us)
{
  target->alive_us = now_us;
  target->silent_since_us = now_us;
  target->n_failures = 0;
  target->suspect_until_us = 0;
  target->replaced = false;
}

/* Another process answers at its address: it is avoided until discovery catches up. */
void
mf_target_mark_replaced (MfTarget *target, uint64_t until_us)
{
  target->suspect_until_us = until_us;
  target->replaced = true;
  target->alive_us = 0;
  target_record_end (target, "another process answers at its address");
}

/* Returns the weight of an observation made at seen_us, 0 to 1. */
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

/* Records that it declined a request for lack of capacity. */
void
mf_target_record_decline (MfTarget *target, uint64_t now_us)
{
  uint32_t doublings
      = target->n_declined < DECLINED_DOUBLINGS ? target->n_declined : DECLINED_DOUBLINGS;

  target->n_declined = mf_target_load (target) == 0 ? target->n_declined + 1 : 0;
  target->full_until_us
      = now_us + (target->n_declined > 0 ? DECLINED_US << doublings : DECLINED_US);
}

/* Records a successful answer and its response time. */
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

/* Records a completed prefill; prefill_us includes queueing. */
void
mf_target_record_prefill (MfTarget *target, uint64_t tokens, uint64_t prefill_us, uint64_t now_us)
{
  if (tokens > 0)
    average_add (&target->us_per_token, (double)prefill_us / (double)tokens);
  mf_target_record_answer (target, prefill_us, now_us);
}

/* Records an answer with an error, or none at all. */
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

/* Returns the failure share, which decays with time. */
double
mf_target_failure_share (const MfTarget *target, uint64_t now_us)
{
  return target->failure_share * age_weight (target->failed_us, now_us);
}

/* Returns the expected response time: the average seen, weighted by its age against fallback_us. */
double
mf_target_answer_us (const MfTarget *target, double fallback_us, uint64_t now_us)
{
  double weight;

  if (target->answer_us <= 0.)
    return fallback_us;
  weight = age_weight (target->answered_us, now_us);
  return target->answer_us * weight + fallback_us * (1. - weight);
}
