#ifndef MF_RATE_H
#define MF_RATE_H

#include "types.h"

/* Rates and amounts are counted in millionths of a unit. */
#define MF_RATE_MICRO UINT64_C (1000000)
/* Units a second; a higher rate counts as no limit. */
#define MF_RATE_MAX UINT64_C (10000)

#endif
