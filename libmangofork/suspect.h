#ifndef MF_SUSPECT_H
#define MF_SUSPECT_H

#include "request.h"

/* What another instance saw of a request that may kill upstreams. */
void mf_suspect_note (MfCore *core, uint64_t digest, uint32_t n_deaths, bool convicted);
/* A request has arrived: what is known of its digest is put on it. Returns whether it may run. */
bool mf_suspect_admit (MfCore *core, MfRequest *request);
/* A call of the request broke, as it would when its upstream died. */
void mf_suspect_broken (MfCore *core, MfRequest *request, uint32_t upstream);
/* The upstream is known to have died: what broke there just before is suspected of it. */
void mf_suspect_upstream_died (MfCore *core, uint32_t upstream);
/* The upstream lives on: what broke there broke of something else. */
void mf_suspect_upstream_lives (MfCore *core, uint32_t upstream);
/* The request got further than where its upstream died, or was answered. */
void mf_suspect_clear (MfCore *core, MfRequest *request);
uint32_t mf_suspect_count (const MfCore *core);

typedef bool (*MfSuspectFunc) (uint64_t digest, uint32_t n_deaths, bool convicted, uint64_t at_us,
                               void *data);

/* Calls func for each digest that is suspected or convicted, until it returns false. */
void mf_suspect_foreach (const MfCore *core, MfSuspectFunc func, void *data);

#endif
