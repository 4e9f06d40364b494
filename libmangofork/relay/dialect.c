#include "dialect.h"

#include <string.h>
#include <strings.h>

/* Headers of HTTP itself, alike in every dialect. */
static const MfDialectName http_names[] = {
  { "Host", MF_WORD_HOST },
  { "Content-Length", MF_WORD_CONTENT_LENGTH },
  { "Content-Type", MF_WORD_CONTENT_TYPE },
  { "Content-Encoding", MF_WORD_CONTENT_ENCODING },
  { "Last-Event-ID", MF_WORD_LAST_EVENT },
  { "Connection", MF_WORD_CONNECTION },
  { "Keep-Alive", MF_WORD_KEEP_ALIVE },
  { "Retry-After", MF_WORD_RETRY_AFTER },
  { "Expect", MF_WORD_EXPECT_CONTINUE },
  { "Transfer-Encoding", MF_WORD_HOP },
  { "TE", MF_WORD_HOP },
  { "Trailer", MF_WORD_HOP },
  { "Upgrade", MF_WORD_HOP },
  { "Proxy-Connection", MF_WORD_HOP },
  { "Proxy-Authenticate", MF_WORD_HOP },
  { "Proxy-Authorization", MF_WORD_HOP },
};

static const MfDialectName *
name_find (const MfDialectName *names, uint32_t n_names, const char *name, size_t name_bytes)
{
  for (uint32_t i = 0; i < n_names; i++)
    {
      if (strncasecmp (names[i].name, name, name_bytes) == 0 && names[i].name[name_bytes] == '\0')
        return &names[i];
    }
  return NULL;
}

/* What a header of this name means; MF_WORD_OTHER when it is not known. */
MfWord
mf_dialect_word (const MfDialect *dialect, const char *name, size_t name_bytes)
{
  const MfDialectName *found = name_find (http_names, MF_ARRAY_LEN (http_names), name, name_bytes);

  if (found == NULL)
    found = name_find (dialect->names, dialect->n_names, name, name_bytes);
  return found == NULL ? MF_WORD_OTHER : found->word;
}

/* The name that is written for a meaning; NULL when the dialect has none. */
const char *
mf_dialect_name (const MfDialect *dialect, MfWord word)
{
  for (uint32_t i = 0; i < dialect->n_names; i++)
    {
      if (dialect->names[i].word == word)
        return dialect->names[i].name;
    }
  return NULL;
}
