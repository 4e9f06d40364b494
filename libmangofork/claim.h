#ifndef MF_CLAIM_H
#define MF_CLAIM_H

#include "request.h"

void mf_claim_begin (MfCore *core, uint64_t request_id, const uint8_t key[MF_DIGEST_BYTES],
                     uint64_t body_digest, uint64_t key_created_ms, uint64_t deadline_us);
void mf_claim_cancel (MfCore *core, uint64_t request_id);
bool mf_claim_may_send (MfCore *core, uint64_t request_id);
void mf_claim_finish (MfCore *core, uint64_t request_id, const MfClaimResult *result);

#endif
