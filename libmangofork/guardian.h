#ifndef MF_GUARDIAN_H
#define MF_GUARDIAN_H

#include "member_row.h"

/* Guardians of an instance are neighbours that cancel its work at the upstreams when it dies, so
 * that slots and KV memory are freed. */

void mf_guardian_choose (MfCore *core);
void mf_guardian_record_work (MfCore *core, MfMemberRow *row, const MfDigestMessage *digest);
void mf_guardian_instance_died (MfCore *core, MfMemberRow *row, uint64_t incarnation);
void mf_guardian_clear (MfMemberRow *row);

#endif
