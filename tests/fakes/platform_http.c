#include "fakes.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VALUES_MAX 64
/* Wait of a blocking query without a wait parameter. */
#define WAIT_US_DEFAULT (300 * MF_US_PER_S)

/* A published value and its Consul index. */
typedef struct
{
  uint64_t index;
  char *value;
} Value;

/* A key with all its published values. The value served may be older than the latest one. */
typedef struct
{
  Value values[VALUES_MAX];
  uint32_t n_values;
  uint32_t served_index; /* of the value served now */
  bool frozen;           /* new values are published but not served */
} Key;

/* A read that waits for its key to change, up to the timer's time. */
typedef struct BlockingQuery BlockingQuery;
struct BlockingQuery
{
  FakePlatform *platform;
  FakeConn *conn;
  Key *key;
  uint64_t index;
  ev_timer timer;
  BlockingQuery *next;
};

struct FakePlatform
{
  struct ev_loop *loop;
  FakeHttp *http;
  char text_path[MF_ADDRESS_BYTES + 16];
  char list_path[MF_ADDRESS_BYTES + 32];
  char token[MF_ADDRESS_BYTES];
  Key text;
  Key list;
  uint64_t index;
  uint64_t n_calls;
  uint64_t n_forbidden;
  bool garbled;
  BlockingQuery *queries;
};

static const Value *
key_value (const Key *key)
{
  return key->n_values == 0 ? NULL : &key->values[key->served_index];
}

static void
query_free (BlockingQuery *queries)
{
  BlockingQuery **at = &queries->platform->queries;

  while (*at != queries)
    at = &(*at)->next;
  *at = queries->next;
  ev_timer_stop (queries->platform->loop, &queries->timer);
  free (queries);
}

static char *
text_json (const FakePlatform *platform, const Value *value)
{
  size_t n = strlen (value->value);
  size_t encoded_bytes = sodium_base64_ENCODED_LEN (n, sodium_base64_VARIANT_ORIGINAL);
  char *encoded = malloc (encoded_bytes);
  char *json = NULL;

  if (encoded == NULL)
    abort ();
  sodium_bin2base64 (encoded, encoded_bytes, (const unsigned char *)value->value, n,
                     sodium_base64_VARIANT_ORIGINAL);
  if (asprintf (&json, "[{\"Key\":\"%s\",\"Flags\":0,\"Value\":\"%s\",\"ModifyIndex\":%llu}]",
                platform->text_path + strlen ("/v1/kv/"), encoded, (unsigned long long)value->index)
      < 0)
    abort ();
  free (encoded);
  return json;
}

static void
answer_key (FakePlatform *platform, FakeConn *conn, const Key *key)
{
  const Value *value = key_value (key);
  char headers[96];
  char *json;

  if (value == NULL)
    {
      fake_conn_answer (conn, 404, "X-Consul-Index: 1\r\n", "", 0);
      return;
    }
  snprintf (headers, sizeof headers, "Content-Type: application/json\r\nX-Consul-Index: %llu\r\n",
            (unsigned long long)value->index);
  json = key == &platform->text ? text_json (platform, value) : strdup (value->value);
  fake_conn_answer (conn, 200, headers, json,
                    platform->garbled ? strlen (json) / 2 : strlen (json));
  free (json);
}

static void
on_query_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  BlockingQuery *queries = timer->data;

  (void)loop;
  (void)events;
  answer_key (queries->platform, queries->conn, queries->key);
  query_free (queries);
}

/* Answers the blocking queries of a key whose value has changed. */
static void
answer_queries (FakePlatform *platform, const Key *key)
{
  BlockingQuery *queries = platform->queries;

  while (queries != NULL)
    {
      BlockingQuery *next = queries->next;

      if (queries->key == key && key_value (key)->index != queries->index)
        {
          answer_key (platform, queries->conn, key);
          query_free (queries);
        }
      queries = next;
    }
}

static uint64_t
query_wait_us (const char *query)
{
  char wait[24];
  char *unit;
  uint64_t value;

  fake_query_get (query, "wait", wait, sizeof wait);
  value = strtoull (wait, &unit, 10);
  if (value == 0)
    return WAIT_US_DEFAULT;
  return value * (strcmp (unit, "ms") == 0 ? MF_US_PER_MS : MF_US_PER_S);
}

static void
query_add (FakePlatform *platform, FakeConn *conn, Key *key, uint64_t index, const char *query)
{
  BlockingQuery *queries = calloc (1, sizeof *queries);

  if (queries == NULL)
    abort ();
  queries->platform = platform;
  queries->conn = conn;
  queries->key = key;
  queries->index = index;
  queries->next = platform->queries;
  platform->queries = queries;
  ev_timer_init (&queries->timer, on_query_timer, (double)query_wait_us (query) / 1e6, 0.0);
  queries->timer.data = queries;
  ev_timer_start (platform->loop, &queries->timer);
}

static void
on_request (FakeConn *conn, const FakeHttpRequest *request, void *data)
{
  FakePlatform *platform = data;
  const Value *value;
  uint64_t index;
  char text[24];
  Key *key = NULL;

  platform->n_calls++;
  if (strcmp (request->path, platform->text_path) == 0)
    key = &platform->text;
  else if (strcmp (request->path, platform->list_path) == 0)
    key = &platform->list;
  if (platform->token[0] != '\0' && strcmp (platform->token, request->token) != 0)
    {
      platform->n_forbidden++;
      fake_conn_answer (conn, 403, "", "", 0);
      return;
    }
  if (key == NULL)
    {
      fake_conn_answer (conn, 404, "", "", 0);
      return;
    }
  fake_query_get (request->query, "index", text, sizeof text);
  index = strtoull (text, NULL, 10);
  value = key_value (key);
  if (index != 0 && value != NULL && value->index <= index)
    query_add (platform, conn, key, index, request->query);
  else
    answer_key (platform, conn, key);
}

static void
on_closed (FakeConn *conn, void *data)
{
  FakePlatform *platform = data;
  BlockingQuery *queries = platform->queries;

  while (queries != NULL)
    {
      BlockingQuery *next = queries->next;

      if (queries->conn == conn)
        query_free (queries);
      queries = next;
    }
}

static void
publish (FakePlatform *platform, Key *key, const char *value)
{
  if (key->n_values == VALUES_MAX)
    {
      fprintf (stderr, "fakes: a platform key has too many values\n");
      exit (1);
    }
  key->values[key->n_values++] = (Value){ .index = ++platform->index, .value = strdup (value) };
  if (key->frozen)
    return;
  key->served_index = key->n_values - 1;
  answer_queries (platform, key);
}

void
fake_platform_set_text (FakePlatform *platform, const char *text)
{
  publish (platform, &platform->text, text);
}

static json_object *
instance_json (json_object *listed)
{
  json_object *entry = json_object_new_object ();
  json_object *service = json_object_new_object ();
  json_object *check = json_object_new_object ();
  json_object *checks = json_object_new_array ();
  json_object *tags = json_object_new_array ();
  json_object *meta = json_object_new_object ();
  char address[MF_ADDRESS_BYTES];
  char *colon;

  mf_name_set (address, sizeof address, fake_setting_text (listed, "address", ":0"));
  colon = strrchr (address, ':');
  *colon = '\0';
  fake_add_text (service, "ID", fake_setting_text (listed, "name", ""));
  fake_add_text (service, "Address", address);
  fake_add_number (service, "Port", strtoull (colon + 1, NULL, 10));
  if (fake_setting (listed, "leaving", 0) != 0)
    json_object_array_add (tags, json_object_new_string ("leaving"));
  json_object_object_add (service, "Tags", tags);
  fake_add_text (meta, "data_centre", fake_setting_text (listed, "data_centre", ""));
  json_object_object_add (service, "Meta", meta);
  fake_add_text (check, "Status", "passing");
  json_object_array_add (checks, check);
  json_object_object_add (entry, "Service", service);
  json_object_object_add (entry, "Checks", checks);
  return entry;
}

static void
set_list (FakePlatform *platform, json_object *listed)
{
  json_object *entries = json_object_new_array ();

  for (size_t i = 0; i < json_object_array_length (listed); i++)
    json_object_array_add (entries, instance_json (json_object_array_get_idx (listed, i)));
  publish (platform, &platform->list, json_object_to_json_string (entries));
  json_object_put (entries);
}

bool
fake_platform_set_list (FakePlatform *platform, const char *list)
{
  json_object *listed = json_tokener_parse (list);
  bool ok = json_object_is_type (listed, json_type_array);

  if (ok)
    set_list (platform, listed);
  json_object_put (listed);
  return ok;
}

/* Serves the value n_back publications before the latest; 0 serves the latest. */
static void
serve_earlier_value (FakePlatform *platform, Key *key, uint64_t n_back)
{
  if (key->n_values == 0)
    return;
  key->served_index = key->n_values - 1 - (n_back < key->n_values ? (uint32_t)n_back : 0);
  answer_queries (platform, key);
}

bool
fake_platform_fault (FakePlatform *platform, const char *kind, uint64_t value)
{
  if (strcmp (kind, "down") == 0)
    fake_http_stop (platform->http);
  else if (strcmp (kind, "up") == 0)
    fake_http_start (platform->http);
  else if (strcmp (kind, "garbled") == 0)
    platform->garbled = value != 0;
  else if (strcmp (kind, "stale") == 0 || strcmp (kind, "list-stale") == 0)
    {
      Key *key = strcmp (kind, "stale") == 0 ? &platform->text : &platform->list;

      key->frozen = value != 0;
      if (!key->frozen)
        serve_earlier_value (platform, key, 0);
    }
  else if (strcmp (kind, "revert") == 0)
    serve_earlier_value (platform, &platform->text, value);
  else
    return false;
  return true;
}

json_object *
fake_platform_ledger (const FakePlatform *platform)
{
  json_object *row = json_object_new_object ();
  uint64_t n_queries = 0;

  for (const BlockingQuery *queries = platform->queries; queries != NULL; queries = queries->next)
    n_queries++;
  fake_add_number (row, "calls", platform->n_calls);
  fake_add_number (row, "waiting", n_queries);
  fake_add_number (row, "forbidden", platform->n_forbidden);
  fake_add_number (row, "index", platform->index);
  return row;
}

FakePlatform *
fake_platform_new (struct ev_loop *loop, json_object *settings)
{
  static const FakeHttpCallbacks callbacks = { .on_request = on_request, .on_closed = on_closed };
  FakePlatform *platform = calloc (1, sizeof *platform);
  json_object *instances = json_object_object_get (settings, "instances");

  if (platform == NULL)
    abort ();
  platform->loop = loop;
  platform->index = fake_setting (settings, "first_index", 10);
  snprintf (platform->text_path, sizeof platform->text_path, "/v1/kv/%s",
            fake_setting_text (settings, "text_key", "mangofork/text"));
  snprintf (platform->list_path, sizeof platform->list_path, "/v1/health/service/%s",
            fake_setting_text (settings, "service", "mangofork"));
  mf_name_set (platform->token, sizeof platform->token, fake_setting_text (settings, "token", ""));
  platform->http = fake_http_new (loop, fake_setting_text (settings, "address", "127.0.0.1:0"),
                                  &callbacks, platform);
  if (json_object_is_type (instances, json_type_array))
    set_list (platform, instances);
  return platform;
}

static void
key_clear (Key *key)
{
  for (uint32_t i = 0; i < key->n_values; i++)
    free (key->values[i].value);
}

void
fake_platform_free (FakePlatform *platform)
{
  if (platform == NULL)
    return;
  fake_http_free (platform->http);
  key_clear (&platform->text);
  key_clear (&platform->list);
  free (platform);
}

uint16_t
fake_platform_port (const FakePlatform *platform)
{
  return fake_http_port (platform->http);
}
