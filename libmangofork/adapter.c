#include "adapter.h"

#include <stdlib.h>
#include <string.h>

static const MfEngineAdapter *const adapters[] = { &mf_openai_adapter, &mf_plain_adapter };

/* Frees the strings of a request, but not the struct. */
void
mf_http_request_clear (MfHttpRequest *request)
{
  free (request->url);
  free (request->body);
  free (request->headers);
  *request = (MfHttpRequest){ 0 };
}

/* Returns the adapter with this name, or NULL. */
const MfEngineAdapter *
mf_adapter_find (const char *name)
{
  for (size_t i = 0; i < MF_ARRAY_LEN (adapters); i++)
    {
      if (strcmp (adapters[i]->name, name) == 0)
        return adapters[i];
    }
  return NULL;
}
