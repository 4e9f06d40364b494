#include "ports.h"

#include "libmangofork/socket.h"

#include <stdio.h>
#include <unistd.h>

/* The listener on the first port of a block marks the block as taken, also while its owner listens
 * on none of the others. It is closed when the process ends. */
uint16_t
fake_ports_claim (const FakePortRange *range)
{
  for (uint32_t i = 0; i < range->n_blocks; i++)
    {
      uint32_t block = ((uint32_t)getpid () + i) % range->n_blocks;
      uint32_t port = range->first_port + block * (range->block_ports + 1u);
      char address[MF_ADDRESS_BYTES];
      MfError error = { 0 };

      snprintf (address, sizeof address, "127.0.0.1:%u", port);
      if (mf_socket_listen (address, &error) >= 0)
        return (uint16_t)(port + 1);
    }
  return 0;
}
