#include "share.h"

uint32_t
mf_share_limit (const MfCore *core, uint32_t upstream)
{
  return core->board.upstreams[upstream].config.slots;
}

void
mf_share_want (MfCore *core, uint32_t upstream, uint32_t n_slots)
{
  (void)core;
  (void)upstream;
  (void)n_slots;
}

const MfController mf_share_controller = { .name = "share" };
