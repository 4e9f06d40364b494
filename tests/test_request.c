#include "libmangofork/cancel.h"
#include "libmangofork/request.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

/* Walks the table of the state machine: every input in every phase. */

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
} Bench;

static void
on_action (const MfAction *action, void *data)
{
  Bench *bench = data;

  if (action->type == MF_ACTION_CALL_START)
    bench->last_call[action->call.kind] = action->call.call_id;
  else if (action->type >= MF_ACTION_ANSWER_END && action->type <= MF_ACTION_ANSWER_REFUSE)
    bench->n_terminal++;
  else if (action->type == MF_ACTION_ANSWER_TOKENS)
    bench->n_tokens += action->answer.n_tokens;
}

static void
step (Bench *bench, MfEvent *event)
{
  bench->now_us += MF_US_PER_MS;
  event->now_us = bench->now_us;
  event->wall_ms = UINT64_C (1800000000000) + bench->now_us / MF_US_PER_MS;
  mf_core_step (bench->core, event);
}

static void
call_step (Bench *bench, MfEventType type, MfCallKind kind, MfCallEvent call)
{
  MfEvent event = { .type = type, .call = call };

  event.call.call_id = bench->last_call[kind];
  step (bench, &event);
}

static void
begin (Bench *bench)
{
  MfOptions options;
  MfError error = { 0 };

  *bench = (Bench){ .now_us = MF_US_PER_S };
  mf_core_options (&options);
  mf_name_set (options.self.name, MF_NAME_BYTES, "entry-1");
  options.self.incarnation = 7;
  bench->core
      = mf_core_new (&options, bench->now_us, UINT64_C (1800000000000), on_action, bench, &error);
  assert_non_null (bench->core);
  mf_core_set_config (bench->core, mf_config_parse (text, sizeof text - 1, 1, NULL, NULL));
}

static void
request (Bench *bench, bool model, bool keyed)
{
  MfEvent event = { .type = MF_EVENT_REQUEST,
                    .request = { .request_id = 1,
                                 .model = model ? "m" : NULL,
                                 .path = "/orders",
                                 .method = "POST",
                                 .prompt_tokens = 100,
                                 .max_tokens = 50,
                                 .digest = 5,
                                 .has_key = keyed } };

  step (bench, &event);
}

/* Fills the decode engine by its own word, so that a request waits. */
static void
fill_decode (Bench *bench)
{
  MfEvent event = { .type = MF_EVENT_LOAD,
                    .load = { .upstream = 1,
                              .incarnation = 3,
                              .measured_us = bench->now_us,
                              .slots_total = 4,
                              .slots_used = 4,
                              .pieces_total = 100,
                              .pieces_free = 0,
                              .role = MF_ROLE_DECODE } };

  step (bench, &event);
}

/* Brings a request into a phase by events alone. */
static void
bring (Bench *bench, MfPhase phase)
{
  const MfCallEvent kv = { .expires_us = bench->now_us + MF_US_PER_S, .kv_bytes = 100000 };
  const MfCallEvent token = { .n_tokens = 1, .data = "a", .data_bytes = 1 };

  if (phase == MF_PHASE_QUEUED)
    {
      fill_decode (bench);
      bench->core->board.services.pools[1].n_own = 1;
    }
  request (bench, phase <= MF_PHASE_RESUMING && phase != MF_PHASE_CLAIMING,
           phase == MF_PHASE_CLAIMING);
  if (phase >= MF_PHASE_TRANSFERRING && phase <= MF_PHASE_RESUMING)
    {
      call_step (bench, MF_EVENT_CALL_SENT, MF_CALL_PREFILL, (MfCallEvent){ 0 });
      call_step (bench, MF_EVENT_CALL_PREFILLED, MF_CALL_PREFILL, kv);
      call_step (bench, MF_EVENT_CALL_SENT, MF_CALL_DECODE, (MfCallEvent){ 0 });
    }
  if (phase == MF_PHASE_DECODING || phase == MF_PHASE_RESUMING)
    call_step (bench, MF_EVENT_CALL_IMPORTED, MF_CALL_DECODE, (MfCallEvent){ 0 });
  if (phase == MF_PHASE_RESUMING)
    {
      call_step (bench, MF_EVENT_CALL_TOKENS, MF_CALL_DECODE, token);
      call_step (bench, MF_EVENT_CALL_FAILED, MF_CALL_DECODE, (MfCallEvent){ .sent = true });
    }
  if (phase == MF_PHASE_SENT)
    call_step (bench, MF_EVENT_CALL_SENT, MF_CALL_PLAIN, (MfCallEvent){ 0 });
}

static uint32_t
slots_held (const Bench *bench)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < bench->core->board.n_upstreams; i++)
    n += bench->core->board.upstreams[i].own_slots;
  return n;
}

static void
check_pair (MfPhase phase, MfInput input)
{
  const MfClaimResult claim = { .verdict = MF_CLAIM_NO_QUORUM };
  MfEvent event = { .type = input == MF_INPUT_DONE ? MF_EVENT_CALL_DONE : MF_EVENT_CALL_FAILED };
  MfEvent departed = { .type = MF_EVENT_DEPARTED, .departed_id = 1 };
  uint32_t n_before;
  MfRequest *found;
  Bench bench;

  begin (&bench);
  bring (&bench, phase);
  found = mf_request_find (bench.core, 1);
  assert_non_null (found);
  assert_int_equal (found->phase, phase);
  event.call = (MfCallEvent){ .status = 200,
                              .stopped = true,
                              .n_tokens = 1,
                              .sent = true,
                              .data = "x",
                              .data_bytes = 1,
                              .first_index = found->delivered,
                              .expires_us = bench.now_us + MF_US_PER_S,
                              .kv_bytes = 1000 };
  n_before = bench.n_terminal;
  assert_int_equal (mf_life_input (bench.core, found, input, found->calls, &event, &claim),
                    mf_life_accepts (phase, input));
  if (!mf_life_accepts (phase, input))
    {
      assert_int_equal (bench.n_terminal, n_before);
      assert_ptr_equal (mf_request_find (bench.core, 1), found);
      assert_int_equal (found->phase, phase);
    }
  step (&bench, &departed);
  step (&bench, &departed);
  assert_true (bench.n_terminal <= 1);
  assert_null (mf_request_find (bench.core, 1));
  assert_int_equal (slots_held (&bench), 0);
  mf_core_free (bench.core);
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

/* Tokens that come twice or of an older call are dropped and counted; the answer goes on. */
static void
test_late_and_crossed_tokens_are_dropped (void **state)
{
  MfCallEvent token = { .n_tokens = 1, .data = "a", .data_bytes = 1 };
  Bench bench;
  uint64_t old;

  (void)state;
  begin (&bench);
  bring (&bench, MF_PHASE_DECODING);
  old = bench.last_call[MF_CALL_PREFILL];
  call_step (&bench, MF_EVENT_CALL_TOKENS, MF_CALL_DECODE, token);
  call_step (&bench, MF_EVENT_CALL_TOKENS, MF_CALL_DECODE, token);
  assert_int_equal (bench.n_tokens, 1);
  call_step (&bench, MF_EVENT_CALL_DONE, MF_CALL_PREFILL, (MfCallEvent){ .status = 200 });
  bench.last_call[MF_CALL_PREFILL] = old;
  call_step (&bench, MF_EVENT_CALL_TOKENS, MF_CALL_PREFILL, token);
  assert_int_equal (bench.core->board.counters.values[MF_COUNTER_LATE_DROPPED], 1);
  token.first_index = 1;
  call_step (&bench, MF_EVENT_CALL_TOKENS, MF_CALL_DECODE, token);
  assert_int_equal (bench.n_tokens, 2);
  call_step (&bench, MF_EVENT_CALL_DONE, MF_CALL_DECODE,
             (MfCallEvent){ .status = 200, .stopped = true });
  assert_int_equal (bench.n_terminal, 1);
  mf_core_free (bench.core);
}

/* A cancel stays owed until the engine confirms it. */
static void
test_cancel_is_repeated_until_confirmed (void **state)
{
  MfEvent departed = { .type = MF_EVENT_DEPARTED, .departed_id = 1 };
  MfEvent tick = { .type = MF_EVENT_TICK };
  uint64_t first;
  Bench bench;

  (void)state;
  begin (&bench);
  bring (&bench, MF_PHASE_DECODING);
  step (&bench, &departed);
  assert_int_equal (mf_cancel_count (bench.core), 1);
  first = bench.last_call[MF_CALL_CANCEL];
  assert_true (first != 0);
  call_step (&bench, MF_EVENT_CALL_FAILED, MF_CALL_CANCEL, (MfCallEvent){ .timed_out = true });
  assert_int_equal (mf_cancel_count (bench.core), 1);
  bench.now_us += MF_US_PER_S;
  step (&bench, &tick);
  assert_true (bench.last_call[MF_CALL_CANCEL] != first);
  call_step (&bench, MF_EVENT_CALL_DONE, MF_CALL_CANCEL, (MfCallEvent){ .status = 404 });
  assert_int_equal (mf_cancel_count (bench.core), 0);
  mf_core_free (bench.core);
}

/* What may not be repeated is sent again only when no byte of it can have left. */
static void
test_order_is_sent_again_only_when_nothing_left (void **state)
{
  uint64_t first;
  Bench bench;

  (void)state;
  begin (&bench);
  bring (&bench, MF_PHASE_CONNECTING);
  first = bench.last_call[MF_CALL_PLAIN];
  call_step (&bench, MF_EVENT_CALL_FAILED, MF_CALL_PLAIN, (MfCallEvent){ .connect_failed = true });
  assert_int_equal (bench.n_terminal, 0);
  assert_true (bench.last_call[MF_CALL_PLAIN] != first);
  call_step (&bench, MF_EVENT_CALL_FAILED, MF_CALL_PLAIN, (MfCallEvent){ .sent = true });
  assert_int_equal (bench.n_terminal, 1);
  assert_null (mf_request_find (bench.core, 1));
  mf_core_free (bench.core);
}

/* The process sleeps for 5 s under a stream: the engine is not blamed and the stream goes on. A
 * silence while it is awake is a stall. */
static void
test_pause_blames_no_upstream (void **state)
{
  MfEvent tick = { .type = MF_EVENT_TICK };
  MfRequest *found;
  Bench bench;

  (void)state;
  begin (&bench);
  bring (&bench, MF_PHASE_DECODING);
  found = mf_request_find (bench.core, 1);
  bench.now_us += 5 * MF_US_PER_S;
  step (&bench, &tick);
  assert_int_equal (found->phase, MF_PHASE_DECODING);
  assert_int_equal (bench.core->board.upstreams[1].health, MF_HEALTH_OK);
  for (uint32_t i = 0; i < 30; i++)
    {
      bench.now_us += 100 * MF_US_PER_MS;
      step (&bench, &tick);
    }
  assert_true (found->phase != MF_PHASE_DECODING);
  mf_core_free (bench.core);
}

/* A stream broke, and the call that should resume it never left: the engine holds it all the same,
 * and is owed a cancel. */
static void
test_resume_that_never_left_is_owed_a_cancel (void **state)
{
  MfEvent departed = { .type = MF_EVENT_DEPARTED, .departed_id = 1 };
  Bench bench;

  (void)state;
  begin (&bench);
  bring (&bench, MF_PHASE_RESUMING);
  step (&bench, &departed);
  assert_int_equal (mf_cancel_count (bench.core), 1);
  mf_core_free (bench.core);
  begin (&bench);
  bring (&bench, MF_PHASE_RESUMING);
  call_step (&bench, MF_EVENT_CALL_FAILED, MF_CALL_RESUME, (MfCallEvent){ .timed_out = true });
  assert_int_equal (mf_cancel_count (bench.core), 1);
  mf_core_free (bench.core);
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
    cmocka_unit_test (test_resume_that_never_left_is_owed_a_cancel),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
