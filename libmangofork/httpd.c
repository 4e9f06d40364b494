#include "httpd.h"

#include "socket.h"

#include <stdlib.h>
#include <unistd.h>

struct MfHttpd
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  ev_io readable;
  ev_timer timeout;
  ev_prepare before_wait;
  bool run_due; /* there is work that does not show on the epoll descriptor */
  uint16_t port;
};

/* Runs the daemon once and sets the timer to the daemon's next time-out. */
static void
httpd_run (MfHttpd *httpd)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

  httpd->run_due = false;
  MHD_run (httpd->daemon);
  if (MHD_get_timeout (httpd->daemon, &timeout_ms) != MHD_YES)
    {
      ev_timer_stop (httpd->loop, &httpd->timeout);
      return;
    }
  if (timeout_ms == 0)
    {
      httpd->run_due = true;
      return;
    }
  httpd->timeout.repeat = (double)timeout_ms / 1000;
  ev_timer_again (httpd->loop, &httpd->timeout);
}

static void
httpd_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  httpd_run (watcher->data);
}

static void
httpd_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  httpd_run (watcher->data);
}

/* Runs the daemon before the loop waits if it has work. If work is left after that, a timer that
 * expires at once makes the loop poll without waiting, so that other watchers run in between. */
static void
httpd_before_wait (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  MfHttpd *httpd = watcher->data;

  (void)events;
  if (httpd->run_due)
    httpd_run (httpd);
  if (httpd->run_due)
    {
      httpd->timeout.repeat = 1e-9;
      ev_timer_again (loop, &httpd->timeout);
    }
}

static void
httpd_watch (MfHttpd *httpd)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);

  ev_io_init (&httpd->readable, httpd_readable, info->epoll_fd, EV_READ);
  httpd->readable.data = httpd;
  ev_set_priority (&httpd->readable, EV_MAXPRI); /* new requests have priority over tokens */
  ev_io_start (httpd->loop, &httpd->readable);
  ev_init (&httpd->timeout, httpd_timeout);
  httpd->timeout.data = httpd;
  ev_prepare_init (&httpd->before_wait, httpd_before_wait);
  httpd->before_wait.data = httpd;
  ev_prepare_start (httpd->loop, &httpd->before_wait);
}

/* Starts to serve. Port 0 in the address selects any free port. Returns NULL with error set when it
 * cannot listen. */
MfHttpd *
mf_httpd_new (struct ev_loop *loop, const MfHttpdOptions *options, MfError *error)
{
  MfHttpd *httpd;
  int fd = mf_socket_listen (options->address, error);

  if (fd < 0)
    return NULL;
  httpd = calloc (1, sizeof *httpd);
  if (httpd != NULL)
    httpd->daemon = MHD_start_daemon (
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO, 0, NULL, NULL, options->on_access,
        options->data, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)options->connections_max, MHD_OPTION_PER_IP_CONNECTION_LIMIT,
        (unsigned)options->connections_per_address_max, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)options->idle_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        options->connection_memory_bytes, MHD_OPTION_NOTIFY_COMPLETED, options->on_completed,
        options->data, MHD_OPTION_NOTIFY_CONNECTION, options->on_connection, options->data,
        MHD_OPTION_URI_LOG_CALLBACK, options->on_uri, options->data,
        MHD_OPTION_SIGPIPE_HANDLED_BY_APP, 1, MHD_OPTION_END);
  if (httpd == NULL || httpd->daemon == NULL)
    {
      mf_error_set (error, MF_CODE_LISTEN, "cannot start the HTTP server on %s", options->address);
      close (fd);
      free (httpd);
      return NULL;
    }
  httpd->loop = loop;
  httpd->port = mf_socket_port (fd);
  httpd_watch (httpd);
  return httpd;
}

/* Stops serving. All suspended connections must have been resumed before. Accepts NULL. */
void
mf_httpd_free (MfHttpd *httpd)
{
  if (httpd == NULL)
    return;
  ev_io_stop (httpd->loop, &httpd->readable);
  ev_timer_stop (httpd->loop, &httpd->timeout);
  ev_prepare_stop (httpd->loop, &httpd->before_wait);
  MHD_stop_daemon (httpd->daemon);
  free (httpd);
}

uint16_t
mf_httpd_port (const MfHttpd *httpd)
{
  return httpd->port;
}

void
mf_httpd_schedule_run (MfHttpd *httpd)
{
  httpd->run_due = true;
}
