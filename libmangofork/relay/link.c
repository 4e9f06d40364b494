#include "link.h"

#include "libmangofork/clock.h"
#include "libmangofork/socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>
#include <xxhash.h>

/* Bytes read from a connection at a time; the events of an engine's stream are below 3 KB. */
#define READ_BYTES 16384
/* Bytes of a response head at most; those of the known upstreams are below 1 KB. */
#define HEAD_BYTES_MAX 16384
/* Bytes of a request id, including the terminating NUL. */
#define REQUEST_ID_BYTES 128
/* Part of the peer's Keep-Alive timeout for which an idle connection is reused. The margin keeps a
 * request from being sent while the peer closes the connection. */
#define KEEP_ALIVE_PERCENT 60
/* Request ids that a connection remembers; one is sent again soon or never. */
#define CARRIED_IDS_MAX 32
/* TCP keep-alive: a peer that has vanished is detected within four seconds. */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 3

typedef enum
{
  LINK_CONNECTING,
  LINK_BUSY,
  LINK_IDLE,
  LINK_ENDING, /* has failed; the event loop reports it */
} LinkState;

struct MfLink
{
  MfLinkPool *pool;
  MfLink *next_idle;
  MfLink *prev_idle;
  int fd;
  LinkState state;
  ev_io reader;
  ev_io writer;
  ev_timer timer; /* connecting and busy: timeout; idle: close; ending: due at once */
  MfMessage message;
  MfBuffer out;
  const char *body; /* what is to be sent after out; owned by the user of the link */
  size_t body_bytes;
  const MfLinkCallbacks *callbacks;
  void *data;
  char echo_id[REQUEST_ID_BYTES];
  uint64_t started_us; /* of the request */
  bool head_only;
  bool id_mismatch;     /* the response being read belongs to another request */
  bool had_id_mismatch; /* a response on this connection belonged to another request */
  bool id_missing;      /* the response being read may belong to an earlier request */
  uint32_t n_requests;  /* sent on this connection */
  uint64_t carried_ids[CARRIED_IDS_MAX]; /* hashes of their ids; the oldest is overwritten */
  bool has_sent;
  /* A write has failed as the connection was reset or timed out. The write has taken the error from
   * the socket, and reads report an orderly end after it. */
  bool write_broken;
  bool no_request;  /* opened by mf_link_open */
  bool in_callback; /* a callback is running */
  bool cancelled;   /* from within a callback */
  uint64_t timeout_us;
  uint64_t idle_since_us;
  uint64_t idle_timeout_us; /* since idle_since_us */
  const char *why;
};

/* Removes the link from its pool, which may be freed before the link. */
static void
link_detach (MfLink *link)
{
  if (link->pool == NULL)
    return;
  ev_io_stop (link->pool->loop, &link->reader);
  ev_io_stop (link->pool->loop, &link->writer);
  ev_timer_stop (link->pool->loop, &link->timer);
  link->pool->n_links--;
  link->pool = NULL;
}

static void
link_free (MfLink *link)
{
  link_detach (link);
  if (link->fd >= 0)
    close (link->fd);
  mf_message_clear (&link->message);
  mf_buffer_clear (&link->out);
  free (link);
}

static void
idle_remove (MfLink *link)
{
  MfLinkPool *pool = link->pool;

  if (link->prev_idle != NULL)
    link->prev_idle->next_idle = link->next_idle;
  else
    pool->idle = link->next_idle;
  if (link->next_idle != NULL)
    link->next_idle->prev_idle = link->prev_idle;
  link->next_idle = NULL;
  link->prev_idle = NULL;
  pool->n_idle--;
}

/* Frees the link and reports the end of the exchange. */
static void
link_end (MfLink *link, MfLinkEnd end, const char *why)
{
  const MfLinkCallbacks *callbacks = link->callbacks;
  void *data = link->data;

  link_free (link);
  callbacks->end (data, end, why);
}

static void
link_fail (MfLink *link, const char *why)
{
  link_end (link, link->has_sent ? MF_LINK_BROKEN : MF_LINK_UNREACHED, why);
}

/* Reports a failure from the event loop, since callbacks must not run within mf_link_start. */
static void
link_fail_later (MfLink *link, const char *why)
{
  link->state = LINK_ENDING;
  link->why = why;
  ev_io_stop (link->pool->loop, &link->reader);
  ev_io_stop (link->pool->loop, &link->writer);
  ev_timer_stop (link->pool->loop, &link->timer);
  ev_timer_set (&link->timer, 0., 0.);
  ev_timer_start (link->pool->loop, &link->timer);
}

/* Size of the part of the request that is still to be sent. */
static size_t
link_unsent_bytes (const MfLink *link)
{
  return mf_buffer_bytes (&link->out) + link->body_bytes;
}

/* Adds the connection to the idle ones, for idle_timeout_us at most. */
static void
link_make_idle (MfLink *link, uint64_t idle_timeout_us)
{
  MfLinkPool *pool = link->pool;

  mf_message_reset (&link->message);
  mf_buffer_clear (&link->out);
  link->state = LINK_IDLE;
  link->callbacks = NULL;
  link->idle_timeout_us = idle_timeout_us;
  link->idle_since_us = mf_clock_now_us ();
  link->next_idle = pool->idle;
  if (pool->idle != NULL)
    pool->idle->prev_idle = link;
  pool->idle = link;
  pool->n_idle++;
  ev_io_start (pool->loop, &link->reader);
  ev_timer_stop (pool->loop, &link->timer);
  ev_timer_set (&link->timer, (double)idle_timeout_us / (double)MF_US_PER_S, 0.);
  ev_timer_start (pool->loop, &link->timer);
}

/* Keeps the connection for the next request, or closes it when its reuse would not be safe.
 * has_surplus is true when bytes have followed the response. */
static void
link_recycle (MfLink *link, bool has_surplus)
{
  MfLinkPool *pool = link->pool;
  char value[64];
  uint64_t idle_timeout_us = pool->idle_default_us;

  if (mf_head_copy (&link->message.head, MF_HEADER_KEEP_ALIVE, value, sizeof value))
    {
      const char *timeout = strstr (value, "timeout=");

      if (timeout != NULL)
        idle_timeout_us = strtoull (timeout + 8, NULL, 10) * MF_US_PER_S * KEEP_ALIVE_PERCENT / 100;
    }
  if (has_surplus || link->had_id_mismatch || link_unsent_bytes (link) > 0 || idle_timeout_us == 0
      || !http_should_keep_alive (&link->message.parser) || pool->n_idle >= pool->n_idle_max)
    {
      link_free (link);
      return;
    }
  link_make_idle (link, idle_timeout_us);
}

static void
link_complete (MfLink *link, bool has_surplus)
{
  const MfLinkCallbacks *callbacks = link->callbacks;
  void *data = link->data;

  link_recycle (link, has_surplus);
  callbacks->end (data, MF_LINK_COMPLETE, "answered");
}

static bool
on_head (MfMessage *message, void *data)
{
  MfLink *link = data;
  MfLinkPool *pool = link->pool;
  char id[REQUEST_ID_BYTES] = "";
  bool has_id = mf_head_copy (&message->head, MF_HEADER_REQUEST_ID, id, sizeof id) && id[0] != '\0';
  bool is_own = has_id && strcmp (id, link->echo_id) == 0;

  if (pool->on_response != NULL)
    pool->on_response (pool->owner, &message->head, message->parser.status_code,
                       is_own ? link->started_us : 0);
  /* An upstream echoes the request id that it was sent. A response with another id, or with an id
   * where none was sent, is the late response to another request and is skipped. */
  link->id_mismatch = has_id && !is_own;
  if (link->id_mismatch)
    {
      link->had_id_mismatch = true;
      return true;
    }
  link->id_missing = !has_id && link->echo_id[0] != '\0' && link->n_requests > 1
                     && message->parser.status_code >= 200;
  if (link->id_missing)
    return true;
  if (link->callbacks->head != NULL)
    link->callbacks->head (link->data, &message->head, message->parser.status_code);
  return !link->head_only;
}

static void
on_body (MfMessage *message, const char *bytes, size_t n_bytes, void *data)
{
  MfLink *link = data;

  (void)message;
  if (!link->id_mismatch && !link->id_missing && !link->cancelled && link->callbacks->body != NULL)
    link->callbacks->body (link->data, bytes, n_bytes);
}

static const MfMessageCallbacks message_events = { .head = on_head, .body = on_body };

/* Parses received bytes. Returns false when the link has ended or become idle. */
static bool
link_feed (MfLink *link, const char *bytes, size_t n_bytes)
{
  size_t offset = 0;

  while (offset < n_bytes)
    {
      link->in_callback = true;
      offset += mf_message_feed (&link->message, bytes + offset, n_bytes - offset);
      link->in_callback = false;
      if (link->cancelled)
        {
          link_free (link);
          return false;
        }
      if (link->message.error_code != MF_CODE_OK)
        {
          link_fail (link, link->message.error_code == MF_CODE_BAD_STATUS
                               ? mf_code_info (MF_CODE_BAD_STATUS)->summary
                               : "malformed HTTP response");
          return false;
        }
      if (link->id_missing)
        {
          link_fail (link, "response without an id on a used connection");
          return false;
        }
      if (!link->message.done)
        return true;
      if (link->id_mismatch)
        {
          mf_message_reset (&link->message);
          link->id_mismatch = false;
          continue;
        }
      link_complete (link, offset < n_bytes);
      return false;
    }
  return true;
}

/* Handles the end of a connection. at_end is set when the last read has reported the peer's orderly
 * end, which proves that all bytes of a response without a length have come, unless a write has
 * failed before. */
static void
link_closed (MfLink *link, bool at_end)
{
  bool clean = at_end && !link->write_broken;
  bool complete;

  link->in_callback = true;
  complete = clean && !link->id_mismatch && mf_message_finish (&link->message);
  link->in_callback = false;
  if (link->cancelled)
    link_free (link);
  else if (complete)
    link_end (link, MF_LINK_CLOSED, "answered");
  else
    link_fail (link, clean ? "the upstream closed the connection" : "the connection was reset");
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  MfLink *link = watcher->data;
  char bytes[READ_BYTES];
  ssize_t n_read = read (link->fd, bytes, sizeof bytes);

  (void)loop;
  (void)events;
  if (n_read < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (link->state == LINK_IDLE)
    {
      /* Closed by the peer, or a response without a request. */
      idle_remove (link);
      link_free (link);
      return;
    }
  if (n_read <= 0)
    {
      link_closed (link, n_read == 0);
      return;
    }
  link_feed (link, bytes, (size_t)n_read);
}

/* Sends a part of the request. Returns as send() does. */
static ssize_t
link_send (const MfLink *link)
{
  struct iovec parts[] = {
    { .iov_base = (void *)mf_buffer_data (&link->out), .iov_len = mf_buffer_bytes (&link->out) },
    { .iov_base = (void *)link->body, .iov_len = link->body_bytes },
  };
  struct msghdr message = { .msg_iov = parts, .msg_iovlen = MF_ARRAY_LEN (parts) };

  return sendmsg (link->fd, &message, MSG_NOSIGNAL);
}

/* Removes bytes that have been sent: first of the head, then of the body. */
static void
link_consume (MfLink *link, size_t n_bytes)
{
  size_t out_bytes = mf_buffer_bytes (&link->out);

  if (n_bytes <= out_bytes)
    {
      mf_buffer_consume (&link->out, n_bytes);
      return;
    }
  mf_buffer_clear (&link->out);
  link->body += n_bytes - out_bytes;
  link->body_bytes -= n_bytes - out_bytes;
}

/* Sends the rest of the request, as far as the socket takes it. Returns false on a failed
 * connection, after which nothing more is sent. The first write reports EPIPE only when the reset
 * has followed the peer's orderly end: a peer may respond and close before it has read the complete
 * request, and its response is whole. */
static bool
link_flush (MfLink *link)
{
  while (link_unsent_bytes (link) > 0)
    {
      ssize_t n_sent = link_send (link);

      if (n_sent < 0 && errno == EINTR)
        continue;
      if (n_sent < 0 && errno == EAGAIN)
        {
          ev_io_start (link->pool->loop, &link->writer);
          return true;
        }
      if (n_sent < 0)
        {
          link->write_broken = errno != EPIPE;
          ev_io_stop (link->pool->loop, &link->writer);
          return false;
        }
      link->has_sent = true;
      link_consume (link, (size_t)n_sent);
    }
  ev_io_stop (link->pool->loop, &link->writer);
  return true;
}

/* Starts the timeout of the exchange, if it has one. */
static void
link_set_timeout (MfLink *link)
{
  ev_timer_stop (link->pool->loop, &link->timer);
  if (link->timeout_us == 0)
    return;
  link->why = "response timed out";
  ev_timer_set (&link->timer, (double)link->timeout_us / (double)MF_US_PER_S, 0.);
  ev_timer_start (link->pool->loop, &link->timer);
}

static void
link_connect_failed (MfLink *link, int socket_error)
{
  MfLinkPool *pool = link->pool;

  if (socket_error == ECONNREFUSED && pool->refused != NULL)
    pool->refused (pool->owner);
  link_fail (link, "connect failed");
}

/* A connection without a request has been accepted; it is kept for the next request. */
static void
link_opened (MfLink *link)
{
  MfLinkPool *pool = link->pool;
  const MfLinkCallbacks *callbacks = link->callbacks;
  void *data = link->data;

  ev_io_stop (pool->loop, &link->writer);
  link->no_request = false;
  if (pool->n_idle < pool->n_idle_max && pool->idle_default_us > 0)
    link_make_idle (link, pool->idle_default_us);
  else
    link_free (link);
  callbacks->end (data, MF_LINK_COMPLETE, "connected");
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  MfLink *link = watcher->data;
  int socket_error = 0;
  socklen_t socket_error_bytes = sizeof socket_error;

  (void)loop;
  (void)events;
  if (link->state == LINK_CONNECTING)
    {
      if (getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &socket_error, &socket_error_bytes) != 0
          || socket_error != 0)
        {
          link_connect_failed (link, socket_error);
          return;
        }
      if (link->no_request)
        {
          link_opened (link);
          return;
        }
      link->state = LINK_BUSY;
      ev_io_start (link->pool->loop, &link->reader);
      link_set_timeout (link);
    }
  /* A peer may respond and close before it has read the complete request; its response is read
   * first. */
  if (!link_flush (link) && !link->has_sent)
    link_fail (link, "the connection was reset");
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  MfLink *link = watcher->data;

  (void)loop;
  (void)events;
  switch (link->state)
    {
    case LINK_IDLE:
      idle_remove (link);
      link_free (link);
      return;
    case LINK_CONNECTING:
      link_fail (link, "connect timed out");
      return;
    default:
      link_fail (link, link->why);
      return;
    }
}

/* Makes the kernel detect a peer that has vanished without closing the connection. */
static void
socket_set_keepalive (int fd, uint64_t unacked_timeout_us)
{
  int one = 1;
  int idle_s = PROBE_IDLE_S;
  int interval_s = PROBE_INTERVAL_S;
  int count = PROBE_COUNT;
  unsigned int timeout_ms = (unsigned int)(unacked_timeout_us / MF_US_PER_MS);

  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
  if (timeout_ms > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

/* Opens a connection. An immediate failure is reported from the event loop. */
static MfLink *
link_connect (MfLinkPool *pool)
{
  MfLink *link = calloc (1, sizeof *link);
  MfError error = { 0 };

  if (link == NULL)
    return NULL;
  link->pool = pool;
  link->fd = mf_socket_connect (pool->address, &error);
  link->state = LINK_CONNECTING;
  pool->n_links++;
  pool->n_connects++;
  mf_message_init (&link->message, HTTP_RESPONSE, pool->dialect, &message_events, link);
  link->message.head_bytes_max = HEAD_BYTES_MAX;
  ev_timer_init (&link->timer, on_timer, (double)pool->connect_timeout_us / (double)MF_US_PER_S,
                 0.);
  link->timer.data = link;
  ev_init (&link->reader, on_readable);
  ev_init (&link->writer, on_writable);
  link->reader.data = link;
  link->writer.data = link;
  if (link->fd < 0)
    {
      link_fail_later (link, "could not open a connection");
      return link;
    }
  socket_set_keepalive (link->fd, pool->unacked_timeout_us);
  ev_io_set (&link->reader, link->fd, EV_READ);
  ev_io_set (&link->writer, link->fd, EV_WRITE);
  ev_io_start (pool->loop, &link->writer);
  ev_timer_start (pool->loop, &link->timer);
  return link;
}

static uint64_t
id_hash (const char *id)
{
  return id != NULL ? XXH3_64bits (id, strlen (id)) : 0;
}

static bool
link_has_carried (const MfLink *link, uint64_t id)
{
  for (uint32_t i = 0; i < CARRIED_IDS_MAX && id != 0; i++)
    {
      if (link->carried_ids[i] == id)
        return true;
    }
  return false;
}

/* Returns the most recently used idle connection that has not carried this id, or NULL when it has
 * been idle for too long. A copy of an earlier answer would have the id as well. */
static MfLink *
idle_take (MfLinkPool *pool, uint64_t id, uint64_t idle_max_us)
{
  MfLink *link = pool->idle;
  uint64_t now_us;

  while (link != NULL && link_has_carried (link, id))
    link = link->next_idle;
  if (link == NULL)
    return NULL;
  now_us = mf_clock_now_us ();
  if (now_us - link->idle_since_us > link->idle_timeout_us
      || (idle_max_us > 0 && now_us - link->idle_since_us > idle_max_us))
    return NULL;
  idle_remove (link);
  ev_timer_stop (pool->loop, &link->timer);
  link->state = LINK_BUSY;
  return link;
}

/* Opens a connection without a request, to see whether the peer accepts it; it is then kept for the
 * next request. Returns NULL when memory runs out. */
MfLink *
mf_link_open (MfLinkPool *pool, const MfLinkCallbacks *callbacks, void *data)
{
  MfLink *link = link_connect (pool);

  if (link == NULL)
    return NULL;
  link->callbacks = callbacks;
  link->data = data;
  link->no_request = true;
  return link;
}

/* Copies what is unsent of a body whose owner does not keep it any longer. Returns false when
 * memory runs out. */
bool
mf_link_copy_body (MfLink *link)
{
  mf_buffer_add (&link->out, link->body, link->body_bytes);
  link->body_bytes = 0;
  return !link->out.failed;
}

/* Sends a request on an idle connection or a new one. Returns NULL when memory runs out; all other
 * failures are reported to the end callback. */
MfLink *
mf_link_start (MfLinkPool *pool, const MfLinkRequest *request)
{
  uint64_t id = id_hash (request->echo_id);
  MfLink *link = idle_take (pool, id, request->idle_max_us);

  if (link == NULL)
    link = link_connect (pool);
  if (link == NULL)
    return NULL;
  link->callbacks = request->callbacks;
  link->data = request->data;
  link->has_sent = false;
  link->id_mismatch = false;
  link->head_only = request->head_only;
  link->timeout_us = request->timeout_us;
  link->started_us = mf_clock_now_us ();
  link->carried_ids[link->n_requests++ % CARRIED_IDS_MAX] = id;
  link->echo_id[0] = '\0';
  if (request->echo_id != NULL && strlen (request->echo_id) < sizeof link->echo_id)
    memcpy (link->echo_id, request->echo_id, strlen (request->echo_id) + 1);
  mf_buffer_add (&link->out, request->head, request->head_bytes);
  link->body = request->body;
  link->body_bytes = request->body_bytes;
  if (!request->body_is_kept)
    mf_link_copy_body (link);
  if (link->out.failed)
    link_fail_later (link, "out of memory while sending a request");
  else if (link->state == LINK_BUSY)
    {
      link_set_timeout (link);
      if (!link_flush (link) && !link->has_sent)
        link_fail_later (link, "the connection was reset");
    }
  return link;
}

/* Ends the exchange and closes its connection; no callback is called any more. */
void
mf_link_cancel (MfLink *link)
{
  if (!link->in_callback)
    {
      link_free (link);
      return;
    }
  link->cancelled = true;
  link_detach (link);
}

/* Replaces the callbacks of an exchange; their data stays. */
void
mf_link_set_callbacks (MfLink *link, const MfLinkCallbacks *callbacks)
{
  link->callbacks = callbacks;
}

/* Pauses or continues reading the response, for a caller that reads slowly. */
void
mf_link_pause_reading (MfLink *link, bool paused)
{
  if (link->state != LINK_BUSY)
    return;
  if (paused)
    ev_io_stop (link->pool->loop, &link->reader);
  else
    ev_io_start (link->pool->loop, &link->reader);
}

/* Whether any byte of the request has been sent. */
bool
mf_link_has_sent (const MfLink *link)
{
  return link->has_sent;
}

/* Closes the idle connections of the pool. */
void
mf_link_pool_close (MfLinkPool *pool)
{
  while (pool->idle != NULL)
    {
      MfLink *link = pool->idle;

      idle_remove (link);
      link_free (link);
    }
}
