#include "job_row.h"

#include "libmangofork/clock.h"

/* Whether the request may be sent now, if answer_us must be left before the exit. */
static bool
job_is_admitted (const MfJob *job, uint64_t answer_us, bool is_accepted)
{
  return mf_shutdown_admits (&job->jobs->shutdown,
                             &(MfShutdownRequest){
                                 .deadline_us = job->deadline_us,
                                 .answer_us = answer_us,
                                 .is_stream = job->route->kind == MF_ROUTE_STREAMING,
                                 .is_accepted = is_accepted,
                             },
                             mf_clock_now_us ());
}

/* Whether a run whose upstream is silent may be given up for one that would begin now: there must
 * be time for the longest rest of the answer. During a stop, a process that has seen no answer does
 * not know that time. */
bool
mf_job_may_move (const MfJob *job)
{
  uint64_t n_received = job->events.n_events * job->service->event_tokens;
  uint64_t n_left = job->output_tokens > n_received ? job->output_tokens - n_received : 0;

  if (job->jobs->shutdown.started_us > 0 && job->jobs->mean_token_us <= 0. && n_left > 0)
    return false;
  return job_is_admitted (job, (uint64_t)((double)n_left * job->jobs->mean_token_us), true);
}

/* Refuses a request that might be cut off by the exit of this process. is_accepted is set for one
 * that has passed this check at its arrival. An answer that has begun cannot be refused, and goes
 * on until the exit. Returns whether the request was refused. */
bool
mf_job_end_unfinishable (MfJob *job, bool is_accepted)
{
  if (job->head_sent || job_is_admitted (job, mf_job_answer_min_us (job), is_accepted))
    return false;
  mf_job_refuse (job, MF_CODE_DRAINING,
                 is_accepted ? "instance exits before the rest of the answer could be complete"
                             : "instance exits before the answer could be complete");
  return true;
}

/* Begins a planned stop: requests that no upstream has yet and that might be cut off by the exit
 * are refused. */
void
mf_jobs_shut_down (MfJobs *jobs, const MfShutdown *shutdown)
{
  MfJob *next;

  jobs->shutdown = *shutdown;
  for (MfJob *job = jobs->first; job != NULL; job = next)
    {
      next = job->next;
      if (job->phase == MF_JOB_WAITING && !job->head_sent)
        mf_job_end_unfinishable (job, true);
    }
}

/* Ends all requests before the exit. Those that an upstream may be executing get an error that does
 * not promise that they have not been executed, the others a refusal; a stream that has begun is
 * broken off. */
void
mf_jobs_end_all (MfJobs *jobs)
{
  while (jobs->first != NULL)
    {
      MfJob *job = jobs->first;

      bool is_at_upstream = mf_job_is_at_upstream (job);

      mf_job_drop_stalled (job);
      if (is_at_upstream)
        mf_job_finish (job, MF_CODE_DRAINING, "instance exits");
      else
        mf_job_refuse (job, MF_CODE_DRAINING, "instance exits");
    }
}
