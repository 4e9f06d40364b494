#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "libmangofork/types.h"

#include <ev.h>

/* A stand-in for the platform's key-value store: keys with revisions, ranges read in pages,
 * long-poll watches, and a history that can be dropped. */
typedef struct FakeStore FakeStore;

/* How it answers calls. */
typedef enum
{
  FAKE_STORE_SERVES,
  FAKE_STORE_BUSY,              /* 503 */
  FAKE_STORE_TOO_MANY_REQUESTS, /* 429 */
  FAKE_STORE_RESETS,            /* connections are reset */
  FAKE_STORE_SILENT,            /* no answer */
  FAKE_STORE_EMPTY,             /* answers without members */
  FAKE_STORE_EMPTY_LISTS,       /* no history, and lists without members */
} FakeStoreMode;

/* Number of items in a page of a range. */
#define FAKE_STORE_PAGE_ITEMS 3

FakeStore *fake_store_new (struct ev_loop *loop);
void fake_store_free (FakeStore *store);
const char *fake_store_address (const FakeStore *store);
/* Write or remove a key; matching watches are answered if the mode is FAKE_STORE_SERVES. */
void fake_store_put (FakeStore *store, const char *key, const char *value);
void fake_store_remove (FakeStore *store, const char *key);
/* Any mode but FAKE_STORE_SERVES also ends the waiting watches. */
void fake_store_set_mode (FakeStore *store, FakeStoreMode mode);
/* Limits what each connection sends, as a slow link does; 0: no limit. */
void fake_store_set_rate (FakeStore *store, uint64_t bytes_per_s);
/* Drops the history: watches from a revision before the current one get status 410. */
void fake_store_drop_history (FakeStore *store);
/* Keeps a copy of all items, which the store can return from. */
void fake_store_save (FakeStore *store);
/* Returns from the copy: later changes are gone, their revisions are given out again, and answers
 * name the next era. Ends the waiting watches. */
void fake_store_restore (FakeStore *store);
uint64_t fake_store_revision (const FakeStore *store);
uint32_t fake_store_n_calls (const FakeStore *store);
/* Writes the entry of an upstream to the key servers/ID. role is "", "prefill" or "decode"; state
 * is "ready" or "draining". */
void fake_store_put_upstream (FakeStore *store, const char *id, const char *service,
                              const char *address, const char *role, const char *state);
/* The same with the version of its software, which is "v1" otherwise. */
void fake_store_put_upstream_version (FakeStore *store, const char *id, const char *service,
                                      const char *address, const char *role, const char *state,
                                      const char *version);

#endif
