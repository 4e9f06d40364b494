#include "command.h"

#include "libmangofork/types.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  const char *name;
  CommandFunc run;
} Command;

static const Command commands[] = {
  { "serve", command_serve },   { "check", command_check },     { "status", command_status },
  { "report", command_report }, { "explain", command_explain }, { "digest", command_digest },
  { "relay", command_relay },   { "place", command_place },
};

/* The selected command and its arguments. */
typedef struct
{
  const Command *command;
  int argc;
  char **argv;
} MainArguments;

const char *argp_program_version = "mangofork 0.1.0";

static const Command *
command_find (const char *name)
{
  for (size_t i = 0; i < MF_ARRAY_LEN (commands); i++)
    {
      if (strcmp (commands[i].name, name) == 0)
        return &commands[i];
    }
  return NULL;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  MainArguments *arguments = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      arguments->command = command_find (arg);
      if (arguments->command == NULL)
        argp_error (state, "unknown command \"%s\"", arg);
      arguments->argc = state->argc - state->next + 1;
      arguments->argv = state->argv + state->next - 1;
      state->next = state->argc;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  .parser = parse_option,
  .args_doc = "COMMAND [ARGUMENT...]",
  .doc = "Routes callers' requests to prefill, decode and plain upstreams.\v"
         "Commands:\n"
         "  serve -c FILE    serve callers with the settings in FILE\n"
         "  relay            serve the routes of the platform's configuration\n"
         "  check FILE       check the operators' text or the settings\n"
         "  status URL       show the state of an instance\n"
         "  report URL       report service-level burn rates\n"
         "  explain URL ID   show the steps of one request\n"
         "  place URL        show where a request to the relay would go now\n"
         "  digest           print the digest of the API key on standard input\n"
         "\n"
         "Each command takes --help. Exit codes: 0 success, 1 failure, 2 invalid command line.",
};

int
main (int argc, char **argv)
{
  MainArguments arguments = { 0 };

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&parser, argc, argv, ARGP_IN_ORDER, NULL, &arguments);
  return arguments.command->run (arguments.argc, arguments.argv);
}
