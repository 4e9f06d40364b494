#ifndef CLI_REPORT_HTML_H
#define CLI_REPORT_HTML_H

#include "libmangofork/buffer.h"

#include <json-c/json.h>

/* Writes the report as one page that needs nothing else: tables and plots. */
void report_html (json_object *report, MfBuffer *out);

#endif
