#ifndef MF_RELAY_JOB_ROW_H
#define MF_RELAY_JOB_ROW_H

#include "job.h"

/* Upstreams that a request keeps away from by itself; what an ask of it names besides are those
 * that this instance cannot use. */
#define MF_JOB_AVOID_MAX 6

/* Where a request stands. */
typedef enum
{
  MF_JOB_WAITING,   /* for room at an upstream */
  MF_JOB_PREFILL,   /* an engine reads its prompt */
  MF_JOB_RUNNING,   /* sent to the upstream that is to answer it */
  MF_JOB_STREAMING, /* the head of its answer has gone to the caller */
} MfJobPhase;

/* An answer kept until it is known that no better one comes. */
typedef struct
{
  uint32_t status; /* 0: none */
  MfBuffer headers;
  MfBuffer body;
  bool sealed;
  bool not_run;
  bool encoded;
} MfJobAnswer;

/* How a request ends that may not be repeated. */
typedef struct
{
  MfCode code;
  const char *why;
  bool may_have_run;
} MfJobDenial;

/* One request of a caller. Shared by the files job*.c only. */
struct MfJob
{
  MfJobs *jobs;
  MfJob *next;
  MfJob *prev;
  MfCaller *caller; /* NULL once it has left */
  MfRoutes *routes; /* the configuration it came under */
  const MfRoute *route;
  const MfRouteService *service;
  bool is_engine;
  bool is_head_request;
  char id[MF_JOB_ID_BYTES];
  uint64_t digest; /* the same for each try of a request */
  uint64_t try_id; /* names this try within the instance */
  uint64_t begun_us;
  uint64_t first_try_us; /* when the caller first asked, as far as its deadline shows */
  uint64_t deadline_us;  /* the caller's or the route's, whichever is first */
  uint64_t give_up_us;   /* a stream's caller leaves without a first event by then */
  uint64_t prompt_tokens;
  uint64_t output_tokens;   /* at most */
  uint64_t expected_tokens; /* that are expected */
  uint64_t kv_tokens;       /* engine memory it is reckoned to need */

  MfJobPhase phase;
  ev_timer timer;
  uint64_t step_deadline_us; /* the upstream is given up for another then; 0: never */
  uint64_t waiting_since_us;
  uint64_t waited_us;

  MfLink *link;
  MfTarget *target;
  uint64_t target_tokens;
  char last_upstream[MF_TARGET_ID_BYTES]; /* for the log */
  uint64_t sent_us;
  MfJobAnswer answer;          /* of the exchange under way */
  MfJobAnswer fallback_answer; /* a failure of an upstream, for want of a better answer */

  MfPrefillAnswer kv;
  MfTarget *kv_target;   /* holds the prompt; NULL: none does */
  uint64_t prefilled_us; /* when it was read */
  bool kv_used;
  uint32_t n_prefills;

  uint64_t pause_end_us; /* when the first upstream takes requests again; 0: not known */

  MfTarget *reserved_target; /* the engine that keeps room for it; NULL: none does */

  uint64_t slot_request_id;       /* of the ask for room that waits for its answer; 0: none */
  uint64_t asked_instance;        /* the instance that was asked */
  uint32_t n_unanswered_requests; /* asks in a row that nobody answered */
  uint64_t granted_us;            /* when it got its place; 0: it has none yet */
  uint64_t granted_prefill;       /* hash of the engine that is to read the prompt */

  uint64_t avoid[MF_JOB_AVOID_MAX]; /* hashes of upstreams that declined or failed */
  uint32_t n_avoid;
  uint32_t n_prefill_sends;
  uint32_t n_run_sends;
  uint64_t retry_request_id; /* of a repeat that was asked for; 0: none is */
  MfJobDenial denial;
  uint32_t n_reserved_sends; /* repeats taken from the budget and not sent yet */
  bool is_retry;             /* the send under way is one */
  bool was_suspect;          /* when the send under way began */
  uint32_t n_failures;       /* runs and prefills that broke or were given up */
  uint64_t
      awaited_process_id; /* the process of which it is to be known whether it ended; 0: none */
  uint32_t n_arrivals;    /* sends of the run that reached an upstream */
  uint32_t n_runs;        /* of these, those that may have run */
  uint32_t n_connect_failures;

  bool head_sent;
  MfEventStream events;
  uint64_t first_event_us;
};

/* job.c */
void mf_job_finish (MfJob *job, MfCode code, const char *why);
void mf_job_refuse (MfJob *job, MfCode code, const char *why);
void mf_job_reply (MfJob *job, MfJobAnswer *answer);
void mf_job_set_timer (MfJob *job);
void mf_job_reset_give_up (MfJob *job);
void mf_job_answer_clear (MfJobAnswer *answer);
bool mf_job_may_retry (const MfJob *job);
void mf_jobs_note_first_event (MfJobs *jobs, uint64_t took_us);
void mf_jobs_note_answer (MfJobs *jobs, uint64_t tokens, uint64_t took_us);

/* job_suspect.c: requests that may end the upstreams that run them. */
extern const MfTargetsCallbacks mf_job_targets_callbacks;
bool mf_jobs_init_suspects (MfJobs *jobs);
uint64_t mf_job_digest (const MfCaller *caller);
bool mf_job_is_suspect (const MfJob *job);
bool mf_job_end_quarantined (MfJob *job);
void mf_job_note_failure (MfJob *job, MfTarget *target);
void mf_job_note_upstream_alive (const MfJob *job);
void mf_job_note_outcome (const MfJob *job, bool answered);
void mf_job_retry_after_failure (MfJob *job, MfTarget *target, const MfJobDenial *denial);
void mf_job_probe_done (MfJob *job);
void mf_jobs_send_suspects (MfJobs *jobs, uint64_t peer);
void mf_jobs_handle_suspects (MfJobs *jobs, const MfSuspectUpdate *update);

/* job_retry.c: the budget for repeats. */
MfServiceBudget *mf_jobs_budget (MfJobs *jobs, const char *service);
bool mf_job_acquire_retry (MfJob *job);
bool mf_job_acquire_send (MfJob *job, bool prefill);
void mf_job_note_send (MfJob *job, bool prefill);
void mf_job_retry_or_end (MfJob *job, const MfJobDenial *denial);
void mf_job_retry_denied (MfJob *job);
void mf_jobs_handle_retry_message (MfJobs *jobs, uint64_t peer, const MfRelayMessage *message);

/* job_room.c: asks for room at an engine, here or at the instance that decides for all. */
void mf_job_request_slot (MfJob *job);
void mf_job_cancel_slot_request (MfJob *job);
void mf_job_slot_request_expired (MfJob *job);

/* job_place.c: decides what a request does next. */
void mf_job_advance (MfJob *job);
void mf_job_step_expired (MfJob *job);

/* job_send.c: begins an exchange with an upstream, and ends it without its answer. */
bool mf_job_send (MfJob *job, MfTarget *target, bool prefill);
void mf_job_cancel (MfJob *job);
void mf_job_release_kv (MfJob *job);
void mf_job_reserve (MfJob *job, MfTarget *target);
void mf_job_avoid (MfJob *job, uint64_t id_hash);
void mf_job_release_target (MfJob *job);

/* job_answer.c: what comes back from an upstream, to a prefill and to a run. */
extern const MfLinkCallbacks mf_job_prefill_callbacks;
extern const MfLinkCallbacks mf_job_run_callbacks;

#endif
