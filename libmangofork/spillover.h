#ifndef MF_SPILLOVER_H
#define MF_SPILLOVER_H

#include "types.h"

/* Decides when a request should leave its data centre for an upstream in another one, and what
 * share of the requests. It answers the load of a data centre with too few or too slow upstreams
 * for a service while another has free ones, at fleets of a few to hundreds of instances that do
 * not know each other's plain requests: without a share that moves gradually, all of them would
 * leave and return together. */
typedef struct MfSpillover MfSpillover;

/* Services and roles with a state of their own; further ones never leave. */
#define MF_SPILLOVER_ROWS_MAX 64
/* Data centres known per service and role, this one included. */
#define MF_SPILLOVER_CENTRES_MAX 8
/* Default price of bytes. A plain request of 1 KB with an answer of 1 KB must gain 4 ms. */
#define MF_SPILLOVER_US_PER_KB_DEFAULT 2000.

/* Why a request was sent to an upstream of its own data centre or of another one. */
typedef enum
{
  MF_SPILLOVER_STAYED,
  MF_SPILLOVER_QUEUEING, /* upstreams here have queues */
  MF_SPILLOVER_SLOWER,   /* upstreams here are slower even without queues */
  MF_SPILLOVER_UNUSABLE, /* no upstream here was usable */
  MF_SPILLOVER_N_REASONS,
} MfSpilloverReason;

/* What is known of the upstreams of a service and role in one data centre. */
typedef struct
{
  const char *service;
  MfRole role;
  const char *data_centre;
  bool is_here;
  uint32_t n_usable;     /* upstreams that take requests */
  double time_us;        /* expected time of a request there: queueing, service and network */
  double silent_us;      /* longest time that running requests there have had no sign of life */
  uint64_t time_seen_us; /* when that time was last observed; 0: never */
} MfSpilloverNote;

/* A request that may be sent to an upstream in another data centre. */
typedef struct
{
  const char *service;
  MfRole role;
  const char *data_centre;  /* of the upstream */
  uint64_t request_bytes;   /* 0: unknown, the average counts */
  uint64_t kv_moved_tokens; /* KV that has to cross between data centres; 0: none */
  bool is_central;          /* one instance decides for all: no share is needed */
  uint32_t
      draw; /* uniform random number; decides whether the request is in the share that leaves */
} MfSpilloverQuery;

/* State of a service and role, for operators. */
typedef struct
{
  const char *service;
  MfRole role;
  double share;        /* of the requests that may leave, 0 to 1 */
  double share_before; /* at the last report of a change */
  double here_us;      /* expected time here */
  double there_us;     /* the least expected time elsewhere; 0: none is known */
  double crossing_us;  /* network, bytes and KV on the way there */
  const char *there;   /* that data centre; "": none */
  uint64_t there_age_us;
  MfSpilloverReason reason; /* for leaving, unless nothing is usable here */
  uint64_t counts[MF_SPILLOVER_N_REASONS];
  uint64_t left_bytes; /* estimated bytes of the requests that left, with answers and KV */
} MfSpilloverInfo;

typedef void (*MfSpilloverFunc) (void *data, const MfSpilloverInfo *info);

MfSpillover *mf_spillover_new (double us_per_kb, uint32_t seed);
void mf_spillover_free (MfSpillover *spillover);
void mf_spillover_note (MfSpillover *spillover, const MfSpilloverNote *note, uint64_t now_us);
void mf_spillover_note_send (MfSpillover *spillover, const MfSpilloverQuery *query,
                             MfSpilloverReason reason, uint64_t now_us);
void mf_spillover_note_answer (MfSpillover *spillover, const char *service, MfRole role,
                               uint64_t answer_bytes);
uint64_t mf_spillover_tokens (const MfSpillover *spillover, const char *service, MfRole role);
void mf_spillover_note_tokens (MfSpillover *spillover, const char *service, MfRole role,
                               uint64_t tokens);
void mf_spillover_update (MfSpillover *spillover, uint64_t now_us, MfSpilloverFunc changed,
                          void *data);
double mf_spillover_cost_us (const MfSpillover *spillover, const MfSpilloverQuery *query,
                             uint64_t now_us);
double mf_spillover_kv_us (const MfSpillover *spillover, uint64_t kv_tokens);
MfSpilloverReason mf_spillover_reason (const MfSpillover *spillover, const char *service,
                                       MfRole role);
const char *mf_spillover_reason_name (MfSpilloverReason reason);
double mf_spillover_share (const MfSpillover *spillover, const char *service, MfRole role);
void mf_spillover_foreach (const MfSpillover *spillover, uint64_t now_us, MfSpilloverFunc func,
                           void *data);

#endif
