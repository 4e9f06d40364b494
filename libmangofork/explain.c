#include "explain.h"

bool
mf_explain_render (const MfCore *core, const char *name, MfBuffer *out)
{
  (void)core;
  (void)name;
  (void)out;
  return false;
}
