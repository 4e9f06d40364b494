#include "heap.h"

#include <stdlib.h>

static void
heap_put (MfHeap *heap, MfHeapNode *node, uint32_t position)
{
  heap->nodes[position] = node;
  node->position = position;
}

static void
sift_up (MfHeap *heap, MfHeapNode *node)
{
  uint32_t at = node->position;

  while (at > 0 && heap->nodes[(at - 1) / 2]->at_us > node->at_us)
    {
      heap_put (heap, heap->nodes[(at - 1) / 2], at);
      at = (at - 1) / 2;
    }
  heap_put (heap, node, at);
}

static void
sift_down (MfHeap *heap, MfHeapNode *node)
{
  uint32_t at = node->position;

  for (;;)
    {
      uint32_t child = at * 2 + 1;

      if (child >= heap->n_nodes)
        break;
      if (child + 1 < heap->n_nodes && heap->nodes[child + 1]->at_us < heap->nodes[child]->at_us)
        child++;
      if (heap->nodes[child]->at_us >= node->at_us)
        break;
      heap_put (heap, heap->nodes[child], at);
      at = child;
    }
  heap_put (heap, node, at);
}

void
mf_heap_set (MfHeap *heap, MfHeapNode *node, uint64_t at_us)
{
  node->at_us = at_us;
  if (node->position == MF_HEAP_NO_POSITION)
    {
      if (heap->n_nodes == heap->n_nodes_max)
        {
          uint32_t n_max = heap->n_nodes_max == 0 ? 64 : heap->n_nodes_max * 2;
          MfHeapNode **nodes = realloc (heap->nodes, (size_t)n_max * sizeof (MfHeapNode *));

          if (nodes == NULL)
            abort ();
          heap->nodes = nodes;
          heap->n_nodes_max = n_max;
        }
      heap_put (heap, node, heap->n_nodes++);
    }
  sift_up (heap, node);
  sift_down (heap, node);
}

void
mf_heap_remove (MfHeap *heap, MfHeapNode *node)
{
  MfHeapNode *last;

  if (node->position == MF_HEAP_NO_POSITION)
    return;
  last = heap->nodes[--heap->n_nodes];
  if (last != node)
    {
      heap_put (heap, last, node->position);
      sift_up (heap, last);
      sift_down (heap, last);
    }
  node->position = MF_HEAP_NO_POSITION;
}

MfHeapNode *
mf_heap_first (const MfHeap *heap)
{
  return heap->n_nodes > 0 ? heap->nodes[0] : NULL;
}

void
mf_heap_clear (MfHeap *heap)
{
  free (heap->nodes);
  *heap = (MfHeap){ 0 };
}
