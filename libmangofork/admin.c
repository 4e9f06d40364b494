#include "admin.h"

#include "explain.h"
#include "httpd.h"
#include "metrics.h"
#include "report.h"
#include "status.h"

#include <stdlib.h>
#include <string.h>

#define CONNECTIONS_MAX 64
#define CONNECTION_BYTES 8192
#define IDLE_TIMEOUT_S 15
#define EXPLAIN_PREFIX "/explain/"

struct MfAdmin
{
  MfAdminOptions options;
  const MfCore *core;
  MfHttpd *httpd;
};

/* Writes the body of a page and returns the HTTP status. argument is the rest of the URL after the
 * page's path. */
typedef unsigned (*PageFunc) (const MfCore *core, const char *argument, MfBuffer *body);

typedef struct
{
  const char *path;
  const char *content_type;
  PageFunc write;
} Page;

static unsigned
render_status (bool rendered)
{
  return rendered ? MHD_HTTP_OK : MHD_HTTP_INTERNAL_SERVER_ERROR;
}

static unsigned
write_metrics (const MfCore *core, const char *argument, MfBuffer *body)
{
  (void)argument;
  return render_status (mf_metrics_render (core, body));
}

static unsigned
write_status (const MfCore *core, const char *argument, MfBuffer *body)
{
  (void)argument;
  return render_status (mf_status_render (core, body));
}

static unsigned
write_report (const MfCore *core, const char *argument, MfBuffer *body)
{
  (void)argument;
  return render_status (mf_report_render (core, body));
}

static unsigned
write_explain (const MfCore *core, const char *argument, MfBuffer *body)
{
  if (mf_explain_render (core, argument, body))
    return MHD_HTTP_OK;
  mf_buffer_add_text (body, "{\"error\":\"no steps of this request are recorded\"}");
  return MHD_HTTP_NOT_FOUND;
}

static unsigned
write_health (const MfCore *core, const char *argument, MfBuffer *body)
{
  (void)core;
  (void)argument;
  mf_buffer_add_text (body, "ok\n");
  return MHD_HTTP_OK;
}

static unsigned
write_readiness (const MfCore *core, const char *argument, MfBuffer *body)
{
  (void)argument;
  mf_buffer_add_text (body, core->board.ready ? "ready\n" : "not ready\n");
  return core->board.ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE;
}

/* A page whose path ends in '/' takes the rest of the URL as its argument. */
static const Page pages[] = {
  { "/metrics", "text/plain; version=0.0.4", write_metrics },
  { "/status", "application/json", write_status },
  { "/report", "application/json", write_report },
  { EXPLAIN_PREFIX, "application/json", write_explain },
  { "/healthz", "text/plain", write_health },
  { "/readyz", "text/plain", write_readiness },
};

static const Page *
page_find (const char *path)
{
  for (size_t i = 0; i < MF_ARRAY_LEN (pages); i++)
    {
      size_t n = strlen (pages[i].path);

      if (pages[i].path[n - 1] == '/' ? strncmp (path, pages[i].path, n) == 0
                                      : strcmp (path, pages[i].path) == 0)
        return &pages[i];
    }
  return NULL;
}

static enum MHD_Result
queue_response (struct MHD_Connection *connection, unsigned status, const char *content_type,
                const MfBuffer *body)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      mf_buffer_bytes (body), (void *)mf_buffer_data (body), MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  if (response == NULL)
    return MHD_NO;
  MHD_add_response_header (response, "Content-Type", content_type);
  MHD_add_response_header (response, "Cache-Control", "no-store");
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *connection, const char *url, const char *method,
           const char *version, const char *upload_data, size_t *upload_data_bytes,
           void **request_cls)
{
  MfAdmin *admin = cls;
  const Page *page = page_find (url);
  MfBuffer body = { 0 };
  enum MHD_Result result;

  (void)version;
  (void)upload_data;
  (void)request_cls;
  *upload_data_bytes = 0;
  if (strcmp (method, "GET") != 0 && strcmp (method, "HEAD") != 0)
    {
      mf_buffer_add_text (&body, "only GET and HEAD are allowed\n");
      result = queue_response (connection, MHD_HTTP_METHOD_NOT_ALLOWED, "text/plain", &body);
    }
  else if (page == NULL)
    {
      mf_buffer_add_text (&body, "no such page\n");
      result = queue_response (connection, MHD_HTTP_NOT_FOUND, "text/plain", &body);
    }
  else
    {
      unsigned status;

      if (admin->options.on_refresh != NULL)
        admin->options.on_refresh (admin->options.data);
      status = page->write (admin->core, url + strlen (page->path), &body);
      result = queue_response (connection, status, page->content_type, &body);
    }
  mf_buffer_clear (&body);
  return result;
}

MfAdmin *
mf_admin_new (struct ev_loop *loop, const MfAdminOptions *options, const MfCore *core,
              MfError *error)
{
  MfAdmin *admin = calloc (1, sizeof *admin);
  const MfHttpdOptions httpd = {
    .address = options->listen,
    .connections_max = CONNECTIONS_MAX,
    .idle_timeout_s = IDLE_TIMEOUT_S,
    .connection_memory_bytes = CONNECTION_BYTES,
    .on_access = on_access,
    .data = admin,
  };

  if (admin == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the admin interface");
      return NULL;
    }
  admin->options = *options;
  admin->core = core;
  admin->httpd = mf_httpd_new (loop, &httpd, error);
  if (admin->httpd != NULL)
    return admin;
  free (admin);
  return NULL;
}

void
mf_admin_free (MfAdmin *admin)
{
  if (admin == NULL)
    return;
  mf_httpd_free (admin->httpd);
  free (admin);
}

uint16_t
mf_admin_port (const MfAdmin *admin)
{
  return mf_httpd_port (admin->httpd);
}
