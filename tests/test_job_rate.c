#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "relay_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define LISTEN_PORT 21671
#define PEER_PORT 21681
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

/* A fleet whose first upstream names a limit, and its callers. */
typedef struct
{
  RelayFleet fleet;
  int calls[CALLS_MAX];
  uint32_t n_calls;
} RateFixture;

/* Adds a plain upstream of the first instance at all instances. */
static void
add_upstream (RateFixture *fixture, uint32_t index, RelayFixtureHandler handler)
{
  RelayFixture *first = &fixture->fleet.instances[0];
  char id[16];

  relay_fixture_add_upstream (first, index, MF_ROLE_PLAIN, handler);
  snprintf (id, sizeof id, "u%u", index);
  for (uint32_t i = 1; i < RELAY_FLEET_N_INSTANCES; i++)
    relay_fixture_list_upstream (&fixture->fleet.instances[i], id, MF_ROLE_PLAIN,
                                 fake_upstream_address (first->upstreams[index].server));
}

static void
rate_fixture_setup (RateFixture *fixture, uint32_t n_unlimited)
{
  memset (fixture, 0, sizeof *fixture);
  relay_fleet_setup (&fixture->fleet, LISTEN_PORT, PEER_PORT);
  add_upstream (fixture, 0, answer_limited);
  for (uint32_t i = 1; i <= n_unlimited; i++)
    add_upstream (fixture, i, answer_plain);
}

static void
rate_fixture_teardown (RateFixture *fixture)
{
  for (uint32_t i = 0; i < fixture->n_calls; i++)
    close (fixture->calls[i]);
  relay_fleet_teardown (&fixture->fleet);
}

static void
call (RateFixture *fixture, uint32_t instance)
{
  char text[256];
  int fd = loop_connect (fixture->fleet.instances[instance].port);

  assert_true (fd >= 0 && fixture->n_calls < CALLS_MAX);
  snprintf (text, sizeof text,
            "POST /order/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t%u\r\nX-Deadline-Ms: 600\r\n"
            "Content-Length: 0\r\n\r\n",
            fixture->n_calls);
  loop_send (fd, text, strlen (text));
  fixture->calls[fixture->n_calls++] = fd;
}

/* Lets all instances get requests for a while, n_per_round at a time at each. */
static void
press (RateFixture *fixture, uint64_t for_us, uint32_t n_per_round)
{
  uint64_t until_us = mf_clock_now_us () + for_us;

  while (mf_clock_now_us () < until_us)
    {
      for (uint32_t i = 0; i < RELAY_FLEET_N_INSTANCES * n_per_round; i++)
        call (fixture, i % RELAY_FLEET_N_INSTANCES);
      loop_spin (fixture->fleet.loop, 100);
    }
}

/* Number of calls that have been answered with this status. */
static uint32_t
n_with_status (RateFixture *fixture, uint32_t status)
{
  uint32_t n_found = 0;

  for (uint32_t i = 0; i < fixture->n_calls; i++)
    {
      char text[2048] = "";
      uint32_t found = 0;

      loop_receive (fixture->fleet.loop, fixture->calls[i], "\r\n\r\n", text, sizeof text);
      n_found += sscanf (text, "HTTP/1.1 %u", &found) == 1 && found == status;
    }
  return n_found;
}

static uint32_t
n_arrivals (const RateFixture *fixture)
{
  return relay_fixture_n_requests (&fixture->fleet.instances[0], 0);
}

static void
test_instances_together_keep_to_the_limit_of_an_upstream (void **state)
{
  RateFixture fixture;
  uint32_t n_before;

  (void)state;
  named_limit = "4.0";
  rate_fixture_setup (&fixture, 1);
  press (&fixture, TOLD_US, 1);
  n_before = n_arrivals (&fixture);
  press (&fixture, BURST_US, 2);
  assert_in_range (n_arrivals (&fixture) - n_before, 1, ALLOWED);
  assert_int_equal (n_with_status (&fixture, 200), fixture.n_calls);
  rate_fixture_teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_instances_together_keep_to_the_limit_of_an_upstream),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
