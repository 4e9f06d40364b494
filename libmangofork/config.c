#include "config.h"

#include <stdlib.h>

MfConfig *
mf_config_parse (const char *text, size_t text_bytes, uint64_t revision, MfFaultFunc on_fault,
                 void *data)
{
  (void)text;
  (void)text_bytes;
  (void)revision;
  (void)on_fault;
  (void)data;
  return NULL;
}

/* Frees a checked text. Accepts NULL. */
void
mf_config_free (MfConfig *config)
{
  if (config == NULL)
    return;
  free (config->text);
  free (config->services);
  free (config->pools);
  free (config->upstreams);
  free (config->customers);
  free (config->voters);
  free (config);
}
