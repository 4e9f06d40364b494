#ifndef MF_RELAY_PEERS_H
#define MF_RELAY_PEERS_H

#include "line.h"
#include "relay_message.h"

/* Connections to the other instances. Each instance reports its load at the engines to the others.
 * Reports are advisory: they influence placement only, and no correctness guarantee depends on
 * them. */
typedef struct MfPeers MfPeers;

/* A fencing token of engine orders is the wall-clock time in milliseconds at which the sender
 * became leader, followed by this number of low bits that identify the instance. */
#define MF_FENCE_OWN_BITS 10

/* Maximum peers that one message is sent to by their rank for a key. */
#define MF_PEERS_RANKED_MAX 16

typedef struct
{
  /* Fills the entries of a report with the current load of this instance. */
  void (*fill_report) (void *data, MfLoadReport *report);
  /* The load reported by another instance has changed. */
  void (*loads_changed) (void *data);
  /* A message other than a report. Peers are identified by the hash of their address. */
  void (*message) (void *data, uint64_t peer, const MfRelayMessage *message);
  /* A connection to a peer was established. The peer may have missed earlier broadcasts. May be
   * NULL. */
  void (*reached) (void *data, uint64_t peer);
  /* A peer closed its connection, or the connection to it broke. */
  void (*lost) (void *data, uint64_t peer);
} MfPeersCallbacks;

MfPeers *mf_peers_new (struct ev_loop *loop, const char *address, const MfPeersCallbacks *callbacks,
                       void *data, MfRelayLog *log, MfError *error);
void mf_peers_set_data_centre (MfPeers *peers, const char *data_centre);
void mf_peers_free (MfPeers *peers);
void mf_peers_add_seeds (MfPeers *peers, const char *addresses);
void mf_peers_schedule_report (MfPeers *peers);
void mf_peers_foreach_entry (const MfPeers *peers, uint64_t now_us,
                             void (*func) (void *data, const MfLoadEntry *entry,
                                           uint64_t received_us),
                             void *data);
bool mf_peers_send (MfPeers *peers, uint64_t peer, const MfRelayMessage *message);
uint64_t mf_peers_leader (MfPeers *peers, const char *service, uint64_t now_us);
uint64_t mf_peers_allocator (const MfPeers *peers, uint64_t key, uint64_t now_us);
uint32_t mf_peers_n_higher (const MfPeers *peers, uint64_t key, uint64_t now_us);
uint64_t mf_peers_report_lifetime_us (const MfPeers *peers);
bool mf_peers_is_leader (MfPeers *peers, const char *service, uint64_t now_us);
uint64_t mf_peers_fence (const MfPeers *peers, const char *service);
void mf_peers_record_fence (MfPeers *peers, const char *service, uint64_t fence);
void mf_peers_exclude_leader (MfPeers *peers, uint64_t peer);
void mf_peers_ack_grant (MfPeers *peers, uint64_t peer, uint64_t grant_id);
void mf_peers_send_all (MfPeers *peers, const MfRelayMessage *message);
uint32_t mf_peers_send_ranked (MfPeers *peers, uint64_t key, uint32_t n_peers,
                               const MfRelayMessage *message);
void mf_peers_send_local (MfPeers *peers, const MfRelayMessage *message);
MfFeedRank mf_peers_feed_rank (const MfPeers *peers, uint64_t now_us);
uint32_t mf_peers_n_known (const MfPeers *peers);
uint32_t mf_peers_n_alive (const MfPeers *peers, uint64_t now_us);

#endif
