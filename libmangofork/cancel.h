#ifndef MF_CANCEL_H
#define MF_CANCEL_H

#include "core.h"

/* Owes the upstream a cancel of one call; repeated until confirmed or the upstream restarted. */
void mf_cancel_add (MfCore *core, uint32_t upstream, uint64_t request_id, uint64_t call_id,
                    uint32_t attempt);
/* Owes the upstream a cancel of all that a dead incarnation of an instance held there. */
void mf_cancel_add_instance (MfCore *core, uint32_t upstream, const MfInstanceId *owner);
/* The upstream has a new incarnation: what it held is gone, and nothing is owed to it. */
void mf_cancel_upstream_restarted (MfCore *core, uint32_t upstream);
uint32_t mf_cancel_count (const MfCore *core);

#endif
