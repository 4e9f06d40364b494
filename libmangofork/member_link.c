#include "member_row.h"

#include "digest.h"
#include "frame.h"
#include "gossip.h"
#include "rendezvous.h"

#include <stdlib.h>
#include <string.h>

/* Time-out for opening a link. */
#define OPEN_TIMEOUT_US MF_US_PER_S
#define OPEN_BACKOFF_MIN_US (200 * MF_US_PER_MS)
#define OPEN_BACKOFF_MAX_US MF_US_PER_S
/* A message that has waited this long for a link is dropped. */
#define PENDING_LIFE_US (2 * MF_US_PER_S)

/* Returns whether a member can be chosen as a neighbour. */
static bool
row_is_candidate (const MfMemberRow *row)
{
  return row->member.state != MF_MEMBER_DEAD && (row->member.listed || row->member.link_id != 0);
}

/* A candidate with its rendezvous score. */
typedef struct
{
  MfMemberRow *row;
  uint64_t score;
} Candidate;

static int
candidate_compare (const void *a, const void *b)
{
  const Candidate *x = a, *y = b;

  return x->score < y->score ? 1 : x->score > y->score ? -1 : 0;
}

/* Chooses the next member on the ring of name hashes, which keeps the graph of links connected, and
 * the members with the highest scores, which keep its diameter small. Each instance chooses half of
 * its links, and is chosen by about as many others. */
static void
choose_subset (MfMembers *members, Candidate *candidates, uint32_t n_candidates, uint32_t n_wanted)
{
  MfMemberRow *next = NULL;

  for (uint32_t i = 0; i < n_candidates; i++)
    {
      MfMemberRow *row = candidates[i].row;

      if (next == NULL
          || row->name_hash - members->self_hash < next->name_hash - members->self_hash)
        next = row;
      candidates[i].score = mf_rendezvous_score (row->name_hash, members->self_hash);
    }
  qsort (candidates, n_candidates, sizeof *candidates, candidate_compare);
  for (uint32_t i = 0; i + 1 < n_wanted; i++)
    candidates[i].row->chosen = true;
  if (next != NULL)
    next->chosen = true;
}

/* Chooses the peers that this instance keeps links to: all of them when there are at most
 * links_max. */
void
mf_member_choose_neighbours (MfCore *core)
{
  MfMembers *members = core->board.members;
  uint32_t n_rows = HASH_COUNT (members->rows), n_candidates = 0;
  uint32_t links_max = core->board.options.links_max;
  Candidate *candidates = calloc (n_rows + 1, sizeof *candidates);

  if (candidates == NULL)
    return;
  for (MfMemberRow *row = members->rows; row != NULL; row = row->hh.next)
    {
      row->chosen = false;
      if (row_is_candidate (row))
        candidates[n_candidates++].row = row;
    }
  if (n_candidates <= links_max)
    {
      for (uint32_t i = 0; i < n_candidates; i++)
        candidates[i].row->chosen = true;
    }
  else
    choose_subset (members, candidates, n_candidates, (links_max + 1) / 2);
  for (uint32_t i = 0; i < n_candidates; i++)
    {
      if (!candidates[i].row->chosen)
        continue;
      mf_member_add_neighbour (core, candidates[i].row);
      mf_member_open_link (core, candidates[i].row);
    }
  free (candidates);
  members->choose_pending = false;
}

/* Starts to exchange digests with a peer and to monitor its heartbeats. */
void
mf_member_add_neighbour (MfCore *core, MfMemberRow *row)
{
  MfMembers *members = core->board.members;

  if (row->neighbour != MF_NONE)
    return;
  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      if (members->neighbours[i] != NULL)
        continue;
      members->neighbours[i] = row;
      members->n_neighbours++;
      row->neighbour = i;
      row->member.last_seen_us = core->board.now_us;
      if (row->member.link_id != 0)
        mf_gossip_queue_all (core, i);
      return;
    }
}

void
mf_member_drop_neighbour (MfCore *core, MfMemberRow *row)
{
  MfMembers *members = core->board.members;

  if (row->neighbour == MF_NONE)
    return;
  mf_gossip_unqueue_all (core, row->neighbour);
  members->neighbours[row->neighbour] = NULL;
  members->n_neighbours--;
  row->neighbour = MF_NONE;
  row->is_guardian = false;
}

/* Opens a link unless there is one, one is being opened, or the back-off after the last failure has
 * not elapsed. */
void
mf_member_open_link (MfCore *core, MfMemberRow *row)
{
  uint64_t now_us = core->board.now_us;
  MfAction action = {
    .type = MF_ACTION_PEER_OPEN,
    .peer = { .name = row->member.owner.name, .address = row->member.address },
  };

  if (row->member.link_id != 0 || row->member.address[0] == '\0')
    return;
  if (row->opening && now_us >= row->open_us + OPEN_TIMEOUT_US)
    mf_member_link_down (core, row, 0);
  if (row->opening)
    return;
  if (now_us < row->open_us)
    {
      mf_core_wake_at (core, row->open_us);
      return;
    }
  row->opening = true;
  row->open_us = now_us;
  mf_core_emit (core, &action);
}

static void
link_close (MfCore *core, uint32_t link_id)
{
  MfAction action = { .type = MF_ACTION_PEER_CLOSE, .peer = { .link_id = link_id } };

  if (link_id != 0)
    mf_core_emit (core, &action);
}

/* Closes all links to a peer. */
void
mf_member_close_links (MfCore *core, MfMemberRow *row)
{
  for (uint32_t i = 0; i < MF_MEMBER_LINKS_MAX; i++)
    {
      link_close (core, row->links[i]);
      row->links[i] = 0;
    }
  row->member.link_id = 0;
}

static void
send_on_link (MfCore *core, MfMemberRow *row, const MfPeerMessage *message)
{
  MfAction action = {
    .type = MF_ACTION_PEER_SEND,
    .peer = { .link_id = row->member.link_id, .message = message },
  };

  row->last_used_us = core->board.now_us;
  mf_core_emit (core, &action);
}

/* Drops the queued messages that have expired. */
static void
pending_expire (MfCore *core, MfMemberRow *row)
{
  uint32_t n_kept = 0;

  for (uint32_t i = 0; i < row->n_pending; i++)
    {
      if (row->pending[i].expires_us <= core->board.now_us)
        free (row->pending[i].frame);
      else
        row->pending[n_kept++] = row->pending[i];
    }
  row->n_pending = n_kept;
}

static void
pending_flush (MfCore *core, MfMemberRow *row)
{
  pending_expire (core, row);
  for (uint32_t i = 0; i < row->n_pending; i++)
    {
      const MfPendingMessage *pending = &row->pending[i];
      MfError error = { 0 };
      MfFrame frame;

      if (!mf_frame_decode (pending->frame + MF_FRAME_LENGTH_BYTES,
                            pending->frame_bytes - MF_FRAME_LENGTH_BYTES, &frame, &error))
        continue;
      send_on_link (core, row, &frame.message);
      mf_frame_clear (&frame);
    }
  mf_member_clear_pending (row);
}

void
mf_member_clear_pending (MfMemberRow *row)
{
  for (uint32_t i = 0; i < row->n_pending; i++)
    free (row->pending[i].frame);
  row->n_pending = 0;
}

/* Queues an encoded copy of a message until the link is up. Returns false when the queue is full.
 */
static bool
pending_add (MfCore *core, MfMemberRow *row, const MfPeerMessage *message)
{
  MfError error = { 0 };
  MfPendingMessage *pending;

  pending_expire (core, row);
  if (row->n_pending == MF_MEMBER_PENDING_MAX)
    return false;
  pending = &row->pending[row->n_pending];
  pending->frame = mf_frame_encode (message, &pending->frame_bytes, &error);
  if (pending->frame == NULL)
    return false;
  pending->expires_us = core->board.now_us + PENDING_LIFE_US;
  row->n_pending++;
  return true;
}

/* Sends a message at once when there is a link, else opens a link and queues the message for it. */
bool
mf_member_send_row (MfCore *core, MfMemberRow *row, const MfPeerMessage *message)
{
  if (row->member.link_id != 0)
    {
      send_on_link (core, row, message);
      return true;
    }
  if (row->member.address[0] == '\0' || !pending_add (core, row, message))
    return false;
  row->last_used_us = core->board.now_us;
  mf_member_open_link (core, row);
  return true;
}

/* Handles a new link: messages are sent over the newest one. When the peer has two links already,
 * the older one is closed. */
void
mf_member_link_up (MfCore *core, MfMemberRow *row, const MfPeerEvent *peer)
{
  if (row->links[0] != 0 && row->links[1] != 0)
    link_close (core, row->links[1]);
  row->links[1] = row->links[0];
  row->links[0] = peer->link_id;
  row->member.link_id = peer->link_id;
  if (peer->address[0] != '\0')
    mf_name_set (row->member.address, sizeof row->member.address, peer->address);
  row->opening = false;
  row->open_us = 0;
  row->n_open_failures = 0;
  row->last_used_us = core->board.now_us;
  row->is_guardian = false;
  pending_flush (core, row);
  if (row->neighbour != MF_NONE)
    mf_gossip_queue_all (core, row->neighbour);
  mf_digest_schedule_urgent (core);
}

static uint64_t
open_backoff_us (MfCore *core, const MfMemberRow *row)
{
  uint32_t doublings = row->n_open_failures < 8 ? row->n_open_failures : 8;
  uint64_t backoff_us = OPEN_BACKOFF_MIN_US << doublings;

  if (backoff_us > OPEN_BACKOFF_MAX_US)
    backoff_us = OPEN_BACKOFF_MAX_US;
  return backoff_us / 2 + mf_core_random_below (core, backoff_us);
}

/* Handles the end of a link, or a failure to open one when link_id is 0. */
void
mf_member_link_down (MfCore *core, MfMemberRow *row, uint32_t link_id)
{
  if (link_id == 0)
    {
      row->opening = false;
      row->open_us = core->board.now_us + open_backoff_us (core, row);
      row->n_open_failures++;
      return;
    }
  if (row->links[0] == link_id)
    row->links[0] = row->links[1];
  else if (row->links[1] != link_id)
    return;
  row->links[1] = 0;
  row->member.link_id = row->links[0];
  if (row->links[0] == 0)
    row->open_us = core->board.now_us + mf_core_random_below (core, 50 * MF_US_PER_MS);
}
