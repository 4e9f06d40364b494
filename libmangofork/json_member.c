#include "json_member.h"

#include <string.h>

/* Nesting limit of JSON texts; upstream entries and configurations need less. */
#define DEPTH_MAX 16

/* Parses a JSON object. Returns NULL with error set when the text is anything else. */
json_object *
mf_json_object_read (const char *text, size_t text_bytes, MfError *error)
{
  json_tokener *tokener = json_tokener_new_ex (DEPTH_MAX);
  json_object *root = NULL;

  if (tokener != NULL && text_bytes > 0 && text_bytes < INT32_MAX)
    {
      json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
      root = json_tokener_parse_ex (tokener, text, (int)text_bytes);
      if (json_tokener_get_error (tokener) != json_tokener_success
          || json_tokener_get_parse_end (tokener) != text_bytes)
        {
          json_object_put (root);
          root = NULL;
        }
    }
  if (tokener != NULL)
    json_tokener_free (tokener);
  if (!json_object_is_type (root, json_type_object))
    {
      json_object_put (root);
      mf_error_set (error, MF_CODE_TEXT_SYNTAX, "not a JSON object");
      return NULL;
    }
  return root;
}

/* Returns the string member of this key, or NULL when there is none or it contains a NUL. */
const char *
mf_json_text (json_object *object, const char *key)
{
  json_object *value = NULL;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string)
      || strlen (json_object_get_string (value)) != (size_t)json_object_get_string_len (value))
    return NULL;
  return json_object_get_string (value);
}

/* Reads the number member of this key, multiplied by scale. Returns false when it is missing,
 * negative or too large. */
bool
mf_json_number (json_object *object, const char *key, double scale, uint64_t *number)
{
  json_object *value = NULL;
  double real;

  if (!json_object_object_get_ex (object, key, &value)
      || (!json_object_is_type (value, json_type_int)
          && !json_object_is_type (value, json_type_double)))
    return false;
  real = json_object_get_double (value) * scale;
  if (!(real >= 0.) || real > 1e18)
    return false;
  *number = (uint64_t)real;
  return true;
}

/* The same, with a fallback in place of false. */
uint64_t
mf_json_number_or (json_object *object, const char *key, double scale, uint64_t fallback)
{
  uint64_t number = fallback;

  return mf_json_number (object, key, scale, &number) ? number : fallback;
}

/* Whether the member of this key is true; anything else counts as false. */
bool
mf_json_bool (json_object *object, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value)
         && json_object_is_type (value, json_type_boolean) && json_object_get_boolean (value);
}
