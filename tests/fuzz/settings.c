#include "fuzz.h"

#include "platform/platform.h"

#include <stdlib.h>
#include <string.h>

static bool
parse (const uint8_t *data, size_t n_bytes, MfRelaySettings *settings, MfSettingFaults *faults)
{
  MfError error = { 0 };
  bool is_usable = platform_settings_parse ((const char *)data, n_bytes, settings, faults, &error);

  if (is_usable == mf_error_is_set (&error))
    abort ();
  return is_usable;
}

/* Settings are either usable, with all that is required, or refused with an error and unchanged.
 * What a text means does not depend on what was read before. */
int
fuzz_settings (const uint8_t *data, size_t n_bytes)
{
  MfRelaySettings settings;
  MfRelaySettings again;
  MfRelaySettings before;
  MfSettingFaults faults = { 0 };
  MfSettingFaults faults_again = { 0 };

  memset (&settings, 0, sizeof settings);
  memset (&again, 0xff, sizeof again);
  before = again;
  if (!parse (data, n_bytes, &settings, &faults))
    {
      if (parse (data, n_bytes, &again, &faults_again)
          || memcmp (&again, &before, sizeof again) != 0)
        abort ();
      return 0;
    }
  if (settings.name[0] == '\0' || settings.listen[0] == '\0' || settings.store[0] == '\0'
      || settings.grace_us == 0 || settings.recovery_us == 0 || settings.change_bound_us == 0
      || !(settings.retry_ratio >= 0.))
    abort ();
  if (!parse (data, n_bytes, &again, &faults_again)
      || memcmp (&settings, &again, sizeof settings) != 0
      || faults.n_faults != faults_again.n_faults)
    abort ();
  return 0;
}

#ifdef FUZZ_SETTINGS
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes)
{
  return fuzz_settings (data, n_bytes);
}
#endif
