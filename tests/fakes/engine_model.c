#include "engine_model.h"

#include <stdlib.h>
#include <string.h>

#define FULL_SPEED_PERCENT 100
#define PPM 1000000
/* Capacity of the histories from which delayed load reports and cache events are served. */
#define N_SNAPSHOTS 512
#define N_CACHE_EVENTS 4096
/* Load snapshots taken within this interval replace each other. */
#define SNAPSHOT_PERIOD_US (2 * MF_US_PER_MS)

typedef enum
{
  WORK_WAITING,
  WORK_PREFILLING,
  WORK_EXPORTING, /* prefilled; the KV waits for its import or is being imported */
  WORK_IMPORTING,
  WORK_DECODING,
  WORK_DETACHED,
} WorkState;

typedef struct
{
  FakeWork work; /* its prefix_hashes is NULL; the copy below is used */
  WorkState state;
  uint64_t sequence; /* order of arrival */
  uint32_t pieces;
  uint32_t computed_tokens; /* prefill: not found in the cache */
  uint64_t started_us;
  uint64_t due_us;     /* prefilling, importing: when finished; exporting, detached: when freed */
  uint64_t kv_handle;  /* exporting */
  bool import_started; /* exporting: a decode engine imports it */
  FakeEngine *source;  /* importing */
  uint64_t source_incarnation;
  bool link_stall_applied;
  bool misses_expiry; /* importing: the link is busy until after the KV expires */
  uint32_t next_token;
  uint32_t n_tokens_generated;
  uint64_t prefix_hashes[MF_PREFIX_HASHES_MAX];
} Work;

typedef struct
{
  uint64_t at_us;
  uint32_t slots_used;
  uint32_t queued;
  uint32_t pieces_used;
  uint64_t prefill_tokens_queued;
} Snapshot;

typedef struct
{
  uint64_t number;
  uint64_t at_us;
  uint64_t hash;
  bool stored;
} CacheEvent;

struct FakeEngine
{
  FakeEngineOptions options;
  MfRole role;
  bool dead;
  bool leaving;
  bool death_event_pending; /* FAKE_DIED has not been reported yet */
  uint64_t incarnation;
  uint64_t stall_until_us;
  uint64_t link_free_us;
  uint64_t link_stall_from_us;
  uint64_t link_stall_until_us;
  uint32_t speed_percent;
  Work *works;
  uint32_t n_works;
  uint32_t n_works_max;
  uint32_t pieces_used;
  uint64_t next_sequence;
  uint64_t next_handle;
  uint64_t step_due_us; /* end of the current decode step; 0 when nothing decodes */
  uint64_t step_start_us;
  uint64_t *cache; /* salted hashes, least recently used first */
  uint32_t n_cache;
  CacheEvent events[N_CACHE_EVENTS];
  uint64_t next_event_number; /* of cache events */
  uint64_t n_events;          /* ever written to the ring events */
  Snapshot snapshots[N_SNAPSHOTS];
  uint64_t n_snapshots;
  uint64_t random_state;
  char model[MF_NAME_BYTES];
  char adapter[MF_NAME_BYTES];
  char version[MF_NAME_BYTES];
  uint64_t loading_until_us;
  uint64_t fence_seen;
  FakeLedger ledger;
};

static uint64_t
random_next (FakeEngine *engine)
{
  uint64_t z = (engine->random_state += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static uint32_t
pieces_for_tokens (uint64_t tokens)
{
  return (uint32_t)((tokens + MF_PIECE_TOKENS - 1) / MF_PIECE_TOKENS);
}

static bool
work_id_equal (const FakeWorkId *a, const FakeWorkId *b)
{
  return a->request_id == b->request_id && a->attempt == b->attempt
         && a->owner.incarnation == b->owner.incarnation
         && strcmp (a->owner.name, b->owner.name) == 0;
}

static uint64_t
cost_at_speed_us (const FakeEngine *engine, uint64_t cost_us)
{
  return cost_us * FULL_SPEED_PERCENT / engine->speed_percent;
}

static bool
uses_slot (const Work *work)
{
  return work->state != WORK_WAITING && work->state != WORK_EXPORTING;
}

static uint32_t
slots_used (const FakeEngine *engine)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < engine->n_works; i++)
    n += uses_slot (&engine->works[i]);
  return n;
}

static uint32_t
count_state (const FakeEngine *engine, WorkState state)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < engine->n_works; i++)
    n += engine->works[i].state == state;
  return n;
}

static uint64_t
n_queued_tokens (const FakeEngine *engine)
{
  uint64_t n = 0;

  for (uint32_t i = 0; i < engine->n_works; i++)
    {
      const Work *work = &engine->works[i];

      if (work->state == WORK_WAITING || work->state == WORK_PREFILLING)
        n += work->work.prompt_tokens + work->work.from_token;
    }
  return n;
}

/* Records the current load, from which delayed load reports are served. */
static void
snapshot_add (FakeEngine *engine, uint64_t now_us)
{
  uint64_t last = engine->n_snapshots - 1;
  Snapshot *snapshot;

  if (engine->n_snapshots == 0
      || engine->snapshots[last % N_SNAPSHOTS].at_us + SNAPSHOT_PERIOD_US <= now_us)
    last = engine->n_snapshots++;
  snapshot = &engine->snapshots[last % N_SNAPSHOTS];
  *snapshot = (Snapshot){
    .at_us = now_us,
    .slots_used = slots_used (engine),
    .queued = count_state (engine, WORK_WAITING),
    .pieces_used = engine->pieces_used,
    .prefill_tokens_queued = n_queued_tokens (engine),
  };
}

static void
cache_event_add (FakeEngine *engine, uint64_t hash, bool stored, uint64_t now_us)
{
  uint64_t number = engine->next_event_number++;

  if (random_next (engine) % PPM < engine->options.cache_gap_ppm)
    return;
  engine->events[engine->n_events++ % N_CACHE_EVENTS]
      = (CacheEvent){ .number = number, .at_us = now_us, .hash = hash, .stored = stored };
}

/* Returns the index of a salted hash in the cache, or n_cache if it is absent. */
static uint32_t
cache_find (const FakeEngine *engine, uint64_t hash)
{
  uint32_t i = 0;

  while (i < engine->n_cache && engine->cache[i] != hash)
    i++;
  return i;
}

static void
cache_remove (FakeEngine *engine, uint32_t i)
{
  engine->n_cache--;
  memmove (&engine->cache[i], &engine->cache[i + 1],
           (engine->n_cache - i) * sizeof engine->cache[0]);
}

static void
cache_store (FakeEngine *engine, uint64_t hash, uint64_t now_us)
{
  uint32_t i = cache_find (engine, hash);

  if (engine->options.cache_pieces == 0)
    return;
  if (i < engine->n_cache)
    cache_remove (engine, i);
  else
    cache_event_add (engine, hash, true, now_us);
  if (engine->n_cache == engine->options.cache_pieces)
    {
      cache_event_add (engine, engine->cache[0], false, now_us);
      cache_remove (engine, 0);
    }
  engine->cache[engine->n_cache++] = hash;
}

/* Returns the length of the longest cached prefix of the prompt, in tokens. */
static uint32_t
cache_hit_tokens (const FakeEngine *engine, const Work *work)
{
  uint32_t n = 0;

  while (n < work->work.n_prefix_hashes
         && cache_find (engine, work->prefix_hashes[n] ^ work->work.cache_salt) < engine->n_cache)
    n++;
  return n * MF_PIECE_TOKENS;
}

static Work *
work_find (FakeEngine *engine, const FakeWorkId *id)
{
  for (uint32_t i = 0; i < engine->n_works; i++)
    {
      if (work_id_equal (&engine->works[i].work.id, id))
        return &engine->works[i];
    }
  return NULL;
}

static Work *
work_add (FakeEngine *engine, const FakeWork *from, WorkState state, uint32_t pieces,
          uint64_t now_us)
{
  Work *work;

  if (engine->n_works == engine->n_works_max)
    {
      uint32_t size = engine->n_works_max * 2 + 16;
      Work *works = realloc (engine->works, size * sizeof *works);

      if (works == NULL)
        abort ();
      engine->works = works;
      engine->n_works_max = size;
    }
  work = &engine->works[engine->n_works++];
  *work = (Work){
    .work = *from,
    .state = state,
    .sequence = engine->next_sequence++,
    .pieces = pieces,
    .started_us = now_us,
    .next_token = from->from_token,
  };
  for (uint32_t i = 0; i < from->n_prefix_hashes; i++)
    work->prefix_hashes[i] = from->prefix_hashes[i];
  work->work.prefix_hashes = NULL;
  engine->pieces_used += pieces;
  return work;
}

/* Counts the prefill tokens computed for this work as wasted if no decode has used them. */
static void
count_wasted_tokens (FakeEngine *engine, const Work *work, uint64_t now_us)
{
  if (work->state == WORK_IMPORTING)
    work->source->ledger.wasted_prefill_tokens += work->computed_tokens;
  else if (work->state == WORK_EXPORTING && !work->import_started)
    engine->ledger.wasted_prefill_tokens += work->computed_tokens;
  else if (work->state == WORK_PREFILLING && work->due_us > work->started_us)
    {
      uint64_t done_us = now_us > work->started_us ? now_us - work->started_us : 0;
      uint64_t n = work->computed_tokens * done_us / (work->due_us - work->started_us);

      if (n > work->computed_tokens)
        n = work->computed_tokens;
      engine->ledger.prefill_tokens -= work->computed_tokens - n;
      engine->ledger.wasted_prefill_tokens += n;
    }
}

static void
work_remove (FakeEngine *engine, Work *work)
{
  engine->pieces_used -= work->pieces;
  *work = engine->works[--engine->n_works];
}

static void
drop_all_work (FakeEngine *engine, uint64_t now_us)
{
  while (engine->n_works > 0)
    {
      count_wasted_tokens (engine, &engine->works[0], now_us);
      work_remove (engine, &engine->works[0]);
    }
  engine->step_due_us = 0;
}

static bool
can_accept (const FakeEngine *engine, MfRole role, uint64_t now_us, FakeEngineResult *result)
{
  if (engine->dead)
    *result = FAKE_GONE;
  else if (engine->leaving)
    *result = FAKE_LEAVING;
  else if (engine->role != role || now_us < engine->loading_until_us)
    *result = FAKE_REFUSED;
  else
    return true;
  return false;
}

/* Starts the next waiting prefill if none is running. */
static void
prefill_next (FakeEngine *engine, uint64_t now_us)
{
  Work *best = NULL;
  uint32_t cached;
  uint32_t tokens;

  if (engine->dead || count_state (engine, WORK_PREFILLING) > 0)
    return;
  for (uint32_t i = 0; i < engine->n_works; i++)
    {
      Work *work = &engine->works[i];

      if (work->state != WORK_WAITING)
        continue;
      if (best == NULL || work->work.priority < best->work.priority
          || (work->work.priority == best->work.priority && work->sequence < best->sequence))
        best = work;
    }
  if (best == NULL)
    return;
  if (engine->options.poison_digest != 0 && best->work.digest == engine->options.poison_digest)
    {
      fake_engine_kill (engine, now_us);
      return;
    }
  tokens = best->work.prompt_tokens + best->work.from_token;
  cached = cache_hit_tokens (engine, best);
  if (cached >= tokens)
    cached = tokens - 1;
  best->computed_tokens = tokens - cached;
  best->state = WORK_PREFILLING;
  best->started_us = now_us > engine->stall_until_us ? now_us : engine->stall_until_us;
  best->due_us = best->started_us
                 + cost_at_speed_us (engine, engine->options.prefill_base_us
                                                 + best->computed_tokens * MF_US_PER_S
                                                       / engine->options.prefill_tokens_per_s);
  engine->ledger.prefill_tokens += best->computed_tokens;
  engine->ledger.cached_tokens += cached;
}

static uint64_t
kv_bytes (const FakeEngine *engine, const Work *work)
{
  return (uint64_t)(work->work.prompt_tokens + work->work.from_token)
         * engine->options.kv_token_bytes;
}

static void
finish_prefill (FakeEngine *engine, Work *work, FakeEventFunc func, void *data)
{
  FakeEvent event;
  uint64_t at_us = work->due_us;

  engine->ledger.busy_us += at_us - work->started_us;
  work->state = WORK_EXPORTING;
  work->kv_handle = ++engine->next_handle;
  work->due_us = at_us + engine->options.result_life_us;
  for (uint32_t i = 0; i < work->work.n_prefix_hashes; i++)
    cache_store (engine, work->prefix_hashes[i] ^ work->work.cache_salt, at_us);
  event = (FakeEvent){
    .type = FAKE_PREFILLED,
    .id = work->work.id,
    .at_us = at_us,
    .n = work->kv_handle,
    .bytes = kv_bytes (engine, work),
    .until_us = work->due_us,
  };
  prefill_next (engine, at_us);
  func (engine, &event, data);
}

static uint64_t
step_cost_us (const FakeEngine *engine)
{
  uint32_t n = count_state (engine, WORK_DECODING);

  return cost_at_speed_us (engine, engine->options.step_us + n * engine->options.step_stream_us);
}

static void
step_start (FakeEngine *engine, uint64_t now_us)
{
  uint64_t start_us = now_us > engine->stall_until_us ? now_us : engine->stall_until_us;

  if (count_state (engine, WORK_DECODING) == 0)
    {
      engine->step_due_us = 0;
      return;
    }
  engine->step_start_us = start_us;
  engine->step_due_us = start_us + step_cost_us (engine);
}

static void
finish_import (FakeEngine *engine, Work *work, FakeEventFunc func, void *data)
{
  FakeEvent event = { .type = FAKE_IMPORTED, .id = work->work.id, .at_us = work->due_us };

  if (work->misses_expiry || work->source->dead
      || work->source->incarnation != work->source_incarnation)
    {
      event.type = FAKE_EXPIRED;
      count_wasted_tokens (engine, work, work->due_us);
      work_remove (engine, work);
    }
  else
    {
      work->state = WORK_DECODING;
      work->started_us = work->due_us;
      if (engine->step_due_us == 0)
        step_start (engine, work->due_us);
    }
  func (engine, &event, data);
}

/* Delays an import by the part of a link stall that overlaps it. Returns whether it was delayed. */
static bool
delay_import (Work *work)
{
  FakeEngine *source = work->source;
  uint64_t from_us = source->link_stall_from_us;

  if (work->link_stall_applied || work->misses_expiry
      || source->link_stall_until_us <= work->started_us || from_us >= work->due_us)
    return false;
  work->link_stall_applied = true;
  if (from_us < work->started_us)
    from_us = work->started_us;
  work->due_us += source->link_stall_until_us - from_us;
  return true;
}

/* Generates one token for each stream that was decoding when the step started. */
static void
finish_step (FakeEngine *engine, FakeEventFunc func, void *data)
{
  uint64_t at_us = engine->step_due_us;

  engine->ledger.busy_us += at_us - engine->step_start_us;
  for (uint32_t i = engine->n_works; i-- > 0;)
    {
      Work *work = &engine->works[i];
      FakeEvent event;

      if (work->state != WORK_DECODING || work->started_us > engine->step_start_us)
        continue;
      event = (FakeEvent){
        .type = FAKE_TOKEN, .id = work->work.id, .at_us = at_us, .n = work->next_token++
      };
      work->n_tokens_generated++;
      engine->ledger.tokens++;
      func (engine, &event, data);
      if (work->next_token < work->work.answer_tokens
          && work->n_tokens_generated < work->work.max_tokens)
        continue;
      event.type = FAKE_FINISHED;
      work_remove (engine, work);
      func (engine, &event, data);
    }
  step_start (engine, at_us);
}

FakeEngine *
fake_engine_new (const FakeEngineOptions *options, uint64_t now_us)
{
  FakeEngine *engine = calloc (1, sizeof *engine);

  if (engine == NULL)
    abort ();
  engine->options = *options;
  engine->role = options->role;
  engine->speed_percent = FULL_SPEED_PERCENT;
  engine->incarnation = now_us + 1;
  engine->next_event_number = 1;
  engine->random_state = options->seed;
  engine->cache = calloc (options->cache_pieces + 1, sizeof engine->cache[0]);
  if (engine->cache == NULL)
    abort ();
  snapshot_add (engine, now_us);
  return engine;
}

void
fake_engine_free (FakeEngine *engine)
{
  if (engine == NULL)
    return;
  free (engine->works);
  free (engine->cache);
  free (engine);
}

const FakeEngineOptions *
fake_engine_options (const FakeEngine *engine)
{
  return &engine->options;
}

FakeEngineResult
fake_engine_prefill (FakeEngine *engine, const FakeWork *work, uint64_t now_us)
{
  uint32_t pieces = pieces_for_tokens ((uint64_t)work->prompt_tokens + work->from_token);
  FakeEngineResult result;

  if (!can_accept (engine, MF_ROLE_PREFILL, now_us, &result))
    return result;
  if (count_state (engine, WORK_WAITING) >= engine->options.queue
      || engine->pieces_used + pieces > engine->options.pieces)
    {
      engine->ledger.refused++;
      return FAKE_REFUSED;
    }
  work_add (engine, work, WORK_WAITING, pieces, now_us);
  prefill_next (engine, now_us);
  snapshot_add (engine, now_us);
  return FAKE_ACCEPTED;
}

static Work *
export_find (FakeEngine *engine, uint64_t kv_handle)
{
  for (uint32_t i = 0; i < engine->n_works; i++)
    {
      Work *work = &engine->works[i];

      if (work->state == WORK_EXPORTING && work->kv_handle == kv_handle && !work->import_started)
        return work;
    }
  return NULL;
}

/* Reserves the link of source for an import, which starts when the link is free. */
static void
schedule_import (FakeEngine *source, Work *export, Work *import, uint64_t now_us)
{
  uint64_t start_us = now_us > source->link_free_us ? now_us : source->link_free_us;
  uint64_t cost_us = kv_bytes (source, export) * MF_US_PER_S / source->options.link_bytes_per_s;

  import->source = source;
  import->source_incarnation = source->incarnation;
  import->computed_tokens = export->computed_tokens;
  import->started_us = start_us;
  import->due_us = start_us + cost_us;
  export->import_started = true;
  if (start_us > export->due_us)
    {
      import->misses_expiry = true;
      import->due_us = export->due_us;
      return;
    }
  export->due_us = import->due_us;
  source->link_free_us = import->due_us;
}

FakeEngineResult
fake_engine_decode (FakeEngine *engine, const FakeWork *work, FakeEngine *source,
                    uint64_t kv_handle, uint64_t now_us)
{
  uint64_t tokens = (uint64_t)work->prompt_tokens + work->from_token + work->max_tokens;
  uint32_t pieces = pieces_for_tokens (tokens);
  FakeEngineResult result;
  Work *export;

  if (!can_accept (engine, MF_ROLE_DECODE, now_us, &result))
    return result;
  if (slots_used (engine) >= engine->options.slots
      || engine->pieces_used + pieces > engine->options.pieces)
    {
      engine->ledger.refused++;
      return FAKE_REFUSED;
    }
  export = source == NULL || source->dead ? NULL : export_find (source, kv_handle);
  if (export == NULL || export->due_us < now_us)
    return FAKE_GONE;
  schedule_import (source, export, work_add (engine, work, WORK_IMPORTING, pieces, now_us), now_us);
  snapshot_add (engine, now_us);
  return FAKE_ACCEPTED;
}

FakeEngineResult
fake_engine_resume (FakeEngine *engine, const FakeWorkId *id, uint32_t from_token, uint64_t now_us)
{
  Work *work = engine->dead ? NULL : work_find (engine, id);

  if (work == NULL || work->state != WORK_DETACHED || from_token > work->next_token)
    return FAKE_GONE;
  work->n_tokens_generated -= work->next_token - from_token;
  work->next_token = from_token;
  work->state = WORK_DECODING;
  work->started_us = now_us;
  if (engine->step_due_us == 0)
    step_start (engine, now_us);
  return FAKE_ACCEPTED;
}

void
fake_engine_detach (FakeEngine *engine, const FakeWorkId *id, uint64_t now_us)
{
  Work *work = work_find (engine, id);

  if (work == NULL || work->state != WORK_DECODING)
    return;
  work->state = WORK_DETACHED;
  work->due_us = now_us + engine->options.result_life_us;
}

bool
fake_engine_cancel (FakeEngine *engine, const FakeWorkId *id, uint64_t now_us)
{
  Work *work = work_find (engine, id);

  if (work == NULL)
    return false;
  count_wasted_tokens (engine, work, now_us);
  work_remove (engine, work);
  engine->ledger.cancelled++;
  prefill_next (engine, now_us);
  snapshot_add (engine, now_us);
  return true;
}

uint32_t
fake_engine_cancel_owner (FakeEngine *engine, const MfInstanceId *owner, uint64_t now_us)
{
  uint32_t n = 0;

  for (uint32_t i = engine->n_works; i-- > 0;)
    {
      const MfInstanceId *work_owner = &engine->works[i].work.id.owner;

      if (work_owner->incarnation != owner->incarnation
          || strcmp (work_owner->name, owner->name) != 0)
        continue;
      count_wasted_tokens (engine, &engine->works[i], now_us);
      work_remove (engine, &engine->works[i]);
      engine->ledger.cancelled++;
      n++;
    }
  prefill_next (engine, now_us);
  snapshot_add (engine, now_us);
  return n;
}

uint64_t
fake_engine_next_us (const FakeEngine *engine)
{
  uint64_t next_us = engine->step_due_us != 0 ? engine->step_due_us : UINT64_MAX;

  if (engine->death_event_pending)
    return 0;
  for (uint32_t i = 0; i < engine->n_works; i++)
    {
      const Work *work = &engine->works[i];

      if (work->state != WORK_WAITING && work->state != WORK_DECODING && work->due_us < next_us)
        next_us = work->due_us;
    }
  return next_us;
}

/* Finishes the phase of this work that is due. */
static void
work_run (FakeEngine *engine, Work *work, FakeEventFunc func, void *data)
{
  FakeEvent event = { .type = FAKE_EXPIRED, .id = work->work.id, .at_us = work->due_us };
  bool is_import_source = work->state == WORK_EXPORTING && work->import_started;

  if (work->state == WORK_PREFILLING)
    finish_prefill (engine, work, func, data);
  else if (work->state == WORK_IMPORTING && !delay_import (work))
    finish_import (engine, work, func, data);
  else if (work->state == WORK_EXPORTING || work->state == WORK_DETACHED)
    {
      count_wasted_tokens (engine, work, work->due_us);
      work_remove (engine, work);
      if (!is_import_source)
        func (engine, &event, data);
    }
}

static Work *
first_due_work (FakeEngine *engine, uint64_t now_us)
{
  Work *first = NULL;

  for (uint32_t i = 0; i < engine->n_works; i++)
    {
      Work *work = &engine->works[i];

      if (work->state == WORK_WAITING || work->state == WORK_DECODING || work->due_us > now_us)
        continue;
      if (first == NULL || work->due_us < first->due_us)
        first = work;
    }
  return first;
}

void
fake_engine_run (FakeEngine *engine, uint64_t now_us, FakeEventFunc func, void *data)
{
  for (;;)
    {
      Work *work;

      if (engine->death_event_pending)
        {
          FakeEvent event = { .type = FAKE_DIED, .at_us = now_us };

          engine->death_event_pending = false;
          func (engine, &event, data);
        }
      if (engine->dead)
        return;
      work = first_due_work (engine, now_us);
      if (engine->step_due_us != 0 && engine->step_due_us <= now_us
          && (work == NULL || engine->step_due_us <= work->due_us))
        finish_step (engine, func, data);
      else if (work != NULL)
        work_run (engine, work, func, data);
      else if (!engine->death_event_pending)
        break;
    }
  snapshot_add (engine, now_us);
}

void
fake_engine_load (FakeEngine *engine, uint64_t now_us, MfLoadEvent *load)
{
  const FakeEngineOptions *options = &engine->options;
  uint64_t seen_us = now_us > options->load_lag_us ? now_us - options->load_lag_us : 0;
  uint64_t oldest = engine->n_snapshots > N_SNAPSHOTS ? engine->n_snapshots - N_SNAPSHOTS : 0;
  uint64_t i = engine->n_snapshots - 1;
  const Snapshot *snapshot;

  while (i > oldest && engine->snapshots[i % N_SNAPSHOTS].at_us > seen_us)
    i--;
  snapshot = &engine->snapshots[i % N_SNAPSHOTS];
  *load = (MfLoadEvent){
    .incarnation = engine->incarnation,
    .measured_us = seen_us,
    .slots_total = options->slots,
    .slots_used = snapshot->slots_used,
    .queued = snapshot->queued,
    .pieces_total = options->pieces,
    .pieces_free = options->pieces - snapshot->pieces_used,
    .prefill_tokens_queued = snapshot->prefill_tokens_queued,
    .leaving = engine->leaving,
    .role = engine->role,
    .loading = now_us < engine->loading_until_us,
    .fence_seen = options->checks_fencing ? engine->fence_seen : 0,
  };
  mf_name_set (load->model, sizeof load->model, engine->model);
  mf_name_set (load->adapter, sizeof load->adapter, engine->adapter);
  mf_name_set (load->version, sizeof load->version, engine->version);
}

uint32_t
fake_engine_cache_events (const FakeEngine *engine, uint64_t now_us, uint64_t after,
                          uint64_t *first, uint64_t *hashes, bool *stored, uint32_t max)
{
  uint64_t i = engine->n_events > N_CACHE_EVENTS ? engine->n_events - N_CACHE_EVENTS : 0;
  uint32_t n = 0;

  for (; i < engine->n_events && n < max; i++)
    {
      const CacheEvent *event = &engine->events[i % N_CACHE_EVENTS];

      if (event->number <= after)
        continue;
      if (event->at_us + engine->options.cache_lag_us > now_us)
        break;
      if (n == 0)
        *first = event->number;
      else if (event->number != *first + n)
        break;
      hashes[n] = event->hash;
      stored[n] = event->stored;
      n++;
    }
  return n;
}

FakeEngineResult
fake_engine_order (FakeEngine *engine, MfOrderKind kind, const char *value, uint64_t fence,
                   uint64_t now_us)
{
  if (engine->dead)
    return FAKE_GONE;
  if (engine->options.checks_fencing && fence < engine->fence_seen)
    {
      engine->ledger.orders_refused++;
      return FAKE_REFUSED;
    }
  if (fence > engine->fence_seen)
    engine->fence_seen = fence;
  engine->ledger.orders_obeyed++;
  drop_all_work (engine, now_us);
  if (kind == MF_ORDER_MODEL)
    mf_name_set (engine->model, sizeof engine->model, value);
  else if (kind == MF_ORDER_ADAPTER)
    mf_name_set (engine->adapter, sizeof engine->adapter, value);
  else if (kind == MF_ORDER_VERSION)
    mf_name_set (engine->version, sizeof engine->version, value);
  else
    engine->role = strcmp (value, "prefill") == 0 ? MF_ROLE_PREFILL : MF_ROLE_DECODE;
  if (kind != MF_ORDER_ROLE)
    engine->loading_until_us = now_us + engine->options.load_model_us;
  snapshot_add (engine, now_us);
  return FAKE_ACCEPTED;
}

void
fake_engine_kill (FakeEngine *engine, uint64_t now_us)
{
  if (engine->dead)
    return;
  drop_all_work (engine, now_us);
  engine->dead = true;
  engine->death_event_pending = true;
  engine->ledger.deaths++;
  engine->n_cache = 0;
}

void
fake_engine_restart (FakeEngine *engine, uint64_t now_us)
{
  if (!engine->dead)
    fake_engine_kill (engine, now_us);
  engine->dead = false;
  engine->leaving = false;
  engine->incarnation++;
  engine->stall_until_us = 0;
  engine->link_free_us = now_us;
  engine->speed_percent = FULL_SPEED_PERCENT;
  snapshot_add (engine, now_us);
}

void
fake_engine_stall (FakeEngine *engine, uint64_t now_us, uint64_t until_us)
{
  uint64_t stall_us = until_us > now_us ? until_us - now_us : 0;

  engine->stall_until_us = until_us;
  if (engine->step_due_us != 0)
    engine->step_due_us += stall_us;
  for (uint32_t i = 0; i < engine->n_works; i++)
    {
      if (engine->works[i].state == WORK_PREFILLING)
        engine->works[i].due_us += stall_us;
    }
}

void
fake_engine_stall_link (FakeEngine *engine, uint64_t now_us, uint64_t until_us)
{
  engine->link_stall_from_us = now_us;
  engine->link_stall_until_us = until_us;
  if (engine->link_free_us < now_us)
    engine->link_free_us = now_us;
  if (until_us > now_us)
    engine->link_free_us += until_us - now_us;
}

void
fake_engine_set_speed (FakeEngine *engine, uint32_t speed_percent)
{
  engine->speed_percent = speed_percent > 0 ? speed_percent : 1;
}

void
fake_engine_leave (FakeEngine *engine)
{
  engine->leaving = true;
}

bool
fake_engine_is_dead (const FakeEngine *engine)
{
  return engine->dead;
}

void
fake_engine_foreach_kv_entry (const FakeEngine *engine, FakeKvEntryFunc func, void *data)
{
  for (uint32_t i = 0; i < engine->n_works; i++)
    {
      const Work *work = &engine->works[i];
      FakeKvEntry entry = {
        .id = work->work.id,
        .pieces = work->pieces,
        .decoding = work->state >= WORK_IMPORTING,
        .exporting = work->state == WORK_EXPORTING,
      };

      if (!func (&entry, data))
        return;
    }
}

const FakeLedger *
fake_engine_ledger (const FakeEngine *engine)
{
  return &engine->ledger;
}
