#include "origin.h"

#include <stdlib.h>

/* Streams kept: at a thousand a second in a fleet of a hundred, those of some minutes. A stream can
 * be taken up for as long as its caller waits, which is seconds. */
#define N_SETS 2048
#define SET_ENTRIES 8

typedef struct
{
  uint64_t stream;    /* 0: unused */
  uint64_t version;   /* 0: ambiguous */
  uint64_t noted_nth; /* when it was last noted, as a number of notes */
} Origin;

/* A set-associative table: of a full set, the entry that was not noted for the longest time is
 * replaced. */
struct MfOrigins
{
  Origin sets[N_SETS][SET_ENTRIES];
  uint64_t n_notes;
};

/* Returns NULL when out of memory. */
MfOrigins *
mf_origins_new (void)
{
  return calloc (1, sizeof (MfOrigins));
}

/* Accepts NULL. */
void
mf_origins_free (MfOrigins *origins)
{
  free (origins);
}

/* Records that a version has made events of a stream. stream and version are hashes, not 0. */
void
mf_origins_note (MfOrigins *origins, uint64_t stream, uint64_t version)
{
  Origin *set = origins->sets[stream % N_SETS];
  Origin *entry = &set[0];

  for (uint32_t i = 0; i < SET_ENTRIES; i++)
    {
      if (set[i].stream == stream)
        {
          if (set[i].version != version)
            set[i].version = 0;
          set[i].noted_nth = ++origins->n_notes;
          return;
        }
      if (set[i].noted_nth < entry->noted_nth)
        entry = &set[i];
    }
  *entry = (Origin){ .stream = stream, .version = version, .noted_nth = ++origins->n_notes };
}

/* Returns what is known of a stream; version is set only if it is known. */
MfOriginState
mf_origins_find (const MfOrigins *origins, uint64_t stream, uint64_t *version)
{
  const Origin *set = origins->sets[stream % N_SETS];

  for (uint32_t i = 0; i < SET_ENTRIES; i++)
    {
      if (set[i].stream != stream)
        continue;
      if (set[i].version == 0)
        return MF_ORIGIN_AMBIGUOUS;
      *version = set[i].version;
      return MF_ORIGIN_KNOWN;
    }
  return MF_ORIGIN_UNKNOWN;
}
