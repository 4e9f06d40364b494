#include "field.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <sodium.h>

void
mf_path_member (char dst[MF_PATH_BYTES], const char *path, const char *key)
{
  size_t path_bytes = strnlen (path, MF_PATH_BYTES - 1);
  size_t key_bytes = strlen (key);

  memcpy (dst, path, path_bytes);
  if (path_bytes > 0 && key_bytes > 0 && path_bytes < MF_PATH_BYTES - 1)
    dst[path_bytes++] = '.';
  if (key_bytes > MF_PATH_BYTES - 1 - path_bytes)
    key_bytes = MF_PATH_BYTES - 1 - path_bytes;
  memcpy (dst + path_bytes, key, key_bytes);
  dst[path_bytes + key_bytes] = '\0';
}

void
mf_path_element (char dst[MF_PATH_BYTES], const char *path, const char *key, size_t index)
{
  const char *dot = path[0] != '\0' && key[0] != '\0' ? "." : "";
  int len = snprintf (dst, MF_PATH_BYTES, "%s%s%s[%zu]", path, dot, key, index);

  if (len < 0)
    dst[0] = '\0';
}

/* Whether two keys differ only in the unit after the last underscore, such as deadline_s and
 * deadline_ms. */
static bool
differs_in_unit (const char *a, const char *b)
{
  const char *end_a = strrchr (a, '_');
  const char *end_b = strrchr (b, '_');

  if (end_b == NULL)
    return false;
  if (end_a == NULL)
    return strlen (a) == (size_t)(end_b - b) && strncmp (a, b, strlen (a)) == 0;
  return end_a - a == end_b - b && strncmp (a, b, (size_t)(end_a - a)) == 0;
}

static void
report_unknown (MfJsonc *jsonc, const char *path, const char *key, const MfFieldTable *table,
                uint32_t kind)
{
  for (uint32_t i = 0; i < table->n_fields; i++)
    {
      const MfField *field = &table->fields[i];

      if (strcmp (field->key, key) == 0)
        {
          mf_jsonc_fault_key (jsonc, path, MF_CODE_TEXT_UNKNOWN_KEY,
                              "\"%s\" is not a key of this kind", key);
          return;
        }
      if ((field->kinds == 0 || (field->kinds & kind) != 0) && differs_in_unit (key, field->key))
        {
          mf_jsonc_fault_key (jsonc, path, MF_CODE_TEXT_TYPE,
                              "\"%s\" has the wrong unit; use \"%s\"", key, field->key);
          return;
        }
    }
  mf_jsonc_fault_key (jsonc, path, MF_CODE_TEXT_UNKNOWN_KEY, "unknown key \"%s\"", key);
}

static void
check_keys (MfJsonc *jsonc, const char *path, json_object *object, const MfFieldTable *table,
            uint32_t kind)
{
  json_object_object_foreach (object, key, value)
  {
    char member[MF_PATH_BYTES];
    bool known = false;

    (void)value;
    if (strlen (key) > MF_JSONC_KEY_BYTES_MAX)
      continue; /* mf_jsonc_report reports it */
    for (uint32_t i = 0; i < table->n_fields && !known; i++)
      known = strcmp (table->fields[i].key, key) == 0
              && (table->fields[i].kinds == 0 || (table->fields[i].kinds & kind) != 0);
    if (known)
      continue;
    mf_path_member (member, path, key);
    report_unknown (jsonc, member, key, table, kind);
  }
}

static void
read_number (MfJsonc *jsonc, const char *path, json_object *value, const MfField *field, void *dst)
{
  uint64_t scale = field->scale != 0 ? field->scale : 1;
  int64_t number;

  if (!json_object_is_type (value, json_type_int))
    {
      mf_jsonc_fault (jsonc, path, MF_CODE_TEXT_TYPE, "\"%s\" is not a non-negative integer",
                      field->key);
      return;
    }
  number = json_object_get_int64 (value);
  if (number < 0 || (uint64_t)number < field->min || (uint64_t)number > field->max)
    {
      mf_jsonc_fault (jsonc, path, MF_CODE_TEXT_RANGE, "\"%s\" is not in the range %llu to %llu",
                      field->key, (unsigned long long)field->min, (unsigned long long)field->max);
      return;
    }
  if (field->type == MF_FIELD_U32)
    *(uint32_t *)dst = (uint32_t)((uint64_t)number * scale);
  else
    *(uint64_t *)dst = (uint64_t)number * scale;
}

static bool
address_is_valid (const char *address)
{
  char host[MF_ADDRESS_BYTES];
  unsigned char binary[16];
  const char *colon = strrchr (address, ':');
  char *end;
  size_t len;
  unsigned long port;

  if (colon == NULL || colon[1] < '1' || colon[1] > '9')
    return false;
  port = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || port > 65535)
    return false;
  len = (size_t)(colon - address);
  if (len >= sizeof host)
    return false;
  memcpy (host, address, len);
  host[len] = '\0';
  if (len > 2 && host[0] == '[' && host[len - 1] == ']')
    {
      host[len - 1] = '\0';
      return inet_pton (AF_INET6, host + 1, binary) == 1;
    }
  return inet_pton (AF_INET, host, binary) == 1;
}

static void
read_string (MfJsonc *jsonc, const char *path, json_object *value, const MfField *field, char *dst)
{
  const char *string = json_object_get_string (value);
  size_t len = (size_t)json_object_get_string_len (value);

  if (len < field->min || len >= field->bytes || memchr (string, '\0', len) != NULL)
    mf_jsonc_fault (jsonc, path, MF_CODE_TEXT_RANGE, "\"%s\" is not from %llu to %zu bytes long",
                    field->key, (unsigned long long)field->min, field->bytes - 1);
  else if (field->type == MF_FIELD_ADDRESS && !address_is_valid (string))
    mf_jsonc_fault (jsonc, path, MF_CODE_TEXT_TYPE, "\"%s\" is not an IP address and a port",
                    field->key);
  else
    mf_name_set (dst, field->bytes, string);
}

static void
read_choice (MfJsonc *jsonc, const char *path, json_object *value, const MfField *field, void *dst)
{
  const char *name = json_object_get_string (value);
  char names[MF_ERROR_TEXT_BYTES / 2] = "";
  size_t used = 0;

  for (uint32_t i = 0; field->choices[i] != NULL; i++)
    {
      if (strcmp (field->choices[i], name) == 0)
        {
          *(uint32_t *)dst = i;
          return;
        }
      if (used < sizeof names)
        used += (size_t)snprintf (names + used, sizeof names - used, "%s%s", i > 0 ? ", " : "",
                                  field->choices[i]);
    }
  mf_jsonc_fault (jsonc, path, MF_CODE_TEXT_RANGE, "\"%s\" is not one of %s", field->key, names);
}

static void
read_digest (MfJsonc *jsonc, const char *path, json_object *value, const MfField *field, void *dst)
{
  size_t len = (size_t)json_object_get_string_len (value);
  uint8_t digest[MF_DIGEST_BYTES];
  size_t n = 0;

  if (len != (size_t)2 * MF_DIGEST_BYTES
      || sodium_hex2bin (digest, sizeof digest, json_object_get_string (value), len, NULL, &n, NULL)
             != 0
      || n != MF_DIGEST_BYTES)
    mf_jsonc_fault (jsonc, path, MF_CODE_TEXT_TYPE, "\"%s\" is not a hex string of %d bytes",
                    field->key, MF_DIGEST_BYTES);
  else
    memcpy (dst, digest, sizeof digest);
}

static void
read_value (MfJsonc *jsonc, const char *path, json_object *value, const MfField *field, void *dst)
{
  char *target = (char *)dst + field->offset;

  switch (field->type)
    {
    case MF_FIELD_CUSTOM:
      return;
    case MF_FIELD_U32:
    case MF_FIELD_U64:
      read_number (jsonc, path, value, field, target);
      return;
    case MF_FIELD_BOOL:
      if (json_object_is_type (value, json_type_boolean))
        *(bool *)target = json_object_get_boolean (value) != 0;
      else
        mf_jsonc_fault (jsonc, path, MF_CODE_TEXT_TYPE, "\"%s\" is not true or false", field->key);
      return;
    case MF_FIELD_OBJECT:
      if (json_object_is_type (value, json_type_object))
        mf_field_read (jsonc, path, value, field->members, 0, dst);
      else
        mf_jsonc_fault (jsonc, path, MF_CODE_TEXT_TYPE, "\"%s\" is not an object", field->key);
      return;
    case MF_FIELD_STRING:
    case MF_FIELD_ADDRESS:
    case MF_FIELD_CHOICE:
    case MF_FIELD_DIGEST:
      break;
    }
  if (!json_object_is_type (value, json_type_string))
    mf_jsonc_fault (jsonc, path, MF_CODE_TEXT_TYPE, "\"%s\" is not a string", field->key);
  else if (field->type == MF_FIELD_CHOICE)
    read_choice (jsonc, path, value, field, target);
  else if (field->type == MF_FIELD_DIGEST)
    read_digest (jsonc, path, value, field, target);
  else
    read_string (jsonc, path, value, field, target);
}

void
mf_field_read (MfJsonc *jsonc, const char *path, json_object *object, const MfFieldTable *table,
               uint32_t kind, void *dst)
{
  check_keys (jsonc, path, object, table, kind);
  for (uint32_t i = 0; i < table->n_fields; i++)
    {
      const MfField *field = &table->fields[i];
      json_object *value;
      char member[MF_PATH_BYTES];

      if (field->kinds != 0 && (field->kinds & kind) == 0)
        continue;
      if (json_object_object_get_ex (object, field->key, &value))
        {
          mf_path_member (member, path, field->key);
          read_value (jsonc, member, value, field, dst);
        }
      else if (field->required)
        mf_jsonc_fault (jsonc, path, MF_CODE_TEXT_MISSING, "\"%s\" is missing", field->key);
    }
}

json_object *
mf_field_array (MfJsonc *jsonc, const char *path, json_object *object, const char *key,
                bool required)
{
  json_object *value;
  char member[MF_PATH_BYTES];

  if (!json_object_object_get_ex (object, key, &value))
    {
      if (required)
        mf_jsonc_fault (jsonc, path, MF_CODE_TEXT_MISSING, "\"%s\" is missing", key);
      return NULL;
    }
  if (json_object_is_type (value, json_type_array))
    return value;
  mf_path_member (member, path, key);
  mf_jsonc_fault (jsonc, member, MF_CODE_TEXT_TYPE, "\"%s\" is not an array", key);
  return NULL;
}
