#ifndef FAKE_CORES_H
#define FAKE_CORES_H

#include "libmangofork/core.h"

/* Runs several router cores in one process on a virtual clock and simulates the links between them
 * and the platform. Every message is encoded and decoded. The instances are named "n0", "n1", ...
 */
typedef struct FakeCores FakeCores;

typedef void (*FakeCallFunc) (FakeCores *cores, uint32_t instance, const MfCallAction *call,
                              void *data);

typedef void (*FakeAnswerFunc) (FakeCores *cores, uint32_t instance, const MfAction *action,
                                void *data);

typedef struct
{
  uint32_t n_instances;
  uint32_t n_data_centres;
  uint32_t links_max; /* 0: default of MfOptions */
  uint64_t delay_us;  /* one-way delay between instances and to the platform */
  uint64_t seed;
  FakeCallFunc on_call;     /* calls to upstreams; may be NULL */
  FakeAnswerFunc on_answer; /* answers of plain services and refusals; may be NULL */
  void *data;
} FakeCoresOptions;

/* How the platform answers one instance. */
typedef enum
{
  FAKE_PLATFORM_UP,
  FAKE_PLATFORM_DOWN,
  FAKE_PLATFORM_STALE, /* serves the first published text only */
} FakePlatformState;

FakeCores *fake_cores_new (const FakeCoresOptions *options);
void fake_cores_free (FakeCores *cores);
/* Starts an instance with a new incarnation and ends the running one, if any. */
void fake_cores_start (FakeCores *cores, uint32_t instance);
/* Ends an instance. With silent, its links stay open but carry nothing, as after a power failure.
 */
void fake_cores_kill (FakeCores *cores, uint32_t instance, bool silent);
void fake_cores_pause (FakeCores *cores, uint32_t instance, uint64_t for_us);
/* Drops or passes all messages in one direction between two instances. */
void fake_cores_set_link_cut (FakeCores *cores, uint32_t from, uint32_t to, bool cut);
void fake_cores_set_platform (FakeCores *cores, uint32_t instance, FakePlatformState platform);
/* Publishes a revision of the operators' text. */
void fake_cores_publish (FakeCores *cores, uint64_t revision, const char *text);
void fake_cores_handle_event (FakeCores *cores, uint32_t instance, MfEvent *event);
void fake_cores_run (FakeCores *cores, uint64_t for_us);

/* Returns NULL when the instance is not running. */
MfCore *fake_cores_core (FakeCores *cores, uint32_t instance);
uint64_t fake_cores_now_us (const FakeCores *cores);
uint64_t fake_cores_bytes_sent (const FakeCores *cores, uint32_t instance);
uint64_t fake_cores_n_platform_calls (const FakeCores *cores);
uint64_t fake_cores_n_messages_sent (const FakeCores *cores, uint32_t instance);
/* Time spent in the steps of instance 0 and in decoding its messages, for benches. */
uint64_t fake_cores_busy_ns (const FakeCores *cores);

#endif
