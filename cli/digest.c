#include "command.h"

#include "libmangofork/customer.h"

#include <argp.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  (void)arg;
  if (key != ARGP_KEY_ARG)
    return ARGP_ERR_UNKNOWN;
  argp_error (state, "digest reads the key from standard input, so that it does not appear in "
                     "process listings");
  return 0;
}

static const struct argp parser = {
  .parser = parse_option,
  .doc = "Reads an API key from standard input and prints its key_digest for the operators' "
         "text. One line ending after the key is ignored.",
};

int
command_digest (int argc, char **argv)
{
  uint8_t digest[MF_DIGEST_BYTES];
  char hex[2 * MF_DIGEST_BYTES + 1];
  size_t n = 0;
  char *key;

  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  key = command_read_file ("-", &n);
  if (key == NULL)
    return EXIT_FAULTY;
  if (n > 0 && key[n - 1] == '\n')
    n--;
  if (n > 0 && key[n - 1] == '\r')
    n--;
  if (n == 0 || sodium_init () < 0)
    {
      fprintf (stderr, "mangofork: no key on standard input\n");
      free (key);
      return EXIT_FAULTY;
    }
  mf_key_digest (key, n, digest);
  sodium_memzero (key, n);
  free (key);
  printf ("%s\n", sodium_bin2hex (hex, sizeof hex, digest, sizeof digest));
  return EXIT_SUCCESS;
}
