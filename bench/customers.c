#include "libmangofork/customer.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Measures the look-up of a customer by its key, and the time to add the keys as the decoder does,
 * which looks each of them up first. Prints microseconds of processor time per call. */

#define N_FINDS 20000

static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
run (uint32_t n_keys)
{
  MfCustomers *customers = mf_customers_new (16);
  char key[48];
  double start_us = cpu_us ();
  uint32_t n_found = 0;

  if (customers == NULL)
    abort ();
  for (uint32_t i = 0; i < n_keys; i++)
    {
      int n_bytes = snprintf (key, sizeof key, "key-0123456789abcdef-%u", i);

      if (mf_customers_find (customers, key, (size_t)n_bytes) == MF_NONE)
        mf_customers_add_key (customers, i % 16, key, (size_t)n_bytes);
    }
  printf ("keys=%u read_us=%.1f", n_keys, cpu_us () - start_us);
  start_us = cpu_us ();
  for (uint32_t i = 0; i < N_FINDS; i++)
    {
      int n_bytes = snprintf (key, sizeof key, "key-0123456789abcdef-%u", i % (2 * n_keys));

      n_found += mf_customers_find (customers, key, (size_t)n_bytes) != MF_NONE;
    }
  printf (" find_us=%.3f found=%u of %u\n", (cpu_us () - start_us) / N_FINDS, n_found, N_FINDS);
  mf_customers_free (customers);
}

int
main (void)
{
  if (sodium_init () < 0)
    return EXIT_FAILURE;
  run (16);
  run (2000);
  return EXIT_SUCCESS;
}
