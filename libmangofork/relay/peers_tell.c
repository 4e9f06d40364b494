#include "peers_row.h"

#include "libmangofork/clock.h"

#include <string.h>

/* Minimum interval between reports of changes; changes within it are combined. */
#define REPORT_INTERVAL_MIN_US (4 * MF_US_PER_MS)
/* With at most this many peers, each change is reported to all of them. */
#define SMALL_FLEET_PEERS_MAX 12
/* Heartbeat: a report is sent at this interval even without changes. The interval grows with the
 * number of peers. */
#define HEARTBEAT_MIN_US (400 * MF_US_PER_MS)
#define HEARTBEAT_PER_PEER_US (12 * MF_US_PER_MS)
/* With at most this many peers, every instance sends the member list to new connections. With more,
 * only the seeds and one of MEMBERS_SENDERS_DIVISOR other instances do. */
#define MEMBERS_SENT_BY_ALL_MAX 24
#define MEMBERS_SENDERS_DIVISOR 16
/* Maximum unsent bytes for a peer that does not read; beyond it, the connection is reopened. */
#define UNSENT_BYTES_MAX 65536

static uint64_t
heartbeat_us (const MfPeers *peers)
{
  uint64_t scaled = HEARTBEAT_PER_PEER_US * peers->n_peers;

  return scaled > HEARTBEAT_MIN_US ? scaled : HEARTBEAT_MIN_US;
}

/* Returns how long a report is valid in a fleet of this size. */
uint64_t
mf_peers_report_lifetime_us (const MfPeers *peers)
{
  return heartbeat_us (peers) * MF_PEERS_REPORT_LIFETIME_PERCENT / 100;
}

static void
peer_queue_frames (MfPeers *peers, MfPeer *peer, const MfBuffer *frames)
{
  if (!peer->connected)
    return;
  if (mf_buffer_bytes (&peer->out) > UNSENT_BYTES_MAX)
    {
      mf_peer_disconnect (peers, peer);
      return;
    }
  mf_buffer_add (&peer->out, mf_buffer_data (frames), mf_buffer_bytes (frames));
  mf_peer_flush (peers, peer);
}

/* Encodes a report of the current load of this instance. */
static void
report_encode (MfPeers *peers, bool with_members, MfBuffer *frame)
{
  MfLoadReport *report = &peers->out.report;
  uint64_t now_us = mf_clock_now_us ();

  peers->out.kind = MF_RELAY_MESSAGE_REPORT;
  memcpy (report->address, peers->address, sizeof report->address);
  report->heartbeat_ms = (uint32_t)(heartbeat_us (peers) / MF_US_PER_MS);
  report->data_centre = peers->data_centre;
  report->n_entries = 0;
  report->n_members = 0;
  report->n_votes = 0;
  peers->callbacks->fill_report (peers->data, report);
  for (uint32_t i = 0; i < peers->n_services; i++)
    {
      const MfPeer *leader = mf_peers_find_leader (peers, peers->services[i], now_us);

      report->votes[report->n_votes++] = (MfLeaderVote){
        .service = peers->services[i],
        .leader = leader != NULL ? leader->hash : peers->hash,
        .fence = peers->fences[i],
      };
    }
  for (uint32_t i = 0; with_members && i < peers->n_peers; i++)
    {
      if (peers->list[i]->seen_us == 0 || report->n_members == MF_LOAD_MEMBERS_MAX)
        continue;
      memcpy (report->members[report->n_members++], peers->list[i]->address, MF_ADDRESS_BYTES);
    }
  mf_relay_message_encode (&peers->out, frame);
}

/* Sends the pending acknowledgement of a grant: the report that follows includes the grant. */
static void
grant_ack_send (MfPeers *peers, MfPeer *peer)
{
  MfBuffer frame = { 0 };

  if (peer->grant_acked)
    return;
  peer->grant_acked = true;
  peers->out.kind = MF_RELAY_MESSAGE_GRANT_ACK;
  peers->out.grant.id = peer->grant_id;
  mf_relay_message_encode (&peers->out, &frame);
  peer_queue_frames (peers, peer, &frame);
  mf_buffer_clear (&frame);
}

/* Whether a report to a peer is due: at each heartbeat, and on changes when the peer is used as
 * leader or the fleet is small. */
static bool
is_report_due (const MfPeers *peers, const MfPeer *peer, bool changed, uint64_t now_us)
{
  if (!peer->connected)
    return false;
  if (now_us - peer->reported_us >= heartbeat_us (peers))
    return true;
  return changed
         && (peers->n_peers <= SMALL_FLEET_PEERS_MAX
             || now_us - peer->leader_used_us < MF_PEERS_LEADER_REPORT_US);
}

/* Whether this instance sends the member list and earlier broadcasts to a newly connected peer. A
 * new instance learns the members from a seed and becomes known to all that it connects to. A few
 * instances that are no seeds send the list too, because the seeds may be down. */
bool
mf_peers_shares_members (const MfPeers *peers, const MfPeer *peer)
{
  return peers->is_seed || peers->n_peers <= MEMBERS_SENT_BY_ALL_MAX
         || (peer->hash ^ peers->hash) % MEMBERS_SENDERS_DIVISOR == 0;
}

/* Sends a report to each peer for which one is due. The first report on a connection includes the
 * member list if this instance sends it to the peer. */
void
mf_peers_send_reports (MfPeers *peers, bool changed)
{
  uint64_t now_us = mf_clock_now_us ();
  MfBuffer plain = { 0 };
  MfBuffer full = { 0 };

  peers->reported_us = now_us;
  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      MfPeer *peer = peers->list[i];
      bool with_members = !peer->members_sent && mf_peers_shares_members (peers, peer);
      MfBuffer *frame = with_members ? &full : &plain;

      if (!is_report_due (peers, peer, changed, now_us))
        continue;
      if (mf_buffer_bytes (frame) == 0)
        report_encode (peers, with_members, frame);
      peer->members_sent = true;
      peer->reported_us = now_us;
      grant_ack_send (peers, peer);
      peer_queue_frames (peers, peer, frame);
    }
  mf_buffer_clear (&plain);
  mf_buffer_clear (&full);
}

void
mf_peers_on_report_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)events;
  ev_timer_stop (loop, watcher);
  mf_peers_send_reports (watcher->data, true);
}

/* Schedules a report after a change in the load of this instance. */
void
mf_peers_schedule_report (MfPeers *peers)
{
  uint64_t now_us = mf_clock_now_us ();
  uint64_t due_us = peers->reported_us + REPORT_INTERVAL_MIN_US;

  if (peers->n_peers == 0 || ev_is_active (&peers->report_timer))
    return;
  /* Changes within one iteration of the event loop are reported together. */
  ev_timer_set (&peers->report_timer, due_us > now_us ? (double)(due_us - now_us) / 1e6 : 0.0005,
                0.);
  ev_timer_start (peers->loop, &peers->report_timer);
}

/* Sends a message to one peer. Returns false when the peer is not connected. */
bool
mf_peers_send (MfPeers *peers, uint64_t hash, const MfRelayMessage *message)
{
  MfPeer *peer = mf_peers_by_hash (peers, hash);
  MfBuffer frame = { 0 };

  if (peer == NULL || !peer->connected)
    return false;
  mf_relay_message_encode (message, &frame);
  peer_queue_frames (peers, peer, &frame);
  mf_buffer_clear (&frame);
  return peer->connected;
}

static void
send_to_peers (MfPeers *peers, const MfRelayMessage *message, bool local_only)
{
  MfBuffer frame = { 0 };

  mf_relay_message_encode (message, &frame);
  for (uint32_t i = 0; i < peers->n_peers; i++)
    {
      MfPeer *peer = peers->list[i];

      if (!local_only || (peer->last_report_us > 0 && peer->data_centre == peers->data_centre))
        peer_queue_frames (peers, peer, &frame);
    }
  mf_buffer_clear (&frame);
}

/* Sends a message to all connected peers. */
void
mf_peers_send_all (MfPeers *peers, const MfRelayMessage *message)
{
  send_to_peers (peers, message, false);
}

/* Sends a message to the n_peers reachable peers that rank highest for a key, at most
 * MF_PEERS_RANKED_MAX. Returns their number. */
uint32_t
mf_peers_send_ranked (MfPeers *peers, uint64_t key, uint32_t n_peers, const MfRelayMessage *message)
{
  MfPeer *ranked[MF_PEERS_RANKED_MAX];
  uint32_t n_max = n_peers < MF_PEERS_RANKED_MAX ? n_peers : MF_PEERS_RANKED_MAX;
  uint32_t n_ranked = mf_peers_find_ranked (peers, key, ranked, n_max, mf_clock_now_us ());
  MfBuffer frame = { 0 };

  if (n_ranked == 0)
    return 0;
  mf_relay_message_encode (message, &frame);
  for (uint32_t i = 0; i < n_ranked; i++)
    peer_queue_frames (peers, ranked[i], &frame);
  mf_buffer_clear (&frame);
  return n_ranked;
}

/* Sends a message to all connected peers in the data centre of this instance. */
void
mf_peers_send_local (MfPeers *peers, const MfRelayMessage *message)
{
  send_to_peers (peers, message, true);
}

/* Sends a report to one peer. */
void
mf_peer_send_report (MfPeers *peers, MfPeer *peer)
{
  MfBuffer frame = { 0 };

  report_encode (peers, false, &frame);
  peer->reported_us = mf_clock_now_us ();
  grant_ack_send (peers, peer);
  peer_queue_frames (peers, peer, &frame);
  mf_buffer_clear (&frame);
}

/* Acknowledges a grant by a peer with the next report to it. */
void
mf_peers_ack_grant (MfPeers *peers, uint64_t hash, uint64_t grant_id)
{
  MfPeer *peer = mf_peers_by_hash (peers, hash);

  if (peer == NULL)
    return;
  peer->grant_id = grant_id;
  peer->grant_acked = false;
}
