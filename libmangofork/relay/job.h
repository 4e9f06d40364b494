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
#define MF_JOBS_LEADS_MAX MF_LOAD_VOTES_MAX

/* What this instance does for all about one service's engines, while it leads. */
typedef struct
{
  char service[MF_NAME_BYTES];
  uint64_t led_since_us; /* when it came to decide for all; 0: it does not */
  MfBudget pool;         /* repeats given to instances that have used their part */
  MfStageTrend trend;
  uint64_t fence;      /* of its orders since it leads */
  uint64_t ordered_us; /* the last order */
} MfLead;

/* An order on its way to an engine. */
typedef struct MfStageOrder MfStageOrder;

/* What the requests of one instance share. */
typedef struct
{
  struct ev_loop *loop;
  const MfDialect *dialect;
  MfLines *lines;
  MfTargets targets;
  MfSuspects *suspects; /* requests that may end the upstreams that run them */
  MfDispatch *dispatch;
  uint64_t n_begun; /* requests, since the start */
  uint64_t last_ask_id;
  MfRelayMessage message; /* room for one that is sent; too large for the stack */
  MfPeers *peers;         /* NULL: this instance is alone */
  /* Takes what another instance has read of the platform's store; NULL: nobody does. */
  void (*take_feed) (void *data, uint64_t peer, const MfFeed *feed);
  void *take_feed_data;
  bool others_stale;    /* what the other instances have is to be looked at again */
  double token_us;      /* moving average of an answer's time for each of its tokens; 0: none yet */
  double first_us;      /* moving average from a granted place to the first event; 0: none yet */
  double answer_tokens; /* moving average of engines' answers; 0: none yet */
  MfRoutes *routes;     /* in force; NULL while none is known */
  MfServiceBudget budgets[MF_JOBS_SERVICES_MAX];
  uint32_t n_budgets;
  uint64_t budget_window_us;
  double budget_ratio;
  uint32_t budget_slack; /* repeats allowed to all instances together, whatever their requests */
  MfLead leads[MF_JOBS_LEADS_MAX];
  uint32_t n_leads;
  MfStageOrder *orders;    /* on their way */
  uint64_t lead_ticked_us; /* by a clock that counts the time a machine stands still */
  bool orders_fenced;
  uint64_t order_turn_us;
  char instance[MF_NAME_BYTES]; /* the name under which it gives orders */
  uint64_t began_us;
  MfJob *first;
  uint32_t n_jobs;
  uint64_t n_ended; /* requests, since the start */
  uint32_t jobs_max;
  uint64_t answer_bytes_max;    /* that the answers kept may come to together */
  ev_timer wake;                /* requests that wait for room look again */
  ev_timer wake_now;            /* the same, at the next turn of the loop */
  uint64_t random;              /* state of the generator */
  uint64_t no_streams_after_us; /* while shutting down; 0: not */
  uint64_t ends_us;             /* when the process ends at the latest; 0: it does not */
  MfRelayCounters counters;
} MfJobs;

void mf_jobs_init (MfJobs *jobs, struct ev_loop *loop, const MfDialect *dialect, MfLines *lines);
void mf_jobs_clear (MfJobs *jobs);
void mf_jobs_configure (MfJobs *jobs, MfRoutes *routes);
void mf_jobs_wake (MfJobs *jobs);
void mf_jobs_refresh (MfJobs *jobs, uint64_t now_us);
void mf_jobs_lead (MfJobs *jobs, uint64_t now_us, uint64_t awake_us);
MfLead *mf_jobs_find_lead (MfJobs *jobs, const char *service);
void mf_jobs_balance_stages (MfJobs *jobs, MfLead *lead, const MfRouteService *service,
                             uint64_t now_us);
void mf_jobs_drop_orders (MfJobs *jobs);
void mf_jobs_forget_breaks (MfJobs *jobs, uint64_t now_us);
uint32_t mf_jobs_random (MfJobs *jobs);
void mf_jobs_load_changed (MfJobs *jobs);
void mf_jobs_wake_later (MfJobs *jobs);

extern const MfDispatchCallbacks mf_job_dispatch_user;

/* Peers are made with this user and the MfJobs as its data. */
extern const MfPeersCallbacks mf_jobs_peers_user;

/* The doors of callers are opened with this user and the MfJobs as its data. */
extern const MfDoorUser mf_job_door_user;

#endif
