#ifndef MF_LIMIT_H
#define MF_LIMIT_H

#include "request.h"

/* Counts one more request of the customer. Returns false if a limit is reached, with the time after
 * which the caller may retry. */
bool mf_limit_acquire (MfCore *core, uint32_t customer, uint64_t *retry_after_ms);
void mf_limit_release (MfCore *core, const MfRequest *request);

#endif
