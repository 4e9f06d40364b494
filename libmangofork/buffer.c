#include "buffer.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUFFER_BYTES_MIN 256

/* Memory of all buffers of the process, in bytes. */
static atomic_size_t total_bytes;

/* Reserves space at the end: moves the content to the front if that is enough and the regions do
 * not overlap, else grows the memory. */
static bool
buffer_reserve (MfBuffer *buffer, size_t n_bytes)
{
  size_t used = mf_buffer_bytes (buffer);
  size_t capacity = buffer->capacity;
  char *memory;

  if (buffer->capacity - buffer->end >= n_bytes)
    return true;
  if (buffer->start > 0 && buffer->start >= used && buffer->capacity - used >= n_bytes)
    {
      memcpy (buffer->memory, buffer->memory + buffer->start, used);
      buffer->start = 0;
      buffer->end = used;
      return true;
    }
  if (capacity < BUFFER_BYTES_MIN)
    capacity = BUFFER_BYTES_MIN;
  while (capacity - buffer->end < n_bytes)
    capacity *= 2;
  memory = realloc (buffer->memory, capacity);
  if (memory == NULL)
    return false;
  atomic_fetch_add_explicit (&total_bytes, capacity - buffer->capacity, memory_order_relaxed);
  buffer->memory = memory;
  buffer->capacity = capacity;
  return true;
}

size_t
mf_buffers_bytes (void)
{
  return atomic_load_explicit (&total_bytes, memory_order_relaxed);
}

void
mf_buffer_prepare (MfBuffer *buffer, size_t n_bytes)
{
  if (!buffer->failed && !buffer_reserve (buffer, n_bytes))
    buffer->failed = true;
}

/* Frees the memory and leaves an empty buffer. */
void
mf_buffer_clear (MfBuffer *buffer)
{
  atomic_fetch_sub_explicit (&total_bytes, buffer->capacity, memory_order_relaxed);
  free (buffer->memory);
  *buffer = (MfBuffer){ 0 };
}

/* Appends bytes. Sets failed when memory runs out. */
void
mf_buffer_add (MfBuffer *buffer, const void *data, size_t data_bytes)
{
  if (data_bytes == 0 || buffer->failed)
    return;
  if (!buffer_reserve (buffer, data_bytes))
    {
      buffer->failed = true;
      return;
    }
  memcpy (buffer->memory + buffer->end, data, data_bytes);
  buffer->end += data_bytes;
}

void
mf_buffer_add_text (MfBuffer *buffer, const char *text)
{
  mf_buffer_add (buffer, text, strlen (text));
}

/* Appends a number in decimal. */
void
mf_buffer_add_number (MfBuffer *buffer, uint64_t number)
{
  char digits[20];
  size_t at = sizeof digits;

  do
    {
      digits[--at] = (char)('0' + number % 10);
      number /= 10;
    }
  while (number > 0);
  mf_buffer_add (buffer, digits + at, sizeof digits - at);
}

void
mf_buffer_add_escaped (MfBuffer *buffer, const char *text)
{
  for (const unsigned char *c = (const unsigned char *)text; *c != '\0'; c++)
    {
      if (*c == '"' || *c == '\\')
        mf_buffer_add (buffer, "\\", 1);
      if (*c >= ' ')
        mf_buffer_add (buffer, c, 1);
      else
        {
          char code[8];

          snprintf (code, sizeof code, "\\u%04x", *c);
          mf_buffer_add_text (buffer, code);
        }
    }
}

/* Removes bytes from the front. */
void
mf_buffer_consume (MfBuffer *buffer, size_t n_bytes)
{
  buffer->start += n_bytes;
  if (buffer->start == buffer->end)
    {
      buffer->start = 0;
      buffer->end = 0;
    }
}
