#ifndef MF_SUSPECT_H
#define MF_SUSPECT_H

#include "core.h"

/* What another instance saw of a request that may kill upstreams. */
void mf_suspect_note (MfCore *core, uint64_t digest, uint32_t n_deaths, bool convicted);

#endif
