#include "cell.h"

#include <string.h>
#include <xxhash.h>

/* Returns the number of cells; 0 when no voters are configured. */
uint32_t
mf_cell_count (const MfConfig *config)
{
  uint32_t per_key = config->voters_per_key;

  if (per_key == 0 || per_key > MF_VOTERS_PER_KEY_MAX)
    per_key = MF_VOTERS_PER_KEY_MAX;
  return (config->n_voters + per_key - 1) / per_key;
}

uint32_t
mf_cell_of_key (const MfConfig *config, const uint8_t key[MF_DIGEST_BYTES])
{
  uint64_t hash;

  memcpy (&hash, key, sizeof hash);
  return (uint32_t)(hash % mf_cell_count (config));
}

/* Returns MF_NONE when the name is no voter. */
uint32_t
mf_cell_of_voter (const MfConfig *config, const char *name)
{
  for (uint32_t i = 0; i < config->n_voters; i++)
    {
      if (strcmp (config->voters[i].name, name) == 0)
        return i % mf_cell_count (config);
    }
  return MF_NONE;
}

/* Lists the voters of a cell. Consecutive voters of the configuration are in different cells, so
 * that each cell spans the data centres when the voters are listed by data centre. */
void
mf_cell_members (const MfConfig *config, uint32_t cell, MfCell *members)
{
  uint32_t n_cells = mf_cell_count (config);

  members->n = 0;
  for (uint32_t i = cell; i < config->n_voters && members->n < MF_VOTERS_PER_KEY_MAX; i += n_cells)
    {
      memcpy (members->names[members->n], config->voters[i].name, MF_NAME_BYTES);
      members->n++;
    }
  members->quorum = members->n / 2 + 1;
}

/* Returns MF_NONE when the name is not in the cell. */
uint32_t
mf_cell_find (const MfCell *members, const char *name)
{
  for (uint32_t i = 0; i < members->n; i++)
    {
      if (strcmp (members->names[i], name) == 0)
        return i;
    }
  return MF_NONE;
}

/* Returns a hash of the set of voters, which differs between configurations with other voters. */
uint64_t
mf_cell_epoch (const MfConfig *config)
{
  uint64_t epoch = config->voters_per_key;

  for (uint32_t i = 0; i < config->n_voters; i++)
    {
      const char *name = config->voters[i].name;

      epoch = XXH3_64bits_withSeed (name, strlen (name), epoch);
    }
  return epoch;
}
