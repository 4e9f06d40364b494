#include "libmangofork/relay/feed.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define NOW_US (100 * MF_US_PER_S)
#define STALENESS_MAX_US (4 * MF_US_PER_S)
#define STANDALONE_WAIT_US (3750 * MF_US_PER_MS)

/* A data centre of a large fleet; its readers come first. */
#define N_INSTANCES 59
#define STEP_US (10 * MF_US_PER_MS)
#define TRANSIT_US (2 * MF_US_PER_MS)
#define SIMULATED_US (60 * MF_US_PER_S)
/* Interval of changes in the store on a day with releases. */
#define CHANGE_INTERVAL_US (700 * MF_US_PER_MS)

static void
test_items_come_back_as_they_were_added (void **state)
{
  MfFeed feed = { 0 };

  (void)state;
  mf_feed_begin (&feed, 0, 7);
  assert_true (mf_feed_add (&feed, "a", 8, false, "one", 3));
  assert_true (mf_feed_add (&feed, "b", 9, true, "", 0));
  assert_true (mf_feed_add (&feed, "c", 10, false, "three", 5));
  assert_int_equal (feed.n_items, 3);
  assert_int_equal (feed.from_revision, 7);
  assert_string_equal (feed.items[2].key, "c");
  assert_memory_equal (mf_buffer_data (&feed.values) + feed.items[2].value_at, "three", 5);
  assert_int_equal (feed.items[1].value_bytes, 0);
  mf_feed_begin (&feed, 0, 10);
  assert_int_equal (feed.n_items, 0);
  mf_feed_clear (&feed);
}

static void
test_feeds_are_bounded (void **state)
{
  static char large[1024 * 1024];
  char key[MF_FEED_KEY_BYTES + 1];
  MfFeed feed = { 0 };

  (void)state;
  memset (key, 'k', sizeof key);
  key[MF_FEED_KEY_BYTES] = '\0';
  mf_feed_begin (&feed, 0, 1);
  assert_false (mf_feed_add (&feed, "config", 2, false, large, sizeof large));
  assert_false (mf_feed_add (&feed, key, 2, false, "", 0));
  for (uint32_t i = 0; i < MF_FEED_ITEMS_MAX; i++)
    assert_true (mf_feed_add (&feed, "k", i + 2, false, "v", 1));
  assert_false (mf_feed_add (&feed, "k", 1000, false, "v", 1));
  mf_feed_clear (&feed);
}

static void
test_large_data_centres_have_few_readers (void **state)
{
  (void)state;
  assert_int_equal (mf_feed_role (&(MfFeedRank){ .n_instances = 1 }), MF_FEED_STANDALONE);
  assert_int_equal (mf_feed_role (&(MfFeedRank){ .n_instances = 7, .rank = 0 }),
                    MF_FEED_STANDALONE);
  assert_int_equal (mf_feed_role (&(MfFeedRank){ .n_instances = 8, .rank = 1 }), MF_FEED_READER);
  assert_int_equal (mf_feed_role (&(MfFeedRank){ .n_instances = 8, .rank = 2 }), MF_FEED_FOLLOWER);
}

/* The time that a feed was delayed on the way adds to its age, whatever the clocks show. */
static void
test_transit_time_adds_to_the_age (void **state)
{
  MfFeedFreshness freshness = { .staleness_max_us = STALENESS_MAX_US };
  MfFeed feed = { .sent_us = 5000000, .as_of_us = 4900000 };

  (void)state;
  assert_int_equal (mf_feed_freshness_as_of_us (&freshness, 1, &feed, NOW_US), NOW_US - 100000);
  feed = (MfFeed){ .sent_us = 6000000, .as_of_us = 6000000 };
  assert_int_equal (mf_feed_freshness_as_of_us (&freshness, 1, &feed, NOW_US + 1800000),
                    NOW_US + 1000000);
  /* Another sender has its own clock offset. */
  feed.sent_us = 77;
  feed.as_of_us = 70;
  assert_int_equal (mf_feed_freshness_as_of_us (&freshness, 2, &feed, NOW_US), NOW_US - 7);
  /* A sender whose clock was reset is trusted from its second feed on. */
  feed = (MfFeed){ .sent_us = 1000, .as_of_us = 1000 };
  assert_int_equal (mf_feed_freshness_as_of_us (&freshness, 1, &feed, NOW_US + 3000000), 0);
  feed = (MfFeed){ .sent_us = 2000, .as_of_us = 2000 };
  assert_int_equal (mf_feed_freshness_as_of_us (&freshness, 1, &feed, NOW_US + 3001000),
                    NOW_US + 3001000);
  /* A feed that claims a time in the sender's future is ignored. */
  feed = (MfFeed){ .sent_us = 2000, .as_of_us = 3000 };
  assert_int_equal (mf_feed_freshness_as_of_us (&freshness, 1, &feed, NOW_US + 3001000), 0);
}

/* An answer that a process reads after it was suspended may be as old as its call. */
static void
test_answers_read_late_are_old (void **state)
{
  (void)state;
  assert_int_equal (mf_feed_answer_age_us (3000, 800000), 3000);
  assert_in_range (mf_feed_answer_age_us (800000, 800000), 1, 400000);
  assert_int_equal (mf_feed_answer_age_us (5000000, 800000), 5000000);
}

static void
test_followers_do_not_read_while_fresh (void **state)
{
  MfFeedFreshness freshness = { .staleness_max_us = STALENESS_MAX_US };
  uint64_t rest_us;

  (void)state;
  assert_int_equal (mf_feed_freshness_read_delay_us (&freshness, MF_FEED_FOLLOWER, NOW_US, 0), 0);
  mf_feed_freshness_advance (&freshness, NOW_US);
  mf_feed_freshness_advance (&freshness, NOW_US - 500);
  assert_int_equal (freshness.as_of_us, NOW_US);
  rest_us = mf_feed_freshness_read_delay_us (&freshness, MF_FEED_FOLLOWER, NOW_US, 0);
  assert_in_range (rest_us, STALENESS_MAX_US / 4, STALENESS_MAX_US * 6 / 10);
  assert_true (mf_feed_freshness_read_delay_us (&freshness, MF_FEED_FOLLOWER, NOW_US, UINT32_MAX)
               < rest_us);
  assert_int_equal (
      mf_feed_freshness_read_delay_us (&freshness, MF_FEED_FOLLOWER, NOW_US + rest_us, 0), 0);
  assert_int_equal (mf_feed_freshness_read_delay_us (&freshness, MF_FEED_READER, NOW_US, 0), 0);
  assert_int_equal (mf_feed_freshness_read_delay_us (&freshness, MF_FEED_STANDALONE, NOW_US, 0), 0);
}

static void
test_readers_poll_more_often (void **state)
{
  MfFeedFreshness freshness = { .staleness_max_us = STALENESS_MAX_US };

  (void)state;
  assert_int_equal (
      mf_feed_freshness_watch_timeout_us (&freshness, MF_FEED_STANDALONE, STANDALONE_WAIT_US),
      STANDALONE_WAIT_US);
  assert_int_equal (
      mf_feed_freshness_watch_timeout_us (&freshness, MF_FEED_FOLLOWER, STANDALONE_WAIT_US),
      STANDALONE_WAIT_US);
  assert_in_range (
      mf_feed_freshness_watch_timeout_us (&freshness, MF_FEED_READER, STANDALONE_WAIT_US), 1,
      STALENESS_MAX_US / 4);
}

/* Followers are notified when the store is back and need not check often; readers must. */
static void
test_followers_retry_the_store_less_often (void **state)
{
  MfFeedFreshness freshness = { .staleness_max_us = STALENESS_MAX_US };
  uint64_t pause_us = 0;

  (void)state;
  for (uint32_t i = 0; i < 10; i++)
    {
      uint64_t next_us = mf_feed_freshness_retry_delay_us (&freshness, MF_FEED_READER, pause_us, 0);

      assert_in_range (next_us, pause_us, 400 * MF_US_PER_MS);
      pause_us = next_us;
    }
  assert_int_equal (mf_feed_freshness_retry_delay_us (&freshness, MF_FEED_STANDALONE, 0, 0),
                    50 * MF_US_PER_MS);
  for (uint32_t point = 0; point < 4; point++)
    assert_in_range (mf_feed_freshness_retry_delay_us (&freshness, MF_FEED_FOLLOWER, 0,
                                                       point * (UINT32_MAX / 4)),
                     STALENESS_MAX_US / 8, STALENESS_MAX_US / 2);
  assert_true (mf_feed_freshness_retry_delay_us (&freshness, MF_FEED_FOLLOWER, 0, UINT32_MAX)
               > mf_feed_freshness_retry_delay_us (&freshness, MF_FEED_FOLLOWER, 0, 0));
}

/* One instance of the simulated data centre. */
typedef struct
{
  MfFeedFreshness freshness;
  MfFeedRole role;
  bool down;            /* reads and sends nothing */
  uint64_t call_due_us; /* when the call in progress is answered; 0: no call */
  uint64_t called_us;
  uint64_t wake_us;  /* no call before this time */
  uint64_t known_us; /* all changes made before this time are really known */
} Instance;

typedef struct
{
  Instance instances[N_INSTANCES];
  uint32_t n_calls;
  uint64_t oldest_us; /* highest age of the state of a running instance */
} DataCentre;

static void
instance_answered (DataCentre *data_centre, Instance *reader, uint64_t now_us)
{
  MfFeed feed = { .sent_us = now_us,
                  .as_of_us = now_us
                              - mf_feed_answer_age_us (
                                  now_us - reader->called_us,
                                  mf_feed_freshness_watch_timeout_us (
                                      &reader->freshness, reader->role, STANDALONE_WAIT_US)) };

  reader->call_due_us = 0;
  reader->known_us = now_us - TRANSIT_US;
  mf_feed_freshness_advance (&reader->freshness, feed.as_of_us);
  for (uint32_t i = 0; reader->role == MF_FEED_READER && i < N_INSTANCES; i++)
    {
      Instance *other = &data_centre->instances[i];

      if (other->role != MF_FEED_FOLLOWER || other->down)
        continue;
      other->known_us = reader->known_us > other->known_us ? reader->known_us : other->known_us;
      mf_feed_freshness_advance (&other->freshness,
                                 mf_feed_freshness_as_of_us (
                                     &other->freshness, (uint64_t)(reader - data_centre->instances),
                                     &feed, now_us + TRANSIT_US));
    }
}

static void
instance_step (DataCentre *data_centre, Instance *instance, uint64_t now_us)
{
  uint64_t wait_us = mf_feed_freshness_watch_timeout_us (&instance->freshness, instance->role,
                                                         STANDALONE_WAIT_US);
  uint64_t change_us = (now_us / CHANGE_INTERVAL_US + 1) * CHANGE_INTERVAL_US;
  uint64_t rest_us;

  if (instance->down)
    return;
  if (instance->call_due_us > 0)
    {
      if (now_us >= instance->call_due_us)
        instance_answered (data_centre, instance, now_us);
      return;
    }
  if (now_us < instance->wake_us)
    return;
  rest_us
      = mf_feed_freshness_read_delay_us (&instance->freshness, instance->role, now_us,
                                         (uint32_t)(instance - data_centre->instances) * 72000000U);
  if (rest_us > 0)
    {
      instance->wake_us = now_us + rest_us;
      return;
    }
  data_centre->n_calls++;
  instance->called_us = now_us;
  /* Changes since the last answer are returned at once. */
  if (now_us / CHANGE_INTERVAL_US > instance->known_us / CHANGE_INTERVAL_US)
    change_us = now_us;
  instance->call_due_us
      = (change_us < now_us + wait_us ? change_us : now_us + wait_us) + 2 * TRANSIT_US;
}

/* Simulates the data centre; its first n_down readers stop after a third of the time. */
static void
data_centre_simulate (DataCentre *data_centre, bool with_readers, uint32_t n_down)
{
  memset (data_centre, 0, sizeof *data_centre);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      MfFeedRank rank = { .n_instances = with_readers ? N_INSTANCES : 1, .rank = i };

      data_centre->instances[i].freshness.staleness_max_us = STALENESS_MAX_US;
      data_centre->instances[i].role = mf_feed_role (&rank);
      data_centre->instances[i].known_us = NOW_US;
    }
  for (uint64_t now_us = NOW_US; now_us < NOW_US + SIMULATED_US; now_us += STEP_US)
    {
      for (uint32_t i = 0; i < N_INSTANCES; i++)
        {
          Instance *instance = &data_centre->instances[i];
          uint64_t age_us = now_us - instance->known_us;
          uint64_t missed_us = now_us / CHANGE_INTERVAL_US * CHANGE_INTERVAL_US;

          instance->down = i < n_down && now_us > NOW_US + SIMULATED_US / 3;
          instance_step (data_centre, instance, now_us);
          /* State is old only if it misses a change. */
          if (instance->down || instance->known_us >= missed_us)
            continue;
          if (age_us > data_centre->oldest_us)
            data_centre->oldest_us = age_us;
        }
    }
}

/* If every instance reads the store, calls grow with the product of instances and changes; with
 * readers they do not. No instance acts on a change later than the bound, even if one reader or
 * both stop. */
static void
test_readers_spare_the_store (void **state)
{
  static DataCentre data_centre;
  uint32_t n_standalone;

  (void)state;
  data_centre_simulate (&data_centre, false, 0);
  n_standalone = data_centre.n_calls;
  data_centre_simulate (&data_centre, true, 0);
  assert_true (data_centre.n_calls * 10 < n_standalone);
  assert_true (data_centre.oldest_us < STALENESS_MAX_US);
  data_centre_simulate (&data_centre, true, 1);
  assert_true (data_centre.n_calls * 10 < n_standalone);
  assert_true (data_centre.oldest_us < STALENESS_MAX_US);
  data_centre_simulate (&data_centre, true, 2);
  assert_true (data_centre.oldest_us < STALENESS_MAX_US);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_items_come_back_as_they_were_added),
    cmocka_unit_test (test_feeds_are_bounded),
    cmocka_unit_test (test_large_data_centres_have_few_readers),
    cmocka_unit_test (test_transit_time_adds_to_the_age),
    cmocka_unit_test (test_answers_read_late_are_old),
    cmocka_unit_test (test_followers_do_not_read_while_fresh),
    cmocka_unit_test (test_readers_poll_more_often),
    cmocka_unit_test (test_followers_retry_the_store_less_often),
    cmocka_unit_test (test_readers_spare_the_store),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
