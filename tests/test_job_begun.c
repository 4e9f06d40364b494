#include "libmangofork/relay/job_row.h"

#include "libmangofork/clock.h"
#include "platform/platform.h"

#include "loop_pump.h"
#include "relay_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

/* What is decided about a stream whose head its caller has: each decision that an instance can make
 * while the stream is moved, broken off or resumed, by the phase that it falls into. */

#define N_UPSTREAMS 3
/* The silence after which a stream of the route is moved, and some reserve. */
#define STALL_US (130 * MF_US_PER_MS)
#define EVENT(id, data) "f\r\nid: " id "\ndata: " data "\n\n\r\n"
#define END "0\r\n\r\n"
#define UNLIMITED "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"]},{\"name\":\"b\"," LIMIT "}],"
#define LIMITED "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"]," LIMIT "}],"
#define MOVED "\"tenants\":[{\"name\":\"b\",\"apiKeys\":[\"k\"]," LIMIT "}],"
#define REMOVED "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"l\"]}],"
#define WIDE "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"],\"ratePerS\":9000,\"burst\":9000}],"
#define LIMIT "\"ratePerS\":1,\"burst\":1"

/* What becomes of the run that has sent event 1. */
typedef enum
{
  PHASE_MOVED,   /* it is silent, and stays so */
  PHASE_STALLED, /* it is silent, and goes on once another engine is sought */
  PHASE_BROKEN,  /* its connection is reset */
  PHASE_RESUMED, /* the same, and the next engine cannot go on with the stream either */
  N_PHASES,
} Phase;

static const char *const phase_names[N_PHASES] = { "moved", "stalled", "broken", "resumed" };

typedef struct
{
  RelayFixture relay;
  Phase phase;
  FakeUpstreamConn *first; /* the run that has sent event 1 */
  uint32_t n_runs;
  uint32_t version; /* of the configuration */
  int caller;
} Fixture;

static Fixture fixture;

static void
configure (const char *customers, const char *path)
{
  char text[2048];
  MfError error = { 0 };
  MfRoutes *routes;

  snprintf (text, sizeof text,
            "{\"version\":%u,%s\"limits\":{},\"routes\":["
            "{\"name\":\"llm\",\"host\":\"h\",\"pathPrefix\":\"%s\",\"kind\":\"streaming\","
            "\"timeoutMs\":3000,\"targetLatencyMs\":100,\"targetGapMs\":20,\"service\":"
            "\"engines\",\"maxAttempts\":4,\"resumable\":true},"
            "{\"name\":\"read\",\"host\":\"h\",\"pathPrefix\":\"/read/\",\"kind\":"
            "\"idempotent\",\"timeoutMs\":600,\"targetLatencyMs\":100,\"service\":\"shop\","
            "\"maxAttempts\":2}],"
            "\"services\":[{\"name\":\"shop\"},{\"name\":\"engines\",\"engine\":{\"slots\":4,"
            "\"kvCapacityTokens\":100000,\"kvRetentionS\":0.5,\"stride\":10}}]}",
            ++fixture.version, customers, path);
  routes = platform_decode_config (text, strlen (text), &error);
  assert_non_null (routes);
  mf_jobs_configure (&fixture.relay.jobs, routes);
}

/* Applies a configuration in which the customer of the stream has a quota that others of its
 * requests have used up for minutes. */
static void
configure_limited (const char *customers)
{
  MfJobs *jobs = &fixture.relay.jobs;
  MfQuotaLimit limit = { .per_s = 1, .burst = 1 };
  const MfCustomerInfo *customer;

  configure (customers, "/llm/");
  customer = mf_customers_get (jobs->routes->customers, 0);
  mf_quotas_ask (
      jobs->quotas, &(MfQuotaAsk){ .key = customer->name_hash, .n_charged = 1000, .limit = limit },
      &limit, &jobs->quota_bounds, (MfQuotaView){ .n_alive = 1, .n_known = 1 }, mf_clock_now_us ());
}

static void
decide_limit (void)
{
  configure_limited (LIMITED);
}

static void
decide_key_moved (void)
{
  configure_limited (MOVED);
}

static void
decide_key_removed (void)
{
  configure (REMOVED, "/llm/");
}

static void
decide_route_dropped (void)
{
  configure (UNLIMITED, "/other/");
}

static void
decide_stop (void)
{
  mf_jobs_shut_down (&fixture.relay.jobs,
                     &(MfShutdown){ .started_us = mf_clock_now_us () - 7900 * MF_US_PER_MS,
                                    .grace_us = 8 * MF_US_PER_S });
}

static void
decide_quarantine (void)
{
  MfJobs *jobs = &fixture.relay.jobs;
  uint64_t now_us = mf_clock_now_us ();

  assert_true (mf_suspects_quarantine (jobs->suspects, jobs->first->digest,
                                       now_us + 10 * MF_US_PER_S, now_us));
}

/* Decides that no engine takes requests any more. */
static void
decide_no_upstream (void)
{
  mf_targets_remove (&fixture.relay.jobs.targets, "u0", true, mf_clock_now_us ());
  mf_targets_remove (&fixture.relay.jobs.targets, "u1", true, mf_clock_now_us ());
  mf_targets_remove (&fixture.relay.jobs.targets, "u2", true, mf_clock_now_us ());
}

static void
decide_no_slot (void)
{
  for (uint32_t i = 0; i < 4; i++)
    {
      mf_target_reserve (mf_targets_find (&fixture.relay.jobs.targets, "u1"), 1);
      mf_target_reserve (mf_targets_find (&fixture.relay.jobs.targets, "u2"), 1);
    }
}

static void
decide_no_retry (void)
{
  /* An instance that has run for less than the window has no allowance. */
  fixture.relay.jobs.started_us = mf_clock_now_us ();
  mf_jobs_service (&fixture.relay.jobs, "engines")->budget.ratio = 0.;
}

/* Decides that the deadline of the stream comes while it waits for another engine. */
static void
decide_deadline (void)
{
  decide_no_slot ();
  fixture.relay.jobs.first->deadline_us = mf_clock_now_us () + 200 * MF_US_PER_MS;
  mf_job_set_timer (fixture.relay.jobs.first);
}

static void
decide_nothing (void)
{
}

/* What the caller gets in the end, besides its one head. */
typedef enum
{
  WHOLE,   /* all events and the end of the stream */
  CUT_OFF, /* event 1, and a connection that is closed without the end of the stream */
} Outcome;

typedef struct
{
  const char *name;
  const char *customers; /* at the arrival of the stream */
  void (*decide) (void);
  Outcome outcomes[N_PHASES];
} Decision;

static const Decision decisions[] = {
  { "nothing", UNLIMITED, decide_nothing, { WHOLE, WHOLE, WHOLE, WHOLE } },
  { "limit set", UNLIMITED, decide_limit, { WHOLE, WHOLE, WHOLE, WHOLE } },
  { "limit lowered", WIDE, decide_limit, { WHOLE, WHOLE, WHOLE, WHOLE } },
  { "customers set", "", decide_limit, { WHOLE, WHOLE, WHOLE, WHOLE } },
  { "key moved", UNLIMITED, decide_key_moved, { WHOLE, WHOLE, WHOLE, WHOLE } },
  { "key removed", UNLIMITED, decide_key_removed, { WHOLE, WHOLE, WHOLE, WHOLE } },
  { "route dropped", UNLIMITED, decide_route_dropped, { WHOLE, WHOLE, WHOLE, WHOLE } },
  { "planned stop", UNLIMITED, decide_stop, { CUT_OFF, WHOLE, WHOLE, WHOLE } },
  { "quarantine", UNLIMITED, decide_quarantine, { CUT_OFF, CUT_OFF, CUT_OFF, CUT_OFF } },
  { "no upstream", UNLIMITED, decide_no_upstream, { CUT_OFF, WHOLE, CUT_OFF, CUT_OFF } },
  { "no slot", UNLIMITED, decide_no_slot, { CUT_OFF, WHOLE, CUT_OFF, CUT_OFF } },
  { "no retry", UNLIMITED, decide_no_retry, { CUT_OFF, WHOLE, CUT_OFF, CUT_OFF } },
  { "deadline", UNLIMITED, decide_deadline, { CUT_OFF, WHOLE, CUT_OFF, CUT_OFF } },
};

static void
on_run (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  if (fixture.n_runs++ == 0)
    {
      relay_fixture_stream_hangs (conn, text, id);
      fixture.first = conn;
    }
  else if (fixture.phase == PHASE_RESUMED && fixture.n_runs == 2)
    relay_fixture_answer (conn, id, "500 Boom", RELAY_FIXTURE_SEAL, "boom");
  else
    fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD EVENT ("2", "b") END);
}

static bool
has_begun (void *data)
{
  (void)data;
  return fixture.first != NULL && fixture.relay.jobs.first != NULL
         && fixture.relay.jobs.first->head_sent;
}

static bool
has_stalled (void)
{
  const MfJob *job = fixture.relay.jobs.first;

  return job == NULL || job->stalled.link != NULL;
}

static void
begin (Phase phase, const char *customers)
{
  memset (&fixture, 0, sizeof fixture);
  relay_fixture_setup (&fixture.relay, ev_loop_new (0));
  fixture.phase = phase;
  fixture.version = 1;
  fixture.relay.jobs.budget_slack = 8;
  fixture.relay.jobs.mean_token_us = 10. * (double)MF_US_PER_MS;
  configure (customers, "/llm/");
}

static void
request (const char *path)
{
  char text[320];

  fixture.caller = loop_connect (relay_fixture_port ());
  assert_true (fixture.caller >= 0);
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\nX-Api-Key: k\r\n"
            "X-Token-Count: 100,40\r\nX-Deadline-Ms: 600\r\nContent-Length: 2\r\n\r\nhi",
            path);
  loop_send (fixture.caller, text, strlen (text));
}

/* Begins a stream of which the caller has got event 1. */
static void
stream_begin (Phase phase, const char *customers)
{
  begin (phase, customers);
  for (uint32_t i = 0; i < N_UPSTREAMS; i++)
    relay_fixture_add_upstream (&fixture.relay, i, MF_ROLE_DECODE, on_run);
  request ("/llm/1");
  assert_true (loop_pump (fixture.relay.loop, has_begun, NULL));
}

static void
end (void)
{
  struct ev_loop *loop = fixture.relay.loop;

  close (fixture.caller);
  relay_fixture_teardown (&fixture.relay);
  ev_loop_destroy (loop);
}

/* Has the run that has sent event 1 do what the phase says. Not every decision lets another engine
 * be sought. */
static void
go_on (void)
{
  if (fixture.phase == PHASE_BROKEN || fixture.phase == PHASE_RESUMED)
    fake_upstream_conn_close (fixture.first, true);
  if (fixture.phase != PHASE_STALLED)
    return;
  for (uint64_t start_us = mf_clock_now_us ();
       !has_stalled () && mf_clock_now_us () < start_us + STALL_US;)
    loop_spin (fixture.relay.loop, 1);
  if (fixture.relay.jobs.first != NULL)
    fake_upstream_conn_send (fixture.first, EVENT ("2", "b") END);
}

static uint32_t
n_found (const char *text, const char *needle)
{
  uint32_t n = 0;

  for (const char *at = strstr (text, needle); at != NULL; at = strstr (at + 1, needle))
    n++;
  return n;
}

/* Returns whether the caller has got what it is to get, and prints what it has got if not. */
static bool
check (const Decision *decision, Outcome outcome)
{
  const char *text = fixture.relay.received;
  bool is_whole;
  bool is_right;

  loop_receive (fixture.relay.loop, fixture.caller, "\r\n" END, fixture.relay.received,
                sizeof fixture.relay.received);
  is_whole = strstr (text, "\r\n\r\n" EVENT ("1", "a") EVENT ("2", "b") END) != NULL;
  is_right = n_found (text, "HTTP/1.1 ") == 1 && n_found (text, "data: a") == 1
             && (is_whole || (strstr (text, "\r\n" END) == NULL && n_found (text, "data: b") == 0))
             && is_whole == (outcome == WHOLE);
  if (!is_right)
    printf ("%s, %s: %s\n", decision->name, phase_names[fixture.phase], text);
  return is_right;
}

/* Streams of a customer that had no quota at their arrival were refused for its new one when they
 * were moved or resumed, and the refusal was written into the stream. */
static void
test_nothing_but_its_rest_follows_the_head_of_a_stream (void **state)
{
  uint32_t n_wrong = 0;

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (decisions); i++)
    {
      for (Phase phase = 0; phase < N_PHASES; phase++)
        {
          stream_begin (phase, decisions[i].customers);
          decisions[i].decide ();
          go_on ();
          n_wrong += !check (&decisions[i], decisions[i].outcomes[phase]);
          end ();
        }
    }
  assert_int_equal (n_wrong, 0);
}

static bool
is_at_upstream (void *data)
{
  (void)data;
  return fixture.n_runs > 0;
}

static void
handle_silent (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)conn;
  (void)text;
  (void)id;
  fixture.n_runs++;
}

static void
handle_good (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  fixture.n_runs++;
  relay_fixture_answer (conn, id, "200 OK", RELAY_FIXTURE_SEAL, "good");
}

/* A request that an upstream was running was refused as one that had not run, when it was to be
 * sent to another one and its customer had a new quota. */
static void
test_request_that_may_run_is_not_refused_for_a_quota (void **state)
{
  (void)state;
  begin (PHASE_MOVED, UNLIMITED);
  relay_fixture_add_upstream (&fixture.relay, 0, MF_ROLE_PLAIN, handle_silent);
  relay_fixture_add_upstream (&fixture.relay, 1, MF_ROLE_PLAIN, handle_good);
  request ("/read/1");
  assert_true (loop_pump (fixture.relay.loop, is_at_upstream, NULL));
  decide_limit ();
  loop_receive (fixture.relay.loop, fixture.caller, "good", fixture.relay.received,
                sizeof fixture.relay.received);
  assert_memory_equal (fixture.relay.received, "HTTP/1.1 200", 12);
  assert_int_equal (fixture.n_runs, 2);
  end ();
}

/* The quota is that of the arrival also for a request that waits for a slot. */
static void
test_quota_is_decided_at_the_arrival (void **state)
{
  MfTarget *target;

  (void)state;
  begin (PHASE_MOVED, UNLIMITED);
  relay_fixture_add_upstream (&fixture.relay, 0, MF_ROLE_DECODE, relay_fixture_stream_hangs);
  target = mf_targets_find (&fixture.relay.jobs.targets, "u0");
  for (uint32_t i = 0; i < 4; i++)
    mf_target_reserve (target, 1);
  request ("/llm/1");
  loop_spin (fixture.relay.loop, 10);
  assert_int_equal (fixture.relay.jobs.n_jobs, 1);
  decide_limit ();
  for (uint32_t i = 0; i < 4; i++)
    mf_target_unreserve (target, 1);
  loop_receive (fixture.relay.loop, fixture.caller, "data: a", fixture.relay.received,
                sizeof fixture.relay.received);
  assert_memory_equal (fixture.relay.received, "HTTP/1.1 200", 12);
  close (fixture.caller);
  request ("/llm/1");
  loop_receive (fixture.relay.loop, fixture.caller, "limit is reached", fixture.relay.received,
                sizeof fixture.relay.received);
  assert_memory_equal (fixture.relay.received, "HTTP/1.1 429", 12);
  end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nothing_but_its_rest_follows_the_head_of_a_stream),
    cmocka_unit_test (test_request_that_may_run_is_not_refused_for_a_quota),
    cmocka_unit_test (test_quota_is_decided_at_the_arrival),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
