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

#define N_CALLERS 20
/* The longest timeout of a route is 3 s. */
#define ANSWER_TIMEOUT_US (4 * MF_US_PER_S)
/* A stream without progress must have been resumed elsewhere by then: half of its route's
 * timeout. */
#define STALL_TIMEOUT_US (1500 * MF_US_PER_MS)

#define PLAIN_HEAD "HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\n" RELAY_FIXTURE_SEAL
#define JUNK                                                                                       \
  "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz" \
  "zz"                                                                                             \
  "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz" \
  "zz"

/* A faulty answer: a beginning, followed by endless copies of a piece. */
typedef struct
{
  const char *begin;
  const char *piece;
} Flood;

static const Flood floods[] = {
  { "", JUNK },                                                         /* no HTTP */
  { "HTTP/1.1 200 ", JUNK },                                            /* status reason */
  { "HTTP/1.1 200 OK\r\nX-A: ", JUNK },                                 /* header value */
  { "HTTP/1.1 200 OK\r\n", JUNK },                                      /* header name */
  { "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" },                              /* headers */
  { PLAIN_HEAD "\r\n", JUNK },                                          /* body without length */
  { PLAIN_HEAD "Content-Length: 99999999999\r\n\r\n", JUNK },           /* body with length */
  { PLAIN_HEAD "Transfer-Encoding: chunked\r\n\r\n", "1\r\nz\r\n" },    /* chunks */
  { PLAIN_HEAD "Transfer-Encoding: chunked\r\n\r\n1;x=", JUNK },        /* chunk extension */
  { PLAIN_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", JUNK },    /* trailer */
  { PLAIN_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n" }, /* trailers */
  { "", "HTTP/1.1 102 Processing\r\n\r\n" },                            /* interim responses */
  { "",
    /* answers to another request */
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\nz" },
};

static const Flood *flood;

static void
handle_flood (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, flood->begin);
  fake_upstream_conn_flood (conn, flood->piece);
}

static void
handle_flood_on_release (FakeUpstreamConn *conn, const char *text, const char *id)
{
  if (strncmp (text, "DELETE ", 7) == 0)
    handle_flood (conn, text, id);
  else
    relay_fixture_prefill (conn, text, id);
}

static void
handle_good (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL, "good");
}

static void
handle_stream (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
}

static int
call_begin (const RelayFixture *fixture, const char *method, const char *path)
{
  char text[256];
  int fd = loop_connect (relay_fixture_port ());

  assert_true (fd >= 0);
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nX-Token-Count: 100,40\r\n"
            "Connection: close\r\nContent-Length: 2\r\n\r\nhi",
            method, path);
  loop_send (fd, text, strlen (text));
  loop_spin (fixture->loop, 1);
  return fd;
}

/* Reads the complete answer. Loop iterations are short during a flood, so the limit is a time. */
static void
call (RelayFixture *fixture, const char *method, const char *path)
{
  int fd = call_begin (fixture, method, path);
  uint64_t until_us = mf_clock_now_us () + ANSWER_TIMEOUT_US;
  size_t n_received = 0;
  ssize_t n_read = -1;

  while (n_read != 0 && mf_clock_now_us () < until_us)
    {
      loop_spin (fixture->loop, 1);
      n_read = read (fd, fixture->received + n_received, sizeof fixture->received - 1 - n_received);
      n_received += n_read > 0 ? (size_t)n_read : 0;
    }
  fixture->received[n_received] = '\0';
  assert_int_equal (n_read, 0);
  close (fd);
}

static void
teardown (RelayFixture *fixture)
{
  struct ev_loop *loop = fixture->loop;

  relay_fixture_teardown (fixture);
  ev_loop_destroy (loop);
}

static bool
no_jobs_left (void *data)
{
  return ((RelayFixture *)data)->jobs.n_jobs == 0;
}

static bool
has_disconnected (void *data)
{
  return fake_upstream_n_closed (((RelayFixture *)data)->upstreams[0].server) > 0;
}

/* The request fails by its deadline, without a promise that it was not executed, and the upstream's
 * connection is closed. */
static void
test_endless_answer_ends_a_non_idempotent_request (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (floods); i++)
    {
      RelayFixture fixture;

      flood = &floods[i];
      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_flood);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_good);
      call (&fixture, "POST", "/order/1");
      assert_memory_equal (fixture.received, "HTTP/1.1 50", 11);
      assert_memory_not_equal (fixture.received + 9, "503", 3);
      assert_int_equal (relay_fixture_n_requests (&fixture, 1), 0);
      assert_true (loop_pump (fixture.loop, has_disconnected, &fixture));
      teardown (&fixture);
    }
}

/* Another upstream answers the request. */
static void
test_endless_answer_to_an_idempotent_request_is_retried (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (floods); i++)
    {
      RelayFixture fixture;

      flood = &floods[i];
      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_flood);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PLAIN, handle_good);
      call (&fixture, "GET", "/read/1");
      assert_memory_equal (fixture.received, "HTTP/1.1 200", 12);
      assert_non_null (strstr (fixture.received, "good"));
      teardown (&fixture);
    }
}

/* Another engine prefills the prompt. */
static void
test_endless_answer_to_a_prefill_is_retried (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (floods); i++)
    {
      RelayFixture fixture;

      flood = &floods[i];
      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PREFILL, handle_flood);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_PREFILL, relay_fixture_prefill);
      relay_fixture_add_upstream (&fixture, 2, MF_ROLE_DECODE, handle_stream);
      call (&fixture, "POST", "/llm/1");
      assert_memory_equal (fixture.received, "HTTP/1.1 200", 12);
      assert_non_null (strstr (fixture.received, "id: 1\ndata: a\n\n"));
      teardown (&fixture);
    }
}

/* A resumable stream is resumed elsewhere; one that is not ends in a way that cannot be taken for a
 * complete answer. No part of the endless event reaches the first caller. */
static void
test_endless_event_ends_the_stream (void **state)
{
  static const Flood endless = { RELAY_FIXTURE_STREAM_HEAD, "c8\r\n" JUNK "\r\n" };
  RelayFixture fixture;
  int fd;

  (void)state;
  flood = &endless;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_flood);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_stream);
  /* No event has arrived, so the stream cannot be resumed. */
  call (&fixture, "POST", "/llm/1");
  assert_null (strstr (fixture.received, JUNK));
  assert_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
  fd = call_begin (&fixture, "POST", "/once/1");
  for (uint32_t i = 0; i < 200 && !no_jobs_left (&fixture); i++)
    {
      loop_spin (fixture.loop, 1);
      while (read (fd, fixture.received, sizeof fixture.received) > 0)
        ;
    }
  assert_int_equal (fixture.jobs.n_jobs, 0);
  assert_true (loop_pump (fixture.loop, has_disconnected, &fixture));
  close (fd);
  teardown (&fixture);
}

typedef struct
{
  const char *body; /* of a stream without length and chunks, whose connection is then closed */
  bool reset;
  bool complete;
} ClosedStream;

static const ClosedStream *closed_stream;

static void
handle_closed_stream (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, PLAIN_HEAD "Content-Type: text/event-stream\r\n\r\n");
  fake_upstream_conn_send (conn, closed_stream->body);
  fake_upstream_conn_close (conn, closed_stream->reset);
}

/* A stream without a length and chunks that ended inside an event reached the caller as a complete
 * one. */
static void
test_stream_closed_inside_an_event_is_broken_off (void **state)
{
  static const ClosedStream streams[] = {
    { "id: 1\ndata: a\n\n", false, true },
    { "id: 1\ndata: a\n\nid: 2\nda", false, false },
    { "id: 1\ndata: a\n", false, false },
    { "id: 1\ndata: a\n\nid: 2\nda", true, false },
    { "", false, false },
    { "\n\n", false, false },
  };
  static const char *const paths[] = { "/llm/1", "/once/1" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (streams) * MF_ARRAY_LEN (paths); i++)
    {
      RelayFixture fixture;

      closed_stream = &streams[i / MF_ARRAY_LEN (paths)];
      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_closed_stream);
      call (&fixture, "POST", paths[i % MF_ARRAY_LEN (paths)]);
      assert_int_equal (strstr (fixture.received, "\r\n0\r\n\r\n") != NULL,
                        closed_stream->complete);
      assert_int_equal (fixture.jobs.counters.counts[MF_RELAY_COUNT_BROKEN] == 0,
                        closed_stream->complete);
      teardown (&fixture);
    }
}

/* Sends event 1 and breaks off. */
static void
handle_stream_begin (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n");
  fake_upstream_conn_close (conn, false);
}

/* Sends event 1 and a part of event 2, and stalls. */
static void
handle_stream_stalls_inside (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD
                           "f\r\nid: 1\ndata: a\n\n\r\n8\r\nid: 2\nda\r\n");
}

/* Sends events 2 and 3 to a caller that has the first. */
static void
handle_stream_rest (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char last[16] = "";

  (void)id;
  fake_upstream_request_header (text, "Last-Event-Id", last, sizeof last);
  assert_string_equal (last, "1");
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD
                           "f\r\nid: 2\ndata: b\n\n\r\nf\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n");
}

#define WHOLE_STREAM                                                                               \
  "\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\nf\r\nid: 3\ndata: "               \
  "c\n\n\r\n0\r\n\r\n"

/* A stream that stalled inside an event was resumed at another upstream, and the beginning of that
 * event was joined to the other upstream's events. */
static void
test_event_that_stalled_is_not_joined_to_the_next_run (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_stream_stalls_inside);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_stream_rest);
  call (&fixture, "POST", "/llm/1");
  assert_string_equal (strstr (fixture.received, "\r\n\r\n"), WHOLE_STREAM);
  teardown (&fixture);
}

static const char *garbage;

/* Sends event 1 and then garbage in place of an event, followed by the rest of the stream. */
static void
handle_stream_garbled (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char chunk[128];

  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n");
  snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen (garbage), garbage);
  fake_upstream_conn_send (conn, chunk);
  fake_upstream_conn_send (conn, "f\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n");
}

/* Events without an id, or with one that was no number, were passed on from a server that sent
 * garbage, after such with ids: a piece that no run had made. The stream goes on at another
 * upstream after its last sound event; one that cannot be resumed is broken off. */
static void
test_garbage_in_a_stream_is_not_passed_on (void **state)
{
  static const char *const pieces[] = {
    "zzzz\n\n",
    "data: z\n\n",
    "id: \ndata: z\n\n",
    "id: 2xyz\ndata: z\n\n",
    "id: 1\ndata: z\n\n",
    "id: 0\ndata: z\n\n",
    "zzzz",
    "zzzz\n",
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (pieces); i++)
    {
      RelayFixture fixture;

      garbage = pieces[i];
      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_stream_garbled);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_stream_rest);
      call (&fixture, "POST", "/llm/1");
      assert_string_equal (strstr (fixture.received, "\r\n\r\n"), WHOLE_STREAM);
      assert_true (loop_pump (fixture.loop, has_disconnected, &fixture));
      teardown (&fixture);
      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_stream_garbled);
      call (&fixture, "POST", "/once/1");
      assert_string_equal (strstr (fixture.received, "\r\n\r\n"),
                           "\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
      teardown (&fixture);
    }
}

/* Sends an event of a stream. */
static void
send_event (FakeUpstreamConn *conn, uint32_t number)
{
  char event[32];
  char chunk[64];

  snprintf (event, sizeof event, "id: %u\ndata: %c\n\n", number, 'a' + (char)(number % 26));
  snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen (event), event);
  fake_upstream_conn_send (conn, chunk);
}

/* How the upstreams of the next two tests number twelve events, or how many of them the first one
 * sends. */
static const uint32_t *numbers;
static uint32_t n_before_break;

static void
handle_numbers_break (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD);
  for (uint32_t i = 0; i < n_before_break; i++)
    send_event (conn, numbers[i]);
  fake_upstream_conn_close (conn, false);
}

static void
send_numbers_after (FakeUpstreamConn *conn, const char *text, uint32_t n_left_out)
{
  char last[16] = "0";

  fake_upstream_request_header (text, "Last-Event-Id", last, sizeof last);
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD);
  for (uint32_t i = 0; i < 12; i++)
    {
      if (numbers[i] <= strtoul (last, NULL, 10))
        continue;
      if (n_left_out > 0)
        n_left_out--;
      else
        send_event (conn, numbers[i]);
    }
  fake_upstream_conn_send (conn, "0\r\n\r\n");
}

static void
handle_numbers (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)id;
  send_numbers_after (conn, text, 0);
}

static void
handle_numbers_go_on_late (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)id;
  send_numbers_after (conn, text, 1);
}

/* Checks that the caller has got the first n events, and the end of the stream if all. */
static void
assert_events_received (const RelayFixture *fixture, uint32_t n)
{
  const char *at = fixture->received;

  for (uint32_t i = 0; i < 12; i++)
    {
      char id[32];
      const char *found;

      snprintf (id, sizeof id, "\nid: %u\n", numbers[i]);
      found = strstr (fixture->received, id);
      assert_int_equal (found != NULL, i < n);
      assert_true (found == NULL || found > at);
      at = found == NULL ? at : found;
    }
  assert_int_equal (strstr (fixture->received, "\r\n0\r\n\r\n") != NULL, n == 12);
}

static const uint32_t numberings[][12] = {
  { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 },
  { 10, 20, 30, 40, 50, 60, 70, 80, 90, 100, 110, 120 },
  { 4, 9, 10, 74, 75, 149, 150, 151, 200, 1000, 1001, 5000 },
  { 1, 2, 3, 4, 5, 6, 7, 8, 20, 21, 22, 40 },
};

/* The first stream of a process was cut off where ids do not count by one, and so was the first
 * of a service that can be resumed, when no retry was left. */
static void
test_streams_of_a_new_process_are_whole_however_ids_increase (void **state)
{
  static const char *const paths[] = { "/once/1", "/llm/1" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (numberings) * MF_ARRAY_LEN (paths); i++)
    {
      RelayFixture fixture;

      numbers = numberings[i / MF_ARRAY_LEN (paths)];
      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_numbers);
      call (&fixture, "POST", paths[i % MF_ARRAY_LEN (paths)]);
      assert_events_received (&fixture, 12);
      assert_int_equal (relay_fixture_n_requests (&fixture, 0), 1);
      teardown (&fixture);
    }
}

/* A stream in which an event is missing between the runs of two upstreams looked complete. It goes
 * on at a third one, or is broken off, for its caller to take up. */
static void
test_stream_that_goes_on_too_late_is_not_passed_on (void **state)
{
  (void)state;
  n_before_break = 9;
  for (size_t i = 0; i < 4; i++)
    {
      bool may_go_on = i % 2 == 1;
      RelayFixture fixture;

      numbers = numberings[i / 2];
      relay_fixture_setup (&fixture, ev_loop_new (0));
      fixture.jobs.budget_slack = 20;
      for (uint32_t j = 0; j < fixture.jobs.routes->n_routes; j++)
        fixture.jobs.routes->routes[j].attempts_max += may_go_on;
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_numbers_break);
      relay_fixture_add_upstream (&fixture, 2, MF_ROLE_DECODE, handle_numbers_go_on_late);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_numbers);
      call (&fixture, "POST", "/llm/1");
      assert_int_equal (relay_fixture_n_requests (&fixture, 2), 1);
      assert_events_received (&fixture, may_go_on ? 12 : 9);
      teardown (&fixture);
    }
}

/* Where ids vary, a stream that is resumed goes on whatever its next id. */
static void
test_resumed_stream_is_whole_where_ids_vary (void **state)
{
  (void)state;
  for (n_before_break = 1; n_before_break < 12; n_before_break++)
    {
      RelayFixture fixture;

      numbers = numberings[2];
      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_numbers_break);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_numbers);
      call (&fixture, "POST", "/llm/1");
      assert_events_received (&fixture, 12);
      assert_int_equal (relay_fixture_n_requests (&fixture, 1), 1);
      teardown (&fixture);
    }
}

/* Sends a stream of three events with blank lines and comments between them and at its end. */
#define STREAM_WITH_BLANKS                                                                         \
  "id: 1\ndata: a\n\n\n: x\n\nid: 2\r\ndata: b\r\n\r\n\r\n\nid: 3\ndata: c\n\n:\n\n\n"

static void
handle_stream_with_blanks (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char chunk[256];

  (void)text;
  (void)id;
  snprintf (chunk, sizeof chunk, "%zx\r\n" STREAM_WITH_BLANKS "\r\n0\r\n\r\n",
            strlen (STREAM_WITH_BLANKS));
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD);
  fake_upstream_conn_send (conn, chunk);
}

/* Blank lines after the last event of a stream were left out. */
static void
test_all_bytes_of_a_complete_stream_are_passed_on (void **state)
{
  static const char *const paths[] = { "/once/1", "/llm/1" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (paths); i++)
    {
      RelayFixture fixture;
      char body[256] = "";
      const char *at;

      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_stream_with_blanks);
      call (&fixture, "POST", paths[i]);
      at = strstr (fixture.received, "\r\n\r\n");
      assert_non_null (at);
      for (at += 4; strtoul (at, NULL, 16) > 0;)
        {
          size_t n_bytes = strtoul (at, NULL, 16);

          at = strchr (at, '\n') + 1;
          strncat (body, at, n_bytes);
          at += n_bytes + 2;
        }
      assert_string_equal (body, STREAM_WITH_BLANKS);
      assert_string_equal (at, "0\r\n\r\n");
      teardown (&fixture);
    }
}

/* Begins again with the first event, whatever the caller has. */
static void
handle_stream_from_the_start (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD
                           "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
}

/* A stream that its caller had taken up after event 1 went back to it. */
static void
test_caller_gets_no_event_before_the_one_it_names (void **state)
{
  static const char text[] = "POST /llm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n"
                             "Last-Event-Id: 1\r\nX-Token-Count: 100,40\r\nConnection: close\r\n"
                             "Content-Length: 2\r\n\r\nhi";
  RelayFixture fixture;
  int fd;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_stream_from_the_start);
  fd = loop_connect (relay_fixture_port ());
  loop_send (fd, text, strlen (text));
  loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
  close (fd);
  assert_string_equal (strstr (fixture.received, "\r\n\r\n"),
                       "\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
  teardown (&fixture);
}

static const char *error_answer;

static void
handle_error (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char last[16] = "";

  (void)id;
  if (!fake_upstream_request_header (text, "Last-Event-Id", last, sizeof last))
    {
      handle_stream_begin (conn, text, id);
      return;
    }
  fake_upstream_conn_send (conn, error_answer);
  fake_upstream_conn_close (conn, false);
}

/* After a stream had broken off, the next upstream answered with an error, whose text reached the
 * caller within the stream, or the stream looked complete. */
static void
test_error_of_the_next_upstream_is_no_part_of_a_stream (void **state)
{
#define ERROR_ID "\r\nX-Attempt-Id: t\r\n"
  static const char *const answers[] = {
    "HTTP/1.1 500 Boom" ERROR_ID RELAY_FIXTURE_SEAL "Content-Length: 6\r\n\r\nboom\n\n",
    "HTTP/1.1 500 Boom" ERROR_ID RELAY_FIXTURE_SEAL
    "Transfer-Encoding: chunked\r\n\r\n6\r\nboom\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 500 Boom" ERROR_ID RELAY_FIXTURE_SEAL
    "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: boom\n\n",
    "HTTP/1.1 404 Boom" ERROR_ID "Content-Length: 6\r\n\r\nboom\n\n",
    "HTTP/1.1 503 Boom" ERROR_ID "X-Not-Executed: 1\r\nContent-Length: 6\r\n\r\nboom\n\n",
    "HTTP/1.1 200 OK" ERROR_ID "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: boom\n\n",
    "HTTP/1.1 200 OK" ERROR_ID RELAY_FIXTURE_SEAL
    "Content-Type: application/json\r\nContent-Length: 6\r\n\r\nboom\n\n",
    "HTTP/1.1 200 OK" ERROR_ID RELAY_FIXTURE_SEAL "Content-Type: text/plain\r\n\r\nboom\n\n",
    "boom\n\nboom\n\n",
  };
#undef ERROR_ID

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (answers); i++)
    {
      RelayFixture fixture;

      error_answer = answers[i];
      relay_fixture_setup (&fixture, ev_loop_new (0));
      relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_error);
      relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_error);
      call (&fixture, "POST", "/llm/1");
      assert_non_null (strstr (fixture.received, "id: 1\ndata: a\n"));
      assert_null (strstr (fixture.received, "oom"));
      assert_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
      teardown (&fixture);
    }
}

static const char *partial_head;
static bool partial_head_resets;

static void
handle_partial_head (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, partial_head);
  fake_upstream_conn_close (conn, partial_head_resets);
}

/* An upstream stopped within the head of its answer, which reached the caller as a complete one
 * with an empty body. */
static void
test_head_that_breaks_off_is_no_answer (void **state)
{
  static const char *const heads[] = {
    "",
    "HTTP/1.1 200",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\n",
    PLAIN_HEAD,
    PLAIN_HEAD "Content-Le",
    PLAIN_HEAD "Content-Length: 1",
    PLAIN_HEAD "Content-Length: 0\r\n",
    PLAIN_HEAD "Transfer-Encoding: chunked\r\n",
    PLAIN_HEAD "Content-Type: text/event-stream\r\n\r",
    PLAIN_HEAD "Content-Length: 4\r\n\r\n",
    PLAIN_HEAD "Content-Length: 4\r\n\r\ngoo",
    PLAIN_HEAD "Transfer-Encoding: chunked\r\n\r\n",
  };
  static const char *const paths[] = { "/read/1", "/order/1", "/llm/1", "/once/1" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (heads) * MF_ARRAY_LEN (paths) * 2; i++)
    {
      const char *path = paths[i / 2 % MF_ARRAY_LEN (paths)];
      bool is_stream = path[1] == 'l' || path[2] == 'n';
      RelayFixture fixture;

      partial_head = heads[i / 2 / MF_ARRAY_LEN (paths)];
      partial_head_resets = i % 2 == 1;
      relay_fixture_setup (&fixture, ev_loop_new (0));
      for (uint32_t j = 0; j < 2; j++)
        relay_fixture_add_upstream (&fixture, j, is_stream ? MF_ROLE_DECODE : MF_ROLE_PLAIN,
                                    handle_partial_head);
      call (&fixture, "POST", path);
      if (strncmp (fixture.received, "HTTP/1.1 200", 12) == 0)
        {
          assert_true (is_stream && strstr (partial_head, "\r\n\r\n") != NULL);
          assert_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
          assert_null (strstr (fixture.received, "Content-Length: "));
        }
      teardown (&fixture);
    }
}

/* A stream that is taken up after its last event has no further one. */
static void
test_stream_closed_after_its_last_event_is_complete (void **state)
{
  static const ClosedStream rest = { "", false, true };
  static const char text[] = "POST /llm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n"
                             "Last-Event-Id: 2\r\nX-Token-Count: 100,40\r\n"
                             "Connection: close\r\nContent-Length: 0\r\n\r\n";
  RelayFixture fixture;
  int fd;

  (void)state;
  closed_stream = &rest;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_closed_stream);
  fd = loop_connect (relay_fixture_port ());
  loop_send (fd, text, strlen (text));
  loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
  close (fd);
  assert_non_null (strstr (fixture.received, "\r\n0\r\n\r\n"));
  teardown (&fixture);
}

/* Refuses the first request, answers the second one and runs the third, before whose answer it
 * writes its refusal once more, without its id. */
static void
handle_repeated_refusal (FakeUpstreamConn *conn, const char *text, const char *id)
{
  static const char refusal[]
      = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nKeep-Alive: timeout=5\r\n"
        "Content-Length: 0\r\n\r\n";
  static uint32_t n_requests;

  (void)text;
  n_requests++;
  if (n_requests != 2)
    fake_upstream_conn_send (conn, refusal);
  else
    relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL "Keep-Alive: timeout=5\r\n",
                          "good");
  if (n_requests == 3)
    relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL, "good");
}

static void
call_order (RelayFixture *fixture, const char *id)
{
  char text[192];
  int fd = loop_connect (relay_fixture_port ());

  snprintf (text, sizeof text,
            "POST /order/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n",
            id);
  loop_send (fd, text, strlen (text));
  loop_receive (fixture->loop, fd, NULL, fixture->received, sizeof fixture->received);
  close (fd);
}

/* Callers were told that an order had not run, which ran. */
static void
test_refusal_that_is_written_again_refuses_no_other_request (void **state)
{
  RelayFixture fixture;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_repeated_refusal);
  call_order (&fixture, "o1");
  assert_memory_equal (fixture.received, "HTTP/1.1 503", 12);
  for (MfTarget *target = fixture.jobs.targets.first; target != NULL; target = target->next)
    target->full_until_us = 0;
  call_order (&fixture, "o2");
  assert_memory_equal (fixture.received, "HTTP/1.1 200", 12);
  call_order (&fixture, "o3");
  assert_memory_equal (fixture.received, "HTTP/1.1 502", 12);
  assert_int_equal (relay_fixture_n_requests (&fixture, 0), 3);
  teardown (&fixture);
}

/* Discovery may drop an upstream while it still sends its last, endless answer. */
static void
test_endless_answer_of_a_removed_upstream (void **state)
{
  static const Flood endless = { RELAY_FIXTURE_STREAM_HEAD, "c8\r\n" JUNK "\r\n" };
  RelayFixture fixture;
  int fd;

  (void)state;
  flood = &endless;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, handle_flood);
  fd = call_begin (&fixture, "POST", "/llm/1");
  while (relay_fixture_n_requests (&fixture, 0) == 0)
    loop_spin (fixture.loop, 1);
  mf_targets_remove (&fixture.jobs.targets, "u0", true, mf_clock_now_us ());
  assert_true (loop_pump (fixture.loop, no_jobs_left, &fixture));
  close (fd);
  teardown (&fixture);
}

/* Bytes that complete no event do not count as progress: the stream is resumed elsewhere, as after
 * silence. */
static void
test_stream_that_trickles_is_resumed_elsewhere (void **state)
{
  static const char text[] = "POST /llm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n"
                             "Connection: close\r\n\r\n";
  RelayFixture fixture;
  uint64_t until_us;
  int fd;

  (void)state;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_DECODE, relay_fixture_stream_hangs);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, handle_stream);
  fd = loop_connect (relay_fixture_port ());
  loop_send (fd, text, strlen (text));
  until_us = mf_clock_now_us () + STALL_TIMEOUT_US;
  while (mf_clock_now_us () < until_us && relay_fixture_n_requests (&fixture, 1) == 0)
    {
      FakeUpstreamConn *conn;

      loop_spin (fixture.loop, 5);
      conn = fake_upstream_last_conn (fixture.upstreams[0].server);
      if (conn != NULL)
        fake_upstream_conn_send (conn, "1\r\nd\r\n");
    }
  assert_int_equal (relay_fixture_n_requests (&fixture, 1), 1);
  close (fd);
  teardown (&fixture);
}

/* An engine whose answer to the release of KV never ends is disconnected after a timeout. */
static void
test_endless_answer_to_a_release_times_out (void **state)
{
  static const Flood interim = { "", "HTTP/1.1 102 Processing\r\n\r\n" };
  RelayFixture fixture;
  uint64_t until_us = mf_clock_now_us () + 4 * MF_US_PER_S;

  (void)state;
  flood = &interim;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PREFILL, handle_flood_on_release);
  relay_fixture_add_upstream (&fixture, 1, MF_ROLE_DECODE, relay_fixture_decline);
  call (&fixture, "POST", "/once/1");
  while (mf_clock_now_us () < until_us && !has_disconnected (&fixture))
    loop_spin (fixture.loop, 1);
  assert_true (has_disconnected (&fixture));
  teardown (&fixture);
}

/* Many large answers at the same time stay within their common memory limit, and a small answer
 * still gets through. */
static void
test_buffered_answers_keep_to_the_memory_limit (void **state)
{
  static const Flood body = { PLAIN_HEAD "Content-Length: 2000000\r\n\r\n", JUNK };
  static const uint64_t limit_bytes = 1024 * 1024;
  RelayFixture fixture;
  int fds[N_CALLERS];
  uint64_t most_bytes = 0;

  (void)state;
  flood = &body;
  relay_fixture_setup (&fixture, ev_loop_new (0));
  fixture.jobs.answer_bytes_max = limit_bytes;
  relay_fixture_add_upstream (&fixture, 0, MF_ROLE_PLAIN, handle_flood);
  for (uint32_t i = 0; i < N_CALLERS; i++)
    fds[i] = call_begin (&fixture, "POST", "/order/1");
  while (!no_jobs_left (&fixture))
    {
      uint64_t buffered_bytes = 0;

      loop_spin (fixture.loop, 1);
      for (const MfJob *job = fixture.jobs.first; job != NULL; job = job->next)
        buffered_bytes += mf_buffer_bytes (&job->answer.body);
      most_bytes = buffered_bytes > most_bytes ? buffered_bytes : most_bytes;
    }
  assert_in_range (most_bytes, 1, limit_bytes + 65536);
  for (uint32_t i = 0; i < N_CALLERS; i++)
    close (fds[i]);
  fixture.upstreams[0].handler = handle_good;
  call (&fixture, "POST", "/order/1");
  assert_memory_equal (fixture.received, "HTTP/1.1 200", 12);
  teardown (&fixture);
}

#define N_FLOODED 80

/* An endless answer to a request of a path. */
typedef struct
{
  const char *path;
  MfRole role;
  Flood flood;
} EndlessAnswer;

/* Endless heads and bodies of many upstreams at once are held within the memory of the process, the
 * requests end, and the instance goes on to serve others. Only single ones had been played. */
static void
test_endless_answers_at_once_keep_to_the_memory_limit (void **state)
{
  static const EndlessAnswer answers[] = {
    { "/order/1", MF_ROLE_PLAIN, { "HTTP/1.1 200 OK\r\nX-A: ", JUNK } },
    { "/order/1", MF_ROLE_PLAIN, { "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" } },
    { "/order/1", MF_ROLE_PLAIN, { PLAIN_HEAD "\r\n", JUNK } },
    { "/order/1",
      MF_ROLE_PLAIN,
      { PLAIN_HEAD "Transfer-Encoding: chunked\r\n\r\n", "1\r\nz\r\n" } },
    { "/order/1",
      MF_ROLE_PLAIN,
      { PLAIN_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n" } },
    { "/buy/1", MF_ROLE_PREFILL, { "HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\n\r\n", JUNK } },
    { "/once/1", MF_ROLE_DECODE, { RELAY_FIXTURE_STREAM_HEAD, "c8\r\n" JUNK "\r\n" } },
  };
  static const uint64_t limit_bytes = 512 * 1024;

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (answers); i++)
    {
      RelayFixture fixture;
      int fds[N_FLOODED];
      uint64_t until_us = mf_clock_now_us () + 8 * MF_US_PER_S;
      uint64_t most_bytes = 0;

      flood = &answers[i].flood;
      relay_fixture_setup (&fixture, ev_loop_new (0));
      fixture.jobs.buffers_bytes_max = limit_bytes;
      fixture.jobs.answer_bytes_max = limit_bytes;
      relay_fixture_add_upstream (&fixture, 0, answers[i].role, handle_flood);
      relay_fixture_add_upstream (
          &fixture, 1, answers[i].role == MF_ROLE_PLAIN ? MF_ROLE_PREFILL : MF_ROLE_PLAIN,
          answers[i].role == MF_ROLE_PLAIN ? relay_fixture_prefill : handle_good);
      if (answers[i].role == MF_ROLE_PREFILL)
        relay_fixture_add_upstream (&fixture, 2, MF_ROLE_DECODE, handle_stream);
      for (MfTarget *target = fixture.jobs.targets.first; target != NULL; target = target->next)
        target->info.slots = N_FLOODED;
      for (uint32_t n = 0; n < N_FLOODED; n++)
        fds[n] = call_begin (&fixture, "POST", answers[i].path);
      while (!no_jobs_left (&fixture) && mf_clock_now_us () < until_us)
        {
          loop_spin (fixture.loop, 1);
          most_bytes = mf_buffers_bytes () > most_bytes ? mf_buffers_bytes () : most_bytes;
        }
      assert_int_equal (fixture.jobs.n_jobs, 0);
      assert_in_range (most_bytes, 1, limit_bytes + 131072);
      for (uint32_t n = 0; n < N_FLOODED; n++)
        close (fds[n]);
      loop_spin (fixture.loop, 5);
      if (answers[i].role != MF_ROLE_PLAIN)
        {
          call (&fixture, "POST", "/order/1");
          assert_memory_equal (fixture.received, "HTTP/1.1 200", 12);
        }
      teardown (&fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_endless_answer_ends_a_non_idempotent_request),
    cmocka_unit_test (test_endless_answer_to_an_idempotent_request_is_retried),
    cmocka_unit_test (test_endless_answer_to_a_prefill_is_retried),
    cmocka_unit_test (test_endless_event_ends_the_stream),
    cmocka_unit_test (test_endless_answer_of_a_removed_upstream),
    cmocka_unit_test (test_stream_closed_inside_an_event_is_broken_off),
    cmocka_unit_test (test_garbage_in_a_stream_is_not_passed_on),
    cmocka_unit_test (test_streams_of_a_new_process_are_whole_however_ids_increase),
    cmocka_unit_test (test_stream_that_goes_on_too_late_is_not_passed_on),
    cmocka_unit_test (test_resumed_stream_is_whole_where_ids_vary),
    cmocka_unit_test (test_all_bytes_of_a_complete_stream_are_passed_on),
    cmocka_unit_test (test_caller_gets_no_event_before_the_one_it_names),
    cmocka_unit_test (test_event_that_stalled_is_not_joined_to_the_next_run),
    cmocka_unit_test (test_error_of_the_next_upstream_is_no_part_of_a_stream),
    cmocka_unit_test (test_head_that_breaks_off_is_no_answer),
    cmocka_unit_test (test_stream_closed_after_its_last_event_is_complete),
    cmocka_unit_test (test_refusal_that_is_written_again_refuses_no_other_request),
    cmocka_unit_test (test_stream_that_trickles_is_resumed_elsewhere),
    cmocka_unit_test (test_endless_answer_to_a_release_times_out),
    cmocka_unit_test (test_buffered_answers_keep_to_the_memory_limit),
    cmocka_unit_test (test_endless_answers_at_once_keep_to_the_memory_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
