#include "libmangofork/member_row.h"
#include "libmangofork/gossip.h"
#include "libmangofork/suspect_core.h"

#include "fakes/cores.h"
#include "fakes/text.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* The cancels that the instances sent for dead instances. */
typedef struct
{
  uint64_t released_us; /* when the first cancel was sent */
  uint32_t n_released;
  uint64_t incarnation; /* of the dead instance, from the last cancel */
  bool answers;         /* the upstreams answer */
} Calls;

static void
on_call (FakeCores *cores, uint32_t slot, const MfCallAction *call, void *data)
{
  Calls *calls = data;

  (void)slot;
  if (call->kind != MF_CALL_CANCEL_OWNER)
    return;
  if (calls->n_released++ == 0)
    calls->released_us = fake_cores_now_us (cores);
  calls->incarnation = call->owner.incarnation;
}

static FakeCores *
fleet_new (uint32_t n_instances, uint32_t n_upstreams, Calls *calls)
{
  const FakeCoresOptions options = {
    .n_instances = n_instances,
    .n_data_centres = 3,
    .delay_us = MF_US_PER_MS,
    .seed = 7,
    .on_call = on_call,
    .data = calls,
  };
  FakeCores *cores = fake_cores_new (&options);
  char *text = fake_config_text (&(FakeConfigTextOptions){
      .n_upstreams = n_upstreams, .slots = 20, .version = "", .checks_fencing = true });

  fake_cores_publish (cores, 1, text);
  free (text);
  for (uint32_t i = 0; i < n_instances; i++)
    fake_cores_start (cores, i);
  fake_cores_run (cores, 5 * MF_US_PER_S);
  return cores;
}

/* Delivers a load report of an upstream to an instance: the first makes the upstream usable, a
 * later one may report that it is leaving. */
static void
report_load (FakeCores *cores, uint32_t slot, const char *name, bool leaving)
{
  MfCore *core = fake_cores_core (cores, slot);
  uint32_t upstream = mf_upstream_find (core, mf_hash_name (name));
  MfEvent event = { .type = MF_EVENT_LOAD,
                    .load = { .upstream = upstream,
                              .incarnation = 1,
                              .measured_us = fake_cores_now_us (cores),
                              .slots_total = 20,
                              .pieces_total = 200,
                              .pieces_free = 200,
                              .leaving = leaving,
                              .role = MF_ROLE_DECODE,
                              .model = "m0" } };

  assert_int_not_equal (upstream, MF_NONE);
  fake_cores_handle_event (cores, slot, &event);
}

static uint32_t
count_usable (FakeCores *cores, uint32_t n_instances, const char *name)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < n_instances; i++)
    {
      MfCore *core = fake_cores_core (cores, i);
      const MfUpstream *row;

      if (core == NULL)
        continue;
      row = &core->board.upstreams[mf_upstream_find (core, mf_hash_name (name))];
      n += mf_upstream_is_usable (row);
    }
  return n;
}

static void
test_leaving_upstream_is_unused_everywhere (void **state)
{
  static const uint32_t sizes[] = { 7, 60 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      Calls calls = { 0 };
      FakeCores *cores = fleet_new (sizes[i], 4, &calls);

      for (uint32_t slot = 0; slot < sizes[i]; slot++)
        report_load (cores, slot, "d1", false);
      assert_int_equal (count_usable (cores, sizes[i], "d1"), sizes[i]);
      report_load (cores, 3, "d1", true);
      fake_cores_run (cores, 3 * MF_US_PER_S);
      assert_int_equal (count_usable (cores, sizes[i], "d1"), 0);
      fake_cores_free (cores);
    }
}

/* An upstream that was leaving and stays, or returned as another incarnation, is used again; late
 * gossip that it is leaving makes it unused only if it names the current incarnation. */
static void
test_upstream_that_stays_is_used_again (void **state)
{
  Calls calls = { 0 };
  FakeCores *cores = fleet_new (3, 4, &calls);
  MfCore *core = fake_cores_core (cores, 0);
  uint32_t upstream = mf_upstream_find (core, mf_hash_name ("d1"));

  (void)state;
  for (uint32_t slot = 0; slot < 3; slot++)
    report_load (cores, slot, "d1", false);
  report_load (cores, 0, "d1", true);
  fake_cores_run (cores, MF_US_PER_S);
  report_load (cores, 1, "d1", false);
  assert_int_equal (count_usable (cores, 3, "d1"), 0);
  fake_cores_run (cores, 3 * MF_US_PER_S);
  for (uint32_t slot = 0; slot < 3; slot++)
    report_load (cores, slot, "d1", false);
  assert_int_equal (count_usable (cores, 3, "d1"), 3);
  mf_upstream_note_leaving (core, upstream, 77);
  assert_int_equal (count_usable (cores, 3, "d1"), 3);
  mf_upstream_note_leaving (core, upstream, 1);
  assert_int_equal (count_usable (cores, 3, "d1"), 2);
  fake_cores_free (cores);
}

static void
test_each_item_is_sent_once (void **state)
{
  Calls calls = { 0 };
  FakeCores *cores = fleet_new (7, 4, &calls);
  MfCore *core = fake_cores_core (cores, 0);
  uint64_t n_bytes, n_idle = 0;

  (void)state;
  fake_cores_run (cores, 30 * MF_US_PER_S);
  n_idle = fake_cores_bytes_sent (cores, 0);
  fake_cores_run (cores, 10 * MF_US_PER_S);
  n_idle = fake_cores_bytes_sent (cores, 0) - n_idle;
  n_bytes = fake_cores_bytes_sent (cores, 0);
  for (uint32_t i = 0; i < 100; i++)
    {
      mf_gossip_publish (core, MF_GOSSIP_REQUEST_SUSPECT, 77, 1);
      fake_cores_run (cores, 100 * MF_US_PER_MS);
    }
  n_bytes = fake_cores_bytes_sent (cores, 0) - n_bytes;
  assert_true (n_bytes < n_idle + 6 * 40);
  fake_cores_free (cores);
}

/* More gossip than a digest holds: urgent items are sent first, all items arrive, and the digests
 * keep within their byte rate. */
static void
test_flood_is_bounded_and_urgent_goes_first (void **state)
{
  Calls calls = { 0 };
  FakeCores *cores = fleet_new (7, 4, &calls);
  MfCore *core = fake_cores_core (cores, 0);
  uint64_t n_bytes;

  (void)state;
  for (uint32_t i = 0; i < 500; i++)
    mf_gossip_publish (core, MF_GOSSIP_REQUEST_SUSPECT, 1000 + i, 1);
  mf_gossip_publish (core, MF_GOSSIP_UPSTREAM_LEAVING, mf_hash_name ("d1"), 0);
  for (uint32_t slot = 0; slot < 7; slot++)
    report_load (cores, slot, "d1", false);
  n_bytes = fake_cores_bytes_sent (cores, 0);
  fake_cores_run (cores, 500 * MF_US_PER_MS);
  assert_int_equal (count_usable (cores, 7, "d1"), 1); /* only the publisher */
  fake_cores_run (cores, 9500 * MF_US_PER_MS);
  n_bytes = fake_cores_bytes_sent (cores, 0) - n_bytes;
  assert_true (n_bytes / 10 < 23000);
  assert_int_equal (core->board.counters.values[MF_COUNTER_GOSSIP_DROPPED], 0);
  for (uint32_t i = 0; i < 2000; i++)
    mf_gossip_publish (core, MF_GOSSIP_REQUEST_SUSPECT, 10000 + i, 1);
  assert_true (core->board.counters.values[MF_COUNTER_GOSSIP_DROPPED] > 0);
  fake_cores_free (cores);
}

/* An instance loses power, so that its links are not closed: its guardians cancel its work at the
 * engines within 5 s. */
static void
test_work_of_a_dead_instance_is_released (void **state)
{
  static const uint32_t sizes[] = { 2, 7, 60 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    {
      Calls calls = { 0 };
      FakeCores *cores = fleet_new (sizes[i], 4, &calls);
      uint64_t incarnation = fake_cores_core (cores, 1)->board.options.self.incarnation;
      uint64_t died_us = fake_cores_now_us (cores);

      assert_int_equal (calls.n_released, 0);
      fake_cores_kill (cores, 1, true);
      fake_cores_run (cores, 10 * MF_US_PER_S);
      assert_true (calls.n_released >= 5); /* one prefill and four decode engines */
      assert_true (calls.released_us - died_us <= 5 * MF_US_PER_S);
      assert_int_equal (calls.incarnation, incarnation);
      fake_cores_free (cores);
    }
}

static void
test_replacement_releases_at_once (void **state)
{
  Calls calls = { 0 };
  FakeCores *cores = fleet_new (7, 4, &calls);
  uint64_t incarnation = fake_cores_core (cores, 1)->board.options.self.incarnation;
  uint64_t died_us = fake_cores_now_us (cores);

  (void)state;
  fake_cores_start (cores, 1);
  fake_cores_run (cores, 3 * MF_US_PER_S);
  assert_true (calls.n_released >= 5);
  assert_true (calls.released_us - died_us <= MF_US_PER_S);
  assert_int_equal (calls.incarnation, incarnation);
  fake_cores_free (cores);
}

/* With many upstreams, cancels are sent only to those that the dead instance reported to its
 * guardians. */
static void
test_only_reported_upstreams_are_released_when_there_are_many (void **state)
{
  Calls calls = { 0 };
  FakeCores *cores = fleet_new (7, 200, &calls);
  MfCore *core = fake_cores_core (cores, 1);

  (void)state;
  for (uint32_t i = 0; i < 40; i++)
    core->board.upstreams[2 * i].own_slots = 3;
  fake_cores_run (cores, 3 * MF_US_PER_S);
  fake_cores_kill (cores, 1, true);
  fake_cores_run (cores, 3 * MF_US_PER_S);
  assert_in_range (calls.n_released, 40, 3 * 40 * 3);
  fake_cores_free (cores);
}

static void
test_wrong_suspicion_releases_and_recovers (void **state)
{
  Calls calls = { 0 };
  FakeCores *cores = fleet_new (7, 4, &calls);
  const MfMember *member;

  (void)state;
  fake_cores_pause (cores, 1, 5 * MF_US_PER_S);
  fake_cores_run (cores, 10 * MF_US_PER_S);
  assert_true (calls.n_released >= 5);
  member = mf_member_find (fake_cores_core (cores, 0), "n1");
  assert_int_equal (member->state, MF_MEMBER_ALIVE);
  fake_cores_free (cores);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_leaving_upstream_is_unused_everywhere),
    cmocka_unit_test (test_upstream_that_stays_is_used_again),
    cmocka_unit_test (test_each_item_is_sent_once),
    cmocka_unit_test (test_flood_is_bounded_and_urgent_goes_first),
    cmocka_unit_test (test_work_of_a_dead_instance_is_released),
    cmocka_unit_test (test_replacement_releases_at_once),
    cmocka_unit_test (test_only_reported_upstreams_are_released_when_there_are_many),
    cmocka_unit_test (test_wrong_suspicion_releases_and_recovers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
