#ifndef MF_METRICS_H
#define MF_METRICS_H

#include "buffer.h"
#include "core.h"

/* Adds all counters and gauges in Prometheus' text format. Returns false when memory ran out. */
bool mf_metrics_render (const MfCore *core, MfBuffer *out);

#endif
