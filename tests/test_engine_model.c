#include "tests/fakes/engine_model.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

typedef struct
{
  uint64_t handle;
  uint64_t until_us;
  uint32_t n_tokens;
  uint32_t n_expired;
  uint32_t n_finished;
  uint32_t n_died;
} Recorded;

static const FakeEngineOptions base = {
  .slots = 2,
  .queue = 4,
  .pieces = 10,
  .cache_pieces = 4,
  .prefill_tokens_per_s = 10000,
  .step_us = 10000,
  .kv_token_bytes = 1000,
  .link_bytes_per_s = 100000000,
  .result_life_us = 500000,
  .load_lag_us = 50000,
  .poison_digest = 666,
};

static void
record_event (FakeEngine *engine, const FakeEvent *event, void *data)
{
  Recorded *recorded = data;

  (void)engine;
  if (event->type == FAKE_PREFILLED)
    {
      recorded->handle = event->n;
      recorded->until_us = event->until_us;
    }
  recorded->n_tokens += event->type == FAKE_TOKEN;
  recorded->n_expired += event->type == FAKE_EXPIRED;
  recorded->n_finished += event->type == FAKE_FINISHED;
  recorded->n_died += event->type == FAKE_DIED;
}

static FakeEngine *
engine_new (MfRole role)
{
  FakeEngineOptions options = base;

  options.role = role;
  return fake_engine_new (&options, 0);
}

static FakeWork
make_work (uint64_t request_id)
{
  return (FakeWork){
    .id = { .owner = { .name = "a", .incarnation = 1 }, .request_id = request_id },
    .prompt_tokens = 1000,
    .max_tokens = 100,
    .answer_tokens = 5,
  };
}

static void
test_prefill_then_decode_gives_the_answer (void **state)
{
  FakeEngine *prefill = engine_new (MF_ROLE_PREFILL);
  FakeEngine *decode = engine_new (MF_ROLE_DECODE);
  FakeWork work = make_work (1);
  Recorded recorded = { 0 };

  (void)state;
  assert_int_equal (fake_engine_prefill (prefill, &work, 0), FAKE_ACCEPTED);
  assert_int_equal (fake_engine_next_us (prefill), 100000);
  fake_engine_run (prefill, 100000, record_event, &recorded);
  assert_int_equal (recorded.until_us, 600000);
  assert_int_equal (fake_engine_decode (decode, &work, prefill, recorded.handle, 100000),
                    FAKE_ACCEPTED);
  assert_int_equal (fake_engine_next_us (decode), 110000);
  fake_engine_run (decode, 1000000, record_event, &recorded);
  fake_engine_run (prefill, 1000000, record_event, &recorded);
  assert_int_equal (recorded.n_tokens, 5);
  assert_int_equal (recorded.n_finished, 1);
  assert_int_equal (recorded.n_expired, 0);
  assert_int_equal (fake_engine_ledger (prefill)->wasted_prefill_tokens, 0);
  assert_int_equal (fake_engine_ledger (prefill)->prefill_tokens, 1000);
  fake_engine_free (prefill);
  fake_engine_free (decode);
}

static void
test_unclaimed_result_is_wasted (void **state)
{
  FakeEngine *prefill = engine_new (MF_ROLE_PREFILL);
  FakeWork work = make_work (1);
  Recorded recorded = { 0 };

  (void)state;
  fake_engine_prefill (prefill, &work, 0);
  fake_engine_run (prefill, 700000, record_event, &recorded);
  assert_int_equal (recorded.n_expired, 1);
  assert_int_equal (fake_engine_ledger (prefill)->wasted_prefill_tokens, 1000);
  fake_engine_free (prefill);
}

static void
test_stream_resumes_at_the_token_asked_for (void **state)
{
  FakeEngine *prefill = engine_new (MF_ROLE_PREFILL);
  FakeEngine *decode = engine_new (MF_ROLE_DECODE);
  FakeWork work = make_work (1);
  Recorded recorded = { 0 };

  (void)state;
  fake_engine_prefill (prefill, &work, 0);
  fake_engine_run (prefill, 100000, record_event, &recorded);
  fake_engine_decode (decode, &work, prefill, recorded.handle, 100000);
  fake_engine_run (decode, 130000, record_event, &recorded);
  assert_int_equal (recorded.n_tokens, 2);
  fake_engine_detach (decode, &work.id, 130000);
  assert_int_equal (fake_engine_resume (decode, &work.id, 1, 140000), FAKE_ACCEPTED);
  fake_engine_run (decode, 1000000, record_event, &recorded);
  assert_int_equal (recorded.n_tokens, 6);
  assert_int_equal (recorded.n_finished, 1);
  fake_engine_free (prefill);
  fake_engine_free (decode);
}

static void
test_poison_kills_and_frees_all (void **state)
{
  FakeEngine *prefill = engine_new (MF_ROLE_PREFILL);
  FakeWork work = make_work (1);
  Recorded recorded = { 0 };

  (void)state;
  work.digest = 666;
  fake_engine_prefill (prefill, &work, 0);
  assert_true (fake_engine_is_dead (prefill));
  fake_engine_run (prefill, 0, record_event, &recorded);
  assert_int_equal (recorded.n_died, 1);
  assert_int_equal (fake_engine_prefill (prefill, &work, 1), FAKE_GONE);
  fake_engine_restart (prefill, 2);
  work.digest = 1;
  assert_int_equal (fake_engine_prefill (prefill, &work, 3), FAKE_ACCEPTED);
  fake_engine_free (prefill);
}

static void
test_load_report_lags (void **state)
{
  FakeEngine *prefill = engine_new (MF_ROLE_PREFILL);
  FakeWork work = make_work (1);
  MfLoadEvent load;

  (void)state;
  fake_engine_prefill (prefill, &work, 100000);
  fake_engine_load (prefill, 120000, &load);
  assert_int_equal (load.slots_used, 0);
  fake_engine_load (prefill, 150000, &load);
  assert_int_equal (load.slots_used, 1);
  fake_engine_free (prefill);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_prefill_then_decode_gives_the_answer),
    cmocka_unit_test (test_unclaimed_result_is_wasted),
    cmocka_unit_test (test_stream_resumes_at_the_token_asked_for),
    cmocka_unit_test (test_poison_kills_and_frees_all),
    cmocka_unit_test (test_load_report_lags),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
