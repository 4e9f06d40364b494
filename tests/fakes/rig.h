#ifndef FAKE_RIG_H
#define FAKE_RIG_H

#include "engine_model.h"
#include "libmangofork/core.h"

/* A discrete-event simulation of real router cores, engine models and plain services in one process
 * and in virtual time. Each network hop is a fixed delay. */
#define RIG_CORES_MAX 8
#define RIG_ENGINES_MAX 64
#define RIG_PLAINS_MAX 8

/* An upstream of a plain service: a number of workers that serve one queue. */
typedef struct
{
  uint32_t workers;
  uint64_t serve_us; /* mean duration of one call */
  bool dead;
  uint32_t speed_percent;
  uint32_t busy;
  uint64_t n_runs; /* number of executions */
  uint64_t n_orders;
} RigPlain;

/* A request and the answer that its caller received. */
typedef struct
{
  uint32_t core;
  uint32_t service; /* 0 model, 1 reads, 2 orders */
  uint64_t digest;
  uint32_t customer; /* 0: anonymous */
  uint32_t prompt_tokens;
  uint32_t answer_tokens;
  uint32_t max_tokens; /* 0: as answer_tokens */
  uint64_t prefix_hashes[MF_PREFIX_HASHES_MAX];
  uint32_t n_prefix_hashes;
  uint64_t deadline_us; /* 0: the service's default */
  uint32_t resend_of;   /* index + 1 of the request that this one resends; 0 for none */

  uint64_t sent_us;
  uint64_t first_us; /* first token, or the end if there was none */
  uint64_t last_us;  /* last token */
  uint64_t ended_us;
  uint32_t n_tokens;
  uint32_t n_gaps;      /* between tokens */
  uint32_t n_gaps_late; /* of them, longer than the service's target */
  uint32_t n_ends;      /* complete answers and refusals; must not exceed 1 */
  uint32_t n_runs;      /* plain: number of executions */
  uint32_t n_sent;      /* plain: number of calls that reached an upstream */
  bool ran;             /* an upstream started it */
  bool departed;        /* the caller has closed the connection */
  bool corrupt;         /* received a token out of order, after the end or of another request */
  MfCode code;
  MfOutcome outcome;
  uint64_t retry_after_ms;
} RigRequest;

typedef struct Rig Rig;

typedef struct
{
  uint64_t seed;
  bool naive; /* as in MfOptions */
  uint32_t n_cores;
  uint64_t hop_us;           /* one-way delay between an instance and an upstream */
  FakeEngineOptions prefill; /* of all prefill engines; the seed differs */
  uint32_t n_prefill;
  FakeEngineOptions decode; /* of all decode engines; the seed differs */
  uint32_t n_decode;
  RigPlain plain;
  uint32_t n_plain;
  uint64_t model_deadline_us;
  uint32_t expected_tokens;
} RigOptions;

/* Fills in the options that the tests and the bench share. slots, queue, pieces and cache_pieces
 * are left 0 for the caller to set. */
void rig_engine_options (MfRole role, uint64_t seed, FakeEngineOptions *options);
Rig *rig_new (const RigOptions *options);
void rig_free (Rig *rig);
uint64_t rig_now_us (const Rig *rig);
/* Sends a copy of the request at at_us. Returns its index, which rig_request and rig_depart use. */
uint32_t rig_send (Rig *rig, const RigRequest *request, uint64_t at_us);
/* The caller of a request closes the connection at at_us. */
void rig_depart (Rig *rig, uint32_t request, uint64_t at_us);
/* Handles the next event due by until_us. Returns false if there is none; the time is then
 * until_us. */
bool rig_step (Rig *rig, uint64_t until_us);
void rig_run (Rig *rig, uint64_t until_us);
uint32_t rig_n_requests (const Rig *rig);
const RigRequest *rig_request (const Rig *rig, uint32_t index);
MfCore *rig_core (Rig *rig, uint32_t index);
/* The prefill engines come first, then the decode engines. */
FakeEngine *rig_engine (Rig *rig, uint32_t index);
RigPlain *rig_plain (Rig *rig, uint32_t index);
/* Must be called after a fault of an engine has been set; updates its calls and timers. */
void rig_update_engine (Rig *rig, uint32_t engine);
/* Pauses the engine's process: it generates nothing and answers no load request. */
void rig_pause_engine (Rig *rig, uint32_t engine, uint64_t until_us);
void rig_shutdown (Rig *rig, uint32_t core);
bool rig_has_exited (const Rig *rig, uint32_t core);
/* Number of pieces of work that hold KV, over all engines. */
uint32_t rig_n_kv_entries (Rig *rig);
/* Returns whether the caller received its complete answer, once and uncorrupted. */
bool rig_request_is_complete (const RigRequest *request);

#endif
