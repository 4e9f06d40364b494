#ifndef MF_SOCKET_H
#define MF_SOCKET_H

#include "error.h"

#include <sys/socket.h>

bool mf_socket_parse (const char *address, struct sockaddr_storage *parsed, socklen_t *parsed_bytes,
                      MfError *error);
int mf_socket_listen (const char *address, MfError *error);
int mf_socket_connect (const char *address, MfError *error);
uint16_t mf_socket_port (int fd);

#endif
