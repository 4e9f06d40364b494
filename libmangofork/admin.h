#ifndef MF_ADMIN_H
#define MF_ADMIN_H

#include "core.h"

struct ev_loop;

/* The operators' HTTP interface: counters, health, status, report and explanations. */
typedef struct MfAdmin MfAdmin;

typedef struct
{
  const char *listen;
  /* Brings counters that adapters keep up to date before they are shown; may be NULL. */
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
