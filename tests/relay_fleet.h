#ifndef RELAY_FLEET_H
#define RELAY_FLEET_H

#include "relay_fixture.h"

#define RELAY_FLEET_N_INSTANCES 5

/* Instances in one fleet, on one loop. */
typedef struct
{
  struct ev_loop *loop;
  uint16_t listen_port; /* of the first; the others follow */
  uint16_t peer_port;
  RelayFixture instances[RELAY_FLEET_N_INSTANCES];
} RelayFleet;

/* Begins a fleet without upstreams, and waits until all have heard of each other. */
void relay_fleet_setup (RelayFleet *fleet, uint16_t listen_port, uint16_t peer_port);
void relay_fleet_teardown (RelayFleet *fleet);
/* One instance ends and is there again, with nothing of what it knew. */
void relay_fleet_restart (RelayFleet *fleet, uint32_t index);
/* Runs the loop until all have heard of each other. */
void relay_fleet_wait_connected (RelayFleet *fleet);
/* Decode engines that stand at the first instance, as many as a town takes, all known to all. */
void relay_fleet_add_engines (RelayFleet *fleet, uint32_t n_engines, RelayFixtureHandler handler);

#endif
