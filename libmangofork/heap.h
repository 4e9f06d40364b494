#ifndef MF_HEAP_H
#define MF_HEAP_H

#include "types.h"

/* Position of a node that is in no heap. */
#define MF_HEAP_OUT UINT32_MAX

/* A node is embedded in what it times. */
typedef struct
{
  uint64_t at_us;
  uint32_t position;
} MfHeapNode;

/* A binary heap of timers, the earliest first. It borrows its nodes. */
typedef struct
{
  MfHeapNode **nodes;
  uint32_t n_nodes;
  uint32_t n_nodes_max;
} MfHeap;

/* Sets the time of a node, putting it in when it was out. */
void mf_heap_set (MfHeap *heap, MfHeapNode *node, uint64_t at_us);
void mf_heap_remove (MfHeap *heap, MfHeapNode *node);
/* The earliest node, or NULL. */
MfHeapNode *mf_heap_first (const MfHeap *heap);
void mf_heap_clear (MfHeap *heap);

#endif
