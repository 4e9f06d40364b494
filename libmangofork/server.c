#include "server.h"

#include "admin.h"
#include "clock.h"
#include "core.h"
#include "http_in.h"
#include "http_out.h"
#include "logger.h"
#include "peer_link.h"
#include "platform.h"

#include <ev.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <sys/resource.h>

struct MfServer
{
  MfSettings settings;
  struct ev_loop *loop;
  MfCore *core;
  MfLogger *logger;
  MfHttpIn *http_in;
  MfHttpOut *http_out;
  MfPlatform *platform;
  MfPeerLinks *links; /* NULL when no key file is set */
  MfAdmin *admin;
  ev_signal terminate;
  ev_signal interrupt;
  ev_signal hangup;
  ev_timer tick;
  ev_prepare tick_prepare;
  ev_prepare exit_prepare;
  uint64_t tick_due_us;      /* time for which tick is armed; UINT64_MAX when it is not */
  bool core_done;            /* the core has asked to exit; responses may still be unsent */
  uint64_t exit_deadline_us; /* end of the drain, complete or not; 0 before a shutdown signal */
  uint64_t *failed_calls;    /* ids of calls that could not be started */
  size_t n_failed_calls;
  size_t failed_calls_max; /* allocated size of failed_calls */
};

/* Sets the clocks of an event and passes it to the core. */
static void
core_step (MfServer *server, MfEvent *event)
{
  event->now_us = mf_clock_now_us ();
  event->wall_ms = mf_clock_wall_ms ();
  mf_core_step (server->core, event);
}

/* Passes an event to the core, and then an MF_EVENT_CALL_FAILED for each call that could not be
 * started. These wait for the end of the step: the core must not be called from its own actions. */
static void
server_step (MfServer *server, const MfEvent *event)
{
  MfEvent copy = *event;

  core_step (server, &copy);
  for (size_t i = 0; i < server->n_failed_calls; i++)
    {
      MfEvent failed
          = { .type = MF_EVENT_CALL_FAILED, .call = { .call_id = server->failed_calls[i] } };

      core_step (server, &failed);
    }
  server->n_failed_calls = 0;
}

static void
on_event (const MfEvent *event, void *data)
{
  server_step (data, event);
}

/* Records a call that could not be started. server_step reports it to the core. */
static void
call_queue_failure (MfServer *server, uint64_t call_id)
{
  if (server->n_failed_calls == server->failed_calls_max)
    {
      size_t size = server->failed_calls_max == 0 ? 64 : server->failed_calls_max * 2;
      uint64_t *failed = realloc (server->failed_calls, size * sizeof *failed);

      if (failed == NULL)
        abort ();
      server->failed_calls = failed;
      server->failed_calls_max = size;
    }
  server->failed_calls[server->n_failed_calls++] = call_id;
}

/* Starts a call to an upstream. A call that needs the caller's request fails when it is gone. */
static void
call_start (MfServer *server, const MfCallAction *call)
{
  MfCallInput input = { 0 };
  bool provides_answer = call->kind == MF_CALL_DECODE || call->kind == MF_CALL_RESUME;

  if (call->request_id != 0 && !mf_http_in_call_input (server->http_in, call->request_id, &input)
      && (provides_answer || call->kind == MF_CALL_PREFILL || call->kind == MF_CALL_PLAIN))
    {
      call_queue_failure (server, call->call_id);
      return;
    }
  mf_http_out_start (server->http_out, call, &input);
  if (provides_answer)
    mf_http_in_set_call (server->http_in, call->request_id, call->call_id);
}

static void
peer_action_run (MfServer *server, const MfAction *action)
{
  const MfPeerAction *peer = &action->peer;

  if (action->type == MF_ACTION_PEER_OPEN)
    mf_peer_links_open (server->links, peer->name, peer->address);
  else if (action->type == MF_ACTION_PEER_CLOSE)
    mf_peer_links_close (server->links, peer->link_id);
  else
    mf_peer_links_send (server->links, peer->link_id, peer->message);
}

static void
on_action (const MfAction *action, void *data)
{
  MfServer *server = data;

  switch (action->type)
    {
    case MF_ACTION_CALL_START:
      call_start (server, &action->call);
      break;
    case MF_ACTION_CALL_ABORT:
      mf_http_out_abort (server->http_out, action->call_id);
      break;
    case MF_ACTION_KV_HANDLE_DROP:
      mf_http_out_drop_kv_handle (server->http_out, action->call_id);
      break;
    case MF_ACTION_ANSWER_TOKENS:
    case MF_ACTION_ANSWER_END:
    case MF_ACTION_ANSWER_PLAIN:
    case MF_ACTION_ANSWER_REFUSE:
      mf_http_in_answer (server->http_in, action);
      break;
    case MF_ACTION_PLATFORM_READ_TEXT:
      mf_platform_read_text (server->platform, action->platform_index);
      break;
    case MF_ACTION_PLATFORM_READ_LIST:
      mf_platform_read_list (server->platform, action->platform_index);
      break;
    case MF_ACTION_LOG:
      mf_logger_log (server->logger, &action->log);
      break;
    case MF_ACTION_EXIT:
      server->core_done = true;
      break;
    case MF_ACTION_PEER_OPEN:
    case MF_ACTION_PEER_CLOSE:
    case MF_ACTION_PEER_SEND:
      if (server->links != NULL)
        peer_action_run (server, action);
      break;
    case MF_ACTION_READY: /* readiness is read from the board */
    case MF_ACTION_COUNT:
      break;
    }
}

static void
on_pause_reading (uint64_t call_id, bool paused, void *data)
{
  MfServer *server = data;

  mf_http_out_pause_reading (server->http_out, call_id, paused);
}

static const MfConfig *
on_config (void *data)
{
  const MfServer *server = data;

  return server->core->board.config;
}

static void
on_refused (MfCode code, void *data)
{
  MfServer *server = data;

  server->core->board.counters.by_code[mf_code_index (code)]++;
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  MfServer *server = watcher->data;
  const MfEvent event = { .type = MF_EVENT_TICK };

  (void)loop;
  (void)events;
  server->tick_due_us = UINT64_MAX;
  server_step (server, &event);
}

/* Ends the loop once the core has asked to exit and every response has been sent completely, or the
 * drain limit is reached. */
static void
on_prepare_exit (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  const MfServer *server = watcher->data;

  (void)events;
  if (server->core_done
      && (mf_http_in_count (server->http_in) == 0
          || mf_clock_now_us () >= server->exit_deadline_us))
    ev_break (loop, EVBREAK_ALL);
}

/* Arms the tick for the time at which the core next needs one, each time before the loop waits. */
static void
on_prepare_tick (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  MfServer *server = watcher->data;
  uint64_t due_us = mf_core_next_us (server->core);
  uint64_t now_us = mf_clock_now_us ();

  (void)events;
  if (due_us == server->tick_due_us)
    return;
  server->tick_due_us = due_us;
  ev_timer_stop (loop, &server->tick);
  if (due_us == UINT64_MAX)
    return;
  ev_now_update (loop);
  ev_timer_set (&server->tick,
                due_us > now_us ? (double)(due_us - now_us) / (double)MF_US_PER_S : 0, 0);
  ev_timer_start (loop, &server->tick);
}

/* Starts the drain. The limit counts from the first signal. */
static void
on_shutdown_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  const MfEvent event = { .type = MF_EVENT_SHUTDOWN };
  MfServer *server = watcher->data;

  (void)loop;
  (void)events;
  if (server->exit_deadline_us == 0)
    server->exit_deadline_us = mf_clock_now_us () + server->settings.options.drain_limit_us;
  server_step (server, &event);
}

/* Reloads the key files, so that keys can be changed without a restart. Unreadable files leave the
 * keys unchanged. */
static void
on_reload_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  MfServer *server = watcher->data;
  MfPeerKeys keys;
  MfError error = { 0 };
  MfLogAction log = { .subject = "keys", .name = server->settings.peer_key_file, .to = "in force" };

  (void)loop;
  (void)events;
  if (server->links == NULL)
    return;
  if (mf_peer_keys_read (server->settings.peer_key_file, server->settings.peer_key_old_file, &keys,
                         &error))
    mf_peer_links_set_keys (server->links, &keys);
  else
    {
      log.to = "unchanged";
      log.reason = error.text;
    }
  mf_logger_log (server->logger, &log);
}

/* Copies the counters of the peer links to those of the core, with which they are published. */
static void
counters_refresh (void *data)
{
  MfServer *server = data;
  uint64_t *values = server->core->board.counters.values;
  const MfPeerLinkStats *stats;

  if (server->links == NULL)
    return;
  stats = mf_peer_links_stats (server->links);
  values[MF_COUNTER_PEER_FRAMES_IN] = stats->frames_in;
  values[MF_COUNTER_PEER_FRAMES_OUT] = stats->frames_out;
  values[MF_COUNTER_PEER_FRAMES_BAD] = stats->frames_bad;
  values[MF_COUNTER_PEER_BYTES_OUT] = stats->bytes_out;
}

static void
watchers_start (MfServer *server)
{
  ev_signal_init (&server->hangup, on_reload_signal, SIGHUP);
  server->hangup.data = server;
  ev_signal_start (server->loop, &server->hangup);
  ev_signal_init (&server->terminate, on_shutdown_signal, SIGTERM);
  server->terminate.data = server;
  ev_signal_start (server->loop, &server->terminate);
  ev_signal_init (&server->interrupt, on_shutdown_signal, SIGINT);
  server->interrupt.data = server;
  ev_signal_start (server->loop, &server->interrupt);
  ev_init (&server->tick, on_tick);
  server->tick.data = server;
  server->tick_due_us = UINT64_MAX;
  ev_prepare_init (&server->tick_prepare, on_prepare_tick);
  server->tick_prepare.data = server;
  ev_prepare_start (server->loop, &server->tick_prepare);
  ev_prepare_init (&server->exit_prepare, on_prepare_exit);
  server->exit_prepare.data = server;
  ev_prepare_start (server->loop, &server->exit_prepare);
}

static bool
http_in_open (MfServer *server, MfError *error)
{
  const MfSettings *settings = &server->settings;
  const MfHttpInOptions options = {
    .listen = settings->listen,
    .header_bytes_max = settings->header_bytes_max,
    .body_bytes_max = settings->body_bytes_max,
    .connections_max = settings->connections_max,
    .connections_per_address_max = settings->connections_per_address_max,
    .slow_sender_us = settings->slow_sender_us,
    .caller_buffer_bytes = settings->caller_buffer_bytes,
  };
  const MfHttpInHooks hooks = {
    .on_event = on_event,
    .on_pause_reading = on_pause_reading,
    .on_config = on_config,
    .on_refused = on_refused,
  };

  server->http_in = mf_http_in_new (server->loop, &options, &hooks, server, error);
  return server->http_in != NULL;
}

static bool
http_out_open (MfServer *server, MfError *error)
{
  const MfHttpOutHooks hooks = {
    .self = server->settings.options.self,
    .answer_bytes_max = server->settings.answer_bytes_max,
    .on_event = on_event,
  };

  server->http_out = mf_http_out_new (server->loop, &hooks, server, error);
  if (server->http_out == NULL)
    return false;
  server->platform = mf_platform_new (server->loop, &server->settings, on_event, server, error);
  return server->platform != NULL;
}

/* Opens the peer listener. Without a key file there are no links to other instances. */
static bool
peers_open (MfServer *server, MfError *error)
{
  const MfSettings *settings = &server->settings;
  MfPeerLinkOptions options = {
    .listen = settings->peer,
    .address = settings->options.address,
    .self = settings->options.self,
  };
  const MfLogAction alone = {
    .subject = "peer",
    .name = settings->options.self.name,
    .to = "alone",
    .reason = "no peers.key_file is set: no links to other instances",
  };

  if (settings->peer_key_file[0] == '\0')
    {
      mf_logger_log (server->logger, &alone);
      return true;
    }
  if (!mf_peer_keys_read (settings->peer_key_file, settings->peer_key_old_file, &options.keys,
                          error))
    return false;
  server->links = mf_peer_links_new (server->loop, &options, on_event, server, error);
  sodium_memzero (&options.keys, sizeof options.keys);
  return server->links != NULL;
}

static bool
admin_open (MfServer *server, MfError *error)
{
  const MfAdminOptions options = {
    .listen = server->settings.admin,
    .on_refresh = counters_refresh,
    .data = server,
  };

  server->admin = mf_admin_new (server->loop, &options, server->core, error);
  return server->admin != NULL;
}

static bool
core_open (MfServer *server, MfError *error)
{
  MfOptions *options = &server->settings.options;

  if (options->address[0] == '\0')
    mf_name_set (options->address, sizeof options->address, server->settings.peer);

  options->self.incarnation = mf_clock_wall_ms ();
  randombytes_buf (&options->seed, sizeof options->seed);
  server->core
      = mf_core_new (options, mf_clock_now_us (), mf_clock_wall_ms (), on_action, server, error);
  return server->core != NULL;
}

/* Raises the soft limit of open files to the hard limit: there may be more connections of callers
 * and to upstreams than the usual soft limit allows. */
static void
descriptor_limit_raise (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

/* Opens every address of the settings and sets the incarnation. Returns NULL with error set. */
MfServer *
mf_server_new (const MfSettings *settings, MfError *error)
{
  MfServer *server = calloc (1, sizeof *server);

  if (server == NULL || sodium_init () < 0)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the server");
      free (server);
      return NULL;
    }
  signal (SIGPIPE, SIG_IGN);
  descriptor_limit_raise ();
  server->settings = *settings;
  server->loop = ev_loop_new (EVFLAG_AUTO);
  server->logger = mf_logger_new (settings->log_level, settings->options.self.name, error);
  if (server->loop == NULL || server->logger == NULL || !core_open (server, error)
      || !http_out_open (server, error) || !peers_open (server, error)
      || !admin_open (server, error) || !http_in_open (server, error))
    {
      mf_error_set (error, MF_CODE_INTERNAL, "cannot create the event loop");
      mf_server_free (server);
      return NULL;
    }
  watchers_start (server);
  return server;
}

/* Runs until SIGTERM or SIGINT has been received and the drain is over. */
void
mf_server_run (MfServer *server)
{
  const MfEvent first = { .type = MF_EVENT_TICK };

  server_step (server, &first);
  ev_run (server->loop, 0);
}

/* Accepts NULL. */
void
mf_server_free (MfServer *server)
{
  if (server == NULL)
    return;
  mf_http_in_free (server->http_in);
  mf_admin_free (server->admin);
  mf_peer_links_free (server->links);
  mf_http_out_free (server->http_out);
  mf_platform_free (server->platform);
  mf_core_free (server->core);
  mf_logger_free (server->logger);
  if (server->loop != NULL)
    {
      ev_signal_stop (server->loop, &server->terminate);
      ev_signal_stop (server->loop, &server->interrupt);
      ev_signal_stop (server->loop, &server->hangup);
      ev_timer_stop (server->loop, &server->tick);
      ev_prepare_stop (server->loop, &server->tick_prepare);
      ev_prepare_stop (server->loop, &server->exit_prepare);
      ev_loop_destroy (server->loop);
    }
  free (server->failed_calls);
  free (server);
}
