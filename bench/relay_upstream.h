#ifndef RELAY_UPSTREAM_H
#define RELAY_UPSTREAM_H

#include <stdint.h>

/* Engines that decode; each takes at most a few hundred connections of one process. */
#define RELAY_N_DECODES 4

/* The upstream side of the relay bench, each function the whole life of one child process. */

/* Serves prefill, decode and the platform on these ports of the loopback address until SIGTERM. A
 * decode sends as many tokens as the body's max_tokens says, one every bench_gap_us, or all at once
 * when that is 0. */
void relay_upstream_run (uint16_t prefill_port, const uint16_t decode_ports[RELAY_N_DECODES],
                         uint16_t platform_port);
/* Copies bytes between each connection to one port and a connection to another, until SIGTERM. */
void relay_tcp_proxy_run (uint16_t from_port, uint16_t to_port);

#endif
