#include "socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024

/* Splits an address at its last colon and removes the brackets of an IPv6 host. */
static bool
address_split (const char *address, char host[MF_ADDRESS_BYTES], uint16_t *port)
{
  const char *colon = strrchr (address, ':');
  char *end;
  unsigned long number;
  size_t host_bytes;

  if (colon == NULL || colon[1] < '0' || colon[1] > '9')
    return false;
  number = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || number > UINT16_MAX)
    return false;
  *port = (uint16_t)number;
  host_bytes = (size_t)(colon - address);
  if (host_bytes >= 2 && address[0] == '[' && colon[-1] == ']')
    {
      address++;
      host_bytes -= 2;
    }
  if (host_bytes >= MF_ADDRESS_BYTES)
    return false;
  memcpy (host, address, host_bytes);
  host[host_bytes] = '\0';
  return true;
}

/* Parses "10.0.0.1:80" or "[::1]:80". Only numeric addresses are accepted; no name is resolved. */
bool
mf_socket_parse (const char *address, struct sockaddr_storage *parsed, socklen_t *parsed_bytes,
                 MfError *error)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)parsed;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)parsed;
  char host[MF_ADDRESS_BYTES];
  uint16_t port = 0;

  memset (parsed, 0, sizeof *parsed);
  if (address_split (address, host, &port) && inet_pton (AF_INET, host, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (port);
      *parsed_bytes = sizeof *v4;
      return true;
    }
  if (address_split (address, host, &port) && inet_pton (AF_INET6, host, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (port);
      *parsed_bytes = sizeof *v6;
      return true;
    }
  mf_error_set (error, MF_CODE_LISTEN, "\"%s\" is not a numeric address with a port", address);
  return false;
}

/* Opens a non-blocking TCP socket for an address. */
static int
socket_open (const char *address, struct sockaddr_storage *parsed, socklen_t *parsed_bytes,
             MfError *error)
{
  int fd;

  if (!mf_socket_parse (address, parsed, parsed_bytes, error))
    return -1;
  fd = socket (parsed->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  if (fd < 0)
    mf_error_set (error, MF_CODE_LISTEN, "cannot create a socket for %s: %s", address,
                  strerror (errno));
  return fd;
}

/* Returns a listening, non-blocking socket, or -1 with error set. */
int
mf_socket_listen (const char *address, MfError *error)
{
  struct sockaddr_storage parsed;
  socklen_t parsed_bytes = 0;
  int one = 1;
  int fd = socket_open (address, &parsed, &parsed_bytes, error);

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&parsed, parsed_bytes) == 0 && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  mf_error_set (error, MF_CODE_LISTEN, "cannot listen on %s: %s", address, strerror (errno));
  close (fd);
  return -1;
}

/* Starts to connect. Returns a non-blocking socket, or -1 with error set. */
int
mf_socket_connect (const char *address, MfError *error)
{
  struct sockaddr_storage parsed;
  socklen_t parsed_bytes = 0;
  int one = 1;
  int fd = socket_open (address, &parsed, &parsed_bytes, error);

  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&parsed, parsed_bytes) == 0 || errno == EINPROGRESS)
    return fd;
  mf_error_set (error, MF_CODE_LISTEN, "cannot connect to %s: %s", address, strerror (errno));
  close (fd);
  return -1;
}

/* Returns the port that a socket is bound to; 0 when it is not bound. */
uint16_t
mf_socket_port (int fd)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  } bound = { 0 };
  socklen_t bound_bytes = sizeof bound;

  if (getsockname (fd, &bound.any, &bound_bytes) != 0)
    return 0;
  return ntohs (bound.any.sa_family == AF_INET6 ? bound.v6.sin6_port : bound.v4.sin_port);
}
