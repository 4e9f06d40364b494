#ifndef MF_ADAPTER_H
#define MF_ADAPTER_H

#include "action.h"

/* One HTTP request to an upstream. Strings are owned by the holder and freed with
 * mf_http_request_clear. */
typedef struct
{
  const char *method;
  char *url;
  char *body; /* NULL for none */
  size_t body_bytes;
  char *headers; /* lines ended by '\n', no trailing blank line; NULL for none */
} MfHttpRequest;

void mf_http_request_clear (MfHttpRequest *request);

/* What the adapter kept of the caller's request and its answer so far. */
typedef struct
{
  const char *name; /* the caller's request id */
  const char *body;
  size_t body_bytes;
  const char *method;
  const char *path; /* with its query */
  const char *content_type;
  const char *delivered; /* tokens delivered so far, JSON-escaped; for prefill after a break */
  size_t delivered_bytes;
  const char *kv_handle; /* JSON object the prefill engine returned; NULL before */
  size_t kv_handle_bytes;
} MfCallInput;

/* Called for each event found in an upstream's answer. */
typedef void (*MfCallEventFunc) (MfEventType type, const MfCallEvent *event, void *data);
typedef void (*MfUpstreamEventFunc) (const MfEvent *event, void *data);

/* How one kind of engine is spoken to. Another engine is another table. */
typedef struct
{
  const char *name;
  /* Builds the request of a call. */
  bool (*build) (const MfCallAction *call, const MfCallInput *input, const MfInstanceId *self,
                 MfHttpRequest *request, MfError *error);
  /* Takes in bytes of the answer's body as they arrive. */
  bool (*feed) (void *state, const char *data, size_t data_bytes, MfError *error);
  /* State for one answer; on_event gets call events, on_report load and cache events. */
  void *(*begin) (const MfCallAction *call, MfCallEventFunc on_event, MfUpstreamEventFunc on_report,
                  void *data);
  /* The answer ended with this status; emits the last event. A prefill's is CALL_PREFILLED, any
   * other call's CALL_DONE or CALL_FAILED. status is 0 when no answer began. */
  void (*end) (void *state, uint16_t status, bool complete, uint64_t now_us);
  void (*release) (void *state);
  /* The prefill engine's KV handle once prefilled; NULL before. Borrowed from state. */
  const char *(*kv_handle) (const void *state, size_t *handle_bytes);
} MfEngineAdapter;

extern const MfEngineAdapter mf_openai_adapter; /* openai.c */
extern const MfEngineAdapter mf_plain_adapter;  /* plain.c */
const MfEngineAdapter *mf_adapter_find (const char *name);

#endif
