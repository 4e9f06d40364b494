#ifndef MF_RELAY_FEED_H
#define MF_RELAY_FEED_H

#include "libmangofork/buffer.h"
#include "libmangofork/types.h"

/* Maximum items of one feed. A reader with more changes sends none of them, and the followers read
 * the store themselves. */
#define MF_FEED_ITEMS_MAX 64
/* Bytes of the key of an item, including the terminating NUL. */
#define MF_FEED_KEY_BYTES 208

/* One entry of the platform store, or its removal. */
typedef struct
{
  char key[MF_FEED_KEY_BYTES];
  uint64_t revision;
  bool removed;
  size_t value_at; /* in MfFeed.values */
  size_t value_bytes;
} MfFeedItem;

/* Changes that one instance has read from the platform store and forwards to the others of its data
 * centre: an instance that knows all changes up to from_revision knows all up to to_revision with
 * these items. Times are of the sender's clock, which also runs while its machine is suspended. */
typedef struct
{
  uint64_t era; /* of the store; revisions of different eras cannot be compared */
  uint64_t from_revision;
  uint64_t to_revision;
  uint64_t sent_us;
  uint64_t as_of_us; /* all changes made before this time are included */
  uint64_t keep_us;  /* retention left for entries that expired while the store was unreachable */
  MfFeedItem items[MF_FEED_ITEMS_MAX];
  uint32_t n_items;
  MfBuffer values;
} MfFeed;

void mf_feed_begin (MfFeed *feed, uint64_t era, uint64_t from_revision);
bool mf_feed_add (MfFeed *feed, const char *key, uint64_t revision, bool removed, const char *value,
                  size_t value_bytes);
void mf_feed_clear (MfFeed *feed);
uint64_t mf_feed_answer_age_us (uint64_t took_us, uint64_t wait_us);

/* Rank of an instance among those of its data centre. */
typedef struct
{
  uint32_t n_instances; /* reachable ones, including this one */
  uint32_t rank;        /* 0 is the first */
} MfFeedRank;

typedef enum
{
  MF_FEED_STANDALONE, /* reads the store for itself only */
  MF_FEED_READER,     /* reads the store and forwards the changes */
  MF_FEED_FOLLOWER,   /* receives them; reads the store itself when they are late */
} MfFeedRole;

/* Maximum senders of feeds whose clock offset is kept. */
#define MF_FEED_SENDERS_MAX 8

typedef struct
{
  uint64_t peer;
  int64_t offset_us; /* least difference seen between the receiver's and the sender's clock */
} MfFeedSender;

/* How recent the known state of the platform store is. */
typedef struct
{
  uint64_t staleness_max_us; /* a change must be acted on within this time */
  uint64_t as_of_us;         /* all changes made before this time are known; 0: no state is known */
  MfFeedSender senders[MF_FEED_SENDERS_MAX];
  uint32_t n_senders; /* ever seen; the oldest one is overwritten */
} MfFeedFreshness;

MfFeedRole mf_feed_role (const MfFeedRank *rank);
void mf_feed_freshness_advance (MfFeedFreshness *freshness, uint64_t as_of_us);
uint64_t mf_feed_freshness_as_of_us (MfFeedFreshness *freshness, uint64_t peer, const MfFeed *feed,
                                     uint64_t now_us);
uint64_t mf_feed_freshness_read_delay_us (const MfFeedFreshness *freshness, MfFeedRole role,
                                          uint64_t now_us, uint32_t random);
uint64_t mf_feed_freshness_retry_delay_us (const MfFeedFreshness *freshness, MfFeedRole role,
                                           uint64_t last_us, uint32_t random);
uint64_t mf_feed_freshness_watch_timeout_us (const MfFeedFreshness *freshness, MfFeedRole role,
                                             uint64_t default_us);

#endif
