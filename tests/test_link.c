#include "libmangofork/relay/link.h"

#include "platform/platform.h"

#include "fakes/upstream.h"
#include "loop_pump.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define REQUEST "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: mine\r\nContent-Length: 2\r\n\r\n"
#define RESPONSE(id, body)                                                                         \
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: " id                                                           \
  "\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\n" body

/* An exchange with a fake upstream, and what its callbacks have recorded. */
typedef struct
{
  struct ev_loop *loop;
  FakeUpstream *upstream;
  MfLinkPool pool;
  const char *responses; /* sent by the upstream for each request */
  bool close_after;
  bool reset_after;
  uint32_t n_heads;
  uint32_t status;
  char body[256];
  uint32_t n_ends;
  MfLinkEnd end;
} Exchange;

static void
on_request (FakeUpstreamConn *conn, const char *text, void *data)
{
  Exchange *exchange = data;

  (void)text;
  if (exchange->responses != NULL)
    fake_upstream_conn_send (conn, exchange->responses);
  if (exchange->close_after || exchange->reset_after)
    fake_upstream_conn_close (conn, exchange->reset_after);
}

static void
on_head (void *data, const MfHead *head, uint32_t status)
{
  Exchange *exchange = data;

  (void)head;
  exchange->n_heads++;
  exchange->status = status;
}

static void
on_body (void *data, const char *bytes, size_t n_bytes)
{
  Exchange *exchange = data;
  size_t had_bytes = strlen (exchange->body);

  snprintf (exchange->body + had_bytes, sizeof exchange->body - had_bytes, "%.*s", (int)n_bytes,
            bytes);
}

static void
on_end (void *data, MfLinkEnd end, const char *why)
{
  Exchange *exchange = data;

  (void)why;
  exchange->n_ends++;
  exchange->end = end;
}

static const MfLinkCallbacks callbacks = { .head = on_head, .body = on_body, .end = on_end };

static void
exchange_begin (Exchange *exchange, const char *responses)
{
  *exchange = (Exchange){ .loop = ev_loop_new (0), .responses = responses };
  exchange->upstream = fake_upstream_new (exchange->loop, on_request, exchange);
  exchange->pool = (MfLinkPool){
    .loop = exchange->loop,
    .dialect = &platform_dialect,
    .n_idle_max = 4,
    .connect_timeout_us = 200 * MF_US_PER_MS,
  };
  mf_name_set (exchange->pool.address, sizeof exchange->pool.address,
               fake_upstream_address (exchange->upstream));
}

static void
exchange_end (Exchange *exchange)
{
  mf_link_pool_close (&exchange->pool);
  fake_upstream_free (exchange->upstream);
  ev_loop_destroy (exchange->loop);
}

static bool
has_ended (void *data)
{
  return ((Exchange *)data)->n_ends > 0;
}

static MfLink *
start (Exchange *exchange, const char *echo_id)
{
  exchange->n_heads = 0;
  exchange->n_ends = 0;
  exchange->body[0] = '\0';
  return mf_link_start (&exchange->pool, &(MfLinkRequest){
                                             .callbacks = &callbacks,
                                             .data = exchange,
                                             .head = REQUEST,
                                             .head_bytes = strlen (REQUEST),
                                             .body = "hi",
                                             .body_bytes = 2,
                                             .echo_id = echo_id,
                                         });
}

static void
run (Exchange *exchange, const char *echo_id)
{
  assert_non_null (start (exchange, echo_id));
  assert_int_equal (exchange->n_ends, 0);
  assert_true (loop_pump (exchange->loop, has_ended, exchange));
  assert_int_equal (exchange->n_ends, 1);
}

static void
test_kept_connection_is_used_again (void **state)
{
  Exchange exchange;

  (void)state;
  exchange_begin (&exchange, RESPONSE ("mine", "ok"));
  run (&exchange, "mine");
  assert_int_equal (exchange.end, MF_LINK_COMPLETE);
  assert_string_equal (exchange.body, "ok");
  assert_int_equal (exchange.pool.n_idle, 1);
  exchange.responses = RESPONSE ("next", "ok");
  run (&exchange, "next");
  assert_int_equal (exchange.end, MF_LINK_COMPLETE);
  assert_string_equal (exchange.body, "ok");
  assert_int_equal (fake_upstream_n_conns (exchange.upstream), 1);
  assert_int_equal (fake_upstream_n_requests (exchange.upstream), 2);
  exchange_end (&exchange);
}

/* An earlier refusal that is written once more has the id of the same request, which was sent
 * again.
 */
static void
test_request_that_is_sent_again_takes_another_connection (void **state)
{
  Exchange exchange;

  (void)state;
  exchange_begin (&exchange, RESPONSE ("mine", "no"));
  run (&exchange, "mine");
  exchange.responses = RESPONSE ("next", "ok");
  run (&exchange, "next");
  assert_int_equal (fake_upstream_n_conns (exchange.upstream), 1);
  exchange.responses = RESPONSE ("mine", "ok");
  run (&exchange, "mine");
  assert_int_equal (fake_upstream_n_conns (exchange.upstream), 2);
  assert_int_equal (exchange.pool.n_idle, 2);
  exchange_end (&exchange);
}

/* Without an id, an answer on a connection that was used before may be the copy of an earlier one.
 */
static void
test_answer_without_an_id_on_a_used_connection_is_not_believed (void **state)
{
  static const char refusal[] = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                                "Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";
  Exchange exchange;

  (void)state;
  exchange_begin (&exchange, RESPONSE ("mine", "ok"));
  run (&exchange, "mine");
  exchange.responses = refusal;
  run (&exchange, "next");
  assert_int_equal (exchange.end, MF_LINK_BROKEN);
  assert_int_equal (exchange.n_heads, 0);
  assert_int_equal (exchange.pool.n_idle, 0);
  /* On a new connection there is no earlier one. */
  run (&exchange, "last");
  assert_int_equal (exchange.end, MF_LINK_COMPLETE);
  assert_int_equal (exchange.status, 503);
  exchange_end (&exchange);
}

/* The late response to an earlier request arrives before the right one. */
static void
test_answer_to_another_request_is_passed_over (void **state)
{
  Exchange exchange;

  (void)state;
  exchange_begin (&exchange, RESPONSE ("other", "no") RESPONSE ("mine", "ok"));
  run (&exchange, "mine");
  assert_int_equal (exchange.end, MF_LINK_COMPLETE);
  assert_int_equal (exchange.n_heads, 1);
  assert_string_equal (exchange.body, "ok");
  assert_int_equal (exchange.pool.n_idle, 0);
  exchange_end (&exchange);
}

static void
test_surplus_answer_closes_the_connection (void **state)
{
  Exchange exchange;

  (void)state;
  exchange_begin (&exchange, RESPONSE ("mine", "ok") RESPONSE ("mine", "no"));
  run (&exchange, "mine");
  assert_int_equal (exchange.end, MF_LINK_COMPLETE);
  assert_string_equal (exchange.body, "ok");
  assert_int_equal (exchange.pool.n_idle, 0);
  exchange_end (&exchange);
}

static void
test_bytes_on_an_idle_connection_close_it (void **state)
{
  Exchange exchange;

  (void)state;
  exchange_begin (&exchange, RESPONSE ("mine", "ok"));
  run (&exchange, "mine");
  assert_int_equal (exchange.pool.n_idle, 1);
  fake_upstream_conn_send (fake_upstream_last_conn (exchange.upstream), RESPONSE ("mine", "no"));
  loop_spin (exchange.loop, 20);
  assert_int_equal (exchange.pool.n_idle, 0);
  exchange.responses = RESPONSE ("next", "ok");
  run (&exchange, "next");
  assert_string_equal (exchange.body, "ok");
  assert_int_equal (fake_upstream_n_conns (exchange.upstream), 2);
  exchange_end (&exchange);
}

static void
test_broken_answers (void **state)
{
  static const char *const texts[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
    "HTTP/1.1 200 OK\r\nContent-Le",
    "",
  };
  Exchange exchange;

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (texts); i++)
    {
      exchange_begin (&exchange, texts[i]);
      exchange.close_after = true;
      run (&exchange, "mine");
      assert_int_equal (exchange.end, MF_LINK_BROKEN);
      exchange_end (&exchange);
    }
  exchange_begin (&exchange, "nonsense\r\n\r\n");
  run (&exchange, "mine");
  assert_int_equal (exchange.end, MF_LINK_BROKEN);
  exchange_end (&exchange);
}

/* A response with a status that is no final one of HTTP was waited for until the time-out, or
 * passed on; its end must not depend on that of the connection. */
static void
test_answer_without_a_status_is_broken (void **state)
{
  static const char *const texts[] = {
    "HTTP/1.1 000 Zero\r\nX-Attempt-Id: mine\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 000\r\nX-Attempt-Id: mine\r\n\r\nok",
    "HTTP/1.1 099 Below\r\nX-Attempt-Id: mine\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nmore",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Zero\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 600 Above\r\nX-Attempt-Id: mine\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 999 Above\r\nX-Attempt-Id: mine\r\n\r\nok",
    "HTTP/1.1 1000 Above\r\nX-Attempt-Id: mine\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 20 Short\r\nX-Attempt-Id: mine\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 -01 Sign\r\nX-Attempt-Id: mine\r\nContent-Length: 2\r\n\r\nok",
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (texts); i++)
    {
      Exchange exchange;

      exchange_begin (&exchange, texts[i]);
      run (&exchange, "mine");
      assert_int_equal (exchange.end, MF_LINK_BROKEN);
      assert_int_equal (exchange.n_heads, 0);
      assert_string_equal (exchange.body, "");
      exchange_end (&exchange);
    }
}

/* A response without a length ends when the connection closes; a reset leaves it incomplete. */
static void
test_answer_without_length (void **state)
{
  Exchange exchange;

  (void)state;
  exchange_begin (&exchange, "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\n\r\nwhole");
  exchange.close_after = true;
  run (&exchange, "mine");
  assert_int_equal (exchange.end, MF_LINK_CLOSED);
  assert_string_equal (exchange.body, "whole");
  exchange_end (&exchange);
  exchange_begin (&exchange, "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\n\r\nwhole");
  exchange.reset_after = true;
  run (&exchange, "mine");
  assert_int_equal (exchange.end, MF_LINK_BROKEN);
  exchange_end (&exchange);
}

static void
test_nobody_listens (void **state)
{
  Exchange exchange;

  (void)state;
  exchange_begin (&exchange, NULL);
  mf_name_set (exchange.pool.address, sizeof exchange.pool.address, "127.0.0.1:1");
  run (&exchange, "mine");
  assert_int_equal (exchange.end, MF_LINK_UNREACHED);
  exchange_end (&exchange);
}

static void
test_cancel_closes_the_connection (void **state)
{
  Exchange exchange;
  MfLink *link;

  (void)state;
  exchange_begin (&exchange, NULL);
  link = start (&exchange, "mine");
  loop_spin (exchange.loop, 20);
  assert_int_equal (fake_upstream_n_requests (exchange.upstream), 1);
  assert_true (mf_link_has_sent (link));
  mf_link_cancel (link);
  loop_spin (exchange.loop, 20);
  assert_int_equal (fake_upstream_n_closed (exchange.upstream), 1);
  assert_int_equal (exchange.n_ends, 0);
  assert_int_equal (exchange.pool.n_links, 0);
  exchange_end (&exchange);
}

/* A request without an id, such as the one that releases KV, must not take the late response to
 * another request, which has an id, for its own. */
static void
test_answer_with_an_id_to_a_call_without_one_is_passed_over (void **state)
{
  Exchange exchange;

  (void)state;
  exchange_begin (&exchange,
                  RESPONSE ("late", "no") "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok");
  run (&exchange, NULL);
  assert_int_equal (exchange.end, MF_LINK_COMPLETE);
  assert_int_equal (exchange.status, 202);
  assert_string_equal (exchange.body, "ok");
  exchange_end (&exchange);
}

/* More than the buffers of a connection hold, so that a part of the request stays unsent. */
#define LONG_BODY_BYTES (32 * 1024 * 1024)

typedef struct
{
  const char *response;
  LoopClose close;
  MfLinkEnd end;
} ClosedResponse;

#define UNFRAMED "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\n\r\nwhole"
#define WITH_LENGTH "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nContent-Length: 5\r\n\r\nwhole"
#define IN_CHUNKS                                                                                  \
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"      \
  "0\r\n\r\n"

static const ClosedResponse closed_responses[] = {
  { UNFRAMED, LOOP_CLOSE_ORDERLY, MF_LINK_CLOSED },
  { UNFRAMED, LOOP_CLOSE_RESET, MF_LINK_BROKEN },
  { UNFRAMED, LOOP_CLOSE_ORDERLY_THEN_RESET, MF_LINK_CLOSED },
  { WITH_LENGTH, LOOP_CLOSE_ORDERLY, MF_LINK_COMPLETE },
  { WITH_LENGTH, LOOP_CLOSE_RESET, MF_LINK_COMPLETE },
  { WITH_LENGTH, LOOP_CLOSE_ORDERLY_THEN_RESET, MF_LINK_COMPLETE },
  { IN_CHUNKS, LOOP_CLOSE_ORDERLY, MF_LINK_COMPLETE },
  { IN_CHUNKS, LOOP_CLOSE_RESET, MF_LINK_COMPLETE },
  { IN_CHUNKS, LOOP_CLOSE_ORDERLY_THEN_RESET, MF_LINK_COMPLETE },
  { "HTTP/1.1 200 OK\r\nX-Attempt-Id: mine\r\nContent-Length: 6\r\n\r\nwhole", LOOP_CLOSE_ORDERLY,
    MF_LINK_BROKEN },
};

/* Plays one response. unsent: a part of the request is still to be sent when the connection ends,
 * so that a write sees the reset first. read_before: the response has been read by then. */
static void
closed_response_check (const ClosedResponse *closed, const char *body, bool unsent,
                       bool read_before)
{
  Exchange exchange;
  char address[MF_ADDRESS_BYTES];
  int listener = loop_listen (address, sizeof address);
  bool is_open = true;
  MfLink *link;
  int fd;

  exchange_begin (&exchange, NULL);
  mf_name_set (exchange.pool.address, sizeof exchange.pool.address, address);
  link = mf_link_start (&exchange.pool, &(MfLinkRequest){
                                            .callbacks = &callbacks,
                                            .data = &exchange,
                                            .head = REQUEST,
                                            .head_bytes = strlen (REQUEST),
                                            .body = body,
                                            .body_bytes = unsent ? LONG_BODY_BYTES : 2,
                                            .echo_id = "mine",
                                        });
  assert_non_null (link);
  fd = accept (listener, NULL, NULL);
  assert_true (fd >= 0);
  loop_spin (exchange.loop, 5);
  assert_true (mf_link_has_sent (link));
  assert_true (send (fd, closed->response, strlen (closed->response), MSG_NOSIGNAL) > 0);
  if (read_before)
    loop_spin (exchange.loop, 3);
  if (exchange.n_ends == 0)
    {
      loop_close (fd, closed->close);
      is_open = closed->close == LOOP_CLOSE_ORDERLY;
    }
  assert_true (loop_pump (exchange.loop, has_ended, &exchange));
  assert_int_equal (exchange.end, closed->end);
  assert_string_equal (exchange.body, "whole");
  if (is_open)
    close (fd);
  close (listener);
  exchange_end (&exchange);
}

/* A reset that a write of the request has seen left a response without a length complete: the write
 * takes the error from the socket, and the next read reports an orderly end. */
static void
test_reset_that_a_write_has_seen_is_no_end (void **state)
{
  char *body = calloc (1, LONG_BODY_BYTES);

  (void)state;
  assert_non_null (body);
  for (size_t i = 0; i < MF_ARRAY_LEN (closed_responses); i++)
    {
      closed_response_check (&closed_responses[i], body, true, true);
      closed_response_check (&closed_responses[i], body, true, false);
      closed_response_check (&closed_responses[i], body, false, true);
      closed_response_check (&closed_responses[i], body, false, false);
    }
  free (body);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_kept_connection_is_used_again),
    cmocka_unit_test (test_request_that_is_sent_again_takes_another_connection),
    cmocka_unit_test (test_answer_without_an_id_on_a_used_connection_is_not_believed),
    cmocka_unit_test (test_answer_to_another_request_is_passed_over),
    cmocka_unit_test (test_surplus_answer_closes_the_connection),
    cmocka_unit_test (test_bytes_on_an_idle_connection_close_it),
    cmocka_unit_test (test_broken_answers),
    cmocka_unit_test (test_answer_without_a_status_is_broken),
    cmocka_unit_test (test_answer_without_length),
    cmocka_unit_test (test_reset_that_a_write_has_seen_is_no_end),
    cmocka_unit_test (test_nobody_listens),
    cmocka_unit_test (test_cancel_closes_the_connection),
    cmocka_unit_test (test_answer_with_an_id_to_a_call_without_one_is_passed_over),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
