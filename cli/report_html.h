#ifndef CLI_REPORT_HTML_H
#define CLI_REPORT_HTML_H

#include "libmangofork/buffer.h"

#include <json-c/json.h>

/* Appends the report as a self-contained HTML page with tables and plots. */
void report_html (json_object *report, MfBuffer *out);

#endif
