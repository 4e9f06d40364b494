#ifndef MF_RELAY_VERSION_H
#define MF_RELAY_VERSION_H

#include "libmangofork/types.h"

/* Versions that are not in use any more and are kept. */
#define MF_VERSION_USES_MAX 64
/* Instances stop to use an upstream within this time after this one has. */
#define MF_VERSION_LAG_US (3 * MF_US_PER_S)

/* A software version of a service, and until when streams may have begun there. */
typedef struct
{
  uint64_t service;
  uint64_t version;
  uint64_t last_us;
} MfVersionUse;

/* Which software versions of each service were in use lately, besides those that are now. */
typedef struct
{
  MfVersionUse uses[MF_VERSION_USES_MAX];
  uint32_t n_uses;
  uint64_t complete_since_us; /* all that were in use since then are known; UINT64_MAX: none are */
} MfVersionLog;

void mf_version_log_init (MfVersionLog *log);
void mf_version_log_note (MfVersionLog *log, uint64_t service, uint64_t version, uint64_t now_us);
bool mf_version_log_is_complete (const MfVersionLog *log, uint64_t since_us);
bool mf_version_log_has_other (const MfVersionLog *log, uint64_t service, uint64_t version,
                               uint64_t since_us);

#endif
