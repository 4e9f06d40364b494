#ifndef MF_CONFSYNC_H
#define MF_CONFSYNC_H

#include "core.h"

/* Schedules this instance's reads of the platform. The fleet may make this many calls per second,
 * whatever the number of its instances:
 *
 *   MF_READERS_PER_DATA_CENTRE x data centres x 2 / platform period
 *   + 2 / MF_READ_INTERVAL_PER_INSTANCE_US
 *
 * with both times in seconds. A few elected readers in each data centre watch the platform. All
 * other instances together make one read of the text and one of the list per
 * MF_READ_INTERVAL_PER_INSTANCE_US. */
#define MF_READERS_PER_DATA_CENTRE 2
/* An instance that is no reader reads after this time multiplied by the number of instances. */
#define MF_READ_INTERVAL_PER_INSTANCE_US (2 * MF_US_PER_S)
/* Lower bound of that interval. */
#define MF_READ_INTERVAL_MIN_US (60 * MF_US_PER_S)

/* Reads of the operators' text, or of the list of instances. */
typedef struct
{
  bool reading;
  uint64_t started_us; /* when the running read was started */
  uint64_t next_us;
  uint64_t index; /* that the platform gave with its last answer */
  uint32_t n_failures;
} MfPlatformRead;

typedef struct
{
  MfPlatformRead text;
  MfPlatformRead list;
  bool text_needed; /* read the text even if this instance is no reader */
  bool is_reader;
  uint64_t next_election_us; /* when the readers are elected again */
} MfPlatformReads;

void mf_platform_reads_init (MfCore *core, MfPlatformReads *reads);
void mf_platform_reads_done (MfCore *core, MfPlatformReads *reads, MfPlatformRead *read,
                             uint64_t index);
void mf_platform_reads_failed (MfCore *core, MfPlatformReads *reads,
                               const MfPlatformFailedEvent *failed);
void mf_platform_reads_tick (MfCore *core, MfPlatformReads *reads);

#endif
