#ifndef MF_DIGEST_H
#define MF_DIGEST_H

#include "core.h"

void mf_digest_schedule_urgent (MfCore *core);

#endif
