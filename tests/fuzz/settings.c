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

static bool
settings_are_equal (const MfRelaySettings *a, const MfRelaySettings *b)
{
  return strcmp (a->name, b->name) == 0 && strcmp (a->data_centre, b->data_centre) == 0
         && strcmp (a->listen, b->listen) == 0 && strcmp (a->readiness, b->readiness) == 0
         && strcmp (a->metrics, b->metrics) == 0 && strcmp (a->peers, b->peers) == 0
         && strcmp (a->seeds, b->seeds) == 0 && strcmp (a->store, b->store) == 0
         && a->memory_bytes == b->memory_bytes && a->files_max == b->files_max
         && a->change_bound_us == b->change_bound_us && a->config_apply_us == b->config_apply_us
         && a->revoke_us == b->revoke_us && a->revokes_at_once == b->revokes_at_once
         && a->registration_us == b->registration_us && a->recovery_us == b->recovery_us
         && a->grace_us == b->grace_us && a->retry_ratio == b->retry_ratio
         && a->retry_window_us == b->retry_window_us && a->retry_slack == b->retry_slack
         && a->orders_fenced == b->orders_fenced && a->order_interval_us == b->order_interval_us
         && a->quota_window_us == b->quota_window_us && a->quota_overage == b->quota_overage
         && a->quota_slack == b->quota_slack;
}

/* Settings are either usable, with all that is required, or refused with an error and unchanged.
 * What a text means does not depend on what was read before. */
int
fuzz_settings (const uint8_t *data, size_t n_bytes)
{
  static const MfRelaySettings before = { .name = "before", .grace_us = 1, .retry_ratio = 2. };
  MfRelaySettings settings = { 0 };
  MfRelaySettings again = before;
  MfSettingFaults faults = { 0 };
  MfSettingFaults faults_again = { 0 };

  if (!parse (data, n_bytes, &settings, &faults))
    {
      if (parse (data, n_bytes, &again, &faults_again) || !settings_are_equal (&again, &before))
        abort ();
      return 0;
    }
  if (settings.name[0] == '\0' || settings.listen[0] == '\0' || settings.store[0] == '\0'
      || settings.grace_us == 0 || settings.recovery_us == 0 || settings.change_bound_us == 0
      || !(settings.retry_ratio >= 0.))
    abort ();
  if (!parse (data, n_bytes, &again, &faults_again) || !settings_are_equal (&settings, &again)
      || faults.n_faults != faults_again.n_faults)
    abort ();
  return 0;
}
