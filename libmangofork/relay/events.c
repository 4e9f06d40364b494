#include "events.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Bytes of one event at most; an engine's events are below 3 KB. */
#define EVENT_BYTES_MAX 262144

/* The ids of a stream are taken to have the same step throughout after this many equal ones without
 * another: ids that count tokens vary sooner. */
#define STREAM_STEPS_MIN 8
/* The ids of a service are taken to have the same step throughout if there are this many equal ones
 * for each other one: a garbled stream is rarer. */
#define SERVICE_STEPS_MIN 256
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

/* Counts the difference between two consecutive ids. */
static void
steps_add (MfEventSteps *steps, uint64_t step)
{
  if (steps->n_steps == 0)
    steps->step = step;
  if (steps->step == step)
    steps->n_steps++;
  else
    steps->n_others++;
}

/* Returns the step that the ids of a stream have throughout, 0 if none is known. What the stream
 * itself has shown counts more than other streams of its service. */
static uint64_t
stream_step (const MfEventStream *stream)
{
  const MfEventSteps *own = &stream->steps;
  const MfEventSteps *usual = stream->numbering == NULL ? own : &stream->numbering->steps;

  if (own->n_others > 0)
    return 0;
  if (own->n_steps >= STREAM_STEPS_MIN)
    return own->step;
  return usual->n_steps >= SERVICE_STEPS_MIN * (usual->n_others + 1) ? usual->step : 0;
}

/* Whether a run may go on with the event of this id: none between the last event passed on and this
 * one is known to be missing, or another upstream has gone on with the same event. */
static bool
stream_may_go_on_at (MfEventStream *stream, uint64_t id)
{
  MfEventNumbering *numbering = stream->numbering;
  uint64_t parts[] = { stream->name, stream->last_id, id };
  uint64_t gap_hash = XXH3_64bits (parts, sizeof parts);
  uint64_t step = stream_step (stream);

  if (step == 0 || id - stream->last_id <= step)
    return true;
  stream->gap = (MfEventGap){ .after = stream->last_id, .first = id, .step = step };
  if (numbering == NULL)
    return false;
  stream->gap.is_confirmed
      = numbering->doubted_gap == gap_hash && numbering->doubted_source != stream->source;
  numbering->doubted_gap = gap_hash;
  numbering->doubted_source = stream->source;
  return stream->gap.is_confirmed;
}

/* Counts a step for the stream and for its service. */
static void
stream_note_step (MfEventStream *stream, uint64_t step)
{
  MfEventSteps *usual;

  steps_add (&stream->steps, step);
  if (stream->numbering == NULL)
    return;
  usual = &stream->numbering->steps;
  steps_add (usual, step);
  /* Another step may have become the usual one. */
  if (usual->n_others > usual->n_steps)
    *usual = (MfEventSteps){ 0 };
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
      /* The first event of the run after those passed on before. A run that has made the last one
       * of these has made what follows it as well. */
      bool is_first_new = stream->has_last_id && id > stream->last_id
                          && !(stream->run_has_id && stream->run_last_id >= stream->last_id);

      if (stream->run_has_id && id <= stream->run_last_id)
        {
          stream_reject (stream, "event ids do not increase");
          return;
        }
      if (is_first_new && !stream_may_go_on_at (stream, id))
        {
          stream_reject (stream, "events are missing");
          return;
        }
      if (stream->run_has_id)
        stream_note_step (stream, id - stream->run_last_id);
      stream->run_has_id = true;
      stream->run_last_id = id;
      if (stream->has_last_id && id <= stream->last_id)
        return;
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
  stream->gap = (MfEventGap){ 0 };
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
