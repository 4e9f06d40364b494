#ifndef MF_RELAY_EVENTS_H
#define MF_RELAY_EVENTS_H

#include "libmangofork/buffer.h"

/* The differences between the ids of consecutive events. Only differences within a run are counted:
 * what an upstream sends on one connection arrives whole and in order, so that its gaps are its way
 * to number events. */
typedef struct
{
  uint64_t step; /* the usual difference */
  uint64_t n_steps;
  uint64_t n_others; /* differences that are not the usual one */
} MfEventSteps;

/* How the upstreams of a service number the events of its streams, as observed by this process. */
typedef struct
{
  MfEventSteps steps;
  uint64_t doubted_gap; /* identifies the last gap that has ended a run */
  uint64_t doubted_source;
} MfEventNumbering;

/* A gap between the last event passed on and the first one of a run, larger than the ids of the
 * stream let expect: events may be missing. */
typedef struct
{
  uint64_t after;    /* id of the last event passed on before */
  uint64_t first;    /* of the run's first event after it; 0: there is no such gap */
  uint64_t step;     /* the difference that was expected */
  bool is_confirmed; /* a second upstream has gone on with the same event */
} MfEventGap;

/* Reads a text/event-stream whose events have increasing numbers as ids. Complete events are passed
 * on, each once, and the id of the last one is kept, so that a broken stream can be resumed after
 * it. */
typedef struct
{
  MfBuffer partial;      /* an incomplete event, or blank lines after the last one */
  size_t searched_bytes; /* of it, that contain no end of an event */
  uint64_t last_id;      /* of the last event passed on */
  bool has_last_id;
  uint64_t run_last_id; /* of the last event of the current run */
  bool run_has_id;
  const char *defect; /* why the rest of the current run is not passed on; NULL: it is */
  uint64_t n_events;
  uint64_t source;             /* identifies the upstream of the current run */
  uint64_t name;               /* identifies the request, also when its caller sends it again */
  MfEventSteps steps;          /* of all runs of this stream */
  MfEventNumbering *numbering; /* of the service; NULL: nothing is known of it */
  MfEventGap gap;              /* of the current run */
} MfEventStream;

bool mf_event_id_read (const char *text, size_t text_bytes, uint64_t *id);
void mf_event_stream_begin_run (MfEventStream *stream, uint64_t source);
void mf_event_stream_feed (MfEventStream *stream, const char *bytes, size_t n_bytes, MfBuffer *out);
bool mf_event_stream_at_boundary (const MfEventStream *stream);
void mf_event_stream_clear (MfEventStream *stream);

#endif
