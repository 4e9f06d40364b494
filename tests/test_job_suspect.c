#include "libmangofork/clock.h"

#include "loop_pump.h"
#include "soak/soak_upstream.h"
#include "town_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define DOOR_PORT 21821
#define PEER_PORT 21831
#define N_UPSTREAMS 9
#define DOWN_S 0.1
#define GRACE_US (100 * MF_US_PER_MS)
#define N_TRIES 20
#define CRASHER_HOST 0x7f000002
#define INNOCENT_HOST 0x7f000003
/* Of what it may send later than the grace after the third crash. */
#define LATE_SENDS_MAX 3

/* A fleet before upstreams that crash under some requests, and come back under new ids. */
typedef struct
{
  TownFleet fleet;
  SoakLedger *ledger;
  SoakUpstream *upstreams[N_UPSTREAMS];
  uint32_t lives[N_UPSTREAMS];
  uint32_t n_calls;
  char got[2048];
} Ground;

static const MfRole roles[N_UPSTREAMS]
    = { MF_ROLE_PLAIN,  MF_ROLE_PLAIN,  MF_ROLE_PLAIN,  MF_ROLE_PREFILL, MF_ROLE_PREFILL,
        MF_ROLE_DECODE, MF_ROLE_DECODE, MF_ROLE_DECODE, MF_ROLE_DECODE };

static void
id_write (const Ground *ground, uint32_t index, char *id, size_t id_bytes)
{
  snprintf (id, id_bytes, "u%u-%u", index, ground->lives[index]);
}

static void
instance_learns (Ground *ground, uint32_t instance, uint32_t index)
{
  char id[MF_TARGET_ID_BYTES];

  id_write (ground, index, id, sizeof id);
  town_know (&ground->fleet.towns[instance], id, roles[index],
             soak_upstream_address (ground->upstreams[index]));
}

/* An upstream that is back has a new id, and all instances are told. */
static void
on_down (void *data, SoakUpstream *upstream, bool down)
{
  Ground *ground = data;
  uint32_t index = 0;
  char id[MF_TARGET_ID_BYTES];

  if (down)
    return;
  while (ground->upstreams[index] != upstream)
    index++;
  id_write (ground, index, id, sizeof id);
  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    mf_targets_remove (&ground->fleet.towns[i].jobs.targets, id, true, mf_clock_now_us ());
  ground->lives[index]++;
  id_write (ground, index, id, sizeof id);
  soak_upstream_restart (upstream, id);
  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    instance_learns (ground, i, index);
}

static void
ground_begin (Ground *ground)
{
  memset (ground, 0, sizeof *ground);
  town_fleet_begin (&ground->fleet, DOOR_PORT, PEER_PORT);
  ground->ledger = soak_ledger_new ();
  soak_ledger_set_grace (ground->ledger, GRACE_US);
  for (uint32_t index = 0; index < N_UPSTREAMS; index++)
    {
      char id[MF_TARGET_ID_BYTES];

      id_write (ground, index, id, sizeof id);
      ground->upstreams[index]
          = soak_upstream_new (ground->fleet.loop, ground->ledger, roles[index], id, index);
      soak_upstream_crashes (ground->upstreams[index], DOWN_S, on_down, ground);
      for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
        instance_learns (ground, i, index);
    }
  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    ground->fleet.towns[i].jobs.budget_slack = 1000;
}

static void
ground_end (Ground *ground)
{
  for (uint32_t index = 0; index < N_UPSTREAMS; index++)
    soak_upstream_free (ground->upstreams[index]);
  soak_ledger_free (ground->ledger);
  town_fleet_end (&ground->fleet);
}

static int
call_begin (Ground *ground, uint32_t instance, uint32_t host, const char *path, const char *body)
{
  char text[512];
  int fd = loop_connect_from (host, ground->fleet.towns[instance].port);

  assert_true (fd >= 0);
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t%u\r\nX-Deadline-Ms: 600\r\n"
            "X-Token-Count: 100,40\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n%s",
            path, ++ground->n_calls, strlen (body), body);
  loop_send (fd, text, strlen (text));
  return fd;
}

/* The status of the answer; 0 when there is none. */
static uint32_t
call_end (Ground *ground, int fd)
{
  uint32_t status = 0;

  loop_receive (ground->fleet.loop, fd, NULL, ground->got, sizeof ground->got);
  close (fd);
  return sscanf (ground->got, "HTTP/1.1 %u", &status) == 1 ? status : 0;
}

static uint32_t
call (Ground *ground, uint32_t instance, uint32_t host, const char *path, const char *body)
{
  return call_end (ground, call_begin (ground, instance, host, path, body));
}

/* Sends a request of one caller that crashes upstreams to one instance after the other, and
 * another caller's to each beside it. Returns how many of the latter were answered. */
static uint32_t
n_served_beside_crasher (Ground *ground, const char *path)
{
  uint32_t n_served = 0;

  for (uint32_t i = 0; i < N_TRIES; i++)
    {
      char body[16];
      int crasher = call_begin (ground, i % TOWN_FLEET_N, CRASHER_HOST, path, SOAK_CRASH "0");

      snprintf (body, sizeof body, "item %u", i);
      n_served += call (ground, (i + 1) % TOWN_FLEET_N, INNOCENT_HOST, path, body) == 200;
      call_end (ground, crasher);
      loop_spin (ground->fleet.loop, 30);
    }
  return n_served;
}

static void
test_request_that_crashed_three_upstreams_is_sent_no_more (void **state)
{
  static const char *const paths[] = { "/order/1", "/read/1", "/llm/1", "/once/1" };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (paths); i++)
    {
      Ground ground;
      uint32_t n_served;

      ground_begin (&ground);
      n_served = n_served_beside_crasher (&ground, paths[i]);
      assert_in_range (soak_ledger_crasher (ground.ledger, 0).n_late, 0, LATE_SENDS_MAX);
      assert_in_range (soak_ledger_crasher (ground.ledger, 0).n_crashes, 1, 3);
      assert_in_range (n_served, N_TRIES * 9 / 10, N_TRIES);
      ground_end (&ground);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_request_that_crashed_three_upstreams_is_sent_no_more),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
