#include "trace.h"

#include <stdlib.h>

struct MfTrace
{
  uint32_t n_steps;
};

MfTrace *
mf_trace_new (uint32_t n_steps)
{
  MfTrace *trace = calloc (1, sizeof *trace);

  if (trace != NULL)
    trace->n_steps = n_steps;
  return trace;
}

void
mf_trace_free (MfTrace *trace)
{
  free (trace);
}

void
mf_trace_note (MfTrace *trace, const MfTraceStep *step)
{
  (void)trace;
  (void)step;
}

void
mf_trace_name (MfTrace *trace, uint64_t request_id, const char *name)
{
  (void)trace;
  (void)request_id;
  (void)name;
}

bool
mf_trace_foreach (const MfTrace *trace, const char *name, MfTraceFunc func, void *data)
{
  (void)trace;
  (void)name;
  (void)func;
  (void)data;
  return false;
}
