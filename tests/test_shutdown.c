#include "libmangofork/relay/shutdown.h"

#include "libmangofork/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

#define STARTED_MS 100000

/* A request at a time after SIGTERM; all times in milliseconds. deadline_ms and at_ms are counted
 * from SIGTERM. */
typedef struct
{
  uint32_t grace_ms;
  uint32_t at_ms;
  uint32_t deadline_ms;
  uint32_t answer_ms;
  bool is_stream;
  bool is_accepted;
  bool admitted;
} Case;

static bool
admits (const Case *row)
{
  MfShutdown shutdown
      = { .started_us = STARTED_MS * MF_US_PER_MS, .grace_us = row->grace_ms * MF_US_PER_MS };

  return mf_shutdown_admits (&shutdown,
                             &(MfShutdownRequest){
                                 .deadline_us = (STARTED_MS + row->deadline_ms) * MF_US_PER_MS,
                                 .answer_us = row->answer_ms * MF_US_PER_MS,
                                 .is_stream = row->is_stream,
                                 .is_accepted = row->is_accepted,
                             },
                             (STARTED_MS + row->at_ms) * MF_US_PER_MS);
}

/* Late in the grace period, requests were accepted that the exit of the process cut off. */
static void
test_what_may_be_cut_off_is_not_admitted (void **state)
{
  static const Case rows[] = {
    /* Answers that are certain to end before the exit. */
    { 8000, 0, 600, 0, false, false, true },
    { 8000, 7100, 7700, 0, false, false, true },
    { 8000, 7100, 7750, 0, false, true, true },
    { 8000, 7200, 7800, 0, false, false, false },
    { 30000, 20000, 29700, 0, false, false, true },
    { 2000, 1000, 1600, 0, false, false, true },
    { 2000, 1300, 1900, 0, false, false, false },
    /* What is no stream may last until its deadline, whatever is likely, and whether it comes now
     * or waited for an upstream. */
    { 8000, 0, 14000, 10, false, false, false },
    { 8000, 0, 14000, 10, false, true, false },
    { 30000, 10, 31000, 10, false, false, false },
    /* Streams come until the load balancer has stopped sending any. */
    { 8000, 0, 14000, 0, true, false, true },
    { 8000, 2400, 16400, 300, true, false, true },
    { 8000, 2500, 16500, 300, true, false, false },
    { 8000, 3050, 17050, 0, true, false, false },
    { 30000, 2400, 31000, 300, true, false, true },
    { 30000, 3050, 31000, 300, true, false, false },
    { 2000, 700, 14700, 0, true, false, true },
    { 2000, 900, 14900, 0, true, false, false },
    /* Long ones end too late. */
    { 8000, 100, 14100, 7650, true, false, false },
    { 8000, 100, 14100, 7649, true, false, true },
    { 8000, 2400, 16400, 5350, true, false, false },
    { 8000, 2400, 16400, 5349, true, false, true },
    { 2000, 100, 14100, 1650, true, false, false },
    /* Further steps of accepted ones depend on the time that is left. */
    { 8000, 4000, 14000, 300, true, true, true },
    { 8000, 7500, 14000, 300, true, true, false },
    { 8000, 7750, 14000, 0, true, true, false },
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (rows); i++)
    {
      if (admits (&rows[i]) != rows[i].admitted)
        fail_msg ("row %zu", i);
    }
}

static void
test_everything_is_admitted_without_a_stop (void **state)
{
  MfShutdown shutdown = { .grace_us = 8 * MF_US_PER_S };
  MfShutdownRequest request = { .deadline_us = 1000 * MF_US_PER_S };

  (void)state;
  assert_true (mf_shutdown_admits (&shutdown, &request, 999 * MF_US_PER_S));
}

static void
test_exit_is_before_the_end_of_any_grace_period (void **state)
{
  static const uint32_t graces_ms[] = { 1, 100, 250, 1000, 8000, 60000 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (graces_ms); i++)
    {
      MfShutdown shutdown = { .started_us = MF_US_PER_S, .grace_us = graces_ms[i] * MF_US_PER_MS };
      uint64_t exit_by_us = mf_shutdown_exit_by_us (&shutdown);

      assert_true (exit_by_us >= shutdown.started_us);
      assert_true (exit_by_us < shutdown.started_us + shutdown.grace_us);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_what_may_be_cut_off_is_not_admitted),
    cmocka_unit_test (test_everything_is_admitted_without_a_stop),
    cmocka_unit_test (test_exit_is_before_the_end_of_any_grace_period),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
