#ifndef MF_HEALTH_H
#define MF_HEALTH_H

#include "core.h"

struct MfHealthState
{
  uint32_t n_died; /* upstreams found dead in this step */
  uint64_t next_check_us;
};

/* What the detectors are told. */
void mf_health_note_poll (MfCore *core, uint32_t upstream, const MfEvent *event);
void mf_health_note_load (MfCore *core, uint32_t upstream, const MfLoadEvent *load);
/* A call on it ended; slow when it took far longer than it should have. */
void mf_health_note_call (MfCore *core, uint32_t upstream, const MfEvent *event);
/* A time between two tokens of one of its streams. */
void mf_health_note_gap (MfCore *core, uint32_t upstream, uint64_t gap_us);
void mf_health_note_prefill (MfCore *core, uint32_t upstream, uint64_t n_tokens, uint64_t taken_us);
/* Its link carried a KV; or held one up past its life. */
void mf_health_note_transfer (MfCore *core, uint32_t upstream, uint64_t n_bytes, uint64_t taken_us);
void mf_health_note_transfer_stall (MfCore *core, uint32_t upstream);
/* Time to a plain answer. */
void mf_health_note_answer (MfCore *core, uint32_t upstream, uint64_t answer_us);
/* A call of this instance gave no sign of life for too long. */
void mf_health_note_stall (MfCore *core, uint32_t upstream);
/* A pool that has lost its last usable upstream takes back those that were only suspected. */
void mf_health_readmit_ejected (MfCore *core, uint32_t pool);
/* Share of full weight for new work, in parts of a million. */
uint32_t mf_health_weight_ppm (const MfCore *core, uint32_t upstream);

#endif
