#include "command.h"

#include "libmangofork/jsonc.h"
#include "libmangofork/settings.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Kind of configuration that a file contains. */
typedef enum
{
  KIND_AUTO, /* detected by its keys */
  KIND_TEXT,
  KIND_SETTINGS,
} Kind;

typedef struct
{
  const char *path;
  Kind kind;
  bool quiet;
} CheckArguments;

static const struct argp_option options[] = {
  { .name = "text", .key = 't', .doc = "FILE contains the operators' text" },
  { .name = "settings", .key = 's', .doc = "FILE contains the settings of one process" },
  { .name = "quiet", .key = 'q', .doc = "Print faults only" },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  CheckArguments *arguments = state->input;

  switch (key)
    {
    case 't':
      arguments->kind = KIND_TEXT;
      return 0;
    case 's':
      arguments->kind = KIND_SETTINGS;
      return 0;
    case 'q':
      arguments->quiet = true;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->path != NULL)
        argp_error (state, "check takes one FILE");
      arguments->path = arg;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "check needs a FILE");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  .options = options,
  .parser = parse_option,
  .args_doc = "FILE",
  .doc
  = "Checks the operators' text or the settings of one process; its keys tell which of them FILE "
    "contains. \"-\" reads standard input. Prints a summary, or prints each fault as "
    "FILE:LINE:COLUMN: CODE NAME: TEXT and exits with code 1.",
};

/* Detects the kind by top-level keys that only one of the two has. */
static Kind
detect_kind (const char *text, size_t text_bytes)
{
  static const char *const keys[] = { "name", "listen", "admin", "peer", "platform", "peers" };
  MfJsonc *jsonc = mf_jsonc_new (text, text_bytes);
  json_object *root = jsonc != NULL ? mf_jsonc_root (jsonc) : NULL;
  Kind kind = KIND_TEXT;

  for (size_t i = 0; root != NULL && i < MF_ARRAY_LEN (keys); i++)
    {
      if (json_object_object_get_ex (root, keys[i], NULL))
        kind = KIND_SETTINGS;
    }
  if (root != NULL && json_object_object_get_ex (root, "services", NULL))
    kind = KIND_TEXT;
  mf_jsonc_free (jsonc);
  return kind;
}

static void
print_pool (const MfConfig *config, uint32_t pool)
{
  uint32_t n_upstreams = 0;
  uint64_t n_slots = 0;

  if (pool == MF_NONE)
    return;
  for (uint32_t i = 0; i < config->n_upstreams; i++)
    {
      if (config->upstreams[i].pool != pool)
        continue;
      n_upstreams++;
      n_slots += config->upstreams[i].slots;
    }
  printf ("  %s(%u upstreams, %llu slots)", config->pools[pool].name, n_upstreams,
          (unsigned long long)n_slots);
}

/* Prints a service and, indented below it, its dependencies. Dependencies are printed only at the
 * first occurrence of a service. */
static void
print_service (const MfConfig *config, uint32_t service, uint32_t depth, bool *printed)
{
  const MfService *row = &config->services[service];
  int indent = (int)depth * 2;

  printf ("%*s%-*s %-6s %-8s", indent, "", indent < 24 ? 24 - indent : 0, row->name,
          row->kind == MF_SERVICE_MODEL ? "model" : "plain", mf_class_name (row->class_));
  print_pool (config, row->prefill_pool);
  print_pool (config, row->decode_pool);
  print_pool (config, row->plain_pool);
  printf ("%s\n", printed[service] && row->n_depends > 0 ? "  (dependencies as above)" : "");
  if (printed[service])
    return;
  printed[service] = true;
  for (uint32_t i = 0; i < row->n_depends; i++)
    print_service (config, row->depends[i], depth + 1, printed);
}

static bool
is_depended_on (const MfConfig *config, uint32_t service)
{
  for (uint32_t i = 0; i < config->n_services; i++)
    {
      for (uint32_t k = 0; k < config->services[i].n_depends; k++)
        {
          if (config->services[i].depends[k] == service)
            return true;
        }
    }
  return false;
}

static void
print_config (const MfConfig *config)
{
  bool printed[MF_SERVICES_MAX] = { false };

  printf ("%u services, %u pools, %u upstreams, %u customers%s, %u voters, %u per key\n\n",
          config->n_services, config->n_pools, config->n_upstreams, config->n_customers,
          config->allow_anonymous ? " and anonymous callers" : "", config->n_voters,
          config->voters_per_key);
  printf ("%-24s %-6s %-8s  %s\n", "SERVICE", "KIND", "CLASS",
          "POOLS (dependencies indented below)");
  for (uint32_t i = 0; i < config->n_services; i++)
    {
      if (!is_depended_on (config, i))
        print_service (config, i, 0, printed);
    }
}

static bool
check_text (const CheckArguments *arguments, const char *text, size_t text_bytes)
{
  MfConfig *config
      = mf_config_parse (text, text_bytes, 1, command_print_fault, (void *)arguments->path);

  if (config == NULL)
    return false;
  if (!arguments->quiet)
    print_config (config);
  mf_config_free (config);
  return true;
}

static bool
check_settings (const CheckArguments *arguments, const char *text, size_t text_bytes)
{
  MfSettings settings;

  if (!mf_settings_parse (text, text_bytes, &settings, command_print_fault,
                          (void *)arguments->path))
    return false;
  if (!arguments->quiet)
    printf ("instance %s in data centre %s\n"
            "callers %s, operators %s, peers %s, platform %s\n",
            settings.options.self.name, settings.options.data_centre, settings.listen,
            settings.admin, settings.peer, settings.platform);
  return true;
}

int
command_check (int argc, char **argv)
{
  CheckArguments arguments = { 0 };
  size_t text_bytes = 0;
  char *text;
  bool ok;

  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  text = command_read_file (arguments.path, &text_bytes);
  if (text == NULL)
    return EXIT_FAULTY;
  if (arguments.kind == KIND_AUTO)
    arguments.kind = detect_kind (text, text_bytes);
  ok = arguments.kind == KIND_TEXT ? check_text (&arguments, text, text_bytes)
                                   : check_settings (&arguments, text, text_bytes);
  free (text);
  return ok ? EXIT_SUCCESS : EXIT_FAULTY;
}
