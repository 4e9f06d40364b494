#include "frame_table.h"

/* Maximum nesting of containers. The messages need 5. */
#define DEPTH_MAX 8

static uint64_t
big_endian (const uint8_t *at, size_t n_bytes)
{
  uint64_t value = 0;

  for (size_t i = 0; i < n_bytes; i++)
    value = value << 8 | at[i];
  return value;
}

/* The header of a msgpack value: its first byte and the length or count after it. */
typedef struct
{
  size_t header_bytes;
  uint64_t n_body_bytes; /* after the header */
  uint64_t n_values;     /* in a container; a map has two for each entry */
} ValueHeader;

/* Reads the header of the value at payload. Returns false when it is truncated or of an unknown
 * type. */
static bool
header_read (const uint8_t *payload, size_t n_bytes, ValueHeader *header)
{
  /* By the first byte less 0xc0: the size of a body of fixed size, or else the width of the length
   * field. */
  static const uint8_t fixed_body_bytes[0x20] = {
    [0x0a] = 4, [0x0b] = 8, [0x0c] = 1, [0x0d] = 2, [0x0e] = 4, [0x0f] = 8, [0x10] = 1,  [0x11] = 2,
    [0x12] = 4, [0x13] = 8, [0x14] = 2, [0x15] = 3, [0x16] = 5, [0x17] = 9, [0x18] = 17,
  };
  static const uint8_t length_bytes[0x20] = {
    [0x04] = 1, [0x05] = 2, [0x06] = 4, [0x07] = 1, [0x08] = 2, [0x09] = 4, [0x19] = 1,
    [0x1a] = 2, [0x1b] = 4, [0x1c] = 2, [0x1d] = 4, [0x1e] = 2, [0x1f] = 4,
  };
  uint8_t first = payload[0];
  uint8_t low = first - 0xc0;
  uint64_t length;

  *header = (ValueHeader){ .header_bytes = 1 };
  if (first < 0x80 || first >= 0xe0 || first == 0xc0 || first == 0xc2 || first == 0xc3)
    return true;
  if (first < 0xa0)
    {
      header->n_values = (uint64_t)(first & 0x0f) * (first < 0x90 ? 2 : 1);
      return true;
    }
  if (first < 0xc0)
    {
      header->n_body_bytes = first & 0x1f;
      return true;
    }
  if (first == 0xc1)
    return false;
  header->n_body_bytes = fixed_body_bytes[low];
  if (length_bytes[low] == 0)
    return true;
  header->header_bytes += length_bytes[low];
  if (header->header_bytes > n_bytes)
    return false;
  length = big_endian (payload + 1, length_bytes[low]);
  if (first >= 0xdc)
    header->n_values = length * (first >= 0xde ? 2 : 1);
  else
    header->n_body_bytes = length + (first >= 0xc7 && first <= 0xc9);
  return true;
}

/* Returns whether a payload is exactly one msgpack value in which no length and no item count is
 * larger than the number of bytes left. msgpack-c allocates as much as the header of a container
 * announces, so it is given only payloads that pass this check. */
bool
mf_frame_is_well_formed (const uint8_t *payload, size_t payload_bytes)
{
  uint64_t left[DEPTH_MAX + 1] = { 1 }; /* values left to read at each depth */
  size_t depth = 0, at = 0;

  for (;;)
    {
      ValueHeader header;

      while (left[depth] == 0)
        {
          if (depth == 0)
            return at == payload_bytes;
          depth--;
        }
      if (at >= payload_bytes || !header_read (payload + at, payload_bytes - at, &header))
        return false;
      left[depth]--;
      at += header.header_bytes;
      if (header.n_body_bytes > payload_bytes - at || header.n_values > payload_bytes - at)
        return false;
      at += header.n_body_bytes;
      if (header.n_values == 0)
        continue;
      if (depth == DEPTH_MAX)
        return false;
      left[++depth] = header.n_values;
    }
}
