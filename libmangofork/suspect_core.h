#ifndef MF_SUSPECT_CORE_H
#define MF_SUSPECT_CORE_H

#include "request.h"
#include "suspect.h"

void mf_suspect_apply_report (MfCore *core, uint64_t digest, uint32_t n_crashes, bool quarantined);
bool mf_suspect_admit (MfCore *core, MfRequest *request);
void mf_suspect_call_failed (MfCore *core, MfRequest *request, uint32_t upstream);
void mf_suspect_upstream_crashed (MfCore *core, uint32_t upstream);
void mf_suspect_upstream_alive (MfCore *core, uint32_t upstream);
void mf_suspect_clear (MfCore *core, MfRequest *request);
uint32_t mf_suspect_count (const MfCore *core);
void mf_suspect_foreach (const MfCore *core, MfSuspectFunc func, void *data);

#endif
