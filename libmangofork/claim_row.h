#ifndef MF_CLAIM_ROW_H
#define MF_CLAIM_ROW_H

#include "claim.h"
#include "voter.h"

/* An earlier run's outcome is asked for again after so long. */
#define MF_CLAIM_POLL_INTERVAL_US (100 * MF_US_PER_MS)

/* Where a claim is. */
typedef enum
{
  MF_CLAIM_VOTING,
  MF_CLAIM_WAITING,     /* for the outcome of an earlier run */
  MF_CLAIM_BACKING_OFF, /* votes were split; claims again soon */
  MF_CLAIM_HELD,        /* granted: its call may run */
} MfClaimState;

/* The vote of one voter of the cell, and the incarnation that gave it. */
typedef struct
{
  bool received;
  MfInstanceId voter;
  MfVoteMessage vote;
} MfVoterReply;

/* One keyed request's claim; owned by the table of claims. */
typedef struct
{
  uint64_t request_id;
  uint64_t claim_id;
  uint8_t key[MF_DIGEST_BYTES];
  uint64_t body_digest;
  uint64_t key_created_ms;
  uint64_t deadline_us;
  uint64_t voting_until_us;
  uint64_t next_tick_us;
  uint64_t granted_us;
  uint64_t waiting_since_us;
  MfClaimState state;
  MfInstanceId holder;
  uint64_t holder_claim_id;
  bool ran; /* waiting: the earlier run is over, but its answer has not been found */
  MfCell cell;
  MfVoterReply replies[MF_VOTERS_PER_KEY_MAX];
  UT_hash_handle by_request;
  UT_hash_handle by_claim;
} MfClaim;

struct MfClaims
{
  MfKeyTable key_table;
  MfVoterState voter;
  MfClaim *by_request;
  MfClaim *by_claim; /* those with a claim id of their own */
  uint64_t next_claim_id;
  uint64_t due_us; /* earliest next_us of a claim that is not granted */
};

/* The table of claims, for the files of the claim controller. */

/* Asks for a look at the claim at that time. */
void mf_claim_schedule (MfCore *core, MfClaim *claim, uint64_t at_us);
MfClaim *mf_claim_of_request (MfClaims *claims, uint64_t request_id);
MfClaim *mf_claim_find (MfClaims *claims, uint64_t claim_id);
void mf_claim_assign_id (MfClaims *claims, MfClaim *claim);
void mf_claim_clear_id (MfClaims *claims, MfClaim *claim);
void mf_claim_free (MfClaims *claims, MfClaim *claim);
/* Settles the request's claim; the claim is freed unless it was granted. */
void mf_claim_settle (MfCore *core, MfClaim *claim, MfClaimDecision verdict, MfCode code,
                      MfOutcome outcome);
void mf_claim_settle_recorded (MfCore *core, MfClaim *claim, MfKeyState state,
                               const MfClaimResult *recorded);
bool mf_claim_is_self (const MfCore *core, const MfInstanceId *owner);
void mf_claim_send_cell (MfCore *core, const MfCell *cell, const MfPeerMessage *message);
void mf_claim_fill_outcome (const MfKeyEntry *entry, MfPeerMessage *message);
void mf_claim_release (MfCore *core, const uint8_t key[MF_DIGEST_BYTES], const MfCell *cell,
                       uint64_t claim_id);

/* Waiting for an earlier run. */
void mf_claim_settle_waiters (MfCore *core, const MfKeyEntry *entry);
void mf_claim_wait_tick (MfCore *core, MfClaim *claim);
/* A peer told of a key's outcome, or asks for it. */
void mf_claim_handle_outcome (MfCore *core, const MfInstanceId *from,
                              const MfOutcomeMessage *outcome);
void mf_claim_handle_outcome_request (MfCore *core, const MfInstanceId *from,
                                      const MfOutcomeMessage *request);

#endif
