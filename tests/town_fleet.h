#ifndef TOWN_FLEET_H
#define TOWN_FLEET_H

#include "town.h"

#define TOWN_FLEET_N 5

/* Instances in one fleet, on one loop. */
typedef struct
{
  struct ev_loop *loop;
  uint16_t door_port; /* of the first; the others follow */
  uint16_t peer_port;
  Town towns[TOWN_FLEET_N];
} TownFleet;

/* Begins a fleet without upstreams, and waits until all have heard of each other. */
void town_fleet_begin (TownFleet *fleet, uint16_t door_port, uint16_t peer_port);
void town_fleet_end (TownFleet *fleet);
/* One instance ends and is there again, with nothing of what it knew. */
void town_fleet_restart (TownFleet *fleet, uint32_t index);
/* Runs the loop until all have heard of each other. */
void town_fleet_meet (TownFleet *fleet);
/* Decode engines that stand at the first instance, as many as a town takes, all known to all. */
void town_fleet_add_engines (TownFleet *fleet, uint32_t n_engines, TownAct act);

#endif
