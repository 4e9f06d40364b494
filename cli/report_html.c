#include "report_html.h"

#include "bars.h"
#include "fetch.h"
#include "plot.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define AGE_BYTES 24

static const char *const windows[] = { "5m", "1h", "30m", "6h", "2h", "1d" };
#define N_WINDOWS (sizeof windows / sizeof windows[0])

/* Burn rate at which an alert fires, for each window. An alert needs both windows of a pair: 5m and
 * 1h, 30m and 6h, 2h and 1d. */
static const double alert_rates[N_WINDOWS] = { 14.4, 14.4, 6, 6, 3, 3 };

static const char style[]
    = "<style>\n"
      "body{font:15px/1.45 system-ui,sans-serif;color:#1d2530;background:#f6f7f9;margin:0 auto;"
      "max-width:1240px;padding:1.5rem}\n"
      "h1{font-size:1.5rem;margin:0 0 .2rem}h2{font-size:1.1rem;margin:1.6rem 0 .5rem}\n"
      "p{margin:.2rem 0}small{color:#5b6675}\n"
      ".warn{background:#fdecea;border-left:4px solid #a83246;padding:.4rem .8rem;margin:.5rem 0}\n"
      "table{border-collapse:collapse;background:#fff;width:100%;font-variant-numeric:"
      "tabular-nums}\n"
      "th,td{padding:.3rem .6rem;border-bottom:1px solid #e3e7ec;text-align:right}\n"
      "th{font-weight:600;color:#5b6675;font-size:.85rem}\n"
      "th.l,td.l{text-align:left}\n"
      "td.idle{color:#9aa4b1}td.hot{background:#f4c7c3;font-weight:600}td.warm{background:#fbe7c6}"
      "\n"
      ".plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(420px,1fr));gap:1rem}\n"
      "figure{background:#fff;margin:0;padding:.8rem 1rem;border:1px solid #e3e7ec;"
      "border-radius:6px}figure.wide{margin-top:1rem}\n"
      "figcaption{margin-bottom:.4rem}svg{width:100%;height:auto}\n"
      "svg text{font:11px system-ui,sans-serif;fill:#5b6675}.grid{stroke:#e3e7ec}\n"
      ".legend span{margin-right:1rem;font-size:.85rem}.legend i{display:inline-block;width:.8rem;"
      "height:.8rem;border-radius:2px;margin-right:.35rem;vertical-align:-1px}\n"
      ".none{color:#5b6675;padding:3rem 0;text-align:center}\n"
      "</style>\n";

static void
write_head (json_object *report, MfBuffer *out)
{
  json_object *instance = fetch_object (report, "instance");
  char age[AGE_BYTES];

  plot_print (out, "<!doctype html><html lang=en><meta charset=utf-8>"
                   "<meta name=viewport content=\"width=device-width\">"
                   "<title>mangofork report: ");
  plot_print_escaped (out, fetch_text (instance, "name"));
  plot_print (out, "</title>\n");
  mf_buffer_add_text (out, style);
  plot_print (out, "<h1>Service levels, as seen by ");
  plot_print_escaped (out, fetch_text (instance, "name"));
  fetch_age (age, sizeof age, report, "counting_since_s");
  plot_print (out, "</h1><p>data centre ");
  plot_print_escaped (out, fetch_text (instance, "data_centre"));
  plot_print (out, ", revision %llu of the operators' text, counting since %s ago%s</p>\n",
              (unsigned long long)fetch_number (report, "revision"), age,
              fetch_bool (instance, "ready") ? "" : " <b>(not ready)</b>");
}

/* Lists the instances whose counts the burn rates include, and those that are missing. */
static void
write_coverage (json_object *report, MfBuffer *out)
{
  size_t n_missing = fetch_length (report, "missing");
  char age[AGE_BYTES];

  plot_print (out, "<p>Burn rates cover this instance");
  for (size_t i = 0; i < fetch_length (report, "merged"); i++)
    {
      json_object *peer = fetch_element (report, "merged", i);

      fetch_age (age, sizeof age, peer, "since_s");
      plot_print (out, ", ");
      plot_print_escaped (out, fetch_text (peer, "instance"));
      plot_print (out, " (since %s ago)", age);
    }
  plot_print (out, ". Counts are kept in memory only: a window covers no time before an instance "
                   "started counting.</p>\n");
  if (n_missing == 0)
    return;
  plot_print (out, "<p class=warn>Missing from the burn rates:");
  for (size_t i = 0; i < n_missing; i++)
    {
      plot_print (out, " ");
      plot_print_escaped (out, json_object_get_string (fetch_element (report, "missing", i)));
    }
  plot_print (out, "</p>\n");
}

static void
write_objective (const char *name, json_object *objective, MfBuffer *out)
{
  json_object *table = fetch_object (objective, "windows");

  plot_print (out, "<tr><td class=l>");
  plot_print_escaped (out, name);
  plot_print (out, "<td class=l>%s", fetch_text (objective, "objective"));
  if (fetch_number (objective, "objective_ppm") > 0)
    plot_print (out, "<td>%g%%", fetch_real (objective, "objective_ppm") / 10000);
  else
    plot_print (out, "<td>");
  if (fetch_number (objective, "target_us") > 0)
    plot_print (out, "<td>%g ms", fetch_real (objective, "target_us") / 1000);
  else
    plot_print (out, "<td>");
  for (size_t i = 0; i < N_WINDOWS; i++)
    {
      json_object *window = fetch_object (table, windows[i]);
      double burn = fetch_real (window, "burn");
      const char *css_class = burn > 1 ? " class=warm" : "";

      if (fetch_number (window, "total") == 0)
        {
          plot_print (out, "<td class=idle title=\"no requests\">&ndash;");
          continue;
        }

      if (burn >= alert_rates[i])
        css_class = " class=hot";
      plot_print (out, "<td%s title=\"%llu of %llu missed\">%.2f", css_class,
                  (unsigned long long)fetch_number (window, "bad"),
                  (unsigned long long)fetch_number (window, "total"), burn);
    }
  plot_print (out, "<td class=l>");
  for (size_t i = 0; i < fetch_length (objective, "alerts"); i++)
    plot_print (out, "%s%s", i > 0 ? ", " : "",
                json_object_get_string (fetch_element (objective, "alerts", i)));
  plot_print (out, "\n");
}

static void
write_burn (json_object *report, const char *list, const char *name_key, const char *title,
            MfBuffer *out)
{
  if (fetch_length (report, list) == 0)
    return;
  plot_print (
      out,
      "<h2>%s</h2><p><small>Rate at which the error budget is used up: 1 uses it up exactly "
      "over the objective's period. An alert fires while the burn rate of both of its windows "
      "is at least 14.4, 6 or 3.</small></p>"
      "<table><tr><th class=l>%s<th class=l>objective<th>goal<th>target",
      title, name_key);
  for (size_t i = 0; i < N_WINDOWS; i++)
    plot_print (out, "<th>%s", windows[i]);
  plot_print (out, "<th class=l>alert\n");
  for (size_t i = 0; i < fetch_length (report, list); i++)
    {
      json_object *row = fetch_element (report, list, i);

      for (size_t k = 0; k < fetch_length (row, "objectives"); k++)
        write_objective (k == 0 ? fetch_text (row, name_key) : "",
                         fetch_element (row, "objectives", k), out);
    }
  plot_print (out, "</table>\n");
}

/* Draws the burn rates of the services' objectives that had requests in the last hour. */
static void
write_bars (json_object *report, MfBuffer *out)
{
  Bars bars = { 0 };

  for (size_t i = 0; i < fetch_length (report, "services"); i++)
    {
      json_object *row = fetch_element (report, "services", i);

      for (size_t k = 0; k < fetch_length (row, "objectives") && bars.n_bars < BARS_MAX; k++)
        {
          json_object *objective = fetch_element (row, "objectives", k);
          json_object *table = fetch_object (objective, "windows");
          Bar *bar = &bars.bars[bars.n_bars];

          if (fetch_number (fetch_object (table, "1h"), "total") == 0)
            continue;
          bars.n_bars++;
          bar->short_burn = fetch_real (fetch_object (table, "5m"), "burn");
          bar->long_burn = fetch_real (fetch_object (table, "1h"), "burn");
          snprintf (bar->label, sizeof bar->label, "%.40s %s", fetch_text (row, "service"),
                    fetch_text (objective, "objective"));
        }
    }
  bars_write (&bars, out);
}

static void
write_counts (json_object *report, MfBuffer *out)
{
  static const char *const keys[] = { "answered", "good", "refused", "failed", "departed" };

  plot_print (out, "<h2>Requests of this instance</h2><table><tr><th class=l>service<th>answered"
                   "<th>good<th>refused, not run<th>failed<th>caller left\n");
  for (size_t i = 0; i < fetch_length (report, "services"); i++)
    {
      json_object *row = fetch_element (report, "services", i);

      plot_print (out, "<tr><td class=l>");
      plot_print_escaped (out, fetch_text (row, "service"));
      for (size_t k = 0; k < sizeof keys / sizeof keys[0]; k++)
        plot_print (out, "<td>%llu", (unsigned long long)fetch_number (row, keys[k]));
      plot_print (out, "\n");
    }
  plot_print (out, "</table>\n");
}

static void
write_ends (json_object *report, MfBuffer *out)
{
  if (fetch_length (report, "ends") > 0)
    plot_print (out,
                "<h2>Unanswered requests by result code</h2><table><tr><th class=l>code<th class=l>"
                "name<th class=l>meaning<th>requests\n");
  for (size_t i = 0; i < fetch_length (report, "ends"); i++)
    {
      json_object *row = fetch_element (report, "ends", i);

      plot_print (out, "<tr><td class=l>%llu<td class=l>%s<td class=l>%s<td>%llu\n",
                  (unsigned long long)fetch_number (row, "code"), fetch_text (row, "name"),
                  fetch_text (row, "summary"), (unsigned long long)fetch_number (row, "count"));
    }
  plot_print (
      out,
      "%s<h2>Unanswered requests by the party that ended them and by phase</h2><table><tr><th "
      "class=l>ended by"
      "<th class=l>phase<th>requests\n",
      fetch_length (report, "ends") > 0 ? "</table>\n" : "");
  for (size_t i = 0; i < fetch_length (report, "ended_by"); i++)
    {
      json_object *row = fetch_element (report, "ended_by", i);

      plot_print (out, "<tr><td class=l>%s<td class=l>%s<td>%llu\n", fetch_text (row, "ended_by"),
                  fetch_text (row, "phase"), (unsigned long long)fetch_number (row, "count"));
    }
  plot_print (out, "</table>\n");
}

/* Key of the series to plot: the fine one as long as it reaches back as far as the coarse one. */
static const char *
series_key (json_object *series)
{
  size_t n_coarse = fetch_length (series, "coarse");
  json_object *fine = fetch_element (series, "fine", 0);
  json_object *coarse = fetch_element (series, "coarse", 0);

  if (n_coarse < 10 || fetch_real (fine, "age_s") >= fetch_real (coarse, "age_s"))
    return "fine";
  return "coarse";
}

/* Initialises a plot without lines over the points of the series. */
static void
plot_init (Plot *plot, json_object *series, const char *title, const char *unit, const char *note)
{
  const char *key = series_key (series);
  size_t n = fetch_length (series, key);

  memset (plot, 0, sizeof *plot);
  plot->title = title;
  plot->unit = unit;
  plot->note = note;
  plot->n_points = (uint32_t)(n < PLOT_POINTS_MAX ? n : PLOT_POINTS_MAX);
  for (uint32_t i = 0; i < plot->n_points; i++)
    plot->ages_s[i] = fetch_real (fetch_element (series, key, i), "age_s");
}

static json_object *
point_at (json_object *series, uint32_t i)
{
  return fetch_element (series, series_key (series), i);
}

/* Adds a line for a counted value, as a rate per second, or for a level, as it is. */
static void
plot_add (Plot *plot, json_object *series, const char *name, const char *key, bool per_second)
{
  PlotLine *line = &plot->lines[plot->n_lines++];

  line->name = name;
  for (uint32_t i = 0; i < plot->n_points; i++)
    {
      json_object *point = point_at (series, i);
      double length_s = per_second ? fetch_real (point, "length_s") : 1;

      line->values[i] = length_s > 0 ? fetch_real (point, key) / length_s : 0;
    }
}

/* Adds a line for one value in per cent of another. Both are in the object of the role, or in the
 * point itself if role is NULL. */
static void
plot_add_share (Plot *plot, json_object *series, const char *name, const char *role,
                const char *part_key, const char *total_key)
{
  PlotLine *line = &plot->lines[plot->n_lines++];

  line->name = name;
  for (uint32_t i = 0; i < plot->n_points; i++)
    {
      json_object *point = point_at (series, i);
      double total;

      if (role != NULL)
        point = fetch_object (point, role);
      total = fetch_real (point, total_key);
      line->values[i] = total > 0 ? 100 * fetch_real (point, part_key) / total : 0;
    }
}

/* Adds a line for each of the result codes that ended most requests. */
static void
plot_add_ends (Plot *plot, json_object *series, json_object *report)
{
  for (size_t k = 0; k < fetch_length (report, "ends") && plot->n_lines < PLOT_LINES_MAX; k++)
    {
      PlotLine *line = &plot->lines[plot->n_lines++];

      line->name = fetch_text (fetch_element (report, "ends", k), "name");
      for (uint32_t i = 0; i < plot->n_points; i++)
        {
          json_object *point = point_at (series, i);
          double length_s = fetch_real (point, "length_s");

          line->values[i]
              = length_s > 0 ? fetch_real (fetch_object (point, "ends"), line->name) / length_s : 0;
        }
    }
}

static void
write_plots (json_object *report, Plot *plot, MfBuffer *out)
{
  json_object *series = fetch_object (report, "series");

  plot_print (out, "<h2>This instance over time</h2><div class=plots>\n");
  plot_init (plot, series, "Goodput", "requests/s",
             "good: complete, with the first token and 95 % of the token gaps within target");
  plot_add (plot, series, "offered", "requests", true);
  plot_add (plot, series, "answered", "answered", true);
  plot_add (plot, series, "good", "good", true);
  plot_write (plot, out);

  plot_init (plot, series, "Unanswered requests", "requests/s, stacked",
             "by result code; see docs/ERRORS.md");
  plot->stacked = true;
  plot_add_ends (plot, series, report);
  plot_write (plot, out);

  plot_init (plot, series, "Wasted prefill", "% of prefilled tokens",
             "tokens whose KV no decode used");
  plot->top_min = 2;
  plot_add_share (plot, series, "wasted", NULL, "wasted_tokens", "prefill_tokens");
  plot_write (plot, out);

  plot_init (plot, series, "Queue", "requests", "at this instance at the end of each interval");
  plot->top_min = 4;
  plot_add (plot, series, "in flight", "in_flight", false);
  plot_add (plot, series, "of these, queued", "queued", false);
  plot_add (plot, series, "unconfirmed cancels", "debts", false);
  plot_write (plot, out);

  plot_init (plot, series, "Engine occupancy", "% of slots in use",
             "of the upstreams that this instance uses, including slots used by other instances");
  plot->top_min = 100;
  plot_add_share (plot, series, "prefill", "prefill", "used", "slots");
  plot_add_share (plot, series, "decode", "decode", "used", "slots");
  plot_add_share (plot, series, "plain", "plain", "used", "slots");
  plot_write (plot, out);

  plot_init (plot, series, "Tokens", "tokens/s", NULL);
  plot_add (plot, series, "sent to callers", "tokens", true);
  plot_add (plot, series, "prefilled", "prefill_tokens", true);
  plot_write (plot, out);
  plot_print (out, "</div>\n");
}

void
report_html (json_object *report, MfBuffer *out)
{
  Plot *plot = calloc (1, sizeof *plot);

  write_head (report, out);
  write_coverage (report, out);
  write_burn (report, "services", "service", "Burn rate by service", out);
  write_bars (report, out);
  if (plot != NULL)
    write_plots (report, plot, out);
  write_counts (report, out);
  write_ends (report, out);
  write_burn (report, "customers", "customer", "Burn rate by customer, highest first", out);
  plot_print (out, "</html>\n");
  free (plot);
}
