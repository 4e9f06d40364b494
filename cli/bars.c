#include "bars.h"

#include "plot.h"

#include <math.h>

#define WIDTH 1180.0
#define LEFT 250.0
#define RIGHT 40.0
#define ROW 30.0
#define FOOT 26.0
#define BURN_MIN 0.1
#define BURN_MAX 1000.0

static double
x_position (double burn)
{
  double least = log10 (BURN_MIN);
  double share
      = (log10 (fmin (fmax (burn, BURN_MIN), BURN_MAX)) - least) / (log10 (BURN_MAX) - least);

  return LEFT + share * (WIDTH - LEFT - RIGHT);
}

static void
write_mark (double burn, const char *name, const char *colour, double height, MfBuffer *out)
{
  plot_print (out, "<line x1=%.1f x2=%.1f y1=0 y2=%g stroke=\"%s\" />", x_position (burn),
              x_position (burn), height - FOOT + 4, colour);
  plot_print (out, "<text x=%.1f y=%g text-anchor=middle>%s</text>", x_position (burn), height - 6,
              name);
}

static void
write_bar (const Bar *bar, double y, MfBuffer *out)
{
  plot_print (out, "<text x=%g y=%g text-anchor=end>", LEFT - 10, y + ROW / 2 + 4);
  plot_print_escaped (out, bar->label);
  plot_print (out, "</text>");
  plot_print (out, "<rect x=%g y=%g width=%.1f height=9 fill=\"%s\" />", LEFT, y + 5,
              x_position (bar->short_burn) - LEFT, plot_colour (0));
  plot_print (out, "<rect x=%g y=%g width=%.1f height=9 fill=\"%s\" />", LEFT, y + 15,
              x_position (bar->long_burn) - LEFT, plot_colour (1));
  plot_print (out, "<text x=%.1f y=%g>%.3g / %.3g</text>",
              x_position (fmax (bar->short_burn, bar->long_burn)) + 6, y + ROW / 2 + 4,
              bar->short_burn, bar->long_burn);
}

void
bars_write (const Bars *bars, MfBuffer *out)
{
  double height = ROW * bars->n_bars + FOOT;

  plot_print (out,
              "<figure class=wide><figcaption><b>Burn rate</b> <small>over 5 minutes and 1 hour, "
              "logarithmic; objectives without requests are left out</small></figcaption>");
  if (bars->n_bars == 0)
    {
      plot_print (out, "<p class=none>no requests in the last hour</p></figure>\n");
      return;
    }
  plot_print (out, "<svg viewBox=\"0 0 %g %g\" role=img>", WIDTH, height);
  write_mark (BURN_MIN, "0.1", "#e3e7ec", height, out);
  write_mark (1, "1: on budget", "#9aa4b1", height, out);
  write_mark (14.4, "14.4: page", "#a83246", height, out);
  write_mark (100, "100", "#e3e7ec", height, out);
  write_mark (BURN_MAX, "1000", "#e3e7ec", height, out);
  for (uint32_t i = 0; i < bars->n_bars; i++)
    write_bar (&bars->bars[i], ROW * i, out);
  plot_print (out,
              "</svg><p class=legend><span><i style=\"background:%s\"></i>5 minutes</span>"
              "<span><i style=\"background:%s\"></i>1 hour</span></p></figure>\n",
              plot_colour (0), plot_colour (1));
}
