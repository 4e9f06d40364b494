#include "peers_row.h"

#include "libmangofork/clock.h"
#include "libmangofork/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 8192
/* The load of a silent peer is counted for this long after its last report. If it is only
 * partitioned, its streams continue at the engines, and they last about this long. */
#define LOAD_KEEP_US (5 * MF_US_PER_S)
/* Delay before a reconnect; doubled after each failure up to the maximum. */
#define RECONNECT_FIRST_US (100 * MF_US_PER_MS)
#define RECONNECT_MAX_US (2 * MF_US_PER_S)
/* A peer that is no seed is removed after this long without a connection or a report. */
#define FORGET_AFTER_US (30 * MF_US_PER_S)
/* The connection is closed when sent data stays unacknowledged for this long. */
#define UNACKED_TIMEOUT_US (1500 * MF_US_PER_MS)
#define CONNECT_TIMEOUT_US (1 * MF_US_PER_S)
#define TICK_S 0.05

static MfPeer *
peer_find (const MfPeers *peers, const char *address)
{
  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      if (strcmp (peers->list[i]->address, address) == 0)
        return peers->list[i];
    }
  return NULL;
}

/* Returns the peer with this hash of its address, or NULL. */
MfPeer *
mf_peers_by_hash (const MfPeers *peers, uint64_t hash)
{
  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      if (peers->list[i]->hash == hash)
        return peers->list[i];
    }
  return NULL;
}

/* Closes the connection to a peer and schedules a reconnect. */
void
mf_peer_disconnect (MfPeers *peers, MfPeer *peer)
{
  if (peer->fd < 0)
    return;
  ev_io_stop (peers->loop, &peer->writer);
  close (peer->fd);
  peer->fd = -1;
  /* Requests sent on this connection may not have arrived. */
  peer->connection_lost = peer->connection_lost || peer->connected;
  peer->connected = false;
  mf_buffer_clear (&peer->out);
  peer->reconnect_delay_us
      = peer->reconnect_delay_us == 0 ? RECONNECT_FIRST_US : peer->reconnect_delay_us * 2;
  if (peer->reconnect_delay_us > RECONNECT_MAX_US)
    peer->reconnect_delay_us = RECONNECT_MAX_US;
  peer->reconnect_at_us = mf_clock_now_us () + peer->reconnect_delay_us;
}

static void
peer_free (MfPeers *peers, MfPeer *peer)
{
  mf_peer_disconnect (peers, peer);
  free (peer->entries);
  free (peer);
}

/* Sends buffered data to a peer until its socket would block. */
void
mf_peer_flush (MfPeers *peers, MfPeer *peer)
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
          mf_peer_disconnect (peers, peer);
          return;
        }
      mf_buffer_consume (&peer->out, (size_t)n_sent);
    }
  if (peer->fd >= 0)
    ev_io_stop (peers->loop, &peer->writer);
}

static void
on_peer_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  MfPeer *peer = watcher->data;
  MfPeers *peers = peer->peers;
  int socket_error = 0;
  socklen_t socket_error_bytes = sizeof socket_error;

  (void)loop;
  (void)events;
  if (!peer->connected)
    {
      if (getsockopt (peer->fd, SOL_SOCKET, SO_ERROR, &socket_error, &socket_error_bytes) != 0
          || socket_error != 0)
        {
          mf_peer_disconnect (peers, peer);
          return;
        }
      peer->connected = true;
      peer->reconnect_delay_us = 0;
      peer->seen_us = mf_clock_now_us ();
      peer->members_sent = false;
      peer->reported_us = 0;
      mf_peers_send_reports (peers, false);
      if (peers->callbacks->reached != NULL && mf_peers_shares_members (peers, peer))
        peers->callbacks->reached (peers->data, peer->hash);
    }
  mf_peer_flush (peers, peer);
}

static void
peer_connect (MfPeers *peers, MfPeer *peer)
{
  MfError error = { 0 };
  unsigned int unacked_ms = (unsigned int)(UNACKED_TIMEOUT_US / MF_US_PER_MS);

  peer->connect_started_us = mf_clock_now_us ();
  peer->fd = mf_socket_connect (peer->address, &error);
  if (peer->fd < 0)
    {
      peer->reconnect_at_us = mf_clock_now_us () + RECONNECT_MAX_US;
      return;
    }
  setsockopt (peer->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof unacked_ms);
  ev_io_init (&peer->writer, on_peer_writable, peer->fd, EV_WRITE);
  peer->writer.data = peer;
  ev_io_start (peers->loop, &peer->writer);
}

static MfPeer *
peer_add (MfPeers *peers, const char *address, bool is_seed)
{
  MfPeer *peer = peer_find (peers, address);

  if (strcmp (address, peers->address) == 0 || strchr (address, ':') == NULL)
    return NULL;
  if (peer != NULL)
    {
      peer->is_seed = peer->is_seed || is_seed;
      return peer;
    }
  if (peers->n_peers == MF_PEERS_MAX || (peer = calloc (1, sizeof *peer)) == NULL)
    return NULL;
  peer->peers = peers;
  peer->hash = mf_load_hash (address);
  peer->grant_acked = true;
  mf_name_set (peer->address, sizeof peer->address, address);
  peer->is_seed = is_seed;
  peer->fd = -1;
  peers->list[peers->n_peers++] = peer;
  return peer;
}

/* Adds the instances that are contacted first, from a comma-separated list of addresses. */
void
mf_peers_add_seeds (MfPeers *peers, const char *addresses)
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
          peers->is_seed = peers->is_seed || strcmp (address, peers->address) == 0;
          peer_add (peers, address, true);
        }
      at += n_bytes;
      at += *at == ',';
    }
}

/* Calls the lost callback, once until the next report of the peer. */
static void
peer_notify_lost (MfPeers *peers, MfPeer *peer)
{
  peer->connection_lost = false;
  if (peer->loss_notified || peers->closing)
    return;
  peer->loss_notified = true;
  peers->callbacks->lost (peers->data, peer->hash);
}

/* Replaces the last report of the peer. */
static void
report_apply (MfPeers *peers, const MfLoadReport *report)
{
  uint64_t now_us = mf_clock_now_us ();
  MfPeer *peer = peer_add (peers, report->address, false);

  for (uint32_t i = 0; i < report->n_members; i++)
    peer_add (peers, report->members[i], false);
  if (peer == NULL)
    return;
  if (peer->last_report_us == 0)
    {
      mf_relay_log_state (peers->log, "peer.heard", "peer=%s peers=%u", peer->address,
                          peers->n_peers);
    }
  peer->last_report_us = now_us;
  peer->loss_notified = false;
  peer->seen_us = now_us;
  peer->report_lifetime_us
      = (uint64_t)report->heartbeat_ms * MF_US_PER_MS * MF_PEERS_REPORT_LIFETIME_PERCENT / 100;
  /* The peer is alive, so reconnect without waiting for the backoff to end. */
  if (peer->fd < 0 && peer->reconnect_at_us > now_us + RECONNECT_FIRST_US)
    peer->reconnect_at_us = now_us;
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
  peer->data_centre = report->data_centre;
  memcpy (peer->votes, report->votes, sizeof peer->votes);
  peer->n_votes = report->n_votes;
  for (uint32_t i = 0; i < report->n_votes; i++)
    mf_peers_raise_fence (peers, report->votes[i].service, report->votes[i].fence);
  peers->callbacks->loads_changed (peers->data);
}

/* Whether the same peer has another incoming connection. */
static bool
has_other_connection (const MfPeerIncoming *incoming)
{
  for (const MfPeerIncoming *other = incoming->peers->incoming; other != NULL; other = other->next)
    {
      if (other != incoming && strcmp (other->address, incoming->address) == 0)
        return true;
    }
  return false;
}

static void
incoming_close (MfPeerIncoming *incoming)
{
  MfPeers *peers = incoming->peers;
  MfPeer *peer = has_other_connection (incoming) ? NULL : peer_find (peers, incoming->address);

  /* When a process exits, its requests at the engines end with it. */
  if (peer != NULL && peer->last_report_us > 0 && !peers->closing)
    {
      mf_relay_log_state (peers->log, "peer.closed", "peer=%s entries=%u", peer->address,
                          peer->n_entries);
      peer->n_entries = 0;
      peer->last_report_us = 0;
      peer_notify_lost (peers, peer);
    }
  for (MfPeerIncoming **link = &peers->incoming; *link != NULL; link = &(*link)->next)
    {
      if (*link != incoming)
        continue;
      *link = incoming->next;
      break;
    }
  ev_io_stop (peers->loop, &incoming->reader);
  close (incoming->fd);
  mf_buffer_clear (&incoming->in);
  free (incoming);
}

/* Whether the receiver acts on messages of this kind, instead of using them as hints. Their sender
 * is checked. */
static bool
needs_sender_check (MfRelayMessageKind kind)
{
  return kind == MF_RELAY_MESSAGE_FEED || kind == MF_RELAY_MESSAGE_SUSPECTS
         || kind == MF_RELAY_MESSAGE_RATE_ASK || kind == MF_RELAY_MESSAGE_RATE_GRANT
         || kind == MF_RELAY_MESSAGE_LIMITS || kind == MF_RELAY_MESSAGE_REJECTED
         || kind == MF_RELAY_MESSAGE_ORIGIN || kind == MF_RELAY_MESSAGE_ORIGIN_ASK
         || kind == MF_RELAY_MESSAGE_ORIGIN_REPLY || kind == MF_RELAY_MESSAGE_LISTINGS
         || kind == MF_RELAY_MESSAGE_HISTORY;
}

/* Whether a connection comes from the host that its reports name. */
static bool
incoming_matches_address (const MfPeerIncoming *incoming)
{
  struct sockaddr_in from = { 0 };
  socklen_t from_bytes = sizeof from;
  char host[INET_ADDRSTRLEN] = "";
  size_t host_bytes;

  if (getpeername (incoming->fd, (struct sockaddr *)&from, &from_bytes) != 0
      || inet_ntop (AF_INET, &from.sin_addr, host, sizeof host) == NULL)
    return false;
  host_bytes = strlen (host);
  return strncmp (incoming->address, host, host_bytes) == 0 && incoming->address[host_bytes] == ':';
}

/* Handles all complete frames. Returns false when the data is malformed. */
static bool
incoming_read_frames (MfPeerIncoming *incoming)
{
  MfPeers *peers = incoming->peers;

  while (mf_buffer_bytes (&incoming->in) >= 4)
    {
      const uint8_t *bytes = (const uint8_t *)mf_buffer_data (&incoming->in);
      size_t n_bytes = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 | (size_t)bytes[2] << 8
                       | (size_t)bytes[3];

      if (n_bytes > MF_RELAY_MESSAGE_BYTES_MAX)
        return false;
      if (mf_buffer_bytes (&incoming->in) < 4 + n_bytes)
        return true;
      if (!mf_relay_message_decode ((const char *)bytes + 4, n_bytes, &peers->in))
        return false;
      mf_buffer_consume (&incoming->in, 4 + n_bytes);
      if (peers->in.kind == MF_RELAY_MESSAGE_REPORT)
        {
          memcpy (incoming->address, peers->in.report.address, sizeof incoming->address);
          report_apply (peers, &peers->in.report);
        }
      else if (peers->in.kind != MF_RELAY_MESSAGE_UNKNOWN && incoming->address[0] != '\0'
               && (!needs_sender_check (peers->in.kind) || incoming_matches_address (incoming)))
        peers->callbacks->message (peers->data, mf_load_hash (incoming->address), &peers->in);
    }
  return !incoming->in.failed;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  MfPeerIncoming *incoming = watcher->data;
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
  if (incoming_read_frames (incoming))
    return;
  mf_relay_log_state (incoming->peers->log, "peer.faulty", "peer=%s", incoming->address);
  incoming_close (incoming);
}

static void
on_acceptable (struct ev_loop *loop, ev_io *watcher, int events)
{
  MfPeers *peers = watcher->data;
  int fd = accept4 (peers->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  MfPeerIncoming *incoming;

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
      MfPeer *peer = peers->list[i];

      if (peer->connection_lost)
        peer_notify_lost (peers, peer);
      if (!peer->is_seed && peer->fd < 0 && now_us - peer->seen_us > FORGET_AFTER_US
          && peer->reconnect_delay_us >= RECONNECT_MAX_US)
        {
          peer_free (peers, peer);
          peers->list[i--] = peers->list[--peers->n_peers];
        }
      else if (peer->fd < 0 && now_us >= peer->reconnect_at_us)
        peer_connect (peers, peer);
      else if (peer->fd >= 0 && !peer->connected
               && now_us - peer->connect_started_us > CONNECT_TIMEOUT_US)
        mf_peer_disconnect (peers, peer);
    }
  mf_peers_send_reports (peers, false);
}

/* Listens at an address, which is also announced to the peers. Returns NULL with error set on
 * failure. */
MfPeers *
mf_peers_new (struct ev_loop *loop, const char *address, const MfPeersCallbacks *callbacks,
              void *data, MfRelayLog *log, MfError *error)
{
  MfPeers *peers = calloc (1, sizeof *peers);

  if (peers == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while creating the peer list");
      return NULL;
    }
  peers->loop = loop;
  peers->callbacks = callbacks;
  peers->data = data;
  peers->log = log;
  mf_name_set (peers->address, sizeof peers->address, address);
  peers->hash = mf_load_hash (address);
  peers->fd = mf_socket_listen (address, error);
  if (peers->fd < 0)
    {
      free (peers);
      return NULL;
    }
  ev_io_init (&peers->acceptor, on_acceptable, peers->fd, EV_READ);
  peers->acceptor.data = peers;
  ev_io_start (loop, &peers->acceptor);
  ev_timer_init (&peers->tick, on_tick, TICK_S, TICK_S);
  peers->tick.data = peers;
  ev_timer_start (loop, &peers->tick);
  ev_init (&peers->report_timer, mf_peers_on_report_timer);
  peers->report_timer.data = peers;
  return peers;
}

/* Accepts NULL. */
void
mf_peers_free (MfPeers *peers)
{
  if (peers == NULL)
    return;
  peers->closing = true;
  ev_timer_stop (peers->loop, &peers->tick);
  ev_timer_stop (peers->loop, &peers->report_timer);
  ev_io_stop (peers->loop, &peers->acceptor);
  close (peers->fd);
  while (peers->incoming != NULL)
    incoming_close (peers->incoming);
  for (uint32_t i = 0; i < peers->n_peers; i++)
    peer_free (peers, peers->list[i]);
  mf_feed_clear (&peers->in.feed);
  free (peers);
}

/* Calls func for each load entry of other instances, except those of reports older than
 * LOAD_KEEP_US. */
void
mf_peers_foreach_entry (const MfPeers *peers, uint64_t now_us,
                        void (*func) (void *data, const MfLoadEntry *entry, uint64_t received_us),
                        void *data)
{
  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      const MfPeer *peer = peers->list[i];

      if (peer->last_report_us == 0 || now_us - peer->last_report_us > LOAD_KEEP_US)
        continue;
      for (uint32_t j = 0; j < peer->n_entries; j++)
        func (data, &peer->entries[j], peer->last_report_us);
    }
}

/* Returns the number of instances with a valid report, including this one. */
uint32_t
mf_peers_n_alive (const MfPeers *peers, uint64_t now_us)
{
  uint32_t n_alive = 1;

  for (uint32_t i = 0; i < peers->n_peers; i++)
    n_alive += mf_peer_is_alive (peers->list[i], now_us);
  return n_alive;
}

/* Returns the number of known instances, alive or not, including this one. */
uint32_t
mf_peers_n_known (const MfPeers *peers)
{
  return peers->n_peers + 1;
}
