#include "key_table.h"

#include <stdlib.h>
#include <string.h>

/* Limits of a table: number of keys, and bytes of all recorded answers. */
#define ENTRIES_MAX 400000
#define BODY_BYTES_MAX (64 * 1024 * 1024)

static void
recorded_answer_clear (MfKeyTable *key_table, MfKeyEntry *entry)
{
  if (entry->body != NULL)
    key_table->body_bytes -= entry->result.body_bytes;
  free (entry->body);
  free (entry->content_type);
  entry->body = NULL;
  entry->content_type = NULL;
  entry->result = (MfClaimResult){ 0 };
}

/* Copies the body of an answer. Returns false, with nothing kept, when it is too large or memory is
 * exhausted. */
static bool
recorded_answer_copy (MfKeyTable *key_table, MfKeyEntry *entry, const MfClaimResult *result)
{
  const char *type = result->content_type != NULL ? result->content_type : "";

  if (result->body == NULL || result->body_bytes > MF_RECORDED_ANSWER_BYTES_MAX
      || key_table->body_bytes + result->body_bytes > BODY_BYTES_MAX)
    return false;
  entry->body = malloc (result->body_bytes + 1);
  entry->content_type = strdup (type);
  if (entry->body == NULL || entry->content_type == NULL)
    {
      free (entry->body);
      free (entry->content_type);
      entry->body = NULL;
      entry->content_type = NULL;
      return false;
    }
  memcpy (entry->body, result->body, result->body_bytes);
  entry->body[result->body_bytes] = '\0';
  key_table->body_bytes += result->body_bytes;
  return true;
}

MfKeyEntry *
mf_key_table_find (MfKeyTable *key_table, const uint8_t key[MF_DIGEST_BYTES])
{
  MfKeyEntry *entry;

  HASH_FIND (hh, key_table->entries, key, MF_DIGEST_BYTES, entry);
  return entry;
}

MfKeyEntry *
mf_key_table_add (MfKeyTable *key_table, const uint8_t key[MF_DIGEST_BYTES], uint64_t now_us)
{
  MfKeyEntry *entry;

  if (HASH_COUNT (key_table->entries) >= ENTRIES_MAX)
    return NULL;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  memcpy (entry->key, key, MF_DIGEST_BYTES);
  entry->state = MF_KEY_RUNNING;
  entry->added_us = now_us;
  HASH_ADD (hh, key_table->entries, key, MF_DIGEST_BYTES, entry);
  return entry;
}

void
mf_key_table_finish (MfKeyTable *key_table, MfKeyEntry *entry, MfKeyState state,
                     const MfClaimResult *result)
{
  bool kept;

  recorded_answer_clear (key_table, entry);
  kept = recorded_answer_copy (key_table, entry, result);
  entry->state = state;
  entry->result = *result;
  entry->result.body = entry->body;
  entry->result.body_bytes = kept ? result->body_bytes : 0;
  entry->result.content_type = entry->content_type;
}

void
mf_key_table_remove (MfKeyTable *key_table, MfKeyEntry *entry)
{
  HASH_DEL (key_table->entries, entry);
  recorded_answer_clear (key_table, entry);
  free (entry);
}

/* Entries are in the order in which they were added, so the loop ends at the first newer one. */
void
mf_key_table_expire (MfKeyTable *key_table, uint64_t before_us)
{
  while (key_table->entries != NULL && key_table->entries->added_us < before_us)
    mf_key_table_remove (key_table, key_table->entries);
}

void
mf_key_table_foreach (const MfKeyTable *key_table, MfKeyFunc func, void *data)
{
  MfKeyEntry *entry;
  MfKeyEntry *next;

  HASH_ITER (hh, key_table->entries, entry, next)
  {
    if (!func (entry, data))
      return;
  }
}

void
mf_key_table_clear (MfKeyTable *key_table)
{
  while (key_table->entries != NULL)
    mf_key_table_remove (key_table, key_table->entries);
}
