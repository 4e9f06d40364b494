#ifndef MF_RELAY_EVENTS_H
#define MF_RELAY_EVENTS_H

#include "libmangofork/buffer.h"

/* Reads a text/event-stream. Complete events are passed on, each once, and the id of the last one
 * is kept, so that a broken stream can be resumed after it. */
typedef struct
{
  MfBuffer partial; /* an incomplete event */
  uint64_t last_id; /* of the last event passed on */
  bool has_last_id;
  bool has_gap; /* an id was not the successor of the one before */
  uint64_t n_events;
  bool after_newline;          /* used by mf_event_stream_count only */
  uint64_t unterminated_bytes; /* likewise: bytes since the last event ended */
} MfEventStream;

void mf_event_stream_feed (MfEventStream *stream, const char *bytes, size_t n_bytes, MfBuffer *out);
void mf_event_stream_count (MfEventStream *stream, const char *bytes, size_t n_bytes);
bool mf_event_stream_is_too_long (const MfEventStream *stream);
void mf_event_stream_discard_partial (MfEventStream *stream);
bool mf_event_stream_at_boundary (const MfEventStream *stream);
void mf_event_stream_clear (MfEventStream *stream);

#endif
