#ifndef MF_RELAY_HELD_H
#define MF_RELAY_HELD_H

#include "target.h"

/* Which parts of prompts the decode engines of each version hold in their KV memory. An engine that
 * has begun a stream holds the stream's whole prompt, also when no instance is left that knows of
 * the stream. */
typedef struct MfHeldParts MfHeldParts;

/* What is known of the engines that hold a part. */
typedef enum
{
  MF_HELD_NOWHERE,
  MF_HELD_AT_ONE_VERSION,
  MF_HELD_AT_SEVERAL,
} MfHeldState;

typedef struct
{
  /* All engines of a service that were asked have answered, or their time is over. */
  void (*answered) (void *data, const char *service);
} MfHeldCallbacks;

MfHeldParts *mf_held_parts_new (MfTargets *targets, const MfHeldCallbacks *callbacks, void *data);
void mf_held_parts_free (MfHeldParts *held);
bool mf_held_parts_ask (MfHeldParts *held, const char *service, bool with_changes);
bool mf_held_parts_are_current (const MfHeldParts *held, const char *service);
MfHeldState mf_held_parts_find (const MfHeldParts *held, const char *service, uint64_t part,
                                uint64_t tokens, uint64_t *version);

#endif
