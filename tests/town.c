#include "town.h"

#include "platform/platform.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

static void
on_request (FakeWireConn *conn, const char *text, void *data)
{
  TownUpstream *upstream = data;
  char id[64] = "";

  fake_wire_header (text, "X-Attempt-Id", id, sizeof id);
  upstream->act (conn, text, id);
}

static MfRoutes *
routes_make (void)
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
        "\"maxAttempts\":1}],\"services\":[{\"name\":\"shop\"},{\"name\":\"engines\",\"engine\":{"
        "\"slots\":4,\"kvCapacityTokens\":100000,\"kvRetentionS\":0.5,\"roleSwitchS\":6,\"stride\":"
        "10}}],"
        "\"limits\":{}}";
  MfError error = { 0 };
  MfRoutes *routes = platform_decode_config (text, strlen (text), &error);

  assert_non_null (routes);
  return routes;
}

void
town_begin (Town *town, struct ev_loop *loop, uint16_t port)
{
  char address[MF_ADDRESS_BYTES];
  MfError error = { 0 };

  memset (town, 0, sizeof *town);
  town->loop = loop;
  town->port = port;
  snprintf (address, sizeof address, "127.0.0.1:%u", port);
  town->lines_fd = open ("/dev/null", O_WRONLY);
  town->lines = mf_lines_new (town->loop, "t", town->lines_fd, &error);
  assert_non_null (town->lines);
  mf_jobs_init (&town->jobs, town->loop, &platform_dialect, town->lines);
  town->jobs.budget_window_us = 10 * MF_US_PER_S;
  town->jobs.budget_ratio = 0.2;
  town->jobs.budget_slack = 2;
  /* It has run for longer than the window. */
  town->jobs.began_us = 0;
  mf_jobs_configure (&town->jobs, routes_make ());
  town->door = mf_door_new (town->loop, address, &platform_dialect, &mf_job_door_user, &town->jobs,
                            &error);
  assert_non_null (town->door);
  mf_door_limit (town->door, &(MfDoorLimits){
                                 .header_bytes_max = 16384,
                                 .body_bytes_max = 65536,
                                 .header_timeout_us = MF_US_PER_S,
                                 .idle_timeout_us = 5 * MF_US_PER_S,
                                 .callers_max = 100,
                             });
}

void
town_end (Town *town)
{
  mf_door_free (town->door);
  mf_jobs_clear (&town->jobs);
  for (uint32_t i = 0; i < TOWN_N_UPSTREAMS; i++)
    {
      if (town->upstreams[i].wire != NULL)
        fake_wire_free (town->upstreams[i].wire);
    }
  mf_lines_free (town->lines);
  close (town->lines_fd);
}

static void
target_put (Town *town, const char *id, MfRole role, const char *address, const char *data_centre)
{
  MfTargetInfo info = { .role = role, .slots = 4, .started_ms = 1 };

  mf_name_set (info.id, sizeof info.id, id);
  mf_name_set (info.service, sizeof info.service, role == MF_ROLE_PLAIN ? "shop" : "engines");
  mf_name_set (info.address, sizeof info.address, address);
  mf_name_set (info.data_centre, sizeof info.data_centre, data_centre);
  mf_targets_update (&town->jobs.targets, &info);
}

void
town_add (Town *town, uint32_t index, MfRole role, TownAct act)
{
  TownUpstream *upstream = &town->upstreams[index];
  char id[MF_TARGET_ID_BYTES];

  *upstream
      = (TownUpstream){ .wire = fake_wire_new (town->loop, on_request, upstream), .act = act };
  snprintf (id, sizeof id, "u%u", index);
  target_put (town, id, role, fake_wire_address (upstream->wire),
              index == 0 || index == 2 ? "" : "far");
}

void
town_know (Town *town, const char *id, MfRole role, const char *address)
{
  target_put (town, id, role, address, "");
}

uint32_t
town_n_requests (const Town *town, uint32_t index)
{
  return fake_wire_n_requests (town->upstreams[index].wire);
}

void
town_answer (FakeWireConn *conn, const char *id, const char *status, const char *headers,
             const char *body)
{
  char text[2048];

  snprintf (text, sizeof text, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %zu\r\n\r\n%s",
            status, id, headers, strlen (body), body);
  fake_wire_send (conn, text);
}

void
town_decline (FakeWireConn *conn, const char *text, const char *id)
{
  (void)text;
  town_answer (conn, id, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
}

void
town_prefill (FakeWireConn *conn, const char *text, const char *id)
{
  char stage[16] = "";

  if (strncmp (text, "DELETE ", 7) == 0)
    {
      town_answer (conn, id, "200 OK", "", "");
      return;
    }
  assert_true (fake_wire_header (text, "X-Stage", stage, sizeof stage));
  assert_string_equal (stage, "prefill");
  town_answer (conn, id, "200 OK", "", "{\"kvHandle\":\"h1\",\"tokens\":10,\"version\":1}");
}

/* Breaks off within the second event. */
void
town_stream_breaks (FakeWireConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_wire_send (conn, TOWN_STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n6\r\nid: 2\n\r\n");
  fake_wire_close (conn, true);
}

void
town_stream_hangs (FakeWireConn *conn, const char *text, const char *id)
{
  (void)text;
  (void)id;
  fake_wire_send (conn, TOWN_STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n");
}
