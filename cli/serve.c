#include "command.h"

#include "libmangofork/server.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *path;
} ServeArguments;

static const struct argp_option options[] = {
  { .name = "config", .key = 'c', .arg = "FILE", .doc = "Settings file of this process" },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  ServeArguments *arguments = state->input;

  switch (key)
    {
    case 'c':
      arguments->path = arg;
      return 0;
    case ARGP_KEY_END:
      if (arguments->path == NULL)
        argp_error (state, "serve needs -c FILE");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  .options = options,
  .parser = parse_option,
  .doc = "Serves callers until SIGTERM or SIGINT. SIGHUP reloads the key files.",
};

int
command_serve (int argc, char **argv)
{
  ServeArguments arguments = { 0 };
  MfSettings settings = { 0 };
  MfError error = { 0 };
  MfServer *server;
  size_t text_bytes = 0;
  char *text;
  bool ok;

  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  text = command_read_file (arguments.path, &text_bytes);
  if (text == NULL)
    return EXIT_FAULTY;
  ok = mf_settings_parse (text, text_bytes, &settings, command_print_fault, (void *)arguments.path);
  free (text);
  if (!ok)
    return EXIT_FAULTY;
  server = mf_server_new (&settings, &error);
  if (server == NULL)
    {
      fprintf (stderr, "mangofork: %d: %s\n", (int)error.code, error.text);
      return EXIT_FAULTY;
    }
  mf_server_run (server);
  mf_server_free (server);
  return EXIT_SUCCESS;
}
