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

#define GRACE_US (8 * MF_US_PER_S)

static uint32_t n_kv_freed;
static FakeUpstreamConn *held;

static void
handle_no_answer (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  held = conn;
}

static void
handle_good (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL, "good");
}

static void
handle_prefill_later (FakeUpstreamConn *conn, const char *text, const char *id)
{
  n_kv_freed += strncmp (text, "DELETE ", 7) == 0;
  if (strncmp (text, "DELETE ", 7) == 0)
    relay_fixture_prefill (conn, text, id);
  else
    held = conn;
}

static void
teardown (RelayFixture *fixture)
{
  struct ev_loop *loop = fixture->loop;

  relay_fixture_teardown (fixture);
  ev_loop_destroy (loop);
}

static void
setup (RelayFixture *fixture)
{
  n_kv_freed = 0;
  held = NULL;
  relay_fixture_setup (fixture, ev_loop_new (0));
}

static void
shut_down_with (RelayFixture *fixture, uint64_t elapsed_us, uint64_t grace_us)
{
  mf_jobs_shut_down (&fixture->jobs, &(MfShutdown){ .started_us = mf_clock_now_us () - elapsed_us,
                                                    .grace_us = grace_us });
}

/* As long after SIGTERM as given. */
static void
shut_down (RelayFixture *fixture, uint64_t elapsed_us)
{
  shut_down_with (fixture, elapsed_us, GRACE_US);
}

/* Sends the head of a request and n_body_bytes of its two. */
static int
call_begin (const char *path, size_t n_body_bytes)
{
  char text[320];
  int fd = loop_connect (relay_fixture_port ());
  int n_bytes;

  assert_true (fd >= 0);
  n_bytes = snprintf (text, sizeof text,
                      "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nX-Token-Count: 100,40\r\n"
                      "Content-Length: 2\r\n\r\n%.*s",
                      path, (int)n_body_bytes, "hi");
  loop_send (fd, text, (size_t)n_bytes);
  return fd;
}

static void
call_end (RelayFixture *fixture, int fd, const char *needle)
{
  loop_receive (fixture->loop, fd, needle, fixture->received, sizeof fixture->received);
  close (fd);
}

static void
assert_refused (const RelayFixture *fixture)
{
  assert_memory_equal (fixture->received, "HTTP/1.1 503", 12);
  assert_non_null (strstr (fixture->received, "Retry-After: "));
  assert_non_null (strstr (fixture->received, "draining"));
}

static bool
is_held (void *data)
{
  (void)data;
  return held != NULL;
}

static bool
has_freed_kv (void *data)
{
  (void)data;
  return n_kv_freed > 0;
}

/* Streams that came 3 s after SIGTERM on open connections were passed on and cut off at the exit.
 * Requests that arrive late in the grace period, or whose body ends then, are refused and reach no
 * upstream. */
static void
test_late_requests_reach_no_upstream (void **state)
{
  static const struct
  {
    const char *path;
    uint32_t elapsed_ms;
    uint32_t grace_ms;
  } calls[] = {
    { "/llm/1", 4800, 8000 },   { "/llm/1", 5000, 8000 },  { "/llm/1", 7000, 8000 },
    { "/once/1", 7500, 8000 },  { "/read/1", 7400, 8000 }, { "/order/1", 7400, 8000 },
    { "/order/1", 7740, 8000 }, { "/ask/1", 5000, 8000 },  { "/buy/1", 5000, 8000 },
    { "/buy/1", 0, 3000 },      { "/once/1", 400, 1000 },
  };

  (void)state;
  for (size_t i = 0; i < 2 * MF_ARRAY_LEN (calls); i++)
    {
      bool half_read = i % 2 == 1;
      RelayFixture fixture;
      int fd;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_good);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_good);
      if (!half_read)
        shut_down_with (&fixture, calls[i / 2].elapsed_ms * MF_US_PER_MS,
                        calls[i / 2].grace_ms * MF_US_PER_MS);
      fd = call_begin (calls[i / 2].path, half_read ? 1 : 2);
      loop_spin (fixture.loop, 3);
      if (half_read)
        {
          shut_down_with (&fixture, calls[i / 2].elapsed_ms * MF_US_PER_MS,
                          calls[i / 2].grace_ms * MF_US_PER_MS);
          loop_send (fd, "i", 1);
        }
      call_end (&fixture, fd, "}");
      assert_refused (&fixture);
      assert_int_equal (relay_fixture_n_requests (&fixture, 0), 0);
      assert_int_equal (relay_fixture_n_requests (&fixture, 1), 0);
      teardown (&fixture);
    }
}

/* Streams that cannot be resumed were refused from the first moment of a stop, and nowhere served
 * while all instances stopped in turn. They are sent while there is time for them. */
static void
test_streams_that_cannot_be_resumed_are_served_early_in_a_stop (void **state)
{
  static const struct
  {
    uint32_t elapsed_ms;
    uint32_t token_us;
    bool is_sent;
  } rows[] = {
    { 0, 0, true },        { 300, 0, true },  { 300, 30000, true },
    { 300, 50000, false }, { 400, 0, false }, { 700, 0, false },
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (rows); i++)
    {
      RelayFixture fixture;
      int fd;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_good);
      fixture.jobs.mean_token_us = rows[i].token_us;
      shut_down_with (&fixture, rows[i].elapsed_ms * MF_US_PER_MS, MF_US_PER_S);
      fd = call_begin ("/once/1", 2);
      call_end (&fixture, fd, rows[i].is_sent ? "good" : "}");
      if (!rows[i].is_sent)
        assert_refused (&fixture);
      assert_int_equal (relay_fixture_n_requests (&fixture, 1), rows[i].is_sent);
      teardown (&fixture);
    }
}

/* A prompt that is prefilled too late for its answer is not passed on, and its KV is freed. */
static void
test_second_stage_that_might_be_cut_off_is_not_sent (void **state)
{
  static const char *const paths[] = { "/llm/1", "/buy/1", "/ask/1" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (paths); i++)
    {
      RelayFixture fixture;
      int fd;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PREFILL, handle_prefill_later);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_good);
      fixture.jobs.mean_token_us = 60. * (double)MF_US_PER_MS;
      fd = call_begin (paths[i], 2);
      assert_true (loop_pump (fixture.loop, is_held, &fixture));
      shut_down (&fixture, 7300 * MF_US_PER_MS);
      relay_fixture_answer (held, "t", "200 OK", "",
                            "{\"kvHandle\":\"h1\",\"tokens\":10,\"version\":1}");
      call_end (&fixture, fd, "}");
      assert_refused (&fixture);
      assert_true (loop_pump (fixture.loop, has_freed_kv, &fixture));
      loop_spin (fixture.loop, 5);
      assert_int_equal (relay_fixture_n_requests (&fixture, 1), 0);
      teardown (&fixture);
    }
}

/* What fails late in the grace period is not tried at another upstream unless its answer has
 * begun. */
static void
test_retries_that_might_be_cut_off_are_not_sent (void **state)
{
  static const struct
  {
    const char *path;
    MfRole role;
  } calls[] = { { "/read/1", MF_ROLE_PLAIN }, { "/llm/1", MF_ROLE_DECODE } };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (calls); i++)
    {
      RelayFixture fixture;
      int fd;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, calls[i].role, handle_no_answer);
      relay_fixture_add_upstream (&fixture, 1, calls[i].role, handle_good);
      fixture.jobs.mean_token_us = 60. * (double)MF_US_PER_MS;
      fd = call_begin (calls[i].path, 2);
      assert_true (loop_pump (fixture.loop, is_held, &fixture));
      shut_down (&fixture, 7300 * MF_US_PER_MS);
      fake_upstream_conn_close (held, true);
      call_end (&fixture, fd, "}");
      assert_memory_equal (fixture.received, "HTTP/1.1 50", 11);
      assert_int_equal (relay_fixture_n_requests (&fixture, 1), 0);
      teardown (&fixture);
    }
}

/* Streams that broke late in the grace period were ended by the instance before its exit. They go
 * on at another upstream, after their last event, and only the exit breaks them off. */
static void
test_stream_that_breaks_late_goes_on_until_the_exit (void **state)
{
  char last[16] = "";
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_no_answer);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_no_answer);
  fixture.jobs.mean_token_us = 60. * (double)MF_US_PER_MS;
  fd = call_begin ("/llm/1", 2);
  assert_true (loop_pump (fixture.loop, is_held, &fixture));
  shut_down (&fixture, 7300 * MF_US_PER_MS);
  fake_upstream_conn_send (held, RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n");
  loop_spin (fixture.loop, 3);
  fake_upstream_conn_close (held, true);
  held = NULL;
  assert_true (loop_pump (fixture.loop, is_held, &fixture));
  fake_upstream_request_header (fake_upstream_last_request (fixture.upstreams[1].server),
                                "Last-Event-Id", last, sizeof last);
  assert_string_equal (last, "1");
  fake_upstream_conn_send (held, RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 2\ndata: b\n\n\r\n");
  loop_spin (fixture.loop, 3);
  mf_jobs_end_all (&fixture.jobs);
  call_end (&fixture, fd, "}");
  assert_memory_equal (fixture.received, "HTTP/1.1 200", 12);
  assert_non_null (strstr (fixture.received, "id: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n"));
  assert_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
  teardown (&fixture);
}

/* Requests that wait for an engine when SIGTERM comes are refused at once if they might be cut
 * off. */
static void
test_waiting_requests_are_refused_at_once (void **state)
{
  RelayFixture fixture;
  MfTarget *decode;
  int buy_fd;
  int llm_fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_no_answer);
  decode = mf_targets_by_hash (&fixture.jobs.targets, mf_load_hash ("u0"));
  for (uint32_t i = 0; i < decode->info.slots; i++)
    mf_target_reserve (decode, 1);
  buy_fd = call_begin ("/buy/1", 2);
  llm_fd = call_begin ("/llm/1", 2);
  loop_spin (fixture.loop, 10);
  assert_int_equal (fixture.jobs.n_jobs, 2);
  shut_down_with (&fixture, 0, 2 * MF_US_PER_S);
  assert_int_equal (fixture.jobs.n_jobs, 1);
  call_end (&fixture, buy_fd, "}");
  assert_refused (&fixture);
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 0);
  close (llm_fd);
  teardown (&fixture);
}

/* Requests that were still in progress at the exit got no answer. */
static void
test_exit_answers_what_is_in_progress (void **state)
{
  static const struct
  {
    const char *path;
    const char *status; /* NULL: the stream is broken off */
  } calls[] = {
    { "/read/1", "502" },
    { "/order/1", "502" },
    { "/buy/1", "503" }, /* its prompt is being prefilled */
    { "/llm/1", NULL },
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (calls); i++)
    {
      RelayFixture fixture;
      int fd;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_no_answer);
      if (calls[i].status != NULL)
        relay_fixture_add_upstream (&fixture, 2, MF_ROLE_PREFILL, handle_prefill_later);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_no_answer);
      fd = call_begin (calls[i].path, 2);
      assert_true (loop_pump (fixture.loop, is_held, &fixture));
      if (calls[i].status == NULL)
        {
          fake_upstream_conn_send (held, RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n");
          loop_spin (fixture.loop, 3);
        }
      shut_down (&fixture, GRACE_US);
      mf_jobs_end_all (&fixture.jobs);
      assert_int_equal (fixture.jobs.n_jobs, 0);
      assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_CUT_OFF],
                        calls[i].status == NULL);
      call_end (&fixture, fd, "}");
      assert_memory_equal (fixture.received, "HTTP/1.1 ", 9);
      assert_memory_equal (fixture.received + 9, calls[i].status != NULL ? calls[i].status : "200",
                           3);
      assert_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
      teardown (&fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_late_requests_reach_no_upstream),
    cmocka_unit_test (test_streams_that_cannot_be_resumed_are_served_early_in_a_stop),
    cmocka_unit_test (test_second_stage_that_might_be_cut_off_is_not_sent),
    cmocka_unit_test (test_retries_that_might_be_cut_off_are_not_sent),
    cmocka_unit_test (test_stream_that_breaks_late_goes_on_until_the_exit),
    cmocka_unit_test (test_waiting_requests_are_refused_at_once),
    cmocka_unit_test (test_exit_answers_what_is_in_progress),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
