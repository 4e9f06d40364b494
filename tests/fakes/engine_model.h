#ifndef FAKE_ENGINE_MODEL_H
#define FAKE_ENGINE_MODEL_H

#include "libmangofork/action.h"

/* Simulates one model engine: continuous batching, KV memory allocated in pieces, a prefix cache,
 * KV transfer over a link of limited bandwidth, and injected faults. It does no I/O and reads no
 * clock: engine_http.c serves it over HTTP in real time, and rig.c runs it in virtual time. */
typedef struct FakeEngine FakeEngine;

typedef struct
{
  char name[MF_NAME_BYTES];
  MfRole role;
  uint32_t slots;  /* most streams that decode at once; slots_total of load reports */
  uint32_t queue;  /* most prefills that wait; a decode engine refuses when its slots are full */
  uint32_t pieces; /* KV memory, in pieces of MF_PIECE_TOKENS tokens */
  uint32_t cache_pieces; /* capacity of the prefix cache, in entries of one piece each */
  uint64_t prefill_tokens_per_s;
  uint64_t prefill_base_us; /* fixed part of a prefill's duration */
  uint64_t step_us;         /* duration of a decode step without its streams */
  uint64_t step_stream_us;  /* added to a decode step for each stream in it */
  uint64_t kv_token_bytes;
  uint64_t link_bytes_per_s; /* exports use the link one after another, in order of request */
  uint64_t result_life_us;   /* time to live of a prefill's KV and of a detached stream */
  uint64_t load_lag_us;      /* age of load reports */
  uint64_t cache_lag_us;     /* delay of cache events */
  uint32_t cache_gap_ppm;    /* share of cache events that are lost */
  bool checks_fencing;
  uint64_t load_model_us; /* duration of loading a model, adapter or version */
  uint64_t poison_digest; /* the engine crashes when it runs this request; 0 for none */
  uint64_t seed;
} FakeEngineOptions;

/* Identifies one attempt at a request and the instance that sent it. */
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
  uint32_t from_token;    /* answer tokens generated earlier; they count as prompt tokens */
  uint32_t max_tokens;    /* decode: most tokens to generate */
  uint32_t answer_tokens; /* decode: length of the complete answer, including from_token */
  uint32_t priority;      /* lower values are prefilled first */
  uint64_t cache_salt;
  const uint64_t *prefix_hashes;
  uint32_t n_prefix_hashes;
} FakeWork;

typedef enum
{
  FAKE_ACCEPTED,
  FAKE_REFUSED, /* no capacity, wrong role, loading, or an old fence: nothing ran */
  FAKE_LEAVING, /* the engine accepts no new work */
  FAKE_GONE,    /* the engine has crashed, or the KV or stream no longer exists */
} FakeEngineResult;

typedef enum
{
  FAKE_PREFILLED, /* n: KV handle; bytes: size of the KV; until_us: when it expires */
  FAKE_IMPORTED,
  FAKE_TOKEN, /* n: index of the token in the complete answer */
  FAKE_FINISHED,
  FAKE_EXPIRED, /* KV was freed before its import, or a detached stream before its resume */
  FAKE_DIED,    /* the engine crashed and lost all its work */
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

/* KV memory that one piece of work occupies. */
typedef struct
{
  FakeWorkId id;
  uint32_t pieces;
  bool decoding;
  bool exporting; /* KV of a finished prefill that waits for its import */
} FakeKvEntry;

typedef bool (*FakeKvEntryFunc) (const FakeKvEntry *held, void *data);

/* Totals since the engine was created, over all its incarnations. */
typedef struct
{
  uint64_t prefill_tokens; /* computed; cached tokens are not included */
  uint64_t cached_tokens;
  uint64_t wasted_prefill_tokens; /* computed, but their KV was never imported */
  uint64_t tokens;                /* decoded */
  uint64_t deaths;
  uint64_t refused;
  uint64_t cancelled;
  uint64_t orders_obeyed;
  uint64_t orders_refused; /* for a fence lower than the highest seen */
  uint64_t busy_us;
} FakeLedger;

FakeEngine *fake_engine_new (const FakeEngineOptions *options, uint64_t now_us);
void fake_engine_free (FakeEngine *engine);
const FakeEngineOptions *fake_engine_options (const FakeEngine *engine);

/* Queues a prefill. Its events are reported by fake_engine_run. */
FakeEngineResult fake_engine_prefill (FakeEngine *engine, const FakeWork *work, uint64_t now_us);
/* Acquires a slot, imports the KV of a prefill from the engine source, then decodes. */
FakeEngineResult fake_engine_decode (FakeEngine *engine, const FakeWork *work, FakeEngine *source,
                                     uint64_t kv_handle, uint64_t now_us);
/* Resumes a stream that was detached less than result_life_us ago. from_token must not be after the
 * next token to generate. */
FakeEngineResult fake_engine_resume (FakeEngine *engine, const FakeWorkId *id, uint32_t from_token,
                                     uint64_t now_us);
/* The connection of a piece of work has closed: a decode is suspended and freed after
 * result_life_us unless it is resumed; a prefill continues, and its KV expires as usual. */
void fake_engine_detach (FakeEngine *engine, const FakeWorkId *id, uint64_t now_us);
/* Frees work at once. Returns whether it existed; cancelling unknown work has no effect. */
bool fake_engine_cancel (FakeEngine *engine, const FakeWorkId *id, uint64_t now_us);
uint32_t fake_engine_cancel_owner (FakeEngine *engine, const MfInstanceId *owner, uint64_t now_us);

/* When fake_engine_run must next be called; UINT64_MAX when idle. */
uint64_t fake_engine_next_us (const FakeEngine *engine);
/* Processes everything due by now_us. func must not call the engine's functions: it records the
 * event, and the caller acts on it after the run. */
void fake_engine_run (FakeEngine *engine, uint64_t now_us, FakeEventFunc func, void *data);

/* Fills in the load report of load_lag_us ago, except for its member upstream. */
void fake_engine_load (FakeEngine *engine, uint64_t now_us, MfLoadEvent *load);
/* Copies at most max visible cache events with numbers above after, up to the next missing number.
 * Returns how many were copied; *first is the number of the first. Numbers start from 1. A hash is
 * the prefix hash XOR the cache salt. */
uint32_t fake_engine_cache_events (const FakeEngine *engine, uint64_t now_us, uint64_t after,
                                   uint64_t *first, uint64_t *hashes, bool *stored, uint32_t max);

/* Loads a model, adapter or version, or changes the role, and drops all work. An engine that checks
 * fencing refuses a fence lower than the highest it has seen. */
FakeEngineResult fake_engine_order (FakeEngine *engine, MfOrderKind kind, const char *value,
                                    uint64_t fence, uint64_t now_us);

/* Injected faults. A crash drops all work; a stall delays it. */
void fake_engine_kill (FakeEngine *engine, uint64_t now_us);
void fake_engine_restart (FakeEngine *engine, uint64_t now_us);
void fake_engine_stall (FakeEngine *engine, uint64_t now_us, uint64_t until_us);
void fake_engine_stall_link (FakeEngine *engine, uint64_t now_us, uint64_t until_us);
void fake_engine_set_speed (FakeEngine *engine, uint32_t speed_percent); /* 100 is full speed */
void fake_engine_leave (FakeEngine *engine);
bool fake_engine_is_dead (const FakeEngine *engine);

/* Calls func for each piece of work until it returns false. */
void fake_engine_foreach_kv_entry (const FakeEngine *engine, FakeKvEntryFunc func, void *data);
const FakeLedger *fake_engine_ledger (const FakeEngine *engine);

#endif
