#include "request.h"

const char *
mf_phase_name (MfPhase phase)
{
  static const char *const names[MF_PHASE_COUNT] = {
    [MF_PHASE_QUEUED] = "queued",         [MF_PHASE_CLAIMING] = "claiming",
    [MF_PHASE_PREFILLING] = "prefilling", [MF_PHASE_TRANSFERRING] = "transferring",
    [MF_PHASE_DECODING] = "decoding",     [MF_PHASE_RESUMING] = "resuming",
    [MF_PHASE_CONNECTING] = "connecting", [MF_PHASE_SENT] = "sent",
    [MF_PHASE_ENDED] = "ended",
  };

  return phase < MF_PHASE_COUNT ? names[phase] : "none";
}

void
mf_request_claim_settled (MfCore *core, uint64_t request_id, const MfClaimResult *result)
{
  (void)core;
  (void)request_id;
  (void)result;
}

const MfController mf_request_controller = { .name = "request" };
