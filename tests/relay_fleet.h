#ifndef RELAY_FLEET_H
#define RELAY_FLEET_H

#include "relay_fixture.h"

#define RELAY_FLEET_N_INSTANCES 5

/* The instances of one fleet, on one event loop. */
typedef struct
{
  struct ev_loop *loop;
  uint16_t peer_ports[RELAY_FLEET_N_INSTANCES];
  RelayFixture instances[RELAY_FLEET_N_INSTANCES];
} RelayFleet;

/* Starts instances without upstreams and waits until they are connected to each other. */
void relay_fleet_setup (RelayFleet *fleet);
void relay_fleet_teardown (RelayFleet *fleet);
/* Stops one instance and starts it again without its state. */
void relay_fleet_restart (RelayFleet *fleet, uint32_t index);
/* Runs the loop until all instances are connected to each other. */
void relay_fleet_wait_connected (RelayFleet *fleet);
/* Adds decode engines that belong to the first instance and are listed at all; at most
 * RELAY_FIXTURE_N_UPSTREAMS. */
void relay_fleet_add_engines (RelayFleet *fleet, uint32_t n_engines, RelayFixtureHandler handler);

#endif
