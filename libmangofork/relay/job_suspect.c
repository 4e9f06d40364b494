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
#define TWO_DEATHS_QUARANTINE_US (30 * MF_US_PER_S)
#define THREE_DEATHS_QUARANTINE_US (600 * MF_US_PER_S)
/* A suspect request is retried only once it is known whether the last upstream crashed too, or
 * after this time: a few round trips, or the time a connection may take. */
#define PROBE_TIMEOUT_US (300 * MF_US_PER_MS)
/* Failures on the connections of a crashed process are seen within this time of each other. */
#define SAME_CRASH_US (1 * MF_US_PER_S)
/* From this number of deaths on, all instances are informed at once; before, when the request
 * ends. */
#define REPORT_AT_ONCE_DEATHS 2

/* Hash of what identifies a caller's request across tries: host, method, target and body. Never
 * 0. */
uint64_t
mf_job_digest (const MfCaller *caller)
{
  const MfHead *head = mf_caller_head (caller);
  const char *method = mf_caller_method (caller);
  const MfBuffer *body = mf_caller_body (caller);
  uint64_t parts[] = {
    mf_caller_address_hash (caller),
    XXH3_64bits (method, strlen (method)),
    XXH3_64bits (mf_head_text (head, 0), head->target_bytes),
    XXH3_64bits (mf_buffer_data (body), mf_buffer_bytes (body)),
  };
  uint64_t digest = XXH3_64bits (parts, sizeof parts);

  return digest != 0 ? digest : 1;
}

/* Returns false if memory ran out. */
bool
mf_jobs_init_suspects (MfJobs *jobs)
{
  jobs->suspects = mf_suspects_new (
      &(MfSuspectLimits){ .crash_window_us = CRASH_WINDOW_US,
                          .two_deaths_quarantine_us = TWO_DEATHS_QUARANTINE_US,
                          .three_deaths_quarantine_us = THREE_DEATHS_QUARANTINE_US });
  return jobs->suspects != NULL;
}

/* Whether an upstream has crashed, or may have crashed, while running this request. */
bool
mf_job_is_suspect (const MfJob *job)
{
  const MfSuspect *suspect
      = mf_suspects_find (job->jobs->suspects, job->digest, mf_clock_now_us ());

  return job->n_failures > 0 || (suspect != NULL && suspect->n_deaths > 0);
}

/* Ends a request that is quarantined. Returns whether it was. */
bool
mf_job_end_quarantined (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();

  if (!mf_suspects_is_quarantined (jobs->suspects, job->digest, now_us))
    return false;
  jobs->counters.counts[MF_RELAY_COUNT_SUSPECTS_REFUSED]++;
  job->pause_end_us = mf_suspects_find (jobs->suspects, job->digest, now_us)->quarantined_until_us;
  if (job->n_runs > 0)
    mf_job_finish (job, MF_CODE_UPSTREAM_DIED, "upstreams crashed while running this request");
  else
    mf_job_refuse (job, MF_CODE_POISON, "upstreams crashed while running this request");
  return true;
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

static MfSuspectEntry
entry_make (const MfSuspect *suspect, uint64_t now_us)
{
  MfSuspectEntry entry = {
    .digest = suspect->digest,
    .quarantine_ms = age_ms (now_us, suspect->quarantined_until_us),
    .n_deaths = suspect->n_deaths,
  };

  for (uint32_t i = 0; i < suspect->n_deaths; i++)
    entry.deaths[i] = (MfSuspectEntryDeath){
      .process = suspect->deaths[i].process_id,
      .sent_age_ms = age_ms (suspect->deaths[i].sent_us, now_us),
      .age_ms = age_ms (suspect->deaths[i].at_us, now_us),
    };
  return entry;
}

static void
entry_send (MfJobs *jobs, const MfSuspectEntry *entry)
{
  if (jobs->peers == NULL)
    return;
  jobs->message.kind = MF_RELAY_MESSAGE_SUSPECTS;
  jobs->message.suspects.n_entries = 1;
  jobs->message.suspects.entries[0] = *entry;
  mf_peers_send_all (jobs->peers, &jobs->message);
}

/* Sends what is known of a request to all instances, unless they have it already. */
static void
suspect_send (MfJobs *jobs, uint64_t digest)
{
  uint64_t now_us = mf_clock_now_us ();
  MfSuspect *suspect = mf_suspects_find (jobs->suspects, digest, now_us);
  MfSuspectEntry entry;

  if (suspect == NULL || suspect->n_reported >= suspect->n_deaths)
    return;
  suspect->n_reported = suspect->n_deaths;
  entry = entry_make (suspect, now_us);
  entry_send (jobs, &entry);
}

/* Arguments of entry_add, which adds either the quarantined requests to a message or the others. */
typedef struct
{
  MfSuspectUpdate *update;
  uint64_t now_us;
  bool quarantined;
} EntryList;

static bool
entry_add (void *data, const MfSuspect *suspect)
{
  EntryList *list = data;

  if (list->update->n_entries == MF_SUSPECT_ENTRIES_MAX)
    return false;
  if (suspect->n_reported > 0
      && list->quarantined == (suspect->quarantined_until_us > list->now_us))
    list->update->entries[list->update->n_entries++] = entry_make (suspect, list->now_us);
  return true;
}

/* Sends the suspects that all instances were informed of to one that may have restarted.
 * Quarantined ones come first, as a message holds only MF_SUSPECT_ENTRIES_MAX. */
void
mf_jobs_send_suspects (MfJobs *jobs, uint64_t peer)
{
  EntryList list
      = { .update = &jobs->message.suspects, .now_us = mf_clock_now_us (), .quarantined = true };

  list.update->n_entries = 0;
  mf_suspects_foreach (jobs->suspects, list.now_us, entry_add, &list);
  list.quarantined = false;
  mf_suspects_foreach (jobs->suspects, list.now_us, entry_add, &list);
  jobs->message.kind = MF_RELAY_MESSAGE_SUSPECTS;
  if (list.update->n_entries > 0)
    mf_peers_send (jobs->peers, peer, &jobs->message);
}

static void
record_quarantine (MfJobs *jobs, uint64_t digest, const char *by)
{
  const MfSuspect *suspect = mf_suspects_find (jobs->suspects, digest, mf_clock_now_us ());

  jobs->counters.counts[MF_RELAY_COUNT_QUARANTINES]++;
  mf_relay_log_state (jobs->log, "request.convicted",
                      "digest=%016llx upstreams_ended=%u by=%s sentence_ms=%u",
                      (unsigned long long)digest, suspect->n_deaths, by,
                      age_ms (mf_clock_now_us (), suspect->quarantined_until_us));
}

static void
entry_handle (MfJobs *jobs, const MfSuspectEntry *entry)
{
  uint64_t now_us = mf_clock_now_us ();
  bool was_quarantined = mf_suspects_is_quarantined (jobs->suspects, entry->digest, now_us);
  MfSuspect *suspect;

  if (entry->cleared)
    {
      mf_suspects_remove (jobs->suspects, entry->digest);
      return;
    }
  for (uint32_t i = 0; i < entry->n_deaths; i++)
    mf_suspects_add_death (jobs->suspects, entry->digest,
                           &(MfSuspectDeath){
                               .process_id = entry->deaths[i].process,
                               .sent_us = time_us (entry->deaths[i].sent_age_ms, now_us),
                               .at_us = time_us (entry->deaths[i].age_ms, now_us),
                           },
                           false, now_us);
  if (entry->quarantine_ms > 0)
    mf_suspects_quarantine (jobs->suspects, entry->digest,
                            now_us + entry->quarantine_ms * MF_US_PER_MS, now_us);
  suspect = mf_suspects_find (jobs->suspects, entry->digest, now_us);
  if (suspect != NULL && suspect->n_reported < entry->n_deaths)
    suspect->n_reported = entry->n_deaths;
  if (!was_quarantined && mf_suspects_is_quarantined (jobs->suspects, entry->digest, now_us))
    record_quarantine (jobs, entry->digest, "peer");
}

/* Handles suspect requests reported by another instance. */
void
mf_jobs_handle_suspects (MfJobs *jobs, const MfSuspectUpdate *update)
{
  for (uint32_t i = 0; i < update->n_entries; i++)
    entry_handle (jobs, &update->entries[i]);
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
                      "digest=%016llx upstreams_ended=%u was_suspect=%s break_age_ms=%u",
                      (unsigned long long)failure->digest, suspect->n_deaths,
                      failure->was_suspect ? "yes" : "no",
                      age_ms (failure->failed_us, mf_clock_now_us ()));
  if (result == MF_SUSPECT_QUARANTINED)
    record_quarantine (jobs, failure->digest, "self");
  if (suspect->n_deaths >= REPORT_AT_ONCE_DEATHS || !has_job (jobs, failure->digest))
    suspect_send (jobs, failure->digest);
}

/* Failures at an upstream that announced its exit are attributed to the exit, not to requests. */
static void
upstream_died (MfJobs *jobs, MfTarget *target)
{
  uint64_t process = mf_target_process_id (target);
  uint64_t now_us = mf_clock_now_us ();

  if (mf_suspects_n_failures (jobs->suspects) == 0)
    return;
  if (mf_target_is_leaving (target))
    mf_suspects_upstream_alive (jobs->suspects, process, UINT64_MAX, on_failure_result, jobs);
  else
    mf_suspects_upstream_died (jobs->suspects, process, process, now_us, on_failure_result, jobs);
}

static void
on_upstream_ended (void *data, MfTarget *target, const char *why)
{
  MfJobs *jobs = data;

  if (mf_suspects_n_failures (jobs->suspects) > 0)
    mf_relay_log_state (jobs->log, "upstream.ended", "upstream=%s why=\"%s\" leaving=%s",
                        target->info.id, why, mf_target_is_leaving (target) ? "yes" : "no");
  upstream_died (jobs, target);
}

/* A new process at an address means that the previous one has ended. Processes that announced their
 * exit are not waited for. */
static void
on_upstream_added (void *data, MfTarget *target)
{
  MfJobs *jobs = data;

  if (mf_suspects_n_failures (jobs->suspects) > 0)
    mf_suspects_address_reused (jobs->suspects, mf_load_hash (target->info.address),
                                mf_target_process_id (target), mf_clock_now_us (),
                                on_failure_result, jobs);
}

/* Continues a request that waited for a probe of its last upstream. */
void
mf_job_probe_done (MfJob *job)
{
  MfJobDenial denial = job->denial;

  job->awaited_process_id = 0;
  job->step_deadline_us = 0;
  mf_job_retry_or_end (job, &denial);
}

static MfJob *
find_awaiting (const MfJobs *jobs, uint64_t process)
{
  for (MfJob *job = jobs->first; job != NULL; job = job->next)
    {
      if (job->awaited_process_id == process)
        return job;
    }
  return NULL;
}

static void
on_upstream_probed (void *data, MfTarget *target)
{
  MfJobs *jobs = data;
  uint64_t process = mf_target_process_id (target);
  MfJob *job;

  while ((job = find_awaiting (jobs, process)) != NULL)
    mf_job_probe_done (job);
}

static void
on_limit_changed (void *data, MfTarget *target, bool by_answer)
{
  mf_jobs_limit_changed (data, target, by_answer);
}

const MfTargetsCallbacks mf_job_targets_callbacks = {
  .ended = on_upstream_ended,
  .added = on_upstream_added,
  .probed = on_upstream_probed,
  .limit_changed = on_limit_changed,
};

/* Records a failed or abandoned send, which may have crashed its upstream unless that announced its
 * exit. */
void
mf_job_note_failure (MfJob *job, MfTarget *target)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();

  if (mf_target_is_leaving (target))
    return;
  mf_suspects_add_failure (jobs->suspects, &(MfSuspectFailure){
                                               .digest = job->digest,
                                               .request_id = job->try_id,
                                               .upstream_id = mf_target_process_id (target),
                                               .address_hash = mf_load_hash (target->info.address),
                                               .was_suspect = job->was_suspect,
                                               .sent_us = job->sent_us,
                                               .failed_us = now_us,
                                           });
  job->n_failures++;
  if (target->ended_us > 0 && now_us - target->ended_us < SAME_CRASH_US
      && job->sent_us < target->ended_us)
    upstream_died (jobs, target);
}

/* Retries a request after a failure, or ends it. A suspect waits until a probe has shown whether
 * this upstream has crashed as well. */
void
mf_job_retry_after_failure (MfJob *job, MfTarget *target, const MfJobDenial *denial)
{
  if (!job->was_suspect || target->probe == NULL)
    {
      mf_job_retry_or_end (job, denial);
      return;
    }
  job->denial = *denial;
  job->phase = MF_JOB_WAITING;
  job->awaited_process_id = mf_target_process_id (target);
  job->step_deadline_us = mf_clock_now_us () + PROBE_TIMEOUT_US;
  mf_job_set_timer (job);
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

/* Records the end of the request. An answered request is no suspect any more; otherwise what is
 * known of it is sent to the other instances. */
void
mf_job_note_outcome (const MfJob *job, bool answered)
{
  MfJobs *jobs = job->jobs;
  const MfSuspect *suspect = mf_suspects_find (jobs->suspects, job->digest, mf_clock_now_us ());
  bool was_reported;

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
    entry_send (jobs, &(MfSuspectEntry){ .digest = job->digest, .cleared = true });
}

/* Drops failures whose upstream has shown no crash within the window. */
void
mf_jobs_expire_failures (MfJobs *jobs, uint64_t now_us)
{
  if (now_us > CRASH_WINDOW_US)
    mf_suspects_expire_failures (jobs->suspects, now_us - CRASH_WINDOW_US, on_failure_result, jobs);
}
