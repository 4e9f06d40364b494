#ifndef MF_RELAY_RELAY_H
#define MF_RELAY_RELAY_H

#include "feed.h"
#include "job.h"

/* Bytes of a path, its closing NUL included. */
#define MF_RELAY_PATH_BYTES 256

/* What a process of the relay is told. Times are bounds that the deployment sets. */
typedef struct
{
  char name[MF_NAME_BYTES];
  char data_centre[MF_NAME_BYTES];
  char listen[MF_ADDRESS_BYTES];    /* callers */
  char readiness[MF_ADDRESS_BYTES]; /* the balancer asks here whether callers may come */
  char metrics[MF_ADDRESS_BYTES];   /* counters; "" for none */
  char peers[MF_ADDRESS_BYTES];     /* other instances; empty: they are not talked to */
  char seeds[256];                  /* addresses of some instances, comma-separated */
  char store[MF_ADDRESS_BYTES];     /* the platform's store */
  uint64_t memory_bytes;            /* the process may use; 0: not told */
  uint32_t files_max;               /* descriptors; 0: not told */
  uint64_t change_bound_us;         /* within which a change at the store must be acted on */
  uint64_t recovery_us;             /* after a fault ends, all must be in order again within this */
  uint64_t grace_us;                /* from SIGTERM to SIGKILL */
  double retry_ratio;               /* repeats for each request */
  uint64_t retry_window_us;         /* that they are counted in */
  uint32_t retry_slack;             /* repeats allowed besides, to all instances together */
  bool orders_fenced;               /* whether engines check the fences of orders */
  uint64_t order_interval_us;       /* two instances that order one engine keep this far apart */
} MfRelaySettings;

typedef struct MfRelay MfRelay;

/* Where configurations and upstreams are learnt from. */
typedef struct
{
  /* Starts to read; calls mf_relay_configure, mf_relay_update_upstream and the like from the loop.
   */
  void *(*start) (MfRelay *relay, struct ev_loop *loop, const MfRelaySettings *settings,
                  MfError *error);
  /* The settings were read again. */
  void (*update_settings) (void *source, const MfRelaySettings *settings);
  /* Applies what another instance has read. Returns whether all up to its last revision is known
   * now, so that nothing need be read for it. */
  bool (*apply_feed) (void *source, const MfFeed *feed);
  void (*stop) (void *source);
} MfRelaySource;

/* What a deployment brings: its wire, its source, and how its settings are read. */
typedef struct
{
  const MfDialect *dialect;
  const MfRelaySource *source;
  bool (*read_settings) (const char *path, MfRelaySettings *settings, MfError *error);
} MfRelayDeployment;

MfRelay *mf_relay_new (const MfRelayDeployment *deployment, const char *path, MfError *error);
void mf_relay_run (MfRelay *relay);
void mf_relay_free (MfRelay *relay);

void mf_relay_configure (MfRelay *relay, MfRoutes *routes);
void mf_relay_update_upstream (MfRelay *relay, const MfTargetInfo *info);
void mf_relay_remove_upstream (MfRelay *relay, const char *id, const char *why);
void mf_relay_list_begin (MfRelay *relay);
void mf_relay_list_end (MfRelay *relay);
void mf_relay_source_up (MfRelay *relay);
MfFeedRole mf_relay_feed_role (MfRelay *relay);
uint64_t mf_relay_read_delay_us (MfRelay *relay, MfFeedRole role);
uint64_t mf_relay_watch_timeout_us (const MfRelay *relay, MfFeedRole role, uint64_t alone_us);
uint64_t mf_relay_retry_delay_us (MfRelay *relay, bool is_known, uint64_t last_us);
uint64_t mf_relay_jitter_us (MfRelay *relay, uint64_t max_us);
void mf_relay_source_read (MfRelay *relay, MfFeed *feed, uint64_t took_us, uint64_t wait_us);
void mf_relay_source_down (MfRelay *relay, const char *why);
MfRelayLog *mf_relay_log (MfRelay *relay);
MfRelayCounters *mf_relay_counters (MfRelay *relay);

#endif
