#ifndef MF_HEALTH_H
#define MF_HEALTH_H

#include "core.h"

struct MfHealthState
{
  uint32_t n_died;        /* upstreams found dead in this step */
  uint64_t next_check_us; /* time of the next periodic check */
};

/* Failure detection. Each function reports one observation of an upstream. */
void mf_health_note_poll (MfCore *core, uint32_t upstream, const MfEvent *event);
void mf_health_note_load (MfCore *core, uint32_t upstream, const MfLoadEvent *load);
void mf_health_note_call (MfCore *core, uint32_t upstream, const MfEvent *event);
void mf_health_note_gap (MfCore *core, uint32_t upstream, uint64_t gap_us);
void mf_health_note_prefill (MfCore *core, uint32_t upstream, uint64_t n_tokens, uint64_t taken_us);
void mf_health_note_transfer (MfCore *core, uint32_t upstream, uint64_t n_bytes, uint64_t taken_us);
void mf_health_note_transfer_stall (MfCore *core, uint32_t upstream);
void mf_health_note_answer (MfCore *core, uint32_t upstream, uint64_t answer_us);
void mf_health_note_stall (MfCore *core, uint32_t upstream);
void mf_health_readmit_ejected (MfCore *core, uint32_t pool);
uint32_t mf_health_weight_ppm (const MfCore *core, uint32_t upstream);

#endif
