#ifndef MF_CONFIG_INDEX_H
#define MF_CONFIG_INDEX_H

/* Name tables of a configuration; private to config.c and config_read.c. */

#include "field.h"

#include "table.h"

/* Maps a name to its index in a list of the configuration. */
typedef struct
{
  uint32_t index;
  UT_hash_handle hh;
} MfNameRow;

typedef struct
{
  MfNameRow *head;
  MfNameRow *rows;
} MfNameTable;

struct MfConfigIndex
{
  MfNameTable services;
  MfNameTable models;
  MfNameTable paths;
  MfNameTable pools;
  MfNameTable upstreams;
  MfNameTable customers;
  MfNameTable keys;
  MfNameTable voters;
};

uint32_t mf_name_table_find (const MfNameTable *table, const void *key, size_t key_bytes);
/* Allocates n rows. */
bool mf_name_table_reserve (MfNameTable *table, uint32_t n);
/* Adds a key, which must outlive the table. Returns false when the table already has it. */
bool mf_name_table_add (MfNameTable *table, uint32_t index, const void *key, size_t key_bytes);

/* Fills config from the parsed text; records faults in jsonc. */
void mf_config_read (MfJsonc *jsonc, MfConfig *config);

#endif
