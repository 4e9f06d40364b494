#ifndef MF_RELAY_SHUTDOWN_H
#define MF_RELAY_SHUTDOWN_H

#include "libmangofork/types.h"

/* A planned stop of this process, from SIGTERM to the end of the grace period. */
typedef struct
{
  uint64_t started_us; /* 0: the process is not stopping */
  uint64_t grace_us;   /* from SIGTERM to SIGKILL */
} MfShutdown;

/* What is known of a request that is to be sent to an upstream. */
typedef struct
{
  uint64_t deadline_us; /* it has its final answer by then */
  uint64_t answer_us;   /* time that must be left for a complete answer; 0: not known */
  bool is_stream;
  bool is_accepted; /* it was admitted before and has a further step */
} MfShutdownRequest;

uint64_t mf_shutdown_exit_by_us (const MfShutdown *shutdown);
bool mf_shutdown_admits (const MfShutdown *shutdown, const MfShutdownRequest *request,
                         uint64_t now_us);

#endif
