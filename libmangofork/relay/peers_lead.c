#include "peers_row.h"

#include "libmangofork/clock.h"

/* A peer that did not answer is not asked for so long. */
#define LEADER_EXCLUDE_US (2 * MF_US_PER_S)
/* Machines' times of day differ by less, also when they jump. */
#define FENCE_AHEAD_MAX_MS (UINT64_C (3600) * 1000)
/* Odd number that spreads the ranks of instances (2^64 divided by the golden ratio). */
#define RANK_FACTOR UINT64_C (0x9e3779b97f4a7c15)

/* Whether a peer has reported within the time it promised. */
bool
mf_peer_is_heard (const MfPeer *peer, uint64_t now_us)
{
  return peer->heard_us > 0 && now_us - peer->heard_us <= peer->fresh_us;
}

/* The instance of the highest rank for a service among those that can be asked; NULL: this one. */
MfPeer *
mf_peers_find_leader (const MfPeers *peers, uint64_t service_hash, uint64_t now_us)
{
  MfPeer *best = NULL;
  uint64_t best_rank = (peers->hash ^ service_hash) * RANK_FACTOR;

  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      MfPeer *peer = peers->list[i];
      uint64_t rank = (peer->hash ^ service_hash) * RANK_FACTOR;

      if (rank <= best_rank || !peer->connected || !mf_peer_is_heard (peer, now_us)
          || peer->distrusted_us > now_us)
        continue;
      best = peer;
      best_rank = rank;
    }
  return best;
}

/* From now on reports name the leader of this service. */
static void
service_add (MfPeers *peers, uint64_t service_hash)
{
  for (uint32_t i = 0; i < peers->n_services; i++)
    {
      if (peers->services[i] == service_hash)
        return;
    }
  if (peers->n_services < MF_LOAD_VOTES_MAX)
    peers->services[peers->n_services++] = service_hash;
}

/* Somebody has given an order with this fence. One far ahead of the time of day is nobody's. */
void
mf_peers_hear_fence (MfPeers *peers, uint64_t service_hash, uint64_t fence)
{
  if (fence >> MF_FENCE_OWN_BITS > mf_clock_wall_ms () + FENCE_AHEAD_MAX_MS)
    return;
  for (uint32_t i = 0; i < peers->n_services; i++)
    {
      if (peers->services[i] == service_hash && fence > peers->fences[i])
        peers->fences[i] = fence;
    }
}

/* This instance gives an order with this fence; the others are told. */
void
mf_peers_note_fence (MfPeers *peers, const char *service, uint64_t fence)
{
  uint64_t service_hash = mf_load_hash (service);

  service_add (peers, service_hash);
  mf_peers_hear_fence (peers, service_hash, fence);
}

/* The highest fence of an order for a service that is known here; 0: none is. */
uint64_t
mf_peers_fence (const MfPeers *peers, const char *service)
{
  uint64_t service_hash = mf_load_hash (service);

  for (uint32_t i = 0; i < peers->n_services; i++)
    {
      if (peers->services[i] == service_hash)
        return peers->fences[i];
    }
  return 0;
}

/* The instance that decides for all about a service: a peer, or 0 for this one. */
uint64_t
mf_peers_leader (MfPeers *peers, const char *service, uint64_t now_us)
{
  uint64_t service_hash = mf_load_hash (service);
  MfPeer *best = mf_peers_find_leader (peers, service_hash, now_us);

  service_add (peers, service_hash);
  if (best == NULL)
    return MF_DISPATCH_SELF;
  /* One that begins to decide knows what it was told at the last heartbeat only. */
  if (now_us - best->leader_us >= MF_PEERS_LEADER_US)
    mf_peer_tell (peers, best);
  best->leader_us = now_us;
  return best->hash;
}

/* Whether a peer names this instance as the leader of a service. */
static bool
votes_for_self (const MfPeers *peers, const MfPeer *peer, uint64_t service_hash)
{
  for (uint32_t i = 0; i < peer->n_votes; i++)
    {
      if (peer->votes[i].service == service_hash)
        return peer->votes[i].leader == peers->hash;
    }
  return false;
}

/* Whether this instance decides about a service and more than half of all that are known say so;
 * two instances that cannot hear each other are not both told yes. */
bool
mf_peers_leads (MfPeers *peers, const char *service, uint64_t now_us)
{
  uint64_t service_hash = mf_load_hash (service);
  uint32_t n_votes = 1;

  service_add (peers, service_hash);
  if (mf_peers_find_leader (peers, service_hash, now_us) != NULL)
    return false;
  for (uint32_t i = 0; i < peers->n_peers; i++)
    n_votes += mf_peer_is_heard (peers->list[i], now_us)
               && votes_for_self (peers, peers->list[i], service_hash);
  return n_votes * 2 > peers->n_peers + 1;
}

/* The peer did not answer: it decides for nobody here for a while. */
void
mf_peers_distrust (MfPeers *peers, uint64_t hash)
{
  MfPeer *peer = mf_peers_by_hash (peers, hash);

  if (peer != NULL)
    peer->distrusted_us = mf_clock_now_us () + LEADER_EXCLUDE_US;
}

/* The data centre that this instance stands in. */
void
mf_peers_set_data_centre (MfPeers *peers, const char *data_centre)
{
  peers->data_centre = (uint16_t)mf_load_hash (data_centre);
}

/* Where this instance stands among those of its data centre that are in touch. */
MfFeedStanding
mf_peers_standing (const MfPeers *peers, uint64_t now_us)
{
  MfFeedStanding standing = { .n_instances = 1 };
  uint64_t own_rank = peers->hash * RANK_FACTOR;

  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      const MfPeer *peer = peers->list[i];

      if (peer->data_centre != peers->data_centre || !peer->connected
          || !mf_peer_is_heard (peer, now_us))
        continue;
      standing.n_instances++;
      standing.rank += peer->hash * RANK_FACTOR > own_rank;
    }
  return standing;
}
