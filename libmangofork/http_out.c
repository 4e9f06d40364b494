#include "http_out.h"

MfHttpOut *
mf_http_out_new (struct ev_loop *loop, const MfHttpOutHooks *hooks, void *data, MfError *error)
{
  (void)loop;
  (void)hooks;
  (void)data;
  mf_error_set (error, MF_CODE_INTERNAL, "not made yet");
  return NULL;
}

void
mf_http_out_free (MfHttpOut *out)
{
  (void)out;
}

void
mf_http_out_start (MfHttpOut *out, const MfCallAction *call, const MfCallMaterial *material)
{
  (void)out;
  (void)call;
  (void)material;
}

void
mf_http_out_abort (MfHttpOut *out, uint64_t call_id)
{
  (void)out;
  (void)call_id;
}

void
mf_http_out_hold (MfHttpOut *out, uint64_t call_id, bool hold)
{
  (void)out;
  (void)call_id;
  (void)hold;
}

void
mf_http_out_forget (MfHttpOut *out, uint64_t call_id)
{
  (void)out;
  (void)call_id;
}

uint32_t
mf_http_out_count (const MfHttpOut *out)
{
  (void)out;
  return 0;
}
