#include "fakes.h"

#include "libmangofork/buffer.h"
#include "libmangofork/clock.h"
#include "libmangofork/intake.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "libmangofork/table.h"
#include <xxhash.h>

/* Assumed size of a token of the prompt. */
#define PROMPT_BYTES_PER_TOKEN 4
#define ANSWER_TOKENS_DEFAULT 32
#define MAX_TOKENS_DEFAULT 256
#define CACHE_EVENTS_MAX 256
/* Digest given to a request whose prompt contains the poison text. */
#define POISON_DIGEST UINT64_C (0xdeadbeef)
#define RID_BYTES 160
#define TAG_BYTES 32

/* A piece of work and the connection that its events are sent to. */
typedef struct
{
  char rid[RID_BYTES];
  FakeWorkId id;
  FakeConn *conn; /* NULL once the connection has closed */
  char tag[TAG_BYTES];
  bool chat;
  bool decode;
  uint32_t max_tokens;
  UT_hash_handle hh;
} Work;

struct FakeEngineHttp
{
  struct ev_loop *loop;
  FakeEngine *model;
  FakeHttp *http;
  ev_timer run_timer;
  ev_timer restart_timer;
  uint64_t restart_us;        /* delay between a crash and the restart; 0: no restart */
  char poison[MF_NAME_BYTES]; /* a prompt that contains this crashes the engine */
  bool silent;                /* reads requests and never answers */
  uint64_t n_calls[MF_CALL_COUNT];
  uint64_t n_refused;
  Work *works;
  FakeEngineHttp **list;
  FakeEngineHttp *next;
};

uint64_t
fake_now_us (void)
{
  return mf_clock_now_us ();
}

/* Updates the timers of all engines, as an import at one engine affects the engine it reads from.
 */
static void
update_timers (FakeEngineHttp *engine)
{
  uint64_t now_us = fake_now_us ();

  for (engine = *engine->list; engine != NULL; engine = engine->next)
    {
      uint64_t next_us = fake_engine_next_us (engine->model);
      double delay_s = next_us <= now_us ? 0.0 : (double)(next_us - now_us) / 1e6;

      ev_timer_stop (engine->loop, &engine->run_timer);
      if (next_us == UINT64_MAX)
        continue;
      ev_now_update (engine->loop);
      ev_timer_set (&engine->run_timer, delay_s, 0.0);
      ev_timer_start (engine->loop, &engine->run_timer);
    }
}

static Work *
work_find (const FakeEngineHttp *engine, const char *rid)
{
  Work *work = NULL;

  HASH_FIND_STR (engine->works, rid, work);
  return work;
}

static void
work_free (FakeEngineHttp *engine, Work *work)
{
  HASH_DEL (engine->works, work);
  free (work);
}

/* Frees all work and resets its connections. */
static void
drop_all_work (FakeEngineHttp *engine)
{
  Work *work = engine->works;

  HASH_CLEAR (hh, engine->works);
  while (work != NULL)
    {
      Work *next = work->hh.next;

      if (work->conn != NULL)
        fake_conn_close (work->conn, true);
      free (work);
      work = next;
    }
}

static void
format_rid (char *rid, const FakeWorkId *id)
{
  snprintf (rid, RID_BYTES, "%s:%" PRIx64 ":%" PRIu64 ":%" PRIu32, id->owner.name,
            id->owner.incarnation, id->request_id, id->attempt);
}

static bool
parse_owner (const char *text, MfInstanceId *owner)
{
  const char *colon = strchr (text, ':');

  *owner = (MfInstanceId){ 0 };
  if (colon == NULL || (size_t)(colon - text) >= sizeof owner->name)
    return false;
  memcpy (owner->name, text, (size_t)(colon - text));
  owner->incarnation = strtoull (colon + 1, NULL, 16);
  return true;
}

static bool
parse_rid (const char *rid, FakeWorkId *id)
{
  const char *at = strchr (rid, ':');

  *id = (FakeWorkId){ 0 };
  if (!parse_owner (rid, &id->owner))
    return false;
  at = strchr (at + 1, ':');
  if (at == NULL)
    return false;
  id->request_id = strtoull (at + 1, NULL, 10);
  at = strchr (at + 1, ':');
  if (at == NULL)
    return false;
  id->attempt = (uint32_t)strtoul (at + 1, NULL, 10);
  return true;
}

static void
answer_json (FakeConn *conn, unsigned status, const char *headers, json_object *body)
{
  const char *text = json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);

  fake_conn_answer (conn, status, headers, text, strlen (text));
  json_object_put (body);
}

static void
answer_status (FakeConn *conn, unsigned status)
{
  fake_conn_answer (conn, status, "", "{}", 2);
}

static void
answer_refused (FakeConn *conn, FakeEngineResult result)
{
  const char *headers = result == FAKE_LEAVING ? "Mangofork-Ran: no\r\nMangofork-Leaving: yes\r\n"
                                               : "Mangofork-Ran: no\r\n";

  if (result == FAKE_GONE)
    answer_status (conn, 410);
  else
    fake_conn_answer (conn, 503, headers, "{}", 2);
}

/* Appends the prompt of a completion, or the concatenated contents of a chat's messages, and a
 * terminating NUL. */
static void
read_prompt (json_object *body, MfBuffer *prompt, bool *chat)
{
  json_object *text = json_object_object_get (body, "prompt");
  json_object *messages = json_object_object_get (body, "messages");

  *chat = json_object_is_type (messages, json_type_array);
  if (json_object_is_type (text, json_type_string))
    mf_buffer_add_text (prompt, json_object_get_string (text));
  for (size_t i = 0; *chat && i < json_object_array_length (messages); i++)
    {
      json_object *content
          = json_object_object_get (json_object_array_get_idx (messages, i), "content");

      if (json_object_is_type (content, json_type_string))
        mf_buffer_add_text (prompt, json_object_get_string (content));
    }
  mf_buffer_add (prompt, "", 1);
}

/* Copies the value of an option written as `[key value]` in a prompt. Returns false if absent. */
static bool
read_prompt_option (const char *prompt, const char *key, char *value, size_t value_bytes)
{
  char prefix[24];
  const char *at;
  size_t n;

  snprintf (prefix, sizeof prefix, "[%s ", key);
  at = strstr (prompt, prefix);
  if (at == NULL)
    return false;
  at += strlen (prefix);
  n = strcspn (at, "]");
  n = n < value_bytes ? n : value_bytes - 1;
  memcpy (value, at, n);
  value[n] = '\0';
  return true;
}

/* Creates a piece of work from the body of a completion. model_work refers to hashes. */
static Work *
read_work (FakeEngineHttp *engine, const FakeHttpRequest *request, json_object *body,
           FakeWork *model_work, uint64_t hashes[MF_PREFIX_HASHES_MAX])
{
  Work *work = calloc (1, sizeof *work);
  MfBuffer prompt = { 0 };
  char answer_tokens[16];
  const char *text;
  json_object *resume = json_object_object_get (body, "mangofork_resume");

  if (work == NULL)
    abort ();
  read_prompt (body, &prompt, &work->chat);
  text = mf_buffer_data (&prompt);
  mf_name_set (work->rid, sizeof work->rid, request->request_id);
  parse_rid (work->rid, &work->id);
  work->max_tokens = (uint32_t)fake_setting (body, "max_tokens", MAX_TOKENS_DEFAULT);
  *model_work = (FakeWork){
    .id = work->id,
    .digest = XXH3_64bits (text, strlen (text)),
    .prompt_tokens = (uint32_t)(strlen (text) / PROMPT_BYTES_PER_TOKEN) + 1,
    .from_token = (uint32_t)fake_setting (resume, "from_token", 0),
    .max_tokens = work->max_tokens,
    .answer_tokens = ANSWER_TOKENS_DEFAULT,
    .priority = (uint32_t)fake_setting (body, "priority", 0),
    .cache_salt = strtoull (fake_setting_text (body, "cache_salt", "0"), NULL, 16),
    .prefix_hashes = hashes,
    .n_prefix_hashes = mf_intake_prefix_hashes (request->body, request->body_bytes, hashes),
  };
  snprintf (work->tag, sizeof work->tag, "%04x", (unsigned)(model_work->digest & 0xffff));
  read_prompt_option (text, "tag", work->tag, sizeof work->tag);
  if (read_prompt_option (text, "answer", answer_tokens, sizeof answer_tokens))
    model_work->answer_tokens = (uint32_t)strtoul (answer_tokens, NULL, 10);
  if (engine->poison[0] != '\0' && strstr (text, engine->poison) != NULL)
    model_work->digest = POISON_DIGEST;
  mf_buffer_clear (&prompt);
  return work;
}

static FakeEngine *
find_source (const FakeEngineHttp *engine, const char *name)
{
  for (engine = *engine->list; engine != NULL; engine = engine->next)
    {
      if (strcmp (fake_engine_http_name (engine), name) == 0)
        return engine->model;
    }
  return NULL;
}

static void
on_completion (FakeEngineHttp *engine, FakeConn *conn, const FakeHttpRequest *request)
{
  uint64_t hashes[MF_PREFIX_HASHES_MAX];
  json_object *body = json_tokener_parse (request->body);
  json_object *transfer = json_object_object_get (body, "kv_transfer_params");
  FakeWork model_work;
  Work *work = read_work (engine, request, body, &model_work, hashes);
  FakeEngineResult result;

  work->conn = conn;
  work->decode = json_object_get_boolean (json_object_object_get (transfer, "do_remote_prefill"));
  engine->n_calls[work->decode ? MF_CALL_DECODE : MF_CALL_PREFILL]++;
  if (work_find (engine, work->rid) != NULL)
    result = FAKE_REFUSED;
  else if (work->decode)
    result = fake_engine_decode (
        engine->model, &model_work,
        find_source (engine, fake_setting_text (transfer, "remote_engine_id", "")),
        fake_setting (transfer, "remote_handle", 0), fake_now_us ());
  else
    result = fake_engine_prefill (engine->model, &model_work, fake_now_us ());
  json_object_put (body);
  if (result != FAKE_ACCEPTED)
    {
      engine->n_refused++;
      free (work);
      answer_refused (conn, result);
      return;
    }
  HASH_ADD_STR (engine->works, rid, work);
  if (work->decode)
    fake_conn_begin (conn);
}

static void
on_resume (FakeEngineHttp *engine, FakeConn *conn, json_object *body)
{
  Work *work = work_find (engine, fake_setting_text (body, "rid", ""));
  uint32_t from_token = (uint32_t)fake_setting (body, "from_token", 0);

  engine->n_calls[MF_CALL_RESUME]++;
  if (work == NULL || work->conn != NULL
      || fake_engine_resume (engine->model, &work->id, from_token, fake_now_us ()) != FAKE_ACCEPTED)
    {
      answer_status (conn, 404);
      return;
    }
  work->conn = conn;
  fake_conn_begin (conn);
  fake_conn_send (conn, ": imported\n\n", 12);
}

/* Frees work and resets its connection. */
static void
work_disconnect (FakeEngineHttp *engine, Work *work)
{
  if (work->conn != NULL)
    fake_conn_close (work->conn, true);
  work_free (engine, work);
}

static void
on_abort (FakeEngineHttp *engine, FakeConn *conn, json_object *body)
{
  const char *rid = fake_setting_text (body, "rid", "");
  MfInstanceId owner;
  FakeWorkId id;
  Work *work = work_find (engine, rid);
  Work *next;
  uint32_t n;

  if (*rid != '\0')
    {
      engine->n_calls[MF_CALL_CANCEL]++;
      if (work != NULL)
        work_disconnect (engine, work);
      answer_status (conn,
                     parse_rid (rid, &id) && fake_engine_cancel (engine->model, &id, fake_now_us ())
                         ? 200
                         : 404);
      return;
    }
  engine->n_calls[MF_CALL_CANCEL_OWNER]++;
  if (!parse_owner (fake_setting_text (body, "owner", ""), &owner))
    {
      answer_status (conn, 400);
      return;
    }
  HASH_ITER (hh, engine->works, work, next)
  {
    if (work->id.owner.incarnation == owner.incarnation
        && strcmp (work->id.owner.name, owner.name) == 0)
      work_disconnect (engine, work);
  }
  n = fake_engine_cancel_owner (engine->model, &owner, fake_now_us ());
  body = json_object_new_object ();
  json_object_object_add (body, "freed", json_object_new_int64 (n));
  answer_json (conn, 200, "", body);
}

static json_object *
cache_json (FakeEngineHttp *engine, const char *query)
{
  uint64_t hashes[CACHE_EVENTS_MAX];
  bool stored[CACHE_EVENTS_MAX];
  uint64_t first = 0;
  char after[24];
  char hash[24];
  uint32_t n;
  json_object *cache = json_object_new_object ();
  json_object *events = json_object_new_array ();

  fake_query_get (query, "after", after, sizeof after);
  n = fake_engine_cache_events (engine->model, fake_now_us (), strtoull (after, NULL, 10), &first,
                                hashes, stored, CACHE_EVENTS_MAX);
  for (uint32_t i = 0; i < n; i++)
    {
      json_object *event = json_object_new_array ();

      snprintf (hash, sizeof hash, "%016" PRIx64, hashes[i]);
      json_object_array_add (event, json_object_new_string (hash));
      json_object_array_add (event, json_object_new_boolean (stored[i]));
      json_object_array_add (events, event);
    }
  json_object_object_add (cache, "first", json_object_new_uint64 (first));
  json_object_object_add (cache, "events", events);
  return cache;
}

static void
on_load (FakeEngineHttp *engine, FakeConn *conn, const char *query)
{
  uint64_t now_us = fake_now_us ();
  json_object *body = json_object_new_object ();
  MfLoadEvent load;

  engine->n_calls[MF_CALL_LOAD]++;
  fake_engine_load (engine->model, now_us, &load);
  fake_add_number (body, "incarnation", load.incarnation);
  fake_add_number (body, "age_ms", (now_us - load.measured_us) / MF_US_PER_MS);
  fake_add_number (body, "slots_total", load.slots_total);
  fake_add_number (body, "slots_used", load.slots_used);
  fake_add_number (body, "queued", load.queued);
  fake_add_number (body, "pieces_total", load.pieces_total);
  fake_add_number (body, "pieces_free", load.pieces_free);
  fake_add_number (body, "prefill_tokens_queued", load.prefill_tokens_queued);
  json_object_object_add (body, "leaving", json_object_new_boolean (load.leaving));
  fake_add_text (body, "role", mf_role_name (load.role));
  fake_add_text (body, "model", load.model);
  fake_add_text (body, "adapter", load.adapter);
  fake_add_text (body, "version", load.version);
  json_object_object_add (body, "loading", json_object_new_boolean (load.loading));
  fake_add_number (body, "fence_seen", load.fence_seen);
  json_object_object_add (body, "cache", cache_json (engine, query));
  answer_json (conn, 200, "", body);
}

static const struct
{
  const char *path;
  const char *field;
  MfOrderKind kind;
} orders[] = {
  { "/v1/load_model", "model", MF_ORDER_MODEL },
  { "/v1/load_lora_adapter", "lora_name", MF_ORDER_ADAPTER },
  { "/v1/load_version", "version", MF_ORDER_VERSION },
  { "/v1/role", "role", MF_ORDER_ROLE },
};

static bool
on_order (FakeEngineHttp *engine, FakeConn *conn, const FakeHttpRequest *request, json_object *body)
{
  for (size_t i = 0; i < MF_ARRAY_LEN (orders); i++)
    {
      FakeEngineResult result;

      if (strcmp (request->path, orders[i].path) != 0)
        continue;
      engine->n_calls[MF_CALL_ORDER]++;
      result = fake_engine_order (engine->model, orders[i].kind,
                                  fake_setting_text (body, orders[i].field, ""),
                                  strtoull (request->fence, NULL, 10), fake_now_us ());
      if (result == FAKE_ACCEPTED)
        drop_all_work (engine);
      answer_status (conn, result == FAKE_ACCEPTED ? 200 : 412);
      return true;
    }
  return false;
}

static void
on_request (FakeConn *conn, const FakeHttpRequest *request, void *data)
{
  FakeEngineHttp *engine = data;
  json_object *body = request->body_bytes > 0 ? json_tokener_parse (request->body) : NULL;

  if (engine->silent)
    return;
  if (strcmp (request->path, "/load") == 0)
    on_load (engine, conn, request->query);
  else if (strcmp (request->path, "/v1/completions") == 0
           || strcmp (request->path, "/v1/chat/completions") == 0)
    on_completion (engine, conn, request);
  else if (strcmp (request->path, "/v1/resume") == 0)
    on_resume (engine, conn, body);
  else if (strcmp (request->path, "/abort_request") == 0)
    on_abort (engine, conn, body);
  else if (!on_order (engine, conn, request, body))
    answer_status (conn, 404);
  json_object_put (body);
  update_timers (engine);
}

static void
on_closed (FakeConn *conn, void *data)
{
  FakeEngineHttp *engine = data;
  Work *work;
  Work *next;

  HASH_ITER (hh, engine->works, work, next)
  {
    if (work->conn != conn)
      continue;
    work->conn = NULL;
    fake_engine_detach (engine->model, &work->id, fake_now_us ());
  }
  update_timers (engine);
}

static void
send_prefilled (FakeEngineHttp *engine, Work *work, const FakeEvent *event)
{
  json_object *body = json_object_new_object ();
  json_object *transfer = json_object_new_object ();

  json_object_object_add (transfer, "do_remote_prefill", json_object_new_boolean (true));
  fake_add_text (transfer, "remote_engine_id", fake_engine_http_name (engine));
  fake_add_number (transfer, "remote_handle", event->n);
  fake_add_number (transfer, "kv_bytes", event->bytes);
  fake_add_number (transfer, "life_ms", (event->until_us - event->at_us) / MF_US_PER_MS);
  json_object_object_add (body, "kv_transfer_params", transfer);
  answer_json (work->conn, 200, "Content-Type: application/json\r\n", body);
}

static void
send_chunk (const Work *work, const char *text, const char *reason)
{
  char chunk[512];
  char inner[160];
  int n;

  snprintf (inner, sizeof inner, work->chat ? "\"delta\":{\"content\":\"%s\"}" : "\"text\":\"%s\"",
            text);
  n = snprintf (chunk, sizeof chunk,
                "data: {\"id\":\"%s\",\"object\":\"%s\",\"choices\":[{\"index\":0,%s,"
                "\"logprobs\":null,\"finish_reason\":%s}]}\n\n",
                work->rid, work->chat ? "chat.completion.chunk" : "text_completion", inner, reason);
  fake_conn_send (work->conn, chunk, (size_t)n);
}

static void
send_event (FakeEngineHttp *engine, Work *work, const FakeEvent *event)
{
  char text[TAG_BYTES + 24];

  switch (event->type)
    {
    case FAKE_PREFILLED:
      send_prefilled (engine, work, event);
      break;
    case FAKE_IMPORTED:
      fake_conn_send (work->conn, ": imported\n\n", 12);
      break;
    case FAKE_TOKEN:
      snprintf (text, sizeof text, " %s.%" PRIu64, work->tag, event->n);
      send_chunk (work, text, "null");
      break;
    case FAKE_FINISHED:
      send_chunk (work, "", "\"stop\"");
      fake_conn_send (work->conn, "data: [DONE]\n\n", 14);
      fake_conn_end (work->conn);
      break;
    case FAKE_EXPIRED:
      if (!work->decode)
        break;
      fake_conn_send (work->conn, "data: {\"error\":\"kv expired\"}\n\n", 30);
      fake_conn_end (work->conn);
      break;
    case FAKE_DIED:
      break;
    }
}

/* The engine has crashed: closes its port, resets its connections and schedules the restart. */
static void
on_death (FakeEngineHttp *engine)
{
  fake_http_stop (engine->http);
  drop_all_work (engine);
  if (engine->restart_us == 0)
    return;
  ev_timer_stop (engine->loop, &engine->restart_timer);
  ev_timer_set (&engine->restart_timer, (double)engine->restart_us / 1e6, 0.0);
  ev_timer_start (engine->loop, &engine->restart_timer);
}

static void
on_model_event (FakeEngine *model, const FakeEvent *event, void *data)
{
  FakeEngineHttp *engine = data;
  char rid[RID_BYTES];
  Work *work;

  (void)model;
  if (event->type == FAKE_DIED)
    {
      on_death (engine);
      return;
    }
  format_rid (rid, &event->id);
  work = work_find (engine, rid);
  if (work == NULL)
    return;
  if (work->conn != NULL)
    send_event (engine, work, event);
  if (event->type == FAKE_PREFILLED || event->type == FAKE_FINISHED || event->type == FAKE_EXPIRED)
    work_free (engine, work);
}

static void
on_run_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  FakeEngineHttp *engine = timer->data;

  (void)loop;
  (void)events;
  fake_engine_run (engine->model, fake_now_us (), on_model_event, engine);
  update_timers (engine);
}

static void
restart_engine (FakeEngineHttp *engine)
{
  if (!fake_engine_is_dead (engine->model))
    return;
  fake_engine_run (engine->model, fake_now_us (), on_model_event, engine);
  ev_timer_stop (engine->loop, &engine->restart_timer);
  fake_engine_restart (engine->model, fake_now_us ());
  fake_http_start (engine->http);
  update_timers (engine);
}

static void
on_restart_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  restart_engine (timer->data);
}

bool
fake_engine_http_fault (FakeEngineHttp *engine, const char *kind, uint64_t value)
{
  uint64_t now_us = fake_now_us ();

  if (strcmp (kind, "kill") == 0)
    fake_engine_kill (engine->model, now_us);
  else if (strcmp (kind, "restart") == 0)
    restart_engine (engine);
  else if (strcmp (kind, "stall") == 0)
    fake_engine_stall (engine->model, now_us, now_us + value * MF_US_PER_MS);
  else if (strcmp (kind, "stall-link") == 0)
    fake_engine_stall_link (engine->model, now_us, now_us + value * MF_US_PER_MS);
  else if (strcmp (kind, "slow") == 0)
    fake_engine_set_speed (engine->model, (uint32_t)value);
  else if (strcmp (kind, "leave") == 0)
    fake_engine_leave (engine->model);
  else if (strcmp (kind, "drop") == 0)
    {
      /* Resets the connections; their work is detached, not freed. */
      fake_http_stop (engine->http);
      fake_http_start (engine->http);
    }
  else if (strcmp (kind, "silent") == 0)
    engine->silent = value != 0;
  else
    return false;
  update_timers (engine);
  return true;
}

static bool
add_kv_entry (const FakeKvEntry *held, void *data)
{
  json_object *row = json_object_new_object ();
  char rid[RID_BYTES];

  format_rid (rid, &held->id);
  fake_add_text (row, "rid", rid);
  fake_add_number (row, "pieces", held->pieces);
  json_object_object_add (row, "decoding", json_object_new_boolean (held->decoding));
  json_object_object_add (row, "exporting", json_object_new_boolean (held->exporting));
  json_object_array_add (data, row);
  return true;
}

json_object *
fake_engine_http_ledger (const FakeEngineHttp *engine)
{
  const FakeLedger *ledger = fake_engine_ledger (engine->model);
  json_object *row = json_object_new_object ();
  json_object *held = json_object_new_array ();

  fake_engine_foreach_kv_entry (engine->model, add_kv_entry, held);
  fake_add_text (row, "name", fake_engine_http_name (engine));
  json_object_object_add (row, "dead",
                          json_object_new_boolean (fake_engine_is_dead (engine->model)));
  fake_add_number (row, "prefill_tokens", ledger->prefill_tokens);
  fake_add_number (row, "cached_tokens", ledger->cached_tokens);
  fake_add_number (row, "wasted_prefill_tokens", ledger->wasted_prefill_tokens);
  fake_add_number (row, "tokens", ledger->tokens);
  fake_add_number (row, "deaths", ledger->deaths);
  fake_add_number (row, "refused", engine->n_refused);
  fake_add_number (row, "cancelled", ledger->cancelled);
  fake_add_number (row, "orders_obeyed", ledger->orders_obeyed);
  fake_add_number (row, "orders_refused", ledger->orders_refused);
  fake_add_number (row, "prefills", engine->n_calls[MF_CALL_PREFILL]);
  fake_add_number (row, "decodes", engine->n_calls[MF_CALL_DECODE]);
  fake_add_number (row, "resumes", engine->n_calls[MF_CALL_RESUME]);
  fake_add_number (row, "cancels", engine->n_calls[MF_CALL_CANCEL]);
  fake_add_number (row, "owner_cancels", engine->n_calls[MF_CALL_CANCEL_OWNER]);
  json_object_object_add (row, "held", held);
  return row;
}

static FakeEngineOptions
read_options (json_object *settings)
{
  FakeEngineOptions options = {
    .role = strcmp (fake_setting_text (settings, "role", "prefill"), "decode") == 0
                ? MF_ROLE_DECODE
                : MF_ROLE_PREFILL,
    .slots = (uint32_t)fake_setting (settings, "slots", 20),
    .queue = (uint32_t)fake_setting (settings, "queue", 8),
    .pieces = (uint32_t)fake_setting (settings, "pieces", 200),
    .cache_pieces = (uint32_t)fake_setting (settings, "cache_pieces", 40),
    .prefill_tokens_per_s = fake_setting (settings, "prefill_tokens_per_s", 50000),
    .prefill_base_us = fake_setting (settings, "prefill_base_us", 2000),
    .step_us = fake_setting (settings, "step_us", 8000),
    .step_stream_us = fake_setting (settings, "step_stream_us", 200),
    .kv_token_bytes = fake_setting (settings, "kv_token_bytes", 131072),
    .link_bytes_per_s = fake_setting (settings, "link_mb_per_s", 10000) * 1000000,
    .result_life_us = fake_setting (settings, "result_life_ms", 800) * MF_US_PER_MS,
    .load_lag_us = fake_setting (settings, "load_lag_ms", 50) * MF_US_PER_MS,
    .cache_lag_us = fake_setting (settings, "cache_lag_ms", 50) * MF_US_PER_MS,
    .cache_gap_ppm = (uint32_t)fake_setting (settings, "cache_gap_ppm", 10000),
    .checks_fencing = fake_setting (settings, "checks_fencing", 0) != 0,
    .load_model_us = fake_setting (settings, "load_model_ms", 500) * MF_US_PER_MS,
    .poison_digest = POISON_DIGEST,
    .seed = fake_setting (settings, "seed", 1),
  };

  mf_name_set (options.name, sizeof options.name, fake_setting_text (settings, "name", "engine"));
  return options;
}

FakeEngineHttp *
fake_engine_http_new (struct ev_loop *loop, FakeEngineHttp **list, json_object *settings)
{
  static const FakeHttpCallbacks callbacks = { .on_request = on_request, .on_closed = on_closed };
  FakeEngineOptions options = read_options (settings);
  FakeEngineHttp *engine = calloc (1, sizeof *engine);

  if (engine == NULL)
    abort ();
  engine->loop = loop;
  engine->list = list;
  engine->next = *list;
  *list = engine;
  engine->model = fake_engine_new (&options, fake_now_us ());
  engine->restart_us = fake_setting (settings, "restart_ms", 0) * MF_US_PER_MS;
  mf_name_set (engine->poison, sizeof engine->poison,
               fake_setting_text (settings, "poison", "POISON"));
  ev_timer_init (&engine->run_timer, on_run_timer, 0.0, 0.0);
  ev_timer_init (&engine->restart_timer, on_restart_timer, 0.0, 0.0);
  engine->run_timer.data = engine;
  engine->restart_timer.data = engine;
  engine->http = fake_http_new (loop, fake_setting_text (settings, "address", "127.0.0.1:0"),
                                &callbacks, engine);
  return engine;
}

void
fake_engine_http_free (FakeEngineHttp *engine)
{
  fake_http_free (engine->http);
  drop_all_work (engine);
  ev_timer_stop (engine->loop, &engine->run_timer);
  ev_timer_stop (engine->loop, &engine->restart_timer);
  fake_engine_free (engine->model);
  free (engine);
}

const char *
fake_engine_http_name (const FakeEngineHttp *engine)
{
  return fake_engine_options (engine->model)->name;
}

FakeEngineHttp *
fake_engine_http_next (FakeEngineHttp *engine)
{
  return engine->next;
}
