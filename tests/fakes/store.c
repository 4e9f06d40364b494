#include "store.h"

#include "http.h"

#include "libmangofork/buffer.h"
#include "libmangofork/clock.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEYS_MAX 128
#define EVENTS_MAX 4096
#define WATCHES_MAX 64
#define KEY_BYTES 256

typedef struct
{
  char key[KEY_BYTES];
  char *value; /* NULL if the key was removed */
  uint64_t revision;
} Item;

typedef struct
{
  FakeConn *conn; /* NULL if this entry is unused */
  char prefix[KEY_BYTES];
  uint64_t after;
  ev_timer timer;
  FakeStore *store;
} Watch;

/* Start of all upstreams, the same in all stores: that of the first one. */
static uint64_t started_ms;

struct FakeStore
{
  struct ev_loop *loop;
  FakeHttp *http;
  char address[MF_ADDRESS_BYTES];
  Item items[KEYS_MAX];
  uint32_t n_items;
  Item events[EVENTS_MAX];
  uint32_t n_events;
  uint64_t revision;
  uint64_t era;
  uint32_t n_registrations; /* of upstreams, which know their own number */
  Item saved_items[KEYS_MAX];
  uint32_t n_saved_items;
  uint32_t n_saved_events;
  uint64_t saved_revision;
  uint64_t dropped_revision; /* events up to this revision are no longer available */
  FakeStoreMode mode;
  Watch watches[WATCHES_MAX];
  uint32_t n_calls;
};

static void
write_item (MfBuffer *out, const Item *item)
{
  size_t n_bytes = item->value == NULL ? 0 : strlen (item->value);
  size_t encoded_bytes = sodium_base64_ENCODED_LEN (n_bytes, sodium_base64_VARIANT_ORIGINAL);
  char *text = malloc (encoded_bytes);
  char line[KEY_BYTES + 96];

  if (text == NULL)
    abort ();
  sodium_bin2base64 (text, encoded_bytes,
                     (const unsigned char *)(item->value == NULL ? "" : item->value), n_bytes,
                     sodium_base64_VARIANT_ORIGINAL);
  snprintf (line, sizeof line, "{\"key\":\"%s\",\"revision\":%llu", item->key,
            (unsigned long long)item->revision);
  mf_buffer_add_text (out, line);
  if (item->value == NULL)
    mf_buffer_add_text (out, ",\"tombstone\":true}");
  else
    {
      mf_buffer_add_text (out, ",\"created\":1,\"lease\":0,\"value\":\"");
      mf_buffer_add_text (out, text);
      mf_buffer_add_text (out, "\"}");
    }
  free (text);
}

static void
answer_json (const FakeStore *store, FakeConn *conn, unsigned status, const MfBuffer *body)
{
  char headers[128];

  snprintf (headers, sizeof headers,
            "Content-Type: application/json\r\nKeep-Alive: timeout=20\r\nStore-Era: %llu\r\n",
            (unsigned long long)store->era);
  fake_conn_answer (conn, status, headers, mf_buffer_data (body), mf_buffer_bytes (body));
}

/* Answers with the revision of the store and nothing else. */
static void
answer_revision (const FakeStore *store, FakeConn *conn)
{
  MfBuffer body = { 0 };
  char text[64];

  snprintf (text, sizeof text, "{\"asOf\":%llu}", (unsigned long long)store->revision);
  mf_buffer_add_text (&body, text);
  answer_json (store, conn, 200, &body);
  mf_buffer_clear (&body);
}

static void
answer_status (const FakeStore *store, FakeConn *conn, unsigned status)
{
  MfBuffer body = { 0 };

  mf_buffer_add_text (&body, "{}");
  answer_json (store, conn, status, &body);
  mf_buffer_clear (&body);
}

static void
write_as_of (const FakeStore *store, MfBuffer *body)
{
  mf_buffer_add_text (body, "\"asOf\":");
  mf_buffer_add_number (body, store->revision);
  mf_buffer_add_text (body, "}");
}

static void
serve_key (FakeStore *store, FakeConn *conn, const char *key)
{
  MfBuffer body = { 0 };

  for (uint32_t i = 0; i < store->n_items; i++)
    {
      if (strcmp (store->items[i].key, key) != 0 || store->items[i].value == NULL)
        continue;
      write_item (&body, &store->items[i]);
      /* Replaces the closing brace of the item by the revision of the read. */
      body.end--;
      mf_buffer_add_text (&body, ",");
      write_as_of (store, &body);
      answer_json (store, conn, 200, &body);
      mf_buffer_clear (&body);
      return;
    }
  mf_buffer_add_text (&body, "{");
  write_as_of (store, &body);
  answer_json (store, conn, 404, &body);
  mf_buffer_clear (&body);
}

/* Returns the item with the next key after a key; NULL if there is none. */
static const Item *
item_after (const FakeStore *store, const char *prefix, const char *after)
{
  const Item *best = NULL;

  for (uint32_t i = 0; i < store->n_items; i++)
    {
      const Item *item = &store->items[i];

      if (item->value != NULL && strncmp (item->key, prefix, strlen (prefix)) == 0
          && strcmp (item->key, after) > 0 && (best == NULL || strcmp (item->key, best->key) < 0))
        best = item;
    }
  return best;
}

static void
serve_range (FakeStore *store, FakeConn *conn, const char *prefix, const char *after)
{
  MfBuffer body = { 0 };
  const Item *item = item_after (store, prefix, after);

  mf_buffer_add_text (&body, "{\"items\":[");
  for (uint32_t i = 0; i < FAKE_STORE_PAGE_ITEMS && item != NULL; i++)
    {
      if (i > 0)
        mf_buffer_add_text (&body, ",");
      write_item (&body, item);
      item = item_after (store, prefix, item->key);
    }
  mf_buffer_add_text (&body, item != NULL ? "],\"morePages\":true," : "],\"morePages\":false,");
  write_as_of (store, &body);
  answer_json (store, conn, 200, &body);
  mf_buffer_clear (&body);
}

/* Answers a watch that has events, or any watch with force. Returns whether it was answered. */
static bool
watch_answer (Watch *watch, bool force)
{
  FakeStore *store = watch->store;
  MfBuffer body = { 0 };
  bool any = false;

  mf_buffer_add_text (&body, "{\"events\":[");
  for (uint32_t i = 0; i < store->n_events; i++)
    {
      const Item *event = &store->events[i];

      if (event->revision <= watch->after
          || strncmp (event->key, watch->prefix, strlen (watch->prefix)) != 0)
        continue;
      if (any)
        mf_buffer_add_text (&body, ",");
      write_item (&body, event);
      any = true;
    }
  mf_buffer_add_text (&body, "],");
  write_as_of (store, &body);
  if (any || force)
    {
      ev_timer_stop (store->loop, &watch->timer);
      answer_json (store, watch->conn, 200, &body);
      watch->conn = NULL;
    }
  mf_buffer_clear (&body);
  return any || force;
}

static void
on_watch_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  watch_answer (watcher->data, true);
}

static void
serve_watch (FakeStore *store, FakeConn *conn, const char *query)
{
  char number[32];
  Watch *watch = NULL;

  for (uint32_t i = 0; i < WATCHES_MAX && watch == NULL; i++)
    {
      if (store->watches[i].conn == NULL)
        watch = &store->watches[i];
    }
  fake_query_get (query, "after", number, sizeof number);
  if (watch == NULL || strtoull (number, NULL, 10) < store->dropped_revision
      || strtoull (number, NULL, 10) > store->revision)
    {
      answer_status (store, conn, watch == NULL ? 429 : 410);
      return;
    }
  *watch = (Watch){ .conn = conn, .store = store, .after = strtoull (number, NULL, 10) };
  fake_query_get (query, "pathPrefix", watch->prefix, sizeof watch->prefix);
  fake_query_get (query, "waitMs", number, sizeof number);
  ev_timer_init (&watch->timer, on_watch_timer, (double)strtoull (number, NULL, 10) / 1e3, 0.);
  watch->timer.data = watch;
  if (watch_answer (watch, false))
    return;
  ev_timer_start (store->loop, &watch->timer);
}

static void
on_request (FakeConn *conn, const FakeHttpRequest *request, void *data)
{
  FakeStore *store = data;
  char key[KEY_BYTES];
  char after[KEY_BYTES];

  store->n_calls++;
  switch (store->mode)
    {
    case FAKE_STORE_BUSY:
      answer_status (store, conn, 503);
      return;
    case FAKE_STORE_TOO_MANY_REQUESTS:
      answer_status (store, conn, 429);
      return;
    case FAKE_STORE_RESETS:
      fake_conn_close (conn, true);
      return;
    case FAKE_STORE_SILENT:
      return;
    case FAKE_STORE_EMPTY:
      answer_status (store, conn, 200);
      return;
    case FAKE_STORE_EMPTY_LISTS:
      if (strcmp (request->path, "/kv-key") == 0)
        break;
      if (strcmp (request->path, "/kv-range") == 0)
        answer_revision (store, conn);
      else
        answer_status (store, conn, 410);
      return;
    default:
      break;
    }
  if (strcmp (request->path, "/kv-watch") == 0)
    serve_watch (store, conn, request->query);
  else if (strcmp (request->path, "/kv-range") == 0)
    {
      fake_query_get (request->query, "pathPrefix", key, sizeof key);
      fake_query_get (request->query, "after", after, sizeof after);
      serve_range (store, conn, key, after);
    }
  else
    {
      fake_query_get (request->query, "key", key, sizeof key);
      serve_key (store, conn, key);
    }
}

static void
on_closed (FakeConn *conn, void *data)
{
  FakeStore *store = data;

  for (uint32_t i = 0; i < WATCHES_MAX; i++)
    {
      if (store->watches[i].conn != conn)
        continue;
      ev_timer_stop (store->loop, &store->watches[i].timer);
      store->watches[i].conn = NULL;
    }
}

static const FakeHttpCallbacks callbacks = { .on_request = on_request, .on_closed = on_closed };

FakeStore *
fake_store_new (struct ev_loop *loop)
{
  FakeStore *store = calloc (1, sizeof *store);

  if (store == NULL)
    abort ();
  if (started_ms == 0)
    started_ms = mf_clock_wall_ms ();
  store->loop = loop;
  store->revision = 100;
  store->era = 1;
  store->http = fake_http_new (loop, "127.0.0.1:0", &callbacks, store);
  snprintf (store->address, sizeof store->address, "127.0.0.1:%u", fake_http_port (store->http));
  return store;
}

static void
items_free (Item *items, uint32_t n_items)
{
  for (uint32_t i = 0; i < n_items; i++)
    free (items[i].value);
}

static void
items_copy (Item *to, const Item *from, uint32_t n_items)
{
  for (uint32_t i = 0; i < n_items; i++)
    {
      to[i] = from[i];
      to[i].value = from[i].value == NULL ? NULL : strdup (from[i].value);
    }
}

void
fake_store_free (FakeStore *store)
{
  for (uint32_t i = 0; i < WATCHES_MAX; i++)
    ev_timer_stop (store->loop, &store->watches[i].timer);
  fake_http_free (store->http);
  items_free (store->items, store->n_items);
  items_free (store->events, store->n_events);
  items_free (store->saved_items, store->n_saved_items);
  free (store);
}

const char *
fake_store_address (const FakeStore *store)
{
  return store->address;
}

static Item *
item_get (FakeStore *store, const char *key)
{
  for (uint32_t i = 0; i < store->n_items; i++)
    {
      if (strcmp (store->items[i].key, key) == 0)
        return &store->items[i];
    }
  if (store->n_items == KEYS_MAX)
    abort ();
  snprintf (store->items[store->n_items].key, KEY_BYTES, "%s", key);
  return &store->items[store->n_items++];
}

static void
item_change (FakeStore *store, const char *key, const char *value)
{
  Item *item = item_get (store, key);

  if (store->n_events == EVENTS_MAX)
    abort ();
  free (item->value);
  item->value = value == NULL ? NULL : strdup (value);
  item->revision = ++store->revision;
  store->events[store->n_events] = *item;
  store->events[store->n_events++].value = value == NULL ? NULL : strdup (value);
  for (uint32_t i = 0; i < WATCHES_MAX; i++)
    {
      if (store->watches[i].conn != NULL && store->mode == FAKE_STORE_SERVES)
        watch_answer (&store->watches[i], false);
    }
}

void
fake_store_put (FakeStore *store, const char *key, const char *value)
{
  item_change (store, key, value);
}

void
fake_store_remove (FakeStore *store, const char *key)
{
  item_change (store, key, NULL);
}

void
fake_store_set_mode (FakeStore *store, FakeStoreMode mode)
{
  store->mode = mode;
  for (uint32_t i = 0; i < WATCHES_MAX && mode != FAKE_STORE_SERVES; i++)
    {
      Watch *watch = &store->watches[i];

      if (watch->conn == NULL)
        continue;
      ev_timer_stop (store->loop, &watch->timer);
      if (mode == FAKE_STORE_RESETS)
        fake_conn_close (watch->conn, true);
      else if (mode != FAKE_STORE_SILENT)
        answer_status (store, watch->conn, mode == FAKE_STORE_BUSY ? 503 : 429);
      watch->conn = NULL;
    }
}

void
fake_store_set_rate (FakeStore *store, uint64_t bytes_per_s)
{
  fake_http_set_rate (store->http, bytes_per_s);
}

void
fake_store_drop_history (FakeStore *store)
{
  store->dropped_revision = store->revision;
}

void
fake_store_save (FakeStore *store)
{
  items_free (store->saved_items, store->n_saved_items);
  items_copy (store->saved_items, store->items, store->n_items);
  store->n_saved_items = store->n_items;
  store->n_saved_events = store->n_events;
  store->saved_revision = store->revision;
}

void
fake_store_restore (FakeStore *store)
{
  FakeStoreMode mode = store->mode;

  items_free (store->items, store->n_items);
  memset (store->items, 0, sizeof store->items);
  items_copy (store->items, store->saved_items, store->n_saved_items);
  store->n_items = store->n_saved_items;
  items_free (store->events + store->n_saved_events, store->n_events - store->n_saved_events);
  store->n_events = store->n_saved_events;
  store->revision = store->saved_revision;
  if (store->dropped_revision > store->revision)
    store->dropped_revision = store->revision;
  store->era++;
  fake_store_set_mode (store, FAKE_STORE_RESETS);
  fake_store_set_mode (store, mode);
}

uint64_t
fake_store_revision (const FakeStore *store)
{
  return store->revision;
}

uint32_t
fake_store_n_calls (const FakeStore *store)
{
  return store->n_calls;
}

void
fake_store_put_upstream_version (FakeStore *store, const char *id, const char *service,
                                 const char *address, const char *role, const char *state,
                                 const char *version)
{
  char key[KEY_BYTES];
  char value[1024];
  char stage[48] = "";

  if (role[0] != '\0')
    snprintf (stage, sizeof stage, ",\"stage\":\"%s\"", role);
  snprintf (key, sizeof key, "servers/%s", id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\",\"version\":\"%s\",\"slots\":6,"
            "\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":%u%s,\"born\":%llu}",
            service, address, version, state, ++store->n_registrations, stage,
            (unsigned long long)started_ms);
  fake_store_put (store, key, value);
}

void
fake_store_put_upstream (FakeStore *store, const char *id, const char *service, const char *address,
                         const char *role, const char *state)
{
  fake_store_put_upstream_version (store, id, service, address, role, state, "v1");
}
