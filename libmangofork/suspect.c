#include "suspect.h"

void
mf_suspect_note (MfCore *core, uint64_t digest, uint32_t n_deaths, bool convicted)
{
  (void)core;
  (void)digest;
  (void)n_deaths;
  (void)convicted;
}

const MfController mf_suspect_controller = { .name = "suspect" };
