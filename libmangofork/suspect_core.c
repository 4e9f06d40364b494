#include "suspect_core.h"

#include "gossip.h"
#include "queue.h"

#include <xxhash.h>

/* The quarantine is the same after two and after three crashes: each suspect runs without other
 * suspects at its upstream, so that two crashes are as strong evidence as three. */
#define QUARANTINE_US (UINT64_C (600) * MF_US_PER_S)
#define CRASH_WINDOW_US (3 * MF_US_PER_S)
/* A request stops waiting for an upstream that has neither answered nor been declared crashed
 * within this time. */
#define FAILURE_TIMEOUT_US (1500 * MF_US_PER_MS)

/* Argument of refuse_matching. */
typedef struct
{
  MfCore *core;
  uint64_t digest;
} Quarantine;

/* Returns the id of an upstream in the list of failures, where 0 means none. */
static uint64_t
upstream_id (uint32_t upstream)
{
  return (uint64_t)upstream + 1;
}

/* Refuses a request that has the quarantined digest, whatever its phase. */
static void
refuse_matching (MfRequest *request, void *data)
{
  const Quarantine *quarantine = data;

  if (request->digest != quarantine->digest)
    return;
  mf_finish_refused (quarantine->core, request, MF_CODE_POISON, 0);
}

static void
refuse_quarantined (MfCore *core, uint64_t digest)
{
  Quarantine quarantine = { .core = core, .digest = digest };

  mf_counter_add (&core->board.counters, MF_COUNTER_QUARANTINES, 1);
  mf_core_log (core, "request", "", "suspect", "convicted", mf_code_info (MF_CODE_POISON)->name);
  mf_request_foreach (core, refuse_matching, &quarantine);
}

/* Applies what another instance reports. A reported quarantine is accepted without own evidence, as
 * it took two crashes. */
void
mf_suspect_apply_report (MfCore *core, uint64_t digest, uint32_t n_crashes, bool quarantined)
{
  uint64_t now_us = core->board.now_us;

  mf_suspects_raise_crashes (core->board.suspects, digest, n_crashes, now_us);
  if (quarantined
      && mf_suspects_quarantine (core->board.suspects, digest, now_us + QUARANTINE_US, now_us))
    refuse_quarantined (core, digest);
}

/* Marks a new request with the crashes known for its digest. Returns false when it is quarantined.
 */
bool
mf_suspect_admit (MfCore *core, MfRequest *request)
{
  uint64_t now_us = core->board.now_us;
  const MfSuspect *suspect = request->digest == 0
                                 ? NULL
                                 : mf_suspects_find (core->board.suspects, request->digest, now_us);

  if (suspect == NULL)
    return true;
  request->n_crashes = suspect->n_crashes;
  request->suspect = suspect->n_crashes > 0;
  return suspect->quarantined_until_us <= now_us;
}

/* Handles a call that failed as it would when its upstream crashed. The request waits until it is
 * known whether the upstream crashed: if the request was the cause, the next upstream would crash
 * before the first crash was counted. A stream that fails and then cannot be resumed counts as one
 * crash.
 */
void
mf_suspect_call_failed (MfCore *core, MfRequest *request, uint32_t upstream)
{
  uint64_t now_us = core->board.now_us;

  if (core->board.options.naive || request->digest == 0
      || !mf_suspects_add_failure (
          core->board.suspects, &(MfSuspectFailure){
                                    .digest = request->digest,
                                    .request_id = request->id,
                                    .upstream_id = upstream_id (upstream),
                                    .was_suspect = request->suspect,
                                    /* No earlier crash is known of a request that is no suspect. */
                                    .sent_us = request->suspect ? now_us : 0,
                                    .failed_us = now_us,
                                }))
    return;
  request->suspect_pending = true;
  request->suspected_at_token = request->delivered;
  mf_request_trace (core, request, MF_TRACE_SUSPECTED, upstream, MF_NONE, request->n_crashes);
}

/* Continues or refuses the request of a resolved failure. */
static void
on_failure_resolved (void *data, const MfSuspectFailure *failure, MfSuspectResult result)
{
  MfCore *core = data;
  MfRequest *request = mf_request_find (core, failure->request_id);
  const MfSuspect *suspect
      = mf_suspects_find (core->board.suspects, failure->digest, core->board.now_us);

  if (request != NULL)
    request->suspect_pending = false;
  mf_queue_schedule_pass (core);
  if (result == MF_SUSPECT_UNRELATED || suspect == NULL)
    return;
  if (request != NULL)
    {
      request->suspect = suspect->n_crashes > 0;
      request->n_crashes = suspect->n_crashes;
    }
  if (result == MF_SUSPECT_COUNTED)
    mf_gossip_publish (core, MF_GOSSIP_REQUEST_SUSPECT, suspect->digest, suspect->n_crashes);
  if (result != MF_SUSPECT_QUARANTINED)
    return;
  mf_gossip_publish (core, MF_GOSSIP_REQUEST_QUARANTINED, suspect->digest, suspect->n_crashes);
  refuse_quarantined (core, suspect->digest);
}

/* Handles the crash of an upstream: requests whose calls failed there shortly before are suspected
 * of it. */
void
mf_suspect_upstream_crashed (MfCore *core, uint32_t upstream)
{
  uint64_t process[] = { upstream_id (upstream), core->board.now_us };

  mf_suspects_upstream_crashed (core->board.suspects, upstream_id (upstream),
                                XXH3_64bits (process, sizeof process), core->board.now_us,
                                on_failure_resolved, core);
}

/* Handles an upstream that proved to be alive: calls that failed there had another cause. */
void
mf_suspect_upstream_alive (MfCore *core, uint32_t upstream)
{
  mf_suspects_upstream_alive (core->board.suspects, upstream_id (upstream), UINT64_MAX,
                              on_failure_resolved, core);
}

/* Removes the suspicion of a request that got past the point where its upstream crashed, or that
 * was answered. */
void
mf_suspect_clear (MfCore *core, MfRequest *request)
{
  mf_call_clear_suspect (core, request);
  request->n_crashes = 0;
  if (!mf_suspects_is_quarantined (core->board.suspects, request->digest, core->board.now_us))
    mf_suspects_remove (core->board.suspects, request->digest);
}

static bool
count_one (void *data, const MfSuspect *suspect)
{
  uint32_t *n = data;

  (void)suspect;
  ++*n;
  return true;
}

/* Returns how many digests are suspected or quarantined. */
uint32_t
mf_suspect_count (const MfCore *core)
{
  uint32_t n = 0;

  mf_suspect_foreach (core, count_one, &n);
  return n;
}

/* Calls func for each digest that is suspected or quarantined, until it returns false. */
void
mf_suspect_foreach (const MfCore *core, MfSuspectFunc func, void *data)
{
  mf_suspects_foreach (core->board.suspects, core->board.now_us, func, data);
}

/* Resolves failures whose upstream has neither answered nor been declared crashed in time. */
static void
suspect_tick (MfCore *core)
{
  uint64_t now_us = core->board.now_us;

  if (now_us > FAILURE_TIMEOUT_US)
    mf_suspects_expire_failures (core->board.suspects, now_us - FAILURE_TIMEOUT_US,
                                 on_failure_resolved, core);
}

static bool
suspect_init (MfCore *core, MfError *error)
{
  core->board.suspects
      = mf_suspects_new (&(MfSuspectLimits){ .crash_window_us = CRASH_WINDOW_US,
                                             .two_crashes_quarantine_us = QUARANTINE_US,
                                             .three_crashes_quarantine_us = QUARANTINE_US });
  if (core->board.suspects == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY,
                  "out of memory while creating the table of suspect requests");
  return core->board.suspects != NULL;
}

static void
suspect_finish (MfCore *core)
{
  mf_suspects_free (core->board.suspects);
}

const MfController mf_suspect_controller = {
  .name = "suspect",
  .init = suspect_init,
  .finish = suspect_finish,
  .tick = suspect_tick,
};
