#ifndef MF_DIGEST_H
#define MF_DIGEST_H

#include "core.h"

/* Sends digests at the end of this step instead of at the next period, as often as the rate of
 * urgent digests allows. */
void mf_digest_schedule_urgent (MfCore *core);

#endif
