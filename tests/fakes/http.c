#include "http.h"

#include "libmangofork/buffer.h"
#include "libmangofork/socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
#define HEADER_VALUE_BYTES 256
/* Interval at which a connection with a limited rate sends. */
#define PACE_S 0.01

struct FakeConn
{
  FakeHttp *http;
  ev_io read_watcher;
  ev_io write_watcher;
  ev_timer pace_timer; /* active while the rate does not admit the next bytes */
  MfBuffer in;
  MfBuffer out;
  bool answering; /* a request has been passed on and its answer has not ended */
  bool closing;   /* closed when the event loop next runs */
  bool reset;     /* close with a TCP reset */
  FakeConn *next;
  FakeConn *previous;
};

struct FakeHttp
{
  struct ev_loop *loop;
  char address[MF_ADDRESS_BYTES];
  FakeHttpCallbacks callbacks;
  void *data;
  ev_io accept_watcher;
  int fd; /* -1 while stopped */
  uint16_t port;
  uint64_t bytes_per_s; /* that each connection sends at most; 0: no limit */
  FakeConn *conns;
};

static void
conn_free (FakeConn *conn, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  FakeHttp *http = conn->http;
  int fd = conn->read_watcher.fd;

  ev_io_stop (http->loop, &conn->read_watcher);
  ev_io_stop (http->loop, &conn->write_watcher);
  ev_timer_stop (http->loop, &conn->pace_timer);
  if (conn->next != NULL)
    conn->next->previous = conn->previous;
  if (conn->previous != NULL)
    conn->previous->next = conn->next;
  else
    http->conns = conn->next;
  if (reset)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
  mf_buffer_clear (&conn->in);
  mf_buffer_clear (&conn->out);
  free (conn);
}

static void
conn_close (FakeConn *conn, bool reset)
{
  if (conn->answering)
    conn->http->callbacks.on_closed (conn, conn->http->data);
  conn_free (conn, reset);
}

/* Sends as much as the socket and the rate accept, and the rest later. */
static void
conn_flush (FakeConn *conn)
{
  uint64_t bytes_per_s = conn->http->bytes_per_s;
  size_t left_bytes = bytes_per_s > 0 ? (size_t)((double)bytes_per_s * PACE_S) : SIZE_MAX;

  if (ev_is_active (&conn->pace_timer))
    return;
  while (mf_buffer_bytes (&conn->out) > 0 && left_bytes > 0)
    {
      size_t n_bytes = mf_buffer_bytes (&conn->out);
      ssize_t n = send (conn->read_watcher.fd, mf_buffer_data (&conn->out),
                        n_bytes < left_bytes ? n_bytes : left_bytes, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n <= 0)
        break;
      left_bytes -= (size_t)n;
      mf_buffer_consume (&conn->out, (size_t)n);
    }
  if (left_bytes == 0)
    {
      ev_io_stop (conn->http->loop, &conn->write_watcher);
      ev_timer_set (&conn->pace_timer, PACE_S, 0.);
      ev_timer_start (conn->http->loop, &conn->pace_timer);
    }
  else if (mf_buffer_bytes (&conn->out) > 0)
    ev_io_start (conn->http->loop, &conn->write_watcher);
  else
    ev_io_stop (conn->http->loop, &conn->write_watcher);
}

void
fake_conn_send_raw (FakeConn *conn, const char *data, size_t data_bytes)
{
  mf_buffer_add (&conn->out, data, data_bytes);
  ev_feed_event (conn->http->loop, &conn->write_watcher, EV_WRITE);
}

static void
conn_finish_request (FakeConn *conn)
{
  conn->answering = false;
  if (mf_buffer_bytes (&conn->in) > 0)
    ev_feed_event (conn->http->loop, &conn->read_watcher, EV_READ);
}

void
fake_conn_answer (FakeConn *conn, unsigned status, const char *headers, const char *body,
                  size_t body_bytes)
{
  MfBuffer *out = &conn->out;

  mf_buffer_add_text (out, "HTTP/1.1 ");
  mf_buffer_add_number (out, status);
  mf_buffer_add_text (out, " Status\r\n");
  mf_buffer_add_text (out, headers);
  mf_buffer_add_text (out, "Content-Length: ");
  mf_buffer_add_number (out, body_bytes);
  mf_buffer_add_text (out, "\r\n\r\n");
  fake_conn_send_raw (conn, body, body_bytes);
  conn_finish_request (conn);
}

void
fake_conn_begin (FakeConn *conn)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";

  fake_conn_send_raw (conn, head, sizeof head - 1);
}

void
fake_conn_send (FakeConn *conn, const char *data, size_t data_bytes)
{
  char size[24];

  snprintf (size, sizeof size, "%zx\r\n", data_bytes);
  mf_buffer_add_text (&conn->out, size);
  fake_conn_send_raw (conn, data, data_bytes);
  fake_conn_send_raw (conn, "\r\n", 2);
}

void
fake_conn_end (FakeConn *conn)
{
  fake_conn_send_raw (conn, "0\r\n\r\n", 5);
  conn_finish_request (conn);
}

void
fake_conn_close (FakeConn *conn, bool reset)
{
  conn->answering = false;
  conn->closing = true;
  conn->reset = reset;
  ev_feed_event (conn->http->loop, &conn->read_watcher, EV_READ);
}

/* Copies the value of a header; "" if it is absent. */
static void
header_get (const char *head, const char *name, char *value)
{
  size_t name_bytes = strlen (name);
  size_t n;

  *value = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL; line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, name_bytes) != 0 || line[name_bytes] != ':')
        continue;
      line += name_bytes + 1;
      line += strspn (line, " ");
      n = strcspn (line, "\r\n");
      n = n < HEADER_VALUE_BYTES ? n : HEADER_VALUE_BYTES - 1;
      memcpy (value, line, n);
      value[n] = '\0';
      return;
    }
}

/* Replaces each %XX by its byte. */
static void
percent_decode (char *text)
{
  char *to = text;

  for (const char *from = text; *from != '\0'; from++)
    {
      unsigned byte = (unsigned char)*from;

      if (*from == '%' && sscanf (from + 1, "%2x", &byte) == 1)
        from += 2;
      *to++ = (char)byte;
    }
  *to = '\0';
}

void
fake_query_get (const char *query, const char *key, char *value, size_t value_bytes)
{
  size_t key_bytes = strlen (key);

  *value = '\0';
  while (*query != '\0')
    {
      size_t n = strcspn (query, "&");

      if (n > key_bytes && strncmp (query, key, key_bytes) == 0 && query[key_bytes] == '=')
        {
          n -= key_bytes + 1;
          n = n < value_bytes ? n : value_bytes - 1;
          memcpy (value, query + key_bytes + 1, n);
          value[n] = '\0';
          percent_decode (value);
          return;
        }
      query += n;
      query += *query == '&';
    }
}

/* Passes a complete request to on_request. head is NUL-terminated and is modified. */
static void
conn_handle_request (FakeConn *conn, char *head, const char *body, size_t body_bytes)
{
  char request_id[HEADER_VALUE_BYTES];
  char fence[HEADER_VALUE_BYTES];
  char token[HEADER_VALUE_BYTES];
  FakeHttpRequest request = {
    .request_id = request_id,
    .fence = fence,
    .token = token,
    .body = body,
    .body_bytes = body_bytes,
    .query = "",
  };
  char *cursor = head;
  char *query;

  header_get (head, "X-Request-Id", request_id);
  header_get (head, "X-Fence", fence);
  header_get (head, "X-Consul-Token", token);
  request.method = strsep (&cursor, " ");
  request.path = strsep (&cursor, " ");
  query = request.path != NULL ? strchr (request.path, '?') : NULL;
  if (query != NULL)
    {
      *query = '\0';
      request.query = query + 1;
    }
  conn->answering = true;
  if (request.path == NULL)
    fake_conn_answer (conn, 400, "", "", 0);
  else
    conn->http->callbacks.on_request (conn, &request, conn->http->data);
}

/* Removes one complete request from the input buffer and handles it. Returns false if there is
 * none. */
static bool
conn_parse (FakeConn *conn)
{
  const char *data = mf_buffer_data (&conn->in);
  size_t data_bytes = mf_buffer_bytes (&conn->in);
  const char *end
      = data == NULL || data_bytes == 0 ? NULL : memmem (data, data_bytes, "\r\n\r\n", 4);
  char length[HEADER_VALUE_BYTES];
  size_t head_bytes;
  size_t body_bytes;
  char *head;
  char *body;

  if (end == NULL)
    return false;
  head_bytes = (size_t)(end - data) + 4;
  head = strndup (data, head_bytes);
  header_get (head, "Content-Length", length);
  body_bytes = strtoul (length, NULL, 10);
  if (data_bytes < head_bytes + body_bytes)
    {
      free (head);
      return false;
    }
  body = strndup (data + head_bytes, body_bytes);
  mf_buffer_consume (&conn->in, head_bytes + body_bytes);
  conn_handle_request (conn, head, body, body_bytes);
  free (head);
  free (body);
  return true;
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  FakeConn *conn = io->data;
  char data[READ_BYTES];
  ssize_t n = recv (io->fd, data, sizeof data, MSG_DONTWAIT);

  (void)loop;
  (void)events;
  if (n > 0)
    mf_buffer_add (&conn->in, data, (size_t)n);
  while (!conn->answering && !conn->closing && conn_parse (conn))
    continue;
  if (conn->closing)
    conn_flush (conn);
  if (conn->closing || n == 0 || (n < 0 && errno != EAGAIN))
    conn_close (conn, conn->reset);
}

static void
on_writable (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  (void)events;
  conn_flush (io->data);
}

static void
on_pace (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  conn_flush (timer->data);
}

static void
on_accept (struct ev_loop *loop, ev_io *io, int events)
{
  FakeHttp *http = io->data;
  int fd = accept4 (io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  FakeConn *conn;
  int one = 1;

  (void)events;
  if (fd < 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  conn = calloc (1, sizeof *conn);
  if (conn == NULL)
    abort ();
  conn->http = http;
  conn->next = http->conns;
  if (conn->next != NULL)
    conn->next->previous = conn;
  http->conns = conn;
  ev_io_init (&conn->read_watcher, on_readable, fd, EV_READ);
  ev_io_init (&conn->write_watcher, on_writable, fd, EV_WRITE);
  conn->read_watcher.data = conn;
  conn->write_watcher.data = conn;
  ev_init (&conn->pace_timer, on_pace);
  conn->pace_timer.data = conn;
  ev_io_start (loop, &conn->read_watcher);
}

void
fake_http_start (FakeHttp *http)
{
  MfError error = { 0 };

  if (http->fd >= 0)
    return;
  http->fd = mf_socket_listen (http->address, &error);
  if (http->fd < 0)
    {
      fprintf (stderr, "fakes: %s\n", error.text);
      exit (1);
    }
  http->port = mf_socket_port (http->fd);
  snprintf (strrchr (http->address, ':'), 7, ":%u", http->port);
  ev_io_init (&http->accept_watcher, on_accept, http->fd, EV_READ);
  http->accept_watcher.data = http;
  ev_io_start (http->loop, &http->accept_watcher);
}

void
fake_http_stop (FakeHttp *http)
{
  if (http->fd < 0)
    return;
  ev_io_stop (http->loop, &http->accept_watcher);
  close (http->fd);
  http->fd = -1;
  for (FakeConn *conn = http->conns; conn != NULL;)
    {
      FakeConn *next = conn->next;

      conn_close (conn, true);
      conn = next;
    }
}

void
fake_http_set_rate (FakeHttp *http, uint64_t bytes_per_s)
{
  http->bytes_per_s = bytes_per_s;
}

uint16_t
fake_http_port (const FakeHttp *http)
{
  return http->port;
}

FakeHttp *
fake_http_new (struct ev_loop *loop, const char *address, const FakeHttpCallbacks *callbacks,
               void *data)
{
  FakeHttp *http = calloc (1, sizeof *http);

  if (http == NULL)
    abort ();
  http->loop = loop;
  http->callbacks = *callbacks;
  http->data = data;
  http->fd = -1;
  mf_name_set (http->address, sizeof http->address, address);
  fake_http_start (http);
  return http;
}

void
fake_http_free (FakeHttp *http)
{
  if (http == NULL)
    return;
  fake_http_stop (http);
  free (http);
}
