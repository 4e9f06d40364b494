#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "libmangofork/types.h"

#include <ev.h>

/* A stand-in for the platform's store, as its page describes it: keys with revisions, ranges in
 * pages, watches that wait, a history that may be dropped. */
typedef struct FakeStore FakeStore;

/* How it treats calls. */
typedef enum
{
  FAKE_STORE_SERVES,
  FAKE_STORE_BUSY,              /* 503 */
  FAKE_STORE_TOO_MANY_REQUESTS, /* 429 */
  FAKE_STORE_RESETS,            /* connections are reset */
  FAKE_STORE_SILENT,            /* no answer */
} FakeStoreMode;

/* Items a page of a range holds. */
#define FAKE_STORE_PAGE_ITEMS 3

FakeStore *fake_store_new (struct ev_loop *loop);
void fake_store_free (FakeStore *store);
const char *fake_store_address (const FakeStore *store);
/* Writes or removes a key; watches that wait are answered. */
void fake_store_put (FakeStore *store, const char *key, const char *value);
void fake_store_remove (FakeStore *store, const char *key);
/* Removes a key as a lapse does while nobody can read, without an event to waiting watches yet. */
void fake_store_set_mode (FakeStore *store, FakeStoreMode mode);
/* Drops the history: watches from before get 410. */
void fake_store_drop_history (FakeStore *store);
uint64_t fake_store_revision (const FakeStore *store);
uint32_t fake_store_n_calls (const FakeStore *store);
/* Writes an upstream's entry under servers/ID. role is "", "prefill" or "decode"; state is "ready"
 * or "draining". */
void fake_store_put_upstream (FakeStore *store, const char *id, const char *service,
                              const char *address, const char *role, const char *state);

#endif
