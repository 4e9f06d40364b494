#include "events.h"

#include <stdlib.h>
#include <string.h>

/* Bytes of one event at most; an engine's events are below 3 KB. */
#define EVENT_BYTES_MAX 262144

/* Reads the id of an event. Returns false when it has none or the id is not a number. */
static bool
event_id (const char *event, size_t event_bytes, uint64_t *id)
{
  size_t at = 0;

  while (at < event_bytes)
    {
      const char *line = event + at;
      const char *newline = memchr (line, '\n', event_bytes - at);
      size_t line_bytes = newline == NULL ? event_bytes - at : (size_t)(newline - line);

      if (line_bytes > 3 && memcmp (line, "id:", 3) == 0)
        {
          char number[24] = { 0 };
          size_t skip = line[3] == ' ' ? 4 : 3;

          if (line_bytes - skip >= sizeof number || line[skip] < '0' || line[skip] > '9')
            return false;
          memcpy (number, line + skip, line_bytes - skip);
          *id = strtoull (number, NULL, 10);
          return true;
        }
      at += line_bytes + 1;
    }
  return false;
}

/* Returns the size of the first event, its blank line included; 0 when it is incomplete. */
static size_t
first_event_bytes (const char *bytes, size_t n_bytes)
{
  for (size_t i = 0; i + 1 < n_bytes; i++)
    {
      if (bytes[i] != '\n')
        continue;
      if (bytes[i + 1] == '\n')
        return i + 2;
      if (i + 2 < n_bytes && bytes[i + 1] == '\r' && bytes[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Whether there is nothing but line ends: blank lines between events belong to none. */
static bool
is_blank (const char *bytes, size_t n_bytes)
{
  for (size_t i = 0; i < n_bytes; i++)
    {
      if (bytes[i] != '\n' && bytes[i] != '\r')
        return false;
    }
  return true;
}

/* Reads bytes of the stream. Appends the complete events to out, without those that were passed on
 * before. */
void
mf_event_stream_feed (MfEventStream *stream, const char *bytes, size_t n_bytes, MfBuffer *out)
{
  size_t complete_bytes;

  mf_buffer_add (&stream->partial, bytes, n_bytes);
  if (mf_buffer_bytes (&stream->partial) > EVENT_BYTES_MAX)
    stream->partial.failed = true;
  while ((complete_bytes = first_event_bytes (mf_buffer_data (&stream->partial),
                                              mf_buffer_bytes (&stream->partial)))
         > 0)
    {
      uint64_t id = 0;
      bool has_id = event_id (mf_buffer_data (&stream->partial), complete_bytes, &id);

      if (!has_id || !stream->has_last_id || id > stream->last_id)
        {
          stream->has_gap
              = stream->has_gap || (has_id && stream->has_last_id && id != stream->last_id + 1);
          mf_buffer_add (out, mf_buffer_data (&stream->partial), complete_bytes);
          stream->n_events += !is_blank (mf_buffer_data (&stream->partial), complete_bytes);
          if (has_id)
            {
              stream->last_id = id;
              stream->has_last_id = true;
            }
        }
      mf_buffer_consume (&stream->partial, complete_bytes);
    }
}

/* Counts the events in bytes that are passed on unchanged. */
void
mf_event_stream_count (MfEventStream *stream, const char *bytes, size_t n_bytes)
{
  for (size_t i = 0; i < n_bytes; i++)
    {
      if (bytes[i] == '\r')
        continue;
      if (bytes[i] != '\n' || stream->unterminated_bytes > 0)
        stream->unterminated_bytes++;
      if (bytes[i] == '\n' && stream->after_newline && stream->unterminated_bytes > 0)
        {
          stream->n_events++;
          stream->unterminated_bytes = 0;
        }
      stream->after_newline = bytes[i] == '\n' && !stream->after_newline;
    }
}

/* Whether an event is longer than EVENT_BYTES_MAX. */
bool
mf_event_stream_is_too_long (const MfEventStream *stream)
{
  return stream->partial.failed || stream->unterminated_bytes > EVENT_BYTES_MAX;
}

/* Discards the incomplete event, before the stream is resumed at another upstream. */
void
mf_event_stream_discard_partial (MfEventStream *stream)
{
  mf_buffer_clear (&stream->partial);
  stream->unterminated_bytes = 0;
}

/* Whether no event is incomplete. */
bool
mf_event_stream_at_boundary (const MfEventStream *stream)
{
  return is_blank (mf_buffer_data (&stream->partial), mf_buffer_bytes (&stream->partial))
         && stream->unterminated_bytes == 0 && !stream->partial.failed;
}

/* Frees the buffer of the incomplete event. */
void
mf_event_stream_clear (MfEventStream *stream)
{
  mf_buffer_clear (&stream->partial);
}
