#include "status.h"

bool
mf_status_render (const MfCore *core, MfBuffer *out)
{
  (void)core;
  mf_buffer_add_text (out, "");
  return !out->failed;
}
