#ifndef LOOP_PUMP_H
#define LOOP_PUMP_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Runs the loop until done returns true, for a bounded number of iterations. Returns the last
 * result of done. */
bool loop_pump (struct ev_loop *loop, bool (*done) (void *data), void *data);
/* Runs the loop for a number of short iterations. */
void loop_spin (struct ev_loop *loop, int n_iterations);

/* Connects to a port of the loopback address. Returns a non-blocking socket, or -1. */
int loop_connect (uint16_t port);
/* The same from a loopback address, given in host byte order. */
int loop_connect_from (uint32_t host, uint16_t port);
void loop_send (int fd, const char *data, size_t data_bytes);
/* Reads until the peer closes the connection, the text needle has arrived, or a bounded number of
 * iterations is over. Returns the number of bytes read; dst is NUL-terminated. */
size_t loop_receive (struct ev_loop *loop, int fd, const char *needle, char *dst, size_t dst_bytes);

/* How a peer ends a connection. */
typedef enum
{
  LOOP_CLOSE_ORDERLY,
  LOOP_CLOSE_RESET,
  LOOP_CLOSE_ORDERLY_THEN_RESET, /* as of a peer that has not read all that was sent to it */
} LoopClose;

/* Listens on a free port of the loopback address, with a blocking socket. */
int loop_listen (char *address, size_t address_bytes);
/* Ends a connection. An orderly end leaves the socket open for reading. */
void loop_close (int fd, LoopClose how);

#endif
