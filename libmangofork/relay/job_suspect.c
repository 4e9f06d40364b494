#include "job_row.h"

#include "libmangofork/clock.h"

#include <string.h>
#include <xxhash.h>

/* A crash becomes known within this time of the failed exchange: the host of the upstream refuses
 * connections at once, or, if it does not answer, discovery lists the next process at the
 * address. */
#define CRASH_WINDOW_US (10 * MF_US_PER_S)
/* Quarantine after two crashes: they may be a coincidence, and the callers of an innocent request
 * wait no longer than this anyway. */
#define TWO_CRASHES_QUARANTINE_US (30 * MF_US_PER_S)
#define THREE_CRASHES_QUARANTINE_US (600 * MF_US_PER_S)
/* Requests that broke beside the one that is quarantined for one crash are free again after this
 * time. */
#define BESIDE_QUARANTINE_US (6 * MF_US_PER_S)
/* An innocent part is free again after this time. The next trials come later and later, as a deadly
 * one costs an upstream each time. */
#define TRIAL_INTERVAL_US (3 * MF_US_PER_S)
/* An instance tries a part whose trial is due this much later than the one of next higher rank, so
 * that it has heard of the trial if that one has begun it. */
#define TRIAL_STAGGER_US (50 * MF_US_PER_MS)
/* Times of trials that differ by less are the same, as messages have them in milliseconds. */
#define TRIAL_ROUNDING_US (250 * MF_US_PER_MS)
/* A suspect request is retried only once it is known whether the last upstream crashed too, or
 * after this time: a few round trips, or the time a connection may take. */
#define PROBE_TIMEOUT_US (300 * MF_US_PER_MS)
/* Failures on the connections of a crashed process are seen within this time of each other. */
#define SAME_CRASH_US (1 * MF_US_PER_S)
/* From this number of crashes on, all instances are informed at once; before, when the request
 * ends. */
#define REPORT_AT_ONCE_CRASHES 2

static uint64_t
caller_hash_request (const MfCaller *caller, uint64_t first)
{
  const MfHead *head = mf_caller_head (caller);
  const char *method = mf_caller_method (caller);
  const MfBuffer *body = mf_caller_body (caller);
  uint64_t parts[] = {
    first,
    XXH3_64bits (method, strlen (method)),
    XXH3_64bits (mf_head_text (head, 0), head->target_bytes),
    XXH3_64bits (mf_buffer_data (body), mf_buffer_bytes (body)),
  };
  uint64_t hash = XXH3_64bits (parts, sizeof parts);

  return hash != 0 ? hash : 1;
}

/* Hash of what a request does, whoever sends it: host, method, target and body. Never 0. The host
 * is that of its route, as callers may write it in several ways. */
uint64_t
mf_job_content (const MfCaller *caller, const MfRoute *route)
{
  return caller_hash_request (caller, XXH3_64bits (route->host, route->host_bytes));
}

/* Hash of what identifies a caller's request across tries: the caller's address, method, target and
 * body. Never 0. */
uint64_t
mf_job_digest (const MfCaller *caller)
{
  return caller_hash_request (caller, mf_caller_address_hash (caller));
}

/* Returns false if memory ran out. */
bool
mf_jobs_init_suspects (MfJobs *jobs)
{
  jobs->history_since_us = (int64_t)mf_clock_now_us ();
  jobs->suspects = mf_suspects_new (
      &(MfSuspectLimits){ .crash_window_us = CRASH_WINDOW_US,
                          .two_crashes_quarantine_us = TWO_CRASHES_QUARANTINE_US,
                          .three_crashes_quarantine_us = THREE_CRASHES_QUARANTINE_US,
                          .beside_quarantine_us = BESIDE_QUARANTINE_US,
                          .trial_interval_us = TRIAL_INTERVAL_US });
  return jobs->suspects != NULL;
}

/* Whether an upstream has crashed, or may have crashed, while running this request, or it is the
 * trial of a part. */
bool
mf_job_is_suspect (const MfJob *job)
{
  const MfSuspect *suspect
      = mf_suspects_find (job->jobs->suspects, job->digest, mf_clock_now_us ());

  return job->trial_part != 0 || job->trial_content != 0 || job->n_failures > 0
         || (suspect != NULL && suspect->n_crashes > 0)
         || mf_suspects_is_suspect_content (job->jobs->suspects, job->content, mf_clock_now_us ());
}

static uint32_t
age_ms (uint64_t at_us, uint64_t now_us)
{
  uint64_t ms = now_us > at_us ? (now_us - at_us) / MF_US_PER_MS : 0;

  return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

static uint64_t
time_us (uint32_t ms, uint64_t now_us)
{
  return now_us > ms * MF_US_PER_MS ? now_us - ms * MF_US_PER_MS : 0;
}

static MfSuspectCrash
crash_read (const MfSuspectEntryCrash *crash, uint64_t now_us)
{
  return (MfSuspectCrash){
    .process_id = crash->process,
    .digest = crash->digest,
    .caller = crash->caller,
    .sent_us = time_us (crash->sent_age_ms, now_us),
    .at_us = time_us (crash->age_ms, now_us),
  };
}

static MfSuspectEntry
entry_make (const MfSuspect *suspect, uint64_t now_us)
{
  MfSuspectEntry entry = {
    .digest = suspect->digest,
    .kind = suspect->kind,
    .quarantined = suspect->part.quarantined_us > 0,
    .cleared = suspect->part.is_disputed,
    .was_sound = suspect->part.sound_us > 0,
    .sound_age_ms = age_ms (suspect->part.sound_us, now_us),
    .depth = suspect->part.depth,
    .n_failed_trials = suspect->part.n_failed_trials,
    .quarantine_ms = age_ms (now_us, suspect->quarantined_until_us),
    .n_crashes = suspect->n_crashes,
  };

  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    entry.crashes[i] = (MfSuspectEntryCrash){
      .process = suspect->crashes[i].process_id,
      .digest = suspect->crashes[i].digest,
      .caller = suspect->crashes[i].caller,
      .sent_age_ms = age_ms (suspect->crashes[i].sent_us, now_us),
      .age_ms = age_ms (suspect->crashes[i].at_us, now_us),
    };
  return entry;
}

/* Receiver of a message that stands for all peers. */
#define TO_ALL 0

/* Sends the entries in the message, if there are any. All are contents, or none is: a peer of an
 * older release passes over a message of contents only. */
static void
entries_send (MfJobs *jobs, uint64_t peer)
{
  if (jobs->peers == NULL || jobs->message.suspects.n_entries == 0)
    return;
  jobs->message.kind = jobs->message.suspects.entries[0].kind == MF_SUSPECT_CONTENT
                           ? MF_RELAY_MESSAGE_CONTENTS
                           : MF_RELAY_MESSAGE_SUSPECTS;
  if (peer == TO_ALL)
    mf_peers_send_all (jobs->peers, &jobs->message);
  else
    mf_peers_send (jobs->peers, peer, &jobs->message);
  jobs->message.suspects.n_entries = 0;
}

static void
entry_send (MfJobs *jobs, uint64_t peer, const MfSuspectEntry *entry)
{
  jobs->message.suspects.n_entries = 1;
  jobs->message.suspects.entries[0] = *entry;
  entries_send (jobs, peer);
}

/* Sends what is known of a request to all instances, unless they have it already. */
static void
suspect_send (MfJobs *jobs, uint64_t digest)
{
  uint64_t now_us = mf_clock_now_us ();
  MfSuspect *suspect = mf_suspects_find (jobs->suspects, digest, now_us);
  MfSuspectEntry entry;

  if (suspect == NULL || suspect->n_reported >= suspect->n_crashes)
    return;
  suspect->n_reported = suspect->n_crashes;
  entry = entry_make (suspect, now_us);
  entry_send (jobs, TO_ALL, &entry);
}

/* A list of suspects for a peer, sent whenever a message is full. */
typedef struct
{
  MfJobs *jobs;
  uint64_t peer;
  uint64_t now_us;
  /* Returns whether the list has the suspect. */
  bool (*has) (const MfSuspect *suspect, uint64_t now_us);
  bool contents; /* it has contents, or what is none */
} EntryList;

static bool
list_add (void *data, const MfSuspect *suspect)
{
  EntryList *list = data;
  MfSuspectUpdate *update = &list->jobs->message.suspects;

  if (!list->has (suspect, list->now_us) || (suspect->kind == MF_SUSPECT_CONTENT) != list->contents)
    return true;
  update->entries[update->n_entries++] = entry_make (suspect, list->now_us);
  if (update->n_entries == MF_SUSPECT_ENTRIES_MAX)
    entries_send (list->jobs, list->peer);
  return true;
}

static void
list_send (EntryList *list)
{
  list->jobs->message.suspects.n_entries = 0;
  for (uint32_t i = 0; i < 2; i++)
    {
      list->contents = i == 1;
      mf_suspects_foreach (list->jobs->suspects, list->now_us, list_add, list);
      entries_send (list->jobs, list->peer);
    }
}

static bool
is_quarantined (const MfSuspect *suspect, uint64_t now_us)
{
  return suspect->part.quarantined_us > 0
         || (suspect->n_reported > 0 && suspect->quarantined_until_us > now_us);
}

static bool
is_known_to_others (const MfSuspect *suspect, uint64_t now_us)
{
  return !is_quarantined (suspect, now_us)
         && (suspect->kind != MF_SUSPECT_REQUEST || suspect->n_reported > 0);
}

static bool
is_unreported_part (const MfSuspect *suspect, uint64_t now_us)
{
  (void)now_us;
  return suspect->part.is_unreported;
}

/* Sends the suspects that all instances were informed of to one that may have restarted,
 * quarantined ones first. */
void
mf_jobs_send_suspects (MfJobs *jobs, uint64_t peer)
{
  EntryList list
      = { .jobs = jobs, .peer = peer, .now_us = mf_clock_now_us (), .has = is_quarantined };

  list_send (&list);
  list.has = is_known_to_others;
  list_send (&list);
  mf_jobs_send_history (jobs, peer);
}

/* Ends quarantined requests in the next iteration of the loop: the one at hand may be among them.
 */
static void
schedule_quarantine (MfJobs *jobs)
{
  ev_timer_stop (jobs->loop, &jobs->quarantine_timer);
  ev_timer_set (&jobs->quarantine_timer, 0., 0.);
  ev_timer_start (jobs->loop, &jobs->quarantine_timer);
}

static void
record_quarantine (MfJobs *jobs, const MfSuspect *suspect, const char *by)
{
  static const char *const events[] = {
    [MF_SUSPECT_REQUEST] = "request.convicted",
    [MF_SUSPECT_PART] = "part.convicted",
    [MF_SUSPECT_CONTENT] = "content.convicted",
  };
  uint64_t now_us = mf_clock_now_us ();

  jobs->counters.counts[MF_RELAY_COUNT_QUARANTINES]++;
  mf_relay_log_state (jobs->log, events[suspect->kind],
                      "digest=%016llx upstreams_ended=%u by=%s sentence_ms=%u",
                      (unsigned long long)suspect->digest, suspect->n_crashes, by,
                      age_ms (now_us, suspect->quarantined_until_us));
  schedule_quarantine (jobs);
}

/* Records the quarantine of a part that has just been found. */
static void
part_record (MfJobs *jobs, MfSuspect *suspect, bool by_self)
{
  if (suspect->part.quarantined_us == 0 || suspect->part.is_recorded)
    return;
  suspect->part.is_recorded = true;
  suspect->part.is_own = by_self;
  record_quarantine (jobs, suspect, by_self ? "self" : "peer");
}

static bool
part_record_release (void *data, const MfSuspect *suspect)
{
  MfJobs *jobs = data;
  MfSuspect *part;

  if (!suspect->part.is_recorded || suspect->part.quarantined_us > 0)
    return true;
  part = mf_suspects_find (jobs->suspects, suspect->digest, mf_clock_now_us ());
  part->part.is_recorded = false;
  mf_relay_log_state (jobs->log, "part.released", "digest=%016llx upstreams_ended=%u",
                      (unsigned long long)part->digest, part->n_crashes);
  return true;
}

static bool
part_settle (void *data, const MfSuspect *suspect)
{
  MfJobs *jobs = data;
  MfSuspect *part = mf_suspects_find (jobs->suspects, suspect->digest, mf_clock_now_us ());

  if (!suspect->part.is_unreported)
    return true;
  part->part.is_unreported = false;
  part_record (jobs, part, true);
  return true;
}

/* Sends the parts and contents with new crashes to all instances, as each may see only one crash of
 * one. */
static void
parts_send (MfJobs *jobs)
{
  EntryList list
      = { .jobs = jobs, .peer = TO_ALL, .now_us = mf_clock_now_us (), .has = is_unreported_part };

  if (jobs->peers != NULL)
    list_send (&list);
  mf_suspects_foreach (jobs->suspects, list.now_us, part_settle, jobs);
  mf_suspects_foreach (jobs->suspects, list.now_us, part_record_release, jobs);
}

static void
request_handle (MfJobs *jobs, const MfSuspectEntry *entry, uint64_t now_us)
{
  bool was_quarantined = mf_suspects_is_quarantined (jobs->suspects, entry->digest, now_us);
  MfSuspect *suspect;

  if (entry->cleared)
    {
      mf_suspects_remove (jobs->suspects, entry->digest);
      return;
    }
  if (entry->n_crashes == 1 && entry->quarantine_ms > 0
      && mf_suspects_was_answered (jobs->suspects, entry->digest))
    {
      entry_send (jobs, TO_ALL, &(MfSuspectEntry){ .digest = entry->digest, .cleared = true });
      return;
    }
  for (uint32_t i = 0; i < entry->n_crashes; i++)
    {
      MfSuspectCrash crash = crash_read (&entry->crashes[i], now_us);

      mf_suspects_add_crash (jobs->suspects, entry->digest, &crash, false, now_us);
    }
  if (entry->quarantine_ms > 0)
    mf_suspects_quarantine (jobs->suspects, entry->digest,
                            now_us + entry->quarantine_ms * MF_US_PER_MS, now_us);
  suspect = mf_suspects_find (jobs->suspects, entry->digest, now_us);
  if (suspect == NULL)
    return;
  if (suspect->n_reported < entry->n_crashes)
    suspect->n_reported = entry->n_crashes;
  if (!was_quarantined && mf_suspects_is_quarantined (jobs->suspects, entry->digest, now_us))
    record_quarantine (jobs, suspect, "peer");
}

/* Sends what is known of one part to the peers that have the wrong idea of it. */
static void
part_send (MfJobs *jobs, uint64_t peer, const MfSuspect *suspect, bool cleared, uint64_t now_us)
{
  MfSuspectEntry entry = entry_make (suspect, now_us);

  entry.cleared = cleared;
  entry_send (jobs, peer, &entry);
}

/* Records that an upstream has survived a part, as seen here or by a peer. The others are told if
 * they may refuse the part, or are about to. */
static void
part_note_sound (MfJobs *jobs, MfSuspectKind kind, uint64_t part, uint64_t sound_us, bool by_self,
                 uint64_t now_us)
{
  MfSuspect *suspect = mf_suspects_find (jobs->suspects, part, now_us);
  bool was_quarantined = suspect != NULL && suspect->part.quarantined_us > 0;

  if (!mf_suspects_note_sound (jobs->suspects, kind, part, sound_us, now_us))
    return;
  if (was_quarantined)
    mf_relay_log_state (jobs->log, "part.cleared", "digest=%016llx by=%s", (unsigned long long)part,
                        by_self ? "self" : "peer");
  if (by_self || (was_quarantined && suspect->part.is_own))
    part_send (jobs, TO_ALL, suspect, true, now_us);
}

static MfSuspect
entry_read (const MfSuspectEntry *entry, uint64_t now_us)
{
  MfSuspect suspect = {
    .digest = entry->digest,
    .kind = entry->kind,
    .quarantined_until_us = now_us + entry->quarantine_ms * MF_US_PER_MS,
    .n_crashes = entry->n_crashes,
    .part = { .depth = entry->depth,
              .quarantined_us = entry->quarantined ? now_us : 0,
              .n_failed_trials = entry->n_failed_trials },
  };

  for (uint32_t i = 0; i < entry->n_crashes; i++)
    suspect.crashes[i] = crash_read (&entry->crashes[i], now_us);
  return suspect;
}

/* Notes which peer has begun a trial of the part: it has put off the next one, and not because an
 * upstream has crashed. */
static void
part_note_trial (MfSuspect *suspect, uint64_t peer, const MfSuspect *before)
{
  if (suspect->part.quarantined_us == 0
      || suspect->part.n_failed_trials != before->part.n_failed_trials)
    suspect->part.tried_by = 0;
  else if (before->part.quarantined_us > 0
           && suspect->quarantined_until_us > before->quarantined_until_us + TRIAL_ROUNDING_US)
    suspect->part.tried_by = peer;
}

/* Each instance judges by all crashes that it has recorded. One that has more than the sender, or
 * has recorded since that an upstream survived the part, replies. */
static void
part_handle (MfJobs *jobs, uint64_t peer, const MfSuspectEntry *entry, uint64_t now_us)
{
  MfSuspects *suspects = jobs->suspects;
  bool was_quarantined = mf_suspects_part_is_quarantined (suspects, entry->digest, now_us);
  MfSuspect reported = entry_read (entry, now_us);
  MfSuspect *suspect = mf_suspects_find (suspects, entry->digest, now_us);
  MfSuspect before = suspect != NULL ? *suspect : (MfSuspect){ 0 };

  if (entry->was_sound)
    part_note_sound (jobs, entry->kind, entry->digest, time_us (entry->sound_age_ms, now_us), false,
                     now_us);
  mf_suspects_merge_part (suspects, &reported, now_us);
  suspect = mf_suspects_find (suspects, entry->digest, now_us);
  if (suspect == NULL)
    return;
  part_note_trial (suspect, peer, &before);
  suspect->part.is_unreported = false;
  part_record (jobs, suspect, false);
  if (suspect->part.quarantined_us > 0 && was_quarantined && !entry->quarantined && !entry->cleared)
    part_send (jobs, peer, suspect, false, now_us);
  else if (suspect->part.quarantined_us == 0 && entry->quarantined)
    {
      /* A peer that is not connected yet is told with all suspects. */
      suspect->part.is_disputed = true;
      part_send (jobs, peer, suspect, true, now_us);
    }
}

/* Handles suspects reported by another instance. */
void
mf_jobs_handle_suspects (MfJobs *jobs, uint64_t peer, const MfSuspectUpdate *update)
{
  uint64_t now_us = mf_clock_now_us ();

  for (uint32_t i = 0; i < update->n_entries; i++)
    {
      const MfSuspectEntry *entry = &update->entries[i];

      if (entry->kind != MF_SUSPECT_REQUEST)
        part_handle (jobs, peer, entry, now_us);
      else
        request_handle (jobs, entry, now_us);
    }
  mf_suspects_foreach (jobs->suspects, now_us, part_record_release, jobs);
}

/* Whether a try of the request is in progress at this instance. */
static bool
has_job (const MfJobs *jobs, uint64_t digest)
{
  for (const MfJob *job = jobs->first; job != NULL; job = job->next)
    {
      if (job->digest == digest)
        return true;
    }
  return false;
}

static void
on_failure_result (void *data, const MfSuspectFailure *failure, MfSuspectResult result)
{
  MfJobs *jobs = data;
  const MfSuspect *suspect = mf_suspects_find (jobs->suspects, failure->digest, mf_clock_now_us ());

  if (result < MF_SUSPECT_COUNTED || suspect == NULL)
    return;
  jobs->counters.counts[MF_RELAY_COUNT_SUSPICIONS]++;
  mf_relay_log_event (jobs->log, "request.suspected",
                      "digest=%016llx content=%016llx caller=%016llx upstreams_ended=%u "
                      "was_suspect=%s break_age_ms=%u",
                      (unsigned long long)failure->digest, (unsigned long long)failure->content,
                      (unsigned long long)failure->caller, suspect->n_crashes,
                      failure->was_suspect ? "yes" : "no",
                      age_ms (failure->failed_us, mf_clock_now_us ()));
  if (result == MF_SUSPECT_QUARANTINED)
    record_quarantine (jobs, suspect, "self");
  if (result == MF_SUSPECT_QUARANTINED || suspect->n_crashes >= REPORT_AT_ONCE_CRASHES
      || !has_job (jobs, failure->digest))
    suspect_send (jobs, failure->digest);
}

/* Failures at an upstream that announced its exit are attributed to the exit, not to requests. */
static void
upstream_crashed (MfJobs *jobs, MfTarget *target)
{
  uint64_t process = mf_target_process_id (target);
  uint64_t now_us = mf_clock_now_us ();

  if (mf_suspects_n_failures (jobs->suspects) == 0)
    return;
  if (mf_target_is_leaving (target))
    mf_suspects_upstream_alive (jobs->suspects, process, UINT64_MAX, on_failure_result, jobs);
  else
    {
      mf_suspects_upstream_crashed (jobs->suspects, process, process, now_us, on_failure_result,
                                    jobs);
      parts_send (jobs);
    }
}

static void
on_upstream_ended (void *data, MfTarget *target, const char *why)
{
  MfJobs *jobs = data;

  if (mf_suspects_n_failures (jobs->suspects) > 0)
    mf_relay_log_state (jobs->log, "upstream.ended", "upstream=%s why=\"%s\" leaving=%s",
                        target->info.id, why, mf_target_is_leaving (target) ? "yes" : "no");
  upstream_crashed (jobs, target);
}

/* A new process at an address means that the previous one has ended. Processes that announced their
 * exit are not waited for. */
static void
on_upstream_added (void *data, MfTarget *target)
{
  MfJobs *jobs = data;

  if (mf_suspects_n_failures (jobs->suspects) == 0)
    return;
  mf_suspects_address_reused (jobs->suspects, mf_load_hash (target->info.address),
                              mf_target_process_id (target), mf_clock_now_us (), on_failure_result,
                              jobs);
  parts_send (jobs);
}

/* Continues a request that waited for a probe of its last upstream. */
void
mf_job_probe_done (MfJob *job)
{
  MfJobDenial denial = job->denial;

  mf_job_close_query (job);
  mf_job_retry_or_end (job, &denial);
}

static void
on_upstream_probed (void *data, MfTarget *target)
{
  MfJobs *jobs = data;
  uint64_t process = mf_target_process_id (target);
  MfJob *job;

  while ((job = mf_jobs_find_query (jobs, MF_JOB_QUERY_PROCESS, process)) != NULL)
    mf_job_probe_done (job);
}

static void
on_limit_changed (void *data, MfTarget *target, bool by_answer)
{
  mf_jobs_limit_changed (data, target, by_answer);
}

static void
on_listing_changed (void *data, const MfListing *listing)
{
  mf_jobs_listing_changed (data, listing);
}

const MfTargetsCallbacks mf_job_targets_callbacks = {
  .ended = on_upstream_ended,
  .added = on_upstream_added,
  .probed = on_upstream_probed,
  .limit_changed = on_limit_changed,
  .listing_changed = on_listing_changed,
};

/* Whether one crash may be enough for a quarantine, as all instances that had recorded earlier ones
 * may have ended. */
static bool
jobs_have_lost_history (const MfJobs *jobs)
{
  return mf_jobs_history_is_lost (jobs, THREE_CRASHES_QUARANTINE_US, mf_clock_now_us ());
}

/* Whether no upstream has survived the request: its answer has not begun, here or at an earlier
 * try. */
static bool
job_is_unanswered (const MfJob *job)
{
  return !job->answer_began && !job->head_sent
         && !mf_suspects_was_answered (job->jobs->suspects, job->digest);
}

/* Records a failed send, which may have crashed its upstream unless that announced its exit.
 * is_broken is set when the upstream has ended the exchange, and not this instance. */
void
mf_job_note_failure (MfJob *job, MfTarget *target, bool is_broken)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();
  bool is_sufficient = is_broken && jobs_have_lost_history (jobs);
  MfSuspectFailure failure = {
    .digest = job->digest,
    .request_id = job->try_id,
    .upstream_id = mf_target_process_id (target),
    .address_hash = mf_load_hash (target->info.address),
    .caller = job->caller_hash,
    .trial_part = job->trial_part,
    .trial_content = job->trial_content,
    .was_suspect = job->was_suspect,
    .is_sufficient = is_sufficient && job_is_unanswered (job),
    .is_sufficient_for_parts = is_sufficient,
    .sent_us = job->sent_us,
    .failed_us = now_us,
  };

  job->trial_part = 0;
  job->trial_content = 0;
  if (mf_target_is_leaving (target))
    return;
  if (!job->answer_began)
    {
      failure.parts = job->parts;
      failure.content = job->content;
    }
  mf_suspects_add_failure (jobs->suspects, &failure);
  job->n_failures++;
  if (target->ended_us > 0 && now_us - target->ended_us < SAME_CRASH_US
      && job->sent_us < target->ended_us)
    upstream_crashed (jobs, target);
}

/* Takes back the failure of a silent run that goes on: if its upstream has crashed, the run fails
 * again. */
void
mf_job_withdraw_failure (MfJob *job)
{
  MfSuspectFailure failure;

  if (!mf_suspects_withdraw_failure (job->jobs->suspects, job->try_id,
                                     mf_target_process_id (job->target), &failure))
    return;
  job->n_failures--;
  job->trial_part = failure.trial_part;
  job->trial_content = failure.trial_content;
}

/* Retries a request after a failure, or ends it. A suspect, or a request that one crash makes one,
 * waits until a probe has shown whether this upstream has crashed as well. */
void
mf_job_retry_after_failure (MfJob *job, MfTarget *target, const MfJobDenial *denial)
{
  bool is_sufficient = jobs_have_lost_history (job->jobs) && job_is_unanswered (job);

  if (target->probe == NULL || (!job->was_suspect && !is_sufficient))
    {
      mf_job_retry_or_end (job, denial);
      return;
    }
  job->denial = *denial;
  mf_job_open_query (job, MF_JOB_QUERY_PROCESS, mf_target_process_id (target), 0, PROBE_TIMEOUT_US);
}

/* An answer shows that the upstream has survived failures before that send. */
void
mf_job_note_upstream_alive (const MfJob *job)
{
  MfJobs *jobs = job->jobs;

  if (mf_suspects_n_failures (jobs->suspects) > 0)
    mf_suspects_upstream_alive (jobs->suspects, mf_target_process_id (job->target), job->sent_us,
                                on_failure_result, jobs);
}

/* Records that the upstream has begun an answer and survived: neither a part of the prompt nor the
 * content is deadly, and another suspect may run beside this one. */
void
mf_job_note_sound (MfJob *job)
{
  uint64_t now_us = mf_clock_now_us ();

  if (job->answer_began)
    return;
  job->answer_began = true;
  if (job->target != NULL)
    job->target->n_suspects -= job->was_suspect;
  job->was_suspect = false;
  for (uint32_t i = 0; i < job->parts.n_parts; i++)
    part_note_sound (job->jobs, MF_SUSPECT_PART, job->parts.hashes[i], now_us, true, now_us);
  part_note_sound (job->jobs, MF_SUSPECT_CONTENT, job->content, now_us, true, now_us);
}

/* Records the end of the request. An answered request is no suspect any more; otherwise what is
 * known of it is sent to the other instances. */
void
mf_job_note_outcome (const MfJob *job, bool answered)
{
  MfJobs *jobs = job->jobs;
  const MfSuspect *suspect = mf_suspects_find (jobs->suspects, job->digest, mf_clock_now_us ());
  bool was_reported;

  if (answered)
    mf_suspects_note_answered (jobs->suspects, job->digest);
  if (suspect == NULL)
    return;
  if (!answered)
    {
      suspect_send (jobs, job->digest);
      return;
    }
  was_reported = suspect->n_reported > 0;
  mf_suspects_remove (jobs->suspects, job->digest);
  if (was_reported)
    entry_send (jobs, TO_ALL, &(MfSuspectEntry){ .digest = job->digest, .cleared = true });
}

/* Drops failures whose upstream has shown no crash within the window. */
void
mf_jobs_expire_failures (MfJobs *jobs, uint64_t now_us)
{
  if (now_us > CRASH_WINDOW_US)
    mf_suspects_expire_failures (jobs->suspects, now_us - CRASH_WINDOW_US, on_failure_result, jobs);
}

/* Lets the request be the trial of a part or content. The others are told first, so that none tries
 * it, too. */
static void
job_start_trial (MfJob *job, uint64_t part, uint64_t now_us)
{
  MfJobs *jobs = job->jobs;
  const MfSuspect *suspect;

  mf_suspects_start_trial (jobs->suspects, part, now_us);
  suspect = mf_suspects_find (jobs->suspects, part, now_us);
  *(suspect->kind == MF_SUSPECT_CONTENT ? &job->trial_content : &job->trial_part) = part;
  mf_relay_log_state (jobs->log, "part.trial", "id=%s digest=%016llx next_ms=%u", job->id,
                      (unsigned long long)part, age_ms (now_us, suspect->quarantined_until_us));
  part_send (jobs, TO_ALL, suspect, false, now_us);
}

static void
job_void_trial (MfJob *job, uint64_t part)
{
  if (part == 0)
    return;
  mf_relay_log_state (job->jobs->log, "part.untried", "id=%s digest=%016llx", job->id,
                      (unsigned long long)part);
  mf_suspects_void_trial (job->jobs->suspects, part, mf_clock_now_us ());
}

/* Ends the trials of a part and of a content with their request. If that has reached no upstream,
 * the next one may try them. */
void
mf_job_end_trial (MfJob *job)
{
  if (job->n_arrivals > 0 || job->n_prefills > 0)
    return;
  job_void_trial (job, job->trial_part);
  job_void_trial (job, job->trial_content);
}

typedef struct
{
  MfJobs *jobs;
  uint64_t peer;
  uint64_t now_us;
} LostTrials;

static bool
part_void_trial (void *data, const MfSuspect *part)
{
  const LostTrials *lost = data;
  MfSuspect *suspect;

  if (part->kind == MF_SUSPECT_REQUEST || part->part.tried_by != lost->peer)
    return true;
  suspect = mf_suspects_find (lost->jobs->suspects, part->digest, lost->now_us);
  suspect->part.tried_by = 0;
  mf_suspects_void_trial (lost->jobs->suspects, part->digest, lost->now_us);
  mf_relay_log_state (lost->jobs->log, "part.untried", "id=none digest=%016llx",
                      (unsigned long long)part->digest);
  return true;
}

/* A peer has disconnected: nobody would report the results of the trials that it has begun. */
void
mf_jobs_suspects_peer_lost (MfJobs *jobs, uint64_t peer)
{
  LostTrials lost = { .jobs = jobs, .peer = peer, .now_us = mf_clock_now_us () };

  mf_suspects_foreach (jobs->suspects, lost.now_us, part_void_trial, &lost);
}

/* Returns when this instance may try a quarantined part. Instances of a lower rank for the part
 * wait longer, but each may: few of many instances get requests with it. */
static uint64_t
trial_time_us (const MfJobs *jobs, const MfSuspect *suspect, uint64_t now_us)
{
  uint32_t n_higher
      = jobs->peers != NULL ? mf_peers_n_higher (jobs->peers, suspect->digest, now_us) : 0;

  return suspect->quarantined_until_us + n_higher * TRIAL_STAGGER_US;
}

/* Returns the quarantined part, or the content, for which the request is refused, or NULL. If a
 * trial is due at this instance, and nothing else is refused, the request becomes the trial. One
 * request tries a part and its content at once, as no other request may have either; but not two
 * parts, of which one may be sound. */
static const MfSuspect *
job_refused_part (MfJob *job, uint64_t now_us)
{
  MfJobs *jobs = job->jobs;
  uint64_t due_part = 0;
  uint64_t due_content = 0;

  if (job->trial_part != 0 || job->trial_content != 0)
    return NULL;
  for (uint32_t i = 0; i <= job->parts.n_parts; i++)
    {
      bool is_content = i == job->parts.n_parts;
      uint64_t part = is_content ? job->content : job->parts.hashes[i];
      MfSuspectVerdict verdict
          = mf_suspects_judge_part (jobs->suspects, part, job->caller_hash, now_us);
      const MfSuspect *suspect;

      if (verdict == MF_SUSPECT_PART_ALLOWED || part == due_part)
        continue;
      suspect = mf_suspects_find (jobs->suspects, part, now_us);
      if (verdict == MF_SUSPECT_PART_REFUSED || (!is_content && due_part != 0)
          || trial_time_us (jobs, suspect, now_us) > now_us)
        return suspect;
      *(is_content ? &due_content : &due_part) = part;
    }
  if (due_part != 0)
    job_start_trial (job, due_part, now_us);
  if (due_content != 0)
    job_start_trial (job, due_content, now_us);
  return NULL;
}

/* Ends a request that is quarantined, or that has a quarantined part. Returns whether it was. */
bool
mf_job_end_quarantined (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();
  const MfSuspect *suspect = mf_suspects_is_quarantined (jobs->suspects, job->digest, now_us)
                                 ? mf_suspects_find (jobs->suspects, job->digest, now_us)
                                 : job_refused_part (job, now_us);

  if (suspect == NULL)
    return false;
  jobs->counters.counts[MF_RELAY_COUNT_SUSPECTS_REFUSED]++;
  job->pause_end_us = suspect->quarantined_until_us;
  if (!job->stalled.answer_began)
    mf_job_drop_stalled (job);
  if (job->n_runs > 0)
    mf_job_finish (job, MF_CODE_UPSTREAM_DIED, "upstreams crashed while running such requests");
  else
    mf_job_refuse (job, MF_CODE_POISON, "upstreams crashed while running such requests");
  return true;
}

/* Ends the requests that are quarantined now and whose answers have not begun, wherever they are:
 * cancelling one may come before the crash. */
void
mf_jobs_end_quarantined (MfJobs *jobs)
{
  MfJob *next;

  for (MfJob *job = jobs->first; job != NULL; job = next)
    {
      /* It is not refused as one that has not run. */
      bool is_first_run = mf_job_is_at_upstream (job) && job->n_runs == 0;

      next = job->next;
      if (job->caller == NULL || job->answer_began
          || (job->stalled.answer_began && !mf_job_has_successor (job)) || job->trial_part != 0
          || job->trial_content != 0)
        continue;
      job->n_runs += is_first_run;
      if (!mf_job_end_quarantined (job))
        job->n_runs -= is_first_run;
    }
}
