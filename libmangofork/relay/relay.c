#include "relay.h"

#include "libmangofork/clock.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

/* Upstreams whose entries lapsed while the platform's store was away are back within two seconds of
 * its return (the users' letter); a little more for the way. */
#define RETURN_US (2300 * MF_US_PER_MS)
/* A shorter absence of the store lets no entry lapse. */
#define AWAY_MIN_US (1 * MF_US_PER_S)
/* Housekeeping: expired upstreams, drain, changed settings. */
#define TICK_S 0.1
/* The settings file is looked at this often. */
#define SETTINGS_EVERY_US (1 * MF_US_PER_S)
/* Descriptors for other than callers: files, listeners, upstreams. */
#define FILES_RESERVED 700
/* Memory one caller may take: its buffers and its request. */
#define CALLER_BYTES 100000
/* Part of the process's memory that the answers kept whole may take together. */
#define ANSWERS_MEMORY_PART 4
/* While shutting down, callers' idle connections are closed once the balancer has had time to learn
 * of it: it asks every second and believes the second miss. */
#define DRAIN_IDLE_US (2500 * MF_US_PER_MS)
/* Streams are begun until so much of the grace is over, as the longest of them need the rest. */
#define DRAIN_STREAMS_PERCENT 40
/* New connections are taken until so much of the grace is over. The balancer sends none any more,
 * but for checks of its own; what comes later could be cut by the end. */
#define DRAIN_SHUT_PERCENT 70
/* The process ends by itself this long before it would be killed. */
#define DRAIN_SPARE_US (250 * MF_US_PER_MS)

/* Limits of a door before a configuration names others. */
static const MfDoorLimits default_limits = {
  .header_bytes_max = 16384,
  .body_bytes_max = 4 * 1024 * 1024,
  .header_timeout_us = 5 * MF_US_PER_S,
  .idle_timeout_us = 15 * MF_US_PER_S,
  .callers_max = 1024,
};

struct MfRelay
{
  struct ev_loop *loop;
  const MfRelayDeployment *deployment;
  char path[MF_RELAY_PATH_BYTES];
  MfRelaySettings settings;
  MfLines *lines;
  MfJobs jobs;
  MfDoor *door;
  MfDoor *ready_door;
  MfDoor *metrics_door;
  void *source;
  ev_signal on_hup;
  ev_signal on_term;
  ev_signal on_int;
  ev_timer tick;
  bool is_ready;
  bool source_is_up;
  bool has_listed;         /* upstreams were listed once */
  uint64_t source_seen_us; /* when the source last answered */
  uint64_t keep_until_us;  /* upstreams that are missing are kept until then */
  uint64_t drain_begun_us; /* 0: not shutting down */
  bool idle_closed;
  MfFollow follow;
  uint64_t settings_seen_us;        /* when the file was last looked at */
  struct timespec settings_changed; /* when it was last written */
};

static void
ready_judge (MfRelay *relay)
{
  bool is_ready = relay->jobs.routes != NULL && relay->has_listed && relay->drain_begun_us == 0;

  if (is_ready == relay->is_ready)
    return;
  relay->is_ready = is_ready;
  mf_lines_state (
      relay->lines, "ready", "ready=%s config=%llu upstreams=%u draining=%s",
      is_ready ? "yes" : "no",
      (unsigned long long)(relay->jobs.routes != NULL ? relay->jobs.routes->version : 0),
      relay->jobs.targets.n_targets, relay->drain_begun_us > 0 ? "yes" : "no");
}

static void
on_ready_request (void *data, MfCaller *caller)
{
  MfRelay *relay = data;
  const char *text = relay->is_ready ? "ready\n" : "not ready\n";

  mf_caller_reply (caller, relay->is_ready ? 200 : 503, NULL, text, strlen (text));
}

static void
on_metrics_request (void *data, MfCaller *caller)
{
  MfRelay *relay = data;
  MfRelayCounters *counters = &relay->jobs.counters;
  MfBuffer headers = { 0 };
  MfBuffer text = { 0 };
  char line[512];
  uint64_t n_connects = 0;

  for (const MfTarget *target = relay->jobs.targets.first; target != NULL; target = target->next)
    n_connects += target->pool.n_connects;
  counters->counts[MF_RELAY_COUNT_CONNECTS] = n_connects;
  mf_buffer_add_text (&headers, "Content-Type: text/plain; version=0.0.4\r\n");
  mf_relay_counters_render (counters, &text);
  snprintf (line, sizeof line,
            "mangofork_relay_requests_in_flight %u\nmangofork_relay_callers %u\n"
            "mangofork_relay_instances %u\n"
            "mangofork_relay_upstreams %u\nmangofork_relay_config_version %llu\n"
            "mangofork_relay_log_lines_dropped_total %llu\n",
            relay->jobs.n_jobs, mf_door_n_callers (relay->door),
            relay->jobs.peers != NULL ? mf_peers_count (relay->jobs.peers, mf_clock_now_us ()) : 1,
            relay->jobs.targets.n_targets,
            (unsigned long long)(relay->jobs.routes != NULL ? relay->jobs.routes->version : 0),
            (unsigned long long)mf_lines_dropped (relay->lines));
  mf_buffer_add_text (&text, line);
  mf_caller_reply (caller, 200, &headers, mf_buffer_data (&text), mf_buffer_bytes (&text));
  mf_buffer_clear (&headers);
  mf_buffer_clear (&text);
}

static void
on_refused (void *data, MfCode code)
{
  MfRelay *relay = data;

  mf_lines_state (relay->lines, "admin.unreadable", "code=%d", (int)code);
}

static const MfDoorUser ready_user = {
  .request = on_ready_request,
  .refused = on_refused,
};

static const MfDoorUser metrics_user = {
  .request = on_metrics_request,
  .refused = on_refused,
};

/* Puts the limits of the configuration in force, as far as memory and descriptors allow. */
static void
limits_apply (MfRelay *relay)
{
  MfDoorLimits limits = default_limits;
  const MfRelaySettings *settings = &relay->settings;

  if (relay->jobs.routes != NULL)
    {
      const MfCallerLimits *given = &relay->jobs.routes->limits;

      if (given->header_bytes_max > 0)
        limits.header_bytes_max = given->header_bytes_max;
      if (given->body_bytes_max > 0)
        limits.body_bytes_max = given->body_bytes_max;
      if (given->header_timeout_us > 0)
        limits.header_timeout_us = given->header_timeout_us;
      if (given->idle_timeout_us > 0)
        limits.idle_timeout_us = given->idle_timeout_us;
    }
  if (settings->files_max > 2 * FILES_RESERVED)
    limits.callers_max = settings->files_max - FILES_RESERVED;
  if (settings->memory_bytes > 0 && limits.callers_max > settings->memory_bytes / CALLER_BYTES)
    limits.callers_max = (uint32_t)(settings->memory_bytes / CALLER_BYTES);
  mf_door_limit (relay->door, &limits);
}

/* For sources. Puts a configuration in force unless it is older than the one that is; takes over
 * the reference. */
void
mf_relay_configure (MfRelay *relay, MfRoutes *routes)
{
  uint64_t before = relay->jobs.routes != NULL ? relay->jobs.routes->version : 0;

  if (relay->jobs.routes != NULL && routes->version <= before)
    {
      if (routes->version < before)
        mf_lines_state (relay->lines, "config.older", "version=%llu in_force=%llu",
                        (unsigned long long)routes->version, (unsigned long long)before);
      mf_routes_unref (routes);
      return;
    }
  mf_lines_state (relay->lines, "config.applied",
                  "version=%llu before=%llu routes=%u services=%u requests=%u",
                  (unsigned long long)routes->version, (unsigned long long)before, routes->n_routes,
                  routes->n_services, relay->jobs.n_jobs);
  mf_jobs_configure (&relay->jobs, routes);
  limits_apply (relay);
  ready_judge (relay);
}

/* Adds an upstream, or renews what is known of it. */
void
mf_relay_upstream (MfRelay *relay, const MfTargetInfo *info)
{
  if (!mf_targets_update (&relay->jobs.targets, info))
    return;
  mf_lines_state (
      relay->lines, "upstream.known",
      "upstream=%s service=%s address=%s stage=%s data_centre=%s leaving=%s born_ms=%llu", info->id,
      info->service, info->address, mf_role_name (info->role), info->data_centre,
      info->leaving ? "yes" : "no", (unsigned long long)info->born_ms);
  mf_jobs_run_dispatch (&relay->jobs);
}

/* An upstream is listed no longer. While the source has just come back, it is kept for a while. */
void
mf_relay_upstream_gone (MfRelay *relay, const char *id, const char *why)
{
  uint64_t now_us = mf_clock_now_us ();
  bool keep = now_us < relay->keep_until_us;
  char name[MF_TARGET_ID_BYTES];

  /* The id may stand in what is removed. */
  mf_name_set (name, sizeof name, id);
  if (mf_targets_remove (&relay->jobs.targets, name, !keep, now_us))
    mf_lines_state (relay->lines, "upstream.gone", "upstream=%s why=\"%s\" kept_ms=%llu", name, why,
                    (unsigned long long)(keep ? (relay->keep_until_us - now_us) / 1000 : 0));
}

/* A full list of upstreams begins; mf_relay_list_end ends it. */
void
mf_relay_list_begin (MfRelay *relay)
{
  mf_targets_begin_list (&relay->jobs.targets);
}

/* The full list has ended: upstreams that it did not name are gone. */
void
mf_relay_list_end (MfRelay *relay)
{
  MfTarget *next;

  for (MfTarget *target = relay->jobs.targets.first; target != NULL; target = next)
    {
      next = target->next;
      if (!target->listed)
        mf_relay_upstream_gone (relay, target->info.id, "not in the list");
    }
  relay->has_listed = true;
  ready_judge (relay);
}

/* The source answers. */
void
mf_relay_source_up (MfRelay *relay)
{
  uint64_t now_us = mf_clock_now_us ();

  if (!relay->source_is_up)
    {
      uint64_t away_us = relay->source_seen_us > 0 ? now_us - relay->source_seen_us : 0;

      if (away_us >= AWAY_MIN_US)
        relay->keep_until_us = now_us + RETURN_US;
      mf_lines_state (relay->lines, "store.regained", "away_ms=%llu",
                      (unsigned long long)away_us / 1000);
    }
  relay->source_is_up = true;
  relay->source_seen_us = now_us;
}

/* Whether this instance reads the source for itself, for others too, or is told. */
MfFeedRole
mf_relay_role (MfRelay *relay)
{
  MfFeedStanding standing = { .n_instances = 1 };

  if (relay->jobs.peers != NULL)
    standing = mf_peers_standing (relay->jobs.peers, mf_clock_now_us ());
  return mf_feed_role (&standing);
}

/* How long the source may be left alone, as others tell what it holds; 0: it is to be read now. */
uint64_t
mf_relay_rest_us (MfRelay *relay, MfFeedRole role)
{
  return mf_follow_rest_us (&relay->follow, role, mf_clock_awake_us (),
                            mf_jobs_random (&relay->jobs));
}

/* How long a call to the source waits for changes; alone_us where nobody else depends on it. */
uint64_t
mf_relay_wait_us (const MfRelay *relay, MfFeedRole role, uint64_t alone_us)
{
  return mf_follow_wait_us (&relay->follow, role, alone_us);
}

/* The pause after a failed call to the source, when the one before was last_us; is_known tells that
 * a whole picture has been read once. */
uint64_t
mf_relay_retry_us (MfRelay *relay, bool is_known, uint64_t last_us)
{
  return mf_follow_retry_us (&relay->follow, is_known ? mf_relay_role (relay) : MF_FEED_ALONE,
                             last_us, mf_jobs_random (&relay->jobs));
}

/* A time between none and this, by chance. */
uint64_t
mf_relay_spread_us (MfRelay *relay, uint64_t most_us)
{
  return most_us * (uint64_t)mf_jobs_random (&relay->jobs) >> 32;
}

/* The source has been read, by a call that took so long and could wait for changes for so long;
 * what it brought is passed on where others are told by this instance. */
void
mf_relay_source_read (MfRelay *relay, MfFeed *feed, uint64_t took_us, uint64_t wait_us)
{
  uint64_t now_us = mf_clock_now_us ();
  MfRelayMessage *message = &relay->jobs.message;

  feed->sent_us = mf_clock_awake_us ();
  feed->as_of_us = feed->sent_us - mf_feed_way_us (took_us, wait_us);
  feed->keep_us = relay->keep_until_us > now_us ? relay->keep_until_us - now_us : 0;
  mf_follow_note (&relay->follow, feed->as_of_us);
  if (relay->jobs.peers == NULL || mf_relay_role (relay) != MF_FEED_READER)
    return;
  message->kind = MF_RELAY_MESSAGE_FEED;
  message->feed = *feed;
  mf_peers_send_near (relay->jobs.peers, message);
  /* The values stay the source's. */
  message->feed.values = (MfBuffer){ 0 };
}

/* Another instance tells what it has read. */
static void
on_feed (void *data, uint64_t peer, const MfFeed *feed)
{
  MfRelay *relay = data;
  uint64_t now_us = mf_clock_now_us ();
  uint64_t as_of_us = mf_follow_as_of_us (&relay->follow, peer, feed, mf_clock_awake_us ());

  if (relay->source == NULL)
    return;
  if (now_us + feed->keep_us > relay->keep_until_us && feed->keep_us > 0
      && feed->keep_us <= RETURN_US)
    relay->keep_until_us = now_us + feed->keep_us;
  if (!relay->deployment->source->feed (relay->source, feed) || as_of_us == 0)
    return;
  mf_follow_note (&relay->follow, as_of_us);
  mf_relay_source_up (relay);
}

/* The source has ceased to answer; what is known stays in force. */
void
mf_relay_source_down (MfRelay *relay, const char *why)
{
  if (relay->source_is_up || relay->source_seen_us == 0)
    mf_lines_state (relay->lines, "store.lost", "why=\"%s\" seen_ms=%llu", why,
                    (unsigned long long)(relay->source_seen_us > 0
                                             ? (mf_clock_now_us () - relay->source_seen_us) / 1000
                                             : 0));
  relay->source_is_up = false;
}

/* Where the process writes its log. */
MfLines *
mf_relay_lines (MfRelay *relay)
{
  return relay->lines;
}

/* What the process counts. */
MfRelayCounters *
mf_relay_counters (MfRelay *relay)
{
  return &relay->jobs.counters;
}

/* Uses what the settings say of retries, and of nothing that needs a restart. */
static void
settings_apply (MfRelay *relay)
{
  relay->jobs.budget_window_us = relay->settings.retry_window_us;
  relay->jobs.budget_ratio = relay->settings.retry_ratio;
  relay->jobs.budget_slack = relay->settings.retry_slack;
  relay->jobs.orders_fenced = relay->settings.orders_fenced;
  relay->jobs.order_interval_us = relay->settings.order_turn_us;
  relay->follow.bound_us = relay->settings.change_us;
  if (relay->settings.memory_bytes > 0)
    relay->jobs.answer_bytes_max = relay->settings.memory_bytes / ANSWERS_MEMORY_PART;
  if (relay->door != NULL)
    limits_apply (relay);
}

static void
settings_reread (MfRelay *relay)
{
  MfRelaySettings settings = { 0 };
  MfError error = { 0 };

  if (!relay->deployment->read_settings (relay->path, &settings, &error))
    {
      mf_lines_state (relay->lines, "settings.faulty", "code=%d why=\"%s\"", (int)error.code,
                      error.text);
      return;
    }
  relay->settings = settings;
  settings_apply (relay);
  if (relay->jobs.peers != NULL)
    mf_peers_seed (relay->jobs.peers, settings.seeds);
  relay->deployment->source->renew (relay->source, &relay->settings);
  mf_lines_state (relay->lines, "settings.applied", "store=%s", settings.store);
}

static void
on_hup (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  settings_reread (watcher->data);
}

/* Settings may change without a signal: looks at the file now and then. */
static void
settings_watch (MfRelay *relay, uint64_t now_us)
{
  struct stat file;

  if (now_us - relay->settings_seen_us < SETTINGS_EVERY_US)
    return;
  relay->settings_seen_us = now_us;
  if (stat (relay->path, &file) != 0
      || (file.st_mtim.tv_sec == relay->settings_changed.tv_sec
          && file.st_mtim.tv_nsec == relay->settings_changed.tv_nsec))
    return;
  if (relay->settings_changed.tv_sec != 0)
    settings_reread (relay);
  relay->settings_changed = file.st_mtim;
}

/* One step of the shutdown: first the balancer is told, then idle connections close, then the
 * process ends, at the latest before it would be killed. */
static void
drain_step (MfRelay *relay)
{
  uint64_t past_us = mf_clock_now_us () - relay->drain_begun_us;
  uint64_t limit_us = relay->settings.grace_us - DRAIN_SPARE_US;

  if (past_us >= DRAIN_IDLE_US)
    {
      if (!relay->idle_closed)
        mf_lines_state (relay->lines, "drain.idle", "requests=%u callers=%u", relay->jobs.n_jobs,
                        mf_door_n_callers (relay->door));
      relay->idle_closed = true;
      mf_door_close_idle (relay->door);
    }
  if (past_us >= relay->settings.grace_us * DRAIN_SHUT_PERCENT / 100)
    mf_door_shut (relay->door);
  if ((relay->idle_closed && relay->jobs.n_jobs == 0 && mf_door_n_callers (relay->door) == 0)
      || past_us >= limit_us)
    ev_break (relay->loop, EVBREAK_ALL);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  MfRelay *relay = watcher->data;
  uint64_t now_us = mf_clock_now_us ();

  (void)loop;
  (void)events;
  if (relay->keep_until_us > 0 && now_us >= relay->keep_until_us)
    {
      uint32_t n_dropped = mf_targets_expire (&relay->jobs.targets, now_us);

      relay->keep_until_us = 0;
      if (n_dropped > 0)
        mf_lines_state (relay->lines, "upstream.expired", "upstreams=%u", n_dropped);
    }
  mf_jobs_expire_failures (&relay->jobs, now_us);
  settings_watch (relay, now_us);
  /* What a silent peer told ceases to hold with time. */
  relay->jobs.remote_load_stale = true;
  if (relay->drain_begun_us > 0)
    drain_step (relay);
  else
    mf_jobs_tick_leadership (&relay->jobs, now_us, mf_clock_awake_us ());
}

static void
on_term (struct ev_loop *loop, ev_signal *watcher, int events)
{
  MfRelay *relay = watcher->data;

  (void)loop;
  (void)events;
  if (relay->drain_begun_us > 0)
    return;
  relay->drain_begun_us = mf_clock_now_us ();
  relay->jobs.no_streams_after_us
      = relay->drain_begun_us + relay->settings.grace_us * DRAIN_STREAMS_PERCENT / 100;
  relay->jobs.exit_by_us = relay->drain_begun_us + relay->settings.grace_us - DRAIN_SPARE_US;
  mf_lines_state (relay->lines, "stop", "signal=%d requests=%u callers=%u", watcher->signum,
                  relay->jobs.n_jobs, mf_door_n_callers (relay->door));
  mf_door_retire (relay->door);
  ready_judge (relay);
}

/* Holds back, or lets in, the signals that the loop takes. A second SIGTERM must not end the
 * process in another way while it is ending. */
static void
signals_hold (bool held)
{
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGHUP);
  sigprocmask (held ? SIG_BLOCK : SIG_UNBLOCK, &signals, NULL);
}

static void
signals_start (MfRelay *relay)
{
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&relay->on_hup, on_hup, SIGHUP);
  ev_signal_init (&relay->on_term, on_term, SIGTERM);
  ev_signal_init (&relay->on_int, on_term, SIGINT);
  relay->on_hup.data = relay;
  relay->on_term.data = relay;
  relay->on_int.data = relay;
  ev_signal_start (relay->loop, &relay->on_hup);
  ev_signal_start (relay->loop, &relay->on_term);
  ev_signal_start (relay->loop, &relay->on_int);
  ev_timer_init (&relay->tick, on_tick, TICK_S, TICK_S);
  relay->tick.data = relay;
  ev_timer_start (relay->loop, &relay->tick);
  signals_hold (false);
}

static bool
doors_open (MfRelay *relay, MfError *error)
{
  const MfDialect *dialect = relay->deployment->dialect;
  const MfRelaySettings *settings = &relay->settings;

  relay->ready_door
      = mf_door_new (relay->loop, settings->ready, dialect, &ready_user, relay, error);
  if (relay->ready_door == NULL)
    return false;
  mf_door_limit (relay->ready_door, &default_limits);
  relay->door = mf_door_new (relay->loop, settings->listen, dialect, &mf_job_listener_callbacks,
                             &relay->jobs, error);
  if (relay->door == NULL)
    return false;
  limits_apply (relay);
  if (settings->peers[0] != '\0')
    {
      relay->jobs.peers = mf_peers_new (relay->loop, settings->peers, &mf_jobs_peers_callbacks,
                                        &relay->jobs, relay->lines, error);
      if (relay->jobs.peers == NULL)
        return false;
      mf_peers_set_data_centre (relay->jobs.peers, settings->data_centre);
      mf_peers_seed (relay->jobs.peers, settings->seeds);
      relay->jobs.on_feed = on_feed;
      relay->jobs.on_feed_data = relay;
    }
  if (settings->metrics[0] == '\0')
    return true;
  relay->metrics_door
      = mf_door_new (relay->loop, settings->metrics, dialect, &metrics_user, relay, error);
  if (relay->metrics_door == NULL)
    return false;
  mf_door_limit (relay->metrics_door, &default_limits);
  return true;
}

/* Lets the process open as many files as it is told it may. */
static void
files_allow (const MfRelaySettings *settings)
{
  struct rlimit limit;

  if (settings->files_max == 0 || getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max < settings->files_max ? limit.rlim_max : settings->files_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

/* path names the settings, which are read again on SIGHUP. NULL with error set when it cannot
 * start. */
MfRelay *
mf_relay_new (const MfRelayDeployment *deployment, const char *path, MfError *error)
{
  MfRelay *relay = calloc (1, sizeof *relay);

  if (relay == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the relay");
      return NULL;
    }
  relay->deployment = deployment;
  snprintf (relay->path, sizeof relay->path, "%s", path);
  if (!deployment->read_settings (path, &relay->settings, error))
    {
      free (relay);
      return NULL;
    }
  files_allow (&relay->settings);
  relay->loop = ev_default_loop (EVFLAG_NOENV);
  relay->lines = mf_lines_new (relay->loop, relay->settings.name, STDOUT_FILENO, error);
  mf_jobs_init (&relay->jobs, relay->loop, deployment->dialect, relay->lines);
  mf_name_set (relay->jobs.targets.data_centre, sizeof relay->jobs.targets.data_centre,
               relay->settings.data_centre);
  mf_name_set (relay->jobs.instance, sizeof relay->jobs.instance, relay->settings.name);
  relay->jobs.targets.lines = relay->lines;
  relay->jobs.targets.unacked_timeout_us = relay->settings.contact_us;
  settings_apply (relay);
  if (relay->lines == NULL || !doors_open (relay, error))
    {
      mf_relay_free (relay);
      return NULL;
    }
  signals_start (relay);
  relay->source = deployment->source->start (relay, relay->loop, &relay->settings, error);
  if (relay->source == NULL)
    {
      mf_relay_free (relay);
      return NULL;
    }
  mf_lines_state (relay->lines, "start",
                  "listen=%s data_centre=%s store=%s memory_mb=%llu files=%u grace_ms=%llu",
                  relay->settings.listen, relay->settings.data_centre, relay->settings.store,
                  (unsigned long long)relay->settings.memory_bytes >> 20, relay->settings.files_max,
                  (unsigned long long)relay->settings.grace_us / 1000);
  return relay;
}

/* Serves until SIGTERM or SIGINT, and then until the requests it has are answered. */
void
mf_relay_run (MfRelay *relay)
{
  ev_run (relay->loop, 0);
  mf_lines_state (relay->lines, "stopped", "requests=%u callers=%u", relay->jobs.n_jobs,
                  mf_door_n_callers (relay->door));
}

/* Closes everything at once. Accepts NULL. */
void
mf_relay_free (MfRelay *relay)
{
  if (relay == NULL)
    return;
  signals_hold (true);
  ev_timer_stop (relay->loop, &relay->tick);
  ev_signal_stop (relay->loop, &relay->on_hup);
  ev_signal_stop (relay->loop, &relay->on_term);
  ev_signal_stop (relay->loop, &relay->on_int);
  if (relay->source != NULL)
    relay->deployment->source->stop (relay->source);
  mf_jobs_clear (&relay->jobs);
  mf_peers_free (relay->jobs.peers);
  mf_door_free (relay->door);
  mf_door_free (relay->ready_door);
  mf_door_free (relay->metrics_door);
  mf_lines_free (relay->lines);
  free (relay);
}
