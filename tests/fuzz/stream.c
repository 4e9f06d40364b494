#include "fuzz.h"

#include "libmangofork/relay/events.h"

#include <stdlib.h>
#include <string.h>

/* Pieces of different sizes that the stream is cut into. */
static const size_t piece_bytes[] = { SIZE_MAX, 1, 7 };

static void
read_stream (const uint8_t *data, size_t n_bytes, size_t piece, MfEventStream *stream,
             MfBuffer *out)
{
  for (size_t at = 0; at < n_bytes;)
    {
      size_t n = n_bytes - at < piece ? n_bytes - at : piece;

      mf_event_stream_feed (stream, (const char *)data + at, n, out);
      at += n;
    }
}

/* Appends what follows the last event of a stream that ends. */
static void
add_end (const MfEventStream *stream, MfBuffer *out)
{
  mf_buffer_add (out, mf_buffer_data (&stream->partial), mf_buffer_bytes (&stream->partial));
}

/* A stream is the same however it is cut. What is passed on of one run is its beginning, and where
 * it ends between two events, all of it. Another run that repeats it adds nothing. */
int
fuzz_stream (const uint8_t *data, size_t n_bytes)
{
  MfEventNumbering numbering = { 0 };
  MfEventStream whole = { .numbering = &numbering };
  MfBuffer expected = { 0 };

  read_stream (data, n_bytes, SIZE_MAX, &whole, &expected);
  if (mf_buffer_bytes (&expected) > n_bytes
      || (mf_buffer_bytes (&expected) > 0
          && memcmp (mf_buffer_data (&expected), data, mf_buffer_bytes (&expected)) != 0))
    abort ();
  if (mf_event_stream_at_boundary (&whole))
    {
      add_end (&whole, &expected);
      if (mf_buffer_bytes (&expected) != n_bytes
          || (n_bytes > 0 && memcmp (mf_buffer_data (&expected), data, n_bytes) != 0))
        abort ();
    }
  for (size_t i = 0; i < sizeof piece_bytes / sizeof piece_bytes[0]; i++)
    {
      MfEventStream stream = { 0 };
      MfBuffer out = { 0 };

      read_stream (data, n_bytes, piece_bytes[i], &stream, &out);
      if (mf_event_stream_at_boundary (&stream))
        add_end (&stream, &out);
      if (mf_buffer_bytes (&out) != mf_buffer_bytes (&expected) || stream.last_id != whole.last_id
          || (stream.defect == NULL) != (whole.defect == NULL)
          || mf_event_stream_at_boundary (&stream) != mf_event_stream_at_boundary (&whole))
        abort ();
      mf_event_stream_begin_run (&stream, 2);
      read_stream (data, n_bytes, piece_bytes[i], &stream, &out);
      if (stream.last_id != whole.last_id || stream.n_events != whole.n_events)
        abort ();
      mf_event_stream_clear (&stream);
      mf_buffer_clear (&out);
    }
  mf_event_stream_clear (&whole);
  mf_buffer_clear (&expected);
  return 0;
}
