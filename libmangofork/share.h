#ifndef MF_SHARE_H
#define MF_SHARE_H

#include "core.h"

/* How many of an upstream's slots this instance may hold at once, from what the others use and
 * want. At least 1. */
uint32_t mf_share_limit (const MfCore *core, uint32_t upstream);
/* Says how many slots this instance would use of it if it had them. */
void mf_share_want (MfCore *core, uint32_t upstream, uint32_t n_slots);
/* Writes at most max of this instance's own shares into a digest: those that changed first, the
 * others in turn. */
void mf_share_fill (MfCore *core, MfDigestMessage *digest, uint32_t max);

#endif
