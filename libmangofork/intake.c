#include "intake.h"

#include "customer.h"

#include <json-c/json.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

/* Bytes of prompt text that are estimated as one token. */
#define BYTES_PER_TOKEN 4
/* Tokens that a chat template adds to each message. */
#define TOKENS_PER_MESSAGE 4
#define MAX_TOKENS_LIMIT 1000000
#define DEADLINE_MS_MAX UINT64_C (86400000) /* 24 h */
#define PIECE_BYTES ((size_t)MF_PIECE_TOKENS * BYTES_PER_TOKEN)
#define UUID_CHARS 36

/* Counts the bytes of a prompt and hashes them in pieces. The hash of a piece covers all pieces
 * before it as well. */
typedef struct
{
  XXH3_state_t *state;
  size_t piece_bytes;
  uint64_t total_bytes;
  uint64_t *hashes;
  uint32_t n_hashes;
} PromptReader;

bool
mf_intake_is_model_path (const char *path, bool *chat)
{
  *chat = strcmp (path, "/v1/chat/completions") == 0;
  return *chat || strcmp (path, "/v1/completions") == 0;
}

static void
prompt_feed (PromptReader *reader, const void *data, size_t data_bytes)
{
  const char *at = data;

  reader->total_bytes += data_bytes;
  while (data_bytes > 0 && reader->n_hashes < MF_PREFIX_HASHES_MAX)
    {
      size_t n = PIECE_BYTES - reader->piece_bytes;

      if (n > data_bytes)
        n = data_bytes;
      XXH3_64bits_update (reader->state, at, n);
      reader->piece_bytes += n;
      at += n;
      data_bytes -= n;
      if (reader->piece_bytes == PIECE_BYTES)
        {
          reader->hashes[reader->n_hashes++] = XXH3_64bits_digest (reader->state);
          reader->piece_bytes = 0;
        }
    }
}

static bool
field_error (MfError *error, const char *field, const char *fault)
{
  mf_error_set (error, MF_CODE_BAD_FIELD, "%s %s", field, fault);
  return false;
}

static void
prompt_feed_string (PromptReader *reader, struct json_object *string)
{
  prompt_feed (reader, json_object_get_string (string),
               (size_t)json_object_get_string_len (string));
}

/* Reads a prompt given as an array of token ids. */
static bool
prompt_feed_tokens (PromptReader *reader, struct json_object *tokens, MfError *error)
{
  size_t n = json_object_array_length (tokens);

  for (size_t i = 0; i < n; i++)
    {
      struct json_object *item = json_object_array_get_idx (tokens, i);
      int32_t token;

      if (!json_object_is_type (item, json_type_int))
        return field_error (error, "prompt", "is an array with an item that is not an integer");
      token = json_object_get_int (item);
      prompt_feed (reader, &token, sizeof token);
    }
  return n > 0 ? true : field_error (error, "prompt", "is empty");
}

static bool
prompt_read (PromptReader *reader, struct json_object *root, MfError *error)
{
  struct json_object *prompt = NULL;

  if (!json_object_object_get_ex (root, "prompt", &prompt))
    return field_error (error, "prompt", "is missing");
  if (json_object_is_type (prompt, json_type_array))
    return prompt_feed_tokens (reader, prompt, error);
  if (!json_object_is_type (prompt, json_type_string))
    return field_error (error, "prompt", "is neither a string nor an array of token ids");
  if (json_object_get_string_len (prompt) == 0)
    return field_error (error, "prompt", "is empty");
  prompt_feed_string (reader, prompt);
  return true;
}

/* Reads the content of one message: a string, or an array of parts of which only the text ones are
 * counted. */
static bool
content_read (PromptReader *reader, struct json_object *content, MfError *error)
{
  if (content == NULL)
    return true;
  if (json_object_is_type (content, json_type_string))
    {
      prompt_feed_string (reader, content);
      return true;
    }
  if (!json_object_is_type (content, json_type_array))
    return field_error (error, "content", "is neither a string nor an array");
  for (size_t i = 0; i < json_object_array_length (content); i++)
    {
      struct json_object *text = NULL;

      if (json_object_object_get_ex (json_object_array_get_idx (content, i), "text", &text)
          && json_object_is_type (text, json_type_string))
        prompt_feed_string (reader, text);
    }
  return true;
}

static bool
messages_read (PromptReader *reader, struct json_object *root, MfError *error)
{
  struct json_object *messages = NULL;
  size_t n;

  if (!json_object_object_get_ex (root, "messages", &messages)
      || !json_object_is_type (messages, json_type_array))
    return field_error (error, "messages", "is missing or not an array");
  n = json_object_array_length (messages);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *message = json_object_array_get_idx (messages, i);
      struct json_object *role = NULL;
      struct json_object *content = NULL;

      if (!json_object_is_type (message, json_type_object)
          || !json_object_object_get_ex (message, "role", &role)
          || !json_object_is_type (role, json_type_string))
        return field_error (error, "messages", "has an item without a string role");
      prompt_feed_string (reader, role);
      json_object_object_get_ex (message, "content", &content);
      if (!content_read (reader, content, error))
        return false;
      reader->total_bytes += (uint64_t)TOKENS_PER_MESSAGE * BYTES_PER_TOKEN;
    }
  return n > 0 ? true : field_error (error, "messages", "is empty");
}

/* Reads the prompt of a completion or the messages of a chat completion. */
static bool
prompt_or_messages_read (struct json_object *root, bool chat, uint64_t *hashes, uint32_t *n_hashes,
                         uint64_t *n_tokens, MfError *error)
{
  PromptReader reader = { .state = XXH3_createState (), .hashes = hashes };
  bool ok;

  if (reader.state == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while reading the prompt");
      return false;
    }
  XXH3_64bits_reset (reader.state);
  ok = chat ? messages_read (&reader, root, error) : prompt_read (&reader, root, error);
  XXH3_freeState (reader.state);
  *n_hashes = reader.n_hashes;
  *n_tokens = (reader.total_bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  return ok;
}

/* Parses a body, which must be one JSON value in UTF-8 with nothing after it. Returns NULL with
 * error set when it is not, or is null. */
static struct json_object *
body_parse (const char *body, size_t body_bytes, MfError *error)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root;
  enum json_tokener_error fault;

  if (tokener == NULL || body_bytes > INT32_MAX)
    {
      json_tokener_free (tokener);
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while parsing the body");
      return NULL;
    }
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  root = json_tokener_parse_ex (tokener, body, (int)body_bytes);
  fault = json_tokener_get_error (tokener);
  if (fault == json_tokener_continue && body_bytes > 0)
    {
      root = json_tokener_parse_ex (tokener, "", 1);
      fault = json_tokener_get_error (tokener);
    }
  if (fault == json_tokener_error_parse_utf8_string)
    mf_error_set (error, MF_CODE_BAD_ENCODING, "the body is not valid UTF-8");
  else if (fault != json_tokener_success)
    mf_error_set (error, MF_CODE_BAD_JSON, "the body is not valid JSON: %s",
                  body_bytes == 0 ? "empty body" : json_tokener_error_desc (fault));
  if (fault != json_tokener_success)
    {
      json_object_put (root);
      root = NULL;
    }
  else if (root == NULL)
    mf_error_set (error, MF_CODE_BAD_FIELD, "the body is null");
  json_tokener_free (tokener);
  return root;
}

static bool
max_tokens_read (struct json_object *root, uint32_t *max_tokens, MfError *error)
{
  struct json_object *value = NULL;
  int64_t number;

  if (!json_object_object_get_ex (root, "max_tokens", &value)
      && !json_object_object_get_ex (root, "max_completion_tokens", &value))
    return true;
  if (value == NULL)
    return true;
  number = json_object_get_int64 (value);
  if (!json_object_is_type (value, json_type_int) || number < 1 || number > MAX_TOKENS_LIMIT)
    return field_error (error, "max_tokens", "is not an integer from 1 to 1000000");
  *max_tokens = (uint32_t)number;
  return true;
}

static bool
stream_read (struct json_object *root, bool *stream, MfError *error)
{
  struct json_object *value = NULL;

  if (!json_object_object_get_ex (root, "stream", &value) || value == NULL)
    return true;
  if (!json_object_is_type (value, json_type_boolean))
    return field_error (error, "stream", "is not a boolean");
  *stream = json_object_get_boolean (value) != 0;
  return true;
}

/* The router returns one choice for each request. A request for several is refused, because the
 * answer would be incomplete. */
static bool
single_answer_check (struct json_object *root, MfError *error)
{
  static const char *const fields[] = { "n", "best_of" };

  for (size_t i = 0; i < MF_ARRAY_LEN (fields); i++)
    {
      struct json_object *value = NULL;

      if (json_object_object_get_ex (root, fields[i], &value) && value != NULL
          && json_object_get_int64 (value) != 1)
        return field_error (error, fields[i], "is not 1; only one choice per request is supported");
    }
  return true;
}

static bool
model_read (struct json_object *root, MfIntake *intake, MfError *error)
{
  struct json_object *model = NULL;

  if (!json_object_is_type (root, json_type_object))
    return field_error (error, "the body", "is not an object");
  if (!json_object_object_get_ex (root, "model", &model)
      || !json_object_is_type (model, json_type_string))
    return field_error (error, "model", "is missing or not a string");
  if (!mf_name_set (intake->model, sizeof intake->model, json_object_get_string (model)))
    return field_error (error, "model", "is too long");
  intake->request.model = intake->model;
  return true;
}

static bool
model_body_read (const MfIntakeSource *source, MfIntake *intake, MfError *error)
{
  MfRequestEvent *request = &intake->request;
  struct json_object *root = body_parse (source->body, source->body_bytes, error);
  uint64_t n_tokens = 0;
  bool ok;

  if (root == NULL)
    return false;
  ok = model_read (root, intake, error) && max_tokens_read (root, &request->max_tokens, error)
       && stream_read (root, &request->stream, error) && single_answer_check (root, error)
       && prompt_or_messages_read (root, intake->chat, request->prefix_hashes,
                                   &request->n_prefix_hashes, &n_tokens, error);
  json_object_put (root);
  request->prompt_tokens = n_tokens > UINT32_MAX ? UINT32_MAX : (uint32_t)n_tokens;
  return ok;
}

/* The body of a request to a plain service is checked only if its content type is JSON. Any JSON
 * value is valid, null included. */
static bool
plain_body_check (const MfIntakeSource *source, MfError *error)
{
  struct json_object *root;
  MfError fault = { 0 };

  if (source->body_bytes == 0 || source->content_type == NULL
      || strncasecmp (source->content_type, "application/json", strlen ("application/json")) != 0)
    return true;
  root = body_parse (source->body, source->body_bytes, &fault);
  json_object_put (root);
  if (root != NULL || fault.code == MF_CODE_BAD_FIELD)
    return true;
  *error = fault;
  return false;
}

static bool
header_error (MfError *error, const char *header, const char *fault)
{
  mf_error_set (error, MF_CODE_BAD_HEADER, "%s %s", header, fault);
  return false;
}

static bool
name_read (const MfIntakeSource *source, MfIntake *intake, MfError *error)
{
  size_t n_bytes = strlen (source->request_name);

  intake->request.name = intake->name;
  for (size_t i = 0; i < n_bytes && i < sizeof intake->name - 1; i++)
    {
      char c = source->request_name[i];

      intake->name[i] = c > ' ' && c < 0x7f ? c : '?';
      if (c != intake->name[i])
        return header_error (error, "X-Request-Id",
                             "contains a space or a character that is not printable ASCII");
    }
  if (n_bytes == 0 || n_bytes >= sizeof intake->name)
    return header_error (error, "X-Request-Id", "is empty or longer than 63 characters");
  return true;
}

static bool
deadline_read (const char *text, MfRequestEvent *request, MfError *error)
{
  char *end;
  unsigned long long ms;

  if (text == NULL)
    return true;
  ms = strtoull (text, &end, 10);
  if (*text < '0' || *text > '9' || *end != '\0' || ms == 0 || ms > DEADLINE_MS_MAX)
    return header_error (error, "Mangofork-Deadline-Ms", "is not an integer from 1 to 86400000");
  request->has_deadline = true;
  request->deadline_us = ms * MF_US_PER_MS;
  return true;
}

static bool
class_read (const char *text, MfRequestEvent *request, MfError *error)
{
  if (text == NULL)
    return true;
  for (int i = 0; i < MF_CLASS_COUNT; i++)
    {
      if (strcmp (text, mf_class_name ((MfClass)i)) == 0)
        {
          request->has_class = true;
          request->class_ = (MfClass)i;
          return true;
        }
    }
  return header_error (error, "Mangofork-Class", "is not one of read, order, summary");
}

static bool
authorization_read (const char *text, MfRequestEvent *request, MfError *error)
{
  static const char scheme[] = "Bearer ";

  if (text == NULL)
    return true;
  if (strncasecmp (text, scheme, sizeof scheme - 1) != 0)
    return header_error (error, "Authorization", "does not use the Bearer scheme");
  text += sizeof scheme - 1;
  while (*text == ' ')
    text++;
  if (*text == '\0')
    return header_error (error, "Authorization", "contains no API key");
  request->has_api_key = true;
  mf_key_digest (text, strlen (text), request->api_key_digest);
  return true;
}

static int
hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  c = (char)(c | 0x20);
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/* Returns the creation time of a UUIDv7 in ms since 1970, or 0 when the key is not a UUIDv7. */
static uint64_t
uuid7_created_ms (const char *key, size_t key_bytes)
{
  uint64_t created_ms = 0;
  int n_digits = 0;

  if (key_bytes != UUID_CHARS || key[14] != '7' || strchr ("89abAB", key[19]) == NULL)
    return 0;
  for (int i = 0; i < UUID_CHARS; i++)
    {
      bool dash = i == 8 || i == 13 || i == 18 || i == 23;

      if (dash ? key[i] != '-' : hex_value (key[i]) < 0)
        return 0;
      if (!dash && n_digits++ < 12)
        created_ms = created_ms << 4 | (uint64_t)hex_value (key[i]);
    }
  return created_ms;
}

/* Reads the idempotency key, quoted or bare. Its digest includes the API key, so that equal keys of
 * different customers are different keys. */
static bool
idempotency_key_read (const char *text, MfRequestEvent *request, MfError *error)
{
  crypto_generichash_state state;
  size_t n_bytes;

  if (text == NULL)
    return true;
  n_bytes = strlen (text);
  if (n_bytes >= 2 && text[0] == '"' && text[n_bytes - 1] == '"')
    {
      text++;
      n_bytes -= 2;
    }
  if (n_bytes == 0 || n_bytes > MF_IDEMPOTENCY_KEY_BYTES_MAX)
    {
      mf_error_set (error, MF_CODE_KEY_BAD,
                    "Idempotency-Key is empty or longer than 255 characters");
      return false;
    }
  request->has_idempotency_key = true;
  request->key_created_ms = uuid7_created_ms (text, n_bytes);
  crypto_generichash_init (&state, NULL, 0, MF_DIGEST_BYTES);
  crypto_generichash_update (&state, request->api_key_digest, MF_DIGEST_BYTES);
  crypto_generichash_update (&state, (const unsigned char *)text, n_bytes);
  crypto_generichash_final (&state, request->key_digest, MF_DIGEST_BYTES);
  return true;
}

/* Refuses dot segments and encoded separators: after normalization by the upstream, such a path
 * could belong to another service than the one it was routed to. */
static bool
path_check (const char *path, MfError *error)
{
  size_t n_bytes = strlen (path);

  if (path[0] == '/' && strstr (path, "/../") == NULL && strstr (path, "/./") == NULL
      && strcasestr (path, "%2e") == NULL && strcasestr (path, "%2f") == NULL
      && (n_bytes < 2 || strcmp (path + n_bytes - 2, "/.") != 0)
      && (n_bytes < 3 || strcmp (path + n_bytes - 3, "/..") != 0))
    return true;
  return field_error (error, "the path", "contains dot segments or encoded separators");
}

static bool
method_check (const char *method, bool is_model, MfError *error)
{
  static const char *const plain_methods[] = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };

  if (is_model && strcmp (method, "POST") == 0)
    return true;
  for (size_t i = 0; !is_model && i < MF_ARRAY_LEN (plain_methods); i++)
    {
      if (strcmp (method, plain_methods[i]) == 0)
        return true;
    }
  mf_error_set (error, MF_CODE_BAD_METHOD, "the method is not supported on this path");
  return false;
}

bool
mf_intake_read (const MfIntakeSource *source, uint64_t request_id, MfIntake *intake, MfError *error)
{
  MfRequestEvent *request = &intake->request;
  bool is_model;

  *intake = (MfIntake){
    .request = { .request_id = request_id, .path = source->path, .method = source->method }
  };
  is_model = mf_intake_is_model_path (source->path, &intake->chat);
  if (!name_read (source, intake, error) || !path_check (source->path, error)
      || !method_check (source->method, is_model, error)
      || !deadline_read (source->deadline_ms, request, error)
      || !class_read (source->class_, request, error)
      || !authorization_read (source->authorization, request, error)
      || !idempotency_key_read (source->idempotency_key, request, error))
    return false;
  if (is_model ? !model_body_read (source, intake, error) : !plain_body_check (source, error))
    return false;
  request->digest = XXH3_64bits_withSeed (
      source->body, source->body_bytes,
      XXH3_64bits_withSeed (source->path, strlen (source->path),
                            XXH3_64bits (source->method, strlen (source->method))));
  return true;
}

uint32_t
mf_intake_prefix_hashes (const char *body, size_t body_bytes, uint64_t hashes[MF_PREFIX_HASHES_MAX])
{
  MfError error = { 0 };
  struct json_object *root = body_parse (body, body_bytes, &error);
  struct json_object *messages = NULL;
  uint32_t n_hashes = 0;
  uint64_t n_tokens = 0;

  if (root == NULL)
    return 0;
  if (json_object_is_type (root, json_type_object)
      && !prompt_or_messages_read (root, json_object_object_get_ex (root, "messages", &messages),
                                   hashes, &n_hashes, &n_tokens, &error))
    n_hashes = 0;
  json_object_put (root);
  return n_hashes;
}
