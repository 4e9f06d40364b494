#ifndef MF_ADMIN_H
#define MF_ADMIN_H

#include "core.h"

struct ev_loop;

/* The admin HTTP interface: metrics, health, status, report and explanations of requests. */
typedef struct MfAdmin MfAdmin;

typedef struct
{
  const char *listen;
  /* Called before a page is rendered, to update the counters that adapters keep; may be NULL. */
  void (*on_refresh) (void *data);
  void *data;
} MfAdminOptions;

/* The core must outlive the interface. */
MfAdmin *mf_admin_new (struct ev_loop *loop, const MfAdminOptions *options, const MfCore *core,
                       MfError *error);
/* Accepts NULL. */
void mf_admin_free (MfAdmin *admin);
uint16_t mf_admin_port (const MfAdmin *admin);

#endif
