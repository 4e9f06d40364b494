#ifndef FAKE_WIRE_H
#define FAKE_WIRE_H

#include "libmangofork/types.h"

#include <ev.h>

/* An upstream that speaks what a test tells it to, byte by byte: answers that are late, cut,
 * doubled or no answers at all. */
typedef struct FakeUpstream FakeUpstream;
typedef struct FakeUpstreamConn FakeUpstreamConn;

/* Longest request a test sends. */
#define FAKE_UPSTREAM_REQUEST_BYTES_MAX 65536

/* A request has come whole; text is its head and body as they came. */
typedef void (*FakeUpstreamFunc) (FakeUpstreamConn *conn, const char *text, void *data);

/* Listens at a free port of the loopback address. */
FakeUpstream *fake_upstream_new (struct ev_loop *loop, FakeUpstreamFunc on_request, void *data);
/* Calls func, with the data of on_request, when the other side has closed a connection. */
void fake_upstream_set_closed_func (FakeUpstream *upstream,
                                    void (*func) (FakeUpstreamConn *conn, void *data));
void fake_upstream_free (FakeUpstream *upstream);
/* Resets all connections and refuses new ones, as a process that has crashed does. */
void fake_upstream_stop (FakeUpstream *upstream);
/* Takes connections again, at the same address. */
void fake_upstream_start (FakeUpstream *upstream);
const char *fake_upstream_address (const FakeUpstream *upstream);
uint32_t fake_upstream_n_requests (const FakeUpstream *upstream);
uint32_t fake_upstream_n_conns (const FakeUpstream *upstream);
/* Connections that the other side has closed. */
uint32_t fake_upstream_n_closed (const FakeUpstream *upstream);
/* The last request; "" when there was none. */
const char *fake_upstream_last_request (const FakeUpstream *upstream);
/* The connection of the last request; NULL once it is closed. */
FakeUpstreamConn *fake_upstream_last_conn (const FakeUpstream *upstream);

void fake_upstream_conn_send (FakeUpstreamConn *conn, const char *bytes);
/* Sends a piece again and again, as fast as it is taken, until the other side closes. */
void fake_upstream_conn_flood (FakeUpstreamConn *conn, const char *piece);
void fake_upstream_conn_close (FakeUpstreamConn *conn, bool reset);

/* Copies the value of a header of a request; returns false when it has none. */
bool fake_upstream_request_header (const char *text, const char *name, char *value,
                                   size_t value_bytes);

#endif
