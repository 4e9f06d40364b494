#include "job_row.h"

#include "libmangofork/clock.h"

/* How a request handles an open query of one kind. Functions may be NULL. */
typedef struct
{
  const char *name; /* for the log */
  /* Withdraws the query where it is waited for, before it is forgotten. */
  void (*cancel) (MfJob *job);
  /* No reply has come in time. */
  void (*expired) (MfJob *job);
  /* The instance that is to reply was lost; without this function, the query expires. */
  void (*peer_lost) (MfJob *job);
} QueryKind;

static const QueryKind kinds[MF_JOB_N_QUERIES] = {
  [MF_JOB_QUERY_QUOTA] = {
    .name = "quota",
    .cancel = mf_job_quota_cancelled,
    .expired = mf_job_quota_expired,
    .peer_lost = mf_job_quota_peer_lost,
  },
  [MF_JOB_QUERY_ORIGIN] = { .name = "origin", .expired = mf_job_origin_expired },
  [MF_JOB_QUERY_ENGINES] = { .name = "engines", .expired = mf_job_origin_expired },
  [MF_JOB_QUERY_RATE] = {
    .name = "rate",
    .expired = mf_job_rate_expired,
    .peer_lost = mf_job_rate_peer_lost,
  },
  [MF_JOB_QUERY_PROCESS] = { .name = "process", .expired = mf_job_probe_done },
  [MF_JOB_QUERY_RETRY] = { .name = "retry", .expired = mf_job_retry_denied },
  [MF_JOB_QUERY_SLOT] = {
    .name = "slot",
    .cancel = mf_job_withdraw_slot_request,
    .expired = mf_job_slot_request_expired,
    .peer_lost = mf_job_request_slot,
  },
};

/* Returns what a request waits for, for the log. */
const char *
mf_job_query_name (const MfJob *job)
{
  return job->query.kind == MF_JOB_QUERY_NONE ? "none" : kinds[job->query.kind].name;
}

/* Lets a request wait for a reply, for timeout_us at most unless that is 0. id identifies the
 * reply; peer is the instance that is to send it, or 0. The query that was open until now is
 * cancelled, so that a request never acts on two replies. */
void
mf_job_open_query (MfJob *job, MfJobQueryKind kind, uint64_t id, uint64_t peer, uint64_t timeout_us)
{
  uint64_t now_us = mf_clock_now_us ();

  mf_job_cancel_query (job);
  job->query = (MfJobQuery){ .kind = kind, .id = id, .peer = peer };
  job->phase = MF_JOB_WAITING;
  if (job->waiting_since_us == 0)
    job->waiting_since_us = now_us;
  job->step_deadline_us = timeout_us > 0 ? now_us + timeout_us : 0;
  mf_job_set_timer (job);
}

/* The open query, if any, has its reply or is not waited for any more. */
void
mf_job_close_query (MfJob *job)
{
  if (job->query.kind == MF_JOB_QUERY_NONE)
    return;
  job->query = (MfJobQuery){ 0 };
  job->step_deadline_us = 0;
}

/* Withdraws the open query, if any: the request goes on without its reply, or ends. */
void
mf_job_cancel_query (MfJob *job)
{
  const QueryKind *kind = &kinds[job->query.kind];

  if (kind->cancel != NULL)
    kind->cancel (job);
  mf_job_close_query (job);
}

/* Continues a request whose query has expired. Returns false if none is open. */
bool
mf_job_query_expired (MfJob *job)
{
  if (job->query.kind == MF_JOB_QUERY_NONE)
    return false;
  kinds[job->query.kind].expired (job);
  return true;
}

/* Returns the request whose open query has this kind and id, or NULL. */
MfJob *
mf_jobs_find_query (const MfJobs *jobs, MfJobQueryKind kind, uint64_t id)
{
  for (MfJob *job = jobs->first; job != NULL && id != 0; job = job->next)
    {
      if (job->query.kind == kind && job->query.id == id)
        return job;
    }
  return NULL;
}

/* Returns the request that a reply of an instance is for. A reply that no request waits for is
 * counted and logged; the caller returns what it grants. */
MfJob *
mf_jobs_match_reply (MfJobs *jobs, MfJobQueryKind kind, uint64_t id, uint64_t peer)
{
  MfJob *job = mf_jobs_find_query (jobs, kind, id);

  /* Several instances reply to a query for the origin of a stream. */
  if (job != NULL
      && (job->query.peer == peer || (kind == MF_JOB_QUERY_ORIGIN && job->query.peer == 0)))
    return job;
  jobs->counters.counts[MF_RELAY_COUNT_LATE_REPLIES]++;
  mf_relay_log_event (jobs->log, "reply.late", "query=%s number=%llu from=%016llx",
                      kinds[kind].name, (unsigned long long)id, (unsigned long long)peer);
  return NULL;
}

/* An instance was lost: the requests that wait for its reply go on without it. */
void
mf_jobs_queries_peer_lost (MfJobs *jobs, uint64_t peer)
{
  MfJob *next;

  for (MfJob *job = jobs->first; job != NULL; job = next)
    {
      void (*peer_lost) (MfJob *) = kinds[job->query.kind].peer_lost;

      next = job->next;
      if (job->query.peer != peer || peer_lost == NULL)
        continue;
      mf_job_close_query (job);
      peer_lost (job);
    }
}
