#include "fuzz.h"

#include "libmangofork/config.h"

#include <stdlib.h>

static void
count_fault (const MfError *fault, void *data)
{
  uint32_t *n_faults = data;

  (void)fault;
  ++*n_faults;
}

/* A text is either accepted, or refused with at least one reported fault. */
int
fuzz_text (const uint8_t *data, size_t n_bytes)
{
  uint32_t n_faults = 0;
  MfConfig *config = mf_config_parse ((const char *)data, n_bytes, 1, count_fault, &n_faults);

  if ((config == NULL) != (n_faults > 0))
    abort ();
  mf_config_free (config);
  return 0;
}
