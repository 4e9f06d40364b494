#ifndef MF_MEMBER_ROW_H
#define MF_MEMBER_ROW_H

/* The table of other instances as the fleet's own controllers see it. Others use member.h. */

#include "member.h"

#include "table.h"

/* Peers that exchange digests with this instance, at most. */
#define MF_NEIGHBOURS_MAX 64
/* Links to one peer: both sides may open one at the same time. */
#define MF_MEMBER_LINKS_MAX 2
#define MF_MEMBER_PENDING_MAX 8

typedef struct MfHeldWork MfHeldWork; /* guardian.c */

/* A message that waits for a link, encoded. */
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
  bool chosen;                         /* chosen as a neighbour by this instance */
  uint32_t neighbour;                  /* place among the neighbours, or MF_NONE */
  uint64_t digest_us;                  /* when its last digest came; 0 for never */
  uint64_t config_revision;            /* in force there, from its digest */
  uint64_t list_index;
  bool is_guardian; /* told to be our guardian */
  bool is_guarded;  /* told us to be its guardian */
  MfHeldWork *held; /* the work it told of, while is_guarded */
  uint32_t n_held;
  bool opening;
  uint64_t open_us; /* when opening began, or when to open again */
  uint32_t n_open_failures;
  uint64_t last_used_us;       /* last message either way */
  uint64_t suspected_since_us; /* since when, while suspected */
  uint32_t n_refutations;      /* suspicions that were wrong since it was last heard directly */
  uint64_t evidence_us;        /* how old the evidence for the state is */
  uint64_t unlisted_since_us;  /* since when the list has left it out; 0 while listed */
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
  bool choose_pending; /* the neighbours are to be chosen again */
  uint64_t last_event_us;
  uint64_t paused_us;        /* when the last pause was noticed */
  uint32_t health_penalty;   /* rises with each pause; suspicion takes that many times longer */
  uint64_t penalty_decay_us; /* when it next falls */
  uint64_t next_watch_us;    /* when the neighbours are next looked at */
  uint64_t next_sweep_us;    /* when all members are */
  bool announced;            /* our own incarnation */
};

MfMemberRow *mf_member_row (const MfCore *core, const char *name);
MfMemberRow *mf_member_row_by_hash (const MfCore *core, uint64_t name_hash);
/* Finds or makes the row of a slot; NULL for this instance's own or without memory. */
MfMemberRow *mf_member_row_find_or_add (MfCore *core, const char *name);
/* Moves a member to a state; evidence_us is when what shows it happened. */
void mf_member_set_state (MfCore *core, MfMemberRow *row, MfMemberState state, uint64_t evidence_us,
                          const char *reason);
/* Direct evidence that an incarnation of a slot lives. Returns false when it is an older one. */
bool mf_member_note_alive (MfCore *core, MfMemberRow *row, uint64_t incarnation);
/* News of another instance's life or death. */
void mf_member_apply_gossip (MfCore *core, const MfGossip *gossip, uint64_t origin_us);

/* member_link.c */
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
