#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "town_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define N TOWN_FLEET_N
#define DOOR_PORT 21781
#define PEER_PORT 21791
#define SLOTS 4
#define N_WAITING 8
#define SLACK 12

static void
fleet_setup (TownFleet *fleet, uint32_t n_engines, TownAct handler)
{
  town_fleet_begin (fleet, DOOR_PORT, PEER_PORT);
  town_fleet_add_engines (fleet, n_engines, handler);
}

static int
start_call (TownFleet *fleet, uint32_t index)
{
  static const char text[] = "POST /llm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n"
                             "X-Deadline-Ms: 3000\r\n\r\n";
  int fd = loop_connect (fleet->towns[index].port);

  assert_true (fd >= 0);
  loop_send (fd, text, strlen (text));
  loop_spin (fleet->loop, 10);
  return fd;
}

/* The instance that decides for all. */
static uint32_t
find_leader (TownFleet *fleet)
{
  for (uint32_t i = 0; i < N; i++)
    {
      if (mf_peers_leader (fleet->towns[i].jobs.peers, "engines", mf_clock_now_us ())
          == MF_DISPATCH_SELF)
        return i;
    }
  fail_msg ("no instance decides");
  return 0;
}

/* The instance that decides ends while requests of all others wait. They ask the next one: were
 * each to decide for itself, all would take the same place. */
static void
test_waiting_requests_ask_the_next_leader (void **state)
{
  TownFleet fleet;
  uint32_t leader;
  int running[SLOTS];
  int waiting[N_WAITING];
  MfPeers *peers;

  (void)state;
  fleet_setup (&fleet, 1, town_stream_hangs);
  leader = find_leader (&fleet);
  for (uint32_t i = 0; i < SLOTS; i++)
    running[i] = start_call (&fleet, (leader + 1) % N);
  for (uint32_t i = 0; i < N_WAITING; i++)
    waiting[i] = start_call (&fleet, (leader + 1 + i % (N - 1)) % N);
  assert_int_equal (town_n_requests (&fleet.towns[0], 0), SLOTS);
  peers = fleet.towns[leader].jobs.peers;
  fleet.towns[leader].jobs.peers = NULL;
  mf_peers_free (peers);
  loop_spin (fleet.loop, 40);
  assert_int_equal (town_n_requests (&fleet.towns[0], 0), SLOTS);
  /* One place comes free, and one request takes it. */
  close (running[0]);
  loop_spin (fleet.loop, 40);
  assert_int_equal (town_n_requests (&fleet.towns[0], 0), SLOTS + 1);
  for (uint32_t i = 1; i < SLOTS; i++)
    close (running[i]);
  for (uint32_t i = 0; i < N_WAITING; i++)
    close (waiting[i]);
  loop_spin (fleet.loop, 10);
  town_fleet_end (&fleet);
}

/* Sends beyond the first of each stage, for ten requests. A leader that has led for long may give
 * repeats. */
static uint32_t
n_repeats_of_ten (bool led_for_window, TownAct handler, bool with_prefill)
{
  TownFleet fleet;
  uint32_t leader;
  uint32_t n_sends = 0;
  int calls[10];
  char got[1024];

  fleet_setup (&fleet, TOWN_N_UPSTREAMS, handler);
  for (uint32_t engine = 0; with_prefill && engine < 2; engine++)
    {
      char id[16];

      fleet.towns[0].upstreams[engine].act = town_prefill;
      snprintf (id, sizeof id, "u%u", engine);
      for (uint32_t i = 0; i < N; i++)
        mf_targets_find (&fleet.towns[i].jobs.targets, id)->info.role = MF_ROLE_PREFILL;
    }
  leader = find_leader (&fleet);
  for (uint32_t i = 0; i < N; i++)
    {
      fleet.towns[i].jobs.budget_ratio = 0.;
      fleet.towns[i].jobs.budget_slack = SLACK;
    }
  /* Votes come with the reports after the first question who leads. */
  for (uint32_t i = 0; i < 200; i++)
    {
      for (uint32_t k = 0; k < N; k++)
        mf_jobs_lead (&fleet.towns[k].jobs, mf_clock_now_us (), mf_clock_now_us ());
      loop_spin (fleet.loop, 1);
    }
  assert_true (mf_jobs_find_lead (&fleet.towns[leader].jobs, "engines")->led_since_us > 0);
  if (led_for_window)
    mf_jobs_find_lead (&fleet.towns[leader].jobs, "engines")->led_since_us = 1;
  for (size_t i = 0; i < MF_ARRAY_LEN (calls); i++)
    calls[i] = start_call (&fleet, (leader + 1 + (uint32_t)i % (N - 1)) % N);
  for (size_t i = 0; i < MF_ARRAY_LEN (calls); i++)
    {
      loop_receive (fleet.loop, calls[i], "Retry-After", got, sizeof got);
      assert_memory_equal (got, with_prefill ? "HTTP/1.1 200" : "HTTP/1.1 503", 12);
    }
  for (uint32_t engine = 0; engine < TOWN_N_UPSTREAMS; engine++)
    n_sends += town_n_requests (&fleet.towns[0], engine);
  for (size_t i = 0; i < MF_ARRAY_LEN (calls); i++)
    close (calls[i]);
  loop_spin (fleet.loop, 10);
  town_fleet_end (&fleet);
  return n_sends - (uint32_t)MF_ARRAY_LEN (calls) * (with_prefill ? 2 : 1);
}

/* Instances that have used their part get more from the one that leads, and all together keep to
 * what is common; one that has led for less than a window gives nothing. */
static void
test_leader_gives_repeats_that_others_do_not_use (void **state)
{
  (void)state;
  assert_in_range (n_repeats_of_ten (false, town_decline, false), 1, N);
  assert_in_range (n_repeats_of_ten (true, town_decline, false), N + 1, SLACK);
}

/* A stream that goes on has its prompt read again and runs again: both are beyond the first. */
static void
test_repeats_of_two_sends_keep_to_what_is_common (void **state)
{
  (void)state;
  assert_in_range (n_repeats_of_ten (true, town_stream_breaks, true), 2, SLACK);
}

/* An engine that the instance which decides knows first is granted to one that does not know it
 * yet: that one asks for another at once, and not for the same again and again. */
static void
test_engine_that_the_asker_does_not_know_is_avoided (void **state)
{
  TownFleet fleet;
  uint32_t leader;
  uint32_t requester;
  int running[SLOTS - 1];
  int call_fd;
  char got[1024];

  (void)state;
  fleet_setup (&fleet, 1, town_stream_hangs);
  leader = find_leader (&fleet);
  requester = (leader + 1) % N;
  /* The engine that all know has room for one more, the other none of its. */
  for (uint32_t i = 0; i < SLOTS - 1; i++)
    running[i] = start_call (&fleet, requester);
  town_know (&fleet.towns[leader], "new", MF_ROLE_DECODE, "127.0.0.1:1");
  call_fd = start_call (&fleet, requester);
  loop_receive (fleet.loop, call_fd, "data: a", got, sizeof got);
  assert_non_null (strstr (got, "data: a"));
  assert_in_range (fleet.towns[requester].jobs.last_ask_id, SLOTS, SLOTS + 1);
  for (uint32_t i = 0; i < SLOTS - 1; i++)
    close (running[i]);
  close (call_fd);
  loop_spin (fleet.loop, 10);
  town_fleet_end (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_waiting_requests_ask_the_next_leader),
    cmocka_unit_test (test_leader_gives_repeats_that_others_do_not_use),
    cmocka_unit_test (test_repeats_of_two_sends_keep_to_what_is_common),
    cmocka_unit_test (test_engine_that_the_asker_does_not_know_is_avoided),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
