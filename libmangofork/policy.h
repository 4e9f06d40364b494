#ifndef MF_POLICY_H
#define MF_POLICY_H

#include "request.h"

typedef enum
{
  MF_PLACE_FOUND,
  MF_PLACE_WAIT, /* no capacity now */
} MfPlaceResult;

typedef struct MfPlacement
{
  uint32_t prefill;
  uint32_t decode; /* MF_NONE: chosen when the prefill is done */
  uint64_t ttft_us;
} MfPlacement;

/* A policy decides where and when requests run. */
struct MfPolicy
{
  const char *name;
  bool queues;  /* requests wait here for capacity; otherwise they are sent at once */
  bool resumes; /* failed streams are resumed at the same engine */
  bool hedges;
  bool isolates; /* suspects run on separate upstreams */
  MfPlaceResult (*place_model) (MfCore *core, MfRequest *request, MfPlacement *placement);
  /* Returns the decode engine for a waiting KV, or MF_NONE if none has capacity now. */
  uint32_t (*place_decode) (MfCore *core, MfRequest *request);
  /* Returns whether there is capacity that requests still on time will not need. */
  bool (*has_spare_slots) (MfCore *core, const MfRequest *request);
  /* Returns MF_NONE if no upstream has capacity now. */
  uint32_t (*place_plain) (MfCore *core, MfRequest *request);
  /* Returns whether one more retry is allowed, and sets its delay. */
  bool (*may_retry) (MfCore *core, MfRequest *request, uint64_t *delay_us);
  /* Returns the time from placement to the first token without queueing. */
  uint64_t (*unloaded_us) (const MfCore *core, const MfRequest *request);
};

extern const MfPolicy mf_place_policy; /* place.c */
extern const MfPolicy mf_naive_policy; /* naive.c */

const MfPolicy *mf_policy (const MfCore *core);

#endif
