#ifndef MF_CLAIM_H
#define MF_CLAIM_H

#include "request.h"

/* Asks the cell of voters whether a keyed call may run; settled by mf_request_claim_settled. */
void mf_claim_begin (MfCore *core, uint64_t request_id, const uint8_t key[MF_DIGEST_BYTES],
                     uint64_t body_digest, uint64_t key_created_ms, uint64_t deadline_us);
/* The caller of a claim that is not settled has left. */
void mf_claim_cancel (MfCore *core, uint64_t request_id);
/* Whether a granted call may still be sent now; false after a pause longer than a grant is good
 * for. Asked in the same step that starts the call. */
bool mf_claim_may_send (MfCore *core, uint64_t request_id);
/* What became of a granted call. A call that certainly did not run is recorded as
 * MF_OUTCOME_NOT_RUN and its key may be claimed again. */
void mf_claim_finish (MfCore *core, uint64_t request_id, const MfClaimResult *result);

#endif
