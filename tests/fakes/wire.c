#include "wire.h"

#include "libmangofork/socket.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/* Pieces of a flood sent in one turn of the loop. */
#define FLOOD_PIECES_PER_WRITE 16

struct FakeWireConn
{
  FakeWire *wire;
  FakeWireConn *next;
  int fd;
  ev_io read_watcher;
  ev_io write_watcher;
  const char *flood; /* sent without end; NULL: nothing is */
  size_t flood_offset;
  size_t n_bytes;
  char bytes[FAKE_WIRE_REQUEST_BYTES];
};

struct FakeWire
{
  struct ev_loop *loop;
  FakeWireFunc on_request;
  void (*on_closed) (FakeWireConn *conn, void *data);
  void *data;
  int fd;
  ev_io accept_watcher;
  char address[MF_ADDRESS_BYTES];
  FakeWireConn *conns;
  FakeWireConn *last_conn;
  uint32_t n_requests;
  uint32_t n_conns;
  uint32_t n_closed;
  char last_request[FAKE_WIRE_REQUEST_BYTES];
};

bool
fake_wire_header (const char *text, const char *name, char *value, size_t value_bytes)
{
  size_t name_bytes = strlen (name);

  for (const char *line = strstr (text, "\r\n"); line != NULL && line[2] != '\r';
       line = strstr (line + 2, "\r\n"))
    {
      const char *end = strstr (line + 2, "\r\n");

      if (strncasecmp (line + 2, name, name_bytes) != 0 || line[2 + name_bytes] != ':'
          || end == NULL)
        continue;
      snprintf (value, value_bytes, "%.*s", (int)(end - (line + 4 + name_bytes)),
                line + 4 + name_bytes);
      return true;
    }
  return false;
}

static void
conn_free (FakeWireConn *conn)
{
  FakeWire *wire = conn->wire;

  for (FakeWireConn **at = &wire->conns; *at != NULL; at = &(*at)->next)
    {
      if (*at != conn)
        continue;
      *at = conn->next;
      break;
    }
  if (wire->last_conn == conn)
    wire->last_conn = NULL;
  ev_io_stop (wire->loop, &conn->read_watcher);
  ev_io_stop (wire->loop, &conn->write_watcher);
  close (conn->fd);
  free (conn);
}

static void
conn_closed (FakeWireConn *conn)
{
  conn->wire->n_closed++;
  if (conn->wire->on_closed != NULL)
    conn->wire->on_closed (conn, conn->wire->data);
  conn_free (conn);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  FakeWireConn *conn = watcher->data;
  size_t n_bytes = strlen (conn->flood);

  (void)loop;
  (void)events;
  for (uint32_t i = 0; i < FLOOD_PIECES_PER_WRITE; i++)
    {
      ssize_t n_sent = send (conn->fd, conn->flood + conn->flood_offset,
                             n_bytes - conn->flood_offset, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n_sent < 0 && errno == EAGAIN)
        return;
      if (n_sent < 0)
        {
          conn_closed (conn);
          return;
        }
      conn->flood_offset = (conn->flood_offset + (size_t)n_sent) % n_bytes;
    }
}

/* Length of the first request that is whole; 0 when none is. */
static size_t
request_bytes (const FakeWireConn *conn)
{
  const char *end = strstr (conn->bytes, "\r\n\r\n");
  char length[24];
  size_t n_bytes;

  if (end == NULL)
    return 0;
  n_bytes = (size_t)(end + 4 - conn->bytes);
  if (fake_wire_header (conn->bytes, "Content-Length", length, sizeof length))
    n_bytes += strtoul (length, NULL, 10);
  return n_bytes <= conn->n_bytes ? n_bytes : 0;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  FakeWireConn *conn = watcher->data;
  FakeWire *wire = conn->wire;
  ssize_t n_read
      = read (conn->fd, conn->bytes + conn->n_bytes, sizeof conn->bytes - conn->n_bytes - 1);
  size_t n_bytes;

  (void)loop;
  (void)events;
  if (n_read <= 0)
    {
      conn_closed (conn);
      return;
    }
  conn->n_bytes += (size_t)n_read;
  conn->bytes[conn->n_bytes] = '\0';
  n_bytes = request_bytes (conn);
  if (n_bytes == 0)
    return;
  wire->n_requests++;
  wire->last_conn = conn;
  memcpy (wire->last_request, conn->bytes, n_bytes);
  wire->last_request[n_bytes] = '\0';
  conn->n_bytes -= n_bytes;
  memmove (conn->bytes, conn->bytes + n_bytes, conn->n_bytes + 1);
  wire->on_request (conn, wire->last_request, wire->data);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  FakeWire *wire = watcher->data;
  int fd = accept (wire->fd, NULL, NULL);
  FakeWireConn *conn;

  (void)events;
  if (fd < 0)
    return;
  conn = calloc (1, sizeof *conn);
  if (conn == NULL)
    abort ();
  conn->wire = wire;
  conn->fd = fd;
  conn->next = wire->conns;
  wire->conns = conn;
  wire->n_conns++;
  ev_io_init (&conn->read_watcher, on_readable, fd, EV_READ);
  ev_io_init (&conn->write_watcher, on_writable, fd, EV_WRITE);
  conn->read_watcher.data = conn;
  conn->write_watcher.data = conn;
  ev_io_start (loop, &conn->read_watcher);
}

static void
wire_listen (FakeWire *wire, const char *address)
{
  MfError error = { 0 };

  wire->fd = mf_socket_listen (address, &error);
  if (wire->fd < 0)
    abort ();
  ev_io_init (&wire->accept_watcher, on_accept, wire->fd, EV_READ);
  wire->accept_watcher.data = wire;
  ev_io_start (wire->loop, &wire->accept_watcher);
}

FakeWire *
fake_wire_new (struct ev_loop *loop, FakeWireFunc on_request, void *data)
{
  FakeWire *wire = calloc (1, sizeof *wire);

  if (wire == NULL)
    abort ();
  *wire = (FakeWire){ .loop = loop, .on_request = on_request, .data = data };
  wire_listen (wire, "127.0.0.1:0");
  snprintf (wire->address, sizeof wire->address, "127.0.0.1:%u", mf_socket_port (wire->fd));
  return wire;
}

void
fake_wire_shut (FakeWire *wire)
{
  if (wire->fd < 0)
    return;
  ev_io_stop (wire->loop, &wire->accept_watcher);
  close (wire->fd);
  wire->fd = -1;
  while (wire->conns != NULL)
    fake_wire_close (wire->conns, true);
}

void
fake_wire_open (FakeWire *wire)
{
  if (wire->fd < 0)
    wire_listen (wire, wire->address);
}

void
fake_wire_on_left (FakeWire *wire, void (*func) (FakeWireConn *conn, void *data))
{
  wire->on_closed = func;
}

void
fake_wire_free (FakeWire *wire)
{
  while (wire->conns != NULL)
    conn_free (wire->conns);
  if (wire->fd >= 0)
    {
      ev_io_stop (wire->loop, &wire->accept_watcher);
      close (wire->fd);
    }
  free (wire);
}

const char *
fake_wire_address (const FakeWire *wire)
{
  return wire->address;
}

uint32_t
fake_wire_n_requests (const FakeWire *wire)
{
  return wire->n_requests;
}

uint32_t
fake_wire_n_conns (const FakeWire *wire)
{
  return wire->n_conns;
}

uint32_t
fake_wire_n_left (const FakeWire *wire)
{
  return wire->n_closed;
}

const char *
fake_wire_last (const FakeWire *wire)
{
  return wire->last_request;
}

FakeWireConn *
fake_wire_last_conn (const FakeWire *wire)
{
  return wire->last_conn;
}

void
fake_wire_send (FakeWireConn *conn, const char *bytes)
{
  if (send (conn->fd, bytes, strlen (bytes), MSG_NOSIGNAL) < 0)
    perror ("fake wire");
}

void
fake_wire_flood (FakeWireConn *conn, const char *piece)
{
  conn->flood = piece;
  ev_io_start (conn->wire->loop, &conn->write_watcher);
}

void
fake_wire_close (FakeWireConn *conn, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (reset)
    setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  conn_free (conn);
}
