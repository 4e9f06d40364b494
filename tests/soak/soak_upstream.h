#ifndef SOAK_UPSTREAM_H
#define SOAK_UPSTREAM_H

#include "libmangofork/types.h"

#include <ev.h>

/* The upstreams of the relay's soak: plain services and engines with a ledger of what has run. */
typedef struct SoakUpstream SoakUpstream;
typedef struct SoakLedger SoakLedger;

/* Events of a whole stream. */
#define SOAK_EVENTS 8

/* What an upstream does with the requests that come. */
typedef enum
{
  SOAK_GOOD,
  SOAK_SLOW,
  SOAK_DECLINES,
  SOAK_FAILS,
  SOAK_RESETS,  /* after it has run the request */
  SOAK_MUTE,    /* after it has run the request */
  SOAK_DOUBLES, /* answers twice */
  SOAK_MOOD_COUNT,
  SOAK_DARK, /* gives no sign of life; not one of those that are drawn */
} SoakMood;

SoakLedger *soak_ledger_new (void);
void soak_ledger_free (SoakLedger *ledger);
/* How often a request has run. */
uint32_t soak_ledger_runs (const SoakLedger *ledger, const char *id);
/* Requests that ran although another upstream was meant, or with what only a router may set. */
uint32_t soak_ledger_n_wrong (const SoakLedger *ledger);

SoakUpstream *soak_upstream_new (struct ev_loop *loop, SoakLedger *ledger, MfRole role,
                                 const char *id, uint64_t seed);
void soak_upstream_free (SoakUpstream *upstream);
const char *soak_upstream_address (const SoakUpstream *upstream);
/* It was started anew under this id: what it ran before is lost, and it runs nothing meant for
 * another. */
void soak_upstream_restart (SoakUpstream *upstream, const char *id);
void soak_upstream_mood (SoakUpstream *upstream, SoakMood mood);
/* Runs that go on now. */
uint32_t soak_upstream_n_active (const SoakUpstream *upstream);
uint64_t soak_upstream_last_arrival_us (const SoakUpstream *upstream);

/* A request whose body begins with this ends each upstream that begins to run it. What follows
 * names the request. */
#define SOAK_CRASH "crash"
/* Such requests are told apart by one digit after the word. */
#define SOAK_CRASHERS_MAX 8

/* The upstream has ended under a request, and listens no more; or it is back, and still has to be
 * told its new id by soak_upstream_restart. */
typedef void (*SoakDownFunc) (void *data, SoakUpstream *upstream, bool down);

/* After a crash it is back so many seconds later; 0: such requests are treated as any other. */
void soak_upstream_crashes (SoakUpstream *upstream, double down_s, SoakDownFunc func, void *data);
/* What a request has done to all upstreams of a ledger. */
typedef struct
{
  uint32_t n_arrivals; /* prompts that were read included */
  uint32_t n_crashes;
  uint64_t third_us; /* when it crashed the third */
  uint32_t n_late;   /* arrivals later than the grace of the ledger after that */
} SoakCrasher;

SoakCrasher soak_ledger_crasher (const SoakLedger *ledger, uint32_t crasher);
void soak_ledger_set_grace (SoakLedger *ledger, uint64_t grace_us);

#endif
