#include "libmangofork/relay/caller.h"

#include "platform/platform.h"

#include "loop_pump.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define PORT 21731
#define ADDRESS "127.0.0.1:21731"

/* A door, and what it has told its user. */
typedef struct
{
  struct ev_loop *loop;
  MfDoor *door;
  bool answers;      /* each request at once, with its own body */
  MfCaller *waiting; /* the last request that was not answered */
  uint32_t n_requests;
  uint32_t n_departed;
  uint32_t n_refused;
  MfCode refused;
  char got[4096];
} House;

static void
on_request (void *data, MfCaller *caller)
{
  House *house = data;
  const MfBuffer *body = mf_caller_body (caller);
  char copy[256];
  int n_bytes
      = snprintf (copy, sizeof copy, "[%.*s]", (int)mf_buffer_bytes (body), mf_buffer_data (body));

  house->n_requests++;
  house->waiting = caller;
  if (house->answers)
    mf_caller_reply (caller, 200, NULL, copy, (size_t)n_bytes);
}

static void
on_departed (void *data, MfCaller *caller)
{
  House *house = data;

  (void)caller;
  house->n_departed++;
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
  House *house = data;

  house->n_refused++;
  house->refused = code;
}

static const MfDoorUser user = {
  .request = on_request,
  .departed = on_departed,
  .writable = on_writable,
  .refused = on_refused,
};

static void
house_begin (House *house, bool answers)
{
  MfError error = { 0 };

  *house = (House){ .loop = ev_loop_new (0), .answers = answers };
  house->door = mf_door_new (house->loop, ADDRESS, &platform_dialect, &user, house, &error);
  assert_non_null (house->door);
  mf_door_limit (house->door, &(MfDoorLimits){
                                  .header_bytes_max = 1024,
                                  .body_bytes_max = 64,
                                  .header_timeout_us = 60 * MF_US_PER_MS,
                                  .idle_timeout_us = 200 * MF_US_PER_MS,
                                  .callers_max = 3,
                              });
}

static void
house_end (House *house)
{
  mf_door_free (house->door);
  ev_loop_destroy (house->loop);
}

/* Sends a text on a new connection and reads until it closes or the needle has come. */
static int
say (House *house, const char *text, const char *needle)
{
  int fd = loop_connect (PORT);

  assert_true (fd >= 0);
  loop_send (fd, text, strlen (text));
  loop_receive (house->loop, fd, needle, house->got, sizeof house->got);
  return fd;
}

static void
test_requests_one_after_the_other (void **state)
{
  House house;
  int fd;

  (void)state;
  house_begin (&house, true);
  fd = say (&house,
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\noneGET /b HTTP/1.1\r\n"
            "Host: h\r\n\r\nPOST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            "5\r\nthree\r\n0\r\n\r\n",
            "[three]");
  assert_int_equal (house.n_requests, 3);
  assert_non_null (strstr (house.got, "[one]"));
  assert_non_null (strstr (house.got, "[]"));
  assert_non_null (strstr (house.got, "[three]"));
  close (fd);
  loop_spin (house.loop, 10);
  assert_int_equal (house.n_departed, 0);
  house_end (&house);
}

/* What hides a second request in the first gets 400, and nothing after it is read. */
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
      House house;
      int fd;

      house_begin (&house, true);
      fd = say (&house, texts[i], NULL);
      assert_int_equal (house.n_requests, 0);
      assert_int_equal (house.n_refused, 1);
      assert_memory_equal (house.got, "HTTP/1.1 400 ", 13);
      assert_non_null (strstr (house.got, "Connection: close"));
      close (fd);
      house_end (&house);
    }
}

static void
test_limits (void **state)
{
  House house;
  char text[2048];
  int fd;

  (void)state;
  house_begin (&house, true);
  fd = say (&house, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", NULL);
  assert_memory_equal (house.got, "HTTP/1.1 413 ", 13);
  close (fd);
  snprintf (text, sizeof text, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: %01200d\r\n\r\n", 0);
  fd = say (&house, text, NULL);
  assert_memory_equal (house.got, "HTTP/1.1 431 ", 13);
  close (fd);
  fd = say (&house, "GET / HTTP/1.1\r\nHos", NULL);
  assert_memory_equal (house.got, "HTTP/1.1 408 ", 13);
  close (fd);
  assert_int_equal (house.n_requests, 0);
  house_end (&house);
}

static void
test_idle_connections_close_in_time (void **state)
{
  House house;
  int fd;

  (void)state;
  house_begin (&house, true);
  fd = say (&house, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "[]");
  assert_int_equal (mf_door_n_callers (house.door), 1);
  loop_receive (house.loop, fd, NULL, house.got, sizeof house.got);
  assert_string_equal (house.got, "");
  assert_int_equal (mf_door_n_callers (house.door), 0);
  close (fd);
  house_end (&house);
}

static void
test_no_more_callers_than_allowed (void **state)
{
  House house;
  int fds[4];

  (void)state;
  house_begin (&house, true);
  for (size_t i = 0; i < 4; i++)
    fds[i] = loop_connect (PORT);
  loop_spin (house.loop, 10);
  assert_int_equal (mf_door_n_callers (house.door), 3);
  for (size_t i = 0; i < 4; i++)
    close (fds[i]);
  house_end (&house);
}

static bool
has_departed (void *data)
{
  return ((House *)data)->n_departed == 1;
}

static void
test_caller_who_leaves_while_its_request_waits (void **state)
{
  House house;
  int fd;

  (void)state;
  house_begin (&house, false);
  fd = loop_connect (PORT);
  loop_send (fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27);
  loop_spin (house.loop, 10);
  assert_int_equal (house.n_requests, 1);
  assert_int_equal (house.n_departed, 0);
  close (fd);
  assert_true (loop_pump (house.loop, has_departed, &house));
  assert_int_equal (mf_door_n_callers (house.door), 0);
  house_end (&house);
}

static void
test_stream_that_breaks_does_not_look_whole (void **state)
{
  House house;
  int fd;

  (void)state;
  house_begin (&house, false);
  fd = loop_connect (PORT);
  loop_send (fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27);
  loop_spin (house.loop, 10);
  mf_caller_begin (house.waiting, 200, NULL);
  mf_caller_write (house.waiting, "some", 4);
  mf_caller_abort (house.waiting);
  loop_receive (house.loop, fd, NULL, house.got, sizeof house.got);
  assert_non_null (strstr (house.got, "Transfer-Encoding: chunked"));
  assert_non_null (strstr (house.got, "4\r\nsome\r\n"));
  assert_null (strstr (house.got, "0\r\n\r\n"));
  close (fd);
  house_end (&house);
}

static void
test_stream_that_ends_goes_on_to_the_next_request (void **state)
{
  House house;
  int fd;

  (void)state;
  house_begin (&house, false);
  fd = loop_connect (PORT);
  loop_send (fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n", 56);
  loop_spin (house.loop, 10);
  assert_int_equal (house.n_requests, 1);
  mf_caller_begin (house.waiting, 200, NULL);
  mf_caller_write (house.waiting, "some", 4);
  mf_caller_end (house.waiting);
  assert_int_equal (house.n_requests, 2);
  loop_receive (house.loop, fd, "0\r\n\r\n", house.got, sizeof house.got);
  assert_non_null (strstr (house.got, "4\r\nsome\r\n0\r\n\r\n"));
  close (fd);
  house_end (&house);
}

static void
test_retired_door_closes_after_answers (void **state)
{
  House house;
  int busy;
  int idle;

  (void)state;
  house_begin (&house, true);
  idle = say (&house, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "[]");
  mf_door_retire (house.door);
  busy = say (&house, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", NULL);
  assert_non_null (strstr (house.got, "Connection: close"));
  mf_door_close_idle (house.door);
  loop_receive (house.loop, idle, NULL, house.got, sizeof house.got);
  assert_string_equal (house.got, "");
  close (busy);
  close (idle);
  house_end (&house);
}

static void
test_continue_is_answered (void **state)
{
  House house;
  int fd;

  (void)state;
  house_begin (&house, true);
  fd = say (&house,
            "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
            "100 Continue\r\n\r\n");
  loop_send (fd, "hi", 2);
  loop_receive (house.loop, fd, "[hi]", house.got, sizeof house.got);
  assert_non_null (strstr (house.got, "[hi]"));
  close (fd);
  house_end (&house);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests_one_after_the_other),
    cmocka_unit_test (test_smuggled_requests_are_not_read),
    cmocka_unit_test (test_limits),
    cmocka_unit_test (test_idle_connections_close_in_time),
    cmocka_unit_test (test_no_more_callers_than_allowed),
    cmocka_unit_test (test_caller_who_leaves_while_its_request_waits),
    cmocka_unit_test (test_stream_that_breaks_does_not_look_whole),
    cmocka_unit_test (test_stream_that_ends_goes_on_to_the_next_request),
    cmocka_unit_test (test_retired_door_closes_after_answers),
    cmocka_unit_test (test_continue_is_answered),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
