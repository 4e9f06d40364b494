#ifndef MF_LOGGER_H
#define MF_LOGGER_H

#include "action.h"

/* Writes log lines of key="value" pairs to standard error, by log4c. */
typedef struct MfLogger MfLogger;

MfLogger *mf_logger_new (const char *level, const char *instance, MfError *error);
void mf_logger_free (MfLogger *logger);
void mf_logger_log (MfLogger *logger, const MfLogAction *log);

#endif
