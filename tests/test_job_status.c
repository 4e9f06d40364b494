#include "libmangofork/relay/job_row.h"

#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "relay_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

/* Answers whose status is no final status of HTTP, in each call that is made for a request. The
 * upstream keeps its connection open. */

/* No timeout of the routes passes within this time, nor one after which a stream or a prefill is
 * moved. */
#define AT_ONCE_US (150 * MF_US_PER_MS)
#define REST "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"

static const char *const statuses[]
    = { "000 Zero",  "000",          "001 One", "099 Below", "101 Switching Protocols",
        "600 Above", "999 Far Above" };

static const char *status;
static FakeUpstreamConn *silent;
static uint64_t broken_us; /* when an answer with that status was sent */

static void
handle_status (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, status, RELAY_FIXTURE_SEAL, "body");
  broken_us = mf_clock_now_us ();
}

/* The same without a length; the answer would end with the connection. */
static void
handle_status_unframed (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char answer[256];

  (void)text;
  snprintf (answer, sizeof answer,
            "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n" RELAY_FIXTURE_SEAL "\r\nbody", status, id);
  fake_upstream_conn_send (conn, answer);
  broken_us = mf_clock_now_us ();
}

static void
handle_silent (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  silent = conn;
}

static void
handle_good (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL, "good");
}

/* A whole stream, or its rest after event 1. */
static void
handle_stream (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char last[16] = "";

  (void)id;
  if (!fake_upstream_request_header (text, "Last-Event-Id", last, sizeof last))
    fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n" REST);
  else
    fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD REST);
}

/* What a caller gets. */
typedef struct
{
  const char *name;
  const char *path;
  MfRole role; /* of the first upstream, which answers with the status */
  RelayFixtureHandler handler;
  RelayFixtureHandler next_handler; /* of a second upstream; NULL: there is none */
  MfRole next_role;
  const char *expected;
  const char *end; /* of what is received */
} Case;

static const Case cases[] = {
  { "read", "/read/1", MF_ROLE_PLAIN, handle_status, NULL, 0, "HTTP/1.1 502", "}\n" },
  { "read, next", "/read/1", MF_ROLE_PLAIN, handle_status, handle_good, MF_ROLE_PLAIN,
    "HTTP/1.1 200", "good" },
  { "order", "/order/1", MF_ROLE_PLAIN, handle_status, handle_good, MF_ROLE_PLAIN, "HTTP/1.1 502",
    "}\n" },
  { "order, unframed", "/order/1", MF_ROLE_PLAIN, handle_status_unframed, handle_good,
    MF_ROLE_PLAIN, "HTTP/1.1 502", "}\n" },
  { "prefill", "/llm/1", MF_ROLE_PREFILL, handle_status, relay_fixture_prefill, MF_ROLE_PREFILL,
    "HTTP/1.1 200", "\r\n0\r\n\r\n" },
  { "stream", "/llm/1", MF_ROLE_DECODE, handle_status, NULL, 0, "HTTP/1.1 200", "\r\n0\r\n\r\n" },
  { "stream, unframed", "/llm/1", MF_ROLE_DECODE, handle_status_unframed, NULL, 0, "HTTP/1.1 200",
    "\r\n0\r\n\r\n" },
  { "stream once", "/once/1", MF_ROLE_DECODE, handle_status, NULL, 0, "HTTP/1.1 502", "}\n" },
};

static bool
has_ended (void *data)
{
  return broken_us > 0 && ((RelayFixture *)data)->jobs.n_jobs == 0;
}

static int
call (const char *path)
{
  char text[256];
  int fd = loop_connect (relay_fixture_port ());

  assert_true (fd >= 0);
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nX-Token-Count: 100,40\r\n"
            "Content-Length: 2\r\n\r\nhi",
            path);
  loop_send (fd, text, strlen (text));
  return fd;
}

static void
setup (RelayFixture *fixture)
{
  broken_us = 0;
  silent = NULL;
  relay_fixture_setup (fixture, ev_loop_new (0));
  fixture->jobs.budget_slack = 8;
}

static void
teardown (RelayFixture *fixture, int fd)
{
  struct ev_loop *loop = fixture->loop;

  close (fd);
  relay_fixture_teardown (fixture);
  ev_loop_destroy (loop);
}

static void
case_check (const Case *checked)
{
  RelayFixture fixture;
  uint64_t ended_us;
  int fd;

  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, checked->role, checked->handler);
  if (checked->next_handler != NULL)
    relay_fixture_add_upstream (&fixture, 1, checked->next_role, checked->next_handler);
  /* Upstreams 0 and 2 are preferred, and 0 has less load. */
  if (checked->role != MF_ROLE_PLAIN)
    relay_fixture_add_upstream (&fixture, 3, MF_ROLE_DECODE, handle_stream);
  fd = call (checked->path);
  assert_true (loop_pump (fixture.loop, has_ended, &fixture));
  ended_us = mf_clock_now_us ();
  loop_receive (fixture.loop, fd, checked->end, fixture.received, sizeof fixture.received);
  if (strncmp (fixture.received, checked->expected, strlen (checked->expected)) != 0
      || strstr (fixture.received, "body") != NULL || ended_us - broken_us >= AT_ONCE_US)
    fail_msg ("%s, %s, after %llu us: %s", checked->name, status,
              (unsigned long long)(ended_us - broken_us), fixture.received);
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
  assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_BROKEN],
                    checked->role != MF_ROLE_PREFILL);
  if (checked->role == MF_ROLE_PLAIN && checked->next_handler != NULL)
    assert_int_equal (relay_fixture_n_requests (&fixture, 1),
                      strncmp (checked->expected, "HTTP/1.1 2", 10) == 0);
  loop_spin (fixture.loop, 5);
  assert_int_equal (fake_upstream_n_closed (fixture.upstreams[0].server), 1);
  teardown (&fixture, fd);
}

/* A status below 200 was taken for an interim one, so that the caller waited until its deadline for
 * another; one over 599 was passed on. */
static void
test_answer_without_a_status_fails_at_once (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (cases); i++)
    {
      for (size_t j = 0; j < MF_ARRAY_LEN (statuses); j++)
        {
          status = statuses[j];
          case_check (&cases[i]);
        }
    }
}

/* The stream is cut off when its last attempt is answered so, and not at its deadline. */
static void
test_stream_that_is_resumed_without_a_status_is_cut_off (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (statuses); i++)
    {
      RelayFixture fixture;
      int fd;

      status = statuses[i];
      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, relay_fixture_stream_breaks);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_status);
      fd = call ("/llm/1");
      assert_true (loop_pump (fixture.loop, has_ended, &fixture));
      assert_true (mf_clock_now_us () - broken_us < AT_ONCE_US);
      loop_receive (fixture.loop, fd, "\r\n0\r\n\r\n", fixture.received, sizeof fixture.received);
      assert_non_null (strstr (fixture.received, "data: a"));
      assert_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
      assert_null (strstr (fixture.received, "body"));
      teardown (&fixture, fd);
    }
}

static bool
has_stalled (void *data)
{
  const MfJob *job = ((RelayFixture *)data)->jobs.first;

  return job != NULL && job->stalled.link != NULL;
}

static bool
has_dropped_stalled (void *data)
{
  return !has_stalled (data);
}

/* A silent run that answers so while another engine is sought has broken off. */
static void
test_silent_run_without_a_status_goes_on_elsewhere (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (statuses); i++)
    {
      RelayFixture fixture;
      MfTarget *other;
      int fd;

      status = statuses[i];
      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_stream);
      other = mf_targets_find (&fixture.jobs.targets, "u1");
      for (uint32_t j = 0; j < other->info.slots; j++)
        mf_target_reserve (other, 1);
      fd = call ("/llm/1");
      assert_true (loop_pump (fixture.loop, has_stalled, &fixture));
      handle_status (silent, "", "t");
      assert_true (loop_pump (fixture.loop, has_dropped_stalled, &fixture));
      assert_true (mf_clock_now_us () - broken_us < AT_ONCE_US);
      for (uint32_t j = 0; j < other->info.slots; j++)
        mf_target_unreserve (other, 1);
      loop_receive (fixture.loop, fd, "\r\n0\r\n\r\n", fixture.received, sizeof fixture.received);
      assert_memory_equal (fixture.received, "HTTP/1.1 200", 12);
      assert_non_null (strstr (fixture.received, "data: b\n\n\r\n0\r\n\r\n"));
      assert_null (strstr (fixture.received, "body"));
      teardown (&fixture, fd);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_answer_without_a_status_fails_at_once),
    cmocka_unit_test (test_stream_that_is_resumed_without_a_status_is_cut_off),
    cmocka_unit_test (test_silent_run_without_a_status_goes_on_elsewhere),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
