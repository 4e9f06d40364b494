#include "member.h"

void
mf_member_foreach (const MfCore *core, MfMemberFunc func, void *data)
{
  (void)core;
  (void)func;
  (void)data;
}

const MfMember *
mf_member_find (const MfCore *core, const char *name)
{
  (void)core;
  (void)name;
  return NULL;
}

bool
mf_member_send (MfCore *core, const char *name, const MfPeerMessage *message)
{
  (void)core;
  (void)name;
  (void)message;
  return false;
}

void
mf_member_send_all (MfCore *core, const MfPeerMessage *message)
{
  (void)core;
  (void)message;
}

const MfController mf_member_controller = { .name = "member" };
