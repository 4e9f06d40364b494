#ifndef MF_GOSSIP_H
#define MF_GOSSIP_H

#include "core.h"

void mf_gossip_publish (MfCore *core, MfGossipKind kind, uint64_t subject, uint64_t value);

/* For the membership and digest controllers. Neighbours are given by their index in
 * MfMembers.neighbours. */

void mf_gossip_queue_all (MfCore *core, uint32_t neighbour);
void mf_gossip_unqueue_all (MfCore *core, uint32_t neighbour);
void mf_gossip_fill_digest (MfCore *core, uint32_t neighbour, MfDigestMessage *digest,
                            uint32_t max);

#endif
