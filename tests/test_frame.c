#include "libmangofork/frame.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static const MfKeyRecord key_records[] = {
  { .key = { 1, 2 },
    .body_digest = 7,
    .holder = { "a", 3 },
    .claim_id = 4,
    .state = MF_KEY_RUNNING,
    .age_ms = 5 },
  { .key = { 9 }, .holder = { "b", UINT64_MAX }, .state = MF_KEY_UNKNOWN },
};
static const MfListedInstance listed[] = {
  { .name = "a", .address = "127.0.0.1:1", .data_centre = "x" },
  { .name = "b", .address = "127.0.0.1:2", .data_centre = "y", .leaving = true },
};
static const uint8_t burn[] = { 0, 1, 2, 255 };

static const MfPeerMessage messages[] = {
  { .type = MF_PEER_DIGEST,
    .digest
    = { .sequence = 300,
        .config_revision = UINT64_MAX,
        .list_index = 70000,
        .leaving = true,
        .guardian = true,
        .gossip = { { MF_GOSSIP_FENCE, 5, 6, 7 }, { MF_GOSSIP_REQUEST_SUSPECT, UINT64_MAX, 2, 0 } },
        .n_gossip = 2,
        .shares = { { 11, 12, 13 } },
        .n_shares = 1,
        .burn = burn,
        .burn_bytes = sizeof burn } },
  { .type = MF_PEER_CONFIG_REQUEST, .known_revision = 41 },
  { .type = MF_PEER_CONFIG,
    .config = { .revision = 42,
                .text = "{}",
                .text_bytes = 2,
                .base_revision = 41,
                .prefix_bytes = 3,
                .suffix_bytes = 4,
                .full_text_hash = 5 } },
  { .type = MF_PEER_CLAIM,
    .claim
    = { .claim_id = 1, .key = { 3 }, .body_digest = 4, .epoch = 5, .claimant = { "c", 6 } } },
  { .type = MF_PEER_VOTE,
    .vote = { .claim_id = 1,
              .key = { 3 },
              .granted = true,
              .holder = { "c", 6 },
              .holder_claim_id = 8,
              .state = MF_KEY_RUNNING,
              .view = { { "a", 1 }, { "b", 2 } },
              .n_view = 2 } },
  { .type = MF_PEER_OUTCOME,
    .outcome = { .key = { 3 },
                 .claim_id = 12,
                 .state = MF_KEY_FINISHED,
                 .status = 201,
                 .code = 3003,
                 .content_type = "text/plain",
                 .body = "done\0x",
                 .body_bytes = 6 } },
  { .type = MF_PEER_OUTCOME_REQUEST, .outcome = { .key = { 4 }, .claimant = { "c", 6 } } },
  { .type = MF_PEER_ADMIT, .admit = { .admit_id = 1, .epoch = 2, .applicant = { "d", 9 } } },
  { .type = MF_PEER_ADMITTED,
    .admitted = { .admit_id = 1,
                  .agreed = true,
                  .highest_incarnation = 8,
                  .cold_start_at_ms = 77,
                  .view = { { "a", 1 } },
                  .n_view = 1,
                  .records = key_records,
                  .n_records = MF_ARRAY_LEN (key_records) } },
  { .type = MF_PEER_LIST_REQUEST, .known_index = 9 },
  { .type = MF_PEER_LIST,
    .list = { .index = 10, .listed = listed, .n_listed = MF_ARRAY_LEN (listed) } },
};

/* Decodes a copy on the heap of exactly the payload's size, so that AddressSanitizer detects reads
 * past its end. */
static bool
decode (const uint8_t *payload, size_t n_bytes, MfFrame *frame)
{
  MfError error = { 0 };
  uint8_t *copy = malloc (n_bytes + (n_bytes == 0));
  bool ok;

  memcpy (copy, payload, n_bytes);
  ok = mf_frame_decode (copy, n_bytes, frame, &error);
  free (copy);
  assert_int_equal (ok, !mf_error_is_set (&error));
  return ok;
}

static uint8_t *
encode (const MfPeerMessage *message, size_t *n_bytes)
{
  MfError error = { 0 };
  uint8_t *bytes = mf_frame_encode (message, n_bytes, &error);

  assert_non_null (bytes);
  return bytes;
}

/* Encoding is deterministic: equal bytes mean that decoding lost nothing. */
static void
test_every_message_round_trips (void **state)
{
  (void)state;
  assert_int_equal (MF_ARRAY_LEN (messages), MF_PEER_MESSAGE_COUNT);
  for (size_t i = 0; i < MF_ARRAY_LEN (messages); i++)
    {
      size_t n_bytes, again_bytes;
      uint8_t *bytes = encode (&messages[i], &n_bytes), *again;
      MfFrame frame;

      assert_int_equal (bytes[2] << 8 | bytes[3], n_bytes - MF_FRAME_LENGTH_BYTES);
      assert_true (decode (bytes + MF_FRAME_LENGTH_BYTES, n_bytes - MF_FRAME_LENGTH_BYTES, &frame));
      assert_int_equal (frame.message.type, messages[i].type);
      again = encode (&frame.message, &again_bytes);
      assert_int_equal (n_bytes, again_bytes);
      assert_memory_equal (bytes, again, n_bytes);
      mf_frame_clear (&frame);
      free (again);
      free (bytes);
    }
}

static void
test_decoded_message_does_not_borrow_the_payload (void **state)
{
  size_t n_bytes;
  uint8_t *bytes = encode (&messages[MF_PEER_ADMITTED], &n_bytes);
  MfFrame frame;

  (void)state;
  assert_true (decode (bytes + MF_FRAME_LENGTH_BYTES, n_bytes - MF_FRAME_LENGTH_BYTES, &frame));
  memset (bytes, 0, n_bytes);
  assert_int_equal (frame.message.admitted.n_records, 2);
  assert_memory_equal (frame.message.admitted.records, key_records, sizeof key_records);
  assert_string_equal (frame.message.admitted.view[0].name, "a");
  mf_frame_clear (&frame);
  free (bytes);
}

static void
test_truncation_at_each_byte_is_an_error (void **state)
{
  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (messages); i++)
    {
      size_t n_bytes;
      uint8_t *bytes = encode (&messages[i], &n_bytes);
      MfFrame frame;

      for (size_t cut = 0; cut < n_bytes - MF_FRAME_LENGTH_BYTES; cut++)
        assert_false (decode (bytes + MF_FRAME_LENGTH_BYTES, cut, &frame));
      free (bytes);
    }
}

/* A damaged frame may or may not decode, but memory must not be accessed out of bounds. */
static void
test_bit_flips_are_survived (void **state)
{
  uint64_t random = 20;

  (void)state;
  for (size_t round = 0; round < 20000; round++)
    {
      size_t n_bytes;
      uint8_t *bytes = encode (&messages[round % MF_ARRAY_LEN (messages)], &n_bytes);
      MfFrame frame;

      for (size_t flip = 0; flip <= round % 3; flip++)
        {
          random = random * UINT64_C (6364136223846793005) + 1442695040888963407;
          bytes[MF_FRAME_LENGTH_BYTES + (random >> 33) % (n_bytes - MF_FRAME_LENGTH_BYTES)]
              ^= 1 << (random >> 61);
        }
      if (decode (bytes + MF_FRAME_LENGTH_BYTES, n_bytes - MF_FRAME_LENGTH_BYTES, &frame))
        mf_frame_clear (&frame);
      free (bytes);
    }
}

static void
test_unknown_fields_are_skipped (void **state)
{
  /* of a later version: {0: 2, 1: MF_PEER_CONFIG_REQUEST, 2: {0: 7, 99: ["new"]}, "x": nil} */
  static const uint8_t later[]
      = { 0x84, 0,    2,   1,   MF_PEER_CONFIG_REQUEST, 2, 0x82, 0, 7, 99, 0x91, 0xa3, 'n', 'e',
          'w',  0xa1, 'x', 0xc0 };
  static const uint8_t unknown_type[] = { 0x83, 0, 1, 1, 99, 2, 0x80 };
  MfError error = { 0 };
  MfFrame frame;

  (void)state;
  assert_true (decode (later, sizeof later, &frame));
  assert_int_equal (frame.message.known_revision, 7);
  mf_frame_clear (&frame);
  assert_false (mf_frame_decode (unknown_type, sizeof unknown_type, &frame, &error));
  assert_int_equal (error.code, MF_CODE_PEER_VERSION);
}

/* Guards against a number being decoded as the value of a boolean field. Found by fuzzing. */
static void
test_values_of_a_wrong_type_are_refused (void **state)
{
  static const uint8_t bool_is_number[] = { 0x83, 0, 1, 1, MF_PEER_DIGEST, 2, 0x81, 3, 0xcc, 0xf7 };
  static const uint8_t number_is_bool[] = { 0x83, 0, 1, 1, MF_PEER_DIGEST, 2, 0x81, 0, 0xc3 };
  MfFrame frame;

  (void)state;
  assert_false (decode (bool_is_number, sizeof bool_is_number, &frame));
  assert_false (decode (number_is_bool, sizeof number_is_bool, &frame));
}

/* msgpack-c would allocate memory for the announced number of items. */
static void
test_oversized_counts_and_deep_nesting_are_refused (void **state)
{
  static const uint8_t huge[] = { 0xdd, 0xff, 0xff, 0xff, 0xff };
  uint8_t deep[64];
  MfFrame frame;

  (void)state;
  memset (deep, 0x91, sizeof deep);
  assert_false (decode (huge, sizeof huge, &frame));
  assert_false (decode (deep, sizeof deep, &frame));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_every_message_round_trips),
    cmocka_unit_test (test_decoded_message_does_not_borrow_the_payload),
    cmocka_unit_test (test_truncation_at_each_byte_is_an_error),
    cmocka_unit_test (test_bit_flips_are_survived),
    cmocka_unit_test (test_unknown_fields_are_skipped),
    cmocka_unit_test (test_values_of_a_wrong_type_are_refused),
    cmocka_unit_test (test_oversized_counts_and_deep_nesting_are_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
