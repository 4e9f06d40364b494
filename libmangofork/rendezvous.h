#ifndef MF_RENDEZVOUS_H
#define MF_RENDEZVOUS_H

#include "types.h"

/* Returns the score of a node for a subject in rendezvous hashing. The node with the highest score
 * is responsible for the subject; all instances that know the same nodes choose the same one. */
static inline uint64_t
mf_rendezvous_score (uint64_t node, uint64_t subject)
{
  uint64_t z = node ^ (subject * UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

#endif
