#include "libmangofork/relay/job_row.h"

#include "libmangofork/clock.h"
#include "platform/platform.h"

#include "loop_pump.h"
#include "relay_fixture.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define KEY_A "secret-key-of-alpha"
#define KEY_B "secret-key-of-beta"
#define KEY_HEADER_A "X-Api-Key: " KEY_A "\r\n"
#define CUSTOMERS                                                                                  \
  "\"tenants\":[{\"name\":\"alpha\",\"apiKeys\":[\"" KEY_A "\"],\"priority\":1},"                  \
  "{\"name\":\"beta\",\"apiKeys\":[\"" KEY_B "\"]}],"
#define MOVED "\"tenants\":[{\"name\":\"beta\",\"apiKeys\":[\"" KEY_B "\",\"" KEY_A "\"]}],"
#define REMOVED "\"tenants\":[{\"name\":\"beta\",\"apiKeys\":[\"" KEY_B "\"]}],"

/* All heads that upstreams have received since the setup. */
static char seen[65536];
static uint32_t n_breaks;

static void
note (const char *text)
{
  size_t n_seen = strlen (seen);

  snprintf (seen + n_seen, sizeof seen - n_seen, "%s\n", text);
}

static uint32_t
n_seen (const char *text)
{
  uint32_t n = 0;

  for (const char *at = strstr (seen, text); at != NULL; at = strstr (at + 1, text))
    n++;
  return n;
}

static void
handle_good (FakeUpstreamConn *conn, const char *text, const char *id)
{
  note (text);
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL, "good");
}

static void
handle_decline (FakeUpstreamConn *conn, const char *text, const char *id)
{
  note (text);
  relay_fixture_decline (conn, text, id);
}

static void
handle_prefill (FakeUpstreamConn *conn, const char *text, const char *id)
{
  note (text);
  relay_fixture_prefill (conn, text, id);
}

static void
handle_hang (FakeUpstreamConn *conn, const char *text, const char *id)
{
  note (text);
  relay_fixture_stream_hangs (conn, text, id);
}

/* Breaks the first stream; the next one continues after its first event. */
static void
handle_break (FakeUpstreamConn *conn, const char *text, const char *id)
{
  note (text);
  if (n_breaks++ == 0)
    {
      relay_fixture_stream_breaks (conn, text, id);
      return;
    }
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
}

/* Applies a version with the given customers and an exempt route /free/. */
static void
configure (RelayFixture *fixture, uint32_t version, const char *customers)
{
  char text[4096];
  MfError error = { 0 };
  MfRoutes *routes;

  snprintf (text, sizeof text,
            "{\"version\":%u,%s\"routes\":["
            "{\"name\":\"read\",\"host\":\"h\",\"pathPrefix\":\"/read/\",\"kind\":\"idempotent\","
            "\"timeoutMs\":600,\"targetLatencyMs\":100,\"service\":\"shop\",\"maxAttempts\":2,"
            "\"priority\":7},"
            "{\"name\":\"free\",\"host\":\"h\",\"pathPrefix\":\"/free/\",\"kind\":\"idempotent\","
            "\"timeoutMs\":600,\"targetLatencyMs\":100,\"service\":\"shop\",\"maxAttempts\":2,"
            "\"authExempt\":true},"
            "{\"name\":\"llm\",\"host\":\"h\",\"pathPrefix\":\"/llm/\",\"kind\":\"streaming\","
            "\"timeoutMs\":3000,\"targetLatencyMs\":300,\"targetGapMs\":100,\"service\":"
            "\"engines\",\"maxAttempts\":2,\"resumable\":true}],"
            "\"services\":[{\"name\":\"shop\"},{\"name\":\"engines\",\"engine\":{\"slots\":4,"
            "\"kvCapacityTokens\":100000,\"kvRetentionS\":0.5,\"stride\":10}}]}",
            version, customers);
  routes = platform_decode_config (text, strlen (text), &error);
  assert_non_null (routes);
  mf_jobs_configure (&fixture->jobs, routes);
}

static void
setup (RelayFixture *fixture, const char *customers)
{
  char path[] = "/tmp/mangofork-test-XXXXXX";
  MfError error = { 0 };

  seen[0] = '\0';
  n_breaks = 0;
  relay_fixture_setup (fixture, ev_loop_new (0));
  /* A resumed stream costs a prefill and a run. */
  fixture->jobs.budget_slack = 6;
  mf_relay_log_free (fixture->log);
  close (fixture->log_fd);
  fixture->log_fd = mkstemp (path);
  assert_true (fixture->log_fd >= 0);
  unlink (path);
  fixture->log = mf_relay_log_new (fixture->loop, "t", fixture->log_fd, &error);
  fixture->jobs.log = fixture->log;
  configure (fixture, 2, customers);
}

/* Neither the log, a metric nor a head at an upstream may contain a key. */
static void
teardown (RelayFixture *fixture)
{
  struct ev_loop *loop = fixture->loop;
  static char text[65536];
  MfBuffer metrics = { 0 };
  int log_fd = dup (fixture->log_fd);
  ssize_t n_bytes;

  mf_relay_counters_render (&fixture->jobs.counters, &metrics);
  mf_buffer_add (&metrics, "", 1);
  assert_null (strstr (mf_buffer_data (&metrics), "secret-key"));
  mf_buffer_clear (&metrics);
  relay_fixture_teardown (fixture);
  n_bytes = pread (log_fd, text, sizeof text - 1, 0);
  close (log_fd);
  assert_true (n_bytes > 0);
  text[n_bytes] = '\0';
  assert_non_null (strstr (text, "request."));
  assert_null (strstr (text, "secret-key"));
  ev_loop_destroy (loop);
}

static int
start (const char *path, const char *headers)
{
  char text[12288];
  int fd = loop_connect (relay_fixture_port ());

  assert_true (fd >= 0);
  snprintf (text, sizeof text,
            "GET %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nX-Deadline-Ms: 3000\r\n"
            "X-Token-Count: 100,40\r\n%s\r\n",
            path, headers);
  loop_send (fd, text, strlen (text));
  return fd;
}

/* Reads an answer up to a text, or up to a bounded time. */
static void
receive (RelayFixture *fixture, int fd, const char *needle)
{
  loop_receive (fixture->loop, fd, needle, fixture->received, sizeof fixture->received);
  assert_null (strstr (fixture->received, "secret-key"));
}

/* Sends a request and returns the status of its answer. */
static int
call (RelayFixture *fixture, const char *path, const char *headers)
{
  char all[12000];
  int fd;

  snprintf (all, sizeof all, "%sConnection: close\r\n", headers);
  fd = start (path, all);
  receive (fixture, fd, NULL);
  close (fd);
  return atoi (fixture->received + 9);
}

/* Guards against keys, and names forged by callers, in prefills, decodes, retries and resumed
 * streams. */
static void
test_upstreams_get_the_name_only (void **state)
{
  RelayFixture fixture;

  (void)state;
  setup (&fixture, CUSTOMERS);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PREFILL, handle_prefill);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_break);
  relay_fixture_add_upstream (&fixture, 2, MF_ROLE_DECODE, handle_break);
  assert_int_equal (
      call (&fixture, "/llm/1", "x-api-key:  " KEY_A " \r\nX-Tenant: beta\r\nx-tenant: forged\r\n"),
      200);
  assert_non_null (strstr (fixture.received, "data: b"));
  assert_int_equal (n_breaks, 2);
  assert_true (n_seen ("X-Stage: prefill") >= 1);
  assert_int_equal (n_seen ("Last-Event-Id: 1"), 1);
  assert_int_equal (n_seen ("X-Tenant: alpha\r\n"), n_seen ("GET /llm/1"));
  assert_true (n_seen ("GET /llm/1") >= 3);
  assert_int_equal (n_seen ("beta") + n_seen ("forged") + n_seen ("secret-key"), 0);
  teardown (&fixture);
}

/* A request that the first upstream declines is sent to another one. */
static void
test_retry_has_the_name (void **state)
{
  RelayFixture fixture;

  (void)state;
  setup (&fixture, CUSTOMERS);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_decline);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_good);
  assert_int_equal (call (&fixture, "/read/1", KEY_HEADER_A "Connection: x-tenant\r\n"), 200);
  assert_int_equal (n_seen ("X-Tenant: alpha\r\n"), 2);
  assert_int_equal (n_seen ("secret-key"), 0);
  assert_int_equal (fixture.jobs.counters.customers[0].counts[MF_CUSTOMER_ANSWERED], 1);
  teardown (&fixture);
}

/* An exempt route needs no key, but forwards neither a key nor a forged name. */
static void
test_exempt_route (void **state)
{
  RelayFixture fixture;

  (void)state;
  setup (&fixture, CUSTOMERS);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_good);
  assert_int_equal (call (&fixture, "/free/1", "X-Tenant: alpha\r\n"), 200);
  assert_int_equal (call (&fixture, "/free/1", "X-Api-Key: secret-key-x\r\nX-Tenant: beta\r\n"),
                    200);
  assert_int_equal (n_seen ("X-Tenant"), 0);
  assert_int_equal (call (&fixture, "/free/1", KEY_HEADER_A), 200);
  assert_int_equal (n_seen ("X-Tenant: alpha\r\n"), 1);
  assert_int_equal (n_seen ("secret-key"), 0);
  teardown (&fixture);
}

static void
test_faulty_keys_are_refused (void **state)
{
  RelayFixture fixture;
  char headers[9000] = "X-Api-Key: ";

  (void)state;
  setup (&fixture, CUSTOMERS);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_good);
  assert_int_equal (call (&fixture, "/read/1", ""), 401);
  assert_null (strstr (fixture.received, "Retry-After"));
  assert_int_equal (call (&fixture, "/read/1", "X-Api-Key:\r\n"), 401);
  assert_int_equal (call (&fixture, "/read/1", "X-Api-Key: secret-key-x\r\n"), 401);
  assert_int_equal (call (&fixture, "/read/1", KEY_HEADER_A KEY_HEADER_A), 401);
  assert_int_equal (call (&fixture, "/read/1", "X-Api-Key: " KEY_A ", " KEY_B "\r\n"), 401);
  memset (headers + 11, 'k', 8192);
  snprintf (headers + 11 + 8192, sizeof headers - 11 - 8192, "\r\n");
  assert_int_equal (call (&fixture, "/read/1", headers), 401);
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 0);
  assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_KEYS_REFUSED], 6);
  assert_int_equal (call (&fixture, "/read/1", KEY_HEADER_A), 200);
  teardown (&fixture);
}

/* Guards against a customer that is remembered for a connection. */
static void
test_versions_apply_to_open_connections (void **state)
{
  static const char *const expected[] = { "401", "200" };
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture, CUSTOMERS);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_good);
  fixture.jobs.revoke_us = 60 * MF_US_PER_S;
  fd = start ("/read/1", KEY_HEADER_A);
  receive (&fixture, fd, "good");
  for (uint32_t i = 0; i < MF_ARRAY_LEN (expected); i++)
    {
      static const char again[] = "GET /read/1 HTTP/1.1\r\nHost: h\r\n" KEY_HEADER_A "\r\n";

      configure (&fixture, 3 + i, i == 0 ? REMOVED : MOVED);
      loop_send (fd, again, strlen (again));
      receive (&fixture, fd, i == 0 ? "customer" : "good");
      assert_memory_equal (fixture.received + 9, expected[i], 3);
    }
  assert_int_equal (n_seen ("X-Tenant: alpha"), 1);
  assert_int_equal (n_seen ("X-Tenant: beta"), 1);
  close (fd);
  teardown (&fixture);
}

/* Starts a stream that waits, as no engine has a free slot. */
static int
start_waiting (RelayFixture *fixture)
{
  int fd;

  relay_fixture_add_upstream (fixture, 0, MF_ROLE_DECODE, handle_hang);
  for (uint32_t i = 0; i < 4; i++)
    mf_target_begin_request (mf_targets_find (&fixture->jobs.targets, "u0"), 0, mf_clock_now_us ());
  fd = start ("/llm/1", KEY_HEADER_A);
  loop_spin (fixture->loop, 20);
  assert_int_equal (fixture->jobs.n_jobs, 1);
  assert_int_equal (relay_fixture_n_requests (fixture, 0), 0);
  return fd;
}

static void
free_slot (RelayFixture *fixture)
{
  mf_target_end_request (mf_targets_find (&fixture->jobs.targets, "u0"), 0);
  mf_jobs_run_dispatch (&fixture->jobs);
}

/* The delay counts from the version that removed the key, however many follow. */
static void
test_key_removed_in_the_queue (void **state)
{
  for (uint32_t i = 0; i < 2; i++)
    {
      RelayFixture fixture;
      int fd;

      (void)state;
      setup (&fixture, CUSTOMERS);
      fixture.jobs.revoke_us = i == 0 ? 60 * MF_US_PER_S : 30 * MF_US_PER_MS;
      fd = start_waiting (&fixture);
      configure (&fixture, 3, REMOVED);
      usleep (40000);
      configure (&fixture, 4, REMOVED);
      free_slot (&fixture);
      receive (&fixture, fd, i == 0 ? "data: a" : "no-customer");
      assert_memory_equal (fixture.received + 9, i == 0 ? "200" : "401", 3);
      assert_int_equal (n_seen ("X-Tenant: alpha"), i == 0 ? 1 : 0);
      assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_KEYS_REVOKED], i);
      close (fd);
      teardown (&fixture);
    }
}

static void
test_key_moved_in_the_queue (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture, CUSTOMERS);
  fd = start_waiting (&fixture);
  assert_int_equal (mf_job_priority (fixture.jobs.first), 1);
  configure (&fixture, 3, MOVED);
  assert_int_equal (mf_job_priority (fixture.jobs.first), 0);
  free_slot (&fixture);
  receive (&fixture, fd, "data: a");
  assert_int_equal (n_seen ("X-Tenant: beta"), 1);
  assert_int_equal (n_seen ("X-Tenant: alpha"), 0);
  assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_KEYS_MOVED], 1);
  close (fd);
  teardown (&fixture);
}

/* A stream that runs goes on, also at another upstream. */
static void
test_key_removed_during_a_stream (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture, CUSTOMERS);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_hang);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_break);
  n_breaks = 1;
  fd = start ("/llm/1", KEY_HEADER_A "Connection: close\r\n");
  receive (&fixture, fd, "data: a");
  configure (&fixture, 3, REMOVED);
  fake_upstream_conn_close (fake_upstream_last_conn (fixture.upstreams[0].server), true);
  receive (&fixture, fd, "data: b");
  assert_non_null (strstr (fixture.received, "data: b"));
  assert_int_equal (n_seen ("X-Tenant: alpha"), 2);
  assert_int_equal (n_seen ("secret-key"), 0);
  close (fd);
  teardown (&fixture);
}

/* Without a list, headers of these names belong to the caller and the upstream. When a list comes
 * while a request waits, they do not any more. */
static void
test_without_a_list_headers_pass (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture, "");
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_good);
  assert_int_equal (call (&fixture, "/read/1", "X-Api-Key: k1\r\nX-Api-Key: k2\r\nX-Tenant: t\r\n"),
                    200);
  assert_int_equal (n_seen ("X-Api-Key: k1\r\nX-Api-Key: k2\r\nX-Tenant: t\r\n"), 1);
  assert_int_equal (fixture.jobs.counters.n_customers, 0);
  fd = start_waiting (&fixture);
  configure (&fixture, 3, CUSTOMERS);
  free_slot (&fixture);
  receive (&fixture, fd, "data: a");
  assert_int_equal (n_seen ("X-Tenant: alpha"), 1);
  assert_int_equal (n_seen ("secret-key"), 0);
  close (fd);
  teardown (&fixture);
}

/* A key may have been added while the store was away; a missing key cannot become valid. */
static void
test_stale_configuration (void **state)
{
  RelayFixture fixture;
  uint64_t now_us = mf_clock_boottime_us ();

  (void)state;
  setup (&fixture, CUSTOMERS);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_good);
  fixture.jobs.config_apply_us = MF_US_PER_S;
  fixture.jobs.upstreams_as_of_us = now_us - 2 * MF_US_PER_S;
  assert_int_equal (call (&fixture, "/read/1", "X-Api-Key: secret-key-x\r\n"), 503);
  assert_non_null (strstr (fixture.received, "Retry-After: "));
  assert_null (strstr (fixture.received, "Retry-After: 0.000"));
  assert_int_equal (call (&fixture, "/read/1", ""), 401);
  assert_int_equal (call (&fixture, "/read/1", KEY_HEADER_A), 200);
  /* A route may have been added as well. */
  assert_int_equal (call (&fixture, "/nowhere/1", KEY_HEADER_A), 503);
  fixture.jobs.upstreams_as_of_us = now_us;
  assert_int_equal (call (&fixture, "/nowhere/1", KEY_HEADER_A), 404);
  fixture.jobs.config_is_pending = true;
  assert_int_equal (call (&fixture, "/nowhere/1", KEY_HEADER_A), 503);
  assert_int_equal (call (&fixture, "/read/1", "X-Api-Key: secret-key-x\r\n"), 503);
  fixture.jobs.config_is_pending = false;
  assert_int_equal (call (&fixture, "/read/1", "X-Api-Key: secret-key-x\r\n"), 401);
  /* The first watch request has not been answered, and the configuration has just been read. */
  fixture.jobs.upstreams_as_of_us = 0;
  assert_int_equal (call (&fixture, "/read/1", "X-Api-Key: secret-key-x\r\n"), 401);
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_upstreams_get_the_name_only),
    cmocka_unit_test (test_retry_has_the_name),
    cmocka_unit_test (test_exempt_route),
    cmocka_unit_test (test_faulty_keys_are_refused),
    cmocka_unit_test (test_versions_apply_to_open_connections),
    cmocka_unit_test (test_key_removed_in_the_queue),
    cmocka_unit_test (test_key_moved_in_the_queue),
    cmocka_unit_test (test_key_removed_during_a_stream),
    cmocka_unit_test (test_without_a_list_headers_pass),
    cmocka_unit_test (test_stale_configuration),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
