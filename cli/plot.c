#include "plot.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Layout of the figure, in units of the SVG view box. */
#define WIDTH 560.0
#define HEIGHT 200.0
#define LEFT 52.0
#define RIGHT 12.0
#define TOP 10.0
#define BOTTOM 24.0
#define Y_STEPS 4
#define X_STEPS 4

const char *
plot_colour (uint32_t i)
{
  static const char *const colours[PLOT_LINES_MAX]
      = { "#2563a8", "#d9822b", "#3a8f5c", "#a83246", "#6d5aa8", "#7a7f87" };

  return colours[i % PLOT_LINES_MAX];
}

void
plot_print (MfBuffer *out, const char *format, ...)
{
  char text[1024];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  mf_buffer_add_text (out, text);
}

void
plot_print_escaped (MfBuffer *out, const char *text)
{
  for (; *text != '\0'; text++)
    {
      if (*text == '<')
        mf_buffer_add_text (out, "&lt;");
      else if (*text == '>')
        mf_buffer_add_text (out, "&gt;");
      else if (*text == '&')
        mf_buffer_add_text (out, "&amp;");
      else if (*text == '"')
        mf_buffer_add_text (out, "&quot;");
      else
        mf_buffer_add (out, text, 1);
    }
}

/* Rounds a value up to 1, 2, 4 or 8 times a power of ten. */
static double
round_up (double value)
{
  double power = pow (10, floor (log10 (value)));

  if (value <= power)
    return power;
  if (value <= 2 * power)
    return 2 * power;
  if (value <= 4 * power)
    return 4 * power;
  return value <= 8 * power ? 8 * power : 10 * power;
}

/* Value of a line at a point; in a stacked plot, the sum with the lines below it. */
static double
height_at (const Plot *plot, uint32_t line, uint32_t point)
{
  double height = 0;

  for (uint32_t i = plot->stacked ? 0 : line; i <= line; i++)
    height += plot->lines[i].values[point];
  return height;
}

static double
axis_top (const Plot *plot)
{
  double top = plot->top_min > 0 ? plot->top_min : 1e-9;

  for (uint32_t line = 0; line < plot->n_lines; line++)
    {
      for (uint32_t i = 0; i < plot->n_points; i++)
        top = fmax (top, height_at (plot, line, i));
    }
  return round_up (top);
}

static double
x_position (const Plot *plot, uint32_t point)
{
  double span = plot->ages_s[0] - plot->ages_s[plot->n_points - 1];
  double elapsed = plot->ages_s[0] - plot->ages_s[point];

  return LEFT + (span > 0 ? elapsed / span : 1) * (WIDTH - LEFT - RIGHT);
}

static double
y_position (double value, double top)
{
  return HEIGHT - BOTTOM - value / top * (HEIGHT - TOP - BOTTOM);
}

static void
write_number (MfBuffer *out, double value)
{
  if (value >= 1e6)
    plot_print (out, "%gM", value / 1e6);
  else if (value >= 1e3)
    plot_print (out, "%gk", value / 1e3);
  else
    plot_print (out, "%g", value);
}

static void
write_axes (const Plot *plot, double top, MfBuffer *out)
{
  double oldest_s = plot->ages_s[0];
  double span_s = oldest_s - plot->ages_s[plot->n_points - 1];

  for (int i = 0; i <= Y_STEPS; i++)
    {
      double value = top * i / Y_STEPS;

      plot_print (out, "<line class=grid x1=%g x2=%g y1=%.1f y2=%.1f />", LEFT, WIDTH - RIGHT,
                  y_position (value, top), y_position (value, top));
      plot_print (out, "<text x=%g y=%.1f text-anchor=end>", LEFT - 6, y_position (value, top) + 4);
      write_number (out, value);
      plot_print (out, "</text>");
    }
  for (int i = 0; i <= X_STEPS && span_s > 0; i++)
    {
      double age_s = oldest_s - span_s * i / X_STEPS;
      double x = LEFT + (WIDTH - LEFT - RIGHT) * i / X_STEPS;
      const char *anchor = "middle";

      if (i == 0 || i == X_STEPS)
        anchor = i == 0 ? "start" : "end";
      plot_print (out, "<text x=%.1f y=%g text-anchor=%s>", x, HEIGHT - 6, anchor);
      if (age_s < 3)
        plot_print (out, "now</text>");
      else if (span_s > 600)
        plot_print (out, "-%.0f min</text>", age_s / 60);
      else
        plot_print (out, "-%.0f s</text>", age_s);
    }
}

static void
write_line (const Plot *plot, uint32_t line, double top, MfBuffer *out)
{
  const char *colour = plot_colour (line);

  if (plot->stacked)
    {
      plot_print (out, "<polygon fill=\"%s\" fill-opacity=.75 points=\"", colour);
      for (uint32_t i = plot->n_points; i-- > 0;)
        plot_print (out, "%.1f,%.1f ", x_position (plot, i),
                    y_position (line > 0 ? height_at (plot, line - 1, i) : 0, top));
    }
  else
    /* Later lines are thinner, so that an earlier line with the same values stays visible. */
    plot_print (out, "<polyline fill=none stroke=\"%s\" stroke-width=%g points=\"", colour,
                plot->n_lines == 1 ? 2.0 : 1.5 + 1.5 * (plot->n_lines - 1 - line));
  for (uint32_t i = 0; i < plot->n_points; i++)
    plot_print (out, "%.1f,%.1f ", x_position (plot, i),
                y_position (height_at (plot, line, i), top));
  plot_print (out, "\"/>");
}

static void
write_legend (const Plot *plot, MfBuffer *out)
{
  plot_print (out, "<p class=legend>");
  for (uint32_t i = 0; i < plot->n_lines; i++)
    {
      plot_print (out, "<span><i style=\"background:%s\"></i>", plot_colour (i));
      plot_print_escaped (out, plot->lines[i].name);
      plot_print (out, "</span>");
    }
  plot_print (out, "</p>");
}

void
plot_write (const Plot *plot, MfBuffer *out)
{
  double top;

  plot_print (out, "<figure><figcaption><b>");
  plot_print_escaped (out, plot->title);
  plot_print (out, "</b> <small>");
  plot_print_escaped (out, plot->unit);
  plot_print (out, "</small>");
  if (plot->note != NULL)
    {
      plot_print (out, "<br><small>");
      plot_print_escaped (out, plot->note);
      plot_print (out, "</small>");
    }
  plot_print (out, "</figcaption>");
  if (plot->n_points < 2 || plot->n_lines == 0)
    {
      plot_print (out, "<p class=none>%s</p></figure>",
                  plot->n_lines == 0 ? "no data" : "too few data points");
      return;
    }
  top = axis_top (plot);
  plot_print (out, "<svg viewBox=\"0 0 %g %g\" role=img>", WIDTH, HEIGHT);
  write_axes (plot, top, out);
  for (uint32_t i = 0; i < plot->n_lines; i++)
    write_line (plot, i, top, out);
  plot_print (out, "</svg>");
  write_legend (plot, out);
  plot_print (out, "</figure>\n");
}
