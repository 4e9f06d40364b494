#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "relay_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define LISTEN_PORT 21831
#define PEER_PORT 21841
#define OLD 0
#define NEW 1
#define OTHER_OLD 2

/* Sends event 1 of its version and breaks off. */
static void
begin_and_break (FakeUpstreamConn *conn, const char *text, const char *id)
{
  char head[256];

  (void)text;
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n" RELAY_FIXTURE_SEAL
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            id);
  fake_upstream_conn_send (conn, head);
  fake_upstream_conn_send (conn, "f\r\nid: 1\ndata: o\n\n\r\n");
  fake_upstream_conn_close (conn, true);
}

/* Sends the rest after event 1, or both events. */
static void
answer_version (FakeUpstreamConn *conn, const char *text, const char *id, char version)
{
  char bytes[512];
  char last[16] = "";
  bool is_rest = fake_upstream_request_header (text, "Last-Event-Id", last, sizeof last);

  snprintf (bytes, sizeof bytes,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n" RELAY_FIXTURE_SEAL
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            id);
  fake_upstream_conn_send (conn, bytes);
  snprintf (bytes, sizeof bytes, "f\r\nid: 1\ndata: %c\n\n\r\n", version);
  if (!is_rest)
    fake_upstream_conn_send (conn, bytes);
  snprintf (bytes, sizeof bytes, "f\r\nid: 2\ndata: %c\n\n\r\n0\r\n\r\n", version);
  fake_upstream_conn_send (conn, bytes);
}

static void
answer_old (FakeUpstreamConn *conn, const char *text, const char *id)
{
  answer_version (conn, text, id, 'o');
}

static void
answer_new (FakeUpstreamConn *conn, const char *text, const char *id)
{
  answer_version (conn, text, id, 'n');
}

/* Lists an upstream of the first instance at one instance. */
static void
list_engine (RelayFleet *fleet, uint32_t instance, uint32_t engine, const char *version)
{
  char id[16];

  snprintf (id, sizeof id, "u%u", engine);
  relay_fixture_list_version (&fleet->instances[instance], id, MF_ROLE_DECODE,
                              fake_upstream_address (fleet->instances[0].upstreams[engine].server),
                              version);
}

static void
add_engine (RelayFleet *fleet, uint32_t engine, const char *version, RelayFixtureHandler handler)
{
  relay_fixture_add_upstream (&fleet->instances[0], engine, MF_ROLE_DECODE, handler);
  for (uint32_t i = 0; i < RELAY_FLEET_N_INSTANCES; i++)
    list_engine (fleet, i, engine, version);
}

static void
remove_engine (RelayFleet *fleet, uint32_t engine)
{
  char id[16];

  snprintf (id, sizeof id, "u%u", engine);
  for (uint32_t i = 0; i < RELAY_FLEET_N_INSTANCES; i++)
    mf_targets_remove (&fleet->instances[i].jobs.targets, id, true, mf_clock_now_us ());
}

/* Sends a request for a stream and reads its answer. begun_as is the attempt whose stream is taken
 * up after event 1; "": an unnamed one; NULL: a new stream. */
static const char *
call (RelayFleet *fleet, uint32_t instance, const char *id, const char *begun_as)
{
  RelayFixture *fixture = &fleet->instances[instance];
  char resumes[96] = "";
  char text[512];
  int fd = loop_connect (fixture->port);

  assert_true (fd >= 0);
  if (begun_as != NULL)
    snprintf (resumes, sizeof resumes, "Last-Event-Id: 1\r\n%s%s%s",
              begun_as[0] != '\0' ? "Resumes: " : "", begun_as, begun_as[0] != '\0' ? "\r\n" : "");
  snprintf (text, sizeof text,
            "POST /llm/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n%sX-Deadline-Ms: 3000\r\n"
            "X-Token-Count: 100,40\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
            id, resumes);
  loop_send (fd, text, strlen (text));
  loop_receive (fleet->loop, fd, NULL, fixture->received, sizeof fixture->received);
  close (fd);
  return fixture->received;
}

static bool
has_event_of (const char *answer, char version)
{
  char data[16];

  snprintf (data, sizeof data, "data: %c\n", version);
  return strstr (answer, data) != NULL;
}

/* Within one answer a broken stream went on at any upstream. */
static void
test_broken_stream_goes_on_at_the_version_that_began_it (void **state)
{
  RelayFleet fleet;
  const char *answer;
  uint32_t n_begun_old = 0;

  (void)state;
  relay_fleet_setup (&fleet, LISTEN_PORT, PEER_PORT);
  add_engine (&fleet, OLD, "v1", begin_and_break);
  add_engine (&fleet, NEW, "v2", answer_new);
  for (uint32_t i = 0; i < 12; i++)
    {
      answer = call (&fleet, 0, "a1", NULL);
      n_begun_old += has_event_of (answer, 'o');
      assert_false (has_event_of (answer, 'o') && has_event_of (answer, 'n'));
    }
  assert_true (n_begun_old > 0);
  remove_engine (&fleet, NEW);
  add_engine (&fleet, OTHER_OLD, "v1", answer_old);
  for (uint32_t i = 0; i < 12; i++)
    {
      answer = call (&fleet, 0, "a2", NULL);
      assert_non_null (strstr (answer, "id: 2\ndata: o\n"));
    }
  relay_fleet_teardown (&fleet);
}

/* A stream that its caller took up went on at any upstream. */
static void
test_stream_is_taken_up_at_the_version_that_began_it (void **state)
{
  RelayFleet fleet;
  const char *answer;

  (void)state;
  relay_fleet_setup (&fleet, LISTEN_PORT, PEER_PORT);
  add_engine (&fleet, OLD, "v1", begin_and_break);
  answer = call (&fleet, 0, "a1", NULL);
  assert_true (has_event_of (answer, 'o'));
  add_engine (&fleet, NEW, "v2", answer_new);
  remove_engine (&fleet, OLD);
  for (uint32_t i = 0; i < RELAY_FLEET_N_INSTANCES; i++)
    {
      answer = call (&fleet, i, "a2", "a1");
      assert_memory_equal (answer, "HTTP/1.1 503", 12);
    }
  add_engine (&fleet, OTHER_OLD, "v1", answer_old);
  for (uint32_t i = 0; i < RELAY_FLEET_N_INSTANCES; i++)
    {
      answer = call (&fleet, i, "a3", "a1");
      assert_memory_equal (answer, "HTTP/1.1 200", 12);
      assert_true (has_event_of (answer, 'o'));
    }
  assert_int_equal (relay_fixture_n_requests (&fleet.instances[0], NEW), 0);
  relay_fleet_teardown (&fleet);
}

int
main (void)
{
  static const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_broken_stream_goes_on_at_the_version_that_began_it),
    cmocka_unit_test (test_stream_is_taken_up_at_the_version_that_began_it),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
