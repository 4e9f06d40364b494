#include "libmangofork/relay/job_row.h"

#include "libmangofork/clock.h"
#include "platform/platform.h"

#include "fakes/offline.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define WINDOW_US (10 * MF_US_PER_S)
#define SLACK 12
#define PEER 1
/* Sends of one retry, and retries that the pool of three instances has for the slack. */
#define N_SENDS 2
#define N_RETRIES 3

typedef struct
{
  struct ev_loop *loop;
  int log_fd;
  MfRelayLog *log;
  MfJobs jobs;
  MfPeers peers;
} Fixture;

static const char config[]
    = "{\"version\":1,\"limits\":{},\"routes\":[{\"name\":\"llm\",\"host\":\"h\","
      "\"pathPrefix\":\"/\",\"kind\":\"streaming\",\"timeoutMs\":3000,\"targetLatencyMs\":100,"
      "\"service\":\"engines\",\"maxAttempts\":3,\"resumable\":true}],\"services\":[{\"name\":"
      "\"engines\",\"engine\":{\"slots\":2,\"kvCapacityTokens\":1000}}]}";

/* Lets time pass with the ticks of a leader. */
static void
run (Fixture *fixture, uint64_t for_us)
{
  for (uint64_t us = 0; us < for_us; us += 100 * MF_US_PER_MS)
    {
      offline_advance (100 * MF_US_PER_MS);
      mf_jobs_tick_leadership (&fixture->jobs, mf_clock_now_us (), mf_clock_boottime_us ());
    }
}

/* An instance that has led the service for longer than the window of the budget. */
static void
setup (Fixture *fixture)
{
  MfError error = { 0 };
  MfRoutes *routes;

  memset (fixture, 0, sizeof *fixture);
  offline_begin ();
  fixture->loop = ev_loop_new (0);
  fixture->log_fd = open ("/dev/null", O_WRONLY);
  fixture->log = mf_relay_log_new (fixture->loop, "t", fixture->log_fd, &error);
  assert_non_null (fixture->log);
  mf_jobs_init (&fixture->jobs, fixture->loop, &platform_dialect, fixture->log);
  fixture->jobs.budget_window_us = WINDOW_US;
  fixture->jobs.budget_slack = SLACK;
  fixture->jobs.peers = &fixture->peers;
  routes = platform_decode_config (config, strlen (config), &error);
  assert_non_null (routes);
  mf_jobs_configure (&fixture->jobs, routes);
  run (fixture, WINDOW_US + MF_US_PER_S);
}

static void
teardown (Fixture *fixture)
{
  mf_jobs_clear (&fixture->jobs);
  offline_end ();
  mf_relay_log_free (fixture->log);
  close (fixture->log_fd);
  ev_loop_destroy (fixture->loop);
}

static void
receive (Fixture *fixture, MfRelayMessageKind kind, const MfRetryRequest *retry)
{
  static MfRelayMessage message;

  message = (MfRelayMessage){ .kind = kind, .retry = *retry };
  mf_jobs_peers_callbacks.message (&fixture->jobs, PEER, &message);
}

/* Another instance requests a retry. Returns whether it is granted. */
static bool
request (Fixture *fixture)
{
  fixture->peers.retry = (MfRetryRequest){ 0 };
  receive (fixture, MF_RELAY_MESSAGE_RETRY,
           &(MfRetryRequest){ .id = 7, .service = "engines", .n_sends = N_SENDS });
  return fixture->peers.retry.allowed;
}

/* The reply of a leader that stood still came when its request had ended or gone on, and what it
 * had granted was lost to all instances for the length of the window. */
static void
test_late_grant_of_a_retry_is_returned_once (void **state)
{
  Fixture fixture;
  MfRetryRequest grant = { .id = 99, .service = "engines", .n_sends = N_SENDS, .allowed = true };

  (void)state;
  setup (&fixture);
  grant.granted_us = 12345;
  receive (&fixture, MF_RELAY_MESSAGE_RETRY_REPLY, &grant);
  assert_int_equal (fixture.peers.n_returned, 1);
  assert_string_equal (fixture.peers.retry.service, "engines");
  assert_int_equal (fixture.peers.retry.n_sends, N_SENDS);
  assert_int_equal (fixture.peers.retry.granted_us, 12345);
  /* A denial, and the reply of an older release, which does not say what it grants. */
  grant.allowed = false;
  receive (&fixture, MF_RELAY_MESSAGE_RETRY_REPLY, &grant);
  receive (&fixture, MF_RELAY_MESSAGE_RETRY_REPLY, &(MfRetryRequest){ .id = 99, .allowed = true });
  assert_int_equal (fixture.peers.n_returned, 1);
  teardown (&fixture);
}

static void
test_returned_retry_can_be_granted_again (void **state)
{
  Fixture fixture;
  MfRetryRequest grant;

  (void)state;
  setup (&fixture);
  for (uint32_t i = 0; i < N_RETRIES; i++)
    assert_true (request (&fixture));
  grant = fixture.peers.retry;
  assert_false (request (&fixture));
  run (&fixture, 2 * MF_US_PER_S);
  receive (&fixture, MF_RELAY_MESSAGE_RETRY_RETURN, &grant);
  assert_true (request (&fixture));
  assert_false (request (&fixture));
  teardown (&fixture);
}

/* What an earlier leadership granted, or what the window has passed, is not in the pool. */
static void
test_old_grants_add_nothing_to_the_pool (void **state)
{
  Fixture fixture;
  MfRetryRequest grant;

  (void)state;
  setup (&fixture);
  assert_true (request (&fixture));
  grant = fixture.peers.retry;
  run (&fixture, WINDOW_US + MF_US_PER_S);
  for (uint32_t i = 0; i < N_RETRIES; i++)
    assert_true (request (&fixture));
  receive (&fixture, MF_RELAY_MESSAGE_RETRY_RETURN, &grant);
  assert_false (request (&fixture));
  grant = (MfRetryRequest){ .service = "engines", .n_sends = N_SENDS, .granted_us = 1 };
  receive (&fixture, MF_RELAY_MESSAGE_RETRY_RETURN, &grant);
  assert_false (request (&fixture));
  grant.service[0] = 'x';
  receive (&fixture, MF_RELAY_MESSAGE_RETRY_RETURN, &grant);
  teardown (&fixture);
}

static void
test_grant_that_cannot_be_sent_is_taken_back (void **state)
{
  Fixture fixture;

  (void)state;
  setup (&fixture);
  fixture.peers.is_cut = true;
  for (uint32_t i = 0; i < 10; i++)
    request (&fixture);
  fixture.peers.is_cut = false;
  for (uint32_t i = 0; i < N_RETRIES; i++)
    assert_true (request (&fixture));
  assert_false (request (&fixture));
  teardown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_late_grant_of_a_retry_is_returned_once),
    cmocka_unit_test (test_returned_retry_can_be_granted_again),
    cmocka_unit_test (test_old_grants_add_nothing_to_the_pool),
    cmocka_unit_test (test_grant_that_cannot_be_sent_is_taken_back),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
