#ifndef MF_SERVER_H
#define MF_SERVER_H

#include "settings.h"

/* One router process: the event loop, the core and its adapters. */
typedef struct MfServer MfServer;

MfServer *mf_server_new (const MfSettings *settings, MfError *error);
void mf_server_run (MfServer *server);
void mf_server_free (MfServer *server);

#endif
