#include "adapter.h"
#include "buffer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The answer of a plain upstream, collected until it is complete. */
typedef struct
{
  MfCallEventFunc on_event;
  void *data;
  MfBuffer body;
} PlainAnswer;

static bool
has_control_char (const char *text)
{
  for (; text != NULL && *text != '\0'; text++)
    {
      if ((unsigned char)*text < 0x20 || *text == 0x7f)
        return true;
    }
  return false;
}

/* Forwards the caller's method, path, content type and body. A header without a value keeps the
 * HTTP library from adding its own. */
static bool
plain_build (const MfCallAction *call, const MfCallInput *input, const MfInstanceId *self,
             MfHttpRequest *request, MfError *error)
{
  const char *type = input->content_type != NULL ? input->content_type : "";
  bool ok;

  (void)self;
  *request = (MfHttpRequest){ .method = input->method };
  if (call->kind != MF_CALL_PLAIN || has_control_char (input->path)
      || has_control_char (input->name) || has_control_char (type))
    {
      mf_error_set (
          error, MF_CODE_BAD_HEADER,
          "call not valid for a plain upstream: wrong kind, or a control character in its "
          "path, content type or request id");
      return false;
    }
  ok = asprintf (&request->url, "http://%s%s", call->address, input->path) >= 0
       && asprintf (&request->headers, "Content-Type: %s\nX-Request-Id: %s\n", type, input->name)
              >= 0;
  if (ok && input->body != NULL)
    {
      request->body = malloc (input->body_bytes + 1);
      request->body_bytes = input->body_bytes;
      ok = request->body != NULL;
      if (ok)
        memcpy (request->body, input->body, input->body_bytes);
    }
  if (!ok)
    {
      mf_http_request_clear (request);
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for a call");
    }
  return ok;
}

static void *
plain_begin (const MfCallAction *call, MfCallEventFunc on_event, MfUpstreamEventFunc on_report,
             void *data)
{
  PlainAnswer *answer = calloc (1, sizeof *answer);

  (void)call;
  (void)on_report;
  if (answer == NULL)
    return NULL;
  answer->on_event = on_event;
  answer->data = data;
  return answer;
}

static bool
plain_feed (void *state, const char *data, size_t data_bytes, MfError *error)
{
  PlainAnswer *answer = state;

  mf_buffer_add (&answer->body, data, data_bytes);
  if (answer->body.failed)
    mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for an answer");
  return !answer->body.failed;
}

static void
plain_end (void *state, uint16_t status, bool complete, uint64_t now_us)
{
  PlainAnswer *answer = state;
  MfCallEvent event = { .status = status };

  (void)now_us;
  if (complete)
    {
      event.data = mf_buffer_data (&answer->body);
      event.data_bytes = mf_buffer_bytes (&answer->body);
    }
  answer->on_event (complete ? MF_EVENT_CALL_DONE : MF_EVENT_CALL_FAILED, &event, answer->data);
}

static void
plain_release (void *state)
{
  PlainAnswer *answer = state;

  mf_buffer_clear (&answer->body);
  free (answer);
}

static const char *
plain_kv_handle (const void *state, size_t *handle_bytes)
{
  (void)state;
  *handle_bytes = 0;
  return NULL;
}

const MfEngineAdapter mf_plain_adapter = {
  .name = "plain",
  .build = plain_build,
  .begin = plain_begin,
  .feed = plain_feed,
  .end = plain_end,
  .release = plain_release,
  .kv_handle = plain_kv_handle,
};
