#include "dialect.h"

#include <string.h>
#include <strings.h>

/* Standard HTTP headers, the same in every dialect. */
static const MfDialectHeader http_headers[] = {
  { "Host", MF_HEADER_HOST },
  { "Content-Length", MF_HEADER_CONTENT_LENGTH },
  { "Content-Type", MF_HEADER_CONTENT_TYPE },
  { "Content-Encoding", MF_HEADER_CONTENT_ENCODING },
  { "Last-Event-ID", MF_HEADER_LAST_EVENT_ID },
  { "Connection", MF_HEADER_CONNECTION },
  { "Keep-Alive", MF_HEADER_KEEP_ALIVE },
  { "Retry-After", MF_HEADER_RETRY_AFTER },
  { "Expect", MF_HEADER_EXPECT_CONTINUE },
  { "Transfer-Encoding", MF_HEADER_HOP_BY_HOP },
  { "TE", MF_HEADER_HOP_BY_HOP },
  { "Trailer", MF_HEADER_HOP_BY_HOP },
  { "Upgrade", MF_HEADER_HOP_BY_HOP },
  { "Proxy-Connection", MF_HEADER_HOP_BY_HOP },
  { "Proxy-Authenticate", MF_HEADER_HOP_BY_HOP },
  { "Proxy-Authorization", MF_HEADER_HOP_BY_HOP },
};

static const MfDialectHeader *
header_find (const MfDialectHeader *headers, uint32_t n_headers, const char *name,
             size_t name_bytes)
{
  for (uint32_t i = 0; i < n_headers; i++)
    {
      if (strncasecmp (headers[i].name, name, name_bytes) == 0
          && headers[i].name[name_bytes] == '\0')
        return &headers[i];
    }
  return NULL;
}

/* Returns the id of a header, MF_HEADER_OTHER when the name is not known. */
MfHeaderId
mf_dialect_header_id (const MfDialect *dialect, const char *name, size_t name_bytes)
{
  const MfDialectHeader *found
      = header_find (http_headers, MF_ARRAY_LEN (http_headers), name, name_bytes);

  if (found == NULL)
    found = header_find (dialect->headers, dialect->n_headers, name, name_bytes);
  return found == NULL ? MF_HEADER_OTHER : found->header;
}

/* Returns the name of a header in this dialect, or NULL when it has none. */
const char *
mf_dialect_header_name (const MfDialect *dialect, MfHeaderId header)
{
  for (uint32_t i = 0; i < dialect->n_headers; i++)
    {
      if (dialect->headers[i].header == header)
        return dialect->headers[i].name;
    }
  return NULL;
}
