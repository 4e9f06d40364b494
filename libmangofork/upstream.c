#include "upstream.h"

#include "core.h"

#include <xxhash.h>
#include <string.h>

uint64_t
mf_hash_name (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

void
mf_upstream_apply_config (MfCore *core)
{
  (void)core;
}

uint32_t
mf_upstream_find (const MfCore *core, uint64_t name_hash)
{
  (void)core;
  (void)name_hash;
  return MF_NONE;
}

void
mf_upstream_note_leaving (MfCore *core, uint32_t upstream)
{
  (void)core;
  (void)upstream;
}

void
mf_upstream_note_dead (MfCore *core, uint32_t upstream, uint64_t incarnation)
{
  (void)core;
  (void)upstream;
  (void)incarnation;
}

const MfController mf_upstream_controller = { .name = "upstream" };
