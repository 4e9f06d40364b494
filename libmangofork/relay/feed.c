#include "feed.h"

#include <string.h>

/* Limits the load on the platform store: where every instance watches it, calls grow with the
 * product of instances and changes. A few instances of each data centre read the store and forward
 * changes to the others. An instance that receives no changes in time reads the store itself, so a
 * reader that exits, hangs or is partitioned delays no instance beyond the bound. */

/* Readers per data centre: one of them may hang or be partitioned. */
#define N_READERS 2
/* With fewer instances in a data centre, the frequent calls of readers cost more than infrequent
 * calls by all. */
#define READERS_INSTANCES_MIN 8
/* A follower reads the store when its state is older than this percentage of the bound
 * (staleness_max_us); the rest is for that call. */
#define READ_AFTER_PERCENT 50
/* Calls of followers that are late together are spread over this percentage of that time. */
#define SPREAD_PERCENT 20
/* A call by a reader waits for changes for this percentage of the bound: two calls may be lost
 * before any instance is late. */
#define READER_WAIT_PERCENT 20
/* Pauses between failed calls, doubled from the first up to the maximum. */
#define RETRY_FIRST_US (50 * MF_US_PER_MS)
#define RETRY_MAX_US (400 * MF_US_PER_MS)
/* Maximum pause of followers, as a percentage of the bound. They need not check often: readers
 * notify them when the store is back, and the bound applies again only some seconds after that. */
#define RETRY_FOLLOWER_PERCENT 50
/* Upper bound of the transit time of an answer of the store; sixty times the usual value. */
#define ANSWER_TRANSIT_MAX_US (250 * MF_US_PER_MS)
/* Maximum bytes of the values in one feed; a frame must hold them and their keys. */
#define VALUES_BYTES_MAX 40000
/* Upper bound of the transit time of a feed: connections between instances are closed sooner. A
 * feed that seems older has come from a clock that was reset. */
#define FEED_TRANSIT_MAX_US (3 * MF_US_PER_S)

/* Begins an empty feed that applies to the state at this revision of an era of the store. */
void
mf_feed_begin (MfFeed *feed, uint64_t era, uint64_t from_revision)
{
  mf_buffer_clear (&feed->values);
  feed->era = era;
  feed->from_revision = from_revision;
  feed->to_revision = from_revision;
  feed->n_items = 0;
}

/* Adds an item. Returns false when it exceeds the limits of a feed. */
bool
mf_feed_add (MfFeed *feed, const char *key, uint64_t revision, bool removed, const char *value,
             size_t value_bytes)
{
  MfFeedItem *item = &feed->items[feed->n_items];
  size_t value_at = mf_buffer_bytes (&feed->values);

  if (feed->n_items == MF_FEED_ITEMS_MAX || strlen (key) >= sizeof item->key
      || value_at + value_bytes > VALUES_BYTES_MAX)
    return false;
  mf_buffer_add (&feed->values, value, value_bytes);
  if (feed->values.failed)
    return false;
  *item = (MfFeedItem){
    .revision = revision,
    .removed = removed,
    .value_at = value_at,
    .value_bytes = value_bytes,
  };
  memcpy (item->key, key, strlen (key) + 1);
  feed->n_items++;
  return true;
}

/* Frees the contents of a feed. */
void
mf_feed_clear (MfFeed *feed)
{
  mf_buffer_clear (&feed->values);
  feed->n_items = 0;
}

/* Returns an upper bound of the age of an answer, from the duration of the call and how long the
 * call could wait for changes. If the call took longer than it could, the process was suspended,
 * and the answer may be as old as the call. */
uint64_t
mf_feed_answer_age_us (uint64_t took_us, uint64_t wait_us)
{
  if (took_us > wait_us + ANSWER_TRANSIT_MAX_US)
    return took_us;
  return took_us < ANSWER_TRANSIT_MAX_US ? took_us : ANSWER_TRANSIT_MAX_US;
}

/* Returns whether an instance reads the platform store for itself only, forwards changes to others,
 * or receives them. */
MfFeedRole
mf_feed_role (const MfFeedRank *rank)
{
  if (rank->n_instances < READERS_INSTANCES_MIN)
    return MF_FEED_STANDALONE;
  return rank->rank < N_READERS ? MF_FEED_READER : MF_FEED_FOLLOWER;
}

/* All changes made before this time of the local clock are known. */
void
mf_feed_freshness_advance (MfFeedFreshness *freshness, uint64_t as_of_us)
{
  if (as_of_us > freshness->as_of_us)
    freshness->as_of_us = as_of_us;
}

static MfFeedSender *
sender_find (MfFeedFreshness *freshness, uint64_t peer, int64_t offset_us)
{
  uint32_t n_kept
      = freshness->n_senders < MF_FEED_SENDERS_MAX ? freshness->n_senders : MF_FEED_SENDERS_MAX;
  MfFeedSender *sender;

  for (uint32_t i = 0; i < n_kept; i++)
    {
      if (freshness->senders[i].peer == peer)
        return &freshness->senders[i];
    }
  sender = &freshness->senders[freshness->n_senders++ % MF_FEED_SENDERS_MAX];
  *sender = (MfFeedSender){ .peer = peer, .offset_us = offset_us };
  return sender;
}

/* Returns the time of the local clock as of which a feed that has just arrived is current; 0 when
 * unknown. The transit time is estimated from the least difference seen between both clocks. */
uint64_t
mf_feed_freshness_as_of_us (MfFeedFreshness *freshness, uint64_t peer, const MfFeed *feed,
                            uint64_t now_us)
{
  int64_t offset_us = (int64_t)(now_us - feed->sent_us);
  MfFeedSender *sender = sender_find (freshness, peer, offset_us);
  uint64_t age_us;

  if (feed->sent_us < feed->as_of_us)
    return 0;
  if (offset_us < sender->offset_us)
    sender->offset_us = offset_us;
  age_us = (uint64_t)(offset_us - sender->offset_us) + (feed->sent_us - feed->as_of_us);
  if (offset_us - sender->offset_us > (int64_t)FEED_TRANSIT_MAX_US)
    {
      sender->offset_us = offset_us;
      return 0;
    }
  return age_us < now_us ? now_us - age_us : 0;
}

/* Returns how long an instance may go without reading the store; 0 when it must read now. random
 * spreads the reads of instances that are late at the same time. */
uint64_t
mf_feed_freshness_read_delay_us (const MfFeedFreshness *freshness, MfFeedRole role, uint64_t now_us,
                                 uint32_t random)
{
  uint64_t stale_us = freshness->staleness_max_us * READ_AFTER_PERCENT / 100;
  uint64_t spread_us = (stale_us * SPREAD_PERCENT / 100) * (uint64_t)random >> 32;
  uint64_t age_us = now_us - freshness->as_of_us;

  if (role != MF_FEED_FOLLOWER || freshness->as_of_us == 0 || age_us + spread_us >= stale_us)
    return 0;
  return stale_us - spread_us - age_us;
}

/* Returns the pause after a failed call to the store. last_us is the previous pause, 0 for none.
 * Readers check often whether the store is back, and notify the others. */
uint64_t
mf_feed_freshness_retry_delay_us (const MfFeedFreshness *freshness, MfFeedRole role,
                                  uint64_t last_us, uint32_t random)
{
  uint64_t max_us = RETRY_MAX_US;
  uint64_t next_us = last_us == 0 ? RETRY_FIRST_US : last_us * 2;

  if (role == MF_FEED_FOLLOWER)
    {
      max_us = freshness->staleness_max_us * RETRY_FOLLOWER_PERCENT / 100;
      /* The calls of all followers failed at the same time, so the next ones are spread; no other
       * instance waits for them. */
      next_us = max_us / 2 + ((max_us / 2) * (uint64_t)random >> 32);
    }
  return next_us < max_us ? next_us : max_us;
}

/* Returns how long a call to the store waits for changes; default_us unless other instances depend
 * on it. */
uint64_t
mf_feed_freshness_watch_timeout_us (const MfFeedFreshness *freshness, MfFeedRole role,
                                    uint64_t default_us)
{
  uint64_t wait_us = freshness->staleness_max_us * READER_WAIT_PERCENT / 100;

  return role == MF_FEED_READER && wait_us < default_us ? wait_us : default_us;
}
