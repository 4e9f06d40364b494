#ifndef MF_MEMBER_ROW_H
#define MF_MEMBER_ROW_H

/* The table of other instances, for the membership, gossip and digest controllers. Other modules
 * use member.h. */

#include "member.h"

#include "table.h"

/* Most peers that exchange digests with this instance. */
#define MF_NEIGHBOURS_MAX 64
/* Links to one peer: both sides may open one at the same time. */
#define MF_MEMBER_LINKS_MAX 2
/* Messages to one peer that wait for a link. */
#define MF_MEMBER_PENDING_MAX 8

typedef struct MfReportedWork MfReportedWork; /* guardian.c */

/* An encoded message that waits for a link. */
typedef struct
{
  uint8_t *frame;
  size_t frame_bytes;
  uint64_t expires_us;
} MfPendingMessage;

typedef struct
{
  MfMember member;
  uint64_t name_hash;
  uint32_t links[MF_MEMBER_LINKS_MAX]; /* newest first, 0 for none */
  bool chosen;                         /* by this instance as a neighbour */
  uint32_t neighbour;                  /* index in MfMembers.neighbours, or MF_NONE */
  uint64_t digest_us;                  /* when its last digest arrived; 0 for never */
  uint64_t config_revision;            /* applied there, from its digest */
  uint64_t list_index;
  bool is_guardian;              /* of this instance */
  bool is_guarded;               /* by this instance */
  MfReportedWork *reported_work; /* upstreams it reported to hold work on, while guarded */
  uint32_t n_reported_work;
  bool opening;
  uint64_t open_us; /* start of the current attempt, or time of the next one */
  uint32_t n_open_failures;
  uint64_t last_used_us;       /* last message in either direction */
  uint64_t suspected_since_us; /* 0 unless suspected */
  uint32_t n_refutations;      /* refuted suspicions since its last direct message */
  uint64_t evidence_us;        /* when the evidence for the state arose */
  uint64_t unlisted_since_us;  /* 0 while listed */
  MfPendingMessage pending[MF_MEMBER_PENDING_MAX];
  uint32_t n_pending;
  UT_hash_handle hh;
} MfMemberRow;

struct MfMembers
{
  MfMemberRow *rows; /* hash by name_hash */
  MfMemberRow *neighbours[MF_NEIGHBOURS_MAX];
  uint32_t n_neighbours;
  uint64_t self_hash;
  bool choose_pending; /* neighbours are to be chosen again */
  uint64_t last_event_us;
  uint64_t paused_us;        /* when the last pause was detected; 0 for never */
  uint32_t health_penalty;   /* pauses that still lengthen the time-outs */
  uint64_t penalty_decay_us; /* when the penalty next decreases */
  uint64_t next_watch_us;    /* next check of the neighbours */
  uint64_t next_sweep_us;    /* next check of all members */
  bool announced;            /* whether the incarnation of this process was published */
};

MfMemberRow *mf_member_row (const MfCore *core, const char *name);
MfMemberRow *mf_member_row_by_hash (const MfCore *core, uint64_t name_hash);
MfMemberRow *mf_member_row_find_or_add (MfCore *core, const char *name);
void mf_member_set_state (MfCore *core, MfMemberRow *row, MfMemberState state, uint64_t evidence_us,
                          const char *reason);
bool mf_member_note_alive (MfCore *core, MfMemberRow *row, uint64_t incarnation);
void mf_member_apply_gossip (MfCore *core, const MfGossip *gossip, uint64_t origin_us);

/* member_link.c: */
void mf_member_choose_neighbours (MfCore *core);
void mf_member_add_neighbour (MfCore *core, MfMemberRow *row);
void mf_member_drop_neighbour (MfCore *core, MfMemberRow *row);
void mf_member_open_link (MfCore *core, MfMemberRow *row);
void mf_member_close_links (MfCore *core, MfMemberRow *row);
void mf_member_link_up (MfCore *core, MfMemberRow *row, const MfPeerEvent *peer);
void mf_member_link_down (MfCore *core, MfMemberRow *row, uint32_t link_id);
bool mf_member_send_row (MfCore *core, MfMemberRow *row, const MfPeerMessage *message);
void mf_member_clear_pending (MfMemberRow *row);

#endif
