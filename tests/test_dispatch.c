#include "libmangofork/relay/dispatch.h"
#include "libmangofork/relay/load.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define NOW_US (100 * MF_US_PER_S)
#define N_ENGINES 4
#define CAPACITY_TOKENS 60000
#define OBJECTIVE_US (900 * MF_US_PER_MS)
#define MAX_AGE_US (3300 * MF_US_PER_MS)

static const MfRouteService engine = {
  .name = "llm",
  .is_engine = true,
  .engine_slots = 16,
  .kv_capacity_tokens = CAPACITY_TOKENS,
};

typedef struct
{
  uint64_t requester;
  MfGrant grant;
} GivenGrant;

typedef struct
{
  MfTargets targets;
  MfTarget engines[N_ENGINES];
  MfDispatch *dispatch;
  GivenGrant given[256];
  uint32_t n_given;
} Fixture;

static void
on_grant (void *data, uint64_t requester, const MfGrant *grant)
{
  Fixture *fixture = data;

  /* Grants to this instance show in its load at once. */
  if (requester == MF_DISPATCH_SELF)
    mf_target_begin_request (&fixture->engines[grant->decode - 1], 8000, NOW_US);

  assert_in_range (fixture->n_given, 0, MF_ARRAY_LEN (fixture->given) - 1);
  fixture->given[fixture->n_given++] = (GivenGrant){ .requester = requester, .grant = *grant };
}

static const MfRouteService *
on_traits (void *data, const char *service)
{
  (void)data;
  return strcmp (service, "llm") == 0 ? &engine : NULL;
}

static const MfDispatchCallbacks callbacks = { .grant = on_grant, .service_config = on_traits };

static void
fixture_setup (Fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    {
      MfTarget *target = &fixture->engines[i];

      target->info.role = MF_ROLE_DECODE;
      target->info.slots = 16;
      mf_name_set (target->info.service, sizeof target->info.service, "llm");
      target->id_hash = i + 1;
      target->next = fixture->targets.first;
      fixture->targets.first = target;
    }
  fixture->dispatch = mf_dispatch_new (&fixture->targets, &callbacks, fixture);
  assert_non_null (fixture->dispatch);
}

static void
fixture_teardown (Fixture *fixture)
{
  mf_dispatch_free (fixture->dispatch);
}

static MfSlotRequest
request_make (uint64_t id, uint64_t age_us, uint64_t tokens)
{
  return (MfSlotRequest){
    .id = id,
    .service = "llm",
    .prompt_tokens = tokens / 2,
    .kv_tokens = tokens,
    .age_us = age_us,
    .objective_us = OBJECTIVE_US,
    .max_age_us = MAX_AGE_US,
  };
}

static void
enqueue (Fixture *fixture, uint64_t requester, const MfSlotRequest *request)
{
  mf_dispatch_enqueue (fixture->dispatch, requester, request, NOW_US);
}

static void
test_requests_in_time_go_first_then_the_oldest (void **state)
{
  Fixture fixture;
  MfSlotRequest late = request_make (1, 2 * OBJECTIVE_US, 8000);
  MfSlotRequest old = request_make (2, OBJECTIVE_US / 2, 8000);
  MfSlotRequest young = request_make (3, 0, 8000);
  MfSlotRequest read = request_make (4, 2 * OBJECTIVE_US, 8000);

  (void)state;
  fixture_setup (&fixture);
  read.is_prefilled = true;
  enqueue (&fixture, 7, &late);
  enqueue (&fixture, 7, &young);
  enqueue (&fixture, 7, &old);
  enqueue (&fixture, 7, &read);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 0);
  assert_int_equal (fixture.n_given, 4);
  assert_int_equal (fixture.given[0].grant.id, 4);
  assert_int_equal (fixture.given[1].grant.id, 2);
  assert_int_equal (fixture.given[2].grant.id, 3);
  assert_int_equal (fixture.given[3].grant.id, 1);
  fixture_teardown (&fixture);
}

/* Streams that have begun can go on at one version only: they go before new ones, and these leave
 * them what becomes free there, also when they need less. */
static void
test_room_is_kept_for_streams_that_a_version_has_begun (void **state)
{
  Fixture fixture;
  MfSlotRequest small = request_make (1, 0, 4000);
  MfSlotRequest begun = request_make (2, 0, 12000);

  (void)state;
  fixture_setup (&fixture);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    fixture.engines[i].version = i == 0 ? 7 : 8;
  begun.version = 7;
  enqueue (&fixture, 3, &small);
  enqueue (&fixture, 3, &begun);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 0);
  assert_int_equal (fixture.given[0].grant.id, 2);
  assert_int_equal (fixture.given[0].grant.decode, 1);
  /* Half of the capacity of its only engine is used, and that of the others in full. */
  for (uint32_t i = 0; i < N_ENGINES; i++)
    mf_target_begin_request (&fixture.engines[i], i == 0 ? 50000 : CAPACITY_TOKENS, NOW_US);
  fixture.n_given = 0;
  enqueue (&fixture, 3, &small);
  enqueue (&fixture, 3, &begun);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 2);
  mf_target_end_request (&fixture.engines[1], CAPACITY_TOKENS);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US + 1), 1);
  assert_int_equal (fixture.given[0].grant.id, 1);
  assert_int_equal (fixture.given[0].grant.decode, 2);
  mf_target_end_request (&fixture.engines[0], 50000);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US + 2), 0);
  assert_int_equal (fixture.given[1].grant.id, 2);
  assert_int_equal (fixture.given[1].grant.decode, 1);
  fixture_teardown (&fixture);
}

/* A burst of twice the capacity of the engines, from twenty instances at once, fills every engine
 * and none beyond its KV capacity. */
static void
test_burst_fills_no_engine_beyond_its_kv_capacity (void **state)
{
  Fixture fixture;
  uint64_t tokens[N_ENGINES + 1] = { 0 };

  (void)state;
  fixture_setup (&fixture);
  for (uint64_t i = 0; i < 60; i++)
    {
      MfSlotRequest request = request_make (i + 1, 0, 8000);

      enqueue (&fixture, i % 20 + 1, &request);
      mf_dispatch_run (fixture.dispatch, NOW_US);
    }
  for (uint32_t i = 0; i < fixture.n_given; i++)
    tokens[fixture.given[i].grant.decode] += 8000;
  assert_int_equal (fixture.n_given, N_ENGINES * (CAPACITY_TOKENS / 8000));
  for (uint32_t i = 1; i <= N_ENGINES; i++)
    assert_true (tokens[i] <= CAPACITY_TOKENS);
  assert_int_equal (mf_dispatch_n_waiting (fixture.dispatch), 60 - fixture.n_given);
  fixture_teardown (&fixture);
}

/* A slot that becomes free is granted once, however many requests wait for it. */
static void
test_free_slot_is_granted_once (void **state)
{
  Fixture fixture;

  (void)state;
  fixture_setup (&fixture);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    mf_target_begin_request (&fixture.engines[i], CAPACITY_TOKENS, NOW_US);
  for (uint64_t i = 0; i < 20; i++)
    {
      MfSlotRequest request = request_make (i + 1, 0, 28000);

      enqueue (&fixture, i + 1, &request);
    }
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 20);
  fixture.engines[2].active_tokens -= 30000;
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 19);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 19);
  assert_int_equal (fixture.n_given, 1);
  assert_int_equal (fixture.given[0].grant.decode, 3);
  fixture_teardown (&fixture);
}

static void
test_grants_count_until_the_requester_reports_them (void **state)
{
  Fixture fixture;
  MfSlotRequest request = request_make (1, 0, 8000);

  (void)state;
  fixture_setup (&fixture);
  enqueue (&fixture, 7, &request);
  mf_dispatch_run (fixture.dispatch, NOW_US);
  mf_load_reset_remote (&fixture.targets);
  mf_dispatch_add_pending (fixture.dispatch, NOW_US);
  assert_int_equal (fixture.engines[fixture.given[0].grant.decode - 1].remote_tokens, 8000);
  /* An acknowledgement by another instance changes nothing. */
  mf_dispatch_ack_grants (fixture.dispatch, 8, 1);
  mf_load_reset_remote (&fixture.targets);
  mf_dispatch_add_pending (fixture.dispatch, NOW_US);
  assert_int_equal (fixture.engines[fixture.given[0].grant.decode - 1].remote_tokens, 8000);
  mf_dispatch_ack_grants (fixture.dispatch, 7, 1);
  mf_load_reset_remote (&fixture.targets);
  mf_dispatch_add_pending (fixture.dispatch, NOW_US);
  assert_int_equal (fixture.engines[fixture.given[0].grant.decode - 1].remote_tokens, 0);
  fixture_teardown (&fixture);
}

static void
test_lost_grants_and_gone_requesters_free_their_slots (void **state)
{
  Fixture fixture;
  MfSlotRequest one = request_make (1, 0, 8000);
  MfSlotRequest two = request_make (2, 0, 90000);

  (void)state;
  fixture_setup (&fixture);
  mf_target_begin_request (&fixture.engines[0], 1, NOW_US);
  mf_target_begin_request (&fixture.engines[1], 1, NOW_US);
  mf_target_begin_request (&fixture.engines[2], 1, NOW_US);
  mf_target_begin_request (&fixture.engines[3], 1, NOW_US);
  enqueue (&fixture, 7, &one);
  enqueue (&fixture, 7, &two);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 1);
  mf_dispatch_drop_requester (fixture.dispatch, 7);
  assert_int_equal (mf_dispatch_n_waiting (fixture.dispatch), 0);
  mf_load_reset_remote (&fixture.targets);
  mf_dispatch_add_pending (fixture.dispatch, NOW_US);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    assert_int_equal (fixture.engines[i].remote_tokens, 0);
  enqueue (&fixture, 8, &one);
  mf_dispatch_run (fixture.dispatch, NOW_US);
  mf_load_reset_remote (&fixture.targets);
  mf_dispatch_add_pending (fixture.dispatch, NOW_US + MF_US_PER_S);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    assert_int_equal (fixture.engines[i].remote_tokens, 0);
  fixture_teardown (&fixture);
}

/* A request too large for the capacity that ever becomes free blocks no other request. */
static void
test_oversized_request_does_not_block_others (void **state)
{
  Fixture fixture;
  MfSlotRequest huge = request_make (1, OBJECTIVE_US / 2, 90000);
  MfSlotRequest typical = request_make (2, 0, 8000);

  (void)state;
  fixture_setup (&fixture);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    mf_target_begin_request (&fixture.engines[i], 1, NOW_US);
  enqueue (&fixture, 7, &huge);
  enqueue (&fixture, 7, &typical);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 1);
  assert_int_equal (fixture.n_given, 1);
  assert_int_equal (fixture.given[0].grant.id, 2);
  /* An engine without any load accepts it. */
  mf_target_end_request (&fixture.engines[3], 1);
  mf_load_reset_remote (&fixture.targets);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US + 1), 0);
  assert_int_equal (fixture.given[1].grant.decode, 4);
  fixture_teardown (&fixture);
}

/* No request is sent to an engine that could not be reached, however much free capacity it seems to
 * have. */
static void
test_unreachable_engines_are_not_promised (void **state)
{
  Fixture fixture;
  MfSlotRequest request = request_make (1, 0, 8000);

  (void)state;
  fixture_setup (&fixture);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    mf_target_begin_request (&fixture.engines[i], CAPACITY_TOKENS, NOW_US);
  mf_target_end_request (&fixture.engines[1], CAPACITY_TOKENS);
  fixture.engines[1].suspect_until_us = NOW_US + MF_US_PER_S;
  enqueue (&fixture, 7, &request);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 1);
  assert_int_equal (fixture.n_given, 0);
  fixture_teardown (&fixture);
}

/* Adds the report of another instance about an engine. */
static void
report_reachability (Fixture *fixture, uint64_t upstream_hash, MfReachability reachability,
                     uint32_t avoided_ms)
{
  bool answers = reachability == MF_REACHABILITY_ANSWERING;

  mf_load_add_remote (&fixture->targets,
                      &(MfLoadEntry){
                          .upstream = upstream_hash,
                          .n_active = answers,
                          .tokens = answers ? 8000 : 0,
                          .reachability = reachability,
                          .avoided_ms = avoided_ms,
                      },
                      NOW_US);
}

/* Engines that have crashed look empty, and each instance would find that out with requests of its
 * own. When two instances could not reach an engine, all avoid it. */
static void
test_engines_unreachable_for_others_get_no_grants (void **state)
{
  Fixture fixture;

  (void)state;
  fixture_setup (&fixture);
  for (uint64_t hash = 1; hash <= 2; hash++)
    {
      report_reachability (&fixture, hash, MF_REACHABILITY_UNREACHABLE, 300);
      report_reachability (&fixture, hash, MF_REACHABILITY_UNREACHABLE, 600);
      report_reachability (&fixture, hash + 2, MF_REACHABILITY_ANSWERING, 0);
    }
  for (uint64_t id = 1; id <= 4; id++)
    {
      MfSlotRequest request = request_make (id, 0, 8000);

      enqueue (&fixture, 7, &request);
    }
  mf_dispatch_run (fixture.dispatch, NOW_US);
  assert_int_equal (fixture.n_given, 4);
  for (uint32_t i = 0; i < fixture.n_given; i++)
    assert_in_range (fixture.given[i].grant.decode, 3, 4);
  /* They are tried again after the longest avoidance time that an instance reported. */
  assert_true (mf_target_is_suspect (&fixture.engines[0], NOW_US + 599 * MF_US_PER_MS));
  assert_false (mf_target_is_suspect (&fixture.engines[0], NOW_US + 600 * MF_US_PER_MS));
  fixture_teardown (&fixture);
}

/* Instances that are partitioned from some engines do not keep all others from using them. */
static void
test_partitioned_instances_do_not_decide_for_others (void **state)
{
  Fixture fixture;

  (void)state;
  fixture_setup (&fixture);
  report_reachability (&fixture, 1, MF_REACHABILITY_UNREACHABLE, 300);
  for (uint32_t i = 0; i < 3; i++)
    report_reachability (&fixture, 2, MF_REACHABILITY_UNREACHABLE, 300);
  for (uint32_t i = 0; i < 3; i++)
    report_reachability (&fixture, 2, MF_REACHABILITY_ANSWERING, 0);
  assert_false (mf_target_is_suspect (&fixture.engines[0], NOW_US));
  assert_false (mf_target_is_suspect (&fixture.engines[1], NOW_US));
  fixture_teardown (&fixture);
}

/* A different process at the address of an engine is no network fault: the report of one instance
 * is enough for all. */
static void
test_replaced_engine_gets_no_grants (void **state)
{
  Fixture fixture;

  (void)state;
  fixture_setup (&fixture);
  report_reachability (&fixture, 1, MF_REACHABILITY_REPLACED, 3000);
  report_reachability (&fixture, 1, MF_REACHABILITY_ANSWERING, 0);
  assert_true (mf_target_is_suspect (&fixture.engines[0], NOW_US + 2 * MF_US_PER_S));
  assert_false (mf_target_is_suspect (&fixture.engines[0], NOW_US + 3 * MF_US_PER_S));
  fixture_teardown (&fixture);
}

/* A request that every engine has declined or failed stays queued and does not block the others,
 * although it is the oldest. */
static void
test_request_that_avoids_all_engines_holds_up_nobody (void **state)
{
  Fixture fixture;
  MfSlotRequest avoiding = request_make (1, OBJECTIVE_US / 2, 8000);
  MfSlotRequest other = request_make (2, 0, 8000);

  (void)state;
  fixture_setup (&fixture);
  avoiding.is_prefilled = true;
  for (uint32_t i = 0; i < N_ENGINES; i++)
    avoiding.avoid[avoiding.n_avoid++] = i + 1;
  enqueue (&fixture, 7, &avoiding);
  enqueue (&fixture, 8, &other);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 1);
  assert_int_equal (fixture.n_given, 1);
  assert_int_equal (fixture.given[0].requester, 8);
  fixture_teardown (&fixture);
}

static void
test_callers_that_have_left_are_not_served (void **state)
{
  Fixture fixture;
  MfSlotRequest request = request_make (1, MAX_AGE_US + 1, 8000);

  (void)state;
  fixture_setup (&fixture);
  enqueue (&fixture, 7, &request);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 0);
  assert_int_equal (fixture.n_given, 0);
  request = request_make (2, 0, 8000);
  enqueue (&fixture, 7, &request);
  mf_dispatch_cancel (fixture.dispatch, 7, 2);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 0);
  assert_int_equal (fixture.n_given, 0);
  fixture_teardown (&fixture);
}

/* A service without free slots does not block another, and neither does an unknown one. */
static void
test_services_do_not_hold_up_each_other (void **state)
{
  Fixture fixture;
  MfSlotRequest unknown = request_make (1, 0, 8000);
  MfSlotRequest known = request_make (2, 0, 8000);

  (void)state;
  fixture_setup (&fixture);
  mf_name_set (unknown.service, sizeof unknown.service, "nobody");
  enqueue (&fixture, 7, &unknown);
  enqueue (&fixture, 7, &known);
  assert_int_equal (mf_dispatch_run (fixture.dispatch, NOW_US), 1);
  assert_int_equal (fixture.n_given, 1);
  assert_int_equal (fixture.given[0].grant.id, 2);
  fixture_teardown (&fixture);
}

#define STEP_US (10 * MF_US_PER_MS)
#define N_STREAMS_MAX 400

/* One stream of a burst. */
typedef struct
{
  uint64_t started_us;
  uint64_t granted_us; /* 0: queued */
  uint32_t engine;
} Stream;

/* Simulates a burst of twice the capacity of the engines for five seconds: each stream needs 8,000
 * tokens for three seconds, and its first event comes first_event_us after its grant. Returns the
 * number of callers served within the objective when slot requests have latest_age_us as their
 * objective. */
static uint32_t
simulate_burst (uint64_t first_event_us, uint64_t latest_age_us)
{
  static Stream streams[N_STREAMS_MAX];
  Fixture fixture;
  uint32_t n_streams = 0;
  uint32_t n_applied = 0;
  uint32_t n_in_time = 0;

  fixture_setup (&fixture);
  memset (streams, 0, sizeof streams);
  for (uint64_t now_us = NOW_US; now_us < NOW_US + 9 * MF_US_PER_S; now_us += STEP_US)
    {
      /* Nine streams per second fill four engines with seven slots each; twice as many arrive. */
      if (now_us < NOW_US + 5 * MF_US_PER_S && (now_us - NOW_US) * 18 / MF_US_PER_S >= n_streams)
        {
          MfSlotRequest request = request_make (++n_streams, 0, 8000);

          request.objective_us = latest_age_us;
          streams[n_streams - 1].started_us = now_us;
          mf_dispatch_enqueue (fixture.dispatch, MF_DISPATCH_SELF, &request, now_us);
        }
      for (uint32_t i = 0; i < n_streams; i++)
        {
          if (streams[i].granted_us > 0 && streams[i].granted_us + 3 * MF_US_PER_S == now_us)
            mf_target_end_request (&fixture.engines[streams[i].engine], 8000);
        }
      mf_dispatch_run (fixture.dispatch, now_us);
      for (; n_applied < fixture.n_given; n_applied++)
        {
          Stream *stream = &streams[fixture.given[n_applied].grant.id - 1];

          stream->granted_us = now_us;
          stream->engine = (uint32_t)fixture.given[n_applied].grant.decode - 1;
          n_in_time += now_us + first_event_us <= stream->started_us + OBJECTIVE_US;
        }
    }
  fixture_teardown (&fixture);
  return n_in_time;
}

/* Slots go to requests that can still meet the objective after their prefill, not to those that are
 * about to miss it. More callers are then served within the objective. */
static void
test_burst_serves_more_in_time_when_prefill_time_counts (void **state)
{
  uint64_t first_event_us = 250 * MF_US_PER_MS;
  uint32_t before = simulate_burst (first_event_us, OBJECTIVE_US);
  uint32_t after = simulate_burst (first_event_us, OBJECTIVE_US - first_event_us);

  (void)state;
  assert_true (after > before + before / 5);
}

static void
test_kv_estimate_is_between_hint_and_typical (void **state)
{
  uint64_t typical = mf_load_kv_tokens (5000, 0, 4000, 7540);

  (void)state;
  assert_true (typical > 5000 && typical < 9000);
  assert_true (mf_load_kv_tokens (5000, 1000, 4000, 7540) < typical);
  assert_true (mf_load_kv_tokens (5000, 16000, 4000, 7540) > typical);
  assert_true (mf_load_kv_tokens (5000, 1000000, 4000, 7540) <= 5000 + 7540);
  assert_int_equal (mf_load_kv_tokens (5000, 0, 0, 0), 5000);
}

/* Queued requests that the rate limits of the engines together do not admit in time are not to be
 * queued; the first always may be, as only its answer can show that a limit has ended. */
static void
test_queue_is_no_longer_than_the_rate_limits_admit (void **state)
{
  Fixture fixture;
  uint64_t wait_us = 0;
  uint32_t n_queued = 0;

  (void)state;
  fixture_setup (&fixture);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    {
      MfSlotRequest request = request_make (100 + i, 0, 8000);

      assert_true (mf_dispatch_can_serve (fixture.dispatch, &request, &wait_us));
      fixture.engines[i].limit
          = (MfRateNotice){ .is_limited = true, .micro_per_s = MF_RATE_MICRO, .heard_us = NOW_US };
    }
  for (uint32_t i = 0; i < 100; i++)
    {
      MfSlotRequest request = request_make (i + 1, 0, 8000);

      if (mf_dispatch_can_serve (fixture.dispatch, &request, &wait_us))
        {
          enqueue (&fixture, 9, &request);
          n_queued++;
        }
    }
  /* Four engines of one request a second, and 3.3 s. */
  assert_int_equal (n_queued, 14);
  assert_int_equal (wait_us, 3500000);
  fixture_teardown (&fixture);
}

static void
test_engine_with_a_rate_limit_is_granted_at_its_pace (void **state)
{
  Fixture fixture;
  uint32_t n_granted[2] = { 0 };

  (void)state;
  fixture_setup (&fixture);
  for (uint32_t i = 0; i < N_ENGINES; i++)
    fixture.engines[i].limit = (MfRateNotice){ .is_limited = true,
                                               .micro_per_s = MF_RATE_MICRO * (i + 1),
                                               .heard_us = NOW_US };
  for (uint32_t i = 0; i < 40; i++)
    {
      MfSlotRequest request = request_make (i + 1, 0, 80);

      enqueue (&fixture, 9, &request);
    }
  for (uint32_t ms = 0; ms < 2000; ms += 20)
    mf_dispatch_run (fixture.dispatch, NOW_US + ms * MF_US_PER_MS);
  for (uint32_t i = 0; i < fixture.n_given; i++)
    {
      n_granted[0] += fixture.given[i].grant.decode == 1;
      n_granted[1] += fixture.given[i].grant.decode == 4;
    }
  assert_int_equal (n_granted[0], 2);
  assert_int_equal (n_granted[1], 8);
  assert_int_equal (fixture.n_given, 20);
  fixture_teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests_in_time_go_first_then_the_oldest),
    cmocka_unit_test (test_room_is_kept_for_streams_that_a_version_has_begun),
    cmocka_unit_test (test_burst_fills_no_engine_beyond_its_kv_capacity),
    cmocka_unit_test (test_free_slot_is_granted_once),
    cmocka_unit_test (test_grants_count_until_the_requester_reports_them),
    cmocka_unit_test (test_lost_grants_and_gone_requesters_free_their_slots),
    cmocka_unit_test (test_oversized_request_does_not_block_others),
    cmocka_unit_test (test_unreachable_engines_are_not_promised),
    cmocka_unit_test (test_engines_unreachable_for_others_get_no_grants),
    cmocka_unit_test (test_partitioned_instances_do_not_decide_for_others),
    cmocka_unit_test (test_replaced_engine_gets_no_grants),
    cmocka_unit_test (test_request_that_avoids_all_engines_holds_up_nobody),
    cmocka_unit_test (test_callers_that_have_left_are_not_served),
    cmocka_unit_test (test_services_do_not_hold_up_each_other),
    cmocka_unit_test (test_burst_serves_more_in_time_when_prefill_time_counts),
    cmocka_unit_test (test_kv_estimate_is_between_hint_and_typical),
    cmocka_unit_test (test_queue_is_no_longer_than_the_rate_limits_admit),
    cmocka_unit_test (test_engine_with_a_rate_limit_is_granted_at_its_pace),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
