#include "libmangofork/suspect.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#define S MF_US_PER_S
#define FIRST 11 /* part with which all prompts begin */
#define DEADLY 12
#define OTHER_DEADLY 13
#define BESIDE 21 /* digest of a request */
#define CALLER 1
#define OTHER_CALLER 2
#define TRIAL_INTERVAL_US (30 * S)

static const MfSuspectLimits limits = { .crash_window_us = 10 * S,
                                        .two_crashes_quarantine_us = 30 * S,
                                        .three_crashes_quarantine_us = 600 * S,
                                        .trial_interval_us = TRIAL_INTERVAL_US };

static void
ignore_failure (void *data, const MfSuspectFailure *failure, MfSuspectResult result)
{
  (void)data;
  (void)failure;
  (void)result;
}

/* Counts an upstream that crashed at a time under a request of its own with FIRST and another part.
 * is_sufficient means that earlier crashes may be unknown. */
static void
crashes_sufficiently (MfSuspects *suspects, uint64_t part, uint64_t caller, bool is_sufficient,
                      uint64_t at_us)
{
  MfParts parts = { .hashes = { FIRST, part }, .n_parts = 2 };
  MfSuspectCrash crash = { .process_id = at_us,
                           .digest = at_us,
                           .caller = caller,
                           .sent_us = at_us - S / 10,
                           .at_us = at_us };

  mf_suspects_add_part_crashes (suspects, &parts, &crash, is_sufficient, at_us);
}

static void
crashes (MfSuspects *suspects, uint64_t part, uint64_t caller, uint64_t at_us)
{
  crashes_sufficiently (suspects, part, caller, false, at_us);
}

/* An upstream survives a request with FIRST and another part. Returns whether others may have to
 * know of the latter. */
static bool
survives (MfSuspects *suspects, uint64_t part, uint64_t at_us)
{
  mf_suspects_note_sound (suspects, MF_SUSPECT_PART, FIRST, at_us, at_us);
  return mf_suspects_note_sound (suspects, MF_SUSPECT_PART, part, at_us, at_us);
}

static bool
is_refused (MfSuspects *suspects, uint64_t part, uint64_t caller, uint64_t now_us)
{
  return mf_suspects_judge_part (suspects, part, caller, now_us) != MF_SUSPECT_PART_ALLOWED;
}

static MfSuspects *
suspects_with_deadly (void)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  for (uint64_t i = 1; i <= 3; i++)
    crashes (suspects, DEADLY, CALLER, i * S);
  return suspects;
}

/* Counts an upstream that crashed at a time under a caller's request with the content DEADLY.
 * is_isolated means that it was the only suspect there. */
static MfSuspectResult
content_crashes (MfSuspects *suspects, uint64_t caller, bool is_isolated, uint64_t at_us)
{
  MfSuspectCrash crash = { .process_id = at_us,
                           .digest = caller,
                           .caller = caller,
                           .sent_us = at_us - S / 10,
                           .at_us = at_us };

  return mf_suspects_add_content_crash (suspects, DEADLY, &crash, is_isolated, false, at_us);
}

/* The crashes of a request that several callers sent were not added up. */
static void
test_content_is_quarantined_for_all_callers (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);
  uint64_t trial_us;

  (void)state;
  for (uint64_t caller = 1; caller <= 3; caller++)
    {
      assert_false (is_refused (suspects, DEADLY, CALLER, caller * S));
      content_crashes (suspects, caller, false, caller * S);
    }
  assert_true (is_refused (suspects, DEADLY, 99, 3 * S));
  trial_us = mf_suspects_find (suspects, DEADLY, 3 * S)->quarantined_until_us;
  assert_int_equal (mf_suspects_judge_part (suspects, DEADLY, 99, trial_us),
                    MF_SUSPECT_PART_TRIAL_DUE);
  assert_true (mf_suspects_note_sound (suspects, MF_SUSPECT_CONTENT, DEADLY, trial_us, trial_us));
  assert_false (is_refused (suspects, DEADLY, 99, trial_us));
  mf_suspects_free (suspects);
}

/* One more upstream than necessary crashed where the request had been the only suspect. */
static void
test_content_is_quarantined_after_two_isolated_crashes (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  assert_int_equal (content_crashes (suspects, CALLER, false, S), MF_SUSPECT_COUNTED);
  assert_true (mf_suspects_is_suspect_content (suspects, DEADLY, S));
  assert_int_equal (content_crashes (suspects, OTHER_CALLER, true, 2 * S), MF_SUSPECT_QUARANTINED);
  mf_suspects_free (suspects);
}

/* Three upstreams that crashed beside a look-up made it refused to thousands of callers. */
static void
test_content_that_upstreams_survive_is_not_quarantined (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  mf_suspects_note_sound (suspects, MF_SUSPECT_CONTENT, DEADLY, S, S);
  for (uint64_t i = 2; i <= 4; i++)
    content_crashes (suspects, i, true, i * S);
  for (uint64_t i = 0; i < 3; i++)
    content_crashes (suspects, i, true, 5 * S + i * MF_US_PER_MS);
  assert_false (is_refused (suspects, DEADLY, CALLER, 6 * S));
  assert_false (mf_suspects_is_suspect_content (suspects, DEADLY, 6 * S));
  content_crashes (suspects, CALLER, true, 7 * S);
  assert_true (is_refused (suspects, DEADLY, CALLER, 7 * S));
  mf_suspects_free (suspects);
}

/* A content took over the crashes of a deadly part, which was found later. */
static void
test_content_explains_no_crash_of_a_part (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  for (uint64_t i = 1; i <= 3; i++)
    {
      MfParts parts = { .hashes = { FIRST, OTHER_DEADLY }, .n_parts = 2 };
      MfSuspectCrash crash = { .process_id = i * S, .digest = i, .at_us = i * S };

      mf_suspects_add_content_crash (suspects, DEADLY, &crash, true, false, i * S);
      mf_suspects_add_part_crashes (suspects, &parts, &crash, false, i * S);
    }
  assert_true (is_refused (suspects, OTHER_DEADLY, CALLER, 3 * S));
  mf_suspects_free (suspects);
}

/* A sound part that was quarantined first took over the crashes of a deadly content, so that this
 * was sent to further upstreams. */
static void
test_quarantined_part_explains_no_crash_of_a_content (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  for (uint64_t i = 1; i <= 3; i++)
    {
      MfSuspectCrash crash = { .process_id = i * S, .digest = i, .at_us = i * S };

      crashes (suspects, OTHER_DEADLY, i, i * S);
      mf_suspects_add_content_crash (suspects, DEADLY, &crash, false, false, i * S);
    }
  assert_true (is_refused (suspects, OTHER_DEADLY, CALLER, 3 * S));
  assert_true (is_refused (suspects, DEADLY, CALLER, 3 * S));
  mf_suspects_free (suspects);
}

/* Upstreams that crashed in trials of a shared look-up, for another reason, kept it refused for
 * hours after they were sound. */
static void
test_trials_of_a_content_are_minutes_apart_at_most (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);
  uint64_t now_us = 3 * S;

  (void)state;
  for (uint64_t caller = 1; caller <= 3; caller++)
    content_crashes (suspects, caller, false, caller * S);
  for (uint32_t i = 0; i < 8; i++)
    {
      uint64_t due_us = mf_suspects_find (suspects, DEADLY, now_us)->quarantined_until_us;

      assert_in_range (due_us, now_us, now_us + 240 * S);
      now_us = due_us;
      mf_suspects_start_trial (suspects, DEADLY, now_us);
      mf_suspects_add_failure (suspects, &(MfSuspectFailure){ .digest = CALLER,
                                                              .request_id = i,
                                                              .upstream_id = 100 + i,
                                                              .content = DEADLY,
                                                              .trial_content = DEADLY,
                                                              .sent_us = now_us,
                                                              .failed_us = now_us + 1 });
      mf_suspects_upstream_crashed (suspects, 100 + i, 100 + i, now_us + 1, ignore_failure, NULL);
    }
  mf_suspects_free (suspects);
}

/* A deadly content that crashed upstreams again and again was evicted before those that had crashed
 * one since, so that its crashes never added up. */
static void
test_content_with_recent_crashes_is_not_evicted (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  for (uint64_t i = 1; i <= 3; i++)
    {
      content_crashes (suspects, i, false, i * S);
      for (uint64_t j = 0; j < 2000; j++)
        mf_suspects_add_content_crash (
            suspects, 1000 * S * i + j,
            &(MfSuspectCrash){ .process_id = j + 1, .digest = j, .at_us = i * S }, false, false,
            i * S);
    }
  assert_true (is_refused (suspects, DEADLY, CALLER, 4 * S));
  mf_suspects_free (suspects);
}

/* The first part, without which none of the requests came, was refused with all that begin with it.
 */
static void
test_deadly_part_is_refused_and_the_first_part_is_not (void **state)
{
  MfSuspects *suspects = suspects_with_deadly ();

  (void)state;
  assert_true (is_refused (suspects, DEADLY, OTHER_CALLER, 4 * S));
  assert_false (is_refused (suspects, FIRST, CALLER, 4 * S));
  for (uint64_t i = 4; i <= 12; i++)
    crashes (suspects, DEADLY, CALLER, i * S);
  assert_false (is_refused (suspects, FIRST, CALLER, 13 * S));
  mf_suspects_free (suspects);
}

static void
test_tries_of_one_request_count_once (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);
  MfParts parts = { .hashes = { DEADLY }, .n_parts = 1 };

  (void)state;
  for (uint64_t i = 1; i <= 9; i++)
    {
      MfSuspectCrash crash = { .process_id = i, .digest = 5, .at_us = i * S };

      mf_suspects_add_part_crashes (suspects, &parts, &crash, false, i * S);
    }
  assert_false (is_refused (suspects, DEADLY, CALLER, 11 * S));
  mf_suspects_free (suspects);
}

/* A rack of upstreams loses power; the first part is common to what they ran. */
static void
test_crashes_of_one_moment_do_not_convict_the_first_part (void **state)
{
  (void)state;
  for (uint32_t was_sound = 0; was_sound < 2; was_sound++)
    {
      MfSuspects *suspects = mf_suspects_new (&limits);

      if (was_sound > 0)
        survives (suspects, DEADLY, S / 2);
      for (uint64_t i = 1; i <= 20; i++)
        crashes (suspects, 100 + i, CALLER, S + i * S / 100);
      assert_false (is_refused (suspects, FIRST, CALLER, 2 * S));
      mf_suspects_free (suspects);
    }
}

/* Many requests with the part were under way when the first one crashed its upstream. */
static void
test_part_that_kills_many_upstreams_at_once_is_refused (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  for (uint64_t i = 1; i <= 3; i++)
    crashes (suspects, DEADLY, CALLER, S + i);
  assert_true (is_refused (suspects, DEADLY, CALLER, 2 * S));
  assert_false (is_refused (suspects, FIRST, CALLER, 2 * S));
  mf_suspects_free (suspects);
}

/* Two instances hear of the crashes in another order, and the one that judges differently takes
 * over the quarantine that the other reports, unless it knows that the part was survived since. */
static void
test_quarantine_of_another_instance_is_taken_over (void **state)
{
  (void)state;
  for (uint32_t was_sound = 0; was_sound < 2; was_sound++)
    {
      MfSuspects *suspects = mf_suspects_new (&limits);
      MfSuspects *other = suspects_with_deadly ();

      if (was_sound > 0)
        survives (suspects, DEADLY, 2 * S);
      crashes (suspects, DEADLY, CALLER, S);
      mf_suspects_merge_part (suspects, mf_suspects_find (other, DEADLY, 3 * S), 4 * S);
      assert_int_equal (is_refused (suspects, DEADLY, CALLER, 4 * S), was_sound == 0);
      if (was_sound == 0)
        assert_true (mf_suspects_find (suspects, DEADLY, 4 * S)->quarantined_until_us
                     == mf_suspects_find (other, DEADLY, 4 * S)->quarantined_until_us);
      mf_suspects_free (suspects);
      mf_suspects_free (other);
    }
}

static void
test_part_that_upstreams_survive_between_crashes_is_not_refused (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  for (uint64_t i = 1; i <= 20; i++)
    {
      crashes (suspects, DEADLY, CALLER, i * S);
      if (i % 2 == 0)
        survives (suspects, DEADLY, i * S + S / 2);
    }
  assert_false (is_refused (suspects, DEADLY, CALLER, 21 * S));
  mf_suspects_free (suspects);
}

/* Several deadly parts take turns, and nothing is answered meanwhile. */
static void
test_deadly_parts_at_once_do_not_convict_the_first_part (void **state)
{
  (void)state;
  for (uint64_t n_parts = 2; n_parts <= 4; n_parts++)
    {
      MfSuspects *suspects = mf_suspects_new (&limits);

      for (uint64_t i = 1; i <= 5 * n_parts; i++)
        crashes (suspects, DEADLY + i % n_parts, CALLER, i * S / 4);
      for (uint64_t i = 0; i < n_parts; i++)
        assert_true (is_refused (suspects, DEADLY + i, CALLER, 10 * S));
      assert_false (is_refused (suspects, FIRST, CALLER, 10 * S));
      mf_suspects_free (suspects);
    }
}

/* No two of the requests have another part in common. */
static void
test_deadly_first_part_is_refused_after_five_crashes (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  mf_suspects_note_sound (suspects, MF_SUSPECT_PART, FIRST, S / 2, S / 2);
  for (uint64_t i = 1; i <= 5; i++)
    {
      assert_false (is_refused (suspects, FIRST, CALLER, i * S - 1));
      crashes (suspects, 100 + i, CALLER, i * S);
    }
  assert_true (is_refused (suspects, FIRST, CALLER, 6 * S));
  assert_false (is_refused (suspects, 101, CALLER, 6 * S));
  mf_suspects_free (suspects);
}

/* A caller cannot have a part refused that others use. */
static void
test_part_that_others_use_is_refused_to_the_only_caller_it_fails (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  survives (suspects, DEADLY, S / 2);
  for (uint64_t i = 1; i <= 6; i++)
    crashes (suspects, DEADLY, CALLER, i * S);
  assert_true (is_refused (suspects, DEADLY, CALLER, 7 * S));
  assert_false (is_refused (suspects, DEADLY, OTHER_CALLER, 7 * S));
  crashes (suspects, DEADLY, OTHER_CALLER, 8 * S);
  assert_true (is_refused (suspects, DEADLY, OTHER_CALLER, 9 * S));
  mf_suspects_free (suspects);
}

/* The upstream of a trial, a process, is found to have crashed at a time. */
static void
trial_ends (MfSuspects *suspects, uint64_t process_id, uint64_t now_us)
{
  MfSuspectFailure failure = { .digest = now_us,
                               .request_id = now_us,
                               .upstream_id = process_id,
                               .caller = CALLER,
                               .parts = { .hashes = { FIRST, DEADLY }, .n_parts = 2 },
                               .trial_part = DEADLY,
                               .sent_us = now_us - S,
                               .failed_us = now_us - S };

  mf_suspects_add_failure (suspects, &failure);
  mf_suspects_upstream_crashed (suspects, process_id, process_id, now_us, ignore_failure, NULL);
}

static void
test_trials_come_less_often_until_one_is_survived (void **state)
{
  MfSuspects *suspects = suspects_with_deadly ();
  uint64_t now_us = 3 * S;
  uint64_t interval_us = TRIAL_INTERVAL_US;

  (void)state;
  for (uint32_t i = 0; i < 3; i++)
    {
      assert_int_equal (mf_suspects_judge_part (suspects, DEADLY, CALLER, now_us + interval_us - 1),
                        MF_SUSPECT_PART_REFUSED);
      now_us += interval_us * 9 / 8;
      assert_int_equal (mf_suspects_judge_part (suspects, DEADLY, CALLER, now_us),
                        MF_SUSPECT_PART_TRIAL_DUE);
      mf_suspects_start_trial (suspects, DEADLY, now_us);
      assert_int_equal (mf_suspects_judge_part (suspects, DEADLY, CALLER, now_us),
                        MF_SUSPECT_PART_REFUSED);
      now_us += S;
      trial_ends (suspects, now_us, now_us);
      interval_us *= i == 0 ? 1 : 6;
    }
  assert_true (survives (suspects, DEADLY, now_us + S));
  assert_false (is_refused (suspects, DEADLY, CALLER, now_us + S));
  /* One that was deadly before needs less evidence. */
  crashes (suspects, DEADLY, CALLER, now_us + 2 * S);
  assert_false (is_refused (suspects, DEADLY, CALLER, now_us + 2 * S));
  crashes (suspects, DEADLY, CALLER, now_us + 3 * S);
  assert_true (is_refused (suspects, DEADLY, CALLER, now_us + 3 * S));
  mf_suspects_free (suspects);
}

/* Other instances hear of the quarantine late, as they have just started. */
static void
test_crashes_of_a_quarantined_part_without_a_trial_put_off_none (void **state)
{
  MfSuspects *suspects = suspects_with_deadly ();
  uint64_t due_us = mf_suspects_find (suspects, DEADLY, 3 * S)->quarantined_until_us;

  (void)state;
  for (uint64_t i = 1; i <= 3; i++)
    crashes (suspects, DEADLY, CALLER, 3 * S + 9 * S * i);
  assert_int_equal (mf_suspects_judge_part (suspects, DEADLY, CALLER, due_us),
                    MF_SUSPECT_PART_TRIAL_DUE);
  mf_suspects_free (suspects);
}

/* The upstream that the trial was sent to had crashed before, and nobody knew. */
static void
test_trial_at_a_crashed_upstream_is_made_up_for (void **state)
{
  (void)state;
  for (uint64_t process_id = 3 * S; process_id <= 4 * S; process_id += S)
    {
      MfSuspects *suspects = suspects_with_deadly ();

      mf_suspects_start_trial (suspects, DEADLY, 70 * S);
      trial_ends (suspects, process_id, 71 * S);
      assert_int_equal (mf_suspects_judge_part (suspects, DEADLY, CALLER, 71 * S),
                        process_id == 3 * S ? MF_SUSPECT_PART_TRIAL_DUE : MF_SUSPECT_PART_REFUSED);
      mf_suspects_free (suspects);
    }
}

static void
test_quarantine_ends_when_nobody_asks_for_the_part (void **state)
{
  MfSuspects *suspects = suspects_with_deadly ();

  (void)state;
  assert_true (is_refused (suspects, DEADLY, CALLER, 500 * S));
  assert_true (is_refused (suspects, DEADLY, CALLER, 1000 * S));
  assert_false (is_refused (suspects, DEADLY, CALLER, 1700 * S));
  mf_suspects_free (suspects);
}

/* A request of its own that ran, with its answer begun, where an upstream crashed at a time. */
static void
crashes_beside (MfSuspects *suspects, uint64_t digest, uint64_t at_us)
{
  MfSuspectCrash crash
      = { .process_id = at_us, .digest = digest, .sent_us = at_us - 1, .at_us = at_us };

  mf_suspects_add_crash (suspects, digest, &crash, true, at_us);
}

static void
test_request_beside_a_deadly_part_is_not_refused (void **state)
{
  (void)state;
  for (uint32_t ran_late = 0; ran_late < 2; ran_late++)
    {
      MfSuspects *suspects = mf_suspects_new (&limits);

      for (uint64_t i = 1; i <= 4; i++)
        {
          crashes (suspects, DEADLY, CALLER, i * S);
          if (i == 2 + ran_late || i == 3 + ran_late)
            crashes_beside (suspects, BESIDE, i * S);
        }
      assert_false (mf_suspects_is_quarantined (suspects, BESIDE, 5 * S));
      mf_suspects_free (suspects);
    }
}

/* The part was quarantined by mistake: the request is what crashes upstreams. */
static void
test_request_beside_a_sound_part_is_refused_after_three_crashes (void **state)
{
  MfSuspects *suspects = suspects_with_deadly ();

  (void)state;
  crashes_beside (suspects, BESIDE, 2 * S);
  crashes_beside (suspects, BESIDE, 3 * S);
  survives (suspects, DEADLY, 4 * S);
  crashes_beside (suspects, BESIDE, 5 * S);
  assert_true (mf_suspects_is_quarantined (suspects, BESIDE, 500 * S));
  mf_suspects_free (suspects);
}

/* Three crashes beside a deadly part cost a request no ten minutes, but one more without it does.
 */
static void
test_request_that_three_crashes_met_is_refused_for_a_moment (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  for (uint64_t i = 1; i <= 3; i++)
    {
      crashes (suspects, DEADLY, CALLER, i * S);
      crashes_beside (suspects, BESIDE, i * S);
    }
  assert_true (mf_suspects_is_quarantined (suspects, BESIDE, 4 * S));
  assert_false (mf_suspects_is_quarantined (suspects, BESIDE, 34 * S));
  crashes_beside (suspects, BESIDE, 35 * S);
  assert_true (mf_suspects_is_quarantined (suspects, BESIDE, 600 * S));
  mf_suspects_free (suspects);
}

static void
test_invented_parts_do_not_displace_a_quarantine (void **state)
{
  MfSuspects *suspects = suspects_with_deadly ();

  (void)state;
  for (uint64_t part = 100; part < 20000; part++)
    crashes (suspects, part, CALLER, 4 * S + part);
  assert_true (is_refused (suspects, DEADLY, CALLER, 6 * S));
  assert_null (mf_suspects_find (suspects, 100, 6 * S));
  mf_suspects_free (suspects);
}

/* After the loss of all instances a part crashed three upstreams or five before it was refused
 * again.
 */
static void
test_one_crash_is_enough_where_earlier_ones_may_be_unknown (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  survives (suspects, OTHER_DEADLY, S);
  crashes_sufficiently (suspects, OTHER_DEADLY, CALLER, true, 2 * S);
  assert_false (is_refused (suspects, OTHER_DEADLY, CALLER, 3 * S));
  crashes_sufficiently (suspects, DEADLY, CALLER, true, 3 * S);
  assert_true (is_refused (suspects, DEADLY, OTHER_CALLER, 4 * S));
  assert_false (is_refused (suspects, FIRST, CALLER, 4 * S));
  survives (suspects, DEADLY, 4 * S);
  assert_false (is_refused (suspects, DEADLY, CALLER, 4 * S));
  mf_suspects_free (suspects);
}

/* Of many requests that were sent right after the loss none had been answered, and the parts of all
 * were refused. */
static void
test_one_crash_under_many_requests_convicts_none (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);
  MfSuspect reported = { .digest = 32, .kind = MF_SUSPECT_PART, .n_crashes = 1, .part.depth = 1 };

  (void)state;
  for (uint64_t i = 0; i < 2; i++)
    {
      MfParts parts = { .hashes = { FIRST, 30 + i }, .n_parts = 2 };
      MfSuspectCrash crash = { .process_id = 7, .digest = 40 + i, .at_us = S };

      mf_suspects_add_part_crashes (suspects, &parts, &crash, true, S);
      assert_true (is_refused (suspects, 30 + i, CALLER, S));
    }
  reported.crashes[0] = (MfSuspectCrash){ .process_id = 7, .digest = 42, .at_us = S };
  reported.part.quarantined_us = S;
  mf_suspects_merge_part (suspects, &reported, S);
  for (uint64_t part = 30; part <= 32; part++)
    assert_false (is_refused (suspects, part, CALLER, 2 * S));
  mf_suspects_free (suspects);
}

/* Nearly all prompts begin with the first part, so that an upstream soon shows that it is sound. */
static void
test_one_crash_does_not_convict_the_first_part (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);
  MfParts parts = { .hashes = { FIRST }, .n_parts = 1 };
  MfSuspectCrash crash = { .process_id = 1, .digest = 5, .at_us = S };

  (void)state;
  mf_suspects_add_part_crashes (suspects, &parts, &crash, true, S);
  assert_false (is_refused (suspects, FIRST, CALLER, 2 * S));
  mf_suspects_free (suspects);
}

/* A part that is refused for one crash is tried soon, as it may be innocent, and not soon again. */
static void
test_second_trial_after_one_crash_comes_late (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);
  uint64_t trial_us;
  uint64_t next_us;

  (void)state;
  crashes_sufficiently (suspects, DEADLY, CALLER, true, S);
  trial_us = mf_suspects_find (suspects, DEADLY, S)->quarantined_until_us;
  assert_in_range (trial_us, S + TRIAL_INTERVAL_US / 3, S + TRIAL_INTERVAL_US);
  mf_suspects_start_trial (suspects, DEADLY, trial_us);
  mf_suspects_add_failure (suspects, &(MfSuspectFailure){ .digest = 5,
                                                          .upstream_id = 9,
                                                          .parts = { { FIRST, DEADLY }, 2 },
                                                          .trial_part = DEADLY,
                                                          .sent_us = trial_us,
                                                          .failed_us = trial_us + 1 });
  mf_suspects_upstream_crashed (suspects, 9, 9, trial_us + 2, ignore_failure, NULL);
  next_us = mf_suspects_find (suspects, DEADLY, trial_us)->quarantined_until_us;
  assert_in_range (next_us, trial_us + 6 * TRIAL_INTERVAL_US, trial_us + 13 * TRIAL_INTERVAL_US);
  mf_suspects_free (suspects);
}

/* An upstream crashes under the request BESIDE, which has FIRST and DEADLY, where one crash is
 * enough. */
static void
crashes_with_deadly (MfSuspects *suspects, uint64_t upstream_id, uint64_t at_us)
{
  mf_suspects_add_failure (suspects, &(MfSuspectFailure){ .digest = BESIDE,
                                                          .upstream_id = upstream_id,
                                                          .parts = { { FIRST, DEADLY }, 2 },
                                                          .is_sufficient = true,
                                                          .is_sufficient_for_parts = true,
                                                          .sent_us = at_us,
                                                          .failed_us = at_us });
  mf_suspects_upstream_crashed (suspects, upstream_id, upstream_id, at_us + 1, ignore_failure,
                                NULL);
}

/* The request and the part are both suspects: the next request may come with other parts. */
static void
test_part_with_one_crash_does_not_explain_a_request (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  crashes_with_deadly (suspects, 1, S);
  assert_true (is_refused (suspects, DEADLY, CALLER, 2 * S));
  assert_true (mf_suspects_is_quarantined (suspects, BESIDE, 2 * S));
  mf_suspects_free (suspects);
}

/* A request that crashed upstreams was let through as the part that it had had twice explained it.
 */
static void
test_part_with_two_crashes_does_not_explain_a_request_where_one_is_enough (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&limits);

  (void)state;
  crashes_sufficiently (suspects, DEADLY, CALLER, true, S);
  crashes_with_deadly (suspects, 2, 2 * S);
  assert_true (mf_suspects_is_quarantined (suspects, BESIDE, 3 * S));
  mf_suspects_free (suspects);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_content_is_quarantined_for_all_callers),
    cmocka_unit_test (test_content_is_quarantined_after_two_isolated_crashes),
    cmocka_unit_test (test_content_that_upstreams_survive_is_not_quarantined),
    cmocka_unit_test (test_content_explains_no_crash_of_a_part),
    cmocka_unit_test (test_trials_of_a_content_are_minutes_apart_at_most),
    cmocka_unit_test (test_content_with_recent_crashes_is_not_evicted),
    cmocka_unit_test (test_quarantined_part_explains_no_crash_of_a_content),
    cmocka_unit_test (test_deadly_part_is_refused_and_the_first_part_is_not),
    cmocka_unit_test (test_tries_of_one_request_count_once),
    cmocka_unit_test (test_crashes_of_one_moment_do_not_convict_the_first_part),
    cmocka_unit_test (test_part_that_kills_many_upstreams_at_once_is_refused),
    cmocka_unit_test (test_quarantine_of_another_instance_is_taken_over),
    cmocka_unit_test (test_part_that_upstreams_survive_between_crashes_is_not_refused),
    cmocka_unit_test (test_deadly_parts_at_once_do_not_convict_the_first_part),
    cmocka_unit_test (test_deadly_first_part_is_refused_after_five_crashes),
    cmocka_unit_test (test_part_that_others_use_is_refused_to_the_only_caller_it_fails),
    cmocka_unit_test (test_trials_come_less_often_until_one_is_survived),
    cmocka_unit_test (test_crashes_of_a_quarantined_part_without_a_trial_put_off_none),
    cmocka_unit_test (test_trial_at_a_crashed_upstream_is_made_up_for),
    cmocka_unit_test (test_quarantine_ends_when_nobody_asks_for_the_part),
    cmocka_unit_test (test_request_beside_a_deadly_part_is_not_refused),
    cmocka_unit_test (test_request_beside_a_sound_part_is_refused_after_three_crashes),
    cmocka_unit_test (test_request_that_three_crashes_met_is_refused_for_a_moment),
    cmocka_unit_test (test_invented_parts_do_not_displace_a_quarantine),
    cmocka_unit_test (test_one_crash_is_enough_where_earlier_ones_may_be_unknown),
    cmocka_unit_test (test_one_crash_under_many_requests_convicts_none),
    cmocka_unit_test (test_one_crash_does_not_convict_the_first_part),
    cmocka_unit_test (test_second_trial_after_one_crash_comes_late),
    cmocka_unit_test (test_part_with_one_crash_does_not_explain_a_request),
    cmocka_unit_test (test_part_with_two_crashes_does_not_explain_a_request_where_one_is_enough),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
