#ifndef MF_HEADER_H
#define MF_HEADER_H

#include <stdbool.h>
#include <stddef.h>

bool mf_header_name_is_valid (const char *name, size_t name_bytes);

#endif
