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
/* Iterations that take longer than three of the longest pauses of the route /llm/. */
#define STALL_ITERATIONS 250
/* Those that take half of the latency objective of that route. */
#define LATE_ITERATIONS 75
#define REST "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"
#define WHOLE "\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n" REST

static FakeUpstreamConn *silent;  /* the run that has stalled */
static FakeUpstreamConn *prefill; /* the last prefill that has no answer */
static uint32_t n_prefills;

/* Sends event 1; the rest is up to the test. */
static void
handle_silent (FakeUpstreamConn *conn, const char *text, const char *id)
{
  relay_fixture_stream_hangs (conn, text, id);
  silent = conn;
}

/* Sends nothing yet. */
static void
handle_late (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  silent = conn;
}

/* Goes on after event 1. */
static void
handle_rest (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char last[16] = "";

  (void)id;
  fake_upstream_request_header (text, "Last-Event-Id", last, sizeof last);
  assert_string_equal (last, "1");
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD REST);
}

static void
prefill_answer (FakeUpstreamConn *conn)
{
  relay_fixture_answer (conn, "t", "200 OK", "",
                        "{\"kvHandle\":\"h1\",\"tokens\":10,\"version\":1}");
}

/* Answers the first prefill and leaves the second without an answer. */
static void
handle_prefill_once (FakeUpstreamConn *conn, const char *text, const char *id)
{
  if (strncmp (text, "DELETE ", 7) == 0 || n_prefills++ == 0)
    relay_fixture_prefill (conn, text, id);
  else
    prefill = conn;
}

static void
setup (RelayFixture *fixture)
{
  silent = NULL;
  prefill = NULL;
  n_prefills = 0;
  relay_fixture_setup (fixture, ev_loop_new (0));
  fixture->jobs.mean_token_us = 100. * (double)MF_US_PER_MS;
}

static void
teardown (RelayFixture *fixture)
{
  struct ev_loop *loop = fixture->loop;

  relay_fixture_teardown (fixture);
  ev_loop_destroy (loop);
}

static void
shut_down (RelayFixture *fixture, uint64_t elapsed_us)
{
  mf_jobs_shut_down (&fixture->jobs, &(MfShutdown){ .started_us = mf_clock_now_us () - elapsed_us,
                                                    .grace_us = GRACE_US });
}

static int
call_begin_at (const char *path)
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

static int
call_begin (void)
{
  return call_begin_at ("/llm/1");
}

static void
assert_whole (RelayFixture *fixture, int fd)
{
  loop_receive (fixture->loop, fd, "\r\n0\r\n\r\n", fixture->received, sizeof fixture->received);
  assert_non_null (strstr (fixture->received, "\r\n\r\n"));
  assert_string_equal (strstr (fixture->received, "\r\n\r\n"), WHOLE);
  close (fd);
}

static bool
is_silent (void *data)
{
  (void)data;
  return silent != NULL;
}

static bool
has_no_jobs (void *data)
{
  return ((RelayFixture *)data)->jobs.n_jobs == 0;
}

static bool
is_prefilling (void *data)
{
  (void)data;
  return prefill != NULL;
}

/* Streams whose engine was silent during a planned stop were moved, and ended in place of the send
 * to another engine. */
static void
test_stop_does_not_end_a_silent_stream (void **state)
{
  static const uint32_t elapsed_ms[] = { 4800, 6000, 7000 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (elapsed_ms); i++)
    {
      RelayFixture fixture;
      int fd;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
      fd = call_begin ();
      assert_true (loop_pump (fixture.loop, is_silent, NULL));
      shut_down (&fixture, elapsed_ms[i] * MF_US_PER_MS);
      loop_spin (fixture.loop, STALL_ITERATIONS);
      assert_int_equal (fixture.jobs.n_jobs, 1);
      fake_upstream_conn_send (silent, REST);
      assert_whole (&fixture, fd);
      teardown (&fixture);
    }
}

/* A process that has seen no answer took the rest of a stream for one that needs no time, and moved
 * it away from a silent engine just before its exit. */
static void
test_stop_does_not_end_a_silent_stream_of_a_new_process (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  fixture.jobs.mean_token_us = 0.;
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
  fd = call_begin ();
  assert_true (loop_pump (fixture.loop, is_silent, NULL));
  shut_down (&fixture, 6000 * MF_US_PER_MS);
  loop_spin (fixture.loop, STALL_ITERATIONS);
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 0);
  fake_upstream_conn_send (silent, REST);
  assert_whole (&fixture, fd);
  teardown (&fixture);
}

/* A stream that was being moved when a stop began was ended after its second prefill. */
static void
test_stop_does_not_end_a_stream_after_its_second_prefill (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_late);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
  relay_fixture_add_upstream (&fixture, 2, MF_ROLE_PREFILL, handle_prefill_once);
  fd = call_begin ();
  assert_true (loop_pump (fixture.loop, is_silent, NULL));
  /* When the stream stalls, the KV of the first prefill has expired. */
  loop_spin (fixture.loop, LATE_ITERATIONS);
  relay_fixture_stream_hangs (silent, "", "t");
  assert_true (loop_pump (fixture.loop, is_prefilling, NULL));
  shut_down (&fixture, 6 * MF_US_PER_S);
  prefill_answer (prefill);
  assert_whole (&fixture, fd);
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 1);
  teardown (&fixture);
}

static MfTarget *
target_of (RelayFixture *fixture, const char *id)
{
  return mf_targets_by_hash (&fixture->jobs.targets, mf_load_hash (id));
}

/* Takes all slots of an engine, or gives them back. */
static void
fill (RelayFixture *fixture, const char *id, bool is_full)
{
  MfTarget *target = target_of (fixture, id);

  for (uint32_t i = 0; i < target->info.slots; i++)
    {
      if (is_full)
        mf_target_reserve (target, 1);
      else
        mf_target_unreserve (target, 1);
    }
}

/* Nothing is counted for requests that have ended. */
static void
assert_no_load (RelayFixture *fixture, const char *id)
{
  const MfTarget *target = target_of (fixture, id);

  assert_int_equal (target->n_active, 0);
  assert_int_equal (target->n_reserved, 0);
  assert_int_equal (target->n_suspects, 0);
  assert_int_equal (target->active_tokens, 0);
}

/* Begins a stream of which event 1 arrives, and waits until it has stalled. */
static int
stream_stall (RelayFixture *fixture)
{
  int fd = call_begin ();

  assert_true (loop_pump (fixture->loop, is_silent, NULL));
  loop_spin (fixture->loop, STALL_ITERATIONS);
  return fd;
}

/* A silent run was cancelled before another engine had a slot, and the stream ended when none came
 * in time. */
static void
test_silent_run_is_kept_while_no_other_engine_has_a_slot (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
  fill (&fixture, "u1", true);
  fd = stream_stall (&fixture);
  assert_int_equal (target_of (&fixture, "u0")->n_active, 1);
  fake_upstream_conn_send (silent, REST);
  assert_whole (&fixture, fd);
  fill (&fixture, "u1", false);
  assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_KEPT], 1);
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 0);
  assert_no_load (&fixture, "u0");
  assert_no_load (&fixture, "u1");
  teardown (&fixture);
}

/* What comes after the search for a slot has been given up is passed on as well. */
static void
test_search_that_fails_ends_no_silent_run (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
  fill (&fixture, "u1", true);
  fd = stream_stall (&fixture);
  mf_job_refuse (fixture.jobs.first, MF_CODE_QUEUE_FULL, "no engine slot became free in time");
  assert_int_equal (fixture.jobs.n_jobs, 1);
  fake_upstream_conn_send (silent, REST);
  assert_whole (&fixture, fd);
  fill (&fixture, "u1", false);
  assert_no_load (&fixture, "u0");
  assert_no_load (&fixture, "u1");
  teardown (&fixture);
}

/* On a route without an objective for pauses, a run was found silent again at once, without end,
 * while no other engine had a slot. */
static void
test_route_without_objectives_does_not_search_all_the_time (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
  fd = call_begin ();
  assert_true (loop_pump (fixture.loop, is_silent, NULL));
  loop_spin (fixture.loop, 5);
  for (uint32_t i = 0; i < fixture.jobs.routes->n_routes; i++)
    {
      fixture.jobs.routes->routes[i].target_gap_us = 0;
      fixture.jobs.routes->routes[i].target_latency_us = 0;
    }
  assert_true (mf_job_stall_us (fixture.jobs.first) >= 100 * MF_US_PER_MS);
  mf_job_stall (fixture.jobs.first);
  mf_job_refuse (fixture.jobs.first, MF_CODE_QUEUE_FULL, "no engine slot became free in time");
  assert_true (fixture.jobs.first->step_deadline_us > mf_clock_now_us () + 50 * MF_US_PER_MS);
  fake_upstream_conn_send (silent, REST);
  assert_whole (&fixture, fd);
  assert_no_load (&fixture, "u0");
  teardown (&fixture);
}

/* The run is cancelled when another engine has accepted the stream, and not before. */
static void
test_silent_run_ends_when_the_next_has_begun (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
  fill (&fixture, "u1", true);
  fd = stream_stall (&fixture);
  assert_int_equal (fake_upstream_n_closed (fixture.upstreams[0].server), 0);
  fill (&fixture, "u1", false);
  assert_whole (&fixture, fd);
  loop_spin (fixture.loop, 5);
  assert_int_equal (fake_upstream_n_closed (fixture.upstreams[0].server), 1);
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 1);
  assert_no_load (&fixture, "u0");
  assert_no_load (&fixture, "u1");
  teardown (&fixture);
}

/* A run whose answer comes as a whole was cancelled, and its request refused, when it was too late
 * for another engine to begin. Its caller waits until the deadline. */
static void
test_silent_run_is_kept_while_its_caller_waits (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_late);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
  fill (&fixture, "u1", true);
  fd = call_begin_at ("/ask/1");
  assert_true (loop_pump (fixture.loop, is_silent, NULL));
  while (fixture.jobs.first != NULL && mf_clock_now_us () < fixture.jobs.first->give_up_us)
    loop_spin (fixture.loop, 1);
  loop_spin (fixture.loop, 5);
  assert_int_equal (fixture.jobs.n_jobs, 1);
  assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_KEPT], 1);
  relay_fixture_answer (silent, "t", "200 OK", RELAY_FIXTURE_SEAL, "good");
  loop_receive (fixture.loop, fd, "good", fixture.received, sizeof fixture.received);
  assert_memory_equal (fixture.received, "HTTP/1.1 200", 12);
  close (fd);
  fill (&fixture, "u1", false);
  assert_no_load (&fixture, "u0");
  assert_no_load (&fixture, "u1");
  teardown (&fixture);
}

/* A stream that was kept again and again was moved in the end to the engine where it ran, which
 * cancelled the run. */
static void
test_silent_run_is_not_moved_to_its_own_engine (void **state)
{
  RelayFixture fixture;
  char event[64];
  MfJob *job;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
  fill (&fixture, "u1", true);
  fd = call_begin ();
  assert_true (loop_pump (fixture.loop, is_silent, NULL));
  loop_spin (fixture.loop, 5);
  job = fixture.jobs.first;
  for (int i = 0; i < MF_JOB_AVOID_MAX + 2; i++)
    {
      mf_job_step_expired (job);
      loop_spin (fixture.loop, 2);
      snprintf (event, sizeof event, "10\r\nid: %02d\ndata: a\n\n\r\n", i + 2);
      fake_upstream_conn_send (silent, event);
      loop_spin (fixture.loop, 2);
      assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
      assert_int_equal (fixture.jobs.n_jobs, 1);
    }
  fake_upstream_conn_send (silent, "0\r\n\r\n");
  loop_receive (fixture.loop, fd, "\r\n0\r\n\r\n", fixture.received, sizeof fixture.received);
  assert_non_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
  close (fd);
  fill (&fixture, "u1", false);
  assert_no_load (&fixture, "u0");
  assert_no_load (&fixture, "u1");
  teardown (&fixture);
}

/* A part of an event does not keep the run, and is not joined to the events of the next one. */
static void
test_part_of_an_event_keeps_no_run (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
  fill (&fixture, "u1", true);
  fd = stream_stall (&fixture);
  fake_upstream_conn_send (silent, "8\r\nid: 2\nda\r\n");
  loop_spin (fixture.loop, 5);
  assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_KEPT], 0);
  fill (&fixture, "u1", false);
  assert_whole (&fixture, fd);
  assert_no_load (&fixture, "u0");
  teardown (&fixture);
}

/* Prompts were prefilled a second time for streams whose engine went on meanwhile. */
static void
test_run_that_goes_on_cancels_the_second_prefill (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
  relay_fixture_add_upstream (&fixture, 2, MF_ROLE_PREFILL, handle_prefill_once);
  fd = call_begin ();
  assert_true (loop_pump (fixture.loop, is_prefilling, NULL));
  fake_upstream_conn_send (silent, REST);
  assert_whole (&fixture, fd);
  loop_spin (fixture.loop, 5);
  assert_int_equal (fake_upstream_n_closed (fixture.upstreams[2].server), 1);
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 0);
  assert_no_load (&fixture, "u0");
  assert_no_load (&fixture, "u1");
  assert_no_load (&fixture, "u2");
  teardown (&fixture);
}

/* A prefill that failed, with no retry left, ended the stream. */
static void
test_failed_second_prefill_ends_no_silent_run (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
  relay_fixture_add_upstream (&fixture, 2, MF_ROLE_PREFILL, handle_prefill_once);
  fd = call_begin ();
  assert_true (loop_pump (fixture.loop, is_prefilling, NULL));
  fake_upstream_conn_close (prefill, true);
  loop_spin (fixture.loop, 20);
  assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_KEPT], 1);
  fake_upstream_conn_send (silent, REST);
  assert_whole (&fixture, fd);
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 0);
  assert_no_load (&fixture, "u0");
  assert_no_load (&fixture, "u1");
  assert_no_load (&fixture, "u2");
  teardown (&fixture);
}

/* A run that breaks while another engine is sought is one that broke. */
static void
test_silent_run_that_breaks_goes_on_elsewhere (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  setup (&fixture);
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
  fill (&fixture, "u1", true);
  fd = stream_stall (&fixture);
  fake_upstream_conn_close (silent, true);
  loop_spin (fixture.loop, 5);
  assert_int_equal (target_of (&fixture, "u0")->n_active, 0);
  fill (&fixture, "u1", false);
  assert_whole (&fixture, fd);
  assert_no_load (&fixture, "u0");
  assert_no_load (&fixture, "u1");
  teardown (&fixture);
}

/* Whoever ends the request while another engine is sought ends the run as well. */
static void
test_end_during_the_search_leaves_nothing (void **state)
{
  static const char *const ends[] = { "departure", "deadline", "exit" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (ends); i++)
    {
      RelayFixture fixture;
      int fd;

      setup (&fixture);
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_silent);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_rest);
      fill (&fixture, "u1", true);
      fd = stream_stall (&fixture);
      if (i == 0)
        close (fd);
      else if (i == 1)
        mf_job_finish (fixture.jobs.first, MF_CODE_DEADLINE, "deadline exceeded");
      else
        mf_jobs_end_all (&fixture.jobs);
      assert_true (loop_pump (fixture.loop, has_no_jobs, &fixture));
      loop_spin (fixture.loop, 5);
      assert_int_equal (fake_upstream_n_closed (fixture.upstreams[0].server), 1);
      if (i != 0)
        {
          loop_receive (fixture.loop, fd, "\r\n0\r\n", fixture.received, sizeof fixture.received);
          assert_null (strstr (fixture.received, "\r\n0\r\n"));
          close (fd);
        }
      fill (&fixture, "u1", false);
      assert_no_load (&fixture, "u0");
      assert_no_load (&fixture, "u1");
      teardown (&fixture);
    }
}

static FakeUpstreamConn *copy; /* the run that was sent for the silent one */

/* Sends nothing. */
static void
handle_copy (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  copy = conn;
}

static bool
has_copy (void *data)
{
  (void)data;
  return copy != NULL;
}

static bool
has_resumed (void *data)
{
  const MfJob *job = ((RelayFixture *)data)->jobs.first;

  return job == NULL || job->stalled.link == NULL;
}

/* Lists a new process at the address of an upstream, which has crashed then. */
static void
replace_upstream (RelayFixture *fixture, uint32_t index, const char *id)
{
  relay_fixture_list_upstream (fixture, id, MF_ROLE_DECODE,
                               fake_upstream_address (fixture->upstreams[index].server));
}

/* Begins a stream whose first upstream is silent after event 1, and waits until the second one has
 * a copy of its request. Returns the caller's connection. */
static int
stall_with_copy (RelayFixture *fixture)
{
  int fd;

  setup (fixture);
  copy = NULL;
  relay_fixture_add_upstream (fixture, 0, MF_ROLE_DECODE, handle_silent);
  relay_fixture_add_upstream (fixture, 1, MF_ROLE_DECODE, handle_copy);
  fd = call_begin ();
  assert_true (loop_pump (fixture->loop, is_silent, NULL));
  assert_true (loop_pump (fixture->loop, has_copy, NULL));
  return fd;
}

/* Lets the silent upstream send event 2. */
static void
resume_silent (RelayFixture *fixture)
{
  fake_upstream_conn_send (silent, "f\r\nid: 2\ndata: b\n\n\r\n");
  assert_true (loop_pump (fixture->loop, has_resumed, fixture));
}

/* A request was refused for the crashes of two upstreams, though it had been answered: by the one
 * that had been silent, while its copy at the other was cancelled. Both kept its failure. */
static void
test_crashes_after_the_answer_of_a_silent_run_are_not_charged_to_it (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  fd = stall_with_copy (&fixture);
  assert_int_equal (mf_suspects_n_failures (fixture.jobs.suspects), 1);
  resume_silent (&fixture);
  /* The one of the copy, as its upstream may still have it. */
  assert_int_equal (mf_suspects_n_failures (fixture.jobs.suspects), 1);
  fake_upstream_conn_send (silent, "0\r\n\r\n");
  assert_whole (&fixture, fd);
  assert_int_equal (mf_suspects_n_failures (fixture.jobs.suspects), 0);
  replace_upstream (&fixture, 0, "v0");
  replace_upstream (&fixture, 1, "v1");
  assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_SUSPICIONS], 0);
  teardown (&fixture);
}

/* Its own failure is noted again when a silent run that has gone on breaks off. */
static void
test_silent_run_that_goes_on_and_breaks_is_a_suspect (void **state)
{
  RelayFixture fixture;
  int fd;

  (void)state;
  fd = stall_with_copy (&fixture);
  resume_silent (&fixture);
  fake_upstream_conn_close (silent, true);
  loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
  close (fd);
  replace_upstream (&fixture, 0, "v0");
  assert_true (fixture.jobs.counters.counts[MF_RELAY_COUNT_SUSPICIONS] > 0);
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stop_does_not_end_a_silent_stream),
    cmocka_unit_test (test_stop_does_not_end_a_silent_stream_of_a_new_process),
    cmocka_unit_test (test_stop_does_not_end_a_stream_after_its_second_prefill),
    cmocka_unit_test (test_silent_run_is_kept_while_no_other_engine_has_a_slot),
    cmocka_unit_test (test_search_that_fails_ends_no_silent_run),
    cmocka_unit_test (test_route_without_objectives_does_not_search_all_the_time),
    cmocka_unit_test (test_silent_run_ends_when_the_next_has_begun),
    cmocka_unit_test (test_silent_run_is_kept_while_its_caller_waits),
    cmocka_unit_test (test_silent_run_is_not_moved_to_its_own_engine),
    cmocka_unit_test (test_part_of_an_event_keeps_no_run),
    cmocka_unit_test (test_run_that_goes_on_cancels_the_second_prefill),
    cmocka_unit_test (test_failed_second_prefill_ends_no_silent_run),
    cmocka_unit_test (test_silent_run_that_breaks_goes_on_elsewhere),
    cmocka_unit_test (test_end_during_the_search_leaves_nothing),
    cmocka_unit_test (test_crashes_after_the_answer_of_a_silent_run_are_not_charged_to_it),
    cmocka_unit_test (test_silent_run_that_goes_on_and_breaks_is_a_suspect),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
