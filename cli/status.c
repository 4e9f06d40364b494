#include "fetch.h"
#include "page.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define AGE_BYTES 24
/* Healthy rows shown of a list, to fit on one screen; unhealthy rows are always shown. */
#define HEALTHY_ROWS_MAX 30

static const PageCommand command = {
  .name = "status",
  .args_doc = "URL",
  .doc = "Shows the state of the instance whose admin port is at URL: operators' text, services, "
         "upstreams, other instances, unconfirmed cancels and suspect requests.",
};

static void
print_config (json_object *status)
{
  json_object *config = fetch_object (status, "config");
  json_object *refused = fetch_object (config, "refused");
  char age[AGE_BYTES];
  char platform_age[AGE_BYTES];

  fetch_age (age, sizeof age, config, "age_s");
  fetch_age (platform_age, sizeof platform_age, config, "platform_heard_s");
  if (fetch_number (config, "revision") == 0)
    printf ("no operators' text is in force yet; age of the last platform answer: %s\n",
            platform_age);
  else
    printf ("revision %llu in force for %s, from the %s; age of the last platform answer: %s\n",
            (unsigned long long)fetch_number (config, "revision"), age,
            fetch_text (config, "source"), platform_age);
  if (refused != NULL)
    {
      fetch_age (age, sizeof age, refused, "age_s");
      printf ("revision %llu was REFUSED %s ago: %llu:%llu: %llu %s: %s\n",
              (unsigned long long)fetch_number (refused, "revision"), age,
              (unsigned long long)fetch_number (refused, "line"),
              (unsigned long long)fetch_number (refused, "column"),
              (unsigned long long)fetch_number (refused, "code"), fetch_text (refused, "name"),
              fetch_text (refused, "text"));
    }
  printf ("in flight %llu, queued %llu, unconfirmed cancels %llu, suspect requests %llu\n",
          (unsigned long long)fetch_number (status, "in_flight"),
          (unsigned long long)fetch_number (status, "queued"),
          (unsigned long long)fetch_number (status, "debts"),
          (unsigned long long)fetch_number (status, "suspected_requests"));
}

/* Writes the strings of an array, separated by commas. */
static void
join (char *dst, size_t dst_bytes, json_object *object, const char *key)
{
  size_t used = 0;

  dst[0] = '\0';
  for (size_t i = 0; i < fetch_length (object, key) && used < dst_bytes; i++)
    used += (size_t)snprintf (dst + used, dst_bytes - used, "%s%s", i > 0 ? "," : "",
                              json_object_get_string (fetch_element (object, key, i)));
}

static void
print_services (json_object *status)
{
  printf ("\n%-20s %-8s %-5s %9s %7s  %-22s %s\n", "SERVICE", "CLASS", "STATE", "IN FLIGHT",
          "QUEUED", "USABLE UPSTREAMS", "DEPENDS ON");
  for (size_t i = 0; i < fetch_length (status, "services"); i++)
    {
      json_object *row = fetch_element (status, "services", i);
      char pools[64] = "";
      char needs[128];
      char down[128];
      size_t used = 0;

      for (size_t k = 0; k < fetch_length (row, "pools") && used < sizeof pools; k++)
        {
          json_object *pool = fetch_element (row, "pools", k);

          used += (size_t)snprintf (pools + used, sizeof pools - used, "%s%s %llu/%llu",
                                    k > 0 ? " " : "", fetch_text (pool, "role"),
                                    (unsigned long long)fetch_number (pool, "usable"),
                                    (unsigned long long)fetch_number (pool, "members"));
        }
      join (needs, sizeof needs, row, "needs");
      join (down, sizeof down, row, "needs_down");
      printf ("%-20.20s %-8s %-5s %9llu %7llu  %-22s %s", fetch_text (row, "service"),
              fetch_text (row, "class"), fetch_text (row, "state"),
              (unsigned long long)fetch_number (row, "in_flight"),
              (unsigned long long)fetch_number (row, "queued"), pools, needs);
      if (strcmp (fetch_text (row, "state"), "up") != 0)
        printf ("  %llu %s%s%s", (unsigned long long)fetch_number (row, "code"),
                fetch_text (row, "name"), down[0] != '\0' ? ": " : "", down);
      printf ("\n");
    }
}

static void
print_upstream (json_object *row)
{
  char report[AGE_BYTES];
  char since[AGE_BYTES];

  fetch_age (report, sizeof report, row, "report_age_s");
  fetch_age (since, sizeof since, row, "since_s");
  printf ("%-20.20s %-8s %-8.8s %-8s %5llu/%-5llu %5llu  %-8s", fetch_text (row, "upstream"),
          fetch_text (row, "role"), fetch_text (row, "data_centre"), fetch_text (row, "health"),
          (unsigned long long)fetch_number (row, "slots_used"),
          (unsigned long long)fetch_number (row, "slots"),
          (unsigned long long)fetch_number (row, "own_slots"), report);
  if (fetch_number (row, "code") != 0)
    printf (" %llu %s for %s", (unsigned long long)fetch_number (row, "code"),
            fetch_text (row, "name"), since);
  if (fetch_number (row, "suspects") > 0)
    printf (" runs %llu suspect requests", (unsigned long long)fetch_number (row, "suspects"));
  if (fetch_bool (row, "loading"))
    printf (" loading");
  printf ("\n");
}

static void
print_upstreams (json_object *status)
{
  size_t n_healthy = 0;

  printf ("\n%-20s %-8s %-8s %-8s %11s %5s  %-8s %s\n", "UPSTREAM", "ROLE", "CENTRE", "HEALTH",
          "SLOTS USED", "OWN", "REPORT", "REASON");
  for (size_t i = 0; i < fetch_length (status, "upstreams"); i++)
    {
      json_object *row = fetch_element (status, "upstreams", i);

      if (strcmp (fetch_text (row, "health"), "ok") == 0 && n_healthy++ >= HEALTHY_ROWS_MAX)
        continue;
      print_upstream (row);
    }
  if (n_healthy > HEALTHY_ROWS_MAX)
    printf ("and %zu more that are ok\n", n_healthy - HEALTHY_ROWS_MAX);
  if (fetch_number (status, "upstreams_total") > fetch_length (status, "upstreams"))
    printf ("and %llu more in the operators' text that this instance does not use\n",
            (unsigned long long)fetch_number (status, "upstreams_total")
                - (unsigned long long)fetch_length (status, "upstreams"));
}

static void
print_instances (json_object *status)
{
  size_t n_alive = 0;

  printf ("\n%-20s %-8s %-8s %-6s %-6s %-6s %-8s %s\n", "INSTANCE", "CENTRE", "STATE", "LINKED",
          "LISTED", "VOTES", "SEEN", "INCARNATION");
  for (size_t i = 0; i < fetch_length (status, "instances"); i++)
    {
      json_object *row = fetch_element (status, "instances", i);
      char last_seen[AGE_BYTES];

      if (strcmp (fetch_text (row, "state"), "alive") == 0 && n_alive++ >= HEALTHY_ROWS_MAX)
        continue;
      fetch_age (last_seen, sizeof last_seen, row, "heard_s");
      printf ("%-20.20s %-8.8s %-8s %-6s %-6s %-6s %-8s %s\n", fetch_text (row, "instance"),
              fetch_text (row, "data_centre"), fetch_text (row, "state"),
              fetch_bool (row, "linked") ? "yes" : "no", fetch_bool (row, "listed") ? "yes" : "no",
              fetch_bool (row, "votes") ? "yes" : "no", last_seen, fetch_text (row, "incarnation"));
    }
  if (n_alive > HEALTHY_ROWS_MAX)
    printf ("and %zu more that are alive\n", n_alive - HEALTHY_ROWS_MAX);
}

static void
print_suspects (json_object *status)
{
  if (fetch_length (status, "suspects") == 0)
    return;
  printf ("\n%-18s %-10s %7s  %s\n", "REQUEST DIGEST", "STATE", "DEATHS", "AGE");
  for (size_t i = 0; i < fetch_length (status, "suspects"); i++)
    {
      json_object *row = fetch_element (status, "suspects", i);
      char age[AGE_BYTES];

      fetch_age (age, sizeof age, row, "age_s");
      printf ("%-18s %-10s %7llu  %s\n", fetch_text (row, "digest"), fetch_text (row, "state"),
              (unsigned long long)fetch_number (row, "deaths"), age);
    }
}

int
command_status (int argc, char **argv)
{
  PageArguments arguments = { 0 };
  json_object *status;

  page_parse (&command, argc, argv, &arguments);
  status = fetch_json (arguments.url, "/status");
  if (status == NULL)
    return EXIT_FAULTY;
  if (arguments.json)
    fetch_print (status);
  else
    {
      fetch_print_instance (status);
      print_config (status);
      print_services (status);
      print_upstreams (status);
      print_instances (status);
      print_suspects (status);
    }
  json_object_put (status);
  return EXIT_SUCCESS;
}
