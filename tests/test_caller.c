#include "libmangofork/relay/caller.h"

#include "platform/platform.h"

#include "fakes/ports.h"
#include "loop_pump.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* Where the listener of the current test listens. */
static uint16_t port;

/* A listener, and what its callbacks have recorded. */
typedef struct
{
  struct ev_loop *loop;
  MfListener *listener;
  bool replies_at_once; /* each request is answered at once with its own body */
  MfCaller *waiting;    /* the caller of the last request */
  uint32_t n_requests;
  uint32_t on_connection; /* number of the last request on its connection */
  uint32_t n_departed;
  uint32_t n_refused;
  MfCode refused_code;
  char received[4096];
} Fixture;

static void
on_request (void *data, MfCaller *caller)
{
  Fixture *fixture = data;
  const MfBuffer *body = mf_caller_body (caller);
  char copy[256];
  int n_bytes
      = snprintf (copy, sizeof copy, "[%.*s]", (int)mf_buffer_bytes (body), mf_buffer_data (body));

  fixture->n_requests++;
  fixture->on_connection = mf_caller_n_requests (caller);
  fixture->waiting = caller;
  if (fixture->replies_at_once)
    mf_caller_reply (caller, 200, NULL, copy, (size_t)n_bytes);
}

static void
on_departed (void *data, MfCaller *caller)
{
  Fixture *fixture = data;

  (void)caller;
  fixture->n_departed++;
}

static void
on_writable (void *data, MfCaller *caller, bool can_write)
{
  (void)data;
  (void)caller;
  (void)can_write;
}

static void
on_refused (void *data, MfCode code)
{
  Fixture *fixture = data;

  fixture->n_refused++;
  fixture->refused_code = code;
}

static const MfListenerCallbacks callbacks = {
  .request = on_request,
  .departed = on_departed,
  .writable = on_writable,
  .refused = on_refused,
};

static void
fixture_begin (Fixture *fixture, bool replies_at_once)
{
  MfError error = { 0 };
  char address[MF_ADDRESS_BYTES];

  *fixture = (Fixture){ .loop = ev_loop_new (0), .replies_at_once = replies_at_once };
  port = fake_ports_reserve ();
  snprintf (address, sizeof address, "127.0.0.1:%u", port);
  fixture->listener
      = mf_listener_new (fixture->loop, address, &platform_dialect, &callbacks, fixture, &error);
  assert_non_null (fixture->listener);
  mf_listener_set_limits (fixture->listener, &(MfListenerLimits){
                                                 .header_bytes_max = 1024,
                                                 .body_bytes_max = 64,
                                                 .header_timeout_us = 60 * MF_US_PER_MS,
                                                 .idle_timeout_us = 200 * MF_US_PER_MS,
                                                 .callers_max = 3,
                                             });
}

static void
fixture_end (Fixture *fixture)
{
  mf_listener_free (fixture->listener);
  ev_loop_destroy (fixture->loop);
}

/* Sends a text on a new connection and reads until the needle arrives or the connection closes. */
static int
send_and_receive (Fixture *fixture, const char *text, const char *needle)
{
  int fd = loop_connect (port);

  assert_true (fd >= 0);
  loop_send (fd, text, strlen (text));
  loop_receive (fixture->loop, fd, needle, fixture->received, sizeof fixture->received);
  return fd;
}

static void
test_requests_one_after_the_other (void **state)
{
  Fixture fixture;
  int fd;

  (void)state;
  fixture_begin (&fixture, true);
  fd = send_and_receive (
      &fixture,
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\noneGET /b HTTP/1.1\r\n"
      "Host: h\r\n\r\nPOST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nthree\r\n0\r\n\r\n",
      "[three]");
  assert_int_equal (fixture.n_requests, 3);
  assert_non_null (strstr (fixture.received, "[one]"));
  assert_non_null (strstr (fixture.received, "[]"));
  assert_non_null (strstr (fixture.received, "[three]"));
  close (fd);
  loop_spin (fixture.loop, 10);
  assert_int_equal (fixture.n_departed, 0);
  fixture_end (&fixture);
}

/* The requests of each connection are numbered from 1. */
static void
test_requests_are_numbered_on_their_connection (void **state)
{
  static const char request[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  Fixture fixture;
  int fds[2];

  (void)state;
  fixture_begin (&fixture, true);
  fds[0] = send_and_receive (&fixture, request, "[]");
  assert_int_equal (fixture.on_connection, 1);
  loop_send (fds[0], request, strlen (request));
  loop_receive (fixture.loop, fds[0], "[]", fixture.received, sizeof fixture.received);
  assert_int_equal (fixture.on_connection, 2);
  fds[1] = send_and_receive (&fixture, request, "[]");
  assert_int_equal (fixture.on_connection, 1);
  assert_int_equal (fixture.n_requests, 3);
  close (fds[0]);
  close (fds[1]);
  fixture_end (&fixture);
}

/* Requests with ambiguous framing could smuggle a second request past the router. They get 400, and
 * nothing after them is parsed. */
static void
test_smuggled_requests_are_not_read (void **state)
{
  static const char *const texts[] = {
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabcGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    "0\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET / HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n\r\nGET /2 HTTP/1.1\r\n"
    "Host: h\r\n\r\n",
    "GET * HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (texts); i++)
    {
      Fixture fixture;
      int fd;

      fixture_begin (&fixture, true);
      fd = send_and_receive (&fixture, texts[i], NULL);
      assert_int_equal (fixture.n_requests, 0);
      assert_int_equal (fixture.n_refused, 1);
      assert_memory_equal (fixture.received, "HTTP/1.1 400 ", 13);
      assert_non_null (strstr (fixture.received, "Connection: close"));
      close (fd);
      fixture_end (&fixture);
    }
}

static void
test_limits (void **state)
{
  Fixture fixture;
  char text[2048];
  int fd;

  (void)state;
  fixture_begin (&fixture, true);
  fd = send_and_receive (&fixture, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n",
                         NULL);
  assert_memory_equal (fixture.received, "HTTP/1.1 413 ", 13);
  close (fd);
  snprintf (text, sizeof text, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: %01200d\r\n\r\n", 0);
  fd = send_and_receive (&fixture, text, NULL);
  assert_memory_equal (fixture.received, "HTTP/1.1 431 ", 13);
  close (fd);
  fd = send_and_receive (&fixture, "GET / HTTP/1.1\r\nHos", NULL);
  assert_memory_equal (fixture.received, "HTTP/1.1 408 ", 13);
  close (fd);
  assert_int_equal (fixture.n_requests, 0);
  fixture_end (&fixture);
}

static void
test_idle_connections_close_in_time (void **state)
{
  Fixture fixture;
  int fd;

  (void)state;
  fixture_begin (&fixture, true);
  fd = send_and_receive (&fixture, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "[]");
  assert_int_equal (mf_listener_n_callers (fixture.listener), 1);
  loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
  assert_string_equal (fixture.received, "");
  assert_int_equal (mf_listener_n_callers (fixture.listener), 0);
  close (fd);
  fixture_end (&fixture);
}

static void
test_no_more_callers_than_allowed (void **state)
{
  Fixture fixture;
  int fds[4];

  (void)state;
  fixture_begin (&fixture, true);
  for (size_t i = 0; i < 4; i++)
    fds[i] = loop_connect (port);
  loop_spin (fixture.loop, 10);
  assert_int_equal (mf_listener_n_callers (fixture.listener), 3);
  for (size_t i = 0; i < 4; i++)
    close (fds[i]);
  fixture_end (&fixture);
}

static bool
has_departed (void *data)
{
  return ((Fixture *)data)->n_departed == 1;
}

static void
test_caller_who_leaves_while_its_request_waits (void **state)
{
  Fixture fixture;
  int fd;

  (void)state;
  fixture_begin (&fixture, false);
  fd = loop_connect (port);
  loop_send (fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27);
  loop_spin (fixture.loop, 10);
  assert_int_equal (fixture.n_requests, 1);
  assert_int_equal (fixture.n_departed, 0);
  close (fd);
  assert_true (loop_pump (fixture.loop, has_departed, &fixture));
  assert_int_equal (mf_listener_n_callers (fixture.listener), 0);
  fixture_end (&fixture);
}

static void
test_aborted_stream_is_not_complete (void **state)
{
  Fixture fixture;
  int fd;

  (void)state;
  fixture_begin (&fixture, false);
  fd = loop_connect (port);
  loop_send (fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27);
  loop_spin (fixture.loop, 10);
  mf_caller_begin (fixture.waiting, 200, NULL);
  mf_caller_write (fixture.waiting, "some", 4);
  mf_caller_abort (fixture.waiting);
  loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
  assert_non_null (strstr (fixture.received, "Transfer-Encoding: chunked"));
  assert_non_null (strstr (fixture.received, "4\r\nsome\r\n"));
  assert_null (strstr (fixture.received, "0\r\n\r\n"));
  close (fd);
  fixture_end (&fixture);
}

/* A second head would be read as a part of the response that has begun. */
static void
test_response_that_has_begun_gets_no_second_head (void **state)
{
  Fixture fixture;
  int fd;

  (void)state;
  fixture_begin (&fixture, false);
  fd = loop_connect (port);
  loop_send (fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27);
  loop_spin (fixture.loop, 10);
  mf_caller_begin (fixture.waiting, 200, NULL);
  mf_caller_write (fixture.waiting, "some", 4);
  mf_caller_begin (fixture.waiting, 500, NULL);
  mf_caller_write (fixture.waiting, "more", 4);
  assert_false (mf_caller_reply (fixture.waiting, 429, NULL, "no", 2));
  loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
  assert_memory_equal (fixture.received, "HTTP/1.1 200", 12);
  assert_null (strstr (fixture.received + 1, "HTTP/1.1"));
  assert_non_null (strstr (fixture.received, "4\r\nsome\r\n4\r\nmore\r\n"));
  assert_null (strstr (fixture.received, "0\r\n\r\n"));
  assert_int_equal (fixture.n_departed, 0);
  close (fd);
  fixture_end (&fixture);
}

/* A request that cannot be read is rejected, also after a streamed response. */
static void
test_bad_request_after_a_stream_is_rejected (void **state)
{
  Fixture fixture;
  int fd;

  (void)state;
  fixture_begin (&fixture, false);
  fd = loop_connect (port);
  loop_send (fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET nowhere HTTP/1.1\r\n\r\n", 52);
  loop_spin (fixture.loop, 10);
  mf_caller_begin (fixture.waiting, 200, NULL);
  mf_caller_end (fixture.waiting);
  loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
  assert_non_null (strstr (fixture.received, "0\r\n\r\nHTTP/1.1 400"));
  close (fd);
  fixture_end (&fixture);
}

static void
test_stream_that_ends_goes_on_to_the_next_request (void **state)
{
  Fixture fixture;
  int fd;

  (void)state;
  fixture_begin (&fixture, false);
  fd = loop_connect (port);
  loop_send (fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n", 56);
  loop_spin (fixture.loop, 10);
  assert_int_equal (fixture.n_requests, 1);
  mf_caller_begin (fixture.waiting, 200, NULL);
  mf_caller_write (fixture.waiting, "some", 4);
  mf_caller_end (fixture.waiting);
  assert_int_equal (fixture.n_requests, 2);
  loop_receive (fixture.loop, fd, "0\r\n\r\n", fixture.received, sizeof fixture.received);
  assert_non_null (strstr (fixture.received, "4\r\nsome\r\n0\r\n\r\n"));
  close (fd);
  fixture_end (&fixture);
}

static void
test_connections_close_after_the_response_once_keep_alive_ended (void **state)
{
  Fixture fixture;
  int busy;
  int idle;

  (void)state;
  fixture_begin (&fixture, true);
  idle = send_and_receive (&fixture, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "[]");
  mf_listener_end_keep_alive (fixture.listener);
  busy = send_and_receive (&fixture, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", NULL);
  assert_non_null (strstr (fixture.received, "Connection: close"));
  mf_listener_close_idle (fixture.listener);
  loop_receive (fixture.loop, idle, NULL, fixture.received, sizeof fixture.received);
  assert_string_equal (fixture.received, "");
  close (busy);
  close (idle);
  fixture_end (&fixture);
}

static const char one_text[] = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none";

/* A request that arrived at the same moment as the close of idle connections was dropped unread. */
static void
test_request_that_has_arrived_is_not_closed_as_idle (void **state)
{
  Fixture fixture;
  int fd;

  (void)state;
  fixture_begin (&fixture, true);
  fd = send_and_receive (&fixture, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "[]");
  loop_send (fd, one_text, sizeof one_text - 1);
  mf_listener_end_keep_alive (fixture.listener);
  mf_listener_close_idle (fixture.listener);
  loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
  assert_non_null (strstr (fixture.received, "[one]"));
  assert_non_null (strstr (fixture.received, "Connection: close"));
  close (fd);
  fixture_end (&fixture);
}

/* Connections that the kernel had accepted, with their requests, were reset when the listener
 * closed. */
static void
test_connections_in_the_accept_queue_are_served (void **state)
{
  Fixture fixture;
  int idle;
  int fd;

  (void)state;
  fixture_begin (&fixture, true);
  idle = loop_connect (port);
  fd = loop_connect (port);
  loop_send (fd, one_text, sizeof one_text - 1);
  mf_listener_end_keep_alive (fixture.listener);
  mf_listener_stop_accepting (fixture.listener);
  mf_listener_close_idle (fixture.listener);
  assert_int_equal (mf_listener_n_callers (fixture.listener), 1);
  loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
  assert_non_null (strstr (fixture.received, "[one]"));
  loop_receive (fixture.loop, idle, NULL, fixture.received, sizeof fixture.received);
  assert_string_equal (fixture.received, "");
  assert_int_equal (loop_connect (port), -1);
  close (idle);
  close (fd);
  fixture_end (&fixture);
}

/* Fills the buffers of a connection whose caller reads nothing yet. */
static void
write_much (MfCaller *caller)
{
  static char bytes[1 << 20];

  memset (bytes, 'x', sizeof bytes);
  for (size_t i = 0; i < 16; i++)
    mf_caller_write (caller, bytes, sizeof bytes);
}

/* Reads all that comes, and returns whether the connection was reset. */
static bool
is_reset_in_the_end (int fd)
{
  static char bytes[1 << 20];
  ssize_t n;

  fcntl (fd, F_SETFL, 0);
  do
    n = recv (fd, bytes, sizeof bytes, 0);
  while (n > 0);
  return n < 0 && errno == ECONNRESET;
}

/* The end of the process closed a connection whose stream had ended and was not written yet. The
 * caller of an answer without chunks took what it had for the whole. */
static void
test_unwritten_rest_does_not_look_complete (void **state)
{
  Fixture fixture;
  int fd;

  (void)state;
  fixture_begin (&fixture, false);
  fd = loop_connect (port);
  loop_send (fd, "GET / HTTP/1.0\r\nHost: h\r\n\r\n", 27);
  loop_spin (fixture.loop, 10);
  mf_caller_begin (fixture.waiting, 200, NULL);
  write_much (fixture.waiting);
  mf_caller_end (fixture.waiting);
  assert_int_equal (mf_listener_n_callers (fixture.listener), 1);
  fixture_end (&fixture);
  assert_true (is_reset_in_the_end (fd));
  close (fd);
}

/* The rest of an answer is written to a slow caller as long as the process runs. */
static void
test_slow_caller_gets_its_whole_answer (void **state)
{
  Fixture fixture;
  size_t n_received = 0;
  int fd;

  (void)state;
  fixture_begin (&fixture, false);
  fd = loop_connect (port);
  loop_send (fd, "GET / HTTP/1.0\r\nHost: h\r\n\r\n", 27);
  loop_spin (fixture.loop, 10);
  mf_listener_end_keep_alive (fixture.listener);
  mf_caller_begin (fixture.waiting, 200, NULL);
  write_much (fixture.waiting);
  mf_caller_end (fixture.waiting);
  loop_spin (fixture.loop, 150);
  mf_listener_stop_accepting (fixture.listener);
  mf_listener_close_idle (fixture.listener);
  for (size_t n = 1; n > 0; n_received += n)
    n = loop_receive (fixture.loop, fd, NULL, fixture.received, sizeof fixture.received);
  assert_true (n_received > 16 << 20);
  close (fd);
  loop_spin (fixture.loop, 5);
  assert_int_equal (mf_listener_n_callers (fixture.listener), 0);
  fixture_end (&fixture);
}

static void
test_continue_is_answered (void **state)
{
  Fixture fixture;
  int fd;

  (void)state;
  fixture_begin (&fixture, true);
  fd = send_and_receive (
      &fixture, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
      "100 Continue\r\n\r\n");
  loop_send (fd, "hi", 2);
  loop_receive (fixture.loop, fd, "[hi]", fixture.received, sizeof fixture.received);
  assert_non_null (strstr (fixture.received, "[hi]"));
  close (fd);
  fixture_end (&fixture);
}

#define LARGE_BYTES 200000

/* Begins a request with a large body, by its length or in chunks; the body is not complete. */
static int
large_body_begin (Fixture *fixture, bool chunked)
{
  static char body[LARGE_BYTES / 2];
  char text[160];
  int fd = loop_connect (port);

  assert_true (fd >= 0);
  snprintf (text, sizeof text, "POST /a HTTP/1.1\r\nHost: h\r\n%s%d\r\n%s",
            chunked ? "Transfer-Encoding: chunked\r\nX-Size: " : "Content-Length: ", LARGE_BYTES,
            chunked ? "\r\nf4240\r\n" : "\r\n");
  loop_send (fd, text, strlen (text));
  for (size_t i = 0; i < 4; i++)
    {
      loop_send (fd, body, sizeof body / 4);
      loop_spin (fixture->loop, 4);
    }
  return fd;
}

/* Large bodies at once took an instance over its memory, which ended all its requests. While the
 * memory is taken further ones are refused, before they have come; small ones are not. */
static void
test_large_bodies_keep_to_the_memory_limit (void **state)
{
  (void)state;
  for (int i = 0; i < 2; i++)
    {
      bool chunked = i == 1;
      Fixture fixture;
      int large_fd;
      int fd;

      fixture_begin (&fixture, true);
      mf_listener_set_limits (fixture.listener, &(MfListenerLimits){
                                                    .header_bytes_max = 1024,
                                                    .body_bytes_max = 4 * LARGE_BYTES,
                                                    .header_timeout_us = 5 * MF_US_PER_S,
                                                    .idle_timeout_us = 5 * MF_US_PER_S,
                                                    .callers_max = 9,
                                                    .buffers_bytes_max = LARGE_BYTES * 3 / 2,
                                                });
      large_fd = large_body_begin (&fixture, false);
      assert_int_equal (fixture.n_refused, 0);
      fd = large_body_begin (&fixture, chunked);
      loop_receive (fixture.loop, fd, "memory", fixture.received, sizeof fixture.received);
      assert_memory_equal (fixture.received, "HTTP/1.1 503", 12);
      assert_non_null (strstr (fixture.received, "Retry-After: "));
      assert_int_equal (fixture.refused_code, MF_CODE_NO_MEMORY);
      assert_true (mf_buffers_bytes () < LARGE_BYTES * 3 / 2 + 65536);
      close (fd);
      fd = send_and_receive (&fixture, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n", "[]");
      assert_int_equal (fixture.n_requests, 1);
      close (fd);
      /* The memory is free again when the first body is gone. */
      close (large_fd);
      loop_spin (fixture.loop, 10);
      fd = large_body_begin (&fixture, false);
      assert_int_equal (fixture.n_refused, 1);
      close (fd);
      loop_spin (fixture.loop, 10);
      fixture_end (&fixture);
    }
  assert_int_equal (mf_buffers_bytes (), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests_one_after_the_other),
    cmocka_unit_test (test_requests_are_numbered_on_their_connection),
    cmocka_unit_test (test_smuggled_requests_are_not_read),
    cmocka_unit_test (test_limits),
    cmocka_unit_test (test_large_bodies_keep_to_the_memory_limit),
    cmocka_unit_test (test_idle_connections_close_in_time),
    cmocka_unit_test (test_no_more_callers_than_allowed),
    cmocka_unit_test (test_caller_who_leaves_while_its_request_waits),
    cmocka_unit_test (test_aborted_stream_is_not_complete),
    cmocka_unit_test (test_response_that_has_begun_gets_no_second_head),
    cmocka_unit_test (test_bad_request_after_a_stream_is_rejected),
    cmocka_unit_test (test_stream_that_ends_goes_on_to_the_next_request),
    cmocka_unit_test (test_connections_close_after_the_response_once_keep_alive_ended),
    cmocka_unit_test (test_request_that_has_arrived_is_not_closed_as_idle),
    cmocka_unit_test (test_connections_in_the_accept_queue_are_served),
    cmocka_unit_test (test_unwritten_rest_does_not_look_complete),
    cmocka_unit_test (test_slow_caller_gets_its_whole_answer),
    cmocka_unit_test (test_continue_is_answered),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
