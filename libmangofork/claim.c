#include "claim.h"

#include "member.h"
#include "voter.h"

#include <stdlib.h>
#include <string.h>

/* A claim is asked again of voters that are silent for so long. */
#define RETRY_US (50 * MF_US_PER_MS)
/* An earlier run's outcome is asked for again after so long. */
#define ASK_US (100 * MF_US_PER_MS)
/* Voters get so long to tell the outcome of a holder that is dead, or the answer of a call that is
 * known to have run. */
#define LAST_WORD_US (300 * MF_US_PER_MS)
/* Two claims that split the votes both give way for a random time up to this. */
#define BACKOFF_US (20 * MF_US_PER_MS)
/* A claim finds its quorum within this or is refused. */
#define VOTING_US (2 * MF_US_PER_S)
/* A granted call is sent within this or not at all. */
#define GRANT_LIFE_US (5 * MF_US_PER_S)

typedef enum
{
  CLAIM_VOTING,
  CLAIM_WAITING,  /* for the outcome of an earlier run */
  CLAIM_YIELDING, /* votes were split; claims again soon */
  CLAIM_GRANTED,
} ClaimState;

typedef struct
{
  bool voted;
  MfOwner voter;
  MfVoteMessage vote;
} Ballot;

typedef struct
{
  uint64_t request_id;
  uint64_t claim_id;
  uint8_t key[MF_DIGEST_BYTES];
  uint64_t body_digest;
  uint64_t minted_ms;
  uint64_t deadline_us;
  uint64_t voting_until_us;
  uint64_t next_us;
  uint64_t granted_us;
  uint64_t waiting_since_us;
  ClaimState state;
  MfOwner holder;
  uint64_t holder_claim_id;
  bool ran; /* waiting: the earlier run is over, but its answer has not been found */
  MfCell cell;
  Ballot ballots[MF_VOTERS_PER_KEY_MAX];
  UT_hash_handle by_request;
  UT_hash_handle by_claim;
} Claim;

struct MfClaims
{
  MfKeybook book;
  MfVoterState voter;
  Claim *by_request;
  Claim *by_claim; /* those with a claim id of their own */
  uint64_t next_claim_id;
  uint64_t due_us; /* earliest next_us of a claim that is not granted */
};

/* Asks for claim_tick at that time. */
static void
claim_due (MfCore *core, Claim *claim, uint64_t at_us)
{
  claim->next_us = at_us;
  if (at_us < core->board.claims->due_us)
    core->board.claims->due_us = at_us;
  mf_core_wake_at (core, at_us);
}

static Claim *
find_request (MfClaims *claims, uint64_t request_id)
{
  Claim *claim;

  HASH_FIND (by_request, claims->by_request, &request_id, sizeof request_id, claim);
  return claim;
}

static Claim *
find_claim (MfClaims *claims, uint64_t claim_id)
{
  Claim *claim;

  HASH_FIND (by_claim, claims->by_claim, &claim_id, sizeof claim_id, claim);
  return claim;
}

static void
claim_number (MfClaims *claims, Claim *claim)
{
  claim->claim_id = ++claims->next_claim_id;
  HASH_ADD (by_claim, claims->by_claim, claim_id, sizeof claim->claim_id, claim);
}

static void
claim_unnumber (MfClaims *claims, Claim *claim)
{
  if (claim->claim_id == 0)
    return;
  HASH_DELETE (by_claim, claims->by_claim, claim);
  claim->claim_id = 0;
}

static void
claim_free (MfClaims *claims, Claim *claim)
{
  claim_unnumber (claims, claim);
  HASH_DELETE (by_request, claims->by_request, claim);
  free (claim);
}

static void
settle (MfCore *core, Claim *claim, const MfClaimResult *result)
{
  uint64_t request_id = claim->request_id;

  if (result->verdict != MF_CLAIM_GRANTED)
    claim_free (core->board.claims, claim);
  mf_request_claim_settled (core, request_id, result);
}

static void
settle_plainly (MfCore *core, Claim *claim, MfClaimVerdict verdict, MfCode code, MfOutcome outcome)
{
  MfClaimResult result = { .verdict = verdict, .code = code, .outcome = outcome };

  settle (core, claim, &result);
}

/* Gives what an earlier run left: its answer, or the plain word that it is not to be had. */
static void
settle_recorded (MfCore *core, Claim *claim, MfKeyState state, const MfClaimResult *recorded)
{
  MfClaimResult result = *recorded;

  if (state == MF_KEY_FINISHED && recorded->body != NULL)
    {
      result.verdict = MF_CLAIM_ANSWERED;
      settle (core, claim, &result);
      return;
    }
  settle_plainly (core, claim, MF_CLAIM_UNKNOWN, MF_CODE_KEY_UNKNOWN,
                  state == MF_KEY_FINISHED ? MF_OUTCOME_RAN : MF_OUTCOME_UNKNOWN);
}

static bool
is_self (const MfCore *core, const MfOwner *owner)
{
  return owner->incarnation == core->board.options.self.incarnation
         && strcmp (owner->name, core->board.options.self.name) == 0;
}

static void
send_to_cell (MfCore *core, const MfCell *cell, const MfPeerMessage *message)
{
  for (uint32_t i = 0; i < cell->n; i++)
    {
      if (strcmp (cell->names[i], core->board.options.self.name) != 0)
        mf_member_send (core, cell->names[i], message);
    }
}

static void
outcome_message (const MfKeyEntry *entry, MfPeerMessage *message)
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

/* Tells the cell that this claim will never run. The voters free exactly this claim. */
static void
release (MfCore *core, const uint8_t key[MF_DIGEST_BYTES], const MfCell *cell, uint64_t claim_id)
{
  MfClaims *claims = core->board.claims;
  MfKeyEntry *entry = mf_keybook_find (&claims->book, key);
  MfPeerMessage message = {
    .type = MF_PEER_OUTCOME,
    .outcome = { .claimant = core->board.options.self, .claim_id = claim_id, .state = MF_KEY_NONE },
  };

  if (entry != NULL && entry->claim_id == claim_id && is_self (core, &entry->holder))
    mf_keybook_remove (&claims->book, entry);
  memcpy (message.outcome.key, key, MF_DIGEST_BYTES);
  send_to_cell (core, cell, &message);
}

/* Whether another ballot shows a higher incarnation of this ballot's voter: the voter was replaced,
 * and its successor may have voted otherwise. */
static bool
ballot_is_void (const Claim *claim, const Ballot *ballot)
{
  for (uint32_t i = 0; i < claim->cell.n; i++)
    {
      const MfVoteMessage *other = &claim->ballots[i].vote;

      if (!claim->ballots[i].voted)
        continue;
      for (uint32_t k = 0; k < other->n_view; k++)
        {
          if (other->view[k].incarnation > ballot->voter.incarnation
              && strcmp (other->view[k].name, ballot->voter.name) == 0)
            return true;
        }
    }
  return false;
}

static void
claim_granted (MfCore *core, Claim *claim)
{
  MfClaims *claims = core->board.claims;
  MfKeyEntry *entry = mf_keybook_find (&claims->book, claim->key);

  if (entry == NULL)
    entry = mf_keybook_add (&claims->book, claim->key, core->board.now_us);
  if (entry == NULL)
    {
      release (core, claim->key, &claim->cell, claim->claim_id);
      settle_plainly (core, claim, MF_CLAIM_NO_QUORUM, MF_CODE_KEY_NO_QUORUM, MF_OUTCOME_UNKNOWN);
      return;
    }
  entry->body_digest = claim->body_digest;
  entry->holder = core->board.options.self;
  entry->claim_id = claim->claim_id;
  claim->state = CLAIM_GRANTED;
  claim->granted_us = core->board.now_us;
  mf_counter_add (&core->board.counters, MF_COUNTER_CLAIMS, 1);
  settle_plainly (core, claim, MF_CLAIM_GRANTED, MF_CODE_OK, MF_OUTCOME_NOT_RUN);
}

/* The quorum cannot be had because another claim holds votes: wait for what becomes of it. */
static void
claim_wait (MfCore *core, Claim *claim, const MfVoteMessage *refusal)
{
  claim->state = CLAIM_WAITING;
  claim->holder = refusal->holder;
  claim->holder_claim_id = refusal->holder_claim_id;
  claim->waiting_since_us = core->board.now_us;
  release (core, claim->key, &claim->cell, claim->claim_id);
  claim_unnumber (core->board.claims, claim);
  mf_counter_add (&core->board.counters, MF_COUNTER_CLAIMS_REFUSED, 1);
  claim_due (core, claim, core->board.now_us);
}

static bool
refuses_for_good (const MfVoteMessage *vote)
{
  return vote->state == MF_KEY_FINISHED || vote->state == MF_KEY_UNKNOWN;
}

/* Decides a claim from the ballots at hand. */
static void
claim_count (MfCore *core, Claim *claim)
{
  const MfVoteMessage *refusal = NULL;
  uint32_t n_granted = 0;
  uint32_t n_refused = 0;
  uint32_t n_forgotten = 0;

  for (uint32_t i = 0; i < claim->cell.n; i++)
    {
      const Ballot *ballot = &claim->ballots[i];

      n_forgotten += ballot->voted && ballot->vote.forgotten;
      if (!ballot->voted || ballot->vote.abstained)
        continue;
      if (ballot->vote.granted)
        {
          n_granted += !ballot_is_void (claim, ballot);
          continue;
        }
      n_refused++;
      if (refusal == NULL || refuses_for_good (&ballot->vote))
        refusal = &ballot->vote;
    }
  if (n_granted >= claim->cell.quorum)
    claim_granted (core, claim);
  else if (refusal != NULL
           && (refuses_for_good (refusal) || n_refused > claim->cell.n - claim->cell.quorum))
    {
      if (refusal->body_differs)
        {
          release (core, claim->key, &claim->cell, claim->claim_id);
          settle_plainly (core, claim, MF_CLAIM_BODY_DIFFERS, MF_CODE_KEY_BODY_DIFFERS,
                          MF_OUTCOME_NOT_RUN);
        }
      else
        claim_wait (core, claim, refusal);
    }
  else if (n_forgotten > claim->cell.n - claim->cell.quorum)
    {
      release (core, claim->key, &claim->cell, claim->claim_id);
      settle_plainly (core, claim, MF_CLAIM_UNKNOWN, MF_CODE_KEY_UNKNOWN, MF_OUTCOME_UNKNOWN);
    }
}

static void
ballot_take (MfCore *core, Claim *claim, const MfOwner *voter, const MfVoteMessage *vote)
{
  uint32_t i = mf_cell_find (&claim->cell, voter->name);

  if (i == MF_NONE || claim->state != CLAIM_VOTING)
    return;
  if (claim->ballots[i].voted && claim->ballots[i].voter.incarnation > voter->incarnation)
    return;
  claim->ballots[i] = (Ballot){ .voted = true, .voter = *voter, .vote = *vote };
  claim_count (core, claim);
}

/* Asks every voter that has not yet given a vote. The own vote comes last and may settle the
 * claim. */
static void
claim_ask (MfCore *core, Claim *claim)
{
  MfPeerMessage message = {
    .type = MF_PEER_CLAIM,
    .claim = { .claim_id = claim->claim_id,
               .body_digest = claim->body_digest,
               .minted_ms = claim->minted_ms,
               .epoch = mf_cell_epoch (core->board.config),
               .claimant = core->board.options.self },
  };
  uint32_t own = mf_cell_find (&claim->cell, core->board.options.self.name);
  MfVoteMessage vote;

  memcpy (message.claim.key, claim->key, MF_DIGEST_BYTES);
  for (uint32_t i = 0; i < claim->cell.n; i++)
    {
      const Ballot *ballot = &claim->ballots[i];

      if (i != own && (!ballot->voted || ballot->vote.abstained))
        mf_member_send (core, claim->cell.names[i], &message);
    }
  claim_due (core, claim, core->board.now_us + RETRY_US);
  if (own == MF_NONE)
    return;
  mf_voter_vote (core, &core->board.claims->voter, &message.claim, &vote);
  ballot_take (core, claim, &core->board.options.self, &vote);
}

static void
claim_vote (MfCore *core, Claim *claim)
{
  claim->state = CLAIM_VOTING;
  claim->voting_until_us = core->board.now_us + VOTING_US;
  memset (claim->ballots, 0, sizeof claim->ballots);
  mf_cell_members (core->board.config, mf_cell_of_key (core->board.config, claim->key),
                   &claim->cell);
  claim_number (core->board.claims, claim);
  claim_ask (core, claim);
}

/* With no voters in the text, keys are kept by each instance for itself. */
static void
claim_alone (MfCore *core, Claim *claim)
{
  MfKeyEntry *entry = mf_keybook_find (&core->board.claims->book, claim->key);

  if (entry == NULL)
    {
      claim_number (core->board.claims, claim);
      claim_granted (core, claim);
    }
  else if (entry->body_digest != claim->body_digest)
    settle_plainly (core, claim, MF_CLAIM_BODY_DIFFERS, MF_CODE_KEY_BODY_DIFFERS,
                    MF_OUTCOME_NOT_RUN);
  else if (entry->state != MF_KEY_RUNNING)
    settle_recorded (core, claim, entry->state, &entry->result);
  else
    {
      claim->state = CLAIM_WAITING;
      claim->holder = entry->holder;
      claim->holder_claim_id = entry->claim_id;
      claim_due (core, claim, core->board.now_us + ASK_US);
    }
}

static void
claim_start (MfCore *core, Claim *claim)
{
  if (mf_cell_count (core->board.config) == 0)
    claim_alone (core, claim);
  else
    claim_vote (core, claim);
}

/* Whether a key minted then is older than keys are kept. */
static bool
is_too_old (const MfCore *core, uint64_t minted_ms)
{
  uint64_t life_ms = core->board.config->key_life_us / MF_US_PER_MS;

  return minted_ms != 0 && minted_ms + life_ms < core->board.wall_ms;
}

void
mf_claim_begin (MfCore *core, uint64_t request_id, const uint8_t key[MF_DIGEST_BYTES],
                uint64_t body_digest, uint64_t minted_ms, uint64_t deadline_us)
{
  MfClaims *claims = core->board.claims;
  Claim *claim = calloc (1, sizeof *claim);
  MfClaimResult result = { .verdict = MF_CLAIM_NO_QUORUM, .outcome = MF_OUTCOME_UNKNOWN };

  if (claim == NULL)
    {
      mf_request_claim_settled (core, request_id, &result);
      return;
    }
  claim->request_id = request_id;
  claim->body_digest = body_digest;
  claim->minted_ms = minted_ms;
  claim->deadline_us = deadline_us;
  memcpy (claim->key, key, MF_DIGEST_BYTES);
  HASH_ADD (by_request, claims->by_request, request_id, sizeof claim->request_id, claim);
  if (is_too_old (core, minted_ms))
    settle_plainly (core, claim, MF_CLAIM_TOO_OLD, MF_CODE_KEY_TOO_OLD, MF_OUTCOME_UNKNOWN);
  else
    claim_start (core, claim);
}

void
mf_claim_drop (MfCore *core, uint64_t request_id)
{
  Claim *claim = find_request (core->board.claims, request_id);

  if (claim == NULL)
    return;
  if (claim->claim_id != 0)
    release (core, claim->key, &claim->cell, claim->claim_id);
  claim_free (core->board.claims, claim);
}

bool
mf_claim_may_send (MfCore *core, uint64_t request_id)
{
  const Claim *claim = find_request (core->board.claims, request_id);

  return claim != NULL && claim->state == CLAIM_GRANTED
         && core->board.now_us - claim->granted_us <= GRANT_LIFE_US;
}

/* Gives the outcome to the requests of this instance that waited for it. */
static void
waiters_settle (MfCore *core, const MfKeyEntry *entry)
{
  Claim *claim;
  Claim *next;

  HASH_ITER (by_request, core->board.claims->by_request, claim, next)
  {
    if (claim->state == CLAIM_WAITING && memcmp (claim->key, entry->key, MF_DIGEST_BYTES) == 0)
      settle_recorded (core, claim, entry->state, &entry->result);
  }
}

void
mf_claim_finish (MfCore *core, uint64_t request_id, const MfClaimResult *result)
{
  MfClaims *claims = core->board.claims;
  Claim *claim = find_request (claims, request_id);
  MfKeyEntry *entry;
  MfPeerMessage message;

  if (claim == NULL)
    return;
  entry = mf_keybook_find (&claims->book, claim->key);
  if (result->outcome == MF_OUTCOME_NOT_RUN || entry == NULL)
    {
      mf_claim_drop (core, request_id);
      return;
    }
  mf_keybook_finish (&claims->book, entry,
                     result->outcome == MF_OUTCOME_RAN ? MF_KEY_FINISHED : MF_KEY_UNKNOWN, result);
  outcome_message (entry, &message);
  send_to_cell (core, &claim->cell, &message);
  claim_free (claims, claim);
  waiters_settle (core, entry);
}

/* Whether the incarnation that holds a key can no longer tell. */
static bool
holder_is_dead (const MfCore *core, const MfOwner *holder)
{
  const MfMember *member = mf_member_find (core, holder->name);

  if (strcmp (holder->name, core->board.options.self.name) == 0)
    return holder->incarnation != core->board.options.self.incarnation;
  return member != NULL
         && (member->owner.incarnation > holder->incarnation || member->state == MF_MEMBER_DEAD);
}

/* Claims again after a random while. */
static void
claim_yield (MfCore *core, Claim *claim)
{
  claim->state = CLAIM_YIELDING;
  claim_due (core, claim, core->board.now_us + mf_core_random_below (core, BACKOFF_US) + 1);
}

/* Takes what is told of the earlier run. A voter may know that it is over without having its
 * answer, which another may still have. */
static void
waiting_take (MfCore *core, Claim *claim, MfKeyState state, const MfClaimResult *result)
{
  if (state == MF_KEY_FINISHED && result->body == NULL
      && core->board.now_us < claim->waiting_since_us + LAST_WORD_US)
    claim->ran = true;
  else if (state == MF_KEY_FINISHED || state == MF_KEY_UNKNOWN)
    settle_recorded (core, claim, state, result);
}

/* Claims again when this instance holds the key itself by a claim that it has given up. */
static bool
waiting_restart (MfCore *core, Claim *claim)
{
  if (!is_self (core, &claim->holder)
      || find_claim (core->board.claims, claim->holder_claim_id) != NULL)
    return false;
  release (core, claim->key, &claim->cell, claim->holder_claim_id);
  claim_yield (core, claim);
  return true;
}

/* Ends a wait that has lasted long enough. Returns whether it did. */
static bool
waiting_end (MfCore *core, Claim *claim)
{
  uint64_t now_us = core->board.now_us;
  bool last_word = now_us >= claim->waiting_since_us + LAST_WORD_US;

  if (now_us < claim->deadline_us
      && !(last_word && (claim->ran || holder_is_dead (core, &claim->holder))))
    return false;
  settle_plainly (core, claim, MF_CLAIM_UNKNOWN, MF_CODE_KEY_UNKNOWN,
                  claim->ran ? MF_OUTCOME_RAN : MF_OUTCOME_UNKNOWN);
  return true;
}

static void
waiting_tick (MfCore *core, Claim *claim)
{
  MfKeyEntry *entry = mf_keybook_find (&core->board.claims->book, claim->key);
  uint64_t request_id = claim->request_id;
  MfPeerMessage message = {
    .type = MF_PEER_OUTCOME_ASK,
    .outcome = { .claimant = claim->holder, .claim_id = claim->holder_claim_id },
  };

  if (entry != NULL)
    waiting_take (core, claim, entry->state, &entry->result);
  if (find_request (core->board.claims, request_id) != claim || waiting_end (core, claim))
    return;
  if ((entry == NULL || entry->state == MF_KEY_RUNNING) && waiting_restart (core, claim))
    return;
  memcpy (message.outcome.key, claim->key, MF_DIGEST_BYTES);
  if (mf_cell_find (&claim->cell, claim->holder.name) == MF_NONE && !is_self (core, &claim->holder))
    mf_member_send (core, claim->holder.name, &message);
  send_to_cell (core, &claim->cell, &message);
  claim_due (core, claim, core->board.now_us + ASK_US);
}

/* Whether a quorum of the cell can be reached, though some of it may still be fresh. */
static bool
cell_answers (const Claim *claim)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < claim->cell.n; i++)
    n += claim->ballots[i].voted;
  return n >= claim->cell.quorum;
}

/* A claim with too few voters in reach is refused early, so that the caller can go elsewhere; one
 * whose voters are about to be admitted waits for them. Time in which this process was paused does
 * not count. */
static void
voting_tick (MfCore *core, Claim *claim)
{
  uint64_t now_us = core->board.now_us;
  uint64_t until_us = claim->voting_until_us;

  if (core->board.woke_us > 0 && until_us < core->board.woke_us + VOTING_US)
    until_us = core->board.woke_us + VOTING_US;
  if (now_us < claim->deadline_us && (now_us < until_us || cell_answers (claim)))
    {
      claim_ask (core, claim);
      return;
    }
  mf_counter_add (&core->board.counters, MF_COUNTER_CLAIMS_NO_QUORUM, 1);
  release (core, claim->key, &claim->cell, claim->claim_id);
  settle_plainly (core, claim, MF_CLAIM_NO_QUORUM, MF_CODE_KEY_NO_QUORUM, MF_OUTCOME_UNKNOWN);
}

static void
yielding_tick (MfCore *core, Claim *claim)
{
  if (core->board.now_us >= claim->deadline_us)
    settle_plainly (core, claim, MF_CLAIM_NO_QUORUM, MF_CODE_KEY_NO_QUORUM, MF_OUTCOME_UNKNOWN);
  else
    claim_vote (core, claim);
}

static void
claim_tick (MfCore *core, Claim *claim)
{
  if (claim->state == CLAIM_GRANTED)
    return;
  if (core->board.now_us < claim->next_us)
    {
      claim_due (core, claim, claim->next_us);
      return;
    }
  if (claim->state == CLAIM_VOTING)
    voting_tick (core, claim);
  else if (claim->state == CLAIM_WAITING)
    waiting_tick (core, claim);
  else
    yielding_tick (core, claim);
}

static void
claims_tick (MfCore *core)
{
  MfClaims *claims = core->board.claims;
  uint64_t keep_us = 2 * claims->voter.key_life_us;
  Claim *claim;
  Claim *next;

  mf_voter_tick (core, &claims->voter);
  if (claims->voter.configured && core->board.now_us > keep_us)
    mf_keybook_expire (&claims->book, core->board.now_us - keep_us);
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

/* A claimant speaks of its own claim only. */
static void
outcome_take (MfCore *core, const MfOwner *from, const MfOutcomeMessage *outcome)
{
  MfClaims *claims = core->board.claims;
  MfKeyEntry *entry = mf_keybook_find (&claims->book, outcome->key);
  MfClaimResult result = {
    .status = outcome->status,
    .code = (MfCode)outcome->code,
    .outcome = outcome->state == MF_KEY_FINISHED ? MF_OUTCOME_RAN : MF_OUTCOME_UNKNOWN,
    .content_type = outcome->content_type,
    .body = outcome->body,
    .body_bytes = outcome->body_bytes,
  };
  bool is_holder = strcmp (from->name, outcome->claimant.name) == 0
                   && from->incarnation == outcome->claimant.incarnation;

  if (entry == NULL || entry->claim_id != outcome->claim_id
      || entry->holder.incarnation != outcome->claimant.incarnation
      || strcmp (entry->holder.name, outcome->claimant.name) != 0)
    return;
  if (outcome->state == MF_KEY_NONE && is_holder && !is_self (core, &entry->holder))
    mf_keybook_remove (&claims->book, entry);
  else if (outcome->state == MF_KEY_FINISHED || outcome->state == MF_KEY_UNKNOWN)
    mf_keybook_finish (&claims->book, entry, outcome->state, &result);
}

/* Serves the requests here that wait for this key. */
static void
outcome_serve (MfCore *core, const MfOwner *from, const MfOutcomeMessage *outcome)
{
  MfClaimResult result = {
    .status = outcome->status,
    .code = (MfCode)outcome->code,
    .outcome = MF_OUTCOME_RAN,
    .content_type = outcome->content_type,
    .body = outcome->body,
    .body_bytes = outcome->body_bytes,
  };
  Claim *claim;
  Claim *next;

  HASH_ITER (by_request, core->board.claims->by_request, claim, next)
  {
    if (claim->state != CLAIM_WAITING || claim->holder_claim_id != outcome->claim_id
        || memcmp (claim->key, outcome->key, MF_DIGEST_BYTES) != 0)
      continue;
    if (outcome->state != MF_KEY_NONE)
      waiting_take (core, claim, outcome->state, &result);
    else if (strcmp (from->name, claim->holder.name) == 0
             && from->incarnation == claim->holder.incarnation)
      claim_yield (core, claim);
  }
}

/* Tells what this instance knows of a claim, as its claimant or as a voter. A claimant that has
 * given it up says so to the whole cell again, in case a voter missed it. */
static void
outcome_ask (MfCore *core, const MfOwner *from, const MfOutcomeMessage *ask)
{
  MfClaims *claims = core->board.claims;
  MfKeyEntry *entry = mf_keybook_find (&claims->book, ask->key);
  bool is_holder = is_self (core, &ask->claimant);
  MfPeerMessage message = {
    .type = MF_PEER_OUTCOME,
    .outcome = { .claimant = ask->claimant, .claim_id = ask->claim_id, .state = MF_KEY_NONE },
  };
  MfCell cell;

  if (entry != NULL && entry->claim_id == ask->claim_id)
    outcome_message (entry, &message);
  else if (is_holder && find_claim (claims, ask->claim_id) != NULL)
    message.outcome.state = MF_KEY_RUNNING;
  else if (is_holder && core->board.config != NULL && mf_cell_count (core->board.config) > 0)
    {
      mf_cell_members (core->board.config, mf_cell_of_key (core->board.config, ask->key), &cell);
      release (core, ask->key, &cell, ask->claim_id);
    }
  memcpy (message.outcome.key, ask->key, MF_DIGEST_BYTES);
  if (is_holder || message.outcome.state != MF_KEY_NONE)
    mf_member_send (core, from->name, &message);
}

static void
claim_asked (MfCore *core, const MfOwner *from, const MfClaimMessage *claim)
{
  MfPeerMessage message = { .type = MF_PEER_VOTE };

  if (strcmp (from->name, claim->claimant.name) != 0
      || from->incarnation != claim->claimant.incarnation)
    return;
  mf_voter_vote (core, &core->board.claims->voter, claim, &message.vote);
  mf_member_send (core, from->name, &message);
}

static void
vote_take (MfCore *core, const MfOwner *from, const MfVoteMessage *vote)
{
  Claim *claim = find_claim (core->board.claims, vote->claim_id);

  if (claim != NULL && memcmp (claim->key, vote->key, MF_DIGEST_BYTES) == 0)
    ballot_take (core, claim, from, vote);
}

static void
message_take (MfCore *core, const MfPeerEvent *event)
{
  const MfPeerMessage *message = event->message;
  const MfOwner *from = &event->peer;

  mf_voter_see (&core->board.claims->voter, from);
  if (message->type == MF_PEER_CLAIM)
    claim_asked (core, from, &message->claim);
  else if (message->type == MF_PEER_VOTE)
    vote_take (core, from, &message->vote);
  else if (message->type == MF_PEER_OUTCOME)
    {
      outcome_take (core, from, &message->outcome);
      outcome_serve (core, from, &message->outcome);
    }
  else if (message->type == MF_PEER_OUTCOME_ASK)
    outcome_ask (core, from, &message->outcome);
  else if (message->type == MF_PEER_ADMIT && strcmp (from->name, message->admit.applicant.name) == 0
           && from->incarnation == message->admit.applicant.incarnation)
    mf_voter_admit (core, &core->board.claims->voter, &message->admit);
  else if (message->type == MF_PEER_ADMITTED)
    mf_voter_admitted (core, &core->board.claims->voter, from, &message->admitted);
}

static void
claims_handle (MfCore *core, const MfEvent *event)
{
  if (event->type == MF_EVENT_PEER_UP)
    mf_voter_see (&core->board.claims->voter, &event->peer.peer);
  else if (event->type == MF_EVENT_PEER_MESSAGE)
    message_take (core, &event->peer);
}

static bool
claims_init (MfCore *core, MfError *error)
{
  MfClaims *claims = calloc (1, sizeof *claims);

  if (claims == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for claims");
      return false;
    }
  core->board.claims = claims;
  claims->due_us = UINT64_MAX;
  mf_voter_init (&claims->voter, &claims->book, core->board.now_us);
  return true;
}

static void
claims_finish (MfCore *core)
{
  MfClaims *claims = core->board.claims;

  if (claims == NULL)
    return;
  while (claims->by_request != NULL)
    claim_free (claims, claims->by_request);
  mf_keybook_clear (&claims->book);
  free (claims);
  core->board.claims = NULL;
}

MfVoterState *
mf_claim_voter (const MfCore *core)
{
  return &core->board.claims->voter;
}

static void
claims_config (MfCore *core)
{
  mf_voter_config (core, &core->board.claims->voter);
}

const MfController mf_claim_controller = {
  .name = "claim",
  .init = claims_init,
  .finish = claims_finish,
  .handle = claims_handle,
  .tick = claims_tick,
  .config = claims_config,
};
