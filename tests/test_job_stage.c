#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "town.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define DOOR_PORT 21801
#define PEER_ADDRESS "127.0.0.1:21802"
#define STEP_US (100 * MF_US_PER_MS)

/* One instance that is alone with four engines. */
typedef struct
{
  Town town;
  uint64_t now_us;
  uint64_t awake_us;
} Yard;

static void
on_fill (void *data, MfLoadReport *report)
{
  (void)data;
  (void)report;
}

static const MfPeersCallbacks user = { .fill_report = on_fill };

static void
act_take (FakeWireConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_wire_send (conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
}

static void
act_refuse (FakeWireConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_wire_send (conn, "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n");
}

static void
act_close (FakeWireConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_wire_close (conn, true);
}

/* Five prefill engines, of which one is known to be out of reach, and four decode engines that are
 * full. */
static void
yard_begin (Yard *yard, TownAct act)
{
  MfError error = { 0 };
  Town *town = &yard->town;

  town_begin (town, ev_loop_new (0), DOOR_PORT);
  town->jobs.peers = mf_peers_new (town->loop, PEER_ADDRESS, &user, town, town->lines, &error);
  assert_non_null (town->jobs.peers);
  town->jobs.orders_fenced = true;
  town->jobs.order_turn_us = 3 * MF_US_PER_S;
  mf_name_set (town->jobs.instance, sizeof town->jobs.instance, "front-1");
  for (uint32_t i = 0; i < TOWN_N_UPSTREAMS; i++)
    town_add (town, i, MF_ROLE_PREFILL, act);
  for (uint32_t i = 0; i < 4; i++)
    {
      char id[16];
      char address[MF_ADDRESS_BYTES];

      snprintf (id, sizeof id, "d%u", i);
      snprintf (address, sizeof address, "127.0.0.1:%u", 1 + i);
      town_know (town, id, MF_ROLE_DECODE, address);
      mf_targets_find (&town->jobs.targets, id)->n_remote = 4;
    }
  town_know (town, "p", MF_ROLE_PREFILL, "127.0.0.1:9");
  mf_targets_find (&town->jobs.targets, "p")->suspect_until_us = UINT64_MAX;
  yard->now_us = mf_clock_now_us ();
  yard->awake_us = yard->now_us;
}

static void
yard_end (Yard *yard)
{
  struct ev_loop *loop = yard->town.loop;
  MfPeers *peers = yard->town.jobs.peers;

  yard->town.jobs.peers = NULL;
  mf_peers_free (peers);
  town_end (&yard->town);
  ev_loop_destroy (loop);
}

/* Lets so much time pass, in the steps of the process. */
static void
yard_pass (Yard *yard, uint64_t for_us)
{
  for (uint64_t us = 0; us < for_us; us += STEP_US)
    {
      yard->now_us += STEP_US;
      yard->awake_us += STEP_US;
      yard->town.jobs.others_stale = false;
      mf_jobs_lead (&yard->town.jobs, yard->now_us, yard->awake_us);
      loop_spin (yard->town.loop, 1);
    }
}

static uint64_t
n_orders (const Yard *yard)
{
  return yard->town.jobs.counters.counts[MF_RELAY_COUNT_ORDERS];
}

static uint32_t
n_changing (const Yard *yard)
{
  uint32_t n_engines = 0;

  for (const MfTarget *target = yard->town.jobs.targets.first; target != NULL;
       target = target->next)
    n_engines += target->stage_until_us > 0;
  return n_engines;
}

static const char *
last_order (const Yard *yard)
{
  const Town *town = &yard->town;
  uint32_t index = 0;

  while (index + 1 < TOWN_N_UPSTREAMS && town_n_requests (town, index) == 0)
    index++;
  return fake_wire_last (town->upstreams[index].wire);
}

/* The instance that leads orders an idle prefill engine, once, and only after the leader before it
 * has surely ceased to order. */
static void
test_idle_prefill_engine_is_ordered_to_decode (void **state)
{
  Yard yard;
  const char *fence;

  (void)state;
  yard_begin (&yard, act_take);
  yard_pass (&yard, 4600 * MF_US_PER_MS);
  assert_int_equal (n_orders (&yard), 0);
  yard_pass (&yard, 2 * MF_US_PER_S);
  assert_int_equal (n_orders (&yard), 1);
  assert_int_equal (n_changing (&yard), 1);
  assert_non_null (strstr (last_order (&yard), "POST /order HTTP/1.1"));
  assert_non_null (strstr (last_order (&yard), "X-Expect-Instance: u"));
  assert_non_null (strstr (last_order (&yard), "\"stage\":\"decode\""));
  assert_non_null (strstr (last_order (&yard), "\"holder\":\"front-1\""));
  fence = strstr (last_order (&yard), "\"fencingToken\":");
  assert_non_null (fence);
  /* It outgrows any that was given in a millisecond before. */
  assert_true (strtoull (fence + 15, NULL, 10) > (mf_clock_wall_ms () - 60000) << 10);
  yard_end (&yard);
}

/* A machine that stood still believes what held before: it leads anew. */
static void
test_who_stood_still_waits_again (void **state)
{
  Yard yard;

  (void)state;
  yard_begin (&yard, act_take);
  yard_pass (&yard, 4600 * MF_US_PER_MS);
  yard.awake_us += MF_US_PER_S;
  yard_pass (&yard, 4600 * MF_US_PER_MS);
  assert_int_equal (n_orders (&yard), 0);
  yard_pass (&yard, 2 * MF_US_PER_S);
  assert_int_equal (n_orders (&yard), 1);
  yard_end (&yard);
}

/* Engines that check no fences take an order of whoever led before that is still on its way: the
 * first order waits for that, too. */
static void
test_first_order_waits_longer_without_fences (void **state)
{
  Yard yard;

  (void)state;
  yard_begin (&yard, act_take);
  yard.town.jobs.orders_fenced = false;
  yard_pass (&yard, 7100 * MF_US_PER_MS);
  assert_int_equal (n_orders (&yard), 0);
  yard_pass (&yard, 2 * MF_US_PER_S);
  assert_int_equal (n_orders (&yard), 1);
  yard_end (&yard);
}

static uint64_t
last_fence (const Yard *yard)
{
  const char *fence = strstr (last_order (yard), "\"fencingToken\":");

  return fence == NULL ? 0 : strtoull (fence + 15, NULL, 10);
}

/* Whatever the time of day of two machines is, who orders next has the higher fence; and who hears
 * of a higher one than its own waits anew. */
static void
test_fences_outgrow_all_that_are_known (void **state)
{
  uint64_t ahead = (mf_clock_wall_ms () + 5000) << 10;
  Yard yard;

  (void)state;
  yard_begin (&yard, act_take);
  mf_peers_record_fence (yard.town.jobs.peers, "engines", ahead);
  yard_pass (&yard, 6600 * MF_US_PER_MS);
  assert_int_equal (n_orders (&yard), 1);
  assert_true (last_fence (&yard) > ahead);
  yard_end (&yard);
  yard_begin (&yard, act_take);
  yard_pass (&yard, 4 * MF_US_PER_S);
  mf_peers_record_fence (yard.town.jobs.peers, "engines", ahead);
  yard_pass (&yard, 4600 * MF_US_PER_MS);
  assert_int_equal (n_orders (&yard), 0);
  yard_pass (&yard, 2 * MF_US_PER_S);
  assert_int_equal (n_orders (&yard), 1);
  assert_true (last_fence (&yard) > ahead);
  yard_end (&yard);
  /* A fence that no clock of the fleet shows is nonsense, and stops nobody. */
  yard_begin (&yard, act_take);
  mf_peers_record_fence (yard.town.jobs.peers, "engines", UINT64_MAX);
  yard_pass (&yard, 6600 * MF_US_PER_MS);
  assert_int_equal (n_orders (&yard), 1);
  yard_end (&yard);
}

/* An engine that refuses keeps its work, and is not asked for ever. */
static void
test_refused_orders_end (void **state)
{
  Yard yard;

  (void)state;
  yard_begin (&yard, act_refuse);
  yard_pass (&yard, 30 * MF_US_PER_S);
  loop_spin (yard.town.loop, 20);
  /* Two at each engine that can be reached. */
  assert_int_equal (n_orders (&yard), 8);
  assert_int_equal (n_changing (&yard), 0);
  assert_int_equal (yard.town.jobs.counters.counts[MF_RELAY_COUNT_ORDERS_REFUSED], 8);
  yard_end (&yard);
}

/* An order without an answer may have been taken: the engine is left alone. */
static void
test_order_without_an_answer_counts_as_taken (void **state)
{
  Yard yard;

  (void)state;
  yard_begin (&yard, act_close);
  for (uint32_t i = 0; i < 100 && n_orders (&yard) == 0; i++)
    yard_pass (&yard, STEP_US);
  loop_spin (yard.town.loop, 20);
  assert_int_equal (n_changing (&yard), 1);
  assert_int_equal (yard.town.jobs.counters.counts[MF_RELAY_COUNT_ORDERS_REFUSED], 0);
  yard_end (&yard);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_idle_prefill_engine_is_ordered_to_decode),
    cmocka_unit_test (test_who_stood_still_waits_again),
    cmocka_unit_test (test_first_order_waits_longer_without_fences),
    cmocka_unit_test (test_fences_outgrow_all_that_are_known),
    cmocka_unit_test (test_refused_orders_end),
    cmocka_unit_test (test_order_without_an_answer_counts_as_taken),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
