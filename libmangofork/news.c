#include "news.h"

#include "digest.h"
#include "member_row.h"
#include "suspect_core.h"

#include <stdlib.h>

/* Items remembered, so that each is told and acted on once. */
#define ITEMS_MAX 1024
#define EXPIRE_US MF_US_PER_S
#define NEVER_US (UINT64_MAX / 2)

/* One item and the neighbours it has not been told to. */
typedef struct
{
  struct
  {
    uint64_t kind;
    uint64_t subject;
  } key;
  uint64_t value;
  uint64_t origin_us;
  uint64_t waiting; /* one bit a neighbour */
  UT_hash_handle hh;
} NewsItem;

struct MfNewsbook
{
  NewsItem *items;
  uint64_t expire_us;
};

typedef void (*NewsApplyFunc) (MfCore *core, const MfNews *news, uint64_t origin_us);

/* How one kind of news is treated. */
typedef struct
{
  uint8_t priority; /* lower goes first; 0 does not wait for the next period */
  bool value_rises; /* only a higher value is new */
  uint64_t life_us;
  uint64_t repeat_us; /* the same value is new again when it originated so much later */
  NewsApplyFunc apply;
} NewsKind;

static void
apply_leaving (MfCore *core, const MfNews *news, uint64_t origin_us)
{
  uint32_t upstream = mf_upstream_find (core, news->subject);

  (void)origin_us;
  if (upstream != MF_NONE)
    mf_upstream_note_leaving (core, upstream, news->value);
}

static void
apply_dead (MfCore *core, const MfNews *news, uint64_t origin_us)
{
  uint32_t upstream = mf_upstream_find (core, news->subject);

  (void)origin_us;
  if (upstream != MF_NONE)
    mf_upstream_note_dead (core, upstream, news->value);
}

static void
apply_suspect (MfCore *core, const MfNews *news, uint64_t origin_us)
{
  uint32_t n_deaths = news->value < UINT32_MAX ? (uint32_t)news->value : UINT32_MAX;

  (void)origin_us;
  mf_suspect_note (core, news->subject, n_deaths, news->kind == MF_NEWS_CONVICTED);
}

static void
apply_fence (MfCore *core, const MfNews *news, uint64_t origin_us)
{
  uint32_t upstream = mf_upstream_find (core, news->subject);

  (void)origin_us;
  if (upstream != MF_NONE && news->value > core->board.upstreams[upstream].fence_last)
    core->board.upstreams[upstream].fence_last = news->value;
}

static const NewsKind kinds[MF_NEWS_KIND_COUNT] = {
  [MF_NEWS_UPSTREAM_LEAVING] = { 0, false, 60 * MF_US_PER_S, 5 * MF_US_PER_S, apply_leaving },
  [MF_NEWS_UPSTREAM_DEAD] = { 0, false, 60 * MF_US_PER_S, MF_US_PER_S, apply_dead },
  [MF_NEWS_SUSPECT] = { 1, true, 900 * MF_US_PER_S, NEVER_US, apply_suspect },
  [MF_NEWS_CONVICTED] = { 0, true, 900 * MF_US_PER_S, NEVER_US, apply_suspect },
  [MF_NEWS_INSTANCE_DEAD] = { 0, false, 60 * MF_US_PER_S, 300 * MF_US_PER_MS, mf_member_take_news },
  [MF_NEWS_FENCE] = { 2, true, 300 * MF_US_PER_S, NEVER_US, apply_fence },
  [MF_NEWS_INSTANCE_SUSPECT]
  = { 0, false, 10 * MF_US_PER_S, 300 * MF_US_PER_MS, mf_member_take_news },
  [MF_NEWS_INSTANCE_ALIVE]
  = { 0, false, 60 * MF_US_PER_S, 300 * MF_US_PER_MS, mf_member_take_news },
};

/* The neighbours that can be told now, as bits. */
static uint64_t
linked_neighbours (const MfCore *core)
{
  uint64_t bits = 0;

  for (uint32_t i = 0; i < MF_NEIGHBOURS_MAX; i++)
    {
      const MfMemberRow *row = core->board.members->neighbours[i];

      if (row != NULL && row->member.link_id != 0)
        bits |= UINT64_C (1) << i;
    }
  return bits;
}

static void
item_drop (MfCore *core, NewsItem *item)
{
  if ((item->waiting & linked_neighbours (core)) != 0)
    mf_counter_add (&core->board.counters, MF_COUNTER_NEWS_DROPPED, 1);
  HASH_DEL (core->board.newsbook->items, item);
  free (item);
}

/* Makes room by dropping the oldest of the least urgent. */
static void
evict_one (MfCore *core)
{
  NewsItem *worst = NULL;

  for (NewsItem *item = core->board.newsbook->items; item != NULL; item = item->hh.next)
    {
      uint8_t priority = kinds[item->key.kind].priority;

      if (worst == NULL || priority > kinds[worst->key.kind].priority
          || (priority == kinds[worst->key.kind].priority && item->origin_us < worst->origin_us))
        worst = item;
    }
  if (worst != NULL)
    item_drop (core, worst);
}

static NewsItem *
item_find (const MfCore *core, MfNewsKind kind, uint64_t subject)
{
  NewsItem wanted = { .key = { .kind = kind, .subject = subject } };
  NewsItem *item;

  HASH_FIND (hh, core->board.newsbook->items, &wanted.key, sizeof wanted.key, item);
  return item;
}

static NewsItem *
item_add (MfCore *core, MfNewsKind kind, uint64_t subject)
{
  MfNewsbook *book = core->board.newsbook;
  NewsItem *item;

  if (HASH_COUNT (book->items) >= ITEMS_MAX)
    evict_one (core);
  item = calloc (1, sizeof *item);
  if (item == NULL)
    return NULL;
  item->key.kind = kind;
  item->key.subject = subject;
  HASH_ADD (hh, book->items, key, sizeof item->key, item);
  return item;
}

static bool
is_new (const NewsItem *item, uint64_t value, uint64_t origin_us)
{
  const NewsKind *kind = &kinds[item->key.kind];

  if (kind->value_rises)
    return value > item->value;
  if (value != item->value)
    return origin_us > item->origin_us;
  return origin_us > item->origin_us + kind->repeat_us;
}

/* Remembers an item and lets it wait for every neighbour but the one that told it. Returns false
 * when it was known. */
static bool
note_at (MfCore *core, const MfNews *news, uint64_t origin_us, uint64_t known_by)
{
  NewsItem *item = item_find (core, news->kind, news->subject);

  if (item != NULL && !is_new (item, news->value, origin_us))
    {
      if (item->value == news->value)
        item->waiting &= ~known_by;
      return false;
    }
  if (item == NULL)
    item = item_add (core, news->kind, news->subject);
  if (item == NULL)
    return false;
  item->value = news->value;
  item->origin_us = origin_us;
  item->waiting = linked_neighbours (core) & ~known_by;
  if (kinds[news->kind].priority == 0 && item->waiting != 0)
    mf_digest_schedule_urgent (core);
  return true;
}

/* Tells the fleet something this instance learnt itself. Repeats of what is known cost nothing. */
void
mf_news_note (MfCore *core, MfNewsKind kind, uint64_t subject, uint64_t value)
{
  MfNews news = { .kind = kind, .subject = subject, .value = value };

  if (core->board.newsbook != NULL)
    note_at (core, &news, core->board.now_us, 0);
}

/* A neighbour is linked anew and may have missed anything. */
void
mf_news_offer_all (MfCore *core, uint32_t neighbour)
{
  for (NewsItem *item = core->board.newsbook->items; item != NULL; item = item->hh.next)
    item->waiting |= UINT64_C (1) << neighbour;
}

void
mf_news_withdraw (MfCore *core, uint32_t neighbour)
{
  for (NewsItem *item = core->board.newsbook->items; item != NULL; item = item->hh.next)
    item->waiting &= ~(UINT64_C (1) << neighbour);
}

static void
news_pack (const MfCore *core, const NewsItem *item, MfNews *news)
{
  *news = (MfNews){
    .kind = (MfNewsKind)item->key.kind,
    .subject = item->key.subject,
    .value = item->value,
    .age_ms = (uint32_t)((core->board.now_us - item->origin_us) / MF_US_PER_MS),
  };
}

/* Moves at most max items for a neighbour into the digest: the most urgent first, of these the
 * ones that have waited longest. */
void
mf_news_fill (MfCore *core, uint32_t neighbour, MfDigestMessage *digest, uint32_t max)
{
  uint64_t bit = UINT64_C (1) << neighbour;

  if (max > MF_NEWS_PER_DIGEST_MAX)
    max = MF_NEWS_PER_DIGEST_MAX;
  for (uint8_t priority = 0; priority <= 2; priority++)
    {
      for (NewsItem *item = core->board.newsbook->items; item != NULL; item = item->hh.next)
        {
          if ((item->waiting & bit) == 0 || kinds[item->key.kind].priority != priority)
            continue;
          if (digest->n_news >= max)
            return;
          news_pack (core, item, &digest->news[digest->n_news++]);
          item->waiting &= ~bit;
        }
    }
}

/* Acts on what a neighbour tells and passes on what is new. */
static void
take_digest (MfCore *core, const MfMemberRow *row, const MfDigestMessage *digest)
{
  uint64_t now_us = core->board.now_us;
  uint64_t known_by = row->neighbour != MF_NONE ? UINT64_C (1) << row->neighbour : 0;

  for (uint32_t i = 0; i < digest->n_news; i++)
    {
      const MfNews *news = &digest->news[i];
      uint64_t age_us = news->age_ms * MF_US_PER_MS;
      uint64_t origin_us = age_us < now_us ? now_us - age_us : 0;

      if (age_us >= kinds[news->kind].life_us || !note_at (core, news, origin_us, known_by))
        continue;
      kinds[news->kind].apply (core, news, origin_us);
    }
}

static void
news_handle (MfCore *core, const MfEvent *event)
{
  const MfDigestMessage *digest;
  const MfMemberRow *row;

  if (event->type != MF_EVENT_PEER_MESSAGE || event->peer.message->type != MF_PEER_DIGEST)
    return;
  row = mf_member_row (core, event->peer.peer.name);
  if (row == NULL || row->member.owner.incarnation != event->peer.peer.incarnation)
    return;
  digest = &event->peer.message->digest;
  take_digest (core, row, digest);
  if (digest->burn_bytes > 0)
    mf_burn_merge (core->board.burn, &event->peer.peer, digest->burn, digest->burn_bytes,
                   core->board.now_us);
}

static void
news_tick (MfCore *core)
{
  MfNewsbook *book = core->board.newsbook;
  NewsItem *item, *next;

  if (core->board.now_us < book->expire_us)
    return;
  book->expire_us = core->board.now_us + EXPIRE_US;
  HASH_ITER (hh, book->items, item, next)
  {
    if (core->board.now_us - item->origin_us >= kinds[item->key.kind].life_us)
      item_drop (core, item);
  }
}

static bool
news_init (MfCore *core, MfError *error)
{
  core->board.newsbook = calloc (1, sizeof *core->board.newsbook);
  if (core->board.newsbook == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for news");
  return core->board.newsbook != NULL;
}

static void
news_finish (MfCore *core)
{
  NewsItem *item, *next;

  if (core->board.newsbook == NULL)
    return;
  HASH_ITER (hh, core->board.newsbook->items, item, next)
  {
    HASH_DEL (core->board.newsbook->items, item);
    free (item);
  }
  free (core->board.newsbook);
  core->board.newsbook = NULL;
}

const MfController mf_news_controller = {
  .name = "news",
  .init = news_init,
  .finish = news_finish,
  .handle = news_handle,
  .tick = news_tick,
};
