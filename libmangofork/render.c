#include "render.h"

#include <inttypes.h>
#include <stdio.h>

void
mf_render_text (json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key, json_object_new_string (text));
}

void
mf_render_number (json_object *object, const char *key, uint64_t number)
{
  json_object_object_add (object, key, json_object_new_uint64 (number));
}

void
mf_render_real (json_object *object, const char *key, double number)
{
  char digits[32];

  snprintf (digits, sizeof digits, "%.3f", number);
  json_object_object_add (object, key, json_object_new_double_s (number, digits));
}

void
mf_render_bool (json_object *object, const char *key, bool value)
{
  json_object_object_add (object, key, json_object_new_boolean (value));
}

void
mf_render_hex (json_object *object, const char *key, uint64_t number)
{
  char digits[20];

  snprintf (digits, sizeof digits, "%" PRIx64, number);
  mf_render_text (object, key, digits);
}

void
mf_render_age (json_object *object, const char *key, const MfCore *core, uint64_t at_us)
{
  if (at_us == 0)
    json_object_object_add (object, key, NULL);
  else
    mf_render_real (object, key, (double)(core->board.now_us - at_us) / (double)MF_US_PER_S);
}

void
mf_render_code (json_object *object, MfCode code)
{
  const MfCodeInfo *info = mf_code_info (code);

  mf_render_number (object, "code", info->code);
  mf_render_text (object, "name", info->name);
  mf_render_text (object, "summary", info->summary);
}

void
mf_render_instance (json_object *object, const MfCore *core)
{
  const MfOptions *options = &core->board.options;
  json_object *instance = json_object_new_object ();

  mf_render_text (instance, "name", options->self.name);
  mf_render_hex (instance, "incarnation", options->self.incarnation);
  mf_render_text (instance, "data_centre", options->data_centre);
  mf_render_bool (instance, "ready", core->board.ready);
  mf_render_bool (instance, "draining", core->board.draining);
  mf_render_bool (instance, "votes", core->board.voter_admitted);
  mf_render_number (instance, "wall_ms", core->board.wall_ms);
  json_object_object_add (object, "instance", instance);
}

const char *
mf_render_upstream_name (const MfCore *core, uint32_t upstream)
{
  return upstream < core->board.n_upstreams ? core->board.upstreams[upstream].config.name : "none";
}

bool
mf_render_finish (json_object *object, MfBuffer *out)
{
  const char *text = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN);
  bool rendered = text != NULL;

  if (rendered)
    mf_buffer_add_text (out, text);
  json_object_put (object);
  return rendered && !out->failed;
}
