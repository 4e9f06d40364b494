#ifndef MF_ADAPTER_H
#define MF_ADAPTER_H

#include "action.h"

/* One HTTP request to an upstream. Its strings are freed with mf_http_request_clear. */
typedef struct
{
  const char *method;
  char *url;
  char *body; /* NULL for none */
  size_t body_bytes;
  char *headers; /* lines terminated by '\n', without a blank line at the end; NULL for none */
} MfHttpRequest;

void mf_http_request_clear (MfHttpRequest *request);

/* What a call is built from: the caller's request and its answer so far. */
typedef struct
{
  const char *name; /* the caller's request id */
  const char *body;
  size_t body_bytes;
  const char *method;
  const char *path; /* with the query */
  const char *content_type;
  const char *delivered; /* text delivered so far, JSON-escaped; to resume after a failure */
  size_t delivered_bytes;
  const char *kv_handle; /* JSON object returned by the prefill engine; NULL before */
  size_t kv_handle_bytes;
} MfCallInput;

/* Called for each event found in the answer of an upstream. */
typedef void (*MfCallEventFunc) (MfEventType type, const MfCallEvent *event, void *data);
typedef void (*MfUpstreamEventFunc) (const MfEvent *event, void *data);

/* The protocol of one kind of upstream. Support for another kind of engine is another table. */
typedef struct
{
  const char *name;
  /* Builds the HTTP request of a call. */
  bool (*build) (const MfCallAction *call, const MfCallInput *input, const MfInstanceId *self,
                 MfHttpRequest *request, MfError *error);
  /* Parses bytes of the answer's body as they arrive. */
  bool (*feed) (void *state, const char *data, size_t data_bytes, MfError *error);
  /* Returns the state for parsing one answer, or NULL when out of memory. on_event receives call
   * events, on_report load and cache events. */
  void *(*begin) (const MfCallAction *call, MfCallEventFunc on_event, MfUpstreamEventFunc on_report,
                  void *data);
  /* The answer has ended with this status: emits the last event, which is CALL_PREFILLED for a
   * successful prefill, otherwise CALL_DONE or CALL_FAILED. status is 0 when no answer started. */
  void (*end) (void *state, uint16_t status, bool complete, uint64_t now_us);
  void (*release) (void *state);
  /* Returns the KV handle of a finished prefill; NULL before. Borrowed from state. */
  const char *(*kv_handle) (const void *state, size_t *handle_bytes);
} MfEngineAdapter;

extern const MfEngineAdapter mf_openai_adapter; /* openai.c */
extern const MfEngineAdapter mf_plain_adapter;  /* plain.c */
const MfEngineAdapter *mf_adapter_find (const char *name);

#endif
