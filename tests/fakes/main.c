#include "fakes.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_BYTES_MAX ((size_t)2 * 1024 * 1024)

/* All stand-ins and the control port, on which a test reads their counters, injects faults and
 * publishes the operators' text or the list of instances: GET /ledger; POST
 * /fault?target=NAME&kind=KIND&value=N&from=NAME; POST /text and POST /list with a body. */
typedef struct
{
  struct ev_loop *loop;
  FakeHttp *control;
  FakeEngineHttp *engines;
  FakePlain *plains;
  FakePlatform *platform;
  FakePeerProxy *proxies;
} Fakes;

static json_object *
ledger_json (Fakes *fakes)
{
  json_object *ledger = json_object_new_object ();
  json_object *engines = json_object_new_array ();
  json_object *plains = json_object_new_array ();

  for (FakeEngineHttp *engine = fakes->engines; engine != NULL;
       engine = fake_engine_http_next (engine))
    json_object_array_add (engines, fake_engine_http_ledger (engine));
  for (FakePlain *plain = fakes->plains; plain != NULL; plain = fake_plain_next (plain))
    json_object_array_add (plains, fake_plain_ledger (plain));
  json_object_object_add (ledger, "engines", engines);
  json_object_object_add (ledger, "plain", plains);
  if (fakes->platform != NULL)
    json_object_object_add (ledger, "platform", fake_platform_ledger (fakes->platform));
  return ledger;
}

static bool
set_fault (Fakes *fakes, const char *query)
{
  char target[MF_NAME_BYTES];
  char kind[MF_NAME_BYTES];
  char value_text[24];
  char from[MF_NAME_BYTES];
  uint64_t value;

  fake_query_get (query, "target", target, sizeof target);
  fake_query_get (query, "kind", kind, sizeof kind);
  fake_query_get (query, "value", value_text, sizeof value_text);
  value = strtoull (value_text, NULL, 10);
  if (strcmp (target, "platform") == 0 && fakes->platform != NULL)
    return fake_platform_fault (fakes->platform, kind, value);
  for (FakeEngineHttp *engine = fakes->engines; engine != NULL;
       engine = fake_engine_http_next (engine))
    {
      if (strcmp (fake_engine_http_name (engine), target) == 0)
        return fake_engine_http_fault (engine, kind, value);
    }
  fake_query_get (query, "from", from, sizeof from);
  for (FakePeerProxy *proxy = fakes->proxies; proxy != NULL; proxy = fake_peer_proxy_next (proxy))
    {
      if (strcmp (fake_peer_proxy_name (proxy), target) == 0)
        return fake_peer_proxy_fault (proxy, kind, from);
    }
  for (FakePlain *plain = fakes->plains; plain != NULL; plain = fake_plain_next (plain))
    {
      if (strcmp (fake_plain_name (plain), target) == 0)
        return fake_plain_fault (plain, kind, value);
    }
  return false;
}

static bool
handle_post (Fakes *fakes, const FakeHttpRequest *request)
{
  if (strcmp (request->path, "/fault") == 0)
    return set_fault (fakes, request->query);
  if (fakes->platform == NULL)
    return false;
  if (strcmp (request->path, "/list") == 0)
    return fake_platform_set_list (fakes->platform, request->body);
  if (strcmp (request->path, "/text") != 0)
    return false;
  fake_platform_set_text (fakes->platform, request->body);
  return true;
}

static void
on_request (FakeConn *conn, const FakeHttpRequest *request, void *data)
{
  Fakes *fakes = data;
  json_object *ledger;
  const char *text;

  if (strcmp (request->path, "/ledger") == 0)
    {
      ledger = ledger_json (fakes);
      text = json_object_to_json_string_ext (ledger, JSON_C_TO_STRING_PRETTY);
      fake_conn_answer (conn, 200, "Content-Type: application/json\r\n", text, strlen (text));
      json_object_put (ledger);
      return;
    }
  fake_conn_answer (conn, handle_post (fakes, request) ? 200 : 400, "", "{}\n", 3);
}

static void
on_closed (FakeConn *conn, void *data)
{
  (void)conn;
  (void)data;
}

static void
on_signal (struct ev_loop *loop, ev_signal *signal, int events)
{
  (void)signal;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static char *
read_file (const char *path)
{
  FILE *file = fopen (path, "rb");
  char *text = calloc (1, FILE_BYTES_MAX + 1);

  if (file == NULL || text == NULL || fread (text, 1, FILE_BYTES_MAX, file) == 0)
    {
      fprintf (stderr, "fakes: cannot read %s\n", path);
      exit (1);
    }
  fclose (file);
  return text;
}

static void
start_platform (Fakes *fakes, json_object *settings)
{
  const char *path = fake_setting_text (settings, "text_file", "");
  char *text;

  if (settings == NULL)
    return;
  fakes->platform = fake_platform_new (fakes->loop, settings);
  if (*path == '\0')
    return;
  text = read_file (path);
  fake_platform_set_text (fakes->platform, text);
  free (text);
}

static void
start_fakes (Fakes *fakes, json_object *settings)
{
  static const FakeHttpCallbacks callbacks = { .on_request = on_request, .on_closed = on_closed };
  json_object *engines = json_object_object_get (settings, "engines");
  json_object *plains = json_object_object_get (settings, "plain");
  json_object *proxies = json_object_object_get (settings, "relays");

  for (size_t i = 0; engines != NULL && i < json_object_array_length (engines); i++)
    fake_engine_http_new (fakes->loop, &fakes->engines, json_object_array_get_idx (engines, i));
  for (size_t i = 0; plains != NULL && i < json_object_array_length (plains); i++)
    fake_plain_new (fakes->loop, &fakes->plains, json_object_array_get_idx (plains, i));
  for (size_t i = 0; proxies != NULL && i < json_object_array_length (proxies); i++)
    fake_peer_proxy_new (fakes->loop, &fakes->proxies, json_object_array_get_idx (proxies, i));
  start_platform (fakes, json_object_object_get (settings, "platform"));
  fakes->control = fake_http_new (
      fakes->loop, fake_setting_text (settings, "control", "127.0.0.1:0"), &callbacks, fakes);
  printf ("control 127.0.0.1:%u\n", fake_http_port (fakes->control));
  fflush (stdout);
}

static void
stop_fakes (Fakes *fakes)
{
  fake_http_free (fakes->control);
  while (fakes->engines != NULL)
    {
      FakeEngineHttp *engine = fakes->engines;

      fakes->engines = fake_engine_http_next (engine);
      fake_engine_http_free (engine);
    }
  while (fakes->plains != NULL)
    {
      FakePlain *plain = fakes->plains;

      fakes->plains = fake_plain_next (plain);
      fake_plain_free (plain);
    }
  while (fakes->proxies != NULL)
    {
      FakePeerProxy *proxy = fakes->proxies;

      fakes->proxies = fake_peer_proxy_next (proxy);
      fake_peer_proxy_free (proxy);
    }
  fake_platform_free (fakes->platform);
}

/* Usage: fakes FILE, where FILE has the settings of the stand-ins in JSON. */
int
main (int argc, char **argv)
{
  Fakes fakes = { .loop = ev_default_loop (0) };
  ev_signal term;
  ev_signal interrupt;
  char *text;
  json_object *settings;

  if (argc != 2)
    {
      fprintf (stderr, "usage: fakes FILE\n");
      return 2;
    }
  text = read_file (argv[1]);
  settings = json_tokener_parse (text);
  free (text);
  if (settings == NULL)
    {
      fprintf (stderr, "fakes: %s: invalid JSON\n", argv[1]);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_start (fakes.loop, &term);
  ev_signal_init (&interrupt, on_signal, SIGINT);
  ev_signal_start (fakes.loop, &interrupt);
  start_fakes (&fakes, settings);
  ev_run (fakes.loop, 0);
  stop_fakes (&fakes);
  json_object_put (settings);
  ev_loop_destroy (fakes.loop);
  return 0;
}
