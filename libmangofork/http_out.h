#ifndef MF_HTTP_OUT_H
#define MF_HTTP_OUT_H

#include "adapter.h"

struct ev_loop;

/* Calls to upstreams by libcurl's multi interface on a libev loop. */
typedef struct MfHttpOut MfHttpOut;

typedef struct
{
  MfInstanceId self;             /* tags the work on engines */
  uint64_t answer_bytes_max;     /* of a gathered answer; 0 for the default */
  uint32_t connections_max;      /* to all upstreams; 0 for the default */
  uint32_t host_connections_max; /* to one upstream; 0 for the default */
  /* Gets call, load and cache events, with both clocks filled in. Never called from within
   * mf_http_out_start, mf_http_out_abort, mf_http_out_pause_reading or mf_http_out_drop_kv_handle,
   * and may call any of them. */
  void (*on_event) (const MfEvent *event, void *data);
} MfHttpOutHooks;

MfHttpOut *mf_http_out_new (struct ev_loop *loop, const MfHttpOutHooks *hooks, void *data,
                            MfError *error);
void mf_http_out_free (MfHttpOut *out);
void mf_http_out_start (MfHttpOut *out, const MfCallAction *call, const MfCallInput *input);
void mf_http_out_abort (MfHttpOut *out, uint64_t call_id);
void mf_http_out_pause_reading (MfHttpOut *out, uint64_t call_id, bool paused);
void mf_http_out_drop_kv_handle (MfHttpOut *out, uint64_t call_id);
/* Calls that have not ended. */
uint32_t mf_http_out_count (const MfHttpOut *out);

#endif
