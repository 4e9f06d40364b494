#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "relay_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define N_INSTANCES RELAY_FLEET_N_INSTANCES
#define SLOTS 4
#define N_WAITING 8
#define SLACK 12

static void
fleet_setup (RelayFleet *fleet, uint32_t n_engines, RelayFixtureHandler handler)
{
  relay_fleet_setup (fleet);
  relay_fleet_add_engines (fleet, n_engines, handler);
}

static int
start_call (RelayFleet *fleet, uint32_t index)
{
  static const char text[] = "POST /llm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n"
                             "X-Deadline-Ms: 3000\r\n\r\n";
  int fd = loop_connect (fleet->instances[index].port);

  assert_true (fd >= 0);
  loop_send (fd, text, strlen (text));
  loop_spin (fleet->loop, 10);
  return fd;
}

/* Returns the index of the leader. */
static uint32_t
find_leader (RelayFleet *fleet)
{
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      if (mf_peers_leader (fleet->instances[i].jobs.peers, "engines", mf_clock_now_us ())
          == MF_DISPATCH_SELF)
        return i;
    }
  fail_msg ("no instance is the leader");
  return 0;
}

/* The leader exits while requests of all other instances wait. They must send their slot requests
 * to the next leader: if each granted slots itself, all would take the same slot. */
static void
test_waiting_requests_ask_the_next_leader (void **state)
{
  RelayFleet fleet;
  uint32_t leader;
  int running[SLOTS];
  int waiting[N_WAITING];
  MfPeers *peers;

  (void)state;
  fleet_setup (&fleet, 1, relay_fixture_stream_hangs);
  leader = find_leader (&fleet);
  for (uint32_t i = 0; i < SLOTS; i++)
    running[i] = start_call (&fleet, (leader + 1) % N_INSTANCES);
  for (uint32_t i = 0; i < N_WAITING; i++)
    waiting[i] = start_call (&fleet, (leader + 1 + i % (N_INSTANCES - 1)) % N_INSTANCES);
  assert_int_equal (relay_fixture_n_requests (&fleet.instances[0], 0), SLOTS);
  peers = fleet.instances[leader].jobs.peers;
  fleet.instances[leader].jobs.peers = NULL;
  mf_peers_free (peers);
  loop_spin (fleet.loop, 40);
  assert_int_equal (relay_fixture_n_requests (&fleet.instances[0], 0), SLOTS);
  /* One slot becomes free, and exactly one request gets it. */
  close (running[0]);
  loop_spin (fleet.loop, 40);
  assert_int_equal (relay_fixture_n_requests (&fleet.instances[0], 0), SLOTS + 1);
  for (uint32_t i = 1; i < SLOTS; i++)
    close (running[i]);
  for (uint32_t i = 0; i < N_WAITING; i++)
    close (waiting[i]);
  loop_spin (fleet.loop, 10);
  relay_fleet_teardown (&fleet);
}

/* A slot request that stays queued while another one is granted gets its reply, too: without it,
 * the requester would take the leader for dead. */
static void
test_queued_request_is_answered_while_another_is_granted (void **state)
{
  RelayFleet fleet;
  RelayFixture *leader;
  uint32_t requester;
  MfTarget *engine;
  int calls[2];
  uint64_t now_us;
  uint64_t leader_hash;

  (void)state;
  fleet_setup (&fleet, 1, relay_fixture_stream_hangs);
  now_us = mf_clock_now_us ();
  requester = (find_leader (&fleet) + 1) % N_INSTANCES;
  leader = &fleet.instances[find_leader (&fleet)];
  leader_hash = mf_peers_leader (fleet.instances[requester].jobs.peers, "engines", now_us);
  engine = mf_targets_find (&leader->jobs.targets, "u0");
  for (uint32_t i = 0; i < SLOTS; i++)
    mf_target_begin_request (engine, 0, now_us);
  calls[0] = start_call (&fleet, requester);
  assert_int_equal (mf_dispatch_n_waiting (leader->jobs.dispatch), 1);
  ev_timer_stop (fleet.loop, &leader->jobs.dispatch_timer);
  mf_target_end_request (engine, 0);
  calls[1] = start_call (&fleet, requester);
  assert_int_equal (mf_dispatch_n_waiting (leader->jobs.dispatch), 1);
  loop_spin (fleet.loop, 60);
  assert_int_equal (
      mf_peers_leader (fleet.instances[requester].jobs.peers, "engines", mf_clock_now_us ()),
      leader_hash);
  close (calls[0]);
  close (calls[1]);
  loop_spin (fleet.loop, 10);
  relay_fleet_teardown (&fleet);
}

/* Returns the number of sends beyond the first of each stage for ten requests. Only a leader that
 * has led for a whole window may grant retries. */
static uint32_t
n_retries_of_ten (bool led_for_window, RelayFixtureHandler handler, bool with_prefill)
{
  RelayFleet fleet;
  uint32_t leader;
  uint32_t n_sends = 0;
  int calls[10];
  char received[1024];

  fleet_setup (&fleet, RELAY_FIXTURE_N_UPSTREAMS, handler);
  for (uint32_t engine = 0; with_prefill && engine < 2; engine++)
    {
      char id[16];

      fleet.instances[0].upstreams[engine].handler = relay_fixture_prefill;
      snprintf (id, sizeof id, "u%u", engine);
      for (uint32_t i = 0; i < N_INSTANCES; i++)
        mf_targets_find (&fleet.instances[i].jobs.targets, id)->info.role = MF_ROLE_PREFILL;
    }
  leader = find_leader (&fleet);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    {
      fleet.instances[i].jobs.budget_ratio = 0.;
      fleet.instances[i].jobs.budget_slack = SLACK;
    }
  /* Votes arrive with the reports that follow the first query for the leader. */
  for (uint32_t i = 0; i < 200; i++)
    {
      for (uint32_t k = 0; k < N_INSTANCES; k++)
        mf_jobs_tick_leadership (&fleet.instances[k].jobs, mf_clock_now_us (), mf_clock_now_us ());
      loop_spin (fleet.loop, 1);
    }
  assert_true (mf_jobs_find_leadership (&fleet.instances[leader].jobs, "engines")->led_since_us
               > 0);
  if (led_for_window)
    mf_jobs_find_leadership (&fleet.instances[leader].jobs, "engines")->led_since_us = 1;
  for (size_t i = 0; i < MF_ARRAY_LEN (calls); i++)
    calls[i] = start_call (&fleet, (leader + 1 + (uint32_t)i % (N_INSTANCES - 1)) % N_INSTANCES);
  for (size_t i = 0; i < MF_ARRAY_LEN (calls); i++)
    {
      loop_receive (fleet.loop, calls[i], "Retry-After", received, sizeof received);
      assert_memory_equal (received, with_prefill ? "HTTP/1.1 200" : "HTTP/1.1 503", 12);
    }
  for (uint32_t engine = 0; engine < RELAY_FIXTURE_N_UPSTREAMS; engine++)
    n_sends += relay_fixture_n_requests (&fleet.instances[0], engine);
  for (size_t i = 0; i < MF_ARRAY_LEN (calls); i++)
    close (calls[i]);
  loop_spin (fleet.loop, 10);
  relay_fleet_teardown (&fleet);
  return n_sends - (uint32_t)MF_ARRAY_LEN (calls) * (with_prefill ? 2 : 1);
}

/* Instances that have used up their own allowance get retries from the leader, and the sum stays
 * within the common slack. A leader of less than a window grants none. */
static void
test_leader_grants_retries_that_others_do_not_use (void **state)
{
  (void)state;
  assert_in_range (n_retries_of_ten (false, relay_fixture_decline, false), 1, N_INSTANCES);
  assert_in_range (n_retries_of_ten (true, relay_fixture_decline, false), N_INSTANCES + 1, SLACK);
}

/* A resumed stream needs a second prefill and a second run, and both count as retries. */
static void
test_retries_of_two_sends_keep_to_the_common_budget (void **state)
{
  (void)state;
  assert_in_range (n_retries_of_ten (true, relay_fixture_stream_breaks, true), 2, SLACK);
}

/* The leader may grant an engine that the requester does not know yet. The requester then asks for
 * another one at once, and not for the same one again and again. */
static void
test_engine_that_the_requester_does_not_know_is_avoided (void **state)
{
  RelayFleet fleet;
  uint32_t leader;
  uint32_t requester;
  int running[SLOTS - 1];
  int call_fd;
  char received[1024];

  (void)state;
  fleet_setup (&fleet, 1, relay_fixture_stream_hangs);
  leader = find_leader (&fleet);
  requester = (leader + 1) % N_INSTANCES;
  /* The engine known to all has one free slot; the other one has all of its slots free. */
  for (uint32_t i = 0; i < SLOTS - 1; i++)
    running[i] = start_call (&fleet, requester);
  relay_fixture_list_upstream (&fleet.instances[leader], "new", MF_ROLE_DECODE, "127.0.0.1:1");
  call_fd = start_call (&fleet, requester);
  loop_receive (fleet.loop, call_fd, "data: a", received, sizeof received);
  assert_non_null (strstr (received, "data: a"));
  assert_in_range (fleet.instances[requester].jobs.last_peer_request_id, SLOTS, SLOTS + 1);
  for (uint32_t i = 0; i < SLOTS - 1; i++)
    close (running[i]);
  close (call_fd);
  loop_spin (fleet.loop, 10);
  relay_fleet_teardown (&fleet);
}

/* Adds two customers, whose names are also their keys, to the configuration of an instance. */
static void
customers_add (RelayFixture *instance)
{
  static const char *const names[] = { "large", "small" };
  MfCustomers *customers = mf_customers_new (2);

  assert_non_null (customers);
  for (uint32_t i = 0; i < 2; i++)
    {
      assert_true (mf_customers_set_name (customers, i, names[i]));
      assert_true (mf_customers_add_key (customers, i, names[i], strlen (names[i])));
    }
  instance->jobs.routes->customers = customers;
}

static int
start_customer_call (RelayFleet *fleet, uint32_t index, const char *key)
{
  char text[256];
  int fd = loop_connect (fleet->instances[index].port);

  assert_true (fd >= 0);
  snprintf (text, sizeof text,
            "POST /llm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nX-Deadline-Ms: 3000\r\n"
            "X-Api-Key: %s\r\n\r\n",
            key);
  loop_send (fd, text, strlen (text));
  loop_spin (fleet->loop, 10);
  return fd;
}

/* Guards against slot requests that do not name the customer to the leader: of two slots that
 * become free, one goes to the customer with one request, though those of the other are older. */
static void
test_leader_grants_slots_by_customer (void **state)
{
  RelayFleet fleet;
  RelayFixture *leader;
  uint32_t requester;
  int running[SLOTS];
  int waiting[N_WAITING];
  const MfDispatchCustomer *rows;
  uint32_t n_rows;
  MfBuffer text = { 0 };

  (void)state;
  fleet_setup (&fleet, 1, relay_fixture_stream_hangs);
  for (uint32_t i = 0; i < N_INSTANCES; i++)
    customers_add (&fleet.instances[i]);
  requester = (find_leader (&fleet) + 1) % N_INSTANCES;
  leader = &fleet.instances[find_leader (&fleet)];
  for (uint32_t i = 0; i < SLOTS; i++)
    running[i] = start_customer_call (&fleet, requester, "large");
  for (uint32_t i = 0; i < N_WAITING; i++)
    waiting[i] = start_customer_call (&fleet, (requester + i) % N_INSTANCES,
                                      i + 1 < N_WAITING ? "large" : "small");
  close (running[0]);
  close (running[1]);
  loop_spin (fleet.loop, 60);
  rows = mf_dispatch_customers (leader->jobs.dispatch, &n_rows);
  assert_int_equal (n_rows, 2);
  assert_true (rows[1].customer == mf_customers_get (leader->jobs.routes->customers, 1)->name_hash);
  assert_int_equal (rows[0].n_waited, N_WAITING - 1);
  assert_int_equal (rows[0].n_granted, SLOTS + 1);
  assert_int_equal (rows[1].n_granted, 1);
  mf_jobs_render_customers (&leader->jobs, &text);
  mf_buffer_add (&text, "", 1);
  assert_non_null (strstr (mf_buffer_data (&text),
                           "mangofork_relay_customer_grants_total{customer=\"small\"} 1\n"));
  mf_buffer_clear (&text);
  for (uint32_t i = 2; i < SLOTS; i++)
    close (running[i]);
  for (uint32_t i = 0; i < N_WAITING; i++)
    close (waiting[i]);
  loop_spin (fleet.loop, 10);
  relay_fleet_teardown (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_waiting_requests_ask_the_next_leader),
    cmocka_unit_test (test_queued_request_is_answered_while_another_is_granted),
    cmocka_unit_test (test_leader_grants_slots_by_customer),
    cmocka_unit_test (test_leader_grants_retries_that_others_do_not_use),
    cmocka_unit_test (test_retries_of_two_sends_keep_to_the_common_budget),
    cmocka_unit_test (test_engine_that_the_requester_does_not_know_is_avoided),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
