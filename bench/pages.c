/* Time that the operators' pages take on the loop, at the target's 2,400 upstreams and customers
 * and at today's sizes, and the memory that burn takes. */

#include "libmangofork/metrics.h"
#include "libmangofork/report.h"
#include "libmangofork/status.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SERVICES 8
#define LIMIT_MS 20.0
#define REVISION 1
#define ROUNDS_MAX 64

typedef bool (*RenderFunc) (const MfCore *core, MfBuffer *out);

typedef struct
{
  uint32_t n_upstreams;
  uint32_t n_customers;
  uint32_t n_rounds;
} Size;

static void
on_action (const MfAction *action, void *data)
{
  (void)action;
  (void)data;
}

static double
now_ms (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
}

static void
add_services (MfBuffer *text)
{
  char row[512];

  for (uint32_t i = 0; i < SERVICES; i++)
    {
      snprintf (row, sizeof row,
                "%s{\"name\":\"s%u\",\"kind\":\"plain\",\"class\":\"read\",\"path\":\"/s%u\","
                "\"pool\":\"p%u\",\"deadline_ms\":1000}",
                i > 0 ? "," : "", i, i, i);
      mf_buffer_add_text (text, row);
    }
}

static void
add_pools (MfBuffer *text, uint32_t n_upstreams)
{
  char row[512];

  for (uint32_t i = 0; i < SERVICES; i++)
    {
      bool first = true;

      snprintf (row, sizeof row, "%s{\"name\":\"p%u\",\"role\":\"plain\",\"upstreams\":[",
                i > 0 ? "," : "", i);
      mf_buffer_add_text (text, row);
      for (uint32_t k = i; k < n_upstreams; k += SERVICES)
        {
          snprintf (row, sizeof row,
                    "%s{\"name\":\"u%u\",\"address\":\"10.0.%u.%u:80\",\"data_centre\":\"a\","
                    "\"slots\":20}",
                    first ? "" : ",", k, k / 250, k % 250 + 1);
          mf_buffer_add_text (text, row);
          first = false;
        }
      mf_buffer_add_text (text, "]}");
    }
}

static void
add_customers (MfBuffer *text, uint32_t n_customers)
{
  char row[512];

  for (uint32_t i = 0; i < n_customers; i++)
    {
      snprintf (row, sizeof row, "%s{\"name\":\"customer-%u\",\"key_digest\":\"%064x\"}",
                i > 0 ? "," : "", i, i + 1);
      mf_buffer_add_text (text, row);
    }
}

static int
compare (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return left < right ? -1 : left > right;
}

static MfCore *
core_new (const Size *size, double *parse_ms)
{
  MfBuffer text = { 0 };
  MfOptions options;
  MfError error = { 0 };
  MfConfig *config = NULL;
  MfCore *core;
  double times[ROUNDS_MAX];

  mf_buffer_add_text (&text, "{\"services\":[");
  add_services (&text);
  mf_buffer_add_text (&text, "],\"pools\":[");
  add_pools (&text, size->n_upstreams);
  mf_buffer_add_text (&text, "],\"customers\":[");
  add_customers (&text, size->n_customers);
  mf_buffer_add_text (&text, "]}");
  mf_core_options (&options);
  mf_name_set (options.self.name, sizeof options.self.name, "entry-1");
  core = mf_core_new (&options, MF_US_PER_S, 0, on_action, NULL, &error);
  for (uint32_t i = 0; i < size->n_rounds; i++)
    {
      double start_ms = now_ms ();

      mf_config_free (config);
      config
          = mf_config_parse (mf_buffer_data (&text), mf_buffer_bytes (&text), REVISION, NULL, NULL);
      times[i] = now_ms () - start_ms;
    }
  qsort (times, size->n_rounds, sizeof *times, compare);
  *parse_ms = times[size->n_rounds / 2];
  mf_buffer_clear (&text);
  if (core == NULL || config == NULL)
    {
      fprintf (stderr, "no core or no text\n");
      exit (1);
    }
  mf_core_set_config (core, config);
  return core;
}

/* One request of each customer, every tenth of them late. */
static void
add_samples (MfCore *core, uint32_t seed)
{
  for (uint32_t i = 0; i < core->board.config->n_customers; i++)
    {
      MfBurnSample sample = { .service = (i + seed) % SERVICES,
                              .customer = i,
                              .code = MF_CODE_OK,
                              .ttft_us = (i + seed) % 10 == 0 ? 2 * MF_US_PER_S : 1 };

      mf_burn_record (core->board.burn, core->board.config, &sample, core->board.now_us);
    }
}

/* The median time of a renderer. */
static double
median_ms (const MfCore *core, RenderFunc render, uint32_t n_rounds, size_t *n_bytes)
{
  double times[ROUNDS_MAX];

  for (uint32_t i = 0; i < n_rounds; i++)
    {
      MfBuffer out = { 0 };
      double start_ms = now_ms ();

      render (core, &out);
      times[i] = now_ms () - start_ms;
      *n_bytes = mf_buffer_bytes (&out);
      mf_buffer_clear (&out);
    }
  qsort (times, n_rounds, sizeof *times, compare);
  return times[n_rounds / 2];
}

static void
measure (const Size *size, uint32_t seed, bool is_target, double limit_ms[4])
{
  static const struct
  {
    const char *name;
    RenderFunc render;
  } pages[] = { { "metrics", mf_metrics_render },
                { "status", mf_status_render },
                { "report", mf_report_render } };
  double parse_ms;
  MfCore *core = core_new (size, &parse_ms);

  add_samples (core, seed);
  printf ("%u upstreams, %u customers: text read in %.2f ms\n", size->n_upstreams,
          size->n_customers, parse_ms);
  for (size_t i = 0; i < MF_ARRAY_LEN (pages); i++)
    {
      size_t n_bytes = 0;
      double ms = median_ms (core, pages[i].render, size->n_rounds, &n_bytes);

      printf ("  %-8s %8.2f ms %9zu bytes\n", pages[i].name, ms, n_bytes);
      if (is_target)
        limit_ms[i] = ms;
    }
  if (is_target)
    limit_ms[3] = parse_ms;
  mf_core_free (core);
}

int
main (int argc, char **argv)
{
  static const char *const names[] = { "metrics", "status", "report", "text" };
  Size sizes[] = { { 12, 3, 32 }, { 120, 120, 32 }, { 2400, 2400, 32 } };
  double results_ms[4] = { 0 };
  uint32_t seed = 1;

  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "--seed") == 0 && i + 1 < argc)
        seed = (uint32_t)strtoul (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "--quick") == 0)
        sizes[2].n_rounds = 3;
    }
  for (size_t i = 0; i < MF_ARRAY_LEN (sizes); i++)
    measure (&sizes[i], seed, i + 1 == MF_ARRAY_LEN (sizes), results_ms);
  for (size_t i = 0; i < MF_ARRAY_LEN (names); i++)
    printf ("RESULT pages_%s_ms_at_2400 %.2f %.0f %s\n", names[i], results_ms[i], LIMIT_MS,
            results_ms[i] <= LIMIT_MS ? "met" : "missed");
  return 0;
}
