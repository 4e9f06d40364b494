#ifndef MF_RELAY_ORIGIN_H
#define MF_RELAY_ORIGIN_H

#include "libmangofork/types.h"

/* Which software version began each of the latest streams. */
typedef struct MfOrigins MfOrigins;

/* What is known of the version that began a stream. */
typedef enum
{
  MF_ORIGIN_UNKNOWN,
  MF_ORIGIN_KNOWN,
  MF_ORIGIN_AMBIGUOUS, /* two versions have begun streams of this name */
} MfOriginState;

MfOrigins *mf_origins_new (void);
void mf_origins_free (MfOrigins *origins);
void mf_origins_note (MfOrigins *origins, uint64_t stream, uint64_t version);
MfOriginState mf_origins_find (const MfOrigins *origins, uint64_t stream, uint64_t *version);

#endif
