#include "caller.h"

#include "libmangofork/clock.h"
#include "libmangofork/socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#define READ_BYTES 16384
/* Pipelined requests are buffered up to this size while an earlier one is being served; a caller
 * that sends more is disconnected. */
#define PIPELINED_BYTES_MAX 65536
/* A streamed response is paused while more than this is buffered for a slow caller. */
#define UNSENT_BYTES_MAX 262144
/* The number of callers bounds the memory of bodies up to this size. */
#define BODY_BYTES_SMALL 65536
/* Bodies that take the memory are answered within about this time. */
#define MEMORY_RETRY_S "0.5"
/* The same while the buffers of the process exceed the memory for bodies. */
#define UNSENT_BYTES_SCARCE 16384
/* Connections accepted in one iteration of the event loop. */
#define ACCEPTS_MAX 64
/* After the last response on a connection, input is read and discarded for this long. Closing a
 * socket with unread input sends a reset, and the caller could lose the response to it. */
#define LINGER_US (500 * MF_US_PER_MS)

struct MfListener
{
  struct ev_loop *loop;
  const MfDialect *dialect;
  const MfListenerCallbacks *callbacks;
  void *data;
  int fd;
  ev_io acceptor;
  MfListenerLimits limits;
  MfCaller *callers;
  uint32_t n_callers;
  bool keep_alive_ended;
};

typedef enum
{
  CALLER_READING,    /* idle, or reading a request */
  CALLER_WAITING,    /* the request is being served */
  CALLER_RESPONDING, /* the rest of the response is being written */
  CALLER_LINGERING,  /* the response is written; input is discarded until the connection closes */
} CallerState;

struct MfCaller
{
  MfListener *listener;
  MfCaller *next;
  MfCaller *prev;
  int fd;
  CallerState state;
  ev_io reader;
  ev_io writer;
  ev_timer timer;
  MfMessage message;
  MfBuffer body;
  MfBuffer in; /* received, not parsed yet */
  MfBuffer out;
  void *job;
  uint64_t address_hash; /* of the peer's IP address, without the port */
  uint64_t started_us;
  uint64_t timer_us;
  uint32_t n_requests; /* complete ones that have been read on this connection */
  bool response_begun; /* its head has been sent, and its end has not */
  bool chunked;
  bool closing;              /* the connection closes after the response */
  bool ends_with_connection; /* the response has neither a length nor chunks */
  bool write_paused;
  bool write_failed; /* the caller is disconnected from the event loop */
  bool closed;       /* freed when the outermost function that holds it returns */
  uint32_t n_holds;
};

static void caller_advance (MfCaller *caller);

/* Whether the caller would take a response that is cut off now for complete. */
static bool
response_would_look_complete (const MfCaller *caller)
{
  return caller->ends_with_connection
         && (caller->state == CALLER_WAITING || mf_buffer_bytes (&caller->out) > 0);
}

/* Closes the connection, with a reset where an end would be misunderstood. */
static void
caller_close (MfCaller *caller)
{
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  if (caller->fd < 0)
    return;
  if (response_would_look_complete (caller))
    setsockopt (caller->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  ev_io_stop (caller->listener->loop, &caller->reader);
  ev_io_stop (caller->listener->loop, &caller->writer);
  ev_timer_stop (caller->listener->loop, &caller->timer);
  close (caller->fd);
  caller->fd = -1;
  caller->closed = true;
  caller->listener->n_callers--;
  if (caller->prev != NULL)
    caller->prev->next = caller->next;
  else
    caller->listener->callers = caller->next;
  if (caller->next != NULL)
    caller->next->prev = caller->prev;
}

static void
caller_hold (MfCaller *caller)
{
  caller->n_holds++;
}

static void
caller_release (MfCaller *caller)
{
  if (--caller->n_holds > 0 || !caller->closed)
    return;
  mf_message_clear (&caller->message);
  mf_buffer_clear (&caller->body);
  mf_buffer_clear (&caller->in);
  mf_buffer_clear (&caller->out);
  free (caller);
}

/* Closes the connection, and reports it if a request was being served. */
static void
caller_disconnect (MfCaller *caller)
{
  bool was_served = caller->state == CALLER_WAITING;

  caller_close (caller);
  if (was_served && caller->listener->callbacks->departed != NULL)
    caller->listener->callbacks->departed (caller->listener->data, caller);
}

static void
timer_set (MfCaller *caller, uint64_t after_us)
{
  ev_timer_stop (caller->listener->loop, &caller->timer);
  if (after_us == 0)
    return;
  ev_timer_set (&caller->timer, (double)after_us / (double)MF_US_PER_S, 0.);
  ev_timer_start (caller->listener->loop, &caller->timer);
}

/* Handles a failed write. The departed callback is called later, from the event loop, since the
 * write may have been started by the user of the listener. */
static void
caller_write_failed (MfCaller *caller)
{
  caller->write_failed = true;
  mf_buffer_clear (&caller->out);
  ev_io_stop (caller->listener->loop, &caller->reader);
  ev_io_stop (caller->listener->loop, &caller->writer);
  ev_timer_stop (caller->listener->loop, &caller->timer);
  ev_timer_set (&caller->timer, 0., 0.);
  ev_timer_start (caller->listener->loop, &caller->timer);
}

static void
out_flush (MfCaller *caller)
{
  if (caller->write_failed)
    return;
  if (caller->out.failed)
    {
      caller_write_failed (caller);
      return;
    }
  while (caller->fd >= 0 && mf_buffer_bytes (&caller->out) > 0)
    {
      ssize_t n_sent = send (caller->fd, mf_buffer_data (&caller->out),
                             mf_buffer_bytes (&caller->out), MSG_NOSIGNAL);

      if (n_sent < 0 && errno == EINTR)
        continue;
      if (n_sent < 0 && errno == EAGAIN)
        {
          ev_io_start (caller->listener->loop, &caller->writer);
          return;
        }
      if (n_sent < 0)
        {
          caller_write_failed (caller);
          return;
        }
      mf_buffer_consume (&caller->out, (size_t)n_sent);
    }
  if (caller->fd >= 0)
    ev_io_stop (caller->listener->loop, &caller->writer);
}

/* When the response has been written, waits for the next request or closes the connection. */
static void
response_finish (MfCaller *caller)
{
  if (caller->fd < 0 || caller->write_failed || caller->state != CALLER_RESPONDING
      || mf_buffer_bytes (&caller->out) > 0)
    return;
  if (caller->closing)
    {
      shutdown (caller->fd, SHUT_WR);
      caller->state = CALLER_LINGERING;
      timer_set (caller, LINGER_US);
      return;
    }
  caller->state = CALLER_READING;
  mf_message_reset (&caller->message);
  mf_buffer_clear (&caller->body);
  timer_set (caller, caller->listener->limits.idle_timeout_us);
}

static const char *
status_phrase (uint32_t status)
{
  switch (status)
    {
#define STATUS_CASE(number, name, phrase)                                                          \
  case number:                                                                                     \
    return #phrase;
      HTTP_STATUS_MAP (STATUS_CASE)
#undef STATUS_CASE
    default:
      return "Status";
    }
}

static void
response_head_write (MfCaller *caller, uint32_t status, const MfBuffer *headers)
{
  char line[96];

  snprintf (line, sizeof line, "HTTP/1.1 %u %s\r\n", status, status_phrase (status));
  mf_buffer_add_text (&caller->out, line);
  if (headers != NULL)
    mf_buffer_add (&caller->out, mf_buffer_data (headers), mf_buffer_bytes (headers));
  if (caller->listener->keep_alive_ended || !http_should_keep_alive (&caller->message.parser)
      || caller->message.error_code != MF_CODE_OK)
    caller->closing = true;
  if (caller->closing)
    mf_buffer_add_text (&caller->out, "Connection: close\r\n");
}

/* Sends a complete response. headers holds complete header lines, or is NULL. Where a response has
 * been sent, or has begun, the caller would read a second head as a part of it: returns false and
 * closes the connection as mf_caller_abort does. */
bool
mf_caller_reply (MfCaller *caller, uint32_t status, const MfBuffer *headers, const char *body,
                 size_t body_bytes)
{
  char line[64];
  bool is_head = caller->message.parser.method == HTTP_HEAD;

  if (caller->response_begun || caller->state > CALLER_WAITING)
    {
      mf_caller_abort (caller);
      return false;
    }
  caller_hold (caller);
  response_head_write (caller, status, headers);
  /* The length of the body that a response to HEAD leaves out is not known here. */
  if (!is_head && status != 204 && status != 304)
    {
      snprintf (line, sizeof line, "Content-Length: %zu\r\n", body_bytes);
      mf_buffer_add_text (&caller->out, line);
    }
  mf_buffer_add_text (&caller->out, "\r\n");
  if (!is_head)
    mf_buffer_add (&caller->out, body, body_bytes);
  caller->state = CALLER_RESPONDING;
  caller->job = NULL;
  out_flush (caller);
  response_finish (caller);
  caller_advance (caller);
  caller_release (caller);
  return true;
}

/* Begins a streamed response, unless one has begun. mf_caller_end completes it; mf_caller_abort
 * cuts it off. */
void
mf_caller_begin (MfCaller *caller, uint32_t status, const MfBuffer *headers)
{
  if (caller->response_begun)
    return;
  caller_hold (caller);
  caller->response_begun = true;
  caller->chunked = caller->message.parser.http_minor > 0;
  caller->ends_with_connection = !caller->chunked;
  if (!caller->chunked)
    caller->closing = true;
  response_head_write (caller, status, headers);
  if (caller->chunked)
    mf_buffer_add_text (&caller->out, "Transfer-Encoding: chunked\r\n");
  mf_buffer_add_text (&caller->out, "\r\n");
  out_flush (caller);
  caller_release (caller);
}

/* Returns how much of a streamed response is buffered before it is paused. */
static size_t
unsent_bytes_max (const MfCaller *caller)
{
  uint64_t max_bytes = caller->listener->limits.buffers_bytes_max;

  return max_bytes > 0 && mf_buffers_bytes () > max_bytes ? UNSENT_BYTES_SCARCE : UNSENT_BYTES_MAX;
}

/* Sends the next bytes of a streamed response. */
void
mf_caller_write (MfCaller *caller, const char *bytes, size_t n_bytes)
{
  char line[24];

  if (n_bytes == 0 || caller->fd < 0 || caller->write_failed)
    return;
  caller_hold (caller);
  if (caller->chunked)
    {
      snprintf (line, sizeof line, "%zx\r\n", n_bytes);
      mf_buffer_add_text (&caller->out, line);
    }
  mf_buffer_add (&caller->out, bytes, n_bytes);
  if (caller->chunked)
    mf_buffer_add_text (&caller->out, "\r\n");
  out_flush (caller);
  if (caller->fd >= 0 && mf_buffer_bytes (&caller->out) > unsent_bytes_max (caller)
      && !caller->write_paused)
    {
      caller->write_paused = true;
      if (caller->listener->callbacks->writable != NULL)
        caller->listener->callbacks->writable (caller->listener->data, caller, false);
    }
  caller_release (caller);
}

/* Completes a streamed response. */
void
mf_caller_end (MfCaller *caller)
{
  caller_hold (caller);
  if (caller->chunked)
    mf_buffer_add_text (&caller->out, "0\r\n\r\n");
  caller->response_begun = false;
  caller->state = CALLER_RESPONDING;
  caller->job = NULL;
  out_flush (caller);
  response_finish (caller);
  caller_advance (caller);
  caller_release (caller);
}

/* Closes the connection in such a way that the caller cannot take the response for complete:
 * without the last chunk, or with a reset where the response has no chunks. */
void
mf_caller_abort (MfCaller *caller)
{
  caller_hold (caller);
  caller->job = NULL;
  caller_close (caller);
  caller->state = CALLER_RESPONDING;
  caller_release (caller);
}

/* Whether a body of this size, of which a part may be in memory, exceeds the memory for bodies. */
static bool
body_is_over_memory (const MfCaller *caller, uint64_t body_bytes)
{
  uint64_t max_bytes = caller->listener->limits.buffers_bytes_max;

  return max_bytes > 0 && body_bytes > BODY_BYTES_SMALL
         && mf_buffers_bytes () - caller->body.capacity + body_bytes > max_bytes;
}

/* Rejects a malformed request, or one that there is no memory for. What follows on the connection
 * is discarded. */
static void
caller_reject (MfCaller *caller, MfCode code)
{
  const MfCodeInfo *info = mf_code_info (code);
  MfBuffer headers = { 0 };

  caller->listener->callbacks->refused (caller->listener->data, code);
  caller->closing = true;
  mf_buffer_clear (&caller->in);
  mf_buffer_clear (&caller->body);
  if (info->http_status == 503)
    mf_buffer_add_text (&headers, "Retry-After: " MEMORY_RETRY_S "\r\n");
  mf_caller_reply (caller, info->http_status, &headers, info->summary, strlen (info->summary));
  mf_buffer_clear (&headers);
}

static bool
on_head (MfMessage *message, void *data)
{
  MfCaller *caller = data;
  static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";
  uint64_t length = message->parser.content_length;

  if (length != UINT64_MAX && caller->listener->limits.body_bytes_max > 0
      && length > caller->listener->limits.body_bytes_max)
    {
      message->error_code = MF_CODE_BODY_TOO_LARGE;
      return true;
    }
  if (length != UINT64_MAX && body_is_over_memory (caller, length))
    {
      message->error_code = MF_CODE_NO_MEMORY;
      return true;
    }
  /* Bodies that are read at the same time count whole from here on. */
  if (length != UINT64_MAX && length > BODY_BYTES_SMALL)
    mf_buffer_prepare (&caller->body, length);
  if (mf_head_count (&message->head, MF_HEADER_EXPECT_CONTINUE) > 0
      && message->parser.http_minor > 0)
    mf_buffer_add (&caller->out, continue_line, sizeof continue_line - 1);
  return true;
}

static void
on_body (MfMessage *message, const char *bytes, size_t n_bytes, void *data)
{
  MfCaller *caller = data;

  mf_buffer_add (&caller->body, bytes, n_bytes);
  if (caller->body.failed)
    message->error_code = MF_CODE_NO_MEMORY;
  else if (caller->listener->limits.body_bytes_max > 0
           && mf_buffer_bytes (&caller->body) > caller->listener->limits.body_bytes_max)
    message->error_code = MF_CODE_BODY_TOO_LARGE;
  else if ((message->parser.flags & F_CHUNKED) != 0
           && body_is_over_memory (caller, caller->body.capacity))
    message->error_code = MF_CODE_NO_MEMORY;
}

static const MfMessageCallbacks message_events = { .head = on_head, .body = on_body };

/* Checks the head of a request that the parser has accepted: exactly one Host, and a target that is
 * a path. */
static MfCode
request_check (const MfCaller *caller)
{
  const MfMessage *message = &caller->message;
  uint32_t n_hosts = mf_head_count (&message->head, MF_HEADER_HOST);

  if (n_hosts > 1 || (n_hosts == 0 && message->parser.http_minor > 0))
    return MF_CODE_BAD_HEADER;
  if (message->head.target_bytes == 0 || mf_head_text (&message->head, 0)[0] != '/')
    return MF_CODE_BAD_HEADER;
  return MF_CODE_OK;
}

/* Parses the buffered input until a request is complete or the input is used up. */
static void
caller_advance (MfCaller *caller)
{
  while (caller->fd >= 0 && caller->state == CALLER_READING && mf_buffer_bytes (&caller->in) > 0)
    {
      MfMessage *message = &caller->message;
      bool had_started = message->started;
      bool had_head = message->head_done;
      size_t n_consumed;

      message->head_bytes_max = caller->listener->limits.header_bytes_max;
      n_consumed
          = mf_message_feed (message, mf_buffer_data (&caller->in), mf_buffer_bytes (&caller->in));
      mf_buffer_consume (&caller->in, n_consumed);
      if (!had_started)
        caller->started_us = mf_clock_now_us ();
      if (message->error_code == MF_CODE_OK && message->done)
        message->error_code = request_check (caller);
      if (message->error_code != MF_CODE_OK)
        {
          caller_reject (caller, message->error_code);
          return;
        }
      if (!message->done)
        {
          if (!had_started || (!had_head && message->head_done))
            timer_set (caller, caller->listener->limits.header_timeout_us);
          out_flush (caller);
          continue;
        }
      timer_set (caller, 0);
      caller->state = CALLER_WAITING;
      caller->response_begun = false;
      caller->chunked = false;
      caller->write_paused = false;
      caller->n_requests++;
      caller->listener->callbacks->request (caller->listener->data, caller);
    }
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  MfCaller *caller = watcher->data;
  char bytes[READ_BYTES];
  ssize_t n_read = read (caller->fd, bytes, sizeof bytes);

  (void)loop;
  (void)events;
  if (n_read < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  caller_hold (caller);
  if (n_read <= 0)
    caller_disconnect (caller);
  else if (caller->state != CALLER_LINGERING && !caller->closing)
    {
      mf_buffer_add (&caller->in, bytes, (size_t)n_read);
      if (caller->state != CALLER_READING && mf_buffer_bytes (&caller->in) > PIPELINED_BYTES_MAX)
        caller_disconnect (caller);
      caller_advance (caller);
    }
  caller_release (caller);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  MfCaller *caller = watcher->data;

  (void)loop;
  (void)events;
  caller_hold (caller);
  out_flush (caller);
  if (caller->fd >= 0 && caller->write_paused && mf_buffer_bytes (&caller->out) == 0
      && caller->state == CALLER_WAITING)
    {
      caller->write_paused = false;
      if (caller->listener->callbacks->writable != NULL)
        caller->listener->callbacks->writable (caller->listener->data, caller, true);
    }
  response_finish (caller);
  caller_advance (caller);
  caller_release (caller);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  MfCaller *caller = watcher->data;

  (void)loop;
  (void)events;
  caller_hold (caller);
  if (caller->write_failed)
    caller_disconnect (caller);
  else if (caller->state == CALLER_READING && caller->message.started)
    {
      caller->message.error_code = MF_CODE_SLOW_SENDER;
      caller_reject (caller, MF_CODE_SLOW_SENDER);
    }
  else
    caller_close (caller);
  caller_release (caller);
}

static uint64_t
hash_address (const struct sockaddr_storage *from)
{
  const struct sockaddr_in *in4 = (const struct sockaddr_in *)from;
  const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)from;

  return from->ss_family == AF_INET ? XXH3_64bits (&in4->sin_addr, sizeof in4->sin_addr)
                                    : XXH3_64bits (&in6->sin6_addr, sizeof in6->sin6_addr);
}

static void
caller_open (MfListener *listener, int fd, const struct sockaddr_storage *from)
{
  MfCaller *caller = calloc (1, sizeof *caller);
  int one = 1;

  if (caller == NULL)
    {
      close (fd);
      return;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  caller->listener = listener;
  caller->fd = fd;
  caller->address_hash = hash_address (from);
  caller->next = listener->callers;
  if (listener->callers != NULL)
    listener->callers->prev = caller;
  listener->callers = caller;
  listener->n_callers++;
  mf_message_init (&caller->message, HTTP_REQUEST, listener->dialect, &message_events, caller);
  ev_io_init (&caller->reader, on_readable, fd, EV_READ);
  ev_io_init (&caller->writer, on_writable, fd, EV_WRITE);
  ev_init (&caller->timer, on_timer);
  caller->reader.data = caller;
  caller->writer.data = caller;
  caller->timer.data = caller;
  ev_io_start (listener->loop, &caller->reader);
  timer_set (caller, listener->limits.idle_timeout_us);
}

/* Opens at most so many of the connections that wait. */
static void
listener_accept (MfListener *listener, uint32_t n_max)
{
  for (uint32_t i = 0; i < n_max; i++)
    {
      struct sockaddr_storage from = { 0 };
      socklen_t from_bytes = sizeof from;
      int fd = accept4 (listener->fd, (struct sockaddr *)&from, &from_bytes,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0)
        return;
      if (listener->n_callers >= listener->limits.callers_max)
        close (fd);
      else
        caller_open (listener, fd, &from);
    }
}

static void
on_acceptable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  listener_accept (watcher->data, ACCEPTS_MAX);
}

/* Listens at an address. The callbacks and their data are borrowed. Returns NULL with error set on
 * failure. */
MfListener *
mf_listener_new (struct ev_loop *loop, const char *address, const MfDialect *dialect,
                 const MfListenerCallbacks *callbacks, void *data, MfError *error)
{
  MfListener *listener = calloc (1, sizeof *listener);

  if (listener == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while opening a listener");
      return NULL;
    }
  *listener
      = (MfListener){ .loop = loop, .dialect = dialect, .callbacks = callbacks, .data = data };
  listener->fd = mf_socket_listen (address, error);
  if (listener->fd < 0)
    {
      free (listener);
      return NULL;
    }
  ev_io_init (&listener->acceptor, on_acceptable, listener->fd, EV_READ);
  listener->acceptor.data = listener;
  ev_io_start (loop, &listener->acceptor);
  return listener;
}

/* Closes the listener and all its connections at once. Accepts NULL. */
void
mf_listener_free (MfListener *listener)
{
  if (listener == NULL)
    return;
  mf_listener_stop_accepting (listener);
  while (listener->callers != NULL)
    {
      MfCaller *caller = listener->callers;

      caller_hold (caller);
      caller_close (caller);
      caller_release (caller);
    }
  free (listener);
}

/* Sets the limits for requests that are read from now on. */
void
mf_listener_set_limits (MfListener *listener, const MfListenerLimits *limits)
{
  listener->limits = *limits;
}

/* Returns the number of open connections, idle ones included. */
uint32_t
mf_listener_n_callers (const MfListener *listener)
{
  return listener->n_callers;
}

/* From now on each connection closes after its next response. */
void
mf_listener_end_keep_alive (MfListener *listener)
{
  listener->keep_alive_ended = true;
}

/* Whether the caller has sent something that has not been read yet. */
static bool
caller_has_unread (const MfCaller *caller)
{
  char byte;

  return recv (caller->fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Closes the connections on which no request has started or has arrived. */
void
mf_listener_close_idle (MfListener *listener)
{
  MfCaller *next;

  for (MfCaller *caller = listener->callers; caller != NULL; caller = next)
    {
      next = caller->next;
      if (caller->state != CALLER_READING || caller->message.started || caller_has_unread (caller))
        continue;
      caller_hold (caller);
      caller_close (caller);
      caller_release (caller);
    }
}

/* Closes the listening socket; open connections stay. Those that the kernel has accepted are opened
 * first: closing the socket would reset them. */
void
mf_listener_stop_accepting (MfListener *listener)
{
  if (listener->fd < 0)
    return;
  listener_accept (listener, SOMAXCONN);
  ev_io_stop (listener->loop, &listener->acceptor);
  close (listener->fd);
  listener->fd = -1;
}

/* Returns the head of the request that is being served. */
const MfHead *
mf_caller_head (const MfCaller *caller)
{
  return &caller->message.head;
}

const char *
mf_caller_method (const MfCaller *caller)
{
  return http_method_str (caller->message.parser.method);
}

const MfBuffer *
mf_caller_body (const MfCaller *caller)
{
  return &caller->body;
}

/* Returns when the first byte of the request was read, on the monotonic clock. */
uint64_t
mf_caller_started_us (const MfCaller *caller)
{
  return caller->started_us;
}

/* Returns the number of complete requests that have been read on this connection, the one that is
 * being served included. */
uint32_t
mf_caller_n_requests (const MfCaller *caller)
{
  return caller->n_requests;
}

/* Returns a hash of the peer's IP address, without the port. */
uint64_t
mf_caller_address_hash (const MfCaller *caller)
{
  return caller->address_hash;
}

/* Attaches a pointer of the user to the request; it is cleared when the response ends. */
void
mf_caller_set_job (MfCaller *caller, void *job)
{
  caller->job = job;
}

void *
mf_caller_job (const MfCaller *caller)
{
  return caller->job;
}
