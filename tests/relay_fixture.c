#include "relay_fixture.h"

#include "platform/platform.h"

#include "fakes/ports.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

static void
on_request (FakeUpstreamConn *conn, const char *text, void *data)
{
  RelayFixtureUpstream *upstream = data;
  char id[64] = "";

  fake_upstream_request_header (text, "X-Attempt-Id", id, sizeof id);
  upstream->handler (conn, text, id);
}

static MfRoutes *
make_routes (void)
{
  static const char text[]
      = "{\"version\":1,\"routes\":["
        "{\"name\":\"read\",\"host\":\"h\",\"pathPrefix\":\"/read/\",\"kind\":\"idempotent\","
        "\"timeoutMs\":600,\"targetLatencyMs\":100,\"service\":\"shop\",\"maxAttempts\":2},"
        "{\"name\":\"order\",\"host\":\"h\",\"pathPrefix\":\"/order/\",\"kind\":\"non_idempotent\","
        "\"timeoutMs\":600,\"targetLatencyMs\":100,\"service\":\"shop\",\"maxAttempts\":1},"
        "{\"name\":\"llm\",\"host\":\"h\",\"pathPrefix\":\"/llm/\",\"kind\":\"streaming\","
        "\"timeoutMs\":3000,\"targetLatencyMs\":300,\"targetGapMs\":100,\"service\":\"engines\","
        "\"maxAttempts\":2,\"resumable\":true},"
        "{\"name\":\"once\",\"host\":\"h\",\"pathPrefix\":\"/once/\",\"kind\":\"streaming\","
        "\"timeoutMs\":600,\"targetLatencyMs\":300,\"targetGapMs\":100,\"service\":\"engines\","
        "\"maxAttempts\":1},"
        "{\"name\":\"buy\",\"host\":\"h\",\"pathPrefix\":\"/buy/\",\"kind\":\"non_idempotent\","
        "\"timeoutMs\":3000,\"targetLatencyMs\":300,\"service\":\"engines\",\"maxAttempts\":1},"
        "{\"name\":\"ask\",\"host\":\"h\",\"pathPrefix\":\"/ask/\",\"kind\":\"idempotent\","
        "\"timeoutMs\":3000,\"targetLatencyMs\":900,\"service\":\"engines\",\"maxAttempts\":2}],"
        "\"services\":[{\"name\":\"shop\"},{\"name\":\"engines\",\"engine\":{"
        "\"slots\":4,\"kvCapacityTokens\":100000,\"kvRetentionS\":0.5,\"roleSwitchS\":6,\"stride\":"
        "10}}],"
        "\"limits\":{}}";
  MfError error = { 0 };
  MfRoutes *routes = platform_decode_config (text, strlen (text), &error);

  assert_non_null (routes);
  return routes;
}

static uint16_t last_port;

uint16_t
relay_fixture_port (void)
{
  return last_port;
}

void
relay_fixture_setup (RelayFixture *fixture, struct ev_loop *loop)
{
  char address[MF_ADDRESS_BYTES];
  MfError error = { 0 };

  memset (fixture, 0, sizeof *fixture);
  fixture->loop = loop;
  fixture->port = last_port = fake_ports_reserve ();
  snprintf (address, sizeof address, "127.0.0.1:%u", fixture->port);
  fixture->log_fd = open ("/dev/null", O_WRONLY);
  fixture->log = mf_relay_log_new (fixture->loop, "t", fixture->log_fd, &error);
  assert_non_null (fixture->log);
  mf_jobs_init (&fixture->jobs, fixture->loop, &platform_dialect, fixture->log);
  fixture->jobs.budget_window_us = 10 * MF_US_PER_S;
  fixture->jobs.budget_ratio = 0.2;
  fixture->jobs.budget_slack = 2;
  /* Makes the uptime exceed the budget's window. */
  fixture->jobs.started_us = 0;
  /* All upstreams that there ever were are known. */
  fixture->jobs.targets.versions.complete_since_us = 0;
  fixture->jobs.upstreams_as_of_us = UINT64_MAX / 2;
  mf_jobs_configure (&fixture->jobs, make_routes ());
  fixture->listener = mf_listener_new (fixture->loop, address, &platform_dialect,
                                       &mf_job_listener_callbacks, &fixture->jobs, &error);
  assert_non_null (fixture->listener);
  mf_listener_set_limits (fixture->listener, &(MfListenerLimits){
                                                 .header_bytes_max = 16384,
                                                 .body_bytes_max = 65536,
                                                 .header_timeout_us = MF_US_PER_S,
                                                 .idle_timeout_us = 5 * MF_US_PER_S,
                                                 .callers_max = 100,
                                             });
}

void
relay_fixture_teardown (RelayFixture *fixture)
{
  mf_listener_free (fixture->listener);
  mf_jobs_clear (&fixture->jobs);
  for (uint32_t i = 0; i < RELAY_FIXTURE_N_UPSTREAMS; i++)
    {
      if (fixture->upstreams[i].server != NULL)
        fake_upstream_free (fixture->upstreams[i].server);
    }
  mf_relay_log_free (fixture->log);
  close (fixture->log_fd);
}

static uint64_t started_ms = RELAY_FIXTURE_STARTED_LAST_MS;

void
relay_fixture_set_started (uint64_t ms)
{
  started_ms = ms;
}

static void
list_target (RelayFixture *fixture, const char *id, MfRole role, const char *address,
             const char *data_centre, const char *version)
{
  MfTargetInfo info = { .role = role, .slots = 4, .started_ms = started_ms };

  mf_name_set (info.id, sizeof info.id, id);
  mf_name_set (info.service, sizeof info.service, role == MF_ROLE_PLAIN ? "shop" : "engines");
  mf_name_set (info.address, sizeof info.address, address);
  mf_name_set (info.data_centre, sizeof info.data_centre, data_centre);
  mf_name_set (info.version, sizeof info.version, version);
  mf_targets_update (&fixture->jobs.targets, &info);
}

void
relay_fixture_add_upstream (RelayFixture *fixture, uint32_t index, MfRole role,
                            RelayFixtureHandler handler)
{
  RelayFixtureUpstream *upstream = &fixture->upstreams[index];
  char id[MF_TARGET_ID_BYTES];

  *upstream
      = (RelayFixtureUpstream){ .server = fake_upstream_new (fixture->loop, on_request, upstream),
                                .handler = handler };
  snprintf (id, sizeof id, "u%u", index);
  list_target (fixture, id, role, fake_upstream_address (upstream->server),
               index == 0 || index == 2 ? "" : "far", "");
}

void
relay_fixture_list_upstream (RelayFixture *fixture, const char *id, MfRole role,
                             const char *address)
{
  list_target (fixture, id, role, address, "", "");
}

void
relay_fixture_list_version (RelayFixture *fixture, const char *id, MfRole role, const char *address,
                            const char *version)
{
  list_target (fixture, id, role, address, "", version);
}

uint32_t
relay_fixture_n_requests (const RelayFixture *fixture, uint32_t index)
{
  return fake_upstream_n_requests (fixture->upstreams[index].server);
}

void
relay_fixture_answer (FakeUpstreamConn *conn, const char *id, const char *status,
                      const char *headers, const char *body)
{
  char text[2048];

  snprintf (text, sizeof text, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %zu\r\n\r\n%s",
            status, id, headers, strlen (body), body);
  fake_upstream_conn_send (conn, text);
}

void
relay_fixture_decline (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  relay_fixture_answer (conn, id, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
}

void
relay_fixture_prefill (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char stage[16] = "";

  if (strncmp (text, "DELETE ", 7) == 0)
    {
      relay_fixture_answer (conn, id, "200 OK", "", "");
      return;
    }
  assert_true (fake_upstream_request_header (text, "X-Stage", stage, sizeof stage));
  assert_string_equal (stage, "prefill");
  relay_fixture_answer (conn, id, "200 OK", "",
                        "{\"kvHandle\":\"h1\",\"tokens\":10,\"version\":1}");
}

/* Breaks the connection inside the second event. */
void
relay_fixture_stream_breaks (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn,
                           RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n6\r\nid: 2\n\r\n");
  fake_upstream_conn_close (conn, true);
}

void
relay_fixture_stream_hangs (FakeUpstreamConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_upstream_conn_send (conn, RELAY_FIXTURE_STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n");
}
