#include "libmangofork/suspect.h"

#include <setjmp.h>
#include <stdarg.h>

#include <cmocka.h>

#define DIGEST 7
#define OTHER_DIGEST 8
#define S MF_US_PER_S

static const MfSuspectTerms terms
    = { .break_us = 10 * S, .two_deaths_us = 30 * S, .three_deaths_us = 600 * S };

/* The verdicts on the breaks of one upstream, by digest. */
typedef struct
{
  MfSuspectVerdict own;
  MfSuspectVerdict other;
  uint32_t n;
} Seen;

static void
on_verdict (void *data, const MfSuspectBreak *broken, MfSuspectVerdict verdict)
{
  Seen *seen = data;

  seen->n++;
  if (broken->digest == DIGEST)
    seen->own = verdict;
  else
    seen->other = verdict;
}

static void
run_breaks (MfSuspects *suspects, uint64_t digest, uint64_t upstream, bool suspect,
            uint64_t sent_us)
{
  mf_suspects_add_break (suspects, &(MfSuspectBreak){ .digest = digest,
                                                      .request = digest * 100 + upstream,
                                                      .upstream = upstream,
                                                      .suspect = suspect,
                                                      .sent_us = sent_us,
                                                      .at_us = sent_us + S / 10 });
}

static Seen
upstream_ends (MfSuspects *suspects, uint64_t upstream, uint64_t now_us)
{
  Seen seen = { 0 };

  mf_suspects_end_upstream (suspects, upstream, upstream, now_us, on_verdict, &seen);
  return seen;
}

/* Ends one upstream after the other under the digest; returns the last verdict. */
static MfSuspectVerdict
die_at (MfSuspects *suspects, uint64_t upstream, bool apart)
{
  run_breaks (suspects, DIGEST, upstream, upstream > 1, upstream * S);
  if (!apart)
    run_breaks (suspects, OTHER_DIGEST + upstream, upstream, upstream > 1, upstream * S);
  return upstream_ends (suspects, upstream, upstream * S + S / 5).own;
}

static void
test_second_death_apart_from_other_suspects_convicts (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&terms);

  (void)state;
  assert_int_equal (die_at (suspects, 1, false), MF_SUSPECT_COUNTED);
  assert_int_equal (die_at (suspects, 2, true), MF_SUSPECT_CONVICTED);
  assert_true (mf_suspects_is_convicted (suspects, DIGEST, 3 * S));
  assert_false (mf_suspects_is_convicted (suspects, OTHER_DIGEST + 1, 3 * S));
  mf_suspects_free (suspects);
}

static void
test_third_death_convicts_in_any_company (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&terms);

  (void)state;
  assert_int_equal (die_at (suspects, 1, false), MF_SUSPECT_COUNTED);
  assert_int_equal (die_at (suspects, 2, false), MF_SUSPECT_COUNTED);
  assert_int_equal (die_at (suspects, 3, false), MF_SUSPECT_CONVICTED);
  mf_suspects_free (suspects);
}

/* Two instances each had one suspect at a process that ended; what the other tells comes later. */
static void
test_suspects_of_two_instances_at_one_end_are_not_convicted (void **state)
{
  static const uint64_t processes[] = { 5, 2 };
  MfSuspects *suspects = mf_suspects_new (&terms);

  (void)state;
  die_at (suspects, 1, false);
  assert_int_equal (die_at (suspects, 2, true), MF_SUSPECT_CONVICTED);
  for (size_t i = 0; i < MF_ARRAY_LEN (processes); i++)
    mf_suspects_add_death (
        suspects, OTHER_DIGEST,
        &(MfSuspectDeath){ .process = processes[i], .sent_us = (3 + i) * S, .at_us = (3 + i) * S },
        false, 5 * S);
  assert_false (mf_suspects_convict (suspects, OTHER_DIGEST, 30 * S, 5 * S));
  assert_false (mf_suspects_is_convicted (suspects, DIGEST, 5 * S));
  assert_int_equal (die_at (suspects, 6, true), MF_SUSPECT_CONVICTED);
  mf_suspects_free (suspects);
}

/* A sentence for two deaths ends; the next death is the third, and its sentence the long one. */
static void
test_conviction_ends_and_comes_back (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&terms);

  (void)state;
  die_at (suspects, 1, true);
  die_at (suspects, 2, true);
  assert_true (mf_suspects_is_convicted (suspects, DIGEST, 30 * S));
  assert_false (mf_suspects_is_convicted (suspects, DIGEST, 40 * S));
  assert_int_equal (die_at (suspects, 40, false), MF_SUSPECT_CONVICTED);
  assert_true (mf_suspects_is_convicted (suspects, DIGEST, 600 * S));
  assert_null (mf_suspects_find (suspects, DIGEST, 641 * S));
  mf_suspects_free (suspects);
}

/* Tries of one request at three upstreams that lose power together are one death. */
static void
test_deaths_at_once_are_one (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&terms);

  (void)state;
  for (uint64_t upstream = 1; upstream <= 3; upstream++)
    run_breaks (suspects, DIGEST, upstream, false, S);
  assert_int_equal (upstream_ends (suspects, 1, 2 * S).own, MF_SUSPECT_COUNTED);
  assert_int_equal (upstream_ends (suspects, 2, 2 * S).own, MF_SUSPECT_KNOWN);
  assert_int_equal (upstream_ends (suspects, 3, 2 * S).own, MF_SUSPECT_KNOWN);
  assert_int_equal (mf_suspects_find (suspects, DIGEST, 2 * S)->n_deaths, 1);
  mf_suspects_free (suspects);
}

static void
test_answer_clears (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&terms);

  (void)state;
  for (uint64_t upstream = 1; upstream < 10; upstream++)
    {
      assert_int_equal (die_at (suspects, upstream, true), MF_SUSPECT_COUNTED);
      assert_true (mf_suspects_clear (suspects, DIGEST));
      assert_false (mf_suspects_clear (suspects, DIGEST));
    }
  mf_suspects_free (suspects);
}

/* A break is not counted when the upstream has answered since, or ended long after. */
static void
test_breaks_at_living_upstreams_are_released (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&terms);
  Seen seen = { 0 };

  (void)state;
  run_breaks (suspects, DIGEST, 1, false, S);
  mf_suspects_release_upstream (suspects, 1, S, on_verdict, &seen);
  assert_int_equal (seen.n, 0);
  mf_suspects_release_upstream (suspects, 1, 2 * S, on_verdict, &seen);
  assert_int_equal (seen.n, 1);
  assert_int_equal (upstream_ends (suspects, 1, 3 * S).n, 0);
  run_breaks (suspects, DIGEST, 2, false, S);
  assert_int_equal (upstream_ends (suspects, 2, 20 * S).own, MF_SUSPECT_RELEASED);
  run_breaks (suspects, DIGEST, 3, false, S);
  mf_suspects_release_before (suspects, 2 * S, on_verdict, &seen);
  assert_int_equal (mf_suspects_n_breaks (suspects), 0);
  assert_null (mf_suspects_find (suspects, DIGEST, 20 * S));
  mf_suspects_free (suspects);
}

/* Many suspects push out those that were never convicted, and no conviction. */
static void
test_convictions_outlast_many_suspects (void **state)
{
  MfSuspects *suspects = mf_suspects_new (&terms);

  (void)state;
  die_at (suspects, 1, true);
  die_at (suspects, 2, true);
  for (uint64_t digest = 100; digest < 20000; digest++)
    mf_suspects_add_death (suspects, digest, &(MfSuspectDeath){ .process = 1, .at_us = 3 * S },
                           false, 3 * S);
  assert_true (mf_suspects_is_convicted (suspects, DIGEST, 4 * S));
  assert_null (mf_suspects_find (suspects, 100, 4 * S));
  mf_suspects_free (suspects);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_second_death_apart_from_other_suspects_convicts),
    cmocka_unit_test (test_third_death_convicts_in_any_company),
    cmocka_unit_test (test_suspects_of_two_instances_at_one_end_are_not_convicted),
    cmocka_unit_test (test_conviction_ends_and_comes_back),
    cmocka_unit_test (test_deaths_at_once_are_one),
    cmocka_unit_test (test_answer_clears),
    cmocka_unit_test (test_breaks_at_living_upstreams_are_released),
    cmocka_unit_test (test_convictions_outlast_many_suspects),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
