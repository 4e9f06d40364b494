#ifndef MF_RELAY_EVENTS_H
#define MF_RELAY_EVENTS_H

#include "libmangofork/buffer.h"

/* The events of a text/event-stream while they arrive: whole ones are let through, each once, and
 * the id of the last one is kept, from which a broken stream goes on. */
typedef struct
{
  MfBuffer partial; /* an event that is not whole yet */
  uint64_t last_id; /* of the last event let through */
  bool has_last;
  bool has_gap; /* an event came whose id does not follow */
  uint64_t n_events;
  bool after_newline;  /* while events are only counted */
  uint64_t open_bytes; /* the same: since the last event ended */
} MfEvents;

void mf_events_feed (MfEvents *events, const char *bytes, size_t n_bytes, MfBuffer *out);
void mf_events_count (MfEvents *events, const char *bytes, size_t n_bytes);
bool mf_events_is_endless (const MfEvents *events);
void mf_events_cut (MfEvents *events);
bool mf_events_at_boundary (const MfEvents *events);
void mf_events_clear (MfEvents *events);

#endif
