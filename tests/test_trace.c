#include "libmangofork/trace.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

typedef struct
{
  uint64_t values[64];
  uint32_t n;
} CollectedValues;

static void
collect_value (const MfTraceStep *step, void *data)
{
  CollectedValues *collected = data;

  assert_true (collected->n < MF_ARRAY_LEN (collected->values));
  collected->values[collected->n++] = step->value;
}

static void
add_step (MfTrace *trace, uint64_t request_id, uint64_t value)
{
  MfTraceStep step
      = { .request_id = request_id, .kind = MF_TRACE_CALLED, .value = value, .upstream = MF_NONE };

  mf_trace_add_step (trace, &step);
}

static void
test_steps_of_one_request_in_order (void **state)
{
  MfTrace *trace = mf_trace_new (64);
  CollectedValues collected = { 0 };

  (void)state;
  mf_trace_set_name (trace, 1, "a");
  mf_trace_set_name (trace, 2, "b");
  for (uint64_t i = 0; i < 5; i++)
    {
      add_step (trace, 1, i);
      add_step (trace, 2, 100 + i);
    }
  assert_true (mf_trace_foreach (trace, "a", collect_value, &collected));
  assert_int_equal (collected.n, 5);
  for (uint32_t i = 0; i < collected.n; i++)
    assert_int_equal (collected.values[i], i);
  assert_false (mf_trace_foreach (trace, "c", collect_value, &collected));
  mf_trace_free (trace);
}

static void
test_ring_forgets_the_oldest (void **state)
{
  MfTrace *trace = mf_trace_new (16);
  CollectedValues collected = { 0 };

  (void)state;
  mf_trace_set_name (trace, 1, "long");
  for (uint64_t i = 0; i < 20; i++)
    add_step (trace, 1, i);
  assert_true (mf_trace_foreach (trace, "long", collect_value, &collected));
  assert_int_equal (collected.n, 16);
  assert_int_equal (collected.values[0], 4);
  assert_int_equal (collected.values[15], 19);
  for (uint64_t id = 2; id < 100; id++)
    {
      char name[16];

      snprintf (name, sizeof name, "r%d", (int)id);
      mf_trace_set_name (trace, id, name);
      add_step (trace, id, id);
    }
  assert_false (mf_trace_foreach (trace, "long", collect_value, &collected));
  collected.n = 0;
  assert_true (mf_trace_foreach (trace, "r99", collect_value, &collected));
  assert_int_equal (collected.n, 1);
  mf_trace_free (trace);
}

static void
test_a_name_used_again_shows_both (void **state)
{
  MfTrace *trace = mf_trace_new (64);
  CollectedValues collected = { 0 };

  (void)state;
  mf_trace_set_name (trace, 1, "again");
  add_step (trace, 1, 10);
  mf_trace_set_name (trace, 2, "again");
  add_step (trace, 2, 20);
  add_step (trace, 1, 11);
  assert_true (mf_trace_foreach (trace, "again", collect_value, &collected));
  assert_int_equal (collected.n, 3);
  assert_int_equal (collected.values[0], 10);
  assert_int_equal (collected.values[1], 11);
  assert_int_equal (collected.values[2], 20);
  mf_trace_free (trace);
}

static void
test_ends_are_counted_by_whom_and_where (void **state)
{
  MfTrace *trace = mf_trace_new (4);
  MfTraceStep step = { .request_id = 1,
                       .kind = MF_TRACE_ENDED,
                       .ended_by = MF_ENDED_BY_CALLER,
                       .code = MF_CODE_DEPARTED };

  (void)state;
  for (uint64_t i = 0; i < 10; i++)
    {
      step.request_id = i + 1;
      step.phase = (uint8_t)(i % 2);
      mf_trace_add_step (trace, &step);
    }
  assert_int_equal (mf_trace_n_ended (trace, MF_ENDED_BY_CALLER, 0), 5);
  assert_int_equal (mf_trace_n_ended (trace, MF_ENDED_BY_CALLER, 1), 5);
  assert_int_equal (mf_trace_n_ended (trace, MF_ENDED_BY_UPSTREAM, 0), 0);
  mf_trace_free (trace);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_steps_of_one_request_in_order),
    cmocka_unit_test (test_ring_forgets_the_oldest),
    cmocka_unit_test (test_a_name_used_again_shows_both),
    cmocka_unit_test (test_ends_are_counted_by_whom_and_where),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
