#include "prefix.h"

#include <stdlib.h>

/* Prefixes known over all upstreams; the oldest are evicted first. */
#define ENTRIES_MAX 32768
/* A gap in an upstream's cache events divides the confidence in its known prefixes; each event in
 * order restores a part. */
#define CONFIDENCE_FULL_PERMILLE 1000
#define CONFIDENCE_GAP_DIVISOR 2
#define CONFIDENCE_PER_EVENT_PERMILLE 10

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
  uint32_t confidence;
} UpstreamCache;

struct MfCaches
{
  Entry *entries;
  UpstreamCache *upstream_caches; /* by upstream */
  uint32_t n_upstream_caches;
};

static UpstreamCache *
upstream_cache_get (MfCore *core, uint32_t upstream)
{
  MfCaches *caches = core->board.caches;

  if (upstream >= caches->n_upstream_caches)
    {
      uint32_t n = core->board.n_upstreams;
      UpstreamCache *upstream_caches
          = realloc (caches->upstream_caches, n * sizeof *upstream_caches);

      if (upstream_caches == NULL)
        abort ();
      for (uint32_t i = caches->n_upstream_caches; i < n; i++)
        upstream_caches[i] = (UpstreamCache){ .confidence = CONFIDENCE_FULL_PERMILLE };
      caches->upstream_caches = upstream_caches;
      caches->n_upstream_caches = n;
    }
  return &caches->upstream_caches[upstream];
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
  uint64_t confidence = upstream < caches->n_upstream_caches
                            ? caches->upstream_caches[upstream].confidence
                            : CONFIDENCE_FULL_PERMILLE;
  uint32_t n = 0;

  while (n < request->n_prefix_hashes
         && find (caches, upstream, request->prefix_hashes[n] ^ request->cache_salt) != NULL)
    n++;
  return (uint32_t)((uint64_t)n * MF_PIECE_TOKENS * confidence / CONFIDENCE_FULL_PERMILLE);
}

void
mf_prefix_add (MfCore *core, uint32_t upstream, const MfRequest *request)
{
  for (uint32_t i = 0; i < request->n_prefix_hashes; i++)
    store (core->board.caches, upstream, request->prefix_hashes[i] ^ request->cache_salt);
}

uint64_t
mf_prefix_last_event (const MfCore *core, uint32_t upstream)
{
  const MfCaches *caches = core->board.caches;

  if (upstream >= caches->n_upstream_caches || caches->upstream_caches[upstream].next_event == 0)
    return 0;
  return caches->upstream_caches[upstream].next_event - 1;
}

void
mf_prefix_clear (MfCore *core, uint32_t upstream)
{
  Entry *entry;
  Entry *next;

  HASH_ITER (hh, core->board.caches->entries, entry, next)
  {
    if (entry->key.upstream == upstream)
      drop (core->board.caches, entry);
  }
  upstream_cache_get (core, upstream)->confidence = CONFIDENCE_FULL_PERMILLE;
}

/* Processes cache events. Evictions may have been missed in a gap, so that known prefixes count for
 * less until enough events have arrived in order. */
static void
handle_cache (MfCore *core, const MfCacheEvent *event)
{
  UpstreamCache *cache = upstream_cache_get (core, event->upstream);

  if (event->incarnation != cache->incarnation)
    cache->next_event = 0;
  cache->incarnation = event->incarnation;
  if (event->n == 0 || event->first + event->n <= cache->next_event)
    return;
  if (cache->next_event > 0 && event->first > cache->next_event)
    cache->confidence /= CONFIDENCE_GAP_DIVISOR;
  cache->next_event = event->first + event->n;
  cache->confidence += event->n * CONFIDENCE_PER_EVENT_PERMILLE;
  if (cache->confidence > CONFIDENCE_FULL_PERMILLE)
    cache->confidence = CONFIDENCE_FULL_PERMILLE;
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
    mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while creating the table of prefixes");
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
  free (caches->upstream_caches);
  free (caches);
}

const MfController mf_prefix_controller = {
  .name = "prefix",
  .init = prefix_init,
  .finish = prefix_finish,
  .handle = prefix_handle,
};
