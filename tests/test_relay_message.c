#include "libmangofork/relay/relay_message.h"

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
  sent.suspects.n_entries = 2;
  sent.suspects.entries[0] = (MfSuspectEntry){
    .digest = UINT64_MAX,
    .quarantine_ms = 29000,
    .deaths = { { UINT64_MAX, 20, 10 }, { 5, 3, 1 } },
    .n_deaths = 2,
  };
  sent.suspects.entries[1] = (MfSuspectEntry){ .digest = 3, .cleared = true };
  round_trip ();
  assert_int_equal (got.suspects.n_entries, 2);
  assert_true (got.suspects.entries[0].digest == UINT64_MAX);
  assert_int_equal (got.suspects.entries[0].quarantine_ms, 29000);
  assert_int_equal (got.suspects.entries[0].n_deaths, 2);
  assert_int_equal (got.suspects.entries[0].deaths[1].process, 5);
  assert_int_equal (got.suspects.entries[0].deaths[1].sent_age_ms, 3);
  assert_int_equal (got.suspects.entries[0].deaths[1].age_ms, 1);
  assert_false (got.suspects.entries[0].cleared);
  assert_true (got.suspects.entries[1].cleared);
  assert_int_equal (got.suspects.entries[1].n_deaths, 0);
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
      .avoid = { 5, 6 }, .n_avoid = 2,
    },
  };
  round_trip ();
  assert_memory_equal (&got.slot_request.avoid, &sent.slot_request.avoid,
                       2 * sizeof sent.slot_request.avoid[0]);
  assert_string_equal (got.slot_request.service, "llm");
  assert_true (got.slot_request.is_prefilled);
  assert_int_equal (got.slot_request.max_age_us, 3300000);
  assert_int_equal (got.slot_request.n_avoid, 2);
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
      bytes[1] = (char)(random >> 8 & 15);
      if (mf_relay_message_decode (bytes, sizeof bytes, &got))
        assert_in_range (got.kind, MF_RELAY_MESSAGE_REPORT, MF_RELAY_MESSAGE_FEED);
    }
  mf_feed_clear (&got.feed);
}

static void
test_retry (void **state)
{
  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_RETRY, .retry = { 9, "llm", 2, true, false } };
  round_trip ();
  assert_int_equal (got.retry.id, 9);
  assert_string_equal (got.retry.service, "llm");
  assert_int_equal (got.retry.n_sends, 2);
  assert_true (got.retry.is_done);
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_RETRY_REPLY,
                           .retry = { 9, "", 0, false, true } };
  round_trip ();
  assert_int_equal (got.retry.id, 9);
  assert_true (got.retry.allowed);
}

static void
test_feed (void **state)
{
  (void)state;
  sent = (MfRelayMessage){ .kind = MF_RELAY_MESSAGE_FEED };
  mf_feed_begin (&sent.feed, 17);
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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_report),        cmocka_unit_test (test_suspects),
    cmocka_unit_test (test_retry),         cmocka_unit_test (test_slot_request),
    cmocka_unit_test (test_grant_and_ids), cmocka_unit_test (test_any_bytes),
    cmocka_unit_test (test_feed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
