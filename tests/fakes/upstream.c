#include "upstream.h"

#include "ports.h"

#include "libmangofork/socket.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/* Maximum number of upstreams of a process at a time. */
#define N_PORTS 93

/* Number of sends of a flood in one iteration of the event loop. */
#define FLOOD_PIECES_PER_WRITE 16

struct FakeUpstreamConn
{
  FakeUpstream *upstream;
  FakeUpstreamConn *next;
  int fd;
  ev_io read_watcher;
  ev_io write_watcher;
  const char *flood; /* data that is sent repeatedly; NULL if none */
  size_t flood_offset;
  size_t n_bytes;
  char bytes[FAKE_UPSTREAM_REQUEST_BYTES_MAX];
};

static const FakePortRange port_range
    = { .first_port = 28000, .n_blocks = 50, .block_ports = N_PORTS };
/* Ports of the process's block that belong to an upstream, also while it is stopped. */
static bool port_taken[N_PORTS];

struct FakeUpstream
{
  struct ev_loop *loop;
  FakeUpstreamFunc on_request;
  void (*on_closed) (FakeUpstreamConn *conn, void *data);
  void *data;
  int fd;
  ev_io accept_watcher;
  uint32_t port_index;
  char address[MF_ADDRESS_BYTES];
  FakeUpstreamConn *conns;
  FakeUpstreamConn *last_conn;
  uint32_t n_requests;
  uint32_t n_conns;
  uint32_t n_closed;
  char last_request[FAKE_UPSTREAM_REQUEST_BYTES_MAX];
};

bool
fake_upstream_request_header (const char *text, const char *name, char *value, size_t value_bytes)
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
conn_free (FakeUpstreamConn *conn)
{
  FakeUpstream *upstream = conn->upstream;

  for (FakeUpstreamConn **at = &upstream->conns; *at != NULL; at = &(*at)->next)
    {
      if (*at != conn)
        continue;
      *at = conn->next;
      break;
    }
  if (upstream->last_conn == conn)
    upstream->last_conn = NULL;
  ev_io_stop (upstream->loop, &conn->read_watcher);
  ev_io_stop (upstream->loop, &conn->write_watcher);
  close (conn->fd);
  free (conn);
}

static void
conn_closed (FakeUpstreamConn *conn)
{
  conn->upstream->n_closed++;
  if (conn->upstream->on_closed != NULL)
    conn->upstream->on_closed (conn, conn->upstream->data);
  conn_free (conn);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  FakeUpstreamConn *conn = watcher->data;
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

/* Returns the size of the first complete request; 0 if there is none. */
static size_t
request_bytes (const FakeUpstreamConn *conn)
{
  const char *end = strstr (conn->bytes, "\r\n\r\n");
  char length[24];
  size_t n_bytes;

  if (end == NULL)
    return 0;
  n_bytes = (size_t)(end + 4 - conn->bytes);
  if (fake_upstream_request_header (conn->bytes, "Content-Length", length, sizeof length))
    n_bytes += strtoul (length, NULL, 10);
  return n_bytes <= conn->n_bytes ? n_bytes : 0;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  FakeUpstreamConn *conn = watcher->data;
  FakeUpstream *upstream = conn->upstream;
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
  upstream->n_requests++;
  upstream->last_conn = conn;
  memcpy (upstream->last_request, conn->bytes, n_bytes);
  upstream->last_request[n_bytes] = '\0';
  conn->n_bytes -= n_bytes;
  memmove (conn->bytes, conn->bytes + n_bytes, conn->n_bytes + 1);
  upstream->on_request (conn, upstream->last_request, upstream->data);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  FakeUpstream *upstream = watcher->data;
  int fd = accept (upstream->fd, NULL, NULL);
  FakeUpstreamConn *conn;

  (void)events;
  if (fd < 0)
    return;
  conn = calloc (1, sizeof *conn);
  if (conn == NULL)
    abort ();
  conn->upstream = upstream;
  conn->fd = fd;
  conn->next = upstream->conns;
  upstream->conns = conn;
  upstream->n_conns++;
  ev_io_init (&conn->read_watcher, on_readable, fd, EV_READ);
  ev_io_init (&conn->write_watcher, on_writable, fd, EV_WRITE);
  conn->read_watcher.data = conn;
  conn->write_watcher.data = conn;
  ev_io_start (loop, &conn->read_watcher);
}

/* Returns whether the address was free. */
static bool
upstream_listen (FakeUpstream *upstream, const char *address)
{
  MfError error = { 0 };

  upstream->fd = mf_socket_listen (address, &error);
  if (upstream->fd < 0)
    return false;
  ev_io_init (&upstream->accept_watcher, on_accept, upstream->fd, EV_READ);
  upstream->accept_watcher.data = upstream;
  ev_io_start (upstream->loop, &upstream->accept_watcher);
  return true;
}

/* Listens at a port that neither an outgoing connection nor another process can take while the
 * upstream is stopped. */
static void
upstream_listen_anywhere (FakeUpstream *upstream)
{
  static uint16_t first_port;
  static uint32_t n_tried;

  if (first_port == 0)
    first_port = fake_ports_claim (&port_range);
  for (uint32_t i = 0; i < N_PORTS && first_port != 0; i++)
    {
      uint32_t index = n_tried++ % N_PORTS;

      snprintf (upstream->address, sizeof upstream->address, "127.0.0.1:%u", first_port + index);
      if (port_taken[index] || !upstream_listen (upstream, upstream->address))
        continue;
      upstream->port_index = index;
      port_taken[index] = true;
      return;
    }
  fprintf (stderr, "fake upstream: no free port\n");
  abort ();
}

FakeUpstream *
fake_upstream_new (struct ev_loop *loop, FakeUpstreamFunc on_request, void *data)
{
  FakeUpstream *upstream = calloc (1, sizeof *upstream);

  if (upstream == NULL)
    abort ();
  *upstream = (FakeUpstream){ .loop = loop, .on_request = on_request, .data = data };
  upstream_listen_anywhere (upstream);
  return upstream;
}

void
fake_upstream_stop (FakeUpstream *upstream)
{
  if (upstream->fd < 0)
    return;
  ev_io_stop (upstream->loop, &upstream->accept_watcher);
  close (upstream->fd);
  upstream->fd = -1;
  while (upstream->conns != NULL)
    fake_upstream_conn_close (upstream->conns, true);
}

void
fake_upstream_start (FakeUpstream *upstream)
{
  if (upstream->fd < 0 && !upstream_listen (upstream, upstream->address))
    {
      fprintf (stderr, "fake upstream: %s is taken\n", upstream->address);
      abort ();
    }
}

void
fake_upstream_set_closed_func (FakeUpstream *upstream,
                               void (*func) (FakeUpstreamConn *conn, void *data))
{
  upstream->on_closed = func;
}

void
fake_upstream_free (FakeUpstream *upstream)
{
  while (upstream->conns != NULL)
    conn_free (upstream->conns);
  if (upstream->fd >= 0)
    {
      ev_io_stop (upstream->loop, &upstream->accept_watcher);
      close (upstream->fd);
    }
  port_taken[upstream->port_index] = false;
  free (upstream);
}

const char *
fake_upstream_address (const FakeUpstream *upstream)
{
  return upstream->address;
}

uint32_t
fake_upstream_n_requests (const FakeUpstream *upstream)
{
  return upstream->n_requests;
}

uint32_t
fake_upstream_n_conns (const FakeUpstream *upstream)
{
  return upstream->n_conns;
}

uint32_t
fake_upstream_n_closed (const FakeUpstream *upstream)
{
  return upstream->n_closed;
}

const char *
fake_upstream_last_request (const FakeUpstream *upstream)
{
  return upstream->last_request;
}

FakeUpstreamConn *
fake_upstream_last_conn (const FakeUpstream *upstream)
{
  return upstream->last_conn;
}

void
fake_upstream_conn_send (FakeUpstreamConn *conn, const char *bytes)
{
  if (send (conn->fd, bytes, strlen (bytes), MSG_NOSIGNAL) < 0)
    perror ("fake upstream: send");
}

void
fake_upstream_conn_flood (FakeUpstreamConn *conn, const char *piece)
{
  conn->flood = piece;
  ev_io_start (conn->upstream->loop, &conn->write_watcher);
}

void
fake_upstream_conn_close (FakeUpstreamConn *conn, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (reset)
    setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  conn_free (conn);
}
