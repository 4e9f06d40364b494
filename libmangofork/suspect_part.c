#include "suspect_row.h"

#include <stdlib.h>
#include <string.h>

/* Crashes after which a part is quarantined: when no better suspect crashed with them and no
 * upstream had lately survived the part; the same for one that was quarantined before; and in any
 * case. */
#define CRASHES_SOLE 3
#define CRASHES_AGAIN 2
#define CRASHES_ANY 5
/* Crashes after which a content is quarantined that no upstream has lately survived, if the last
 * upstream ran no other suspect. */
#define CRASHES_ISOLATED 2
/* A better suspect with as many crashes explains them. */
#define CRASHES_EXPLAINING 2
/* One crash is enough only where no more requests than these ran beside it. */
#define PROVISIONAL_REQUESTS_MAX 2
/* A part that is quarantined for one crash is tried sooner by this factor. */
#define PROVISIONAL_TRIAL_FACTOR 3
/* An upstream that survived a part within this time before its first crash speaks for it. */
#define SOUND_WINDOW_US (60 * MF_US_PER_S)
/* Upstreams that lose power together crash within this time. */
#define SAME_MOMENT_US (250 * MF_US_PER_MS)
/* Each upstream that crashes in a trial puts off the next one by this factor, but the first one of
 * a part, which something else that was sent to it may have crashed. */
#define TRIAL_BACKOFF 6
#define TRIAL_INTERVAL_MAX_US (UINT64_C (7200) * MF_US_PER_S)
/* Of a content, which many callers may share: upstreams that crashed in its trials for another
 * reason may be sound again. */
#define CONTENT_TRIAL_INTERVAL_MAX_US (UINT64_C (120) * MF_US_PER_S)

static MfSoundPart *
sound_place (MfSuspects *suspects, MfSuspectKind kind, uint64_t part)
{
  MfSoundPart *places
      = kind == MF_SUSPECT_CONTENT ? suspects->sound_contents : suspects->sound_parts;

  return &places[part % MF_SUSPECT_SOUND_MAX];
}

static MfSuspect *
part_find_or_add (MfSuspects *suspects, MfSuspectKind kind, uint64_t part, uint32_t depth,
                  uint64_t now_us)
{
  const MfSoundPart *sound = sound_place (suspects, kind, part);
  MfSuspect *suspect = mf_suspects_find_or_add (suspects, part, kind, now_us);

  if (suspect->part.sound_us == 0 && sound->part == part)
    suspect->part.sound_us = sound->at_us;
  if (suspect->n_crashes == 0)
    suspect->part.depth = depth;
  return suspect;
}

static void
remove_crash (MfSuspect *suspect, uint32_t index)
{
  suspect->n_crashes--;
  memmove (&suspect->crashes[index], &suspect->crashes[index + 1],
           (suspect->n_crashes - index) * sizeof suspect->crashes[0]);
}

/* Returns whether a crash adds no evidence: it is known already, or, of a part, it is of another
 * try of the same request, which is then a suspect itself. */
static bool
crash_is_duplicate (const MfSuspect *suspect, const MfSuspectCrash *crash)
{
  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    {
      const MfSuspectCrash *known = &suspect->crashes[i];

      if (known->process_id == crash->process_id
          || (suspect->kind == MF_SUSPECT_PART && known->digest == crash->digest))
        return true;
    }
  return false;
}

/* Returns whether part a is more likely deadly than part b by what else is known of them: the one
 * that upstreams have survived less recently, or the more specific one. */
static bool
is_better_suspect (const MfSuspectPart *a, const MfSuspectPart *b)
{
  if (a->sound_us != b->sound_us)
    return a->sound_us < b->sound_us;
  return a->depth > b->depth;
}

/* Returns whether a quarantined part explains the crash of a process under a request, or under a
 * part that is a worse suspect; worse is NULL for a request. A provisional quarantine explains
 * nothing. */
bool
mf_suspects_part_explains (const MfSuspects *suspects, const MfSuspectPart *worse,
                           uint64_t process_id)
{
  for (const MfSuspectRow *row = suspects->rows; row != NULL; row = row->hh.next)
    {
      const MfSuspect *part = &row->suspect;

      if (part->kind == MF_SUSPECT_PART && part->part.quarantined_us > 0
          && !part->part.is_provisional && mf_suspect_has_process (part, process_id)
          && (worse == NULL || is_better_suspect (&part->part, worse)))
        return true;
    }
  return false;
}

/* Returns the most crashes of any better suspect that crashed with a process; 0: there is none. */
static uint32_t
better_suspect_crashes (const MfSuspects *suspects, const MfSuspect *suspect, uint64_t process_id)
{
  uint32_t most = 0;

  for (const MfSuspectRow *row = suspects->rows; row != NULL; row = row->hh.next)
    {
      const MfSuspect *other = &row->suspect;

      if (other->kind == MF_SUSPECT_PART && other != suspect && other->n_crashes > most
          && mf_suspect_has_process (other, process_id)
          && is_better_suspect (&other->part, &suspect->part))
        most = other->n_crashes;
    }
  return most;
}

static bool
was_lately_sound (const MfSuspect *suspect)
{
  return suspect->part.sound_us > 0
         && suspect->crashes[0].at_us < suspect->part.sound_us + SOUND_WINDOW_US;
}

/* Returns the number of moments at which upstreams crashed, of those crashes for which n_better is
 * at most a number: all upstreams that lose power together count once. */
static uint32_t
count_moments (const MfSuspect *suspect, const uint32_t *n_better, uint32_t n_better_max)
{
  uint64_t counted_us[MF_SUSPECT_CRASHES_MAX];
  uint32_t n_counted = 0;

  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    {
      uint64_t at_us = suspect->crashes[i].at_us;
      bool is_new = n_better[i] <= n_better_max;

      for (uint32_t j = 0; j < n_counted; j++)
        is_new = is_new
                 && (at_us > counted_us[j] ? at_us - counted_us[j] : counted_us[j] - at_us)
                        >= SAME_MOMENT_US;
      if (is_new)
        counted_us[n_counted++] = at_us;
    }
  return n_counted;
}

/* Returns whether the crashes of a content suffice to quarantine it. If it was quarantined before,
 * or an upstream has lately survived it, they must lie apart: callers may have sent the same
 * request to all upstreams that lose power together. */
static bool
content_is_convicted (const MfSuspect *suspect)
{
  static const uint32_t n_better[MF_SUSPECT_CRASHES_MAX] = { 0 };

  if (suspect->n_crashes < CRASHES_AGAIN)
    return false;
  if (suspect->part.n_quarantines
      > (suspect->part.quarantined_us > 0 && !suspect->part.is_provisional))
    return count_moments (suspect, n_better, 0) >= CRASHES_AGAIN;
  return was_lately_sound (suspect) ? count_moments (suspect, n_better, 0) >= CRASHES_ANY
                                    : suspect->n_crashes >= CRASHES_SOLE;
}

/* Returns whether the crashes of a part suffice to quarantine it. Those that nothing else explains
 * need not lie apart: upstreams that lose power together seldom run the same rare part. */
static bool
is_convicted (const MfSuspects *suspects, const MfSuspect *suspect)
{
  uint32_t n_better[MF_SUSPECT_CRASHES_MAX];
  uint32_t n_sole = 0;

  if (suspect->kind == MF_SUSPECT_CONTENT)
    return content_is_convicted (suspect);
  if (suspect->n_crashes < CRASHES_AGAIN)
    return false;
  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    {
      n_better[i] = better_suspect_crashes (suspects, suspect, suspect->crashes[i].process_id);
      n_sole += n_better[i] == 0;
    }
  if (suspect->part.n_quarantines
      > (suspect->part.quarantined_us > 0 && !suspect->part.is_provisional))
    return count_moments (suspect, n_better, 0) >= CRASHES_AGAIN;
  return count_moments (suspect, n_better, CRASHES_EXPLAINING - 1) >= CRASHES_ANY
         || (n_sole >= CRASHES_SOLE && !was_lately_sound (suspect));
}

/* Takes back the crashes of worse suspects that a quarantined part explains, and ends the
 * quarantines of requests that it explains. A content explains nothing: the parts of its prompt
 * crashed the same upstreams. */
static void
withdraw_explained (MfSuspects *suspects, const MfSuspect *suspect)
{
  if (suspect->part.is_provisional || suspect->kind == MF_SUSPECT_CONTENT)
    return;
  for (MfSuspectRow *row = suspects->rows; row != NULL; row = row->hh.next)
    {
      MfSuspect *other = &row->suspect;

      if (other->kind == MF_SUSPECT_REQUEST && other->n_crashes > 0
          && mf_suspect_has_process (suspect, other->crashes[other->n_crashes - 1].process_id))
        mf_suspects_release (other);
      if (other->kind != MF_SUSPECT_PART || other->part.quarantined_us > 0
          || !is_better_suspect (&suspect->part, &other->part))
        continue;
      for (uint32_t i = other->n_crashes; i-- > 0;)
        {
          if (mf_suspect_has_process (suspect, other->crashes[i].process_id))
            remove_crash (other, i);
        }
    }
}

/* Returns the caller of all crashes; 0: there are several. */
static uint64_t
only_caller (const MfSuspect *suspect)
{
  for (uint32_t i = 1; i < suspect->n_crashes; i++)
    {
      if (suspect->crashes[i].caller != suspect->crashes[0].caller)
        return 0;
    }
  return suspect->n_crashes > 0 ? suspect->crashes[0].caller : 0;
}

/* Returns whether a part is quarantined for one crash, as earlier ones may be unknown. */
static bool
is_quarantined_for_one (const MfSuspect *suspect)
{
  return suspect->part.is_provisional && suspect->n_crashes == 1;
}

static uint64_t
trial_interval_us (const MfSuspects *suspects, const MfSuspect *suspect)
{
  bool is_content = suspect->kind == MF_SUSPECT_CONTENT;
  bool is_for_one = is_quarantined_for_one (suspect);
  uint64_t interval_us = suspects->limits.trial_interval_us;
  uint64_t max_us = is_content ? CONTENT_TRIAL_INTERVAL_MAX_US : TRIAL_INTERVAL_MAX_US;

  if (is_for_one)
    interval_us /= PROVISIONAL_TRIAL_FACTOR;
  /* Parts that were quarantined together are not tried together: one may crash the upstream of all.
   */
  interval_us += interval_us * (suspect->digest % 1024) / 1024;
  for (uint32_t i = is_content && !is_for_one ? 0 : 1;
       i < suspect->part.n_failed_trials && interval_us < max_us; i++)
    interval_us *= TRIAL_BACKOFF;
  return interval_us < max_us ? interval_us : max_us;
}

/* Quarantines a part. One that upstreams have lately survived is refused to the only caller under
 * whose requests they crashed, as that one may have sent it to make it suspect. */
static void
part_quarantine (MfSuspects *suspects, MfSuspect *suspect, bool is_provisional, uint64_t now_us)
{
  suspect->part.quarantined_us = now_us;
  suspect->part.is_provisional = is_provisional;
  suspect->part.n_quarantines += !is_provisional;
  suspect->part.is_disputed = false;
  suspect->part.only_caller = was_lately_sound (suspect) ? only_caller (suspect) : 0;
  suspect->quarantined_until_us = now_us + trial_interval_us (suspects, suspect);
  withdraw_explained (suspects, suspect);
}

/* Counts a crash of a part that is quarantined. It need not be of a trial: instances that have not
 * heard of the quarantine yet send such requests, too. */
static void
note_crash_in_quarantine (MfSuspects *suspects, MfSuspect *suspect, const MfSuspectCrash *crash)
{
  if (suspect->part.only_caller != crash->caller)
    suspect->part.only_caller = 0;
  if (suspect->part.is_provisional && is_convicted (suspects, suspect))
    {
      suspect->part.is_provisional = false;
      suspect->part.n_quarantines++;
    }
  withdraw_explained (suspects, suspect);
}

/* Returns whether a quarantined part explains the crash of a process under a part that is a worse
 * suspect. It explains none of a content: the part may be innocent and the content deadly. */
static bool
is_explained (const MfSuspects *suspects, const MfSuspect *suspect, uint64_t process_id)
{
  return suspect->kind == MF_SUSPECT_PART
         && mf_suspects_part_explains (suspects, &suspect->part, process_id);
}

static MfSuspectResult
add_crash (MfSuspects *suspects, MfSuspect *suspect, const MfSuspectCrash *crash, uint64_t now_us)
{
  bool is_quarantined = suspect->part.quarantined_us > 0;

  if (crash->at_us <= suspect->part.sound_us
      || (is_quarantined ? mf_suspect_has_process (suspect, crash->process_id)
                         : crash_is_duplicate (suspect, crash)
                               || is_explained (suspects, suspect, crash->process_id)))
    return MF_SUSPECT_DUPLICATE;
  if (suspect->n_crashes == MF_SUSPECT_CRASHES_MAX)
    remove_crash (suspect, 0);
  suspect->crashes[suspect->n_crashes++] = *crash;
  suspect->part.is_unreported = true;
  if (is_quarantined)
    {
      note_crash_in_quarantine (suspects, suspect, crash);
      return MF_SUSPECT_COUNTED;
    }
  if (!is_convicted (suspects, suspect))
    return MF_SUSPECT_COUNTED;
  part_quarantine (suspects, suspect, false, now_us);
  return MF_SUSPECT_QUARANTINED;
}

/* Counts an upstream that crashed while it ran a request with a part, at the depth in its prompt.
 */
MfSuspectResult
mf_suspects_add_part_crash (MfSuspects *suspects, uint64_t part, uint32_t depth,
                            const MfSuspectCrash *crash, uint64_t now_us)
{
  return add_crash (suspects, part_find_or_add (suspects, MF_SUSPECT_PART, part, depth, now_us),
                    crash, now_us);
}

/* Returns whether more than a few requests with parts, or contents, that no upstream is known to
 * have survived ran at a process that crashed. */
static bool
crash_is_ambiguous (const MfSuspects *suspects, MfSuspectKind kind, uint64_t process_id)
{
  uint64_t digests[PROVISIONAL_REQUESTS_MAX];
  uint32_t n_digests = 0;

  for (const MfSuspectRow *row = suspects->rows; row != NULL; row = row->hh.next)
    {
      const MfSuspect *part = &row->suspect;

      if (part->kind != kind || (kind == MF_SUSPECT_PART && part->part.depth == 0)
          || part->part.sound_us > 0)
        continue;
      for (uint32_t i = 0; i < part->n_crashes; i++)
        {
          bool is_new = part->crashes[i].process_id == process_id;

          for (uint32_t j = 0; j < n_digests; j++)
            is_new = is_new && part->crashes[i].digest != digests[j];
          if (is_new && n_digests == PROVISIONAL_REQUESTS_MAX)
            return true;
          if (is_new)
            digests[n_digests++] = part->crashes[i].digest;
        }
    }
  return false;
}

/* Ends the quarantines for the crash of one process that has become ambiguous. */
static void
release_ambiguous (MfSuspects *suspects, uint64_t process_id)
{
  for (MfSuspectRow *row = suspects->rows; row != NULL; row = row->hh.next)
    {
      MfSuspect *part = &row->suspect;

      if (part->kind == MF_SUSPECT_REQUEST || !is_quarantined_for_one (part)
          || part->crashes[0].process_id != process_id
          || !crash_is_ambiguous (suspects, part->kind, process_id))
        continue;
      part->part.quarantined_us = 0;
      part->part.is_provisional = false;
      part->part.n_failed_trials = 0;
      part->quarantined_until_us = 0;
    }
}

/* Quarantines a part for one crash, as earlier ones may be unknown, unless an upstream is known to
 * have survived it, or the crash is ambiguous. The first part of a prompt is left out: nearly all
 * may have it. If an upstream crashes in the first trial, the next one is put off as after two. */
static void
quarantine_for_one_crash (MfSuspects *suspects, uint64_t part, uint64_t process_id, uint64_t now_us)
{
  MfSuspect *suspect = mf_suspects_find (suspects, part, now_us);

  if (suspect == NULL || suspect->n_crashes == 0
      || (suspect->kind == MF_SUSPECT_PART && suspect->part.depth == 0)
      || suspect->part.sound_us > 0 || suspect->part.quarantined_us > 0
      || crash_is_ambiguous (suspects, suspect->kind, process_id))
    return;
  suspect->part.n_failed_trials = 1;
  part_quarantine (suspects, suspect, true, now_us);
}

/* Counts an upstream that crashed while it ran a request with these parts. The better suspects come
 * first, as they may explain the crash. is_sufficient means that earlier crashes may be unknown:
 * the best suspect is quarantined. */
void
mf_suspects_add_part_crashes (MfSuspects *suspects, const MfParts *parts,
                              const MfSuspectCrash *crash, bool is_sufficient, uint64_t now_us)
{
  MfSuspectPart known[MF_PARTS_MAX]; /* copies, as adding one part may evict another */
  uint32_t order[MF_PARTS_MAX];

  for (uint32_t i = 0; i < parts->n_parts; i++)
    {
      uint32_t at = i;

      known[i] = part_find_or_add (suspects, MF_SUSPECT_PART, parts->hashes[i], i, now_us)->part;
      for (; at > 0 && is_better_suspect (&known[i], &known[order[at - 1]]); at--)
        order[at] = order[at - 1];
      order[at] = i;
    }
  for (uint32_t i = 0; i < parts->n_parts; i++)
    mf_suspects_add_part_crash (suspects, parts->hashes[order[i]], order[i], crash, now_us);
  if (is_sufficient && parts->n_parts > 0)
    quarantine_for_one_crash (suspects, parts->hashes[order[0]], crash->process_id, now_us);
  release_ambiguous (suspects, crash->process_id);
}

/* Counts an upstream that crashed while it ran a request with a content. is_isolated means that the
 * request was known as a suspect when it was sent there, and was the only one; is_sufficient that
 * earlier crashes may be unknown. */
MfSuspectResult
mf_suspects_add_content_crash (MfSuspects *suspects, uint64_t content, const MfSuspectCrash *crash,
                               bool is_isolated, bool is_sufficient, uint64_t now_us)
{
  MfSuspect *suspect = part_find_or_add (suspects, MF_SUSPECT_CONTENT, content, 0, now_us);
  MfSuspectResult result = add_crash (suspects, suspect, crash, now_us);

  if (result == MF_SUSPECT_COUNTED && is_isolated && suspect->part.quarantined_us == 0
      && suspect->n_crashes >= CRASHES_ISOLATED && !was_lately_sound (suspect))
    {
      part_quarantine (suspects, suspect, true, now_us);
      result = MF_SUSPECT_QUARANTINED;
    }
  if (is_sufficient)
    quarantine_for_one_crash (suspects, content, crash->process_id, now_us);
  release_ambiguous (suspects, crash->process_id);
  return result;
}

/* Returns whether upstreams have crashed while they ran a content that none has lately survived. */
bool
mf_suspects_is_suspect_content (const MfSuspects *suspects, uint64_t content, uint64_t now_us)
{
  const MfSuspect *suspect = mf_suspects_find (suspects, content, now_us);

  return suspect != NULL && suspect->n_crashes > 0 && !was_lately_sound (suspect);
}

/* Records that an upstream has begun an answer to a request with the part or content, at a time,
 * and survived: earlier crashes had another cause, and later ones must be more. Returns whether
 * other instances may have to know. */
bool
mf_suspects_note_sound (MfSuspects *suspects, MfSuspectKind kind, uint64_t part, uint64_t sound_us,
                        uint64_t now_us)
{
  MfSoundPart *sound = sound_place (suspects, kind, part);
  MfSuspect *suspect = mf_suspects_find (suspects, part, now_us);
  bool was_serious;

  if (sound->part != part || sound->at_us < sound_us)
    *sound = (MfSoundPart){ .part = part, .at_us = sound_us };
  if (suspect == NULL || suspect->part.sound_us >= sound_us)
    return false;
  was_serious = suspect->n_crashes >= CRASHES_AGAIN || suspect->part.quarantined_us > 0;
  suspect->part.sound_us = sound_us;
  for (uint32_t i = suspect->n_crashes; i-- > 0;)
    {
      if (suspect->crashes[i].at_us <= sound_us)
        remove_crash (suspect, i);
    }
  if (suspect->part.quarantined_us > 0 ? is_convicted (suspects, suspect)
                                       : suspect->n_crashes >= CRASHES_AGAIN)
    return false;
  suspect->part.quarantined_us = 0;
  suspect->part.is_provisional = false;
  suspect->part.is_recorded = false;
  suspect->part.n_failed_trials = 0;
  suspect->quarantined_until_us = 0;
  return was_serious;
}

/* Returns whether requests with the part are refused. */
bool
mf_suspects_part_is_quarantined (const MfSuspects *suspects, uint64_t part, uint64_t now_us)
{
  const MfSuspect *suspect = mf_suspects_find (suspects, part, now_us);

  return suspect != NULL && suspect->part.quarantined_us > 0;
}

/* Decides about a caller's request with the part. Being asked for keeps a quarantine in force. */
MfSuspectVerdict
mf_suspects_judge_part (MfSuspects *suspects, uint64_t part, uint64_t caller, uint64_t now_us)
{
  MfSuspect *suspect = mf_suspects_find (suspects, part, now_us);

  if (suspect == NULL || suspect->part.quarantined_us == 0
      || (suspect->part.only_caller != 0 && suspect->part.only_caller != caller))
    return MF_SUSPECT_PART_ALLOWED;
  suspect->at_us = now_us;
  return suspect->quarantined_until_us <= now_us ? MF_SUSPECT_PART_TRIAL_DUE
                                                 : MF_SUSPECT_PART_REFUSED;
}

/* Puts off the next trial, as one begins. */
void
mf_suspects_start_trial (MfSuspects *suspects, uint64_t part, uint64_t now_us)
{
  MfSuspect *suspect = mf_suspects_find (suspects, part, now_us);

  if (suspect == NULL)
    return;
  suspect->part.tried_by = 0;
  suspect->quarantined_until_us = now_us + trial_interval_us (suspects, suspect);
}

/* Lets the next trial be due at once, as one has ended without showing anything. */
void
mf_suspects_void_trial (MfSuspects *suspects, uint64_t part, uint64_t now_us)
{
  MfSuspect *suspect = mf_suspects_find (suspects, part, now_us);

  if (suspect != NULL && suspect->part.quarantined_us > 0)
    suspect->quarantined_until_us = now_us;
}

/* Puts off the next trial, as an upstream has crashed under one. */
void
mf_suspects_fail_trial (MfSuspects *suspects, uint64_t part, uint64_t now_us)
{
  MfSuspect *suspect = mf_suspects_find (suspects, part, now_us);

  if (suspect == NULL || suspect->part.quarantined_us == 0)
    return;
  suspect->part.n_failed_trials++;
  suspect->quarantined_until_us = now_us + trial_interval_us (suspects, suspect);
}

/* Returns whether the crash of a process counts against a part already. */
bool
mf_suspects_part_has_crash (const MfSuspects *suspects, uint64_t part, uint64_t process_id,
                            uint64_t now_us)
{
  const MfSuspect *suspect = mf_suspects_find (suspects, part, now_us);

  return suspect != NULL && mf_suspect_has_process (suspect, process_id);
}

/* Returns whether what is known here speaks against a quarantine for the crashes of a part: an
 * upstream has survived it since one of them, or shortly before, and they are few. */
static bool
contradicts (const MfSuspect *suspect)
{
  static const uint32_t n_better[MF_SUSPECT_CRASHES_MAX] = { 0 };

  for (uint32_t i = 0; i < suspect->n_crashes; i++)
    {
      if (suspect->crashes[i].at_us <= suspect->part.sound_us)
        return true;
    }
  return was_lately_sound (suspect) && count_moments (suspect, n_better, 0) < CRASHES_ANY;
}

/* Takes over the quarantine of a part from another instance with the crashes that it knows, unless
 * what is known here contradicts it. Which of two parts explains a crash depends on the order in
 * which instances receive the crashes, so that they may judge differently. */
static void
adopt_quarantine (MfSuspects *suspects, MfSuspect *suspect, const MfSuspect *reported,
                  uint64_t now_us)
{
  MfSuspect adopted = *suspect;

  memcpy (adopted.crashes, reported->crashes, sizeof adopted.crashes);
  adopted.n_crashes = reported->n_crashes;
  if (adopted.n_crashes == 0 || contradicts (&adopted)
      || (adopted.n_crashes == 1
          && crash_is_ambiguous (suspects, adopted.kind, adopted.crashes[0].process_id)))
    return;
  *suspect = adopted;
  part_quarantine (suspects, suspect,
                   suspect->n_crashes < CRASHES_SOLE && !is_convicted (suspects, suspect), now_us);
}

/* Adds what another instance knows of a part: its crashes and its quarantine. */
void
mf_suspects_merge_part (MfSuspects *suspects, const MfSuspect *reported, uint64_t now_us)
{
  MfSuspect *suspect;
  bool was_quarantined;

  if (reported->n_crashes == 0)
    return;
  suspect
      = part_find_or_add (suspects, reported->kind, reported->digest, reported->part.depth, now_us);
  was_quarantined = suspect->part.quarantined_us > 0;
  for (uint32_t i = 0; i < reported->n_crashes; i++)
    add_crash (suspects, suspect, &reported->crashes[i], now_us);
  release_ambiguous (suspects, reported->crashes[reported->n_crashes - 1].process_id);
  if (reported->part.quarantined_us == 0)
    return;
  if (suspect->part.quarantined_us == 0)
    adopt_quarantine (suspects, suspect, reported, now_us);
  if (suspect->part.quarantined_us == 0)
    return;
  /* An instance that has just started must not put off the trial for all. */
  if (!was_quarantined || reported->quarantined_until_us > suspect->quarantined_until_us)
    suspect->quarantined_until_us = reported->quarantined_until_us;
  if (reported->part.n_failed_trials > suspect->part.n_failed_trials)
    suspect->part.n_failed_trials = reported->part.n_failed_trials;
}
