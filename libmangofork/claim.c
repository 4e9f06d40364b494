#include "claim_row.h"

#include "member.h"

#include <stdlib.h>
#include <string.h>

/* Interval of vote requests to voters that have not answered. */
#define VOTE_RETRY_INTERVAL_US (50 * MF_US_PER_MS)
/* A claim without a quorum of answers by then is refused. */
#define VOTING_TIMEOUT_US (2 * MF_US_PER_S)
/* A granted call that has not been sent by then is not sent. */
#define GRANT_LIFE_US (5 * MF_US_PER_S)

/* Returns whether the view of another voter has a higher incarnation of this vote's voter: the
 * voter was replaced, and its successor may have voted for another claim. */
static bool
vote_is_superseded (const MfClaim *claim, const MfVoterReply *reply)
{
  for (uint32_t i = 0; i < claim->cell.n; i++)
    {
      const MfVoteMessage *other = &claim->replies[i].vote;

      if (!claim->replies[i].received)
        continue;
      for (uint32_t k = 0; k < other->n_view; k++)
        {
          if (other->view[k].incarnation > reply->voter.incarnation
              && strcmp (other->view[k].name, reply->voter.name) == 0)
            return true;
        }
    }
  return false;
}

static void
claim_grant (MfCore *core, MfClaim *claim)
{
  MfClaims *claims = core->board.claims;
  MfKeyEntry *entry = mf_key_table_find (&claims->key_table, claim->key);

  if (entry == NULL)
    entry = mf_key_table_add (&claims->key_table, claim->key, core->board.now_us);
  if (entry == NULL)
    {
      mf_claim_release (core, claim->key, &claim->cell, claim->claim_id);
      mf_claim_settle (core, claim, MF_CLAIM_NO_QUORUM, MF_CODE_KEY_NO_QUORUM, MF_OUTCOME_UNKNOWN);
      return;
    }
  entry->body_digest = claim->body_digest;
  entry->holder = core->board.options.self;
  entry->claim_id = claim->claim_id;
  claim->state = MF_CLAIM_HELD;
  claim->granted_us = core->board.now_us;
  mf_counter_add (&core->board.counters, MF_COUNTER_CLAIMS, 1);
  mf_claim_settle (core, claim, MF_CLAIM_GRANTED, MF_CODE_OK, MF_OUTCOME_NOT_RUN);
}

/* Another claim holds so many votes that a quorum is impossible: waits for its outcome. */
static void
claim_wait (MfCore *core, MfClaim *claim, const MfVoteMessage *refusal)
{
  claim->state = MF_CLAIM_WAITING;
  claim->holder = refusal->holder;
  claim->holder_claim_id = refusal->holder_claim_id;
  claim->waiting_since_us = core->board.now_us;
  mf_claim_release (core, claim->key, &claim->cell, claim->claim_id);
  mf_claim_clear_id (core->board.claims, claim);
  mf_counter_add (&core->board.counters, MF_COUNTER_CLAIMS_REFUSED, 1);
  mf_claim_schedule (core, claim, core->board.now_us);
}

static bool
refusal_is_final (const MfVoteMessage *vote)
{
  return vote->state == MF_KEY_FINISHED || vote->state == MF_KEY_UNKNOWN;
}

/* Settles the claim if the votes received so far decide it. */
static void
claim_count_votes (MfCore *core, MfClaim *claim)
{
  const MfVoteMessage *refusal = NULL;
  uint32_t n_granted = 0;
  uint32_t n_refused = 0;
  uint32_t n_forgotten = 0;

  for (uint32_t i = 0; i < claim->cell.n; i++)
    {
      const MfVoterReply *reply = &claim->replies[i];

      n_forgotten += reply->received && reply->vote.forgotten;
      if (!reply->received || reply->vote.abstained)
        continue;
      if (reply->vote.granted)
        {
          n_granted += !vote_is_superseded (claim, reply);
          continue;
        }
      n_refused++;
      if (refusal == NULL || refusal_is_final (&reply->vote))
        refusal = &reply->vote;
    }
  if (n_granted >= claim->cell.quorum)
    claim_grant (core, claim);
  else if (refusal != NULL
           && (refusal_is_final (refusal) || n_refused > claim->cell.n - claim->cell.quorum))
    {
      if (refusal->body_differs)
        {
          mf_claim_release (core, claim->key, &claim->cell, claim->claim_id);
          mf_claim_settle (core, claim, MF_CLAIM_BODY_DIFFERS, MF_CODE_KEY_BODY_DIFFERS,
                           MF_OUTCOME_NOT_RUN);
        }
      else
        claim_wait (core, claim, refusal);
    }
  else if (n_forgotten > claim->cell.n - claim->cell.quorum)
    {
      mf_claim_release (core, claim->key, &claim->cell, claim->claim_id);
      mf_claim_settle (core, claim, MF_CLAIM_UNKNOWN, MF_CODE_KEY_UNKNOWN, MF_OUTCOME_UNKNOWN);
    }
}

static void
claim_record_vote (MfCore *core, MfClaim *claim, const MfInstanceId *voter,
                   const MfVoteMessage *vote)
{
  uint32_t i = mf_cell_find (&claim->cell, voter->name);

  if (i == MF_NONE || claim->state != MF_CLAIM_VOTING)
    return;
  if (claim->replies[i].received && claim->replies[i].voter.incarnation > voter->incarnation)
    return;
  claim->replies[i] = (MfVoterReply){ .received = true, .voter = *voter, .vote = *vote };
  claim_count_votes (core, claim);
}

/* Requests a vote from every voter that has not voted yet. This instance's own vote is counted
 * last, as it may settle the claim. */
static void
claim_request_votes (MfCore *core, MfClaim *claim)
{
  MfPeerMessage message = {
    .type = MF_PEER_CLAIM,
    .claim = { .claim_id = claim->claim_id,
               .body_digest = claim->body_digest,
               .key_created_ms = claim->key_created_ms,
               .epoch = mf_cell_epoch (core->board.config),
               .claimant = core->board.options.self },
  };
  uint32_t own = mf_cell_find (&claim->cell, core->board.options.self.name);
  MfVoteMessage vote;

  memcpy (message.claim.key, claim->key, MF_DIGEST_BYTES);
  for (uint32_t i = 0; i < claim->cell.n; i++)
    {
      const MfVoterReply *reply = &claim->replies[i];

      if (i != own && (!reply->received || reply->vote.abstained))
        mf_member_send (core, claim->cell.names[i], &message);
    }
  mf_claim_schedule (core, claim, core->board.now_us + VOTE_RETRY_INTERVAL_US);
  if (own == MF_NONE)
    return;
  mf_voter_vote (core, &core->board.claims->voter, &message.claim, &vote);
  claim_record_vote (core, claim, &core->board.options.self, &vote);
}

static void
claim_start_voting (MfCore *core, MfClaim *claim)
{
  claim->state = MF_CLAIM_VOTING;
  claim->voting_until_us = core->board.now_us + VOTING_TIMEOUT_US;
  memset (claim->replies, 0, sizeof claim->replies);
  mf_cell_members (core->board.config, mf_cell_of_key (core->board.config, claim->key),
                   &claim->cell);
  mf_claim_assign_id (core->board.claims, claim);
  claim_request_votes (core, claim);
}

/* Settles a claim locally when no voters are configured: each instance keeps its own keys. */
static void
claim_start_local (MfCore *core, MfClaim *claim)
{
  MfKeyEntry *entry = mf_key_table_find (&core->board.claims->key_table, claim->key);

  if (entry == NULL)
    {
      mf_claim_assign_id (core->board.claims, claim);
      claim_grant (core, claim);
    }
  else if (entry->body_digest != claim->body_digest)
    mf_claim_settle (core, claim, MF_CLAIM_BODY_DIFFERS, MF_CODE_KEY_BODY_DIFFERS,
                     MF_OUTCOME_NOT_RUN);
  else if (entry->state != MF_KEY_RUNNING)
    mf_claim_settle_recorded (core, claim, entry->state, &entry->result);
  else
    {
      claim->state = MF_CLAIM_WAITING;
      claim->holder = entry->holder;
      claim->holder_claim_id = entry->claim_id;
      mf_claim_schedule (core, claim, core->board.now_us + MF_CLAIM_POLL_INTERVAL_US);
    }
}

static void
claim_start (MfCore *core, MfClaim *claim)
{
  if (mf_cell_count (core->board.config) == 0)
    claim_start_local (core, claim);
  else
    claim_start_voting (core, claim);
}

/* Returns whether a key created at that time is older than the life of keys. */
static bool
key_is_too_old (const MfCore *core, uint64_t key_created_ms)
{
  uint64_t life_ms = core->board.config->key_life_us / MF_US_PER_MS;

  return key_created_ms != 0 && key_created_ms + life_ms < core->board.wall_ms;
}

/* Requests votes for the idempotency key of a request; mf_request_claim_settled gets the result. */
void
mf_claim_begin (MfCore *core, uint64_t request_id, const uint8_t key[MF_DIGEST_BYTES],
                uint64_t body_digest, uint64_t key_created_ms, uint64_t deadline_us)
{
  MfClaims *claims = core->board.claims;
  MfClaim *claim = calloc (1, sizeof *claim);
  MfClaimResult result = { .decision = MF_CLAIM_NO_QUORUM, .outcome = MF_OUTCOME_UNKNOWN };

  if (claim == NULL)
    {
      mf_request_claim_settled (core, request_id, &result);
      return;
    }
  claim->request_id = request_id;
  claim->body_digest = body_digest;
  claim->key_created_ms = key_created_ms;
  claim->deadline_us = deadline_us;
  memcpy (claim->key, key, MF_DIGEST_BYTES);
  HASH_ADD (by_request, claims->by_request, request_id, sizeof claim->request_id, claim);
  if (key_is_too_old (core, key_created_ms))
    mf_claim_settle (core, claim, MF_CLAIM_TOO_OLD, MF_CODE_KEY_TOO_OLD, MF_OUTCOME_UNKNOWN);
  else
    claim_start (core, claim);
}

/* Cancels the claim of a request that ended before the claim was settled. */
void
mf_claim_cancel (MfCore *core, uint64_t request_id)
{
  MfClaim *claim = mf_claim_of_request (core->board.claims, request_id);

  if (claim == NULL)
    return;
  if (claim->claim_id != 0)
    mf_claim_release (core, claim->key, &claim->cell, claim->claim_id);
  mf_claim_free (core->board.claims, claim);
}

/* Returns whether a granted call may still be sent: a grant expires, for example while the process
 * is paused. To be called in the same step that starts the call. */
bool
mf_claim_may_send (MfCore *core, uint64_t request_id)
{
  const MfClaim *claim = mf_claim_of_request (core->board.claims, request_id);

  return claim != NULL && claim->state == MF_CLAIM_HELD
         && core->board.now_us - claim->granted_us <= GRANT_LIFE_US;
}

/* Records the result of a granted call. With MF_OUTCOME_NOT_RUN, for a call that certainly did not
 * run, the key may be claimed again. */
void
mf_claim_finish (MfCore *core, uint64_t request_id, const MfClaimResult *result)
{
  MfClaims *claims = core->board.claims;
  MfClaim *claim = mf_claim_of_request (claims, request_id);
  MfKeyEntry *entry;
  MfPeerMessage message;

  if (claim == NULL)
    return;
  entry = mf_key_table_find (&claims->key_table, claim->key);
  if (result->outcome == MF_OUTCOME_NOT_RUN || entry == NULL)
    {
      mf_claim_cancel (core, request_id);
      return;
    }
  mf_key_table_finish (&claims->key_table, entry,
                       result->outcome == MF_OUTCOME_RAN ? MF_KEY_FINISHED : MF_KEY_UNKNOWN,
                       result);
  mf_claim_fill_outcome (entry, &message);
  mf_claim_send_cell (core, &claim->cell, &message);
  mf_claim_free (claims, claim);
  mf_claim_settle_waiters (core, entry);
}

/* Returns whether a quorum of the cell has answered, including voters that abstained because they
 * are not admitted yet. */
static bool
quorum_is_reachable (const MfClaim *claim)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < claim->cell.n; i++)
    n += claim->replies[i].received;
  return n >= claim->cell.quorum;
}

/* Refuses a claim whose quorum is unreachable at the voting timeout, so that the caller can try
 * another instance before its deadline. A claim whose voters answer but are not admitted yet waits
 * until the deadline. The timeout restarts when this process resumes from a pause. */
static void
voting_tick (MfCore *core, MfClaim *claim)
{
  uint64_t now_us = core->board.now_us;
  uint64_t until_us = claim->voting_until_us;

  if (core->board.process_pause_end_us > 0
      && until_us < core->board.process_pause_end_us + VOTING_TIMEOUT_US)
    until_us = core->board.process_pause_end_us + VOTING_TIMEOUT_US;
  if (now_us < claim->deadline_us && (now_us < until_us || quorum_is_reachable (claim)))
    {
      claim_request_votes (core, claim);
      return;
    }
  mf_counter_add (&core->board.counters, MF_COUNTER_CLAIMS_NO_QUORUM, 1);
  mf_claim_release (core, claim->key, &claim->cell, claim->claim_id);
  mf_claim_settle (core, claim, MF_CLAIM_NO_QUORUM, MF_CODE_KEY_NO_QUORUM, MF_OUTCOME_UNKNOWN);
}

static void
backoff_tick (MfCore *core, MfClaim *claim)
{
  if (core->board.now_us >= claim->deadline_us)
    mf_claim_settle (core, claim, MF_CLAIM_NO_QUORUM, MF_CODE_KEY_NO_QUORUM, MF_OUTCOME_UNKNOWN);
  else
    claim_start_voting (core, claim);
}

static void
claim_tick (MfCore *core, MfClaim *claim)
{
  if (claim->state == MF_CLAIM_HELD)
    return;
  if (core->board.now_us < claim->next_tick_us)
    {
      mf_claim_schedule (core, claim, claim->next_tick_us);
      return;
    }
  if (claim->state == MF_CLAIM_VOTING)
    voting_tick (core, claim);
  else if (claim->state == MF_CLAIM_WAITING)
    mf_claim_wait_tick (core, claim);
  else
    backoff_tick (core, claim);
}

static void
claims_tick (MfCore *core)
{
  MfClaims *claims = core->board.claims;
  uint64_t keep_us = 2 * claims->voter.key_life_us;
  MfClaim *claim;
  MfClaim *next;

  mf_voter_tick (core, &claims->voter);
  if (claims->voter.configured && core->board.now_us > keep_us)
    mf_key_table_expire (&claims->key_table, core->board.now_us - keep_us);
  if (core->board.now_us < claims->due_us)
    {
      mf_core_wake_at (core, claims->due_us);
      return;
    }
  claims->due_us = UINT64_MAX;
  HASH_ITER (by_request, claims->by_request, claim, next)
  {
    claim_tick (core, claim);
  }
}

static void
handle_claim (MfCore *core, const MfInstanceId *from, const MfClaimMessage *claim)
{
  MfPeerMessage message = { .type = MF_PEER_VOTE };

  if (!mf_instance_id_equal (from, &claim->claimant))
    return;
  mf_voter_vote (core, &core->board.claims->voter, claim, &message.vote);
  mf_member_send (core, from->name, &message);
}

static void
handle_vote (MfCore *core, const MfInstanceId *from, const MfVoteMessage *vote)
{
  MfClaim *claim = mf_claim_find (core->board.claims, vote->claim_id);

  if (claim != NULL && memcmp (claim->key, vote->key, MF_DIGEST_BYTES) == 0)
    claim_record_vote (core, claim, from, vote);
}

static void
handle_message (MfCore *core, const MfPeerEvent *event)
{
  const MfPeerMessage *message = event->message;
  const MfInstanceId *from = &event->peer;

  mf_voter_note_incarnation (&core->board.claims->voter, from);
  if (message->type == MF_PEER_CLAIM)
    handle_claim (core, from, &message->claim);
  else if (message->type == MF_PEER_VOTE)
    handle_vote (core, from, &message->vote);
  else if (message->type == MF_PEER_OUTCOME)
    mf_claim_handle_outcome (core, from, &message->outcome);
  else if (message->type == MF_PEER_OUTCOME_REQUEST)
    mf_claim_handle_outcome_request (core, from, &message->outcome);
  else if (message->type == MF_PEER_ADMIT && mf_instance_id_equal (from, &message->admit.applicant))
    mf_voter_handle_admit (core, &core->board.claims->voter, &message->admit);
  else if (message->type == MF_PEER_ADMITTED)
    mf_voter_handle_admitted (core, &core->board.claims->voter, from, &message->admitted);
}

static void
claims_handle (MfCore *core, const MfEvent *event)
{
  if (event->type == MF_EVENT_PEER_UP)
    mf_voter_note_incarnation (&core->board.claims->voter, &event->peer.peer);
  else if (event->type == MF_EVENT_PEER_MESSAGE)
    handle_message (core, &event->peer);
}

static bool
claims_init (MfCore *core, MfError *error)
{
  MfClaims *claims = calloc (1, sizeof *claims);

  if (claims == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the claims");
      return false;
    }
  core->board.claims = claims;
  claims->due_us = UINT64_MAX;
  mf_voter_init (&claims->voter, &claims->key_table, core->board.now_us);
  return true;
}

static void
claims_finish (MfCore *core)
{
  MfClaims *claims = core->board.claims;

  if (claims == NULL)
    return;
  while (claims->by_request != NULL)
    mf_claim_free (claims, claims->by_request);
  mf_key_table_clear (&claims->key_table);
  free (claims);
  core->board.claims = NULL;
}

/* Returns the voter state of this instance, owned by the claim controller. */
MfVoterState *
mf_claim_voter (const MfCore *core)
{
  return &core->board.claims->voter;
}

static void
claims_apply_config (MfCore *core)
{
  mf_voter_apply_config (core, &core->board.claims->voter);
}

const MfController mf_claim_controller = {
  .name = "claim",
  .init = claims_init,
  .finish = claims_finish,
  .handle = claims_handle,
  .tick = claims_tick,
  .config = claims_apply_config,
};
