#include "encode.h"

#include <ctype.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Writes text as a value in a query. It is cut where it does not fit into value_bytes, which
 * include the terminating NUL. */
void
mf_encode_query (const char *text, size_t text_bytes, char *value, size_t value_bytes)
{
  size_t at = 0;

  value[0] = '\0';
  for (size_t i = 0; i < text_bytes && at + 4 <= value_bytes; i++)
    {
      unsigned char byte = (unsigned char)text[i];
      bool is_plain = isalnum (byte) || (byte != '\0' && strchr ("-._~/", byte) != NULL);

      at += (size_t)snprintf (value + at, value_bytes - at, is_plain ? "%c" : "%%%02X", byte);
    }
}

/* Adds the bytes that standard base64 with padding (RFC 4648) stands for. Returns false when the
 * text is invalid, or out of memory. */
bool
mf_decode_base64 (const char *text, size_t text_bytes, MfBuffer *bytes)
{
  size_t n_bytes = 0;
  char *decoded = malloc (text_bytes + 1);
  bool is_valid;

  if (decoded == NULL)
    return false;
  is_valid = sodium_base642bin ((unsigned char *)decoded, text_bytes + 1, text, text_bytes, NULL,
                                &n_bytes, NULL, sodium_base64_VARIANT_ORIGINAL)
             == 0;
  if (is_valid)
    mf_buffer_add (bytes, decoded, n_bytes);
  free (decoded);
  return is_valid && !bytes->failed;
}
