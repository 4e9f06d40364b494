#include "libmangofork/relay/relay.h"

#include "libmangofork/clock.h"
#include "platform/platform.h"

#include "fakes/ports.h"
#include "fakes/store.h"
#include "fakes/upstream.h"
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

#define N_PEERS 8
#define CHANGE_MS 1000
#define CONTACT_MS 400
/* 10 Mbit/s. */
#define SLOW_LINK_BYTES_PER_S 1250000
/* The factor with which the relay ranks the instances of a data centre. */
#define RANK_FACTOR UINT64_C (0x9e3779b97f4a7c15)
#define SETTINGS "relay-test.conf"
/* The second relay of a pair. */
#define OTHER_SETTINGS "relay-test-other.conf"

/* Where the relay of the current test listens. */
static uint16_t front_port;
static uint16_t ready_port;
static uint16_t metrics_port;
/* The same of the second relay of a pair. */
static uint16_t other_port;

/* A relay with its store and two upstreams of a plain service, on one event loop. */
typedef struct
{
  struct ev_loop *loop;
  FakeStore *store;
  FakeUpstream *upstreams[2];
  MfRelay *relay;
  int out;
  char received[65536];
} Fixture;

static void
on_upstream (FakeUpstreamConn *conn, const char *text, void *data)
{
  char id[64] = "";
  char answer[256];

  (void)data;
  fake_upstream_request_header (text, "X-Attempt-Id", id, sizeof id);
  snprintf (
      answer, sizeof answer,
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok",
      id);
  fake_upstream_conn_send (conn, answer);
}

static void
config_put (Fixture *fixture, unsigned version, const char *prefix)
{
  char text[1024];

  snprintf (
      text, sizeof text,
      "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"%s\","
      "\"kind\":\"non_idempotent\",\"timeoutMs\":600,\"targetLatencyMs\":100,\"service\":\"s\","
      "\"maxAttempts\":1}],\"services\":[{\"name\":\"s\"}],\"limits\":{}}",
      version, prefix);
  fake_store_put (fixture->store, "op/config", text);
}

/* A configuration with n_routes further routes of some 250 bytes. */
static void
config_put_large (Fixture *fixture, unsigned version, const char *prefix, unsigned n_routes)
{
  MfBuffer text = { 0 };
  char route[512];

  for (unsigned i = 0; i <= n_routes; i++)
    {
      snprintf (route, sizeof route,
                "%s{\"name\":\"%s%u\",\"host\":\"h\",\"pathPrefix\":\"%s%u/\",\"kind\":"
                "\"non_idempotent\",\"timeoutMs\":600,\"targetLatencyMs\":100,\"service\":\"s\","
                "\"maxAttempts\":1}",
                i == 0 ? "" : ",",
                "a-route-of-a-customer-with-a-long-name-that-says-what-it-is-for-", i, prefix, i);
      if (i == 0)
        {
          char head[64];

          snprintf (head, sizeof head, "{\"version\":%u,\"routes\":[", version);
          mf_buffer_add_text (&text, head);
        }
      mf_buffer_add_text (&text, route);
    }
  mf_buffer_add_text (&text, "],\"services\":[{\"name\":\"s\"}],\"limits\":{}}");
  mf_buffer_add (&text, "", 1);
  fake_store_put (fixture->store, "op/config", mf_buffer_data (&text));
  mf_buffer_clear (&text);
}

static void
upstream_put (Fixture *fixture, unsigned index, const char *state)
{
  char id[8];

  snprintf (id, sizeof id, "u%u", index);
  fake_store_put_upstream (fixture->store, id, "s",
                           fake_upstream_address (fixture->upstreams[index]), "", state);
}

/* peers is the address for other instances; empty: none. */
static void
fixture_begin_with (Fixture *fixture, const char *peers, unsigned contact_ms)
{
  MfError error = { 0 };
  FILE *file = fopen (SETTINGS, "w");

  memset (fixture, 0, sizeof *fixture);
  front_port = fake_ports_reserve ();
  ready_port = fake_ports_reserve ();
  metrics_port = fake_ports_reserve ();
  fixture->loop = ev_default_loop (0);
  fixture->store = fake_store_new (fixture->loop);
  assert_non_null (file);
  fprintf (file,
           "node=n1\nzone=z\nlisten.front=127.0.0.1:%d\nlisten.readiness=127.0.0.1:%d\n"
           "internalPorts=%d,%d\nprovider.address=%s\nbounds.contactMs=%u\nbounds.graceS=3\n"
           "bounds.drainMs=%d\nlisten.control=%s\n",
           front_port, ready_port, metrics_port, metrics_port, fake_store_address (fixture->store),
           contact_ms, CHANGE_MS, peers);
  fclose (file);
  for (unsigned i = 0; i < 2; i++)
    fixture->upstreams[i] = fake_upstream_new (fixture->loop, on_upstream, fixture);
  fixture->out = dup (STDOUT_FILENO);
  fixture->relay = mf_relay_new (&platform_deployment, SETTINGS, &error);
  assert_non_null (fixture->relay);
}

static void
fixture_begin (Fixture *fixture)
{
  fixture_begin_with (fixture, "", CONTACT_MS);
}

static void
fixture_end (Fixture *fixture)
{
  mf_relay_free (fixture->relay);
  for (unsigned i = 0; i < 2; i++)
    fake_upstream_free (fixture->upstreams[i]);
  fake_store_free (fixture->store);
  close (fixture->out);
  unlink (SETTINGS);
}

/* Returns the status of the response to a request; 0 when the connection closes without one. */
static int
status_of (Fixture *fixture, int port, const char *path)
{
  char text[256];
  int fd = loop_connect ((uint16_t)port);

  if (fd < 0)
    return 0;
  snprintf (text, sizeof text,
            "GET %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nConnection: close\r\n\r\n", path);
  loop_send (fd, text, strlen (text));
  loop_receive (fixture->loop, fd, NULL, fixture->received, sizeof fixture->received);
  close (fd);
  return strncmp (fixture->received, "HTTP/1.1 ", 9) == 0 ? atoi (fixture->received + 9) : 0;
}

typedef struct
{
  Fixture *fixture;
  int port;
  const char *path;
  int status;
} StatusWait;

static bool
has_status (void *data)
{
  StatusWait *wait = data;

  /* A delay between the requests, which are answered at once. */
  loop_spin (wait->fixture->loop, 5);
  return status_of (wait->fixture, wait->port, wait->path) == wait->status;
}

static void
wait_for (Fixture *fixture, int port, const char *path, int status)
{
  StatusWait wait = { fixture, port, path, status };

  assert_true (loop_pump (fixture->loop, has_status, &wait));
}

/* Begins with a route, /a/, that the first upstream serves. */
static void
fixture_begin_serving (Fixture *fixture)
{
  fixture_begin (fixture);
  config_put (fixture, 1, "/a/");
  upstream_put (fixture, 0, "ready");
  wait_for (fixture, front_port, "/a/1", 200);
}

static void
test_nothing_is_known_at_first (void **state)
{
  Fixture fixture;

  (void)state;
  fixture_begin (&fixture);
  assert_int_equal (status_of (&fixture, ready_port, "/ready"), 503);
  /* Not 404, since the configuration that is not read yet may have the route. */
  assert_int_equal (status_of (&fixture, front_port, "/a/1"), 503);
  assert_non_null (strstr (fixture.received, "Retry-After"));
  config_put (&fixture, 1, "/a/");
  upstream_put (&fixture, 0, "ready");
  wait_for (&fixture, ready_port, "/ready", 200);
  wait_for (&fixture, front_port, "/a/1", 200);
  assert_int_equal (status_of (&fixture, front_port, "/b/1"), 404);
  assert_int_equal (status_of (&fixture, metrics_port, "/metrics"), 200);
  assert_non_null (strstr (fixture.received, "mangofork_relay_requests_total"));
  fixture_end (&fixture);
}

static uint64_t
n_sends (const Fixture *fixture)
{
  const char *line = strstr (fixture->received, "\nmangofork_relay_sends_total ");

  assert_non_null (line);
  return strtoull (line + strlen ("\nmangofork_relay_sends_total "), NULL, 10);
}

/* Guards against an answer that differs from what placement does, and against one that sends. */
static void
test_placement_is_shown_and_not_done (void **state)
{
  Fixture fixture;
  uint64_t n_before;

  (void)state;
  fixture_begin (&fixture);
  assert_int_equal (status_of (&fixture, metrics_port, "/place?host=h&path=/a/1"), 503);
  config_put (&fixture, 1, "/a/");
  upstream_put (&fixture, 0, "ready");
  upstream_put (&fixture, 1, "draining");
  wait_for (&fixture, ready_port, "/ready", 200);
  wait_for (&fixture, front_port, "/a/1", 200);
  status_of (&fixture, metrics_port, "/metrics");
  n_before = n_sends (&fixture);
  assert_int_equal (
      status_of (&fixture, metrics_port, "/place?method=GET&host=h&path=%2Fa%2F1&tokens=10,20"),
      200);
  assert_non_null (strstr (fixture.received, "\"chosen\":\"u0\""));
  assert_non_null (strstr (fixture.received, "\"left_out\":\"\""));
  assert_non_null (strstr (fixture.received, "\"left_out\":\"has left"));
  assert_int_equal (status_of (&fixture, metrics_port, "/place?host=h&path=/b/1"), 404);
  assert_int_equal (status_of (&fixture, metrics_port, "/place?host=h"), 400);
  assert_int_equal (status_of (&fixture, metrics_port, "/place?host=h&path=%2"), 400);
  assert_int_equal (status_of (&fixture, metrics_port, "/place?host=h&path=/a&tokens=1"), 400);
  status_of (&fixture, metrics_port, "/metrics");
  assert_int_equal (n_sends (&fixture), n_before);
  fixture_end (&fixture);
}

/* Operators see where requests went and why; nothing of it is shown where spillover is off. */
static void
test_spillover_is_counted (void **state)
{
  Fixture fixture;
  char text[256];

  (void)state;
  fixture_begin (&fixture);
  mf_relay_set_spillover (fixture.relay, MF_SPILLOVER_ON, 2000.);
  config_put (&fixture, 1, "/a/");
  upstream_put (&fixture, 0, "ready");
  wait_for (&fixture, ready_port, "/ready", 200);
  wait_for (&fixture, front_port, "/a/1", 200);
  loop_spin (fixture.loop, 250);
  assert_int_equal (status_of (&fixture, front_port, "/a/1"), 200);
  status_of (&fixture, metrics_port, "/metrics");
  assert_non_null (strstr (fixture.received, "mangofork_relay_spillover_requests_total{service="
                                             "\"s\",role=\"plain\",reason=\"stayed\"} 1\n"));
  assert_non_null (strstr (fixture.received, "mangofork_relay_spillover_share{service=\"s\""));
  assert_non_null (strstr (fixture.received, "reason=\"unusable\"} 0\n"));
  snprintf (text, sizeof text,
            "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"y\",\"version\":\"v1\",\"slots\":6,"
            "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":9,\"born\":1}",
            fake_upstream_address (fixture.upstreams[1]));
  fake_store_put (fixture.store, "servers/u1", text);
  upstream_put (&fixture, 0, "draining");
  loop_spin (fixture.loop, 400);
  assert_int_equal (status_of (&fixture, front_port, "/a/1"), 200);
  status_of (&fixture, metrics_port, "/metrics");
  assert_non_null (strstr (fixture.received, "reason=\"stayed\"} 1\n"));
  assert_non_null (strstr (fixture.received, "reason=\"unusable\"} 1\n"));
  assert_null (
      strstr (fixture.received, "spillover_bytes_total{service=\"s\",role=\"plain\"} 0\n"));
  fixture_end (&fixture);
  /* Without customers in the configuration, it is off by default. */
  fixture_begin_serving (&fixture);
  loop_spin (fixture.loop, 250);
  status_of (&fixture, metrics_port, "/metrics");
  assert_null (strstr (fixture.received, "spillover"));
  fixture_end (&fixture);
}

static void
test_newer_versions_replace_older_ones_only (void **state)
{
  Fixture fixture;

  (void)state;
  fixture_begin (&fixture);
  upstream_put (&fixture, 0, "ready");
  config_put (&fixture, 5, "/a/");
  wait_for (&fixture, front_port, "/a/1", 200);
  config_put (&fixture, 9, "/b/");
  wait_for (&fixture, front_port, "/b/1", 200);
  assert_int_equal (status_of (&fixture, front_port, "/a/1"), 404);
  config_put (&fixture, 7, "/c/");
  fake_store_put (fixture.store, "op/config", "{\"version\":11,\"routes\":7}");
  loop_spin (fixture.loop, 200);
  assert_int_equal (status_of (&fixture, front_port, "/b/1"), 200);
  assert_int_equal (status_of (&fixture, front_port, "/c/1"), 404);
  fixture_end (&fixture);
}

static void
test_leaving_upstreams_get_nothing (void **state)
{
  Fixture fixture;
  uint32_t n_before;

  (void)state;
  fixture_begin_serving (&fixture);
  upstream_put (&fixture, 1, "ready");
  upstream_put (&fixture, 0, "draining");
  loop_spin (fixture.loop, 400);
  n_before = fake_upstream_n_requests (fixture.upstreams[0]);
  for (unsigned i = 0; i < 10; i++)
    assert_int_equal (status_of (&fixture, front_port, "/a/1"), 200);
  assert_int_equal (fake_upstream_n_requests (fixture.upstreams[0]), n_before);
  assert_true (fake_upstream_n_requests (fixture.upstreams[1]) >= 10);
  /* An entry that is removed without a drain, and an invalid entry. */
  fake_store_remove (fixture.store, "servers/u1");
  wait_for (&fixture, front_port, "/a/1", 503);
  upstream_put (&fixture, 1, "ready");
  wait_for (&fixture, front_port, "/a/1", 200);
  fake_store_put (fixture.store, "servers/u1", "{\"service\":");
  wait_for (&fixture, front_port, "/a/1", 503);
  fixture_end (&fixture);
}

/* Lists of more upstreams than one page holds are read completely. */
static void
test_lists_have_pages (void **state)
{
  Fixture fixture;

  (void)state;
  fixture_begin (&fixture);
  for (unsigned i = 0; i < FAKE_STORE_PAGE_ITEMS * 2; i++)
    {
      char id[8];

      snprintf (id, sizeof id, "a%u", i);
      fake_store_put_upstream (fixture.store, id, "other", "127.0.0.1:1", "", "ready");
    }
  upstream_put (&fixture, 1, "ready");
  config_put (&fixture, 1, "/a/");
  wait_for (&fixture, front_port, "/a/1", 200);
  fixture_end (&fixture);
}

/* Entries of another writer: the others hold, and the list is read to its end and followed. */
static void
test_odd_entries_hide_no_other (void **state)
{
  /* The last one of each page is where the next one begins; decoded, %7a sorts after all others. */
  static const char *const ids[]
      = { "#1", "$2", "%7a", "&after=z", "+", "? #", "a b", "zz", "zzz" };
  static const char *const values[] = {
    "{\"service\":\"s\",\"address\":\"127.0.0.1:99999\",\"zone\":\"z\",\"version\":\"v1\","
    "\"slots\":6,"
    "\"state\":\"ready\",\"sequence\":1,\"born\":1}",
    "{\"slots\":1e999,\"sequence\":99999999999999999999999999999999999999999999}",
    "not JSON",
  };
  static char deep[100000];
  Fixture fixture;
  char key[256];

  (void)state;
  fixture_begin (&fixture);
  memset (deep, '{', sizeof deep - 1);
  for (size_t i = 0; i < MF_ARRAY_LEN (ids); i++)
    {
      snprintf (key, sizeof key, "servers/%s", ids[i]);
      fake_store_put (fixture.store, key, values[i % MF_ARRAY_LEN (values)]);
    }
  fake_store_put (fixture.store, "servers/deep", deep);
  memset (key, 'l', 199);
  memcpy (key, "servers/", 8);
  key[199] = '\0';
  fake_store_put (fixture.store, key, values[0]);
  upstream_put (&fixture, 1, "ready");
  config_put (&fixture, 1, "/a/");
  wait_for (&fixture, front_port, "/a/1", 200);
  assert_int_equal (status_of (&fixture, front_port, "/a/1"), 200);
  fake_store_put (fixture.store, "servers/later", deep);
  config_put (&fixture, 2, "/b/");
  wait_for (&fixture, front_port, "/b/1", 200);
  fixture_end (&fixture);
}

static void
test_store_outages_of_every_kind (void **state)
{
  static const FakeStoreMode states[]
      = { FAKE_STORE_BUSY, FAKE_STORE_TOO_MANY_REQUESTS, FAKE_STORE_RESETS, FAKE_STORE_SILENT };
  Fixture fixture;

  (void)state;
  fixture_begin_serving (&fixture);
  for (unsigned i = 0; i < MF_ARRAY_LEN (states); i++)
    {
      char prefix[8];
      char path[8];

      snprintf (prefix, sizeof prefix, "/%u/", i);
      snprintf (path, sizeof path, "/%u/x", i);
      fake_store_set_mode (fixture.store, states[i]);
      loop_spin (fixture.loop, 100);
      assert_int_equal (status_of (&fixture, ready_port, "/ready"), 200);
      config_put (&fixture, i + 2, prefix);
      /* After the outage the history of changes is not available. */
      fake_store_drop_history (fixture.store);
      fake_store_set_mode (fixture.store, FAKE_STORE_SERVES);
      wait_for (&fixture, front_port, path, 200);
    }
  fixture_end (&fixture);
}

/* An answer without members was taken for one with no items: the list of upstreams became empty,
 * and the calls to the store followed each other without a pause. */
static void
test_answers_of_the_store_without_members_change_nothing (void **state)
{
  static const FakeStoreMode modes[] = { FAKE_STORE_EMPTY, FAKE_STORE_EMPTY_LISTS };
  Fixture fixture;

  (void)state;
  fixture_begin_serving (&fixture);
  for (unsigned i = 0; i < MF_ARRAY_LEN (modes); i++)
    {
      uint32_t n_calls = fake_store_n_calls (fixture.store);

      /* Ends the watch that waits. */
      fake_store_set_mode (fixture.store, FAKE_STORE_RESETS);
      fake_store_set_mode (fixture.store, modes[i]);
      for (unsigned j = 0; j < 10; j++)
        {
          loop_spin (fixture.loop, 30);
          assert_int_equal (status_of (&fixture, front_port, "/a/1"), 200);
        }
      assert_in_range (fake_store_n_calls (fixture.store) - n_calls, 2, 40);
      config_put (&fixture, i + 2, "/a/");
      fake_store_set_mode (fixture.store, FAKE_STORE_SERVES);
      loop_spin (fixture.loop, 200);
      wait_for (&fixture, front_port, "/a/1", 200);
    }
  fixture_end (&fixture);
}

/* The answer to a watch had a fixed time, in which large configurations that were missed cannot
 * arrive over a slow link: each try began anew, and the instance kept its old configuration. */
static void
test_large_configurations_arrive_over_a_slow_link (void **state)
{
  Fixture fixture;
  uint64_t served_us;

  (void)state;
  fixture_begin_serving (&fixture);
  fake_store_set_rate (fixture.store, SLOW_LINK_BYTES_PER_S);
  fake_store_set_mode (fixture.store, FAKE_STORE_BUSY);
  loop_spin (fixture.loop, 100);
  config_put_large (&fixture, 2, "/b/", 3600);
  config_put_large (&fixture, 3, "/c/", 3600);
  served_us = mf_clock_now_us ();
  fake_store_set_mode (fixture.store, FAKE_STORE_SERVES);
  /* Both versions take 1.7 s. */
  wait_for (&fixture, front_port, "/c/3600/x", 200);
  assert_true (mf_clock_now_us () < served_us + 3 * MF_US_PER_S);
  /* The dropped route runs no more. What is known is older than the bound for changes until the
   * next answer of the store, so that a route may have been added meanwhile. */
  assert_int_not_equal (status_of (&fixture, front_port, "/a/1"), 200);
  wait_for (&fixture, front_port, "/a/1", 404);
  fixture_end (&fixture);
}

/* An instance that was away read each version that it had missed, one after the other. */
static void
test_latest_configuration_is_read_in_place_of_missed_ones (void **state)
{
  Fixture fixture;
  uint64_t served_us;

  (void)state;
  fixture_begin (&fixture);
  config_put_large (&fixture, 1, "/a/", 3600);
  upstream_put (&fixture, 0, "ready");
  wait_for (&fixture, front_port, "/a/1/x", 200);
  fake_store_set_rate (fixture.store, SLOW_LINK_BYTES_PER_S);
  fake_store_set_mode (fixture.store, FAKE_STORE_BUSY);
  loop_spin (fixture.loop, 100);
  for (unsigned i = 2; i <= 7; i++)
    {
      char prefix[8];

      snprintf (prefix, sizeof prefix, "/b%u/", i);
      config_put_large (&fixture, i, prefix, 3600);
    }
  upstream_put (&fixture, 0, "draining");
  upstream_put (&fixture, 1, "ready");
  served_us = mf_clock_now_us ();
  fake_store_set_mode (fixture.store, FAKE_STORE_SERVES);
  /* One version takes 0.9 s, and six of them 5 s. */
  wait_for (&fixture, front_port, "/b7/1/x", 200);
  assert_true (mf_clock_now_us () < served_us + 2 * MF_US_PER_S);
  assert_int_equal (fake_upstream_n_requests (fixture.upstreams[1]), 1);
  /* The next change comes as usual. */
  config_put (&fixture, 20, "/z/");
  wait_for (&fixture, front_port, "/z/1", 200);
  fixture_end (&fixture);
}

static void
run_for (Fixture *fixture, uint64_t for_us)
{
  uint64_t until_us = mf_clock_now_us () + for_us;

  while (mf_clock_now_us () < until_us)
    loop_spin (fixture->loop, 5);
}

/* A call that was in progress when the path to the store returned kept an instance from noticing
 * for as long as a call may wait for changes. */
static void
configs_put_large (Fixture *fixture, unsigned first, unsigned last)
{
  char prefix[8];

  for (unsigned i = first; i <= last; i++)
    {
      snprintf (prefix, sizeof prefix, "/b%u/", i);
      config_put_large (fixture, i, prefix, 3600);
    }
}

/* One answer to a watch had all versions of a series, 18 s on a slow link, where the instance had
 * just read a list or knew a small configuration: it kept its old one for as long. */
static void
test_series_of_large_configurations_is_not_read_one_by_one (void **state)
{
  Fixture fixture;
  uint64_t written_us;

  (void)state;
  fixture_begin_serving (&fixture);
  fake_store_set_rate (fixture.store, SLOW_LINK_BYTES_PER_S);
  fake_store_set_mode (fixture.store, FAKE_STORE_BUSY);
  loop_spin (fixture.loop, 100);
  configs_put_large (&fixture, 2, 21);
  written_us = mf_clock_now_us ();
  fake_store_set_mode (fixture.store, FAKE_STORE_SERVES);
  wait_for (&fixture, front_port, "/b21/1/x", 200);
  assert_true (mf_clock_now_us () < written_us + 3 * MF_US_PER_S);
  /* The key is read anew, which takes 0.9 s, and the watch goes on from then. */
  fake_store_set_mode (fixture.store, FAKE_STORE_BUSY);
  loop_spin (fixture.loop, 100);
  config_put_large (&fixture, 22, "/c/", 3600);
  fake_store_drop_history (fixture.store);
  fake_store_set_mode (fixture.store, FAKE_STORE_SERVES);
  loop_spin (fixture.loop, 500);
  configs_put_large (&fixture, 23, 42);
  written_us = mf_clock_now_us ();
  wait_for (&fixture, front_port, "/b42/1/x", 200);
  assert_true (mf_clock_now_us () < written_us + 3 * MF_US_PER_S);
  config_put (&fixture, 50, "/z/");
  wait_for (&fixture, front_port, "/z/1", 200);
  fixture_end (&fixture);
}

/* While a later configuration arrived over a slow link, requests for its new routes got 404, which
 * callers do not try again. */
static void
test_route_that_may_have_been_added_is_not_unknown (void **state)
{
  Fixture fixture;

  (void)state;
  fixture_begin_serving (&fixture);
  assert_int_equal (status_of (&fixture, front_port, "/b/1/x"), 404);
  fake_store_set_rate (fixture.store, SLOW_LINK_BYTES_PER_S);
  config_put_large (&fixture, 2, "/b/", 3600);
  /* It takes 0.9 s. */
  loop_spin (fixture.loop, 400);
  assert_int_equal (status_of (&fixture, front_port, "/b/1/x"), 503);
  assert_non_null (strstr (fixture.received, "Retry-After"));
  assert_int_equal (status_of (&fixture, front_port, "/a/1"), 200);
  wait_for (&fixture, front_port, "/b/1/x", 200);
  wait_for (&fixture, front_port, "/a/1", 404);
  fixture_end (&fixture);
}

static void
test_return_of_a_silent_store_is_noticed_soon (void **state)
{
  Fixture fixture;

  (void)state;
  fixture_begin_with (&fixture, "", 3000);
  config_put (&fixture, 1, "/a/");
  upstream_put (&fixture, 0, "ready");
  wait_for (&fixture, front_port, "/a/1", 200);
  fake_store_set_mode (fixture.store, FAKE_STORE_SILENT);
  run_for (&fixture, 3400 * MF_US_PER_MS);
  upstream_put (&fixture, 0, "draining");
  fake_store_set_mode (fixture.store, FAKE_STORE_SERVES);
  run_for (&fixture, 1200 * MF_US_PER_MS);
  assert_int_equal (status_of (&fixture, front_port, "/a/1"), 503);
  fixture_end (&fixture);
}

/* An upstream whose entry expired during an outage of the store stays in use for a while, and is
 * removed when it has not registered again by then. */
static void
test_expired_entries_are_kept_for_a_while (void **state)
{
  Fixture fixture;

  (void)state;
  fixture_begin (&fixture);
  config_put (&fixture, 1, "/a/");
  upstream_put (&fixture, 0, "ready");
  upstream_put (&fixture, 1, "ready");
  wait_for (&fixture, front_port, "/a/1", 200);
  fake_store_set_mode (fixture.store, FAKE_STORE_BUSY);
  loop_spin (fixture.loop, 600);
  fake_store_remove (fixture.store, "servers/u0");
  fake_store_remove (fixture.store, "servers/u1");
  fake_store_set_mode (fixture.store, FAKE_STORE_SERVES);
  loop_spin (fixture.loop, 300);
  assert_int_equal (status_of (&fixture, front_port, "/a/1"), 200);
  upstream_put (&fixture, 1, "ready");
  loop_spin (fixture.loop, 1300);
  assert_int_equal (status_of (&fixture, front_port, "/a/1"), 200);
  fake_store_remove (fixture.store, "servers/u1");
  wait_for (&fixture, front_port, "/a/1", 503);
  fixture_end (&fixture);
}

/* Changes that were written after the store had returned from an older copy were missed: their
 * revisions were below the one that was known. */
static void
test_changes_of_a_restored_store_are_applied (void **state)
{
  Fixture fixture;
  uint64_t revision;

  (void)state;
  fixture_begin (&fixture);
  upstream_put (&fixture, 0, "ready");
  config_put (&fixture, 1, "/a/");
  wait_for (&fixture, front_port, "/a/1", 200);
  for (unsigned i = 0; i < 3; i++)
    {
      char prefix[8];
      char path[8];

      fake_store_save (fixture.store);
      config_put (&fixture, 10 * i + 2, "/lost/");
      upstream_put (&fixture, 0, "ready");
      wait_for (&fixture, front_port, "/lost/1", 200);
      revision = fake_store_revision (fixture.store);
      fake_store_set_mode (fixture.store, FAKE_STORE_RESETS);
      fake_store_restore (fixture.store);
      snprintf (prefix, sizeof prefix, "/%u/", i);
      snprintf (path, sizeof path, "/%u/x", i);
      config_put (&fixture, 10 * i + 5, prefix);
      /* In the second round the new revisions stay below the known one. */
      while (i != 1 && fake_store_revision (fixture.store) <= revision + 1)
        upstream_put (&fixture, 0, "ready");
      fake_store_set_mode (fixture.store, FAKE_STORE_SERVES);
      wait_for (&fixture, front_port, path, 200);
    }
  fixture_end (&fixture);
}

/* What was confirmed and is missing in the copy stays in force until it is written again. */
static void
test_confirmed_state_outlasts_a_restore (void **state)
{
  Fixture fixture;

  (void)state;
  fixture_begin (&fixture);
  config_put (&fixture, 1, "/a/");
  fake_store_save (fixture.store);
  config_put (&fixture, 2, "/b/");
  upstream_put (&fixture, 0, "ready");
  wait_for (&fixture, front_port, "/b/1", 200);
  fake_store_restore (fixture.store);
  for (unsigned i = 0; i < 20; i++)
    {
      loop_spin (fixture.loop, 40);
      assert_int_equal (status_of (&fixture, front_port, "/b/1"), 200);
      assert_int_equal (status_of (&fixture, front_port, "/a/1"), 404);
    }
  upstream_put (&fixture, 0, "ready");
  /* The operator numbers his next version as the lost one. */
  config_put (&fixture, 2, "/c/");
  wait_for (&fixture, front_port, "/c/1", 200);
  loop_spin (fixture.loop, 2500);
  assert_int_equal (status_of (&fixture, front_port, "/c/1"), 200);
  fixture_end (&fixture);
}

/* Upstreams that were leaving, or gone, are not used because the copy lists them as ready. */
static void
test_upstreams_that_return_with_a_copy_get_nothing (void **state)
{
  static const char *const ends[] = { "draining", "removed", "both" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (ends); i++)
    {
      Fixture fixture;
      uint32_t n_before;

      fixture_begin (&fixture);
      config_put (&fixture, 1, "/a/");
      upstream_put (&fixture, 0, "ready");
      upstream_put (&fixture, 1, "ready");
      wait_for (&fixture, front_port, "/a/1", 200);
      fake_store_save (fixture.store);
      if (i != 1)
        upstream_put (&fixture, 1, "draining");
      loop_spin (fixture.loop, 300);
      if (i != 0)
        fake_store_remove (fixture.store, "servers/u1");
      loop_spin (fixture.loop, 600);
      n_before = fake_upstream_n_requests (fixture.upstreams[1]);
      fake_store_restore (fixture.store);
      for (unsigned j = 0; j < 20; j++)
        {
          loop_spin (fixture.loop, 40);
          assert_int_equal (status_of (&fixture, front_port, "/a/1"), 200);
        }
      assert_int_equal (fake_upstream_n_requests (fixture.upstreams[1]), n_before);
      fake_store_remove (fixture.store, "servers/u0");
      /* One that was only removed is used once it has written its entry again. */
      if (i == 1)
        {
          upstream_put (&fixture, 1, "ready");
          wait_for (&fixture, front_port, "/a/1", 200);
        }
      else
        wait_for (&fixture, front_port, "/a/1", 503);
      fixture_end (&fixture);
    }
}

/* A relay and N_PEERS other instances in its data centre. */
typedef struct
{
  Fixture fixture;
  MfPeers *peers[N_PEERS];
  MfFeedRole role; /* reader when the relay has sent a feed */
} PeerFixture;

static void
on_peer_fill (void *data, MfLoadReport *report)
{
  (void)data;
  (void)report;
}

static void
on_peer_changed (void *data)
{
  (void)data;
}

static void
on_peer_message (void *data, uint64_t peer, const MfRelayMessage *message)
{
  PeerFixture *peer_fixture = data;

  (void)peer;
  if (message->kind == MF_RELAY_MESSAGE_FEED)
    peer_fixture->role = MF_FEED_READER;
}

static void
on_peer_lost (void *data, uint64_t peer)
{
  (void)data;
  (void)peer;
}

static const MfPeersCallbacks peers_callbacks = {
  .fill_report = on_peer_fill,
  .loads_changed = on_peer_changed,
  .message = on_peer_message,
  .lost = on_peer_lost,
};

static bool
all_are_connected (void *data)
{
  const PeerFixture *peer_fixture = data;

  for (uint32_t i = 0; i < N_PEERS; i++)
    {
      if (mf_peers_feed_rank (peer_fixture->peers[i], mf_clock_now_us ()).n_instances
          != N_PEERS + 1)
        return false;
    }
  return true;
}

/* Looks for addresses whose ranks give the relay the wanted role: it reads for the others, or
 * receives what they read. */
static void
peer_fixture_begin (PeerFixture *peer_fixture, MfFeedRole role)
{
  MfError error = { 0 };
  char seed[MF_ADDRESS_BYTES];
  uint16_t peer_ports[N_PEERS];

  memset (peer_fixture, 0, sizeof *peer_fixture);
  for (uint32_t i = 0; i < N_PEERS; i++)
    peer_ports[i] = fake_ports_reserve ();
  while (peer_fixture->role != role)
    {
      uint32_t rank = 0;
      uint64_t own;

      snprintf (seed, sizeof seed, "127.0.0.1:%d", fake_ports_reserve ());
      own = mf_load_hash (seed) * RANK_FACTOR;
      for (uint32_t i = 0; i < N_PEERS; i++)
        {
          char other[MF_ADDRESS_BYTES];

          snprintf (other, sizeof other, "127.0.0.1:%d", peer_ports[i]);
          rank += mf_load_hash (other) * RANK_FACTOR > own;
        }
      peer_fixture->role = mf_feed_role (&(MfFeedRank){ .n_instances = N_PEERS + 1, .rank = rank });
    }
  fixture_begin_with (&peer_fixture->fixture, seed, CONTACT_MS);
  for (int i = 0; i < N_PEERS; i++)
    {
      char address[MF_ADDRESS_BYTES];

      snprintf (address, sizeof address, "127.0.0.1:%d", peer_ports[i]);
      peer_fixture->peers[i]
          = mf_peers_new (peer_fixture->fixture.loop, address, &peers_callbacks, peer_fixture,
                          mf_relay_log (peer_fixture->fixture.relay), &error);
      assert_non_null (peer_fixture->peers[i]);
      mf_peers_set_data_centre (peer_fixture->peers[i], "z");
      mf_peers_add_seeds (peer_fixture->peers[i], seed);
    }
  peer_fixture->role = MF_FEED_STANDALONE;
  config_put (&peer_fixture->fixture, 1, "/a/");
  upstream_put (&peer_fixture->fixture, 0, "ready");
  wait_for (&peer_fixture->fixture, front_port, "/a/1", 200);
  assert_true (loop_pump (peer_fixture->fixture.loop, all_are_connected, peer_fixture));
}

static void
peer_fixture_end (PeerFixture *peer_fixture)
{
  for (uint32_t i = 0; i < N_PEERS; i++)
    mf_peers_free (peer_fixture->peers[i]);
  fixture_end (&peer_fixture->fixture);
}

/* Sends a feed to the relay, as a reader that knows everything up to a revision. */
static void
feed_send (PeerFixture *peer_fixture, MfFeed *feed, uint64_t to_revision)
{
  static MfRelayMessage message;

  message.kind = MF_RELAY_MESSAGE_FEED;
  message.feed = *feed;
  message.feed.to_revision = to_revision;
  message.feed.sent_us = mf_clock_boottime_us ();
  message.feed.as_of_us = message.feed.sent_us;
  mf_peers_send_local (peer_fixture->peers[0], &message);
}

/* A follower applies the feeds that it receives and does not read the store. It reads the store
 * within the bound when the feeds stop or one is missing. */
static void
test_follower_does_not_read_the_store_while_it_is_fed (void **state)
{
  PeerFixture peer_fixture;
  Fixture *fixture = &peer_fixture.fixture;
  MfFeed feed = { 0 };
  MfFeed gap_feed = { 0 };
  char value[256];
  uint64_t revision;
  uint64_t until_us;
  uint32_t n_calls;

  (void)state;
  peer_fixture_begin (&peer_fixture, MF_FEED_FOLLOWER);
  revision = fake_store_revision (fixture->store);
  mf_feed_begin (&feed, 1, revision);
  /* The last watch request of the relay ends within 300 ms. */
  for (uint32_t i = 0; i < 10; i++)
    {
      feed_send (&peer_fixture, &feed, revision);
      loop_spin (fixture->loop, 50);
    }
  n_calls = fake_store_n_calls (fixture->store);
  until_us = mf_clock_now_us () + 1200 * MF_US_PER_MS;
  while (mf_clock_now_us () < until_us)
    {
      feed_send (&peer_fixture, &feed, revision);
      loop_spin (fixture->loop, 50);
    }
  assert_int_equal (fake_store_n_calls (fixture->store), n_calls);
  assert_int_equal (status_of (fixture, front_port, "/a/1"), 200);
  snprintf (value, sizeof value,
            "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"version\":1,\"slots\":4,"
            "\"state\":\"draining\",\"coldRemainingMs\":0,\"sequence\":2}",
            fake_upstream_address (fixture->upstreams[0]));
  assert_true (mf_feed_add (&feed, "servers/u0", revision + 1, false, value, strlen (value)));
  feed_send (&peer_fixture, &feed, revision + 1);
  wait_for (fixture, front_port, "/a/1", 503);
  assert_int_equal (fake_store_n_calls (fixture->store), n_calls);
  /* No more feeds arrive. */
  until_us = mf_clock_now_us () + CHANGE_MS * MF_US_PER_MS;
  while (mf_clock_now_us () < until_us && fake_store_n_calls (fixture->store) == n_calls)
    loop_spin (fixture->loop, 5);
  assert_true (fake_store_n_calls (fixture->store) > n_calls);
  /* A feed that starts after a revision unknown to the relay. */
  mf_feed_begin (&gap_feed, 1, revision + 7);
  for (uint32_t i = 0; i < 10; i++)
    {
      feed_send (&peer_fixture, &gap_feed, revision + 8);
      loop_spin (fixture->loop, 50);
    }
  /* The store now has the change of the first feed, and one that the relay has to read. */
  upstream_put (fixture, 0, "draining");
  upstream_put (fixture, 1, "ready");
  wait_for (fixture, front_port, "/a/1", 200);
  mf_feed_clear (&feed);
  mf_feed_clear (&gap_feed);
  peer_fixture_end (&peer_fixture);
}

/* A follower took a feed of another era for known, or applied it to the state of its own. */
static void
test_follower_reads_a_restored_store (void **state)
{
  PeerFixture peer_fixture;
  Fixture *fixture = &peer_fixture.fixture;
  MfFeed feed = { 0 };
  MfFeed old_feed = { 0 };
  static const char drained[] = "{}";
  uint64_t revision;
  uint64_t until_us;

  (void)state;
  peer_fixture_begin (&peer_fixture, MF_FEED_FOLLOWER);
  fake_store_save (fixture->store);
  upstream_put (fixture, 0, "ready");
  loop_spin (fixture->loop, 500);
  revision = fake_store_revision (fixture->store);
  mf_feed_begin (&old_feed, 1, revision);
  assert_true (
      mf_feed_add (&old_feed, "servers/u0", revision + 9, false, drained, strlen (drained)));
  mf_feed_begin (&feed, 1, revision);
  until_us = mf_clock_now_us () + 500 * MF_US_PER_MS;
  while (mf_clock_now_us () < until_us)
    {
      feed_send (&peer_fixture, &feed, revision);
      loop_spin (fixture->loop, 50);
    }
  fake_store_set_mode (fixture->store, FAKE_STORE_SILENT);
  fake_store_restore (fixture->store);
  config_put (fixture, 3, "/c/");
  fake_store_set_mode (fixture->store, FAKE_STORE_SERVES);
  mf_feed_begin (&feed, 2, fake_store_revision (fixture->store));
  feed_send (&peer_fixture, &feed, feed.from_revision);
  wait_for (fixture, front_port, "/c/1", 200);
  /* A reader that has not noticed yet. */
  feed_send (&peer_fixture, &old_feed, revision + 9);
  loop_spin (fixture->loop, 100);
  assert_int_equal (status_of (fixture, front_port, "/c/1"), 200);
  /* A feed of an era that there is not. */
  mf_feed_begin (&feed, UINT64_MAX, 1);
  feed_send (&peer_fixture, &feed, 1);
  loop_spin (fixture->loop, 1000);
  config_put (fixture, 4, "/d/");
  wait_for (fixture, front_port, "/d/1", 200);
  mf_feed_clear (&feed);
  mf_feed_clear (&old_feed);
  peer_fixture_end (&peer_fixture);
}

/* Feeds that another reader sends for a time. */
static void
feed_for (PeerFixture *peer_fixture, MfFeed *feed, uint64_t revision, uint64_t for_us)
{
  uint64_t until_us = mf_clock_now_us () + for_us;

  while (mf_clock_now_us () < until_us)
    {
      feed_send (peer_fixture, feed, revision);
      loop_spin (peer_fixture->fixture.loop, 50);
    }
}

/* A reader that the store had refused sent its followers what had been removed, to be kept. */
static void
test_follower_that_was_fed_meanwhile_keeps_no_removed_upstream (void **state)
{
  PeerFixture peer_fixture;
  Fixture *fixture = &peer_fixture.fixture;
  MfFeed feed = { 0 };
  uint64_t revision;

  (void)state;
  peer_fixture_begin (&peer_fixture, MF_FEED_FOLLOWER);
  revision = fake_store_revision (fixture->store);
  mf_feed_begin (&feed, 1, revision);
  feed_for (&peer_fixture, &feed, revision, 500 * MF_US_PER_MS);
  fake_store_remove (fixture->store, "servers/u0");
  assert_true (mf_feed_add (&feed, "servers/u0", revision + 1, true, "", 0));
  feed.keep_us = 2300 * MF_US_PER_MS;
  feed_send (&peer_fixture, &feed, revision + 1);
  loop_spin (fixture->loop, 300);
  assert_int_equal (status_of (fixture, front_port, "/a/1"), 503);
  mf_feed_clear (&feed);
  peer_fixture_end (&peer_fixture);
}

/* Entries may have expired only if the store was away for all. */
static void
test_reader_that_was_refused_alone_keeps_no_removed_upstream (void **state)
{
  typedef enum
  {
    AWAY_FOR_ALL,
    AWAY_FOR_ALL_OTHER_IS_FIRST,
    REFUSED_ALONE,
    OUTAGE_COUNT,
  } Outage;

  (void)state;
  for (Outage outage = AWAY_FOR_ALL; outage < OUTAGE_COUNT; outage++)
    {
      PeerFixture peer_fixture;
      Fixture *fixture = &peer_fixture.fixture;
      MfFeed feed = { 0 };
      uint64_t revision;

      peer_fixture_begin (&peer_fixture, MF_FEED_READER);
      revision = fake_store_revision (fixture->store);
      mf_feed_begin (&feed, 1, revision);
      fake_store_set_mode (fixture->store, FAKE_STORE_BUSY);
      if (outage == REFUSED_ALONE)
        feed_for (&peer_fixture, &feed, revision, 1800 * MF_US_PER_MS);
      else
        loop_spin (fixture->loop, 1800);
      feed.keep_us = 2300 * MF_US_PER_MS;
      if (outage == AWAY_FOR_ALL_OTHER_IS_FIRST)
        feed_for (&peer_fixture, &feed, revision, 200 * MF_US_PER_MS);
      fake_store_remove (fixture->store, "servers/u0");
      fake_store_set_mode (fixture->store, FAKE_STORE_SERVES);
      loop_spin (fixture->loop, 600);
      assert_int_equal (status_of (fixture, front_port, "/a/1"),
                        outage == REFUSED_ALONE ? 503 : 200);
      mf_feed_clear (&feed);
      peer_fixture_end (&peer_fixture);
    }
}

/* The first instances of a data centre read the store and send the changes to the others. */
static void
test_reader_sends_changes_to_other_instances (void **state)
{
  PeerFixture peer_fixture;

  (void)state;
  peer_fixture_begin (&peer_fixture, MF_FEED_READER);
  upstream_put (&peer_fixture.fixture, 1, "ready");
  loop_spin (peer_fixture.fixture.loop, 400);
  assert_int_equal (peer_fixture.role, MF_FEED_READER);
  peer_fixture_end (&peer_fixture);
}

/* A relay and another one whose path to the store can be lost alone: it has a store of its own, in
 * which the same is written. */
typedef struct
{
  Fixture fixture;
  FakeStore *store;
  MfRelay *relay;
} PairFixture;

static void
pair_fixture_begin (PairFixture *pair)
{
  Fixture *fixture = &pair->fixture;
  char pair_peers[MF_ADDRESS_BYTES];
  MfError error = { 0 };
  FILE *file;

  snprintf (pair_peers, sizeof pair_peers, "127.0.0.1:%d", fake_ports_reserve ());
  other_port = fake_ports_reserve ();
  fixture_begin_with (fixture, pair_peers, CONTACT_MS);
  pair->store = fake_store_new (fixture->loop);
  file = fopen (OTHER_SETTINGS, "w");
  assert_non_null (file);
  fprintf (file,
           "node=n2\nzone=z\nlisten.front=127.0.0.1:%d\nlisten.readiness=127.0.0.1:%d\n"
           "provider.address=%s\nbounds.contactMs=400\nbounds.graceS=3\nbounds.drainMs=%d\n"
           "heartbeatMs=200\nlisten.control=127.0.0.1:%d\nseeds=%s\n",
           other_port, fake_ports_reserve (), fake_store_address (pair->store), CHANGE_MS,
           fake_ports_reserve (), pair_peers);
  fclose (file);
  pair->relay = mf_relay_new (&platform_deployment, OTHER_SETTINGS, &error);
  assert_non_null (pair->relay);
}

static void
pair_fixture_end (PairFixture *pair)
{
  mf_relay_free (pair->relay);
  fake_store_free (pair->store);
  unlink (OTHER_SETTINGS);
  fixture_end (&pair->fixture);
}

/* Writes the entry of the first upstream in both stores, or removes it. */
static void
pair_fixture_list (PairFixture *pair, bool listed)
{
  FakeStore *stores[] = { pair->fixture.store, pair->store };

  for (size_t i = 0; i < MF_ARRAY_LEN (stores); i++)
    {
      if (listed)
        fake_store_put_upstream (stores[i], "u0", "s",
                                 fake_upstream_address (pair->fixture.upstreams[0]), "", "ready");
      else
        fake_store_remove (stores[i], "servers/u0");
    }
}

/* Lists the upstream at both relays, which are connected then, and cuts off the second one. */
static void
pair_fixture_cut (PairFixture *pair)
{
  Fixture other = { .store = pair->store };

  config_put (&pair->fixture, 1, "/a/");
  config_put (&other, 1, "/a/");
  pair_fixture_list (pair, true);
  wait_for (&pair->fixture, front_port, "/a/1", 200);
  wait_for (&pair->fixture, other_port, "/a/1", 200);
  loop_spin (pair->fixture.loop, 300);
  fake_store_set_mode (pair->store, FAKE_STORE_SILENT);
}

/* An instance that had lost its path to the store used an upstream that the others had seen leave,
 * and kept it after its return, as if the store had been away for all. */
static void
test_instance_without_the_store_uses_no_upstream_that_others_saw_leave (void **state)
{
  PairFixture pair;
  Fixture *fixture = &pair.fixture;

  (void)state;
  pair_fixture_begin (&pair);
  pair_fixture_cut (&pair);
  loop_spin (fixture->loop, 1100);
  pair_fixture_list (&pair, false);
  wait_for (fixture, front_port, "/a/1", 503);
  loop_spin (fixture->loop, 100);
  assert_int_equal (status_of (fixture, other_port, "/a/1"), 503);
  fake_store_set_mode (pair.store, FAKE_STORE_SERVES);
  for (uint32_t i = 0; i < 20; i++)
    {
      assert_int_equal (status_of (fixture, other_port, "/a/1"), 503);
      loop_spin (fixture->loop, 100);
    }
  pair_fixture_end (&pair);
}

static void
test_instance_without_the_store_uses_upstreams_that_others_saw_return (void **state)
{
  PairFixture pair;

  (void)state;
  pair_fixture_begin (&pair);
  pair_fixture_cut (&pair);
  pair_fixture_list (&pair, false);
  wait_for (&pair.fixture, other_port, "/a/1", 503);
  pair_fixture_list (&pair, true);
  wait_for (&pair.fixture, other_port, "/a/1", 200);
  pair_fixture_end (&pair);
}

static bool
cannot_connect (void *data)
{
  Fixture *fixture = data;
  int fd;

  loop_spin (fixture->loop, 2);
  fd = loop_connect (front_port);
  if (fd >= 0)
    close (fd);
  return fd < 0;
}

/* On SIGTERM the readiness check fails at once while callers are still served. Late in the grace
 * period no request is accepted that the end of the process would cut off, on new connections or on
 * open ones. */
static void
test_shutdown (void **state)
{
  static const char request[] = "GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n\r\n";
  Fixture fixture;
  int open_fd;

  (void)state;
  fixture_begin_serving (&fixture);
  raise (SIGTERM);
  wait_for (&fixture, ready_port, "/ready", 503);
  assert_int_equal (status_of (&fixture, front_port, "/a/1"), 200);
  assert_non_null (strstr (fixture.received, "Connection: close"));
  open_fd = loop_connect (front_port);
  assert_true (loop_pump (fixture.loop, cannot_connect, &fixture));
  assert_int_equal (status_of (&fixture, ready_port, "/ready"), 503);
  /* Before this, a response could still be complete before the exit. */
  loop_spin (fixture.loop, 100);
  loop_send (open_fd, request, strlen (request));
  loop_receive (fixture.loop, open_fd, NULL, fixture.received, sizeof fixture.received);
  assert_true (fixture.received[0] == '\0' || strncmp (fixture.received, "HTTP/1.1 503", 12) == 0);
  close (open_fd);
  mf_relay_run (fixture.relay);
  fixture_end (&fixture);
  /* A second signal during the exit does not kill the process. */
  raise (SIGTERM);
  signal (SIGTERM, SIG_IGN);
}

/* Begins to write new settings that lead to a store, some lines before the rest. */
static FILE *
settings_begin (const char *lines, const FakeStore *store)
{
  FILE *file = fopen (SETTINGS, "w");

  assert_non_null (file);
  fprintf (file,
           "%snode=n1\nzone=z\nlisten.front=127.0.0.1:%d\nlisten.readiness=127.0.0.1:%d\n"
           "provider.address=%s\nbounds.contactMs=400\n",
           lines, front_port, ready_port, fake_store_address (store));
  return file;
}

static void
test_settings_are_read_again (void **state)
{
  Fixture fixture;
  FakeStore *other;
  uint32_t n_before;
  FILE *file;

  (void)state;
  fixture_begin_serving (&fixture);
  other = fake_store_new (fixture.loop);
  file = settings_begin ("", other);
  fclose (file);
  raise (SIGHUP);
  loop_spin (fixture.loop, 300);
  assert_true (fake_store_n_calls (other) > 0);
  /* A changed file is noticed without a signal. */
  file = settings_begin ("", fixture.store);
  fclose (file);
  n_before = fake_store_n_calls (fixture.store);
  loop_spin (fixture.loop, 900);
  assert_true (fake_store_n_calls (fixture.store) > n_before);
  /* Invalid settings are ignored. */
  file = fopen (SETTINGS, "w");
  assert_non_null (file);
  fclose (file);
  raise (SIGHUP);
  loop_spin (fixture.loop, 400);
  assert_int_equal (status_of (&fixture, ready_port, "/ready"), 200);
  fixture_end (&fixture);
  fake_store_free (other);
}

/* Keys without a value, or with one that cannot be used, took the rest of a reload with them. */
static void
test_reload_applies_what_can_be_used (void **state)
{
  static const char *const lines[]
      = { "bounds.strictRevocation=\nbounds.quotaSlack=\n", "bounds.retryBudgetSlack=many\n" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (lines); i++)
    {
      Fixture fixture;
      FakeStore *other;
      FILE *file;

      fixture_begin_serving (&fixture);
      other = fake_store_new (fixture.loop);
      file = settings_begin (lines[i], other);
      fclose (file);
      raise (SIGHUP);
      loop_spin (fixture.loop, 400);
      assert_true (fake_store_n_calls (other) > 0);
      assert_int_equal (status_of (&fixture, ready_port, "/ready"), 200);
      fixture_end (&fixture);
      fake_store_free (other);
    }
}

/* A file was read while it was being written, and the defaults applied in place of what was still
 * to come. */
static void
test_half_written_settings_are_not_applied (void **state)
{
  Fixture fixture;
  FakeStore *other;
  FILE *file;

  (void)state;
  fixture_begin_serving (&fixture);
  other = fake_store_new (fixture.loop);
  file = settings_begin ("", other);
  raise (SIGHUP);
  for (uint32_t i = 0; i < 40; i++)
    {
      fprintf (file, "unknown.%u=1\n", i);
      fflush (file);
      loop_spin (fixture.loop, 20);
    }
  assert_int_equal (fake_store_n_calls (other), 0);
  fclose (file);
  loop_spin (fixture.loop, 400);
  assert_true (fake_store_n_calls (other) > 0);
  fixture_end (&fixture);
  fake_store_free (other);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nothing_is_known_at_first),
    cmocka_unit_test (test_placement_is_shown_and_not_done),
    cmocka_unit_test (test_spillover_is_counted),
    cmocka_unit_test (test_newer_versions_replace_older_ones_only),
    cmocka_unit_test (test_leaving_upstreams_get_nothing),
    cmocka_unit_test (test_lists_have_pages),
    cmocka_unit_test (test_odd_entries_hide_no_other),
    cmocka_unit_test (test_store_outages_of_every_kind),
    cmocka_unit_test (test_answers_of_the_store_without_members_change_nothing),
    cmocka_unit_test (test_large_configurations_arrive_over_a_slow_link),
    cmocka_unit_test (test_latest_configuration_is_read_in_place_of_missed_ones),
    cmocka_unit_test (test_series_of_large_configurations_is_not_read_one_by_one),
    cmocka_unit_test (test_route_that_may_have_been_added_is_not_unknown),
    cmocka_unit_test (test_return_of_a_silent_store_is_noticed_soon),
    cmocka_unit_test (test_expired_entries_are_kept_for_a_while),
    cmocka_unit_test (test_changes_of_a_restored_store_are_applied),
    cmocka_unit_test (test_confirmed_state_outlasts_a_restore),
    cmocka_unit_test (test_upstreams_that_return_with_a_copy_get_nothing),
    cmocka_unit_test (test_follower_reads_a_restored_store),
    cmocka_unit_test (test_follower_does_not_read_the_store_while_it_is_fed),
    cmocka_unit_test (test_follower_that_was_fed_meanwhile_keeps_no_removed_upstream),
    cmocka_unit_test (test_reader_that_was_refused_alone_keeps_no_removed_upstream),
    cmocka_unit_test (test_reader_sends_changes_to_other_instances),
    cmocka_unit_test (test_instance_without_the_store_uses_no_upstream_that_others_saw_leave),
    cmocka_unit_test (test_instance_without_the_store_uses_upstreams_that_others_saw_return),
    cmocka_unit_test (test_shutdown),
    cmocka_unit_test (test_settings_are_read_again),
    cmocka_unit_test (test_reload_applies_what_can_be_used),
    cmocka_unit_test (test_half_written_settings_are_not_applied),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
