#include "share.h"

#include "digest.h"
#include "member_row.h"
#include "rendezvous.h"

#include <stdlib.h>
#include <string.h>

/* Instances whose share of one upstream is known, at most. */
#define SHARERS_MAX 16
/* A share that has not been reported again within this time expires. */
#define SHARER_EXPIRY_US (5 * MF_US_PER_S)
#define SWEEP_PERIOD_US (500 * MF_US_PER_MS)
/* A share that has become zero is reported this many more times. */
#define ZERO_REPEATS 2

/* What another instance uses and wants of one upstream. */
typedef struct
{
  uint64_t instance; /* hash of the instance's name */
  uint64_t reported_us;
  uint16_t used;
  uint16_t wanted;
} Sharer;

typedef struct
{
  Sharer *sharers; /* SHARERS_MAX of them, once any is known */
  uint32_t n_sharers;
  uint32_t limit;
  uint32_t own_wanted;
  uint64_t demand_rose_us; /* when own_wanted was last increased */
  uint16_t reported_used;
  uint16_t reported_wanted;
  uint8_t n_zero_reported;
  bool tracked;
} ShareRow;

struct MfShares
{
  ShareRow *rows; /* one per upstream */
  uint32_t n_rows;
  uint32_t *tracked; /* rows that this instance uses or has reported */
  uint32_t n_tracked;
  uint32_t cursor;       /* index in tracked at which the next digest continues */
  uint32_t n_live;       /* live instances, this one included */
  uint32_t n_unreported; /* live instances whose shares do not reach this one */
  uint64_t sweep_us;
};

static uint32_t
own_demand (const MfCore *core, uint32_t upstream)
{
  uint32_t used = core->board.upstreams[upstream].own_slots;
  uint32_t wanted = core->board.shares->rows[upstream].own_wanted;

  return used > wanted ? used : wanted;
}

static uint32_t
sharer_demand (const Sharer *sharer)
{
  return sharer->used > sharer->wanted ? sharer->used : sharer->wanted;
}

static uint32_t
total_slots (const MfUpstream *upstream)
{
  return upstream->load_at_us != 0 && upstream->load.slots_total > 0 ? upstream->load.slots_total
                                                                     : upstream->config.slots;
}

/* Returns how many instances with more demand than level come before this one for one of the
 * remaining slots, in order of their rendezvous scores. */
static uint32_t
remainder_rank (const MfCore *core, const ShareRow *row, uint64_t subject, uint32_t level)
{
  uint64_t own_score = mf_rendezvous_score (core->board.members->self_hash, subject);
  uint32_t rank = 0;

  for (uint32_t i = 0; i < row->n_sharers; i++)
    {
      rank += sharer_demand (&row->sharers[i]) > level
              && mf_rendezvous_score (row->sharers[i].instance, subject) > own_score;
    }
  return rank;
}

/* The share when demand exceeds the slots, by max-min fairness: instances that want less than the
 * common level get what they want, and what they leave raises the level for the others. */
static uint32_t
max_min_share (const MfCore *core, uint32_t upstream, uint32_t n_slots)
{
  const ShareRow *row = &core->board.shares->rows[upstream];
  uint32_t own = own_demand (core, upstream);
  uint32_t level = 0, n_remaining = n_slots, n_unsatisfied = 0;

  for (uint32_t round = 0; round <= SHARERS_MAX; round++)
    {
      uint32_t next;

      n_remaining = n_slots;
      n_unsatisfied = own > level;
      n_remaining -= own > level ? 0 : own;
      for (uint32_t i = 0; i < row->n_sharers; i++)
        {
          uint32_t demand = sharer_demand (&row->sharers[i]);

          n_unsatisfied += demand > level;
          n_remaining -= demand > level ? 0 : demand;
        }
      if (n_unsatisfied == 0)
        return own;
      next = n_remaining / n_unsatisfied;
      if (next <= level)
        break;
      level = next;
    }
  if (own <= level)
    return own;
  return level
         + (remainder_rank (core, row, core->board.upstreams[upstream].name_hash, level)
            < n_remaining - level * n_unsatisfied);
}

/* The share when all demand fits: every instance with demand may grow by an equal part of the rest,
 * so that all of them together cannot exceed it before they know of each other's growth. */
static uint32_t
slack_share (const MfCore *core, uint32_t upstream, uint32_t n_slots, uint32_t demand)
{
  const ShareRow *row = &core->board.shares->rows[upstream];
  uint32_t n_active = 1, equal_part, remainder;

  for (uint32_t i = 0; i < row->n_sharers; i++)
    n_active += sharer_demand (&row->sharers[i]) > 0;
  equal_part = (n_slots - demand) / n_active;
  remainder = (n_slots - demand) % n_active;
  return own_demand (core, upstream) + equal_part
         + (remainder_rank (core, row, core->board.upstreams[upstream].name_hash, 0) < remainder);
}

/* The share by the slots in use now: an equal part of the free slots is left to every instance that
 * wants more. Until two digest periods after this instance's demand has risen, the others may not
 * know of it, nor this one of theirs; until then every live instance is assumed to want more. */
static uint32_t
free_share (const MfCore *core, uint32_t upstream, uint32_t n_slots)
{
  const MfShares *shares = core->board.shares;
  const ShareRow *row = &shares->rows[upstream];
  uint32_t own_used = core->board.upstreams[upstream].own_slots;
  uint32_t used = own_used, n_demanding = 1;
  bool demand_unknown
      = core->board.now_us < row->demand_rose_us + 2 * core->board.options.digest_period_us;

  for (uint32_t i = 0; i < row->n_sharers; i++)
    {
      used += row->sharers[i].used;
      n_demanding += row->sharers[i].wanted > row->sharers[i].used;
    }
  if (demand_unknown && shares->n_live > n_demanding)
    n_demanding = shares->n_live;
  return used < n_slots ? own_used + (n_slots - used + n_demanding - 1) / n_demanding : own_used;
}

/* Computes the limit that requests are checked against. Equal parts are left to the instances whose
 * shares do not reach this one. */
static void
limit_update (MfCore *core, uint32_t upstream)
{
  MfShares *shares = core->board.shares;
  ShareRow *row = &shares->rows[upstream];
  uint32_t n_slots = total_slots (&core->board.upstreams[upstream]);
  uint32_t demand = own_demand (core, upstream);
  uint32_t limit;

  if (shares->n_unreported > 0)
    n_slots -= n_slots * shares->n_unreported / shares->n_live;
  for (uint32_t i = 0; i < row->n_sharers; i++)
    demand += sharer_demand (&row->sharers[i]);
  row->limit = demand > n_slots ? max_min_share (core, upstream, n_slots)
                                : slack_share (core, upstream, n_slots, demand);
  limit = free_share (core, upstream, n_slots);
  if (row->limit > limit)
    row->limit = limit;
  if (row->limit == 0)
    row->limit = 1;
}

/* Returns how many of an upstream's slots this instance may use at once. */
uint32_t
mf_share_limit (const MfCore *core, uint32_t upstream)
{
  const MfShares *shares = core->board.shares;

  if (shares == NULL || upstream >= shares->n_rows)
    return total_slots (&core->board.upstreams[upstream]);
  return shares->rows[upstream].limit;
}

static void
track (MfShares *shares, uint32_t upstream)
{
  if (shares->rows[upstream].tracked)
    return;
  shares->rows[upstream].tracked = true;
  shares->tracked[shares->n_tracked++] = upstream;
}

/* Sets how many of the upstream's slots this instance would use if it were not limited. A digest is
 * sent at once when the demand exceeds both the limit and twice the reported demand. */
void
mf_share_set_demand (MfCore *core, uint32_t upstream, uint32_t n_slots)
{
  MfShares *shares = core->board.shares;
  ShareRow *row;

  if (upstream >= shares->n_rows || shares->rows[upstream].own_wanted == n_slots)
    return;
  row = &shares->rows[upstream];
  track (shares, upstream);
  if (n_slots > row->own_wanted)
    row->demand_rose_us = core->board.now_us;
  row->own_wanted = n_slots;
  if (row->n_sharers > 0 && n_slots > 2 * row->reported_wanted && n_slots > row->limit)
    mf_digest_schedule_urgent (core);
  limit_update (core, upstream);
}

static uint16_t
clamp_u16 (uint32_t value)
{
  return value < UINT16_MAX ? (uint16_t)value : UINT16_MAX;
}

static void
write_share (MfCore *core, uint32_t upstream, MfDigestMessage *digest)
{
  ShareRow *row = &core->board.shares->rows[upstream];
  const MfUpstream *state = &core->board.upstreams[upstream];

  row->reported_used = clamp_u16 (state->own_slots);
  row->reported_wanted = clamp_u16 (row->own_wanted);
  if (row->reported_used != 0 || row->reported_wanted != 0)
    row->n_zero_reported = 0;
  else if (row->n_zero_reported < ZERO_REPEATS)
    row->n_zero_reported++;
  digest->shares[digest->n_shares++] = (MfShare){
    .upstream = state->name_hash,
    .slots_used = row->reported_used,
    .slots_wanted = row->reported_wanted,
  };
}

static bool
has_changed (const MfCore *core, uint32_t upstream)
{
  const ShareRow *row = &core->board.shares->rows[upstream];

  return row->reported_used != core->board.upstreams[upstream].own_slots
         || row->reported_wanted != row->own_wanted;
}

/* Returns whether an unchanged share is still to be reported. */
static bool
needs_repeat (const ShareRow *row)
{
  return row->reported_used != 0 || row->reported_wanted != 0
         || row->n_zero_reported < ZERO_REPEATS;
}

/* Writes at most max of this instance's own shares into a digest: changed ones first, then the
 * others in rotation. */
void
mf_share_fill (MfCore *core, MfDigestMessage *digest, uint32_t max)
{
  MfShares *shares = core->board.shares;

  if (max > MF_SHARES_PER_DIGEST_MAX)
    max = MF_SHARES_PER_DIGEST_MAX;
  for (uint32_t pass = 0; pass < 2; pass++)
    {
      for (uint32_t i = 0; i < shares->n_tracked && digest->n_shares < max; i++)
        {
          uint32_t at = (shares->cursor + i) % shares->n_tracked;
          uint32_t upstream = shares->tracked[at];
          bool changed = has_changed (core, upstream);

          if (pass == 0 ? !changed : changed || !needs_repeat (&shares->rows[upstream]))
            continue;
          write_share (core, upstream, digest);
          if (digest->n_shares == max)
            shares->cursor = (at + 1) % shares->n_tracked;
        }
    }
}

static Sharer *
sharer_find (ShareRow *row, uint64_t instance)
{
  Sharer *oldest;

  if (row->sharers == NULL)
    row->sharers = calloc (SHARERS_MAX, sizeof *row->sharers);
  if (row->sharers == NULL)
    return NULL;
  oldest = &row->sharers[0];
  for (uint32_t i = 0; i < row->n_sharers; i++)
    {
      if (row->sharers[i].instance == instance)
        return &row->sharers[i];
      if (row->sharers[i].reported_us < oldest->reported_us)
        oldest = &row->sharers[i];
    }
  return row->n_sharers < SHARERS_MAX ? &row->sharers[row->n_sharers++] : oldest;
}

static void
apply_digest (MfCore *core, uint64_t instance, const MfDigestMessage *digest)
{
  for (uint32_t i = 0; i < digest->n_shares; i++)
    {
      const MfShare *share = &digest->shares[i];
      uint32_t upstream = mf_upstream_find (core, share->upstream);
      Sharer *sharer;

      if (upstream == MF_NONE || upstream >= core->board.shares->n_rows)
        continue;
      sharer = sharer_find (&core->board.shares->rows[upstream], instance);
      if (sharer == NULL)
        continue;
      *sharer = (Sharer){
        .instance = instance,
        .reported_us = core->board.now_us,
        .used = share->slots_used,
        .wanted = share->slots_wanted,
      };
      if (core->board.shares->rows[upstream].tracked)
        limit_update (core, upstream);
    }
}

/* Removes the shares of dead instances and those that have expired. */
static void
row_expire (MfCore *core, ShareRow *row)
{
  uint32_t n_kept = 0;

  for (uint32_t i = 0; i < row->n_sharers; i++)
    {
      const MfMemberRow *member = mf_member_row_by_hash (core, row->sharers[i].instance);

      if (member != NULL && member->member.state != MF_MEMBER_DEAD
          && core->board.now_us - row->sharers[i].reported_us < SHARER_EXPIRY_US)
        row->sharers[n_kept++] = row->sharers[i];
    }
  row->n_sharers = n_kept;
}

static void
count_members (MfCore *core)
{
  MfShares *shares = core->board.shares;

  shares->n_live = 1;
  shares->n_unreported = 0;
  for (const MfMemberRow *row = core->board.members->rows; row != NULL; row = row->hh.next)
    {
      if (!mf_member_is_live (&row->member) || !row->member.listed)
        continue;
      shares->n_live++;
      shares->n_unreported += row->digest_us == 0 || row->neighbour == MF_NONE;
    }
}

/* Rebuilds the list of tracked upstreams: the active subsets of all pools, and those whose share
 * still has to be reported as free. Its length does not grow with the fleet. */
static void
tracked_rebuild (MfCore *core)
{
  MfShares *shares = core->board.shares;
  const MfServices *services = &core->board.services;
  uint32_t n_before = shares->n_tracked;

  shares->n_tracked = 0;
  for (uint32_t i = 0; i < n_before; i++)
    {
      uint32_t upstream = shares->tracked[i];

      shares->rows[upstream].tracked = false;
      if (needs_repeat (&shares->rows[upstream]) || core->board.upstreams[upstream].own_slots > 0)
        track (shares, upstream);
    }
  for (uint32_t i = 0; i < services->n_pools; i++)
    {
      for (uint32_t k = 0; k < services->pools[i].n_active; k++)
        track (shares, services->pools[i].active[k]);
    }
}

static void
rows_grow (MfShares *shares, uint32_t n_rows)
{
  uint32_t *tracked;
  ShareRow *rows;

  if (n_rows <= shares->n_rows)
    return;
  tracked = realloc (shares->tracked, n_rows * sizeof *tracked);
  if (tracked == NULL)
    return;
  shares->tracked = tracked;
  rows = realloc (shares->rows, n_rows * sizeof *rows);
  if (rows == NULL)
    return;
  memset (rows + shares->n_rows, 0, (n_rows - shares->n_rows) * sizeof *rows);
  for (uint32_t i = shares->n_rows; i < n_rows; i++)
    {
      rows[i].n_zero_reported = ZERO_REPEATS;
      rows[i].limit = 1;
    }
  shares->rows = rows;
  shares->n_rows = n_rows;
}

static void
share_handle (MfCore *core, const MfEvent *event)
{
  const MfMemberRow *row;

  rows_grow (core->board.shares, core->board.n_upstreams);
  if (event->type != MF_EVENT_PEER_MESSAGE || event->peer.message->type != MF_PEER_DIGEST)
    return;
  row = mf_member_row (core, event->peer.peer.name);
  if (row != NULL && row->member.owner.incarnation == event->peer.peer.incarnation)
    apply_digest (core, row->name_hash, &event->peer.message->digest);
}

static void
share_tick (MfCore *core)
{
  MfShares *shares = core->board.shares;

  if (core->board.now_us < shares->sweep_us)
    return;
  shares->sweep_us = core->board.now_us + SWEEP_PERIOD_US;
  count_members (core);
  tracked_rebuild (core);
  for (uint32_t i = 0; i < shares->n_tracked; i++)
    {
      row_expire (core, &shares->rows[shares->tracked[i]]);
      limit_update (core, shares->tracked[i]);
    }
}

static void
share_config (MfCore *core)
{
  rows_grow (core->board.shares, core->board.n_upstreams);
  core->board.shares->sweep_us = 0;
}

static bool
share_init (MfCore *core, MfError *error)
{
  core->board.shares = calloc (1, sizeof *core->board.shares);
  if (core->board.shares == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for shares");
  return core->board.shares != NULL;
}

static void
share_finish (MfCore *core)
{
  MfShares *shares = core->board.shares;

  if (shares == NULL)
    return;
  for (uint32_t i = 0; i < shares->n_rows; i++)
    free (shares->rows[i].sharers);
  free (shares->rows);
  free (shares->tracked);
  free (shares);
  core->board.shares = NULL;
}

const MfController mf_share_controller = {
  .name = "share",
  .init = share_init,
  .finish = share_finish,
  .handle = share_handle,
  .tick = share_tick,
  .config = share_config,
};
