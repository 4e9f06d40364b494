#ifndef MF_HEADER_H
#define MF_HEADER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Returns whether all bytes of a header name, or of a part of one, are allowed by RFC 9110. */
bool mf_header_name_is_valid (const char *name, size_t name_bytes);
/* Returns whether a response to a request of this program may have this status (RFC 9110, section
 * 15). */
bool mf_status_is_valid (uint32_t status);

#endif
