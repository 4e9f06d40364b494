#include "gossip.h"

#include "digest.h"
#include "member_row.h"
#include "suspect_core.h"

#include <stdlib.h>

/* Items kept, so that each is sent to a neighbour and applied once. */
#define ITEMS_MAX 1024
#define EXPIRE_PERIOD_US MF_US_PER_S
#define REPEAT_NEVER_US (UINT64_MAX / 2)

/* A gossip item and the neighbours it has yet to be sent to. */
typedef struct
{
  struct
  {
    uint64_t kind;
    uint64_t subject;
  } key;
  uint64_t value;
  uint64_t origin_us;
  uint64_t pending_neighbours; /* bit mask of neighbour indexes */
  UT_hash_handle hh;
} GossipItem;

struct MfGossipLog
{
  GossipItem *items;
  uint64_t expire_us;
};

typedef void (*GossipApplyFunc) (MfCore *core, const MfGossip *gossip, uint64_t origin_us);

/* Properties of one kind of gossip. */
typedef struct
{
  uint8_t priority; /* lower is sent first; 0 does not wait for the next digest */
  bool value_rises; /* only a higher value counts as new */
  uint64_t life_us;
  uint64_t repeat_after_us; /* the same value counts as new when it originated this much later */
  GossipApplyFunc apply;
} GossipTraits;

static void
apply_leaving (MfCore *core, const MfGossip *gossip, uint64_t origin_us)
{
  uint32_t upstream = mf_upstream_find (core, gossip->subject);

  (void)origin_us;
  if (upstream != MF_NONE)
    mf_upstream_note_leaving (core, upstream, gossip->value);
}

static void
apply_dead (MfCore *core, const MfGossip *gossip, uint64_t origin_us)
{
  uint32_t upstream = mf_upstream_find (core, gossip->subject);

  (void)origin_us;
  if (upstream != MF_NONE)
    mf_upstream_note_dead (core, upstream, gossip->value);
}

static void
apply_suspect (MfCore *core, const MfGossip *gossip, uint64_t origin_us)
{
  uint32_t n_deaths = gossip->value < UINT32_MAX ? (uint32_t)gossip->value : UINT32_MAX;

  (void)origin_us;
  mf_suspect_apply_report (core, gossip->subject, n_deaths,
                           gossip->kind == MF_GOSSIP_REQUEST_QUARANTINED);
}

static void
apply_fence (MfCore *core, const MfGossip *gossip, uint64_t origin_us)
{
  uint32_t upstream = mf_upstream_find (core, gossip->subject);

  (void)origin_us;
  if (upstream != MF_NONE && gossip->value > core->board.upstreams[upstream].fence_last)
    core->board.upstreams[upstream].fence_last = gossip->value;
}

static const GossipTraits traits[MF_GOSSIP_KIND_COUNT] = {
  [MF_GOSSIP_UPSTREAM_LEAVING] = { 0, false, 60 * MF_US_PER_S, 5 * MF_US_PER_S, apply_leaving },
  [MF_GOSSIP_UPSTREAM_DEAD] = { 0, false, 60 * MF_US_PER_S, MF_US_PER_S, apply_dead },
  [MF_GOSSIP_REQUEST_SUSPECT] = { 1, true, 900 * MF_US_PER_S, REPEAT_NEVER_US, apply_suspect },
  [MF_GOSSIP_REQUEST_QUARANTINED] = { 0, true, 900 * MF_US_PER_S, REPEAT_NEVER_US, apply_suspect },
  [MF_GOSSIP_INSTANCE_DEAD]
  = { 0, false, 60 * MF_US_PER_S, 300 * MF_US_PER_MS, mf_member_apply_gossip },
  [MF_GOSSIP_FENCE] = { 2, true, 300 * MF_US_PER_S, REPEAT_NEVER_US, apply_fence },
  [MF_GOSSIP_INSTANCE_SUSPECT]
  = { 0, false, 10 * MF_US_PER_S, 300 * MF_US_PER_MS, mf_member_apply_gossip },
  [MF_GOSSIP_INSTANCE_ALIVE]
  = { 0, false, 60 * MF_US_PER_S, 300 * MF_US_PER_MS, mf_member_apply_gossip },
};

/* Returns the bit mask of the connected neighbours. */
static uint64_t
linked_neighbours (const MfCore *core)
{
  uint64_t bits = 0;

  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      const MfMemberRow *row = core->board.members->neighbours[i];

      if (row != NULL && row->member.link_id != 0)
        bits |= UINT64_C (1) << i;
    }
  return bits;
}

static void
item_remove (MfCore *core, GossipItem *item)
{
  if ((item->pending_neighbours & linked_neighbours (core)) != 0)
    mf_counter_add (&core->board.counters, MF_COUNTER_GOSSIP_DROPPED, 1);
  HASH_DEL (core->board.gossip_log->items, item);
  free (item);
}

/* Evicts the oldest item of the lowest priority. */
static void
evict_item (MfCore *core)
{
  GossipItem *worst = NULL;

  for (GossipItem *item = core->board.gossip_log->items; item != NULL; item = item->hh.next)
    {
      uint8_t priority = traits[item->key.kind].priority;

      if (worst == NULL || priority > traits[worst->key.kind].priority
          || (priority == traits[worst->key.kind].priority && item->origin_us < worst->origin_us))
        worst = item;
    }
  if (worst != NULL)
    item_remove (core, worst);
}

static GossipItem *
item_find (const MfCore *core, MfGossipKind kind, uint64_t subject)
{
  GossipItem key_item = { .key = { .kind = kind, .subject = subject } };
  GossipItem *item;

  HASH_FIND (hh, core->board.gossip_log->items, &key_item.key, sizeof key_item.key, item);
  return item;
}

static GossipItem *
item_add (MfCore *core, MfGossipKind kind, uint64_t subject)
{
  MfGossipLog *log = core->board.gossip_log;
  GossipItem *item;

  if (HASH_COUNT (log->items) >= ITEMS_MAX)
    evict_item (core);
  item = calloc (1, sizeof *item);
  if (item == NULL)
    return NULL;
  item->key.kind = kind;
  item->key.subject = subject;
  HASH_ADD (hh, log->items, key, sizeof item->key, item);
  return item;
}

static bool
is_new (const GossipItem *item, uint64_t value, uint64_t origin_us)
{
  const GossipTraits *kind = &traits[item->key.kind];

  if (kind->value_rises)
    return value > item->value;
  if (value != item->value)
    return origin_us > item->origin_us;
  return origin_us > item->origin_us + kind->repeat_after_us;
}

/* Stores an item and queues it for all connected neighbours except those in sender_bit, the one
 * that sent it. Returns false when the item is not new. */
static bool
add_or_update (MfCore *core, const MfGossip *gossip, uint64_t origin_us, uint64_t sender_bit)
{
  GossipItem *item = item_find (core, gossip->kind, gossip->subject);

  if (item != NULL && !is_new (item, gossip->value, origin_us))
    {
      if (item->value == gossip->value)
        item->pending_neighbours &= ~sender_bit;
      return false;
    }
  if (item == NULL)
    item = item_add (core, gossip->kind, gossip->subject);
  if (item == NULL)
    return false;
  item->value = gossip->value;
  item->origin_us = origin_us;
  item->pending_neighbours = linked_neighbours (core) & ~sender_bit;
  if (traits[gossip->kind].priority == 0 && item->pending_neighbours != 0)
    mf_digest_schedule_urgent (core);
  return true;
}

/* Publishes an event that this instance has detected itself. Does nothing when it is known already.
 */
void
mf_gossip_publish (MfCore *core, MfGossipKind kind, uint64_t subject, uint64_t value)
{
  MfGossip gossip = { .kind = kind, .subject = subject, .value = value };

  if (core->board.gossip_log != NULL)
    add_or_update (core, &gossip, core->board.now_us, 0);
}

/* Queues all items for a neighbour with a new link, which may have missed any of them. */
void
mf_gossip_queue_all (MfCore *core, uint32_t neighbour)
{
  for (GossipItem *item = core->board.gossip_log->items; item != NULL; item = item->hh.next)
    item->pending_neighbours |= UINT64_C (1) << neighbour;
}

void
mf_gossip_unqueue_all (MfCore *core, uint32_t neighbour)
{
  for (GossipItem *item = core->board.gossip_log->items; item != NULL; item = item->hh.next)
    item->pending_neighbours &= ~(UINT64_C (1) << neighbour);
}

static void
gossip_pack (const MfCore *core, const GossipItem *item, MfGossip *gossip)
{
  *gossip = (MfGossip){
    .kind = (MfGossipKind)item->key.kind,
    .subject = item->key.subject,
    .value = item->value,
    .age_ms = (uint32_t)((core->board.now_us - item->origin_us) / MF_US_PER_MS),
  };
}

/* Moves up to max queued items of a neighbour into the digest, by priority and then oldest first.
 */
void
mf_gossip_fill_digest (MfCore *core, uint32_t neighbour, MfDigestMessage *digest, uint32_t max)
{
  uint64_t bit = UINT64_C (1) << neighbour;

  if (max > MF_GOSSIP_PER_DIGEST_MAX)
    max = MF_GOSSIP_PER_DIGEST_MAX;
  for (uint8_t priority = 0; priority <= 2; priority++)
    {
      for (GossipItem *item = core->board.gossip_log->items; item != NULL; item = item->hh.next)
        {
          if ((item->pending_neighbours & bit) == 0 || traits[item->key.kind].priority != priority)
            continue;
          if (digest->n_gossip >= max)
            return;
          gossip_pack (core, item, &digest->gossip[digest->n_gossip++]);
          item->pending_neighbours &= ~bit;
        }
    }
}

/* Applies the items of a received digest that are new, and queues them for the other neighbours. */
static void
apply_digest (MfCore *core, const MfMemberRow *row, const MfDigestMessage *digest)
{
  uint64_t now_us = core->board.now_us;
  uint64_t sender_bit = row->neighbour != MF_NONE ? UINT64_C (1) << row->neighbour : 0;

  for (uint32_t i = 0; i < digest->n_gossip; i++)
    {
      const MfGossip *gossip = &digest->gossip[i];
      uint64_t age_us = gossip->age_ms * MF_US_PER_MS;
      uint64_t origin_us = age_us < now_us ? now_us - age_us : 0;

      if (age_us >= traits[gossip->kind].life_us
          || !add_or_update (core, gossip, origin_us, sender_bit))
        continue;
      traits[gossip->kind].apply (core, gossip, origin_us);
    }
}

static void
gossip_handle (MfCore *core, const MfEvent *event)
{
  const MfDigestMessage *digest;
  const MfMemberRow *row;

  if (event->type != MF_EVENT_PEER_MESSAGE || event->peer.message->type != MF_PEER_DIGEST)
    return;
  row = mf_member_row (core, event->peer.peer.name);
  if (row == NULL || row->member.owner.incarnation != event->peer.peer.incarnation)
    return;
  digest = &event->peer.message->digest;
  apply_digest (core, row, digest);
  if (digest->burn_bytes > 0)
    mf_burn_merge (core->board.burn, &event->peer.peer, digest->burn, digest->burn_bytes,
                   core->board.now_us);
}

static void
gossip_tick (MfCore *core)
{
  MfGossipLog *log = core->board.gossip_log;
  GossipItem *item, *next;

  if (core->board.now_us < log->expire_us)
    return;
  log->expire_us = core->board.now_us + EXPIRE_PERIOD_US;
  HASH_ITER (hh, log->items, item, next)
  {
    if (core->board.now_us - item->origin_us >= traits[item->key.kind].life_us)
      item_remove (core, item);
  }
}

static bool
gossip_init (MfCore *core, MfError *error)
{
  core->board.gossip_log = calloc (1, sizeof *core->board.gossip_log);
  if (core->board.gossip_log == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the gossip log");
  return core->board.gossip_log != NULL;
}

static void
gossip_finish (MfCore *core)
{
  GossipItem *item, *next;

  if (core->board.gossip_log == NULL)
    return;
  HASH_ITER (hh, core->board.gossip_log->items, item, next)
  {
    HASH_DEL (core->board.gossip_log->items, item);
    free (item);
  }
  free (core->board.gossip_log);
  core->board.gossip_log = NULL;
}

const MfController mf_gossip_controller = {
  .name = "gossip",
  .init = gossip_init,
  .finish = gossip_finish,
  .handle = gossip_handle,
  .tick = gossip_tick,
};
