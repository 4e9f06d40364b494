#include "command.h"

#include "platform/platform.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

/* Environment variable with the path of the settings file, unless -s names it. */
#define SETTINGS_VARIABLE "MANGOFORK_SETTINGS"

typedef struct
{
  const char *path;
  bool check_only;
} RelayArguments;

static const struct argp_option options[] = {
  { .name = "settings",
    .key = 's',
    .arg = "FILE",
    .doc = "Settings file; default: $" SETTINGS_VARIABLE },
  { .name = "check", .key = 'n', .doc = "Check the settings and exit" },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  RelayArguments *arguments = state->input;

  switch (key)
    {
    case 's':
      arguments->path = arg;
      return 0;
    case 'n':
      arguments->check_only = true;
      return 0;
    case ARGP_KEY_END:
      if (arguments->path == NULL)
        argp_error (state, "relay needs -s FILE or $" SETTINGS_VARIABLE);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  .options = options,
  .parser = parse_option,
  .doc = "Serves the routes of the platform's configuration until SIGTERM or SIGINT. SIGHUP "
         "reloads the settings.",
};

int
command_relay (int argc, char **argv)
{
  RelayArguments arguments = { .path = getenv (SETTINGS_VARIABLE) };
  MfRelaySettings settings = { 0 };
  MfError error = { 0 };
  MfRelay *relay;

  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  if (arguments.check_only)
    {
      if (platform_deployment.read_settings (arguments.path, &settings, &error))
        return EXIT_SUCCESS;
      fprintf (stderr, "mangofork: %d: %s\n", (int)error.code, error.text);
      return EXIT_FAULTY;
    }
  relay = mf_relay_new (&platform_deployment, arguments.path, &error);
  if (relay == NULL)
    {
      fprintf (stderr, "mangofork: %d: %s\n", (int)error.code, error.text);
      return EXIT_FAULTY;
    }
  mf_relay_run (relay);
  mf_relay_free (relay);
  return EXIT_SUCCESS;
}
