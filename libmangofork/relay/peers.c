#include "peers.h"

#include "libmangofork/clock.h"
#include "libmangofork/socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Other instances that are kept in touch with. */
#define PEERS_MAX 128
#define READ_BYTES 8192
/* Changes are told together, one report a millisecond over all peers and at most this often. */
#define TELL_MIN_US (8 * MF_US_PER_MS)
#define TELL_PER_PEER_US (1 * MF_US_PER_MS)
/* A report that changes nothing still goes out this often, a little less so in large fleets. */
#define HEARTBEAT_MIN_US (400 * MF_US_PER_MS)
#define HEARTBEAT_PER_PEER_US (12 * MF_US_PER_MS)
/* What a peer told holds for this many of its heartbeats. */
#define HEARTBEATS_KEPT 3
/* A peer that cannot be reached is tried again after this time, doubled to the last. */
#define REDIAL_FIRST_US (100 * MF_US_PER_MS)
#define REDIAL_MAX_US (2 * MF_US_PER_S)
/* A peer that was neither reached nor heard for this long is forgotten, unless it is a seed. */
#define FORGET_US (30 * MF_US_PER_S)
/* A peer acknowledges what it is sent within this time, or the connection is made anew. */
#define UNACKED_US (1500 * MF_US_PER_MS)
/* Connecting takes no longer. */
#define CONNECT_US (1 * MF_US_PER_S)
/* Members are told at the start of a connection and when they change, this often at most. */
#define MEMBERS_EVERY_US (1 * MF_US_PER_S)
/* Bytes that may wait for a peer that does not read; its connection is then made anew. */
#define WAITING_BYTES_MAX 65536
#define TICK_S 0.05

typedef struct
{
  MfPeers *peers;
  char address[MF_ADDRESS_BYTES];
  bool is_seed;
  int fd; /* the connection reports go out on; -1: none */
  bool connected;
  ev_io writer;
  MfBuffer out;
  uint64_t redial_at_us;
  uint64_t redial_us;
  uint64_t seen_us; /* reached or heard */
  uint64_t members_told_us;
  uint64_t dialled_us;
  uint64_t heard_us;
  uint64_t keep_us; /* what it told holds so long */
  MfLoadEntry *entries;
  uint32_t n_entries;
} Peer;

/* A connection that another instance has made to tell its reports. */
typedef struct Incoming Incoming;
struct Incoming
{
  MfPeers *peers;
  Incoming *next;
  int fd;
  ev_io reader;
  MfBuffer in;
  char address[MF_ADDRESS_BYTES]; /* of who speaks on it; "" until it has */
};

struct MfPeers
{
  struct ev_loop *loop;
  char address[MF_ADDRESS_BYTES];
  const MfPeersUser *user;
  void *data;
  MfLines *lines;
  int fd;
  ev_io acceptor;
  ev_timer tick;
  ev_timer tell;
  Peer *list[PEERS_MAX];
  uint32_t n_peers;
  Incoming *incoming;
  uint64_t told_us;
  uint64_t members_changed_us;
  MfLoadReport *report; /* room for one; too large for the stack */
};

static Peer *
peer_find (const MfPeers *peers, const char *address)
{
  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      if (strcmp (peers->list[i]->address, address) == 0)
        return peers->list[i];
    }
  return NULL;
}

static void
peer_hang_up (MfPeers *peers, Peer *peer)
{
  if (peer->fd < 0)
    return;
  ev_io_stop (peers->loop, &peer->writer);
  close (peer->fd);
  peer->fd = -1;
  peer->connected = false;
  mf_buffer_clear (&peer->out);
  peer->redial_us = peer->redial_us == 0 ? REDIAL_FIRST_US : peer->redial_us * 2;
  if (peer->redial_us > REDIAL_MAX_US)
    peer->redial_us = REDIAL_MAX_US;
  peer->redial_at_us = mf_clock_now_us () + peer->redial_us;
}

static void
peer_free (MfPeers *peers, Peer *peer)
{
  peer_hang_up (peers, peer);
  free (peer->entries);
  free (peer);
}

static void
peer_flush (MfPeers *peers, Peer *peer)
{
  while (peer->connected && mf_buffer_bytes (&peer->out) > 0)
    {
      ssize_t n_sent = send (peer->fd, mf_buffer_data (&peer->out), mf_buffer_bytes (&peer->out),
                             MSG_NOSIGNAL);

      if (n_sent < 0 && errno == EINTR)
        continue;
      if (n_sent < 0 && errno == EAGAIN)
        {
          ev_io_start (peers->loop, &peer->writer);
          return;
        }
      if (n_sent < 0)
        {
          peer_hang_up (peers, peer);
          return;
        }
      mf_buffer_take (&peer->out, (size_t)n_sent);
    }
  if (peer->fd >= 0)
    ev_io_stop (peers->loop, &peer->writer);
}

static uint64_t
heartbeat_us (const MfPeers *peers)
{
  uint64_t scaled = HEARTBEAT_PER_PEER_US * peers->n_peers;

  return scaled > HEARTBEAT_MIN_US ? scaled : HEARTBEAT_MIN_US;
}

/* Fills the report that goes out now. */
static void
report_make (MfPeers *peers, bool with_members)
{
  MfLoadReport *report = peers->report;

  memcpy (report->address, peers->address, sizeof report->address);
  report->heartbeat_ms = (uint32_t)(heartbeat_us (peers) / MF_US_PER_MS);
  report->n_entries = 0;
  report->n_members = 0;
  peers->user->fill (peers->data, report);
  for (uint32_t i = 0; with_members && i < peers->n_peers; i++)
    {
      if (peers->list[i]->seen_us == 0 || report->n_members == MF_LOAD_MEMBERS_MAX)
        continue;
      memcpy (report->members[report->n_members++], peers->list[i]->address, MF_ADDRESS_BYTES);
    }
}

static void
peer_send (MfPeers *peers, Peer *peer, const MfBuffer *frame)
{
  if (!peer->connected)
    return;
  if (mf_buffer_bytes (&peer->out) > WAITING_BYTES_MAX)
    {
      peer_hang_up (peers, peer);
      return;
    }
  mf_buffer_add (&peer->out, mf_buffer_data (frame), mf_buffer_bytes (frame));
  peer_flush (peers, peer);
}

/* Tells all peers; those that do not know of the last change of members are told these as well. */
static void
peers_tell (MfPeers *peers)
{
  uint64_t now_us = mf_clock_now_us ();
  MfBuffer plain = { 0 };
  MfBuffer full = { 0 };

  peers->told_us = now_us;
  report_make (peers, false);
  mf_load_report_encode (peers->report, &plain);
  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      Peer *peer = peers->list[i];
      bool wants = peer->members_told_us <= peers->members_changed_us
                   && now_us - peer->members_told_us >= MEMBERS_EVERY_US;

      if (!peer->connected)
        continue;
      if (wants && mf_buffer_bytes (&full) == 0)
        {
          report_make (peers, true);
          mf_load_report_encode (peers->report, &full);
        }
      if (wants)
        peer->members_told_us = now_us;
      peer_send (peers, peer, wants ? &full : &plain);
    }
  mf_buffer_clear (&plain);
  mf_buffer_clear (&full);
}

static void
on_tell (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)events;
  ev_timer_stop (loop, watcher);
  peers_tell (watcher->data);
}

void
mf_peers_touch (MfPeers *peers)
{
  uint64_t now_us = mf_clock_now_us ();
  uint64_t pause_us = TELL_PER_PEER_US * peers->n_peers;
  uint64_t due_us;

  if (peers->n_peers == 0 || ev_is_active (&peers->tell))
    return;
  if (pause_us < TELL_MIN_US)
    pause_us = TELL_MIN_US;
  due_us = peers->told_us + pause_us;
  /* What happens in one turn of the loop is told together. */
  ev_timer_set (&peers->tell, due_us > now_us ? (double)(due_us - now_us) / 1e6 : 0.0005, 0.);
  ev_timer_start (peers->loop, &peers->tell);
}

static void
on_peer_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Peer *peer = watcher->data;
  MfPeers *peers = peer->peers;
  int fault = 0;
  socklen_t fault_bytes = sizeof fault;

  (void)loop;
  (void)events;
  if (!peer->connected)
    {
      if (getsockopt (peer->fd, SOL_SOCKET, SO_ERROR, &fault, &fault_bytes) != 0 || fault != 0)
        {
          peer_hang_up (peers, peer);
          return;
        }
      peer->connected = true;
      peer->redial_us = 0;
      peer->seen_us = mf_clock_now_us ();
      peer->members_told_us = 0;
      mf_peers_touch (peers);
    }
  peer_flush (peers, peer);
}

static void
peer_dial (MfPeers *peers, Peer *peer)
{
  MfError error = { 0 };
  unsigned int unacked_ms = (unsigned int)(UNACKED_US / MF_US_PER_MS);

  peer->dialled_us = mf_clock_now_us ();
  peer->fd = mf_socket_connect (peer->address, &error);
  if (peer->fd < 0)
    {
      peer->redial_at_us = mf_clock_now_us () + REDIAL_MAX_US;
      return;
    }
  setsockopt (peer->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof unacked_ms);
  ev_io_init (&peer->writer, on_peer_writable, peer->fd, EV_WRITE);
  peer->writer.data = peer;
  ev_io_start (peers->loop, &peer->writer);
}

static Peer *
peer_add (MfPeers *peers, const char *address, bool is_seed)
{
  Peer *peer = peer_find (peers, address);

  if (strcmp (address, peers->address) == 0 || strchr (address, ':') == NULL)
    return NULL;
  if (peer != NULL)
    {
      peer->is_seed = peer->is_seed || is_seed;
      return peer;
    }
  if (peers->n_peers == PEERS_MAX || (peer = calloc (1, sizeof *peer)) == NULL)
    return NULL;
  peer->peers = peers;
  mf_name_set (peer->address, sizeof peer->address, address);
  peer->is_seed = is_seed;
  peer->fd = -1;
  peers->list[peers->n_peers++] = peer;
  peers->members_changed_us = mf_clock_now_us ();
  return peer;
}

void
mf_peers_seed (MfPeers *peers, const char *addresses)
{
  const char *at = addresses;

  while (*at != '\0')
    {
      size_t n_bytes = strcspn (at, ",");
      char address[MF_ADDRESS_BYTES];

      if (n_bytes > 0 && n_bytes < sizeof address)
        {
          memcpy (address, at, n_bytes);
          address[n_bytes] = '\0';
          peer_add (peers, address, true);
        }
      at += n_bytes;
      at += *at == ',';
    }
}

/* Takes a report in place of the peer's last one. */
static void
report_take (MfPeers *peers, const MfLoadReport *report)
{
  uint64_t now_us = mf_clock_now_us ();
  Peer *peer = peer_add (peers, report->address, false);

  for (uint32_t i = 0; i < report->n_members; i++)
    peer_add (peers, report->members[i], false);
  if (peer == NULL)
    return;
  if (peer->heard_us == 0)
    {
      peers->members_changed_us = now_us;
      mf_lines_state (peers->lines, "peer.heard", "peer=%s peers=%u", peer->address,
                      peers->n_peers);
    }
  peer->heard_us = now_us;
  peer->seen_us = now_us;
  peer->keep_us = (uint64_t)report->heartbeat_ms * MF_US_PER_MS * HEARTBEATS_KEPT;
  /* It lives, so it is worth dialling at once. */
  if (peer->fd < 0 && peer->redial_at_us > now_us + REDIAL_FIRST_US)
    peer->redial_at_us = now_us;
  if (report->n_entries > peer->n_entries || peer->entries == NULL)
    {
      MfLoadEntry *entries
          = realloc (peer->entries, (report->n_entries + 1) * sizeof *peer->entries);

      if (entries == NULL)
        return;
      peer->entries = entries;
    }
  memcpy (peer->entries, report->entries, report->n_entries * sizeof *peer->entries);
  peer->n_entries = report->n_entries;
  peers->user->changed (peers->data);
}

/* Whether the same peer speaks on another connection as well. */
static bool
has_successor (const Incoming *incoming)
{
  for (const Incoming *other = incoming->peers->incoming; other != NULL; other = other->next)
    {
      if (other != incoming && strcmp (other->address, incoming->address) == 0)
        return true;
    }
  return false;
}

static void
incoming_close (Incoming *incoming)
{
  MfPeers *peers = incoming->peers;
  Peer *peer = has_successor (incoming) ? NULL : peer_find (peers, incoming->address);

  /* A process that ends drops its requests at the engines with it. */
  if (peer != NULL && peer->heard_us > 0)
    {
      mf_lines_state (peers->lines, "peer.closed", "peer=%s entries=%u", peer->address,
                      peer->n_entries);
      peer->n_entries = 0;
      peer->heard_us = 0;
      peers->user->changed (peers->data);
    }
  for (Incoming **place = &peers->incoming; *place != NULL; place = &(*place)->next)
    {
      if (*place != incoming)
        continue;
      *place = incoming->next;
      break;
    }
  ev_io_stop (peers->loop, &incoming->reader);
  close (incoming->fd);
  mf_buffer_clear (&incoming->in);
  free (incoming);
}

/* Takes the frames that are whole. Returns false when what came is no frame. */
static bool
incoming_take (Incoming *incoming)
{
  MfPeers *peers = incoming->peers;

  while (mf_buffer_bytes (&incoming->in) >= 4)
    {
      const uint8_t *bytes = (const uint8_t *)mf_buffer_data (&incoming->in);
      size_t n_bytes = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 | (size_t)bytes[2] << 8
                       | (size_t)bytes[3];

      if (n_bytes > MF_LOAD_REPORT_BYTES_MAX)
        return false;
      if (mf_buffer_bytes (&incoming->in) < 4 + n_bytes)
        return true;
      if (!mf_load_report_decode ((const char *)bytes + 4, n_bytes, peers->report))
        return false;
      mf_buffer_take (&incoming->in, 4 + n_bytes);
      memcpy (incoming->address, peers->report->address, sizeof incoming->address);
      report_take (peers, peers->report);
    }
  return !incoming->in.failed;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Incoming *incoming = watcher->data;
  char bytes[READ_BYTES];
  ssize_t n_read = read (incoming->fd, bytes, sizeof bytes);

  (void)loop;
  (void)events;
  if (n_read < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n_read <= 0)
    {
      incoming_close (incoming);
      return;
    }
  mf_buffer_add (&incoming->in, bytes, (size_t)n_read);
  if (incoming_take (incoming))
    return;
  mf_lines_state (incoming->peers->lines, "peer.faulty", "peer=%s", incoming->address);
  incoming_close (incoming);
}

static void
on_acceptable (struct ev_loop *loop, ev_io *watcher, int events)
{
  MfPeers *peers = watcher->data;
  int fd = accept4 (peers->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  Incoming *incoming;

  (void)loop;
  (void)events;
  if (fd < 0)
    return;
  incoming = calloc (1, sizeof *incoming);
  if (incoming == NULL)
    {
      close (fd);
      return;
    }
  incoming->peers = peers;
  incoming->fd = fd;
  incoming->next = peers->incoming;
  peers->incoming = incoming;
  ev_io_init (&incoming->reader, on_readable, fd, EV_READ);
  incoming->reader.data = incoming;
  ev_io_start (peers->loop, &incoming->reader);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  MfPeers *peers = watcher->data;
  uint64_t now_us = mf_clock_now_us ();

  (void)loop;
  (void)events;
  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      Peer *peer = peers->list[i];

      if (!peer->is_seed && peer->fd < 0 && now_us - peer->seen_us > FORGET_US
          && peer->redial_us >= REDIAL_MAX_US)
        {
          peer_free (peers, peer);
          peers->list[i--] = peers->list[--peers->n_peers];
        }
      else if (peer->fd < 0 && now_us >= peer->redial_at_us)
        peer_dial (peers, peer);
      else if (peer->fd >= 0 && !peer->connected && now_us - peer->dialled_us > CONNECT_US)
        peer_hang_up (peers, peer);
    }
  if (now_us - peers->told_us >= heartbeat_us (peers))
    peers_tell (peers);
}

MfPeers *
mf_peers_new (struct ev_loop *loop, const char *address, const MfPeersUser *user, void *data,
              MfLines *lines, MfError *error)
{
  MfPeers *peers = calloc (1, sizeof *peers);

  if (peers == NULL || (peers->report = calloc (1, sizeof *peers->report)) == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the peers");
      free (peers);
      return NULL;
    }
  peers->loop = loop;
  peers->user = user;
  peers->data = data;
  peers->lines = lines;
  mf_name_set (peers->address, sizeof peers->address, address);
  peers->fd = mf_socket_listen (address, error);
  if (peers->fd < 0)
    {
      free (peers->report);
      free (peers);
      return NULL;
    }
  ev_io_init (&peers->acceptor, on_acceptable, peers->fd, EV_READ);
  peers->acceptor.data = peers;
  ev_io_start (loop, &peers->acceptor);
  ev_timer_init (&peers->tick, on_tick, TICK_S, TICK_S);
  peers->tick.data = peers;
  ev_timer_start (loop, &peers->tick);
  ev_init (&peers->tell, on_tell);
  peers->tell.data = peers;
  return peers;
}

void
mf_peers_free (MfPeers *peers)
{
  if (peers == NULL)
    return;
  ev_timer_stop (peers->loop, &peers->tick);
  ev_timer_stop (peers->loop, &peers->tell);
  ev_io_stop (peers->loop, &peers->acceptor);
  close (peers->fd);
  while (peers->incoming != NULL)
    incoming_close (peers->incoming);
  for (uint32_t i = 0; i < peers->n_peers; i++)
    peer_free (peers, peers->list[i]);
  free (peers->report);
  free (peers);
}

void
mf_peers_foreach (const MfPeers *peers, uint64_t now_us,
                  void (*func) (void *data, const MfLoadEntry *entry), void *data)
{
  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      const Peer *peer = peers->list[i];

      if (peer->heard_us == 0 || now_us - peer->heard_us > peer->keep_us)
        continue;
      for (uint32_t j = 0; j < peer->n_entries; j++)
        func (data, &peer->entries[j]);
    }
}

uint32_t
mf_peers_count (const MfPeers *peers, uint64_t now_us)
{
  uint32_t n_heard = 1;

  for (uint32_t i = 0; i < peers->n_peers; i++)
    n_heard += peers->list[i]->heard_us > 0
               && now_us - peers->list[i]->heard_us <= peers->list[i]->keep_us;
  return n_heard;
}
