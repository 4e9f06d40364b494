#include "platform.h"

#include "buffer.h"
#include "clock.h"
#include "multi.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Longest time that a blocking read lets the platform wait, and time allowed for the response. */
#define BLOCKING_WAIT_S 50
#define ANSWER_TIMEOUT_S 10
#define CONNECT_TIMEOUT_MS 3000
/* Base64 makes a text of MF_TEXT_BYTES_MAX longer by a third. */
#define ANSWER_BYTES_MAX (2 * (size_t)MF_CONFIG_TEXT_BYTES_MAX)
#define PATH_BYTES 256
#define TOKEN_BYTES 256
#define INDEX_HEADER "X-Consul-Index:"

typedef enum
{
  READ_TEXT,
  READ_LIST,
  READ_COUNT,
} ReadKind;

/* One read. There is at most one of each kind at a time. */
typedef struct
{
  MfPlatform *platform;
  ReadKind kind;
  CURL *easy; /* NULL when no read is in progress */
  struct curl_slist *headers;
  MfBuffer body;
  uint64_t index;    /* of the response */
  bool start_failed; /* to be reported from the event loop */
} Read;

struct MfPlatform
{
  const MfSettings *settings;
  const MfPlatformBackend *backend;
  void (*on_event) (const MfEvent *event, void *data);
  void *data;
  MfMulti *multi;
  Read reads[READ_COUNT];
  uint64_t n_reads;
};

static void
emit (MfPlatform *platform, MfEvent *event)
{
  event->now_us = mf_clock_now_us ();
  event->wall_ms = mf_clock_wall_ms ();
  platform->on_event (event, platform->data);
}

static void
emit_failed (MfPlatform *platform, ReadKind kind)
{
  MfEvent event = {
    .type = MF_EVENT_PLATFORM_FAILED,
    .platform_failed = { .text = kind == READ_TEXT, .list = kind == READ_LIST },
  };

  emit (platform, &event);
}

static void
read_stop (Read *read)
{
  if (read->easy != NULL)
    {
      mf_multi_remove (read->platform->multi, read->easy);
      curl_easy_cleanup (read->easy);
    }
  curl_slist_free_all (read->headers);
  mf_buffer_clear (&read->body);
  read->easy = NULL;
  read->headers = NULL;
  read->index = 0;
  read->start_failed = false;
}

static size_t
on_header (char *line, size_t size, size_t n, void *data)
{
  Read *read = data;
  char number[24] = "";
  size_t skip = sizeof INDEX_HEADER - 1;

  if (size * n > skip && strncasecmp (line, INDEX_HEADER, skip) == 0)
    {
      size_t digits = size * n - skip;

      memcpy (number, line + skip, digits < sizeof number ? digits : sizeof number - 1);
      read->index = strtoull (number, NULL, 10);
    }
  return size * n;
}

static size_t
on_body (char *data, size_t size, size_t n, void *userdata)
{
  Read *read = userdata;

  mf_buffer_add (&read->body, data, size * n);
  return read->body.failed || mf_buffer_bytes (&read->body) > ANSWER_BYTES_MAX ? 0 : size * n;
}

/* Adds the header with the access token. The token file is read for each request, so that it can be
 * changed without a restart. */
static bool
token_header_add (Read *read)
{
  const char *path = read->platform->settings->platform_token_file;
  char header[TOKEN_BYTES + 32] = "X-Consul-Token: ";
  size_t at = strlen (header);
  FILE *file;

  if (*path == '\0')
    return true;
  file = fopen (path, "r");
  if (file == NULL)
    return false;
  if (fgets (header + at, TOKEN_BYTES, file) != NULL)
    header[strcspn (header, "\r\n")] = '\0';
  fclose (file);
  read->headers = curl_slist_append (NULL, header);
  return read->headers != NULL;
}

static bool
read_submit (Read *read, uint64_t index)
{
  const MfPlatform *platform = read->platform;
  const MfPlatformBackend *backend = platform->backend;
  char path[PATH_BYTES];
  char url[PATH_BYTES + MF_ADDRESS_BYTES + 8];
  bool ok = read->kind == READ_TEXT
                ? backend->text_path (platform->settings, index, path, PATH_BYTES)
                : backend->list_path (platform->settings, index, path, PATH_BYTES);

  read->easy = curl_easy_init ();
  if (!ok || read->easy == NULL || !token_header_add (read))
    return false;
  snprintf (url, sizeof url, "http://%s%s", platform->settings->platform, path);
  mf_multi_set_common (read->easy);
  curl_easy_setopt (read->easy, CURLOPT_URL, url);
  curl_easy_setopt (read->easy, CURLOPT_HTTPHEADER, read->headers);
  curl_easy_setopt (read->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (read->easy, CURLOPT_TIMEOUT,
                    (long)(index == 0 ? ANSWER_TIMEOUT_S : BLOCKING_WAIT_S + ANSWER_TIMEOUT_S));
  curl_easy_setopt (read->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (read->easy, CURLOPT_HEADERDATA, read);
  curl_easy_setopt (read->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (read->easy, CURLOPT_WRITEDATA, read);
  curl_easy_setopt (read->easy, CURLOPT_PRIVATE, read);
  return mf_multi_add (platform->multi, read->easy);
}

/* Starts a read. A failure is reported later, from the event loop. */
static void
read_start (MfPlatform *platform, ReadKind kind, uint64_t index)
{
  Read *read = &platform->reads[kind];

  read_stop (read);
  platform->n_reads++;
  if (read_submit (read, index))
    return;
  read_stop (read);
  read->start_failed = true;
  mf_multi_schedule_deferred (platform->multi);
}

/* Parses a complete response and emits its event. Returns false when it is malformed. */
static bool
answer_deliver (Read *read)
{
  MfPlatform *platform = read->platform;
  const char *body = mf_buffer_data (&read->body);
  size_t body_bytes = mf_buffer_bytes (&read->body);
  void *memory = NULL;
  MfError error = { 0 };
  MfEvent event
      = { .type = read->kind == READ_TEXT ? MF_EVENT_PLATFORM_TEXT : MF_EVENT_PLATFORM_LIST };
  bool ok;

  if (read->kind == READ_TEXT)
    ok = platform->backend->parse_text (body, body_bytes, read->index, &event.text, &memory,
                                        &error);
  else
    ok = platform->backend->parse_list (body, body_bytes, read->index, &event.list, &memory,
                                        &error);
  read_stop (read);
  if (ok)
    emit (platform, &event);
  free (memory);
  return ok;
}

static void
on_done (CURL *easy, CURLcode result, void *data)
{
  MfPlatform *platform = data;
  Read *read;
  ReadKind kind;
  long status = 0;

  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&read);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  kind = read->kind;
  if (result == CURLE_OK && status == 200 && answer_deliver (read))
    return;
  read_stop (read);
  emit_failed (platform, kind);
}

/* Reports the reads that could not be started. */
static void
on_deferred (void *data)
{
  MfPlatform *platform = data;

  for (ReadKind kind = 0; kind < READ_COUNT; kind++)
    {
      if (!platform->reads[kind].start_failed)
        continue;
      platform->reads[kind].start_failed = false;
      emit_failed (platform, kind);
    }
}

/* Returns NULL with error set. on_event gets MF_EVENT_PLATFORM_TEXT, MF_EVENT_PLATFORM_LIST and
 * MF_EVENT_PLATFORM_FAILED, never from within a function of this module. settings is borrowed. */
MfPlatform *
mf_platform_new (struct ev_loop *loop, const MfSettings *settings,
                 void (*on_event) (const MfEvent *event, void *data), void *data, MfError *error)
{
  static const MfMultiHooks hooks = { .on_done = on_done, .on_deferred = on_deferred };
  MfPlatform *platform = calloc (1, sizeof *platform);

  if (platform == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the platform client");
      return NULL;
    }
  platform->settings = settings;
  platform->backend = &mf_platform_consul;
  platform->on_event = on_event;
  platform->data = data;
  platform->multi = mf_multi_new (loop, &hooks, platform, error);
  if (platform->multi == NULL)
    {
      free (platform);
      return NULL;
    }
  for (ReadKind kind = 0; kind < READ_COUNT; kind++)
    platform->reads[kind] = (Read){ .platform = platform, .kind = kind };
  return platform;
}

/* Accepts NULL. */
void
mf_platform_free (MfPlatform *platform)
{
  if (platform == NULL)
    return;
  for (ReadKind kind = 0; kind < READ_COUNT; kind++)
    read_stop (&platform->reads[kind]);
  mf_multi_free (platform->multi);
  free (platform);
}

/* Starts a read of the operators' text and cancels one that is in progress. */
void
mf_platform_read_text (MfPlatform *platform, uint64_t index)
{
  read_start (platform, READ_TEXT, index);
}

/* Starts a read of the list of instances and cancels one that is in progress. */
void
mf_platform_read_list (MfPlatform *platform, uint64_t index)
{
  read_start (platform, READ_LIST, index);
}

/* Returns the number of reads started so far. A blocking read counts once. */
uint64_t
mf_platform_n_reads (const MfPlatform *platform)
{
  return platform->n_reads;
}

static bool
consul_path (const char *base, const char *name, uint64_t index, char *path, size_t path_bytes)
{
  int n;

  if (index == 0)
    n = snprintf (path, path_bytes, "%s%s", base, name);
  else
    n = snprintf (path, path_bytes, "%s%s?index=%" PRIu64 "&wait=%ds", base, name, index,
                  BLOCKING_WAIT_S);
  return n > 0 && (size_t)n < path_bytes;
}

static bool
consul_text_path (const MfSettings *settings, uint64_t index, char *path, size_t path_bytes)
{
  return consul_path ("/v1/kv/", settings->platform_text_key, index, path, path_bytes);
}

static bool
consul_list_path (const MfSettings *settings, uint64_t index, char *path, size_t path_bytes)
{
  return consul_path ("/v1/health/service/", settings->platform_service, index, path, path_bytes);
}

/* Parses a JSON array. Returns NULL with error set when the body is not one. */
static json_object *
parse_array (const char *body, size_t body_bytes, MfError *error)
{
  json_tokener *tokener = json_tokener_new ();
  json_object *array = tokener == NULL || body_bytes > ANSWER_BYTES_MAX
                           ? NULL
                           : json_tokener_parse_ex (tokener, body, (int)body_bytes);

  json_tokener_free (tokener);
  if (json_object_is_type (array, json_type_array))
    return array;
  json_object_put (array);
  mf_error_set (error, MF_CODE_PLATFORM_DOWN, "the platform's response is not a JSON array");
  return NULL;
}

static const char *
get_string (json_object *object, const char *key)
{
  json_object *value = json_object_object_get (object, key);

  return json_object_is_type (value, json_type_string) ? json_object_get_string (value) : "";
}

/* The value of a key is in base64. ModifyIndex increases with each write and is the revision. */
static bool
consul_parse_text (const char *body, size_t body_bytes, uint64_t index, MfPlatformTextEvent *text,
                   void **memory, MfError *error)
{
  json_object *rows = parse_array (body, body_bytes, error);
  json_object *row = rows == NULL ? NULL : json_object_array_get_idx (rows, 0);
  const char *value = get_string (row, "Value");
  size_t value_bytes = strlen (value);
  size_t n = 0;
  bool ok;

  (void)index;
  *memory = malloc (value_bytes + 1);
  text->revision = json_object_get_uint64 (json_object_object_get (row, "ModifyIndex"));
  ok = *memory != NULL && text->revision != 0
       && sodium_base642bin (*memory, value_bytes + 1, value, value_bytes, NULL, &n, NULL,
                             sodium_base64_VARIANT_ORIGINAL)
              == 0;
  if (!ok)
    mf_error_set (error, MF_CODE_PLATFORM_DOWN,
                  "the platform's response has no valid Value and ModifyIndex");
  text->text = *memory;
  text->text_bytes = n;
  json_object_put (rows);
  return ok;
}

static bool
has_tag (json_object *service, const char *tag)
{
  json_object *tags = json_object_object_get (service, "Tags");

  for (size_t i = 0;
       json_object_is_type (tags, json_type_array) && i < json_object_array_length (tags); i++)
    {
      const char *text = json_object_get_string (json_object_array_get_idx (tags, i));

      if (text != NULL && strcmp (text, tag) == 0)
        return true;
    }
  return false;
}

static bool
parse_listed (json_object *row, MfListedInstance *listed)
{
  json_object *service = json_object_object_get (row, "Service");
  json_object *meta = json_object_object_get (service, "Meta");
  const char *host = get_string (service, "Address");
  bool is_v6 = strchr (host, ':') != NULL;
  int n = snprintf (listed->address, sizeof listed->address, is_v6 ? "[%s]:%d" : "%s:%d", host,
                    json_object_get_int (json_object_object_get (service, "Port")));

  listed->leaving = has_tag (service, "leaving");
  return n > 0 && (size_t)n < sizeof listed->address
         && mf_name_set (listed->name, sizeof listed->name, get_string (service, "ID"))
         && mf_name_set (listed->data_centre, sizeof listed->data_centre,
                         get_string (meta, "data_centre"))
         && listed->name[0] != '\0';
}

/* Rows without a valid name, address or data centre are skipped. */
static bool
consul_parse_list (const char *body, size_t body_bytes, uint64_t index, MfPlatformListEvent *list,
                   void **memory, MfError *error)
{
  json_object *rows = parse_array (body, body_bytes, error);
  size_t n_rows = rows == NULL ? 0 : json_object_array_length (rows);
  MfListedInstance *listed = calloc (n_rows + 1, sizeof *listed);

  *memory = listed;
  *list = (MfPlatformListEvent){ .index = index, .listed = listed };
  for (size_t i = 0; listed != NULL && i < n_rows; i++)
    {
      if (parse_listed (json_object_array_get_idx (rows, i), &listed[list->n_listed]))
        list->n_listed++;
    }
  json_object_put (rows);
  return rows != NULL && listed != NULL;
}

const MfPlatformBackend mf_platform_consul = {
  .name = "consul",
  .text_path = consul_text_path,
  .list_path = consul_list_path,
  .parse_text = consul_parse_text,
  .parse_list = consul_parse_list,
};
