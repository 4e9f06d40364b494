#include "relay.h"

#include "libmangofork/clock.h"

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

/* Upstreams whose entries expired during an outage of the platform's store register again within
 * two seconds of its end; the other 300 ms are for latency. */
#define REREGISTRATION_US (2300 * MF_US_PER_MS)
/* No entry expires in a shorter outage of the store. One is dropped after three intervals of
 * silence, of which the last may have begun before the outage; the rest of the two others is
 * reserve. */
#define OUTAGE_MIN_US (1 * MF_US_PER_S)
#define OUTAGE_MIN_PERCENT 150
/* While the source does not answer, calls to it wait for changes no longer than this, so that its
 * return is noticed: a call that is in progress then may get no answer. */
#define LOST_SOURCE_WAIT_US (100 * MF_US_PER_MS)
/* Interval of periodic work: expired upstreams, drain, changed settings. */
#define TICK_S 0.1
#define SETTINGS_CHECK_INTERVAL_US (500 * MF_US_PER_MS)
/* Instances that have started at the same time are connected to each other by then. */
#define ASK_ENGINES_AFTER_US (400 * MF_US_PER_MS)
#define LARGE_BUFFER_BYTES 131072
/* File descriptors that are not available to callers: files, listeners, upstreams. */
#define DESCRIPTORS_RESERVED 700
/* Memory of one caller: its buffers and its request. */
#define BYTES_PER_CALLER 100000
/* Requests with large bodies are refused while all buffers use this percentage of the process's
 * memory; the rest is for answers, small requests and everything else. */
#define BODIES_MEMORY_PERCENT 50
/* Above this percentage of the process's memory in all buffers, requests are refused and the
 * largest answers are given up. */
#define BUFFERS_MEMORY_PERCENT 75
/* All buffered answers together may use this part (one in) of the process's memory. */
#define ANSWERS_MEMORY_DIVISOR 4
/* During shutdown, idle connections are closed when the load balancer has had time to stop using
 * this instance: it checks readiness every second and acts on the second failure. */
#define DRAIN_CLOSE_IDLE_US (2500 * MF_US_PER_MS)
/* Part of the grace period after which no connection is accepted any more. By then the load
 * balancer opens only connections for its checks, and a later request might be cut off by the end
 * of the process. */
#define DRAIN_ACCEPT_PERCENT 70

/* Path of the question where a request would go. */
#define PLACEMENT_PATH "/place"

/* Limits of a listener unless the configuration sets others. */
static const MfListenerLimits default_limits = {
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
  MfRelayLog *log;
  MfJobs jobs;
  MfListener *listener;
  MfListener *readiness_listener;
  MfListener *metrics_listener;
  void *source;
  ev_signal on_hup;
  ev_signal on_term;
  ev_signal on_int;
  ev_timer tick;
  bool is_ready;
  bool source_is_up;
  uint64_t ask_engines_us; /* when the engines are asked what they hold; 0: they have been */
  bool has_listed;         /* the first list of upstreams is complete */
  uint64_t source_seen_us; /* last answer of the source */
  uint64_t others_read_us; /* another instance last got an answer of the source */
  uint64_t keep_until_us;  /* upstreams without an entry are kept until then */
  bool idle_closed;
  MfFeedFreshness freshness;
  uint64_t settings_checked_us; /* last check of the settings file */
  struct stat settings_status;  /* of the settings file, when it was last checked */
  bool settings_due;            /* it is to be read when it has ceased to change */
};

/* Whether SIGTERM has come. */
static bool
relay_is_stopping (const MfRelay *relay)
{
  return relay->jobs.shutdown.started_us > 0;
}

static void
ready_update (MfRelay *relay)
{
  bool is_ready = relay->jobs.routes != NULL && relay->has_listed && !relay_is_stopping (relay);

  if (is_ready == relay->is_ready)
    return;
  relay->is_ready = is_ready;
  mf_relay_log_state (
      relay->log, "ready", "ready=%s config=%llu upstreams=%u draining=%s", is_ready ? "yes" : "no",
      (unsigned long long)(relay->jobs.routes != NULL ? relay->jobs.routes->version : 0),
      relay->jobs.targets.n_targets, relay_is_stopping (relay) ? "yes" : "no");
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
  mf_jobs_render_customers (&relay->jobs, &text);
  mf_jobs_render_spillover (&relay->jobs, &text);
  snprintf (line, sizeof line,
            "mangofork_relay_requests_in_flight %u\nmangofork_relay_callers %u\n"
            "mangofork_relay_instances %u\n"
            "mangofork_relay_upstreams %u\nmangofork_relay_config_version %llu\n"
            "mangofork_relay_log_lines_dropped_total %llu\n",
            relay->jobs.n_jobs, mf_listener_n_callers (relay->listener),
            relay->jobs.peers != NULL ? mf_peers_n_alive (relay->jobs.peers, mf_clock_now_us ())
                                      : 1,
            relay->jobs.targets.n_targets,
            (unsigned long long)(relay->jobs.routes != NULL ? relay->jobs.routes->version : 0),
            (unsigned long long)mf_relay_log_n_dropped (relay->log));
  mf_buffer_add_text (&text, line);
  mf_caller_reply (caller, 200, &headers, mf_buffer_data (&text), mf_buffer_bytes (&text));
  mf_buffer_clear (&headers);
  mf_buffer_clear (&text);
}

/* Answers where a request would go now, or the metrics for any other path. */
static void
on_admin_request (void *data, MfCaller *caller)
{
  static const char path[] = PLACEMENT_PATH "?";
  MfRelay *relay = data;
  const MfHead *head = mf_caller_head (caller);
  const char *target = mf_head_text (head, 0);
  size_t path_bytes = strlen (path);
  MfBuffer headers = { 0 };
  MfBuffer text = { 0 };
  uint32_t status;

  if (head->target_bytes < path_bytes || memcmp (target, path, path_bytes) != 0)
    {
      on_metrics_request (data, caller);
      return;
    }
  status = mf_jobs_render_placement (&relay->jobs, target + path_bytes,
                                     head->target_bytes - path_bytes, &text);
  mf_buffer_add_text (&headers, "Content-Type: application/json\r\n");
  mf_caller_reply (caller, status, &headers, mf_buffer_data (&text), mf_buffer_bytes (&text));
  mf_buffer_clear (&headers);
  mf_buffer_clear (&text);
}

static void
on_refused (void *data, MfCode code)
{
  MfRelay *relay = data;

  mf_relay_log_state (relay->log, "admin.unreadable", "code=%d", (int)code);
}

static const MfListenerCallbacks readiness_callbacks = {
  .request = on_ready_request,
  .refused = on_refused,
};

static const MfListenerCallbacks metrics_callbacks = {
  .request = on_admin_request,
  .refused = on_refused,
};

/* Applies the limits of the configuration, as far as memory and file descriptors allow. */
static void
limits_apply (MfRelay *relay)
{
  MfListenerLimits limits = default_limits;
  const MfRelaySettings *settings = &relay->settings;

  if (relay->jobs.routes != NULL)
    {
      const MfCallerLimits *configured = &relay->jobs.routes->limits;

      if (configured->header_bytes_max > 0)
        limits.header_bytes_max = configured->header_bytes_max;
      if (configured->body_bytes_max > 0)
        limits.body_bytes_max = configured->body_bytes_max;
      if (configured->header_timeout_us > 0)
        limits.header_timeout_us = configured->header_timeout_us;
      if (configured->idle_timeout_us > 0)
        limits.idle_timeout_us = configured->idle_timeout_us;
    }
  if (settings->files_max > 2 * DESCRIPTORS_RESERVED)
    limits.callers_max = settings->files_max - DESCRIPTORS_RESERVED;
  if (settings->memory_bytes > 0 && limits.callers_max > settings->memory_bytes / BYTES_PER_CALLER)
    limits.callers_max = (uint32_t)(settings->memory_bytes / BYTES_PER_CALLER);
  limits.buffers_bytes_max = settings->memory_bytes * BODIES_MEMORY_PERCENT / 100;
  mf_listener_set_limits (relay->listener, &limits);
}

/* Whether a configuration replaces the current one. What was lost with an era of the source may be
 * written again under its old version. */
static bool
config_is_newer (const MfRoutes *routes, const MfRoutes *current)
{
  return current == NULL || routes->version > current->version
         || (routes->version == current->version && routes->era > current->era
             && routes->text_hash != current->text_hash);
}

/* Called by sources. Applies a configuration unless it is not newer than the current one. Takes
 * ownership of the reference. */
void
mf_relay_configure (MfRelay *relay, MfRoutes *routes)
{
  uint64_t before = relay->jobs.routes != NULL ? relay->jobs.routes->version : 0;

  if (!config_is_newer (routes, relay->jobs.routes))
    {
      if (routes->version < before)
        mf_relay_log_state (relay->log, "config.older", "version=%llu in_force=%llu",
                            (unsigned long long)routes->version, (unsigned long long)before);
      mf_routes_unref (routes);
      return;
    }
  mf_relay_log_state (relay->log, "config.applied",
                      "version=%llu before=%llu routes=%u services=%u requests=%u customers=%u "
                      "keys=%u",
                      (unsigned long long)routes->version, (unsigned long long)before,
                      routes->n_routes, routes->n_services, relay->jobs.n_jobs,
                      routes->customers != NULL ? mf_customers_n (routes->customers) : 0,
                      routes->customers != NULL ? mf_customers_n_keys (routes->customers) : 0);
  mf_jobs_configure (&relay->jobs, routes);
  limits_apply (relay);
  ready_update (relay);
}

/* Called by sources when they have found that there is a later configuration, which they are going
 * to read, and when they know the latest one again. */
void
mf_relay_config_pending (MfRelay *relay, bool is_pending)
{
  if (relay->jobs.config_is_pending == is_pending)
    return;
  relay->jobs.config_is_pending = is_pending;
  mf_relay_log_state (
      relay->log, is_pending ? "config.pending" : "config.current", "version=%llu requests=%u",
      (unsigned long long)(relay->jobs.routes != NULL ? relay->jobs.routes->version : 0),
      relay->jobs.n_jobs);
}

/* Called by sources before they pass on entries and removals, with their position in the source's
 * history; before the end of a list, with the one as of which it is complete. */
void
mf_relay_source_position (MfRelay *relay, uint64_t era, uint64_t revision)
{
  relay->jobs.targets.position = (MfPosition){ .era = era, .revision = revision };
}

/* Called by sources. Adds or updates an upstream. */
void
mf_relay_update_upstream (MfRelay *relay, const MfTargetInfo *info)
{
  if (!mf_targets_update (&relay->jobs.targets, info))
    return;
  mf_relay_log_state (relay->log, "upstream.known",
                      "upstream=%s service=%s version=%s address=%s stage=%s data_centre=%s "
                      "leaving=%s born_ms=%llu",
                      info->id, info->service, info->version, info->address,
                      mf_role_name (info->role), info->data_centre, info->leaving ? "yes" : "no",
                      (unsigned long long)info->started_ms);
  mf_jobs_run_dispatch (&relay->jobs);
}

/* Called by sources when an upstream has no entry any more. Shortly after an outage of the source
 * it is kept for a while, since it may register again. */
void
mf_relay_remove_upstream (MfRelay *relay, const char *id, const char *why)
{
  uint64_t now_us = mf_clock_now_us ();
  bool keep = now_us < relay->keep_until_us;
  char name[MF_TARGET_ID_BYTES];

  /* id may point into the upstream that is removed. */
  if (!mf_name_set (name, sizeof name, id))
    return;
  if (mf_targets_remove (&relay->jobs.targets, name, !keep, now_us))
    mf_relay_log_state (relay->log, "upstream.gone", "upstream=%s why=\"%s\" kept_ms=%llu", name,
                        why,
                        (unsigned long long)(keep ? (relay->keep_until_us - now_us) / 1000 : 0));
}

/* Called by sources before they pass on a complete list of upstreams. is_restored is set when the
 * list may contain entries that had been removed. */
void
mf_relay_list_begin (MfRelay *relay, bool is_restored)
{
  mf_targets_begin_list (&relay->jobs.targets);
  relay->jobs.targets.is_restoring = is_restored;
}

/* Called by sources after a complete list of upstreams. Removes those that were not in it. */
void
mf_relay_list_end (MfRelay *relay)
{
  MfTarget *next;

  for (MfTarget *target = relay->jobs.targets.first; target != NULL; target = next)
    {
      next = target->next;
      if (!target->listed)
        mf_relay_remove_upstream (relay, target->info.id, "not in the list");
    }
  relay->jobs.targets.is_restoring = false;
  /* What was in use between two lists is not known. */
  relay->jobs.targets.versions.complete_since_us = mf_clock_now_us ();
  if (!relay->has_listed)
    relay->ask_engines_us = mf_clock_now_us () + ASK_ENGINES_AFTER_US;
  relay->has_listed = true;
  ready_update (relay);
}

/* Whether the source has been away for so long that entries may have expired. If it has refused
 * this instance alone, others have read it meanwhile. */
static bool
source_was_away (const MfRelay *relay, uint64_t now_us)
{
  uint64_t seen_us = relay->source_seen_us > relay->others_read_us ? relay->source_seen_us
                                                                   : relay->others_read_us;
  uint64_t outage_min_us = relay->settings.registration_us * OUTAGE_MIN_PERCENT / 100;

  if (outage_min_us < OUTAGE_MIN_US)
    outage_min_us = OUTAGE_MIN_US;
  return relay->source_seen_us > 0 && now_us - seen_us >= outage_min_us;
}

/* Called by sources when their store has answered. */
void
mf_relay_source_up (MfRelay *relay)
{
  uint64_t now_us = mf_clock_now_us ();

  if (!relay->source_is_up)
    {
      uint64_t outage_us = relay->source_seen_us > 0 ? now_us - relay->source_seen_us : 0;

      if (source_was_away (relay, now_us))
        relay->keep_until_us = now_us + REREGISTRATION_US;
      mf_relay_log_state (
          relay->log, "store.regained", "away_ms=%llu others_read_ms=%lld keep_ms=%llu",
          (unsigned long long)outage_us / 1000,
          relay->others_read_us > 0 ? (long long)(now_us - relay->others_read_us) / 1000 : -1LL,
          (unsigned long long)(now_us < relay->keep_until_us ? relay->keep_until_us - now_us : 0)
              / 1000);
    }
  relay->source_is_up = true;
  relay->source_seen_us = now_us;
}

/* Called by sources when their store has returned from an older copy. Upstreams that are missing in
 * it write their entries again, as after an outage. */
void
mf_relay_source_restored (MfRelay *relay)
{
  relay->keep_until_us = mf_clock_now_us () + REREGISTRATION_US;
}

/* Returns whether this instance reads the source for itself, also for others, or receives what
 * others read. */
MfFeedRole
mf_relay_feed_role (MfRelay *relay)
{
  MfFeedRank rank = { .n_instances = 1 };

  if (relay->jobs.peers != NULL)
    rank = mf_peers_feed_rank (relay->jobs.peers, mf_clock_now_us ());
  return mf_feed_role (&rank);
}

/* Returns how long the source need not be read, because other instances send what they read; 0: it
 * must be read now. */
uint64_t
mf_relay_read_delay_us (MfRelay *relay, MfFeedRole role)
{
  return mf_feed_freshness_read_delay_us (&relay->freshness, role, mf_clock_boottime_us (),
                                          mf_jobs_random (&relay->jobs));
}

/* Returns how long a request to the source waits for changes; standalone_us where no other instance
 * depends on it. */
uint64_t
mf_relay_watch_timeout_us (const MfRelay *relay, MfFeedRole role, uint64_t standalone_us)
{
  uint64_t wait_us = mf_feed_freshness_watch_timeout_us (&relay->freshness, role, standalone_us);

  return relay->source_is_up || wait_us < LOST_SOURCE_WAIT_US ? wait_us : LOST_SOURCE_WAIT_US;
}

/* Returns the delay after a failed request to the source; last_us is the previous one. is_known
 * is true when everything has been read once. */
uint64_t
mf_relay_retry_delay_us (MfRelay *relay, bool is_known, uint64_t last_us)
{
  return mf_feed_freshness_retry_delay_us (
      &relay->freshness, is_known ? mf_relay_feed_role (relay) : MF_FEED_STANDALONE, last_us,
      mf_jobs_random (&relay->jobs));
}

/* Returns a random time below max_us. */
uint64_t
mf_relay_jitter_us (MfRelay *relay, uint64_t max_us)
{
  return max_us * (uint64_t)mf_jobs_random (&relay->jobs) >> 32;
}

/* All changes made before this time are known. */
static void
freshness_advance (MfRelay *relay, uint64_t as_of_us)
{
  mf_feed_freshness_advance (&relay->freshness, as_of_us);
  relay->jobs.upstreams_as_of_us = relay->freshness.as_of_us;
}

/* Called by sources after a watch request that took took_us and waited for changes for wait_us at
 * most. Sends the changes to the other instances where this one reads for them. */
void
mf_relay_source_read (MfRelay *relay, MfFeed *feed, uint64_t took_us, uint64_t wait_us)
{
  uint64_t now_us = mf_clock_now_us ();
  MfRelayMessage *message = &relay->jobs.message;

  feed->sent_us = mf_clock_boottime_us ();
  feed->as_of_us = feed->sent_us - mf_feed_answer_age_us (took_us, wait_us);
  feed->keep_us = relay->keep_until_us > now_us ? relay->keep_until_us - now_us : 0;
  freshness_advance (relay, feed->as_of_us);
  if (relay->jobs.peers == NULL || mf_relay_feed_role (relay) != MF_FEED_READER)
    return;
  message->kind = MF_RELAY_MESSAGE_FEED;
  message->feed = *feed;
  mf_peers_send_local (relay->jobs.peers, message);
  /* The values are owned by the source. */
  message->feed.values = (MfBuffer){ 0 };
}

/* Handles the changes that another instance has read. */
static void
on_feed (void *data, uint64_t peer, const MfFeed *feed)
{
  MfRelay *relay = data;
  uint64_t now_us = mf_clock_now_us ();
  uint64_t as_of_us
      = mf_feed_freshness_as_of_us (&relay->freshness, peer, feed, mf_clock_boottime_us ());

  if (relay->source == NULL)
    return;
  if (now_us + feed->keep_us > relay->keep_until_us && feed->keep_us > 0
      && feed->keep_us <= REREGISTRATION_US && source_was_away (relay, now_us))
    relay->keep_until_us = now_us + feed->keep_us;
  if (as_of_us > 0)
    relay->others_read_us = now_us - (mf_clock_boottime_us () - as_of_us);
  if (!relay->deployment->source->apply_feed (relay->source, feed) || as_of_us == 0)
    return;
  freshness_advance (relay, as_of_us);
  mf_relay_source_up (relay);
}

/* Called by sources when their store does not answer. What is known stays in force. */
void
mf_relay_source_down (MfRelay *relay, const char *why)
{
  if (relay->source_is_up || relay->source_seen_us == 0)
    mf_relay_log_state (
        relay->log, "store.lost", "why=\"%s\" seen_ms=%llu", why,
        (unsigned long long)(relay->source_seen_us > 0
                                 ? (mf_clock_now_us () - relay->source_seen_us) / 1000
                                 : 0));
  relay->source_is_up = false;
}

MfRelayLog *
mf_relay_log (MfRelay *relay)
{
  return relay->log;
}

MfRelayCounters *
mf_relay_counters (MfRelay *relay)
{
  return &relay->jobs.counters;
}

/* Applies the settings that can change without a restart. */
static void
settings_apply (MfRelay *relay)
{
  relay->jobs.budget_window_us = relay->settings.retry_window_us;
  relay->jobs.budget_ratio = relay->settings.retry_ratio;
  relay->jobs.budget_slack = relay->settings.retry_slack;
  relay->jobs.quota_bounds = (MfQuotaBounds){ .window_us = relay->settings.quota_window_us,
                                              .overage = relay->settings.quota_overage,
                                              .slack = relay->settings.quota_slack };
  relay->jobs.orders_fenced = relay->settings.orders_fenced;
  relay->jobs.order_interval_us = relay->settings.order_interval_us;
  relay->freshness.staleness_max_us = relay->settings.change_bound_us;
  relay->jobs.config_apply_us = relay->settings.config_apply_us;
  relay->jobs.revoke_us = relay->settings.revokes_at_once ? 0 : relay->settings.revoke_us;
  relay->jobs.upstreams_age_max_us = relay->settings.change_bound_us;
  if (relay->settings.memory_bytes > 0)
    relay->jobs.answer_bytes_max = relay->settings.memory_bytes / ANSWERS_MEMORY_DIVISOR;
  relay->jobs.buffers_bytes_max = relay->settings.memory_bytes * BUFFERS_MEMORY_PERCENT / 100;
  if (relay->listener != NULL)
    limits_apply (relay);
}

/* Logs the values of the settings that are not used. */
static void
settings_log_faults (MfRelay *relay, const MfSettingFaults *faults)
{
  for (uint32_t i = 0; i < mf_setting_faults_kept (faults); i++)
    mf_relay_log_state (relay->log, "settings.unusable", "code=%d why=\"%s\" faults=%u",
                        (int)faults->faults[i].code, faults->faults[i].text, faults->n_faults);
}

/* Whether settings that only apply to a new process differ. */
static bool
settings_need_restart (const MfRelaySettings *before, const MfRelaySettings *now)
{
  return strcmp (before->name, now->name) != 0
         || strcmp (before->data_centre, now->data_centre) != 0
         || strcmp (before->listen, now->listen) != 0
         || strcmp (before->readiness, now->readiness) != 0
         || strcmp (before->metrics, now->metrics) != 0 || strcmp (before->peers, now->peers) != 0;
}

static void
settings_reread (MfRelay *relay)
{
  MfRelaySettings settings = { 0 };
  MfSettingFaults faults = { 0 };
  MfError error = { 0 };
  bool needs_restart;

  if (!relay->deployment->read_settings (relay->path, &settings, &faults, &error))
    {
      mf_relay_log_state (relay->log, "settings.faulty", "code=%d why=\"%s\"", (int)error.code,
                          error.text);
      return;
    }
  needs_restart = settings_need_restart (&relay->settings, &settings);
  relay->settings = settings;
  settings_apply (relay);
  if (relay->jobs.peers != NULL)
    mf_peers_add_seeds (relay->jobs.peers, settings.seeds);
  relay->deployment->source->update_settings (relay->source, &relay->settings);
  settings_log_faults (relay, &faults);
  mf_relay_log_state (relay->log, "settings.applied", "store=%s unusable=%u needs_restart=%s",
                      settings.store, faults.n_faults, needs_restart ? "yes" : "no");
}

static void
on_hup (struct ev_loop *loop, ev_signal *watcher, int events)
{
  MfRelay *relay = watcher->data;

  (void)loop;
  (void)events;
  relay->settings_due = true;
}

/* Notes the state of the settings file. Returns whether it has changed since the last time. */
static bool
settings_status_update (MfRelay *relay)
{
  struct stat before = relay->settings_status;
  struct stat now = { 0 };

  if (stat (relay->path, &now) != 0)
    now = (struct stat){ 0 };
  relay->settings_status = now;
  return now.st_mtim.tv_sec != before.st_mtim.tv_sec
         || now.st_mtim.tv_nsec != before.st_mtim.tv_nsec || now.st_size != before.st_size
         || now.st_ino != before.st_ino;
}

/* Reloads the settings file on SIGHUP or when it has changed without a signal, once it is the same
 * as at the check before: its writer may not have finished. */
static void
settings_watch (MfRelay *relay, uint64_t now_us)
{
  if (!relay->settings_due && now_us - relay->settings_checked_us < SETTINGS_CHECK_INTERVAL_US)
    return;
  relay->settings_checked_us = now_us;
  if (settings_status_update (relay))
    {
      relay->settings_due = true;
      return;
    }
  if (!relay->settings_due)
    return;
  relay->settings_due = false;
  settings_reread (relay);
}

/* One step of the shutdown. First the readiness check fails, then idle connections are closed, then
 * the process exits, at the latest shortly before it would be killed. */
static void
drain_step (MfRelay *relay)
{
  const MfShutdown *shutdown = &relay->jobs.shutdown;
  uint64_t now_us = mf_clock_now_us ();
  uint64_t elapsed_us = now_us - shutdown->started_us;

  if (elapsed_us >= DRAIN_CLOSE_IDLE_US)
    {
      if (!relay->idle_closed)
        mf_relay_log_state (relay->log, "drain.idle", "requests=%u callers=%u", relay->jobs.n_jobs,
                            mf_listener_n_callers (relay->listener));
      relay->idle_closed = true;
      mf_listener_close_idle (relay->listener);
    }
  if (elapsed_us >= shutdown->grace_us * DRAIN_ACCEPT_PERCENT / 100)
    mf_listener_stop_accepting (relay->listener);
  if (now_us >= mf_shutdown_exit_by_us (shutdown))
    {
      mf_relay_log_state (relay->log, "drain.over", "requests=%u callers=%u", relay->jobs.n_jobs,
                          mf_listener_n_callers (relay->listener));
      mf_jobs_end_all (&relay->jobs);
      ev_break (relay->loop, EVBREAK_ALL);
    }
  else if (relay->idle_closed && relay->jobs.n_jobs == 0
           && mf_listener_n_callers (relay->listener) == 0)
    {
      /* Opens connections that have been made meanwhile. */
      mf_listener_stop_accepting (relay->listener);
      if (mf_listener_n_callers (relay->listener) == 0)
        ev_break (relay->loop, EVBREAK_ALL);
    }
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
      uint32_t n_expired = mf_targets_expire (&relay->jobs.targets, now_us);

      relay->keep_until_us = 0;
      if (n_expired > 0)
        mf_relay_log_state (relay->log, "upstream.expired", "upstreams=%u", n_expired);
    }
  if (relay->ask_engines_us > 0 && now_us >= relay->ask_engines_us)
    {
      relay->ask_engines_us = 0;
      mf_jobs_ask_engines (&relay->jobs);
    }
  mf_jobs_expire_failures (&relay->jobs, now_us);
  mf_jobs_note_instances (&relay->jobs, now_us);
  settings_watch (relay, now_us);
  mf_jobs_tick_spillover (&relay->jobs, now_us);
  /* Reports of a peer that has become silent expire. */
  relay->jobs.remote_load_stale = true;
  if (relay_is_stopping (relay))
    drain_step (relay);
  else
    mf_jobs_tick_leadership (&relay->jobs, now_us, mf_clock_boottime_us ());
}

static void
on_term (struct ev_loop *loop, ev_signal *watcher, int events)
{
  MfRelay *relay = watcher->data;

  (void)loop;
  (void)events;
  if (relay_is_stopping (relay))
    return;
  mf_relay_log_state (relay->log, "stop", "signal=%d requests=%u callers=%u", watcher->signum,
                      relay->jobs.n_jobs, mf_listener_n_callers (relay->listener));
  mf_listener_end_keep_alive (relay->listener);
  mf_jobs_shut_down (&relay->jobs, &(MfShutdown){ .started_us = mf_clock_now_us (),
                                                  .grace_us = relay->settings.grace_us });
  ready_update (relay);
}

/* Blocks or unblocks the signals that the event loop handles. A second SIGTERM must not kill the
 * process while it exits. */
static void
signals_block (bool blocked)
{
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGHUP);
  sigprocmask (blocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, NULL);
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
  signals_block (false);
}

static bool
listeners_open (MfRelay *relay, MfError *error)
{
  const MfDialect *dialect = relay->deployment->dialect;
  const MfRelaySettings *settings = &relay->settings;

  relay->readiness_listener = mf_listener_new (relay->loop, settings->readiness, dialect,
                                               &readiness_callbacks, relay, error);
  if (relay->readiness_listener == NULL)
    return false;
  mf_listener_set_limits (relay->readiness_listener, &default_limits);
  relay->listener = mf_listener_new (relay->loop, settings->listen, dialect,
                                     &mf_job_listener_callbacks, &relay->jobs, error);
  if (relay->listener == NULL)
    return false;
  limits_apply (relay);
  if (settings->peers[0] != '\0')
    {
      relay->jobs.peers = mf_peers_new (relay->loop, settings->peers, &mf_jobs_peers_callbacks,
                                        &relay->jobs, relay->log, error);
      if (relay->jobs.peers == NULL)
        return false;
      mf_peers_set_data_centre (relay->jobs.peers, settings->data_centre);
      mf_peers_add_seeds (relay->jobs.peers, settings->seeds);
      relay->jobs.on_feed = on_feed;
      relay->jobs.on_feed_data = relay;
    }
  if (settings->metrics[0] == '\0')
    return true;
  relay->metrics_listener
      = mf_listener_new (relay->loop, settings->metrics, dialect, &metrics_callbacks, relay, error);
  if (relay->metrics_listener == NULL)
    return false;
  mf_listener_set_limits (relay->metrics_listener, &default_limits);
  return true;
}

/* Raises the limit of open files to the one of the settings. */
static void
descriptor_limit_raise (const MfRelaySettings *settings)
{
  struct rlimit limit;

  if (settings->files_max == 0 || getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max < settings->files_max ? limit.rlim_max : settings->files_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

/* Logs why the process ends before it has served anything; its name may not be known. */
static void
log_failed_start (MfRelay *relay, const MfError *error)
{
  const char *name = relay->settings.name[0] == '\0' ? "unknown" : relay->settings.name;
  MfError ignored = { 0 };

  if (relay->log == NULL)
    relay->log = mf_relay_log_new (relay->loop, name, STDOUT_FILENO, &ignored);
  if (relay->log != NULL)
    mf_relay_log_state (relay->log, "start.failed", "code=%d why=\"%s\"", (int)error->code,
                        error->text);
}

/* Starts a relay. path names its settings, which are reloaded on SIGHUP. Returns NULL with error
 * set on failure. */
MfRelay *
mf_relay_new (const MfRelayDeployment *deployment, const char *path, MfError *error)
{
  MfRelay *relay = calloc (1, sizeof *relay);
  MfSettingFaults faults = { 0 };

  if (relay == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while starting the relay");
      return NULL;
    }
  /* Large buffers are returned to the system when they are freed. */
  mallopt (M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
  signals_block (true);
  relay->deployment = deployment;
  snprintf (relay->path, sizeof relay->path, "%s", path);
  relay->loop = ev_default_loop (EVFLAG_NOENV);
  settings_status_update (relay);
  if (!deployment->read_settings (path, &relay->settings, &faults, error))
    {
      log_failed_start (relay, error);
      mf_relay_log_free (relay->log);
      free (relay);
      signals_block (false);
      return NULL;
    }
  descriptor_limit_raise (&relay->settings);
  relay->log = mf_relay_log_new (relay->loop, relay->settings.name, STDOUT_FILENO, error);
  mf_jobs_init (&relay->jobs, relay->loop, deployment->dialect, relay->log);
  mf_name_set (relay->jobs.targets.data_centre, sizeof relay->jobs.targets.data_centre,
               relay->settings.data_centre);
  mf_name_set (relay->jobs.instance, sizeof relay->jobs.instance, relay->settings.name);
  relay->jobs.targets.log = relay->log;
  relay->jobs.targets.unacked_timeout_us = relay->settings.recovery_us;
  settings_apply (relay);
  if (relay->log != NULL && listeners_open (relay, error))
    {
      signals_start (relay);
      relay->source = deployment->source->start (relay, relay->loop, &relay->settings, error);
    }
  if (relay->source == NULL)
    {
      log_failed_start (relay, error);
      mf_relay_free (relay);
      return NULL;
    }
  mf_relay_log_state (relay->log, "start",
                      "listen=%s data_centre=%s store=%s memory_mb=%llu files=%u grace_ms=%llu",
                      relay->settings.listen, relay->settings.data_centre, relay->settings.store,
                      (unsigned long long)relay->settings.memory_bytes >> 20,
                      relay->settings.files_max,
                      (unsigned long long)relay->settings.grace_us / 1000);
  settings_log_faults (relay, &faults);
  return relay;
}

/* Sets when requests leave their data centre by observed times, and the time that a caller must
 * gain for each kilobyte that is sent to another one. Before mf_relay_run only. */
void
mf_relay_set_spillover (MfRelay *relay, MfSpilloverMode mode, double us_per_kb)
{
  relay->jobs.spillover_mode = mode;
  relay->jobs.spillover_us_per_kb = us_per_kb;
}

/* Serves until SIGTERM or SIGINT, and then until its requests have ended or the grace period is
 * over. */
void
mf_relay_run (MfRelay *relay)
{
  ev_run (relay->loop, 0);
  mf_relay_log_state (relay->log, "stopped", "requests=%u callers=%u", relay->jobs.n_jobs,
                      mf_listener_n_callers (relay->listener));
}

/* Closes all connections at once and frees the relay. Accepts NULL. */
void
mf_relay_free (MfRelay *relay)
{
  if (relay == NULL)
    return;
  signals_block (true);
  ev_timer_stop (relay->loop, &relay->tick);
  ev_signal_stop (relay->loop, &relay->on_hup);
  ev_signal_stop (relay->loop, &relay->on_term);
  ev_signal_stop (relay->loop, &relay->on_int);
  if (relay->source != NULL)
    relay->deployment->source->stop (relay->source);
  mf_jobs_clear (&relay->jobs);
  mf_peers_free (relay->jobs.peers);
  mf_listener_free (relay->listener);
  mf_listener_free (relay->readiness_listener);
  mf_listener_free (relay->metrics_listener);
  mf_relay_log_free (relay->log);
  free (relay);
}
