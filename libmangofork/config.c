#include "config.h"

#include "config_index.h"

#include <stdlib.h>
#include <string.h>

#define WEIGHT_STORE_DEFAULT_BYTES_PER_S (UINT64_C (1000) * 1000 * 1000)

static void
table_free (MfNameTable *table)
{
  HASH_CLEAR (hh, table->head);
  free (table->rows);
}

uint32_t
mf_name_table_find (const MfNameTable *table, const void *key, size_t key_bytes)
{
  MfNameRow *row;

  HASH_FIND (hh, table->head, key, key_bytes, row);
  return row != NULL ? row->index : MF_NONE;
}

bool
mf_name_table_reserve (MfNameTable *table, uint32_t n)
{
  table->rows = calloc ((size_t)n + 1, sizeof *table->rows);
  return table->rows != NULL;
}

bool
mf_name_table_add (MfNameTable *table, uint32_t index, const void *key, size_t key_bytes)
{
  MfNameRow *row = &table->rows[index];

  if (mf_name_table_find (table, key, key_bytes) != MF_NONE)
    return false;
  row->index = index;
  HASH_ADD_KEYPTR (hh, table->head, key, key_bytes, row);
  return true;
}

static bool
config_copy_text (MfConfig *config, const char *text, size_t text_bytes)
{
  config->text = malloc (text_bytes + 1);
  if (config->text == NULL)
    return false;
  memcpy (config->text, text, text_bytes);
  config->text[text_bytes] = '\0';
  config->text_bytes = text_bytes;
  return true;
}

MfConfig *
mf_config_parse (const char *text, size_t text_bytes, uint64_t revision, MfFaultFunc on_fault,
                 void *data)
{
  MfConfig *config = calloc (1, sizeof *config);
  MfJsonc *jsonc = mf_jsonc_new (text, text_bytes);
  bool is_valid = false;

  if (config != NULL && jsonc != NULL)
    {
      config->revision = revision;
      config->key_life_us = 900 * MF_US_PER_S;
      config->weight_store_bytes_per_s = WEIGHT_STORE_DEFAULT_BYTES_PER_S;
      if (mf_jsonc_root (jsonc) != NULL)
        mf_config_read (jsonc, config);
      is_valid = mf_jsonc_report (jsonc, on_fault, data) == 0
                 && config_copy_text (config, text, text_bytes);
    }
  mf_jsonc_free (jsonc);
  if (is_valid)
    return config;
  mf_config_free (config);
  return NULL;
}

/* Accepts NULL. */
void
mf_config_free (MfConfig *config)
{
  if (config == NULL)
    return;
  if (config->index != NULL)
    {
      table_free (&config->index->services);
      table_free (&config->index->models);
      table_free (&config->index->paths);
      table_free (&config->index->pools);
      table_free (&config->index->upstreams);
      table_free (&config->index->customers);
      table_free (&config->index->keys);
      table_free (&config->index->voters);
      free (config->index);
    }
  free (config->text);
  free (config->services);
  free (config->pools);
  free (config->upstreams);
  free (config->customers);
  free (config->voters);
  free (config);
}

uint32_t
mf_config_find_model (const MfConfig *config, const char *model)
{
  return mf_name_table_find (&config->index->models, model, strlen (model));
}

/* Looks up ever shorter prefixes, each cut at a '/', until one belongs to a service. The query
 * string is ignored. */
uint32_t
mf_config_find_path (const MfConfig *config, const char *path)
{
  size_t len = strcspn (path, "?");

  if (len >= MF_ADDRESS_BYTES)
    {
      len = MF_ADDRESS_BYTES - 1;
      while (len > 0 && path[len] != '/' && path[len - 1] != '/')
        len--;
    }
  while (len > 0)
    {
      uint32_t found = mf_name_table_find (&config->index->paths, path, len);

      if (found != MF_NONE)
        return found;
      do
        len--;
      while (len > 0 && path[len] != '/' && path[len - 1] != '/');
    }
  return MF_NONE;
}

uint32_t
mf_config_find_customer (const MfConfig *config, const uint8_t digest[MF_DIGEST_BYTES])
{
  return mf_name_table_find (&config->index->keys, digest, MF_DIGEST_BYTES);
}

uint32_t
mf_config_find_upstream (const MfConfig *config, const char *name)
{
  return mf_name_table_find (&config->index->upstreams, name, strlen (name));
}

uint32_t
mf_config_find_service (const MfConfig *config, const char *name)
{
  return mf_name_table_find (&config->index->services, name, strlen (name));
}
