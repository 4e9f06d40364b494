#ifndef FAKE_TEXT_H
#define FAKE_TEXT_H

#include "libmangofork/config.h"

/* Contents of a generated operators' text. */
typedef struct
{
  uint32_t n_services;  /* each with a prefill and a decode pool; 0 means 1 */
  uint32_t n_upstreams; /* decode engines "d0", "d1", ..., divided among the services */
  uint32_t n_customers;
  uint32_t slots; /* of each decode engine */
  const char *version;
  bool checks_fencing;
} FakeConfigTextOptions;

/* Returns a valid operators' text, which the caller frees. */
char *fake_config_text (const FakeConfigTextOptions *options);

#endif
