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

static void
handle_good (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL, "good");
}

static void
handle_fail (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "500 Internal Server Error", RELAY_FIXTURE_SEAL, "bad");
}

static void
handle_unsealed (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", "", "forged");
}

static void
handle_encoded (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL "Content-Encoding: gzip\r\n", "zzz");
}

static void
handle_reset (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_close (conn, true);
}

static void
handle_no_answer (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)conn;
  (void)text;
  (void)id;
}

static void
handle_stream (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char last[16] = "0";

  (void)id;
  fake_upstream_request_header (text, "Last-Event-Id", last, sizeof last);
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD);
  if (strcmp (last, "0") == 0)
    fake_upstream_conn_send (conn, "f\r\nid: 1\ndata: a\n\n\r\n");
  fake_upstream_conn_send (conn, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
}

static void
teardown (RelayFixture *fixture)
{
  struct ev_loop *loop = fixture->loop;

  relay_fixture_teardown (fixture);
  ev_loop_destroy (loop);
}

/* Sends a request and reads its complete answer. */
static void
call (RelayFixture *fixture, const char *method, const char *path)
{
  char text[512];
  int fd = loop_connect (relay_fixture_port ());

  assert_true (fd >= 0);
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nX-Deadline-Ms: 3000\r\n"
            "X-Token-Count: 100,40\r\nX-Kv-Source: 10.0.0.1:1/x\r\nX-Expect-Instance: forged\r\n"
            "Connection: close\r\nContent-Length: 2\r\n\r\nhi",
            method, path);
  loop_send (fd, text, strlen (text));
  loop_receive (fixture->loop, fd, NULL, fixture->received, sizeof fixture->received);
  close (fd);
}

static void
assert_status (const RelayFixture *fixture, const char *status)
{
  assert_memory_equal (fixture->received, "HTTP/1.1 ", 9);
  assert_memory_equal (fixture->received + 9, status, 3);
}

static void
test_answer_is_passed_on (void **state)
{
  RelayFixture fixture;
  char value[64];

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_good);
  call (&fixture, "POST", "/order/1?q=2");
  assert_status (&fixture, "200");
  assert_non_null (strstr (fixture.received, RELAY_FIXTURE_SEAL));
  assert_non_null (strstr (fixture.received, "\r\n\r\ngood"));
  assert_memory_equal (fake_upstream_last_request (fixture.upstreams[0].server),
                       "POST /order/1?q=2 HTTP/1.1\r\n", 28);
  assert_true (
      fake_upstream_request_header (fake_upstream_last_request (fixture.upstreams[0].server),
                                    "X-Expect-Instance", value, sizeof value));
  assert_string_equal (value, "u0");
  /* Headers that only a router may set are not forwarded; the route's timeout bounds the
   * deadline. */
  assert_false (
      fake_upstream_request_header (fake_upstream_last_request (fixture.upstreams[0].server),
                                    "X-Kv-Source", value, sizeof value));
  assert_true (
      fake_upstream_request_header (fake_upstream_last_request (fixture.upstreams[0].server),
                                    "X-Deadline-Ms", value, sizeof value));
  assert_in_range (atoi (value), 500, 601);
  teardown (&fixture);
}

/* A non-idempotent request may have run if its upstream fails, does not answer, or answers without
 * the seal header or with a content encoding. It is neither retried nor answered with 503, which
 * would promise that it has not run. */
static void
test_order_that_may_have_run_is_not_sent_again (void **state)
{
  static const RelayFixtureHandler handlers[]
      = { handle_reset, handle_unsealed, handle_encoded, handle_no_answer, handle_fail };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (handlers); i++)
    {
      RelayFixture fixture;

      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handlers[i]);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_good);
      call (&fixture, "POST", "/order/1");
      assert_int_equal (fixture.received[9], '5');
      assert_memory_not_equal (fixture.received + 9, "503", 3);
      assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
      assert_int_equal (relay_fixture_n_requests (&fixture, 1), 0);
      teardown (&fixture);
    }
}

static void
test_order_that_was_declined_runs_elsewhere (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, relay_fixture_decline);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_good);
  call (&fixture, "POST", "/order/1");
  assert_status (&fixture, "200");
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 1);
  teardown (&fixture);
}

static void
test_declined_everywhere_is_refused_with_retry_after (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, relay_fixture_decline);
  call (&fixture, "POST", "/order/1");
  assert_status (&fixture, "503");
  assert_non_null (strstr (fixture.received, "Retry-After: "));
  teardown (&fixture);
}

static void
test_refusals_without_upstream_or_route (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  call (&fixture, "POST", "/order/1");
  assert_status (&fixture, "503");
  call (&fixture, "POST", "/nothing/1");
  assert_status (&fixture, "404");
  mf_routes_unref (fixture.jobs.routes);
  fixture.jobs.routes = NULL;
  call (&fixture, "POST", "/nothing/1");
  assert_status (&fixture, "503");
  teardown (&fixture);
}

static void
test_read_is_tried_elsewhere (void **state)
{
  static const RelayFixtureHandler handlers[]
      = { handle_reset,     handle_unsealed, handle_encoded,
          handle_no_answer, handle_fail,     relay_fixture_decline };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (handlers); i++)
    {
      RelayFixture fixture;

      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handlers[i]);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_good);
      call (&fixture, "GET", "/read/1");
      assert_status (&fixture, "200");
      teardown (&fixture);
    }
}

/* No more attempts are made than the route allows, and the caller gets the last upstream's own
 * error. */
static void
test_read_fails_in_the_end (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_fail);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_fail);
  relay_fixture_add_upstream (&fixture, 2, MF_ROLE_PLAIN, handle_fail);
  call (&fixture, "GET", "/read/1");
  assert_status (&fixture, "500");
  assert_non_null (strstr (fixture.received, RELAY_FIXTURE_SEAL));
  assert_int_equal (relay_fixture_n_requests (&fixture, 0) + relay_fixture_n_requests (&fixture, 1)
                        + relay_fixture_n_requests (&fixture, 2),
                    2);
  teardown (&fixture);
}

static void
test_retries_keep_to_the_budget (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_fail);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_fail);
  for (uint32_t i = 0; i < 20; i++)
    call (&fixture, "GET", "/read/1");
  assert_in_range (relay_fixture_n_requests (&fixture, 0) + relay_fixture_n_requests (&fixture, 1),
                   22, 26);
  teardown (&fixture);
}

/* A stream that is resumed after a separate prefill costs two retries, a prefill and a run. */
static void
test_both_sends_of_a_retry_count (void **state)
{
  RelayFixture fixture;
  uint32_t n_sends;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  fixture.jobs.budget_slack = 6;
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PREFILL, relay_fixture_prefill);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, relay_fixture_stream_breaks);
  relay_fixture_add_upstream (&fixture, 2, MF_ROLE_DECODE, relay_fixture_stream_breaks);
  for (uint32_t i = 0; i < 20; i++)
    call (&fixture, "POST", "/llm/1");
  n_sends = relay_fixture_n_requests (&fixture, 0) + relay_fixture_n_requests (&fixture, 1)
            + relay_fixture_n_requests (&fixture, 2);
  /* A fifth of the requests, 70 % of the slack, and the second send of the last retry. */
  assert_in_range (n_sends, 20 * 2 + 6, 20 * 2 + 4 + 4 + 1);
  /* KV that has been used is not used again. */
  assert_true (relay_fixture_n_requests (&fixture, 0) > 20);
  teardown (&fixture);
}

/* While a list of upstreams was being read, or after an outage of discovery, the instance granted
 * the same slot to the same request without end, and answered nothing any more. */
static void
test_stream_begins_while_a_list_of_upstreams_is_read (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_stream);
  mf_targets_begin_list (&fixture.jobs.targets);
  call (&fixture, "POST", "/llm/1");
  assert_status (&fixture, "200");
  teardown (&fixture);
}

static uint32_t n_prefills;
static const FakeUpstream *full_engine;

/* Counts prefills but not the calls that free KV. */
static void
handle_prefill_counted (FakeUpstreamConn *conn, const char *text, const char *id)
{
  n_prefills += strncmp (text, "DELETE ", 7) != 0;
  relay_fixture_prefill (conn, text, id);
}

/* Leaves the first four streams open, which fills the engine, and serves the later ones. */
static void
handle_full_at_first (FakeUpstreamConn *conn, const char *text, const char *id)
{
  if (fake_upstream_n_requests (full_engine) <= 4)
    relay_fixture_stream_hangs (conn, text, id);
  else
    handle_stream (conn, text, id);
}

/* The granted decode engine is unreachable, and the next one has a free slot only after the KV has
 * expired. That engine prefills the prompt itself, as another separate prefill would be a retry. */
static void
test_prompt_is_not_prefilled_again_beyond_the_budget (void **state)
{
  RelayFixture fixture;
  int fds[4];

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  fixture.jobs.budget_ratio = 0.;
  fixture.jobs.started_us = mf_clock_now_us ();
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PREFILL, handle_prefill_counted);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_full_at_first);
  full_engine = fixture.upstreams[1].server;
  n_prefills = 0;
  for (size_t i = 0; i < MF_ARRAY_LEN (fds); i++)
    {
      static const char text[] = "POST /once/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n\r\n";

      fds[i] = loop_connect (relay_fixture_port ());
      loop_send (fds[i], text, strlen (text));
    }
  loop_spin (fixture.loop, 50);
  assert_int_equal (n_prefills, MF_ARRAY_LEN (fds));
  relay_fixture_list_upstream (&fixture, "gone", MF_ROLE_DECODE, "127.0.0.1:1");
  call (&fixture, "POST", "/llm/1");
  assert_status (&fixture, "200");
  assert_int_equal (n_prefills, MF_ARRAY_LEN (fds) + 1);
  for (size_t i = 0; i < MF_ARRAY_LEN (fds); i++)
    close (fds[i]);
  loop_spin (fixture.loop, 10);
  teardown (&fixture);
}

/* A resumed stream needs a second prefill and a second run. */
static void
test_retry_of_two_sends_needs_budget_for_both (void **state)
{
  RelayFixture fixture;
  uint32_t n_sends;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  fixture.jobs.budget_ratio = 0.;
  fixture.jobs.budget_slack = 1;
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PREFILL, relay_fixture_prefill);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, relay_fixture_stream_breaks);
  relay_fixture_add_upstream (&fixture, 2, MF_ROLE_DECODE, relay_fixture_stream_breaks);
  call (&fixture, "POST", "/llm/1");
  n_sends = relay_fixture_n_requests (&fixture, 0) + relay_fixture_n_requests (&fixture, 1)
            + relay_fixture_n_requests (&fixture, 2);
  teardown (&fixture);
  assert_int_equal (n_sends, 2);
}

static void
test_prefill_and_decode_run_at_separate_engines (void **state)
{
  RelayFixture fixture;
  char value[64];
  char expected[128];

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PREFILL, relay_fixture_prefill);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_stream);
  call (&fixture, "POST", "/once/1");
  assert_status (&fixture, "200");
  assert_non_null (strstr (fixture.received, "id: 2\ndata: b\n\n"));
  assert_non_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
  assert_true (
      fake_upstream_request_header (fake_upstream_last_request (fixture.upstreams[1].server),
                                    "X-Kv-Source", value, sizeof value));
  snprintf (expected, sizeof expected, "%s/h1",
            fake_upstream_address (fixture.upstreams[0].server));
  assert_string_equal (value, expected);
  loop_spin (fixture.loop, 10);
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
  assert_int_equal (fixture.jobs.n_jobs, 0);
  teardown (&fixture);
}

static void
test_decode_engine_prefills_when_no_prefill_engine_exists (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_stream);
  call (&fixture, "POST", "/once/1");
  assert_status (&fixture, "200");
  assert_non_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
  teardown (&fixture);
}

/* KV that no engine decodes from is freed. */
static void
test_unused_kv_is_released (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PREFILL, relay_fixture_prefill);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, relay_fixture_decline);
  call (&fixture, "POST", "/once/1");
  assert_status (&fixture, "503");
  loop_spin (fixture.loop, 20);
  assert_memory_equal (fake_upstream_last_request (fixture.upstreams[0].server),
                       "DELETE /kv-handle/h1 ", 21);
  assert_int_not_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_UNUSED_ENDED], 0);
  assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_UNUSED_DEPARTED], 0);
  teardown (&fixture);
}

static void
test_broken_stream_is_resumed_after_its_last_event (void **state)
{
  RelayFixture fixture;
  char value[16] = "";
  const char *first;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, relay_fixture_stream_breaks);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_stream);
  call (&fixture, "POST", "/llm/1");
  assert_status (&fixture, "200");
  first = strstr (fixture.received, "id: 1\ndata: a\n\n");
  assert_non_null (first);
  assert_null (strstr (first + 1, "id: 1"));
  assert_non_null (strstr (first, "id: 2\ndata: b\n\n"));
  assert_non_null (strstr (first, "\r\n0\r\n\r\n"));
  assert_true (
      fake_upstream_request_header (fake_upstream_last_request (fixture.upstreams[1].server),
                                    "Last-Event-Id", value, sizeof value));
  assert_string_equal (value, "1");
  /* The time until its first event was negative. */
  for (const MfTarget *target = fixture.jobs.targets.first; target != NULL; target = target->next)
    assert_true (target->answer_us < (double)MF_US_PER_S);
  teardown (&fixture);
}

static void
test_silent_stream_is_resumed_elsewhere (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, relay_fixture_stream_hangs);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_stream);
  call (&fixture, "POST", "/llm/1");
  assert_status (&fixture, "200");
  assert_non_null (strstr (fixture.received, "id: 2\ndata: b\n\n"));
  loop_spin (fixture.loop, 5);
  assert_int_equal (fake_upstream_n_closed (fixture.upstreams[0].server), 1);
  teardown (&fixture);
}

/* Goes on after event 1 with two more, and sends no end. */
static void
handle_two_events (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 2\ndata: b\n\n\r\n"
                                                           "f\r\nid: 3\ndata: c\n\n\r\n");
}

/* Suspects run at different engines. One kept the others out until its stream had ended, though its
 * engine had survived it. */
static void
test_suspect_that_has_begun_to_be_answered_makes_room_for_another (void **state)
{
  static const char text[] = "POST /llm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n"
                             "Connection: close\r\n\r\n";
  RelayFixture fixture;
  const MfTarget *target;
  int fd;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, relay_fixture_stream_breaks);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_two_events);
  fd = loop_connect (relay_fixture_port ());
  loop_send (fd, text, strlen (text));
  loop_receive (fixture.loop, fd, "id: 3", fixture.received, sizeof fixture.received);
  target = mf_targets_by_hash (&fixture.jobs.targets, mf_load_hash ("u1"));
  assert_int_equal (target->n_active, 1);
  assert_true (fixture.jobs.first->n_failures > 0);
  assert_int_equal (target->n_suspects, 0);
  close (fd);
  loop_spin (fixture.loop, 5);
  assert_int_equal (target->n_active, 0);
  assert_int_equal (target->n_suspects, 0);
  teardown (&fixture);
}

/* A stream that fails later than its caller would have waited for its first event is still resumed:
 * the caller's time limit starts again with each event. */
static void
test_stream_that_breaks_late_is_resumed (void **state)
{
  static const char text[] = "POST /llm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n"
                             "Connection: close\r\n\r\n";
  RelayFixture fixture;
  uint64_t until_us;
  int fd;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, relay_fixture_stream_hangs);
  fd = loop_connect (relay_fixture_port ());
  loop_send (fd, text, strlen (text));
  until_us = mf_clock_now_us () + 1900 * MF_US_PER_MS;
  while (mf_clock_now_us () < until_us)
    {
      loop_spin (fixture.loop, 5);
      /* Bytes keep arriving, so that the stream is not abandoned for its silence. */
      fake_upstream_conn_send (fake_upstream_last_conn (fixture.upstreams[0].server),
                               "3\r\n:\n\n\r\n");
    }
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_stream);
  fake_upstream_conn_close (fake_upstream_last_conn (fixture.upstreams[0].server), true);
  loop_receive (fixture.loop, fd, "\r\n0\r\n\r\n", fixture.received, sizeof fixture.received);
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 1);
  assert_non_null (strstr (fixture.received, "id: 2\ndata: b\n\n"));
  assert_non_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
  close (fd);
  teardown (&fixture);
}

static void
test_broken_stream_that_cannot_be_resumed_does_not_look_complete (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, relay_fixture_stream_breaks);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_stream);
  call (&fixture, "POST", "/once/1");
  assert_status (&fixture, "200");
  assert_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 0);
  teardown (&fixture);
}

/* A stream that cannot be complete before its caller gives up is refused at once and not
 * started. */
static void
test_stream_without_time_is_refused_at_once (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_stream);
  fixture.jobs.mean_answer_tokens = 40.;
  fixture.jobs.mean_token_us = 200. * (double)MF_US_PER_MS;
  call (&fixture, "POST", "/llm/1");
  assert_status (&fixture, "503");
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 0);
  fixture.jobs.mean_token_us = 10. * (double)MF_US_PER_MS;
  call (&fixture, "POST", "/llm/1");
  assert_status (&fixture, "200");
  teardown (&fixture);
}

static bool
no_jobs_left (void *data)
{
  return ((RelayFixture *)data)->jobs.n_jobs == 0;
}

/* A caller that disconnects before or during its stream has its request cancelled at the
 * upstream. */
static void
test_departed_caller_stops_its_work (void **state)
{
  static const RelayFixtureHandler handlers[] = { handle_no_answer, relay_fixture_stream_hangs };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (handlers); i++)
    {
      static const char text[] = "POST /once/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n\r\n";
      RelayFixture fixture;
      int fd;

      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handlers[i]);
      fd = loop_connect (relay_fixture_port ());
      loop_send (fd, text, strlen (text));
      loop_spin (fixture.loop, 20);
      assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
      close (fd);
      assert_true (loop_pump (fixture.loop, no_jobs_left, &fixture));
      loop_spin (fixture.loop, 20);
      assert_int_equal (fake_upstream_n_closed (fixture.upstreams[0].server), 1);
      teardown (&fixture);
    }
}

static void
handle_good_leaving (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL "Server-Leaving: 1\r\n", "good");
}

static void
handle_decline_leaving (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "503 Service Unavailable",
                        "X-Not-Executed: 1\r\nServer-Leaving: 1\r\n", "");
}

static void
handle_pause (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "503 Service Unavailable",
                        "X-Not-Executed: 1\r\nRetry-After: 0.3\r\n", "");
}

static const char *pause_value;

static void
handle_pause_with_value (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char headers[96];

  (void)text;
  snprintf (headers, sizeof headers, "X-Not-Executed: 1\r\nRetry-After: %s\r\n", pause_value);
  relay_fixture_answer (conn, id, "503 Service Unavailable", headers, "");
}

/* A single answer, successful or not, announces the exit; it applies at once to all requests not
 * sent yet. */
static void
test_upstream_that_says_it_leaves_gets_no_more (void **state)
{
  static const RelayFixtureHandler handlers[] = { handle_good_leaving, handle_decline_leaving };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (handlers); i++)
    {
      RelayFixture fixture;

      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handlers[i]);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_good);
      for (uint32_t n = 0; n < 5; n++)
        {
          call (&fixture, "POST", "/order/1");
          assert_status (&fixture, "200");
        }
      assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
      fixture.upstreams[1].handler = handle_good_leaving;
      call (&fixture, "POST", "/order/1");
      call (&fixture, "POST", "/order/1");
      assert_status (&fixture, "503");
      assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
      teardown (&fixture);
    }
}

static void
handle_prefill_leaving (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", "Server-Leaving: 1\r\n",
                        "{\"kvHandle\":\"h1\",\"tokens\":10,\"version\":1}");
}

/* A prefill engine announces its exit: later prompts go to another one. */
static void
test_engine_that_says_it_leaves_gets_no_more (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PREFILL, handle_prefill_leaving);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PREFILL, relay_fixture_prefill);
  relay_fixture_add_upstream (&fixture, 2, MF_ROLE_DECODE, handle_stream);
  for (uint32_t n = 0; n < 4; n++)
    {
      call (&fixture, "POST", "/llm/1");
      assert_status (&fixture, "200");
    }
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 3);
  teardown (&fixture);
}

/* During a pause requests go to other upstreams; without any, callers get the end of the pause as
 * Retry-After. */
static void
test_upstream_that_asks_for_a_pause_gets_it (void **state)
{
  RelayFixture fixture;
  const char *retry_after;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  fixture.jobs.budget_slack = 20;
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_pause);
  call (&fixture, "POST", "/order/1");
  assert_status (&fixture, "503");
  fixture.upstreams[0].handler = handle_good;
  call (&fixture, "POST", "/order/1");
  assert_status (&fixture, "503");
  retry_after = strstr (fixture.received, "Retry-After: ");
  assert_non_null (retry_after);
  assert_in_range ((int)(atof (retry_after + 13) * 1000.), 150, 450);
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_good);
  call (&fixture, "POST", "/order/1");
  assert_status (&fixture, "200");
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
  loop_spin (fixture.loop, 320);
  fixture.upstreams[1].handler = handle_pause;
  call (&fixture, "POST", "/order/1");
  assert_status (&fixture, "200");
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 2);
  teardown (&fixture);
}

/* Streams wait for the end of the first pause if their callers have enough time. */
static void
test_streams_wait_for_the_end_of_a_pause (void **state)
{
  RelayFixture fixture;
  uint32_t n_before;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_pause);
  call (&fixture, "POST", "/llm/1");
  assert_status (&fixture, "503");
  fixture.upstreams[0].handler = handle_stream;
  n_before = relay_fixture_n_requests (&fixture, 0);
  call (&fixture, "POST", "/llm/1");
  assert_status (&fixture, "200");
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), n_before + 1);
  pause_value = "60";
  fixture.upstreams[0].handler = handle_pause_with_value;
  call (&fixture, "POST", "/llm/1");
  assert_status (&fixture, "503");
  call (&fixture, "POST", "/llm/1");
  assert_status (&fixture, "503");
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), n_before + 2);
  teardown (&fixture);
}

static void
test_invalid_pauses_are_ignored (void **state)
{
  static const char *const values[]
      = { "", "-1", "soon", "Fri, 04 Dec 2026 10:00:00 GMT", "1e400", "0", "1s", "nan" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (values); i++)
    {
      RelayFixture fixture;

      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_pause_with_value);
      pause_value = values[i];
      call (&fixture, "POST", "/order/1");
      assert_status (&fixture, "503");
      fixture.upstreams[0].handler = handle_good;
      call (&fixture, "POST", "/order/1");
      assert_status (&fixture, "200");
      teardown (&fixture);
    }
}

static void
test_unreachable_upstream_costs_no_request (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_good);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_good);
  fake_upstream_free (fixture.upstreams[0].server);
  fixture.upstreams[0].server = NULL;
  call (&fixture, "POST", "/order/1");
  assert_status (&fixture, "200");
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 1);
  teardown (&fixture);
}

/* An engine that had crashed got slots granted again after 300 ms, and looked idle. */
static void
test_upstream_that_has_ended_gets_no_request_for_three_seconds (void **state)
{
  RelayFixture fixture;
  MfTarget *target;
  uint64_t failed_us;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_good);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_good);
  fake_upstream_free (fixture.upstreams[0].server);
  fixture.upstreams[0].server = NULL;
  target = mf_targets_by_hash (&fixture.jobs.targets, mf_load_hash ("u0"));
  mf_target_probe (target);
  loop_spin (fixture.loop, 5);
  failed_us = target->failed_us;
  assert_true (failed_us > 0);
  assert_true (mf_target_is_suspect (target, failed_us + 2900 * MF_US_PER_MS));
  assert_false (mf_target_is_suspect (target, failed_us + 3100 * MF_US_PER_MS));
  mf_target_record_alive (target, failed_us);
  assert_false (mf_target_is_suspect (target, failed_us));
  teardown (&fixture);
}

static void
test_deadline_ends_what_does_not_answer (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_no_answer);
  call (&fixture, "POST", "/once/1");
  assert_status (&fixture, "504");
  assert_null (strstr (fixture.received, "Retry-After"));
  teardown (&fixture);
}

/* Ten callers for four slots: all are answered, but never more than four at once. */
static void
test_requests_wait_for_a_free_slot (void **state)
{
  static const char text[] = "POST /llm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n\r\n";
  RelayFixture fixture;
  int fds[10];

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, relay_fixture_stream_hangs);
  for (size_t i = 0; i < MF_ARRAY_LEN (fds); i++)
    {
      fds[i] = loop_connect (relay_fixture_port ());
      loop_send (fds[i], text, strlen (text));
      loop_spin (fixture.loop, 5);
    }
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 4);
  fixture.upstreams[0].handler = handle_stream;
  for (size_t i = 0; i < 4; i++)
    close (fds[i]);
  for (size_t i = 4; i < MF_ARRAY_LEN (fds); i++)
    {
      loop_receive (fixture.loop, fds[i], "\r\n0\r\n\r\n", fixture.received,
                    sizeof fixture.received);
      assert_status (&fixture, "200");
      close (fds[i]);
    }
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 10);
  teardown (&fixture);
}

/* Connections that an upstream accepts from all instances are not kept idle by one. */
static void
test_half_of_the_connections_of_an_upstream_are_kept_idle (void **state)
{
  static const char request[] = "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n\r\n";
  static const uint32_t most_idle[][2] = { { 0, 6 }, { 4, 2 }, { 1, 1 } };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (most_idle); i++)
    {
      RelayFixture fixture;
      int calls[6];
      uint32_t n_closed;

      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_good);
      fixture.jobs.routes->services[0].connections_max = most_idle[i][0];
      for (size_t j = 0; j < MF_ARRAY_LEN (calls); j++)
        {
          calls[j] = loop_connect (relay_fixture_port ());
          loop_send (calls[j], request, strlen (request));
        }
      loop_spin (fixture.loop, 30);
      assert_int_equal (relay_fixture_n_requests (&fixture, 0), MF_ARRAY_LEN (calls));
      n_closed = fake_upstream_n_closed (fixture.upstreams[0].server);
      assert_int_equal (fake_upstream_n_conns (fixture.upstreams[0].server) - n_closed,
                        most_idle[i][1]);
      for (size_t j = 0; j < MF_ARRAY_LEN (calls); j++)
        close (calls[j]);
      teardown (&fixture);
    }
}

/* The step of a request during which its caller leaves. */
typedef enum
{
  DEPARTS_QUEUED,    /* it waits for a slot of an engine */
  DEPARTS_QUERYING,  /* engines are queried for the version that began its stream */
  DEPARTS_PREFILL,   /* an engine prefills its prompt */
  DEPARTS_BETWEEN,   /* its prompt is prefilled, and the decode engine has requested a pause */
  DEPARTS_RUNNING,   /* an upstream executes it */
  DEPARTS_STREAMING, /* a part of its stream has been passed on */
  DEPARTS_RETRIED,   /* one upstream has declined it, and another one executes it */
} DepartureStep;

/* A departure. outlives: the request is not cancelled. frees_kv: its prefilled KV is freed. */
typedef struct
{
  const char *path;
  DepartureStep step;
  bool outlives;
  bool frees_kv;
} Departure;

static const Departure departures[] = {
  { "/read/1", DEPARTS_RUNNING, false, false }, { "/read/1", DEPARTS_RETRIED, false, false },
  { "/order/1", DEPARTS_RUNNING, true, false }, { "/order/1", DEPARTS_RETRIED, true, false },
  { "/llm/1", DEPARTS_QUEUED, false, false },   { "/llm/1", DEPARTS_QUERYING, false, false },
  { "/llm/1", DEPARTS_PREFILL, false, false },  { "/llm/1", DEPARTS_BETWEEN, false, true },
  { "/llm/1", DEPARTS_RUNNING, false, true },   { "/llm/1", DEPARTS_STREAMING, false, true },
  { "/llm/1", DEPARTS_RETRIED, false, true },   { "/once/1", DEPARTS_QUEUED, false, false },
  { "/once/1", DEPARTS_PREFILL, false, false }, { "/once/1", DEPARTS_BETWEEN, false, true },
  { "/once/1", DEPARTS_RUNNING, false, true },  { "/once/1", DEPARTS_STREAMING, false, true },
  { "/once/1", DEPARTS_RETRIED, false, true },  { "/ask/1", DEPARTS_QUEUED, false, false },
  { "/ask/1", DEPARTS_PREFILL, false, false },  { "/ask/1", DEPARTS_BETWEEN, false, true },
  { "/ask/1", DEPARTS_RUNNING, false, true },   { "/ask/1", DEPARTS_RETRIED, false, true },
  { "/buy/1", DEPARTS_QUEUED, false, false },   { "/buy/1", DEPARTS_PREFILL, false, false },
  { "/buy/1", DEPARTS_BETWEEN, false, true },   { "/buy/1", DEPARTS_RUNNING, true, false },
  { "/buy/1", DEPARTS_RETRIED, true, false },
};

static const Departure *departure;
static uint32_t n_kv_freed;

static bool
departure_is_plain (void)
{
  return strncmp (departure->path, "/read/", 6) == 0
         || strncmp (departure->path, "/order/", 7) == 0;
}

/* The upstream that receives the request last. */
static uint32_t
departure_upstream (void)
{
  bool is_plain = departure_is_plain ();

  if (departure->step == DEPARTS_RETRIED)
    return is_plain ? 1 : 3;
  return is_plain || departure->step == DEPARTS_PREFILL ? 0 : 2;
}

static void
handle_departure_prefill (FakeUpstreamConn *conn, const char *text, const char *id)
{
  n_kv_freed += strncmp (text, "DELETE ", 7) == 0;
  if (departure->step != DEPARTS_PREFILL)
    relay_fixture_prefill (conn, text, id);
}

static void
handle_departure_first (FakeUpstreamConn *conn, const char *text, const char *id)
{
  if (departure->step == DEPARTS_RETRIED)
    relay_fixture_decline (conn, text, id);
  else if (departure->step == DEPARTS_BETWEEN)
    handle_pause (conn, text, id);
  else if (departure->step == DEPARTS_STREAMING)
    relay_fixture_stream_hangs (conn, text, id);
}

static bool
has_reached_step (void *data)
{
  const RelayFixture *fixture = data;
  const MfJob *job = fixture->jobs.first;

  if (job == NULL)
    return false;
  switch (departure->step)
    {
    case DEPARTS_QUEUED:
      return job->phase == MF_JOB_WAITING && job->query.kind == MF_JOB_QUERY_SLOT;
    case DEPARTS_QUERYING:
      return job->query.kind == MF_JOB_QUERY_ENGINES;
    case DEPARTS_PREFILL:
      return job->phase == MF_JOB_PREFILL && relay_fixture_n_requests (fixture, 0) > 0;
    case DEPARTS_BETWEEN:
      return job->phase == MF_JOB_WAITING && job->kv_target != NULL && job->n_arrivals > 0;
    case DEPARTS_STREAMING:
      return job->events.n_events > 0;
    default:
      return job->phase == MF_JOB_RUNNING
             && relay_fixture_n_requests (fixture, departure_upstream ()) > 0;
    }
}

/* Brings a request of the departure's route to its step. Returns the caller's socket. */
static int
departure_begin (RelayFixture *fixture)
{
  bool is_plain = departure_is_plain ();
  char text[320];
  int fd;

  n_kv_freed = 0;
  relay_fixture_setup (fixture, ev_loop_new (0));
  relay_fixture_add_upstream (fixture, 0, is_plain ? MF_ROLE_PLAIN : MF_ROLE_PREFILL,
                              is_plain ? handle_departure_first : handle_departure_prefill);
  if (is_plain && departure->step == DEPARTS_RETRIED)
    relay_fixture_add_upstream (fixture, 1, MF_ROLE_PLAIN, handle_no_answer);
  if (!is_plain)
    relay_fixture_add_upstream (fixture, 2, MF_ROLE_DECODE, handle_departure_first);
  if (!is_plain && departure->step == DEPARTS_QUEUED)
    {
      MfTarget *decode = mf_targets_by_hash (&fixture->jobs.targets, mf_load_hash ("u2"));

      for (uint32_t i = 0; i < decode->info.slots; i++)
        mf_target_reserve (decode, 1);
    }
  if (departure->step == DEPARTS_QUERYING)
    fixture->jobs.upstreams_as_of_us = 0;
  if (!is_plain && departure->step == DEPARTS_RETRIED)
    relay_fixture_add_upstream (fixture, 3, MF_ROLE_DECODE, handle_no_answer);
  fd = loop_connect (relay_fixture_port ());
  assert_true (fd >= 0);
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nX-Deadline-Ms: 3000\r\n"
            "X-Token-Count: 100,40\r\nX-Prompt-Prefix: a1:100\r\n%sContent-Length: 2\r\n\r\nhi",
            departure->path, departure->step == DEPARTS_QUERYING ? "Last-Event-Id: 3\r\n" : "");
  loop_send (fd, text, strlen (text));
  assert_true (loop_pump (fixture->loop, has_reached_step, fixture));
  /* Queries of engines arrive as well. */
  loop_spin (fixture->loop, 3);
  return fd;
}

static bool
has_no_jobs (void *data)
{
  return ((RelayFixture *)data)->jobs.n_jobs == 0;
}

static bool
has_freed_kv (void *data)
{
  (void)data;
  return n_kv_freed > 0;
}

static uint32_t
n_all_requests (const RelayFixture *fixture)
{
  uint32_t n_requests = 0;

  for (uint32_t i = 0; i < RELAY_FIXTURE_N_UPSTREAMS; i++)
    n_requests += fixture->upstreams[i].server != NULL ? relay_fixture_n_requests (fixture, i) : 0;
  return n_requests;
}

static bool
has_closed (void *data)
{
  const RelayFixture *fixture = data;

  return fake_upstream_n_closed (fixture->upstreams[departure_upstream ()].server) > 0;
}

/* How the upstream ends a request that outlives its caller. */
static const RelayFixtureHandler departure_ends[]
    = { handle_good, handle_fail, relay_fixture_decline, handle_reset };

static void
departure_check (RelayFixtureHandler end)
{
  RelayFixture fixture;
  int fd = departure_begin (&fixture);
  uint32_t n_requests = n_all_requests (&fixture);
  FakeUpstreamConn *conn;

  close (fd);
  loop_spin (fixture.loop, 5);
  assert_int_equal (fixture.jobs.n_jobs, departure->outlives);
  if (departure->step == DEPARTS_PREFILL || departure->step == DEPARTS_RUNNING
      || departure->step == DEPARTS_STREAMING || departure->step == DEPARTS_RETRIED)
    assert_int_equal (has_closed (&fixture), !departure->outlives);
  /* The answer comes after the departure. */
  conn = fake_upstream_last_conn (fixture.upstreams[departure_upstream ()].server);
  if (departure->outlives)
    end (conn, "", "t");
  assert_true (loop_pump (fixture.loop, has_no_jobs, &fixture));
  if (departure->frees_kv)
    assert_true (loop_pump (fixture.loop, has_freed_kv, &fixture));
  loop_spin (fixture.loop, 5);
  /* KV of an execution that an upstream declines is unused. */
  if (!departure->outlives)
    assert_int_equal (n_kv_freed, departure->frees_kv);
  assert_int_equal (n_all_requests (&fixture) - n_requests, n_kv_freed);
  teardown (&fixture);
}

/* A caller that left during the prefill of a non-idempotent request crashed the instance, which
 * went on with the decode. Whatever the step: an execution that must not be repeated ends as its
 * upstream ends it, everything else is cancelled with its KV, and nothing is sent any more. */
static void
test_caller_departs_in_each_step (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (departures); i++)
    {
      departure = &departures[i];
      for (size_t end = 0; end < (departure->outlives ? MF_ARRAY_LEN (departure_ends) : 1); end++)
        departure_check (departure_ends[end]);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_answer_is_passed_on),
    cmocka_unit_test (test_order_that_may_have_run_is_not_sent_again),
    cmocka_unit_test (test_order_that_was_declined_runs_elsewhere),
    cmocka_unit_test (test_declined_everywhere_is_refused_with_retry_after),
    cmocka_unit_test (test_refusals_without_upstream_or_route),
    cmocka_unit_test (test_read_is_tried_elsewhere),
    cmocka_unit_test (test_read_fails_in_the_end),
    cmocka_unit_test (test_retries_keep_to_the_budget),
    cmocka_unit_test (test_both_sends_of_a_retry_count),
    cmocka_unit_test (test_prompt_is_not_prefilled_again_beyond_the_budget),
    cmocka_unit_test (test_retry_of_two_sends_needs_budget_for_both),
    cmocka_unit_test (test_prefill_and_decode_run_at_separate_engines),
    cmocka_unit_test (test_stream_begins_while_a_list_of_upstreams_is_read),
    cmocka_unit_test (test_decode_engine_prefills_when_no_prefill_engine_exists),
    cmocka_unit_test (test_unused_kv_is_released),
    cmocka_unit_test (test_broken_stream_is_resumed_after_its_last_event),
    cmocka_unit_test (test_silent_stream_is_resumed_elsewhere),
    cmocka_unit_test (test_suspect_that_has_begun_to_be_answered_makes_room_for_another),
    cmocka_unit_test (test_stream_that_breaks_late_is_resumed),
    cmocka_unit_test (test_broken_stream_that_cannot_be_resumed_does_not_look_complete),
    cmocka_unit_test (test_stream_without_time_is_refused_at_once),
    cmocka_unit_test (test_departed_caller_stops_its_work),
    cmocka_unit_test (test_caller_departs_in_each_step),
    cmocka_unit_test (test_upstream_that_says_it_leaves_gets_no_more),
    cmocka_unit_test (test_engine_that_says_it_leaves_gets_no_more),
    cmocka_unit_test (test_upstream_that_asks_for_a_pause_gets_it),
    cmocka_unit_test (test_streams_wait_for_the_end_of_a_pause),
    cmocka_unit_test (test_invalid_pauses_are_ignored),
    cmocka_unit_test (test_unreachable_upstream_costs_no_request),
    cmocka_unit_test (test_upstream_that_has_ended_gets_no_request_for_three_seconds),
    cmocka_unit_test (test_deadline_ends_what_does_not_answer),
    cmocka_unit_test (test_requests_wait_for_a_free_slot),
    cmocka_unit_test (test_half_of_the_connections_of_an_upstream_are_kept_idle),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
