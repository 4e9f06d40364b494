#include "command.h"

#include "platform/platform.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Environment variable with the path of the settings file, unless -s names it. */
#define SETTINGS_VARIABLE "MANGOFORK_SETTINGS"
/* At ten seconds a kilobyte, nothing leaves. */
#define US_PER_KB_MAX 1e7

typedef struct
{
  const char *path;
  bool check_only;
  MfSpilloverMode spillover;
  double spillover_us_per_kb;
} RelayArguments;

/* Keys of options without a letter. */
#define KEY_SPILLOVER 256
#define KEY_SPILLOVER_US_PER_KB 257

static const char *const spillover_names[] = {
  [MF_SPILLOVER_AUTO] = "auto",
  [MF_SPILLOVER_ON] = "on",
  [MF_SPILLOVER_OFF] = "off",
};

static const struct argp_option options[] = {
  { .name = "settings",
    .key = 's',
    .arg = "FILE",
    .doc = "Settings file; default: $" SETTINGS_VARIABLE },
  { .name = "check", .key = 'n', .doc = "Check the settings and exit" },
  { .name = "spillover",
    .key = KEY_SPILLOVER,
    .arg = "WHEN",
    .doc = "Send requests to other data centres by observed times: auto (where the configuration "
           "has customers; the default), on or off" },
  { .name = "spillover-us-per-kb",
    .key = KEY_SPILLOVER_US_PER_KB,
    .arg = "US",
    .doc = "Time that a caller must gain for each kilobyte sent to another data centre; default: "
           "2000" },
  { 0 },
};

static MfSpilloverMode
parse_spillover (const char *arg, const struct argp_state *state)
{
  for (size_t i = 0; i < MF_ARRAY_LEN (spillover_names); i++)
    {
      if (strcmp (arg, spillover_names[i]) == 0)
        return (MfSpilloverMode)i;
    }
  argp_error (state, "--spillover takes auto, on or off");
  return MF_SPILLOVER_AUTO;
}

static double
parse_us_per_kb (const char *arg, const struct argp_state *state)
{
  char *end;
  double us_per_kb = strtod (arg, &end);

  if (end == arg || *end != '\0' || !(us_per_kb >= 0. && us_per_kb <= US_PER_KB_MAX))
    argp_error (state, "--spillover-us-per-kb takes a number from 0 to %.0f", US_PER_KB_MAX);
  return us_per_kb;
}

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
    case KEY_SPILLOVER:
      arguments->spillover = parse_spillover (arg, state);
      return 0;
    case KEY_SPILLOVER_US_PER_KB:
      arguments->spillover_us_per_kb = parse_us_per_kb (arg, state);
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

static void
print_error (const MfError *error)
{
  fprintf (stderr, "mangofork: %d: %s\n", (int)error->code, error->text);
}

int
command_relay (int argc, char **argv)
{
  RelayArguments arguments = {
    .path = getenv (SETTINGS_VARIABLE),
    .spillover_us_per_kb = MF_SPILLOVER_US_PER_KB_DEFAULT,
  };
  MfRelaySettings settings = { 0 };
  MfSettingFaults faults = { 0 };
  MfError error = { 0 };
  MfRelay *relay;

  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  if (arguments.check_only)
    {
      bool is_usable
          = platform_deployment.read_settings (arguments.path, &settings, &faults, &error);

      for (uint32_t i = 0; i < mf_setting_faults_kept (&faults); i++)
        print_error (&faults.faults[i]);
      if (!is_usable)
        print_error (&error);
      return is_usable && faults.n_faults == 0 ? EXIT_SUCCESS : EXIT_FAULTY;
    }
  relay = mf_relay_new (&platform_deployment, arguments.path, &error);
  if (relay == NULL)
    {
      print_error (&error);
      return EXIT_FAULTY;
    }
  mf_relay_set_spillover (relay, arguments.spillover, arguments.spillover_us_per_kb);
  mf_relay_run (relay);
  mf_relay_free (relay);
  return EXIT_SUCCESS;
}
