#ifndef MF_HEAP_H
#define MF_HEAP_H

#include "types.h"

/* Position of a node that is in no heap. */
#define MF_HEAP_NO_POSITION UINT32_MAX

/* A node is embedded in the object that it is the timer of. */
typedef struct
{
  uint64_t at_us;
  uint32_t position;
} MfHeapNode;

/* A binary heap of timers, earliest first. It does not own its nodes. */
typedef struct
{
  MfHeapNode **nodes;
  uint32_t n_nodes;
  uint32_t n_nodes_max;
} MfHeap;

/* Sets the time of a node, and inserts it if it is in no heap. */
void mf_heap_set (MfHeap *heap, MfHeapNode *node, uint64_t at_us);
void mf_heap_remove (MfHeap *heap, MfHeapNode *node);
/* Returns the earliest node, or NULL. */
MfHeapNode *mf_heap_first (const MfHeap *heap);
void mf_heap_clear (MfHeap *heap);

#endif
