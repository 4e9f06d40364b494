#ifndef MF_CLAIM_ROW_H
#define MF_CLAIM_ROW_H

#include "claim.h"
#include "voter.h"

/* Interval of requests for the outcome of an earlier run. */
#define MF_CLAIM_POLL_INTERVAL_US (100 * MF_US_PER_MS)

/* State of a claim. */
typedef enum
{
  MF_CLAIM_VOTING,
  MF_CLAIM_WAITING,     /* for the outcome of an earlier run */
  MF_CLAIM_BACKING_OFF, /* the votes were split; claims again after a random delay */
  MF_CLAIM_HELD,        /* granted: the call may run */
} MfClaimState;

/* The last vote of one voter of the cell, with the incarnation of the voter. */
typedef struct
{
  bool received;
  MfInstanceId voter;
  MfVoteMessage vote;
} MfVoterReply;

/* The claim of one request with an idempotency key; owned by the table of claims. */
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
  bool ran; /* while waiting: the earlier run has ended, but no voter has sent its answer yet */
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
  MfClaim *by_claim; /* claims that have a claim id */
  uint64_t next_claim_id;
  uint64_t due_us; /* earliest next_tick_us of a claim that is not granted */
};

/* Internal to the claim controller. claim_table.c: */
void mf_claim_schedule (MfCore *core, MfClaim *claim, uint64_t at_us);
MfClaim *mf_claim_of_request (MfClaims *claims, uint64_t request_id);
MfClaim *mf_claim_find (MfClaims *claims, uint64_t claim_id);
void mf_claim_assign_id (MfClaims *claims, MfClaim *claim);
void mf_claim_clear_id (MfClaims *claims, MfClaim *claim);
void mf_claim_free (MfClaims *claims, MfClaim *claim);
void mf_claim_settle (MfCore *core, MfClaim *claim, MfClaimDecision verdict, MfCode code,
                      MfOutcome outcome);
void mf_claim_settle_recorded (MfCore *core, MfClaim *claim, MfKeyState state,
                               const MfClaimResult *recorded);
bool mf_claim_is_self (const MfCore *core, const MfInstanceId *owner);
void mf_claim_send_cell (MfCore *core, const MfCell *cell, const MfPeerMessage *message);
void mf_claim_fill_outcome (const MfKeyEntry *entry, MfPeerMessage *message);
void mf_claim_release (MfCore *core, const uint8_t key[MF_DIGEST_BYTES], const MfCell *cell,
                       uint64_t claim_id);

/* claim_wait.c: */
void mf_claim_settle_waiters (MfCore *core, const MfKeyEntry *entry);
void mf_claim_wait_tick (MfCore *core, MfClaim *claim);
void mf_claim_handle_outcome (MfCore *core, const MfInstanceId *from,
                              const MfOutcomeMessage *outcome);
void mf_claim_handle_outcome_request (MfCore *core, const MfInstanceId *from,
                                      const MfOutcomeMessage *request);

#endif
