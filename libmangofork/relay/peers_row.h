#ifndef MF_RELAY_PEERS_ROW_H
#define MF_RELAY_PEERS_ROW_H

/* Internal to peers*.c. */

#include "peers.h"

/* Maximum number of known peers. */
#define MF_PEERS_MAX 512
/* For this long after a peer was used as leader, each load change is reported to it. */
#define MF_PEERS_LEADER_REPORT_US (5 * MF_US_PER_S)

/* A report is valid for this percentage of its sender's heartbeat interval. A peer without a valid
 * report is not chosen as leader. */
#define MF_PEERS_REPORT_LIFETIME_PERCENT 180

/* Another instance and the outgoing connection to it. */
typedef struct
{
  MfPeers *peers;
  char address[MF_ADDRESS_BYTES];
  uint64_t hash;
  bool is_seed;
  int fd; /* outgoing connection; -1: none */
  bool connected;
  ev_io writer;
  MfBuffer out;
  uint64_t reconnect_at_us;
  uint64_t reconnect_delay_us;
  uint64_t seen_us; /* last connection or report */
  bool members_sent;
  uint64_t connect_started_us;
  uint64_t reported_us;
  uint64_t leader_used_us;           /* when it was last used as leader */
  uint64_t leader_excluded_until_us; /* not chosen as leader before this time */
  uint64_t grant_id;                 /* latest grant accepted from it */
  bool grant_acked;
  bool connection_lost; /* the connection broke; the lost callback runs from the next tick */
  bool loss_notified;   /* the lost callback has run, and no report has come since */
  uint64_t last_report_us;
  uint64_t report_lifetime_us; /* how long its last report is valid */
  MfLoadEntry *entries;
  uint32_t n_entries;
  MfLeaderVote votes[MF_LOAD_VOTES_MAX];
  uint32_t n_votes;
  uint16_t data_centre; /* hash of the name, from its last report */
} MfPeer;

/* An incoming connection, on which another instance sends its messages. */
typedef struct MfPeerIncoming MfPeerIncoming;
struct MfPeerIncoming
{
  MfPeers *peers;
  MfPeerIncoming *next;
  int fd;
  ev_io reader;
  MfBuffer in;
  char address[MF_ADDRESS_BYTES]; /* of the sender; "" until its first report */
};

struct MfPeers
{
  struct ev_loop *loop;
  char address[MF_ADDRESS_BYTES];
  const MfPeersCallbacks *callbacks;
  void *data;
  MfRelayLog *log;
  int fd;
  ev_io acceptor;
  ev_timer tick;
  ev_timer report_timer;
  MfPeer *list[MF_PEERS_MAX];
  uint32_t n_peers;
  MfPeerIncoming *incoming;
  uint64_t reported_us;
  bool is_seed;      /* this instance is a seed */
  MfRelayMessage in; /* buffers for one received and one sent message; too large for the stack */
  MfRelayMessage out;
  bool closing;
  uint64_t hash;                        /* of the address of this instance */
  uint16_t data_centre;                 /* hash of the name of this instance's data centre */
  uint64_t services[MF_LOAD_VOTES_MAX]; /* hashes of the services whose leader is reported */
  uint64_t fences[MF_LOAD_VOTES_MAX];   /* highest known fencing token of each of these */
  uint32_t n_services;
};

/* peers_lead.c: the ranks of instances for a key. */
uint32_t mf_peers_find_ranked (const MfPeers *peers, uint64_t key, MfPeer **ranked, uint32_t n_max,
                               uint64_t now_us);

/* peers.c: the list of peers and their connections. */
MfPeer *mf_peers_by_hash (const MfPeers *peers, uint64_t hash);
void mf_peer_disconnect (MfPeers *peers, MfPeer *peer);
void mf_peer_flush (MfPeers *peers, MfPeer *peer);

/* peers_tell.c: sending of reports and messages. */
void mf_peers_send_reports (MfPeers *peers, bool changed);
void mf_peer_send_report (MfPeers *peers, MfPeer *peer);
bool mf_peers_shares_members (const MfPeers *peers, const MfPeer *peer);
void mf_peers_on_report_timer (struct ev_loop *loop, ev_timer *watcher, int events);

/* peers_lead.c: choice of leaders, and fencing tokens. */
bool mf_peer_is_alive (const MfPeer *peer, uint64_t now_us);
MfPeer *mf_peers_find_leader (const MfPeers *peers, uint64_t service_hash, uint64_t now_us);
void mf_peers_raise_fence (MfPeers *peers, uint64_t service_hash, uint64_t fence);

#endif
