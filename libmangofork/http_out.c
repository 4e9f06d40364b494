#include "http_out.h"

#include "clock.h"
#include "header.h"
#include "multi.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include "table.h"

#define ANSWER_BYTES_MAX_DEFAULT UINT64_C (4194304)
#define CONNECTIONS_MAX_DEFAULT 8192
#define HOST_CONNECTIONS_MAX_DEFAULT 512
#define HEADER_LINE_BYTES_MAX 8192
#define TIMEOUT_US_DEFAULT (10 * MF_US_PER_S)

typedef struct Call Call;

/* One call to an upstream. It is in the table of calls until its last event or its abort; then it
 * waits to be removed from libcurl, which is not allowed inside libcurl's callbacks. */
struct Call
{
  uint64_t id;
  MfHttpOut *out;
  const MfEngineAdapter *adapter;
  void *state;
  CURL *easy;
  struct curl_slist *headers;
  MfHttpRequest request;
  MfCallKind kind;
  ev_timer first_byte_timer;
  uint64_t answer_bytes;
  uint16_t status;
  bool added;          /* to libcurl */
  bool sent;           /* a byte of the request may have left this process */
  bool answer_started; /* a byte of the answer has arrived */
  bool reading_paused; /* paused in libcurl */
  bool pause_wanted;   /* not used */
  bool refused;
  bool leaving;
  bool timed_out;
  bool too_large;
  bool ended;
  Call *next; /* in one of the to_ lists of MfHttpOut */
  UT_hash_handle hh;
};

/* KV handle returned by a prefill engine, kept until mf_http_out_drop_kv_handle. */
typedef struct
{
  uint64_t call_id;
  char *text;
  size_t text_bytes;
  UT_hash_handle hh;
} KvHandle;

struct MfHttpOut
{
  struct ev_loop *loop;
  MfHttpOutOptions options;
  void *data;
  MfMulti *multi;
  Call *calls;
  /* Work deferred until libcurl is off the stack; see on_deferred. */
  Call *to_add;
  Call *to_fail;
  Call *to_free;
  Call *to_resume_reading;
  KvHandle *kv_handles;
};

static void
emit (MfHttpOut *out, MfEvent *event)
{
  event->now_us = mf_clock_now_us ();
  event->wall_ms = mf_clock_wall_ms ();
  out->options.on_event (event, out->data);
}

static void
kv_handle_free (KvHandle *handle)
{
  free (handle->text);
  free (handle);
}

static KvHandle *
kv_handle_find (MfHttpOut *out, uint64_t call_id)
{
  KvHandle *handle = NULL;

  HASH_FIND (hh, out->kv_handles, &call_id, sizeof call_id, handle);
  return handle;
}

static void
kv_handle_keep (Call *call)
{
  size_t n;
  const char *text = call->adapter->kv_handle (call->state, &n);
  KvHandle *handle = calloc (1, sizeof *handle);

  if (handle == NULL || text == NULL)
    {
      free (handle);
      return;
    }
  handle->call_id = call->id;
  handle->text = strndup (text, n);
  handle->text_bytes = handle->text == NULL ? 0 : n;
  HASH_ADD (hh, call->out->kv_handles, call_id, sizeof handle->call_id, handle);
}

/* Emits an event found by the adapter, completed with what is known of the connection. */
static void
on_call_event (MfEventType type, const MfCallEvent *found, void *data)
{
  Call *call = data;
  MfEvent event = { .type = type, .call = *found };
  char *content_type = NULL;

  if (call->ended)
    return;
  event.call.call_id = call->id;
  event.call.refused = call->refused;
  event.call.leaving = call->leaving;
  event.call.sent = call->sent;
  event.call.timed_out = call->timed_out;
  event.call.too_large = call->too_large;
  if (type == MF_EVENT_CALL_FAILED)
    event.call.connect_failed = !call->sent && !call->timed_out;
  if (type == MF_EVENT_CALL_DONE && call->easy != NULL)
    curl_easy_getinfo (call->easy, CURLINFO_CONTENT_TYPE, &content_type);
  event.call.content_type = content_type;
  if (type == MF_EVENT_CALL_PREFILLED)
    kv_handle_keep (call);
  emit (call->out, &event);
}

static void
on_upstream_event (const MfEvent *found, void *data)
{
  Call *call = data;
  MfEvent event = *found;

  if (!call->ended)
    emit (call->out, &event);
}

static void
call_free (Call *call)
{
  ev_timer_stop (call->out->loop, &call->first_byte_timer);
  if (call->added)
    mf_multi_remove (call->out->multi, call->easy);
  if (call->easy != NULL)
    curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  if (call->state != NULL)
    call->adapter->release (call->state);
  mf_http_request_clear (&call->request);
  free (call);
}

static void
list_remove (Call **list, const Call *call)
{
  for (; *list != NULL; list = &(*list)->next)
    {
      if (*list != call)
        continue;
      *list = call->next;
      return;
    }
}

static void
list_push (Call **list, Call *call)
{
  call->next = *list;
  *list = call;
}

/* Removes a call from the table and the lists of work. No event of it is emitted after that. */
static void
call_unlink (Call *call)
{
  MfHttpOut *out = call->out;

  call->ended = true;
  HASH_DEL (out->calls, call);
  ev_timer_stop (out->loop, &call->first_byte_timer);
  if (!call->added)
    {
      list_remove (&out->to_add, call);
      list_remove (&out->to_fail, call);
    }
  list_remove (&out->to_resume_reading, call);
}

/* Ends a call and emits its last event. */
static void
call_end (Call *call, bool complete)
{
  MfHttpOut *out = call->out;

  ev_timer_stop (out->loop, &call->first_byte_timer);
  if (call->state != NULL)
    call->adapter->end (call->state, call->status, complete && !call->too_large,
                        mf_clock_now_us ());
  else
    on_call_event (MF_EVENT_CALL_FAILED, &(MfCallEvent){ 0 }, call);
  if (call->ended)
    return;
  call_unlink (call);
  list_push (&out->to_free, call);
}

static void
call_add (Call *call)
{
  if (!mf_multi_add (call->out->multi, call->easy))
    {
      call_end (call, false);
      return;
    }
  call->added = true;
  ev_timer_start (call->out->loop, &call->first_byte_timer);
}

static void
on_done (CURL *easy, CURLcode result, void *data)
{
  Call *call;

  (void)data;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&call);
  if (!call->ended)
    call_end (call, result == CURLE_OK);
}

static void
free_ended (MfHttpOut *out)
{
  Call *call;

  while ((call = out->to_free) != NULL)
    {
      out->to_free = call->next;
      call_free (call);
    }
}

/* Executes the work deferred until libcurl was off the stack. Each step may add to the lists. */
static void
on_deferred (void *data)
{
  MfHttpOut *out = data;
  Call *call;

  free_ended (out);
  while ((call = out->to_resume_reading) != NULL)
    {
      out->to_resume_reading = call->next;
      call->reading_paused = false;
      mf_multi_unpause (out->multi, call->easy);
    }
  while ((call = out->to_add) != NULL)
    {
      out->to_add = call->next;
      call_add (call);
    }
  while ((call = out->to_fail) != NULL)
    {
      out->to_fail = call->next;
      call_end (call, false);
    }
  if (out->to_free != NULL || out->to_resume_reading != NULL || out->to_add != NULL)
    mf_multi_schedule_deferred (out->multi);
}

/* Called when libcurl is connected and about to send. From here on the upstream may have run the
 * request, so a failure can no longer be reported as not run. */
static int
on_before_send (void *data, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
  Call *call = data;

  (void)remote_ip;
  (void)local_ip;
  (void)remote_port;
  (void)local_port;
  if (call->ended)
    return CURL_PREREQFUNC_ABORT;
  if (!call->sent)
    {
      call->sent = true;
      on_call_event (MF_EVENT_CALL_SENT, &(MfCallEvent){ 0 }, call);
    }
  return call->ended ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static bool
header_is (const char *line, size_t line_bytes, const char *header)
{
  size_t n = strlen (header);

  return line_bytes >= n && strncasecmp (line, header, n) == 0;
}

static size_t
on_header (char *line, size_t size, size_t n, void *data)
{
  Call *call = data;
  size_t line_bytes = size * n;
  long status = 0;

  if (call->ended || line_bytes > HEADER_LINE_BYTES_MAX)
    return 0;
  if (!call->answer_started)
    {
      call->answer_started = true;
      ev_timer_stop (call->out->loop, &call->first_byte_timer);
    }
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  /* Ends the call. libcurl takes a status below 200 for an interim one and waits for another. */
  if (header_is (line, line_bytes, "HTTP/") && !mf_status_is_valid ((uint32_t)status))
    return 0;
  call->status = (uint16_t)status;
  if (header_is (line, line_bytes, "Mangofork-Ran: no"))
    call->refused = true;
  if (header_is (line, line_bytes, "Mangofork-Leaving: yes"))
    call->leaving = true;
  return line_bytes;
}

static size_t
on_body (char *data, size_t size, size_t n, void *user_data)
{
  Call *call = user_data;
  size_t data_bytes = size * n;
  bool streams = call->kind == MF_CALL_DECODE || call->kind == MF_CALL_RESUME;
  MfError error = { 0 };

  if (call->ended)
    return 0;
  call->answer_bytes += data_bytes;
  if (!streams && call->answer_bytes > call->out->options.answer_bytes_max)
    {
      call->too_large = true;
      return 0;
    }
  if (!call->adapter->feed (call->state, data, data_bytes, &error) || call->ended)
    return 0;
  return data_bytes;
}

static void
on_first_byte_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  Call *call = timer->data;

  (void)loop;
  (void)events;
  call->timed_out = true;
  call_end (call, false);
  mf_multi_schedule_deferred (call->out->multi);
}

static bool
add_header_lines (Call *call)
{
  char *rest = call->request.headers;
  struct curl_slist *grown = curl_slist_append (NULL, "Expect:");

  while (grown != NULL && rest != NULL && *rest != '\0')
    {
      char *line = strsep (&rest, "\n");
      struct curl_slist *more = *line == '\0' ? grown : curl_slist_append (grown, line);

      if (more == NULL)
        curl_slist_free_all (grown);
      grown = more;
    }
  call->headers = grown;
  return grown != NULL;
}

static void
set_method (CURL *easy, const MfHttpRequest *request)
{
  if (request->body != NULL || strcmp (request->method, "POST") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body != NULL ? request->body : "");
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body_bytes);
    }
  if (strcmp (request->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
}

/* Sets the options of the transfer. libcurl sends a request again by itself when a reused
 * connection is closed before the answer, so a call that must not be sent twice gets a connection
 * of its own. */
static bool
set_transfer (Call *call, bool fresh_connection)
{
  CURL *easy = call->easy;

  if (!add_header_lines (call))
    return false;
  mf_multi_set_common (easy);
  set_method (easy, &call->request);
  curl_easy_setopt (easy, CURLOPT_URL, call->request.url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, fresh_connection ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, fresh_connection ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  return true;
}

static bool
call_prepare (Call *call, const MfCallAction *action, const MfCallInput *input)
{
  MfCallInput with_handle = input != NULL ? *input : (MfCallInput){ 0 };
  KvHandle *handle = kv_handle_find (call->out, action->prefill_call_id);
  MfError error = { 0 };

  if (action->kind == MF_CALL_DECODE && handle != NULL)
    {
      with_handle.kv_handle = handle->text;
      with_handle.kv_handle_bytes = handle->text_bytes;
    }
  if (call->adapter == NULL
      || !call->adapter->build (action, &with_handle, &call->out->options.self, &call->request,
                                &error))
    return false;
  call->state = call->adapter->begin (action, on_call_event, on_upstream_event, call);
  call->easy = curl_easy_init ();
  return call->state != NULL && call->easy != NULL && set_transfer (call, action->fresh_connection);
}

static const MfEngineAdapter *
find_adapter (const MfCallAction *action)
{
  if (action->kind == MF_CALL_PLAIN)
    return &mf_plain_adapter;
  return mf_adapter_find (action->engine);
}

/* Starts a call. Its last event is always emitted later, from the loop, even if the call cannot be
 * built. input is borrowed until this function returns and may be NULL for calls that serve no
 * request. */
void
mf_http_out_start (MfHttpOut *out, const MfCallAction *action, const MfCallInput *input)
{
  Call *call = calloc (1, sizeof *call);
  uint64_t timeout_us = action->timeout_us > 0 ? action->timeout_us : TIMEOUT_US_DEFAULT;

  if (call == NULL)
    abort ();
  call->id = action->call_id;
  call->out = out;
  call->kind = action->kind;
  call->adapter = find_adapter (action);
  ev_timer_init (&call->first_byte_timer, on_first_byte_timeout, (double)timeout_us / 1e6, 0.0);
  call->first_byte_timer.data = call;
  HASH_ADD (hh, out->calls, id, sizeof call->id, call);
  list_push (call_prepare (call, action, input) ? &out->to_add : &out->to_fail, call);
  mf_multi_schedule_deferred (out->multi);
}

static Call *
call_find (MfHttpOut *out, uint64_t call_id)
{
  Call *call = NULL;

  HASH_FIND (hh, out->calls, &call_id, sizeof call_id, call);
  return call;
}

/* Aborts a call and closes its connection. No event of it follows. Ignored for unknown calls. */
void
mf_http_out_abort (MfHttpOut *out, uint64_t call_id)
{
  Call *call = call_find (out, call_id);

  if (call == NULL)
    return;
  call_unlink (call);
  list_push (&out->to_free, call);
  mf_multi_schedule_deferred (out->multi);
}

/* Pauses or resumes reading the call's answer: flow control from a slow caller to its upstream. */
void
mf_http_out_pause_reading (MfHttpOut *out, uint64_t call_id, bool pause_wanted)
{
  Call *call = call_find (out, call_id);

  if (call == NULL || !call->added)
    return;
  list_remove (&out->to_resume_reading, call);
  if (pause_wanted && !call->reading_paused)
    {
      call->reading_paused = true;
      curl_easy_pause (call->easy, CURLPAUSE_RECV);
    }
  else if (!pause_wanted && call->reading_paused)
    {
      list_push (&out->to_resume_reading, call);
      mf_multi_schedule_deferred (out->multi);
    }
}

/* Drops the KV handle that the prefill call of this id returned. */
void
mf_http_out_drop_kv_handle (MfHttpOut *out, uint64_t call_id)
{
  KvHandle *handle = kv_handle_find (out, call_id);

  if (handle == NULL)
    return;
  HASH_DEL (out->kv_handles, handle);
  kv_handle_free (handle);
}

uint32_t
mf_http_out_count (const MfHttpOut *out)
{
  return HASH_COUNT (out->calls);
}

static void
set_limits (MfHttpOut *out)
{
  CURLM *multi = mf_multi_handle (out->multi);

  /* libcurl counts connections in use among its cached ones: with a cache limit below the total
   * limit it would search all of them, and close one, at the end of each call. */
  curl_multi_setopt (multi, CURLMOPT_MAXCONNECTS, (long)out->options.connections_max);
  curl_multi_setopt (multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, (long)out->options.connections_max);
  curl_multi_setopt (multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)out->options.host_connections_max);
}

/* Returns a handle owned by the caller, or NULL with error set. */
MfHttpOut *
mf_http_out_new (struct ev_loop *loop, const MfHttpOutOptions *options, void *data, MfError *error)
{
  static const MfMultiCallbacks multi_hooks = { .on_done = on_done, .on_deferred = on_deferred };
  MfHttpOut *out = calloc (1, sizeof *out);

  if (out == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY,
                    "out of memory while creating the HTTP client for upstreams");
      return NULL;
    }
  out->loop = loop;
  out->options = *options;
  out->data = data;
  if (out->options.answer_bytes_max == 0)
    out->options.answer_bytes_max = ANSWER_BYTES_MAX_DEFAULT;
  if (out->options.connections_max == 0)
    out->options.connections_max = CONNECTIONS_MAX_DEFAULT;
  if (out->options.host_connections_max == 0)
    out->options.host_connections_max = HOST_CONNECTIONS_MAX_DEFAULT;
  out->multi = mf_multi_new (loop, &multi_hooks, out, error);
  if (out->multi == NULL)
    {
      free (out);
      return NULL;
    }
  set_limits (out);
  return out;
}

/* Closes every connection, without events, and frees the handle. Accepts NULL. */
void
mf_http_out_free (MfHttpOut *out)
{
  Call *call;
  Call *next_call;
  KvHandle *handle;

  if (out == NULL)
    return;
  HASH_ITER (hh, out->calls, call, next_call)
  {
    call_unlink (call);
    list_push (&out->to_free, call);
  }
  free_ended (out);
  handle = out->kv_handles;
  HASH_CLEAR (hh, out->kv_handles);
  while (handle != NULL)
    {
      KvHandle *next = handle->hh.next;

      kv_handle_free (handle);
      handle = next;
    }
  mf_multi_free (out->multi);
  free (out);
}
