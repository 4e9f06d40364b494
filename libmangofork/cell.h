#ifndef MF_CELL_H
#define MF_CELL_H

#include "config.h"
#include "peer.h"

/* The instances that vote on one key: a fixed small set, whatever the size of the fleet. */
typedef struct
{
  char names[MF_VOTERS_PER_KEY_MAX][MF_NAME_BYTES];
  uint32_t n;
  uint32_t quorum; /* votes that a claim needs; any two quorums share a voter */
} MfCell;

uint32_t mf_cell_count (const MfConfig *config);
uint32_t mf_cell_of_key (const MfConfig *config, const uint8_t key[MF_DIGEST_BYTES]);
/* Returns MF_NONE for a name that is no voter. */
uint32_t mf_cell_of_voter (const MfConfig *config, const char *name);
void mf_cell_members (const MfConfig *config, uint32_t cell, MfCell *members);
/* Returns MF_NONE for a name that is not in the cell. */
uint32_t mf_cell_find (const MfCell *members, const char *name);
/* Differs between texts whose sets of voters differ. */
uint64_t mf_cell_epoch (const MfConfig *config);

#endif
