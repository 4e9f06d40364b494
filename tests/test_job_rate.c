#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "relay_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define LIMIT_PER_S 4
#define CALLS_MAX 512
/* The rule LIMIT over the time of a burst, and the time after which an upstream has named its
 * limit to every instance. */
#define BURST_US (2 * MF_US_PER_S)
#define TOLD_US (500 * MF_US_PER_MS)
#define ALLOWED (LIMIT_PER_S * 3 / 2 * 2 + 5)

/* Value of the header with which the first upstream answers; NULL: none. */
static const char *named_limit;

static void
answer_limited (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char headers[128];

  (void)text;
  snprintf (headers, sizeof headers, "%s%s%s%s", RELAY_FIXTURE_SEAL,
            named_limit != NULL ? "Server-Limit: " : "", named_limit != NULL ? named_limit : "",
            named_limit != NULL ? "\r\n" : "");
  relay_fixture_answer (conn, id, "200 OK", headers, "good");
}

static void
answer_plain (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL, "good");
}

/* Arrivals at the first upstream by kind of request. */
static uint32_t n_orders;
static uint32_t n_reads;

static void
answer_counted (FakeUpstreamConn *conn, const char *text, const char *id)
{
  if (strstr (text, "/order/") != NULL)
    n_orders++;
  else
    n_reads++;
  answer_limited (conn, text, id);
}

/* Refuses within the upstream, without a seal; the header is that of an intermediary, if any. */
static void
answer_unsealed_error (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "502 Bad Gateway", "", "");
}

static void
answer_misdirected (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "421 Misdirected Request", "Server-Limit: 1\r\n", "");
}

/* One instance or a fleet, whose first upstream names a limit, and its callers. */
typedef struct
{
  RelayFleet fleet;
  bool is_fleet;
  uint32_t n_instances;
  int calls[CALLS_MAX];
  uint32_t n_calls;
} RateFixture;

/* Adds an upstream of the first instance at all instances. */
static void
add_upstream (RateFixture *fixture, uint32_t index, MfRole role, RelayFixtureHandler handler)
{
  RelayFixture *first = &fixture->fleet.instances[0];
  char id[16];

  relay_fixture_add_upstream (first, index, role, handler);
  snprintf (id, sizeof id, "u%u", index);
  for (uint32_t i = 1; i < fixture->n_instances; i++)
    relay_fixture_list_upstream (&fixture->fleet.instances[i], id, role,
                                 fake_upstream_address (first->upstreams[index].server));
}

static void
fleet_setup (RateFixture *fixture, uint32_t n_unlimited)
{
  memset (fixture, 0, sizeof *fixture);
  relay_fleet_setup (&fixture->fleet);
  fixture->is_fleet = true;
  fixture->n_instances = RELAY_FLEET_N_INSTANCES;
  add_upstream (fixture, 0, MF_ROLE_PLAIN, answer_limited);
  for (uint32_t i = 1; i <= n_unlimited; i++)
    add_upstream (fixture, i, MF_ROLE_PLAIN, answer_plain);
}

/* An instance without others allocates each rate itself. */
static void
single_setup (RateFixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->fleet.loop = ev_loop_new (0);
  fixture->n_instances = 1;
  relay_fixture_setup (&fixture->fleet.instances[0], fixture->fleet.loop);
}

static void
rate_fixture_teardown (RateFixture *fixture)
{
  for (uint32_t i = 0; i < fixture->n_calls; i++)
    close (fixture->calls[i]);
  loop_spin (fixture->fleet.loop, 5);
  if (fixture->is_fleet)
    {
      relay_fleet_teardown (&fixture->fleet);
      return;
    }
  relay_fixture_teardown (&fixture->fleet.instances[0]);
  ev_loop_destroy (fixture->fleet.loop);
}

static void
call_path (RateFixture *fixture, uint32_t instance, const char *path)
{
  char text[256];
  int fd = loop_connect (fixture->fleet.instances[instance].port);

  assert_true (fd >= 0 && fixture->n_calls < CALLS_MAX);
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t%u\r\nX-Deadline-Ms: 600\r\n"
            "X-Token-Count: 100,40\r\nContent-Length: 0\r\n\r\n",
            path, fixture->n_calls);
  loop_send (fd, text, strlen (text));
  fixture->calls[fixture->n_calls++] = fd;
}

static void
call (RateFixture *fixture, uint32_t instance)
{
  call_path (fixture, instance, "/order/1");
}

/* Lets all instances get requests for a while, n_per_round at a time at each. */
static void
press (RateFixture *fixture, uint64_t for_us, uint32_t n_per_round)
{
  uint64_t until_us = mf_clock_now_us () + for_us;

  while (mf_clock_now_us () < until_us)
    {
      for (uint32_t i = 0; i < n_per_round; i++)
        {
          for (uint32_t j = 0; j < fixture->n_instances; j++)
            call (fixture, j);
        }
      loop_spin (fixture->fleet.loop, 100);
    }
}

/* Number of calls that have been answered with this status, and with this text. */
static uint32_t
n_answered (RateFixture *fixture, uint32_t status, const char *needle)
{
  uint32_t n_found = 0;

  for (uint32_t i = 0; i < fixture->n_calls; i++)
    {
      char text[2048] = "";
      uint32_t found = 0;

      loop_receive (fixture->fleet.loop, fixture->calls[i], "\r\n\r\n", text, sizeof text);
      n_found += sscanf (text, "HTTP/1.1 %u", &found) == 1 && found == status
                 && strstr (text, needle) != NULL;
    }
  return n_found;
}

static uint32_t
n_arrivals (const RateFixture *fixture)
{
  return relay_fixture_n_requests (&fixture->fleet.instances[0], 0);
}

static MfTarget *
target (RateFixture *fixture, uint32_t instance, const char *id)
{
  return mf_targets_find (&fixture->fleet.instances[instance].jobs.targets, id);
}

static void
test_instances_together_keep_to_the_limit_of_an_upstream (void **state)
{
  RateFixture fixture;
  uint32_t n_before;

  (void)state;
  named_limit = "4.0";
  fleet_setup (&fixture, 1);
  press (&fixture, TOLD_US, 1);
  n_before = n_arrivals (&fixture);
  press (&fixture, BURST_US, 2);
  assert_in_range (n_arrivals (&fixture) - n_before, 1, ALLOWED);
  assert_int_equal (n_answered (&fixture, 200, ""), fixture.n_calls);
  rate_fixture_teardown (&fixture);
}

/* With no other upstream, the rate is used, and what it does not admit is refused at once with the
 * time at which it would. */
static void
test_rate_of_the_only_upstream_is_used_and_the_rest_refused (void **state)
{
  RateFixture fixture;
  uint32_t n_before;
  uint32_t n_served;
  uint32_t n_refused;

  (void)state;
  named_limit = "10";
  single_setup (&fixture);
  add_upstream (&fixture, 0, MF_ROLE_PLAIN, answer_limited);
  press (&fixture, TOLD_US, 1);
  n_before = n_arrivals (&fixture);
  press (&fixture, BURST_US, 8);
  assert_in_range (n_arrivals (&fixture) - n_before, 10 * 2 * 7 / 10, 10 * 2 * 3 / 2 + 5);
  loop_spin (fixture.fleet.loop, 150);
  n_served = n_answered (&fixture, 200, "good");
  assert_int_equal (n_served, n_arrivals (&fixture));
  n_refused = fixture.fleet.instances[0].jobs.counters.counts[MF_RELAY_COUNT_REFUSED];
  assert_int_equal (n_refused, fixture.n_calls - n_served);
  rate_fixture_teardown (&fixture);
}

static void
test_refusals_name_when_the_rate_admits_the_next (void **state)
{
  RateFixture fixture;

  (void)state;
  named_limit = "0.5";
  single_setup (&fixture);
  add_upstream (&fixture, 0, MF_ROLE_PLAIN, answer_limited);
  call (&fixture, 0);
  loop_spin (fixture.fleet.loop, 20);
  call (&fixture, 0);
  loop_spin (fixture.fleet.loop, 20);
  assert_int_equal (n_arrivals (&fixture), 1);
  assert_int_equal (n_answered (&fixture, 503, "Retry-After: 0.2"), 1);
  rate_fixture_teardown (&fixture);
}

static void
test_end_of_a_limit_of_nothing_is_noticed (void **state)
{
  RateFixture fixture;
  uint32_t n_before;

  (void)state;
  named_limit = "0";
  single_setup (&fixture);
  add_upstream (&fixture, 0, MF_ROLE_PLAIN, answer_limited);
  call (&fixture, 0);
  loop_spin (fixture.fleet.loop, 20);
  assert_true (mf_target_is_limited (target (&fixture, 0, "u0")));
  n_before = n_arrivals (&fixture);
  press (&fixture, 2 * MF_US_PER_S, 1);
  assert_int_equal (n_arrivals (&fixture), n_before);
  named_limit = NULL;
  press (&fixture, 6 * MF_US_PER_S, 1);
  assert_false (mf_target_is_limited (target (&fixture, 0, "u0")));
  rate_fixture_teardown (&fixture);
}

/* Asking and being granted must not repeat without end when the only upstream is unreachable. */
static void
test_unreachable_upstream_with_a_limit_is_tried_once (void **state)
{
  RateFixture fixture;
  RelayFixture *first = &fixture.fleet.instances[0];

  (void)state;
  named_limit = "1000";
  single_setup (&fixture);
  add_upstream (&fixture, 0, MF_ROLE_PLAIN, answer_limited);
  call (&fixture, 0);
  loop_spin (fixture.fleet.loop, 50);
  fake_upstream_stop (first->upstreams[0].server);
  for (uint32_t i = 0; i < 3; i++)
    {
      call (&fixture, 0);
      loop_spin (fixture.fleet.loop, 50);
    }
  assert_int_equal (n_answered (&fixture, 503, ""), 3);
  rate_fixture_teardown (&fixture);
}

/* An instance that starts later learns a limit from the others, before its first request. */
static void
test_restarted_instance_is_told_limits (void **state)
{
  RateFixture fixture;

  (void)state;
  named_limit = "4.9";
  fleet_setup (&fixture, 0);
  call (&fixture, 0);
  loop_spin (fixture.fleet.loop, 50);
  for (uint32_t i = 0; i < RELAY_FLEET_N_INSTANCES; i++)
    assert_int_equal (target (&fixture, i, "u0")->limit.micro_per_s, 4900000);
  relay_fleet_restart (&fixture.fleet, 3);
  relay_fixture_list_upstream (
      &fixture.fleet.instances[3], "u0", MF_ROLE_PLAIN,
      fake_upstream_address (fixture.fleet.instances[0].upstreams[0].server));
  relay_fleet_wait_connected (&fixture.fleet);
  loop_spin (fixture.fleet.loop, 50);
  assert_true (mf_target_is_limited (target (&fixture, 3, "u0")));
  rate_fixture_teardown (&fixture);
}

static void
test_only_answers_of_the_upstream_itself_end_its_limit (void **state)
{
  static const RelayFixtureHandler others[] = { answer_unsealed_error, answer_misdirected };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (others); i++)
    {
      RateFixture fixture;
      RelayFixture *first = &fixture.fleet.instances[0];

      named_limit = "100";
      single_setup (&fixture);
      add_upstream (&fixture, 0, MF_ROLE_PLAIN, answer_limited);
      call (&fixture, 0);
      loop_spin (fixture.fleet.loop, 50);
      first->upstreams[0].handler = others[i];
      call (&fixture, 0);
      loop_spin (fixture.fleet.loop, 50);
      assert_int_equal (n_arrivals (&fixture), 2);
      assert_int_equal (target (&fixture, 0, "u0")->limit.micro_per_s, 100000000);
      rate_fixture_teardown (&fixture);
    }
}

/* KV that is no longer needed expires by itself at an engine that limits its requests. */
static void
test_limited_engine_gets_no_calls_that_free_memory (void **state)
{
  RateFixture fixture;
  RelayFixture *first = &fixture.fleet.instances[0];
  MfRateNotice limit = { .is_limited = true, .micro_per_s = 100 * MF_RATE_MICRO };

  (void)state;
  single_setup (&fixture);
  add_upstream (&fixture, 0, MF_ROLE_PREFILL, relay_fixture_prefill);
  add_upstream (&fixture, 1, MF_ROLE_DECODE, relay_fixture_stream_hangs);
  call_path (&fixture, 0, "/llm/1");
  loop_spin (fixture.fleet.loop, 30);
  assert_int_equal (n_arrivals (&fixture), 1);
  limit.heard_us = mf_clock_now_us ();
  limit.asked_us = limit.heard_us;
  mf_target_note_limit (target (&fixture, 0, "u0"), &limit, true);
  close (fixture.calls[0]);
  fixture.n_calls = 0;
  loop_spin (fixture.fleet.loop, 30);
  assert_int_equal (n_arrivals (&fixture), 1);
  assert_int_equal (first->jobs.n_jobs, 0);
  rate_fixture_teardown (&fixture);
}

/* Orders and reads press alike; neither takes the whole rate. */
static void
test_kinds_of_requests_share_the_rate (void **state)
{
  RateFixture fixture;
  uint32_t random = 1;

  (void)state;
  named_limit = "20";
  n_orders = 0;
  n_reads = 0;
  single_setup (&fixture);
  add_upstream (&fixture, 0, MF_ROLE_PLAIN, answer_counted);
  for (uint32_t i = 0; i < 95; i++)
    {
      random = random * 1103515245 + 12345;
      call_path (&fixture, 0, (random >> 16) % 2 == 0 ? "/order/1" : "/read/1");
      loop_spin (fixture.fleet.loop, 12);
    }
  assert_in_range (n_orders + n_reads, 20, 20 * 3 * 3 / 2 + 5);
  assert_in_range (n_orders, (n_orders + n_reads) / 8, (n_orders + n_reads) * 7 / 8);
  rate_fixture_teardown (&fixture);
}

/* The instance that allocates the rate ends; the next one goes on, and neither grants twice. */
static void
test_rate_is_kept_and_used_after_its_allocator_has_gone (void **state)
{
  RateFixture fixture;
  uint64_t process;
  uint32_t n_before;
  uint32_t gone = 0;
  MfPeers *peers;

  (void)state;
  named_limit = "20";
  fleet_setup (&fixture, 0);
  press (&fixture, TOLD_US, 1);
  process = mf_target_process_id (target (&fixture, 0, "u0"));
  while (mf_peers_allocator (fixture.fleet.instances[gone].jobs.peers, process, mf_clock_now_us ())
         != MF_DISPATCH_SELF)
    gone++;
  press (&fixture, 1 * MF_US_PER_S, 2);
  n_before = n_arrivals (&fixture);
  peers = fixture.fleet.instances[gone].jobs.peers;
  fixture.fleet.instances[gone].jobs.peers = NULL;
  mf_peers_free (peers);
  /* What it has left is gone as well, as if its process had ended. */
  mf_targets_clear (&fixture.fleet.instances[gone].jobs.targets);
  press (&fixture, BURST_US, 3);
  assert_in_range (n_arrivals (&fixture) - n_before, 20, 20 * 2 * 3 / 2 + 5);
  rate_fixture_teardown (&fixture);
}

/* The local part of a rate may be a unit in minutes; the allocator is asked again long before. */
static void
test_allocator_that_was_silent_is_asked_again (void **state)
{
  RateFixture fixture;
  uint32_t asking = 0;
  MfTarget *limited;

  (void)state;
  named_limit = "1";
  fleet_setup (&fixture, 0);
  call (&fixture, 0);
  loop_spin (fixture.fleet.loop, 50);
  while (mf_peers_allocator (fixture.fleet.instances[asking].jobs.peers,
                             mf_target_process_id (target (&fixture, 0, "u0")), mf_clock_now_us ())
         == MF_DISPATCH_SELF)
    asking++;
  limited = target (&fixture, asking, "u0");
  limited->rate_unanswered_us = mf_clock_now_us ();
  call (&fixture, asking);
  loop_spin (fixture.fleet.loop, 20);
  assert_int_equal (n_answered (&fixture, 503, ""), 1);
  assert_in_range (limited->rate_ready_us, limited->rate_unanswered_us,
                   limited->rate_unanswered_us + 1100 * MF_US_PER_MS);
  rate_fixture_teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_instances_together_keep_to_the_limit_of_an_upstream),
    cmocka_unit_test (test_rate_of_the_only_upstream_is_used_and_the_rest_refused),
    cmocka_unit_test (test_refusals_name_when_the_rate_admits_the_next),
    cmocka_unit_test (test_end_of_a_limit_of_nothing_is_noticed),
    cmocka_unit_test (test_unreachable_upstream_with_a_limit_is_tried_once),
    cmocka_unit_test (test_restarted_instance_is_told_limits),
    cmocka_unit_test (test_only_answers_of_the_upstream_itself_end_its_limit),
    cmocka_unit_test (test_limited_engine_gets_no_calls_that_free_memory),
    cmocka_unit_test (test_kinds_of_requests_share_the_rate),
    cmocka_unit_test (test_rate_is_kept_and_used_after_its_allocator_has_gone),
    cmocka_unit_test (test_allocator_that_was_silent_is_asked_again),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
