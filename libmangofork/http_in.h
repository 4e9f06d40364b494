#ifndef MF_HTTP_IN_H
#define MF_HTTP_IN_H

#include "adapter.h"

struct ev_loop;

/* Callers' connections: libmicrohttpd on a libev loop. */
typedef struct MfHttpIn MfHttpIn;

typedef struct
{
  const char *listen;
  uint64_t header_bytes_max;
  uint64_t body_bytes_max;
  uint32_t connections_max;
  uint32_t connections_per_address_max; /* 0 for no limit */
  uint64_t slow_sender_us;
  uint64_t caller_buffer_bytes; /* unsent, before the upstream is held */
} MfHttpInOptions;

typedef struct
{
  /* Gets MF_EVENT_REQUEST and MF_EVENT_DEPARTED without clocks. Never called from within a function
   * of this module, and may call any of them but mf_http_in_free. */
  void (*on_event) (const MfEvent *event, void *data);
  /* The call that feeds a request is to pause, or to go on. */
  void (*on_pause_reading) (uint64_t call_id, bool paused, void *data);
  /* The text in force, for the list of models; may return NULL. */
  const MfConfig *(*on_config) (void *data);
  /* A request was refused before it became an event. */
  void (*on_refused) (MfCode code, void *data);
} MfHttpInHooks;

MfHttpIn *mf_http_in_new (struct ev_loop *loop, const MfHttpInOptions *options,
                          const MfHttpInHooks *hooks, void *data, MfError *error);
/* Closes every connection. Accepts NULL. */
void mf_http_in_free (MfHttpIn *in);
uint16_t mf_http_in_port (const MfHttpIn *in);
/* Requests whose answer has not been taken by the caller whole. */
uint32_t mf_http_in_count (const MfHttpIn *in);

/* Carries out one of the MF_ACTION_ANSWER_ actions. Requests that are gone are passed over. */
void mf_http_in_answer (MfHttpIn *in, const MfAction *action);
/* Says which call feeds a request's answer from now on. */
void mf_http_in_set_call (MfHttpIn *in, uint64_t request_id, uint64_t call_id);
/* What is kept of a request, borrowed until the loop runs. False when the request is gone. */
bool mf_http_in_call_input (const MfHttpIn *in, uint64_t request_id, MfCallInput *input);

#endif
