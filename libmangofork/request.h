#ifndef MF_REQUEST_H
#define MF_REQUEST_H

#include "core.h"

/* Where a request is. */
typedef enum
{
  MF_PHASE_QUEUED,
  MF_PHASE_CLAIMING, /* a keyed call waits for votes or for its earlier run */
  MF_PHASE_PREFILLING,
  MF_PHASE_TRANSFERRING,
  MF_PHASE_DECODING,
  MF_PHASE_RESUMING,
  MF_PHASE_CONNECTING, /* plain: no byte can have left */
  MF_PHASE_SENT,       /* plain: the upstream may have the call */
  MF_PHASE_ENDED,
  MF_PHASE_COUNT,
} MfPhase;

const char *mf_phase_name (MfPhase phase);

/* What the claim controller found for a keyed call. */
typedef enum
{
  MF_CLAIM_GRANTED,   /* run it, once */
  MF_CLAIM_ANSWERED,  /* an earlier run's recorded answer is in the result */
  MF_CLAIM_UNKNOWN,   /* an earlier run's fate is unknown */
  MF_CLAIM_NO_QUORUM, /* too few votes; nothing ran on behalf of this request */
  MF_CLAIM_BODY_DIFFERS,
  MF_CLAIM_TOO_OLD,
} MfClaimVerdict;

typedef struct
{
  MfClaimVerdict verdict;
  uint16_t status;
  MfCode code;
  MfOutcome outcome;
  const char *content_type;
  const char *body;
  size_t body_bytes;
} MfClaimResult;

/* Called by the claim controller when a claim begun with mf_claim_begin is settled. May be called
 * before mf_claim_begin returns. */
void mf_request_claim_settled (MfCore *core, uint64_t request_id, const MfClaimResult *result);

#endif
