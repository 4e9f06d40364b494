#ifndef FAKE_ENGINE_MODEL_H
#define FAKE_ENGINE_MODEL_H

#include "libmangofork/action.h"

/* A stand-in for one model engine, in virtual time: continuous batching, memory in pieces, a prefix
 * cache, KV export and import over a link of limited rate, and scripted faults. It does no I/O; the
 * HTTP stand-in serves it and the policy bench drives it directly. */
typedef struct FakeEngine FakeEngine;

typedef struct
{
  char name[MF_NAME_BYTES];
  MfRole role;
  uint32_t slots;  /* streams decoded, or prefills held, at once */
  uint32_t queue;  /* prefills that may wait; a decode engine refuses when its slots are full */
  uint32_t pieces; /* engine memory, in pieces of MF_PIECE_TOKENS */
  uint32_t cache_pieces; /* of them, the prefix cache may keep */
  uint64_t prefill_tokens_per_s;
  uint64_t prefill_base_us; /* cost of any prefill */
  uint64_t step_us;         /* one decode step of an empty batch */
  uint64_t step_stream_us;  /* added to a step by each stream in it */
  uint64_t kv_token_bytes;
  uint64_t link_bytes_per_s; /* exports share it, first come first served */
  uint64_t result_life_us;   /* how long a prefill's KV waits for its import */
  uint64_t load_lag_us;
  uint64_t cache_lag_us;
  uint32_t cache_gap_ppm; /* cache events lost */
  bool checks_fencing;
  uint64_t load_model_us; /* loading a model, adapter or version */
  uint64_t poison_digest; /* the engine dies when it runs this request; 0 for none */
  uint64_t seed;
} FakeEngineOptions;

/* Who a piece of work belongs to. */
typedef struct
{
  MfInstanceId owner;
  uint64_t request_id;
  uint32_t attempt;
} FakeWorkId;

typedef struct
{
  FakeWorkId id;
  uint64_t digest;
  uint32_t prompt_tokens;
  uint32_t from_token;    /* tokens of the answer already made; they count as prompt */
  uint32_t max_tokens;    /* decode: tokens still to make */
  uint32_t answer_tokens; /* decode: where the whole answer ends by itself, counted from token 0 */
  uint32_t priority;      /* lower goes first */
  uint64_t cache_salt;
  const uint64_t *prefix_hashes;
  uint32_t n_prefix_hashes;
} FakeWork;

typedef enum
{
  FAKE_ACCEPTED,
  FAKE_REFUSED, /* no room: nothing ran */
  FAKE_LEAVING, /* takes no new work */
  FAKE_GONE,    /* the engine is dead or the KV has expired */
} FakeEngineResult;

typedef enum
{
  FAKE_PREFILLED, /* n: KV handle; bytes: its size; until_us: its expiry */
  FAKE_IMPORTED,
  FAKE_TOKEN, /* n: index of the token in the whole answer */
  FAKE_FINISHED,
  FAKE_EXPIRED, /* a prefill's KV was dropped, or an import came too late */
  FAKE_DIED,    /* the engine died; every piece of work on it is gone */
} FakeEventType;

typedef struct
{
  FakeEventType type;
  FakeWorkId id;
  uint64_t at_us;
  uint64_t n;
  uint64_t bytes;
  uint64_t until_us;
} FakeEvent;

typedef void (*FakeEventFunc) (FakeEngine *engine, const FakeEvent *event, void *data);

/* What one piece of work holds. */
typedef struct
{
  FakeWorkId id;
  uint32_t pieces;
  bool decoding;
  bool exporting; /* a prefill's KV that waits for its import */
} FakeKvEntry;

typedef bool (*FakeKvEntryFunc) (const FakeKvEntry *held, void *data);

/* What an engine has done since it was made, over all its incarnations. */
typedef struct
{
  uint64_t prefill_tokens; /* computed, without those found in the cache */
  uint64_t cached_tokens;
  uint64_t wasted_prefill_tokens; /* computed for a KV that no decode imported */
  uint64_t tokens;                /* decoded */
  uint64_t deaths;
  uint64_t refused;
  uint64_t cancelled;
  uint64_t orders_obeyed;
  uint64_t orders_refused; /* by fencing */
  uint64_t busy_us;
} FakeLedger;

FakeEngine *fake_engine_new (const FakeEngineOptions *options, uint64_t now_us);
void fake_engine_free (FakeEngine *engine);
const FakeEngineOptions *fake_engine_options (const FakeEngine *engine);

/* Starts work. Events of work that has started come from fake_engine_run. */
FakeEngineResult fake_engine_prefill (FakeEngine *engine, const FakeWork *work, uint64_t now_us);
/* Takes a slot and imports the KV of a prefill from its engine, then decodes. */
FakeEngineResult fake_engine_decode (FakeEngine *engine, const FakeWork *work, FakeEngine *source,
                                     uint64_t kv_handle, uint64_t now_us);
/* Continues a stream that was detached less than result_life_us ago, from a token already made. */
FakeEngineResult fake_engine_resume (FakeEngine *engine, const FakeWorkId *id, uint32_t from_token,
                                     uint64_t now_us);
/* The connection of a piece of work has closed: a decode stays for result_life_us for a resume,
 * then it is freed; a prefill goes on, and its KV waits out its life. */
void fake_engine_detach (FakeEngine *engine, const FakeWorkId *id, uint64_t now_us);
/* Frees work at once; returns whether any was found. Cancelling what is not there is no error. */
bool fake_engine_cancel (FakeEngine *engine, const FakeWorkId *id, uint64_t now_us);
uint32_t fake_engine_cancel_owner (FakeEngine *engine, const MfInstanceId *owner, uint64_t now_us);

/* When fake_engine_run is next due; UINT64_MAX when idle. func must not call the engine back: it
 * notes the event, and what follows from it is done after the run. */
uint64_t fake_engine_next_us (const FakeEngine *engine);
void fake_engine_run (FakeEngine *engine, uint64_t now_us, FakeEventFunc func, void *data);

/* The load report as it stood load_lag_us ago; upstream is left to the caller. */
void fake_engine_load (FakeEngine *engine, uint64_t now_us, MfLoadEvent *load);
/* Cache events numbered above after that have become visible, up to the next gap; at most max.
 * Returns how many were written; *first is the number of the first. Numbers start from 1, and
 * hashes are prefix hashes XOR the cache salt. */
uint32_t fake_engine_cache_events (const FakeEngine *engine, uint64_t now_us, uint64_t after,
                                   uint64_t *first, uint64_t *hashes, bool *stored, uint32_t max);

FakeEngineResult fake_engine_order (FakeEngine *engine, MfOrderKind kind, const char *value,
                                    uint64_t fence, uint64_t now_us);

/* Faults. */
void fake_engine_kill (FakeEngine *engine, uint64_t now_us);
void fake_engine_restart (FakeEngine *engine, uint64_t now_us);
void fake_engine_stall (FakeEngine *engine, uint64_t now_us, uint64_t until_us);
void fake_engine_stall_link (FakeEngine *engine, uint64_t now_us, uint64_t until_us);
void fake_engine_set_speed (FakeEngine *engine, uint32_t speed_percent); /* 100 is full */
void fake_engine_leave (FakeEngine *engine);
bool fake_engine_is_dead (const FakeEngine *engine);

void fake_engine_foreach_kv_entry (const FakeEngine *engine, FakeKvEntryFunc func, void *data);
const FakeLedger *fake_engine_ledger (const FakeEngine *engine);

#endif
