#ifndef MF_GUARDIAN_H
#define MF_GUARDIAN_H

#include "member_row.h"

/* Chooses the neighbours that pay this instance's debts when it dies. */
void mf_guardian_choose (MfCore *core);
/* Remembers which upstreams a neighbour holds work on, when it made us its guardian. */
void mf_guardian_record_work (MfCore *core, MfMemberRow *row, const MfDigestMessage *digest);
/* Owes the upstreams the release of what a dead incarnation of a slot held. */
void mf_guardian_instance_died (MfCore *core, MfMemberRow *row, uint64_t incarnation);
void mf_guardian_clear (MfMemberRow *row);

#endif
