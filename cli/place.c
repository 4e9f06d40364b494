#include "command.h"
#include "fetch.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *url;
  const char *host;
  const char *path;
  const char *method;
  const char *tokens;
  bool json;
} PlaceArguments;

static const struct argp_option options[] = {
  { .name = "host", .key = 'H', .arg = "HOST", .doc = "Host of the request" },
  { .name = "path", .key = 'p', .arg = "PATH", .doc = "Path of the request" },
  { .name = "method", .key = 'm', .arg = "METHOD", .doc = "Method of the request; default: GET" },
  { .name = "tokens",
    .key = 't',
    .arg = "PROMPT,OUTPUT",
    .doc = "Tokens of its prompt, and of its answer at most; default: 0,0" },
  { .name = "json", .key = 'j', .doc = "Print the answer as JSON" },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  PlaceArguments *arguments = state->input;

  switch (key)
    {
    case 'H':
      arguments->host = arg;
      return 0;
    case 'p':
      arguments->path = arg;
      return 0;
    case 'm':
      arguments->method = arg;
      return 0;
    case 't':
      arguments->tokens = arg;
      return 0;
    case 'j':
      arguments->json = true;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->url != NULL)
        argp_error (state, "too many arguments");
      arguments->url = arg;
      return 0;
    case ARGP_KEY_END:
      if (arguments->url == NULL || arguments->host == NULL || arguments->path == NULL)
        argp_error (state, "place needs URL, --host and --path");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  .options = options,
  .parser = parse_option,
  .args_doc = "URL",
  .doc
  = "Shows where the relay whose metrics are served at URL would send a request now, what each "
    "upstream costs and why others are left out. Nothing is sent.",
};

static void
print_role (json_object *role)
{
  const char *chosen = fetch_text (role, "chosen");

  printf ("\n%s: %s\n", fetch_text (role, "role"),
          chosen[0] != '\0'                    ? chosen
          : fetch_bool (role, "any_available") ? "none is usable now"
                                               : "none is known");
  if (fetch_object (role, "share") != NULL)
    printf ("share that may leave the data centre: %.3f, to %s\n", fetch_real (role, "share"),
            fetch_text (role, "chosen_in_share"));
  printf ("%-24s %-12s %12s %6s %9s %8s  %s\n", "UPSTREAM", "DATA CENTRE", "COST", "LOAD", "TOKENS",
          "FAILURES", "LEFT OUT");
  for (size_t i = 0; i < fetch_length (role, "candidates"); i++)
    {
      json_object *candidate = fetch_element (role, "candidates", i);

      printf ("%-24s %-12s %9.1f ms %6llu %9llu %8.2f  %s\n", fetch_text (candidate, "upstream"),
              fetch_text (candidate, "data_centre"), fetch_real (candidate, "cost_ms"),
              (unsigned long long)fetch_number (candidate, "load"),
              (unsigned long long)fetch_number (candidate, "load_tokens"),
              fetch_real (candidate, "failure_share"), fetch_text (candidate, "left_out"));
    }
}

static void
print_placement (json_object *page)
{
  printf ("instance %s in %s, configuration %llu, route %s, spillover %s\n",
          fetch_text (page, "instance"), fetch_text (page, "data_centre"),
          (unsigned long long)fetch_number (page, "config"), fetch_text (page, "route"),
          fetch_bool (page, "spillover") ? "on" : "off");
  for (size_t i = 0; i < fetch_length (page, "services"); i++)
    {
      json_object *service = fetch_element (page, "services", i);

      printf ("\nservice %s, weight %llu\n", fetch_text (service, "service"),
              (unsigned long long)fetch_number (service, "weight"));
      for (size_t j = 0; j < fetch_length (service, "roles"); j++)
        print_role (fetch_element (service, "roles", j));
    }
}

/* Asks the instance. Returns NULL after printing a message on failure. */
static json_object *
fetch_placement (const PlaceArguments *arguments)
{
  char *host = fetch_escape (arguments->host);
  char *path = fetch_escape (arguments->path);
  char *method = fetch_escape (arguments->method);
  char *tokens = fetch_escape (arguments->tokens);
  json_object *page = NULL;
  char target[1600];

  if (host != NULL && path != NULL && method != NULL && tokens != NULL)
    {
      int n_bytes = snprintf (target, sizeof target, "/place?host=%s&path=%s&method=%s&tokens=%s",
                              host, path, method, tokens);

      if (n_bytes > 0 && (size_t)n_bytes < sizeof target)
        page = fetch_json (arguments->url, target);
      else
        fprintf (stderr, "mangofork: the request is too long\n");
    }
  free (host);
  free (path);
  free (method);
  free (tokens);
  return page;
}

int
command_place (int argc, char **argv)
{
  PlaceArguments arguments = { .method = "GET", .tokens = "0,0" };
  json_object *page;

  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  page = fetch_placement (&arguments);
  if (page == NULL)
    return EXIT_FAULTY;
  if (arguments.json)
    fetch_print (page);
  else
    print_placement (page);
  json_object_put (page);
  return EXIT_SUCCESS;
}
