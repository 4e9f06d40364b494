#ifndef MF_RELAY_LINE_H
#define MF_RELAY_LINE_H

#include "libmangofork/error.h"

#include <ev.h>

/* Structured lines on standard output: key=value pairs, a bounded number a second, never waiting
 * for the reader. What is left out is counted. */
typedef struct MfLines MfLines;

MfLines *mf_lines_new (struct ev_loop *loop, const char *instance, int fd, MfError *error);
/* Accepts NULL. Writes what is left, as far as the reader takes it. */
void mf_lines_free (MfLines *lines);
/* Adds one line: what happened, then the pairs. Changes of state are written before requests when
 * there is not room for all. */
void mf_lines_add (MfLines *lines, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/* The same for a change of state, which has an allowance of its own. */
void mf_lines_state (MfLines *lines, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
uint64_t mf_lines_dropped (const MfLines *lines);

#endif
