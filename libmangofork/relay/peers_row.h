#ifndef MF_RELAY_PEERS_ROW_H
#define MF_RELAY_PEERS_ROW_H

/* Shared by the files peers*.c only. */

#include "peers.h"

/* Other instances that are kept in touch with. */
#define MF_PEERS_MAX 512
/* A peer that was asked to decide is told of each change for so long. */
#define MF_PEERS_LEADER_US (5 * MF_US_PER_S)

/* A peer that is not heard after this part of its heartbeat is not asked to decide. */
#define MF_PEERS_FRESH_PERCENT 180

/* Another instance, and the connection on which it is told things. */
typedef struct
{
  MfPeers *peers;
  char address[MF_ADDRESS_BYTES];
  uint64_t hash;
  bool is_seed;
  int fd; /* the connection reports go out on; -1: none */
  bool connected;
  ev_io writer;
  MfBuffer out;
  uint64_t redial_at_us;
  uint64_t redial_us;
  uint64_t seen_us; /* reached or heard */
  bool members_told;
  uint64_t dialled_us;
  uint64_t told_us;
  uint64_t leader_us;     /* when it was last asked to decide */
  uint64_t distrusted_us; /* until then it is not asked */
  uint64_t grant_id;      /* the last grant of its that was taken */
  bool grant_told;
  bool lost;      /* the connection to it broke; its user is told from the loop */
  bool told_gone; /* its user has been told, and nothing was heard since */
  uint64_t heard_us;
  uint64_t fresh_us; /* it is due to be heard within this time */
  MfLoadEntry *entries;
  uint32_t n_entries;
  MfLeaderVote votes[MF_LOAD_VOTES_MAX];
  uint32_t n_votes;
  uint16_t data_centre; /* hash of its name, as it told */
} MfPeer;

/* A connection that another instance has made to tell its reports. */
typedef struct MfPeerIncoming MfPeerIncoming;
struct MfPeerIncoming
{
  MfPeers *peers;
  MfPeerIncoming *next;
  int fd;
  ev_io reader;
  MfBuffer in;
  char address[MF_ADDRESS_BYTES]; /* of who speaks on it; "" until it has */
};

struct MfPeers
{
  struct ev_loop *loop;
  char address[MF_ADDRESS_BYTES];
  const MfPeersUser *user;
  void *data;
  MfRelayLog *lines;
  int fd;
  ev_io acceptor;
  ev_timer tick;
  ev_timer tell;
  MfPeer *list[MF_PEERS_MAX];
  uint32_t n_peers;
  MfPeerIncoming *incoming;
  uint64_t told_us;
  bool is_seed;      /* this instance is one */
  MfRelayMessage in; /* room for one that came and one that goes; too large for the stack */
  MfRelayMessage out;
  bool closing;
  uint64_t hash;                        /* of the own address */
  uint16_t data_centre;                 /* hash of the own one's name */
  uint64_t services[MF_LOAD_VOTES_MAX]; /* hashes of those that a leader was asked for */
  uint64_t fences[MF_LOAD_VOTES_MAX];   /* the highest of orders for these, by anybody */
  uint32_t n_services;
};

/* peers.c: the list of peers and their connections. */
MfPeer *mf_peers_by_hash (const MfPeers *peers, uint64_t hash);
void mf_peer_hang_up (MfPeers *peers, MfPeer *peer);
void mf_peer_flush (MfPeers *peers, MfPeer *peer);

/* peers_tell.c: what peers are told, and when. */
void mf_peers_tell (MfPeers *peers, bool changed);
void mf_peer_tell (MfPeers *peers, MfPeer *peer);
bool mf_peers_introduces (const MfPeers *peers, const MfPeer *peer);
void mf_peers_on_tell (struct ev_loop *loop, ev_timer *watcher, int events);

/* peers_lead.c: who decides for all. */
bool mf_peer_is_heard (const MfPeer *peer, uint64_t now_us);
MfPeer *mf_peers_find_leader (const MfPeers *peers, uint64_t service_hash, uint64_t now_us);
void mf_peers_hear_fence (MfPeers *peers, uint64_t service_hash, uint64_t fence);

#endif
