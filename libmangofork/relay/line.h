#ifndef MF_RELAY_LINE_H
#define MF_RELAY_LINE_H

#include "libmangofork/error.h"

#include <ev.h>

/* The relay's log: lines of key=value pairs. It is rate-limited and never blocks on a slow reader;
 * dropped lines are counted. */
typedef struct MfRelayLog MfRelayLog;

MfRelayLog *mf_relay_log_new (struct ev_loop *loop, const char *instance, int fd, MfError *error);
void mf_relay_log_free (MfRelayLog *log);
void mf_relay_log_event (MfRelayLog *log, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void mf_relay_log_state (MfRelayLog *log, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
uint64_t mf_relay_log_n_dropped (const MfRelayLog *log);

#endif
