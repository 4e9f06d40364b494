#ifndef FAKE_PORTS_H
#define FAKE_PORTS_H

#include "libmangofork/types.h"

/* A range of ports on the loopback address, below those of outgoing connections, that is divided
 * into blocks. */
typedef struct
{
  uint16_t first_port;
  uint16_t n_blocks;
  uint16_t block_ports;
} FakePortRange;

/* Claims a block of the range for this process until it ends. Returns the first port to use, which
 * block_ports - 1 others follow; 0: all blocks are taken. */
uint16_t fake_ports_claim (const FakePortRange *range);

/* Returns a port of the loopback address that the kernel has chosen, and that no other process and
 * no outgoing connection gets until this process ends. This process can listen on it, also again
 * after it has stopped. */
uint16_t fake_ports_reserve (void);

#endif
