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

#define REST "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"

static FakeUpstreamConn *silent;    /* the run that has stalled */
static FakeUpstreamConn *successor; /* the run that is to take its place */

/* Sends nothing yet. */
static void
handle_late (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  silent = conn;
}

static void
handle_good (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL, "other");
}

/* Sends event 1; the rest is up to the test. */
static void
handle_silent (FakeUpstreamConn *conn, const char *text, const char *id)
{
  relay_fixture_stream_hangs (conn, text, id);
  silent = conn;
}

/* Sends nothing yet. */
static void
handle_successor (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  successor = conn;
}

static void
setup (RelayFixture *fixture)
{
  silent = NULL;
  successor = NULL;
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

static bool
is_silent (void *data)
{
  (void)data;
  return silent != NULL;
}

static bool
has_successor (void *data)
{
  (void)data;
  return successor != NULL;
}

static bool
has_stalled (void *data)
{
  const MfJob *job = ((RelayFixture *)data)->jobs.first;

  return job == NULL || job->stalled.link != NULL;
}

/* The search has ended, with the request or without. */
static bool
has_no_search (void *data)
{
  const MfJob *job = ((RelayFixture *)data)->jobs.first;

  return job == NULL || job->stalled.link == NULL;
}

static void
fill (RelayFixture *fixture, const char *id, bool is_full)
{
  MfTarget *target = mf_targets_by_hash (&fixture->jobs.targets, mf_load_hash (id));

  for (uint32_t i = 0; i < target->info.slots; i++)
    {
      if (is_full)
        mf_target_reserve (target, 1);
      else
        mf_target_unreserve (target, 1);
    }
}

static void
assert_no_load (RelayFixture *fixture, const char *id)
{
  const MfTarget *target = mf_targets_by_hash (&fixture->jobs.targets, mf_load_hash (id));

  assert_int_equal (target->n_active, 0);
  assert_int_equal (target->n_reserved, 0);
}

/* When there was no time left for another run, the one in progress was cancelled long before its
 * caller would have left. */
static void
test_end_of_the_search_keeps_a_run_whose_caller_still_waits (void **state)
{
  static const struct
  {
    const char *path;
    const char *answer;
  } calls[] = {
    { "/ask/1",
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\n" RELAY_FIXTURE_SEAL "Content-Length: 4\r\n\r\nmine" },
    { "/llm/1", RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n" REST },
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (calls); i++)
    {
      RelayFixture fixture;
      int fd;

      setup (&fixture);
      /* Half of the 3 s is needed for an answer. */
      fixture.jobs.mean_token_us = 150. * (double)MF_US_PER_MS;
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_late);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_good);
      fill (&fixture, "u1", true);
      fd = call_begin (calls[i].path);
      assert_true (loop_pump (fixture.loop, is_silent, NULL));
      assert_true (loop_pump (fixture.loop, has_stalled, &fixture));
      assert_true (loop_pump (fixture.loop, has_no_search, &fixture));
      assert_int_equal (fixture.jobs.n_jobs, 1);
      fake_upstream_conn_send (silent, calls[i].answer);
      loop_receive (fixture.loop, fd, i == 0 ? "mine" : "\r\n0\r\n\r\n", fixture.received,
                    sizeof fixture.received);
      assert_memory_equal (fixture.received, "HTTP/1.1 200", 12);
      close (fd);
      fill (&fixture, "u1", false);
      assert_no_load (&fixture, "u0");
      assert_no_load (&fixture, "u1");
      teardown (&fixture);
    }
}

/* A silent run was cancelled for a send that was declined, and the stream ended as there was no
 * other retry. */
static void
test_send_that_is_declined_ends_no_silent_run (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  fixture.jobs.budget_slack = 1;
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, relay_fixture_decline);
  fd = call_begin ("/llm/1");
  assert_true (loop_pump (fixture.loop, is_silent, NULL));
  loop_spin (fixture.loop, 250);
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 1);
  assert_int_equal (fixture.jobs.n_jobs, 1);
  /* The log names the upstream that answers. */
  assert_string_equal (fixture.jobs.first->last_upstream, "u0");
  fake_upstream_conn_send (silent, REST);
  loop_receive (fixture.loop, fd, "\r\n0\r\n\r\n", fixture.received, sizeof fixture.received);
  assert_non_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
  close (fd);
  teardown (&fixture);
}

static void
assert_whole (RelayFixture *fixture, int fd)
{
  loop_receive (fixture->loop, fd, "\r\n0\r\n\r\n", fixture->received, sizeof fixture->received);
  assert_non_null (strstr (fixture->received, "\r\n\r\n"));
  assert_string_equal (strstr (fixture->received, "\r\n\r\n"),
                       "\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n" REST);
  close (fd);
}

/* A silent run and the one that was sent for it: the first that shows that it goes on delivers the
 * rest, and the other one is cancelled. */
static void
test_silent_run_ends_when_another_has_taken_its_place (void **state)
{
  static const struct
  {
    const char *first;        /* what the successor sends first */
    const char *silent_sends; /* meanwhile */
    bool silent_breaks;
    bool successor_is_late;
    bool silent_goes_on;
  } cases[] = {
    { .silent_sends = REST, .silent_goes_on = true },
    { .first = RELAY_FIXTURE_STREAM_HEAD },
    { .silent_breaks = true },
    { .silent_sends = "f\r\ndata: zzzzzzz\n\n\r\n" },
    { .silent_sends = "0\r\n\r\n", .silent_goes_on = true },
    { .silent_sends = "7\r\nid: 2\nd\r\n0\r\n\r\n" },
    { .successor_is_late = true },
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (cases); i++)
    {
      RelayFixture fixture;
      uint64_t until_us;
      int fd;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_successor);
      fd = call_begin ("/llm/1");
      assert_true (loop_pump (fixture.loop, has_successor, NULL));
      until_us = mf_clock_now_us () + 210 * MF_US_PER_MS;
      assert_int_equal (fake_upstream_n_closed (fixture.upstreams[0].server), 0);
      if (cases[i].first != NULL)
        fake_upstream_conn_send (successor, cases[i].first);
      if (cases[i].silent_sends != NULL)
        fake_upstream_conn_send (silent, cases[i].silent_sends);
      if (cases[i].silent_breaks)
        fake_upstream_conn_close (silent, true);
      loop_spin (fixture.loop, 10);
      while (cases[i].successor_is_late && mf_clock_now_us () < until_us)
        loop_spin (fixture.loop, 1);
      if (cases[i].silent_goes_on)
        {
          loop_receive (fixture.loop, fd, "\r\n0\r\n\r\n", fixture.received,
                        sizeof fixture.received);
          close (fd);
          assert_int_equal (fake_upstream_n_closed (fixture.upstreams[1].server), 1);
        }
      else
        {
          fake_upstream_conn_send (successor,
                                   cases[i].first != NULL ? REST : RELAY_FIXTURE_STREAM_HEAD REST);
          assert_whole (&fixture, fd);
        }
      loop_spin (fixture.loop, 5);
      assert_no_load (&fixture, "u0");
      assert_no_load (&fixture, "u1");
      teardown (&fixture);
    }
}

/* An error of either of two upstreams ends the request, unless the other one may still answer it.
 * What no other upstream would answer differently is answered at once. */
static void
test_error_of_one_upstream_leaves_the_other (void **state)
{
  static const struct
  {
    const char *successor_status; /* of its answer, which comes first */
    const char *silent_status;
    const char *expected;
  } cases[] = {
    { "500 No", "200 OK", "HTTP/1.1 200" },
    { "500 No", "502 No", "HTTP/1.1 50" },
    { "404 No", NULL, "HTTP/1.1 404" },
    { NULL, "500 No", "HTTP/1.1 200" },
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (cases); i++)
    {
      RelayFixture fixture;
      int fd;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_late);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_successor);
      fd = call_begin ("/ask/1");
      assert_true (loop_pump (fixture.loop, has_successor, NULL));
      if (cases[i].successor_status != NULL)
        relay_fixture_answer (successor, "t", cases[i].successor_status, RELAY_FIXTURE_SEAL, "it");
      loop_spin (fixture.loop, 5);
      if (cases[i].silent_status != NULL)
        relay_fixture_answer (silent, "t", cases[i].silent_status, RELAY_FIXTURE_SEAL, "it");
      loop_spin (fixture.loop, 5);
      if (cases[i].successor_status == NULL)
        relay_fixture_answer (successor, "t", "200 OK", RELAY_FIXTURE_SEAL, "it");
      loop_receive (fixture.loop, fd, "\r\n\r\nit", fixture.received, sizeof fixture.received);
      assert_memory_equal (fixture.received, cases[i].expected, strlen (cases[i].expected));
      close (fd);
      loop_spin (fixture.loop, 5);
      assert_no_load (&fixture, "u0");
      assert_no_load (&fixture, "u1");
      teardown (&fixture);
    }
}

/* Breaks off a stream after event 1. */
static void
handle_break (FakeUpstreamConn *conn, const char *text, const char *id)
{
  relay_fixture_stream_breaks (conn, text, id);
}

/* Sends the head of an answer that an intermediary may have written, as it has no seal. */
static void
handle_unsealed (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  silent = conn;
  fake_upstream_conn_send (conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\n"
                                 "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n");
}

/* An answer without a seal to the rest of a stream was passed on once it had been silent. */
static void
test_silent_answer_without_a_seal_is_not_passed_on (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  for (uint32_t i = 0; i < fixture.jobs.routes->n_routes; i++)
    fixture.jobs.routes->routes[i].attempts_max = 4;
  fixture.jobs.budget_slack = 100;
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_break);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_unsealed);
  relay_fixture_add_upstream (&fixture, 2, MF_ROLE_DECODE, relay_fixture_decline);
  fill (&fixture, "u1", true);
  fill (&fixture, "u2", true);
  fd = call_begin ("/llm/1");
  loop_spin (fixture.loop, 5);
  fill (&fixture, "u1", false);
  assert_true (loop_pump (fixture.loop, is_silent, NULL));
  assert_true (loop_pump (fixture.loop, has_stalled, &fixture));
  fake_upstream_conn_send (silent, REST);
  loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
  assert_non_null (strstr (fixture.received, "id: 1\n"));
  assert_null (strstr (fixture.received, "id: 2\n"));
  close (fd);
  fill (&fixture, "u2", false);
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_end_of_the_search_keeps_a_run_whose_caller_still_waits),
    cmocka_unit_test (test_send_that_is_declined_ends_no_silent_run),
    cmocka_unit_test (test_silent_run_ends_when_another_has_taken_its_place),
    cmocka_unit_test (test_error_of_one_upstream_leaves_the_other),
    cmocka_unit_test (test_silent_answer_without_a_seal_is_not_passed_on),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
