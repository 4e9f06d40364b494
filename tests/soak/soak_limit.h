#ifndef SOAK_LIMIT_H
#define SOAK_LIMIT_H

#include "libmangofork/types.h"

/* The rate limits that one upstream names, and the requests that reach it. Checks that it does not
 * get more than they allow. */
typedef struct SoakLimit SoakLimit;

/* Limits are given in thousandths of a request a second. */
#define SOAK_LIMIT_NONE UINT32_MAX

SoakLimit *soak_limit_new (void);
void soak_limit_free (SoakLimit *limit);
/* The upstream names another limit from now on, or none (SOAK_LIMIT_NONE). */
void soak_limit_set (SoakLimit *limit, uint32_t milli_per_s, uint64_t now_us);
/* The limit that its answers name. */
uint32_t soak_limit_milli_per_s (const SoakLimit *limit);
/* An answer that names the limit is sent. */
void soak_limit_note_answer (SoakLimit *limit, uint64_t now_us);
/* A request has arrived. Returns whether that is more than allowed. */
bool soak_limit_note_arrival (SoakLimit *limit, uint64_t now_us);
/* Another process follows: it names the same limit, but has named none so far. */
void soak_limit_restart (SoakLimit *limit);
/* No arrival before until_us counts. */
void soak_limit_excuse (SoakLimit *limit, uint64_t until_us);
/* Prints for each limit that was named: the limit, the most arrivals in any 4 s, what was allowed
 * then, and the arrivals a second while it was in force. */
void soak_limit_print (SoakLimit *limit, const char *name, uint64_t now_us);

#endif
