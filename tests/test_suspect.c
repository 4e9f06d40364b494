#include "libmangofork/suspect.h"

#include <setjmp.h>
#include <stdarg.h>

#include <cmocka.h>

#define DIGEST 7
#define OTHER_DIGEST 8
#define S MF_US_PER_S

static const MfSuspectLimits limits = { .crash_window_us = 10 * S,
                                        .two_crashes_quarantine_us = 30 * S,
                                        .three_crashes_quarantine_us = 600 * S,
                                        .beside_quarantine_us = 3 * S };

/* The results for the failures at one upstream, by digest. */
typedef struct
{
  MfSuspectResult own;
  MfSuspectResult other;
  uint32_t n;
} Results;

static void
on_result (void *data, const MfSuspectFailure *failure, MfSuspectResult result)
{
  Results *results = data;

  results->n++;
  if (failure->digest == DIGEST)
    results->own = result;
  else
    results->other = result;
}

static void
add_failure (MfSuspects *suspects, uint64_t digest, uint64_t upstream_id, bool suspect,
             uint64_t sent_us)
{
  mf_suspects_add_failure (suspects, &(MfSuspectFailure){ .digest = digest,
                                                          .request_id = digest * 100 + upstream_id,
                                                          .upstream_id = upstream_id,
                                                          .was_suspect = suspect,
                                                          .sent_us = sent_us,
                                                          .failed_us = sent_us + S / 10 });
}

static Results
upstream_crashes (MfSuspects *suspects, uint64_t upstream_id, uint64_t now_us)
{
  Results results = { 0 };

  mf_suspects_upstream_crashed (suspects, upstream_id, upstream_id, now_us, on_result, &results);
  return results;
}

/* Fails a call of DIGEST at an upstream that then crashes; without isolation another suspect runs
 * there as well. Returns the result for DIGEST. */
static MfSuspectResult
fail_and_crash_at (MfSuspects *suspects, uint64_t upstream_id, bool isolated)
{
  add_failure (suspects, DIGEST, upstream_id, upstream_id > 1, upstream_id * S);
  if (!isolated)
    add_failure (suspects, OTHER_DIGEST + upstream_id, upstream_id, upstream_id > 1,
                 upstream_id * S);
  return upstream_crashes (suspects, upstream_id, upstream_id * S + S / 5).own;
}

static void
test_second_crash_isolated_from_other_suspects_quarantines (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  assert_int_equal (fail_and_crash_at (suspects, 1, false), MF_SUSPECT_COUNTED);
  assert_int_equal (fail_and_crash_at (suspects, 2, true), MF_SUSPECT_QUARANTINED);
  assert_true (mf_suspects_is_quarantined (suspects, DIGEST, 3 * S));
  assert_false (mf_suspects_is_quarantined (suspects, OTHER_DIGEST + 1, 3 * S));
  mf_suspects_free (suspects);
}

static void
test_third_crash_quarantines_beside_other_suspects (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  assert_int_equal (fail_and_crash_at (suspects, 1, false), MF_SUSPECT_COUNTED);
  assert_int_equal (fail_and_crash_at (suspects, 2, false), MF_SUSPECT_COUNTED);
  assert_int_equal (fail_and_crash_at (suspects, 3, false), MF_SUSPECT_QUARANTINED);
  mf_suspects_free (suspects);
}

/* Two instances each had one suspect at a process that crashed, and the other instance's report
 * arrives after the quarantine: either request may be the cause, so neither is quarantined. */
static void
test_suspects_of_two_instances_at_one_crash_are_not_quarantined (void **state)
{
  static const uint64_t processes[] = { 5, 2 };
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  fail_and_crash_at (suspects, 1, false);
  assert_int_equal (fail_and_crash_at (suspects, 2, true), MF_SUSPECT_QUARANTINED);
  for (size_t i = 0; i < MF_ARRAY_LEN (processes); i++)
    mf_suspects_add_crash (suspects, OTHER_DIGEST,
                           &(MfSuspectCrash){ .process_id = processes[i],
                                              .sent_us = (3 + i) * S,
                                              .at_us = (3 + i) * S },
                           false, 5 * S);
  assert_false (mf_suspects_quarantine (suspects, OTHER_DIGEST, 30 * S, 5 * S));
  assert_false (mf_suspects_is_quarantined (suspects, DIGEST, 5 * S));
  assert_int_equal (fail_and_crash_at (suspects, 6, true), MF_SUSPECT_QUARANTINED);
  mf_suspects_free (suspects);
}

/* Two upstreams crashed under an innocent request, the second of which another request ended. */
static void
test_request_is_not_refused_for_the_crashes_of_a_certain_one (void **state)
{
  (void)state;
  for (uint32_t is_known_before = 0; is_known_before < 2; is_known_before++)
    {
      MfSuspects *suspects = mf_suspects_new (&limits);

      if (!is_known_before)
        assert_int_equal (
            (fail_and_crash_at (suspects, 1, true), fail_and_crash_at (suspects, 2, true)),
            MF_SUSPECT_QUARANTINED);
      for (uint64_t process_id = 2; process_id <= 4; process_id++)
        mf_suspects_add_crash (suspects, OTHER_DIGEST,
                               &(MfSuspectCrash){ .process_id = process_id,
                                                  .sent_us = process_id * S,
                                                  .at_us = process_id * S },
                               false, process_id * S);
      assert_true (mf_suspects_is_quarantined (suspects, OTHER_DIGEST, 5 * S));
      if (is_known_before)
        assert_int_equal (
            (fail_and_crash_at (suspects, 1, true), fail_and_crash_at (suspects, 2, true)),
            MF_SUSPECT_COUNTED);
      assert_false (mf_suspects_is_quarantined (suspects, DIGEST, 5 * S));
      assert_int_equal (fail_and_crash_at (suspects, 6, true), MF_SUSPECT_QUARANTINED);
      mf_suspects_free (suspects);
    }
}

/* The quarantine for two crashes expires; the next crash is the third and has the long one. */
static void
test_quarantine_expires_and_third_crash_renews_it (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  fail_and_crash_at (suspects, 1, true);
  fail_and_crash_at (suspects, 2, true);
  assert_true (mf_suspects_is_quarantined (suspects, DIGEST, 30 * S));
  assert_false (mf_suspects_is_quarantined (suspects, DIGEST, 40 * S));
  assert_int_equal (fail_and_crash_at (suspects, 40, false), MF_SUSPECT_QUARANTINED);
  assert_true (mf_suspects_is_quarantined (suspects, DIGEST, 600 * S));
  assert_null (mf_suspects_find (suspects, DIGEST, 641 * S));
  mf_suspects_free (suspects);
}

/* Attempts of one request at three upstreams that lose power together count as one crash. */
static void
test_simultaneous_crashes_count_once (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  for (uint64_t upstream_id = 1; upstream_id <= 3; upstream_id++)
    add_failure (suspects, DIGEST, upstream_id, false, S);
  assert_int_equal (upstream_crashes (suspects, 1, 2 * S).own, MF_SUSPECT_COUNTED);
  assert_int_equal (upstream_crashes (suspects, 2, 2 * S).own, MF_SUSPECT_DUPLICATE);
  assert_int_equal (upstream_crashes (suspects, 3, 2 * S).own, MF_SUSPECT_DUPLICATE);
  assert_int_equal (mf_suspects_find (suspects, DIGEST, 2 * S)->n_crashes, 1);
  mf_suspects_free (suspects);
}

static void
test_answer_clears (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  for (uint64_t upstream_id = 1; upstream_id < 10; upstream_id++)
    {
      assert_int_equal (fail_and_crash_at (suspects, upstream_id, true), MF_SUSPECT_COUNTED);
      assert_true (mf_suspects_remove (suspects, DIGEST));
      assert_false (mf_suspects_remove (suspects, DIGEST));
    }
  mf_suspects_free (suspects);
}

/* A failure is not counted when the upstream answered later, or crashed long after. */
static void
test_failures_at_living_upstreams_are_not_counted (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);
  Results results = { 0 };

  (void)state;
  add_failure (suspects, DIGEST, 1, false, S);
  mf_suspects_upstream_alive (suspects, 1, S, on_result, &results);
  assert_int_equal (results.n, 0);
  mf_suspects_upstream_alive (suspects, 1, 2 * S, on_result, &results);
  assert_int_equal (results.n, 1);
  assert_int_equal (upstream_crashes (suspects, 1, 3 * S).n, 0);
  add_failure (suspects, DIGEST, 2, false, S);
  assert_int_equal (upstream_crashes (suspects, 2, 20 * S).own, MF_SUSPECT_UNRELATED);
  add_failure (suspects, DIGEST, 3, false, S);
  mf_suspects_expire_failures (suspects, 2 * S, on_result, &results);
  assert_int_equal (mf_suspects_n_failures (suspects), 0);
  assert_null (mf_suspects_find (suspects, DIGEST, 20 * S));
  mf_suspects_free (suspects);
}

/* Many new suspects evict entries that are not quarantined, but none that is. */
static void
test_quarantines_survive_eviction (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  fail_and_crash_at (suspects, 1, true);
  fail_and_crash_at (suspects, 2, true);
  for (uint64_t digest = 100; digest < 20000; digest++)
    mf_suspects_add_crash (suspects, digest, &(MfSuspectCrash){ .process_id = 1, .at_us = 3 * S },
                           false, 3 * S);
  assert_true (mf_suspects_is_quarantined (suspects, DIGEST, 4 * S));
  assert_null (mf_suspects_find (suspects, 100, 4 * S));
  mf_suspects_free (suspects);
}

static void
add_sufficient_failure (MfSuspects *suspects, uint64_t digest, uint64_t sent_us)
{
  mf_suspects_add_failure (suspects, &(MfSuspectFailure){ .digest = digest,
                                                          .request_id = digest,
                                                          .upstream_id = 1,
                                                          .is_sufficient = true,
                                                          .sent_us = sent_us,
                                                          .failed_us = 5 * S });
}

/* Where one crash is enough, all requests that had run beside the one that caused it were refused
 * for as long. */
static void
test_one_crash_quarantines_the_request_sent_last_for_longer (void **state)
{
  static const MfSuspectCrash reported = { .process_id = 1, .sent_us = 4 * S, .at_us = 5 * S };
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  mf_suspects_note_answered (suspects, 13);
  add_sufficient_failure (suspects, 10, 1 * S);
  add_sufficient_failure (suspects, 11, 3 * S);
  add_sufficient_failure (suspects, 12, 2 * S);
  add_sufficient_failure (suspects, 13, 4 * S);
  upstream_crashes (suspects, 1, 6 * S);
  for (uint64_t digest = 10; digest <= 13; digest++)
    {
      assert_int_equal (mf_suspects_is_quarantined (suspects, digest, 8 * S), digest != 13);
      assert_int_equal (mf_suspects_is_quarantined (suspects, digest, 10 * S), digest == 11);
    }
  /* Another instance has sent one later, and a third one one before. */
  mf_suspects_add_crash (suspects, 14, &reported, false, 6 * S);
  assert_true (mf_suspects_quarantine (suspects, 14, 36 * S, 6 * S));
  assert_false (mf_suspects_is_quarantined (suspects, 11, 10 * S));
  mf_suspects_add_crash (suspects, 15, &(MfSuspectCrash){ .process_id = 1, .at_us = 5 * S }, false,
                         6 * S);
  assert_true (mf_suspects_quarantine (suspects, 15, 36 * S, 6 * S));
  assert_false (mf_suspects_is_quarantined (suspects, 15, 10 * S));
  assert_true (mf_suspects_is_quarantined (suspects, 14, 35 * S));
  mf_suspects_free (suspects);
}

/* A request that had crashed two upstreams was sent again at once, as another instance reported one
 * crash of a request that had been sent to the second of them later. */
static void
test_one_crash_does_not_release_a_request_with_two (void **state)
{
  static const MfSuspectCrash reported = { .process_id = 2, .sent_us = 3 * S, .at_us = 4 * S };
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  add_failure (suspects, DIGEST, 1, false, S);
  upstream_crashes (suspects, 1, 2 * S);
  add_failure (suspects, DIGEST, 2, true, 5 * S / 2);
  assert_int_equal (upstream_crashes (suspects, 2, 4 * S).own, MF_SUSPECT_QUARANTINED);
  mf_suspects_add_crash (suspects, OTHER_DIGEST, &reported, false, 4 * S);
  mf_suspects_quarantine (suspects, OTHER_DIGEST, 34 * S, 4 * S);
  assert_true (mf_suspects_is_quarantined (suspects, DIGEST, 33 * S));
  mf_suspects_free (suspects);
}

/* Crashes that were noticed after a request had been answered were charged to it, because of copies
 * that had been sent to these upstreams before. */
static void
test_answered_request_is_charged_with_no_later_crash (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  add_failure (suspects, DIGEST, 1, false, S);
  add_failure (suspects, OTHER_DIGEST, 1, false, S);
  add_failure (suspects, DIGEST, 2, false, S);
  mf_suspects_note_answered (suspects, DIGEST);
  assert_int_equal (mf_suspects_n_failures (suspects), 1);
  upstream_crashes (suspects, 1, 2 * S);
  upstream_crashes (suspects, 2, 2 * S);
  assert_null (mf_suspects_find (suspects, DIGEST, 2 * S));
  assert_non_null (mf_suspects_find (suspects, OTHER_DIGEST, 2 * S));
  mf_suspects_free (suspects);
}

static void
test_failure_of_an_attempt_that_goes_on_is_withdrawn (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);
  MfSuspectFailure failure
      = { .digest = DIGEST, .request_id = 7, .upstream_id = 1, .failed_us = S };
  MfSuspectFailure withdrawn;

  (void)state;
  mf_suspects_add_failure (suspects, &failure);
  failure.upstream_id = 2;
  mf_suspects_add_failure (suspects, &failure);
  assert_false (mf_suspects_withdraw_failure (suspects, 8, 1, &withdrawn));
  assert_true (mf_suspects_withdraw_failure (suspects, 7, 1, &withdrawn));
  assert_int_equal (withdrawn.upstream_id, 1);
  assert_false (mf_suspects_withdraw_failure (suspects, 7, 1, &withdrawn));
  assert_int_equal (mf_suspects_n_failures (suspects), 1);
  mf_suspects_free (suspects);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_second_crash_isolated_from_other_suspects_quarantines),
    cmocka_unit_test (test_third_crash_quarantines_beside_other_suspects),
    cmocka_unit_test (test_suspects_of_two_instances_at_one_crash_are_not_quarantined),
    cmocka_unit_test (test_request_is_not_refused_for_the_crashes_of_a_certain_one),
    cmocka_unit_test (test_quarantine_expires_and_third_crash_renews_it),
    cmocka_unit_test (test_simultaneous_crashes_count_once),
    cmocka_unit_test (test_answer_clears),
    cmocka_unit_test (test_failures_at_living_upstreams_are_not_counted),
    cmocka_unit_test (test_quarantines_survive_eviction),
    cmocka_unit_test (test_one_crash_quarantines_the_request_sent_last_for_longer),
    cmocka_unit_test (test_one_crash_does_not_release_a_request_with_two),
    cmocka_unit_test (test_answered_request_is_charged_with_no_later_crash),
    cmocka_unit_test (test_failure_of_an_attempt_that_goes_on_is_withdrawn),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
