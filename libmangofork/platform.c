#include "platform.h"

MfPlatform *
mf_platform_new (struct ev_loop *loop, const MfSettings *settings,
                 void (*on_event) (const MfEvent *event, void *data), void *data, MfError *error)
{
  (void)loop;
  (void)settings;
  (void)on_event;
  (void)data;
  mf_error_set (error, MF_CODE_INTERNAL, "not made yet");
  return NULL;
}

void
mf_platform_free (MfPlatform *platform)
{
  (void)platform;
}

void
mf_platform_read_text (MfPlatform *platform, uint64_t index)
{
  (void)platform;
  (void)index;
}

void
mf_platform_read_list (MfPlatform *platform, uint64_t index)
{
  (void)platform;
  (void)index;
}

uint64_t
mf_platform_calls (const MfPlatform *platform)
{
  (void)platform;
  return 0;
}
