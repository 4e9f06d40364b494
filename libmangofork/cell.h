#ifndef MF_CELL_H
#define MF_CELL_H

#include "config.h"
#include "peer.h"

/* A cell is the group of instances that vote on a key. The voters are divided into cells of
 * voters_per_key members, whatever the number of instances; each key belongs to one cell. */
typedef struct
{
  char names[MF_VOTERS_PER_KEY_MAX][MF_NAME_BYTES];
  uint32_t n;
  uint32_t quorum; /* majority; any two quorums share a voter */
} MfCell;

uint32_t mf_cell_count (const MfConfig *config);
uint32_t mf_cell_of_key (const MfConfig *config, const uint8_t key[MF_DIGEST_BYTES]);
uint32_t mf_cell_of_voter (const MfConfig *config, const char *name);
void mf_cell_members (const MfConfig *config, uint32_t cell, MfCell *members);
uint32_t mf_cell_find (const MfCell *members, const char *name);
uint64_t mf_cell_epoch (const MfConfig *config);

#endif
