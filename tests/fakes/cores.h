#ifndef FAKE_CORES_H
#define FAKE_CORES_H

#include "libmangofork/core.h"

/* Several cores in one process under one virtual clock, with the links between them and the
 * platform's reads; every message goes through the frame codec. Slots are named "n0", "n1", ... */
typedef struct FakeCores FakeCores;

typedef void (*FakeCallFunc) (FakeCores *cores, uint32_t instance, const MfCallAction *call,
                              void *data);

typedef void (*FakeAnswerFunc) (FakeCores *cores, uint32_t instance, const MfAction *action,
                                void *data);

typedef struct
{
  uint32_t n_instances;
  uint32_t n_data_centres;
  uint32_t links_max; /* 0 for the default */
  uint64_t delay_us;  /* one way, between instances and to the platform */
  uint64_t seed;
  FakeCallFunc on_call;     /* calls to upstreams; may be NULL */
  FakeAnswerFunc on_answer; /* whole answers and refusals; may be NULL */
  void *data;
} FakeCoresOptions;

/* What the platform answers to one slot. */
typedef enum
{
  FAKE_PLATFORM_UP,
  FAKE_PLATFORM_DOWN,
  FAKE_PLATFORM_STALE, /* the first text that was published, for ever */
} FakePlatformState;

FakeCores *fake_cores_new (const FakeCoresOptions *options);
void fake_cores_free (FakeCores *cores);
/* Starts a slot with a new incarnation, ending the one that runs. */
void fake_cores_start (FakeCores *cores, uint32_t instance);
/* Ends a slot; when silent its links stay up and say nothing, as when the machine loses power. */
void fake_cores_kill (FakeCores *cores, uint32_t instance, bool silent);
void fake_cores_pause (FakeCores *cores, uint32_t instance, uint64_t for_us);
/* Drops everything that goes one way from a slot to another. */
void fake_cores_set_link_cut (FakeCores *cores, uint32_t from, uint32_t to, bool cut);
void fake_cores_set_platform (FakeCores *cores, uint32_t instance, FakePlatformState platform);
void fake_cores_publish (FakeCores *cores, uint64_t revision, const char *text);
void fake_cores_handle_event (FakeCores *cores, uint32_t instance, MfEvent *event);
void fake_cores_run (FakeCores *cores, uint64_t for_us);

MfCore *fake_cores_core (FakeCores *cores, uint32_t instance); /* NULL when it is not running */
uint64_t fake_cores_now_us (const FakeCores *cores);
uint64_t fake_cores_bytes_sent (const FakeCores *cores, uint32_t instance);
uint64_t fake_cores_n_platform_calls (const FakeCores *cores);
uint64_t fake_cores_n_messages_sent (const FakeCores *cores, uint32_t instance);
/* Time that slot 0's steps and its codec took, for benches. */
uint64_t fake_cores_busy_ns (const FakeCores *cores);

#endif
