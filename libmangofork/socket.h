#ifndef MF_SOCKET_H
#define MF_SOCKET_H

#include "error.h"

#include <sys/socket.h>

/* Reads "10.0.0.1:80" or "[::1]:80". Addresses are numeric; nothing is looked up. */
bool mf_socket_parse (const char *address, struct sockaddr_storage *parsed, socklen_t *parsed_bytes,
                      MfError *error);
/* Returns a listening, non-blocking socket, or -1 with error set. */
int mf_socket_listen (const char *address, MfError *error);
/* Starts to connect. Returns a non-blocking socket, or -1 with error set. */
int mf_socket_connect (const char *address, MfError *error);
/* The port a socket is bound to; 0 when it is not bound. */
uint16_t mf_socket_port (int fd);

#endif
