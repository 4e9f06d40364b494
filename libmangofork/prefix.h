#ifndef MF_PREFIX_H
#define MF_PREFIX_H

#include "request.h"

/* Tokens at the start of the request's prompt that the upstream's cache holds, as far as can be
 * trusted. Caches are salted by customer, so that none is found for another. */
uint32_t mf_prefix_cached_tokens (const MfCore *core, uint32_t upstream, const MfRequest *request);
/* The upstream has just computed the request's prompt. */
void mf_prefix_note (MfCore *core, uint32_t upstream, const MfRequest *request);
/* Number of the last cache event seen of it; 0 for none. */
uint64_t mf_prefix_last_event (const MfCore *core, uint32_t upstream);
/* The upstream restarted: its cache is empty. */
void mf_prefix_forget (MfCore *core, uint32_t upstream);

#endif
