#include "libmangofork/relay/target.h"

#include "libmangofork/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define NOW_US (100 * MF_US_PER_S)

static MfTargetInfo
info_make (const char *id, const char *address)
{
  MfTargetInfo info = { .role = MF_ROLE_PLAIN, .slots = 6, .started_ms = 1 };

  mf_name_set (info.id, sizeof info.id, id);
  mf_name_set (info.service, sizeof info.service, "shop");
  mf_name_set (info.address, sizeof info.address, address);
  return info;
}

static void
test_a_restarted_process_has_no_statistics (void **state)
{
  MfTargets targets = { 0 };
  MfTargetInfo info = info_make ("u1", "127.0.0.1:1");

  (void)state;
  assert_true (mf_targets_update (&targets, &info));
  assert_false (mf_targets_update (&targets, &info));
  mf_target_record_failure (mf_targets_find (&targets, "u1"), true, NOW_US);
  assert_int_equal (mf_targets_find (&targets, "u1")->n_failures, 1);
  info.started_ms = 2;
  assert_true (mf_targets_update (&targets, &info));
  assert_int_equal (mf_targets_find (&targets, "u1")->n_failures, 0);
  assert_int_equal (targets.n_targets, 1);
  info.leaving = true;
  assert_true (mf_targets_update (&targets, &info));
  mf_targets_clear (&targets);
}

/* After a crash, the next process at an address is listed beside the last one for a while. A late
 * entry of the last one changes nothing. */
/* An id and an address may be used again by another version. */
static void
test_versions_in_use_are_known (void **state)
{
  MfTargets targets = { 0 };
  MfTargetInfo info = info_make ("u1", "127.0.0.1:1");
  MfTargetInfo other = info_make ("u2", "127.0.0.1:2");
  uint64_t now_us = mf_clock_now_us ();
  uint64_t old_version;

  (void)state;
  mf_name_set (info.version, sizeof info.version, "v1");
  mf_name_set (other.version, sizeof other.version, "v1");
  mf_targets_update (&targets, &info);
  mf_targets_update (&targets, &other);
  old_version = mf_targets_find (&targets, "u1")->version;
  assert_true (mf_targets_sole_version (&targets, info.service, now_us) == old_version);
  assert_int_equal (mf_targets_sole_version (&targets, "none", now_us), 0);
  mf_name_set (info.version, sizeof info.version, "v2");
  assert_true (mf_targets_update (&targets, &info));
  assert_true (mf_targets_find (&targets, "u1")->version != old_version);
  assert_int_equal (mf_targets_sole_version (&targets, info.service, now_us), 0);
  other.leaving = true;
  mf_targets_update (&targets, &other);
  assert_int_equal (mf_targets_sole_version (&targets, info.service, now_us), 0);
  mf_targets_remove (&targets, "u2", true, now_us);
  assert_int_equal (mf_targets_sole_version (&targets, info.service, now_us), 0);
  assert_true (mf_targets_sole_version (&targets, info.service, now_us + 2 * MF_VERSION_LAG_US)
               == mf_targets_find (&targets, "u1")->version);
  targets.versions.complete_since_us = now_us + MF_VERSION_LAG_US;
  assert_int_equal (mf_targets_sole_version (&targets, info.service, now_us + MF_VERSION_LAG_US),
                    0);
  mf_targets_clear (&targets);
}

static void
test_only_the_last_process_at_an_address_is_used (void **state)
{
  MfTargets targets = { 0 };
  MfTargetInfo old = info_make ("u1", "127.0.0.1:1");
  MfTargetInfo next = info_make ("u2", "127.0.0.1:1");

  (void)state;
  next.started_ms = 2;
  mf_targets_update (&targets, &old);
  mf_targets_update (&targets, &next);
  assert_true (mf_target_is_suspect (mf_targets_find (&targets, "u1"), NOW_US));
  assert_false (mf_target_is_suspect (mf_targets_find (&targets, "u2"), NOW_US));
  mf_targets_remove (&targets, "u1", true, NOW_US);
  mf_targets_update (&targets, &old);
  assert_true (mf_target_is_suspect (mf_targets_find (&targets, "u1"), NOW_US));
  assert_false (mf_target_is_suspect (mf_targets_find (&targets, "u2"), NOW_US));
  mf_targets_clear (&targets);
}

/* The entry of a removed process at the same address returned with an older copy, and the process
 * that runs there was not used any more. */
static void
test_entry_that_returns_with_a_copy_replaces_no_process (void **state)
{
  MfTargets targets = { 0 };
  MfTargetInfo old = info_make ("u1", "127.0.0.1:1");
  MfTargetInfo next = info_make ("u2", "127.0.0.1:1");

  (void)state;
  mf_targets_update (&targets, &old);
  mf_targets_remove (&targets, "u1", true, NOW_US);
  mf_targets_update (&targets, &next);
  mf_targets_begin_list (&targets);
  targets.is_restoring = true;
  mf_targets_update (&targets, &old);
  targets.is_restoring = false;
  assert_false (mf_target_is_suspect (mf_targets_find (&targets, "u2"), NOW_US));
  /* It is written again: it runs there after all. */
  mf_targets_update (&targets, &old);
  assert_true (mf_target_is_suspect (mf_targets_find (&targets, "u2"), NOW_US));
  mf_targets_clear (&targets);
}

static void
test_unlisted_entries_are_kept_until_they_expire (void **state)
{
  MfTargets targets = { 0 };
  MfTargetInfo one = info_make ("u1", "127.0.0.1:1");
  MfTargetInfo two = info_make ("u2", "127.0.0.1:2");

  (void)state;
  mf_targets_update (&targets, &one);
  mf_targets_update (&targets, &two);
  assert_true (mf_targets_remove (&targets, "u1", false, NOW_US));
  assert_true (mf_targets_remove (&targets, "u2", false, NOW_US));
  assert_false (mf_targets_remove (&targets, "u3", false, NOW_US));
  assert_int_equal (targets.n_targets, 2);
  /* u2 is listed again before the time is over. */
  assert_true (mf_targets_update (&targets, &two));
  assert_int_equal (mf_targets_expire (&targets, NOW_US - 1), 0);
  assert_int_equal (mf_targets_expire (&targets, NOW_US), 1);
  assert_null (mf_targets_find (&targets, "u1"));
  assert_non_null (mf_targets_find (&targets, "u2"));
  assert_true (mf_targets_remove (&targets, "u2", true, NOW_US));
  assert_int_equal (targets.n_targets, 0);
}

static void
test_requests_outlast_their_upstream (void **state)
{
  MfTargets targets = { 0 };
  MfTargetInfo info = info_make ("u1", "127.0.0.1:1");
  MfTarget *target;

  (void)state;
  mf_targets_update (&targets, &info);
  target = mf_target_ref (mf_targets_find (&targets, "u1"));
  mf_target_begin_request (target, 10, NOW_US);
  mf_targets_remove (&targets, "u1", true, NOW_US);
  assert_false (target->listed);
  mf_target_end_request (target, 10);
  mf_target_unref (target);
}

static void
test_failures_fade (void **state)
{
  MfTarget target = { 0 };

  (void)state;
  for (uint32_t i = 0; i < 20; i++)
    mf_target_record_failure (&target, false, NOW_US);
  assert_true (mf_target_failure_share (&target, NOW_US) > 0.9);
  assert_true (mf_target_failure_share (&target, NOW_US + 3 * MF_US_PER_S) < 0.5);
  assert_true (mf_target_failure_share (&target, NOW_US + 30 * MF_US_PER_S) < 0.01);
}

static void
test_suspicion_grows_to_a_bound_and_ends_with_a_sign_of_life (void **state)
{
  MfTarget target = { 0 };
  uint64_t first_us;

  (void)state;
  mf_target_record_failure (&target, true, NOW_US);
  first_us = target.suspect_until_us - NOW_US;
  mf_target_record_failure (&target, true, NOW_US);
  assert_int_equal (target.suspect_until_us - NOW_US, 2 * first_us);
  for (uint32_t i = 0; i < 20; i++)
    mf_target_record_failure (&target, true, NOW_US);
  assert_true (target.suspect_until_us - NOW_US <= 3 * MF_US_PER_S);
  mf_target_record_alive (&target, NOW_US);
  assert_int_equal (target.suspect_until_us, 0);
  assert_int_equal (target.n_failures, 0);
}

/* The announcement of a process that it will stop outlasts its entry, and does not apply to the
 * next process with its id. */
static void
test_a_process_that_said_it_leaves_is_not_used_again (void **state)
{
  MfTargets targets = { 0 };
  MfTargetInfo info = info_make ("u1", "127.0.0.1:1");

  (void)state;
  mf_targets_update (&targets, &info);
  assert_true (mf_target_accepts (mf_targets_find (&targets, "u1"), NOW_US));
  mf_target_record_leaving (mf_targets_find (&targets, "u1"));
  assert_false (mf_target_accepts (mf_targets_find (&targets, "u1"), NOW_US));
  mf_targets_update (&targets, &info);
  assert_true (mf_target_is_leaving (mf_targets_find (&targets, "u1")));
  mf_targets_remove (&targets, "u1", true, NOW_US);
  mf_targets_update (&targets, &info);
  assert_true (mf_target_is_leaving (mf_targets_find (&targets, "u1")));
  /* An entry without a start time is no proof of a new process. */
  mf_targets_remove (&targets, "u1", true, NOW_US);
  info.started_ms = 0;
  mf_targets_update (&targets, &info);
  assert_true (mf_target_is_leaving (mf_targets_find (&targets, "u1")));
  info.started_ms = 2;
  mf_targets_update (&targets, &info);
  assert_false (mf_target_is_leaving (mf_targets_find (&targets, "u1")));
  mf_targets_clear (&targets);
}

static void
on_listing_changed (void *data, const MfListing *listing)
{
  *(MfListing *)data = *listing;
}

/* An instance without a path to discovery knows what others have read there. */
static void
test_what_another_instance_has_read_of_a_process_counts (void **state)
{
  static const MfTargetsCallbacks callbacks = { .listing_changed = on_listing_changed };
  MfTargets targets = { 0 };
  MfTargetInfo info = info_make ("u1", "127.0.0.1:1");
  MfListing reported = { 0 };
  MfTarget *target;
  MfListing listing;

  (void)state;
  targets.user_data = &reported;
  targets.position = (MfPosition){ 1, 10 };
  assert_true (mf_targets_update (&targets, &info));
  targets.callbacks = &callbacks;
  target = mf_targets_find (&targets, "u1");
  listing = (MfListing){ mf_target_process_id (target), MF_LISTING_REMOVED, { 1, 9 } };
  mf_targets_note_listing (&targets, &listing);
  assert_true (mf_target_accepts (target, NOW_US));
  listing.position.revision = 12;
  mf_targets_note_listing (&targets, &listing);
  assert_false (mf_target_accepts (target, NOW_US));
  assert_false (mf_target_is_leaving (target));
  /* An older list has it still. */
  mf_targets_update (&targets, &info);
  assert_false (mf_target_accepts (target, NOW_US));
  assert_int_equal (reported.process, 0);
  targets.position.revision = 13;
  mf_targets_update (&targets, &info);
  assert_true (mf_target_accepts (target, NOW_US));
  assert_int_equal (reported.state, MF_LISTING_LISTED);
  /* What is kept for a while was removed when it was read to be. */
  targets.position.revision = 15;
  mf_targets_remove (&targets, "u1", false, NOW_US);
  targets.position.revision = 18;
  assert_int_equal (mf_targets_expire (&targets, NOW_US), 1);
  assert_int_equal (reported.state, MF_LISTING_REMOVED);
  assert_int_equal (reported.position.revision, 15);
  /* The exit of an unlisted process is known when it is listed. */
  targets.callbacks = NULL;
  listing.state = MF_LISTING_LEAVING;
  mf_targets_note_listing (&targets, &listing);
  mf_targets_update (&targets, &info);
  assert_true (mf_target_is_leaving (mf_targets_find (&targets, "u1")));
  mf_targets_clear (&targets);
}

/* With more departures than are kept, only the oldest are dropped. */
static void
test_departures_are_bounded (void **state)
{
  MfTargets targets = { 0 };
  char id[16];

  (void)state;
  for (uint32_t i = 0; i < MF_TARGETS_DEPARTURES_MAX + 5; i++)
    {
      MfTargetInfo info;

      snprintf (id, sizeof id, "u%u", i);
      info = info_make (id, "127.0.0.1:1");
      mf_targets_update (&targets, &info);
      mf_target_record_leaving (mf_targets_find (&targets, id));
      mf_targets_remove (&targets, id, true, NOW_US);
    }
  for (uint32_t i = 5; i < MF_TARGETS_DEPARTURES_MAX + 5; i++)
    {
      MfTargetInfo info;

      snprintf (id, sizeof id, "u%u", i);
      info = info_make (id, "127.0.0.1:1");
      mf_targets_update (&targets, &info);
      assert_true (mf_target_is_leaving (mf_targets_find (&targets, id)));
    }
  mf_targets_clear (&targets);
}

static void
test_pauses_are_bounded_and_never_shortened (void **state)
{
  MfTargets targets = { 0 };
  MfTargetInfo info = info_make ("u1", "127.0.0.1:1");
  MfTarget *target;

  (void)state;
  mf_targets_update (&targets, &info);
  target = mf_targets_find (&targets, "u1");
  mf_target_pause (target, 1.5, NOW_US);
  mf_target_pause (target, 0.2, NOW_US);
  assert_false (mf_target_accepts (target, NOW_US + 1499 * MF_US_PER_MS));
  assert_true (mf_target_accepts (target, NOW_US + 1500 * MF_US_PER_MS));
  mf_target_pause (target, 1e300, NOW_US);
  assert_false (mf_target_accepts (target, NOW_US + 60 * MF_US_PER_S));
  assert_true (mf_target_accepts (target, NOW_US + 3600 * MF_US_PER_S));
  mf_targets_clear (&targets);
}

/* An engine that declines without any load is busy with something else, and is tried less and less
 * often, within bounds. A full engine has capacity again as soon as a request ends. */
static void
test_an_engine_that_declines_while_idle_is_tried_less_often (void **state)
{
  MfTarget target = { 0 };
  uint64_t first_us;

  (void)state;
  mf_target_record_decline (&target, NOW_US);
  first_us = target.full_until_us - NOW_US;
  mf_target_record_decline (&target, NOW_US);
  assert_int_equal (target.full_until_us - NOW_US, 2 * first_us);
  for (uint32_t i = 0; i < 40; i++)
    mf_target_record_decline (&target, NOW_US);
  assert_in_range (target.full_until_us - NOW_US, MF_US_PER_S, 2 * MF_US_PER_S);
  mf_target_record_answer (&target, 1000, NOW_US);
  mf_target_record_decline (&target, NOW_US);
  assert_int_equal (target.full_until_us - NOW_US, first_us);
  target.n_remote = 3;
  mf_target_record_decline (&target, NOW_US);
  mf_target_record_decline (&target, NOW_US);
  assert_int_equal (target.full_until_us - NOW_US, first_us);
}

static void
test_load_is_that_of_all_instances (void **state)
{
  MfTarget target = { .n_remote = 3, .remote_tokens = 300 };

  (void)state;
  mf_target_begin_request (&target, 100, NOW_US);
  mf_target_reserve (&target, 50);
  assert_int_equal (mf_target_load (&target), 5);
  assert_int_equal (mf_target_load_tokens (&target), 450);
  mf_target_add_tokens (&target, 7);
  mf_target_unreserve (&target, 50);
  assert_int_equal (mf_target_load_tokens (&target), 407);
  mf_target_end_request (&target, 107);
  assert_int_equal (mf_target_load_tokens (&target), 300);
}

/* Returns a notice that the process at id takes this many requests a second. */
static MfRateNotice
limit_make (uint64_t per_s)
{
  return (MfRateNotice){
    .is_limited = true, .micro_per_s = per_s * MF_RATE_MICRO, .asked_us = NOW_US, .heard_us = NOW_US
  };
}

static void
test_limit_outlasts_a_missing_entry_and_not_the_process (void **state)
{
  MfTargets targets = { 0 };
  MfTargetInfo info = info_make ("u1", "127.0.0.1:1");
  MfRateNotice limit = limit_make (5);

  (void)state;
  mf_targets_update (&targets, &info);
  mf_target_note_limit (mf_targets_find (&targets, "u1"), &limit, true);
  mf_targets_remove (&targets, "u1", true, NOW_US);
  mf_targets_update (&targets, &info);
  assert_true (mf_target_is_limited (mf_targets_find (&targets, "u1")));
  info.started_ms = 2;
  mf_targets_update (&targets, &info);
  assert_false (mf_target_is_limited (mf_targets_find (&targets, "u1")));
  mf_targets_clear (&targets);
}

/* Another instance may know a process, and its limit, before this one. */
static void
test_limit_of_a_process_is_kept_until_it_is_listed (void **state)
{
  MfTargets targets = { 0 };
  MfTargets others = { 0 };
  MfTargetInfo info = info_make ("u1", "127.0.0.1:1");
  MfRateNotice limit = limit_make (5);
  MfRateNotice end = { .asked_us = NOW_US + 1, .heard_us = NOW_US + 2 };
  uint64_t process;

  (void)state;
  mf_targets_update (&others, &info);
  process = mf_target_process_id (mf_targets_find (&others, "u1"));
  mf_targets_note_limit (&targets, process, &limit);
  mf_targets_update (&targets, &info);
  assert_true (mf_target_is_limited (mf_targets_find (&targets, "u1")));
  mf_targets_note_limit (&targets, process, &end);
  assert_false (mf_target_is_limited (mf_targets_find (&targets, "u1")));
  mf_targets_clear (&targets);
  mf_targets_clear (&others);
}

static void
test_sends_of_the_last_second_are_counted (void **state)
{
  MfTargets targets = { 0 };
  MfTargetInfo info = info_make ("u1", "127.0.0.1:1");
  MfTarget *target;

  (void)state;
  mf_targets_update (&targets, &info);
  target = mf_targets_find (&targets, "u1");
  assert_int_equal (mf_target_n_recent_sends (target, NOW_US), 0);
  for (uint32_t i = 0; i < 30; i++)
    mf_target_note_send (target, NOW_US + i * 50 * MF_US_PER_MS);
  assert_in_range (mf_target_n_recent_sends (target, NOW_US + 1450 * MF_US_PER_MS), 18, 20);
  assert_in_range (mf_target_n_recent_sends (target, NOW_US + 2000 * MF_US_PER_MS), 8, 10);
  assert_int_equal (mf_target_n_recent_sends (target, NOW_US + 3000 * MF_US_PER_MS), 0);
  mf_target_note_send (target, NOW_US + 9000 * MF_US_PER_MS);
  assert_int_equal (mf_target_n_recent_sends (target, NOW_US + 9000 * MF_US_PER_MS), 1);
  mf_targets_clear (&targets);
}

/* All instances together keep fewer connections idle than the upstream accepts, however many there
 * are. */
static void
test_idle_connections_of_all_stay_below_what_is_accepted (void **state)
{
  static const uint32_t n_instances[] = { 1, 6, 84, 295, 1000 };
  static const uint32_t connections_max[] = { 1, 6, 48, 96, 1800 };
  MfTargets targets = { 0 };
  MfTargetInfo info = info_make ("u1", "127.0.0.1:1");
  MfTarget *target;

  (void)state;
  mf_targets_update (&targets, &info);
  target = mf_targets_find (&targets, "u1");
  for (size_t i = 0; i < MF_ARRAY_LEN (n_instances); i++)
    {
      for (size_t j = 0; j < MF_ARRAY_LEN (connections_max); j++)
        {
          mf_target_limit_idle (target, connections_max[j], n_instances[i]);
          assert_in_range (target->pool.n_idle_max * n_instances[i], 0, connections_max[j]);
        }
    }
  mf_target_limit_idle (target, 1800, 6);
  assert_int_equal (target->pool.n_idle_max, 8);
  mf_target_limit_idle (target, 0, 6);
  assert_int_equal (target->pool.n_idle_max, 8);
  mf_targets_clear (&targets);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_restarted_process_has_no_statistics),
    cmocka_unit_test (test_versions_in_use_are_known),
    cmocka_unit_test (test_only_the_last_process_at_an_address_is_used),
    cmocka_unit_test (test_entry_that_returns_with_a_copy_replaces_no_process),
    cmocka_unit_test (test_unlisted_entries_are_kept_until_they_expire),
    cmocka_unit_test (test_requests_outlast_their_upstream),
    cmocka_unit_test (test_failures_fade),
    cmocka_unit_test (test_suspicion_grows_to_a_bound_and_ends_with_a_sign_of_life),
    cmocka_unit_test (test_a_process_that_said_it_leaves_is_not_used_again),
    cmocka_unit_test (test_what_another_instance_has_read_of_a_process_counts),
    cmocka_unit_test (test_departures_are_bounded),
    cmocka_unit_test (test_pauses_are_bounded_and_never_shortened),
    cmocka_unit_test (test_an_engine_that_declines_while_idle_is_tried_less_often),
    cmocka_unit_test (test_load_is_that_of_all_instances),
    cmocka_unit_test (test_limit_outlasts_a_missing_entry_and_not_the_process),
    cmocka_unit_test (test_limit_of_a_process_is_kept_until_it_is_listed),
    cmocka_unit_test (test_sends_of_the_last_second_are_counted),
    cmocka_unit_test (test_idle_connections_of_all_stay_below_what_is_accepted),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
