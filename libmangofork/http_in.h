#ifndef MF_HTTP_IN_H
#define MF_HTTP_IN_H

#include "adapter.h"

struct ev_loop;

/* The HTTP server for callers: libmicrohttpd on a libev loop. */
typedef struct MfHttpIn MfHttpIn;

typedef struct
{
  const char *listen;
  uint64_t header_bytes_max;
  uint64_t body_bytes_max;
  uint32_t connections_max;
  uint32_t connections_per_address_max; /* 0 for no limit */
  uint64_t slow_sender_us;              /* time limit for a request to arrive */
  /* Unsent bytes of an answer above which reading from its upstream is paused. */
  uint64_t caller_buffer_bytes;
} MfHttpInOptions;

typedef struct
{
  /* Receives MF_EVENT_REQUEST and MF_EVENT_DEPARTED, with the clock fields unset. Never called from
   * within a function of this module. May call any of them except mf_http_in_free. */
  void (*on_event) (const MfEvent *event, void *data);
  /* Reading from the upstream call that provides an answer is to be paused or resumed. */
  void (*on_pause_reading) (uint64_t call_id, bool paused, void *data);
  /* Returns the configuration in force, for the list of models; may return NULL. */
  const MfConfig *(*on_config) (void *data);
  /* A request was refused before it was submitted to the core. */
  void (*on_refused) (MfCode code, void *data);
} MfHttpInHooks;

MfHttpIn *mf_http_in_new (struct ev_loop *loop, const MfHttpInOptions *options,
                          const MfHttpInHooks *hooks, void *data, MfError *error);
/* Closes every connection. Accepts NULL. */
void mf_http_in_free (MfHttpIn *in);
uint16_t mf_http_in_port (const MfHttpIn *in);
/* Number of requests in progress, from the request line to the end of the answer. */
uint32_t mf_http_in_count (const MfHttpIn *in);

/* Executes one of the MF_ACTION_ANSWER_ actions. Ignored when the request has ended. */
void mf_http_in_answer (MfHttpIn *in, const MfAction *action);
/* Sets the upstream call that provides a request's answer from now on. */
void mf_http_in_set_call (MfHttpIn *in, uint64_t request_id, uint64_t call_id);
/* Fills in what is kept of a request. The pointers are valid until the loop next runs. Returns
 * false when the request has ended. */
bool mf_http_in_call_input (const MfHttpIn *in, uint64_t request_id, MfCallInput *input);

#endif
