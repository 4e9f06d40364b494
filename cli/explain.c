#include "fetch.h"
#include "page.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const PageCommand command = {
  .name = "explain",
  .args_doc = "URL REQUEST-ID",
  .doc = "Shows the steps of a request as recorded by the instance whose admin port is at URL. "
         "REQUEST-ID is the X-Request-Id header of the request and of its answer.",
  .takes_request = true,
};

static void
print_request (json_object *request)
{
  char age[24];

  fetch_age (age, sizeof age, request, "age_s");
  printf ("\nrequest %llu, started %s ago",
          (unsigned long long)fetch_number (request, "request_id"), age);
  if (fetch_object (request, "code") != NULL && fetch_number (request, "code") == 0)
    printf (", answered in full");
  else if (strcmp (fetch_text (request, "state"), "ended") == 0)
    printf (", ended by the %s while %s: %llu %s, %s", fetch_text (request, "ended_by"),
            fetch_text (request, "phase"), (unsigned long long)fetch_number (request, "code"),
            fetch_text (request, "name"), fetch_text (request, "summary"));
  else
    printf (", still running");
  printf ("\n%12s  %-13s %-12s %s\n", "AT", "PHASE", "STEP", "");
  for (size_t i = 0; i < fetch_length (request, "steps"); i++)
    {
      json_object *step = fetch_element (request, "steps", i);

      printf ("%9.1f ms  %-13s %-12s %s\n", fetch_real (step, "at_ms"), fetch_text (step, "phase"),
              fetch_text (step, "step"), fetch_text (step, "text"));
    }
}

int
command_explain (int argc, char **argv)
{
  PageArguments arguments = { 0 };
  json_object *explanation = NULL;
  char *escaped;
  char path[1024];

  page_parse (&command, argc, argv, &arguments);
  escaped = fetch_escape (arguments.request);
  if (escaped != NULL)
    {
      snprintf (path, sizeof path, "/explain/%s", escaped);
      explanation = fetch_json (arguments.url, path);
    }
  free (escaped);
  if (explanation == NULL)
    return EXIT_FAULTY;
  if (arguments.json)
    fetch_print (explanation);
  else
    {
      fetch_print_instance (explanation);
      for (size_t i = 0; i < fetch_length (explanation, "requests"); i++)
        print_request (fetch_element (explanation, "requests", i));
    }
  json_object_put (explanation);
  return EXIT_SUCCESS;
}
