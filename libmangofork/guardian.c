#include "guardian.h"

#include "cancel.h"
#include "rendezvous.h"

#include <stdlib.h>
#include <string.h>

#define GUARDIANS_MAX 3
/* An upstream not reported again within this time is assumed to hold no more work. */
#define REPORTED_WORK_LIFE_US (60 * MF_US_PER_S)
#define REPORTED_WORK_MAX 512
/* With at most this many upstreams, a guardian cancels the work of a dead instance at all of them,
 * which includes work that no digest has reported yet. */
#define CANCEL_ALL_UPSTREAMS_MAX 64

/* An upstream at which a guarded instance has work. */
struct MfReportedWork
{
  uint64_t upstream; /* hash of the name */
  uint64_t reported_us;
};

static bool
row_can_guard (const MfMemberRow *row)
{
  return row != NULL && row->member.link_id != 0 && row->member.state == MF_MEMBER_ALIVE
         && !row->is_guardian;
}

/* Returns the neighbour with the highest score that is no guardian yet, only from other data
 * centres when other_data_centre is set. */
static MfMemberRow *
best_guardian (const MfCore *core, bool other_data_centre)
{
  const MfMembers *members = core->board.members;
  MfMemberRow *best = NULL;
  uint64_t best_score = 0;

  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      MfMemberRow *row = members->neighbours[i];
      uint64_t score;

      if (!row_can_guard (row)
          || (other_data_centre
              && strcmp (row->member.data_centre, core->board.options.data_centre) == 0))
        continue;
      score = mf_rendezvous_score (row->name_hash, members->self_hash);
      if (best == NULL || score > best_score)
        {
          best = row;
          best_score = score;
        }
    }
  return best;
}

/* Chooses the guardians of this instance, one of them in another data centre if possible. */
void
mf_guardian_choose (MfCore *core)
{
  MfMembers *members = core->board.members;

  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      if (members->neighbours[i] != NULL)
        members->neighbours[i]->is_guardian = false;
    }
  for (uint32_t i = 0; i < GUARDIANS_MAX; i++)
    {
      MfMemberRow *row = i == 0 ? best_guardian (core, true) : NULL;

      if (row == NULL)
        row = best_guardian (core, false);
      if (row == NULL)
        return;
      row->is_guardian = true;
    }
}

/* Returns the entry of an upstream, or one to overwrite: a free entry, or else the oldest. */
static MfReportedWork *
reported_work_find (MfMemberRow *row, uint64_t upstream)
{
  MfReportedWork *oldest = &row->reported_work[0];

  for (uint32_t i = 0; i < row->n_reported_work; i++)
    {
      if (row->reported_work[i].upstream == upstream)
        return &row->reported_work[i];
      if (row->reported_work[i].reported_us < oldest->reported_us)
        oldest = &row->reported_work[i];
    }
  return row->n_reported_work < REPORTED_WORK_MAX ? &row->reported_work[row->n_reported_work++]
                                                  : oldest;
}

/* Records the upstreams at which a neighbour has work if this instance is its guardian. */
void
mf_guardian_record_work (MfCore *core, MfMemberRow *row, const MfDigestMessage *digest)
{
  if (!digest->guardian)
    return;
  if (row->reported_work == NULL)
    row->reported_work = calloc (REPORTED_WORK_MAX, sizeof *row->reported_work);
  if (row->reported_work == NULL)
    return;
  for (uint32_t i = 0; i < digest->n_shares; i++)
    {
      MfReportedWork *work;

      if (digest->shares[i].slots_used == 0)
        continue;
      work = reported_work_find (row, digest->shares[i].upstream);
      work->upstream = digest->shares[i].upstream;
      work->reported_us = core->board.now_us;
    }
}

static void
cancel_at_all_upstreams (MfCore *core, const MfInstanceId *instance)
{
  for (uint32_t i = 0; i < core->board.n_upstreams; i++)
    {
      const MfUpstream *upstream = &core->board.upstreams[i];

      if (upstream->in_config && upstream->role != MF_ROLE_PLAIN)
        mf_cancel_add_instance (core, i, instance);
    }
}

static void
cancel_at_reported_upstreams (MfCore *core, const MfMemberRow *row, const MfInstanceId *instance)
{
  for (uint32_t i = 0; i < row->n_reported_work; i++)
    {
      uint32_t upstream = mf_upstream_find (core, row->reported_work[i].upstream);

      if (upstream != MF_NONE
          && core->board.now_us - row->reported_work[i].reported_us < REPORTED_WORK_LIFE_US)
        mf_cancel_add_instance (core, upstream, instance);
    }
}

/* Cancels the work of a dead incarnation at the upstreams. If the instance is alive after all, the
 * work is lost once: the instance resumes its streams. */
void
mf_guardian_instance_died (MfCore *core, MfMemberRow *row, uint64_t incarnation)
{
  MfInstanceId instance = row->member.id;

  instance.incarnation = incarnation;
  if (row->is_guarded && incarnation != 0)
    {
      if (core->board.n_upstreams <= CANCEL_ALL_UPSTREAMS_MAX)
        cancel_at_all_upstreams (core, &instance);
      else
        cancel_at_reported_upstreams (core, row, &instance);
    }
  row->n_reported_work = 0;
}

void
mf_guardian_clear (MfMemberRow *row)
{
  free (row->reported_work);
  row->reported_work = NULL;
  row->n_reported_work = 0;
}
