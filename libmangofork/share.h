#ifndef MF_SHARE_H
#define MF_SHARE_H

#include "core.h"

/* Returns how many of an upstream's slots this instance may use at once, given the slots
 * that the other instances use and request; at least 1. */
uint32_t mf_share_limit (const MfCore *core, uint32_t upstream);
/* Sets how many of the upstream's slots this instance would use if it were not limited. */
void mf_share_set_demand (MfCore *core, uint32_t upstream, uint32_t n_slots);
/* Writes at most max of this instance's own shares into a digest: changed ones first, then the
 * others in rotation. */
void mf_share_fill (MfCore *core, MfDigestMessage *digest, uint32_t max);

#endif
