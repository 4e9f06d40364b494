#include "fuzz.h"

#include "platform/platform.h"

#include <stdlib.h>

/* An upstream's entry is either refused with an error, or names an upstream that can be used. */
int
fuzz_entry (const uint8_t *data, size_t n_bytes)
{
  MfError error = { 0 };
  MfTargetInfo info;
  bool is_usable = platform_decode_upstream ("i-1", (const char *)data, n_bytes, &info, &error);

  if (is_usable == mf_error_is_set (&error)
      || (is_usable
          && (info.service[0] == '\0' || info.address[0] == '\0' || info.version[0] == '\0'
              || info.role >= MF_ROLE_COUNT)))
    abort ();
  return 0;
}
