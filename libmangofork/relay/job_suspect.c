#include "job_row.h"

#include "libmangofork/clock.h"

#include <string.h>
#include <xxhash.h>

/* An upstream that ended shows it within this time of the break: its host refuses connections at
 * once, and where that is silent, discovery tells of the next process at the address. */
#define BREAK_US (10 * MF_US_PER_S)
/* Two deaths may have met an innocent request, whose caller waits no longer than this anyway. */
#define TWO_DEATHS_US (30 * MF_US_PER_S)
#define THREE_DEATHS_US (600 * MF_US_PER_S)
/* A request under which an upstream has ended is not sent again before it is known whether the next
 * one has, or this time has passed: a few round trips, or what connecting may take. */
#define VERDICT_US (300 * MF_US_PER_MS)
/* Breaks are read from the connections of an ended process within so long of each other. */
#define SAME_END_US (1 * MF_US_PER_S)
/* From so many deaths on, all instances are told at once; of fewer when the request ends. */
#define TOLD_AT_ONCE 2

/* Hash of what makes two tries of a caller the same request: its host, method, target and body.
 * Never 0. */
uint64_t
mf_job_digest (const MfCaller *caller)
{
  const MfHead *head = mf_caller_head (caller);
  const char *method = mf_caller_method (caller);
  const MfBuffer *body = mf_caller_body (caller);
  uint64_t parts[] = {
    mf_caller_host (caller),
    XXH3_64bits (method, strlen (method)),
    XXH3_64bits (mf_head_text (head, 0), head->target_bytes),
    XXH3_64bits (mf_buffer_data (body), mf_buffer_bytes (body)),
  };
  uint64_t digest = XXH3_64bits (parts, sizeof parts);

  return digest != 0 ? digest : 1;
}

/* Begins without suspects; false without memory. */
bool
mf_jobs_init_suspects (MfJobs *jobs)
{
  jobs->suspects
      = mf_suspects_new (&(MfSuspectLimits){ .crash_window_us = BREAK_US,
                                             .two_deaths_quarantine_us = TWO_DEATHS_US,
                                             .three_deaths_quarantine_us = THREE_DEATHS_US });
  return jobs->suspects != NULL;
}

/* Whether an upstream has ended under this request, or may have. */
bool
mf_job_is_suspect (const MfJob *job)
{
  const MfSuspect *suspect
      = mf_suspects_find (job->jobs->suspects, job->digest, mf_clock_now_us ());

  return job->n_breaks > 0 || (suspect != NULL && suspect->n_deaths > 0);
}

/* Ends a request that is not to run any more. Returns whether it was one. */
bool
mf_job_end_convicted (MfJob *job)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();

  if (!mf_suspects_is_quarantined (jobs->suspects, job->digest, now_us))
    return false;
  jobs->counters.counts[MF_RELAY_COUNT_SUSPECTS_REFUSED]++;
  job->opens_us = mf_suspects_find (jobs->suspects, job->digest, now_us)->quarantined_until_us;
  if (job->n_runs > 0)
    mf_job_finish (job, MF_CODE_UPSTREAM_DIED, "upstreams have ended under this request");
  else
    mf_job_refuse (job, MF_CODE_POISON, "upstreams have ended under this request");
  return true;
}

static uint32_t
age_ms (uint64_t at_us, uint64_t now_us)
{
  uint64_t ms = now_us > at_us ? (now_us - at_us) / MF_US_PER_MS : 0;

  return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

static uint64_t
moment_us (uint32_t ms, uint64_t now_us)
{
  return now_us > ms * MF_US_PER_MS ? now_us - ms * MF_US_PER_MS : 0;
}

static MfSuspectRow
row_make (const MfSuspect *suspect, uint64_t now_us)
{
  MfSuspectRow row = {
    .digest = suspect->digest,
    .sentence_ms = age_ms (now_us, suspect->quarantined_until_us),
    .n_deaths = suspect->n_deaths,
  };

  for (uint32_t i = 0; i < suspect->n_deaths; i++)
    row.deaths[i] = (MfSuspectRowDeath){
      .process = suspect->deaths[i].process_id,
      .sent_age_ms = age_ms (suspect->deaths[i].sent_us, now_us),
      .age_ms = age_ms (suspect->deaths[i].at_us, now_us),
    };
  return row;
}

static void
row_tell (MfJobs *jobs, const MfSuspectRow *row)
{
  if (jobs->peers == NULL)
    return;
  jobs->message.kind = MF_RELAY_MESSAGE_SUSPECTS;
  jobs->message.suspects.n_rows = 1;
  jobs->message.suspects.rows[0] = *row;
  mf_peers_send_all (jobs->peers, &jobs->message);
}

/* Tells all instances what is known of a request, unless they have been told. */
static void
suspect_tell (MfJobs *jobs, uint64_t digest)
{
  uint64_t now_us = mf_clock_now_us ();
  MfSuspect *suspect = mf_suspects_find (jobs->suspects, digest, now_us);
  MfSuspectRow row;

  if (suspect == NULL || suspect->n_reported >= suspect->n_deaths)
    return;
  suspect->n_reported = suspect->n_deaths;
  row = row_make (suspect, now_us);
  row_tell (jobs, &row);
}

/* The rows of one message, of those that are convicted or of the others. */
typedef struct
{
  MfSuspectNews *news;
  uint64_t now_us;
  bool convicted;
} RowList;

static bool
row_add (void *data, const MfSuspect *suspect)
{
  RowList *list = data;

  if (list->news->n_rows == MF_SUSPECT_ROWS_MAX)
    return false;
  if (suspect->n_reported > 0 && list->convicted == (suspect->quarantined_until_us > list->now_us))
    list->news->rows[list->news->n_rows++] = row_make (suspect, list->now_us);
  return true;
}

/* Tells an instance that may have started anew what all were told, convictions first. */
void
mf_jobs_tell_suspects (MfJobs *jobs, uint64_t peer)
{
  RowList list
      = { .news = &jobs->message.suspects, .now_us = mf_clock_now_us (), .convicted = true };

  list.news->n_rows = 0;
  mf_suspects_foreach (jobs->suspects, list.now_us, row_add, &list);
  list.convicted = false;
  mf_suspects_foreach (jobs->suspects, list.now_us, row_add, &list);
  jobs->message.kind = MF_RELAY_MESSAGE_SUSPECTS;
  if (list.news->n_rows > 0)
    mf_peers_send (jobs->peers, peer, &jobs->message);
}

static void
note_conviction (MfJobs *jobs, uint64_t digest, const char *by)
{
  const MfSuspect *suspect = mf_suspects_find (jobs->suspects, digest, mf_clock_now_us ());

  jobs->counters.counts[MF_RELAY_COUNT_CONVICTIONS]++;
  mf_lines_state (jobs->lines, "request.convicted",
                  "digest=%016llx upstreams_ended=%u by=%s sentence_ms=%u",
                  (unsigned long long)digest, suspect->n_deaths, by,
                  age_ms (mf_clock_now_us (), suspect->quarantined_until_us));
}

static void
row_take (MfJobs *jobs, const MfSuspectRow *row)
{
  uint64_t now_us = mf_clock_now_us ();
  bool was_convicted = mf_suspects_is_quarantined (jobs->suspects, row->digest, now_us);
  MfSuspect *suspect;

  if (row->cleared)
    {
      mf_suspects_remove (jobs->suspects, row->digest);
      return;
    }
  for (uint32_t i = 0; i < row->n_deaths; i++)
    mf_suspects_add_death (jobs->suspects, row->digest,
                           &(MfSuspectDeath){
                               .process_id = row->deaths[i].process,
                               .sent_us = moment_us (row->deaths[i].sent_age_ms, now_us),
                               .at_us = moment_us (row->deaths[i].age_ms, now_us),
                           },
                           false, now_us);
  if (row->sentence_ms > 0)
    mf_suspects_quarantine (jobs->suspects, row->digest, now_us + row->sentence_ms * MF_US_PER_MS,
                            now_us);
  suspect = mf_suspects_find (jobs->suspects, row->digest, now_us);
  if (suspect != NULL && suspect->n_reported < row->n_deaths)
    suspect->n_reported = row->n_deaths;
  if (!was_convicted && mf_suspects_is_quarantined (jobs->suspects, row->digest, now_us))
    note_conviction (jobs, row->digest, "peer");
}

/* Takes what another instance tells of requests under which upstreams have ended. */
void
mf_jobs_take_suspects (MfJobs *jobs, const MfSuspectNews *news)
{
  for (uint32_t i = 0; i < news->n_rows; i++)
    row_take (jobs, &news->rows[i]);
}

/* Whether a try of the request is still being served here. */
static bool
has_try (const MfJobs *jobs, uint64_t digest)
{
  for (const MfJob *job = jobs->first; job != NULL; job = job->next)
    {
      if (job->digest == digest)
        return true;
    }
  return false;
}

static void
on_verdict (void *data, const MfSuspectFailure *broken, MfSuspectResult verdict)
{
  MfJobs *jobs = data;
  const MfSuspect *suspect = mf_suspects_find (jobs->suspects, broken->digest, mf_clock_now_us ());

  if (verdict < MF_SUSPECT_COUNTED || suspect == NULL)
    return;
  jobs->counters.counts[MF_RELAY_COUNT_SUSPICIONS]++;
  mf_lines_add (jobs->lines, "request.suspected",
                "digest=%016llx upstreams_ended=%u was_suspect=%s break_age_ms=%u",
                (unsigned long long)broken->digest, suspect->n_deaths,
                broken->was_suspect ? "yes" : "no", age_ms (broken->failed_us, mf_clock_now_us ()));
  if (verdict == MF_SUSPECT_QUARANTINED)
    note_conviction (jobs, broken->digest, "self");
  if (suspect->n_deaths >= TOLD_AT_ONCE || !has_try (jobs, broken->digest))
    suspect_tell (jobs, broken->digest);
}

/* What broke at an upstream that ends in order, as it said that it would, broke of that. */
static void
upstream_ended (MfJobs *jobs, MfTarget *target)
{
  uint64_t process = mf_target_process (target);
  uint64_t now_us = mf_clock_now_us ();

  if (mf_suspects_n_failures (jobs->suspects) == 0)
    return;
  if (mf_target_is_leaving (target))
    mf_suspects_upstream_alive (jobs->suspects, process, UINT64_MAX, on_verdict, jobs);
  else
    mf_suspects_upstream_died (jobs->suspects, process, process, now_us, on_verdict, jobs);
}

static void
on_ended (void *data, MfTarget *target, const char *why)
{
  MfJobs *jobs = data;

  if (mf_suspects_n_failures (jobs->suspects) > 0)
    mf_lines_state (jobs->lines, "upstream.ended", "upstream=%s why=\"%s\" leaving=%s",
                    target->info.id, why, mf_target_is_leaving (target) ? "yes" : "no");
  upstream_ended (jobs, target);
}

/* Where a process stands now, what stood there before has ended: those that leave in order are not
 * waited for. */
static void
on_added (void *data, MfTarget *target)
{
  MfJobs *jobs = data;

  if (mf_suspects_n_failures (jobs->suspects) > 0)
    mf_suspects_address_reused (jobs->suspects, mf_load_hash (target->info.address),
                                mf_target_process (target), mf_clock_now_us (), on_verdict, jobs);
}

/* A request that waited for the verdict goes on. */
void
mf_job_verdict_due (MfJob *job)
{
  MfJobDenied denied = job->denied;

  job->awaited = 0;
  job->try_due_us = 0;
  mf_job_repeat_or_end (job, &denied);
}

static MfJob *
find_awaiting (const MfJobs *jobs, uint64_t process)
{
  for (MfJob *job = jobs->first; job != NULL; job = job->next)
    {
      if (job->awaited == process)
        return job;
    }
  return NULL;
}

static void
on_looked (void *data, MfTarget *target)
{
  MfJobs *jobs = data;
  uint64_t process = mf_target_process (target);
  MfJob *job;

  while ((job = find_awaiting (jobs, process)) != NULL)
    mf_job_verdict_due (job);
}

const MfTargetsUser mf_job_targets_user = {
  .ended = on_ended,
  .added = on_added,
  .looked = on_looked,
};

/* A run at an upstream broke, or was given up: it may have ended that, unless that leaves in order.
 */
void
mf_job_note_break (MfJob *job, MfTarget *target)
{
  MfJobs *jobs = job->jobs;
  uint64_t now_us = mf_clock_now_us ();

  if (mf_target_is_leaving (target))
    return;
  mf_suspects_add_failure (jobs->suspects, &(MfSuspectFailure){
                                               .digest = job->digest,
                                               .request_id = job->number,
                                               .upstream_id = mf_target_process (target),
                                               .address_hash = mf_load_hash (target->info.address),
                                               .was_suspect = job->was_suspect,
                                               .sent_us = job->sent_us,
                                               .failed_us = now_us,
                                           });
  job->n_breaks++;
  if (target->ended_us > 0 && now_us - target->ended_us < SAME_END_US
      && job->sent_us < target->ended_us)
    upstream_ended (jobs, target);
}

/* Sends a request whose run broke once more, or ends it. One that has met the end of an upstream
 * before waits until it is known whether this one has ended as well. */
void
mf_job_repeat_after_break (MfJob *job, MfTarget *target, const MfJobDenied *denied)
{
  if (!job->was_suspect || target->look == NULL)
    {
      mf_job_repeat_or_end (job, denied);
      return;
    }
  job->denied = *denied;
  job->phase = MF_JOB_WAITING;
  job->awaited = mf_target_process (target);
  job->try_due_us = mf_clock_now_us () + VERDICT_US;
  mf_job_set_timer (job);
}

/* An upstream answers a request that was sent there after something broke: it lives. */
void
mf_job_note_alive (const MfJob *job)
{
  MfJobs *jobs = job->jobs;

  if (mf_suspects_n_failures (jobs->suspects) > 0)
    mf_suspects_upstream_alive (jobs->suspects, mf_target_process (job->target), job->sent_us,
                                on_verdict, jobs);
}

/* The request has ended. One that was answered has ended no upstream, whatever it met before;
 * otherwise the others are told what is known of it. */
void
mf_job_note_outcome (const MfJob *job, bool answered)
{
  MfJobs *jobs = job->jobs;
  const MfSuspect *suspect = mf_suspects_find (jobs->suspects, job->digest, mf_clock_now_us ());
  bool was_told;

  if (suspect == NULL)
    return;
  if (!answered)
    {
      suspect_tell (jobs, job->digest);
      return;
    }
  was_told = suspect->n_reported > 0;
  mf_suspects_remove (jobs->suspects, job->digest);
  if (was_told)
    row_tell (jobs, &(MfSuspectRow){ .digest = job->digest, .cleared = true });
}

/* Lets go of breaks whose upstreams nobody has heard of since. */
void
mf_jobs_forget_breaks (MfJobs *jobs, uint64_t now_us)
{
  if (now_us > BREAK_US)
    mf_suspects_expire_failures (jobs->suspects, now_us - BREAK_US, on_verdict, jobs);
}
