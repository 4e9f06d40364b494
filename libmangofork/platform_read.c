#include "confsync.h"

#include "member.h"

/* Starts of many instances at once are spread over this. */
#define START_SPREAD_US (500 * MF_US_PER_MS)
#define ROLE_US MF_US_PER_S
/* The readers change so often, so that no instance carries the cost for long. */
#define READER_TURN_MS (600 * UINT64_C (1000))
/* A read that has not ended by then never will. */
#define READ_LIMIT_US (600 * MF_US_PER_S)
#define RETRY_MIN_US MF_US_PER_S
#define RETRY_MAX_US (60 * MF_US_PER_S)

static uint64_t
jittered (MfCore *core, uint64_t delay_us)
{
  return delay_us * 3 / 4 + mf_core_random_below (core, delay_us / 2 + 1);
}

/* How long after a read the next one may begin. */
static uint64_t
spacing_us (MfCore *core, const MfPlatformReads *reads)
{
  uint64_t spread_us = (mf_member_count (core) + 1) * MF_READ_INTERVAL_PER_INSTANCE_US;

  if (reads->is_reader)
    return core->board.options.platform_period_us;
  if (spread_us < MF_READ_INTERVAL_MIN_US)
    spread_us = MF_READ_INTERVAL_MIN_US;
  return jittered (core, spread_us);
}

void
mf_platform_reads_init (MfCore *core, MfPlatformReads *reads)
{
  reads->list.next_us = core->board.now_us + mf_core_random_below (core, START_SPREAD_US);
  reads->text.next_us = UINT64_MAX;
}

/* A read has been answered. */
void
mf_platform_reads_done (MfCore *core, MfPlatformReads *reads, MfPlatformRead *read, uint64_t index)
{
  uint64_t began_us = read->started_us;

  read->reading = false;
  read->n_failures = 0;
  read->index = index;
  read->next_us = began_us + spacing_us (core, reads);
}

static void
read_lost (MfCore *core, MfPlatformReads *reads, MfPlatformRead *read)
{
  uint32_t doublings = read->n_failures < 6 ? read->n_failures : 6;
  uint64_t retry_us = RETRY_MIN_US << doublings;
  uint64_t spread_us = (mf_member_count (core) + 1) * MF_READ_INTERVAL_PER_INSTANCE_US;

  if (!read->reading)
    return;
  read->reading = false;
  read->n_failures++;
  if (retry_us > RETRY_MAX_US)
    retry_us = RETRY_MAX_US;
  if (!reads->is_reader && core->board.config != NULL)
    retry_us = spread_us;
  read->next_us = core->board.now_us + jittered (core, retry_us);
}

/* Reads that failed are tried again, ever more seldom. */
void
mf_platform_reads_failed (MfCore *core, MfPlatformReads *reads, const MfPlatformFailedEvent *failed)
{
  bool both = failed->text == failed->list;

  if (both || failed->text)
    read_lost (core, reads, &reads->text);
  if (both || failed->list)
    read_lost (core, reads, &reads->list);
}

/* Elects the readers: the same few live instances of a data centre in everyone's eyes, others
 * after each turn. */
static void
elect (MfCore *core, MfPlatformReads *reads)
{
  const MfOptions *options = &core->board.options;
  uint64_t turn = core->board.wall_ms / READER_TURN_MS;
  bool was_reader = reads->is_reader;
  uint64_t soon_us;

  reads->next_election_us = core->board.now_us + ROLE_US;
  if (core->board.list_index == 0)
    return;
  reads->is_reader = mf_member_rank (core, turn, options->data_centre) < MF_READERS_PER_DATA_CENTRE;
  if (was_reader || !reads->is_reader)
    return;
  soon_us = core->board.now_us + mf_core_random_below (core, ROLE_US);
  if (reads->list.next_us > soon_us)
    reads->list.next_us = soon_us;
  if (core->board.config != NULL && reads->text.next_us > soon_us)
    reads->text.next_us = soon_us;
}

/* Readers watch; others ask for what there is now. */
static void
read_start (MfCore *core, const MfPlatformReads *reads, MfPlatformRead *read, MfActionType type)
{
  MfAction action = { .type = type, .platform_index = reads->is_reader ? read->index : 0 };

  read->reading = true;
  read->started_us = core->board.now_us;
  mf_counter_add (&core->board.counters, MF_COUNTER_PLATFORM_CALLS, 1);
  mf_core_emit (core, &action);
}

static void
read_tick (MfCore *core, MfPlatformReads *reads, MfPlatformRead *read, MfActionType type)
{
  if (read->reading && core->board.now_us >= read->started_us + READ_LIMIT_US)
    read_lost (core, reads, read);
  if (!read->reading && core->board.now_us >= read->next_us)
    read_start (core, reads, read, type);
  if (!read->reading)
    mf_core_wake_at (core, read->next_us);
}

void
mf_platform_reads_tick (MfCore *core, MfPlatformReads *reads)
{
  if (core->board.now_us >= reads->next_election_us)
    elect (core, reads);
  if (reads->text_needed && core->board.config == NULL && !reads->text.reading
      && reads->text.next_us == UINT64_MAX)
    reads->text.next_us = core->board.now_us;
  read_tick (core, reads, &reads->list, MF_ACTION_PLATFORM_READ_LIST);
  read_tick (core, reads, &reads->text, MF_ACTION_PLATFORM_READ_TEXT);
}
