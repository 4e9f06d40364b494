#include "settings.h"

#include "core.h"
#include "field.h"

#include <string.h>

#define HOUR_MS UINT64_C (3600000)
#define COUNT_MAX 1000000
#define BYTES_MAX (UINT64_C (1) << 30)

#define STRING_FIELD(key_, member_, min_, required_)                                               \
  {                                                                                                \
    .key = (key_), .type = MF_FIELD_STRING, .offset = offsetof (MfSettings, member_),              \
    .bytes = sizeof ((MfSettings *)0)->member_, .min = (min_), .required = (required_)             \
  }
#define ADDRESS_FIELD(key_, member_, required_)                                                    \
  {                                                                                                \
    .key = (key_), .type = MF_FIELD_ADDRESS, .offset = offsetof (MfSettings, member_),             \
    .bytes = MF_ADDRESS_BYTES, .min = 1, .required = (required_)                                   \
  }
#define NUMBER_FIELD(key_, type_, member_, min_, max_, scale_)                                     \
  {                                                                                                \
    .key = (key_), .type = (type_), .offset = offsetof (MfSettings, member_), .min = (min_),       \
    .max = (max_), .scale = (scale_)                                                               \
  }
#define MS_FIELD(key_, member_, min_)                                                              \
  NUMBER_FIELD (key_, MF_FIELD_U64, member_, min_, HOUR_MS, MF_US_PER_MS)

static const MfField platform_fields[] = {
  ADDRESS_FIELD ("address", platform, true),
  STRING_FIELD ("text_key", platform_text_key, 1, false),
  STRING_FIELD ("service", platform_service, 1, false),
  MS_FIELD ("period_ms", options.platform_period_us, 100),
  STRING_FIELD ("token_file", platform_token_file, 0, false),
};
static const MfFieldTable platform_table = { platform_fields, MF_ARRAY_LEN (platform_fields) };

static const MfField peers_fields[] = {
  ADDRESS_FIELD ("address", options.address, false),
  STRING_FIELD ("key_file", peer_key_file, 0, false),
  STRING_FIELD ("old_key_file", peer_key_old_file, 0, false),
  NUMBER_FIELD ("links_max", MF_FIELD_U32, options.links_max, 1, 64, 1),
  MS_FIELD ("digest_period_ms", options.digest_period_us, 10),
  NUMBER_FIELD ("digest_bytes_max", MF_FIELD_U32, options.digest_bytes_max, 256, 65536, 1),
};
static const MfFieldTable peers_table = { peers_fields, MF_ARRAY_LEN (peers_fields) };

static const MfField limits_fields[] = {
  NUMBER_FIELD ("requests_max", MF_FIELD_U32, options.requests_max, 1, COUNT_MAX, 1),
  NUMBER_FIELD ("header_bytes_max", MF_FIELD_U64, header_bytes_max, 1024, BYTES_MAX, 1),
  NUMBER_FIELD ("body_bytes_max", MF_FIELD_U64, body_bytes_max, 1024, BYTES_MAX, 1),
  NUMBER_FIELD ("answer_bytes_max", MF_FIELD_U64, answer_bytes_max, 1024, BYTES_MAX, 1),
  NUMBER_FIELD ("connections_max", MF_FIELD_U32, connections_max, 1, COUNT_MAX, 1),
  NUMBER_FIELD ("connections_per_address_max", MF_FIELD_U32, connections_per_address_max, 0,
                COUNT_MAX, 1),
  MS_FIELD ("slow_sender_ms", slow_sender_us, 100),
  NUMBER_FIELD ("caller_buffer_bytes", MF_FIELD_U64, caller_buffer_bytes, 1024, BYTES_MAX, 1),
};
static const MfFieldTable limits_table = { limits_fields, MF_ARRAY_LEN (limits_fields) };

static const MfField drain_fields[] = {
  MS_FIELD ("grace_ms", options.drain_grace_us, 0),
  MS_FIELD ("limit_ms", options.drain_limit_us, 0),
};
static const MfFieldTable drain_table = { drain_fields, MF_ARRAY_LEN (drain_fields) };

static const MfField settings_fields[] = {
  STRING_FIELD ("name", options.self.name, 1, true),
  STRING_FIELD ("data_centre", options.data_centre, 1, true),
  ADDRESS_FIELD ("listen", listen, true),
  ADDRESS_FIELD ("admin", admin, true),
  ADDRESS_FIELD ("peer", peer, true),
  { .key = "platform", .type = MF_FIELD_OBJECT, .members = &platform_table, .required = true },
  { .key = "peers", .type = MF_FIELD_OBJECT, .members = &peers_table },
  { .key = "limits", .type = MF_FIELD_OBJECT, .members = &limits_table },
  { .key = "drain", .type = MF_FIELD_OBJECT, .members = &drain_table },
  MS_FIELD ("load_period_ms", options.load_period_us, 10),
  MS_FIELD ("cold_start_ms", options.cold_start_us, 0),
  STRING_FIELD ("log_level", log_level, 1, false),
};
static const MfFieldTable settings_table = { settings_fields, MF_ARRAY_LEN (settings_fields) };

/* Sets the documented defaults. */
static void
settings_default (MfSettings *settings)
{
  *settings = (MfSettings){
    .platform_text_key = "mangofork/text",
    .platform_service = "mangofork",
    .log_level = "info",
    .header_bytes_max = 16384,
    .body_bytes_max = 4194304,
    .answer_bytes_max = 4194304,
    .connections_max = 4096,
    .slow_sender_us = 10 * MF_US_PER_S,
    .caller_buffer_bytes = 65536,
  };
  mf_core_options (&settings->options);
}

static bool
log_level_is_known (const char *level)
{
  static const char *const levels[] = { "trace", "debug", "info", "notice", "warn", "error" };

  for (size_t i = 0; i < MF_ARRAY_LEN (levels); i++)
    {
      if (strcmp (levels[i], level) == 0)
        return true;
    }
  return false;
}

/* Parses and checks the settings. Reports every fault to on_fault and returns false when there is
 * any. */
bool
mf_settings_parse (const char *text, size_t text_bytes, MfSettings *settings, MfFaultFunc on_fault,
                   void *data)
{
  MfJsonc *jsonc = mf_jsonc_new (text, text_bytes);
  bool good;

  if (jsonc == NULL)
    return false;
  settings_default (settings);
  if (mf_jsonc_root (jsonc) != NULL)
    mf_field_read (jsonc, "", mf_jsonc_root (jsonc), &settings_table, 0, settings);
  if (!log_level_is_known (settings->log_level))
    mf_jsonc_fault (jsonc, "log_level", MF_CODE_TEXT_RANGE,
                    "\"log_level\" is not one of trace, debug, info, notice, warn, error");
  if (settings->options.drain_limit_us < settings->options.drain_grace_us)
    mf_jsonc_fault (jsonc, "drain", MF_CODE_TEXT_RANGE, "\"limit_ms\" is below \"grace_ms\"");
  if (settings->options.address[0] == '\0')
    mf_name_set (settings->options.address, sizeof settings->options.address, settings->peer);
  good = mf_jsonc_report (jsonc, on_fault, data) == 0;
  mf_jsonc_free (jsonc);
  return good;
}
