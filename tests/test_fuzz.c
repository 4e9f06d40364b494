#include "fuzz/fuzz.h"

#include "libmangofork/frame.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* A short run of the fuzz targets with a fixed seed. scripts/fuzz runs them for longer. */
#define ROUNDS 3000
#define SEED 11

typedef int (*FuzzFunc) (const uint8_t *data, size_t n_bytes);

static uint64_t
next_random (uint64_t *random)
{
  *random = *random * UINT64_C (6364136223846793005) + UINT64_C (1442695040888963407);
  return *random >> 33;
}

/* Applies up to three random changes: replaces or flips a byte, removes or duplicates a range. */
static size_t
mutate (uint8_t *data, size_t n_bytes, size_t n_bytes_max, uint64_t *random)
{
  for (uint64_t n = next_random (random) % 4; n > 0 && n_bytes > 1; n--)
    {
      size_t at = next_random (random) % n_bytes;
      size_t len = next_random (random) % 16 % (n_bytes - at) + 1;

      switch (next_random (random) % 4)
        {
        case 0:
          data[at] = (uint8_t)next_random (random);
          break;
        case 1:
          data[at] ^= (uint8_t)(1 << next_random (random) % 8);
          break;
        case 2:
          memmove (data + at, data + at + len, n_bytes - at - len);
          n_bytes -= len;
          break;
        default:
          if (n_bytes + len > n_bytes_max)
            break;
          memmove (data + at + len, data + at, n_bytes - at);
          n_bytes += len;
          break;
        }
    }
  return n_bytes;
}

static void
run (FuzzFunc func, const uint8_t *seed, size_t seed_bytes)
{
  uint64_t random = SEED;

  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      uint8_t *data = malloc (2 * seed_bytes);
      size_t n_bytes;

      memcpy (data, seed, seed_bytes);
      n_bytes = mutate (data, seed_bytes, 2 * seed_bytes, &random);
      data = realloc (data, n_bytes + (n_bytes == 0));
      func (data, n_bytes);
      free (data);
    }
}

static void
test_mutated_frames_break_nothing (void **state)
{
  const MfPeerMessage message = {
    .type = MF_PEER_DIGEST,
    .digest = { .sequence = 9,
                .gossip = { { MF_GOSSIP_FENCE, 1, 2, 3 }, { MF_GOSSIP_REQUEST_SUSPECT, 4, 5, 6 } },
                .n_gossip = 2,
                .shares = { { 7, 8, 9 }, { 10, 11, 12 } },
                .n_shares = 2,
                .burn = (const uint8_t *)"burn",
                .burn_bytes = 4 },
  };
  MfError error = { 0 };
  size_t n_bytes;
  uint8_t *bytes = mf_frame_encode (&message, &n_bytes, &error);

  (void)state;
  assert_non_null (bytes);
  run (fuzz_frame, bytes + MF_FRAME_LENGTH_BYTES, n_bytes - MF_FRAME_LENGTH_BYTES);
  free (bytes);
}

static void
test_mutated_texts_break_nothing (void **state)
{
  FILE *file = fopen (SOURCE_ROOT "/examples/text.json", "r");
  uint8_t text[8192];
  size_t n_bytes;

  (void)state;
  assert_non_null (file);
  n_bytes = fread (text, 1, sizeof text, file);
  fclose (file);
  assert_in_range (n_bytes, 500, sizeof text - 1);
  run (fuzz_text, text, n_bytes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_mutated_frames_break_nothing),
    cmocka_unit_test (test_mutated_texts_break_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
