#include "core.h"

#include <stdlib.h>
#include <string.h>

/* Rebuilds the index from name hashes to rows, to be called after rows were added. It is a hash
 * table with linear probing that is at most half full. */
void
mf_upstream_index_build (MfCore *core)
{
  MfBoard *board = &core->board;
  uint32_t size = 16;
  uint32_t *table;

  while (size < 2 * board->n_upstreams)
    size *= 2;
  table = malloc (size * sizeof *table);
  if (table == NULL)
    abort ();
  memset (table, 0xff, size * sizeof *table);
  for (uint32_t i = 0; i < board->n_upstreams; i++)
    {
      uint32_t at = (uint32_t)board->upstreams[i].name_hash & (size - 1);

      while (table[at] != MF_NONE)
        at = (at + 1) & (size - 1);
      table[at] = i;
    }
  free (board->upstream_index);
  board->upstream_index = table;
  board->upstream_index_mask = size - 1;
}

/* Returns the row of the upstream with this name hash, or MF_NONE. */
uint32_t
mf_upstream_find (const MfCore *core, uint64_t name_hash)
{
  const MfBoard *board = &core->board;
  uint32_t at = (uint32_t)name_hash & board->upstream_index_mask;

  if (board->upstream_index == NULL)
    return MF_NONE;
  for (; board->upstream_index[at] != MF_NONE; at = (at + 1) & board->upstream_index_mask)
    {
      if (board->upstreams[board->upstream_index[at]].name_hash == name_hash)
        return board->upstream_index[at];
    }
  return MF_NONE;
}
