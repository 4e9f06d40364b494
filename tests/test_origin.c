#include "libmangofork/relay/origin.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* More than the table holds. */
#define N_STREAMS 40000
#define N_KEPT 4000

static void
test_version_of_a_stream (void **state)
{
  MfOrigins *origins = mf_origins_new ();
  uint64_t version = 0;

  (void)state;
  assert_non_null (origins);
  assert_int_equal (mf_origins_find (origins, 5, &version), MF_ORIGIN_UNKNOWN);
  mf_origins_note (origins, 5, 8);
  mf_origins_note (origins, 6, 9);
  mf_origins_note (origins, 5, 8);
  assert_int_equal (mf_origins_find (origins, 5, &version), MF_ORIGIN_KNOWN);
  assert_int_equal (version, 8);
  assert_int_equal (mf_origins_find (origins, 6, &version), MF_ORIGIN_KNOWN);
  assert_int_equal (version, 9);
  /* Once two versions have begun streams of this name, it says nothing any more. */
  mf_origins_note (origins, 5, 9);
  mf_origins_note (origins, 5, 9);
  assert_int_equal (mf_origins_find (origins, 5, &version), MF_ORIGIN_AMBIGUOUS);
  mf_origins_free (origins);
  mf_origins_free (NULL);
}

/* The table is bounded; the latest streams are those that are taken up. */
static void
test_the_latest_streams_are_kept (void **state)
{
  MfOrigins *origins = mf_origins_new ();
  uint64_t version = 0;

  (void)state;
  for (uint64_t i = 1; i <= N_STREAMS; i++)
    mf_origins_note (origins, i, i + 1);
  for (uint64_t i = N_STREAMS - N_KEPT; i <= N_STREAMS; i++)
    {
      assert_int_equal (mf_origins_find (origins, i, &version), MF_ORIGIN_KNOWN);
      assert_int_equal (version, i + 1);
    }
  assert_int_equal (mf_origins_find (origins, 1, &version), MF_ORIGIN_UNKNOWN);
  mf_origins_free (origins);
}

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_version_of_a_stream),
    cmocka_unit_test (test_the_latest_streams_are_kept),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
