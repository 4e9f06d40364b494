#include "voter.h"

#include "member.h"

#include <stdlib.h>
#include <string.h>

#define ADMIT_PERIOD_FIRST_US (100 * MF_US_PER_MS)
#define ADMIT_PERIOD_MAX_US MF_US_PER_S
/* Largest difference assumed between the clocks of key creators and this clock. */
#define CLOCK_SKEW_MS 1000

static void
view_raise (MfVoterState *voter, const MfInstanceId *owner)
{
  uint32_t i = mf_cell_find (&voter->cell, owner->name);

  if (i != MF_NONE && owner->incarnation > voter->view[i])
    voter->view[i] = owner->incarnation;
}

static uint32_t
view_copy (const MfVoterState *voter, MfInstanceId *dst)
{
  for (uint32_t i = 0; i < voter->cell.n; i++)
    {
      memcpy (dst[i].name, voter->cell.names[i], MF_NAME_BYTES);
      dst[i].incarnation = voter->view[i];
    }
  return voter->cell.n;
}

static uint64_t
view_incarnation (const MfInstanceId *view, uint32_t n_view, const char *name)
{
  for (uint32_t i = 0; i < n_view; i++)
    {
      if (strcmp (view[i].name, name) == 0)
        return view[i].incarnation;
    }
  return 0;
}

/* Returns whether the cells differ by at most one voter, so that every quorum of one shares a voter
 * with every quorum of the other. */
static bool
cells_overlap (const MfCell *before, const MfCell *after)
{
  uint32_t n_common = 0;

  for (uint32_t i = 0; i < after->n; i++)
    n_common += mf_cell_find (before, after->names[i]) != MF_NONE;
  return n_common + 1 >= before->n && n_common + 1 >= after->n
         && before->n + after->n <= 2 * n_common + 1;
}

static void
clear_answers (MfVoterState *voter)
{
  for (uint32_t i = 0; i < MF_VOTERS_PER_KEY_MAX; i++)
    voter->answer_incarnation[i] = 0;
}

void
mf_voter_init (MfVoterState *voter, MfKeyTable *key_table, uint64_t now_us)
{
  *voter = (MfVoterState){ .key_table = key_table, .index = MF_NONE, .started_us = now_us };
}

/* Replaces the cell; keeps the known incarnations of voters that are in both cells. */
static void
cell_replace (MfCore *core, MfVoterState *voter, const MfCell *cell)
{
  uint64_t view[MF_VOTERS_PER_KEY_MAX] = { 0 };

  for (uint32_t i = 0; i < cell->n; i++)
    {
      uint32_t old = mf_cell_find (&voter->cell, cell->names[i]);

      view[i] = old != MF_NONE ? voter->view[old] : 0;
    }
  voter->cell = *cell;
  memcpy (voter->view, view, sizeof view);
  voter->index = mf_cell_find (cell, core->board.options.self.name);
  view_raise (voter, &core->board.options.self);
  clear_answers (voter);
}

static void
set_admitted (MfCore *core, MfVoterState *voter, uint64_t cold_start_at_ms, uint64_t opaque_wait_us,
              const char *reason)
{
  voter->admitted = true;
  core->board.voter_admitted = true;
  voter->cold_start_at_ms = cold_start_at_ms;
  voter->cold_start_until_us = core->board.now_us + voter->key_life_us;
  voter->opaque_from_us = core->board.now_us + opaque_wait_us;
  mf_core_log (core, "voter", core->board.options.self.name, "fresh", "admitted", reason);
}

/* Applies a new configuration: requests admission when the cell has changed. */
void
mf_voter_apply_config (MfCore *core, MfVoterState *voter)
{
  const MfConfig *config = core->board.config;
  uint32_t index = mf_cell_of_voter (config, core->board.options.self.name);
  MfCell cell = { .n = 0 };
  bool overlaps;

  voter->key_life_us = config->key_life_us;
  if (voter->configured && voter->epoch == mf_cell_epoch (config))
    return;
  if (index != MF_NONE)
    mf_cell_members (config, index, &cell);
  overlaps = voter->configured && voter->index != MF_NONE && cells_overlap (&voter->cell, &cell);
  voter->configured = true;
  voter->epoch = mf_cell_epoch (config);
  cell_replace (core, voter, &cell);
  voter->admitted = voter->index != MF_NONE && overlaps && voter->admitted;
  core->board.voter_admitted = voter->admitted;
  voter->next_admit_us = core->board.now_us;
  voter->admit_period_us = ADMIT_PERIOD_FIRST_US;
  if (!overlaps)
    voter->started_us = core->board.now_us;
  if (voter->cell.n == 1)
    set_admitted (core, voter, core->board.wall_ms, voter->key_life_us, "only voter of its cell");
}

/* Merges the answers (incarnations and the latest cold start of the cell) and admits this voter. */
static void
merge_answers (MfCore *core, MfVoterState *voter, const char *reason)
{
  uint64_t cold_start_at_ms = 0;
  uint64_t opaque_wait_ms = 0;

  for (uint32_t i = 0; i < voter->cell.n; i++)
    {
      const MfAdmittedMessage *answer = &voter->answers[i];

      if (voter->answer_incarnation[i] == 0)
        continue;
      for (uint32_t k = 0; k < answer->n_view; k++)
        view_raise (voter, &answer->view[k]);
      if (answer->cold_start_at_ms > cold_start_at_ms)
        cold_start_at_ms = answer->cold_start_at_ms;
      if (answer->opaque_wait_ms > opaque_wait_ms)
        opaque_wait_ms = answer->opaque_wait_ms;
    }
  set_admitted (core, voter, cold_start_at_ms, opaque_wait_ms * MF_US_PER_MS, reason);
}

/* Returns whether the voter that answered may hold keys from before the cell last started as a new
 * cell. */
static bool
predates_new_cell (const MfCore *core, const MfAdmittedMessage *answer)
{
  uint64_t cold_start_ms = core->board.options.cold_start_us / MF_US_PER_MS;

  return answer->agreed && (answer->opaque_wait_ms == 0 || answer->opaque_wait_ms > cold_start_ms);
}

/* Admits this voter without a quorum of admitted voters, which has been lost. The processes that
 * had the lost slots are assumed dead after cold_start_us.
 * - If so many voters kept their keys that every quorum included one of them, no key is lost.
 * - If no reachable voter kept keys, the cell is taken for new.
 * - Otherwise some keys may be lost, and keys created earlier are not voted on. */
static void
try_cold_start (MfCore *core, MfVoterState *voter)
{
  uint64_t age_us = core->board.now_us - voter->started_us;
  uint64_t cold_start_us = core->board.options.cold_start_us;
  uint32_t n_answers = 1;
  uint32_t n_older = 0;

  for (uint32_t i = 0; i < voter->cell.n; i++)
    {
      n_answers += voter->answer_incarnation[i] != 0;
      n_older += voter->answer_incarnation[i] != 0 && predates_new_cell (core, &voter->answers[i]);
    }
  if (n_answers < voter->cell.quorum)
    return;
  if (n_older == 0 && age_us >= (n_answers == voter->cell.n ? cold_start_us / 4 : cold_start_us))
    set_admitted (core, voter, core->board.wall_ms, cold_start_us, "new cell");
  else if (age_us >= cold_start_us && n_older > voter->cell.n - voter->cell.quorum)
    merge_answers (core, voter, "keys received from the surviving voters");
  else if (age_us >= cold_start_us)
    set_admitted (core, voter, core->board.wall_ms, voter->key_life_us, "cold start");
}

/* Sends a request for admission to every voter of the cell that has not agreed yet. */
static void
request_admission (MfCore *core, MfVoterState *voter)
{
  MfPeerMessage message = {
    .type = MF_PEER_ADMIT,
    .admit
    = { .admit_id = voter->admit_id, .epoch = voter->epoch, .applicant = core->board.options.self },
  };

  for (uint32_t i = 0; i < voter->cell.n; i++)
    {
      bool agreed = voter->answer_incarnation[i] != 0 && voter->answers[i].agreed;

      if (i != voter->index && !agreed)
        mf_member_send (core, voter->cell.names[i], &message);
    }
}

void
mf_voter_tick (MfCore *core, MfVoterState *voter)
{
  uint64_t now_us = core->board.now_us;

  if (voter->cold_start_at_ms != 0 && now_us >= voter->cold_start_until_us)
    voter->cold_start_at_ms = 0;
  if (voter->index == MF_NONE || voter->admitted)
    return;
  if (now_us >= voter->next_admit_us)
    {
      try_cold_start (core, voter);
      if (voter->admitted)
        return;
      voter->admit_id++;
      voter->next_admit_us = now_us + voter->admit_period_us;
      voter->admit_period_us *= 2;
      if (voter->admit_period_us > ADMIT_PERIOD_MAX_US)
        voter->admit_period_us = ADMIT_PERIOD_MAX_US;
      request_admission (core, voter);
    }
  mf_core_wake_at (core, voter->next_admit_us);
}

/* Records the incarnation that sent an authenticated message. */
void
mf_voter_note_incarnation (MfVoterState *voter, const MfInstanceId *peer)
{
  view_raise (voter, peer);
}

/* Returns whether this voter would have a record of any earlier claim of the key. */
static bool
covers_key_life (const MfCore *core, const MfVoterState *voter, const MfClaimMessage *claim)
{
  uint64_t now_ms = core->board.wall_ms;

  if (claim->key_created_ms == 0)
    return core->board.now_us >= voter->opaque_from_us;
  if (claim->key_created_ms > now_ms + CLOCK_SKEW_MS)
    return false;
  if (claim->key_created_ms + voter->key_life_us / MF_US_PER_MS < now_ms)
    return false;
  return voter->cold_start_at_ms == 0
         || claim->key_created_ms > voter->cold_start_at_ms + CLOCK_SKEW_MS;
}

static bool
record_grant (MfCore *core, MfVoterState *voter, const MfClaimMessage *claim)
{
  MfKeyEntry *entry = mf_key_table_add (voter->key_table, claim->key, core->board.now_us);

  if (entry == NULL)
    return false;
  entry->body_digest = claim->body_digest;
  entry->holder = claim->claimant;
  entry->claim_id = claim->claim_id;
  return true;
}

/* Fills in vote; granted means that this voter never granted another claim of the key. */
void
mf_voter_vote (MfCore *core, MfVoterState *voter, const MfClaimMessage *claim, MfVoteMessage *vote)
{
  MfKeyEntry *entry = mf_key_table_find (voter->key_table, claim->key);

  *vote = (MfVoteMessage){ .claim_id = claim->claim_id };
  memcpy (vote->key, claim->key, MF_DIGEST_BYTES);
  vote->n_view = view_copy (voter, vote->view);
  if (entry != NULL)
    {
      vote->granted = !entry->inherited && entry->state == MF_KEY_RUNNING
                      && entry->claim_id == claim->claim_id && voter->admitted
                      && voter->epoch == claim->epoch
                      && mf_instance_id_equal (&entry->holder, &claim->claimant);
      vote->holder = entry->holder;
      vote->holder_claim_id = entry->claim_id;
      vote->state = entry->state;
      vote->body_differs = entry->body_digest != claim->body_digest;
      return;
    }
  vote->abstained = !voter->admitted || voter->epoch != claim->epoch;
  vote->forgotten = !vote->abstained && !covers_key_life (core, voter, claim);
  if (vote->forgotten || (!vote->abstained && !record_grant (core, voter, claim)))
    vote->abstained = true;
  vote->granted = !vote->abstained;
}

/* The answer to one request for admission, sent in parts. */
typedef struct
{
  MfCore *core;
  uint32_t cell;
  const char *to;
  MfPeerMessage message;
  MfKeyRecord *records;
} Handover;

static bool
handover_count (const MfKeyEntry *entry, void *data)
{
  Handover *handover = data;

  if (mf_cell_of_key (handover->core->board.config, entry->key) == handover->cell)
    handover->message.admitted.n_records++;
  return true;
}

static void
handover_send (Handover *handover)
{
  mf_member_send (handover->core, handover->to, &handover->message);
  handover->message.admitted.part++;
  handover->message.admitted.n_records = 0;
}

static bool
handover_add (const MfKeyEntry *entry, void *data)
{
  Handover *handover = data;
  MfAdmittedMessage *answer = &handover->message.admitted;
  MfKeyRecord *record = &handover->records[answer->n_records];

  if (mf_cell_of_key (handover->core->board.config, entry->key) != handover->cell)
    return true;
  *record = (MfKeyRecord){
    .body_digest = entry->body_digest,
    .holder = entry->holder,
    .claim_id = entry->claim_id,
    .state = entry->state,
    .age_ms = (uint32_t)((handover->core->board.now_us - entry->added_us) / MF_US_PER_MS),
  };
  memcpy (record->key, entry->key, MF_DIGEST_BYTES);
  if (++answer->n_records == MF_RECORDS_PER_PART_MAX && answer->part + 1 < answer->n_parts)
    handover_send (handover);
  return true;
}

/* Sends every key of the cell, so that the applicant knows every vote given here. */
static void
handover_send_all (Handover *handover, const MfKeyTable *key_table)
{
  MfAdmittedMessage *answer = &handover->message.admitted;

  mf_key_table_foreach (key_table, handover_count, handover);
  answer->n_parts = (answer->n_records + MF_RECORDS_PER_PART_MAX - 1) / MF_RECORDS_PER_PART_MAX;
  if (answer->n_parts == 0)
    answer->n_parts = 1;
  answer->n_records = 0;
  answer->records = handover->records;
  mf_key_table_foreach (key_table, handover_add, handover);
  handover_send (handover);
}

static uint64_t
opaque_wait_ms (const MfCore *core, const MfVoterState *voter)
{
  uint64_t now_us = core->board.now_us;

  return now_us < voter->opaque_from_us ? (voter->opaque_from_us - now_us) / MF_US_PER_MS + 1 : 0;
}

/* Handles a peer's request for admission: sends an answer. */
void
mf_voter_handle_admit (MfCore *core, MfVoterState *voter, const MfAdmitMessage *admit)
{
  uint32_t i = mf_cell_find (&voter->cell, admit->applicant.name);
  Handover handover = {
    .core = core,
    .to = admit->applicant.name,
    .message = { .type = MF_PEER_ADMITTED,
                 .admitted = { .admit_id = admit->admit_id,
                               .voter_admitted = voter->admitted,
                               .cold_start_at_ms = voter->cold_start_at_ms,
                               .opaque_wait_ms = opaque_wait_ms (core, voter),
                               .n_parts = 1 } },
  };
  MfAdmittedMessage *answer = &handover.message.admitted;

  if (i == MF_NONE || voter->index == MF_NONE || admit->epoch != voter->epoch)
    return;
  answer->highest_incarnation = voter->view[i];
  answer->agreed = voter->admitted && admit->applicant.incarnation >= voter->view[i];
  if (answer->agreed)
    voter->view[i] = admit->applicant.incarnation;
  answer->n_view = view_copy (voter, answer->view);
  if (!answer->agreed)
    {
      handover_send (&handover);
      return;
    }
  handover.cell = mf_cell_of_voter (core->board.config, core->board.options.self.name);
  handover.records = calloc (MF_RECORDS_PER_PART_MAX, sizeof *handover.records);
  if (handover.records == NULL)
    return;
  handover_send_all (&handover, voter->key_table);
  free (handover.records);
}

/* Adds a key record of another voter. An existing entry is kept, but no vote for it is granted
 * again. Returns false when out of memory. */
static bool
inherit_record (MfCore *core, MfVoterState *voter, const MfKeyRecord *record)
{
  MfKeyEntry *entry = mf_key_table_find (voter->key_table, record->key);

  if (entry == NULL)
    {
      entry = mf_key_table_add (voter->key_table, record->key, core->board.now_us);
      if (entry == NULL)
        return false;
      entry->body_digest = record->body_digest;
      entry->holder = record->holder;
      entry->claim_id = record->claim_id;
      entry->state = record->state;
    }
  if (!mf_instance_id_equal (&entry->holder, &core->board.options.self))
    entry->inherited = true;
  return true;
}

/* Counts the valid answers: an answer is void when another one has a higher incarnation of the
 * voter that sent it. */
static uint32_t
count_valid_answers (const MfVoterState *voter)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < voter->cell.n; i++)
    {
      bool valid = voter->answer_incarnation[i] != 0 && voter->answers[i].agreed;

      for (uint32_t k = 0; k < voter->cell.n && valid; k++)
        {
          const MfAdmittedMessage *other = &voter->answers[k];

          if (voter->answer_incarnation[k] != 0
              && view_incarnation (other->view, other->n_view, voter->cell.names[i])
                     > voter->answer_incarnation[i])
            valid = false;
        }
      n += valid;
    }
  return n;
}

/* Returns whether this is the next part of the answer being received; part 0 starts a new answer.
 */
static bool
part_is_next (MfVoterState *voter, uint32_t i, const MfAdmittedMessage *answer)
{
  if (answer->part == 0)
    {
      voter->parts_admit_id[i] = answer->admit_id;
      voter->next_part[i] = 0;
    }
  if (voter->parts_admit_id[i] != answer->admit_id || voter->next_part[i] != answer->part)
    return false;
  voter->next_part[i]++;
  return true;
}

void
mf_voter_handle_admitted (MfCore *core, MfVoterState *voter, const MfInstanceId *from,
                          const MfAdmittedMessage *answer)
{
  uint32_t i = mf_cell_find (&voter->cell, from->name);
  uint32_t needed = voter->cell.quorum < voter->cell.n ? voter->cell.quorum : voter->cell.n - 1;

  if (voter->admitted || voter->index == MF_NONE || i == MF_NONE || i == voter->index)
    return;
  if (answer->highest_incarnation > core->board.options.self.incarnation)
    return;
  if (!part_is_next (voter, i, answer))
    return;
  for (uint32_t k = 0; k < answer->n_records; k++)
    {
      if (!inherit_record (core, voter, &answer->records[k]))
        return;
    }
  if (answer->part + 1 < answer->n_parts)
    return;
  voter->answers[i] = *answer;
  voter->answers[i].records = NULL;
  voter->answers[i].n_records = 0;
  voter->answer_incarnation[i] = from->incarnation;
  if (count_valid_answers (voter) >= needed)
    merge_answers (core, voter, "keys received from the other voters");
}
