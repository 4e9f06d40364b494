#ifndef MF_HTTP_OUT_H
#define MF_HTTP_OUT_H

#include "adapter.h"

struct ev_loop;

/* The HTTP client for calls to upstreams: libcurl's multi interface on a libev loop. */
typedef struct MfHttpOut MfHttpOut;

typedef struct
{
  MfInstanceId self;             /* part of the request ids sent to engines */
  uint64_t answer_bytes_max;     /* of an answer that is not streamed; 0 for the default */
  uint32_t connections_max;      /* to all upstreams together; 0 for the default */
  uint32_t host_connections_max; /* to each upstream; 0 for the default */
  /* Receives call, load and cache events, with both clock fields set. Never called from within
   * mf_http_out_start, mf_http_out_abort, mf_http_out_pause_reading or mf_http_out_drop_kv_handle.
   * May call any of them. */
  void (*on_event) (const MfEvent *event, void *data);
} MfHttpOutHooks;

MfHttpOut *mf_http_out_new (struct ev_loop *loop, const MfHttpOutHooks *hooks, void *data,
                            MfError *error);
void mf_http_out_free (MfHttpOut *out);
void mf_http_out_start (MfHttpOut *out, const MfCallAction *call, const MfCallInput *input);
void mf_http_out_abort (MfHttpOut *out, uint64_t call_id);
void mf_http_out_pause_reading (MfHttpOut *out, uint64_t call_id, bool paused);
void mf_http_out_drop_kv_handle (MfHttpOut *out, uint64_t call_id);
/* Number of calls that have not ended. */
uint32_t mf_http_out_count (const MfHttpOut *out);

#endif
