#ifndef MF_RELAY_JOB_ROW_H
#define MF_RELAY_JOB_ROW_H

#include "job.h"

#include "libmangofork/part.h"

/* Maximum upstreams that a request avoids because they declined or failed it. Its slot requests
 * also list the upstreams that this instance cannot use. */
#define MF_JOB_AVOID_MAX 6

/* A resumable stream is moved to another upstream after a pause of this many times the route's
 * maximum gap between events. */
#define MF_JOB_STALL_GAPS 3

/* State of a request. */
typedef enum
{
  MF_JOB_WAITING,   /* for an engine slot, a reply of the leader, a probe or the end of a pause */
  MF_JOB_PREFILL,   /* an engine prefills its prompt */
  MF_JOB_RUNNING,   /* sent to the upstream that is to answer it */
  MF_JOB_STREAMING, /* the head of the answer has been sent to the caller */
} MfJobPhase;

/* Whether the quota of its customer admits a request. That is decided at its arrival, and not again
 * when a later configuration has another quota. */
typedef enum
{
  MF_JOB_QUOTA_UNDECIDED,
  MF_JOB_QUOTA_ASKED,    /* the allocator's reply is awaited */
  MF_JOB_QUOTA_ADMITTED, /* and its units are charged */
  MF_JOB_QUOTA_EXEMPT,   /* there was none */
} MfJobQuotaState;

/* What a request waits for. */
typedef enum
{
  MF_JOB_QUERY_NONE,
  MF_JOB_QUERY_QUOTA,   /* the allocator of its customer's quota is to admit it */
  MF_JOB_QUERY_ORIGIN,  /* other instances are to name the version that began its stream */
  MF_JOB_QUERY_ENGINES, /* this instance has asked the engines which of them holds its prompt */
  MF_JOB_QUERY_RATE,    /* the allocator of an upstream's rate is to admit it */
  MF_JOB_QUERY_PROCESS, /* a probe is to show whether its last upstream crashed */
  MF_JOB_QUERY_RETRY,   /* the leader is to grant a retry */
  MF_JOB_QUERY_SLOT,    /* the leader is to grant an engine slot */
  MF_JOB_N_QUERIES,
} MfJobQueryKind;

/* The open query of a request, of which it has one at most. */
typedef struct
{
  MfJobQueryKind kind;
  uint64_t id;   /* number of the message; of MF_JOB_QUERY_PROCESS the process */
  uint64_t peer; /* hash of the instance that is to reply; 0: several, or this one */
} MfJobQuery;

/* A buffered answer of an upstream. */
typedef struct
{
  uint32_t status; /* 0: no answer */
  MfBuffer headers;
  MfBuffer body;
  bool sealed;
  bool not_run;
  bool is_no_stream; /* and is to go on with one */
  bool encoded;
} MfJobAnswer;

/* A run whose upstream has been silent for too long. It goes on until another one takes its place.
 */
typedef struct
{
  MfLink *link; /* NULL: there is no such run */
  MfTarget *target;
  uint64_t target_tokens;
  MfJobPhase phase;
  MfJobAnswer answer; /* what has been received and not been passed on */
  uint64_t since_us;
  uint64_t sent_us;
  uint64_t n_events_before;
  uint32_t n_prefills; /* of the request, until then */
  bool has_stream;     /* which is passed on while it comes */
  bool answer_began;
  bool was_suspect;
  bool is_retry;
} MfStalledRun;

/* How a request ends if its retry is denied. */
typedef struct
{
  MfCode code;
  const char *why;
  bool may_have_run;
} MfJobDenial;

/* One request of a caller. Used only by job*.c. */
struct MfJob
{
  MfJobs *jobs;
  MfJob *next;
  MfJob *prev;
  MfCaller *caller; /* NULL: the caller has disconnected */
  MfRoutes *routes; /* the configuration in force when the request arrived */
  const MfRoute *route;
  const MfRouteService *service;
  const MfCustomerInfo *customer; /* who has its key now, or had it last; NULL: none */
  MfRoutes *customer_routes;      /* the configuration that customer points into */
  MfKeyDigest key;
  uint64_t key_removed_us; /* when a configuration without its key was applied; 0: none was */
  bool is_engine;
  bool is_head_request;
  char id[MF_JOB_ID_BYTES];
  uint64_t digest;        /* the same for all tries of a request */
  uint64_t content;       /* the same for all callers that send it */
  MfParts parts;          /* of its prompt that other requests may share */
  uint64_t try_id;        /* number of this try at this instance */
  uint32_t on_connection; /* number of this request on the caller's connection, from 1 */
  uint64_t started_us;
  /* When the caller sent its first try, estimated from its deadline header. */
  uint64_t first_try_us;
  uint64_t deadline_us; /* the earlier of the caller's deadline and the route's timeout */
  uint64_t give_up_us;  /* a request still waiting at this time is refused */
  uint64_t prompt_tokens;
  uint64_t output_tokens;   /* maximum */
  uint64_t expected_tokens; /* expected length of the answer */
  uint64_t kv_tokens;       /* expected KV of prompt and answer */

  MfJobPhase phase;
  ev_timer timer;
  uint64_t step_deadline_us; /* when the current attempt or wait times out; 0: never */
  uint64_t waiting_since_us;
  uint64_t waited_us;

  MfLink *link;
  MfTarget *target;
  uint64_t target_tokens;
  char last_upstream[MF_TARGET_ID_BYTES]; /* for the log */
  uint64_t sent_us;
  MfStalledRun stalled;
  MfJobAnswer answer; /* of the current exchange */
  /* Error answer of an upstream, sent if no further attempt succeeds. */
  MfJobAnswer fallback_answer;

  MfPrefillAnswer kv;
  MfTarget *kv_target;   /* engine that holds the prefilled KV; NULL: none */
  uint64_t prefilled_us; /* when the prefill finished */
  bool kv_used;
  uint32_t n_prefills;
  uint32_t n_prompt_sends;       /* of prefills */
  MfRelayCounter reread_counter; /* why a further prefill is needed, if it is */

  /* When the first upstream takes requests again, if none does now, or the end of the quarantine;
   * 0: none. */
  uint64_t pause_end_us;

  MfTarget *reserved_target; /* decode engine with a slot reserved for this request; NULL: none */

  MfJobQuery query;
  uint32_t n_unanswered_requests; /* consecutive slot requests without a reply */
  uint64_t granted_us;            /* when the slot was granted; 0: not granted */
  uint64_t granted_prefill;       /* hash of the engine that the grant names for the prefill */

  MfTarget *rate_target;     /* its rate limit is to admit the request; NULL: none */
  bool rate_prefill;         /* it is to be sent a prefill */
  uint64_t rate_max_wait_us; /* of the ask */
  bool rate_granted;         /* the unit is in hand, or will be when the step is over */
  bool rate_is_local;        /* the unit is of this instance's local part of the rate */

  MfJobQuotaState quota_state;
  uint64_t quota_key;       /* the customer that is charged, also if the key has moved since */
  MfQuotaLimit quota_limit; /* of that customer */
  uint32_t quota_units;     /* what it counts against the quota */
  uint64_t quota_allocator; /* hash of the instance that was asked */
  uint64_t
      quota_retry_us; /* when its caller may return, as the quota does not admit it; 0: it does */

  uint64_t avoid[MF_JOB_AVOID_MAX]; /* hashes of upstreams that declined or failed */
  uint32_t n_avoid;
  uint32_t n_prefill_sends;
  uint32_t n_run_sends;
  MfJobDenial denial;
  uint32_t n_reserved_sends; /* sends acquired from the budget but not made yet */
  bool is_retry;             /* whether the current send is a retry */
  bool was_suspect;          /* whether the request was a suspect at the time of the current send */
  uint32_t n_failures;       /* prefills and runs that failed or were abandoned */
  uint64_t caller_hash;      /* of the caller's host */
  uint64_t n_events_before;  /* of its stream, at the time of the current send */
  bool answer_began;         /* the upstream of the current send has survived its beginning */
  uint64_t trial_part;       /* quarantined part that it shows to be deadly or not; 0: none */
  uint64_t trial_content;    /* its content, if it shows that likewise; 0: it does not */
  uint32_t n_arrivals;       /* runs that reached an upstream */
  uint32_t n_runs;           /* those of them that may have been executed */
  uint32_t n_connect_failures;

  bool head_sent;
  bool is_resumed;                /* the caller takes up a stream of which it has received events */
  char begun_as[MF_JOB_ID_BYTES]; /* the id of its attempt that brought the first of them */
  uint64_t stream;                /* hash that identifies the stream; 0: it has no name */
  uint64_t version;  /* hash of the software version that began the stream; 0: none has yet */
  bool origin_noted; /* the holders have been told of the version */
  uint32_t n_origin_replies_due;
  bool origin_was_answered;  /* another instance has replied to that question */
  uint32_t n_engine_asks;    /* 1: another instance was to ask the engines; 2: this one has */
  uint64_t inferred_version; /* by other instances, in their replies; 0: none */
  MfEventStream events;
  uint64_t first_event_us;
  uint64_t stream_bytes; /* received of its stream */
};

/* job.c */
void mf_job_finish (MfJob *job, MfCode code, const char *why);
void mf_job_refuse (MfJob *job, MfCode code, const char *why);
void mf_job_reply (MfJob *job, const MfJobAnswer *answer);
bool mf_job_end_busy (MfJob *job);
void mf_job_set_timer (MfJob *job);
void mf_job_reset_give_up (MfJob *job);
uint64_t mf_job_answer_min_us (const MfJob *job);
bool mf_jobs_are_over_memory (const MfJobs *jobs);
void mf_job_answer_clear (MfJobAnswer *answer);
bool mf_job_may_retry (const MfJob *job);
bool mf_job_is_at_upstream (const MfJob *job);
void mf_jobs_note_first_event (MfJobs *jobs, uint64_t took_us);
void mf_jobs_note_answer (MfJobs *jobs, uint64_t tokens, uint64_t took_us);

/* job_query.c: what requests wait for. */
const char *mf_job_query_name (const MfJob *job);
void mf_job_open_query (MfJob *job, MfJobQueryKind kind, uint64_t id, uint64_t peer,
                        uint64_t timeout_us);
void mf_job_close_query (MfJob *job);
void mf_job_cancel_query (MfJob *job);
bool mf_job_query_expired (MfJob *job);
MfJob *mf_jobs_find_query (const MfJobs *jobs, MfJobQueryKind kind, uint64_t id);
MfJob *mf_jobs_match_reply (MfJobs *jobs, MfJobQueryKind kind, uint64_t id, uint64_t peer);
void mf_jobs_queries_peer_lost (MfJobs *jobs, uint64_t peer);

/* job_suspect.c: requests that may crash the upstreams that run them. */
extern const MfTargetsCallbacks mf_job_targets_callbacks;
bool mf_jobs_init_suspects (MfJobs *jobs);
uint64_t mf_job_content (const MfCaller *caller, const MfRoute *route);
uint64_t mf_job_digest (const MfCaller *caller);
bool mf_job_is_suspect (const MfJob *job);
bool mf_job_end_quarantined (MfJob *job);
void mf_job_note_failure (MfJob *job, MfTarget *target, bool is_broken);
void mf_job_withdraw_failure (MfJob *job);
void mf_job_note_upstream_alive (const MfJob *job);
void mf_job_note_outcome (const MfJob *job, bool answered);
void mf_job_note_sound (MfJob *job);
void mf_job_end_trial (MfJob *job);
void mf_job_retry_after_failure (MfJob *job, MfTarget *target, const MfJobDenial *denial);
void mf_job_probe_done (MfJob *job);
void mf_jobs_send_suspects (MfJobs *jobs, uint64_t peer);
void mf_jobs_handle_suspects (MfJobs *jobs, uint64_t peer, const MfSuspectUpdate *update);
void mf_jobs_suspects_peer_lost (MfJobs *jobs, uint64_t peer);
void mf_jobs_end_quarantined (MfJobs *jobs);

/* job_retry.c: the retry budget. */
MfServiceState *mf_jobs_service (MfJobs *jobs, const char *service);
bool mf_job_acquire_retry (MfJob *job);
bool mf_job_acquire_send (MfJob *job, bool prefill);
void mf_job_note_send (MfJob *job, bool prefill);
bool mf_job_acquire_move (MfJob *job);
void mf_job_retry_or_end (MfJob *job, const MfJobDenial *denial);
void mf_job_retry_denied (MfJob *job);
void mf_jobs_handle_retry_message (MfJobs *jobs, uint64_t peer, const MfRelayMessage *message);

/* job_rate.c: rate limits that upstreams name for all instances together. */
void mf_job_send_within_limit (MfJob *job, MfTarget *target, bool prefill, uint64_t max_wait_us);
MfTarget *mf_job_granted_target (MfJob *job, MfRole role, uint64_t now_us);
uint64_t mf_job_rate_wait_max_us (const MfJob *job, uint64_t now_us);
void mf_job_rate_expired (MfJob *job);
void mf_job_drop_rate (MfJob *job);
void mf_job_return_rate (MfJob *job, MfTarget *target);
void mf_jobs_handle_rate (MfJobs *jobs, uint64_t peer, const MfRelayMessage *message);
void mf_job_rate_peer_lost (MfJob *job);
void mf_jobs_limit_changed (MfJobs *jobs, MfTarget *target, bool by_answer);
void mf_jobs_send_limits (MfJobs *jobs, uint64_t peer);
void mf_jobs_handle_limits (MfJobs *jobs, const MfLimitUpdate *update);

/* job_quota.c: quotas of customers over all instances. */
bool mf_jobs_init_quotas (MfJobs *jobs);
void mf_jobs_clear_quotas (MfJobs *jobs);
void mf_jobs_quota_tick (struct ev_loop *loop, ev_timer *watcher, int events);
bool mf_job_admit (MfJob *job);
void mf_job_return_quota (MfJob *job);
void mf_job_quota_expired (MfJob *job);
void mf_jobs_handle_quota (MfJobs *jobs, uint64_t peer, const MfRelayMessage *message);
void mf_job_quota_cancelled (MfJob *job);
void mf_job_quota_peer_lost (MfJob *job);

/* job_history.c: since when crashes are known. */
bool mf_jobs_history_is_lost (const MfJobs *jobs, uint64_t lifetime_us, uint64_t now_us);
void mf_jobs_send_history (MfJobs *jobs, uint64_t peer);
void mf_jobs_handle_history (MfJobs *jobs, uint64_t age_us);

/* job_listing.c: what instances read of upstreams that leave. */
void mf_jobs_listing_changed (MfJobs *jobs, const MfListing *listing);
void mf_jobs_send_listings (MfJobs *jobs, uint64_t peer);
void mf_jobs_handle_listings (MfJobs *jobs, const MfListingUpdate *update);

/* job_origin.c: the software version that began a stream. */
void mf_job_name_stream (MfJob *job);
bool mf_job_find_origin (MfJob *job);
void mf_job_origin_expired (MfJob *job);
void mf_job_note_begun (MfJob *job);
void mf_jobs_handle_origin (MfJobs *jobs, uint64_t peer, const MfRelayMessage *message);

/* job_room.c: slot requests to the leader, or to the dispatcher of this instance. */
void mf_job_request_slot (MfJob *job);
void mf_job_withdraw_slot_request (MfJob *job);
void mf_job_slot_request_expired (MfJob *job);

/* job_place.c: decides the next step of a request. */
void mf_job_advance (MfJob *job);
void mf_job_step_expired (MfJob *job);
uint32_t mf_jobs_n_instances (const MfJobs *jobs);
uint32_t mf_jobs_connections_max (const MfJobs *jobs, const MfRouteService *service);
uint32_t mf_job_connections_max (const MfJob *job);

/* job_spillover.c: requests that leave their data centre. */
uint64_t mf_job_request_bytes (const MfJob *job);
void mf_job_note_spillover (const MfJob *job, const MfTarget *target, bool prefill);
void mf_job_note_answer_bytes (const MfJob *job, MfRole role, uint64_t answer_bytes);

/* job_shutdown.c: planned stops of this process. */
bool mf_job_end_unfinishable (MfJob *job, bool is_accepted);
bool mf_job_may_move (const MfJob *job);

/* job_stall.c: runs whose upstreams are silent. */
uint64_t mf_job_stall_us (const MfJob *job);
void mf_job_stall (MfJob *job);
bool mf_job_has_successor (const MfJob *job);
void mf_job_move (MfJob *job);
void mf_job_move_if_slow (MfJob *job);
void mf_job_take_over (MfJob *job);
void mf_job_await_successor (MfJob *job);
void mf_job_successor_expired (MfJob *job);
void mf_job_move_at_once (MfJob *job);
void mf_job_drop_stalled (MfJob *job);
bool mf_job_keep_stalled (MfJob *job, MfCode code, const char *why);

/* job_customer.c: customers and their keys. */
bool mf_jobs_config_may_be_stale (const MfJobs *jobs);
MfCode mf_jobs_check_key (const MfJobs *jobs, const MfCaller *caller, const MfRoute *route,
                          MfKeyDigest *key);
void mf_job_find_customer (MfJob *job);
void mf_jobs_count_customer (MfJobs *jobs, const MfCustomerInfo *customer, MfCustomerCount count);
bool mf_job_end_revoked (MfJob *job);
bool mf_job_hides_key (const MfJob *job);
uint32_t mf_job_priority (const MfJob *job);

/* job_send.c: starts and cancels exchanges with upstreams. */
bool mf_job_send (MfJob *job, MfTarget *target, bool prefill);
void mf_job_set_send_deadline (MfJob *job);
void mf_job_return_send (MfJob *job, MfTarget *target);
void mf_job_cancel (MfJob *job);
void mf_job_release_kv (MfJob *job);
void mf_job_reserve (MfJob *job, MfTarget *target);
void mf_job_avoid (MfJob *job, uint64_t id_hash);
void mf_job_release_target (MfJob *job);

/* job_answer.c: handles upstreams' answers to prefills and runs. */
extern const MfLinkCallbacks mf_job_prefill_callbacks;
extern const MfLinkCallbacks mf_job_run_callbacks;
bool mf_job_has_stream (const MfJob *job);
void mf_job_pass_on (MfJob *job, MfBuffer *events);
const char *mf_job_stream_defect (const MfJob *job, MfLinkEnd end);

#endif
