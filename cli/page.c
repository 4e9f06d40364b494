#include "page.h"

#include <argp.h>

static const struct argp_option html_options[] = {
  { .name = "json", .key = 'j', .doc = "Print the page as JSON" },
  { .name = "html",
    .key = 'h',
    .arg = "FILE",
    .doc = "Write an HTML page with plots to FILE; \"-\" is standard output" },
  { 0 },
};

static const struct argp_option json_options[] = {
  { .name = "json", .key = 'j', .doc = "Print the page as JSON" },
  { 0 },
};

typedef struct
{
  const PageCommand *command;
  PageArguments *arguments;
} ParseState;

static error_t
parse_positional (const ParseState *parse_state, char *arg, struct argp_state *state)
{
  PageArguments *arguments = parse_state->arguments;

  if (arguments->url == NULL)
    arguments->url = arg;
  else if (parse_state->command->takes_request && arguments->request == NULL)
    arguments->request = arg;
  else
    argp_error (state, "too many arguments");
  return 0;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  const ParseState *parse_state = state->input;

  switch (key)
    {
    case 'j':
      parse_state->arguments->json = true;
      return 0;
    case 'h':
      parse_state->arguments->html = arg;
      return 0;
    case ARGP_KEY_ARG:
      return parse_positional (parse_state, arg, state);
    case ARGP_KEY_END:
      if (parse_state->arguments->url == NULL
          || (parse_state->command->takes_request && parse_state->arguments->request == NULL))
        argp_error (state, "%s needs %s", parse_state->command->name,
                    parse_state->command->args_doc);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

void
page_parse (const PageCommand *command, int argc, char **argv, PageArguments *arguments)
{
  const struct argp parser = {
    .options = command->takes_html ? html_options : json_options,
    .parser = parse_option,
    .args_doc = command->args_doc,
    .doc = command->doc,
  };
  ParseState parse_state = { .command = command, .arguments = arguments };

  argp_parse (&parser, argc, argv, 0, NULL, &parse_state);
}
