#include "peer_link.h"

#include "buffer.h"
#include "frame.h"
#include "peer_auth.h"
#include "socket.h"
#include "table.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

/* For the connection and the handshake together. */
#define HANDSHAKE_TIMEOUT_S 3.0
/* Maximum numbers of links that are not authenticated yet, and of all links. */
#define HALF_OPEN_MAX 64
#define LINKS_MAX 1024
/* A link with more unsent bytes is closed: the peer reads too slowly. */
#define UNSENT_BYTES_MAX ((size_t)2 * MF_FRAME_BYTES_MAX)
/* TCP_USER_TIMEOUT: a connection fails when sent data is not acknowledged for this long. */
#define UNACKED_TIMEOUT_MS 10000
#define READ_BUFFER_BYTES 65536
#define LENGTH_BYTES 4
#define CIPHER_OVERHEAD_BYTES crypto_secretstream_xchacha20poly1305_ABYTES

typedef enum
{
  LINK_CONNECTING,
  LINK_HELLO, /* waiting for the peer's hello */
  LINK_PROOF, /* responder: waiting for the initiator's proof */
  LINK_UP,
  LINK_CLOSED,
} LinkState;

typedef struct Link Link;

struct Link
{
  MfPeerLinks *links;
  uint32_t id;
  int fd;
  LinkState state;
  bool failing; /* will be closed by on_timeout */
  MfPeerAuth auth;
  char expected[MF_NAME_BYTES]; /* initiator: name of the instance to reach; else "" */
  MfBuffer in;
  MfBuffer out;
  ev_io read;
  ev_io write;
  ev_timer timeout; /* of the handshake; at once for a link that is failing */
  Link *prev;
  Link *next;
  UT_hash_handle hh; /* by id, while up */
};

struct MfPeerLinks
{
  struct ev_loop *loop;
  MfPeerLinkOptions options;
  char address[MF_ADDRESS_BYTES];
  void (*on_event) (const MfEvent *event, void *data);
  void *data;
  int fd;
  ev_io accept;
  ev_prepare reap;
  Link *open;   /* all but the closed ones */
  Link *up;     /* by id */
  Link *closed; /* freed by links_reap */
  uint32_t n_open;
  uint32_t n_half_open;
  uint32_t last_id;
  MfPeerLinkStats stats;
};

/* Closes a link without an event. links_reap frees it later: a function of it may be running. */
static void
link_close (Link *link)
{
  MfPeerLinks *links = link->links;

  if (link->state == LINK_CLOSED)
    return;
  if (link->state == LINK_UP)
    HASH_DEL (links->up, link);
  else
    links->n_half_open--;
  link->state = LINK_CLOSED;
  ev_io_stop (links->loop, &link->read);
  ev_io_stop (links->loop, &link->write);
  ev_timer_stop (links->loop, &link->timeout);
  if (link->fd >= 0)
    close (link->fd);
  DL_DELETE (links->open, link);
  DL_APPEND (links->closed, link);
  links->n_open--;
}

static void
link_emit (Link *link, MfEventType type, const MfPeerMessage *message)
{
  MfEvent event = { .type = type,
                    .peer = { .link_id = link->id, .peer = link->auth.peer, .message = message } };

  mf_name_set (event.peer.address, sizeof event.peer.address, link->auth.peer_address);
  link->links->on_event (&event, link->links->data);
}

/* Closes a link and emits MF_EVENT_PEER_DOWN if it was authenticated or opened by this side. */
static void
link_fail (Link *link)
{
  MfEvent event = { .type = MF_EVENT_PEER_DOWN };
  LinkState state = link->state;

  if (state == LINK_CLOSED)
    return;
  link_close (link);
  if (state == LINK_UP)
    {
      link_emit (link, MF_EVENT_PEER_DOWN, NULL);
      return;
    }
  link->links->stats.refused++;
  if (link->expected[0] == '\0')
    return;
  mf_name_set (event.peer.peer.name, sizeof event.peer.peer.name, link->expected);
  link->links->on_event (&event, link->links->data);
}

/* Schedules the closing of a link in the event loop, since on_event must not be called from a
 * public function. */
static void
link_fail_deferred (Link *link)
{
  link->failing = true;
  ev_timer_stop (link->links->loop, &link->timeout);
  ev_timer_set (&link->timeout, 0, 0);
  ev_timer_start (link->links->loop, &link->timeout);
}

/* Sends as much as the socket accepts and waits until it is writable if data is left. */
static void
link_flush (Link *link)
{
  while (mf_buffer_bytes (&link->out) > 0)
    {
      ssize_t n = send (link->fd, mf_buffer_data (&link->out), mf_buffer_bytes (&link->out),
                        MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        {
          ev_io_start (link->links->loop, &link->write);
          return;
        }
      if (n < 0)
        {
          link_fail_deferred (link);
          return;
        }
      link->links->stats.bytes_out += (uint64_t)n;
      mf_buffer_consume (&link->out, (size_t)n);
    }
  ev_io_stop (link->links->loop, &link->write);
}

/* Queues the length and the payload of one frame and sends as much as possible. */
static void
frame_send (Link *link, const void *payload, size_t payload_bytes)
{
  uint32_t length = htonl ((uint32_t)payload_bytes);

  if (link->failing)
    return;
  mf_buffer_add (&link->out, &length, sizeof length);
  mf_buffer_add (&link->out, payload, payload_bytes);
  if (link->out.failed || mf_buffer_bytes (&link->out) > UNSENT_BYTES_MAX)
    {
      link_fail_deferred (link);
      return;
    }
  link_flush (link);
}

static void
payload_send (Link *link, MfBuffer *payload)
{
  frame_send (link, mf_buffer_data (payload), mf_buffer_bytes (payload));
}

/* Returns whether a new link to an instance replaces another one. A newer incarnation replaces an
 * older one. Of two links between the same processes both sides keep the one that the instance with
 * the lower name initiated, or the later one if both have the same initiator. */
static bool
link_is_preferred (const Link *link, const Link *other)
{
  const char *self = link->links->options.self.name;
  bool lower_self = strcmp (self, link->auth.peer.name) < 0;

  if (link->auth.peer.incarnation != other->auth.peer.incarnation)
    return link->auth.peer.incarnation > other->auth.peer.incarnation;
  return link->auth.initiator == other->auth.initiator || link->auth.initiator == lower_self;
}

/* Marks a link as authenticated, unless another link to the same instance is preferred. */
static void
link_up (Link *link)
{
  MfPeerLinks *links = link->links;
  Link *other;
  Link *next;

  for (other = links->open; other != NULL; other = next)
    {
      next = other->next;
      if (other == link || other->state != LINK_UP
          || strcmp (other->auth.peer.name, link->auth.peer.name) != 0)
        continue;
      if (!link_is_preferred (link, other))
        {
          link_close (link);
          return;
        }
      link_fail (other);
      next = links->open; /* the event may have closed any link */
      if (link->state == LINK_CLOSED)
        return;
    }
  links->n_half_open--;
  link->state = LINK_UP;
  HASH_ADD (hh, links->up, id, sizeof link->id, link);
  ev_timer_stop (links->loop, &link->timeout);
  link_emit (link, MF_EVENT_PEER_UP, NULL);
}

/* Handles one payload of the handshake. Returns false when the link must be closed. */
static bool
handshake_handle (Link *link, const uint8_t *payload, size_t payload_bytes)
{
  const MfPeerLinkOptions *options = &link->links->options;
  MfBuffer answer = { 0 };
  MfError error = { 0 };
  bool ok;

  if (link->state == LINK_PROOF)
    ok = mf_peer_auth_finish (&link->auth, payload, payload_bytes, &error);
  else if (link->auth.initiator)
    ok = mf_peer_auth_confirm (&link->auth, options, link->expected, payload, payload_bytes,
                               &answer, &error);
  else
    ok = mf_peer_auth_respond (&link->auth, options, payload, payload_bytes, &answer, &error);
  if (ok && mf_buffer_bytes (&answer) > 0)
    payload_send (link, &answer);
  mf_buffer_clear (&answer);
  if (!ok)
    return false;
  if (link->state == LINK_HELLO && !link->auth.initiator)
    link->state = LINK_PROOF;
  else
    link_up (link);
  return true;
}

/* Decrypts and handles one frame. Returns false when the link must be closed: a frame that fails
 * authentication did not come from the peer. A message that cannot be decoded is dropped and
 * counted. */
static bool
message_handle (Link *link, const uint8_t *ciphertext, size_t ciphertext_bytes)
{
  MfPeerLinkStats *stats = &link->links->stats;
  uint8_t *payload;
  unsigned long long payload_bytes = 0;
  unsigned char tag = 0;
  MfFrame frame = { 0 };
  MfError error = { 0 };
  bool ok;

  payload = ciphertext_bytes < CIPHER_OVERHEAD_BYTES
                ? NULL
                : malloc (ciphertext_bytes - CIPHER_OVERHEAD_BYTES + 1);
  ok = payload != NULL
       && crypto_secretstream_xchacha20poly1305_pull (&link->auth.pull, payload, &payload_bytes,
                                                      &tag, ciphertext, ciphertext_bytes, NULL, 0)
              == 0;
  if (!ok)
    stats->frames_bad++;
  else if (!mf_frame_decode (payload, (size_t)payload_bytes, &frame, &error))
    stats->frames_bad++;
  else
    {
      stats->frames_in++;
      link_emit (link, MF_EVENT_PEER_MESSAGE, &frame.message);
      mf_frame_clear (&frame);
    }
  free (payload);
  return ok;
}

/* Handles the completely received frames. Returns false when the link must be closed. */
static bool
frames_handle (Link *link)
{
  while (link->state != LINK_CLOSED && mf_buffer_bytes (&link->in) >= LENGTH_BYTES)
    {
      const uint8_t *data = (const uint8_t *)mf_buffer_data (&link->in);
      size_t max = link->state == LINK_UP ? MF_FRAME_BYTES_MAX + CIPHER_OVERHEAD_BYTES
                                          : MF_PEER_HANDSHAKE_BYTES_MAX;
      uint32_t length;

      memcpy (&length, data, sizeof length);
      length = ntohl (length);
      if (length > max)
        {
          link->links->stats.frames_bad++;
          return false;
        }
      if (mf_buffer_bytes (&link->in) < LENGTH_BYTES + (size_t)length)
        return true;
      if (!(link->state == LINK_UP ? message_handle (link, data + LENGTH_BYTES, length)
                                   : handshake_handle (link, data + LENGTH_BYTES, length)))
        return false;
      mf_buffer_consume (&link->in, LENGTH_BYTES + (size_t)length);
    }
  return true;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Link *link = watcher->data;
  char data[READ_BUFFER_BYTES];
  ssize_t n = recv (link->fd, data, sizeof data, MSG_DONTWAIT);

  (void)loop;
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n > 0)
    mf_buffer_add (&link->in, data, (size_t)n);
  if (n <= 0 || link->in.failed || !frames_handle (link))
    link_fail (link);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Link *link = watcher->data;
  int socket_error = 0;
  socklen_t socket_error_bytes = sizeof socket_error;
  MfBuffer hello = { 0 };
  MfError error = { 0 };

  (void)loop;
  (void)events;
  if (link->state != LINK_CONNECTING)
    {
      link_flush (link);
      return;
    }
  getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &socket_error, &socket_error_bytes);
  if (socket_error != 0
      || !mf_peer_auth_begin (&link->auth, &link->links->options, link->expected, &hello, &error))
    {
      mf_buffer_clear (&hello);
      link_fail (link);
      return;
    }
  link->state = LINK_HELLO;
  ev_io_start (link->links->loop, &link->read);
  payload_send (link, &hello);
  mf_buffer_clear (&hello);
}

/* Closes a link whose handshake took too long or whose closing was deferred. */
static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  link_fail (watcher->data);
}

/* Creates a link. With a negative descriptor it fails in the next iteration of the event loop. */
static Link *
link_new (MfPeerLinks *links, int fd, LinkState state)
{
  Link *link = calloc (1, sizeof *link);
  int one = 1;
  unsigned unacked_ms = UNACKED_TIMEOUT_MS;

  if (link == NULL)
    {
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof unacked_ms);
  link->links = links;
  link->id = ++links->last_id;
  link->fd = fd;
  link->state = state;
  ev_io_init (&link->read, on_readable, fd, EV_READ);
  link->read.data = link;
  ev_io_init (&link->write, on_writable, fd, EV_WRITE);
  link->write.data = link;
  ev_timer_init (&link->timeout, on_timeout, fd < 0 ? 0 : HANDSHAKE_TIMEOUT_S, 0);
  link->timeout.data = link;
  ev_timer_start (links->loop, &link->timeout);
  DL_APPEND (links->open, link);
  links->n_open++;
  links->n_half_open++;
  return link;
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  MfPeerLinks *links = watcher->data;
  int fd = accept4 (links->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  Link *link;

  (void)events;
  if (fd < 0)
    return;
  if (links->n_half_open >= HALF_OPEN_MAX || links->n_open >= LINKS_MAX)
    {
      links->stats.refused++;
      close (fd);
      return;
    }
  link = link_new (links, fd, LINK_HELLO);
  if (link != NULL)
    ev_io_start (loop, &link->read);
}

/* Frees the closed links. Runs before the loop waits, when no function of a link is running. */
static void
links_reap (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  MfPeerLinks *links = watcher->data;
  Link *link;
  Link *next;

  (void)loop;
  (void)events;
  DL_FOREACH_SAFE (links->closed, link, next)
  {
    DL_DELETE (links->closed, link);
    mf_buffer_clear (&link->in);
    mf_buffer_clear (&link->out);
    sodium_memzero (&link->auth, sizeof link->auth);
    free (link);
  }
}

/* Starts to listen for other instances. Returns NULL with error set. on_event gets
 * MF_EVENT_PEER_UP, MF_EVENT_PEER_DOWN and MF_EVENT_PEER_MESSAGE without clocks, never from within
 * a function of this module, and may call any of them but mf_peer_links_free. A failed
 * mf_peer_links_open is reported as MF_EVENT_PEER_DOWN with link_id 0 and the expected name. */
MfPeerLinks *
mf_peer_links_new (struct ev_loop *loop, const MfPeerLinkOptions *options,
                   void (*on_event) (const MfEvent *event, void *data), void *data, MfError *error)
{
  MfPeerLinks *links = calloc (1, sizeof *links);

  if (links == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the peer links");
      return NULL;
    }
  links->fd = mf_socket_listen (options->listen, error);
  if (links->fd < 0)
    {
      free (links);
      return NULL;
    }
  links->loop = loop;
  links->options = *options;
  mf_name_set (links->address, sizeof links->address, options->address);
  links->options.address = links->address;
  links->on_event = on_event;
  links->data = data;
  ev_io_init (&links->accept, on_accept, links->fd, EV_READ);
  links->accept.data = links;
  ev_io_start (loop, &links->accept);
  ev_prepare_init (&links->reap, links_reap);
  links->reap.data = links;
  ev_prepare_start (loop, &links->reap);
  return links;
}

/* Accepts NULL. */
void
mf_peer_links_free (MfPeerLinks *links)
{
  if (links == NULL)
    return;
  while (links->open != NULL)
    link_close (links->open);
  links_reap (links->loop, &links->reap, 0);
  ev_io_stop (links->loop, &links->accept);
  ev_prepare_stop (links->loop, &links->reap);
  close (links->fd);
  sodium_memzero (&links->options.keys, sizeof links->options.keys);
  free (links);
}

uint16_t
mf_peer_links_port (const MfPeerLinks *links)
{
  return mf_socket_port (links->fd);
}

/* Replaces the keys for handshakes to come. Established links stay. */
void
mf_peer_links_set_keys (MfPeerLinks *links, const MfPeerKeys *keys)
{
  links->options.keys = *keys;
}

const MfPeerLinkStats *
mf_peer_links_stats (const MfPeerLinks *links)
{
  return &links->stats;
}

/* Connects to the instance with this name. The result is reported as an event. */
void
mf_peer_links_open (MfPeerLinks *links, const char *name, const char *address)
{
  MfError error = { 0 };
  int fd = links->n_open < LINKS_MAX ? mf_socket_connect (address, &error) : -1;
  Link *link = link_new (links, fd, LINK_CONNECTING);

  if (link == NULL)
    return;
  mf_name_set (link->expected, sizeof link->expected, name);
  if (fd >= 0)
    ev_io_start (links->loop, &link->write);
}

static Link *
links_find (MfPeerLinks *links, uint32_t link_id)
{
  Link *link;

  HASH_FIND (hh, links->up, &link_id, sizeof link_id, link);
  return link;
}

/* Closes a link without an event. */
void
mf_peer_links_close (MfPeerLinks *links, uint32_t link_id)
{
  Link *link = links_find (links, link_id);

  if (link != NULL)
    link_close (link);
}

/* Encrypts and sends a message. Does nothing if the link is closed. */
void
mf_peer_links_send (MfPeerLinks *links, uint32_t link_id, const MfPeerMessage *message)
{
  Link *link = links_find (links, link_id);
  MfError error = { 0 };
  size_t frame_bytes = 0;
  uint8_t *frame;
  uint8_t *ciphertext;

  if (link == NULL)
    return;
  frame = mf_frame_encode (message, &frame_bytes, &error);
  ciphertext = frame == NULL ? NULL : malloc (frame_bytes + CIPHER_OVERHEAD_BYTES);
  if (ciphertext != NULL)
    {
      unsigned long long ciphertext_bytes = 0;

      crypto_secretstream_xchacha20poly1305_push (&link->auth.push, ciphertext, &ciphertext_bytes,
                                                  frame + LENGTH_BYTES, frame_bytes - LENGTH_BYTES,
                                                  NULL, 0, 0);
      links->stats.frames_out++;
      frame_send (link, ciphertext, (size_t)ciphertext_bytes);
    }
  free (ciphertext);
  free (frame);
}
