#ifndef MF_JSON_MEMBER_H
#define MF_JSON_MEMBER_H

#include "code.h"
#include "error.h"

#include <json-c/json.h>

json_object *mf_json_object_read (const char *text, size_t text_bytes, MfError *error);
const char *mf_json_text (json_object *object, const char *key);
bool mf_json_number (json_object *object, const char *key, double scale, uint64_t *number);
uint64_t mf_json_number_or (json_object *object, const char *key, double scale, uint64_t fallback);
bool mf_json_bool (json_object *object, const char *key);

#endif
