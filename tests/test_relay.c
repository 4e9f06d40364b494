#include "libmangofork/relay/relay.h"

#include "platform/platform.h"

#include "fakes/store.h"
#include "fakes/wire.h"
#include "loop_pump.h"

#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define PORT 21761
#define READY_PORT 21762
#define METRICS_PORT 21763
#define SETTINGS "relay-test.conf"

/* A relay with its store and two upstreams of one plain service, on one loop. */
typedef struct
{
  struct ev_loop *loop;
  FakeStore *store;
  FakeWire *upstreams[2];
  MfRelay *relay;
  int out;
  char got[65536];
} Stage;

static void
on_upstream (FakeWireConn *conn, const char *text, void *data)
{
  char id[64] = "";
  char answer[256];

  (void)data;
  fake_wire_header (text, "X-Attempt-Id", id, sizeof id);
  snprintf (
      answer, sizeof answer,
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok",
      id);
  fake_wire_send (conn, answer);
}

static void
config_put (Stage *stage, unsigned version, const char *prefix)
{
  char text[1024];

  snprintf (
      text, sizeof text,
      "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"%s\","
      "\"kind\":\"non_idempotent\",\"timeoutMs\":600,\"targetLatencyMs\":100,\"service\":\"s\","
      "\"maxAttempts\":1}],\"services\":[{\"name\":\"s\"}],\"limits\":{}}",
      version, prefix);
  fake_store_put (stage->store, "op/config", text);
}

static void
upstream_put (Stage *stage, unsigned index, const char *state)
{
  char id[8];

  snprintf (id, sizeof id, "u%u", index);
  fake_store_put_upstream (stage->store, id, "s", fake_wire_address (stage->upstreams[index]), "",
                           state);
}

static void
stage_begin (Stage *stage)
{
  MfError error = { 0 };
  FILE *file = fopen (SETTINGS, "w");

  memset (stage, 0, sizeof *stage);
  stage->loop = ev_default_loop (0);
  stage->store = fake_store_new (stage->loop);
  assert_non_null (file);
  fprintf (file,
           "node=n1\nzone=z\nlisten.front=127.0.0.1:%d\nlisten.readiness=127.0.0.1:%d\n"
           "internalPorts=%d,%d\nprovider.address=%s\nbounds.contactMs=400\nbounds.graceS=3\n",
           PORT, READY_PORT, METRICS_PORT, METRICS_PORT + 1, fake_store_address (stage->store));
  fclose (file);
  for (unsigned i = 0; i < 2; i++)
    stage->upstreams[i] = fake_wire_new (stage->loop, on_upstream, stage);
  stage->out = dup (STDOUT_FILENO);
  stage->relay = mf_relay_new (&platform_deployment, SETTINGS, &error);
  assert_non_null (stage->relay);
}

static void
stage_end (Stage *stage)
{
  mf_relay_free (stage->relay);
  for (unsigned i = 0; i < 2; i++)
    fake_wire_free (stage->upstreams[i]);
  fake_store_free (stage->store);
  close (stage->out);
  unlink (SETTINGS);
}

/* The status of a request at a port; 0 when the connection ends without one. */
static int
status_of (Stage *stage, int port, const char *path)
{
  char text[256];
  int fd = loop_connect ((uint16_t)port);

  if (fd < 0)
    return 0;
  snprintf (text, sizeof text,
            "GET %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nConnection: close\r\n\r\n", path);
  loop_send (fd, text, strlen (text));
  loop_receive (stage->loop, fd, NULL, stage->got, sizeof stage->got);
  close (fd);
  return strncmp (stage->got, "HTTP/1.1 ", 9) == 0 ? atoi (stage->got + 9) : 0;
}

/* What is waited for: a status of a path at a port. */
typedef struct
{
  Stage *stage;
  int port;
  const char *path;
  int status;
} Wanted;

static bool
has_status (void *data)
{
  Wanted *wanted = data;

  /* Some time passes between two questions, which are answered at once. */
  loop_spin (wanted->stage->loop, 5);
  return status_of (wanted->stage, wanted->port, wanted->path) == wanted->status;
}

static void
wait_for (Stage *stage, int port, const char *path, int status)
{
  Wanted wanted = { stage, port, path, status };

  assert_true (loop_pump (stage->loop, has_status, &wanted));
}

static void
test_nothing_is_known_at_first (void **state)
{
  Stage stage;

  (void)state;
  stage_begin (&stage);
  assert_int_equal (status_of (&stage, READY_PORT, "/ready"), 503);
  /* Not 404: a configuration may have the route. */
  assert_int_equal (status_of (&stage, PORT, "/a/1"), 503);
  assert_non_null (strstr (stage.got, "Retry-After"));
  config_put (&stage, 1, "/a/");
  upstream_put (&stage, 0, "ready");
  wait_for (&stage, READY_PORT, "/ready", 200);
  wait_for (&stage, PORT, "/a/1", 200);
  assert_int_equal (status_of (&stage, PORT, "/b/1"), 404);
  assert_int_equal (status_of (&stage, METRICS_PORT, "/metrics"), 200);
  assert_non_null (strstr (stage.got, "mangofork_relay_requests_total"));
  stage_end (&stage);
}

static void
test_newer_versions_replace_older_ones_only (void **state)
{
  Stage stage;

  (void)state;
  stage_begin (&stage);
  upstream_put (&stage, 0, "ready");
  config_put (&stage, 5, "/a/");
  wait_for (&stage, PORT, "/a/1", 200);
  config_put (&stage, 9, "/b/");
  wait_for (&stage, PORT, "/b/1", 200);
  assert_int_equal (status_of (&stage, PORT, "/a/1"), 404);
  config_put (&stage, 7, "/c/");
  fake_store_put (stage.store, "op/config", "{\"version\":11,\"routes\":7}");
  loop_spin (stage.loop, 200);
  assert_int_equal (status_of (&stage, PORT, "/b/1"), 200);
  assert_int_equal (status_of (&stage, PORT, "/c/1"), 404);
  stage_end (&stage);
}

static void
test_leaving_upstreams_get_nothing (void **state)
{
  Stage stage;
  uint32_t n_before;

  (void)state;
  stage_begin (&stage);
  config_put (&stage, 1, "/a/");
  upstream_put (&stage, 0, "ready");
  wait_for (&stage, PORT, "/a/1", 200);
  upstream_put (&stage, 1, "ready");
  upstream_put (&stage, 0, "draining");
  loop_spin (stage.loop, 400);
  n_before = fake_wire_n_requests (stage.upstreams[0]);
  for (unsigned i = 0; i < 10; i++)
    assert_int_equal (status_of (&stage, PORT, "/a/1"), 200);
  assert_int_equal (fake_wire_n_requests (stage.upstreams[0]), n_before);
  assert_true (fake_wire_n_requests (stage.upstreams[1]) >= 10);
  /* An entry that ends without a word, and one that cannot be read. */
  fake_store_remove (stage.store, "servers/u1");
  wait_for (&stage, PORT, "/a/1", 503);
  upstream_put (&stage, 1, "ready");
  wait_for (&stage, PORT, "/a/1", 200);
  fake_store_put (stage.store, "servers/u1", "{\"service\":");
  wait_for (&stage, PORT, "/a/1", 503);
  stage_end (&stage);
}

/* Pages of a list: more upstreams than one page holds are all known. */
static void
test_lists_have_pages (void **state)
{
  Stage stage;

  (void)state;
  stage_begin (&stage);
  for (unsigned i = 0; i < FAKE_STORE_PAGE * 2; i++)
    {
      char id[8];

      snprintf (id, sizeof id, "a%u", i);
      fake_store_put_upstream (stage.store, id, "other", "127.0.0.1:1", "", "ready");
    }
  upstream_put (&stage, 1, "ready");
  config_put (&stage, 1, "/a/");
  wait_for (&stage, PORT, "/a/1", 200);
  stage_end (&stage);
}

static void
test_the_store_is_away_in_every_way (void **state)
{
  static const FakeStoreMood moods[]
      = { FAKE_STORE_BUSY, FAKE_STORE_MANY, FAKE_STORE_RESETS, FAKE_STORE_SILENT };
  Stage stage;

  (void)state;
  stage_begin (&stage);
  config_put (&stage, 1, "/a/");
  upstream_put (&stage, 0, "ready");
  wait_for (&stage, PORT, "/a/1", 200);
  for (unsigned i = 0; i < MF_ARRAY_LEN (moods); i++)
    {
      char prefix[8];
      char path[8];

      snprintf (prefix, sizeof prefix, "/%u/", i);
      snprintf (path, sizeof path, "/%u/x", i);
      fake_store_mood (stage.store, moods[i]);
      loop_spin (stage.loop, 100);
      assert_int_equal (status_of (&stage, READY_PORT, "/ready"), 200);
      config_put (&stage, i + 2, prefix);
      /* The history is gone by the time it is back. */
      fake_store_forget (stage.store);
      fake_store_mood (stage.store, FAKE_STORE_SERVES);
      wait_for (&stage, PORT, path, 200);
    }
  stage_end (&stage);
}

/* An entry that lapsed while the store was away is used on for a while, and dropped when it is not
 * back by then. */
static void
test_lapsed_entries_are_kept_for_a_while (void **state)
{
  Stage stage;

  (void)state;
  stage_begin (&stage);
  config_put (&stage, 1, "/a/");
  upstream_put (&stage, 0, "ready");
  upstream_put (&stage, 1, "ready");
  wait_for (&stage, PORT, "/a/1", 200);
  fake_store_mood (stage.store, FAKE_STORE_BUSY);
  loop_spin (stage.loop, 600);
  fake_store_remove (stage.store, "servers/u0");
  fake_store_remove (stage.store, "servers/u1");
  fake_store_mood (stage.store, FAKE_STORE_SERVES);
  loop_spin (stage.loop, 300);
  assert_int_equal (status_of (&stage, PORT, "/a/1"), 200);
  upstream_put (&stage, 1, "ready");
  loop_spin (stage.loop, 1300);
  assert_int_equal (status_of (&stage, PORT, "/a/1"), 200);
  fake_store_remove (stage.store, "servers/u1");
  wait_for (&stage, PORT, "/a/1", 503);
  stage_end (&stage);
}

static bool
cannot_connect (void *data)
{
  Stage *stage = data;
  int fd;

  loop_spin (stage->loop, 2);
  fd = loop_connect (PORT);
  if (fd >= 0)
    close (fd);
  return fd < 0;
}

/* SIGTERM: the balancer is told at once and callers are served on; late in the grace no request is
 * taken any more that the end would cut, on new connections or on kept ones. */
static void
test_shutdown (void **state)
{
  static const char late[] = "GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n\r\n";
  Stage stage;
  int kept;

  (void)state;
  stage_begin (&stage);
  config_put (&stage, 1, "/a/");
  upstream_put (&stage, 0, "ready");
  wait_for (&stage, PORT, "/a/1", 200);
  raise (SIGTERM);
  wait_for (&stage, READY_PORT, "/ready", 503);
  assert_int_equal (status_of (&stage, PORT, "/a/1"), 200);
  assert_non_null (strstr (stage.got, "Connection: close"));
  kept = loop_connect (PORT);
  assert_true (loop_pump (stage.loop, cannot_connect, &stage));
  assert_int_equal (status_of (&stage, READY_PORT, "/ready"), 503);
  /* For some moments more an answer would still come before the end. */
  loop_spin (stage.loop, 100);
  loop_send (kept, late, strlen (late));
  loop_receive (stage.loop, kept, NULL, stage.got, sizeof stage.got);
  assert_true (stage.got[0] == '\0' || strncmp (stage.got, "HTTP/1.1 503", 12) == 0);
  close (kept);
  mf_relay_run (stage.relay);
  stage_end (&stage);
  /* A signal that comes while the process ends does not end it in another way. */
  raise (SIGTERM);
  signal (SIGTERM, SIG_IGN);
}

static void
test_settings_are_read_again (void **state)
{
  Stage stage;
  FakeStore *other;
  uint32_t n_before;
  FILE *file;

  (void)state;
  stage_begin (&stage);
  config_put (&stage, 1, "/a/");
  upstream_put (&stage, 0, "ready");
  wait_for (&stage, PORT, "/a/1", 200);
  other = fake_store_new (stage.loop);
  file = fopen (SETTINGS, "w");
  assert_non_null (file);
  fprintf (file,
           "node=n1\nzone=z\nlisten.front=127.0.0.1:%d\nlisten.readiness=127.0.0.1:%d\n"
           "provider.address=%s\nbounds.contactMs=400\n",
           PORT, READY_PORT, fake_store_address (other));
  fclose (file);
  raise (SIGHUP);
  loop_spin (stage.loop, 300);
  assert_true (fake_store_n_calls (other) > 0);
  /* Without a signal it takes a look at the file. */
  file = fopen (SETTINGS, "w");
  assert_non_null (file);
  fprintf (file,
           "node=n1\nzone=z\nlisten.front=127.0.0.1:%d\nlisten.readiness=127.0.0.1:%d\n"
           "provider.address=%s\nbounds.contactMs=400\n",
           PORT, READY_PORT, fake_store_address (stage.store));
  fclose (file);
  n_before = fake_store_n_calls (stage.store);
  loop_spin (stage.loop, 900);
  assert_true (fake_store_n_calls (stage.store) > n_before);
  /* Faulty settings change nothing. */
  file = fopen (SETTINGS, "w");
  assert_non_null (file);
  fclose (file);
  raise (SIGHUP);
  loop_spin (stage.loop, 50);
  assert_int_equal (status_of (&stage, READY_PORT, "/ready"), 200);
  stage_end (&stage);
  fake_store_free (other);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nothing_is_known_at_first),
    cmocka_unit_test (test_newer_versions_replace_older_ones_only),
    cmocka_unit_test (test_leaving_upstreams_get_nothing),
    cmocka_unit_test (test_lists_have_pages),
    cmocka_unit_test (test_the_store_is_away_in_every_way),
    cmocka_unit_test (test_lapsed_entries_are_kept_for_a_while),
    cmocka_unit_test (test_shutdown),
    cmocka_unit_test (test_settings_are_read_again),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
