#include "fakes.h"

uint64_t
fake_setting (json_object *settings, const char *key, uint64_t default_value)
{
  json_object *value = json_object_object_get (settings, key);

  return value == NULL ? default_value : json_object_get_uint64 (value);
}

const char *
fake_setting_text (json_object *settings, const char *key, const char *default_value)
{
  json_object *value = json_object_object_get (settings, key);

  return json_object_is_type (value, json_type_string) ? json_object_get_string (value)
                                                       : default_value;
}

void
fake_add_number (json_object *object, const char *key, uint64_t value)
{
  json_object_object_add (object, key, json_object_new_uint64 (value));
}

void
fake_add_text (json_object *object, const char *key, const char *value)
{
  json_object_object_add (object, key, json_object_new_string (value));
}
