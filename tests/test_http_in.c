#include "libmangofork/http_in.h"

#include "loop_pump.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define HEAD "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
#define BODY_STREAM "{\"model\":\"m\",\"prompt\":\"hello\",\"stream\":true,\"max_tokens\":2}"
#define BODY_NO_STREAM "{\"model\":\"m\",\"prompt\":\"hello\"}"

/* Stands in for the core and records the events it receives. */
typedef struct
{
  struct ev_loop *loop;
  MfHttpIn *in;
  uint32_t n_requests;
  uint32_t n_departed;
  uint64_t last_request;
  uint64_t last_departed;
  MfCode last_refused;
  uint32_t n_refused;
  uint32_t n_paused;
  uint32_t n_resumed;
  bool refuse_at_once;
} Fixture;

static void
on_event (const MfEvent *event, void *data)
{
  Fixture *fixture = data;
  const MfAction refusal = { .type = MF_ACTION_ANSWER_REFUSE,
                             .answer = { .request_id = event->request.request_id,
                                         .code = MF_CODE_QUEUE_FULL,
                                         .retry_after_ms = 1500 } };

  if (event->type == MF_EVENT_DEPARTED)
    {
      fixture->n_departed++;
      fixture->last_departed = event->departed_id;
      return;
    }
  assert_int_equal (event->type, MF_EVENT_REQUEST);
  fixture->n_requests++;
  fixture->last_request = event->request.request_id;
  if (fixture->refuse_at_once)
    mf_http_in_answer (fixture->in, &refusal);
}

static void
on_pause_reading (uint64_t call_id, bool paused, void *data)
{
  Fixture *fixture = data;

  assert_int_equal (call_id, 77);
  if (paused)
    fixture->n_paused++;
  else
    fixture->n_resumed++;
}

static const MfConfig *
on_config (void *data)
{
  (void)data;
  return NULL;
}

static void
on_refused (MfCode code, void *data)
{
  Fixture *fixture = data;

  fixture->last_refused = code;
  fixture->n_refused++;
}

static int
setup (void **state)
{
  Fixture *fixture = calloc (1, sizeof *fixture);
  const MfHttpInOptions options = {
    .listen = "127.0.0.1:0",
    .header_bytes_max = 2048,
    .body_bytes_max = 4096,
    .connections_max = 64,
    .slow_sender_us = 100000,
    .caller_buffer_bytes = 1024,
  };
  const MfHttpInHooks hooks = { .on_event = on_event,
                                .on_pause_reading = on_pause_reading,
                                .on_config = on_config,
                                .on_refused = on_refused };
  MfError error = { 0 };

  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->in = mf_http_in_new (fixture->loop, &options, &hooks, fixture, &error);
  assert_non_null (fixture->in);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  Fixture *fixture = *state;

  mf_http_in_free (fixture->in);
  ev_loop_destroy (fixture->loop);
  free (fixture);
  return 0;
}

static bool
has_request (void *data)
{
  return ((Fixture *)data)->n_requests > 0;
}

static bool
has_departed (void *data)
{
  return ((Fixture *)data)->n_departed > 0;
}

static bool
has_paused (void *data)
{
  return ((Fixture *)data)->n_paused > 0;
}

static bool
has_resumed (void *data)
{
  return ((Fixture *)data)->n_resumed > 0;
}

static bool
is_empty (void *data)
{
  return mf_http_in_count (((Fixture *)data)->in) == 0;
}

/* Connects and sends a request line, headers, Content-Length and body. */
static int
request_send (Fixture *fixture, const char *head, const char *body)
{
  int fd = loop_connect (mf_http_in_port (fixture->in));
  char text[8192];
  int n
      = snprintf (text, sizeof text, "%sContent-Length: %zu\r\n\r\n%s", head, strlen (body), body);

  assert_true (fd >= 0);
  loop_send (fd, text, (size_t)n);
  return fd;
}

static void
answer (Fixture *fixture, MfActionType type, const char *text, uint32_t n_tokens)
{
  const MfAction action = { .type = type,
                            .answer = { .request_id = fixture->last_request,
                                        .data = text,
                                        .data_bytes = strlen (text),
                                        .n_tokens = n_tokens,
                                        .status = 200,
                                        .code = MF_CODE_UPSTREAM_DIED,
                                        .outcome = MF_OUTCOME_RAN,
                                        .content_type = "text/plain",
                                        .replayed = true } };

  mf_http_in_answer (fixture->in, &action);
}

static void
test_stream_is_complete_and_in_order (void **state)
{
  Fixture *fixture = *state;
  char received[8192];
  int fd = request_send (fixture, HEAD, BODY_STREAM);

  assert_true (loop_pump (fixture->loop, has_request, fixture));
  answer (fixture, MF_ACTION_ANSWER_TOKENS, "a\\n", 1);
  loop_receive (fixture->loop, fd, "a\\n", received, sizeof received);
  assert_non_null (strstr (received, "HTTP/1.1 200"));
  assert_non_null (strstr (received, "text/event-stream"));
  answer (fixture, MF_ACTION_ANSWER_TOKENS, "b", 1);
  answer (fixture, MF_ACTION_ANSWER_END, "", 0);
  loop_receive (fixture->loop, fd, "\r\n0\r\n\r\n", received, sizeof received);
  assert_non_null (strstr (received, "\"text\":\"b\""));
  assert_non_null (strstr (received, "\"finish_reason\":\"length\""));
  assert_non_null (strstr (received, "\"completion_tokens\":2"));
  assert_non_null (strstr (received, "data: [DONE]"));
  assert_true (loop_pump (fixture->loop, is_empty, fixture));
  assert_int_equal (fixture->n_departed, 0);
  close (fd);
}

static void
test_full_answer_then_plain_answer_on_one_connection (void **state)
{
  Fixture *fixture = *state;
  char received[8192];
  int fd = request_send (fixture, HEAD "X-Request-Id: first\r\n", BODY_NO_STREAM);

  assert_true (loop_pump (fixture->loop, has_request, fixture));
  answer (fixture, MF_ACTION_ANSWER_TOKENS, "a", 1);
  answer (fixture, MF_ACTION_ANSWER_TOKENS, "b", 1);
  answer (fixture, MF_ACTION_ANSWER_END, "", 0);
  loop_receive (fixture->loop, fd, "}}", received, sizeof received);
  assert_non_null (strstr (received, "\"text\":\"ab\""));
  assert_non_null (strstr (received, "X-Request-Id: first"));
  fixture->n_requests = 0;
  loop_send (fd, "GET /stock/3?x=1 HTTP/1.1\r\nHost: x\r\n\r\n", 39);
  assert_true (loop_pump (fixture->loop, has_request, fixture));
  answer (fixture, MF_ACTION_ANSWER_PLAIN, "seven", 0);
  loop_receive (fixture->loop, fd, "seven", received, sizeof received);
  assert_non_null (strstr (received, "Mangofork-Replayed: yes"));
  assert_non_null (strstr (received, "text/plain"));
  close (fd);
}

static void
test_call_input_is_kept_for_a_resume (void **state)
{
  Fixture *fixture = *state;
  MfCallInput input = { 0 };
  int fd
      = request_send (fixture, "POST /v1/completions?q=%41 HTTP/1.1\r\nHost: x\r\n", BODY_STREAM);

  assert_true (loop_pump (fixture->loop, has_request, fixture));
  answer (fixture, MF_ACTION_ANSWER_TOKENS, "a", 1);
  answer (fixture, MF_ACTION_ANSWER_TOKENS, "b", 1);
  assert_true (mf_http_in_call_input (fixture->in, fixture->last_request, &input));
  assert_memory_equal (input.delivered, "ab", input.delivered_bytes);
  assert_memory_equal (input.body, BODY_STREAM, input.body_bytes);
  assert_string_equal (input.path, "/v1/completions?q=%41");
  answer (fixture, MF_ACTION_ANSWER_END, "", 0);
  assert_false (mf_http_in_call_input (fixture->in, fixture->last_request, &input));
  close (fd);
}

static void
test_refusal_within_the_event (void **state)
{
  Fixture *fixture = *state;
  char received[8192];
  int fd;

  fixture->refuse_at_once = true;
  fd = request_send (fixture, HEAD, BODY_STREAM);
  loop_receive (fixture->loop, fd, "}", received, sizeof received);
  assert_non_null (strstr (received, "HTTP/1.1 503"));
  assert_non_null (strstr (received, "Mangofork-Outcome: not-run"));
  assert_non_null (strstr (received, "Mangofork-Code: 2001"));
  assert_non_null (strstr (received, "Retry-After: 2"));
  assert_non_null (strstr (received, "application/problem+json"));
  assert_true (loop_pump (fixture->loop, is_empty, fixture));
  close (fd);
}

static void
test_refusal_after_the_stream_began (void **state)
{
  Fixture *fixture = *state;
  char received[8192];
  int fd = request_send (fixture, HEAD, BODY_STREAM);

  assert_true (loop_pump (fixture->loop, has_request, fixture));
  answer (fixture, MF_ACTION_ANSWER_TOKENS, "a", 1);
  answer (fixture, MF_ACTION_ANSWER_REFUSE, "", 0);
  loop_receive (fixture->loop, fd, NULL, received, sizeof received);
  assert_non_null (strstr (received, "event: error\ndata: {\"type\":\"urn:mangofork:code:3002\""));
  assert_null (strstr (received, "[DONE]"));
  assert_null (strstr (received, "\r\n0\r\n"));
  close (fd);
}

static void
test_caller_who_leaves_while_queued (void **state)
{
  Fixture *fixture = *state;
  int fd = request_send (fixture, HEAD, BODY_STREAM);

  assert_true (loop_pump (fixture->loop, has_request, fixture));
  loop_spin (fixture->loop, 3);
  close (fd);
  assert_true (loop_pump (fixture->loop, has_departed, fixture));
  assert_int_equal (fixture->last_departed, fixture->last_request);
  assert_true (loop_pump (fixture->loop, is_empty, fixture));
  assert_int_equal (fixture->n_departed, 1);
}

static void
test_caller_who_leaves_in_mid_stream (void **state)
{
  Fixture *fixture = *state;
  char received[8192];
  int fd = request_send (fixture, HEAD, BODY_STREAM);

  assert_true (loop_pump (fixture->loop, has_request, fixture));
  answer (fixture, MF_ACTION_ANSWER_TOKENS, "a", 1);
  loop_receive (fixture->loop, fd, "\"a\"", received, sizeof received);
  close (fd);
  assert_true (loop_pump (fixture->loop, has_departed, fixture));
  answer (fixture, MF_ACTION_ANSWER_TOKENS, "b", 1);
  assert_true (loop_pump (fixture->loop, is_empty, fixture));
  assert_int_equal (fixture->n_departed, 1);
}

static void
test_slow_caller_holds_only_its_own_call (void **state)
{
  Fixture *fixture = *state;
  static char text[200000];
  int fd = request_send (fixture, HEAD, BODY_STREAM);

  memset (text, 'x', sizeof text - 1);
  assert_true (loop_pump (fixture->loop, has_request, fixture));
  mf_http_in_set_call (fixture->in, fixture->last_request, 77);
  for (int i = 0; i < 100 && fixture->n_paused == 0; i++)
    {
      answer (fixture, MF_ACTION_ANSWER_TOKENS, text, 1);
      loop_spin (fixture->loop, 1);
    }
  assert_true (has_paused (fixture));
  for (int i = 0; i < 4000 && !has_resumed (fixture); i++)
    {
      if (recv (fd, text, sizeof text, MSG_DONTWAIT) <= 0)
        loop_spin (fixture->loop, 1);
    }
  assert_true (has_resumed (fixture));
  close (fd);
  assert_true (loop_pump (fixture->loop, is_empty, fixture));
}

/* A malformed request and the code and status of its answer. */
typedef struct
{
  const char *text;
  bool half_close;
  MfCode code;
  const char *status;
} Malformed;

static const Malformed malformed[] = {
  { HEAD "Content-Length: 3\r\n\r\n{\"a", false, MF_CODE_BAD_JSON, "400" },
  { HEAD "Content-Length: 4\r\n\r\nnull", false, MF_CODE_BAD_FIELD, "400" },
  { HEAD "Content-Length: 0\r\n\r\n", false, MF_CODE_BAD_JSON, "400" },
  { HEAD "Content-Length: 13\r\n\r\n{\"prompt\":1} ", false, MF_CODE_BAD_FIELD, "400" },
  { HEAD "Content-Length: 29\r\n\r\n{\"model\":\"m\",\"prompt\":\"\xff\xfe..\"}", false,
    MF_CODE_BAD_ENCODING, "400" },
  { HEAD "Content-Length: 100\r\n\r\n{\"model\":", true, MF_CODE_BODY_TRUNCATED, "400" },
  { HEAD "Content-Length: 5000\r\n\r\n", false, MF_CODE_BODY_TOO_LARGE, "413" },
  { HEAD "Content-Length: 3\r\nContent-Length: 4\r\n\r\n{\"a", false, MF_CODE_BAD_LENGTH, "400" },
  { HEAD "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false,
    MF_CODE_BAD_LENGTH, "400" },
  { HEAD "Content-Length: 30\r\n\r\n{", false, MF_CODE_SLOW_SENDER, "408" },
  { "GET /v1/completions HTTP/1.1\r\nHost: x\r\n\r\n", false, MF_CODE_BAD_METHOD, "405" },
  { "GET /stock/../orders HTTP/1.1\r\nHost: x\r\n\r\n", false, MF_CODE_BAD_FIELD, "400" },
  { "GET /stock HTTP/1.1\r\nHost: x\r\nMangofork-Deadline-Ms: soon\r\n\r\n", false,
    MF_CODE_BAD_HEADER, "400" },
  { "GET /stock HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", false,
    MF_CODE_KEY_BAD, "400" },
  { HEAD "Content-Length : 3\r\n\r\n{\"a", false, MF_CODE_BAD_HEADER, "400" },
  { HEAD "X Y: 3\r\n\r\n", false, MF_CODE_BAD_HEADER, "400" },
  { "GET /stock HTTP/1.1\r\n\r\n", false, MF_CODE_BAD_HEADER, "400" },
  { "GET /stock HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", false, MF_CODE_BAD_HEADER, "400" },
};

static void
test_malformed_requests_reach_no_core (void **state)
{
  Fixture *fixture = *state;

  for (size_t i = 0; i < MF_ARRAY_LEN (malformed); i++)
    {
      const Malformed *bad = &malformed[i];
      int fd = loop_connect (mf_http_in_port (fixture->in));
      char received[4096];
      char expected[64];

      loop_send (fd, bad->text, strlen (bad->text));
      if (bad->half_close)
        shutdown (fd, SHUT_WR);
      loop_receive (fixture->loop, fd, "\"}", received, sizeof received);
      snprintf (expected, sizeof expected, "HTTP/1.1 %s ", bad->status);
      if (strstr (received, expected) == NULL)
        print_message ("malformed request %zu: got %s\n", i, received);
      assert_non_null (strstr (received, expected));
      snprintf (expected, sizeof expected, "Mangofork-Code: %d\r\n", (int)bad->code);
      assert_non_null (strstr (received, expected));
      assert_non_null (strstr (received, "Mangofork-Outcome: not-run"));
      assert_int_equal (fixture->last_refused, bad->code);
      close (fd);
    }
  assert_true (loop_pump (fixture->loop, is_empty, fixture));
  assert_int_equal (fixture->n_requests, 0);
  assert_int_equal (fixture->n_refused, MF_ARRAY_LEN (malformed));
}

/* Request smuggling: when the length header is invalid, the bytes after the headers must not be
 * parsed as another request. The connection is closed after the refusal. */
static void
test_nothing_is_smuggled_behind_an_unsound_header (void **state)
{
  static const char text[] = HEAD "Content-Length : 38\r\n\r\n"
                                  "GET /stock HTTP/1.1\r\nHost: x\r\n\r\n";
  Fixture *fixture = *state;
  char received[4096];
  int fd = loop_connect (mf_http_in_port (fixture->in));

  loop_send (fd, text, strlen (text));
  loop_receive (fixture->loop, fd, NULL, received, sizeof received);
  assert_non_null (strstr (received, "HTTP/1.1 400"));
  assert_null (strstr (received + 9, "HTTP/1.1"));
  close (fd);
  assert_true (loop_pump (fixture->loop, is_empty, fixture));
  assert_int_equal (fixture->n_requests, 0);
}

/* A chunked body has no Content-Length, so its size is limited while it arrives. */
static void
test_chunked_bodies_are_bounded (void **state)
{
  Fixture *fixture = *state;
  char chunk[1100];
  char received[4096];
  int fd = loop_connect (mf_http_in_port (fixture->in));
  int n = snprintf (chunk, sizeof chunk, "400\r\n%01024d\r\n", 0);

  loop_send (fd, HEAD "Transfer-Encoding: chunked\r\n\r\n", strlen (HEAD) + 30);
  for (int i = 0; i < 8; i++)
    loop_send (fd, chunk, (size_t)n);
  loop_send (fd, "0\r\n\r\n", 5);
  loop_receive (fixture->loop, fd, "\"}", received, sizeof received);
  assert_non_null (strstr (received, "HTTP/1.1 413"));
  assert_non_null (strstr (received, "Mangofork-Code: 1004"));
  close (fd);
  assert_true (loop_pump (fixture->loop, is_empty, fixture));
  assert_int_equal (fixture->n_requests, 0);
}

static void
test_large_headers_are_refused (void **state)
{
  Fixture *fixture = *state;
  char text[4096];
  char received[4096];
  int fd = loop_connect (mf_http_in_port (fixture->in));
  int n = snprintf (text, sizeof text, "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: %02500d\r\n\r\n", 0);

  loop_send (fd, text, (size_t)n);
  loop_receive (fixture->loop, fd, "\"}", received, sizeof received);
  assert_non_null (strstr (received, "HTTP/1.1 431"));
  assert_non_null (strstr (received, "Mangofork-Code: 1006"));
  close (fd);
  assert_true (loop_pump (fixture->loop, is_empty, fixture));
  assert_int_equal (fixture->n_requests, 0);
}

/* Faults found by libmicrohttpd itself get its own 4xx answer without a code, or none for an
 * invalid request line, and do not reach the core. */
static void
test_requests_the_library_refuses (void **state)
{
  static const char *const texts[] = {
    "nonsense\r\n\r\n",
    HEAD "Content-Length: -1\r\n\r\n",
    HEAD "Content-Length: 3 4\r\n\r\n{\"a",
    HEAD "Content-Length: 99999999999999999999999\r\n\r\n",
  };
  Fixture *fixture = *state;

  for (size_t i = 0; i < MF_ARRAY_LEN (texts); i++)
    {
      char received[4096];
      int fd = loop_connect (mf_http_in_port (fixture->in));

      loop_send (fd, texts[i], strlen (texts[i]));
      loop_receive (fixture->loop, fd, NULL, received, sizeof received);
      assert_true (received[0] == '\0' || strncmp (received, "HTTP/1.1 4", 10) == 0);
      close (fd);
    }
  assert_true (loop_pump (fixture->loop, is_empty, fixture));
  assert_int_equal (fixture->n_requests, 0);
}

static void
test_free_with_requests_in_every_state (void **state)
{
  Fixture *fixture = *state;
  int queued = request_send (fixture, HEAD, BODY_STREAM);
  int incomplete = loop_connect (mf_http_in_port (fixture->in));
  int streaming;

  assert_true (loop_pump (fixture->loop, has_request, fixture));
  streaming = request_send (fixture, HEAD, BODY_STREAM);
  loop_send (incomplete, HEAD "Content-Length: 9\r\n\r\n{", strlen (HEAD) + 22);
  fixture->n_requests = 0;
  assert_true (loop_pump (fixture->loop, has_request, fixture));
  answer (fixture, MF_ACTION_ANSWER_TOKENS, "a", 1);
  loop_spin (fixture->loop, 5);
  teardown (state);
  setup (state);
  close (queued);
  close (incomplete);
  close (streaming);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_stream_is_complete_and_in_order, setup, teardown),
    cmocka_unit_test_setup_teardown (test_full_answer_then_plain_answer_on_one_connection, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (test_call_input_is_kept_for_a_resume, setup, teardown),
    cmocka_unit_test_setup_teardown (test_refusal_within_the_event, setup, teardown),
    cmocka_unit_test_setup_teardown (test_refusal_after_the_stream_began, setup, teardown),
    cmocka_unit_test_setup_teardown (test_caller_who_leaves_while_queued, setup, teardown),
    cmocka_unit_test_setup_teardown (test_caller_who_leaves_in_mid_stream, setup, teardown),
    cmocka_unit_test_setup_teardown (test_slow_caller_holds_only_its_own_call, setup, teardown),
    cmocka_unit_test_setup_teardown (test_malformed_requests_reach_no_core, setup, teardown),
    cmocka_unit_test_setup_teardown (test_nothing_is_smuggled_behind_an_unsound_header, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (test_chunked_bodies_are_bounded, setup, teardown),
    cmocka_unit_test_setup_teardown (test_large_headers_are_refused, setup, teardown),
    cmocka_unit_test_setup_teardown (test_requests_the_library_refuses, setup, teardown),
    cmocka_unit_test_setup_teardown (test_free_with_requests_in_every_state, setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
