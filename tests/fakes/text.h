#ifndef FAKE_TEXT_H
#define FAKE_TEXT_H

#include "libmangofork/config.h"

/* What an operators' text made for a test holds. */
typedef struct
{
  uint32_t n_services;  /* each with a prefill and a decode pool; 0 for one */
  uint32_t n_upstreams; /* decode engines "d0", "d1", ... over all services */
  uint32_t n_customers;
  uint32_t slots; /* of each decode engine */
  const char *version;
  bool checks_fencing;
} FakeConfigTextOptions;

/* Returns a sound text; the caller frees it. */
char *fake_config_text (const FakeConfigTextOptions *options);

#endif
