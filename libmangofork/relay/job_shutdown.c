#include "job_row.h"

#include "libmangofork/clock.h"

/* Refuses a request that might be cut off by the exit of this process. is_accepted is set for one
 * that has passed this check at its arrival. Returns whether the request has ended. */
bool
mf_job_end_unfinishable (MfJob *job, bool is_accepted)
{
  MfJobs *jobs = job->jobs;
  uint64_t longest_us = (uint64_t)((double)job->output_tokens * jobs->mean_token_us);

  if (mf_shutdown_admits (
          &jobs->shutdown,
          &(MfShutdownRequest){
              .deadline_us = job->deadline_us,
              .longest_us = longest_us,
              .can_be_resumed = job->route->kind == MF_ROUTE_STREAMING && job->route->resumable,
              .is_accepted = is_accepted,
          },
          mf_clock_now_us ()))
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

      if (mf_job_is_at_upstream (job))
        mf_job_finish (job, MF_CODE_DRAINING, "instance exits");
      else
        mf_job_refuse (job, MF_CODE_DRAINING, "instance exits");
    }
}
