#include "libmangofork/code.h"

#include <argp.h>

const char *argp_program_version = "mangofork 0.1.0";

static const struct argp parser = {
  .args_doc = "COMMAND",
  .doc = "Routes callers' requests to prefill, decode and plain upstreams.",
};

int
main (int argc, char **argv)
{
  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  return 0;
}
