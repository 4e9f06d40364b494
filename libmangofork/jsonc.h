#ifndef MF_JSONC_H
#define MF_JSONC_H

#include "config.h"

#include <json-c/json.h>

/* Longest key accepted. */
#define MF_JSONC_KEY_BYTES_MAX 64
/* Faults reported for one text; further ones are only counted. */
#define MF_JSONC_FAULTS_MAX 1000

/* A JSON text with comments that is being validated: the parsed tree and the faults found so far.
 * Values are identified by paths such as "services[2].name"; the root has the path "". */
typedef struct MfJsonc MfJsonc;

/* Parses a text, which must outlive the result. Returns NULL only when memory ran out. When the
 * text is malformed, the fault is recorded and the root is NULL. */
MfJsonc *mf_jsonc_new (const char *text, size_t text_bytes);
void mf_jsonc_free (MfJsonc *jsonc);
/* Returns the parsed tree, which jsonc owns; NULL when the text is malformed. */
json_object *mf_jsonc_root (const MfJsonc *jsonc);

/* Record a fault at the value at path, or at its key. */
void mf_jsonc_fault (MfJsonc *jsonc, const char *path, MfCode code, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
void mf_jsonc_fault_key (MfJsonc *jsonc, const char *path, MfCode code, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/* Finds duplicate keys and the line and column of every fault, and reports all faults in that
 * order. Returns their number. */
uint32_t mf_jsonc_report (MfJsonc *jsonc, MfFaultFunc on_fault, void *data);

#endif
