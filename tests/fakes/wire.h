#ifndef FAKE_WIRE_H
#define FAKE_WIRE_H

#include "libmangofork/types.h"

#include <ev.h>

/* An upstream that speaks what a test tells it to, byte by byte: answers that are late, cut,
 * doubled or no answers at all. */
typedef struct FakeWire FakeWire;
typedef struct FakeWireConn FakeWireConn;

/* Longest request a test sends. */
#define FAKE_WIRE_REQUEST_BYTES 65536

/* A request has come whole; text is its head and body as they came. */
typedef void (*FakeWireFunc) (FakeWireConn *conn, const char *text, void *data);

/* Listens at a free port of the loopback address. */
FakeWire *fake_wire_new (struct ev_loop *loop, FakeWireFunc on_request, void *data);
/* Calls func, with the data of on_request, when the other side has closed a connection. */
void fake_wire_on_left (FakeWire *wire, void (*func) (FakeWireConn *conn, void *data));
void fake_wire_free (FakeWire *wire);
/* Resets all connections and refuses new ones, as a process that has crashed does. */
void fake_wire_shut (FakeWire *wire);
/* Takes connections again, at the same address. */
void fake_wire_open (FakeWire *wire);
const char *fake_wire_address (const FakeWire *wire);
uint32_t fake_wire_n_requests (const FakeWire *wire);
uint32_t fake_wire_n_conns (const FakeWire *wire);
/* Connections that the other side has closed. */
uint32_t fake_wire_n_left (const FakeWire *wire);
/* The last request; "" when there was none. */
const char *fake_wire_last (const FakeWire *wire);
/* The connection of the last request; NULL once it is closed. */
FakeWireConn *fake_wire_last_conn (const FakeWire *wire);

void fake_wire_send (FakeWireConn *conn, const char *bytes);
/* Sends a piece again and again, as fast as it is taken, until the other side closes. */
void fake_wire_flood (FakeWireConn *conn, const char *piece);
void fake_wire_close (FakeWireConn *conn, bool reset);

/* Copies the value of a header of a request; returns false when it has none. */
bool fake_wire_header (const char *text, const char *name, char *value, size_t value_bytes);

#endif
