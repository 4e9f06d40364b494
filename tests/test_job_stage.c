#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "relay_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define PEER_ADDRESS "127.0.0.1:21802"
#define STEP_US (100 * MF_US_PER_MS)

/* One instance without other instances, and its clocks. */
typedef struct
{
  RelayFixture relay;
  uint64_t now_us;
  uint64_t boottime_us;
} OrderFixture;

static void
on_fill_report (void *data, MfLoadReport *report)
{
  (void)data;
  (void)report;
}

static const MfPeersCallbacks callbacks = { .fill_report = on_fill_report };

static void
handle_accept (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
}

static void
handle_refuse (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n");
}

static void
handle_close (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_close (conn, true);
}

/* Five prefill engines, one of them known to be unreachable, and four decode engines without free
 * slots. */
static void
order_fixture_setup (OrderFixture *fixture, RelayFixtureHandler handler)
{
  MfError error = { 0 };
  RelayFixture *relay = &fixture->relay;

  relay_fixture_setup (relay, ev_loop_new (0));
  relay->jobs.peers
      = mf_peers_new (relay->loop, PEER_ADDRESS, &callbacks, relay, relay->log, &error);
  assert_non_null (relay->jobs.peers);
  relay->jobs.orders_fenced = true;
  relay->jobs.order_interval_us = 3 * MF_US_PER_S;
  mf_name_set (relay->jobs.instance, sizeof relay->jobs.instance, "front-1");
  for (uint32_t i = 0; i < RELAY_FIXTURE_N_UPSTREAMS; i++)
    relay_fixture_add_upstream (relay, i, MF_ROLE_PREFILL, handler);
  for (uint32_t i = 0; i < 4; i++)
    {
      char id[16];
      char address[MF_ADDRESS_BYTES];

      snprintf (id, sizeof id, "d%u", i);
      snprintf (address, sizeof address, "127.0.0.1:%u", 1 + i);
      relay_fixture_list_upstream (relay, id, MF_ROLE_DECODE, address);
      mf_targets_find (&relay->jobs.targets, id)->n_remote = 4;
    }
  relay_fixture_list_upstream (relay, "p", MF_ROLE_PREFILL, "127.0.0.1:9");
  mf_targets_find (&relay->jobs.targets, "p")->suspect_until_us = UINT64_MAX;
  fixture->now_us = mf_clock_now_us ();
  fixture->boottime_us = fixture->now_us;
}

static void
order_fixture_teardown (OrderFixture *fixture)
{
  struct ev_loop *loop = fixture->relay.loop;
  MfPeers *peers = fixture->relay.jobs.peers;

  fixture->relay.jobs.peers = NULL;
  mf_peers_free (peers);
  relay_fixture_teardown (&fixture->relay);
  ev_loop_destroy (loop);
}

/* Lets duration_us pass in steps as long as the interval between ticks. */
static void
order_fixture_advance (OrderFixture *fixture, uint64_t duration_us)
{
  for (uint64_t us = 0; us < duration_us; us += STEP_US)
    {
      fixture->now_us += STEP_US;
      fixture->boottime_us += STEP_US;
      fixture->relay.jobs.remote_load_stale = false;
      mf_jobs_tick_leadership (&fixture->relay.jobs, fixture->now_us, fixture->boottime_us);
      loop_spin (fixture->relay.loop, 1);
    }
}

static uint64_t
n_orders (const OrderFixture *fixture)
{
  return fixture->relay.jobs.counters.counts[MF_RELAY_COUNT_ORDERS];
}

static uint32_t
n_changing (const OrderFixture *fixture)
{
  uint32_t n_engines = 0;

  for (const MfTarget *target = fixture->relay.jobs.targets.first; target != NULL;
       target = target->next)
    n_engines += target->stage_until_us > 0;
  return n_engines;
}

static const char *
last_order (const OrderFixture *fixture)
{
  const RelayFixture *relay = &fixture->relay;
  uint32_t index = 0;

  while (index + 1 < RELAY_FIXTURE_N_UPSTREAMS && relay_fixture_n_requests (relay, index) == 0)
    index++;
  return fake_upstream_last_request (relay->upstreams[index].server);
}

/* The leader orders one idle prefill engine to decode, and only after the previous leader has
 * certainly stopped giving orders. */
static void
test_idle_prefill_engine_is_ordered_to_decode (void **state)
{
  OrderFixture fixture;
  const char *fence;

  (void)state;
  order_fixture_setup (&fixture, handle_accept);
  order_fixture_advance (&fixture, 4600 * MF_US_PER_MS);
  assert_int_equal (n_orders (&fixture), 0);
  order_fixture_advance (&fixture, 2 * MF_US_PER_S);
  assert_int_equal (n_orders (&fixture), 1);
  assert_int_equal (n_changing (&fixture), 1);
  assert_non_null (strstr (last_order (&fixture), "POST /order HTTP/1.1"));
  assert_non_null (strstr (last_order (&fixture), "X-Expect-Instance: u"));
  assert_non_null (strstr (last_order (&fixture), "\"stage\":\"decode\""));
  assert_non_null (strstr (last_order (&fixture), "\"holder\":\"front-1\""));
  fence = strstr (last_order (&fixture), "\"fencingToken\":");
  assert_non_null (fence);
  /* The fence exceeds every fence from more than a minute ago. */
  assert_true (strtoull (fence + 15, NULL, 10) > (mf_clock_wall_ms () - 60000) << 10);
  order_fixture_teardown (&fixture);
}

/* A leader that was suspended relies on outdated votes: it must start a new leadership. */
static void
test_suspended_leader_waits_again (void **state)
{
  OrderFixture fixture;

  (void)state;
  order_fixture_setup (&fixture, handle_accept);
  order_fixture_advance (&fixture, 4600 * MF_US_PER_MS);
  fixture.boottime_us += MF_US_PER_S;
  order_fixture_advance (&fixture, 4600 * MF_US_PER_MS);
  assert_int_equal (n_orders (&fixture), 0);
  order_fixture_advance (&fixture, 2 * MF_US_PER_S);
  assert_int_equal (n_orders (&fixture), 1);
  order_fixture_teardown (&fixture);
}

/* Engines that do not check fences accept a delayed order of the previous leader, so the first
 * order waits for that as well. */
static void
test_first_order_waits_longer_without_fences (void **state)
{
  OrderFixture fixture;

  (void)state;
  order_fixture_setup (&fixture, handle_accept);
  fixture.relay.jobs.orders_fenced = false;
  order_fixture_advance (&fixture, 7100 * MF_US_PER_MS);
  assert_int_equal (n_orders (&fixture), 0);
  order_fixture_advance (&fixture, 2 * MF_US_PER_S);
  assert_int_equal (n_orders (&fixture), 1);
  order_fixture_teardown (&fixture);
}

static uint64_t
last_fence (const OrderFixture *fixture)
{
  const char *fence = strstr (last_order (fixture), "\"fencingToken\":");

  return fence == NULL ? 0 : strtoull (fence + 15, NULL, 10);
}

/* The next leader's fence is higher whatever the wall clocks of the two machines say, and a leader
 * that learns of a higher fence than its own waits again. */
static void
test_new_fence_exceeds_all_known_fences (void **state)
{
  uint64_t ahead = (mf_clock_wall_ms () + 5000) << 10;
  OrderFixture fixture;

  (void)state;
  order_fixture_setup (&fixture, handle_accept);
  mf_peers_record_fence (fixture.relay.jobs.peers, "engines", ahead);
  order_fixture_advance (&fixture, 6600 * MF_US_PER_MS);
  assert_int_equal (n_orders (&fixture), 1);
  assert_true (last_fence (&fixture) > ahead);
  order_fixture_teardown (&fixture);
  order_fixture_setup (&fixture, handle_accept);
  order_fixture_advance (&fixture, 4 * MF_US_PER_S);
  mf_peers_record_fence (fixture.relay.jobs.peers, "engines", ahead);
  order_fixture_advance (&fixture, 4600 * MF_US_PER_MS);
  assert_int_equal (n_orders (&fixture), 0);
  order_fixture_advance (&fixture, 2 * MF_US_PER_S);
  assert_int_equal (n_orders (&fixture), 1);
  assert_true (last_fence (&fixture) > ahead);
  order_fixture_teardown (&fixture);
  /* A fence that no clock of the fleet can have produced is ignored. */
  order_fixture_setup (&fixture, handle_accept);
  mf_peers_record_fence (fixture.relay.jobs.peers, "engines", UINT64_MAX);
  order_fixture_advance (&fixture, 6600 * MF_US_PER_MS);
  assert_int_equal (n_orders (&fixture), 1);
  order_fixture_teardown (&fixture);
}

/* An engine that refuses an order keeps its stage, and gets no more orders after the second. */
static void
test_refused_orders_end (void **state)
{
  OrderFixture fixture;

  (void)state;
  order_fixture_setup (&fixture, handle_refuse);
  order_fixture_advance (&fixture, 30 * MF_US_PER_S);
  loop_spin (fixture.relay.loop, 20);
  /* Two for each reachable engine. */
  assert_int_equal (n_orders (&fixture), 8);
  assert_int_equal (n_changing (&fixture), 0);
  assert_int_equal (fixture.relay.jobs.counters.counts[MF_RELAY_COUNT_ORDERS_REFUSED], 8);
  order_fixture_teardown (&fixture);
}

/* An order without a reply may have been accepted, so the engine gets no other order. */
static void
test_order_without_a_reply_counts_as_accepted (void **state)
{
  OrderFixture fixture;

  (void)state;
  order_fixture_setup (&fixture, handle_close);
  for (uint32_t i = 0; i < 100 && n_orders (&fixture) == 0; i++)
    order_fixture_advance (&fixture, STEP_US);
  loop_spin (fixture.relay.loop, 20);
  assert_int_equal (n_changing (&fixture), 1);
  assert_int_equal (fixture.relay.jobs.counters.counts[MF_RELAY_COUNT_ORDERS_REFUSED], 0);
  order_fixture_teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_idle_prefill_engine_is_ordered_to_decode),
    cmocka_unit_test (test_suspended_leader_waits_again),
    cmocka_unit_test (test_first_order_waits_longer_without_fences),
    cmocka_unit_test (test_new_fence_exceeds_all_known_fences),
    cmocka_unit_test (test_refused_orders_end),
    cmocka_unit_test (test_order_without_a_reply_counts_as_accepted),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
