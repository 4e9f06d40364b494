#ifndef MF_SUSPECT_ROW_H
#define MF_SUSPECT_ROW_H

#include "suspect.h"
#include "table.h"

/* Failed calls whose upstream may have crashed, at most. */
#define MF_SUSPECT_FAILURES_MAX 4096
/* Parts whose last sound use is remembered, and contents likewise; one replaces the one that has
 * its place. */
#define MF_SUSPECT_SOUND_MAX 2048

/* Answered requests that are recorded; one replaces the one that has its place. */
#define MF_SUSPECT_ANSWERED_MAX 2048

/* Used only by suspect*.c. */
typedef struct
{
  MfSuspect suspect;
  UT_hash_handle hh;
} MfSuspectRow;

typedef struct
{
  uint64_t part;
  uint64_t at_us;
} MfSoundPart;

struct MfSuspects
{
  MfSuspectLimits limits;
  MfSuspectRow *rows;
  MfSuspectFailure failures[MF_SUSPECT_FAILURES_MAX];
  uint32_t n_failures;
  MfSoundPart sound_parts[MF_SUSPECT_SOUND_MAX];
  MfSoundPart sound_contents[MF_SUSPECT_SOUND_MAX];
  uint64_t answered[MF_SUSPECT_ANSWERED_MAX]; /* digests */
};

MfSuspect *mf_suspects_find_or_add (MfSuspects *suspects, uint64_t digest, MfSuspectKind kind,
                                    uint64_t now_us);
bool mf_suspect_has_process (const MfSuspect *suspect, uint64_t process_id);
void mf_suspects_release (MfSuspect *suspect);
bool mf_suspects_part_explains (const MfSuspects *suspects, const MfSuspectPart *worse,
                                uint64_t process_id);
void mf_suspects_fail_trial (MfSuspects *suspects, uint64_t part, uint64_t now_us);
bool mf_suspects_part_has_crash (const MfSuspects *suspects, uint64_t part, uint64_t process_id,
                                 uint64_t now_us);

#endif
