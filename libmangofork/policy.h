#ifndef MF_POLICY_H
#define MF_POLICY_H

#include "request.h"

typedef enum
{
  MF_PLACE_FOUND,
  MF_PLACE_WAIT, /* no room now */
} MfPlaceResult;

typedef struct MfPlacement
{
  uint32_t prefill;
  uint32_t decode; /* MF_NONE: chosen when the prefill is done */
  uint64_t ttft_us;
} MfPlacement;

/* What a way of deciding decides. */
struct MfPolicy
{
  const char *name;
  bool queues;  /* requests wait for room here; else they go to an engine at once */
  bool resumes; /* broken streams go on where they stopped at the same engine */
  bool hedges;
  bool isolates; /* suspects run apart */
  MfPlaceResult (*place_model) (MfCore *core, MfRequest *request, MfPlacement *placement);
  /* Where to decode a prefill that waits; MF_NONE: nowhere now. */
  uint32_t (*place_decode) (MfCore *core, MfRequest *request);
  /* Whether there is room to spare, that requests in time will not need. */
  bool (*has_spare) (MfCore *core, const MfRequest *request);
  /* MF_NONE: nowhere now. */
  uint32_t (*place_plain) (MfCore *core, MfRequest *request);
  /* Whether one more try may be made, and after how long. */
  bool (*may_retry) (MfCore *core, MfRequest *request, uint64_t *delay_us);
  /* Time from placement to the first token when nothing waits. */
  uint64_t (*unloaded_us) (const MfCore *core, const MfRequest *request);
};

extern const MfPolicy mf_place_policy; /* place.c */
extern const MfPolicy mf_naive_policy; /* naive.c */

const MfPolicy *mf_policy (const MfCore *core);

#endif
