#ifndef MF_EXPLAIN_H
#define MF_EXPLAIN_H

#include "buffer.h"
#include "core.h"

/* Adds the recorded steps of the requests of that name as a JSON object. Returns false and adds
 * nothing when there are none. */
bool mf_explain_render (const MfCore *core, const char *name, MfBuffer *out);

#endif
