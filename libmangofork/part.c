#include "part.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Bytes of an id that are hashed at most; ids are short numbers. */
#define ID_BYTES_MAX 64

/* Returns the hash of an id in hexadecimal, whatever its case and its blanks. Never 0. */
uint64_t
mf_part_hash (const char *id, size_t id_bytes)
{
  char text[ID_BYTES_MAX];
  size_t n_bytes = 0;
  uint64_t hash;

  for (size_t i = 0; i < id_bytes && n_bytes < sizeof text; i++)
    {
      if (id[i] != ' ' && id[i] != '\t')
        text[n_bytes++] = (char)tolower ((unsigned char)id[i]);
    }
  hash = XXH3_64bits (text, n_bytes);
  return hash != 0 ? hash : 1;
}

/* Reads a list of the form "ID:TOKENS,ID:TOKENS". */
void
mf_parts_read (MfParts *parts, const char *text, size_t text_bytes)
{
  const char *comma;
  const char *own_colon;
  char tokens[24] = "";

  *parts = (MfParts){ 0 };
  while (parts->n_parts < MF_PARTS_MAX && (comma = memchr (text, ',', text_bytes)) != NULL)
    {
      size_t entry_bytes = (size_t)(comma - text);
      const char *colon = memchr (text, ':', entry_bytes);

      parts->hashes[parts->n_parts++]
          = mf_part_hash (text, colon != NULL ? (size_t)(colon - text) : entry_bytes);
      text_bytes -= entry_bytes + 1;
      text = comma + 1;
    }
  own_colon = memchr (text, ':', text_bytes);
  if (own_colon == NULL || memchr (text, ',', text_bytes) != NULL)
    return;
  parts->own_hash = mf_part_hash (text, (size_t)(own_colon - text));
  text_bytes -= (size_t)(own_colon + 1 - text);
  if (text_bytes < sizeof tokens)
    memcpy (tokens, own_colon + 1, text_bytes);
  parts->own_tokens = strtoull (tokens, NULL, 10);
  if (parts->own_tokens > MF_PART_TOKENS_MAX)
    parts->own_tokens = MF_PART_TOKENS_MAX;
}

/* Writes the hashes for a log line, as far as they fit, and returns the text. */
const char *
mf_parts_format (const MfParts *parts, char *text, size_t text_bytes)
{
  size_t at = 0;

  text[0] = '\0';
  for (uint32_t i = 0; i < parts->n_parts && at + 18 <= text_bytes; i++)
    at += (size_t)snprintf (text + at, text_bytes - at, "%s%016llx", i > 0 ? "," : "",
                            (unsigned long long)parts->hashes[i]);
  return parts->n_parts > 0 ? text : "none";
}
