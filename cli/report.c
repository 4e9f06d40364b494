#include "report_html.h"

#include "fetch.h"
#include "page.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define AGE_BYTES 24

static const PageCommand command = {
  .name = "report",
  .args_doc = "URL",
  .doc
  = "Reports service-level burn rates as counted by the instance whose admin port is at URL and "
    "by its peers. A burn rate of 1 uses up the error budget exactly over the objective's "
    "period.",
  .takes_html = true,
};

static const char *const windows[] = { "5m", "1h", "30m", "6h", "2h", "1d" };

static void
print_coverage (json_object *report)
{
  char age[AGE_BYTES];

  fetch_age (age, sizeof age, report, "counting_since_s");
  printf ("revision %llu; counting since: %s ago; merged:",
          (unsigned long long)fetch_number (report, "revision"), age);
  for (size_t i = 0; i < fetch_length (report, "merged"); i++)
    {
      json_object *peer = fetch_element (report, "merged", i);

      fetch_age (age, sizeof age, peer, "since_s");
      printf ("%s %s (since %s ago)", i > 0 ? "," : "", fetch_text (peer, "instance"), age);
    }
  printf ("%s\n", fetch_length (report, "merged") == 0 ? " no other instance" : "");
  if (fetch_length (report, "missing") == 0)
    return;
  printf ("MISSING (counts not included):");
  for (size_t i = 0; i < fetch_length (report, "missing"); i++)
    printf (" %s", json_object_get_string (fetch_element (report, "missing", i)));
  printf ("\n");
}

static void
print_objective (const char *name, json_object *objective)
{
  json_object *table = fetch_object (objective, "windows");
  char target[24] = "";
  char allowed[24] = "";

  if (fetch_number (objective, "target_us") > 0)
    snprintf (target, sizeof target, "%.0f ms", fetch_real (objective, "target_us") / 1000);
  if (fetch_number (objective, "objective_ppm") > 0)
    snprintf (allowed, sizeof allowed, "%.2f%%", fetch_real (objective, "objective_ppm") / 10000);
  printf ("%-20.20s %-12s %8s %8s", name, fetch_text (objective, "objective"), allowed, target);
  for (size_t i = 0; i < sizeof windows / sizeof windows[0]; i++)
    {
      json_object *window = fetch_object (table, windows[i]);

      if (fetch_number (window, "total") > 0)
        printf (" %7.2f", fetch_real (window, "burn"));
      else
        printf (" %7s", "-");
    }
  printf ("  ");
  for (size_t i = 0; i < fetch_length (objective, "alerts"); i++)
    printf ("%s%s", i > 0 ? "," : "",
            json_object_get_string (fetch_element (objective, "alerts", i)));
  printf ("\n");
}

static void
print_burn (json_object *report, const char *list, const char *name_key, const char *title)
{
  printf ("\n%-20s %-12s %8s %8s %7s %7s %7s %7s %7s %7s  %s\n", title, "OBJECTIVE", "GOAL",
          "TARGET", "5m", "1h", "30m", "6h", "2h", "1d", "ALERT");
  for (size_t i = 0; i < fetch_length (report, list); i++)
    {
      json_object *row = fetch_element (report, list, i);

      for (size_t k = 0; k < fetch_length (row, "objectives"); k++)
        print_objective (fetch_text (row, name_key), fetch_element (row, "objectives", k));
    }
}

static void
print_counts (json_object *report)
{
  printf ("\nThis instance alone, since it started counting:\n%-20s %9s %9s %9s %9s %9s\n",
          "SERVICE", "ANSWERED", "GOOD", "REFUSED", "FAILED", "DEPARTED");
  for (size_t i = 0; i < fetch_length (report, "services"); i++)
    {
      json_object *row = fetch_element (report, "services", i);

      printf ("%-20.20s %9llu %9llu %9llu %9llu %9llu\n", fetch_text (row, "service"),
              (unsigned long long)fetch_number (row, "answered"),
              (unsigned long long)fetch_number (row, "good"),
              (unsigned long long)fetch_number (row, "refused"),
              (unsigned long long)fetch_number (row, "failed"),
              (unsigned long long)fetch_number (row, "departed"));
    }
}

static void
print_ends (json_object *report)
{
  if (fetch_length (report, "ends") > 0)
    printf ("\n%6s %-20s %9s  %s\n", "CODE", "NAME", "REQUESTS", "MEANING");
  for (size_t i = 0; i < fetch_length (report, "ends"); i++)
    {
      json_object *row = fetch_element (report, "ends", i);

      printf ("%6llu %-20s %9llu  %s\n", (unsigned long long)fetch_number (row, "code"),
              fetch_text (row, "name"), (unsigned long long)fetch_number (row, "count"),
              fetch_text (row, "summary"));
    }
  if (fetch_length (report, "ended_by") > 0)
    printf ("\n%-10s %-14s %9s\n", "ENDED BY", "IN PHASE", "REQUESTS");
  for (size_t i = 0; i < fetch_length (report, "ended_by"); i++)
    {
      json_object *row = fetch_element (report, "ended_by", i);

      printf ("%-10s %-14s %9llu\n", fetch_text (row, "ended_by"), fetch_text (row, "phase"),
              (unsigned long long)fetch_number (row, "count"));
    }
}

static void
print_waste (json_object *report)
{
  json_object *counters = fetch_object (report, "counters");
  double prefill = fetch_real (counters, "mangofork_prefill_tokens_total");
  double wasted = fetch_real (counters, "mangofork_wasted_prefill_tokens_total");

  printf (
      "\nprefilled %.0f tokens, wasted %.0f (%.2f%%); sent %llu tokens to callers; retries %llu, "
      "hedges %llu, resumes %llu\n",
      prefill, wasted, prefill > 0 ? 100 * wasted / prefill : 0,
      (unsigned long long)fetch_number (counters, "mangofork_tokens_total"),
      (unsigned long long)fetch_number (counters, "mangofork_retries_total"),
      (unsigned long long)fetch_number (counters, "mangofork_hedges_total"),
      (unsigned long long)fetch_number (counters, "mangofork_resumes_total"));
}

static void
print_report (json_object *report)
{
  fetch_print_instance (report);
  print_coverage (report);
  print_burn (report, "services", "service", "SERVICE");
  if (fetch_length (report, "customers") > 0)
    print_burn (report, "customers", "customer", "CUSTOMER");
  print_counts (report);
  print_ends (report);
  print_waste (report);
}

/* Writes the report as an HTML page to a file; "-" is standard output. */
static bool
write_html (json_object *report, const char *path)
{
  FILE *file = strcmp (path, "-") == 0 ? stdout : fopen (path, "w");
  MfBuffer page = { 0 };
  bool ok = file != NULL;

  report_html (report, &page);
  ok = ok && !page.failed
       && fwrite (mf_buffer_data (&page), 1, mf_buffer_bytes (&page), file)
              == mf_buffer_bytes (&page);
  if (file != NULL && file != stdout)
    ok = fclose (file) == 0 && ok;
  mf_buffer_clear (&page);
  if (!ok)
    perror (path);
  return ok;
}

int
command_report (int argc, char **argv)
{
  PageArguments arguments = { 0 };
  json_object *report;
  bool ok = true;

  page_parse (&command, argc, argv, &arguments);
  report = fetch_json (arguments.url, "/report");
  if (report == NULL)
    return EXIT_FAULTY;
  if (arguments.html != NULL)
    ok = write_html (report, arguments.html);
  if (arguments.json)
    fetch_print (report);
  else if (arguments.html == NULL)
    print_report (report);
  json_object_put (report);
  return ok ? EXIT_SUCCESS : EXIT_FAULTY;
}
