#ifndef MF_RETRY_H
#define MF_RETRY_H

#include "request.h"

/* Each request of a service earns a share of a retry; a burst is kept for when an upstream dies. */
void mf_retry_earn (MfCore *core, uint32_t service);
bool mf_retry_may (MfCore *core, MfRequest *request, uint64_t *delay_us);
bool mf_retry_may_hedge (MfCore *core, uint32_t service);

#endif
