#ifndef MF_CANCEL_H
#define MF_CANCEL_H

#include "core.h"

/* Cancels that the upstreams have not confirmed yet. A cancel is sent again until the upstream
 * confirms it, so that no aborted call keeps its slot or KV memory. */

void mf_cancel_add (MfCore *core, uint32_t upstream, uint64_t request_id, uint64_t call_id,
                    uint32_t attempt);
void mf_cancel_add_instance (MfCore *core, uint32_t upstream, const MfInstanceId *instance);
void mf_cancel_upstream_restarted (MfCore *core, uint32_t upstream);
uint32_t mf_cancel_count (const MfCore *core);

#endif
