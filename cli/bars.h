#ifndef CLI_BARS_H
#define CLI_BARS_H

#include "libmangofork/buffer.h"

#define BARS_MAX 48

/* Burn of one objective over a short and a long window. */
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

/* Adds a figure of burns on a logarithmic scale, with the rates at which alerts fire. */
void bars_write (const Bars *bars, MfBuffer *out);

#endif
