#include "libmangofork/relay/listing.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static MfListing
listing_make (uint64_t process, MfListingState state, uint64_t era, uint64_t revision)
{
  return (MfListing){ .process = process,
                      .state = state,
                      .position = { .era = era, .revision = revision } };
}

static bool
note (MfListings *listings, MfListing listing)
{
  return mf_listings_note (listings, &listing);
}

static void
test_what_was_read_later_counts (void **state)
{
  MfListings listings = { 0 };

  (void)state;
  assert_null (mf_listings_find (&listings, 1));
  assert_true (note (&listings, listing_make (1, MF_LISTING_REMOVED, 1, 10)));
  assert_false (note (&listings, listing_make (1, MF_LISTING_REMOVED, 1, 10)));
  assert_false (note (&listings, listing_make (1, MF_LISTING_LISTED, 1, 9)));
  assert_int_equal (mf_listings_find (&listings, 1)->state, MF_LISTING_REMOVED);
  assert_true (note (&listings, listing_make (1, MF_LISTING_LISTED, 1, 11)));
  assert_int_equal (mf_listings_find (&listings, 1)->state, MF_LISTING_LISTED);
  /* Revisions are given out again in the next era. */
  assert_true (note (&listings, listing_make (1, MF_LISTING_REMOVED, 2, 3)));
  assert_false (note (&listings, listing_make (1, MF_LISTING_LISTED, 1, 12)));
  assert_int_equal (mf_listings_find (&listings, 1)->state, MF_LISTING_REMOVED);
}

static void
test_an_announced_exit_is_final (void **state)
{
  MfListings listings = { 0 };

  (void)state;
  note (&listings, listing_make (1, MF_LISTING_LISTED, 1, 10));
  assert_true (note (&listings, listing_make (1, MF_LISTING_LEAVING, 1, 5)));
  assert_false (note (&listings, listing_make (1, MF_LISTING_LISTED, 2, 20)));
  assert_int_equal (mf_listings_find (&listings, 1)->state, MF_LISTING_LEAVING);
}

static void
test_the_oldest_rows_are_overwritten (void **state)
{
  static MfListings listings;

  (void)state;
  for (uint64_t process = 1; process <= MF_LISTINGS_MAX + 3; process++)
    assert_true (note (&listings, listing_make (process, MF_LISTING_REMOVED, 1, process)));
  assert_int_equal (mf_listings_n_kept (&listings), MF_LISTINGS_MAX);
  assert_null (mf_listings_find (&listings, 3));
  assert_non_null (mf_listings_find (&listings, 4));
}

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_what_was_read_later_counts),
    cmocka_unit_test (test_an_announced_exit_is_final),
    cmocka_unit_test (test_the_oldest_rows_are_overwritten),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
