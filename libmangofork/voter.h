#ifndef MF_VOTER_H
#define MF_VOTER_H

#include "cell.h"
#include "key_table.h"

/* What this instance is as a voter of its own cell.
 *
 * A voter that restarts has forgotten its votes, so it votes only once it is admitted: a quorum of
 * the cell's other voters, each admitted itself, has promised to show its incarnation in every
 * later vote and has handed over the keys it knows. docs/AT-MOST-ONCE.md has the argument. */
typedef struct
{
  MfKeyTable *key_table;
  MfCell cell;
  uint32_t index; /* own place in the cell; MF_NONE when no voter */
  uint64_t epoch;
  bool configured;
  bool admitted;
  uint64_t cold_start_at_ms;    /* keys minted before may be forgotten; 0 when none are */
  uint64_t cold_start_until_us; /* then every such key is too old anyway */
  uint64_t opaque_from_us;      /* opaque keys are voted on from then */
  uint64_t key_life_us;
  uint64_t started_us;
  uint64_t view[MF_VOTERS_PER_KEY_MAX]; /* highest incarnation known of each voter */
  uint64_t admit_id;
  uint64_t next_admit_us;
  uint64_t admit_period_us;
  uint64_t parts_admit_id[MF_VOTERS_PER_KEY_MAX]; /* admit_id of the answer being read */
  uint32_t next_part[MF_VOTERS_PER_KEY_MAX];
  MfAdmittedMessage answers[MF_VOTERS_PER_KEY_MAX];   /* to the admission asked for last */
  uint64_t answer_incarnation[MF_VOTERS_PER_KEY_MAX]; /* incarnation that answered; 0 for none */
} MfVoterState;

/* This instance's own; owned by the claim controller. */
MfVoterState *mf_claim_voter (const MfCore *core);

void mf_voter_init (MfVoterState *voter, MfKeyTable *key_table, uint64_t now_us);
/* A text is in force: finds the cell, and asks to be admitted when it is another one. */
void mf_voter_apply_config (MfCore *core, MfVoterState *voter);
void mf_voter_tick (MfCore *core, MfVoterState *voter);
/* An authenticated message came from this incarnation. */
void mf_voter_note_incarnation (MfVoterState *voter, const MfInstanceId *peer);
/* Fills vote; granted means that no other claim of this key was ever granted here. */
void mf_voter_vote (MfCore *core, MfVoterState *voter, const MfClaimMessage *claim,
                    MfVoteMessage *vote);
/* Answers a peer's request to be admitted; sends the answer. */
void mf_voter_handle_admit (MfCore *core, MfVoterState *voter, const MfAdmitMessage *admit);
void mf_voter_handle_admitted (MfCore *core, MfVoterState *voter, const MfInstanceId *from,
                               const MfAdmittedMessage *answer);

#endif
