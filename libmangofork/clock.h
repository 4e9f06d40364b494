#ifndef MF_CLOCK_H
#define MF_CLOCK_H

#include <stdint.h>

uint64_t mf_clock_now_us (void);
uint64_t mf_clock_boottime_us (void);
uint64_t mf_clock_wall_ms (void);

#endif
