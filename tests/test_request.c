#include "libmangofork/cancel.h"
#include "libmangofork/request.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

/* Tests the request state machine: every input in every phase. */

static const char text[]
    = "{\"services\":[{\"name\":\"model\",\"kind\":\"model\",\"model\":\"m\",\"class\":\"summary\","
      "\"prefill_pool\":\"p\",\"decode_pool\":\"d\",\"deadline_ms\":60000,\"kv_token_bytes\":1000},"
      "{\"name\":\"orders\",\"kind\":\"plain\",\"path\":\"/orders\",\"class\":\"order\","
      "\"pool\":\"o\",\"get_is_idempotent\":true,\"deadline_ms\":5000}],"
      "\"pools\":[{\"name\":\"p\",\"role\":\"prefill\",\"upstreams\":[{\"name\":\"p1\","
      "\"address\":\"127.0.0.1:1\",\"data_centre\":\"a\",\"slots\":4,\"pieces\":100}]},"
      "{\"name\":\"d\",\"role\":\"decode\",\"upstreams\":[{\"name\":\"d1\","
      "\"address\":\"127.0.0.1:2\",\"data_centre\":\"a\",\"slots\":4,\"pieces\":100}]},"
      "{\"name\":\"o\",\"role\":\"plain\",\"upstreams\":[{\"name\":\"o1\","
      "\"address\":\"127.0.0.1:3\",\"data_centre\":\"a\",\"slots\":4}]}],"
      "\"allow_anonymous\":true,\"idempotency\":{\"voters\":[\"entry-1\",\"entry-2\",\"entry-3\"],"
      "\"voters_per_key\":3,\"key_life_s\":900}}";

typedef struct
{
  MfCore *core;
  uint64_t now_us;
  uint64_t last_call[MF_CALL_COUNT];
  uint32_t n_terminal;
  uint32_t n_tokens;
} Fixture;

static void
on_action (const MfAction *action, void *data)
{
  Fixture *fixture = data;

  if (action->type == MF_ACTION_CALL_START)
    fixture->last_call[action->call.kind] = action->call.call_id;
  else if (action->type >= MF_ACTION_ANSWER_END && action->type <= MF_ACTION_ANSWER_REFUSE)
    fixture->n_terminal++;
  else if (action->type == MF_ACTION_ANSWER_TOKENS)
    fixture->n_tokens += action->answer.n_tokens;
}

static void
step (Fixture *fixture, MfEvent *event)
{
  fixture->now_us += MF_US_PER_MS;
  event->now_us = fixture->now_us;
  event->wall_ms = UINT64_C (1800000000000) + fixture->now_us / MF_US_PER_MS;
  mf_core_step (fixture->core, event);
}

static void
call_step (Fixture *fixture, MfEventType type, MfCallKind kind, MfCallEvent call)
{
  MfEvent event = { .type = type, .call = call };

  event.call.call_id = fixture->last_call[kind];
  step (fixture, &event);
}

static void
fixture_init (Fixture *fixture)
{
  MfOptions options;
  MfError error = { 0 };

  *fixture = (Fixture){ .now_us = MF_US_PER_S };
  mf_core_options (&options);
  mf_name_set (options.self.name, MF_NAME_BYTES, "entry-1");
  options.self.incarnation = 7;
  fixture->core = mf_core_new (&options, fixture->now_us, UINT64_C (1800000000000), on_action,
                               fixture, &error);
  assert_non_null (fixture->core);
  mf_core_set_config (fixture->core, mf_config_parse (text, sizeof text - 1, 1, NULL, NULL));
}

static void
request (Fixture *fixture, bool model, bool keyed)
{
  MfEvent event = { .type = MF_EVENT_REQUEST,
                    .request = { .request_id = 1,
                                 .model = model ? "m" : NULL,
                                 .path = "/orders",
                                 .method = "POST",
                                 .prompt_tokens = 100,
                                 .max_tokens = 50,
                                 .digest = 5,
                                 .has_idempotency_key = keyed } };

  step (fixture, &event);
}

/* Reports the decode engine as full, so that a request waits. */
static void
fill_decode (Fixture *fixture)
{
  MfEvent event = { .type = MF_EVENT_LOAD,
                    .load = { .upstream = 1,
                              .incarnation = 3,
                              .measured_us = fixture->now_us,
                              .slots_total = 4,
                              .slots_used = 4,
                              .pieces_total = 100,
                              .pieces_free = 0,
                              .role = MF_ROLE_DECODE } };

  step (fixture, &event);
}

/* Brings a request into a phase by events alone. */
static void
advance_to (Fixture *fixture, MfPhase phase)
{
  const MfCallEvent kv = { .expires_us = fixture->now_us + MF_US_PER_S, .kv_bytes = 100000 };
  const MfCallEvent token = { .n_tokens = 1, .data = "a", .data_bytes = 1 };

  if (phase == MF_PHASE_QUEUED)
    {
      fill_decode (fixture);
      fixture->core->board.services.pools[1].n_own_requests = 1;
    }
  request (fixture, phase <= MF_PHASE_RESUMING && phase != MF_PHASE_CLAIMING,
           phase == MF_PHASE_CLAIMING);
  if (phase >= MF_PHASE_TRANSFERRING && phase <= MF_PHASE_RESUMING)
    {
      call_step (fixture, MF_EVENT_CALL_SENT, MF_CALL_PREFILL, (MfCallEvent){ 0 });
      call_step (fixture, MF_EVENT_CALL_PREFILLED, MF_CALL_PREFILL, kv);
      call_step (fixture, MF_EVENT_CALL_SENT, MF_CALL_DECODE, (MfCallEvent){ 0 });
    }
  if (phase == MF_PHASE_DECODING || phase == MF_PHASE_RESUMING)
    call_step (fixture, MF_EVENT_CALL_IMPORTED, MF_CALL_DECODE, (MfCallEvent){ 0 });
  if (phase == MF_PHASE_RESUMING)
    {
      call_step (fixture, MF_EVENT_CALL_TOKENS, MF_CALL_DECODE, token);
      call_step (fixture, MF_EVENT_CALL_FAILED, MF_CALL_DECODE, (MfCallEvent){ .sent = true });
    }
  if (phase == MF_PHASE_SENT)
    call_step (fixture, MF_EVENT_CALL_SENT, MF_CALL_PLAIN, (MfCallEvent){ 0 });
}

static uint32_t
slots_held (const Fixture *fixture)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < fixture->core->board.n_upstreams; i++)
    n += fixture->core->board.upstreams[i].own_slots;
  return n;
}

static void
check_pair (MfPhase phase, MfInput input)
{
  const MfClaimResult claim = { .decision = MF_CLAIM_NO_QUORUM };
  MfEvent event = { .type = input == MF_INPUT_DONE ? MF_EVENT_CALL_DONE : MF_EVENT_CALL_FAILED };
  MfEvent departed = { .type = MF_EVENT_DEPARTED, .departed_id = 1 };
  uint32_t n_before;
  MfRequest *found;
  Fixture fixture;

  fixture_init (&fixture);
  advance_to (&fixture, phase);
  found = mf_request_find (fixture.core, 1);
  assert_non_null (found);
  assert_int_equal (found->phase, phase);
  event.call = (MfCallEvent){ .status = 200,
                              .stopped = true,
                              .n_tokens = 1,
                              .sent = true,
                              .data = "x",
                              .data_bytes = 1,
                              .first_index = found->delivered,
                              .expires_us = fixture.now_us + MF_US_PER_S,
                              .kv_bytes = 1000 };
  n_before = fixture.n_terminal;
  assert_int_equal (mf_life_input (fixture.core, found, input, found->calls, &event, &claim),
                    mf_life_accepts (phase, input));
  if (!mf_life_accepts (phase, input))
    {
      assert_int_equal (fixture.n_terminal, n_before);
      assert_ptr_equal (mf_request_find (fixture.core, 1), found);
      assert_int_equal (found->phase, phase);
    }
  step (&fixture, &departed);
  step (&fixture, &departed);
  assert_true (fixture.n_terminal <= 1);
  assert_null (mf_request_find (fixture.core, 1));
  assert_int_equal (slots_held (&fixture), 0);
  mf_core_free (fixture.core);
}

static void
test_every_input_in_every_phase (void **state)
{
  (void)state;
  for (int phase = 0; phase < MF_PHASE_ENDED; phase++)
    {
      for (int input = 0; input < MF_INPUT_COUNT; input++)
        check_pair ((MfPhase)phase, (MfInput)input);
    }
  for (int input = 0; input < MF_INPUT_COUNT; input++)
    assert_false (mf_life_accepts (MF_PHASE_ENDED, (MfInput)input));
}

/* Repeated tokens are ignored, those of an older call are dropped and counted, and the answer
 * continues. */
static void
test_late_and_crossed_tokens_are_dropped (void **state)
{
  MfCallEvent token = { .n_tokens = 1, .data = "a", .data_bytes = 1 };
  Fixture fixture;
  uint64_t old;

  (void)state;
  fixture_init (&fixture);
  advance_to (&fixture, MF_PHASE_DECODING);
  old = fixture.last_call[MF_CALL_PREFILL];
  call_step (&fixture, MF_EVENT_CALL_TOKENS, MF_CALL_DECODE, token);
  call_step (&fixture, MF_EVENT_CALL_TOKENS, MF_CALL_DECODE, token);
  assert_int_equal (fixture.n_tokens, 1);
  call_step (&fixture, MF_EVENT_CALL_DONE, MF_CALL_PREFILL, (MfCallEvent){ .status = 200 });
  fixture.last_call[MF_CALL_PREFILL] = old;
  call_step (&fixture, MF_EVENT_CALL_TOKENS, MF_CALL_PREFILL, token);
  assert_int_equal (fixture.core->board.counters.values[MF_COUNTER_LATE_DROPPED], 1);
  token.first_index = 1;
  call_step (&fixture, MF_EVENT_CALL_TOKENS, MF_CALL_DECODE, token);
  assert_int_equal (fixture.n_tokens, 2);
  call_step (&fixture, MF_EVENT_CALL_DONE, MF_CALL_DECODE,
             (MfCallEvent){ .status = 200, .stopped = true });
  assert_int_equal (fixture.n_terminal, 1);
  mf_core_free (fixture.core);
}

/* A cancel is repeated until the engine confirms it. */
static void
test_cancel_is_repeated_until_confirmed (void **state)
{
  MfEvent departed = { .type = MF_EVENT_DEPARTED, .departed_id = 1 };
  MfEvent tick = { .type = MF_EVENT_TICK };
  uint64_t first;
  Fixture fixture;

  (void)state;
  fixture_init (&fixture);
  advance_to (&fixture, MF_PHASE_DECODING);
  step (&fixture, &departed);
  assert_int_equal (mf_cancel_count (fixture.core), 1);
  first = fixture.last_call[MF_CALL_CANCEL];
  assert_true (first != 0);
  call_step (&fixture, MF_EVENT_CALL_FAILED, MF_CALL_CANCEL, (MfCallEvent){ .timed_out = true });
  assert_int_equal (mf_cancel_count (fixture.core), 1);
  fixture.now_us += MF_US_PER_S;
  step (&fixture, &tick);
  assert_true (fixture.last_call[MF_CALL_CANCEL] != first);
  call_step (&fixture, MF_EVENT_CALL_DONE, MF_CALL_CANCEL, (MfCallEvent){ .status = 404 });
  assert_int_equal (mf_cancel_count (fixture.core), 0);
  mf_core_free (fixture.core);
}

/* A call that is not idempotent is retried only if no byte of it can have been sent. */
static void
test_order_is_sent_again_only_when_nothing_left (void **state)
{
  uint64_t first;
  Fixture fixture;

  (void)state;
  fixture_init (&fixture);
  advance_to (&fixture, MF_PHASE_CONNECTING);
  first = fixture.last_call[MF_CALL_PLAIN];
  call_step (&fixture, MF_EVENT_CALL_FAILED, MF_CALL_PLAIN,
             (MfCallEvent){ .connect_failed = true });
  assert_int_equal (fixture.n_terminal, 0);
  assert_true (fixture.last_call[MF_CALL_PLAIN] != first);
  call_step (&fixture, MF_EVENT_CALL_FAILED, MF_CALL_PLAIN, (MfCallEvent){ .sent = true });
  assert_int_equal (fixture.n_terminal, 1);
  assert_null (mf_request_find (fixture.core, 1));
  mf_core_free (fixture.core);
}

/* Guards against blaming an engine for a pause of this process. After a pause of 5 s the stream
 * continues; without a pause, a stream without tokens is a stall. */
static void
test_pause_blames_no_upstream (void **state)
{
  MfEvent tick = { .type = MF_EVENT_TICK };
  MfRequest *found;
  Fixture fixture;

  (void)state;
  fixture_init (&fixture);
  advance_to (&fixture, MF_PHASE_DECODING);
  found = mf_request_find (fixture.core, 1);
  fixture.now_us += 5 * MF_US_PER_S;
  step (&fixture, &tick);
  assert_int_equal (found->phase, MF_PHASE_DECODING);
  assert_int_equal (fixture.core->board.upstreams[1].health, MF_HEALTH_OK);
  for (uint32_t i = 0; i < 30; i++)
    {
      fixture.now_us += 100 * MF_US_PER_MS;
      step (&fixture, &tick);
    }
  assert_true (found->phase != MF_PHASE_DECODING);
  mf_core_free (fixture.core);
}

/* A stream whose engine was silent was cancelled and ended when the service had no retry left. The
 * engine may go on. */
static void
test_silent_stream_is_kept_without_a_retry (void **state)
{
  MfCallEvent token = { .n_tokens = 1, .data = "a", .data_bytes = 1 };
  MfEvent tick = { .type = MF_EVENT_TICK };
  MfBudget *budget;
  MfRequest *found;
  Fixture fixture;

  (void)state;
  fixture_init (&fixture);
  advance_to (&fixture, MF_PHASE_DECODING);
  found = mf_request_find (fixture.core, 1);
  budget = &fixture.core->board.services.rows[found->service].retry;
  for (uint32_t i = 0; i < 30; i++)
    {
      budget->tokens_milli = 0;
      budget->refilled_us = fixture.now_us;
      fixture.now_us += 100 * MF_US_PER_MS;
      step (&fixture, &tick);
    }
  assert_int_equal (fixture.n_terminal, 0);
  assert_int_equal (found->phase, MF_PHASE_DECODING);
  call_step (&fixture, MF_EVENT_CALL_TOKENS, MF_CALL_DECODE, token);
  assert_int_equal (fixture.n_tokens, 1);
  /* It is sent elsewhere as soon as the service has a retry again. */
  for (uint32_t i = 0; i < 30; i++)
    {
      fixture.now_us += 100 * MF_US_PER_MS;
      step (&fixture, &tick);
    }
  assert_true (found->phase != MF_PHASE_DECODING);
  assert_int_equal (fixture.n_terminal, 0);
  mf_core_free (fixture.core);
}

/* Guards against KV left at an engine: after a stream breaks, its engine holds the KV even if the
 * resume was never sent, and must be sent a cancel. */
static void
test_resume_that_never_left_is_owed_a_cancel (void **state)
{
  MfEvent departed = { .type = MF_EVENT_DEPARTED, .departed_id = 1 };
  Fixture fixture;

  (void)state;
  fixture_init (&fixture);
  advance_to (&fixture, MF_PHASE_RESUMING);
  step (&fixture, &departed);
  assert_int_equal (mf_cancel_count (fixture.core), 1);
  mf_core_free (fixture.core);
  fixture_init (&fixture);
  advance_to (&fixture, MF_PHASE_RESUMING);
  call_step (&fixture, MF_EVENT_CALL_FAILED, MF_CALL_RESUME, (MfCallEvent){ .timed_out = true });
  assert_int_equal (mf_cancel_count (fixture.core), 1);
  mf_core_free (fixture.core);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_every_input_in_every_phase),
    cmocka_unit_test (test_late_and_crossed_tokens_are_dropped),
    cmocka_unit_test (test_cancel_is_repeated_until_confirmed),
    cmocka_unit_test (test_order_is_sent_again_only_when_nothing_left),
    cmocka_unit_test (test_pause_blames_no_upstream),
    cmocka_unit_test (test_silent_stream_is_kept_without_a_retry),
    cmocka_unit_test (test_resume_that_never_left_is_owed_a_cancel),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
