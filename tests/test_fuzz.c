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

static void
run_text (FuzzFunc func, const char *text)
{
  run (func, (const uint8_t *)text, strlen (text));
}

/* Each reader of what the platform, upstreams and operators write. */
static void
test_mutated_inputs_of_the_relay_break_nothing (void **state)
{
  (void)state;
  run_text (fuzz_settings,
            "node=front-1\nzone=z-a\nlisten.front=10.1.0.35:8144\nlisten.readiness=10.1.0.35:8140\n"
            "provider.address=10.200.1.7:8142\nlisten.control=\ninternalPorts=7660,7675\r\n"
            "bounds.graceS=8\nbounds.contactMs=3000\nbounds.strictRevocation=\n"
            "bounds.retryBudgetRatio=0.2\nbounds.quotaSlack=1e3\n");
  run_text (fuzz_entry,
            "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"version\":\"v1\","
            "\"slots\":64,\"state\":\"ready\",\"sequence\":4,\"born\":1781418871288,"
            "\"stage\":\"decode\"}");
  run_text (
      fuzz_routes,
      "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/a/\","
      "\"kind\":\"streaming\",\"timeoutMs\":600,\"trafficSplit\":[{\"service\":\"e\","
      "\"weight\":9e6},{\"service\":\"s\",\"weight\":1}],\"maxAttempts\":2}],"
      "\"services\":[{\"name\":\"e\",\"engine\":{\"slots\":4}},{\"name\":\"s\"}],"
      "\"limits\":{\"maxBodyBytes\":4096},\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"]}]}");
  run_text (fuzz_stream,
            "id: 10\ndata: a\n\n:\n\nid:20\r\ndata: b\r\n\r\nx-v: 2\nid: 31\ndata: c\n\n"
            "id: 32\n\nid: 40\ndata: d\n\n");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_mutated_frames_break_nothing),
    cmocka_unit_test (test_mutated_texts_break_nothing),
    cmocka_unit_test (test_mutated_inputs_of_the_relay_break_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
