#ifndef MF_RENDER_H
#define MF_RENDER_H

#include "buffer.h"
#include "core.h"

#include <json-c/json.h>

/* JSON helpers shared by status, report and explanations. */

void mf_render_text (json_object *object, const char *key, const char *text);
void mf_render_number (json_object *object, const char *key, uint64_t number);
void mf_render_real (json_object *object, const char *key, double number);
void mf_render_bool (json_object *object, const char *key, bool value);
/* Adds an incarnation or a digest in hex. */
void mf_render_hex (json_object *object, const char *key, uint64_t number);
/* Adds the seconds since a time of the core's clock; null for a time of 0. */
void mf_render_age (json_object *object, const char *key, const MfCore *core, uint64_t at_us);
/* Adds number, name and summary of a result code. */
void mf_render_code (json_object *object, MfCode code);
/* Adds a description of this instance. */
void mf_render_instance (json_object *object, const MfCore *core);
const char *mf_render_upstream_name (const MfCore *core, uint32_t upstream);

/* Writes an object to the buffer and frees it. Returns false when memory ran out. */
bool mf_render_finish (json_object *object, MfBuffer *out);

#endif
