#include "claim.h"

void
mf_claim_begin (MfCore *core, uint64_t request_id, const uint8_t key[MF_DIGEST_BYTES],
                uint64_t body_digest, uint64_t minted_ms, uint64_t deadline_us)
{
  MfClaimResult result = { .verdict = MF_CLAIM_NO_QUORUM };

  (void)key;
  (void)body_digest;
  (void)minted_ms;
  (void)deadline_us;
  mf_request_claim_settled (core, request_id, &result);
}

void
mf_claim_drop (MfCore *core, uint64_t request_id)
{
  (void)core;
  (void)request_id;
}

bool
mf_claim_may_send (MfCore *core, uint64_t request_id)
{
  (void)core;
  (void)request_id;
  return false;
}

void
mf_claim_finish (MfCore *core, uint64_t request_id, const MfClaimResult *result)
{
  (void)core;
  (void)request_id;
  (void)result;
}

const MfController mf_claim_controller = { .name = "claim" };
