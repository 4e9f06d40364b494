#include "libmangofork/relay/job_row.h"

#include "libmangofork/clock.h"

#include "platform/platform.h"

#include "loop_pump.h"
#include "relay_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define REST "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"
#define WHOLE "\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n" REST

static FakeUpstreamConn *held; /* of the last request that has no complete answer */
static uint32_t n_held;
static uint32_t n_rests;

/* Sends event 1; the rest is up to the test. */
static void
handle_begun (FakeUpstreamConn *conn, const char *text, const char *id)
{
  relay_fixture_stream_hangs (conn, text, id);
  held = conn;
  n_held++;
}

/* Sends nothing yet. */
static void
handle_no_answer (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  held = conn;
  n_held++;
}

static void
handle_good (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL, "good");
}

/* The first upstream that is to go on after event 1 fails, and the next one does. */
static void
handle_rest_second (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char last[16] = "";

  fake_upstream_request_header (text, "Last-Event-Id", last, sizeof last);
  assert_string_equal (last, "1");
  if (n_rests++ == 0)
    relay_fixture_answer (conn, id, "500 Boom", RELAY_FIXTURE_SEAL, "boom");
  else
    fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD REST);
}

static void
setup (RelayFixture *fixture)
{
  held = NULL;
  n_held = 0;
  n_rests = 0;
  relay_fixture_setup (fixture, ev_loop_new (0));
}

static void
teardown (RelayFixture *fixture)
{
  struct ev_loop *loop = fixture->loop;

  relay_fixture_teardown (fixture);
  ev_loop_destroy (loop);
}

static int
call_begin (const char *path)
{
  char text[320];
  int fd = loop_connect (relay_fixture_port ());
  int n_bytes;

  assert_true (fd >= 0);
  n_bytes = snprintf (text, sizeof text,
                      "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nX-Token-Count: 100,40\r\n"
                      "Content-Length: 2\r\n\r\nhi",
                      path);
  loop_send (fd, text, (size_t)n_bytes);
  return fd;
}

static bool
is_held (void *data)
{
  (void)data;
  return n_held > 0;
}

static void
set_attempts_max (RelayFixture *fixture, const char *route, uint32_t attempts_max)
{
  MfRoutes *routes = fixture->jobs.routes;

  for (uint32_t i = 0; i < routes->n_routes; i++)
    {
      if (strcmp (routes->routes[i].name, route) == 0)
        routes->routes[i].attempts_max = attempts_max;
    }
}

/* A stream that had broken off ended with the first upstream that failed to go on, although the
 * route allows a further one. */
static void
test_failure_to_go_on_leaves_the_other_tries (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  set_attempts_max (&fixture, "llm", 3);
  fixture.jobs.budget_slack = 8;
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_begun);
  fd = call_begin ("/llm/1");
  assert_true (loop_pump (fixture.loop, is_held, NULL));
  loop_spin (fixture.loop, 3);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest_second);
  relay_fixture_add_upstream (&fixture, 2, MF_ROLE_DECODE, handle_rest_second);
  fake_upstream_conn_close (held, true);
  loop_receive (fixture.loop, fd, "\r\n0\r\n\r\n", fixture.received, sizeof fixture.received);
  assert_int_equal (n_rests, 2);
  assert_string_equal (strstr (fixture.received, "\r\n\r\n"), WHOLE);
  close (fd);
  teardown (&fixture);
}

static void
list_leaving (RelayFixture *fixture)
{
  MfTargetInfo info = mf_targets_by_hash (&fixture->jobs.targets, mf_load_hash ("u0"))->info;

  info.leaving = true;
  mf_targets_update (&fixture->jobs.targets, &info);
}

static void
configure_without_routes (RelayFixture *fixture)
{
  static const char text[]
      = "{\"version\":2,\"routes\":[{\"name\":\"read\",\"host\":\"h\",\"pathPrefix\":\"/read/\","
        "\"kind\":\"idempotent\",\"timeoutMs\":600,\"targetLatencyMs\":100,\"service\":\"shop\","
        "\"maxAttempts\":1}],\"services\":[{\"name\":\"shop\"}],\"limits\":{}}";
  MfError error = { 0 };
  MfRoutes *routes = platform_decode_config (text, strlen (text), &error);

  assert_non_null (routes);
  mf_jobs_configure (&fixture->jobs, routes);
}

static void
shut_down (RelayFixture *fixture, uint64_t elapsed_us)
{
  mf_jobs_shut_down (&fixture->jobs, &(MfShutdown){ .started_us = mf_clock_now_us () - elapsed_us,
                                                    .grace_us = 8 * MF_US_PER_S });
}

static void
shut_down_early (RelayFixture *fixture)
{
  shut_down (fixture, 0);
}

static void
shut_down_late (RelayFixture *fixture)
{
  shut_down (fixture, 7600 * MF_US_PER_MS);
}

static void
remove_upstream (RelayFixture *fixture)
{
  mf_targets_remove (&fixture->jobs.targets, "u0", true, mf_clock_now_us ());
}

static void
close_idle (RelayFixture *fixture)
{
  mf_listener_end_keep_alive (fixture->listener);
  mf_listener_stop_accepting (fixture->listener);
  mf_listener_close_idle (fixture->listener);
}

static void
reduce_memory (RelayFixture *fixture)
{
  fixture->jobs.buffers_bytes_max = 1;
  fixture->jobs.answer_bytes_max = 1;
}

typedef void (*Change) (RelayFixture *fixture);

/* What happens to an instance, and to what it knows, while an upstream runs a request. */
static const Change changes[] = {
  list_leaving, remove_upstream, configure_without_routes, shut_down_early, shut_down_late,
  close_idle,   reduce_memory,
};

/* No change ends a stream that goes on. */
static void
test_changes_end_no_stream (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (changes) * MF_ARRAY_LEN (changes); i++)
    {
      RelayFixture fixture;
      int fd;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_begun);
      fd = call_begin (i % 2 == 0 ? "/llm/1" : "/once/1");
      assert_true (loop_pump (fixture.loop, is_held, NULL));
      loop_spin (fixture.loop, 3);
      changes[i / MF_ARRAY_LEN (changes)](&fixture);
      loop_spin (fixture.loop, 3);
      if (i / MF_ARRAY_LEN (changes) != 1)
        changes[i % MF_ARRAY_LEN (changes)](&fixture);
      loop_spin (fixture.loop, 3);
      fake_upstream_conn_send (held, REST);
      loop_receive (fixture.loop, fd, "\r\n0\r\n\r\n", fixture.received, sizeof fixture.received);
      assert_non_null (strstr (fixture.received, "\r\n\r\n"));
      assert_string_equal (strstr (fixture.received, "\r\n\r\n"), WHOLE);
      close (fd);
      teardown (&fixture);
    }
}

/* The same for a request whose answer comes as a whole, and may not be run again. */
static void
test_changes_end_no_run (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (changes); i++)
    {
      RelayFixture fixture;
      int fd;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_no_answer);
      fd = call_begin ("/buy/1");
      assert_true (loop_pump (fixture.loop, is_held, NULL));
      changes[i](&fixture);
      loop_spin (fixture.loop, 3);
      relay_fixture_answer (held, "t", "200 OK", RELAY_FIXTURE_SEAL, "good");
      loop_receive (fixture.loop, fd, "good", fixture.received, sizeof fixture.received);
      assert_memory_equal (fixture.received, "HTTP/1.1 200", 12);
      close (fd);
      teardown (&fixture);
    }
}

/* A body that is half read when a stop begins, and complete after the close of idle connections, is
 * passed on if its deadline is before the exit, and refused otherwise. */
static void
test_body_that_is_half_read_at_a_stop (void **state)
{
  static const char head[] = "POST /read/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n";
  static const char end[] = "1\r\n!\r\n0\r\n\r\n";

  (void)state;
  for (size_t i = 0; i < 2; i++)
    {
      RelayFixture fixture;
      int fd = -1;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_good);
      fd = loop_connect (relay_fixture_port ());
      loop_send (fd, head, sizeof head - 1);
      loop_spin (fixture.loop, 5);
      shut_down (&fixture, i == 0 ? 2500 * MF_US_PER_MS : 7600 * MF_US_PER_MS);
      close_idle (&fixture);
      loop_spin (fixture.loop, 5);
      loop_send (fd, end, sizeof end - 1);
      loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
      assert_memory_equal (fixture.received, i == 0 ? "HTTP/1.1 200" : "HTTP/1.1 503", 12);
      assert_int_equal (relay_fixture_n_requests (&fixture, 0), i == 0);
      close (fd);
      teardown (&fixture);
    }
}

/* A caller that takes up its stream on another connection ends neither of the two. */
static void
test_stream_that_is_taken_up_elsewhere_goes_on (void **state)
{
  static const char text[]
      = "POST /llm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: s\r\nX-Token-Count: 100,40\r\n"
        "Last-Event-Id: 1\r\nContent-Length: 2\r\n\r\nhi";
  FakeUpstreamConn *first;
  RelayFixture fixture;
  int second_fd;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_begun);
  fd = call_begin ("/llm/1");
  assert_true (loop_pump (fixture.loop, is_held, NULL));
  first = held;
  n_held = 0;
  second_fd = loop_connect (relay_fixture_port ());
  loop_send (second_fd, text, sizeof text - 1);
  assert_true (loop_pump (fixture.loop, is_held, NULL));
  assert_int_equal (fixture.jobs.n_jobs, 2);
  fake_upstream_conn_send (first, REST);
  loop_receive (fixture.loop, fd, "\r\n0\r\n\r\n", fixture.received, sizeof fixture.received);
  assert_string_equal (strstr (fixture.received, "\r\n\r\n"), WHOLE);
  assert_int_equal (fixture.jobs.n_jobs, 1);
  close (fd);
  close (second_fd);
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_changes_end_no_stream),
    cmocka_unit_test (test_changes_end_no_run),
    cmocka_unit_test (test_body_that_is_half_read_at_a_stop),
    cmocka_unit_test (test_stream_that_is_taken_up_elsewhere_goes_on),
    cmocka_unit_test (test_failure_to_go_on_leaves_the_other_tries),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
