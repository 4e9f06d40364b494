#include "job_row.h"

#include "load.h"

#include "libmangofork/clock.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Services, roles and data centres that are observed. */
#define GROUPS_MAX ((size_t)MF_SPILLOVER_ROWS_MAX * MF_SPILLOVER_CENTRES_MAX)
/* Among upstreams of one data centre, the weight of a time halves with its age at this interval. */
#define HALF_LIFE_US (3. * (double)MF_US_PER_S)
/* Time of a plain upstream before any was observed, as in placement. */
#define DEFAULT_ANSWER_US 15000.

/* An upstream that fails this share of its requests does not count as usable: three failures in a
 * row among answers. */
#define FAILING_SHARE 0.35
/* One request without a sign of life for this long shows as much as two. */
#define ALONE_SILENT_US 1e6

/* The upstreams of one service and role in one data centre. */
typedef struct
{
  const MfTarget *first;
  uint32_t n_usable;
  double weighted_us; /* plain: sum of times with weights */
  double weights;
  double best_us; /* engines: the least time */
  double silent_us;
  uint32_t n_active; /* requests of this instance */
  uint64_t seen_us;
} Group;

static Group *
group_get (Group *groups, size_t *n_groups, const MfTarget *target)
{
  for (size_t i = 0; i < *n_groups; i++)
    {
      const MfTarget *first = groups[i].first;

      if (first->service == target->service && first->info.role == target->info.role
          && strcmp (first->info.data_centre, target->info.data_centre) == 0)
        return &groups[i];
    }
  if (*n_groups == GROUPS_MAX)
    return NULL;
  groups[*n_groups] = (Group){ .first = target };
  return &groups[(*n_groups)++];
}

/* Whether it takes requests and answers most of them. */
static bool
target_is_usable (const MfTarget *target, uint64_t now_us)
{
  return mf_target_accepts (target, now_us) && mf_target_rate_ready (target, 0, now_us)
         && target->stage_until_us <= now_us && !mf_target_is_suspect (target, now_us)
         && mf_target_failure_share (target, now_us) < FAILING_SHARE
         && target->remote_failure_share < FAILING_SHARE;
}

static double
target_silent_us (const MfTarget *target, uint64_t now_us)
{
  return target->n_active > 0 ? (double)(now_us - target->silent_since_us) : 0.;
}

/* Adds a plain upstream: what is known of it are the response times of this instance. */
static void
group_add_plain (Group *group, const MfTarget *target, uint64_t now_us)
{
  double weight = exp2 (-(double)(now_us - target->answered_us) / HALF_LIFE_US);
  double silent_us = target_silent_us (target, now_us);

  if (target->answer_us <= 0.)
    return;
  group->weighted_us += weight * (silent_us > target->answer_us ? silent_us : target->answer_us);
  group->weights += weight;
  if (target->answered_us > group->seen_us)
    group->seen_us = target->answered_us;
}

/* Adds an engine. Its load is known from the reports of all instances, which come all the time;
 * slots are granted at the best one. */
static void
group_add_engine (const MfJobs *jobs, Group *group, const MfTarget *target, uint64_t now_us)
{
  uint32_t service = mf_routes_service (jobs->routes, target->info.service);
  MfPlaceQuery query = {
    .service = target->info.service,
    .role = target->info.role,
    .tokens = mf_spillover_tokens (jobs->spillover, target->info.service, target->info.role),
    .service_config = service != MF_NONE ? &jobs->routes->services[service] : NULL,
    .data_centre = target->info.data_centre,
  };
  double time_us = mf_place_cost_us (target, &query, now_us);

  if (group->best_us <= 0. || time_us < group->best_us)
    group->best_us = time_us;
  group->seen_us = now_us;
}

static void
group_add (const MfJobs *jobs, Group *group, const MfTarget *target, uint64_t now_us)
{
  double silent_us = target_silent_us (target, now_us);

  /* One upstream without a sign of life does not mean that the way to all of them is cut. */
  if (target->n_active > 0 && (group->n_active == 0 || silent_us < group->silent_us))
    group->silent_us = silent_us;
  group->n_active += target->n_active;
  if (!target_is_usable (target, now_us))
    return;
  group->n_usable++;
  if (target->info.role == MF_ROLE_PLAIN)
    group_add_plain (group, target, now_us);
  else
    group_add_engine (jobs, group, target, now_us);
}

static void
group_note (const MfJobs *jobs, const Group *group, uint64_t now_us)
{
  const MfTargetInfo *info = &group->first->info;
  /* A single request may just take long. */
  bool is_silent = group->n_active > 1 || group->silent_us > ALONE_SILENT_US;
  double plain_us = group->weights > 0. ? group->weighted_us / group->weights : DEFAULT_ANSWER_US;

  mf_spillover_note (jobs->spillover,
                     &(MfSpilloverNote){
                         .service = info->service,
                         .role = info->role,
                         .data_centre = info->data_centre,
                         .is_here = strcmp (info->data_centre, jobs->targets.data_centre) == 0,
                         .n_usable = group->n_usable,
                         .time_us = info->role == MF_ROLE_PLAIN ? plain_us : group->best_us,
                         .silent_us = is_silent ? group->silent_us : 0.,
                         .time_seen_us = group->seen_us,
                     },
                     now_us);
}

static void
on_changed (void *data, const MfSpilloverInfo *info)
{
  const MfJobs *jobs = data;
  uint64_t n_left = info->counts[MF_SPILLOVER_QUEUEING] + info->counts[MF_SPILLOVER_SLOWER]
                    + info->counts[MF_SPILLOVER_UNUSABLE];

  mf_relay_log_state (jobs->log, "spillover.share",
                      "service=%s stage=%s share=%.3f before=%.3f why=%s here_ms=%.1f there=%s "
                      "there_ms=%.1f there_age_ms=%llu crossing_ms=%.1f left=%llu",
                      info->service, mf_role_name (info->role), info->share, info->share_before,
                      mf_spillover_reason_name (info->reason), info->here_us / 1e3,
                      info->there[0] != '\0' ? info->there : "none", info->there_us / 1e3,
                      (unsigned long long)info->there_age_us / 1000, info->crossing_us / 1e3,
                      (unsigned long long)n_left);
}

static bool
spillover_is_on (const MfJobs *jobs)
{
  if (jobs->routes == NULL)
    return false;
  if (jobs->spillover_mode == MF_SPILLOVER_AUTO)
    return jobs->routes->customers != NULL;
  return jobs->spillover_mode == MF_SPILLOVER_ON;
}

/* Observes the upstreams and moves the shares of requests that leave, where that is on. To be
 * called every 100 ms. */
void
mf_jobs_tick_spillover (MfJobs *jobs, uint64_t now_us)
{
  static Group groups[GROUPS_MAX];
  size_t n_groups = 0;

  jobs->targets.spillover = NULL;
  if (!spillover_is_on (jobs))
    return;
  if (jobs->spillover == NULL)
    jobs->spillover = mf_spillover_new (jobs->spillover_us_per_kb, mf_jobs_random (jobs));
  jobs->targets.spillover = jobs->spillover;
  if (jobs->spillover == NULL)
    return;
  mf_jobs_refresh_remote_load (jobs, now_us);
  for (const MfTarget *target = jobs->targets.first; target != NULL; target = target->next)
    {
      Group *group = mf_target_has_left (target) ? NULL : group_get (groups, &n_groups, target);

      if (group != NULL)
        group_add (jobs, group, target, now_us);
    }
  for (size_t i = 0; i < n_groups; i++)
    group_note (jobs, &groups[i], now_us);
  mf_spillover_update (jobs->spillover, now_us, on_changed, jobs);
}

/* Returns the bytes of the request's head and body. */
uint64_t
mf_job_request_bytes (const MfJob *job)
{
  if (job->caller == NULL)
    return 0;
  return mf_buffer_bytes (&mf_caller_head (job->caller)->text)
         + mf_buffer_bytes (mf_caller_body (job->caller));
}

/* Whether an upstream of the same service and role in this data centre could have been chosen. */
static bool
has_usable_here (const MfJob *job, const MfTarget *chosen, uint64_t now_us)
{
  const MfTargets *targets = &job->jobs->targets;

  for (const MfTarget *target = targets->first; target != NULL; target = target->next)
    {
      if (target->service == chosen->service && target->info.role == chosen->info.role
          && strcmp (target->info.data_centre, targets->data_centre) == 0
          && target_is_usable (target, now_us)
          && mf_target_serves_version (target, job->version, now_us)
          && !mf_place_avoids (job->avoid, job->n_avoid, target))
        return true;
    }
  return false;
}

/* Counts a request that is sent to an upstream: whether it leaves the data centre, and why. */
void
mf_job_note_spillover (const MfJob *job, const MfTarget *target, bool prefill)
{
  const MfTargets *targets = &job->jobs->targets;
  MfSpillover *spillover = targets->spillover;
  uint64_t now_us = mf_clock_now_us ();
  const char *centre = target->info.data_centre;
  const char *kv_centre = prefill                  ? targets->data_centre
                          : job->kv_target != NULL ? job->kv_target->info.data_centre
                                                   : centre;
  MfSpilloverReason reason = MF_SPILLOVER_STAYED;

  if (spillover == NULL)
    return;
  if (prefill && job->reserved_target != NULL)
    kv_centre = job->reserved_target->info.data_centre;
  if (strcmp (centre, targets->data_centre) != 0)
    reason = has_usable_here (job, target, now_us)
                 ? mf_spillover_reason (spillover, target->info.service, target->info.role)
                 : MF_SPILLOVER_UNUSABLE;
  mf_spillover_note_tokens (spillover, target->info.service, target->info.role,
                            prefill ? job->prompt_tokens : job->kv_tokens);
  mf_spillover_note_send (
      spillover,
      &(MfSpilloverQuery){
          .service = target->info.service,
          .role = target->info.role,
          .data_centre = centre,
          .request_bytes = mf_job_request_bytes (job),
          .kv_moved_tokens = strcmp (centre, kv_centre) != 0 ? job->prompt_tokens : 0,
      },
      reason, now_us);
}

/* Records the size of an answer of an upstream of this role. */
void
mf_job_note_answer_bytes (const MfJob *job, MfRole role, uint64_t answer_bytes)
{
  if (job->jobs->targets.spillover != NULL)
    mf_spillover_note_answer (job->jobs->targets.spillover, job->service->name, role, answer_bytes);
}

/* Appends the name of a service as the value of a label. */
static void
label_add (MfBuffer *out, const char *name)
{
  for (; *name != '\0'; name++)
    {
      if (*name == '"' || *name == '\\')
        mf_buffer_add (out, "\\", 1);
      mf_buffer_add (out, *name == '\n' ? " " : name, 1);
    }
}

static void
series_add (MfBuffer *out, const char *series, const MfSpilloverInfo *info, const char *rest)
{
  mf_buffer_add_text (out, "mangofork_relay_spillover_");
  mf_buffer_add_text (out, series);
  mf_buffer_add_text (out, "{service=\"");
  label_add (out, info->service);
  mf_buffer_add_text (out, "\",role=\"");
  mf_buffer_add_text (out, mf_role_name (info->role));
  mf_buffer_add_text (out, rest);
}

static void
on_render (void *data, const MfSpilloverInfo *info)
{
  MfBuffer *out = data;
  char rest[96];

  for (MfSpilloverReason i = 0; i < MF_SPILLOVER_N_REASONS; i++)
    {
      snprintf (rest, sizeof rest, "\",reason=\"%s\"} %llu\n", mf_spillover_reason_name (i),
                (unsigned long long)info->counts[i]);
      series_add (out, "requests_total", info, rest);
    }
  snprintf (rest, sizeof rest, "\"} %llu\n", (unsigned long long)info->left_bytes);
  series_add (out, "bytes_total", info, rest);
  snprintf (rest, sizeof rest, "\"} %.4f\n", info->share);
  series_add (out, "share", info, rest);
}

/* Appends the counters and shares of requests that leave, if that has been on. */
void
mf_jobs_render_spillover (const MfJobs *jobs, MfBuffer *out)
{
  if (jobs->spillover != NULL)
    mf_spillover_foreach (jobs->spillover, mf_clock_now_us (), on_render, out);
}
