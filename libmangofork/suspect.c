#include "suspect.h"

#include "news.h"
#include "queue.h"

#include <stdlib.h>

/* Distinct deaths that convict. */
#define DEATHS_MAX 2
/* How long what is known of a digest is kept, and how many are. */
#define KEPT_US (UINT64_C (600) * MF_US_PER_S)
#define SUSPECTS_MAX 4096
/* A break this long before the death of its upstream has to do with it. */
#define BREAK_US (3 * MF_US_PER_S)
/* Breaks waiting to be told from deaths. */
#define BREAKS_MAX 4096
/* An upstream that neither answers nor is found dead in this time keeps nobody waiting. */
#define PENDING_US (1500 * MF_US_PER_MS)

typedef struct
{
  uint64_t digest;
  uint32_t n_deaths;
  bool convicted;
  bool cleared;      /* has run to its end: what dies under it now dies of something else */
  uint32_t upstream; /* of the last death counted, and when */
  uint64_t death_us;
  uint64_t at_us;
  UT_hash_handle hh;
} Suspect;

typedef struct
{
  uint64_t request_id;
  uint64_t digest;
  uint32_t upstream;
  bool alone; /* it ran as a suspect, apart from others */
  uint64_t at_us;
} Break;

struct MfSuspects
{
  Suspect *by_digest;
  Break breaks[BREAKS_MAX];
  uint32_t n_breaks;
};

static Suspect *
find (const MfCore *core, uint64_t digest)
{
  Suspect *suspect;

  HASH_FIND (hh, core->board.suspects->by_digest, &digest, sizeof digest, suspect);
  if (suspect != NULL && core->board.now_us - suspect->at_us > KEPT_US)
    return NULL;
  return suspect;
}

static Suspect *
find_or_add (MfCore *core, uint64_t digest)
{
  MfSuspects *suspects = core->board.suspects;
  Suspect *suspect;

  HASH_FIND (hh, suspects->by_digest, &digest, sizeof digest, suspect);
  if (suspect == NULL)
    {
      if (HASH_COUNT (suspects->by_digest) >= SUSPECTS_MAX)
        {
          Suspect *oldest = suspects->by_digest;

          HASH_DEL (suspects->by_digest, oldest);
          free (oldest);
        }
      suspect = calloc (1, sizeof *suspect);
      if (suspect == NULL)
        abort ();
      suspect->digest = digest;
      HASH_ADD (hh, suspects->by_digest, digest, sizeof digest, suspect);
    }
  suspect->at_us = core->board.now_us;
  return suspect;
}

typedef struct
{
  MfCore *core;
  uint64_t digest;
} Mark;

/* Ends the requests held that have a convicted digest, wherever they run. */
static void
mark_request (MfRequest *request, void *data)
{
  const Mark *mark = data;

  if (request->digest != mark->digest)
    return;
  mf_finish_refused (mark->core, request, MF_CODE_POISON, 0);
}

static void
convict (MfCore *core, Suspect *suspect)
{
  Mark mark = { .core = core, .digest = suspect->digest };

  if (suspect->convicted)
    return;
  suspect->convicted = true;
  mf_counter_add (&core->board.counters, MF_COUNTER_CONVICTIONS, 1);
  mf_core_log (core, "request", "", "suspect", "convicted", mf_code_info (MF_CODE_POISON)->name);
  mf_request_foreach (core, mark_request, &mark);
}

/* What another instance saw. It is taken as it is: a conviction took two deaths. */
void
mf_suspect_note (MfCore *core, uint64_t digest, uint32_t n_deaths, bool convicted)
{
  Suspect *suspect = find_or_add (core, digest);

  if (n_deaths > suspect->n_deaths && !suspect->cleared)
    suspect->n_deaths = n_deaths;
  if (convicted)
    convict (core, suspect);
}

bool
mf_suspect_admit (MfCore *core, MfRequest *request)
{
  const Suspect *suspect = request->digest == 0 ? NULL : find (core, request->digest);

  if (suspect == NULL)
    return true;
  request->n_deaths = suspect->n_deaths;
  request->suspect = suspect->n_deaths > 0;
  return !suspect->convicted;
}

/* Whether a break of this request at this upstream already waits. */
static bool
has_break (const MfSuspects *suspects, uint64_t request_id, uint32_t upstream)
{
  for (uint32_t i = 0; i < suspects->n_breaks; i++)
    {
      if (suspects->breaks[i].request_id == request_id && suspects->breaks[i].upstream == upstream)
        return true;
    }
  return false;
}

/* Until it is known whether the upstream died, the request waits: were it the cause, the next
 * upstream would die before the first death was counted. A stream that breaks and then cannot be
 * resumed has met one death, not two. */
void
mf_suspect_broken (MfCore *core, MfRequest *request, uint32_t upstream)
{
  MfSuspects *suspects = core->board.suspects;

  if (core->board.options.naive || request->digest == 0
      || has_break (suspects, request->id, upstream))
    return;
  if (suspects->n_breaks == BREAKS_MAX)
    suspects->breaks[0] = suspects->breaks[--suspects->n_breaks];
  suspects->breaks[suspects->n_breaks++] = (Break){
    .request_id = request->id,
    .digest = request->digest,
    .upstream = upstream,
    .alone = request->suspect,
    .at_us = core->board.now_us,
  };
  request->suspect_pending = true;
  request->cleared_at = request->delivered;
  mf_request_note (core, request, MF_TRACE_SUSPECTED, upstream, MF_NONE, request->n_deaths);
}

static void
release (MfCore *core, uint64_t request_id)
{
  MfRequest *request = mf_request_find (core, request_id);

  if (request != NULL)
    request->suspect_pending = false;
  mf_queue_stir (core);
}

/* Whether this death is told of already, or tells nothing: many requests of one digest may run on
 * an upstream that dies; a second death counts only where the suspect ran apart from others; and
 * one that has run to its end before is no cause of deaths. */
static bool
is_known_death (const MfCore *core, const Suspect *suspect, const Break *broken)
{
  bool same = suspect->upstream == broken->upstream && suspect->death_us == core->board.now_us;

  return suspect->cleared || (suspect->n_deaths > 0 && (same || !broken->alone));
}

static void
count_death (MfCore *core, const Break *broken)
{
  Suspect *suspect = find_or_add (core, broken->digest);
  MfRequest *request = mf_request_find (core, broken->request_id);

  if (!is_known_death (core, suspect, broken))
    {
      suspect->n_deaths++;
      suspect->upstream = broken->upstream;
      suspect->death_us = core->board.now_us;
      mf_news_note (core, suspect->n_deaths >= DEATHS_MAX ? MF_NEWS_CONVICTED : MF_NEWS_SUSPECT,
                    suspect->digest, suspect->n_deaths);
    }
  if (request != NULL)
    {
      request->suspect = suspect->n_deaths > 0;
      request->n_deaths = suspect->n_deaths;
    }
  if (suspect->n_deaths >= DEATHS_MAX)
    convict (core, suspect);
}

/* Takes the breaks at an upstream off the list one by one. */
static bool
take_break (MfSuspects *suspects, uint32_t upstream, Break *broken)
{
  for (uint32_t i = 0; i < suspects->n_breaks; i++)
    {
      if (suspects->breaks[i].upstream != upstream)
        continue;
      *broken = suspects->breaks[i];
      suspects->breaks[i] = suspects->breaks[--suspects->n_breaks];
      return true;
    }
  return false;
}

void
mf_suspect_upstream_died (MfCore *core, uint32_t upstream)
{
  Break broken;

  while (take_break (core->board.suspects, upstream, &broken))
    {
      release (core, broken.request_id);
      if (core->board.now_us - broken.at_us < BREAK_US)
        count_death (core, &broken);
    }
}

void
mf_suspect_upstream_lives (MfCore *core, uint32_t upstream)
{
  Break broken;

  while (take_break (core->board.suspects, upstream, &broken))
    release (core, broken.request_id);
}

/* The request got further than where its upstream died, or was answered. */
void
mf_suspect_clear (MfCore *core, MfRequest *request)
{
  Suspect *suspect = find (core, request->digest);

  mf_call_clear_suspect (core, request);
  request->n_deaths = 0;
  if (suspect == NULL || suspect->convicted)
    return;
  suspect->n_deaths = 0;
  suspect->cleared = true;
}

static bool
count_one (uint64_t digest, uint32_t n_deaths, bool convicted, uint64_t at_us, void *data)
{
  uint32_t *n = data;

  (void)digest;
  (void)n_deaths;
  (void)convicted;
  (void)at_us;
  ++*n;
  return true;
}

/* Returns how many are suspected or convicted. */
uint32_t
mf_suspect_count (const MfCore *core)
{
  uint32_t n = 0;

  mf_suspect_foreach (core, count_one, &n);
  return n;
}

void
mf_suspect_foreach (const MfCore *core, MfSuspectFunc func, void *data)
{
  const Suspect *suspect = core->board.suspects->by_digest;

  for (; suspect != NULL; suspect = suspect->hh.next)
    {
      if (core->board.now_us - suspect->at_us <= KEPT_US && suspect->n_deaths > 0
          && !func (suspect->digest, suspect->n_deaths, suspect->convicted, suspect->at_us, data))
        return;
    }
}

/* Lets go of what has waited long enough. */
static void
suspect_tick (MfCore *core)
{
  MfSuspects *suspects = core->board.suspects;

  for (uint32_t i = suspects->n_breaks; i-- > 0;)
    {
      if (core->board.now_us - suspects->breaks[i].at_us < PENDING_US)
        continue;
      release (core, suspects->breaks[i].request_id);
      suspects->breaks[i] = suspects->breaks[--suspects->n_breaks];
    }
}

static bool
suspect_init (MfCore *core, MfError *error)
{
  core->board.suspects = calloc (1, sizeof *core->board.suspects);
  if (core->board.suspects == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the suspects");
  return core->board.suspects != NULL;
}

static void
suspect_finish (MfCore *core)
{
  Suspect *suspect;
  Suspect *next;

  if (core->board.suspects == NULL)
    return;
  HASH_ITER (hh, core->board.suspects->by_digest, suspect, next)
  {
    HASH_DEL (core->board.suspects->by_digest, suspect);
    free (suspect);
  }
  free (core->board.suspects);
}

const MfController mf_suspect_controller = {
  .name = "suspect",
  .init = suspect_init,
  .finish = suspect_finish,
  .tick = suspect_tick,
};
