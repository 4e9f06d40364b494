#ifndef MF_VOTER_H
#define MF_VOTER_H

#include "cell.h"
#include "key_table.h"

/* The state of this instance as a voter of its cell.
 *
 * Votes are kept in memory, so a voter that restarts has lost its votes and may not vote before it
 * is admitted: a quorum of the other voters of the cell, each admitted itself, will include its
 * incarnation in the view of every later vote and has sent the keys it has recorded. For the proof
 * see docs/AT-MOST-ONCE.md. */
typedef struct
{
  MfKeyTable *key_table;
  MfCell cell;
  uint32_t index; /* of this instance in the cell; MF_NONE when it is no voter */
  uint64_t epoch;
  bool configured;
  bool admitted;
  uint64_t cold_start_at_ms;    /* wall clock; keys created earlier may be lost; 0 when none are */
  uint64_t cold_start_until_us; /* by then every such key is too old in any case */
  uint64_t opaque_from_us;      /* keys without a creation time are voted on from then on */
  uint64_t key_life_us;
  uint64_t started_us;
  uint64_t view[MF_VOTERS_PER_KEY_MAX]; /* highest known incarnation of each voter */
  uint64_t admit_id;
  uint64_t next_admit_us;
  uint64_t admit_period_us;
  uint64_t parts_admit_id[MF_VOTERS_PER_KEY_MAX]; /* admit_id of the answer being received */
  uint32_t next_part[MF_VOTERS_PER_KEY_MAX];
  MfAdmittedMessage answers[MF_VOTERS_PER_KEY_MAX];   /* to the last request for admission */
  uint64_t answer_incarnation[MF_VOTERS_PER_KEY_MAX]; /* 0 when there is no answer */
} MfVoterState;

MfVoterState *mf_claim_voter (const MfCore *core);

void mf_voter_init (MfVoterState *voter, MfKeyTable *key_table, uint64_t now_us);
void mf_voter_apply_config (MfCore *core, MfVoterState *voter);
void mf_voter_tick (MfCore *core, MfVoterState *voter);
void mf_voter_note_incarnation (MfVoterState *voter, const MfInstanceId *peer);
void mf_voter_vote (MfCore *core, MfVoterState *voter, const MfClaimMessage *claim,
                    MfVoteMessage *vote);
void mf_voter_handle_admit (MfCore *core, MfVoterState *voter, const MfAdmitMessage *admit);
void mf_voter_handle_admitted (MfCore *core, MfVoterState *voter, const MfInstanceId *from,
                               const MfAdmittedMessage *answer);

#endif
