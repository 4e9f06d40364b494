#include "claim_row.h"

#include "member.h"

#include <string.h>

/* Time for the voters to report the outcome of a claim whose holder is dead, or the answer of a
 * call that is known to have run. */
#define OUTCOME_GRACE_US (300 * MF_US_PER_MS)
/* Claims that split the votes of a cell try again after a random delay up to this. */
#define BACKOFF_MAX_US (20 * MF_US_PER_MS)

/* Settles the claims of this instance that wait for the outcome of a key. */
void
mf_claim_settle_waiters (MfCore *core, const MfKeyEntry *entry)
{
  MfClaim *claim;
  MfClaim *next;

  HASH_ITER (by_request, core->board.claims->by_request, claim, next)
  {
    if (claim->state == MF_CLAIM_WAITING && memcmp (claim->key, entry->key, MF_DIGEST_BYTES) == 0)
      mf_claim_settle_recorded (core, claim, entry->state, &entry->result);
  }
}

/* Returns whether the incarnation that holds a key is dead or replaced. */
static bool
holder_is_dead (const MfCore *core, const MfInstanceId *holder)
{
  const MfMember *member = mf_member_find (core, holder->name);

  if (strcmp (holder->name, core->board.options.self.name) == 0)
    return holder->incarnation != core->board.options.self.incarnation;
  return member != NULL
         && (member->owner.incarnation > holder->incarnation || member->state == MF_MEMBER_DEAD);
}

/* Schedules a new claim after a random delay. */
static void
claim_back_off (MfCore *core, MfClaim *claim)
{
  claim->state = MF_CLAIM_BACKING_OFF;
  mf_claim_schedule (core, claim,
                     core->board.now_us + mf_core_random_below (core, BACKOFF_MAX_US) + 1);
}

/* Handles a report on the earlier run. A voter may know that the run has ended without having its
 * answer, which another voter may still send. */
static void
waiting_apply_outcome (MfCore *core, MfClaim *claim, MfKeyState state, const MfClaimResult *result)
{
  if (state == MF_KEY_FINISHED && result->body == NULL
      && core->board.now_us < claim->waiting_since_us + OUTCOME_GRACE_US)
    claim->ran = true;
  else if (state == MF_KEY_FINISHED || state == MF_KEY_UNKNOWN)
    mf_claim_settle_recorded (core, claim, state, result);
}

/* Claims again when the holder is an earlier claim of this instance that no longer exists. Returns
 * whether it was. */
static bool
waiting_restart (MfCore *core, MfClaim *claim)
{
  if (!mf_claim_is_self (core, &claim->holder)
      || mf_claim_find (core->board.claims, claim->holder_claim_id) != NULL)
    return false;
  mf_claim_release (core, claim->key, &claim->cell, claim->holder_claim_id);
  claim_back_off (core, claim);
  return true;
}

/* Settles a claim whose wait has timed out. Returns whether it did. */
static bool
waiting_expire (MfCore *core, MfClaim *claim)
{
  uint64_t now_us = core->board.now_us;
  bool grace_over = now_us >= claim->waiting_since_us + OUTCOME_GRACE_US;

  if (now_us < claim->deadline_us
      && !(grace_over && (claim->ran || holder_is_dead (core, &claim->holder))))
    return false;
  mf_claim_settle (core, claim, MF_CLAIM_UNKNOWN, MF_CODE_KEY_UNKNOWN,
                   claim->ran ? MF_OUTCOME_RAN : MF_OUTCOME_UNKNOWN);
  return true;
}

void
mf_claim_wait_tick (MfCore *core, MfClaim *claim)
{
  MfKeyEntry *entry = mf_key_table_find (&core->board.claims->key_table, claim->key);
  uint64_t request_id = claim->request_id;
  MfPeerMessage message = {
    .type = MF_PEER_OUTCOME_REQUEST,
    .outcome = { .claimant = claim->holder, .claim_id = claim->holder_claim_id },
  };

  if (entry != NULL)
    waiting_apply_outcome (core, claim, entry->state, &entry->result);
  if (mf_claim_of_request (core->board.claims, request_id) != claim || waiting_expire (core, claim))
    return;
  if ((entry == NULL || entry->state == MF_KEY_RUNNING) && waiting_restart (core, claim))
    return;
  memcpy (message.outcome.key, claim->key, MF_DIGEST_BYTES);
  if (mf_cell_find (&claim->cell, claim->holder.name) == MF_NONE
      && !mf_claim_is_self (core, &claim->holder))
    mf_member_send (core, claim->holder.name, &message);
  mf_claim_send_cell (core, &claim->cell, &message);
  mf_claim_schedule (core, claim, core->board.now_us + MF_CLAIM_POLL_INTERVAL_US);
}

/* Records a reported outcome of the claim that holds the key here. Only the claimant itself can
 * release its claim. */
static void
record_outcome (MfCore *core, const MfInstanceId *from, const MfOutcomeMessage *outcome)
{
  MfClaims *claims = core->board.claims;
  MfKeyEntry *entry = mf_key_table_find (&claims->key_table, outcome->key);
  MfClaimResult result = {
    .status = outcome->status,
    .code = (MfCode)outcome->code,
    .outcome = outcome->state == MF_KEY_FINISHED ? MF_OUTCOME_RAN : MF_OUTCOME_UNKNOWN,
    .content_type = outcome->content_type,
    .body = outcome->body,
    .body_bytes = outcome->body_bytes,
  };
  bool is_holder = mf_instance_id_equal (from, &outcome->claimant);

  if (entry == NULL || entry->claim_id != outcome->claim_id
      || entry->holder.incarnation != outcome->claimant.incarnation
      || strcmp (entry->holder.name, outcome->claimant.name) != 0)
    return;
  if (outcome->state == MF_KEY_NONE && is_holder && !mf_claim_is_self (core, &entry->holder))
    mf_key_table_remove (&claims->key_table, entry);
  else if (outcome->state == MF_KEY_FINISHED || outcome->state == MF_KEY_UNKNOWN)
    mf_key_table_finish (&claims->key_table, entry, outcome->state, &result);
}

/* Handles a reported outcome for the claims of this instance that wait for it. */
static void
settle_waiting_claims (MfCore *core, const MfInstanceId *from, const MfOutcomeMessage *outcome)
{
  MfClaimResult result = {
    .status = outcome->status,
    .code = (MfCode)outcome->code,
    .outcome = MF_OUTCOME_RAN,
    .content_type = outcome->content_type,
    .body = outcome->body,
    .body_bytes = outcome->body_bytes,
  };
  MfClaim *claim;
  MfClaim *next;

  HASH_ITER (by_request, core->board.claims->by_request, claim, next)
  {
    if (claim->state != MF_CLAIM_WAITING || claim->holder_claim_id != outcome->claim_id
        || memcmp (claim->key, outcome->key, MF_DIGEST_BYTES) != 0)
      continue;
    if (outcome->state != MF_KEY_NONE)
      waiting_apply_outcome (core, claim, outcome->state, &result);
    else if (mf_instance_id_equal (from, &claim->holder))
      claim_back_off (core, claim);
  }
}

void
mf_claim_handle_outcome (MfCore *core, const MfInstanceId *from, const MfOutcomeMessage *outcome)
{
  record_outcome (core, from, outcome);
  settle_waiting_claims (core, from, outcome);
}

/* Answers what this instance knows of a claim, as its claimant or as a voter. A claimant that no
 * longer has the claim releases it at all voters of the cell again, in case one missed the release.
 */
void
mf_claim_handle_outcome_request (MfCore *core, const MfInstanceId *from,
                                 const MfOutcomeMessage *request)
{
  MfClaims *claims = core->board.claims;
  MfKeyEntry *entry = mf_key_table_find (&claims->key_table, request->key);
  bool is_holder = mf_claim_is_self (core, &request->claimant);
  MfPeerMessage message = {
    .type = MF_PEER_OUTCOME,
    .outcome
    = { .claimant = request->claimant, .claim_id = request->claim_id, .state = MF_KEY_NONE },
  };
  MfCell cell;

  if (entry != NULL && entry->claim_id == request->claim_id)
    mf_claim_fill_outcome (entry, &message);
  else if (is_holder && mf_claim_find (claims, request->claim_id) != NULL)
    message.outcome.state = MF_KEY_RUNNING;
  else if (is_holder && core->board.config != NULL && mf_cell_count (core->board.config) > 0)
    {
      mf_cell_members (core->board.config, mf_cell_of_key (core->board.config, request->key),
                       &cell);
      mf_claim_release (core, request->key, &cell, request->claim_id);
    }
  memcpy (message.outcome.key, request->key, MF_DIGEST_BYTES);
  if (is_holder || message.outcome.state != MF_KEY_NONE)
    mf_member_send (core, from->name, &message);
}
