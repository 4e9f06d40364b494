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

#define N_INSTANCES 5
#define STEP_US MF_US_PER_MS
#define ORDER_TIME_US (20 * MF_US_PER_MS) /* time the order service takes for one order */
#define REQUESTS_MAX 4096
#define KEYS_MAX 256
#define KEY_LIFE_S 900

/* A request and the answer the caller got. */
typedef struct
{
  uint32_t key;
  uint32_t slot;
  uint64_t incarnation;
  bool received; /* by the order service */
  uint64_t call_id;
  uint64_t done_us; /* when the order service answers; 0 before the call and after the answer */
  bool answered;
  uint16_t status; /* 0 for a refusal */
  bool replayed;
  MfCode code;
  MfOutcome outcome;
  char body[32];
} Request;

/* Five instances and one order service, which counts how often each key ran. */
typedef struct
{
  FakeCores *cores;
  Request requests[REQUESTS_MAX]; /* by request id, from 1 */
  uint32_t n_requests;
  uint32_t ran[KEYS_MAX];
  uint64_t random;
} Fleet;

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
static const char four_voters_text[] = TEXT (3000, "\"n0\", \"n1\", \"n2\", \"n3\"", 4);
static const char long_deadline_text[] = TEXT (600000, "\"n0\", \"n1\", \"n2\", \"n3\", \"n4\"", 5);

static void
on_call (FakeCores *cores, uint32_t slot, const MfCallAction *call, void *data)
{
  Fleet *fleet = data;
  Request *request = &fleet->requests[call->request_id];

  (void)slot;
  if (call->kind != MF_CALL_PLAIN)
    return;
  assert_true (call->fresh_connection);
  fleet->ran[request->key]++;
  request->received = true;
  request->call_id = call->call_id;
  request->done_us = fake_cores_now_us (cores) + ORDER_TIME_US;
}

static void
on_answer (FakeCores *cores, uint32_t slot, const MfAction *action, void *data)
{
  Fleet *fleet = data;
  Request *request = &fleet->requests[action->answer.request_id];

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
fleet_open (Fleet *fleet, uint64_t seed)
{
  const FakeCoresOptions options = { .n_instances = N_INSTANCES,
                                     .n_data_centres = 3,
                                     .delay_us = MF_US_PER_MS,
                                     .seed = seed,
                                     .on_call = on_call,
                                     .on_answer = on_answer,
                                     .data = fleet };

  *fleet = (Fleet){ .cores = fake_cores_new (&options), .random = seed };
  fake_cores_publish (fleet->cores, 1, text);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    fake_cores_start (fleet->cores, i);
}

/* Sends the answer of the order service, unless the instance that called has died. */
static void
service_answer (Fleet *fleet, Request *request)
{
  MfCore *core = fake_cores_core (fleet->cores, request->slot);
  MfEvent event = { .type = MF_EVENT_CALL_SENT, .call = { .call_id = request->call_id } };
  char body[32];

  request->done_us = 0;
  if (core == NULL || core->board.options.self.incarnation != request->incarnation)
    return;
  fake_cores_handle_event (fleet->cores, request->slot, &event);
  snprintf (body, sizeof body, "order %u", request->key);
  event.type = MF_EVENT_CALL_DONE;
  event.call.status = 201;
  event.call.content_type = "text/plain";
  event.call.data = body;
  event.call.data_bytes = strlen (body);
  fake_cores_handle_event (fleet->cores, request->slot, &event);
}

static void
fleet_run (Fleet *fleet, uint64_t for_us)
{
  uint64_t end_us = fake_cores_now_us (fleet->cores) + for_us;

  while (fake_cores_now_us (fleet->cores) < end_us)
    {
      fake_cores_run (fleet->cores, STEP_US);
      for (uint32_t i = 1; i <= fleet->n_requests; i++)
        {
          Request *request = &fleet->requests[i];

          if (request->done_us != 0 && request->done_us <= fake_cores_now_us (fleet->cores))
            service_answer (fleet, request);
        }
    }
}

/* Sends an order with a key through an instance; returns its entry in fleet->requests. */
static Request *
fleet_send (Fleet *fleet, uint32_t slot, uint32_t key, uint64_t created_ms, uint64_t body_digest)
{
  uint32_t id = ++fleet->n_requests;
  MfCore *core = fake_cores_core (fleet->cores, slot);
  MfEvent event = { .type = MF_EVENT_REQUEST,
                    .request = { .request_id = id,
                                 .name = "order",
                                 .path = "/orders",
                                 .method = "POST",
                                 .digest = body_digest,
                                 .has_idempotency_key = true,
                                 .key_created_ms = created_ms } };

  snprintf ((char *)event.request.key_digest, MF_DIGEST_BYTES, "key %u", key);
  fleet->requests[id]
      = (Request){ .key = key, .slot = slot, .incarnation = core->board.options.self.incarnation };
  fake_cores_handle_event (fleet->cores, slot, &event);
  return &fleet->requests[id];
}

static uint64_t
wall_ms (const Fleet *fleet)
{
  return UINT64_C (1700000000000) + fake_cores_now_us (fleet->cores) / MF_US_PER_MS;
}

static void
fleet_warm_up (Fleet *fleet)
{
  fleet_run (fleet, (KEY_LIFE_S + 30) * MF_US_PER_S / 20);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    assert_true (fake_cores_core (fleet->cores, i)->board.claims != NULL);
}

static void
test_same_key_at_two_instances_runs_once (void **state)
{
  Fleet *fleet = *state;
  Request *a = fleet_send (fleet, 0, 1, wall_ms (fleet), 7);
  Request *b = fleet_send (fleet, 1, 1, wall_ms (fleet), 7);

  fleet_run (fleet, MF_US_PER_S);
  assert_int_equal (fleet->ran[1], 1);
  assert_int_equal (a->status, 201);
  assert_int_equal (b->status, 201);
  assert_int_equal (a->replayed + b->replayed, 1);
  assert_string_equal (a->body, "order 1");
  assert_string_equal (b->body, "order 1");
}

static void
test_finished_key_is_answered_after_its_instance_died (void **state)
{
  Fleet *fleet = *state;
  Request *again;

  fleet_send (fleet, 0, 1, wall_ms (fleet), 7);
  fleet_run (fleet, MF_US_PER_S);
  fake_cores_kill (fleet->cores, 0, true);
  again = fleet_send (fleet, 3, 1, wall_ms (fleet) - 1000, 7);
  fleet_run (fleet, MF_US_PER_S);
  assert_int_equal (fleet->ran[1], 1);
  assert_true (again->replayed);
  assert_string_equal (again->body, "order 1");
}

static void
test_key_of_a_dead_claimant_is_unknown (void **state)
{
  Fleet *fleet = *state;
  uint64_t created_ms = wall_ms (fleet);
  Request *again;

  fleet_send (fleet, 0, 1, created_ms, 7);
  fleet_run (fleet, 10 * MF_US_PER_MS);
  assert_int_equal (fleet->ran[1], 1);
  fake_cores_kill (fleet->cores, 0, true);
  again = fleet_send (fleet, 1, 1, created_ms, 7);
  fleet_run (fleet, 4 * MF_US_PER_S);
  assert_int_equal (fleet->ran[1], 1);
  assert_int_equal (again->code, MF_CODE_KEY_UNKNOWN);
  assert_int_equal (again->outcome, MF_OUTCOME_UNKNOWN);
}

static void
test_key_with_another_body_is_refused (void **state)
{
  Fleet *fleet = *state;
  Request *other;

  fleet_send (fleet, 0, 1, wall_ms (fleet), 7);
  fleet_run (fleet, MF_US_PER_S);
  other = fleet_send (fleet, 1, 1, wall_ms (fleet) - 1000, 8);
  fleet_run (fleet, MF_US_PER_S);
  assert_int_equal (other->code, MF_CODE_KEY_BODY_DIFFERS);
  assert_int_equal (fleet->ran[1], 1);
}

static void
cut_minority (Fleet *fleet, bool cut)
{
  for (uint32_t a = 0; a < 2; a++)
    {
      for (uint32_t b = 2; b < N_INSTANCES; b++)
        {
          fake_cores_set_link_cut (fleet->cores, a, b, cut);
          fake_cores_set_link_cut (fleet->cores, b, a, cut);
        }
    }
}

static void
test_minority_refuses_and_majority_runs (void **state)
{
  Fleet *fleet = *state;
  uint64_t created_ms = wall_ms (fleet);
  Request *minority;
  Request *majority;

  cut_minority (fleet, true);
  minority = fleet_send (fleet, 0, 1, created_ms, 7);
  majority = fleet_send (fleet, 3, 1, created_ms, 7);
  fleet_run (fleet, 4 * MF_US_PER_S);
  assert_int_equal (fleet->ran[1], 1);
  assert_int_equal (minority->status, 0);
  assert_int_equal (majority->status, 201);
  cut_minority (fleet, false);
  fleet_run (fleet, 5 * MF_US_PER_S);
  minority = fleet_send (fleet, 0, 1, created_ms, 7);
  fleet_run (fleet, MF_US_PER_S);
  assert_true (minority->replayed);
  assert_int_equal (fleet->ran[1], 1);
}

/* Every voter is replaced in turn after a call with a key without a creation time has run: no
 * replacement may lose the record and let the call run again. */
static void
test_rolling_replacement_forgets_nothing (void **state)
{
  Fleet *fleet = *state;
  Request *again;

  fleet_run (fleet, KEY_LIFE_S * MF_US_PER_S);
  fleet_send (fleet, 0, 1, 0, 7);
  fleet_run (fleet, MF_US_PER_S);
  assert_int_equal (fleet->ran[1], 1);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      fake_cores_start (fleet->cores, i);
      fleet_run (fleet, 2 * MF_US_PER_S);
      again = fleet_send (fleet, (i + 1) % N_INSTANCES, 1, 0, 7);
      fleet_run (fleet, 4 * MF_US_PER_S);
      assert_true (again->answered);
      assert_int_equal (fleet->ran[1], 1);
      again = fleet_send (fleet, i, 10 + i, 0, 7);
      fleet_run (fleet, MF_US_PER_S);
      assert_int_equal (again->status, 201);
    }
}

/* Whether an instance votes is shown to operators and sent to peers; a restarted instance does not
 * vote before it is admitted again. */
static void
test_admission_is_shown (void **state)
{
  Fleet *fleet = *state;
  const MfMember *member;

  assert_true (fake_cores_core (fleet->cores, 1)->board.voter_admitted);
  fake_cores_start (fleet->cores, 1);
  assert_false (fake_cores_core (fleet->cores, 1)->board.voter_admitted);
  fleet_run (fleet, 2 * MF_US_PER_S);
  assert_true (fake_cores_core (fleet->cores, 1)->board.voter_admitted);
  member = mf_member_find (fake_cores_core (fleet->cores, 0), "n1");
  assert_non_null (member);
  assert_true (member->admitted);
}

/* So many voters restart that some quorum has lost all its records: the recorded answers are still
 * served, and a key whose record may be lost is not run. */
static void
test_cold_start_refuses_keys_from_before (void **state)
{
  Fleet *fleet = *state;
  uint64_t before_ms = wall_ms (fleet);
  Request *known;
  Request *old;
  Request *opaque;
  Request *fresh;

  fleet_send (fleet, 0, 1, before_ms, 7);
  fleet_run (fleet, MF_US_PER_S);
  for (uint32_t i = 0; i < 3; i++)
    fake_cores_start (fleet->cores, i);
  fleet_run (fleet, 20 * MF_US_PER_S);
  known = fleet_send (fleet, 2, 1, before_ms, 7);
  old = fleet_send (fleet, 2, 4, before_ms, 7);
  opaque = fleet_send (fleet, 2, 2, 0, 7);
  fresh = fleet_send (fleet, 2, 3, wall_ms (fleet), 7);
  fleet_run (fleet, 4 * MF_US_PER_S);
  assert_string_equal (known->body, "order 1");
  assert_int_equal (old->code, MF_CODE_KEY_UNKNOWN);
  assert_int_equal (old->outcome, MF_OUTCOME_UNKNOWN);
  assert_int_equal (opaque->code, MF_CODE_KEY_UNKNOWN);
  assert_int_equal (fresh->status, 201);
  assert_int_equal (fleet->ran[1], 1);
  assert_int_equal (fleet->ran[2] + fleet->ran[4], 0);
}

/* All voters of the cell restart: a key with a creation time before that is refused, as its record
 * may be lost. */
static void
test_whole_cell_lost_refuses_minted_keys_from_before (void **state)
{
  Fleet *fleet = *state;
  uint64_t before_ms = wall_ms (fleet);
  Request *old;

  fleet_send (fleet, 0, 1, before_ms, 7);
  fleet_run (fleet, MF_US_PER_S);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    fake_cores_start (fleet->cores, i);
  fleet_run (fleet, 20 * MF_US_PER_S);
  old = fleet_send (fleet, 2, 1, before_ms, 7);
  fleet_run (fleet, 100 * MF_US_PER_MS);
  assert_int_equal (old->code, MF_CODE_KEY_UNKNOWN);
  assert_int_equal (old->outcome, MF_OUTCOME_UNKNOWN);
  assert_int_equal (fleet->ran[1], 1);
}

/* Half of an even cell restarts at once: every quorum included one of the other half, so no record
 * is lost. */
static void
test_survivors_of_half_the_cell_hand_everything_over (void **state)
{
  Fleet *fleet = *state;
  Request *again;

  fake_cores_kill (fleet->cores, 4, false);
  fake_cores_publish (fleet->cores, 2, four_voters_text);
  fleet_run (fleet, KEY_LIFE_S * MF_US_PER_S);
  fleet_send (fleet, 0, 1, 0, 7);
  fleet_run (fleet, MF_US_PER_S);
  fake_cores_start (fleet->cores, 0);
  fake_cores_start (fleet->cores, 1);
  fleet_run (fleet, 6 * MF_US_PER_S);
  again = fleet_send (fleet, 0, 1, 0, 7);
  fleet_run (fleet, 4 * MF_US_PER_S);
  assert_true (again->answered);
  assert_int_equal (fleet->ran[1], 1);
  again = fleet_send (fleet, 1, 2, 0, 7);
  fleet_run (fleet, MF_US_PER_S);
  assert_int_equal (again->status, 201);
}

/* All keys arrive at a restarted voter when they do not fit in one frame. */
static void
test_many_keys_are_handed_over_in_parts (void **state)
{
  Fleet *fleet = *state;
  MfCore *core = fake_cores_core (fleet->cores, 1);
  uint64_t created_ms = wall_ms (fleet);
  Request *again;

  for (uint32_t i = 0; i < MF_RECORDS_PER_PART_MAX * 2; i++)
    {
      uint8_t key[MF_DIGEST_BYTES] = { 0 };

      snprintf ((char *)key, sizeof key, "filler %u", i);
      for (uint32_t slot = 1; slot < N_INSTANCES; slot++)
        {
          MfVoterState *voter = mf_claim_voter (fake_cores_core (fleet->cores, slot));

          assert_non_null (mf_key_table_add (voter->key_table, key, core->board.now_us));
        }
    }
  fleet_send (fleet, 1, 1, created_ms, 7);
  fleet_run (fleet, MF_US_PER_S);
  fake_cores_start (fleet->cores, 0);
  fleet_run (fleet, 3 * MF_US_PER_S);
  core = fake_cores_core (fleet->cores, 0);
  assert_true (mf_claim_voter (core)->admitted);
  assert_int_equal (HASH_COUNT (mf_claim_voter (core)->key_table->entries),
                    MF_RECORDS_PER_PART_MAX * 2 + 1);
  again = fleet_send (fleet, 0, 1, created_ms, 7);
  fleet_run (fleet, 4 * MF_US_PER_S);
  assert_true (again->answered);
  assert_int_equal (fleet->ran[1], 1);
}

/* The first keyed call of a new fleet waits for the admission of the voters instead of being
 * refused. */
static void
test_new_fleet_serves_its_first_order (void **state)
{
  Fleet *fleet = calloc (1, sizeof *fleet);
  Request *created;
  Request *opaque;

  (void)state;
  fleet_open (fleet, 77);
  fleet_run (fleet, 100 * MF_US_PER_MS);
  created = fleet_send (fleet, 0, 1, wall_ms (fleet) + 3000, 7);
  fleet_run (fleet, 5 * MF_US_PER_S);
  assert_int_equal (created->status, 0);
  created = fleet_send (fleet, 0, 2, wall_ms (fleet), 7);
  fleet_run (fleet, 2 * MF_US_PER_S);
  assert_int_equal (created->status, 201);
  opaque = fleet_send (fleet, 0, 3, 0, 7);
  fleet_run (fleet, 2 * MF_US_PER_S);
  assert_int_equal (opaque->status, 201);
  fake_cores_free (fleet->cores);
  free (fleet);
}

static void
test_old_key_is_refused (void **state)
{
  Fleet *fleet = *state;
  Request *old = fleet_send (fleet, 0, 1, wall_ms (fleet) - (KEY_LIFE_S + 5) * 1000, 7);

  fleet_run (fleet, MF_US_PER_S);
  assert_int_equal (old->code, MF_CODE_KEY_TOO_OLD);
  assert_int_equal (fleet->ran[1], 0);
}

static uint64_t
random_below (Fleet *fleet, uint64_t bound)
{
  uint64_t z = (fleet->random += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return (z ^ (z >> 31)) % bound;
}

/* Injects a random fault: a kill with or without closed links, a restart, a pause, or a link cut or
 * restored. */
static void
inject_fault (Fleet *fleet)
{
  uint32_t slot = (uint32_t)random_below (fleet, N_INSTANCES);
  uint32_t other = (uint32_t)random_below (fleet, N_INSTANCES);

  switch (random_below (fleet, 6))
    {
    case 0:
      fake_cores_kill (fleet->cores, slot, random_below (fleet, 2) == 0);
      break;
    case 1:
    case 2:
      if (fake_cores_core (fleet->cores, slot) == NULL || random_below (fleet, 4) == 0)
        fake_cores_start (fleet->cores, slot);
      break;
    case 3:
      fake_cores_pause (fleet->cores, slot, random_below (fleet, 4 * MF_US_PER_S));
      break;
    case 4:
      fake_cores_set_link_cut (fleet->cores, slot, other, true);
      break;
    default:
      fake_cores_set_link_cut (fleet->cores, slot, other, false);
      break;
    }
}

static void
check_invariants (const Fleet *fleet)
{
  for (uint32_t i = 1; i <= fleet->n_requests; i++)
    {
      const Request *request = &fleet->requests[i];

      assert_true (fleet->ran[request->key] <= 1);
      if (request->answered && request->status == 0 && request->received)
        assert_int_not_equal (request->outcome, MF_OUTCOME_NOT_RUN);
      if (request->status != 0)
        assert_int_equal (fleet->ran[request->key], 1);
    }
}

/* Sends keys repeatedly through random instances while faults are injected two at a time. */
static void
run_random_faults (uint64_t seed)
{
  Fleet *fleet = calloc (1, sizeof *fleet);
  uint64_t created_ms[KEYS_MAX];
  uint32_t n_keys_run = 0;

  fleet_open (fleet, seed);
  fleet_run (fleet, 30 * MF_US_PER_S);
  for (uint32_t key = 1; key < 100; key++)
    {
      uint32_t slot = (uint32_t)random_below (fleet, N_INSTANCES);

      created_ms[key] = random_below (fleet, 4) == 0
                            ? 0
                            : UINT64_C (1700000000000) + fake_cores_now_us (fleet->cores) / 1000;
      for (uint32_t n = 0; n < 4; n++)
        {
          uint32_t resent = key - (uint32_t)random_below (fleet, key < 5 ? key : 5);

          if (fake_cores_core (fleet->cores, slot) != NULL)
            fleet_send (fleet, slot, resent, created_ms[resent], 7);
          slot = (uint32_t)random_below (fleet, N_INSTANCES);
          fleet_run (fleet, random_below (fleet, 30) * MF_US_PER_MS);
          if (random_below (fleet, 5) == 0)
            {
              inject_fault (fleet);
              inject_fault (fleet);
            }
        }
      check_invariants (fleet);
      fleet_run (fleet, random_below (fleet, 500) * MF_US_PER_MS);
    }
  check_invariants (fleet);
  for (uint32_t key = 1; key < 100; key++)
    n_keys_run += fleet->ran[key];
  assert_true (n_keys_run > 0);
  fake_cores_free (fleet->cores);
  free (fleet);
}

static void
test_walk_runs_each_key_at_most_once (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 12; seed++)
    run_random_faults (seed);
}

/* Delivers a vote to a core that claims a key; the view of the voter has an incarnation of n1. */
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

/* The calls of a core to the order service. */
typedef struct
{
  uint32_t n_calls;
  uint32_t n_aborted;
  uint64_t call_id;
} Calls;

static void
note_call (const MfAction *action, void *data)
{
  Calls *calls = data;

  if (action->type == MF_ACTION_CALL_START && action->call.kind == MF_CALL_PLAIN)
    {
      calls->n_calls++;
      calls->call_id = action->call.call_id;
    }
  calls->n_aborted += action->type == MF_ACTION_CALL_ABORT;
}

/* Returns a core that is no voter and has one keyed order, which waits for votes. */
static MfCore *
nonvoter_core_new (Calls *calls, uint8_t key[MF_DIGEST_BYTES])
{
  MfOptions options;
  MfError error = { 0 };
  MfEvent event = { .type = MF_EVENT_PLATFORM_TEXT, .now_us = 1, .wall_ms = 1700000000000 };
  MfCore *core;

  mf_core_options (&options);
  mf_name_set (options.self.name, sizeof options.self.name, "outsider");
  core = mf_core_new (&options, 1, event.wall_ms, note_call, calls, &error);
  event.text = (MfPlatformTextEvent){ .revision = 1,
                                      .text = long_deadline_text,
                                      .text_bytes = strlen (long_deadline_text) };
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

/* n1 votes and is replaced, and the view of a later vote has the new incarnation: the vote of n1 is
 * void. */
static void
test_vote_of_a_replaced_voter_does_not_count (void **state)
{
  Calls calls = { 0 };
  uint8_t key[MF_DIGEST_BYTES];
  MfCore *core = nonvoter_core_new (&calls, key);

  (void)state;
  deliver_vote (core, "n1", 5, 5, key);
  deliver_vote (core, "n2", 5, 6, key);
  deliver_vote (core, "n3", 5, 5, key);
  assert_int_equal (calls.n_calls, 0);
  deliver_vote (core, "n4", 5, 5, key);
  assert_int_equal (calls.n_calls, 1);
  mf_core_free (core);
}

/* The process is paused while it waits for votes: the voting time-out restarts afterwards. */
static void
test_pause_gives_voters_their_time (void **state)
{
  Calls calls = { 0 };
  uint8_t key[MF_DIGEST_BYTES];
  MfCore *core = nonvoter_core_new (&calls, key);
  MfEvent event = { .type = MF_EVENT_TICK, .now_us = 10 * MF_US_PER_S };

  (void)state;
  event.wall_ms = core->board.wall_ms;
  mf_core_step (core, &event);
  deliver_vote (core, "n1", 5, 5, key);
  deliver_vote (core, "n2", 5, 5, key);
  deliver_vote (core, "n3", 5, 5, key);
  assert_int_equal (calls.n_calls, 1);
  mf_core_free (core);
}

/* The process is paused between the grant and the first byte of the call: the call is aborted, as
 * the grant has expired, and the claim waits for votes again. */
static void
test_grant_that_went_stale_sends_nothing (void **state)
{
  Calls calls = { 0 };
  uint8_t key[MF_DIGEST_BYTES];
  MfCore *core = nonvoter_core_new (&calls, key);
  MfEvent event = { .type = MF_EVENT_CALL_SENT, .now_us = 60 * MF_US_PER_S };

  (void)state;
  deliver_vote (core, "n1", 5, 5, key);
  deliver_vote (core, "n2", 5, 5, key);
  deliver_vote (core, "n3", 5, 5, key);
  assert_int_equal (calls.n_calls, 1);
  event.wall_ms = core->board.wall_ms;
  event.call.call_id = calls.call_id;
  mf_core_step (core, &event);
  assert_int_equal (calls.n_aborted, 1);
  assert_int_equal (calls.n_calls, 1);
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
  Fleet *fleet = calloc (1, sizeof *fleet);

  fleet_open (fleet, 5);
  fleet_warm_up (fleet);
  *state = fleet;
  return 0;
}

static int
teardown (void **state)
{
  Fleet *fleet = *state;

  fake_cores_free (fleet->cores);
  free (fleet);
  return 0;
}

#define FLEET_TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cells_are_small_and_cover_all_voters),
    cmocka_unit_test (test_vote_of_a_replaced_voter_does_not_count),
    cmocka_unit_test (test_grant_that_went_stale_sends_nothing),
    cmocka_unit_test (test_pause_gives_voters_their_time),
    FLEET_TEST (test_same_key_at_two_instances_runs_once),
    FLEET_TEST (test_finished_key_is_answered_after_its_instance_died),
    FLEET_TEST (test_key_of_a_dead_claimant_is_unknown),
    FLEET_TEST (test_key_with_another_body_is_refused),
    FLEET_TEST (test_minority_refuses_and_majority_runs),
    FLEET_TEST (test_rolling_replacement_forgets_nothing),
    FLEET_TEST (test_admission_is_shown),
    FLEET_TEST (test_cold_start_refuses_keys_from_before),
    FLEET_TEST (test_whole_cell_lost_refuses_minted_keys_from_before),
    FLEET_TEST (test_survivors_of_half_the_cell_hand_everything_over),
    FLEET_TEST (test_many_keys_are_handed_over_in_parts),
    cmocka_unit_test (test_new_fleet_serves_its_first_order),
    FLEET_TEST (test_old_key_is_refused),
    cmocka_unit_test (test_walk_runs_each_key_at_most_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
