#include "header.h"

#include <string.h>

/* Returns whether RFC 9110 allows a byte in the name of a header. */
static bool
is_token (unsigned char byte)
{
  return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z')
         || (byte >= 'A' && byte <= 'Z')
         || (byte != '\0' && strchr ("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* Empty text is valid. */
bool
mf_header_name_is_valid (const char *name, size_t name_bytes)
{
  for (size_t i = 0; i < name_bytes; i++)
    {
      if (!is_token ((unsigned char)name[i]))
        return false;
    }
  return true;
}

/* 1xx are interim responses; 101 accepts a change of the protocol, which is never requested. */
bool
mf_status_is_valid (uint32_t status)
{
  return status >= 100 && status <= 599 && status != 101;
}
