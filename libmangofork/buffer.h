#ifndef MF_BUFFER_H
#define MF_BUFFER_H

#include "types.h"

/* Bytes that grow at the end and are taken from the front. Zeroed memory is an empty buffer. Once
 * memory runs out the buffer keeps what it has, and failed stays set until it is cleared. */
typedef struct
{
  char *memory;
  size_t start;
  size_t end;
  size_t capacity;
  bool failed;
} MfBuffer;

static inline const char *
mf_buffer_data (const MfBuffer *buffer)
{
  return buffer->memory == NULL ? "" : buffer->memory + buffer->start;
}

static inline size_t
mf_buffer_bytes (const MfBuffer *buffer)
{
  return buffer->end - buffer->start;
}

void mf_buffer_clear (MfBuffer *buffer);
void mf_buffer_add (MfBuffer *buffer, const void *data, size_t data_bytes);
void mf_buffer_add_text (MfBuffer *buffer, const char *text);
void mf_buffer_add_number (MfBuffer *buffer, uint64_t number);
/* Adds text as the inside of a JSON string. */
void mf_buffer_add_escaped (MfBuffer *buffer, const char *text);
void mf_buffer_consume (MfBuffer *buffer, size_t n_bytes);

#endif
