#ifndef MF_SERVER_H
#define MF_SERVER_H

#include "settings.h"

/* One process: the event loop, the core and its adapters. */
typedef struct MfServer MfServer;

/* Opens every address of the settings. Fills in the incarnation. */
MfServer *mf_server_new (const MfSettings *settings, MfError *error);
/* Serves until it was asked to end by SIGTERM or SIGINT and has drained. */
void mf_server_run (MfServer *server);
/* Accepts NULL. */
void mf_server_free (MfServer *server);

#endif
