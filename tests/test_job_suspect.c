#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "soak/soak_upstream.h"
#include "town_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define DOOR_PORT 21701
#define PEER_PORT 21711
#define N_UPSTREAMS 9
#define DOWN_S 0.1
#define GRACE_US (100 * MF_US_PER_MS)
#define N_TRIES 20
#define CRASHER_HOST 0x7f000002
#define INNOCENT_HOST 0x7f000003
/* Of what it may send later than the grace after the third crash. */
#define LATE_SENDS_MAX 3

/* A fleet before upstreams that crash under some requests, and come back under new ids. */
typedef struct
{
  TownFleet fleet;
  SoakLedger *ledger;
  SoakUpstream *upstreams[N_UPSTREAMS];
  uint32_t lives[N_UPSTREAMS];
  uint32_t n_calls;
  char got[2048];
} Ground;

static const MfRole roles[N_UPSTREAMS]
    = { MF_ROLE_PLAIN,  MF_ROLE_PLAIN,  MF_ROLE_PLAIN,  MF_ROLE_PREFILL, MF_ROLE_PREFILL,
        MF_ROLE_DECODE, MF_ROLE_DECODE, MF_ROLE_DECODE, MF_ROLE_DECODE };

static void
id_write (const Ground *ground, uint32_t index, char *id, size_t id_bytes)
{
  snprintf (id, id_bytes, "u%u-%u", index, ground->lives[index]);
}

static void
instance_learns (Ground *ground, uint32_t instance, uint32_t index)
{
  char id[MF_TARGET_ID_BYTES];

  id_write (ground, index, id, sizeof id);
  town_know (&ground->fleet.towns[instance], id, roles[index],
             soak_upstream_address (ground->upstreams[index]));
}

/* An upstream that is back has a new id, and all instances are told. */
static void
on_down (void *data, SoakUpstream *upstream, bool down)
{
  Ground *ground = data;
  uint32_t index = 0;
  char id[MF_TARGET_ID_BYTES];

  if (down)
    return;
  while (ground->upstreams[index] != upstream)
    index++;
  id_write (ground, index, id, sizeof id);
  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    mf_targets_remove (&ground->fleet.towns[i].jobs.targets, id, true, mf_clock_now_us ());
  ground->lives[index]++;
  id_write (ground, index, id, sizeof id);
  soak_upstream_restart (upstream, id);
  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    instance_learns (ground, i, index);
}

static void
ground_begin (Ground *ground)
{
  memset (ground, 0, sizeof *ground);
  town_fleet_begin (&ground->fleet, DOOR_PORT, PEER_PORT);
  ground->ledger = soak_ledger_new ();
  soak_ledger_set_grace (ground->ledger, GRACE_US);
  for (uint32_t index = 0; index < N_UPSTREAMS; index++)
    {
      char id[MF_TARGET_ID_BYTES];

      id_write (ground, index, id, sizeof id);
      ground->upstreams[index]
          = soak_upstream_new (ground->fleet.loop, ground->ledger, roles[index], id, index);
      soak_upstream_crashes (ground->upstreams[index], DOWN_S, on_down, ground);
      for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
        instance_learns (ground, i, index);
    }
  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    ground->fleet.towns[i].jobs.budget_slack = 1000;
}

static void
ground_end (Ground *ground)
{
  for (uint32_t index = 0; index < N_UPSTREAMS; index++)
    soak_upstream_free (ground->upstreams[index]);
  soak_ledger_free (ground->ledger);
  town_fleet_end (&ground->fleet);
}

static int
call_begin (Ground *ground, uint32_t instance, uint32_t host, const char *path, const char *body)
{
  char text[512];
  int fd = loop_connect_from (host, ground->fleet.towns[instance].port);

  assert_true (fd >= 0);
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t%u\r\nX-Deadline-Ms: 600\r\n"
            "X-Token-Count: 100,40\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n%s",
            path, ++ground->n_calls, strlen (body), body);
  loop_send (fd, text, strlen (text));
  return fd;
}

/* The status of the answer; 0 when there is none. */
static uint32_t
call_end (Ground *ground, int fd)
{
  uint32_t status = 0;

  loop_receive (ground->fleet.loop, fd, NULL, ground->got, sizeof ground->got);
  close (fd);
  return sscanf (ground->got, "HTTP/1.1 %u", &status) == 1 ? status : 0;
}

static uint32_t
call (Ground *ground, uint32_t instance, uint32_t host, const char *path, const char *body)
{
  return call_end (ground, call_begin (ground, instance, host, path, body));
}

/* Sends a request of one caller that crashes upstreams to one instance after the other, and
 * another caller's to each beside it. Returns how many of the latter were answered. */
static uint32_t
n_served_beside_crasher (Ground *ground, const char *path)
{
  uint32_t n_served = 0;

  for (uint32_t i = 0; i < N_TRIES; i++)
    {
      char body[16];
      int crasher = call_begin (ground, i % TOWN_FLEET_N, CRASHER_HOST, path, SOAK_CRASH "0");

      snprintf (body, sizeof body, "item %u", i);
      n_served += call (ground, (i + 1) % TOWN_FLEET_N, INNOCENT_HOST, path, body) == 200;
      call_end (ground, crasher);
      loop_spin (ground->fleet.loop, 30);
    }
  return n_served;
}

static void
test_request_that_crashed_three_upstreams_is_sent_no_more (void **state)
{
  static const char *const paths[] = { "/order/1", "/read/1", "/llm/1", "/once/1" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (paths); i++)
    {
      Ground ground;
      uint32_t n_served;

      ground_begin (&ground);
      n_served = n_served_beside_crasher (&ground, paths[i]);
      assert_in_range (soak_ledger_crasher (ground.ledger, 0).n_late, 0, LATE_SENDS_MAX);
      assert_in_range (soak_ledger_crasher (ground.ledger, 0).n_crashes, 1, 3);
      assert_in_range (n_served, N_TRIES * 9 / 10, N_TRIES);
      ground_end (&ground);
    }
}

/* Makes all instances refuse one caller's order. */
static void
convict (Ground *ground)
{
  for (uint32_t i = 0; i < 3; i++)
    {
      call (ground, i, CRASHER_HOST, "/order/1", SOAK_CRASH "0");
      loop_spin (ground->fleet.loop, 100);
    }
  assert_int_equal (call (ground, 4, CRASHER_HOST, "/order/1", SOAK_CRASH "0"), 503);
  assert_non_null (strstr (ground->got, "Retry-After: "));
}

static void
test_instance_that_starts_anew_learns_of_convictions (void **state)
{
  Ground ground;
  uint32_t n_crashes;

  (void)state;
  ground_begin (&ground);
  convict (&ground);
  n_crashes = soak_ledger_crasher (ground.ledger, 0).n_crashes;
  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    {
      town_fleet_restart (&ground.fleet, i);
      for (uint32_t index = 0; index < N_UPSTREAMS; index++)
        instance_learns (&ground, i, index);
      town_fleet_meet (&ground.fleet);
      loop_spin (ground.fleet.loop, 50);
      assert_int_equal (call (&ground, i, CRASHER_HOST, "/order/1", SOAK_CRASH "0"), 503);
    }
  assert_int_equal (soak_ledger_crasher (ground.ledger, 0).n_crashes, n_crashes);
  ground_end (&ground);
}

/* More suspects than one message tells of do not keep a conviction back. */
static void
test_convictions_are_told_before_suspicions (void **state)
{
  Ground ground;

  (void)state;
  ground_begin (&ground);
  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    {
      MfSuspects *suspects = ground.fleet.towns[i].jobs.suspects;

      for (uint64_t digest = 1; digest <= 2 * MF_SUSPECT_ROWS_MAX; digest++)
        {
          mf_suspects_add_death (suspects, digest, &(MfSuspectDeath){ .process_id = digest }, false,
                                 mf_clock_now_us ());
          mf_suspects_find (suspects, digest, mf_clock_now_us ())->n_reported = 1;
        }
    }
  convict (&ground);
  town_fleet_restart (&ground.fleet, 4);
  for (uint32_t index = 0; index < N_UPSTREAMS; index++)
    instance_learns (&ground, 4, index);
  town_fleet_meet (&ground.fleet);
  loop_spin (ground.fleet.loop, 50);
  assert_int_equal (call (&ground, 4, CRASHER_HOST, "/order/1", SOAK_CRASH "0"), 503);
  ground_end (&ground);
}

/* An instance without peers finds out for itself, and is told when it is back among them. */
static void
test_instance_that_was_alone_learns_of_convictions (void **state)
{
  Ground ground;
  Town *alone = &ground.fleet.towns[3];
  MfPeers *none;
  MfError error = { 0 };
  char address[MF_ADDRESS_BYTES];

  (void)state;
  ground_begin (&ground);
  none = alone->jobs.peers;
  alone->jobs.peers = NULL;
  mf_peers_free (none);
  convict (&ground);
  snprintf (address, sizeof address, "127.0.0.1:%u", PEER_PORT + 3);
  alone->jobs.peers = mf_peers_new (ground.fleet.loop, address, &mf_jobs_peers_user, &alone->jobs,
                                    alone->lines, &error);
  assert_non_null (alone->jobs.peers);
  snprintf (address, sizeof address, "127.0.0.1:%u", PEER_PORT);
  mf_peers_seed (alone->jobs.peers, address);
  town_fleet_meet (&ground.fleet);
  loop_spin (ground.fleet.loop, 50);
  assert_int_equal (call (&ground, 3, CRASHER_HOST, "/order/1", SOAK_CRASH "0"), 503);
  ground_end (&ground);
}

/* Another caller's request of the same content is another request, and so is another content. */
static void
test_others_are_served_as_before (void **state)
{
  Ground ground;

  (void)state;
  ground_begin (&ground);
  convict (&ground);
  loop_spin (ground.fleet.loop, 100);
  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    {
      assert_int_equal (call (&ground, i, CRASHER_HOST, "/order/1", "sound"), 200);
      assert_int_equal (call (&ground, i, INNOCENT_HOST, "/order/1", "sound"), 200);
    }
  ground_end (&ground);
}

/* Upstreams that end under a request by themselves, with an answer between: nobody is blamed. */
static void
test_request_that_is_answered_between_crashes_is_not_refused (void **state)
{
  Ground ground;

  (void)state;
  ground_begin (&ground);
  for (uint32_t i = 0; i < 6; i++)
    {
      int crasher = call_begin (&ground, i % TOWN_FLEET_N, CRASHER_HOST, "/order/2",
                                i % 2 == 0 ? SOAK_CRASH "0" : SOAK_CRASH "1");
      int beside = call_begin (&ground, i % TOWN_FLEET_N, INNOCENT_HOST, "/read/1", "again");

      call_end (&ground, crasher);
      assert_int_equal (call_end (&ground, beside), 200);
      loop_spin (ground.fleet.loop, 100);
    }
  ground_end (&ground);
}

/* Upstreams that fall silent with all they run, and are followed by others at their addresses. */
static void
test_request_that_silences_upstreams_is_found_out (void **state)
{
  Ground ground;

  (void)state;
  ground_begin (&ground);
  for (uint32_t index = 0; index < 3; index++)
    soak_upstream_mood (ground.upstreams[index], SOAK_DARK);
  for (uint32_t i = 0; i < 2; i++)
    {
      assert_int_equal (call (&ground, i, CRASHER_HOST, "/order/1", "silence"), 504);
      for (uint32_t index = 0; index < 3; index++)
        on_down (&ground, ground.upstreams[index], false);
      loop_spin (ground.fleet.loop, 20);
    }
  assert_int_equal (call (&ground, 3, CRASHER_HOST, "/order/1", "silence"), 503);
  assert_int_equal (call (&ground, 3, INNOCENT_HOST, "/order/1", "other"), 504);
  ground_end (&ground);
}

/* Discovery names the process before once more, which ends nothing. */
static void
test_late_entry_of_a_predecessor_blames_nobody (void **state)
{
  Ground ground;
  MfTargets *targets = &ground.fleet.towns[0].jobs.targets;
  MfTargetInfo info;
  uint64_t now_us = mf_clock_now_us ();

  (void)state;
  ground_begin (&ground);
  info = mf_targets_find (targets, "u0-0")->info;
  mf_suspects_add_failure (
      ground.fleet.towns[0].jobs.suspects,
      &(MfSuspectFailure){ .digest = 5,
                           .upstream_id = mf_target_process (mf_targets_find (targets, "u0-0")),
                           .address_hash = mf_load_hash (info.address),
                           .sent_us = now_us,
                           .failed_us = now_us });
  mf_name_set (info.id, sizeof info.id, "before");
  info.born_ms = 0;
  mf_targets_update (targets, &info);
  assert_null (mf_suspects_find (ground.fleet.towns[0].jobs.suspects, 5, mf_clock_now_us ()));
  info.born_ms = 2;
  mf_name_set (info.id, sizeof info.id, "after");
  mf_targets_update (targets, &info);
  assert_non_null (mf_suspects_find (ground.fleet.towns[0].jobs.suspects, 5, mf_clock_now_us ()));
  ground_end (&ground);
}

/* An upstream that resets connections, and is there all the while, has not ended. */
static void
test_resets_convict_nobody (void **state)
{
  Ground ground;

  (void)state;
  ground_begin (&ground);
  for (uint32_t index = 0; index < 3; index++)
    soak_upstream_mood (ground.upstreams[index], SOAK_RESETS);
  for (uint32_t i = 0; i < 12; i++)
    call (&ground, i % TOWN_FLEET_N, INNOCENT_HOST, "/order/1", "again");
  for (uint32_t index = 0; index < 3; index++)
    soak_upstream_mood (ground.upstreams[index], SOAK_GOOD);
  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    {
      assert_int_equal (call (&ground, i, INNOCENT_HOST, "/order/1", "again"), 200);
      assert_int_equal (ground.fleet.towns[i].jobs.counters.counts[MF_RELAY_COUNT_SUSPICIONS], 0);
    }
  ground_end (&ground);
}

/* What an upstream runs as it stops in order breaks of that. */
static void
test_upstream_that_leaves_in_order_blames_nobody (void **state)
{
  Ground ground;
  MfTarget *target;
  uint64_t now_us = mf_clock_now_us ();

  (void)state;
  ground_begin (&ground);
  for (uint32_t index = 0; index < 3; index++)
    {
      target = mf_targets_find (&ground.fleet.towns[0].jobs.targets, index == 0   ? "u0-0"
                                                                     : index == 1 ? "u1-0"
                                                                                  : "u2-0");
      assert_non_null (target);
      mf_suspects_add_failure (ground.fleet.towns[0].jobs.suspects,
                               &(MfSuspectFailure){ .digest = 5,
                                                    .request_id = index,
                                                    .upstream_id = mf_target_process (target),
                                                    .sent_us = now_us + index,
                                                    .failed_us = now_us + index });
      mf_target_says_leaving (target);
      mf_target_replaced (target, UINT64_MAX);
    }
  assert_null (mf_suspects_find (ground.fleet.towns[0].jobs.suspects, 5, mf_clock_now_us ()));
  ground_end (&ground);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_request_that_crashed_three_upstreams_is_sent_no_more),
    cmocka_unit_test (test_instance_that_starts_anew_learns_of_convictions),
    cmocka_unit_test (test_convictions_are_told_before_suspicions),
    cmocka_unit_test (test_instance_that_was_alone_learns_of_convictions),
    cmocka_unit_test (test_others_are_served_as_before),
    cmocka_unit_test (test_request_that_is_answered_between_crashes_is_not_refused),
    cmocka_unit_test (test_request_that_silences_upstreams_is_found_out),
    cmocka_unit_test (test_late_entry_of_a_predecessor_blames_nobody),
    cmocka_unit_test (test_resets_convict_nobody),
    cmocka_unit_test (test_upstream_that_leaves_in_order_blames_nobody),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
