#ifndef MF_RELAY_JOB_H
#define MF_RELAY_JOB_H

#include "budget.h"
#include "caller.h"
#include "events.h"
#include "peers.h"
#include "place.h"
#include "relay_counters.h"
#include "stage.h"

/* Bytes of a request's id, its closing NUL included. */
#define MF_JOB_ID_BYTES 128

typedef struct MfJob MfJob;

/* Most services whose repeats are counted apart; a further one shares the last one's budget. */
#define MF_JOBS_SERVICES_MAX 64

/* The repeats of one service. */
typedef struct
{
  char service[MF_NAME_BYTES];
  MfBudget budget;
} MfServiceBudget;

/* Engine services that an instance leads at most: reports name the leaders of so many. */
#define MF_JOBS_LEADERSHIPS_MAX MF_LOAD_VOTES_MAX

/* What this instance does for all about one service's engines, while it leads. */
typedef struct
{
  char service[MF_NAME_BYTES];
  uint64_t led_since_us; /* when it came to decide for all; 0: it does not */
  MfBudget retry_pool;   /* repeats given to instances that have used their part */
  MfStageTrend trend;
  uint64_t fence;      /* of its orders since it leads */
  uint64_t ordered_us; /* the last order */
} MfLeadership;

/* An order on its way to an engine. */
typedef struct MfStageOrder MfStageOrder;

/* What the requests of one instance share. */
typedef struct
{
  struct ev_loop *loop;
  const MfDialect *dialect;
  MfRelayLog *log;
  MfTargets targets;
  MfSuspects *suspects; /* requests that may end the upstreams that run them */
  MfDispatch *dispatch;
  uint64_t n_started; /* requests, since the start */
  uint64_t last_peer_request_id;
  MfRelayMessage message; /* room for one that is sent; too large for the stack */
  MfPeers *peers;         /* NULL: this instance is alone */
  /* Takes what another instance has read of the platform's store; NULL: nobody does. */
  void (*on_feed) (void *data, uint64_t peer, const MfFeed *feed);
  void *on_feed_data;
  bool remote_load_stale; /* what the other instances have is to be looked at again */
  double mean_token_us; /* moving average of an answer's time for each of its tokens; 0: none yet */
  double
      mean_first_event_us; /* moving average from a granted place to the first event; 0: none yet */
  double mean_answer_tokens; /* moving average of engines' answers; 0: none yet */
  MfRoutes *routes;          /* in force; NULL while none is known */
  MfServiceBudget budgets[MF_JOBS_SERVICES_MAX];
  uint32_t n_budgets;
  uint64_t budget_window_us;
  double budget_ratio;
  uint32_t budget_slack; /* repeats allowed to all instances together, whatever their requests */
  MfLeadership leaderships[MF_JOBS_LEADERSHIPS_MAX];
  uint32_t n_leaderships;
  MfStageOrder *orders;          /* on their way */
  uint64_t leadership_ticked_us; /* by a clock that counts the time a machine stands still */
  bool orders_fenced;
  uint64_t order_interval_us;
  char instance[MF_NAME_BYTES]; /* the name under which it gives orders */
  uint64_t started_us;
  MfJob *first;
  uint32_t n_jobs;
  uint64_t n_ended; /* requests, since the start */
  uint32_t jobs_max;
  uint64_t answer_bytes_max;    /* that the answers kept may come to together */
  ev_timer dispatch_timer;      /* requests that wait for room look again */
  ev_timer dispatch_now_timer;  /* the same, at the next turn of the loop */
  uint64_t random_state;        /* state of the generator */
  uint64_t no_streams_after_us; /* while shutting down; 0: not */
  uint64_t exit_by_us;          /* when the process ends at the latest; 0: it does not */
  MfRelayCounters counters;
} MfJobs;

void mf_jobs_init (MfJobs *jobs, struct ev_loop *loop, const MfDialect *dialect, MfRelayLog *log);
void mf_jobs_clear (MfJobs *jobs);
void mf_jobs_configure (MfJobs *jobs, MfRoutes *routes);
void mf_jobs_run_dispatch (MfJobs *jobs);
void mf_jobs_refresh_remote_load (MfJobs *jobs, uint64_t now_us);
void mf_jobs_tick_leadership (MfJobs *jobs, uint64_t now_us, uint64_t boottime_us);
MfLeadership *mf_jobs_find_leadership (MfJobs *jobs, const char *service);
void mf_jobs_balance_stages (MfJobs *jobs, MfLeadership *lead, const MfRouteService *service,
                             uint64_t now_us);
void mf_jobs_cancel_orders (MfJobs *jobs);
void mf_jobs_expire_failures (MfJobs *jobs, uint64_t now_us);
uint32_t mf_jobs_random (MfJobs *jobs);
void mf_jobs_load_changed (MfJobs *jobs);
void mf_jobs_schedule_dispatch (MfJobs *jobs);

extern const MfDispatchCallbacks mf_job_dispatch_callbacks;

/* Peers are made with this user and the MfJobs as its data. */
extern const MfPeersCallbacks mf_jobs_peers_callbacks;

/* The doors of callers are opened with this user and the MfJobs as its data. */
extern const MfListenerCallbacks mf_job_listener_callbacks;

#endif
