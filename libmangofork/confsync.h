#ifndef MF_CONFSYNC_H
#define MF_CONFSYNC_H

#include "core.h"

/* Schedules this instance's reads of the platform. The fleet's budget of calls a second is
 *
 *   MF_READERS_PER_DATA_CENTRE x data centres x 2 / platform period + 2 / MF_READ_SPREAD
 *
 * whatever the number of instances: a few elected readers of each data centre watch, and all
 * others together read once a spread. */
#define MF_READERS_PER_DATA_CENTRE 2
/* Instances that are no readers read every so many times the number of instances. */
#define MF_READ_INTERVAL_PER_INSTANCE_US (2 * MF_US_PER_S)
#define MF_READ_INTERVAL_MIN_US (60 * MF_US_PER_S)

/* One of the two things that are read. */
typedef struct
{
  bool reading;
  uint64_t started_us; /* when the read that is out began */
  uint64_t next_us;
  uint64_t index; /* the platform's own, of the last answer */
  uint32_t n_failures;
} MfPlatformRead;

typedef struct
{
  MfPlatformRead text;
  MfPlatformRead list;
  bool text_needed; /* a text is needed, reader or not */
  bool is_reader;
  uint64_t next_election_us; /* when the election is looked at again */
} MfPlatformReads;

void mf_platform_reads_init (MfCore *core, MfPlatformReads *reads);
void mf_platform_reads_done (MfCore *core, MfPlatformReads *reads, MfPlatformRead *read,
                             uint64_t index);
void mf_platform_reads_failed (MfCore *core, MfPlatformReads *reads,
                               const MfPlatformFailedEvent *failed);
void mf_platform_reads_tick (MfCore *core, MfPlatformReads *reads);

#endif
