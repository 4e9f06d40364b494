#ifndef MF_MEMBER_H
#define MF_MEMBER_H

#include "core.h"

/* The state of another instance as this one sees it. */
typedef enum
{
  MF_MEMBER_ALIVE,
  MF_MEMBER_SUSPECT,
  MF_MEMBER_DEAD,
  MF_MEMBER_LEAVING,
} MfMemberState;

typedef struct
{
  MfInstanceId id;
  char address[MF_ADDRESS_BYTES];
  char data_centre[MF_NAME_BYTES];
  MfMemberState state;
  uint32_t link_id; /* 0 when not connected */
  uint64_t last_seen_us;
  bool listed;
  bool admitted; /* as a voter, as last reported */
} MfMember;

typedef bool (*MfMemberFunc) (const MfMember *member, void *data);

void mf_member_foreach (const MfCore *core, MfMemberFunc func, void *data);
const MfMember *mf_member_find (const MfCore *core, const char *name);
bool mf_member_send (MfCore *core, const char *name, const MfPeerMessage *message);
void mf_member_send_all (MfCore *core, const MfPeerMessage *message);
void mf_member_apply_list (MfCore *core, uint64_t index, const MfListedInstance *listed,
                           uint32_t n_listed);
bool mf_member_is_live (const MfMember *member);
uint32_t mf_member_rank (const MfCore *core, uint64_t subject, const char *data_centre);
bool mf_member_has_majority (const MfCore *core);
uint32_t mf_member_count (const MfCore *core);
uint64_t mf_member_paused_us (const MfCore *core);

#endif
