#include "feed.h"

#include <string.h>

/* Answers which load: calls to the platform's store, which grow as instances times changes where
 * every instance watches it. A few instances of each data centre read; the others are told. Whoever
 * is not told in time reads for itself, so that a reader that ends, stands still or is cut off
 * delays nobody beyond the bound. */

/* Instances of a data centre that read: one may be cut off or stand still. */
#define N_READERS 2
/* With fewer instances in a data centre readers that ask often cost more than all that ask rarely.
 */
#define READERS_INSTANCES_MIN 8
/* Knowledge older than this part of the bound is renewed at the store; the rest is for that call.
 */
#define READ_AFTER_PERCENT 50
/* Followers that are late together call the store spread over this part of that time. */
#define SPREAD_PERCENT 20
/* A reader's call waits for changes for this part of the bound: two may be lost before anybody is
 * late. */
#define READER_WAIT_PERCENT 20
/* Pauses between failed calls, doubled from the first to the last. */
#define RETRY_FIRST_US (50 * MF_US_PER_MS)
#define RETRY_MAX_US (400 * MF_US_PER_MS)
/* The same of an instance that readers tell of the store's return, as a part of the bound. The
 * rules on changes hold again some seconds after that. */
#define RETRY_FOLLOWER_PERCENT 50
/* An answer of the store is on its way for this time at most; sixty times what it usually takes. */
#define ANSWER_TRANSIT_MAX_US (250 * MF_US_PER_MS)
/* Bytes of the values of one feed; a frame holds them and their keys. */
#define VALUES_BYTES_MAX 40000
/* A feed is not on its way for longer: connections between instances are given up sooner. What
 * seems older comes from a clock that has been set anew. */
#define FEED_TRANSIT_MAX_US (3 * MF_US_PER_S)

/* Empties a feed for whoever knows all up to this revision. */
void
mf_feed_begin (MfFeed *feed, uint64_t from_revision)
{
  mf_buffer_clear (&feed->values);
  feed->from_revision = from_revision;
  feed->to_revision = from_revision;
  feed->n_items = 0;
}

/* Adds an item. Returns false when the feed has no room for it. */
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

/* Frees what a feed holds. */
void
mf_feed_clear (MfFeed *feed)
{
  mf_buffer_clear (&feed->values);
  feed->n_items = 0;
}

/* How long ago at most an answer was made, when the call took so long and could wait for changes
 * for so long. One that took longer may have been made when the call began: the process stood
 * still. */
uint64_t
mf_feed_answer_age_us (uint64_t took_us, uint64_t wait_us)
{
  if (took_us > wait_us + ANSWER_TRANSIT_MAX_US)
    return took_us;
  return took_us < ANSWER_TRANSIT_MAX_US ? took_us : ANSWER_TRANSIT_MAX_US;
}

/* Whether an instance reads the platform's store for itself, for others too, or is told. */
MfFeedRole
mf_feed_role (const MfFeedRank *rank)
{
  if (rank->n_instances < READERS_INSTANCES_MIN)
    return MF_FEED_STANDALONE;
  return rank->rank < N_READERS ? MF_FEED_READER : MF_FEED_FOLLOWER;
}

/* All changes made before this moment of the own clock are known. */
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

/* The moment of the own clock as of which a feed that has just come tells all; 0 when that is not
 * known. How long it was on its way shows in the least difference between both clocks. */
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

/* How long an instance may leave the store alone; 0 when it has to read now. point spreads those
 * that are late together. */
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

/* The pause after a failed call to the store, when the pause before was last_us, 0 for none.
 * Readers look for its return often, and tell the others of it. */
uint64_t
mf_feed_freshness_retry_delay_us (const MfFeedFreshness *freshness, MfFeedRole role,
                                  uint64_t last_us, uint32_t random)
{
  uint64_t max_us = RETRY_MAX_US;
  uint64_t next_us = last_us == 0 ? RETRY_FIRST_US : last_us * 2;

  if (role == MF_FEED_FOLLOWER)
    {
      max_us = freshness->staleness_max_us * RETRY_FOLLOWER_PERCENT / 100;
      /* All have failed at once, and none is waited for. */
      next_us = max_us / 2 + ((max_us / 2) * (uint64_t)random >> 32);
    }
  return next_us < max_us ? next_us : max_us;
}

/* How long a call to the store waits for changes; alone_us where nobody else depends on it. */
uint64_t
mf_feed_freshness_watch_timeout_us (const MfFeedFreshness *freshness, MfFeedRole role,
                                    uint64_t default_us)
{
  uint64_t wait_us = freshness->staleness_max_us * READER_WAIT_PERCENT / 100;

  return role == MF_FEED_READER && wait_us < default_us ? wait_us : default_us;
}
