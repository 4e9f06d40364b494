#ifndef MF_RELAY_EVENTS_H
#define MF_RELAY_EVENTS_H

#include "libmangofork/buffer.h"

/* The events of a text/event-stream while they arrive: whole ones are let through, each once, and
 * the id of the last one is kept, from which a broken stream goes on. */
typedef struct
{
  MfBuffer partial; /* an event that is not whole yet */
  uint64_t last_id; /* of the last event let through */
  bool has_last_id;
  bool has_gap; /* an event came whose id does not follow */
  uint64_t n_events;
  bool after_newline;          /* while events are only counted */
  uint64_t unterminated_bytes; /* the same: since the last event ended */
} MfEventStream;

void mf_event_stream_feed (MfEventStream *stream, const char *bytes, size_t n_bytes, MfBuffer *out);
void mf_event_stream_count (MfEventStream *stream, const char *bytes, size_t n_bytes);
bool mf_event_stream_is_too_long (const MfEventStream *stream);
void mf_event_stream_discard_partial (MfEventStream *stream);
bool mf_event_stream_at_boundary (const MfEventStream *stream);
void mf_event_stream_clear (MfEventStream *stream);

#endif
