#ifndef FAKE_RIG_H
#define FAKE_RIG_H

#include "engine_model.h"
#include "libmangofork/core.h"

/* Real cores wired straight to engine models and plain services by one event queue in virtual
 * time. No hosts, networks or processes: a fixed delay stands for each hop. */
#define RIG_CORES_MAX 8
#define RIG_ENGINES_MAX 64
#define RIG_PLAINS_MAX 8

/* A stand-in for a plain service: some workers before one queue. */
typedef struct
{
  uint32_t workers;
  uint64_t serve_us; /* mean time of one call */
  bool dead;
  uint32_t speed_percent;
  uint32_t busy;
  uint64_t n_runs;
  uint64_t n_orders;
} RigPlain;

/* One request and what its caller saw. */
typedef struct
{
  uint32_t core;
  uint32_t service; /* 0 model, 1 reads, 2 orders */
  uint64_t digest;
  uint32_t customer;
  uint32_t prompt_tokens;
  uint32_t answer_tokens;
  uint32_t max_tokens; /* 0: answer_tokens */
  uint64_t prefix_hashes[MF_PREFIX_HASHES_MAX];
  uint32_t n_prefix_hashes;
  uint64_t deadline_us; /* 0: the service's own */
  uint32_t resend_of;   /* index + 1 of the request that this one repeats; 0 for none */

  uint64_t sent_us;
  uint64_t first_us;
  uint64_t last_us;
  uint64_t ended_us;
  uint32_t n_tokens;
  uint32_t n_gaps;
  uint32_t n_gaps_late;
  uint32_t n_ends; /* answers and refusals; more than 1 is a broken promise */
  uint32_t n_runs; /* plain: times it ran */
  uint32_t n_sent; /* plain: times it reached an upstream */
  bool ran;        /* any upstream began it */
  bool departed;
  bool corrupt; /* a token out of order or of another request */
  MfCode code;
  MfOutcome outcome;
  uint64_t retry_after_ms;
} RigRequest;

typedef struct Rig Rig;

typedef struct
{
  uint64_t seed;
  bool naive;
  uint32_t n_cores;
  uint64_t hop_us; /* between an instance and an upstream, one way */
  FakeEngineOptions prefill;
  uint32_t n_prefill;
  FakeEngineOptions decode;
  uint32_t n_decode;
  RigPlain plain;
  uint32_t n_plain;
  uint64_t model_deadline_us;
  uint32_t expected_tokens;
} RigOptions;

/* An engine without slots, queue, pieces and cache, which are the caller's to set. */
void rig_engine_options (MfRole role, uint64_t seed, FakeEngineOptions *options);
Rig *rig_new (const RigOptions *options);
void rig_free (Rig *rig);
uint64_t rig_now_us (const Rig *rig);
/* Sends a copy of the request at that time; returns its index. */
uint32_t rig_send (Rig *rig, const RigRequest *request, uint64_t at_us);
void rig_depart (Rig *rig, uint32_t request, uint64_t at_us);
/* Runs until that time, or until one event has been handled. Returns false when it is reached. */
bool rig_step (Rig *rig, uint64_t until_us);
void rig_run (Rig *rig, uint64_t until_us);
uint32_t rig_n_requests (const Rig *rig);
const RigRequest *rig_request (const Rig *rig, uint32_t index);
MfCore *rig_core (Rig *rig, uint32_t index);
/* Prefill engines come first, then decode engines. */
FakeEngine *rig_engine (Rig *rig, uint32_t index);
RigPlain *rig_plain (Rig *rig, uint32_t index);
/* An engine's fault has just been set: its calls and its timers are looked at. */
void rig_update_engine (Rig *rig, uint32_t engine);
/* The engine's process stands still: it answers no poll either. */
void rig_pause_engine (Rig *rig, uint32_t engine, uint64_t until_us);
void rig_shutdown (Rig *rig, uint32_t core);
bool rig_has_exited (const Rig *rig, uint32_t core);
/* KV held at all engines, in works. */
uint32_t rig_n_kv_entries (Rig *rig);
/* Whether the caller got its whole answer. */
bool rig_request_is_complete (const RigRequest *request);

#endif
