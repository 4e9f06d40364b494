#ifndef MF_RETRY_H
#define MF_RETRY_H

#include "request.h"

/* Each request of a service earns a fraction of a retry. The budget holds a burst for the failure
 * of an upstream. */
void mf_retry_earn (MfCore *core, uint32_t service);
bool mf_retry_may (MfCore *core, MfRequest *request, uint64_t *delay_us);
bool mf_retry_may_hedge (MfCore *core, uint32_t service);

#endif
