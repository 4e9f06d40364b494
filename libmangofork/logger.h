#ifndef MF_LOGGER_H
#define MF_LOGGER_H

#include "action.h"

/* Log lines with fixed keys, on standard error by log4c. */
typedef struct MfLogger MfLogger;

/* level is one of log4c's: "error", "warn", "notice", "info", "debug". */
MfLogger *mf_logger_new (const char *level, const char *instance, MfError *error);
/* Accepts NULL. */
void mf_logger_free (MfLogger *logger);
/* One change of state. */
void mf_logger_log (MfLogger *logger, const MfLogAction *log);

#endif
