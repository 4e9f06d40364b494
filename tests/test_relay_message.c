#include "libmangofork/relay/relay_message.h"

#include "libmangofork/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static MfRelayMessage sent;
static MfRelayMessage got;

/* Encodes the message in sent and decodes it into got. */
static void
round_trip (void)
{
  MfBuffer frame = { 0 };
  const uint8_t *bytes;

  mf_relay_message_encode (&sent, &frame);
  bytes = (const uint8_t *)mf_buffer_data (&frame);
  assert_int_equal (mf_buffer_bytes (&frame) - 4, (size_t)bytes[2] << 8 | bytes[3]);
  memset (&got, 0xaa, sizeof got);
  got.feed.values = (MfBuffer){ 0 };
  assert_true (
      mf_relay_message_decode ((const char *)bytes + 4, mf_buffer_bytes (&frame) - 4, &got));
  assert_int_equal (got.kind, sent.kind);
  /* Truncated messages are rejected. */
  for (size_t n_bytes = 0; n_bytes < mf_buffer_bytes (&frame) - 4; n_bytes++)
    {
      static MfRelayMessage cut;
      char *copy = malloc (n_bytes + 1);

      assert_non_null (copy);
      memcpy (copy, bytes + 4, n_bytes);
      assert_false (mf_relay_message_decode (copy, n_bytes, &cut));
      free (copy);
    }
  mf_buffer_clear (&frame);
}

static void
test_report (void **state)
{
  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_REPORT };
  mf_name_set (sent.report.address, MF_ADDRESS_BYTES, "10.0.0.1:99");
  sent.report.heartbeat_ms = 400;
  sent.report.n_entries = 2;
  sent.report.entries[0] = (MfLoadEntry){ UINT64_MAX, 3, 24000, 0, MF_REACHABILITY_ANSWERING, 0 };
  sent.report.entries[1] = (MfLoadEntry){ 1, 0, 0, 55, MF_REACHABILITY_REPLACED, 300 };
  sent.report.n_votes = 1;
  sent.report.votes[0] = (MfLeaderVote){ 7, UINT64_MAX, 99 };
  sent.report.n_members = 1;
  mf_name_set (sent.report.members[0], MF_ADDRESS_BYTES, "10.0.0.2:99");
  round_trip ();
  assert_string_equal (got.report.address, "10.0.0.1:99");
  assert_int_equal (got.report.n_entries, 2);
  assert_int_equal (got.report.n_votes, 1);
  assert_int_equal (got.report.votes[0].service, 7);
  assert_true (got.report.votes[0].leader == UINT64_MAX);
  assert_int_equal (got.report.votes[0].fence, 99);
  for (uint32_t i = 0; i < 2; i++)
    {
      assert_int_equal (got.report.entries[i].upstream, sent.report.entries[i].upstream);
      assert_int_equal (got.report.entries[i].n_active, sent.report.entries[i].n_active);
      assert_int_equal (got.report.entries[i].tokens, sent.report.entries[i].tokens);
      assert_int_equal (got.report.entries[i].failure_percent,
                        sent.report.entries[i].failure_percent);
      assert_int_equal (got.report.entries[i].reachability, sent.report.entries[i].reachability);
      assert_int_equal (got.report.entries[i].avoided_ms, sent.report.entries[i].avoided_ms);
    }
  assert_int_equal (got.report.n_members, 1);
  assert_string_equal (got.report.members[0], "10.0.0.2:99");
}

static void
test_suspects (void **state)
{
  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_SUSPECTS };
  sent.suspects.entries[0] = (MfSuspectEntry){
    .digest = UINT64_MAX,
    .quarantine_ms = 29000,
    .crashes = { { .process = UINT64_MAX, .sent_age_ms = 20, .age_ms = 10 },
                 { .process = 5, .sent_age_ms = 3, .age_ms = 1 } },
    .n_crashes = 2,
  };
  sent.suspects.entries[1] = (MfSuspectEntry){ .digest = 3, .cleared = true };
  sent.suspects.entries[2] = (MfSuspectEntry){
    .digest = 4,
    .kind = MF_SUSPECT_PART,
    .quarantined = true,
    .was_sound = true,
    .sound_age_ms = 70000,
    .depth = MF_PARTS_MAX - 1,
    .n_failed_trials = 2,
    .crashes = { { .process = 5, .digest = UINT64_MAX, .caller = 6 } },
    .n_crashes = 1,
  };
  sent.suspects.n_entries = 3;
  round_trip ();
  assert_int_equal (got.suspects.n_entries, 3);
  assert_true (got.suspects.entries[2].digest == 4);
  assert_int_equal (got.suspects.entries[2].kind, MF_SUSPECT_PART);
  assert_true (got.suspects.entries[2].quarantined);
  assert_true (got.suspects.entries[2].was_sound);
  assert_int_equal (got.suspects.entries[2].sound_age_ms, 70000);
  assert_int_equal (got.suspects.entries[2].depth, MF_PARTS_MAX - 1);
  assert_int_equal (got.suspects.entries[2].n_failed_trials, 2);
  assert_true (got.suspects.entries[2].crashes[0].digest == UINT64_MAX);
  assert_int_equal (got.suspects.entries[2].crashes[0].caller, 6);
  assert_int_equal (got.suspects.entries[0].kind, MF_SUSPECT_REQUEST);
  assert_false (got.suspects.entries[0].quarantined);
  assert_true (got.suspects.entries[0].digest == UINT64_MAX);
  assert_int_equal (got.suspects.entries[0].quarantine_ms, 29000);
  assert_int_equal (got.suspects.entries[0].n_crashes, 2);
  assert_int_equal (got.suspects.entries[0].crashes[1].process, 5);
  assert_int_equal (got.suspects.entries[0].crashes[1].sent_age_ms, 3);
  assert_int_equal (got.suspects.entries[0].crashes[1].age_ms, 1);
  assert_false (got.suspects.entries[0].cleared);
  assert_true (got.suspects.entries[1].cleared);
  assert_int_equal (got.suspects.entries[1].n_crashes, 0);
}

/* Asserts that a time came back as it was sent; it travels as an age. */
static void
assert_same_time (uint64_t got_us, uint64_t sent_us)
{
  assert_in_range (got_us, sent_us, sent_us + MF_US_PER_S);
}

static void
test_rates (void **state)
{
  uint64_t now_us = mf_clock_now_us ();
  MfRateNotice limit = { .is_limited = true,
                         .micro_per_s = 4900000,
                         .asked_us = now_us - 3000000,
                         .heard_us = now_us - 2000000 };

  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_RATE_ASK,
                           .rate = { .id = 7,
                                     .ask = { .key = UINT64_MAX,
                                              .n_units = 1,
                                              .n_charged = 22,
                                              .n_returned = 3,
                                              .max_wait_us = 250000,
                                              .limit = limit } } };
  round_trip ();
  assert_int_equal (got.rate.id, 7);
  assert_true (got.rate.ask.key == UINT64_MAX);
  assert_int_equal (got.rate.ask.n_units, 1);
  assert_int_equal (got.rate.ask.n_charged, 22);
  assert_int_equal (got.rate.ask.n_returned, 3);
  assert_int_equal (got.rate.ask.max_wait_us, 250000);
  assert_true (got.rate.ask.limit.is_limited);
  assert_int_equal (got.rate.ask.limit.micro_per_s, 4900000);
  assert_same_time (got.rate.ask.limit.asked_us, limit.asked_us);
  assert_same_time (got.rate.ask.limit.heard_us, limit.heard_us);
  sent = (MfRelayMessage){
    .kind = MF_RELAY_MESSAGE_RATE_GRANT,
    .rate = { .id = 7, .ask = { .key = 5 }, .grant = { true, true, UINT64_MAX } },
  };
  round_trip ();
  assert_int_equal (got.rate.ask.key, 5);
  assert_true (got.rate.grant.granted);
  assert_true (got.rate.grant.redirected);
  assert_true (got.rate.grant.wait_us == UINT64_MAX);
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_REJECTED, .grant = { .id = 9 }, .wait_us = 8 };
  round_trip ();
  assert_int_equal (got.grant.id, 9);
  assert_int_equal (got.wait_us, 8);
}

static void
test_limits (void **state)
{
  uint64_t now_us = mf_clock_now_us ();

  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_LIMITS };
  sent.limits.n_entries = MF_LIMIT_ENTRIES_MAX;
  for (uint32_t i = 0; i < MF_LIMIT_ENTRIES_MAX; i++)
    sent.limits.entries[i] = (MfLimitEntry){
      .process = i + 1,
      .limit = { .is_limited = i % 2 == 0, .micro_per_s = i, .heard_us = now_us - i },
    };
  round_trip ();
  assert_int_equal (got.limits.n_entries, MF_LIMIT_ENTRIES_MAX);
  assert_int_equal (got.limits.entries[7].process, 8);
  assert_false (got.limits.entries[7].limit.is_limited);
  assert_int_equal (got.limits.entries[8].limit.micro_per_s, 8);
  /* An answer of unknown age is one to a request of unknown age. */
  assert_in_range (got.limits.entries[8].limit.asked_us, 0, MF_US_PER_S);
  assert_same_time (got.limits.entries[8].limit.heard_us, now_us - 8);
  /* Times of one moment keep their order. */
  for (uint32_t i = 0; i < 1000; i++)
    {
      sent.limits.n_entries = 1;
      sent.limits.entries[0].limit.asked_us = sent.limits.entries[0].limit.heard_us;
      round_trip ();
      assert_true (got.limits.entries[0].limit.asked_us <= got.limits.entries[0].limit.heard_us);
    }
}

static void
test_slot_request (void **state)
{
  (void)state;
  sent = (MfRelayMessage){
    .kind = MF_RELAY_MESSAGE_SLOT_REQUEST,
    .slot_request = {
      .id = 7, .service = "llm", .data_centre = "a", .prompt_tokens = 5000, .kv_tokens = 7400,
      .is_prefilled = true, .age_us = 12, .objective_us = 900000, .max_age_us = 3300000,
      .version = UINT64_MAX - 1, .avoid = { 5, 6 }, .n_avoid = 2,
      .customer = UINT64_MAX - 2, .priority = 200,
    },
  };
  round_trip ();
  assert_memory_equal (&got.slot_request.avoid, &sent.slot_request.avoid,
                       2 * sizeof sent.slot_request.avoid[0]);
  assert_string_equal (got.slot_request.service, "llm");
  assert_true (got.slot_request.is_prefilled);
  assert_int_equal (got.slot_request.max_age_us, 3300000);
  assert_int_equal (got.slot_request.n_avoid, 2);
  assert_true (got.slot_request.version == UINT64_MAX - 1);
  assert_true (got.slot_request.customer == UINT64_MAX - 2);
  assert_int_equal (got.slot_request.priority, 200);
}

/* Guards against slot requests of an older release being dropped, or read with the customer of the
 * message before: they end with the version. */
static void
test_slot_request_of_an_older_release (void **state)
{
  static const char older[] = "\x9c\x02\x07\xa3llm\xa1"
                              "a\x05\x06\x00\x0c\x0d\x0e\x90\x09";

  (void)state;
  got = (MfRelayMessage){ .slot_request = { .customer = 5, .priority = 6 } };
  assert_true (mf_relay_message_decode (older, sizeof older - 1, &got));
  assert_int_equal (got.kind, MF_RELAY_MESSAGE_SLOT_REQUEST);
  assert_int_equal (got.slot_request.version, 9);
  assert_int_equal (got.slot_request.customer, 0);
  assert_int_equal (got.slot_request.priority, 0);
}

static void
test_grant_and_ids (void **state)
{
  static const MfRelayMessageKind kinds[]
      = { MF_RELAY_MESSAGE_QUEUED, MF_RELAY_MESSAGE_CANCEL, MF_RELAY_MESSAGE_GRANT_ACK };

  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_GRANT, .grant = { 9, 8, 7 } };
  round_trip ();
  assert_memory_equal (&got.grant, &sent.grant, sizeof sent.grant);
  for (size_t i = 0; i < MF_ARRAY_LEN (kinds); i++)
    {
      sent = (MfRelayMessage){ .kind = kinds[i], .grant = { .id = 3 } };
      round_trip ();
      assert_int_equal (got.grant.id, 3);
    }
}

static void
test_origins (void **state)
{
  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_ORIGIN,
                           .origin = { .stream = UINT64_MAX, .version = UINT64_MAX - 1 } };
  round_trip ();
  assert_true (got.origin.stream == UINT64_MAX);
  assert_true (got.origin.version == UINT64_MAX - 1);
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_ORIGIN_ASK,
                           .origin = { .id = 7,
                                       .stream = 8,
                                       .service = "llm",
                                       .part = UINT64_MAX,
                                       .tokens = 6,
                                       .asks_engines = true,
                                       .begun_us = mf_clock_now_us () - 5 * MF_US_PER_S } };
  round_trip ();
  assert_int_equal (got.origin.id, 7);
  assert_int_equal (got.origin.stream, 8);
  assert_string_equal (got.origin.service, "llm");
  assert_true (got.origin.part == UINT64_MAX);
  assert_int_equal (got.origin.tokens, 6);
  assert_true (got.origin.asks_engines);
  assert_in_range (got.origin.begun_us, sent.origin.begun_us, sent.origin.begun_us + MF_US_PER_S);
  sent.origin.begun_us = 0;
  round_trip ();
  assert_int_equal (got.origin.begun_us, 0);
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_ORIGIN_REPLY,
                           .origin = { .id = 7, .version = 9, .is_inferred = true } };
  round_trip ();
  assert_int_equal (got.origin.id, 7);
  assert_int_equal (got.origin.version, 9);
  assert_true (got.origin.is_inferred);
}

static void
test_listings (void **state)
{
  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_LISTINGS };
  sent.listings.n_rows = MF_LISTING_ROWS_MAX;
  for (uint32_t i = 0; i < MF_LISTING_ROWS_MAX; i++)
    sent.listings.rows[i] = (MfListing){
      .process = UINT64_MAX - i,
      .state = (MfListingState)(i % (MF_LISTING_STATE_LAST + 1)),
      .position = { .era = i, .revision = UINT64_MAX - 2 * i },
    };
  round_trip ();
  assert_int_equal (got.listings.n_rows, MF_LISTING_ROWS_MAX);
  assert_int_equal (got.listings.rows[5].process, UINT64_MAX - 5);
  assert_int_equal (got.listings.rows[5].state, MF_LISTING_LEAVING);
  assert_int_equal (got.listings.rows[5].position.era, 5);
  assert_int_equal (got.listings.rows[5].position.revision, UINT64_MAX - 10);
}

static void
test_history (void **state)
{
  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_HISTORY, .history_age_us = 7000000 };
  round_trip ();
  assert_int_equal (got.history_age_us, 7000000);
}

/* Random bytes are either rejected or decoded, without memory errors. */
static void
test_any_bytes (void **state)
{
  uint64_t random = 88172645463325252ULL;
  char bytes[64];

  (void)state;
  got = (MfRelayMessage){ 0 };
  for (uint32_t round = 0; round < 20000; round++)
    {
      for (size_t i = 0; i < sizeof bytes; i++)
        {
          random ^= random << 13;
          random ^= random >> 7;
          random ^= random << 17;
          bytes[i] = (char)random;
        }
      /* Most of them begin like a message, so that the decoders of members are reached. */
      bytes[0] = (char)(0x90 | (random & 15));
      bytes[1] = (char)((random >> 8) % (MF_RELAY_MESSAGE_HISTORY + 1));
      if (mf_relay_message_decode (bytes, sizeof bytes, &got))
        assert_in_range (got.kind, MF_RELAY_MESSAGE_REPORT, MF_RELAY_MESSAGE_HISTORY);
    }
  mf_feed_clear (&got.feed);
}

static void
test_unknown_kinds (void **state)
{
  (void)state;
  assert_true (mf_relay_message_decode ("\x92\x63\1", 3, &got));
  assert_int_equal (got.kind, MF_RELAY_MESSAGE_UNKNOWN);
  /* Malformed: no kind, 0, a text, cut. */
  assert_false (mf_relay_message_decode ("\x90", 1, &got));
  assert_false (mf_relay_message_decode ("\x92\0\1", 3, &got));
  assert_false (mf_relay_message_decode ("\x92\xa1x\1", 4, &got));
  assert_false (mf_relay_message_decode ("\x92\x63", 2, &got));
}

static void
test_retry (void **state)
{
  (void)state;
  sent = (MfRelayMessage){
    .kind = MF_RELAY_MESSAGE_RETRY,
    .retry = { .id = 9, .service = "llm", .n_sends = 2, .is_done = true },
  };
  round_trip ();
  assert_int_equal (got.retry.id, 9);
  assert_string_equal (got.retry.service, "llm");
  assert_int_equal (got.retry.n_sends, 2);
  assert_true (got.retry.is_done);
  sent.kind = MF_RELAY_MESSAGE_RETRY_REPLY;
  sent.retry.allowed = true;
  sent.retry.granted_us = UINT64_MAX;
  round_trip ();
  assert_int_equal (got.retry.id, 9);
  assert_true (got.retry.allowed);
  assert_string_equal (got.retry.service, "llm");
  assert_int_equal (got.retry.n_sends, 2);
  assert_true (got.retry.granted_us == UINT64_MAX);
  sent.kind = MF_RELAY_MESSAGE_RETRY_RETURN;
  round_trip ();
  assert_string_equal (got.retry.service, "llm");
  assert_int_equal (got.retry.n_sends, 2);
  assert_true (got.retry.granted_us == UINT64_MAX);
  /* The reply of an older release, and faulty ones. */
  assert_true (mf_relay_message_decode ("\x93\x08\x09\x01", 4, &got));
  assert_true (got.retry.allowed);
  assert_int_equal (got.retry.n_sends, 0);
  assert_false (mf_relay_message_decode ("\x96\x08\x09\x01\xa1x\x03\x01", 8, &got));
  assert_false (mf_relay_message_decode ("\x94\x17\xa1x\x03\x01", 6, &got));
  assert_false (mf_relay_message_decode ("\x93\x17\xa1x\x02", 5, &got));
}

static void
test_feed (void **state)
{
  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_FEED };
  mf_feed_begin (&sent.feed, 0, 17);
  sent.feed.to_revision = 19;
  sent.feed.sent_us = 5000;
  sent.feed.as_of_us = 4000;
  sent.feed.keep_us = 2300000;
  assert_true (mf_feed_add (&sent.feed, "a/b", 18, false, "v\0w", 3));
  assert_true (mf_feed_add (&sent.feed, "a/c", 19, true, "", 0));
  round_trip ();
  assert_int_equal (got.feed.from_revision, 17);
  assert_int_equal (got.feed.to_revision, 19);
  assert_int_equal (got.feed.sent_us, 5000);
  assert_int_equal (got.feed.as_of_us, 4000);
  assert_int_equal (got.feed.keep_us, 2300000);
  assert_int_equal (got.feed.n_items, 2);
  assert_string_equal (got.feed.items[0].key, "a/b");
  assert_int_equal (got.feed.items[0].revision, 18);
  assert_memory_equal (mf_buffer_data (&got.feed.values) + got.feed.items[0].value_at, "v\0w", 3);
  assert_true (got.feed.items[1].removed);
  mf_feed_clear (&got.feed);
  mf_feed_clear (&sent.feed);
}

static void
test_quota_messages (void **state)
{
  const MfQuotaAsk ask = { .key = UINT64_MAX,
                           .n_units = 5269,
                           .n_charged = MF_QUOTA_ASK_UNITS_MAX,
                           .n_returned = 3,
                           .n_wanted = 4,
                           .n_denied = 5,
                           .limit = { .per_s = 315000, .burst = 6 } };
  const MfQuotaGrant grant = { .granted = true, .wait_us = 7, .spread_us = 8, .n_leased = 9 };

  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_QUOTA_ASK, .quota = { .id = 1, .ask = ask } };
  round_trip ();
  assert_true (got.quota.ask.key == ask.key);
  assert_int_equal (got.quota.ask.n_units, ask.n_units);
  assert_int_equal (got.quota.ask.n_charged, ask.n_charged);
  assert_int_equal (got.quota.ask.n_returned, ask.n_returned);
  assert_int_equal (got.quota.ask.n_wanted, ask.n_wanted);
  assert_int_equal (got.quota.ask.n_denied, ask.n_denied);
  assert_int_equal (got.quota.ask.limit.per_s, ask.limit.per_s);
  assert_int_equal (got.quota.ask.limit.burst, ask.limit.burst);
  sent
      = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_QUOTA_GRANT,
                          .quota = { .id = 1, .ask = { .key = 2, .n_units = 3 }, .grant = grant } };
  round_trip ();
  assert_int_equal (got.quota.id, 1);
  assert_int_equal (got.quota.ask.key, 2);
  assert_int_equal (got.quota.ask.n_units, 3);
  assert_true (got.quota.grant.granted && !got.quota.grant.redirected);
  assert_int_equal (got.quota.grant.wait_us, 7);
  assert_int_equal (got.quota.grant.spread_us, 8);
  assert_int_equal (got.quota.grant.n_leased, 9);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_quota_messages),
    cmocka_unit_test (test_report),
    cmocka_unit_test (test_suspects),
    cmocka_unit_test (test_rates),
    cmocka_unit_test (test_limits),
    cmocka_unit_test (test_retry),
    cmocka_unit_test (test_slot_request),
    cmocka_unit_test (test_grant_and_ids),
    cmocka_unit_test (test_any_bytes),
    cmocka_unit_test (test_unknown_kinds),
    cmocka_unit_test (test_feed),
    cmocka_unit_test (test_origins),
    cmocka_unit_test (test_listings),
    cmocka_unit_test (test_history),
    cmocka_unit_test (test_slot_request_of_an_older_release),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
