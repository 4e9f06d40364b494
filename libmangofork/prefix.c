#include "prefix.h"

#include <stdlib.h>

/* Prefixes remembered over all upstreams; the oldest go first. */
#define ENTRIES_MAX 32768
/* What a gap in an upstream's cache events leaves of the trust in what is remembered of it, and
 * what each event in order gives back. */
#define TRUST_FULL 1000
#define TRUST_AFTER_GAP_DIVISOR 2
#define TRUST_PER_EVENT 10

typedef struct
{
  uint64_t hash;
  uint64_t upstream;
} Key;

typedef struct
{
  Key key;
  UT_hash_handle hh;
} Entry;

typedef struct
{
  uint64_t next_event;
  uint64_t incarnation;
  uint32_t trust;
} Source;

struct MfCaches
{
  Entry *entries;
  Source *sources; /* by upstream */
  uint32_t n_sources;
};

static Source *
source_of (MfCore *core, uint32_t upstream)
{
  MfCaches *caches = core->board.caches;

  if (upstream >= caches->n_sources)
    {
      uint32_t n = core->board.n_upstreams;
      Source *sources = realloc (caches->sources, n * sizeof *sources);

      if (sources == NULL)
        abort ();
      for (uint32_t i = caches->n_sources; i < n; i++)
        sources[i] = (Source){ .trust = TRUST_FULL };
      caches->sources = sources;
      caches->n_sources = n;
    }
  return &caches->sources[upstream];
}

static Entry *
find (const MfCaches *caches, uint32_t upstream, uint64_t hash)
{
  Key key = { .hash = hash, .upstream = upstream };
  Entry *entry;

  HASH_FIND (hh, caches->entries, &key, sizeof key, entry);
  return entry;
}

static void
drop (MfCaches *caches, Entry *entry)
{
  HASH_DEL (caches->entries, entry);
  free (entry);
}

static void
store (MfCaches *caches, uint32_t upstream, uint64_t hash)
{
  Entry *entry = find (caches, upstream, hash);

  if (entry != NULL)
    HASH_DEL (caches->entries, entry);
  else if (HASH_COUNT (caches->entries) >= ENTRIES_MAX)
    drop (caches, caches->entries);
  if (entry == NULL)
    entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    abort ();
  entry->key = (Key){ .hash = hash, .upstream = upstream };
  HASH_ADD (hh, caches->entries, key, sizeof entry->key, entry);
}

uint32_t
mf_prefix_cached_tokens (const MfCore *core, uint32_t upstream, const MfRequest *request)
{
  const MfCaches *caches = core->board.caches;
  uint64_t trust = upstream < caches->n_sources ? caches->sources[upstream].trust : TRUST_FULL;
  uint32_t n = 0;

  while (n < request->n_prefix_hashes
         && find (caches, upstream, request->prefix_hashes[n] ^ request->cache_salt) != NULL)
    n++;
  return (uint32_t)((uint64_t)n * MF_PIECE_TOKENS * trust / TRUST_FULL);
}

void
mf_prefix_note (MfCore *core, uint32_t upstream, const MfRequest *request)
{
  for (uint32_t i = 0; i < request->n_prefix_hashes; i++)
    store (core->board.caches, upstream, request->prefix_hashes[i] ^ request->cache_salt);
}

uint64_t
mf_prefix_last_event (const MfCore *core, uint32_t upstream)
{
  const MfCaches *caches = core->board.caches;

  if (upstream >= caches->n_sources || caches->sources[upstream].next_event == 0)
    return 0;
  return caches->sources[upstream].next_event - 1;
}

void
mf_prefix_forget (MfCore *core, uint32_t upstream)
{
  Entry *entry;
  Entry *next;

  HASH_ITER (hh, core->board.caches->entries, entry, next)
  {
    if (entry->key.upstream == upstream)
      drop (core->board.caches, entry);
  }
  source_of (core, upstream)->trust = TRUST_FULL;
}

/* Takes in cache events. After a gap, evictions may have been missed: what is remembered counts
 * for less until events have come in order for a while. */
static void
handle_cache (MfCore *core, const MfCacheEvent *event)
{
  Source *source = source_of (core, event->upstream);

  if (event->incarnation != source->incarnation)
    source->next_event = 0;
  source->incarnation = event->incarnation;
  if (event->n == 0 || event->first + event->n <= source->next_event)
    return;
  if (source->next_event > 0 && event->first > source->next_event)
    source->trust /= TRUST_AFTER_GAP_DIVISOR;
  source->next_event = event->first + event->n;
  source->trust += event->n * TRUST_PER_EVENT;
  if (source->trust > TRUST_FULL)
    source->trust = TRUST_FULL;
  for (uint32_t i = 0; i < event->n; i++)
    {
      Entry *entry = find (core->board.caches, event->upstream, event->hashes[i]);

      if (event->stored[i])
        store (core->board.caches, event->upstream, event->hashes[i]);
      else if (entry != NULL)
        drop (core->board.caches, entry);
    }
}

static void
prefix_handle (MfCore *core, const MfEvent *event)
{
  if (event->type == MF_EVENT_CACHE && event->cache.upstream < core->board.n_upstreams)
    handle_cache (core, &event->cache);
}

static bool
prefix_init (MfCore *core, MfError *error)
{
  core->board.caches = calloc (1, sizeof *core->board.caches);
  if (core->board.caches == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the prefixes");
  return core->board.caches != NULL;
}

static void
prefix_finish (MfCore *core)
{
  MfCaches *caches = core->board.caches;
  Entry *entry;
  Entry *next;

  if (caches == NULL)
    return;
  HASH_ITER (hh, caches->entries, entry, next)
  {
    drop (caches, entry);
  }
  free (caches->sources);
  free (caches);
}

const MfController mf_prefix_controller = {
  .name = "prefix",
  .init = prefix_init,
  .finish = prefix_finish,
  .handle = prefix_handle,
};
