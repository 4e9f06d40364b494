#ifndef MF_BUFFER_H
#define MF_BUFFER_H

#include "types.h"

/* A byte queue: data is added at the end and consumed from the front. Zeroed memory is an empty
 * buffer. When memory runs out, the buffer keeps its content, and failed stays set until the buffer
 * is cleared. */
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

/* Returns the memory of all buffers of the process. */
size_t mf_buffers_bytes (void);
/* Takes the memory for a number of bytes at once. Sets failed when it runs out. */
void mf_buffer_prepare (MfBuffer *buffer, size_t n_bytes);
void mf_buffer_clear (MfBuffer *buffer);
void mf_buffer_add (MfBuffer *buffer, const void *data, size_t data_bytes);
void mf_buffer_add_text (MfBuffer *buffer, const char *text);
void mf_buffer_add_number (MfBuffer *buffer, uint64_t number);
/* Adds text escaped for use inside a JSON string. */
void mf_buffer_add_escaped (MfBuffer *buffer, const char *text);
void mf_buffer_consume (MfBuffer *buffer, size_t n_bytes);

#endif
