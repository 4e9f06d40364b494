#include "ports.h"

#include "libmangofork/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* A socket that is bound and does not listen keeps the port. Set after the bind, SO_REUSEADDR does
 * not take part in the choice of the port, but lets a listener share it. */
uint16_t
fake_ports_reserve (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr = { .s_addr = htonl (INADDR_LOOPBACK) } };
  socklen_t address_bytes = sizeof address;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0
      || getsockname (fd, (struct sockaddr *)&address, &address_bytes) != 0)
    abort ();
  return ntohs (address.sin_port);
}

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
