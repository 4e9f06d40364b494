#ifndef CLI_BARS_H
#define CLI_BARS_H

#include "libmangofork/buffer.h"

#define BARS_MAX 48

/* Burn rate of one objective over a short and a long window. */
typedef struct
{
  char label[64];
  double short_burn;
  double long_burn;
} Bar;

typedef struct
{
  Bar bars[BARS_MAX];
  uint32_t n_bars;
} Bars;

/* Appends an SVG bar chart of burn rates on a logarithmic scale. Lines mark the rates at which
 * alerts fire. */
void bars_write (const Bars *bars, MfBuffer *out);

#endif
