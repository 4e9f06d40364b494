#ifndef MF_STATUS_H
#define MF_STATUS_H

#include "buffer.h"
#include "core.h"

/* Adds the current state as a JSON object: configuration, services, upstreams, instances and
 * suspect requests. Returns false when memory ran out. */
bool mf_status_render (const MfCore *core, MfBuffer *out);

#endif
