#include "peers_row.h"

#include "libmangofork/clock.h"

/* A leader that did not answer is not chosen again for this long. */
#define LEADER_EXCLUDE_US (2 * MF_US_PER_S)
/* Upper bound of the difference between the wall clocks of two machines, clock steps included. */
#define FENCE_AHEAD_MAX_MS (UINT64_C (3600) * 1000)
/* Multiplier of the rank hash: an odd number, 2^64 divided by the golden ratio (Fibonacci hashing).
 */
#define RANK_FACTOR UINT64_C (0x9e3779b97f4a7c15)

/* Whether the last report of a peer is still valid. */
bool
mf_peer_is_alive (const MfPeer *peer, uint64_t now_us)
{
  return peer->last_report_us > 0 && now_us - peer->last_report_us <= peer->report_lifetime_us;
}

/* Rank of an instance for a key (rendezvous hashing). */
static uint64_t
rank_hash (uint64_t instance, uint64_t key)
{
  return (instance ^ key) * RANK_FACTOR;
}

/* Returns the reachable peer with the highest rank for a key, or NULL when this instance ranks
 * highest. Peers excluded at excluded_us are left out; UINT64_MAX: none are. */
static MfPeer *
find_highest (const MfPeers *peers, uint64_t key, uint64_t excluded_us, uint64_t now_us)
{
  MfPeer *best = NULL;
  uint64_t best_rank = rank_hash (peers->hash, key);

  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      MfPeer *peer = peers->list[i];
      uint64_t rank = rank_hash (peer->hash, key);

      if (rank <= best_rank || !peer->connected || !mf_peer_is_alive (peer, now_us)
          || peer->leader_excluded_until_us > excluded_us)
        continue;
      best = peer;
      best_rank = rank;
    }
  return best;
}

/* Returns the leader of a service, or NULL when it is this instance. */
MfPeer *
mf_peers_find_leader (const MfPeers *peers, uint64_t service_hash, uint64_t now_us)
{
  return find_highest (peers, service_hash, now_us, now_us);
}

/* Adds a service to those whose leader is named in reports. */
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

/* Raises the highest known fencing token of a service. A token far ahead of the wall clock is
 * invalid and ignored. */
void
mf_peers_raise_fence (MfPeers *peers, uint64_t service_hash, uint64_t fence)
{
  if (fence >> MF_FENCE_OWN_BITS > mf_clock_wall_ms () + FENCE_AHEAD_MAX_MS)
    return;
  for (uint32_t i = 0; i < peers->n_services; i++)
    {
      if (peers->services[i] == service_hash && fence > peers->fences[i])
        peers->fences[i] = fence;
    }
}

/* Records the fencing token of an order by this instance; the next reports carry it. */
void
mf_peers_record_fence (MfPeers *peers, const char *service, uint64_t fence)
{
  uint64_t service_hash = mf_load_hash (service);

  service_add (peers, service_hash);
  mf_peers_raise_fence (peers, service_hash, fence);
}

/* Returns the highest known fencing token of orders for a service; 0 when none is known. */
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

/* Returns the leader of a service: the hash of a peer, or MF_DISPATCH_SELF. */
uint64_t
mf_peers_leader (MfPeers *peers, const char *service, uint64_t now_us)
{
  uint64_t service_hash = mf_load_hash (service);
  MfPeer *best = mf_peers_find_leader (peers, service_hash, now_us);

  service_add (peers, service_hash);
  if (best == NULL)
    return MF_DISPATCH_SELF;
  /* A peer that was not used as leader lately knows only the load of the last heartbeat. */
  if (now_us - best->leader_used_us >= MF_PEERS_LEADER_REPORT_US)
    mf_peer_send_report (peers, best);
  best->leader_used_us = now_us;
  return best->hash;
}

/* Returns the instance that allocates a shared rate: the hash of a peer, or MF_DISPATCH_SELF. One
 * that does not answer stays the allocator as long as its reports are valid: two at a time would
 * grant the rate twice. */
uint64_t
mf_peers_allocator (const MfPeers *peers, uint64_t key, uint64_t now_us)
{
  const MfPeer *best = find_highest (peers, key, UINT64_MAX, now_us);

  return best != NULL ? best->hash : MF_DISPATCH_SELF;
}

/* Returns how many reachable peers have a higher rank for a key than this instance. */
uint32_t
mf_peers_n_higher (const MfPeers *peers, uint64_t key, uint64_t now_us)
{
  uint64_t own_rank = rank_hash (peers->hash, key);
  uint32_t n_higher = 0;

  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      const MfPeer *peer = peers->list[i];

      n_higher += peer->connected && mf_peer_is_alive (peer, now_us)
                  && rank_hash (peer->hash, key) > own_rank;
    }
  return n_higher;
}

/* Fills ranked with the reachable peers of the highest ranks for a key, the highest first. Returns
 * their number. */
uint32_t
mf_peers_find_ranked (const MfPeers *peers, uint64_t key, MfPeer **ranked, uint32_t n_max,
                      uint64_t now_us)
{
  uint32_t n_ranked = 0;

  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      MfPeer *peer = peers->list[i];
      uint32_t at = n_ranked;

      if (!peer->connected || !mf_peer_is_alive (peer, now_us))
        continue;
      while (at > 0 && rank_hash (ranked[at - 1]->hash, key) < rank_hash (peer->hash, key))
        at--;
      if (at == n_max)
        continue;
      n_ranked += n_ranked < n_max;
      for (uint32_t j = n_ranked - 1; j > at; j--)
        ranked[j] = ranked[j - 1];
      ranked[at] = peer;
    }
  return n_ranked;
}

/* Whether a peer votes for this instance as leader of a service. */
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

/* Whether this instance is the leader of a service by the votes of more than half of all known
 * instances. With a majority, two instances that cannot reach each other are not both leader. */
bool
mf_peers_is_leader (MfPeers *peers, const char *service, uint64_t now_us)
{
  uint64_t service_hash = mf_load_hash (service);
  uint32_t n_votes = 1;

  service_add (peers, service_hash);
  if (mf_peers_find_leader (peers, service_hash, now_us) != NULL)
    return false;
  for (uint32_t i = 0; i < peers->n_peers; i++)
    n_votes += mf_peer_is_alive (peers->list[i], now_us)
               && votes_for_self (peers, peers->list[i], service_hash);
  return n_votes * 2 > peers->n_peers + 1;
}

/* Keeps a peer that did not answer from being chosen as leader for LEADER_EXCLUDE_US. */
void
mf_peers_exclude_leader (MfPeers *peers, uint64_t hash)
{
  MfPeer *peer = mf_peers_by_hash (peers, hash);

  if (peer != NULL)
    peer->leader_excluded_until_us = mf_clock_now_us () + LEADER_EXCLUDE_US;
}

/* Sets the data centre of this instance. */
void
mf_peers_set_data_centre (MfPeers *peers, const char *data_centre)
{
  peers->data_centre = (uint16_t)mf_load_hash (data_centre);
}

/* Returns the rank of this instance among the reachable instances of its data centre. */
MfFeedRank
mf_peers_feed_rank (const MfPeers *peers, uint64_t now_us)
{
  MfFeedRank rank = { .n_instances = 1 };
  uint64_t own_rank = peers->hash * RANK_FACTOR;

  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      const MfPeer *peer = peers->list[i];

      if (peer->data_centre != peers->data_centre || !peer->connected
          || !mf_peer_is_alive (peer, now_us))
        continue;
      rank.n_instances++;
      rank.rank += peer->hash * RANK_FACTOR > own_rank;
    }
  return rank;
}
