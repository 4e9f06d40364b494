#include "adapter.h"
#include "buffer.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limit of one line of a stream. */
#define LINE_BYTES_MAX ((size_t)1024 * 1024)
#define CACHE_EVENTS_MAX 4096
#define ATTEMPT_ID_BYTES 160

/* State for parsing one answer of an engine. */
typedef struct
{
  MfCallKind kind;
  uint32_t upstream;
  MfCallEventFunc on_event;
  MfUpstreamEventFunc on_report;
  void *data;
  MfBuffer body; /* of an answer that is not streamed */
  MfBuffer line; /* start of a line whose end has not arrived */
  MfBuffer text; /* of the tokens found in the bytes being parsed */
  uint32_t next_index;
  uint32_t n_tokens; /* in text */
  bool imported;
  bool finished;  /* a finish reason has arrived */
  bool done;      /* the line data: [DONE] has arrived */
  bool has_error; /* the stream contained an error */
  char *kv_handle;
} EngineAnswer;

static void
buffer_drop_all (MfBuffer *buffer)
{
  mf_buffer_consume (buffer, mf_buffer_bytes (buffer));
}

static bool
kind_streams (MfCallKind kind)
{
  return kind == MF_CALL_DECODE || kind == MF_CALL_RESUME;
}

/* Writes the request id under which an engine knows one attempt at a request. */
static void
attempt_id (char *id, const MfInstanceId *owner, uint64_t request_id, uint32_t attempt)
{
  snprintf (id, ATTEMPT_ID_BYTES, "%s:%" PRIx64 ":%" PRIu64 ":%" PRIu32, owner->name,
            owner->incarnation, request_id, attempt);
}

static json_object *
parse_object (const char *text, size_t text_bytes)
{
  json_tokener *tokener = json_tokener_new ();
  json_object *object = NULL;

  if (tokener == NULL || text == NULL || text_bytes > INT32_MAX)
    {
      json_tokener_free (tokener);
      return NULL;
    }
  object = json_tokener_parse_ex (tokener, text, (int)text_bytes);
  if (object == NULL && json_tokener_get_error (tokener) == json_tokener_continue)
    object = json_tokener_parse_ex (tokener, "", 1);
  json_tokener_free (tokener);
  if (!json_object_is_type (object, json_type_object))
    {
      json_object_put (object);
      return NULL;
    }
  return object;
}

/* Unescapes the delivered text, by parsing it as a JSON string. */
static json_object *
delivered_string (const MfCallInput *input)
{
  MfBuffer quoted = { 0 };
  json_object *string = NULL;

  mf_buffer_add (&quoted, "\"", 1);
  mf_buffer_add (&quoted, input->delivered, input->delivered_bytes);
  mf_buffer_add (&quoted, "\"", 2);
  if (!quoted.failed)
    string = json_tokener_parse (mf_buffer_data (&quoted));
  mf_buffer_clear (&quoted);
  return string;
}

static void
add_resume (json_object *body, const MfCallAction *call, const MfCallInput *input)
{
  json_object *resume;

  if (call->from_token == 0)
    return;
  resume = json_object_new_object ();
  json_object_object_add (resume, "text", delivered_string (input));
  json_object_object_add (resume, "from_token", json_object_new_int64 (call->from_token));
  json_object_object_add (body, "mangofork_resume", resume);
}

static void
add_prefill (json_object *body)
{
  json_object *transfer = json_object_new_object ();

  json_object_object_add (transfer, "do_remote_decode", json_object_new_boolean (true));
  json_object_object_add (body, "max_tokens", json_object_new_int (1));
  json_object_object_add (body, "stream", json_object_new_boolean (false));
  json_object_object_del (body, "stream_options");
  json_object_object_add (body, "kv_transfer_params", transfer);
}

/* When the caller set no limit, the engine applies its own. */
static void
add_max_tokens (json_object *body, const MfCallAction *call)
{
  if (call->max_tokens > 0)
    json_object_object_add (body, "max_tokens", json_object_new_int64 (call->max_tokens));
}

static bool
add_decode (json_object *body, const MfCallAction *call, const MfCallInput *input)
{
  json_object *transfer = parse_object (input->kv_handle, input->kv_handle_bytes);

  if (transfer == NULL)
    return false;
  add_max_tokens (body, call);
  json_object_object_add (body, "stream", json_object_new_boolean (true));
  json_object_object_add (body, "kv_transfer_params", transfer);
  return true;
}

/* Returns the caller's body with the fields for disaggregated prefill and decode added. NULL when
 * the body or the KV handle is not a JSON object. */
static json_object *
completion_body (const MfCallAction *call, const MfCallInput *input)
{
  json_object *body = parse_object (input->body, input->body_bytes);
  char salt[24];

  if (body == NULL)
    return NULL;
  snprintf (salt, sizeof salt, "%016" PRIx64, call->cache_salt);
  json_object_object_del (body, "max_completion_tokens");
  json_object_object_add (body, "priority", json_object_new_int64 (call->priority));
  json_object_object_add (body, "cache_salt", json_object_new_string (salt));
  add_resume (body, call, input);
  if (call->kind == MF_CALL_PREFILL)
    add_prefill (body);
  else if (!add_decode (body, call, input))
    {
      json_object_put (body);
      return NULL;
    }
  return body;
}

static json_object *
string_body (const char *key, const char *value)
{
  json_object *body = json_object_new_object ();

  json_object_object_add (body, key, json_object_new_string (value));
  return body;
}

static json_object *
attempt_body (const MfCallAction *call, const MfInstanceId *self)
{
  char id[ATTEMPT_ID_BYTES];
  json_object *body;

  attempt_id (id, self, call->request_id, call->target_attempt);
  body = string_body ("rid", id);
  if (call->kind == MF_CALL_RESUME)
    {
      json_object_object_add (body, "from_token", json_object_new_int64 (call->from_token));
      add_max_tokens (body, call);
    }
  return body;
}

static json_object *
owner_body (const MfCallAction *call)
{
  char owner[ATTEMPT_ID_BYTES];

  snprintf (owner, sizeof owner, "%s:%" PRIx64, call->owner.name, call->owner.incarnation);
  return string_body ("owner", owner);
}

/* Path of each kind of order and the body field of its value. */
static const struct
{
  const char *path;
  const char *field;
} orders[] = {
  [MF_ORDER_MODEL] = { "/v1/load_model", "model" },
  [MF_ORDER_ADAPTER] = { "/v1/load_lora_adapter", "lora_name" },
  [MF_ORDER_VERSION] = { "/v1/load_version", "version" },
  [MF_ORDER_ROLE] = { "/v1/role", "role" },
};

static const char *
call_path (const MfCallAction *call, const MfCallInput *input)
{
  switch (call->kind)
    {
    case MF_CALL_RESUME:
      return "/v1/resume";
    case MF_CALL_CANCEL:
    case MF_CALL_CANCEL_OWNER:
      return "/abort_request";
    case MF_CALL_ORDER:
      return orders[call->order].path;
    default:
      return input->path;
    }
}

static json_object *
call_body (const MfCallAction *call, const MfCallInput *input, const MfInstanceId *self)
{
  switch (call->kind)
    {
    case MF_CALL_PREFILL:
    case MF_CALL_DECODE:
      return completion_body (call, input);
    case MF_CALL_RESUME:
    case MF_CALL_CANCEL:
      return attempt_body (call, self);
    case MF_CALL_CANCEL_OWNER:
      return owner_body (call);
    case MF_CALL_ORDER:
      return string_body (orders[call->order].field, call->order_value);
    default:
      return NULL;
    }
}

static bool
set_headers (MfHttpRequest *request, const MfCallAction *call, const MfInstanceId *self)
{
  char id[ATTEMPT_ID_BYTES];
  char fence[48] = "";

  attempt_id (id, self, call->request_id, call->attempt);
  if (call->kind == MF_CALL_ORDER && call->fence > 0)
    snprintf (fence, sizeof fence, "X-Fence: %" PRIu64 "\n", call->fence);
  return asprintf (&request->headers, "Content-Type: application/json\nX-Request-Id: %s\n%s", id,
                   fence)
         >= 0;
}

static bool
set_url (MfHttpRequest *request, const MfCallAction *call, const MfCallInput *input)
{
  if (call->kind == MF_CALL_LOAD)
    return asprintf (&request->url, "http://%s/load?after=%" PRIu64, call->address,
                     call->cache_after)
           >= 0;
  return asprintf (&request->url, "http://%s%s", call->address, call_path (call, input)) >= 0;
}

static bool
set_body (MfHttpRequest *request, json_object *body)
{
  size_t n = 0;
  const char *text = json_object_to_json_string_length (body, JSON_C_TO_STRING_NOSLASHESCAPE, &n);

  request->body = text != NULL ? strdup (text) : NULL;
  request->body_bytes = n;
  return request->body != NULL;
}

static bool
openai_build (const MfCallAction *call, const MfCallInput *input, const MfInstanceId *self,
              MfHttpRequest *request, MfError *error)
{
  bool has_body = call->kind != MF_CALL_LOAD;
  json_object *body = call_body (call, input, self);
  bool ok = has_body == (body != NULL);

  *request = (MfHttpRequest){ .method = has_body ? "POST" : "GET" };
  ok = ok && (!has_body || set_body (request, body)) && set_url (request, call, input)
       && set_headers (request, call, self);
  json_object_put (body);
  if (!ok)
    {
      mf_http_request_clear (request);
      mf_error_set (error, MF_CODE_BAD_FIELD,
                    "cannot build the request to the engine: invalid body, missing KV handle, or "
                    "out of memory");
    }
  return ok;
}

static void *
openai_begin (const MfCallAction *call, MfCallEventFunc on_event, MfUpstreamEventFunc on_report,
              void *data)
{
  EngineAnswer *answer = calloc (1, sizeof *answer);

  if (answer == NULL)
    return NULL;
  answer->kind = call->kind;
  answer->upstream = call->upstream;
  answer->next_index = call->from_token;
  answer->on_event = on_event;
  answer->on_report = on_report;
  answer->data = data;
  return answer;
}

/* Returns the position after a quoted key and its colon, or NULL. Quotes inside a JSON string are
 * escaped, so the key is never found in the middle of a string. */
static const char *
value_after_key (const char *data, const char *end, const char *key, size_t key_bytes)
{
  const char *at = memmem (data, (size_t)(end - data), key, key_bytes);

  if (at == NULL)
    return NULL;
  at += key_bytes;
  while (at < end && *at == ' ')
    at++;
  return at;
}

#define VALUE_AFTER_KEY(data, end, key)                                                            \
  value_after_key (data, end, "\"" key "\":", sizeof ("\"" key "\":") - 1)

/* Returns the closing quote of the JSON string whose first byte is at data, or NULL. A quote after
 * an odd number of backslashes is escaped. */
static const char *
string_end (const char *data, const char *end)
{
  for (const char *at = data; at < end; at++)
    {
      at = memchr (at, '"', (size_t)(end - at));
      if (at == NULL)
        return NULL;
      size_t n_slashes = 0;

      while (at - n_slashes > data && at[-1 - (ptrdiff_t)n_slashes] == '\\')
        n_slashes++;
      if (n_slashes % 2 == 0)
        return at;
    }
  return NULL;
}

/* Returns the text of a token: `text` of a completion or `content` of a chat delta. */
static const char *
token_text (const char *data, const char *end, size_t *text_bytes)
{
  const char *text = VALUE_AFTER_KEY (data, end, "text");
  const char *close;

  if (text == NULL)
    text = VALUE_AFTER_KEY (data, end, "content");
  if (text == NULL || text >= end || *text != '"')
    return NULL;
  close = string_end (text + 1, end);
  if (close == NULL)
    return NULL;
  *text_bytes = (size_t)(close - text) - 1;
  return text + 1;
}

static bool
feed_chunk (EngineAnswer *answer, const char *data, const char *end)
{
  size_t n = 0;
  const char *text = token_text (data, end, &n);
  const char *reason = VALUE_AFTER_KEY (data, end, "finish_reason");

  if (reason != NULL && reason < end && *reason == '"')
    answer->finished = true;
  if (text == NULL && VALUE_AFTER_KEY (data, end, "error") != NULL)
    answer->has_error = true;
  if (n == 0)
    return true;
  answer->n_tokens++;
  mf_buffer_add (&answer->text, text, n);
  return !answer->text.failed;
}

static bool
line_is (const char *line, const char *end, const char *word)
{
  size_t n = strlen (word);

  return (size_t)(end - line) == n && memcmp (line, word, n) == 0;
}

static bool
feed_line (EngineAnswer *answer, const char *line, const char *end)
{
  if (end > line && end[-1] == '\r')
    end--;
  if (line_is (line, end, ": imported") && !answer->imported)
    {
      answer->imported = true;
      answer->on_event (MF_EVENT_CALL_IMPORTED, &(MfCallEvent){ 0 }, answer->data);
    }
  if (end - line < 5 || memcmp (line, "data:", 5) != 0)
    return true;
  line += 5;
  while (line < end && *line == ' ')
    line++;
  if (line_is (line, end, "[DONE]"))
    {
      answer->done = true;
      return true;
    }
  return feed_chunk (answer, line, end);
}

/* Emits the tokens found in the bytes being parsed as one event. */
static void
emit_tokens (EngineAnswer *answer)
{
  MfCallEvent event = {
    .first_index = answer->next_index,
    .n_tokens = answer->n_tokens,
    .data = mf_buffer_data (&answer->text),
    .data_bytes = mf_buffer_bytes (&answer->text),
  };

  if (answer->n_tokens == 0)
    return;
  answer->next_index += answer->n_tokens;
  answer->n_tokens = 0;
  answer->on_event (MF_EVENT_CALL_TOKENS, &event, answer->data);
  buffer_drop_all (&answer->text);
}

/* Parses a line whose start arrived earlier. */
static bool
feed_line_end (EngineAnswer *answer, const char *data, const char *newline)
{
  const char *line;
  bool ok;

  mf_buffer_add (&answer->line, data, (size_t)(newline - data));
  line = mf_buffer_data (&answer->line);
  ok = !answer->line.failed && feed_line (answer, line, line + mf_buffer_bytes (&answer->line));
  buffer_drop_all (&answer->line);
  return ok;
}

static bool
feed_stream (EngineAnswer *answer, const char *data, size_t data_bytes)
{
  const char *end = data + data_bytes;
  const char *newline;

  while (data < end && (newline = memchr (data, '\n', (size_t)(end - data))) != NULL)
    {
      bool complete = mf_buffer_bytes (&answer->line) == 0;

      if (!(complete ? feed_line (answer, data, newline) : feed_line_end (answer, data, newline)))
        return false;
      data = newline + 1;
    }
  emit_tokens (answer);
  mf_buffer_add (&answer->line, data, (size_t)(end - data));
  return !answer->line.failed && mf_buffer_bytes (&answer->line) <= LINE_BYTES_MAX;
}

static bool
openai_feed (void *state, const char *data, size_t data_bytes, MfError *error)
{
  EngineAnswer *answer = state;
  bool ok;

  if (kind_streams (answer->kind))
    ok = feed_stream (answer, data, data_bytes);
  else
    {
      mf_buffer_add (&answer->body, data, data_bytes);
      ok = !answer->body.failed;
    }
  if (!ok)
    mf_error_set (error, MF_CODE_UPSTREAM_ERROR,
                  "engine answer has a line longer than 1 MiB, or out of memory");
  return ok;
}

static uint64_t
get_u64 (json_object *object, const char *key)
{
  json_object *value = json_object_object_get (object, key);

  return value == NULL ? 0 : json_object_get_uint64 (value);
}

static uint32_t
get_u32 (json_object *object, const char *key)
{
  uint64_t value = get_u64 (object, key);

  return value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

static const char *
get_string (json_object *object, const char *key)
{
  json_object *value = json_object_object_get (object, key);

  return json_object_is_type (value, json_type_string) ? json_object_get_string (value) : "";
}

static MfRole
role_from (const char *name)
{
  for (MfRole role = 0; role < MF_ROLE_COUNT; role++)
    {
      if (strcmp (name, mf_role_name (role)) == 0)
        return role;
    }
  return MF_ROLE_COUNT;
}

static void
report_cache (EngineAnswer *answer, json_object *cache, uint64_t incarnation)
{
  json_object *events = json_object_object_get (cache, "events");
  MfEvent event = { .type = MF_EVENT_CACHE };
  size_t n;
  uint64_t *hashes;
  bool *stored;

  if (!json_object_is_type (events, json_type_array))
    return;
  n = json_object_array_length (events);
  n = n > CACHE_EVENTS_MAX ? CACHE_EVENTS_MAX : n;
  hashes = calloc (n + 1, sizeof *hashes);
  stored = calloc (n + 1, sizeof *stored);
  for (size_t i = 0; hashes != NULL && stored != NULL && i < n; i++)
    {
      json_object *row = json_object_array_get_idx (events, i);

      if (!json_object_is_type (row, json_type_array) || json_object_array_length (row) != 2)
        continue;
      hashes[i] = strtoull (json_object_get_string (json_object_array_get_idx (row, 0)), NULL, 16);
      stored[i] = json_object_get_boolean (json_object_array_get_idx (row, 1));
    }
  event.cache.upstream = answer->upstream;
  event.cache.incarnation = incarnation;
  event.cache.first = get_u64 (cache, "first");
  event.cache.n = (uint32_t)n;
  event.cache.hashes = hashes;
  event.cache.stored = stored;
  if (n > 0 && hashes != NULL && stored != NULL)
    answer->on_report (&event, answer->data);
  free (hashes);
  free (stored);
}

static bool
report_load (EngineAnswer *answer, json_object *report, uint64_t now_us)
{
  uint64_t age_us = get_u64 (report, "age_ms") * MF_US_PER_MS;
  MfEvent event = {
    .type = MF_EVENT_LOAD,
    .load = {
      .upstream = answer->upstream,
      .incarnation = get_u64 (report, "incarnation"),
      .measured_us = age_us < now_us ? now_us - age_us : 0,
      .slots_total = get_u32 (report, "slots_total"),
      .slots_used = get_u32 (report, "slots_used"),
      .queued = get_u32 (report, "queued"),
      .pieces_total = get_u32 (report, "pieces_total"),
      .pieces_free = get_u32 (report, "pieces_free"),
      .prefill_tokens_queued = get_u64 (report, "prefill_tokens_queued"),
      .leaving = json_object_get_boolean (json_object_object_get (report, "leaving")),
      .role = role_from (get_string (report, "role")),
      .loading = json_object_get_boolean (json_object_object_get (report, "loading")),
      .fence_seen = get_u64 (report, "fence_seen"),
    },
  };

  if (event.load.role == MF_ROLE_COUNT)
    return false;
  mf_name_set (event.load.model, sizeof event.load.model, get_string (report, "model"));
  mf_name_set (event.load.adapter, sizeof event.load.adapter, get_string (report, "adapter"));
  mf_name_set (event.load.version, sizeof event.load.version, get_string (report, "version"));
  answer->on_report (&event, answer->data);
  report_cache (answer, json_object_object_get (report, "cache"), event.load.incarnation);
  return true;
}

static void
emit_end (EngineAnswer *answer, bool done, uint16_t status)
{
  answer->on_event (done ? MF_EVENT_CALL_DONE : MF_EVENT_CALL_FAILED,
                    &(MfCallEvent){ .status = status, .stopped = done && answer->finished },
                    answer->data);
}

static void
end_prefill (EngineAnswer *answer, uint16_t status, uint64_t now_us)
{
  json_object *body
      = parse_object (mf_buffer_data (&answer->body), mf_buffer_bytes (&answer->body));
  json_object *transfer = json_object_object_get (body, "kv_transfer_params");
  MfCallEvent event = { .status = status };

  if (status == 200 && json_object_is_type (transfer, json_type_object))
    answer->kv_handle
        = strdup (json_object_to_json_string_ext (transfer, JSON_C_TO_STRING_NOSLASHESCAPE));
  if (answer->kv_handle != NULL)
    {
      event.kv_bytes = get_u64 (transfer, "kv_bytes");
      event.expires_us = now_us + get_u64 (transfer, "life_ms") * MF_US_PER_MS;
      answer->on_event (MF_EVENT_CALL_PREFILLED, &event, answer->data);
    }
  else
    emit_end (answer, false, status);
  json_object_put (body);
}

static void
end_load (EngineAnswer *answer, uint16_t status, uint64_t now_us)
{
  json_object *report
      = parse_object (mf_buffer_data (&answer->body), mf_buffer_bytes (&answer->body));
  bool ok = status == 200 && report != NULL && report_load (answer, report, now_us);

  json_object_put (report);
  emit_end (answer, ok, status);
}

static void
openai_end (void *state, uint16_t status, bool complete, uint64_t now_us)
{
  EngineAnswer *answer = state;

  if (kind_streams (answer->kind))
    emit_end (answer, status == 200 && answer->done && !answer->has_error, status);
  else if (!complete)
    emit_end (answer, false, status);
  else if (answer->kind == MF_CALL_PREFILL)
    end_prefill (answer, status, now_us);
  else if (answer->kind == MF_CALL_LOAD)
    end_load (answer, status, now_us);
  else if (answer->kind == MF_CALL_ORDER)
    emit_end (answer, status < 500, status);
  else
    emit_end (answer, status == 200 || status == 404, status);
}

static void
openai_release (void *state)
{
  EngineAnswer *answer = state;

  mf_buffer_clear (&answer->body);
  mf_buffer_clear (&answer->line);
  mf_buffer_clear (&answer->text);
  free (answer->kv_handle);
  free (answer);
}

static const char *
openai_kv_handle (const void *state, size_t *handle_bytes)
{
  const EngineAnswer *answer = state;

  *handle_bytes = answer->kv_handle == NULL ? 0 : strlen (answer->kv_handle);
  return answer->kv_handle;
}

const MfEngineAdapter mf_openai_adapter = {
  .name = "openai",
  .build = openai_build,
  .begin = openai_begin,
  .feed = openai_feed,
  .end = openai_end,
  .release = openai_release,
  .kv_handle = openai_kv_handle,
};
