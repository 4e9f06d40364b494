#ifndef LOOP_PUMP_H
#define LOOP_PUMP_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Runs the loop until done says so, at most a bounded number of turns. Returns what done said. */
bool loop_pump (struct ev_loop *loop, bool (*done) (void *data), void *data);
/* Runs the loop for a number of short turns. */
void loop_spin (struct ev_loop *loop, int n_iterations);

/* Connects to a port of the loopback address; the socket does not block. */
int loop_connect (uint16_t port);
/* The same from a loopback address, given in host byte order. */
int loop_connect_from (uint32_t host, uint16_t port);
/* Sends all bytes of a short text. */
void loop_send (int fd, const char *data, size_t data_bytes);
/* Reads until the peer closes, the text needle has arrived, or the turns are used up. Returns the
 * bytes read, always closed by NUL. */
size_t loop_receive (struct ev_loop *loop, int fd, const char *needle, char *dst, size_t dst_bytes);

#endif
