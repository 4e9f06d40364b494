#include "suspect_row.h"

#include <stdlib.h>
#include <string.h>

/* Entries expire this long after their last update. */
#define ENTRY_LIFE_US (UINT64_C (600) * MF_US_PER_S)
#define SUSPECTS_MAX 4096
/* Crashes after which a request is quarantined when no other suspect ran at the last upstream, and
 * even if others ran at all of them. */
#define CRASHES_ISOLATED 2
#define CRASHES_CERTAIN 3

/* Returns an empty table, or NULL when out of memory. */
MfSuspects *
mf_suspects_new (const MfSuspectLimits *limits)
{
  MfSuspects *suspects = calloc (1, sizeof *suspects);

  if (suspects != NULL)
    suspects->limits = *limits;
  return suspects;
}

/* Accepts NULL. */
void
mf_suspects_free (MfSuspects *suspects)
{
  MfSuspectRow *row;
  MfSuspectRow *next;

  if (suspects == NULL)
    return;
  HASH_ITER (hh, suspects->rows, row, next)
  {
    HASH_DEL (suspects->rows, row);
    free (row);
  }
  free (suspects);
}

static MfSuspectRow *
row_find (const MfSuspects *suspects, uint64_t digest)
{
  MfSuspectRow *row;

  HASH_FIND (hh, suspects->rows, &digest, sizeof digest, row);
  return row;
}

static void
row_remove (MfSuspects *suspects, MfSuspectRow *row)
{
  HASH_DEL (suspects->rows, row);
  free (row);
}

/* Evicts the oldest row that is not quarantined, or the oldest one when all are. */
static void
evict_row (MfSuspects *suspects, uint64_t now_us)
{
  MfSuspectRow *oldest = suspects->rows;

  for (MfSuspectRow *row = suspects->rows; row != NULL; row = row->hh.next)
    {
      if (row->suspect.quarantined_until_us > now_us || row->suspect.part.quarantined_us > 0)
        continue;
      oldest = row;
      break;
    }
  row_remove (suspects, oldest);
}

/* A quarantined part or content is kept for as long after its next trial. */
static bool
row_has_expired (const MfSuspectRow *row, uint64_t now_us)
{
  uint64_t from_us = row->suspect.at_us;

  if (row->suspect.kind != MF_SUSPECT_REQUEST && row->suspect.quarantined_until_us > from_us)
    from_us = row->suspect.quarantined_until_us;
  return now_us > from_us && now_us - from_us > ENTRY_LIFE_US;
}

/* Returns the row of a suspect, which is new if there was none or it had expired. */
MfSuspect *
mf_suspects_find_or_add (MfSuspects *suspects, uint64_t digest, MfSuspectKind kind, uint64_t now_us)
{
  MfSuspectRow *row = row_find (suspects, digest);

  if (row != NULL && row_has_expired (row, now_us))
    {
      row_remove (suspects, row);
      row = NULL;
    }
  if (row == NULL)
    {
      if (HASH_COUNT (suspects->rows) >= SUSPECTS_MAX)
        evict_row (suspects, now_us);
      row = calloc (1, sizeof *row);
      if (row == NULL)
        abort ();
      row->suspect.digest = digest;
      row->suspect.kind = kind;
    }
  else
    HASH_DEL (suspects->rows, row); /* to be added as the newest one */
  HASH_ADD (hh, suspects->rows, suspect.digest, sizeof row->suspect.digest, row);
  row->suspect.at_us = now_us;
  return &row->suspect;
}

/* Returns the row of a suspect, or NULL when there is none or it has expired. */
MfSuspect *
mf_suspects_find (const MfSuspects *suspects, uint64_t digest, uint64_t now_us)
{
  MfSuspectRow *row = row_find (suspects, digest);

  return row == NULL || row_has_expired (row, now_us) ? NULL : &row->suspect;
}

/* Returns whether a request is to be refused at this time. */
bool
mf_suspects_is_quarantined (const MfSuspects *suspects, uint64_t digest, uint64_t now_us)
{
  const MfSuspect *suspect = mf_suspects_find (suspects, digest, now_us);

  return suspect != NULL && suspect->quarantined_until_us > now_us;
}

/* Calls func for each suspect with a counted crash and each disputed part, until it returns false.
 */
void
mf_suspects_foreach (const MfSuspects *suspects, uint64_t now_us, MfSuspectFunc func, void *data)
{
  for (const MfSuspectRow *row = suspects->rows; row != NULL; row = row->hh.next)
    {
      if (!row_has_expired (row, now_us)
          && (row->suspect.n_crashes > 0 || row->suspect.part.is_disputed)
          && !func (data, &row->suspect))
        return;
    }
}

static uint64_t
last_crash_process (const MfSuspect *suspect)
{
  return suspect->n_crashes > 0 ? suspect->crashes[suspect->n_crashes - 1].process_id : 0;
}

/* Returns whether a quarantined part explains the last crash of a request. */
static bool
last_crash_is_explained (const MfSuspects *suspects, const MfSuspect *suspect)
{
  uint64_t process_id = last_crash_process (suspect);

  return process_id != 0 && mf_suspects_part_explains (suspects, NULL, process_id);
}

/* Ends the quarantine of a request whose last crash another suspect may have caused, unless it has
 * CRASHES_CERTAIN crashes. The crashes stay, as the other may prove harmless. */
void
mf_suspects_release (MfSuspect *suspect)
{
  if (suspect->n_crashes < CRASHES_CERTAIN)
    suspect->quarantined_until_us = 0;
}

/* Returns whether the crash of a process counts against a suspect. */
bool
mf_suspect_has_process (const MfSuspect *suspect, uint64_t process_id)
{
  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    {
      if (suspect->crashes[i].process_id == process_id)
        return true;
    }
  return false;
}

/* Returns whether a request may have caused the crash of a process, so that it does not count
 * against another: it was the last crash of both, or the request has crashed upstreams for certain.
 */
static bool
may_explain (const MfSuspect *suspect, uint64_t process_id)
{
  if (suspect->kind != MF_SUSPECT_REQUEST || suspect->n_crashes < CRASHES_ISOLATED)
    return false;
  return suspect->n_crashes < CRASHES_CERTAIN ? last_crash_process (suspect) == process_id
                                              : mf_suspect_has_process (suspect, process_id);
}

/* Returns whether another request may have caused the last crash of this one, possibly as reported
 * by another instance. Ends the quarantine of the other as well unless it has CRASHES_CERTAIN
 * crashes, or this one has fewer. */
static bool
shares_last_crash (MfSuspects *suspects, const MfSuspect *suspect)
{
  uint64_t process_id = last_crash_process (suspect);
  bool shares = false;

  for (MfSuspectRow *row = suspects->rows; row != NULL && process_id != 0; row = row->hh.next)
    {
      MfSuspect *other = &row->suspect;

      if (other == suspect || !may_explain (other, process_id))
        continue;
      /* Where one crash is enough, only a request that was sent later explains it. */
      shares = shares || suspect->n_crashes > 1
               || other->crashes[other->n_crashes - 1].sent_us > suspect->crashes[0].sent_us;
      if (suspect->n_crashes > 1)
        mf_suspects_release (other);
    }
  return shares;
}

/* Shortens the quarantines for one crash of requests that were sent to the same process before this
 * one: a request crashes an upstream as that begins to run it. Returns whether one was sent after
 * it. */
static bool
shorten_earlier (MfSuspects *suspects, const MfSuspect *suspect, uint64_t now_us)
{
  const MfSuspectCrash *crash = &suspect->crashes[0];
  uint64_t short_until_us = now_us + suspects->limits.beside_quarantine_us;
  bool has_later = false;

  for (MfSuspectRow *row = suspects->rows; row != NULL && crash->process_id != 0;
       row = row->hh.next)
    {
      MfSuspect *other = &row->suspect;

      if (other == suspect || other->kind != MF_SUSPECT_REQUEST || other->n_crashes != 1
          || other->quarantined_until_us <= now_us
          || other->crashes[0].process_id != crash->process_id)
        continue;
      if (other->crashes[0].sent_us > crash->sent_us)
        has_later = true;
      else if (other->quarantined_until_us > short_until_us)
        other->quarantined_until_us = short_until_us;
    }
  return has_later;
}

/* Ends the quarantines of requests that this one explains, as it has crashed upstreams for certain.
 */
static void
release_explained (MfSuspects *suspects, const MfSuspect *suspect)
{
  for (MfSuspectRow *row = suspects->rows; row != NULL; row = row->hh.next)
    {
      MfSuspect *other = &row->suspect;
      uint64_t process_id = last_crash_process (other);

      if (other != suspect && other->kind == MF_SUSPECT_REQUEST && process_id != 0
          && mf_suspect_has_process (suspect, process_id))
        mf_suspects_release (other);
    }
}

/* Refuses a request until the given time. Returns whether it was not quarantined before. */
bool
mf_suspects_quarantine (MfSuspects *suspects, uint64_t digest, uint64_t until_us, uint64_t now_us)
{
  MfSuspect *suspect = mf_suspects_find_or_add (suspects, digest, MF_SUSPECT_REQUEST, now_us);
  bool is_new = suspect->quarantined_until_us <= now_us;

  if (suspect->n_crashes < CRASHES_CERTAIN
      && (shares_last_crash (suspects, suspect) || last_crash_is_explained (suspects, suspect)))
    return false;
  if (suspect->n_crashes == 1 && shorten_earlier (suspects, suspect, now_us)
      && until_us > now_us + suspects->limits.beside_quarantine_us)
    until_us = now_us + suspects->limits.beside_quarantine_us;
  if (until_us > suspect->quarantined_until_us)
    suspect->quarantined_until_us = until_us;
  return is_new && until_us > now_us;
}

/* Raises the number of crashes to what another instance has counted; the processes are unknown. */
void
mf_suspects_raise_crashes (MfSuspects *suspects, uint64_t digest, uint32_t n_crashes,
                           uint64_t now_us)
{
  MfSuspect *suspect = mf_suspects_find_or_add (suspects, digest, MF_SUSPECT_REQUEST, now_us);

  while (suspect->n_crashes < n_crashes && suspect->n_crashes < CRASHES_CERTAIN)
    suspect->crashes[suspect->n_crashes++] = (MfSuspectCrash){ .at_us = now_us };
}

/* Returns whether a crash adds no evidence: several attempts ran at one process, or the request was
 * sent to several processes before the first was known to have crashed. */
static bool
crash_is_duplicate (const MfSuspect *suspect, const MfSuspectCrash *crash)
{
  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    {
      if (suspect->crashes[i].process_id == crash->process_id && crash->process_id != 0)
        return true;
    }
  return suspect->n_crashes > 0 && crash->sent_us < suspect->crashes[suspect->n_crashes - 1].at_us;
}

static void
remove_oldest_crash (MfSuspect *suspect)
{
  suspect->n_crashes--;
  memmove (&suspect->crashes[0], &suspect->crashes[1],
           suspect->n_crashes * sizeof suspect->crashes[0]);
  if (suspect->n_reported > suspect->n_crashes)
    suspect->n_reported = suspect->n_crashes;
}

/* Counts a crash, which quarantines the request if it has n_needed with it. */
static MfSuspectResult
add_crash (MfSuspects *suspects, uint64_t digest, const MfSuspectCrash *crash, uint32_t n_needed,
           uint64_t now_us)
{
  MfSuspect *suspect = mf_suspects_find_or_add (suspects, digest, MF_SUSPECT_REQUEST, now_us);
  uint64_t duration_us;

  if (crash_is_duplicate (suspect, crash))
    return MF_SUSPECT_DUPLICATE;
  if (suspect->n_crashes == CRASHES_CERTAIN)
    remove_oldest_crash (suspect);
  suspect->crashes[suspect->n_crashes++] = *crash;
  if (suspect->n_crashes == CRASHES_CERTAIN)
    release_explained (suspects, suspect);
  if (suspect->n_crashes < n_needed)
    return MF_SUSPECT_COUNTED;
  duration_us = suspect->n_crashes < CRASHES_CERTAIN || last_crash_is_explained (suspects, suspect)
                    ? suspects->limits.two_crashes_quarantine_us
                    : suspects->limits.three_crashes_quarantine_us;
  return mf_suspects_quarantine (suspects, digest, now_us + duration_us, now_us)
             ? MF_SUSPECT_QUARANTINED
             : MF_SUSPECT_COUNTED;
}

/* Counts an upstream that crashed while it ran a request. isolated means that no other suspect ran
 * there. */
MfSuspectResult
mf_suspects_add_crash (MfSuspects *suspects, uint64_t digest, const MfSuspectCrash *crash,
                       bool isolated, uint64_t now_us)
{
  return add_crash (suspects, digest, crash, isolated ? CRASHES_ISOLATED : CRASHES_CERTAIN, now_us);
}

/* Removes a failure; the last one takes its place. */
static MfSuspectFailure
failure_take (MfSuspects *suspects, uint32_t index)
{
  MfSuspectFailure failure = suspects->failures[index];

  suspects->failures[index] = suspects->failures[--suspects->n_failures];
  return failure;
}

/* Remembers that an upstream has survived a request. Failures of it that are still kept had another
 * cause: what their upstreams do now does not concern it. */
void
mf_suspects_note_answered (MfSuspects *suspects, uint64_t digest)
{
  suspects->answered[digest % MF_SUSPECT_ANSWERED_MAX] = digest;
  for (uint32_t i = suspects->n_failures; i-- > 0;)
    {
      if (suspects->failures[i].digest == digest)
        failure_take (suspects, i);
    }
}

/* Whether an upstream is known to have survived the request. */
bool
mf_suspects_was_answered (const MfSuspects *suspects, uint64_t digest)
{
  return suspects->answered[digest % MF_SUSPECT_ANSWERED_MAX] == digest;
}

/* Removes a request that was answered: its upstreams crashed of another cause. Returns whether it
 * had a row. */
bool
mf_suspects_remove (MfSuspects *suspects, uint64_t digest)
{
  MfSuspectRow *row = row_find (suspects, digest);

  if (row == NULL)
    return false;
  row_remove (suspects, row);
  return true;
}

/* Keeps a failed call until it is known whether its upstream crashed. Returns false when a failure
 * of this attempt at this upstream is kept already. */
bool
mf_suspects_add_failure (MfSuspects *suspects, const MfSuspectFailure *failure)
{
  for (uint32_t i = 0; i < suspects->n_failures; i++)
    {
      if (suspects->failures[i].request_id == failure->request_id
          && suspects->failures[i].upstream_id == failure->upstream_id)
        return false;
    }
  if (suspects->n_failures == MF_SUSPECT_FAILURES_MAX)
    failure_take (suspects, 0);
  suspects->failures[suspects->n_failures++] = *failure;
  return true;
}

uint32_t
mf_suspects_n_failures (const MfSuspects *suspects)
{
  return suspects->n_failures;
}

/* Removes one failure at an upstream, or at any when it is 0, that is older than before_us. */
static bool
remove_failure (MfSuspects *suspects, uint64_t upstream_id, uint64_t before_us,
                MfSuspectFailure *failure)
{
  for (uint32_t i = 0; i < suspects->n_failures; i++)
    {
      if ((upstream_id != 0 && suspects->failures[i].upstream_id != upstream_id)
          || suspects->failures[i].failed_us >= before_us)
        continue;
      *failure = failure_take (suspects, i);
      return true;
    }
  return false;
}

/* Withdraws the failure of an attempt at an upstream, as the attempt goes on there. Returns whether
 * there was one. */
bool
mf_suspects_withdraw_failure (MfSuspects *suspects, uint64_t request_id, uint64_t upstream_id,
                              MfSuspectFailure *failure)
{
  for (uint32_t i = 0; i < suspects->n_failures; i++)
    {
      if (suspects->failures[i].request_id != request_id
          || suspects->failures[i].upstream_id != upstream_id)
        continue;
      *failure = failure_take (suspects, i);
      return true;
    }
  return false;
}

/* Returns the content of all suspects that failed at an upstream; 0: there are several, or none. */
static uint64_t
sole_suspect_content (const MfSuspects *suspects, uint64_t upstream_id)
{
  uint64_t content = 0;

  for (uint32_t i = 0; i < suspects->n_failures; i++)
    {
      const MfSuspectFailure *failure = &suspects->failures[i];

      if (failure->upstream_id != upstream_id || !failure->was_suspect)
        continue;
      if (content != 0 && failure->content != content)
        return 0;
      content = failure->content;
    }
  return content;
}

static uint32_t
count_suspects_at (const MfSuspects *suspects, uint64_t upstream_id)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < suspects->n_failures; i++)
    n += suspects->failures[i].upstream_id == upstream_id && suspects->failures[i].was_suspect;
  return n;
}

/* Returns the number of crashes, with the one of a failure, from which on its request is
 * quarantined.
 */
static uint32_t
crashes_needed (const MfSuspects *suspects, const MfSuspectFailure *failure, uint32_t n_suspects)
{
  if (failure->is_sufficient && !mf_suspects_was_answered (suspects, failure->digest))
    return 1;
  return failure->was_suspect && n_suspects == 1 ? CRASHES_ISOLATED : CRASHES_CERTAIN;
}

/* Returns whether the crash of a process is the result of a trial. Otherwise the trial was sent to
 * a process that had crashed before. */
static bool
trial_failed (const MfSuspects *suspects, uint64_t part, uint64_t process_id, uint64_t now_us)
{
  return !mf_suspects_part_has_crash (suspects, part, process_id, now_us);
}

static void
end_trial (MfSuspects *suspects, uint64_t part, bool has_failed, uint64_t now_us)
{
  if (has_failed)
    mf_suspects_fail_trial (suspects, part, now_us);
  else
    mf_suspects_void_trial (suspects, part, now_us);
}

/* Handles the crash of an upstream: counts it against the requests whose calls failed there within
 * the crash window. process identifies the incarnation that crashed, since an upstream may restart
 * under the same id. */
void
mf_suspects_upstream_crashed (MfSuspects *suspects, uint64_t upstream_id, uint64_t process_id,
                              uint64_t now_us, MfSuspectFailureFunc func, void *data)
{
  uint32_t n_suspects = count_suspects_at (suspects, upstream_id);
  uint64_t sole_content = sole_suspect_content (suspects, upstream_id);
  MfSuspectFailure failure;

  while (remove_failure (suspects, upstream_id, UINT64_MAX, &failure))
    {
      MfSuspectCrash crash = { .process_id = process_id,
                               .digest = failure.digest,
                               .caller = failure.caller,
                               .sent_us = failure.sent_us,
                               .at_us = failure.failed_us };
      MfSuspectResult result = MF_SUSPECT_UNRELATED;

      if (now_us - failure.failed_us < suspects->limits.crash_window_us)
        {
          bool part_failed = trial_failed (suspects, failure.trial_part, process_id, now_us);
          bool content_failed = trial_failed (suspects, failure.trial_content, process_id, now_us);

          mf_suspects_add_part_crashes (suspects, &failure.parts, &crash,
                                        failure.is_sufficient_for_parts, now_us);
          if (failure.content != 0)
            mf_suspects_add_content_crash (suspects, failure.content, &crash,
                                           failure.was_suspect && failure.content == sole_content,
                                           failure.is_sufficient, now_us);
          end_trial (suspects, failure.trial_part, part_failed, now_us);
          end_trial (suspects, failure.trial_content, content_failed, now_us);
          result = add_crash (suspects, failure.digest, &crash,
                              crashes_needed (suspects, &failure, n_suspects), now_us);
        }
      func (data, &failure, result);
    }
}

/* Returns an upstream with a failed call at an address other than the one that now has the address,
 * or 0. */
static uint64_t
find_predecessor (const MfSuspects *suspects, uint64_t address_hash, uint64_t successor)
{
  for (uint32_t i = 0; i < suspects->n_failures; i++)
    {
      if (suspects->failures[i].address_hash == address_hash
          && suspects->failures[i].upstream_id != successor)
        return suspects->failures[i].upstream_id;
    }
  return 0;
}

/* Handles a new process at an address: any other process that had the address has crashed. Here the
 * id of an upstream is the id of its process. */
void
mf_suspects_address_reused (MfSuspects *suspects, uint64_t address_hash, uint64_t successor,
                            uint64_t now_us, MfSuspectFailureFunc func, void *data)
{
  uint64_t upstream_id;

  while ((upstream_id = find_predecessor (suspects, address_hash, successor)) != 0)
    mf_suspects_upstream_crashed (suspects, upstream_id, upstream_id, now_us, func, data);
}

/* Handles evidence that an upstream is alive: calls that failed there earlier had another cause. */
void
mf_suspects_upstream_alive (MfSuspects *suspects, uint64_t upstream_id, uint64_t before_us,
                            MfSuspectFailureFunc func, void *data)
{
  MfSuspectFailure failure;

  while (remove_failure (suspects, upstream_id, before_us, &failure))
    func (data, &failure, MF_SUSPECT_UNRELATED);
}

/* Resolves failures older than before_us as unrelated to any crash. */
void
mf_suspects_expire_failures (MfSuspects *suspects, uint64_t before_us, MfSuspectFailureFunc func,
                             void *data)
{
  mf_suspects_upstream_alive (suspects, 0, before_us, func, data);
}
