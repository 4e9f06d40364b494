#include "text_delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

uint64_t
mf_text_hash (const char *text, size_t text_bytes)
{
  return XXH3_64bits (text, text_bytes);
}

/* Fills message with the bytes of text between its common prefix and common suffix with base. */
void
mf_text_delta_make (const char *base, size_t base_bytes, const char *text, size_t text_bytes,
                    MfConfigMessage *message)
{
  size_t shorter = base_bytes < text_bytes ? base_bytes : text_bytes;
  size_t prefix = 0, suffix = 0;

  while (prefix < shorter && base[prefix] == text[prefix])
    prefix++;
  while (suffix < shorter - prefix
         && base[base_bytes - 1 - suffix] == text[text_bytes - 1 - suffix])
    suffix++;
  message->prefix_bytes = (uint32_t)prefix;
  message->suffix_bytes = (uint32_t)suffix;
  message->text = text + prefix;
  message->text_bytes = (uint32_t)(text_bytes - prefix - suffix);
}

/* Rebuilds the full text. Returns NULL when the message does not fit the base, the hash of the
 * result differs from that in the message, or memory is exhausted. */
char *
mf_text_delta_apply (const char *base, size_t base_bytes, const MfConfigMessage *message,
                     size_t *text_bytes)
{
  size_t prefix = message->prefix_bytes, suffix = message->suffix_bytes;
  char *text;

  if (prefix + suffix > base_bytes)
    return NULL;
  *text_bytes = prefix + message->text_bytes + suffix;
  text = malloc (*text_bytes + 1);
  if (text == NULL)
    return NULL;
  memcpy (text, base, prefix);
  if (message->text_bytes > 0)
    memcpy (text + prefix, message->text, message->text_bytes);
  memcpy (text + prefix + message->text_bytes, base + base_bytes - suffix, suffix);
  text[*text_bytes] = '\0';
  if (mf_text_hash (text, *text_bytes) == message->full_text_hash)
    return text;
  free (text);
  return NULL;
}
