#include "relay_fleet.h"

#include "libmangofork/clock.h"

#include "fakes/ports.h"
#include "loop_pump.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static bool
all_connected (void *data)
{
  const RelayFleet *fleet = data;

  for (uint32_t i = 0; i < RELAY_FLEET_N_INSTANCES; i++)
    {
      if (mf_peers_n_alive (fleet->instances[i].jobs.peers, mf_clock_now_us ())
          != RELAY_FLEET_N_INSTANCES)
        return false;
    }
  return true;
}

static void
instance_start (RelayFleet *fleet, uint32_t index)
{
  RelayFixture *fixture = &fleet->instances[index];
  char address[MF_ADDRESS_BYTES];
  char seed[MF_ADDRESS_BYTES];
  MfError error = { 0 };

  relay_fixture_setup (fixture, fleet->loop);
  snprintf (address, sizeof address, "127.0.0.1:%u", fleet->peer_ports[index]);
  snprintf (seed, sizeof seed, "127.0.0.1:%u,127.0.0.1:%u", fleet->peer_ports[0],
            fleet->peer_ports[1]);
  fixture->jobs.peers = mf_peers_new (fleet->loop, address, &mf_jobs_peers_callbacks,
                                      &fixture->jobs, fixture->log, &error);
  assert_non_null (fixture->jobs.peers);
  mf_peers_add_seeds (fixture->jobs.peers, seed);
}

static void
instance_free_peers (RelayFleet *fleet, uint32_t index)
{
  MfPeers *peers = fleet->instances[index].jobs.peers;

  fleet->instances[index].jobs.peers = NULL;
  mf_peers_free (peers);
}

void
relay_fleet_wait_connected (RelayFleet *fleet)
{
  assert_true (loop_pump (fleet->loop, all_connected, fleet));
}

void
relay_fleet_setup (RelayFleet *fleet)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->loop = ev_loop_new (0);
  for (uint32_t i = 0; i < RELAY_FLEET_N_INSTANCES; i++)
    fleet->peer_ports[i] = fake_ports_reserve ();
  for (uint32_t i = 0; i < RELAY_FLEET_N_INSTANCES; i++)
    instance_start (fleet, i);
  relay_fleet_wait_connected (fleet);
}

void
relay_fleet_teardown (RelayFleet *fleet)
{
  for (uint32_t i = RELAY_FLEET_N_INSTANCES; i-- > 0;)
    instance_free_peers (fleet, i);
  for (uint32_t i = RELAY_FLEET_N_INSTANCES; i-- > 0;)
    relay_fixture_teardown (&fleet->instances[i]);
  ev_loop_destroy (fleet->loop);
}

void
relay_fleet_restart (RelayFleet *fleet, uint32_t index)
{
  instance_free_peers (fleet, index);
  relay_fixture_teardown (&fleet->instances[index]);
  loop_spin (fleet->loop, 20);
  instance_start (fleet, index);
}

void
relay_fleet_add_engines (RelayFleet *fleet, uint32_t n_engines, RelayFixtureHandler handler)
{
  for (uint32_t engine = 0; engine < n_engines; engine++)
    {
      char id[16];

      relay_fixture_add_upstream (&fleet->instances[0], engine, MF_ROLE_DECODE, handler);
      snprintf (id, sizeof id, "u%u", engine);
      for (uint32_t i = 1; i < RELAY_FLEET_N_INSTANCES; i++)
        relay_fixture_list_upstream (
            &fleet->instances[i], id, MF_ROLE_DECODE,
            fake_upstream_address (fleet->instances[0].upstreams[engine].server));
    }
}
