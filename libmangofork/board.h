#ifndef MF_BOARD_H
#define MF_BOARD_H

#include "burn.h"
#include "counter.h"
#include "service.h"
#include "trace.h"
#include "upstream.h"

typedef struct MfPolls MfPolls;             /* upstream.c */
typedef struct MfHealthState MfHealthState; /* health.c */
typedef struct MfRequests MfRequests;       /* request.c */
typedef struct MfQueue MfQueue;             /* queue.c */
typedef struct MfCancels MfCancels;         /* cancel.c */
typedef struct MfDrain MfDrain;             /* drain.c */
typedef struct MfSuspects MfSuspects;       /* suspect.c */
typedef struct MfCaches MfCaches;           /* prefix.c */
typedef struct MfMembers MfMembers;         /* member.c */
typedef struct MfClaims MfClaims;           /* claim.c */
typedef struct MfConfsync MfConfsync;       /* confsync.c */
typedef struct MfGossipLog MfGossipLog;     /* gossip.c */
typedef struct MfDigests MfDigests;         /* digest.c */
typedef struct MfShares MfShares;           /* share.c */
typedef struct MfOrders MfOrders;           /* order.c */
typedef struct MfSeries MfSeries;           /* series.c */

/* The placement and retry policy: the router's, or the naive one that tests and benchmarks compare
 * it with. */
typedef struct MfPolicy MfPolicy; /* policy.h */

/* The settings of the process that the core uses. Times and counts have defaults in
 * mf_core_options. */
typedef struct
{
  MfInstanceId self;
  char address[MF_ADDRESS_BYTES]; /* of the own peer port */
  char data_centre[MF_NAME_BYTES];
  uint64_t seed;
  uint32_t requests_max;   /* in progress at once */
  uint64_t drain_grace_us; /* work is still accepted this long after a shutdown begins */
  uint64_t drain_limit_us; /* then the process exits even if requests are in progress */
  uint64_t digest_period_us;
  uint32_t digest_bytes_max;
  uint32_t links_max; /* peers that heartbeats are sent to */
  uint64_t load_period_us;
  uint64_t platform_period_us;
  uint64_t cold_start_us; /* before a majority of newly started voters may vote */
  bool naive;
} MfOptions;

/* The source of the configuration in force, and what became of the last one that was refused.
 * Written by confsync.c. */
typedef struct
{
  uint64_t accepted_us;
  char source[MF_NAME_BYTES]; /* "platform" or "peer" */
  uint64_t refused_revision;  /* 0 for none */
  uint64_t refused_us;
  MfError refused_fault;         /* the first of its faults */
  uint64_t platform_answered_us; /* last answer of the platform; 0 for never */
  uint64_t platform_failed_us;   /* last read of the platform that failed; 0 for never */
} MfConfigState;

/* The blackboard: the complete state of this instance. Controllers may read any part of it, and
 * write only their own. */
typedef struct
{
  uint64_t now_us;
  uint64_t wall_ms;
  uint64_t process_pause_end_us; /* end of the last pause of this process; 0 for none */
  MfOptions options;
  MfConfig *config; /* in force; NULL until one was accepted */
  MfConfigState config_state;
  MfUpstream *upstreams;
  uint32_t n_upstreams;
  uint32_t *upstream_index; /* hash table by name_hash; upstream_index.c */
  uint32_t upstream_index_mask;
  MfServices services;
  bool draining; /* no new work is accepted */
  bool ready;
  bool voter_admitted; /* as a voter for idempotency keys; voter.c */
  uint64_t list_index;
  MfCounters counters;
  MfTrace *trace;
  MfBurn *burn;
  MfPolls *polls;
  MfHealthState *health;
  MfRequests *requests;
  MfQueue *queue;
  MfCancels *cancels;
  MfDrain *drain;
  MfSuspects *suspects;
  MfCaches *caches;
  MfMembers *members;
  MfClaims *claims;
  MfConfsync *confsync;
  MfGossipLog *gossip_log;
  MfDigests *digests;
  MfShares *shares;
  MfOrders *orders;
  MfSeries *series;
} MfBoard;

#endif
