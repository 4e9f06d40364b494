#ifndef MF_RELAY_PEERS_H
#define MF_RELAY_PEERS_H

#include "line.h"
#include "load_report.h"

/* The other instances: each tells all others what it has at the engines. What they tell is advice
 * for placing only; nothing that must hold depends on it. */
typedef struct MfPeers MfPeers;

typedef struct
{
  /* Fills the entries of a report with what this instance has now. */
  void (*fill) (void *data, MfLoadReport *report);
  /* What the others have has changed. */
  void (*changed) (void *data);
} MfPeersUser;

/* Listens at an address, which is also the one others are told. NULL with error set. */
MfPeers *mf_peers_new (struct ev_loop *loop, const char *address, const MfPeersUser *user,
                       void *data, MfLines *lines, MfError *error);
/* Accepts NULL. */
void mf_peers_free (MfPeers *peers);
/* Addresses at which some instances may be found; comma-separated. */
void mf_peers_seed (MfPeers *peers, const char *addresses);
/* What this instance has has changed: the others are told soon. */
void mf_peers_touch (MfPeers *peers);
/* Calls func for each entry that another instance has told and that still holds. */
void mf_peers_foreach (const MfPeers *peers, uint64_t now_us,
                       void (*func) (void *data, const MfLoadEntry *entry), void *data);
/* Instances heard of lately, this one included. */
uint32_t mf_peers_count (const MfPeers *peers, uint64_t now_us);

#endif
