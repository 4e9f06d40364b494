#include "multi.h"

#include <stdlib.h>

struct MfMulti
{
  struct ev_loop *loop;
  MfMultiHooks hooks;
  void *data;
  CURLM *handle;
  ev_timer timer;    /* the time-out requested by libcurl */
  ev_timer deferred; /* never started, only fed with events: runs run_deferred from the loop */
  bool in_curl;      /* inside a call of libcurl */
};

/* Watcher of a socket of libcurl. */
typedef struct
{
  ev_io io;
  MfMulti *multi;
} SocketWatch;

/* Reports each transfer that has ended, then calls on_deferred. Does nothing inside libcurl, which
 * must not be called from its own callbacks. */
static void
run_deferred (MfMulti *multi)
{
  CURLMsg *message;
  int n_left;

  if (multi->in_curl)
    return;
  while ((message = curl_multi_info_read (multi->handle, &n_left)) != NULL)
    {
      if (message->msg == CURLMSG_DONE)
        multi->hooks.on_done (message->easy_handle, message->data.result, multi->data);
    }
  if (multi->hooks.on_deferred != NULL)
    multi->hooks.on_deferred (multi->data);
}

static void
run_socket_action (MfMulti *multi, curl_socket_t fd, int mask)
{
  int n_running;

  multi->in_curl = true;
  curl_multi_socket_action (multi->handle, fd, mask, &n_running);
  multi->in_curl = false;
  run_deferred (multi);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  run_socket_action (timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static void
on_deferred_event (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  run_deferred (timer->data);
}

static void
on_socket_ready (struct ev_loop *loop, ev_io *io, int events)
{
  SocketWatch *watch = io->data;
  int mask
      = ((events & EV_READ) ? CURL_CSELECT_IN : 0) | ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);

  (void)loop;
  run_socket_action (watch->multi, io->fd, mask);
}

/* libcurl's socket callback: changes which events of a socket are watched. */
static int
on_socket_change (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
  MfMulti *multi = data;
  SocketWatch *watch = socket_data;
  int events = ((what & CURL_POLL_IN) ? EV_READ : 0) | ((what & CURL_POLL_OUT) ? EV_WRITE : 0);

  (void)easy;
  if (watch != NULL)
    ev_io_stop (multi->loop, &watch->io);
  if (what == CURL_POLL_REMOVE)
    {
      curl_multi_assign (multi->handle, fd, NULL);
      free (watch);
      return 0;
    }
  if (watch == NULL)
    {
      watch = calloc (1, sizeof *watch);
      if (watch == NULL)
        return -1;
      watch->multi = multi;
      curl_multi_assign (multi->handle, fd, watch);
    }
  ev_io_init (&watch->io, on_socket_ready, fd, events);
  watch->io.data = watch;
  if (events != 0)
    ev_io_start (multi->loop, &watch->io);
  return 0;
}

/* libcurl's timer callback: restarts or stops the time-out. */
static int
on_timer_change (CURLM *handle, long timeout_ms, void *data)
{
  MfMulti *multi = data;

  (void)handle;
  ev_timer_stop (multi->loop, &multi->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&multi->timer, (double)timeout_ms / 1000.0, 0.0);
  ev_timer_start (multi->loop, &multi->timer);
  return 0;
}

static bool
set_callbacks (MfMulti *multi)
{
  CURLM *handle = multi->handle;

  return curl_multi_setopt (handle, CURLMOPT_SOCKETFUNCTION, on_socket_change) == CURLM_OK
         && curl_multi_setopt (handle, CURLMOPT_SOCKETDATA, multi) == CURLM_OK
         && curl_multi_setopt (handle, CURLMOPT_TIMERFUNCTION, on_timer_change) == CURLM_OK
         && curl_multi_setopt (handle, CURLMOPT_TIMERDATA, multi) == CURLM_OK
         && curl_multi_setopt (handle, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING) == CURLM_OK;
}

/* Returns a handle owned by the caller, or NULL with error set. */
MfMulti *
mf_multi_new (struct ev_loop *loop, const MfMultiHooks *hooks, void *data, MfError *error)
{
  MfMulti *multi = calloc (1, sizeof *multi);

  if (multi == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory for HTTP transfers");
      return NULL;
    }
  multi->loop = loop;
  multi->hooks = *hooks;
  multi->data = data;
  ev_timer_init (&multi->timer, on_timeout, 0.0, 0.0);
  ev_timer_init (&multi->deferred, on_deferred_event, 0.0, 0.0);
  /* Starting and ending calls has priority over passing on the tokens of running ones. */
  ev_set_priority (&multi->timer, EV_MAXPRI);
  ev_set_priority (&multi->deferred, EV_MAXPRI);
  multi->timer.data = multi;
  multi->deferred.data = multi;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  multi->handle = curl_multi_init ();
  if (multi->handle == NULL || !set_callbacks (multi))
    {
      mf_error_set (error, MF_CODE_INTERNAL, "cannot initialize the multi interface of libcurl");
      mf_multi_free (multi);
      return NULL;
    }
  return multi;
}

void
mf_multi_free (MfMulti *multi)
{
  if (multi == NULL)
    return;
  curl_multi_cleanup (multi->handle);
  ev_timer_stop (multi->loop, &multi->timer);
  ev_clear_pending (multi->loop, &multi->deferred);
  curl_global_cleanup ();
  free (multi);
}

CURLM *
mf_multi_handle (MfMulti *multi)
{
  return multi->handle;
}

/* Starts a transfer. Must not be called from within a callback of libcurl. */
bool
mf_multi_add (MfMulti *multi, CURL *easy)
{
  return curl_multi_add_handle (multi->handle, easy) == CURLM_OK;
}

/* Ends a transfer without calling on_done. Must not be called from within a callback of libcurl. */
void
mf_multi_remove (MfMulti *multi, CURL *easy)
{
  curl_multi_remove_handle (multi->handle, easy);
}

void
mf_multi_unpause (MfMulti *multi, CURL *easy)
{
  multi->in_curl = true;
  curl_easy_pause (easy, CURLPAUSE_CONT);
  multi->in_curl = false;
}

void
mf_multi_schedule_deferred (MfMulti *multi)
{
  ev_feed_event (multi->loop, &multi->deferred, EV_TIMER);
}

void
mf_multi_set_common (CURL *easy)
{
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
}
