#include "libmangofork/suspect_core.h"

#include "one_core.h"

#include <setjmp.h>
#include <stdarg.h>

#include <cmocka.h>

#define DIGEST 77

/* Sends a read request with DIGEST; returns the id of its call, which has been sent upstream. */
static uint64_t
send_read (OneCore *one, uint64_t id)
{
  MfEvent event = { .type = MF_EVENT_REQUEST };

  event.request = (MfRequestEvent){
    .request_id = id, .name = "read", .path = "/stock", .method = "GET", .digest = DIGEST
  };
  one_core_step (one, &event);
  event = (MfEvent){ .type = MF_EVENT_CALL_SENT, .call = { .call_id = one->call_id } };
  one_core_step (one, &event);
  return one->call_id;
}

static void
end_call (OneCore *one, uint64_t call_id, MfEventType type)
{
  MfEvent event = { .type = type,
                    .call = { .call_id = call_id,
                              .sent = true,
                              .status = 200,
                              .content_type = "text/plain",
                              .data = "7",
                              .data_bytes = 1 } };

  one_core_step (one, &event);
}

/* Declares the upstream crashed and lets it return; the waiting request is sent again. Returns the
 * id of its call. */
static uint64_t
restart_upstream (OneCore *one)
{
  uint32_t s1 = mf_upstream_find (one->core, mf_hash_name ("s1"));
  MfEvent event = { .type = MF_EVENT_CALL_SENT };

  mf_suspect_upstream_crashed (one->core, s1);
  one_core_wait (one, MF_US_PER_S / 2);
  event.call.call_id = one->call_id;
  one_core_step (one, &event);
  return one->call_id;
}

static uint64_t
n_quarantines (const OneCore *one)
{
  return one->core->board.counters.values[MF_COUNTER_QUARANTINES];
}

/* The upstream crashes while several callers read the same: that counts as one crash. */
static void
test_one_crash_under_many_is_one_crash (void **state)
{
  OneCore *one = one_core_new ();
  uint64_t calls[3];

  (void)state;
  for (uint64_t i = 0; i < 3; i++)
    calls[i] = send_read (one, i + 1);
  for (uint64_t i = 0; i < 3; i++)
    end_call (one, calls[i], MF_EVENT_CALL_FAILED);
  restart_upstream (one);
  assert_int_equal (mf_suspect_count (one->core), 1);
  assert_int_equal (n_quarantines (one), 0);
  assert_int_equal (one->code, MF_CODE_OK);
  one_core_free (one);
}

static void
test_second_isolated_crash_quarantines (void **state)
{
  OneCore *one = one_core_new ();

  (void)state;
  end_call (one, send_read (one, 1), MF_EVENT_CALL_FAILED);
  end_call (one, restart_upstream (one), MF_EVENT_CALL_FAILED);
  restart_upstream (one);
  assert_int_equal (n_quarantines (one), 1);
  assert_int_equal (one->code, MF_CODE_POISON);
  one->code = MF_CODE_OK;
  send_read (one, 2);
  assert_int_equal (one->code, MF_CODE_POISON);
  one_core_free (one);
}

/* A request that was answered is not suspected, however often its upstream crashes before a retry.
 */
static void
test_answered_request_is_no_suspect (void **state)
{
  OneCore *one = one_core_new ();

  (void)state;
  end_call (one, send_read (one, 1), MF_EVENT_CALL_FAILED);
  end_call (one, restart_upstream (one), MF_EVENT_CALL_DONE);
  assert_int_equal (one->n_answered, 1);
  assert_int_equal (mf_suspect_count (one->core), 0);
  for (uint64_t id = 2; id < 6; id++)
    {
      end_call (one, send_read (one, id), MF_EVENT_CALL_FAILED);
      end_call (one, restart_upstream (one), MF_EVENT_CALL_DONE);
    }
  assert_int_equal (n_quarantines (one), 0);
  assert_int_equal (one->n_answered, 5);
  one_core_free (one);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_crash_under_many_is_one_crash),
    cmocka_unit_test (test_second_isolated_crash_quarantines),
    cmocka_unit_test (test_answered_request_is_no_suspect),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
