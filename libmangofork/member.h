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
  MfOwner owner;
  char address[MF_ADDRESS_BYTES];
  char data_centre[MF_NAME_BYTES];
  MfMemberState state;
  uint32_t link_id; /* 0 when there is no link */
  uint64_t heard_us;
  bool listed;
  bool admitted; /* as a voter, as far as known */
} MfMember;

typedef bool (*MfMemberFunc) (const MfMember *member, void *data);

void mf_member_foreach (const MfCore *core, MfMemberFunc func, void *data);
/* Returns NULL when the slot is not known. */
const MfMember *mf_member_find (const MfCore *core, const char *name);
/* Sends over the link to that slot, opening one when needed; false when none is up yet. */
bool mf_member_send (MfCore *core, const char *name, const MfPeerMessage *message);
/* Sends to every linked peer. */
void mf_member_send_all (MfCore *core, const MfPeerMessage *message);

#endif
