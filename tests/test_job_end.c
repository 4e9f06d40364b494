#include "libmangofork/relay/job_row.h"

#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "relay_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define PORT 21891
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
  relay_fixture_setup (fixture, ev_loop_new (0), PORT);
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
  int fd = loop_connect (PORT);
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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failure_to_go_on_leaves_the_other_tries),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
