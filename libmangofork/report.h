#ifndef MF_REPORT_H
#define MF_REPORT_H

#include "buffer.h"
#include "core.h"

/* Adds burn rates, counters and the series for plots as a JSON object. Returns false when memory
 * ran out. */
bool mf_report_render (const MfCore *core, MfBuffer *out);

#endif
