#ifndef CLI_PLOT_H
#define CLI_PLOT_H

#include "libmangofork/buffer.h"

#define PLOT_LINES_MAX 6
#define PLOT_POINTS_MAX 512

/* One line of a plot, with a value for each point. */
typedef struct
{
  const char *name;
  double values[PLOT_POINTS_MAX];
} PlotLine;

typedef struct
{
  const char *title;
  const char *unit;
  const char *note; /* below the title; may be NULL */
  double top_min;   /* the vertical axis extends at least to this value */
  bool stacked;     /* draws areas, each on top of the previous one */
  double ages_s[PLOT_POINTS_MAX];
  uint32_t n_points;
  PlotLine lines[PLOT_LINES_MAX];
  uint32_t n_lines;
} Plot;

/* Appends a plot as an inline SVG figure with its legend. */
void plot_write (const Plot *plot, MfBuffer *out);
/* Colour of the i-th line; colours repeat after PLOT_LINES_MAX lines. */
const char *plot_colour (uint32_t i);

/* Appends formatted text of at most 1023 bytes; the rest is cut off. */
void plot_print (MfBuffer *out, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
/* Appends text with the special characters of HTML escaped. */
void plot_print_escaped (MfBuffer *out, const char *text);

#endif
