#include "member_row.h"

#include "digest.h"
#include "guardian.h"
#include "gossip.h"
#include "rendezvous.h"

#include <stdlib.h>
#include <string.h>

/* A neighbour is suspected after this many digest periods without a message from it, and declared
 * dead after this many more unless the suspicion is refuted. */
#define SUSPECT_PERIODS 5
#define CONFIRM_PERIODS 5
/* A gap between two events longer than this many digest periods, and than PAUSE_MIN_US, means that
 * this process was paused. */
#define PAUSE_PERIODS 3
#define PAUSE_MIN_US (500 * MF_US_PER_MS)
/* The health penalty rises by one with each pause of this process, up to this, and falls by one in
 * each PENALTY_DECAY_US without a pause. */
#define HEALTH_PENALTY_MAX 7
#define PENALTY_DECAY_US (10 * MF_US_PER_S)
/* Each refuted suspicion of a member doubles its timeouts, up to this many times, until it sends a
 * message. */
#define REFUTATIONS_MAX 5
/* Limit of the factor by which the health penalty and refutations lengthen the timeouts. */
#define TIMEOUT_MULTIPLIER_MAX 16
/* Mean time between two sweeps; each is drawn at random from half to one and a half of it. */
#define SWEEP_PERIOD_US (2 * MF_US_PER_S)
/* A neighbour that this instance did not choose is dropped this long after its last digest. */
#define UNCHOSEN_LIFE_US (10 * MF_US_PER_S)
/* A link to an instance that is no neighbour is closed after this time without messages. */
#define LINK_IDLE_US (30 * MF_US_PER_S)
/* A member that the published list has not named for this long is removed once it has no link. */
#define UNLISTED_LIFE_US (300 * MF_US_PER_S)
/* Most instances in the table, listed or not. */
#define ROWS_MAX 4096

static const char *const state_names[] = {
  [MF_MEMBER_ALIVE] = "alive",
  [MF_MEMBER_SUSPECT] = "suspect",
  [MF_MEMBER_DEAD] = "dead",
  [MF_MEMBER_LEAVING] = "leaving",
};

MfMemberRow *
mf_member_row_by_hash (const MfCore *core, uint64_t name_hash)
{
  MfMemberRow *row;

  HASH_FIND (hh, core->board.members->rows, &name_hash, sizeof name_hash, row);
  return row;
}

MfMemberRow *
mf_member_row (const MfCore *core, const char *name)
{
  return mf_member_row_by_hash (core, mf_hash_name (name));
}

/* Returns the row of an instance, adding it when needed; NULL for this instance, when the table is
 * full, or when out of memory. */
MfMemberRow *
mf_member_row_find_or_add (MfCore *core, const char *name)
{
  MfMembers *members = core->board.members;
  uint64_t name_hash = mf_hash_name (name);
  MfMemberRow *row = mf_member_row_by_hash (core, name_hash);

  if (row != NULL || name_hash == members->self_hash || HASH_COUNT (members->rows) >= ROWS_MAX)
    return row;
  row = calloc (1, sizeof *row);
  if (row == NULL)
    return NULL;
  mf_name_set (row->member.id.name, sizeof row->member.id.name, name);
  row->name_hash = name_hash;
  row->neighbour = MF_NONE;
  row->unlisted_since_us = core->board.now_us;
  HASH_ADD (hh, members->rows, name_hash, sizeof row->name_hash, row);
  members->choose_pending = true;
  return row;
}

static void
row_free (MfCore *core, MfMemberRow *row)
{
  mf_member_drop_neighbour (core, row);
  mf_member_clear_pending (row);
  mf_guardian_clear (row);
  HASH_DEL (core->board.members->rows, row);
  free (row);
}

/* Calls func for every other instance until it returns false. */
void
mf_member_foreach (const MfCore *core, MfMemberFunc func, void *data)
{
  for (const MfMemberRow *row = core->board.members->rows; row != NULL; row = row->hh.next)
    {
      if (!func (&row->member, data))
        return;
    }
}

/* Returns the member with that name, or NULL when there is none. */
const MfMember *
mf_member_find (const MfCore *core, const char *name)
{
  const MfMemberRow *row = mf_member_row (core, name);

  return row != NULL ? &row->member : NULL;
}

/* Sends a message to a member. Without a link one is opened, and the message is queued for it for
 * up to PENDING_LIFE_US. Returns false when the message will not be sent. */
bool
mf_member_send (MfCore *core, const char *name, const MfPeerMessage *message)
{
  MfMemberRow *row = mf_member_row (core, name);

  return row != NULL && mf_member_send_row (core, row, message);
}

/* Sends a message to every connected neighbour. */
void
mf_member_send_all (MfCore *core, const MfPeerMessage *message)
{
  MfMembers *members = core->board.members;

  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      if (members->neighbours[i] != NULL && members->neighbours[i]->member.link_id != 0)
        mf_member_send_row (core, members->neighbours[i], message);
    }
}

/* Returns whether a member is a candidate when a live member is made responsible for a task. */
bool
mf_member_is_live (const MfMember *member)
{
  return member->state == MF_MEMBER_ALIVE || member->state == MF_MEMBER_SUSPECT;
}

/* Returns the number of live members that rank before this instance for a subject, in one data
 * centre or in all when data_centre is NULL; the instance with rank 0 is responsible. Iterates over
 * all members. */
uint32_t
mf_member_rank (const MfCore *core, uint64_t subject, const char *data_centre)
{
  const MfMembers *members = core->board.members;
  uint64_t own_score = mf_rendezvous_score (members->self_hash, subject);
  uint32_t rank = 0;

  for (const MfMemberRow *row = members->rows; row != NULL; row = row->hh.next)
    {
      if (!mf_member_is_live (&row->member) || !row->member.listed
          || (data_centre != NULL && strcmp (row->member.data_centre, data_centre) != 0))
        continue;
      rank += mf_rendezvous_score (row->name_hash, subject) > own_score;
    }
  return rank;
}

/* Returns whether this instance and the listed members that are not dead are a majority of the
 * listed instances. */
bool
mf_member_has_majority (const MfCore *core)
{
  uint32_t n_listed = 1, n_live = 1;

  for (const MfMemberRow *row = core->board.members->rows; row != NULL; row = row->hh.next)
    {
      n_listed += row->member.listed;
      n_live += row->member.listed && row->member.state != MF_MEMBER_DEAD;
    }
  return 2 * n_live > n_listed;
}

uint32_t
mf_member_count (const MfCore *core)
{
  return HASH_COUNT (core->board.members->rows);
}

/* Returns when this process last detected that it had been paused; 0 for never. */
uint64_t
mf_member_paused_us (const MfCore *core)
{
  return core->board.members->paused_us;
}

/* Changes the state of a member; evidence_us is when the evidence for it arose. */
void
mf_member_set_state (MfCore *core, MfMemberRow *row, MfMemberState state, uint64_t evidence_us,
                     const char *reason)
{
  MfMemberState old = row->member.state;

  if (state == old)
    return;
  row->member.state = state;
  row->evidence_us = evidence_us;
  row->suspected_since_us = state == MF_MEMBER_SUSPECT ? core->board.now_us : 0;
  if (state == MF_MEMBER_DEAD || old == MF_MEMBER_DEAD || state == MF_MEMBER_LEAVING)
    core->board.members->choose_pending = true;
  mf_core_log (core, "peer", row->member.id.name, state_names[old], state_names[state], reason);
  if (state == MF_MEMBER_DEAD)
    mf_guardian_instance_died (core, row, row->member.id.incarnation);
}

/* Handles a new incarnation of a member: the one before is dead, whatever its state was. */
static void
incarnation_raise (MfCore *core, MfMemberRow *row, uint64_t incarnation)
{
  uint64_t old = row->member.id.incarnation;

  if (old != 0)
    {
      mf_guardian_instance_died (core, row, old);
      mf_gossip_publish (core, MF_GOSSIP_INSTANCE_DEAD, row->name_hash, old);
      mf_member_close_links (core, row);
    }
  row->member.id.incarnation = incarnation;
  row->member.admitted = false;
  row->is_guarded = false;
  row->is_guardian = false;
  row->config_revision = 0;
  row->list_index = 0;
  row->n_refutations = 0;
}

/* Handles direct evidence that an incarnation is alive. Returns false when it is an older one. */
bool
mf_member_note_alive (MfCore *core, MfMemberRow *row, uint64_t incarnation)
{
  bool was_known_dead = row->member.state == MF_MEMBER_DEAD;

  if (incarnation < row->member.id.incarnation)
    return false;
  if (incarnation > row->member.id.incarnation)
    {
      was_known_dead |= row->member.id.incarnation != 0;
      incarnation_raise (core, row, incarnation);
    }
  row->member.last_seen_us = core->board.now_us;
  row->n_refutations = 0;
  if (row->member.state == MF_MEMBER_DEAD || row->member.state == MF_MEMBER_SUSPECT)
    mf_member_set_state (core, row, MF_MEMBER_ALIVE, core->board.now_us, "message received");
  if (was_known_dead)
    mf_gossip_publish (core, MF_GOSSIP_INSTANCE_ALIVE, row->name_hash, incarnation);
  return true;
}

static uint64_t
scaled_periods_us (const MfCore *core, const MfMemberRow *row, uint32_t n_periods)
{
  uint64_t multiplier = (uint64_t)(1 + core->board.members->health_penalty) << row->n_refutations;

  if (multiplier > TIMEOUT_MULTIPLIER_MAX)
    multiplier = TIMEOUT_MULTIPLIER_MAX;
  return n_periods * core->board.options.digest_period_us * multiplier;
}

/* Handles gossip about this process: refutes that it is suspect or dead. */
static void
refute_own_death (MfCore *core, const MfGossip *gossip)
{
  if (gossip->kind != MF_GOSSIP_INSTANCE_ALIVE
      && gossip->value == core->board.options.self.incarnation)
    mf_gossip_publish (core, MF_GOSSIP_INSTANCE_ALIVE, gossip->subject, gossip->value);
}

static void
apply_death (MfCore *core, MfMemberRow *row, const MfGossip *gossip, uint64_t origin_us)
{
  if (gossip->value < row->member.id.incarnation)
    return;
  if (row->neighbour != MF_NONE && row->member.link_id != 0
      && row->member.last_seen_us + scaled_periods_us (core, row, SUSPECT_PERIODS)
             > core->board.now_us
      && row->member.id.incarnation == gossip->value)
    {
      mf_gossip_publish (core, MF_GOSSIP_INSTANCE_ALIVE, gossip->subject, gossip->value);
      return;
    }
  if (gossip->kind == MF_GOSSIP_INSTANCE_SUSPECT || origin_us < row->evidence_us)
    return;
  row->member.id.incarnation = gossip->value;
  mf_member_set_state (core, row, MF_MEMBER_DEAD, origin_us, "reported by a peer");
}

/* Handles gossip about the state of an instance. */
void
mf_member_apply_gossip (MfCore *core, const MfGossip *gossip, uint64_t origin_us)
{
  MfMemberRow *row = mf_member_row_by_hash (core, gossip->subject);

  if (gossip->subject == core->board.members->self_hash)
    {
      refute_own_death (core, gossip);
      return;
    }
  if (row == NULL)
    return;
  if (gossip->kind != MF_GOSSIP_INSTANCE_ALIVE)
    {
      apply_death (core, row, gossip, origin_us);
      return;
    }
  if (gossip->value > row->member.id.incarnation)
    incarnation_raise (core, row, gossip->value);
  else if (gossip->value < row->member.id.incarnation || origin_us < row->evidence_us)
    return;
  if (row->member.state == MF_MEMBER_SUSPECT && row->n_refutations < REFUTATIONS_MAX)
    row->n_refutations++;
  row->member.last_seen_us = core->board.now_us;
  if (row->member.state == MF_MEMBER_DEAD || row->member.state == MF_MEMBER_SUSPECT)
    mf_member_set_state (core, row, MF_MEMBER_ALIVE, origin_us, "reported by a peer");
}

/* Detects that this process was paused. It received nothing meanwhile, so the timeouts of its
 * neighbours restart, and the health penalty lengthens its timeouts until it has decayed. */
static void
detect_pause (MfCore *core)
{
  MfMembers *members = core->board.members;
  uint64_t now_us = core->board.now_us;
  uint64_t limit_us = PAUSE_PERIODS * core->board.options.digest_period_us;
  uint64_t gap_us = now_us - members->last_event_us;

  members->last_event_us = now_us;
  if (members->health_penalty > 0 && now_us >= members->penalty_decay_us)
    {
      members->health_penalty--;
      members->penalty_decay_us = now_us + PENALTY_DECAY_US;
    }
  if (gap_us <= (limit_us > PAUSE_MIN_US ? limit_us : PAUSE_MIN_US))
    return;
  mf_counter_add (&core->board.counters, MF_COUNTER_PAUSES, 1);
  members->paused_us = now_us;
  members->penalty_decay_us = now_us + PENALTY_DECAY_US;
  if (members->health_penalty < HEALTH_PENALTY_MAX)
    members->health_penalty++;
  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      MfMemberRow *row = members->neighbours[i];

      if (row == NULL)
        continue;
      row->member.last_seen_us = now_us;
      if (row->member.state == MF_MEMBER_SUSPECT)
        mf_member_set_state (core, row, MF_MEMBER_ALIVE, now_us, "this process was paused");
    }
}

/* Applies one entry of the published list. */
static void
apply_listed (MfCore *core, const MfListedInstance *listed)
{
  MfMemberRow *row = mf_member_row_find_or_add (core, listed->name);

  if (row == NULL)
    return;
  row->member.listed = true;
  row->unlisted_since_us = 0;
  if (strcmp (row->member.address, listed->address) != 0)
    row->open_us = 0;
  mf_name_set (row->member.address, sizeof row->member.address, listed->address);
  mf_name_set (row->member.data_centre, sizeof row->member.data_centre, listed->data_centre);
  if (listed->leaving && row->member.state == MF_MEMBER_ALIVE)
    mf_member_set_state (core, row, MF_MEMBER_LEAVING, core->board.now_us, "published list");
  else if (!listed->leaving && row->member.state == MF_MEMBER_LEAVING && row->digest_us == 0)
    mf_member_set_state (core, row, MF_MEMBER_ALIVE, core->board.now_us, "published list");
}

/* Applies the published list of instances, from the platform or from a peer, unless it is older
 * than the one applied last. */
void
mf_member_apply_list (MfCore *core, uint64_t index, const MfListedInstance *listed,
                      uint32_t n_listed)
{
  MfMembers *members = core->board.members;

  if (index <= core->board.list_index)
    return;
  core->board.list_index = index;
  for (MfMemberRow *row = members->rows; row != NULL; row = row->hh.next)
    {
      if (row->member.listed)
        row->unlisted_since_us = core->board.now_us;
      row->member.listed = false;
    }
  for (uint32_t i = 0; i < n_listed; i++)
    apply_listed (core, &listed[i]);
  members->choose_pending = true;
}

static void
handle_peer_up (MfCore *core, const MfPeerEvent *peer)
{
  MfMemberRow *row = mf_member_row_find_or_add (core, peer->peer.name);
  MfAction close = { .type = MF_ACTION_PEER_CLOSE, .peer = { .link_id = peer->link_id } };

  if (row == NULL || !mf_member_note_alive (core, row, peer->peer.incarnation))
    {
      mf_core_emit (core, &close);
      return;
    }
  core->board.members->choose_pending = true;
  mf_member_link_up (core, row, peer);
  if (core->board.members->announced)
    return;
  core->board.members->announced = true;
  mf_gossip_publish (core, MF_GOSSIP_INSTANCE_ALIVE, core->board.members->self_hash,
                     core->board.options.self.incarnation);
}

static void
apply_digest (MfCore *core, MfMemberRow *row, const MfDigestMessage *digest)
{
  row->digest_us = core->board.now_us;
  row->config_revision = digest->config_revision;
  row->list_index = digest->list_index;
  row->member.admitted = digest->admitted;
  row->is_guarded = digest->guardian;
  mf_member_add_neighbour (core, row);
  if (digest->leaving && row->member.state == MF_MEMBER_ALIVE)
    mf_member_set_state (core, row, MF_MEMBER_LEAVING, core->board.now_us, "in its digest");
  mf_guardian_record_work (core, row, digest);
}

static void
handle_peer_down (MfCore *core, const MfPeerEvent *peer)
{
  MfMemberRow *row = mf_member_row (core, peer->peer.name);

  if (row == NULL)
    return;
  mf_member_link_down (core, row, peer->link_id);
  if (peer->link_id == 0 && row->neighbour != MF_NONE && row->member.link_id == 0
      && row->n_open_failures > 1 && row->member.state == MF_MEMBER_ALIVE)
    row->member.last_seen_us = 0;
  core->board.members->next_watch_us = 0;
}

static void
member_handle (MfCore *core, const MfEvent *event)
{
  MfMemberRow *row;

  detect_pause (core);
  switch (event->type)
    {
    case MF_EVENT_PLATFORM_LIST:
      mf_member_apply_list (core, event->list.index, event->list.listed, event->list.n_listed);
      break;
    case MF_EVENT_PEER_UP:
      handle_peer_up (core, &event->peer);
      break;
    case MF_EVENT_PEER_DOWN:
      handle_peer_down (core, &event->peer);
      break;
    case MF_EVENT_PEER_MESSAGE:
      row = mf_member_row (core, event->peer.peer.name);
      if (row == NULL || !mf_member_note_alive (core, row, event->peer.peer.incarnation))
        break;
      row->last_used_us = core->board.now_us;
      if (event->peer.message->type == MF_PEER_DIGEST)
        apply_digest (core, row, &event->peer.message->digest);
      break;
    default:
      break;
    }
}

/* Suspects a neighbour that sends nothing; declares it dead when the suspicion is not refuted in
 * time. */
static void
check_neighbour (MfCore *core, MfMemberRow *row)
{
  uint64_t now_us = core->board.now_us;
  MfMemberState state = row->member.state;

  if (state == MF_MEMBER_DEAD)
    {
      mf_member_drop_neighbour (core, row);
      return;
    }
  if (!row->chosen && row->digest_us + UNCHOSEN_LIFE_US < now_us && state != MF_MEMBER_SUSPECT)
    {
      mf_member_drop_neighbour (core, row);
      return;
    }
  if (row->member.link_id == 0 && row->chosen)
    mf_member_open_link (core, row);
  if (state != MF_MEMBER_SUSPECT
      && now_us - row->member.last_seen_us >= scaled_periods_us (core, row, SUSPECT_PERIODS))
    {
      mf_member_set_state (core, row, MF_MEMBER_SUSPECT, now_us, "no messages");
      mf_gossip_publish (core, MF_GOSSIP_INSTANCE_SUSPECT, row->name_hash,
                         row->member.id.incarnation);
    }
  else if (state == MF_MEMBER_SUSPECT
           && now_us - row->suspected_since_us >= scaled_periods_us (core, row, CONFIRM_PERIODS))
    {
      mf_member_close_links (core, row);
      mf_member_set_state (core, row, MF_MEMBER_DEAD, now_us, "no messages");
      mf_gossip_publish (core, MF_GOSSIP_INSTANCE_DEAD, row->name_hash, row->member.id.incarnation);
      mf_member_drop_neighbour (core, row);
    }
}

/* Closes idle links, removes members that have long been missing from the list, and connects to one
 * random dead member, so that the end of a partition is detected. */
static void
sweep (MfCore *core)
{
  MfMembers *members = core->board.members;
  uint64_t now_us = core->board.now_us;
  MfMemberRow *row, *next, *dead = NULL;
  uint32_t n_dead = 0;

  HASH_ITER (hh, members->rows, row, next)
  {
    if (row->unlisted_since_us != 0 && row->member.link_id == 0 && row->neighbour == MF_NONE
        && now_us - row->unlisted_since_us > UNLISTED_LIFE_US)
      {
        row_free (core, row);
        continue;
      }
    if (row->neighbour == MF_NONE && row->member.link_id != 0
        && row->last_used_us + LINK_IDLE_US < now_us)
      mf_member_close_links (core, row);
    if (row->member.state == MF_MEMBER_DEAD && row->member.listed
        && mf_core_random_below (core, ++n_dead) == 0)
      dead = row;
  }
  if (dead != NULL)
    mf_member_open_link (core, dead);
}

static void
member_tick (MfCore *core)
{
  MfMembers *members = core->board.members;
  uint64_t now_us = core->board.now_us;

  if (members->choose_pending)
    mf_member_choose_neighbours (core);
  if (now_us >= members->next_watch_us)
    {
      for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
        {
          if (members->neighbours[i] != NULL)
            check_neighbour (core, members->neighbours[i]);
        }
      members->next_watch_us = now_us + core->board.options.digest_period_us / 2;
    }
  if (now_us >= members->next_sweep_us)
    {
      sweep (core);
      members->next_sweep_us
          = now_us + SWEEP_PERIOD_US / 2 + mf_core_random_below (core, SWEEP_PERIOD_US);
    }
  mf_core_wake_at (core, members->next_watch_us);
  if (members->rows != NULL)
    mf_core_wake_at (core, members->next_sweep_us);
}

static bool
member_init (MfCore *core, MfError *error)
{
  MfMembers *members = calloc (1, sizeof *members);

  if (members == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while creating the table of members");
      return false;
    }
  members->self_hash = mf_hash_name (core->board.options.self.name);
  members->last_event_us = core->board.now_us;
  core->board.members = members;
  return true;
}

static void
member_finish (MfCore *core)
{
  MfMembers *members = core->board.members;
  MfMemberRow *row;

  if (members == NULL)
    return;
  while ((row = members->rows) != NULL)
    {
      mf_member_clear_pending (row);
      mf_guardian_clear (row);
      HASH_DEL (members->rows, row);
      free (row);
    }
  free (members);
  core->board.members = NULL;
}

const MfController mf_member_controller = {
  .name = "member",
  .init = member_init,
  .finish = member_finish,
  .handle = member_handle,
  .tick = member_tick,
};
