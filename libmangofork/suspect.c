#include "suspect.h"

#include "table.h"

#include <stdlib.h>

/* How long what is known of a request is kept, and of how many. */
#define KEPT_US (UINT64_C (600) * MF_US_PER_S)
#define SUSPECTS_MAX 4096
/* Breaks waiting to be told from deaths. */
#define BREAKS_MAX 4096
/* Deaths that convict a request that ran apart from other suspects when the last one came. */
#define DEATHS_APART 2

typedef struct
{
  MfSuspect suspect;
  UT_hash_handle hh;
} Row;

struct MfSuspects
{
  MfSuspectTerms terms;
  Row *rows;
  MfSuspectBreak breaks[BREAKS_MAX];
  uint32_t n_breaks;
};

/* Begins without suspects. NULL without memory. */
MfSuspects *
mf_suspects_new (const MfSuspectTerms *terms)
{
  MfSuspects *suspects = calloc (1, sizeof *suspects);

  if (suspects != NULL)
    suspects->terms = *terms;
  return suspects;
}

/* Accepts NULL. */
void
mf_suspects_free (MfSuspects *suspects)
{
  Row *row;
  Row *next;

  if (suspects == NULL)
    return;
  HASH_ITER (hh, suspects->rows, row, next)
  {
    HASH_DEL (suspects->rows, row);
    free (row);
  }
  free (suspects);
}

static Row *
row_find (const MfSuspects *suspects, uint64_t digest)
{
  Row *row;

  HASH_FIND (hh, suspects->rows, &digest, sizeof digest, row);
  return row;
}

static void
row_drop (MfSuspects *suspects, Row *row)
{
  HASH_DEL (suspects->rows, row);
  free (row);
}

/* Makes room: the row that has been there longest goes, of those without a conviction if any. */
static void
rows_evict (MfSuspects *suspects, uint64_t now_us)
{
  Row *oldest = suspects->rows;

  for (Row *row = suspects->rows; row != NULL; row = row->hh.next)
    {
      if (row->suspect.convicted_until_us > now_us)
        continue;
      oldest = row;
      break;
    }
  row_drop (suspects, oldest);
}

static MfSuspect *
find_or_add (MfSuspects *suspects, uint64_t digest, uint64_t now_us)
{
  Row *row = row_find (suspects, digest);

  if (row != NULL && now_us - row->suspect.at_us > KEPT_US)
    {
      row_drop (suspects, row);
      row = NULL;
    }
  if (row == NULL)
    {
      if (HASH_COUNT (suspects->rows) >= SUSPECTS_MAX)
        rows_evict (suspects, now_us);
      row = calloc (1, sizeof *row);
      if (row == NULL)
        abort ();
      row->suspect.digest = digest;
      HASH_ADD (hh, suspects->rows, suspect.digest, sizeof row->suspect.digest, row);
    }
  row->suspect.at_us = now_us;
  return &row->suspect;
}

/* What is known of a request; NULL when nothing is, or nothing recent. */
MfSuspect *
mf_suspects_find (const MfSuspects *suspects, uint64_t digest, uint64_t now_us)
{
  Row *row = row_find (suspects, digest);

  return row == NULL || now_us - row->suspect.at_us > KEPT_US ? NULL : &row->suspect;
}

/* Whether a request is to be refused. */
bool
mf_suspects_is_convicted (const MfSuspects *suspects, uint64_t digest, uint64_t now_us)
{
  const MfSuspect *suspect = mf_suspects_find (suspects, digest, now_us);

  return suspect != NULL && suspect->convicted_until_us > now_us;
}

/* Calls func for each request under which an upstream has ended, until it returns false. */
void
mf_suspects_foreach (const MfSuspects *suspects, uint64_t now_us, MfSuspectFunc func, void *data)
{
  for (const Row *row = suspects->rows; row != NULL; row = row->hh.next)
    {
      if (now_us - row->suspect.at_us <= KEPT_US && row->suspect.n_deaths > 0
          && !func (data, &row->suspect))
        return;
    }
}

static uint64_t
last_process (const MfSuspect *suspect)
{
  return suspect->n_deaths > 0 ? suspect->deaths[suspect->n_deaths - 1].process : 0;
}

/* Whether another suspect met its last death at the same process, maybe at another instance: either
 * may have caused it. The other is let go as well where it was convicted by no more than that. */
static bool
shares_last_death (MfSuspects *suspects, const MfSuspect *suspect)
{
  uint64_t process = last_process (suspect);
  bool shares = false;

  for (Row *row = suspects->rows; row != NULL && process != 0; row = row->hh.next)
    {
      MfSuspect *other = &row->suspect;

      if (other == suspect || other->n_deaths < DEATHS_APART || last_process (other) != process)
        continue;
      shares = true;
      if (other->n_deaths < MF_SUSPECT_DEATHS_MAX)
        other->convicted_until_us = 0;
    }
  return shares;
}

/* Refuses a request until a moment. Returns whether that is new. */
bool
mf_suspects_convict (MfSuspects *suspects, uint64_t digest, uint64_t until_us, uint64_t now_us)
{
  MfSuspect *suspect = find_or_add (suspects, digest, now_us);
  bool is_new = suspect->convicted_until_us <= now_us;

  if (suspect->n_deaths < MF_SUSPECT_DEATHS_MAX && shares_last_death (suspects, suspect))
    return false;
  if (until_us > suspect->convicted_until_us)
    suspect->convicted_until_us = until_us;
  return is_new && until_us > now_us;
}

/* Another instance has counted so many deaths, without their names. */
void
mf_suspects_raise (MfSuspects *suspects, uint64_t digest, uint32_t n_deaths, uint64_t now_us)
{
  MfSuspect *suspect = find_or_add (suspects, digest, now_us);

  while (suspect->n_deaths < n_deaths && suspect->n_deaths < MF_SUSPECT_DEATHS_MAX)
    suspect->deaths[suspect->n_deaths++] = (MfSuspectDeath){ .at_us = now_us };
}

/* Whether a death tells nothing new: of one process under several tries, or of several processes at
 * once, each of which ran the request before the first was known to have ended. */
static bool
death_is_known (const MfSuspect *suspect, const MfSuspectDeath *death)
{
  for (uint32_t i = 0; i < suspect->n_deaths; i++)
    {
      if (suspect->deaths[i].process == death->process && death->process != 0)
        return true;
    }
  return suspect->n_deaths > 0 && death->sent_us < suspect->deaths[suspect->n_deaths - 1].at_us;
}

/* Counts an upstream that ended under a request; apart tells that no other suspect ran there. */
MfSuspectVerdict
mf_suspects_add_death (MfSuspects *suspects, uint64_t digest, const MfSuspectDeath *death,
                       bool apart, uint64_t now_us)
{
  MfSuspect *suspect = find_or_add (suspects, digest, now_us);
  uint64_t for_us;

  if (death_is_known (suspect, death))
    return MF_SUSPECT_KNOWN;
  if (suspect->n_deaths < MF_SUSPECT_DEATHS_MAX)
    suspect->deaths[suspect->n_deaths++] = *death;
  if (suspect->n_deaths < (apart ? DEATHS_APART : MF_SUSPECT_DEATHS_MAX))
    return MF_SUSPECT_COUNTED;
  for_us = suspect->n_deaths < MF_SUSPECT_DEATHS_MAX ? suspects->terms.two_deaths_us
                                                     : suspects->terms.three_deaths_us;
  return mf_suspects_convict (suspects, digest, now_us + for_us, now_us) ? MF_SUSPECT_CONVICTED
                                                                         : MF_SUSPECT_COUNTED;
}

/* The request was answered: what ended under it ended of something else. Returns whether anything
 * was known of it. */
bool
mf_suspects_clear (MfSuspects *suspects, uint64_t digest)
{
  Row *row = row_find (suspects, digest);

  if (row == NULL)
    return false;
  row_drop (suspects, row);
  return true;
}

/* Keeps a break until it is known whether the upstream ended. Returns false when that of this try
 * there is kept already. */
bool
mf_suspects_add_break (MfSuspects *suspects, const MfSuspectBreak *broken)
{
  for (uint32_t i = 0; i < suspects->n_breaks; i++)
    {
      if (suspects->breaks[i].request == broken->request
          && suspects->breaks[i].upstream == broken->upstream)
        return false;
    }
  if (suspects->n_breaks == BREAKS_MAX)
    suspects->breaks[0] = suspects->breaks[--suspects->n_breaks];
  suspects->breaks[suspects->n_breaks++] = *broken;
  return true;
}

uint32_t
mf_suspects_n_breaks (const MfSuspects *suspects)
{
  return suspects->n_breaks;
}

/* Takes a break at an upstream off the list; 0 stands for any upstream. */
static bool
break_take (MfSuspects *suspects, uint64_t upstream, uint64_t before_us, MfSuspectBreak *broken)
{
  for (uint32_t i = 0; i < suspects->n_breaks; i++)
    {
      if ((upstream != 0 && suspects->breaks[i].upstream != upstream)
          || suspects->breaks[i].at_us >= before_us)
        continue;
      *broken = suspects->breaks[i];
      suspects->breaks[i] = suspects->breaks[--suspects->n_breaks];
      return true;
    }
  return false;
}

static uint32_t
count_suspects_at (const MfSuspects *suspects, uint64_t upstream)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < suspects->n_breaks; i++)
    n += suspects->breaks[i].upstream == upstream && suspects->breaks[i].suspect;
  return n;
}

/* An upstream has ended: what broke there lately is suspected of it, or convicted. process names
 * what ended, where an upstream may be started anew under its name. */
void
mf_suspects_end_upstream (MfSuspects *suspects, uint64_t upstream, uint64_t process,
                          uint64_t now_us, MfSuspectBreakFunc func, void *data)
{
  uint32_t n_suspects = count_suspects_at (suspects, upstream);
  MfSuspectBreak broken;

  while (break_take (suspects, upstream, UINT64_MAX, &broken))
    {
      MfSuspectDeath death
          = { .process = process, .sent_us = broken.sent_us, .at_us = broken.at_us };
      MfSuspectVerdict verdict = MF_SUSPECT_RELEASED;

      if (now_us - broken.at_us < suspects->terms.break_us)
        verdict = mf_suspects_add_death (suspects, broken.digest, &death,
                                         broken.suspect && n_suspects == 1, now_us);
      func (data, &broken, verdict);
    }
}

/* The upstream where a run broke that stands at a place, and is not its successor; 0: there is
 * none.
 */
static uint64_t
upstream_before (const MfSuspects *suspects, uint64_t place, uint64_t successor)
{
  for (uint32_t i = 0; i < suspects->n_breaks; i++)
    {
      if (suspects->breaks[i].place == place && suspects->breaks[i].upstream != successor)
        return suspects->breaks[i].upstream;
    }
  return 0;
}

/* A process has come to a place, whatever was there before has ended. The upstream's name is that
 * of the process there. */
void
mf_suspects_end_place (MfSuspects *suspects, uint64_t place, uint64_t successor, uint64_t now_us,
                       MfSuspectBreakFunc func, void *data)
{
  uint64_t upstream;

  while ((upstream = upstream_before (suspects, place, successor)) != 0)
    mf_suspects_end_upstream (suspects, upstream, upstream, now_us, func, data);
}

/* An upstream has given a sign of life: what broke there before broke of something else. */
void
mf_suspects_release_upstream (MfSuspects *suspects, uint64_t upstream, uint64_t before_us,
                              MfSuspectBreakFunc func, void *data)
{
  MfSuspectBreak broken;

  while (break_take (suspects, upstream, before_us, &broken))
    func (data, &broken, MF_SUSPECT_RELEASED);
}

/* Lets go of breaks that have waited for long. */
void
mf_suspects_release_before (MfSuspects *suspects, uint64_t before_us, MfSuspectBreakFunc func,
                            void *data)
{
  mf_suspects_release_upstream (suspects, 0, before_us, func, data);
}
