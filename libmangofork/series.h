#ifndef MF_SERIES_H
#define MF_SERIES_H

#include "core.h"

/* Counters over one interval, and gauges at its end. */
typedef struct
{
  uint64_t end_us;
  uint64_t length_us;
  uint64_t counters[MF_COUNTER_COUNT]; /* increments */
  uint32_t by_code[MF_CODES_MAX];      /* requests that ended with each code */
  uint32_t queued;
  uint32_t in_flight;
  uint32_t cancels;
  uint32_t slots_used[MF_ROLE_COUNT]; /* of the upstreams that this instance uses */
  uint32_t slots[MF_ROLE_COUNT];
} MfSeriesPoint;

/* Short intervals cover the last minutes, long ones the last hours. */
typedef enum
{
  MF_SERIES_FINE,
  MF_SERIES_COARSE,
  MF_SERIES_COUNT,
} MfSeriesKind;

typedef void (*MfSeriesFunc) (const MfSeriesPoint *point, void *data);

/* Calls func for each point kept, oldest first. */
void mf_series_foreach (const MfCore *core, MfSeriesKind kind, MfSeriesFunc func, void *data);
uint64_t mf_series_length_us (MfSeriesKind kind);

extern const MfController mf_series_controller;

#endif
