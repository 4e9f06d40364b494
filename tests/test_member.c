#include "libmangofork/member_row.h"

#include "fakes/cores.h"
#include "fakes/text.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define PERIOD_US (200 * MF_US_PER_MS)

static FakeCores *
fleet_new (uint32_t n_instances, uint32_t n_data_centres)
{
  const FakeCoresOptions options = {
    .n_instances = n_instances,
    .n_data_centres = n_data_centres,
    .delay_us = MF_US_PER_MS,
    .seed = 5,
  };
  FakeCores *cores = fake_cores_new (&options);
  char *text = fake_config_text (&(FakeConfigTextOptions){
      .n_upstreams = 4, .slots = 20, .version = "", .checks_fencing = true });

  fake_cores_publish (cores, 1, text);
  free (text);
  for (uint32_t i = 0; i < n_instances; i++)
    fake_cores_start (cores, i);
  fake_cores_run (cores, 5 * MF_US_PER_S);
  return cores;
}

static MfMemberState
state_of (FakeCores *cores, uint32_t at, uint32_t of)
{
  char name[MF_NAME_BYTES];
  const MfMember *member;

  snprintf (name, sizeof name, "n%u", of);
  member = mf_member_find (fake_cores_core (cores, at), name);
  assert_non_null (member);
  return member->state;
}

/* Returns how many running instances see another one in a state. */
static uint32_t
count_state (FakeCores *cores, uint32_t n_instances, uint32_t of, MfMemberState state)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < n_instances; i++)
    n += i != of && fake_cores_core (cores, i) != NULL && state_of (cores, i, of) == state;
  return n;
}

static void
test_few_instances_link_to_all (void **state)
{
  FakeCores *cores = fleet_new (7, 3);

  (void)state;
  for (uint32_t i = 0; i < 7; i++)
    {
      assert_int_equal (fake_cores_core (cores, i)->board.members->n_neighbours, 6);
      assert_int_equal (count_state (cores, 7, i, MF_MEMBER_ALIVE), 6);
      assert_int_equal (fake_cores_core (cores, i)->board.counters.values[MF_COUNTER_PAUSES], 0);
    }
  fake_cores_free (cores);
}

/* Marks the instances that can be reached over links between neighbours. */
static void
mark_reachable (FakeCores *cores, uint32_t slot, bool *reached)
{
  const MfMembers *members = fake_cores_core (cores, slot)->board.members;

  reached[slot] = true;
  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      uint32_t other;

      if (members->neighbours[i] == NULL)
        continue;
      other = (uint32_t)strtoul (members->neighbours[i]->member.owner.name + 1, NULL, 10);
      if (!reached[other])
        mark_reachable (cores, other, reached);
    }
}

static void
test_many_instances_stay_connected_with_few_links (void **state)
{
  FakeCores *cores = fleet_new (60, 6);
  uint32_t n_links = 0;
  bool reached[60] = { false };

  (void)state;
  mark_reachable (cores, 0, reached);
  for (uint32_t i = 0; i < 60; i++)
    {
      assert_true (reached[i]);
      n_links += fake_cores_core (cores, i)->board.members->n_neighbours;
    }
  assert_in_range (n_links / 60, 5, 8);
  fake_cores_free (cores);
}

static void
test_death_is_known_everywhere (void **state)
{
  FakeCores *cores = fleet_new (30, 3);

  (void)state;
  fake_cores_kill (cores, 4, true);
  fake_cores_run (cores, 3 * MF_US_PER_S);
  assert_int_equal (count_state (cores, 30, 4, MF_MEMBER_DEAD), 29);
  for (uint32_t i = 0; i < 30; i++)
    {
      if (i != 4)
        assert_int_equal (count_state (cores, 30, i, MF_MEMBER_ALIVE), i == 4 ? 0 : 28);
    }
  fake_cores_start (cores, 4);
  fake_cores_run (cores, 3 * MF_US_PER_S);
  assert_int_equal (count_state (cores, 30, 4, MF_MEMBER_ALIVE), 29);
  fake_cores_free (cores);
}

static void
test_pause_shorter_than_suspicion_harms_nobody (void **state)
{
  FakeCores *cores = fleet_new (7, 3);
  MfCore *core = fake_cores_core (cores, 2);

  (void)state;
  fake_cores_pause (cores, 2, 1500 * MF_US_PER_MS);
  fake_cores_run (cores, 1600 * MF_US_PER_MS);
  assert_int_equal (core->board.counters.values[MF_COUNTER_PAUSES], 1);
  assert_true (mf_member_paused_us (core) != 0);
  fake_cores_run (cores, 2 * MF_US_PER_S);
  for (uint32_t i = 0; i < 7; i++)
    assert_int_equal (count_state (cores, 7, i, MF_MEMBER_ALIVE), 6);
  fake_cores_free (cores);
}

/* An instance is declared dead while it is paused. After the pause it suspects no other instance,
 * and is alive to the others again. */
static void
test_paused_instance_suspects_nobody_and_is_alive_again (void **state)
{
  FakeCores *cores = fleet_new (7, 3);

  (void)state;
  fake_cores_pause (cores, 2, 10 * MF_US_PER_S);
  fake_cores_run (cores, 5 * MF_US_PER_S);
  assert_int_equal (count_state (cores, 7, 2, MF_MEMBER_DEAD), 6);
  fake_cores_run (cores, 5 * MF_US_PER_S + PERIOD_US / 2);
  for (uint32_t i = 0; i < 7; i++)
    {
      if (i != 2)
        assert_int_equal (state_of (cores, 2, i), MF_MEMBER_ALIVE);
    }
  fake_cores_run (cores, 5 * MF_US_PER_S);
  assert_int_equal (count_state (cores, 7, 2, MF_MEMBER_ALIVE), 6);
  fake_cores_free (cores);
}

static void
test_one_way_cut_kills_nobody (void **state)
{
  FakeCores *cores = fleet_new (7, 3);

  (void)state;
  fake_cores_set_link_cut (cores, 1, 2, true);
  for (uint32_t second = 0; second < 20; second++)
    {
      fake_cores_run (cores, MF_US_PER_S);
      assert_int_equal (count_state (cores, 7, 1, MF_MEMBER_DEAD), 0);
      assert_int_equal (count_state (cores, 7, 2, MF_MEMBER_DEAD), 0);
    }
  fake_cores_free (cores);
}

static void
cut_halves (FakeCores *cores, uint32_t n_instances, bool cut)
{
  for (uint32_t i = 0; i < n_instances; i++)
    {
      for (uint32_t j = 0; j < n_instances; j++)
        {
          if ((i < n_instances / 2) != (j < n_instances / 2))
            fake_cores_set_link_cut (cores, i, j, cut);
        }
    }
}

static uint64_t
bytes_out (FakeCores *cores, uint32_t n_instances)
{
  uint64_t n_bytes = 0;

  for (uint32_t i = 0; i < n_instances; i++)
    n_bytes += fake_cores_bytes_sent (cores, i);
  return n_bytes;
}

static void
test_partition_heals_without_a_storm (void **state)
{
  const uint32_t n_instances = 24;
  FakeCores *cores = fleet_new (n_instances, 3);
  uint64_t n_bytes;

  (void)state;
  cut_halves (cores, n_instances, true);
  fake_cores_run (cores, 120 * MF_US_PER_S);
  assert_int_equal (count_state (cores, n_instances, 0, MF_MEMBER_DEAD), n_instances / 2);
  assert_int_equal (mf_member_has_majority (fake_cores_core (cores, 0)), false);
  cut_halves (cores, n_instances, false);
  n_bytes = bytes_out (cores, n_instances);
  fake_cores_run (cores, 15 * MF_US_PER_S);
  for (uint32_t i = 0; i < n_instances; i++)
    assert_int_equal (count_state (cores, n_instances, i, MF_MEMBER_ALIVE), n_instances - 1);
  n_bytes = (bytes_out (cores, n_instances) - n_bytes) / n_instances / 15;
  assert_in_range (n_bytes, 1, 23000);
  fake_cores_free (cores);
}

/* One instance reads a new list and the others receive it from peers; an older list is ignored. */
static void
test_list_travels_between_peers (void **state)
{
  const MfListedInstance listed[] = {
    { .name = "n0", .address = "127.0.0.1:10000", .data_centre = "dc0" },
    { .name = "new", .address = "127.0.0.1:1", .data_centre = "dc1" },
  };
  FakeCores *cores = fleet_new (30, 3);

  (void)state;
  mf_member_apply_list (fake_cores_core (cores, 3), 7, listed, MF_ARRAY_LEN (listed));
  fake_cores_run (cores, 2 * MF_US_PER_S);
  for (uint32_t i = 1; i < 30; i++)
    {
      MfCore *core = fake_cores_core (cores, i);

      assert_int_equal (core->board.list_index, 7);
      assert_non_null (mf_member_find (core, "new"));
      assert_true (mf_member_find (core, "n0")->listed);
      mf_member_apply_list (core, 6, listed, 0);
      assert_true (mf_member_find (core, "n0")->listed);
    }
  fake_cores_free (cores);
}

static void
test_message_waits_for_its_link (void **state)
{
  FakeCores *cores = fleet_new (30, 3);
  MfPeerMessage message = { .type = MF_PEER_CONFIG_REQUEST, .known_revision = 0 };
  MfMemberRow *row = fake_cores_core (cores, 0)->board.members->rows;

  (void)state;
  while (row->member.link_id != 0)
    row = row->hh.next;
  assert_true (mf_member_send (fake_cores_core (cores, 0), row->member.owner.name, &message));
  assert_int_equal (row->n_pending, 1);
  fake_cores_run (cores, 10 * MF_US_PER_MS);
  assert_int_equal (row->n_pending, 0);
  assert_true (row->member.link_id != 0);
  fake_cores_run (cores, 60 * MF_US_PER_S);
  assert_int_equal (row->member.link_id, 0);
  assert_false (mf_member_send (fake_cores_core (cores, 0), "nobody", &message));
  fake_cores_free (cores);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_few_instances_link_to_all),
    cmocka_unit_test (test_many_instances_stay_connected_with_few_links),
    cmocka_unit_test (test_death_is_known_everywhere),
    cmocka_unit_test (test_pause_shorter_than_suspicion_harms_nobody),
    cmocka_unit_test (test_paused_instance_suspects_nobody_and_is_alive_again),
    cmocka_unit_test (test_one_way_cut_kills_nobody),
    cmocka_unit_test (test_partition_heals_without_a_storm),
    cmocka_unit_test (test_list_travels_between_peers),
    cmocka_unit_test (test_message_waits_for_its_link),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
