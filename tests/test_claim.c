#include "libmangofork/cell.h"
#include "libmangofork/member.h"
#include "libmangofork/voter.h"

#include "fakes/cores.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define N 5
#define STEP_US MF_US_PER_MS
#define ORDER_US (20 * MF_US_PER_MS) /* the order desk's time for one order */
#define REQUESTS_MAX 4096
#define KEYS_MAX 256
#define LIFE_S 900

/* One request a caller sent, and what it was told. */
typedef struct
{
  uint32_t key;
  uint32_t slot;
  uint64_t incarnation;
  bool called; /* the order desk has it */
  uint64_t call_id;
  uint64_t done_us; /* when the order desk answers; 0 when it does not any more */
  bool answered;
  uint16_t status; /* 0 for a refusal */
  bool replayed;
  MfCode code;
  MfOutcome outcome;
  char body[32];
} Request;

/* Five instances before one order desk, which counts how often each key ran. */
typedef struct
{
  FakeCores *cores;
  Request requests[REQUESTS_MAX]; /* by request id, from 1 */
  uint32_t n_requests;
  uint32_t ran[KEYS_MAX];
  uint64_t random;
} Desk;

#define TEXT(deadline_ms, voters, per_key)                                                         \
  "{ \"services\": [ { \"name\": \"orders\", \"kind\": \"plain\", \"path\": \"/orders\","          \
  "  \"class\": \"order\", \"pool\": \"ordering\", \"deadline_ms\": " #deadline_ms " } ],"         \
  "  \"pools\": [ { \"name\": \"ordering\", \"role\": \"plain\", \"upstreams\": ["                 \
  "  { \"name\": \"o1\", \"address\": \"127.0.0.1:9010\", \"data_centre\": \"dc0\","               \
  "    \"slots\": 1000 } ] } ],"                                                                   \
  "  \"allow_anonymous\": true,"                                                                   \
  "  \"idempotency\": { \"voters\": [" voters "], \"voters_per_key\": " #per_key                   \
  ", \"key_life_s\": 900 } }"

static const char text[] = TEXT (3000, "\"n0\", \"n1\", \"n2\", \"n3\", \"n4\"", 5);
static const char text_of_four[] = TEXT (3000, "\"n0\", \"n1\", \"n2\", \"n3\"", 4);
static const char patient_text[] = TEXT (600000, "\"n0\", \"n1\", \"n2\", \"n3\", \"n4\"", 5);

static void
on_call (FakeCores *cores, uint32_t slot, const MfCallAction *call, void *data)
{
  Desk *desk = data;
  Request *request = &desk->requests[call->request_id];

  (void)slot;
  if (call->kind != MF_CALL_PLAIN)
    return;
  assert_true (call->fresh_connection);
  desk->ran[request->key]++;
  request->called = true;
  request->call_id = call->call_id;
  request->done_us = fake_cores_now_us (cores) + ORDER_US;
}

static void
on_answer (FakeCores *cores, uint32_t slot, const MfAction *action, void *data)
{
  Desk *desk = data;
  Request *request = &desk->requests[action->answer.request_id];

  (void)cores;
  (void)slot;
  assert_false (request->answered);
  request->answered = true;
  request->replayed = action->answer.replayed;
  request->code = action->answer.code;
  request->outcome = action->answer.outcome;
  if (action->type == MF_ACTION_ANSWER_REFUSE)
    return;
  request->status = action->answer.status;
  memcpy (request->body, action->answer.data, action->answer.data_bytes);
}

static void
desk_open (Desk *desk, uint64_t seed)
{
  const FakeCoresOptions options = { .n_slots = N,
                                     .n_data_centres = 3,
                                     .delay_us = MF_US_PER_MS,
                                     .seed = seed,
                                     .on_call = on_call,
                                     .on_answer = on_answer,
                                     .data = desk };

  *desk = (Desk){ .cores = fake_cores_new (&options), .random = seed };
  fake_cores_publish (desk->cores, 1, text);
  for (uint32_t i = 0; i < N; i++)
    fake_cores_start (desk->cores, i);
}

/* The order desk's answer, unless the instance that called is gone. */
static void
desk_answer (Desk *desk, Request *request)
{
  MfCore *core = fake_cores_core (desk->cores, request->slot);
  MfEvent event = { .type = MF_EVENT_CALL_SENT, .call = { .call_id = request->call_id } };
  char body[32];

  request->done_us = 0;
  if (core == NULL || core->board.options.self.incarnation != request->incarnation)
    return;
  fake_cores_event (desk->cores, request->slot, &event);
  snprintf (body, sizeof body, "order %u", request->key);
  event.type = MF_EVENT_CALL_DONE;
  event.call.status = 201;
  event.call.content_type = "text/plain";
  event.call.data = body;
  event.call.data_bytes = strlen (body);
  fake_cores_event (desk->cores, request->slot, &event);
}

static void
desk_run (Desk *desk, uint64_t for_us)
{
  uint64_t end_us = fake_cores_now_us (desk->cores) + for_us;

  while (fake_cores_now_us (desk->cores) < end_us)
    {
      fake_cores_run (desk->cores, STEP_US);
      for (uint32_t i = 1; i <= desk->n_requests; i++)
        {
          Request *request = &desk->requests[i];

          if (request->done_us != 0 && request->done_us <= fake_cores_now_us (desk->cores))
            desk_answer (desk, request);
        }
    }
}

/* Sends an order with a key through an instance; returns its place in desk->requests. */
static Request *
desk_send (Desk *desk, uint32_t slot, uint32_t key, uint64_t minted_ms, uint64_t body_digest)
{
  uint32_t id = ++desk->n_requests;
  MfCore *core = fake_cores_core (desk->cores, slot);
  MfEvent event = { .type = MF_EVENT_REQUEST,
                    .request = { .request_id = id,
                                 .name = "order",
                                 .path = "/orders",
                                 .method = "POST",
                                 .digest = body_digest,
                                 .has_idempotency_key = true,
                                 .key_created_ms = minted_ms } };

  snprintf ((char *)event.request.key_digest, MF_DIGEST_BYTES, "key %u", key);
  desk->requests[id]
      = (Request){ .key = key, .slot = slot, .incarnation = core->board.options.self.incarnation };
  fake_cores_event (desk->cores, slot, &event);
  return &desk->requests[id];
}

static uint64_t
wall_ms (const Desk *desk)
{
  return UINT64_C (1700000000000) + fake_cores_now_us (desk->cores) / MF_US_PER_MS;
}

static void
desk_warm (Desk *desk)
{
  desk_run (desk, (LIFE_S + 30) * MF_US_PER_S / 20);
  for (uint32_t i = 0; i < N; i++)
    assert_true (fake_cores_core (desk->cores, i)->board.claims != NULL);
}

static void
test_same_key_at_two_instances_runs_once (void **state)
{
  Desk *desk = *state;
  Request *a = desk_send (desk, 0, 1, wall_ms (desk), 7);
  Request *b = desk_send (desk, 1, 1, wall_ms (desk), 7);

  desk_run (desk, MF_US_PER_S);
  assert_int_equal (desk->ran[1], 1);
  assert_int_equal (a->status, 201);
  assert_int_equal (b->status, 201);
  assert_int_equal (a->replayed + b->replayed, 1);
  assert_string_equal (a->body, "order 1");
  assert_string_equal (b->body, "order 1");
}

static void
test_finished_key_is_answered_after_its_instance_died (void **state)
{
  Desk *desk = *state;
  Request *again;

  desk_send (desk, 0, 1, wall_ms (desk), 7);
  desk_run (desk, MF_US_PER_S);
  fake_cores_kill (desk->cores, 0, true);
  again = desk_send (desk, 3, 1, wall_ms (desk) - 1000, 7);
  desk_run (desk, MF_US_PER_S);
  assert_int_equal (desk->ran[1], 1);
  assert_true (again->replayed);
  assert_string_equal (again->body, "order 1");
}

static void
test_key_of_a_dead_claimant_is_unknown (void **state)
{
  Desk *desk = *state;
  uint64_t minted_ms = wall_ms (desk);
  Request *again;

  desk_send (desk, 0, 1, minted_ms, 7);
  desk_run (desk, 10 * MF_US_PER_MS);
  assert_int_equal (desk->ran[1], 1);
  fake_cores_kill (desk->cores, 0, true);
  again = desk_send (desk, 1, 1, minted_ms, 7);
  desk_run (desk, 4 * MF_US_PER_S);
  assert_int_equal (desk->ran[1], 1);
  assert_int_equal (again->code, MF_CODE_KEY_UNKNOWN);
  assert_int_equal (again->outcome, MF_OUTCOME_UNKNOWN);
}

static void
test_key_with_another_body_is_refused (void **state)
{
  Desk *desk = *state;
  Request *other;

  desk_send (desk, 0, 1, wall_ms (desk), 7);
  desk_run (desk, MF_US_PER_S);
  other = desk_send (desk, 1, 1, wall_ms (desk) - 1000, 8);
  desk_run (desk, MF_US_PER_S);
  assert_int_equal (other->code, MF_CODE_KEY_BODY_DIFFERS);
  assert_int_equal (desk->ran[1], 1);
}

static void
cut_minority (Desk *desk, bool cut)
{
  for (uint32_t a = 0; a < 2; a++)
    {
      for (uint32_t b = 2; b < N; b++)
        {
          fake_cores_cut (desk->cores, a, b, cut);
          fake_cores_cut (desk->cores, b, a, cut);
        }
    }
}

static void
test_minority_refuses_and_majority_runs (void **state)
{
  Desk *desk = *state;
  uint64_t minted_ms = wall_ms (desk);
  Request *minority;
  Request *majority;

  cut_minority (desk, true);
  minority = desk_send (desk, 0, 1, minted_ms, 7);
  majority = desk_send (desk, 3, 1, minted_ms, 7);
  desk_run (desk, 4 * MF_US_PER_S);
  assert_int_equal (desk->ran[1], 1);
  assert_int_equal (minority->status, 0);
  assert_int_equal (majority->status, 201);
  cut_minority (desk, false);
  desk_run (desk, 5 * MF_US_PER_S);
  minority = desk_send (desk, 0, 1, minted_ms, 7);
  desk_run (desk, MF_US_PER_S);
  assert_true (minority->replayed);
  assert_int_equal (desk->ran[1], 1);
}

/* Every voter is replaced, one after the other, while a call of an opaque key runs on record. */
static void
test_rolling_replacement_forgets_nothing (void **state)
{
  Desk *desk = *state;
  Request *again;

  desk_run (desk, LIFE_S * MF_US_PER_S);
  desk_send (desk, 0, 1, 0, 7);
  desk_run (desk, MF_US_PER_S);
  assert_int_equal (desk->ran[1], 1);
  for (uint32_t i = 0; i < N; i++)
    {
      fake_cores_start (desk->cores, i);
      desk_run (desk, 2 * MF_US_PER_S);
      again = desk_send (desk, (i + 1) % N, 1, 0, 7);
      desk_run (desk, 4 * MF_US_PER_S);
      assert_true (again->answered);
      assert_int_equal (desk->ran[1], 1);
      again = desk_send (desk, i, 10 + i, 0, 7);
      desk_run (desk, MF_US_PER_S);
      assert_int_equal (again->status, 201);
    }
}

/* Whether an instance votes is shown to operators and told to peers; a fresh one does not at once.
 */
static void
test_admission_is_shown (void **state)
{
  Desk *desk = *state;
  const MfMember *member;

  assert_true (fake_cores_core (desk->cores, 1)->board.voter_admitted);
  fake_cores_start (desk->cores, 1);
  assert_false (fake_cores_core (desk->cores, 1)->board.voter_admitted);
  desk_run (desk, 2 * MF_US_PER_S);
  assert_true (fake_cores_core (desk->cores, 1)->board.voter_admitted);
  member = mf_member_find (fake_cores_core (desk->cores, 0), "n1");
  assert_non_null (member);
  assert_true (member->admitted);
}

/* Too few voters are left to have met every quorum: what they remember is still told, and a key
 * that may have been forgotten is not run. */
static void
test_cold_start_refuses_keys_from_before (void **state)
{
  Desk *desk = *state;
  uint64_t before_ms = wall_ms (desk);
  Request *known;
  Request *old;
  Request *opaque;
  Request *fresh;

  desk_send (desk, 0, 1, before_ms, 7);
  desk_run (desk, MF_US_PER_S);
  for (uint32_t i = 0; i < 3; i++)
    fake_cores_start (desk->cores, i);
  desk_run (desk, 20 * MF_US_PER_S);
  known = desk_send (desk, 2, 1, before_ms, 7);
  old = desk_send (desk, 2, 4, before_ms, 7);
  opaque = desk_send (desk, 2, 2, 0, 7);
  fresh = desk_send (desk, 2, 3, wall_ms (desk), 7);
  desk_run (desk, 4 * MF_US_PER_S);
  assert_string_equal (known->body, "order 1");
  assert_int_equal (old->code, MF_CODE_KEY_UNKNOWN);
  assert_int_equal (old->outcome, MF_OUTCOME_UNKNOWN);
  assert_int_equal (opaque->code, MF_CODE_KEY_UNKNOWN);
  assert_int_equal (fresh->status, 201);
  assert_int_equal (desk->ran[1], 1);
  assert_int_equal (desk->ran[2] + desk->ran[4], 0);
}

/* A cell that lost its whole memory knows of a minted key that it is older than the cell. */
static void
test_whole_cell_lost_refuses_minted_keys_from_before (void **state)
{
  Desk *desk = *state;
  uint64_t before_ms = wall_ms (desk);
  Request *old;

  desk_send (desk, 0, 1, before_ms, 7);
  desk_run (desk, MF_US_PER_S);
  for (uint32_t i = 0; i < N; i++)
    fake_cores_start (desk->cores, i);
  desk_run (desk, 20 * MF_US_PER_S);
  old = desk_send (desk, 2, 1, before_ms, 7);
  desk_run (desk, 100 * MF_US_PER_MS);
  assert_int_equal (old->code, MF_CODE_KEY_UNKNOWN);
  assert_int_equal (old->outcome, MF_OUTCOME_UNKNOWN);
  assert_int_equal (desk->ran[1], 1);
}

/* Half of an even cell restarts at once: the other half met every quorum, so nothing is forgotten.
 */
static void
test_survivors_of_half_the_cell_hand_everything_over (void **state)
{
  Desk *desk = *state;
  Request *again;

  fake_cores_kill (desk->cores, 4, false);
  fake_cores_publish (desk->cores, 2, text_of_four);
  desk_run (desk, LIFE_S * MF_US_PER_S);
  desk_send (desk, 0, 1, 0, 7);
  desk_run (desk, MF_US_PER_S);
  fake_cores_start (desk->cores, 0);
  fake_cores_start (desk->cores, 1);
  desk_run (desk, 6 * MF_US_PER_S);
  again = desk_send (desk, 0, 1, 0, 7);
  desk_run (desk, 4 * MF_US_PER_S);
  assert_true (again->answered);
  assert_int_equal (desk->ran[1], 1);
  again = desk_send (desk, 1, 2, 0, 7);
  desk_run (desk, MF_US_PER_S);
  assert_int_equal (again->status, 201);
}

/* More keys than one frame holds are handed over whole. */
static void
test_many_keys_are_handed_over_in_parts (void **state)
{
  Desk *desk = *state;
  MfCore *core = fake_cores_core (desk->cores, 1);
  uint64_t minted_ms = wall_ms (desk);
  Request *again;

  for (uint32_t i = 0; i < MF_RECORDS_PER_PART_MAX * 2; i++)
    {
      uint8_t key[MF_DIGEST_BYTES] = { 0 };

      snprintf ((char *)key, sizeof key, "filler %u", i);
      for (uint32_t slot = 1; slot < N; slot++)
        {
          MfVoterState *voter = mf_claim_voter (fake_cores_core (desk->cores, slot));

          assert_non_null (mf_keybook_add (voter->book, key, core->board.now_us));
        }
    }
  desk_send (desk, 1, 1, minted_ms, 7);
  desk_run (desk, MF_US_PER_S);
  fake_cores_start (desk->cores, 0);
  desk_run (desk, 3 * MF_US_PER_S);
  core = fake_cores_core (desk->cores, 0);
  assert_true (mf_claim_voter (core)->admitted);
  assert_int_equal (HASH_COUNT (mf_claim_voter (core)->book->entries),
                    MF_RECORDS_PER_PART_MAX * 2 + 1);
  again = desk_send (desk, 0, 1, minted_ms, 7);
  desk_run (desk, 4 * MF_US_PER_S);
  assert_true (again->answered);
  assert_int_equal (desk->ran[1], 1);
}

/* A new fleet serves keyed calls at once: the first waits for its voters instead of being refused.
 */
static void
test_new_fleet_serves_its_first_order (void **state)
{
  Desk *desk = calloc (1, sizeof *desk);
  Request *minted;
  Request *opaque;

  (void)state;
  desk_open (desk, 77);
  desk_run (desk, 100 * MF_US_PER_MS);
  minted = desk_send (desk, 0, 1, wall_ms (desk) + 3000, 7);
  desk_run (desk, 5 * MF_US_PER_S);
  assert_int_equal (minted->status, 0);
  minted = desk_send (desk, 0, 2, wall_ms (desk), 7);
  desk_run (desk, 2 * MF_US_PER_S);
  assert_int_equal (minted->status, 201);
  opaque = desk_send (desk, 0, 3, 0, 7);
  desk_run (desk, 2 * MF_US_PER_S);
  assert_int_equal (opaque->status, 201);
  fake_cores_free (desk->cores);
  free (desk);
}

static void
test_old_key_is_refused (void **state)
{
  Desk *desk = *state;
  Request *old = desk_send (desk, 0, 1, wall_ms (desk) - (LIFE_S + 5) * 1000, 7);

  desk_run (desk, MF_US_PER_S);
  assert_int_equal (old->code, MF_CODE_KEY_TOO_OLD);
  assert_int_equal (desk->ran[1], 0);
}

static uint64_t
draw (Desk *desk, uint64_t bound)
{
  uint64_t z = (desk->random += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (z ^ (z >> 31)) % bound;
}

/* One fault: a kill that is heard or not, a restart, a pause, or a link cut or mended. */
static void
fault (Desk *desk)
{
  uint32_t slot = (uint32_t)draw (desk, N);
  uint32_t other = (uint32_t)draw (desk, N);

  switch (draw (desk, 6))
    {
    case 0:
      fake_cores_kill (desk->cores, slot, draw (desk, 2) == 0);
      break;
    case 1:
    case 2:
      if (fake_cores_core (desk->cores, slot) == NULL || draw (desk, 4) == 0)
        fake_cores_start (desk->cores, slot);
      break;
    case 3:
      fake_cores_pause (desk->cores, slot, draw (desk, 4 * MF_US_PER_S));
      break;
    case 4:
      fake_cores_cut (desk->cores, slot, other, true);
      break;
    default:
      fake_cores_cut (desk->cores, slot, other, false);
      break;
    }
}

static void
check_honest (const Desk *desk)
{
  for (uint32_t i = 1; i <= desk->n_requests; i++)
    {
      const Request *request = &desk->requests[i];

      assert_true (desk->ran[request->key] <= 1);
      if (request->answered && request->status == 0 && request->called)
        assert_int_not_equal (request->outcome, MF_OUTCOME_NOT_RUN);
      if (request->status != 0)
        assert_int_equal (desk->ran[request->key], 1);
    }
}

/* Keys are sent again and again, anywhere, while faults come two at a time. */
static void
walk (uint64_t seed)
{
  Desk *desk = calloc (1, sizeof *desk);
  uint64_t minted_ms[KEYS_MAX];
  uint32_t n_whole = 0;

  desk_open (desk, seed);
  desk_run (desk, 30 * MF_US_PER_S);
  for (uint32_t key = 1; key < 100; key++)
    {
      uint32_t slot = (uint32_t)draw (desk, N);

      minted_ms[key] = draw (desk, 4) == 0
                           ? 0
                           : UINT64_C (1700000000000) + fake_cores_now_us (desk->cores) / 1000;
      for (uint32_t n = 0; n < 4; n++)
        {
          uint32_t resent = key - (uint32_t)draw (desk, key < 5 ? key : 5);

          if (fake_cores_core (desk->cores, slot) != NULL)
            desk_send (desk, slot, resent, minted_ms[resent], 7);
          slot = (uint32_t)draw (desk, N);
          desk_run (desk, draw (desk, 30) * MF_US_PER_MS);
          if (draw (desk, 5) == 0)
            {
              fault (desk);
              fault (desk);
            }
        }
      check_honest (desk);
      desk_run (desk, draw (desk, 500) * MF_US_PER_MS);
    }
  check_honest (desk);
  for (uint32_t key = 1; key < 100; key++)
    n_whole += desk->ran[key];
  assert_true (n_whole > 0);
  fake_cores_free (desk->cores);
  free (desk);
}

static void
test_walk_runs_each_key_at_most_once (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 12; seed++)
    walk (seed);
}

/* A vote is delivered to a core that claims a key; the view is what the voter knows of n1. */
static void
deliver_vote (MfCore *core, const char *voter, uint64_t incarnation, uint64_t incarnation_of_n1,
              const uint8_t key[MF_DIGEST_BYTES])
{
  MfPeerMessage message = {
    .type = MF_PEER_VOTE,
    .vote = { .claim_id = 1,
              .granted = true,
              .view = { { .name = "n1", .incarnation = incarnation_of_n1 } },
              .n_view = 1 },
  };
  MfEvent event = { .type = MF_EVENT_PEER_MESSAGE,
                    .now_us = core->board.now_us,
                    .wall_ms = core->board.wall_ms,
                    .peer = { .peer = { .incarnation = incarnation }, .message = &message } };

  memcpy (message.vote.key, key, MF_DIGEST_BYTES);
  mf_name_set (event.peer.peer.name, sizeof event.peer.peer.name, voter);
  mf_core_step (core, &event);
}

/* What a core asked of its order desk. */
typedef struct
{
  uint32_t n_calls;
  uint32_t n_aborted;
  uint64_t call_id;
} Asked;

static void
note_call (const MfAction *action, void *data)
{
  Asked *asked = data;

  if (action->type == MF_ACTION_CALL_START && action->call.kind == MF_CALL_PLAIN)
    {
      asked->n_calls++;
      asked->call_id = action->call.call_id;
    }
  asked->n_aborted += action->type == MF_ACTION_CALL_ABORT;
}

/* A core that is no voter itself and has one keyed order, which waits for votes. */
static MfCore *
outsider_new (Asked *asked, uint8_t key[MF_DIGEST_BYTES])
{
  MfOptions options;
  MfError error = { 0 };
  MfEvent event = { .type = MF_EVENT_PLATFORM_TEXT, .now_us = 1, .wall_ms = 1700000000000 };
  MfCore *core;

  mf_core_options (&options);
  mf_name_set (options.self.name, sizeof options.self.name, "outsider");
  core = mf_core_new (&options, 1, event.wall_ms, note_call, asked, &error);
  event.text = (MfPlatformTextEvent){ .revision = 1,
                                      .text = patient_text,
                                      .text_bytes = strlen (patient_text) };
  mf_core_step (core, &event);
  event.type = MF_EVENT_REQUEST;
  event.request = (MfRequestEvent){ .request_id = 1,
                                    .name = "order",
                                    .path = "/orders",
                                    .method = "POST",
                                    .has_idempotency_key = true,
                                    .key_digest = { 'k' },
                                    .key_created_ms = event.wall_ms };
  mf_core_step (core, &event);
  memcpy (key, event.request.key_digest, MF_DIGEST_BYTES);
  return core;
}

/* n1 voted, was replaced, and the replacement is known to a later voter: the old vote is void. */
static void
test_vote_of_a_replaced_voter_does_not_count (void **state)
{
  Asked asked = { 0 };
  uint8_t key[MF_DIGEST_BYTES];
  MfCore *core = outsider_new (&asked, key);

  (void)state;
  deliver_vote (core, "n1", 5, 5, key);
  deliver_vote (core, "n2", 5, 6, key);
  deliver_vote (core, "n3", 5, 5, key);
  assert_int_equal (asked.n_calls, 0);
  deliver_vote (core, "n4", 5, 5, key);
  assert_int_equal (asked.n_calls, 1);
  mf_core_free (core);
}

/* The process is paused while it waits for votes: the voters get their time afterwards. */
static void
test_pause_gives_voters_their_time (void **state)
{
  Asked asked = { 0 };
  uint8_t key[MF_DIGEST_BYTES];
  MfCore *core = outsider_new (&asked, key);
  MfEvent event = { .type = MF_EVENT_TICK, .now_us = 10 * MF_US_PER_S };

  (void)state;
  event.wall_ms = core->board.wall_ms;
  mf_core_step (core, &event);
  deliver_vote (core, "n1", 5, 5, key);
  deliver_vote (core, "n2", 5, 5, key);
  deliver_vote (core, "n3", 5, 5, key);
  assert_int_equal (asked.n_calls, 1);
  mf_core_free (core);
}

/* The process is paused between the grant and the first byte: the byte is held back, and the call
 * waits for votes again. */
static void
test_grant_that_went_stale_sends_nothing (void **state)
{
  Asked asked = { 0 };
  uint8_t key[MF_DIGEST_BYTES];
  MfCore *core = outsider_new (&asked, key);
  MfEvent event = { .type = MF_EVENT_CALL_SENT, .now_us = 60 * MF_US_PER_S };

  (void)state;
  deliver_vote (core, "n1", 5, 5, key);
  deliver_vote (core, "n2", 5, 5, key);
  deliver_vote (core, "n3", 5, 5, key);
  assert_int_equal (asked.n_calls, 1);
  event.wall_ms = core->board.wall_ms;
  event.call.call_id = asked.call_id;
  mf_core_step (core, &event);
  assert_int_equal (asked.n_aborted, 1);
  assert_int_equal (asked.n_calls, 1);
  mf_core_free (core);
}

static void
test_cells_are_small_and_cover_all_voters (void **state)
{
  MfVoter voters[380] = { 0 };
  MfConfig config = { .voters = voters, .n_voters = 380, .voters_per_key = 5 };
  uint32_t n = 0;

  (void)state;
  for (uint32_t i = 0; i < 380; i++)
    snprintf (voters[i].name, sizeof voters[i].name, "n%u", i);
  assert_int_equal (mf_cell_count (&config), 76);
  for (uint32_t i = 0; i < mf_cell_count (&config); i++)
    {
      MfCell cell;

      mf_cell_members (&config, i, &cell);
      assert_int_equal (cell.n, 5);
      assert_int_equal (cell.quorum, 3);
      n += cell.n;
    }
  assert_int_equal (n, 380);
  assert_int_equal (mf_cell_of_voter (&config, "n77"), 1);
}

static int
setup (void **state)
{
  Desk *desk = calloc (1, sizeof *desk);

  desk_open (desk, 5);
  desk_warm (desk);
  *state = desk;
  return 0;
}

static int
teardown (void **state)
{
  Desk *desk = *state;

  fake_cores_free (desk->cores);
  free (desk);
  return 0;
}

#define DESK_TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cells_are_small_and_cover_all_voters),
    cmocka_unit_test (test_vote_of_a_replaced_voter_does_not_count),
    cmocka_unit_test (test_grant_that_went_stale_sends_nothing),
    cmocka_unit_test (test_pause_gives_voters_their_time),
    DESK_TEST (test_same_key_at_two_instances_runs_once),
    DESK_TEST (test_finished_key_is_answered_after_its_instance_died),
    DESK_TEST (test_key_of_a_dead_claimant_is_unknown),
    DESK_TEST (test_key_with_another_body_is_refused),
    DESK_TEST (test_minority_refuses_and_majority_runs),
    DESK_TEST (test_rolling_replacement_forgets_nothing),
    DESK_TEST (test_admission_is_shown),
    DESK_TEST (test_cold_start_refuses_keys_from_before),
    DESK_TEST (test_whole_cell_lost_refuses_minted_keys_from_before),
    DESK_TEST (test_survivors_of_half_the_cell_hand_everything_over),
    DESK_TEST (test_many_keys_are_handed_over_in_parts),
    cmocka_unit_test (test_new_fleet_serves_its_first_order),
    DESK_TEST (test_old_key_is_refused),
    cmocka_unit_test (test_walk_runs_each_key_at_most_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
