#ifndef MF_RELAY_CALLER_H
#define MF_RELAY_CALLER_H

#include "message.h"

#include <ev.h>

typedef struct MfCaller MfCaller;
typedef struct MfListener MfListener;

/* Callbacks of a listener. departed and writable may be NULL. */
typedef struct
{
  /* A complete request has been read. It is answered with mf_caller_reply or mf_caller_begin, from
   * this callback or later. */
  void (*request) (void *data, MfCaller *caller);
  /* The caller has disconnected before its response was complete. caller must not be used any
   * more. */
  void (*departed) (void *data, MfCaller *caller);
  /* The send buffer of a streamed response has become too full, or has been drained. */
  void (*writable) (void *data, MfCaller *caller, bool can_write);
  /* A malformed or too large request has been rejected without a call of request. */
  void (*refused) (void *data, MfCode code);
} MfListenerCallbacks;

/* Limits of a listener; they may change while it is open. */
typedef struct
{
  uint64_t header_bytes_max;
  uint64_t body_bytes_max;
  uint64_t header_timeout_us;
  uint64_t idle_timeout_us;
  uint32_t callers_max;
  /* While all buffers of the process together would exceed this, requests with large bodies are
   * refused; 0: no limit. */
  uint64_t buffers_bytes_max;
} MfListenerLimits;

MfListener *mf_listener_new (struct ev_loop *loop, const char *address, const MfDialect *dialect,
                             const MfListenerCallbacks *callbacks, void *data, MfError *error);
void mf_listener_free (MfListener *listener);
void mf_listener_set_limits (MfListener *listener, const MfListenerLimits *limits);
uint32_t mf_listener_n_callers (const MfListener *listener);
void mf_listener_end_keep_alive (MfListener *listener);
void mf_listener_close_idle (MfListener *listener);
void mf_listener_stop_accepting (MfListener *listener);

const MfHead *mf_caller_head (const MfCaller *caller);
const char *mf_caller_method (const MfCaller *caller);
const MfBuffer *mf_caller_body (const MfCaller *caller);
uint64_t mf_caller_started_us (const MfCaller *caller);
uint32_t mf_caller_n_requests (const MfCaller *caller);
uint64_t mf_caller_address_hash (const MfCaller *caller);
void mf_caller_set_job (MfCaller *caller, void *job);
void *mf_caller_job (const MfCaller *caller);

bool mf_caller_reply (MfCaller *caller, uint32_t status, const MfBuffer *headers, const char *body,
                      size_t body_bytes);
void mf_caller_begin (MfCaller *caller, uint32_t status, const MfBuffer *headers);
void mf_caller_write (MfCaller *caller, const char *bytes, size_t n_bytes);
void mf_caller_end (MfCaller *caller);
void mf_caller_abort (MfCaller *caller);

#endif
