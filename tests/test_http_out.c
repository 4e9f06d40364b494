#include "libmangofork/http_out.h"

#include "fakes/http.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENTS_MAX 64
#define TURN_S 0.01
#define TURNS_MAX 3000
#define BODY_BYTES 65536

/* What the server does with a request. */
typedef enum
{
  SERVER_ANSWERS,
  SERVER_CLOSES,    /* closes the connection and answers nothing */
  SERVER_TRUNCATES, /* closes in the middle of the answer */
  SERVER_RESETS,    /* resets in the middle of the answer */
  SERVER_REFUSES,
  SERVER_REDIRECTS,
  SERVER_POURS, /* answers with BODY_BYTES */
  SERVER_SILENT,
  SERVER_STREAMS,
} Behaviour;

typedef struct
{
  struct ev_loop *loop;
  FakeHttp *http;
  MfHttpOut *out;
  char address[MF_ADDRESS_BYTES];
  Behaviour behaviour;
  uint32_t n_arrived;
  FakeConn *conn; /* of the stream under way */
  MfEvent events[EVENTS_MAX];
  uint32_t n_events;
  char body[256];
  uint64_t abort_on_tokens; /* a call to abort from within the event */
} Rig;

static void
on_request (FakeConn *conn, const FakeHttpRequest *request, void *data)
{
  static const char half[] = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
  static char much[BODY_BYTES];
  Rig *rig = data;

  rig->n_arrived++;
  switch (rig->behaviour)
    {
    case SERVER_ANSWERS:
      fake_conn_answer (conn, 200, "Content-Type: text/x\r\n", request->path,
                        strlen (request->path));
      break;
    case SERVER_CLOSES:
      fake_conn_close (conn, false);
      break;
    case SERVER_TRUNCATES:
    case SERVER_RESETS:
      fake_conn_send_raw (conn, half, sizeof half - 1);
      fake_conn_close (conn, rig->behaviour == SERVER_RESETS);
      break;
    case SERVER_REFUSES:
      fake_conn_answer (conn, 503, "Mangofork-Ran: no\r\nMangofork-Leaving: yes\r\n", "", 0);
      break;
    case SERVER_REDIRECTS:
      fake_conn_answer (conn, 302, "Location: /elsewhere\r\n", "", 0);
      break;
    case SERVER_POURS:
      fake_conn_answer (conn, 200, "", much, sizeof much);
      break;
    case SERVER_STREAMS:
      fake_conn_begin (conn);
      rig->conn = conn;
      break;
    case SERVER_SILENT:
      break;
    }
}

static void
on_closed (FakeConn *conn, void *data)
{
  Rig *rig = data;

  if (rig->conn == conn)
    rig->conn = NULL;
}

static void
on_event (const MfEvent *event, void *data)
{
  Rig *rig = data;

  assert_true (rig->n_events < EVENTS_MAX);
  rig->events[rig->n_events++] = *event;
  if (event->type == MF_EVENT_CALL_DONE && event->call.data != NULL)
    snprintf (rig->body, sizeof rig->body, "%.*s", (int)event->call.data_bytes, event->call.data);
  if (event->type == MF_EVENT_CALL_TOKENS && rig->abort_on_tokens != 0)
    mf_http_out_abort (rig->out, rig->abort_on_tokens);
}

static int
rig_setup (void **state)
{
  static const FakeHttpCallbacks server_hooks
      = { .on_request = on_request, .on_closed = on_closed };
  const MfHttpOutHooks hooks = {
    .self = { .name = "entry-1", .incarnation = 1 },
    .answer_bytes_max = BODY_BYTES / 2,
    .on_event = on_event,
  };
  Rig *rig = calloc (1, sizeof *rig);
  MfError error = { 0 };

  rig->loop = ev_loop_new (0);
  rig->http = fake_http_new (rig->loop, "127.0.0.1:0", &server_hooks, rig);
  snprintf (rig->address, sizeof rig->address, "127.0.0.1:%u", fake_http_port (rig->http));
  rig->out = mf_http_out_new (rig->loop, &hooks, rig, &error);
  *state = rig;
  return rig->out == NULL;
}

static int
rig_teardown (void **state)
{
  Rig *rig = *state;

  mf_http_out_free (rig->out);
  fake_http_free (rig->http);
  ev_loop_destroy (rig->loop);
  free (rig);
  return 0;
}

static void
on_turn (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
}

static bool
has_event (const Rig *rig, MfEventType type)
{
  for (uint32_t i = 0; i < rig->n_events; i++)
    {
      if (rig->events[i].type == type)
        return true;
    }
  return false;
}

/* Runs the loop until the condition holds; the timer only keeps it turning. */
static void
run_until (Rig *rig, bool (*reached) (const Rig *rig))
{
  ev_timer turn;
  int n_turns = 0;

  ev_timer_init (&turn, on_turn, TURN_S, TURN_S);
  ev_timer_start (rig->loop, &turn);
  while (!reached (rig) && n_turns++ < TURNS_MAX)
    ev_run (rig->loop, EVRUN_ONCE);
  ev_timer_stop (rig->loop, &turn);
  assert_true (reached (rig));
}

static bool
has_ended (const Rig *rig)
{
  return has_event (rig, MF_EVENT_CALL_DONE) || has_event (rig, MF_EVENT_CALL_FAILED);
}

static bool
has_tokens (const Rig *rig)
{
  return has_event (rig, MF_EVENT_CALL_TOKENS);
}

static bool
has_stream (const Rig *rig)
{
  return rig->conn != NULL;
}

static bool
has_no_stream (const Rig *rig)
{
  return rig->conn == NULL;
}

static const MfCallEvent *
last (const Rig *rig)
{
  return &rig->events[rig->n_events - 1].call;
}

static void
start_plain (Rig *rig, uint64_t call_id, const char *method, bool fresh_connection)
{
  MfCallAction call = { .call_id = call_id,
                        .kind = MF_CALL_PLAIN,
                        .address = rig->address,
                        .engine = "plain",
                        .fresh_connection = fresh_connection,
                        .timeout_us = 10 * MF_US_PER_S };
  MfCallMaterial material = { .method = method, .path = "/orders", .name = "r-1" };

  if (strcmp (method, "POST") == 0)
    {
      material.body = "{}";
      material.body_bytes = 2;
    }
  rig->n_events = 0;
  mf_http_out_start (rig->out, &call, &material);
  assert_int_equal (rig->n_events, 0);
}

static void
run_plain (Rig *rig, uint64_t call_id, const char *method, bool fresh_connection)
{
  start_plain (rig, call_id, method, fresh_connection);
  run_until (rig, has_ended);
  assert_int_equal (mf_http_out_count (rig->out), 0);
}

static void
start_stream (Rig *rig)
{
  static const char chunk[] = "data: {\"text\":\"a\"}\n\n";
  MfCallAction call = { .call_id = 9,
                        .kind = MF_CALL_RESUME,
                        .address = rig->address,
                        .engine = "openai",
                        .timeout_us = 10 * MF_US_PER_S };

  rig->behaviour = SERVER_STREAMS;
  mf_http_out_start (rig->out, &call, NULL);
  run_until (rig, has_stream);
  fake_conn_send (rig->conn, chunk, sizeof chunk - 1);
}

static void
test_answer_is_whole (void **state)
{
  Rig *rig = *state;

  run_plain (rig, 1, "GET", false);
  assert_int_equal (rig->events[0].type, MF_EVENT_CALL_SENT);
  assert_int_equal (rig->events[1].type, MF_EVENT_CALL_DONE);
  assert_int_equal (last (rig)->status, 200);
  assert_string_equal (rig->body, "/orders");
}

/* What a fresh connection guards against: libcurl sends a call again by itself when the reused
 * connection it went out on closes before any answer. */
static void
test_read_on_a_closed_reused_connection_is_sent_again (void **state)
{
  Rig *rig = *state;

  run_plain (rig, 1, "GET", false);
  rig->behaviour = SERVER_CLOSES;
  run_plain (rig, 2, "GET", false);
  assert_int_equal (rig->n_arrived, 3);
}

static void
test_order_is_never_sent_again (void **state)
{
  Rig *rig = *state;

  run_plain (rig, 1, "POST", false);
  rig->behaviour = SERVER_CLOSES;
  run_plain (rig, 2, "POST", true);
  assert_int_equal (rig->n_arrived, 2);
  assert_int_equal (rig->events[rig->n_events - 1].type, MF_EVENT_CALL_FAILED);
  assert_true (last (rig)->sent);
  assert_false (last (rig)->connect_failed);
}

static void
test_order_leaves_no_connection_behind (void **state)
{
  Rig *rig = *state;

  run_plain (rig, 1, "POST", true);
  rig->behaviour = SERVER_CLOSES;
  run_plain (rig, 2, "GET", false);
  assert_int_equal (rig->n_arrived, 2);
}

static void
test_refused_connection_ran_nothing (void **state)
{
  Rig *rig = *state;

  fake_http_stop (rig->http);
  run_plain (rig, 1, "POST", true);
  assert_int_equal (rig->n_events, 1);
  assert_false (last (rig)->sent);
  assert_true (last (rig)->connect_failed);
}

static void
test_broken_answers_fail_as_sent (void **state)
{
  Rig *rig = *state;

  rig->behaviour = SERVER_TRUNCATES;
  run_plain (rig, 1, "POST", true);
  assert_int_equal (rig->events[rig->n_events - 1].type, MF_EVENT_CALL_FAILED);
  assert_true (last (rig)->sent);
  rig->behaviour = SERVER_RESETS;
  run_plain (rig, 2, "POST", true);
  assert_int_equal (rig->events[rig->n_events - 1].type, MF_EVENT_CALL_FAILED);
  assert_true (last (rig)->sent);
  assert_int_equal (rig->n_arrived, 2);
}

static void
test_upstreams_refusal_is_told_apart (void **state)
{
  Rig *rig = *state;

  rig->behaviour = SERVER_REFUSES;
  run_plain (rig, 1, "POST", true);
  assert_true (last (rig)->refused);
  assert_true (last (rig)->leaving);
}

static void
test_redirect_is_not_followed (void **state)
{
  Rig *rig = *state;

  rig->behaviour = SERVER_REDIRECTS;
  run_plain (rig, 1, "GET", false);
  assert_int_equal (rig->n_arrived, 1);
  assert_int_equal (last (rig)->status, 302);
}

static void
test_answer_is_bounded (void **state)
{
  Rig *rig = *state;

  rig->behaviour = SERVER_POURS;
  run_plain (rig, 1, "GET", false);
  assert_int_equal (rig->events[rig->n_events - 1].type, MF_EVENT_CALL_FAILED);
  assert_true (last (rig)->too_large);
}

static void
test_silence_times_out (void **state)
{
  Rig *rig = *state;
  MfCallAction call = { .call_id = 1,
                        .kind = MF_CALL_LOAD,
                        .address = rig->address,
                        .engine = "openai",
                        .timeout_us = 50 * MF_US_PER_MS };

  rig->behaviour = SERVER_SILENT;
  mf_http_out_start (rig->out, &call, NULL);
  run_until (rig, has_ended);
  assert_true (last (rig)->timed_out);
  assert_true (last (rig)->sent);
}

static void
test_call_that_cannot_be_built_fails_later (void **state)
{
  Rig *rig = *state;
  MfCallAction call
      = { .call_id = 1, .kind = MF_CALL_DECODE, .address = rig->address, .engine = "openai" };

  mf_http_out_start (rig->out, &call, NULL);
  assert_int_equal (rig->n_events, 0);
  run_until (rig, has_ended);
  assert_false (last (rig)->sent);
}

static void
test_stream_reset_midway_fails (void **state)
{
  Rig *rig = *state;

  start_stream (rig);
  run_until (rig, has_tokens);
  fake_conn_close (rig->conn, true);
  run_until (rig, has_ended);
  assert_int_equal (rig->events[rig->n_events - 1].type, MF_EVENT_CALL_FAILED);
}

static void
test_abort_from_within_an_event_closes_the_connection (void **state)
{
  Rig *rig = *state;

  rig->abort_on_tokens = 9;
  start_stream (rig);
  run_until (rig, has_no_stream);
  assert_int_equal (mf_http_out_count (rig->out), 0);
  assert_false (has_ended (rig));
}

static void
test_held_stream_goes_on_where_it_was (void **state)
{
  static const char rest[] = "data: {\"text\":\"b\"}\n\ndata: [DONE]\n\n";
  Rig *rig = *state;

  start_stream (rig);
  run_until (rig, has_tokens);
  mf_http_out_hold (rig->out, 9, true);
  fake_conn_send (rig->conn, rest, sizeof rest - 1);
  fake_conn_end (rig->conn);
  for (int i = 0; i < 20; i++)
    ev_run (rig->loop, EVRUN_NOWAIT);
  assert_false (has_ended (rig));
  mf_http_out_hold (rig->out, 9, false);
  run_until (rig, has_ended);
  assert_int_equal (last (rig)->status, 200);
  assert_int_equal (rig->events[rig->n_events - 2].call.first_index, 1);
}

int
main (void)
{
#define RIG_TEST(name) cmocka_unit_test_setup_teardown (name, rig_setup, rig_teardown)
  const struct CMUnitTest tests[] = {
    RIG_TEST (test_answer_is_whole),
    RIG_TEST (test_read_on_a_closed_reused_connection_is_sent_again),
    RIG_TEST (test_order_is_never_sent_again),
    RIG_TEST (test_order_leaves_no_connection_behind),
    RIG_TEST (test_refused_connection_ran_nothing),
    RIG_TEST (test_broken_answers_fail_as_sent),
    RIG_TEST (test_upstreams_refusal_is_told_apart),
    RIG_TEST (test_redirect_is_not_followed),
    RIG_TEST (test_answer_is_bounded),
    RIG_TEST (test_silence_times_out),
    RIG_TEST (test_call_that_cannot_be_built_fails_later),
    RIG_TEST (test_stream_reset_midway_fails),
    RIG_TEST (test_abort_from_within_an_event_closes_the_connection),
    RIG_TEST (test_held_stream_goes_on_where_it_was),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
