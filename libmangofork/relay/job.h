#ifndef MF_RELAY_JOB_H
#define MF_RELAY_JOB_H

#include "budget.h"
#include "caller.h"
#include "events.h"
#include "held.h"
#include "origin.h"
#include "peers.h"
#include "place.h"
#include "relay_counters.h"
#include "shutdown.h"
#include "stage.h"

/* Bytes of a request id, including the terminating NUL. */
#define MF_JOB_ID_BYTES 128

typedef struct MfJob MfJob;

/* Maximum number of services with a state of their own. Further services share the last one. */
#define MF_JOBS_SERVICES_MAX 64

/* State of one service. */
typedef struct
{
  char service[MF_NAME_BYTES];
  MfBudget budget;            /* of retries */
  MfEventNumbering numbering; /* of its streams */
} MfServiceState;

/* Maximum number of engine services that this instance leads: a load report carries that many
 * votes. */
#define MF_JOBS_LEADERSHIPS_MAX MF_LOAD_VOTES_MAX

/* State of this instance as the leader of one engine service. */
typedef struct
{
  char service[MF_NAME_BYTES];
  uint64_t led_since_us; /* start of the leadership; 0: not the leader */
  MfBudget retry_pool;   /* retries granted to instances that have used up their own allowance */
  MfStageTrend trend;
  uint64_t fence;      /* fencing token of the orders given during this leadership */
  uint64_t ordered_us; /* time of the last order */
} MfLeadership;

/* A stage change order that is in flight to an engine. */
typedef struct MfStageOrder MfStageOrder;

/* Questions of other instances that await the engines' answers, at most. */
#define MF_JOBS_ENGINE_ASKS_MAX 256

/* Another instance's question which engines hold a part of prompts. */
typedef struct
{
  uint64_t peer;
  uint64_t id;
  char service[MF_NAME_BYTES];
  uint64_t part;
  uint64_t tokens;
} MfEngineAsk;

/* The key that a request presents. The key itself is not kept. */
typedef struct
{
  bool is_read;  /* the request has been read under a configuration with customers */
  bool is_valid; /* it presents exactly one key of an allowed length */
  uint8_t bytes[MF_DIGEST_BYTES];
} MfKeyDigest;
/* When requests leave their data centre by observed times instead of constant costs. */
typedef enum
{
  MF_SPILLOVER_AUTO, /* where the configuration has customers */
  MF_SPILLOVER_ON,
  MF_SPILLOVER_OFF,
} MfSpilloverMode;

/* State shared by all requests of one instance. */
typedef struct
{
  struct ev_loop *loop;
  const MfDialect *dialect;
  MfRelayLog *log;
  MfTargets targets;
  MfRateShares *rates; /* rates that this instance allocates */
  MfQuotas *quotas;    /* quotas that this instance allocates */
  MfQuotaAsker *quota_asker;
  MfQuotaBounds quota_bounds;
  /* The most instances known lately, and when there were as many. */
  uint32_t n_quota_instances;
  uint64_t quota_instances_us;
  ev_timer quota_timer; /* active while reports or changes of state are due */
  MfSuspects *suspects; /* requests that may crash the upstreams that run them */
  /* Crashes since then are known here, from this instance or from others that have been running; it
   * may lie before the start of the clock. */
  int64_t history_since_us;
  MfOrigins *origins; /* which versions began the latest streams */
  MfHeldParts *held_parts;
  MfEngineAsk engine_asks[MF_JOBS_ENGINE_ASKS_MAX]; /* of other instances */
  uint32_t n_engine_asks;
  /* All changes of discovery made before this time are known, on a clock that counts time spent
   * suspended; what is older than the age says nothing about the versions that are in use. */
  uint64_t upstreams_as_of_us;
  uint64_t upstreams_age_max_us;
  bool config_is_pending;     /* a later configuration is known to exist, and not read yet */
  uint64_t configured_us;     /* when the configuration was applied, on the same clock */
  uint64_t revoke_us;         /* how long a request may still be sent after its key was removed */
  uint64_t config_apply_us;   /* a configuration must be in force within this time; 0: no bound */
  uint64_t stream_timeout_us; /* longest timeout of a stream in any configuration so far */
  MfDispatch *dispatch;
  uint64_t n_started; /* requests started since the process started */
  uint64_t last_peer_request_id;
  MfRelayMessage message; /* buffer for the message being sent; too large for the stack */
  MfPeers *peers;         /* NULL: this instance runs alone */
  /* Called with what another instance has read from the platform's store; may be NULL. */
  void (*on_feed) (void *data, uint64_t peer, const MfFeed *feed);
  void *on_feed_data;
  bool remote_load_stale; /* the load of other instances has changed and must be added up again */
  double mean_token_us;   /* moving average of the answer time per token; 0: no sample yet */
  /* Moving average of the time from a slot's grant to the first event; 0: no sample yet. */
  double mean_first_event_us;
  double mean_answer_tokens; /* moving average of the answer length of engines; 0: no sample yet */
  MfRoutes *routes;          /* configuration in force; NULL: none yet */
  MfServiceState services[MF_JOBS_SERVICES_MAX];
  uint32_t n_services;
  uint64_t budget_window_us;
  double budget_ratio;
  /* Retries that all instances together may send regardless of their request counts. */
  uint32_t budget_slack;
  MfLeadership leaderships[MF_JOBS_LEADERSHIPS_MAX];
  uint32_t n_leaderships;
  MfStageOrder *orders; /* in flight */
  /* Time of the last tick, on a clock that counts time spent suspended. */
  uint64_t leadership_ticked_us;
  bool orders_fenced;           /* engines check the fences of orders */
  uint64_t order_interval_us;   /* minimum time between the orders of two instances */
  char instance[MF_NAME_BYTES]; /* name used as the holder of engine orders */
  uint64_t started_us;
  MfJob *first;
  uint32_t n_jobs;
  uint64_t n_ended; /* requests ended since the process started */
  uint32_t jobs_max;
  uint64_t buffers_bytes_max;  /* limit of the memory of all buffers of the process; 0: none */
  uint64_t answer_bytes_max;   /* limit of the memory taken by all buffered answers */
  ev_timer dispatch_timer;     /* runs the dispatcher periodically while requests wait */
  ev_timer dispatch_now_timer; /* runs the dispatcher in the next iteration of the loop */
  ev_timer quarantine_timer;   /* ends quarantined requests in the next iteration of the loop */
  uint64_t random_state;       /* state of the random number generator */
  MfShutdown shutdown;
  MfSpilloverMode spillover_mode;
  double spillover_us_per_kb;
  MfSpillover *spillover; /* NULL: it has not been on; in use while targets refers to it */
  MfRelayCounters counters;
} MfJobs;

void mf_jobs_init (MfJobs *jobs, struct ev_loop *loop, const MfDialect *dialect, MfRelayLog *log);
void mf_jobs_clear (MfJobs *jobs);
void mf_jobs_configure (MfJobs *jobs, MfRoutes *routes);
void mf_jobs_shut_down (MfJobs *jobs, const MfShutdown *shutdown);
void mf_jobs_end_all (MfJobs *jobs);
void mf_jobs_run_dispatch (MfJobs *jobs);
void mf_jobs_refresh_remote_load (MfJobs *jobs, uint64_t now_us);
void mf_jobs_tick_leadership (MfJobs *jobs, uint64_t now_us, uint64_t boottime_us);
MfLeadership *mf_jobs_find_leadership (MfJobs *jobs, const char *service);
void mf_jobs_balance_stages (MfJobs *jobs, MfLeadership *leadership, const MfRouteService *service,
                             uint64_t now_us);
void mf_jobs_cancel_orders (MfJobs *jobs);
void mf_jobs_expire_failures (MfJobs *jobs, uint64_t now_us);
void mf_jobs_note_instances (MfJobs *jobs, uint64_t now_us);
void mf_jobs_charge_rate (MfJobs *jobs, MfTarget *target);
uint32_t mf_jobs_random (MfJobs *jobs);
void mf_jobs_ask_engines (MfJobs *jobs);
void mf_jobs_load_changed (MfJobs *jobs);
void mf_jobs_schedule_dispatch (MfJobs *jobs);
const char *mf_jobs_customer_name (const MfJobs *jobs, uint64_t customer, char *text,
                                   size_t text_bytes);
void mf_jobs_render_customers (const MfJobs *jobs, MfBuffer *out);
void mf_jobs_tick_spillover (MfJobs *jobs, uint64_t now_us);
uint32_t mf_jobs_render_placement (MfJobs *jobs, const char *query, size_t query_bytes,
                                   MfBuffer *out);
void mf_jobs_render_spillover (const MfJobs *jobs, MfBuffer *out);

extern const MfDispatchCallbacks mf_job_dispatch_callbacks;

/* Callbacks for the MfHeldParts of an MfJobs, which is their data. */
extern const MfHeldCallbacks mf_jobs_held_callbacks;

/* Callbacks for the MfPeers of an MfJobs, which is their data. */
extern const MfPeersCallbacks mf_jobs_peers_callbacks;

/* Callbacks for the listener for callers; their data is the MfJobs. */
extern const MfListenerCallbacks mf_job_listener_callbacks;

#endif
