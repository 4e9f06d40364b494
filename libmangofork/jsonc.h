#ifndef MF_JSONC_H
#define MF_JSONC_H

#include "config.h"

#include <json-c/json.h>

/* Longest key a text may use. */
#define MF_JSONC_KEY_BYTES_MAX 64
/* Faults reported of one text; further ones are only counted. */
#define MF_JSONC_FAULTS_MAX 1000

/* A text of JSON with comments while it is checked: its tree, and the faults found so far. A value
 * is named by its path, such as "services[2].name"; the text itself has the path "". */
typedef struct MfJsonc MfJsonc;

/* Parses a text, which must outlive the result. The result is never NULL unless memory ran out; its
 * root is NULL when the text is no JSON with comments, and the fault is then recorded. */
MfJsonc *mf_jsonc_new (const char *text, size_t text_bytes);
void mf_jsonc_free (MfJsonc *jsonc);
/* The tree; owned by jsonc. NULL when there is none. */
json_object *mf_jsonc_root (const MfJsonc *jsonc);

/* Records a fault of the value at path, or of the key it stands under. */
void mf_jsonc_fault (MfJsonc *jsonc, const char *path, MfCode code, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
void mf_jsonc_fault_key (MfJsonc *jsonc, const char *path, MfCode code, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/* Finds the place of every fault and reports them in the order of their places, together with keys
 * given twice. Returns how many there are. */
uint32_t mf_jsonc_report (MfJsonc *jsonc, MfFaultFunc on_fault, void *data);

#endif
