#include "libmangofork/clock.h"
#include "platform/platform.h"

#include "loop_pump.h"
#include "relay_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define CALLS_MAX 450
#define N RELAY_FLEET_N_INSTANCES
#define OVERAGE 0.25

static RelayFleet fleet;
static int calls[CALLS_MAX];
static uint32_t n_calls;

static void
answer (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL, "good");
}

/* Gives all instances a configuration with one customer, "a", of key "k". */
static void
configure (uint64_t version, const char *limits)
{
  char text[768];
  MfError error = { 0 };

  snprintf (text, sizeof text,
            "{\"version\":%u,\"routes\":[{\"name\":\"read\",\"host\":\"h\",\"pathPrefix\":\"/\","
            "\"kind\":\"idempotent\",\"timeoutMs\":900,\"targetLatencyMs\":300,"
            "\"service\":\"shop\",\"maxAttempts\":2}],\"services\":[{\"name\":\"shop\"}],"
            "\"limits\":{},\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"]%s}]}",
            (unsigned)version, limits);
  for (uint32_t i = 0; i < N; i++)
    {
      MfRoutes *routes = platform_decode_config (text, strlen (text), &error);

      assert_non_null (routes);
      mf_jobs_configure (&fleet.instances[i].jobs, routes);
      fleet.instances[i].jobs.quota_bounds
          = (MfQuotaBounds){ .window_us = 8 * MF_US_PER_S, .overage = OVERAGE };
    }
}

static void
setup (const char *limits, bool has_upstream)
{
  n_calls = 0;
  relay_fleet_setup (&fleet);
  configure (2, limits);
  if (!has_upstream)
    return;
  relay_fixture_add_upstream (&fleet.instances[0], 0, MF_ROLE_PLAIN, answer);
  for (uint32_t i = 1; i < N; i++)
    relay_fixture_list_upstream (&fleet.instances[i], "u0", MF_ROLE_PLAIN,
                                 fake_upstream_address (fleet.instances[0].upstreams[0].server));
}

static void
teardown (void)
{
  for (uint32_t i = 0; i < n_calls; i++)
    close (calls[i]);
  loop_spin (fleet.loop, 5);
  relay_fleet_teardown (&fleet);
}

static void
call (uint32_t instance, const char *headers)
{
  char text[256];
  int fd = loop_connect (fleet.instances[instance].port);

  assert_true (fd >= 0 && n_calls < CALLS_MAX);
  snprintf (text, sizeof text,
            "GET /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t%u\r\nX-Api-Key: k\r\n%s\r\n", n_calls,
            headers);
  loop_send (fd, text, strlen (text));
  calls[n_calls++] = fd;
}

static uint32_t
n_answered (uint32_t status, const char *needle)
{
  uint32_t n_found = 0;

  for (uint32_t i = 0; i < n_calls; i++)
    {
      char text[2048] = "";
      uint32_t found = 0;

      loop_receive (fleet.loop, calls[i], "\r\n\r\n", text, sizeof text);
      n_found += sscanf (text, "HTTP/1.1 %u", &found) == 1 && found == status
                 && strstr (text, needle) != NULL;
    }
  return n_found;
}

static uint64_t
count (MfRelayCounter counter)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < N; i++)
    sum += fleet.instances[i].jobs.counters.counts[counter];
  return sum;
}

static uint64_t
n_units (MfCustomerCount of)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < N; i++)
    sum += fleet.instances[i].jobs.counters.customers[0].counts[of];
  return sum;
}

static uint32_t
allocator_index (void)
{
  uint64_t key = mf_customers_get (fleet.instances[0].jobs.routes->customers, 0)->name_hash;
  uint32_t i = 0;

  while (fleet.instances[i].jobs.peers == NULL
         || mf_peers_allocator (fleet.instances[i].jobs.peers, key, mf_clock_now_us ())
                != MF_DISPATCH_SELF)
    i++;
  return i;
}

static void
run (uint64_t for_us)
{
  uint64_t until_us = mf_clock_now_us () + for_us;

  while (mf_clock_now_us () < until_us)
    loop_spin (fleet.loop, 5);
}

/* Lets each instance get requests at an interval. */
static void
press (uint32_t n_rounds, uint64_t interval_us, uint32_t n_per_round)
{
  for (uint32_t round = 0; round < n_rounds; round++)
    {
      for (uint32_t i = 0; i < n_per_round * N; i++)
        call (i % N, "");
      run (interval_us);
    }
}

static void
test_instances_together_keep_to_the_quota (void **state)
{
  uint64_t begun_us;
  double seconds;
  uint32_t n_served;

  (void)state;
  setup (",\"ratePerS\":20,\"burst\":20", true);
  begun_us = mf_clock_now_us ();
  press (20, 100 * MF_US_PER_MS, 4);
  seconds = (double)(mf_clock_now_us () - begun_us) / 1e6;
  n_served = relay_fixture_n_requests (&fleet.instances[0], 0);
  assert_in_range (n_served, (uint32_t)(20 * seconds * 0.9),
                   (uint32_t)((20 * seconds + 20) * (1. + OVERAGE)) + 1);
  assert_int_equal (count (MF_RELAY_COUNT_QUOTA_DENIED), n_calls - n_served);
  assert_int_equal (n_answered (429, "Retry-After: "), n_calls - n_served);
  assert_int_equal (count (MF_RELAY_COUNT_QUOTA_LOCAL), 0);
  teardown ();
}

/* Customers without a limit must cost no messages. */
static void
test_nothing_is_asked_without_a_limit (void **state)
{
  (void)state;
  setup ("", true);
  for (uint32_t i = 0; i < 40; i++)
    call (i % N, "");
  loop_spin (fleet.loop, 100);
  assert_int_equal (n_answered (200, ""), 40);
  assert_int_equal (count (MF_RELAY_COUNT_QUOTA_ASKED), 0);
  for (uint32_t i = 0; i < N; i++)
    assert_false (ev_is_active (&fleet.instances[i].jobs.quota_timer));
  teardown ();
}

/* Units of requests that no upstream could run must not be lost to the customer: these requests
 * come faster than the rate. */
static void
test_refused_requests_return_their_units (void **state)
{
  (void)state;
  setup (",\"ratePerS\":10,\"burst\":10", false);
  press (6, 700 * MF_US_PER_MS, 2);
  assert_int_equal (n_units (MF_CUSTOMER_UNITS), n_calls);
  assert_int_equal (n_units (MF_CUSTOMER_UNITS_RETURNED), n_calls);
  assert_int_equal (n_answered (503, ""), n_calls);
  teardown ();
}

/* Requests that wait for the reply of an instance that ends must go on, and so must later ones. */
static void
test_requests_go_on_when_the_allocator_is_lost (void **state)
{
  uint32_t gone;
  uint32_t n_asked = 0;
  MfPeers *peers;

  (void)state;
  setup (",\"ratePerS\":400,\"burst\":400", true);
  gone = allocator_index ();
  for (uint32_t i = 0; i < N; i++)
    {
      if (i != gone)
        call (i, "");
    }
  for (uint32_t i = 0; i < 1000 && n_asked == 0; i++)
    {
      ev_run (fleet.loop, EVRUN_ONCE);
      n_asked = (uint32_t)count (MF_RELAY_COUNT_QUOTA_ASKED);
    }
  assert_true (n_asked > 0);
  peers = fleet.instances[gone].jobs.peers;
  fleet.instances[gone].jobs.peers = NULL;
  mf_peers_free (peers);
  loop_spin (fleet.loop, 200);
  for (uint32_t i = 0; i < N; i++)
    {
      if (i != gone)
        call (i, "");
    }
  assert_int_equal (n_answered (200, ""), n_calls);
  assert_true (count (MF_RELAY_COUNT_QUOTA_LOCAL) > 0);
  assert_true (count (MF_RELAY_COUNT_QUOTA_GRANTED) > 0);
  assert_int_not_equal (allocator_index (), gone);
  teardown ();
}

/* A quota in tokens counts the two numbers of the request, or the configured number. */
static void
test_units_of_a_request (void **state)
{
  (void)state;
  setup (",\"unit\":\"token_stream\",\"plainTokens\":200,\"ratePerS\":10000,\"burst\":10000", true);
  call (0, "X-Token-Count: 5200,69\r\n");
  call (1, "");
  loop_spin (fleet.loop, 100);
  assert_int_equal (n_answered (200, ""), 2);
  assert_int_equal (n_units (MF_CUSTOMER_UNITS), 5269 + 200);
  teardown ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_instances_together_keep_to_the_quota),
    cmocka_unit_test (test_nothing_is_asked_without_a_limit),
    cmocka_unit_test (test_refused_requests_return_their_units),
    cmocka_unit_test (test_requests_go_on_when_the_allocator_is_lost),
    cmocka_unit_test (test_units_of_a_request),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
