#ifndef MF_PREFIX_H
#define MF_PREFIX_H

#include "request.h"

/* Returns how many tokens at the start of the request's prompt the upstream's cache holds, reduced
 * by the confidence in what is known of it. Hashes are salted by customer, so that no customer's
 * cache entries match another's requests. */
uint32_t mf_prefix_cached_tokens (const MfCore *core, uint32_t upstream, const MfRequest *request);
/* Records that the upstream has computed the request's prompt. */
void mf_prefix_add (MfCore *core, uint32_t upstream, const MfRequest *request);
/* Returns the number of the last cache event seen of the upstream; 0 for none. */
uint64_t mf_prefix_last_event (const MfCore *core, uint32_t upstream);
/* Removes all prefixes known of an upstream that has restarted, as its cache is empty. */
void mf_prefix_clear (MfCore *core, uint32_t upstream);

#endif
