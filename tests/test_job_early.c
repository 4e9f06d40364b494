#include "libmangofork/relay/job_row.h"

#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "relay_fixture.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/* Upstreams that answer before they have read a long request, with real sockets: each framing of
 * the answer, each end of the connection, by how much of the request has been read. */

/* More than the buffers of a connection hold, so that a part of the request stays unsent. */
#define BODY_BYTES (8 * 1024 * 1024)
#define RECEIVE_BUFFER_BYTES (64 * 1024)
#define HEAD "HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\n" RELAY_FIXTURE_SEAL
#define EVENT "id: 1\ndata: a\n\n"
#define HANDLE "{\"kvHandle\":\"h1\",\"tokens\":10,\"version\":1}"

typedef struct
{
  const char *text;
  bool is_whole;    /* by its framing */
  bool is_unframed; /* it ends with its connection */
} Answer;

static const Answer plain_answers[] = {
  { .text = HEAD "\r\nhalf", .is_unframed = true },
  { .text = HEAD "Content-Length: 4\r\n\r\nhalf", .is_whole = true },
  { .text = HEAD "Content-Length: 9\r\n\r\nhalf" },
  { .text = HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n", .is_whole = true },
  { .text = HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" },
};

static const Answer stream_answers[] = {
  { .text = HEAD "\r\n" EVENT, .is_unframed = true },
  { .text = HEAD "\r\n" EVENT "id: 2\nda" },
  { .text = HEAD "Content-Length: 15\r\n\r\n" EVENT, .is_whole = true },
  { .text = HEAD "Content-Length: 99\r\n\r\n" EVENT },
  { .text = HEAD "Transfer-Encoding: chunked\r\n\r\nf\r\n" EVENT "\r\n0\r\n\r\n",
    .is_whole = true },
  { .text = HEAD "Transfer-Encoding: chunked\r\n\r\nf\r\n" EVENT "\r\n" },
};

static const Answer prefill_answers[] = {
  { .text = HEAD "\r\n" HANDLE, .is_unframed = true },
  { .text = HEAD "Content-Length: 41\r\n\r\n" HANDLE, .is_whole = true },
  { .text = HEAD "Content-Length: 42\r\n\r\n" HANDLE },
};

static const LoopClose ends[]
    = { LOOP_CLOSE_ORDERLY, LOOP_CLOSE_RESET, LOOP_CLOSE_ORDERLY_THEN_RESET };
static const size_t read_bytes[] = { 0, 64 * 1024, 2 * 1024 * 1024 };

typedef struct
{
  RelayFixture relay;
  int listener;
  int upstream;
  int caller;
  bool is_open; /* the connection of the upstream */
} Fixture;

static Fixture fixture;
static char *body;

static void
handle_stream (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD "f\r\n" EVENT "\r\n0\r\n\r\n");
}

static bool
has_connected (void *data)
{
  (void)data;
  return fixture.relay.jobs.first != NULL && fixture.relay.jobs.first->link != NULL
         && mf_link_has_sent (fixture.relay.jobs.first->link);
}

/* Sends a long request, which is passed on to an upstream that reads a part of it. */
static void
begin (MfRole role, const char *path, size_t n_bytes)
{
  char address[MF_ADDRESS_BYTES];
  char head[256];
  size_t n_sent = 0;
  int buffer_bytes = RECEIVE_BUFFER_BYTES;

  memset (&fixture, 0, sizeof fixture);
  relay_fixture_setup (&fixture.relay, ev_loop_new (0));
  mf_listener_set_limits (fixture.relay.listener, &(MfListenerLimits){
                                                      .header_bytes_max = 16384,
                                                      .header_timeout_us = 5 * MF_US_PER_S,
                                                      .idle_timeout_us = 5 * MF_US_PER_S,
                                                      .callers_max = 100,
                                                  });
  fixture.listener = loop_listen (address, sizeof address);
  setsockopt (fixture.listener, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  relay_fixture_list_upstream (&fixture.relay, "early", role, address);
  if (role == MF_ROLE_PREFILL)
    relay_fixture_add_upstream (&fixture.relay, 1, MF_ROLE_DECODE, handle_stream);
  fixture.caller = loop_connect (relay_fixture_port ());
  assert_true (fixture.caller >= 0);
  snprintf (head, sizeof head,
            "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nX-Token-Count: 100,40\r\n"
            "Content-Length: %d\r\n\r\n",
            path, BODY_BYTES);
  loop_send (fixture.caller, head, strlen (head));
  while (n_sent < BODY_BYTES)
    {
      ssize_t n = send (fixture.caller, body + n_sent, BODY_BYTES - n_sent, MSG_NOSIGNAL);

      n_sent += n > 0 ? (size_t)n : 0;
      loop_spin (fixture.relay.loop, 1);
    }
  assert_true (loop_pump (fixture.relay.loop, has_connected, NULL));
  fixture.upstream = accept (fixture.listener, NULL, NULL);
  assert_true (fixture.upstream >= 0);
  fcntl (fixture.upstream, F_SETFL, O_NONBLOCK);
  for (size_t n_read = 0; n_read < n_bytes;)
    {
      char bytes[65536];
      ssize_t n = recv (fixture.upstream, bytes, sizeof bytes, 0);

      n_read += n > 0 ? (size_t)n : 0;
      loop_spin (fixture.relay.loop, 1);
    }
  loop_spin (fixture.relay.loop, 2);
}

/* Answers and ends the connection; read_before: the answer has been read by then. */
static void
answer (const char *text, LoopClose how, bool read_before)
{
  assert_true (send (fixture.upstream, text, strlen (text), MSG_NOSIGNAL) > 0);
  if (read_before)
    loop_spin (fixture.relay.loop, 3);
  loop_close (fixture.upstream, how);
  fixture.is_open = how == LOOP_CLOSE_ORDERLY;
}

static void
end (void)
{
  struct ev_loop *loop = fixture.relay.loop;

  close (fixture.caller);
  if (fixture.is_open)
    close (fixture.upstream);
  close (fixture.listener);
  relay_fixture_teardown (&fixture.relay);
  ev_loop_destroy (loop);
}

static bool
is_whole (const Answer *answered, LoopClose how)
{
  return answered->is_whole || (answered->is_unframed && how != LOOP_CLOSE_RESET);
}

static void
check_plain (const Answer *answered, LoopClose how, size_t n_bytes, bool read_before)
{
  const char *expected = is_whole (answered, how) ? "HTTP/1.1 200" : "HTTP/1.1 502";

  begin (MF_ROLE_PLAIN, "/order/1", n_bytes);
  answer (answered->text, how, read_before);
  loop_receive (fixture.relay.loop, fixture.caller, is_whole (answered, how) ? "half" : "}\n",
                fixture.relay.received, sizeof fixture.relay.received);
  if (strncmp (fixture.relay.received, expected, strlen (expected)) != 0)
    fail_msg ("%s, end %d after %zu bytes: %s", answered->text, (int)how, n_bytes,
              fixture.relay.received);
  end ();
}

static void
check_stream (const Answer *answered, LoopClose how, size_t n_bytes, bool read_before)
{
  bool is_complete;
  bool has_event;

  begin (MF_ROLE_DECODE, "/once/1", n_bytes);
  answer (answered->text, how, read_before);
  loop_receive (fixture.relay.loop, fixture.caller, "\r\n0\r\n\r\n", fixture.relay.received,
                sizeof fixture.relay.received);
  is_complete = strstr (fixture.relay.received, "\r\n0\r\n\r\n") != NULL;
  has_event = strstr (fixture.relay.received, EVENT) != NULL;
  if (is_complete != is_whole (answered, how) || !has_event
      || strncmp (fixture.relay.received, "HTTP/1.1 200", 12) != 0)
    fail_msg ("%s, end %d after %zu bytes: %s", answered->text, (int)how, n_bytes,
              fixture.relay.received);
  end ();
}

/* The stream itself is served in any case, by an engine that prefills its prompt if no other has.
 */
static void
check_prefill (const Answer *answered, LoopClose how, size_t n_bytes, bool read_before)
{
  begin (MF_ROLE_PREFILL, "/once/1", n_bytes);
  answer (answered->text, how, read_before);
  loop_spin (fixture.relay.loop, 30);
  if (fixture.relay.jobs.counters.counts[MF_RELAY_COUNT_PREFILLS] != is_whole (answered, how))
    fail_msg ("%s, end %d after %zu bytes: %llu prefills", answered->text, (int)how, n_bytes,
              (unsigned long long)fixture.relay.jobs.counters.counts[MF_RELAY_COUNT_PREFILLS]);
  end ();
}

static void
check_all (const Answer *answers, size_t n_answers,
           void (*check) (const Answer *answered, LoopClose how, size_t n_bytes, bool read_before))
{
  body = calloc (1, BODY_BYTES);
  assert_non_null (body);
  for (size_t i = 0; i < n_answers; i++)
    {
      for (size_t j = 0; j < MF_ARRAY_LEN (ends); j++)
        {
          for (size_t k = 0; k < MF_ARRAY_LEN (read_bytes); k++)
            {
              check (&answers[i], ends[j], read_bytes[k], false);
              check (&answers[i], ends[j], read_bytes[k], true);
            }
        }
    }
  free (body);
}

/* Guards against the part of an answer that is reset during the upload, passed on as a whole one.
 */
static void
test_early_answer_of_a_plain_upstream (void **state)
{
  (void)state;
  check_all (plain_answers, MF_ARRAY_LEN (plain_answers), check_plain);
}

static void
test_early_stream_of_an_engine (void **state)
{
  (void)state;
  check_all (stream_answers, MF_ARRAY_LEN (stream_answers), check_stream);
}

static void
test_early_answer_to_a_prefill (void **state)
{
  (void)state;
  check_all (prefill_answers, MF_ARRAY_LEN (prefill_answers), check_prefill);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_early_answer_of_a_plain_upstream),
    cmocka_unit_test (test_early_stream_of_an_engine),
    cmocka_unit_test (test_early_answer_to_a_prefill),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
