#ifndef MF_RELAY_RELAY_H
#define MF_RELAY_RELAY_H

#include "feed.h"
#include "job.h"
#include "setting.h"

/* Bytes of a path, including the terminating NUL. */
#define MF_RELAY_PATH_BYTES 256

/* Settings of a relay process. The times are requirements of the deployment. */
typedef struct
{
  char name[MF_NAME_BYTES];
  char data_centre[MF_NAME_BYTES];
  char listen[MF_ADDRESS_BYTES];    /* for callers */
  char readiness[MF_ADDRESS_BYTES]; /* for the load balancer's readiness check */
  char metrics[MF_ADDRESS_BYTES];   /* for metrics; "": none */
  char peers[MF_ADDRESS_BYTES];     /* for other instances; "": no connections to them */
  char seeds[256];                  /* comma-separated addresses of some instances */
  char store[MF_ADDRESS_BYTES];     /* the platform's store */
  uint64_t memory_bytes;            /* memory limit of the process; 0: unknown */
  uint32_t files_max;               /* file descriptors; 0: unknown */
  uint64_t change_bound_us;         /* a change at the store must take effect within this time */
  uint64_t config_apply_us;         /* the same for a version of the configuration */
  uint64_t revoke_us;         /* a request may still be sent for so long after its key's removal */
  bool revokes_at_once;       /* in place of revoke_us */
  uint64_t registration_us;   /* upstreams renew their entries at this interval; 0: unknown */
  uint64_t recovery_us;       /* normal service must be back within this time after a fault */
  uint64_t grace_us;          /* from SIGTERM to SIGKILL */
  double retry_ratio;         /* retries per request */
  uint64_t retry_window_us;   /* over which retry_ratio applies */
  uint32_t retry_slack;       /* additional retries, for all instances together */
  bool orders_fenced;         /* whether engines check the fences of orders */
  uint64_t order_interval_us; /* least time between orders of two instances to one engine */
  uint64_t quota_window_us;   /* over which the bound of a quota applies */
  double quota_overage;       /* permitted above a quota, as a part of it */
  uint64_t quota_slack;       /* units permitted beyond that */
} MfRelaySettings;

typedef struct MfRelay MfRelay;

/* The source of configurations and upstreams. */
typedef struct
{
  /* Starts to read. Passes on what it reads with mf_relay_configure, mf_relay_update_upstream and
   * the other functions below, from the event loop. */
  void *(*start) (MfRelay *relay, struct ev_loop *loop, const MfRelaySettings *settings,
                  MfError *error);
  /* The settings have been reloaded. */
  void (*update_settings) (void *source, const MfRelaySettings *settings);
  /* Applies changes that another instance has read. Returns whether everything up to the feed's
   * last revision is known now, so that nothing needs to be read for it. */
  bool (*apply_feed) (void *source, const MfFeed *feed);
  void (*stop) (void *source);
} MfRelaySource;

/* The adapter to a deployment's platform. */
typedef struct
{
  const MfDialect *dialect;
  const MfRelaySource *source;
  /* Reads the settings. Values in faults are not used. Returns false with error set, and the
   * settings as they were, when what is required is missing. */
  bool (*read_settings) (const char *path, MfRelaySettings *settings, MfSettingFaults *faults,
                         MfError *error);
} MfRelayDeployment;

MfRelay *mf_relay_new (const MfRelayDeployment *deployment, const char *path, MfError *error);
void mf_relay_set_spillover (MfRelay *relay, MfSpilloverMode mode, double us_per_kb);
void mf_relay_run (MfRelay *relay);
void mf_relay_free (MfRelay *relay);

void mf_relay_configure (MfRelay *relay, MfRoutes *routes);
void mf_relay_config_pending (MfRelay *relay, bool is_pending);
void mf_relay_source_position (MfRelay *relay, uint64_t era, uint64_t revision);
void mf_relay_update_upstream (MfRelay *relay, const MfTargetInfo *info);
void mf_relay_remove_upstream (MfRelay *relay, const char *id, const char *why);
void mf_relay_list_begin (MfRelay *relay, bool is_restored);
void mf_relay_list_end (MfRelay *relay);
void mf_relay_source_up (MfRelay *relay);
void mf_relay_source_restored (MfRelay *relay);
MfFeedRole mf_relay_feed_role (MfRelay *relay);
uint64_t mf_relay_read_delay_us (MfRelay *relay, MfFeedRole role);
uint64_t mf_relay_watch_timeout_us (const MfRelay *relay, MfFeedRole role, uint64_t standalone_us);
uint64_t mf_relay_retry_delay_us (MfRelay *relay, bool is_known, uint64_t last_us);
uint64_t mf_relay_jitter_us (MfRelay *relay, uint64_t max_us);
void mf_relay_source_read (MfRelay *relay, MfFeed *feed, uint64_t took_us, uint64_t wait_us);
void mf_relay_source_down (MfRelay *relay, const char *why);
MfRelayLog *mf_relay_log (MfRelay *relay);
MfRelayCounters *mf_relay_counters (MfRelay *relay);

#endif
