#ifndef MF_RELAY_PEERS_H
#define MF_RELAY_PEERS_H

#include "line.h"
#include "relay_message.h"

/* The other instances: each tells all others what it has at the engines. What they tell is advice
 * for placing only; nothing that must hold depends on it. */
typedef struct MfPeers MfPeers;

/* A fence of orders is the time of day at which their sender began to lead, in milliseconds, above
 * so many bits that tell instances apart. */
#define MF_FENCE_OWN_BITS 10

typedef struct
{
  /* Fills the entries of a report with what this instance has now. */
  void (*fill) (void *data, MfLoadReport *report);
  /* What the others have has changed. */
  void (*changed) (void *data);
  /* A message other than a report has come; peers are named by the hash of their address. */
  void (*message) (void *data, uint64_t peer, const MfRelayMessage *message);
  /* A peer has been reached that may know nothing yet of what all were told; may be NULL. */
  void (*reached) (void *data, uint64_t peer);
  /* A peer has closed its connection or has not been heard for long. */
  void (*gone) (void *data, uint64_t peer);
} MfPeersUser;

MfPeers *mf_peers_new (struct ev_loop *loop, const char *address, const MfPeersUser *user,
                       void *data, MfLines *lines, MfError *error);
void mf_peers_set_data_centre (MfPeers *peers, const char *data_centre);
void mf_peers_free (MfPeers *peers);
void mf_peers_seed (MfPeers *peers, const char *addresses);
void mf_peers_touch (MfPeers *peers);
void mf_peers_foreach (const MfPeers *peers, uint64_t now_us,
                       void (*func) (void *data, const MfLoadEntry *entry, uint64_t received_us),
                       void *data);
bool mf_peers_send (MfPeers *peers, uint64_t peer, const MfRelayMessage *message);
uint64_t mf_peers_leader (MfPeers *peers, const char *service, uint64_t now_us);
uint64_t mf_peers_fresh_us (const MfPeers *peers);
bool mf_peers_leads (MfPeers *peers, const char *service, uint64_t now_us);
uint64_t mf_peers_fence (const MfPeers *peers, const char *service);
void mf_peers_note_fence (MfPeers *peers, const char *service, uint64_t fence);
void mf_peers_distrust (MfPeers *peers, uint64_t peer);
void mf_peers_note_grant (MfPeers *peers, uint64_t peer, uint64_t grant_id);
void mf_peers_send_all (MfPeers *peers, const MfRelayMessage *message);
void mf_peers_send_near (MfPeers *peers, const MfRelayMessage *message);
MfFeedStanding mf_peers_standing (const MfPeers *peers, uint64_t now_us);
uint32_t mf_peers_known (const MfPeers *peers);
uint32_t mf_peers_count (const MfPeers *peers, uint64_t now_us);

#endif
