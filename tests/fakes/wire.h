#ifndef FAKE_WIRE_H
#define FAKE_WIRE_H

#include "libmangofork/types.h"

#include <ev.h>

/* An upstream whose answers the test writes byte by byte: late, truncated, duplicated or none. */
typedef struct FakeUpstream FakeUpstream;
typedef struct FakeUpstreamConn FakeUpstreamConn;

/* Maximum size of a request, with its head. */
#define FAKE_UPSTREAM_REQUEST_BYTES_MAX 65536

/* Called for each complete request; text is its head and body as received. */
typedef void (*FakeUpstreamFunc) (FakeUpstreamConn *conn, const char *text, void *data);

/* Listens on a free port of the loopback address. */
FakeUpstream *fake_upstream_new (struct ev_loop *loop, FakeUpstreamFunc on_request, void *data);
/* Calls func, with the data of on_request, when a client has closed a connection. */
void fake_upstream_set_closed_func (FakeUpstream *upstream,
                                    void (*func) (FakeUpstreamConn *conn, void *data));
void fake_upstream_free (FakeUpstream *upstream);
/* Closes the port and resets all connections, as when the process has crashed. */
void fake_upstream_stop (FakeUpstream *upstream);
/* Listens again, at the same address. */
void fake_upstream_start (FakeUpstream *upstream);
const char *fake_upstream_address (const FakeUpstream *upstream);
uint32_t fake_upstream_n_requests (const FakeUpstream *upstream);
uint32_t fake_upstream_n_conns (const FakeUpstream *upstream);
/* Number of connections closed by clients. */
uint32_t fake_upstream_n_closed (const FakeUpstream *upstream);
/* The last request; "" if there was none. */
const char *fake_upstream_last_request (const FakeUpstream *upstream);
/* The connection of the last request; NULL once it is closed. */
FakeUpstreamConn *fake_upstream_last_conn (const FakeUpstream *upstream);

void fake_upstream_conn_send (FakeUpstreamConn *conn, const char *bytes);
/* Sends a piece of data repeatedly, as fast as the client reads, until the client closes the
 * connection. The piece is not copied. */
void fake_upstream_conn_flood (FakeUpstreamConn *conn, const char *piece);
void fake_upstream_conn_close (FakeUpstreamConn *conn, bool reset);

/* Copies the value of a header of a request. Returns false if it is absent. */
bool fake_upstream_request_header (const char *text, const char *name, char *value,
                                   size_t value_bytes);

#endif
