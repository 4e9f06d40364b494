#include "confsync.h"

#include "member.h"

/* The first read is delayed by a random time below this, as many instances may start at once. */
#define START_JITTER_US (500 * MF_US_PER_MS)
/* The election is repeated at this interval, as instances fail and recover. */
#define ELECTION_PERIOD_US MF_US_PER_S
/* Other readers are elected at this interval, so that no instance bears their load for long. */
#define READER_TERM_MS (600 * UINT64_C (1000))
/* A read without a result after this time counts as failed. */
#define READ_TIMEOUT_US (600 * MF_US_PER_S)
#define RETRY_MIN_US MF_US_PER_S
#define RETRY_MAX_US (60 * MF_US_PER_S)

/* Returns a random time within a quarter of delay_us. */
static uint64_t
add_jitter (MfCore *core, uint64_t delay_us)
{
  return delay_us * 3 / 4 + mf_core_random_below (core, delay_us / 2 + 1);
}

/* Returns the time from the start of a read to the start of the next one. */
static uint64_t
read_interval_us (MfCore *core, const MfPlatformReads *reads)
{
  uint64_t interval_us = (mf_member_count (core) + 1) * MF_READ_INTERVAL_PER_INSTANCE_US;

  if (reads->is_reader)
    return core->board.options.platform_period_us;
  if (interval_us < MF_READ_INTERVAL_MIN_US)
    interval_us = MF_READ_INTERVAL_MIN_US;
  return add_jitter (core, interval_us);
}

void
mf_platform_reads_init (MfCore *core, MfPlatformReads *reads)
{
  reads->list.next_us = core->board.now_us + mf_core_random_below (core, START_JITTER_US);
  reads->text.next_us = UINT64_MAX;
}

/* Handles the response to a read, and schedules the next one. */
void
mf_platform_reads_done (MfCore *core, MfPlatformReads *reads, MfPlatformRead *read, uint64_t index)
{
  uint64_t started_us = read->started_us;

  read->reading = false;
  read->n_failures = 0;
  read->index = index;
  read->next_us = started_us + read_interval_us (core, reads);
}

/* Schedules the retry of a failed read, with exponential backoff. An instance that has a
 * configuration and is not a reader waits for its usual interval instead. */
static void
read_failed (MfCore *core, MfPlatformReads *reads, MfPlatformRead *read)
{
  uint32_t doublings = read->n_failures < 6 ? read->n_failures : 6;
  uint64_t retry_us = RETRY_MIN_US << doublings;
  uint64_t interval_us = (mf_member_count (core) + 1) * MF_READ_INTERVAL_PER_INSTANCE_US;

  if (!read->reading)
    return;
  read->reading = false;
  read->n_failures++;
  if (retry_us > RETRY_MAX_US)
    retry_us = RETRY_MAX_US;
  if (!reads->is_reader && core->board.config != NULL)
    retry_us = interval_us;
  read->next_us = core->board.now_us + add_jitter (core, retry_us);
}

/* Handles failed reads. */
void
mf_platform_reads_failed (MfCore *core, MfPlatformReads *reads, const MfPlatformFailedEvent *failed)
{
  bool both = failed->text == failed->list;

  if (both || failed->text)
    read_failed (core, reads, &reads->text);
  if (both || failed->list)
    read_failed (core, reads, &reads->list);
}

/* Elects the readers of the data centre. All instances compute the same ranking of the live ones
 * from the term, so that they agree on the readers. A new one reads within ELECTION_PERIOD_US. */
static void
elect_readers (MfCore *core, MfPlatformReads *reads)
{
  const MfOptions *options = &core->board.options;
  uint64_t term = core->board.wall_ms / READER_TERM_MS;
  bool was_reader = reads->is_reader;
  uint64_t first_read_us;

  reads->next_election_us = core->board.now_us + ELECTION_PERIOD_US;
  if (core->board.list_index == 0)
    return;
  reads->is_reader = mf_member_rank (core, term, options->data_centre) < MF_READERS_PER_DATA_CENTRE;
  if (was_reader || !reads->is_reader)
    return;
  first_read_us = core->board.now_us + mf_core_random_below (core, ELECTION_PERIOD_US);
  if (reads->list.next_us > first_read_us)
    reads->list.next_us = first_read_us;
  if (core->board.config != NULL && reads->text.next_us > first_read_us)
    reads->text.next_us = first_read_us;
}

/* Starts a read: blocking for a reader, of the current state for others. */
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
  if (read->reading && core->board.now_us >= read->started_us + READ_TIMEOUT_US)
    read_failed (core, reads, read);
  if (!read->reading && core->board.now_us >= read->next_us)
    read_start (core, reads, read, type);
  if (!read->reading)
    mf_core_wake_at (core, read->next_us);
}

void
mf_platform_reads_tick (MfCore *core, MfPlatformReads *reads)
{
  if (core->board.now_us >= reads->next_election_us)
    elect_readers (core, reads);
  if (reads->text_needed && core->board.config == NULL && !reads->text.reading
      && reads->text.next_us == UINT64_MAX)
    reads->text.next_us = core->board.now_us;
  read_tick (core, reads, &reads->list, MF_ACTION_PLATFORM_READ_LIST);
  read_tick (core, reads, &reads->text, MF_ACTION_PLATFORM_READ_TEXT);
}
