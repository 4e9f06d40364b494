#include "keybook.h"

#include <stdlib.h>
#include <string.h>

/* Keys remembered at once, and bytes of their recorded answers. */
#define ENTRIES_MAX 400000
#define BODY_BYTES_MAX (64 * 1024 * 1024)

static void
recorded_answer_clear (MfKeybook *book, MfKeyEntry *entry)
{
  if (entry->body != NULL)
    book->body_bytes -= entry->result.body_bytes;
  free (entry->body);
  free (entry->content_type);
  entry->body = NULL;
  entry->content_type = NULL;
  entry->result = (MfClaimResult){ 0 };
}

/* Copies an answer's text. Returns false, with nothing kept, when it is too large or memory ran
 * out. */
static bool
recorded_answer_copy (MfKeybook *book, MfKeyEntry *entry, const MfClaimResult *result)
{
  const char *type = result->content_type != NULL ? result->content_type : "";

  if (result->body == NULL || result->body_bytes > MF_RECORDED_ANSWER_BYTES_MAX
      || book->body_bytes + result->body_bytes > BODY_BYTES_MAX)
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
  book->body_bytes += result->body_bytes;
  return true;
}

MfKeyEntry *
mf_keybook_find (MfKeybook *book, const uint8_t key[MF_DIGEST_BYTES])
{
  MfKeyEntry *entry;

  HASH_FIND (hh, book->entries, key, MF_DIGEST_BYTES, entry);
  return entry;
}

MfKeyEntry *
mf_keybook_add (MfKeybook *book, const uint8_t key[MF_DIGEST_BYTES], uint64_t now_us)
{
  MfKeyEntry *entry;

  if (HASH_COUNT (book->entries) >= ENTRIES_MAX)
    return NULL;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  memcpy (entry->key, key, MF_DIGEST_BYTES);
  entry->state = MF_KEY_RUNNING;
  entry->noted_us = now_us;
  HASH_ADD (hh, book->entries, key, MF_DIGEST_BYTES, entry);
  return entry;
}

void
mf_keybook_finish (MfKeybook *book, MfKeyEntry *entry, MfKeyState state,
                   const MfClaimResult *result)
{
  bool kept;

  recorded_answer_clear (book, entry);
  kept = recorded_answer_copy (book, entry, result);
  entry->state = state;
  entry->result = *result;
  entry->result.body = entry->body;
  entry->result.body_bytes = kept ? result->body_bytes : 0;
  entry->result.content_type = entry->content_type;
}

void
mf_keybook_remove (MfKeybook *book, MfKeyEntry *entry)
{
  HASH_DEL (book->entries, entry);
  recorded_answer_clear (book, entry);
  free (entry);
}

/* Entries stand in the order they were noted, so the walk ends at the first that is young. */
void
mf_keybook_expire (MfKeybook *book, uint64_t before_us)
{
  while (book->entries != NULL && book->entries->noted_us < before_us)
    mf_keybook_remove (book, book->entries);
}

void
mf_keybook_foreach (const MfKeybook *book, MfKeyFunc func, void *data)
{
  MfKeyEntry *entry;
  MfKeyEntry *next;

  HASH_ITER (hh, book->entries, entry, next)
  {
    if (!func (entry, data))
      return;
  }
}

void
mf_keybook_clear (MfKeybook *book)
{
  while (book->entries != NULL)
    mf_keybook_remove (book, book->entries);
}
