#ifndef SOAK_STOP_H
#define SOAK_STOP_H

#include "soak_upstream.h"

#include "libmangofork/types.h"

/* Planned stops of instances beside engines that are slow or silent for a while. Checks that no
 * request that an instance has read is ended by that instance before its exit. No upstream breaks
 * off an answer in this mode, so only the deadline, the caller's departure and the exit excuse one
 * that is not complete. */
typedef struct SoakStop SoakStop;

typedef struct
{
  void (*signal) (void *data, uint32_t instance, int signal);
  void (*violation) (void *data, const char *what, const char *id);
  /* How often a request, named by its id, has run. */
  uint32_t (*count_runs) (void *data, const char *id);
} SoakStopCallbacks;

typedef struct
{
  uint64_t seed;
  uint32_t n_instances;
  uint32_t n_stops;     /* in all */
  uint64_t grace_us;    /* from SIGTERM to the end of the grace period */
  uint64_t deadline_us; /* from the send of a request to its deadline */
} SoakStopSettings;

/* How one request ended for its caller. */
typedef struct
{
  bool is_complete;
  bool has_head;    /* the head of the answer has come */
  bool has_left;    /* the caller closed the connection */
  bool is_in_order; /* what has come is the begin of the answer that belongs to the request */
  uint32_t status;  /* of a complete answer */
} SoakStopEnd;

SoakStop *soak_stop_new (const SoakStopSettings *settings, const SoakStopCallbacks *callbacks,
                         void *data);
/* Sends the signals that are due, draws further stops and changes how the engines behave. After
 * has_ended no further stop begins and the engines serve as usual. */
void soak_stop_step (SoakStop *stop, uint64_t now_us, bool has_ended);
/* Returns the time until the next event of a stream; below 0: it never comes. For
 * soak_upstream_set_pause, with the SoakStop as data. */
double soak_stop_pause_s (void *data, const SoakUpstream *engine);
/* A process of an instance has started. */
void soak_stop_note_start (SoakStop *stop, uint32_t instance);
/* The process of an instance has exited. */
void soak_stop_note_exit (SoakStop *stop, uint32_t instance, uint64_t now_us);
/* Returns the number of the process that runs as an instance now. */
uint32_t soak_stop_process (const SoakStop *stop, uint32_t instance);
/* Request number index has been sent to a process of an instance. */
void soak_stop_note_send (SoakStop *stop, uint32_t index, uint32_t instance, uint32_t process);
void soak_stop_note_end (SoakStop *stop, uint32_t index, const SoakStopEnd *end);
/* Reads the log of an instance and checks the ends of the requests that it names. As many ends may
 * be absent as the log states that it has left out lines. */
void soak_stop_check_log (SoakStop *stop, uint32_t instance, const char *path);
/* Checks what callers saw against the logs, which must have been read, and prints the counts. */
void soak_stop_check (SoakStop *stop);

#endif
