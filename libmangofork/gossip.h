#ifndef MF_GOSSIP_H
#define MF_GOSSIP_H

#include "core.h"

/* Tells the fleet something this instance learnt itself. Repeats of what is known cost nothing. */
void mf_gossip_publish (MfCore *core, MfGossipKind kind, uint64_t subject, uint64_t value);

/* For the fleet's own controllers. Neighbours are named by their place. */

/* A neighbour is linked anew and may have missed anything. */
void mf_gossip_queue_all (MfCore *core, uint32_t neighbour);
void mf_gossip_unqueue_all (MfCore *core, uint32_t neighbour);
/* Moves at most max items for a neighbour into the digest, the most urgent first. */
void mf_gossip_fill_digest (MfCore *core, uint32_t neighbour, MfDigestMessage *digest,
                            uint32_t max);

#endif
