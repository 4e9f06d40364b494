#ifndef MF_HTTPD_H
#define MF_HTTPD_H

#include "error.h"

#include <ev.h>
#include <microhttpd.h>

/* A libmicrohttpd daemon without threads of its own, run by a libev loop that watches the daemon's
 * epoll descriptor. */
typedef struct MfHttpd MfHttpd;

typedef struct
{
  const char *address;
  uint32_t connections_max;
  uint32_t connections_per_address_max; /* 0 for no limit */
  uint32_t idle_timeout_s;
  size_t connection_memory_bytes; /* for each connection */
  MHD_AccessHandlerCallback on_access;
  void *(*on_uri) (void *data, const char *uri, struct MHD_Connection *connection); /* or NULL */
  MHD_RequestCompletedCallback on_completed;  /* may be NULL */
  MHD_NotifyConnectionCallback on_connection; /* may be NULL */
  void *data;
} MfHttpdOptions;

MfHttpd *mf_httpd_new (struct ev_loop *loop, const MfHttpdOptions *options, MfError *error);
void mf_httpd_free (MfHttpd *httpd);
uint16_t mf_httpd_port (const MfHttpd *httpd);
/* Makes the daemon run before the loop next waits. To be called after a connection was resumed. */
void mf_httpd_schedule_run (MfHttpd *httpd);

#endif
