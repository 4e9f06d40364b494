#ifndef MF_MEMBER_H
#define MF_MEMBER_H

#include "core.h"

/* What is believed of one other instance. */
typedef enum
{
  MF_MEMBER_ALIVE,
  MF_MEMBER_SUSPECT,
  MF_MEMBER_DEAD,
  MF_MEMBER_LEAVING,
} MfMemberState;

typedef struct
{
  MfInstanceId owner;
  char address[MF_ADDRESS_BYTES];
  char data_centre[MF_NAME_BYTES];
  MfMemberState state;
  uint32_t link_id; /* 0 when there is no link */
  uint64_t last_seen_us;
  bool listed;
  bool admitted; /* as a voter, as far as known */
} MfMember;

typedef bool (*MfMemberFunc) (const MfMember *member, void *data);

void mf_member_foreach (const MfCore *core, MfMemberFunc func, void *data);
/* Returns NULL when the slot is not known. */
const MfMember *mf_member_find (const MfCore *core, const char *name);
/* Sends over the link to that slot, opening one when needed; the message then waits for it a short
 * while. Returns false when it will not be sent. */
bool mf_member_send (MfCore *core, const char *name, const MfPeerMessage *message);
/* Sends to every neighbour that is linked. */
void mf_member_send_all (MfCore *core, const MfPeerMessage *message);
/* Takes in the published list, from the platform or from a peer; an older one is ignored. */
void mf_member_apply_list (MfCore *core, uint64_t index, const MfListedInstance *listed,
                           uint32_t n_listed);
/* Whether a member counts when one of the live ones is made responsible for something. */
bool mf_member_is_live (const MfMember *member);
/* How many live members, of one data centre or of all when it is NULL, go before this instance for
 * a subject. 0 makes this instance responsible. Costs a walk over all members. */
uint32_t mf_member_rank (const MfCore *core, uint64_t subject, const char *data_centre);
/* Whether this instance and the members it believes alive are a majority of those listed. */
bool mf_member_has_majority (const MfCore *core);
uint32_t mf_member_count (const MfCore *core);
/* When this process last noticed that it had been paused; 0 for never. */
uint64_t mf_member_paused_us (const MfCore *core);

#endif
