#include "events.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Bytes of one event at most; an engine's events are below 3 KB. */
#define EVENT_BYTES_MAX 262144

/* Ids of a service are taken to have no gaps if at least this many events in a row follow each one
 * that skipped some: a garbled stream is rarer. */
#define SUCCESSORS_PER_SKIP 256
/* Digits of an event id at most, so that it fits into 64 bits. */
#define ID_DIGITS_MAX 19

/* What a part of a stream between two blank lines is. */
typedef enum
{
  EVENT_BLANK,   /* line ends only; they belong to no event */
  EVENT_COMMENT, /* lines that begin with a colon */
  EVENT_NUMBERED,
  EVENT_INVALID,
} EventKind;

/* Reads an event id, a decimal number. Returns false when the text is something else. */
bool
mf_event_id_read (const char *text, size_t text_bytes, uint64_t *id)
{
  uint64_t number = 0;

  if (text_bytes == 0 || text_bytes > ID_DIGITS_MAX)
    return false;
  for (size_t i = 0; i < text_bytes; i++)
    {
      if (text[i] < '0' || text[i] > '9')
        return false;
      number = number * 10 + (uint64_t)(text[i] - '0');
    }
  *id = number;
  return true;
}

/* Returns the size of the name of the field in a line of an event, 0 when the line has none. */
static size_t
field_name_bytes (const char *line, size_t line_bytes)
{
  for (size_t i = 0; i < line_bytes; i++)
    {
      char c = line[i];

      if (c == ':')
        return i;
      if ((c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-'
          && c != '_')
        return 0;
    }
  return 0;
}

/* Reads an event: lines with a field each, one of them its id. */
static EventKind
event_read (const char *event, size_t event_bytes, uint64_t *id)
{
  EventKind kind = EVENT_BLANK;

  for (size_t at = 0; at < event_bytes;)
    {
      const char *line = event + at;
      const char *newline = memchr (line, '\n', event_bytes - at);
      size_t line_bytes = newline == NULL ? event_bytes - at : (size_t)(newline - line);
      size_t name_bytes;

      at += line_bytes + 1;
      if (line_bytes > 0 && line[line_bytes - 1] == '\r')
        line_bytes--;
      if (line_bytes == 0)
        continue;
      if (line[0] == ':')
        {
          kind = kind == EVENT_BLANK ? EVENT_COMMENT : kind;
          continue;
        }
      name_bytes = field_name_bytes (line, line_bytes);
      if (name_bytes == 0)
        return EVENT_INVALID;
      if (name_bytes == 2 && memcmp (line, "id", 2) == 0)
        {
          size_t skip = line_bytes > 3 && line[3] == ' ' ? 4 : 3;

          if (kind == EVENT_NUMBERED || !mf_event_id_read (line + skip, line_bytes - skip, id))
            return EVENT_INVALID;
          kind = EVENT_NUMBERED;
        }
      else if (kind != EVENT_NUMBERED)
        kind = EVENT_INVALID;
    }
  return kind;
}

/* Returns the size of the first event, its blank line included; 0 when it is incomplete. Its end
 * does not begin within the first searched_bytes. */
static size_t
first_event_bytes (const char *bytes, size_t n_bytes, size_t searched_bytes)
{
  for (size_t i = searched_bytes; i + 1 < n_bytes; i++)
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

/* Ends what is passed on of the current run. */
static void
stream_reject (MfEventStream *stream, const char *why)
{
  stream->defect = why;
  stream->searched_bytes = 0;
  mf_buffer_clear (&stream->partial);
}

/* Whether the ids of the stream skip the ones between the last event and this one, and no event is
 * missing: those of the service usually do, or another upstream has gone on with the same event. */
static bool
stream_may_skip_to (MfEventStream *stream, uint64_t id)
{
  MfEventNumbering *numbering = stream->numbering;
  uint64_t parts[] = { stream->name, stream->last_id, id };
  uint64_t gap = XXH3_64bits (parts, sizeof parts);

  if (numbering == NULL)
    return false;
  if (numbering->n_successors < numbering->n_skips * SUCCESSORS_PER_SKIP
      || (numbering->doubted_gap == gap && numbering->doubted_source != stream->source))
    {
      numbering->n_skips++;
      return true;
    }
  numbering->doubted_gap = gap;
  numbering->doubted_source = stream->source;
  /* Without any successor so far, that may be how the service numbers its events. */
  numbering->n_skips += numbering->n_successors == 0;
  return false;
}

/* Handles a complete event: appends it to out, unless it was passed on before. */
static void
stream_add_event (MfEventStream *stream, const char *event, size_t event_bytes, MfBuffer *out)
{
  uint64_t id = 0;
  EventKind kind = event_read (event, event_bytes, &id);

  if (kind == EVENT_INVALID)
    {
      stream_reject (stream, "event without a numeric id");
      return;
    }
  if (kind == EVENT_NUMBERED)
    {
      if (stream->run_has_id && id <= stream->run_last_id)
        {
          stream_reject (stream, "event ids do not increase");
          return;
        }
      stream->run_has_id = true;
      stream->run_last_id = id;
      if (stream->has_last_id && id <= stream->last_id)
        return;
      if (stream->has_last_id && id == stream->last_id + 1 && stream->numbering != NULL)
        stream->numbering->n_successors++;
      else if (stream->has_last_id && id != stream->last_id + 1 && !stream_may_skip_to (stream, id))
        {
          stream_reject (stream, "events are missing");
          return;
        }
      stream->has_last_id = true;
      stream->last_id = id;
      stream->n_events++;
    }
  mf_buffer_add (out, event, event_bytes);
}

/* Reads bytes of the current run. Appends the complete events to out, without those that were
 * passed on before. What follows an event that is not as it should be is dropped, and defect is
 * set. */
void
mf_event_stream_feed (MfEventStream *stream, const char *bytes, size_t n_bytes, MfBuffer *out)
{
  size_t event_bytes;
  size_t n_partial_bytes;

  if (stream->defect != NULL)
    return;
  mf_buffer_add (&stream->partial, bytes, n_bytes);
  while (stream->defect == NULL
         && (event_bytes
             = first_event_bytes (mf_buffer_data (&stream->partial),
                                  mf_buffer_bytes (&stream->partial), stream->searched_bytes))
                > 0)
    {
      stream->searched_bytes = 0;
      stream_add_event (stream, mf_buffer_data (&stream->partial), event_bytes, out);
      if (stream->defect == NULL)
        mf_buffer_consume (&stream->partial, event_bytes);
    }
  /* The end of an event has up to three bytes. */
  n_partial_bytes = mf_buffer_bytes (&stream->partial);
  stream->searched_bytes = n_partial_bytes > 2 ? n_partial_bytes - 2 : 0;
  if (mf_buffer_bytes (&stream->partial) > EVENT_BYTES_MAX || stream->partial.failed)
    stream_reject (stream, "event exceeds the size limit");
}

/* Begins a run at the upstream that source identifies: the first one, or another one that goes on
 * after the last event. */
void
mf_event_stream_begin_run (MfEventStream *stream, uint64_t source)
{
  stream->source = source;
  stream->searched_bytes = 0;
  mf_buffer_clear (&stream->partial);
  stream->run_has_id = false;
  stream->defect = NULL;
}

/* Whether the run could end here: no event is incomplete or invalid. */
bool
mf_event_stream_at_boundary (const MfEventStream *stream)
{
  return stream->defect == NULL
         && is_blank (mf_buffer_data (&stream->partial), mf_buffer_bytes (&stream->partial));
}

/* Frees the buffer of the incomplete event. */
void
mf_event_stream_clear (MfEventStream *stream)
{
  mf_buffer_clear (&stream->partial);
}
