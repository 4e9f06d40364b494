#include "town_fleet.h"

#include "libmangofork/clock.h"

#include "loop_pump.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static bool
all_have_heard (void *data)
{
  const TownFleet *fleet = data;

  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    {
      if (mf_peers_n_alive (fleet->towns[i].jobs.peers, mf_clock_now_us ()) != TOWN_FLEET_N)
        return false;
    }
  return true;
}

static void
instance_begin (TownFleet *fleet, uint32_t index)
{
  Town *town = &fleet->towns[index];
  char address[MF_ADDRESS_BYTES];
  char seed[MF_ADDRESS_BYTES];
  MfError error = { 0 };

  town_begin (town, fleet->loop, (uint16_t)(fleet->door_port + index));
  snprintf (address, sizeof address, "127.0.0.1:%u", fleet->peer_port + index);
  snprintf (seed, sizeof seed, "127.0.0.1:%u,127.0.0.1:%u", fleet->peer_port, fleet->peer_port + 1);
  town->jobs.peers
      = mf_peers_new (fleet->loop, address, &mf_jobs_peers_user, &town->jobs, town->lines, &error);
  assert_non_null (town->jobs.peers);
  mf_peers_add_seeds (town->jobs.peers, seed);
}

static void
instance_leave (TownFleet *fleet, uint32_t index)
{
  MfPeers *peers = fleet->towns[index].jobs.peers;

  fleet->towns[index].jobs.peers = NULL;
  mf_peers_free (peers);
}

void
town_fleet_meet (TownFleet *fleet)
{
  assert_true (loop_pump (fleet->loop, all_have_heard, fleet));
}

void
town_fleet_begin (TownFleet *fleet, uint16_t door_port, uint16_t peer_port)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->loop = ev_loop_new (0);
  fleet->door_port = door_port;
  fleet->peer_port = peer_port;
  for (uint32_t i = 0; i < TOWN_FLEET_N; i++)
    instance_begin (fleet, i);
  town_fleet_meet (fleet);
}

void
town_fleet_end (TownFleet *fleet)
{
  for (uint32_t i = TOWN_FLEET_N; i-- > 0;)
    instance_leave (fleet, i);
  for (uint32_t i = TOWN_FLEET_N; i-- > 0;)
    town_end (&fleet->towns[i]);
  ev_loop_destroy (fleet->loop);
}

void
town_fleet_restart (TownFleet *fleet, uint32_t index)
{
  instance_leave (fleet, index);
  town_end (&fleet->towns[index]);
  loop_spin (fleet->loop, 20);
  instance_begin (fleet, index);
}

void
town_fleet_add_engines (TownFleet *fleet, uint32_t n_engines, TownAct act)
{
  for (uint32_t engine = 0; engine < n_engines; engine++)
    {
      char id[16];

      town_add (&fleet->towns[0], engine, MF_ROLE_DECODE, act);
      snprintf (id, sizeof id, "u%u", engine);
      for (uint32_t i = 1; i < TOWN_FLEET_N; i++)
        town_know (&fleet->towns[i], id, MF_ROLE_DECODE,
                   fake_wire_address (fleet->towns[0].upstreams[engine].wire));
    }
}
