#include "debt.h"

void
mf_debt_add (MfCore *core, uint32_t upstream, uint64_t call_id, uint32_t attempt)
{
  (void)core;
  (void)upstream;
  (void)call_id;
  (void)attempt;
}

void
mf_debt_add_owner (MfCore *core, uint32_t upstream, const MfOwner *owner)
{
  (void)core;
  (void)upstream;
  (void)owner;
}

uint32_t
mf_debt_count (const MfCore *core)
{
  (void)core;
  return 0;
}

const MfController mf_debt_controller = { .name = "debt" };
