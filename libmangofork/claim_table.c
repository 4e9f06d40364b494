#include "claim_row.h"

#include "member.h"

#include <stdlib.h>
#include <string.h>

/* Schedules the next claim_tick of a claim. */
void
mf_claim_schedule (MfCore *core, MfClaim *claim, uint64_t at_us)
{
  claim->next_tick_us = at_us;
  if (at_us < core->board.claims->due_us)
    core->board.claims->due_us = at_us;
  mf_core_wake_at (core, at_us);
}

MfClaim *
mf_claim_of_request (MfClaims *claims, uint64_t request_id)
{
  MfClaim *claim;

  HASH_FIND (by_request, claims->by_request, &request_id, sizeof request_id, claim);
  return claim;
}

MfClaim *
mf_claim_find (MfClaims *claims, uint64_t claim_id)
{
  MfClaim *claim;

  HASH_FIND (by_claim, claims->by_claim, &claim_id, sizeof claim_id, claim);
  return claim;
}

void
mf_claim_assign_id (MfClaims *claims, MfClaim *claim)
{
  claim->claim_id = ++claims->next_claim_id;
  HASH_ADD (by_claim, claims->by_claim, claim_id, sizeof claim->claim_id, claim);
}

void
mf_claim_clear_id (MfClaims *claims, MfClaim *claim)
{
  if (claim->claim_id == 0)
    return;
  HASH_DELETE (by_claim, claims->by_claim, claim);
  claim->claim_id = 0;
}

void
mf_claim_free (MfClaims *claims, MfClaim *claim)
{
  mf_claim_clear_id (claims, claim);
  HASH_DELETE (by_request, claims->by_request, claim);
  free (claim);
}

static void
settle (MfCore *core, MfClaim *claim, const MfClaimResult *result)
{
  uint64_t request_id = claim->request_id;

  if (result->decision != MF_CLAIM_GRANTED)
    mf_claim_free (core->board.claims, claim);
  mf_request_claim_settled (core, request_id, result);
}

/* Passes the result to the request; frees the claim unless it was granted. */
void
mf_claim_settle (MfCore *core, MfClaim *claim, MfClaimDecision verdict, MfCode code,
                 MfOutcome outcome)
{
  MfClaimResult result = { .decision = verdict, .code = code, .outcome = outcome };

  settle (core, claim, &result);
}

/* Settles a claim with the recorded result of an earlier run: its answer, or an error when no
 * answer is recorded. */
void
mf_claim_settle_recorded (MfCore *core, MfClaim *claim, MfKeyState state,
                          const MfClaimResult *recorded)
{
  MfClaimResult result = *recorded;

  if (state == MF_KEY_FINISHED && recorded->body != NULL)
    {
      result.decision = MF_CLAIM_ANSWERED;
      settle (core, claim, &result);
      return;
    }
  mf_claim_settle (core, claim, MF_CLAIM_UNKNOWN, MF_CODE_KEY_UNKNOWN,
                   state == MF_KEY_FINISHED ? MF_OUTCOME_RAN : MF_OUTCOME_UNKNOWN);
}

bool
mf_claim_is_self (const MfCore *core, const MfInstanceId *owner)
{
  return mf_instance_id_equal (owner, &core->board.options.self);
}

void
mf_claim_send_cell (MfCore *core, const MfCell *cell, const MfPeerMessage *message)
{
  for (uint32_t i = 0; i < cell->n; i++)
    {
      if (strcmp (cell->names[i], core->board.options.self.name) != 0)
        mf_member_send (core, cell->names[i], message);
    }
}

void
mf_claim_fill_outcome (const MfKeyEntry *entry, MfPeerMessage *message)
{
  *message = (MfPeerMessage){
    .type = MF_PEER_OUTCOME,
    .outcome = { .body_digest = entry->body_digest,
                 .claimant = entry->holder,
                 .claim_id = entry->claim_id,
                 .state = entry->state,
                 .status = entry->result.status,
                 .code = entry->result.code,
                 .content_type = entry->result.content_type,
                 .body = entry->result.body,
                 .body_bytes = (uint32_t)entry->result.body_bytes },
  };
  memcpy (message->outcome.key, entry->key, MF_DIGEST_BYTES);
}

/* Notifies the cell that the call of this claim will never run, so that the voters remove the
 * claim. The claim id keeps them from removing a later claim of the key. */
void
mf_claim_release (MfCore *core, const uint8_t key[MF_DIGEST_BYTES], const MfCell *cell,
                  uint64_t claim_id)
{
  MfClaims *claims = core->board.claims;
  MfKeyEntry *entry = mf_key_table_find (&claims->key_table, key);
  MfPeerMessage message = {
    .type = MF_PEER_OUTCOME,
    .outcome = { .claimant = core->board.options.self, .claim_id = claim_id, .state = MF_KEY_NONE },
  };

  if (entry != NULL && entry->claim_id == claim_id && mf_claim_is_self (core, &entry->holder))
    mf_key_table_remove (&claims->key_table, entry);
  memcpy (message.outcome.key, key, MF_DIGEST_BYTES);
  mf_claim_send_cell (core, cell, &message);
}
