#include "link.h"

#include "libmangofork/clock.h"
#include "libmangofork/socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Bytes read from a connection at a time; an event of a stream is below 3 KB. */
#define READ_BYTES 16384
/* Bytes of a request's id, as in MfLinkCall.echo_id. */
#define REQUEST_ID_BYTES 128
/* Part of the idle time a peer names that is used: the close must not cross a request. */
#define KEEP_ALIVE_PERCENT 60
/* Probes of a silent connection: first after, then every second, so many. A peer that is gone is
 * then found within four seconds. */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 3

typedef enum
{
  LINK_CONNECTING,
  LINK_BUSY,
  LINK_IDLE,
  LINK_ENDING, /* its end is reported from the loop */
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
  ev_timer timer; /* connecting: time-out; idle: close; ending: at once */
  MfMessage message;
  MfBuffer out;
  const MfLinkUser *user;
  void *data;
  char echo_id[REQUEST_ID_BYTES];
  bool head_only;
  bool id_mismatch;     /* the answer being read belongs to another request */
  bool had_id_mismatch; /* some answer on this connection did */
  bool has_sent;
  bool no_request;  /* opened to see whether the peer takes it */
  bool in_callback; /* the user is being called */
  bool cancelled;   /* by the user, while it was being called */
  uint64_t timeout_us;
  uint64_t idle_since_us;
  uint64_t idle_timeout_us; /* how long it may be idle */
  const char *why;
};

/* Takes the link out of its pool, which may be gone before the link is. */
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

/* Reports the end and frees the link. */
static void
link_end (MfLink *link, MfLinkEnd end, const char *why)
{
  const MfLinkUser *user = link->user;
  void *data = link->data;

  link_free (link);
  user->end (data, end, why);
}

static void
link_fail (MfLink *link, const char *why)
{
  link_end (link, link->has_sent ? MF_LINK_BROKEN : MF_LINK_UNREACHED, why);
}

/* Reports a failure from the loop, as the user must not be called while it calls. */
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

/* Puts a connection with nothing on it among the idle ones, for so long. */
static void
link_make_idle (MfLink *link, uint64_t idle_timeout_us)
{
  MfLinkPool *pool = link->pool;

  mf_message_reset (&link->message);
  mf_buffer_clear (&link->out);
  link->state = LINK_IDLE;
  link->user = NULL;
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

/* Keeps the connection for the next request, or closes it when that would not be safe. */
static void
link_recycle (MfLink *link, bool has_surplus)
{
  MfLinkPool *pool = link->pool;
  char value[64];
  uint64_t idle_timeout_us = pool->idle_default_us;

  if (mf_head_copy (&link->message.head, MF_WORD_KEEP_ALIVE, value, sizeof value))
    {
      const char *timeout = strstr (value, "timeout=");

      if (timeout != NULL)
        idle_timeout_us = strtoull (timeout + 8, NULL, 10) * MF_US_PER_S * KEEP_ALIVE_PERCENT / 100;
    }
  if (has_surplus || link->had_id_mismatch || mf_buffer_bytes (&link->out) > 0
      || idle_timeout_us == 0 || !http_should_keep_alive (&link->message.parser)
      || pool->n_idle >= pool->n_idle_max)
    {
      link_free (link);
      return;
    }
  link_make_idle (link, idle_timeout_us);
}

/* The answer to this request is whole. */
static void
link_complete (MfLink *link, bool has_surplus)
{
  const MfLinkUser *user = link->user;
  void *data = link->data;

  link_recycle (link, has_surplus);
  user->end (data, MF_LINK_WHOLE, "answered");
}

static bool
on_head (MfMessage *message, void *data)
{
  MfLink *link = data;
  MfLinkPool *pool = link->pool;
  char id[REQUEST_ID_BYTES];

  if (pool->heard != NULL)
    pool->heard (pool->owner, &message->head, message->parser.status_code);
  /* An upstream echoes the id that it was sent: what names any other, or names one where none was
   * sent, answers another request. */
  link->id_mismatch = mf_head_copy (&message->head, MF_WORD_REQUEST_ID, id, sizeof id)
                      && id[0] != '\0' && strcmp (id, link->echo_id) != 0;
  if (link->id_mismatch)
    {
      link->had_id_mismatch = true;
      return true;
    }
  if (link->user->head != NULL)
    link->user->head (link->data, &message->head, message->parser.status_code);
  return !link->head_only;
}

static void
on_body (MfMessage *message, const char *bytes, size_t n_bytes, void *data)
{
  MfLink *link = data;

  (void)message;
  if (!link->id_mismatch && !link->cancelled && link->user->body != NULL)
    link->user->body (link->data, bytes, n_bytes);
}

static const MfMessageEvents message_events = { .head = on_head, .body = on_body };

/* Reads the answers in some bytes. Returns false when the link is gone. */
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
      if (link->message.fault != MF_CODE_OK)
        {
          link_fail (link, "the answer is not HTTP");
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

/* The peer has closed or the connection has failed. */
static void
link_closed (MfLink *link, bool clean)
{
  bool complete;

  link->in_callback = true;
  complete = clean && !link->id_mismatch && mf_message_finish (&link->message);
  link->in_callback = false;
  if (link->cancelled)
    link_free (link);
  else if (complete)
    link_end (link, MF_LINK_WHOLE, "answered");
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
      /* Closed, or an answer that nobody asked for. */
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

/* Writes what is left of the request. Returns false on a failed connection. */
static bool
link_flush (MfLink *link)
{
  while (mf_buffer_bytes (&link->out) > 0)
    {
      ssize_t n_sent = send (link->fd, mf_buffer_data (&link->out), mf_buffer_bytes (&link->out),
                             MSG_NOSIGNAL);

      if (n_sent < 0 && errno == EINTR)
        continue;
      if (n_sent < 0 && errno == EAGAIN)
        {
          ev_io_start (link->pool->loop, &link->writer);
          return true;
        }
      if (n_sent < 0)
        return false;
      link->has_sent = true;
      mf_buffer_take (&link->out, (size_t)n_sent);
    }
  ev_io_stop (link->pool->loop, &link->writer);
  return true;
}

/* Starts the time within which the answer must be whole, if there is one. */
static void
link_set_timeout (MfLink *link)
{
  ev_timer_stop (link->pool->loop, &link->timer);
  if (link->timeout_us == 0)
    return;
  link->why = "no whole answer in time";
  ev_timer_set (&link->timer, (double)link->timeout_us / (double)MF_US_PER_S, 0.);
  ev_timer_start (link->pool->loop, &link->timer);
}

/* The connection could not be made. */
static void
link_connect_failed (MfLink *link, int fault)
{
  MfLinkPool *pool = link->pool;

  if (fault == ECONNREFUSED && pool->refused != NULL)
    pool->refused (pool->owner);
  link_fail (link, "the connection was refused");
}

/* The peer has taken a connection without a request, which waits for the next one. */
static void
link_opened (MfLink *link)
{
  MfLinkPool *pool = link->pool;
  const MfLinkUser *user = link->user;
  void *data = link->data;

  ev_io_stop (pool->loop, &link->writer);
  link->no_request = false;
  if (pool->n_idle < pool->n_idle_max && pool->idle_default_us > 0)
    link_make_idle (link, pool->idle_default_us);
  else
    link_free (link);
  user->end (data, MF_LINK_WHOLE, "connected");
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  MfLink *link = watcher->data;
  int fault = 0;
  socklen_t fault_bytes = sizeof fault;

  (void)loop;
  (void)events;
  if (link->state == LINK_CONNECTING)
    {
      if (getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &fault, &fault_bytes) != 0 || fault != 0)
        {
          link_connect_failed (link, fault);
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
  /* A peer may answer and close before it has read all; its answer is read first. */
  if (!link_flush (link))
    {
      ev_io_stop (link->pool->loop, &link->writer);
      if (!link->has_sent)
        link_fail (link, "the connection was reset");
    }
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
      link_fail (link, "connecting took too long");
      return;
    default:
      link_fail (link, link->why);
      return;
    }
}

/* Makes the kernel find out about a peer that is gone without a word. */
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

/* Opens a connection; its failure, if at once, is reported from the loop. */
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
  ev_timer_init (&link->timer, on_timer, (double)pool->connect_timeout_us / (double)MF_US_PER_S,
                 0.);
  link->timer.data = link;
  ev_init (&link->reader, on_readable);
  ev_init (&link->writer, on_writable);
  link->reader.data = link;
  link->writer.data = link;
  if (link->fd < 0)
    {
      link_fail_later (link, "no connection could be opened");
      return link;
    }
  socket_set_keepalive (link->fd, pool->unacked_timeout_us);
  ev_io_set (&link->reader, link->fd, EV_READ);
  ev_io_set (&link->writer, link->fd, EV_WRITE);
  ev_io_start (pool->loop, &link->writer);
  ev_timer_start (pool->loop, &link->timer);
  return link;
}

/* Takes the connection that was used last, unless it has been idle for too long. */
static MfLink *
idle_take (MfLinkPool *pool, uint64_t idle_max_us)
{
  MfLink *link = pool->idle;
  uint64_t now_us;

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

/* Opens a connection without a request, to see whether the peer takes it; it is then kept for the
 * next request. NULL without memory. */
MfLink *
mf_link_open (MfLinkPool *pool, const MfLinkUser *user, void *data)
{
  MfLink *link = link_connect (pool);

  if (link == NULL)
    return NULL;
  link->user = user;
  link->data = data;
  link->no_request = true;
  return link;
}

/* Sends a request on an idle connection or a new one. NULL without memory or descriptors. */
MfLink *
mf_link_start (MfLinkPool *pool, const MfLinkCall *call)
{
  MfLink *link = idle_take (pool, call->idle_max_us);

  if (link == NULL)
    link = link_connect (pool);
  if (link == NULL)
    return NULL;
  link->user = call->user;
  link->data = call->data;
  link->has_sent = false;
  link->id_mismatch = false;
  link->head_only = call->head_only;
  link->timeout_us = call->timeout_us;
  link->echo_id[0] = '\0';
  if (call->echo_id != NULL && strlen (call->echo_id) < sizeof link->echo_id)
    memcpy (link->echo_id, call->echo_id, strlen (call->echo_id) + 1);
  mf_buffer_add (&link->out, call->head, call->head_bytes);
  mf_buffer_add (&link->out, call->body, call->body_bytes);
  if (link->out.failed)
    link_fail_later (link, "memory ran out");
  else if (link->state == LINK_BUSY)
    {
      link_set_timeout (link);
      if (!link_flush (link) && !link->has_sent)
        link_fail_later (link, "the connection was reset");
    }
  return link;
}

/* Ends the exchange and closes its connection; the user hears nothing more. */
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

/* Stops or goes on reading the answer, for a caller that reads slowly. */
void
mf_link_hold (MfLink *link, bool held)
{
  if (link->state != LINK_BUSY)
    return;
  if (held)
    ev_io_stop (link->pool->loop, &link->reader);
  else
    ev_io_start (link->pool->loop, &link->reader);
}

/* Whether a byte of the request may have left. */
bool
mf_link_has_sent (const MfLink *link)
{
  return link->has_sent;
}

/* Closes the idle connections. */
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
