#ifndef MF_RELAY_TARGET_H
#define MF_RELAY_TARGET_H

#include "line.h"
#include "link.h"

/* Bytes of an upstream's id, its closing NUL included. */
#define MF_TARGET_ID_BYTES 64

/* What discovery says of one upstream process. */
typedef struct
{
  char id[MF_TARGET_ID_BYTES];
  char service[MF_NAME_BYTES];
  char address[MF_ADDRESS_BYTES];
  char data_centre[MF_NAME_BYTES];
  MfRole role;
  bool leaving;
  uint32_t slots;
  uint64_t started_ms; /* wall clock of its start; 0 when not told */
} MfTargetInfo;

typedef struct MfTarget MfTarget;
typedef struct MfTargets MfTargets;

/* What is told of upstreams. */
typedef struct
{
  /* The process has ended: nothing listens at its address, or another process does. It may be told
   * several times. */
  void (*ended) (void *data, MfTarget *target, const char *why);
  /* Discovery names a process for the first time, and none at its address that is newer. */
  void (*added) (void *data, MfTarget *target);
  /* mf_target_look has found out what it could. */
  void (*probed) (void *data, MfTarget *target);
} MfTargetsCallbacks;

/* One upstream process, and what this instance has seen of it. */
struct MfTarget
{
  MfTargets *targets;
  MfTargetInfo info;
  MfLinkPool pool;
  MfTarget *next;
  bool listed;            /* discovery names it */
  uint64_t unlisted_us;   /* when it ceased to be listed while discovery was away; 0: it did not */
  uint32_t n_active;      /* requests of this instance there */
  uint64_t active_tokens; /* their engine memory when they end */
  uint32_t n_suspects;    /* of these, requests under which another upstream has ended */
  uint32_t n_reserved;    /* requests of this instance that are about to come */
  uint64_t reserved_tokens;
  uint32_t n_remote; /* requests of other instances, as these have told */
  uint64_t remote_tokens;
  double remote_failure_share;    /* the worst that another instance has seen */
  uint32_t n_remote_unreachable;  /* other instances that could not reach it */
  uint32_t n_remote_replaced;     /* other instances that met another process in its place */
  uint32_t n_remote_answering;    /* other instances that it answers */
  uint64_t remote_avoid_until_us; /* when the last that avoids it uses it again */
  uint64_t id_hash;               /* under which instances name it to each other */
  uint64_t silent_since_us;       /* with requests there: the last sign of life */
  uint64_t alive_us;              /* the last sign of life; 0: none since a connection broke */
  double answer_us;               /* moving average of answers; 0: none yet */
  double us_per_token;            /* of prompts, queueing included; 0: none yet */
  uint64_t answered_us;           /* when these were last renewed */
  double failure_share;           /* moving average, 0 to 1 */
  uint64_t failed_us;             /* when it was last renewed */
  uint32_t n_failures;            /* in a row, to reach it or to get an answer */
  uint64_t suspect_until_us;
  bool replaced;            /* why it is suspect: another process answers in its place */
  uint64_t full_until_us;   /* it refused for want of room */
  uint32_t n_declined;      /* requests in a row that it refused with nothing there */
  bool announced_leaving;   /* its answers say that it is about to stop */
  uint64_t paused_until_us; /* it asked this instance for no requests until then */
  MfRole stage_ordered;     /* what it was ordered to become */
  uint64_t stage_until_us;  /* until then it takes nothing, as it changes; 0: no order */
  MfLink *probe;            /* a connection that shows whether it is there; NULL: none */
  uint64_t ended_us;        /* when it was last found to have ended; 0: it was not */
  uint32_t n_orders_failed; /* that it has refused, or that changed nothing */
  uint32_t n_refs;
};

/* A process that has said that it is about to stop. */
typedef struct
{
  uint64_t id_hash;
  uint64_t started_ms;
} MfDeparture;

/* Departures remembered; a process stops within seconds of its notice, and a replaced pool is
 * smaller than this. */
#define MF_TARGETS_DEPARTURES_MAX 512

/* All upstreams known, in one list, in no order. */
struct MfTargets
{
  MfRelayLog *log; /* NULL: nothing is logged */
  struct ev_loop *loop;
  const MfDialect *dialect;
  const MfTargetsCallbacks *callbacks; /* NULL: nobody is told */
  void *user_data;
  char data_centre[MF_NAME_BYTES];
  MfTarget *first;
  uint32_t n_targets;
  uint64_t unacked_timeout_us;
  MfDeparture departures[MF_TARGETS_DEPARTURES_MAX]; /* the oldest is overwritten */
  uint32_t n_departures;                             /* ever noted */
};

bool mf_targets_update (MfTargets *targets, const MfTargetInfo *info);
bool mf_targets_remove (MfTargets *targets, const char *id, bool at_once, uint64_t now_us);
uint32_t mf_targets_expire (MfTargets *targets, uint64_t before_us);
MfTarget *mf_targets_find (const MfTargets *targets, const char *id);
MfTarget *mf_targets_by_hash (const MfTargets *targets, uint64_t hash);
void mf_targets_begin_list (MfTargets *targets);
void mf_targets_clear (MfTargets *targets);

MfTarget *mf_target_ref (MfTarget *target);
uint64_t mf_target_process_id (const MfTarget *target);
void mf_target_probe (MfTarget *target);
void mf_target_unref (MfTarget *target);

void mf_target_begin_request (MfTarget *target, uint64_t tokens, uint64_t now_us);
void mf_target_end_request (MfTarget *target, uint64_t tokens);
void mf_target_add_tokens (MfTarget *target, uint64_t tokens);
void mf_target_reserve (MfTarget *target, uint64_t tokens);
void mf_target_unreserve (MfTarget *target, uint64_t tokens);
uint32_t mf_target_load (const MfTarget *target);
uint64_t mf_target_load_tokens (const MfTarget *target);
bool mf_target_is_leaving (const MfTarget *target);
bool mf_target_accepts (const MfTarget *target, uint64_t now_us);
bool mf_target_is_suspect (const MfTarget *target, uint64_t now_us);
void mf_target_record_alive (MfTarget *target, uint64_t now_us);
void mf_target_record_answer (MfTarget *target, uint64_t answer_us, uint64_t now_us);
void mf_target_record_prefill (MfTarget *target, uint64_t tokens, uint64_t prefill_us,
                               uint64_t now_us);
void mf_target_record_failure (MfTarget *target, bool unreachable, uint64_t now_us);
void mf_target_record_leaving (MfTarget *target);
void mf_target_pause (MfTarget *target, double pause_s, uint64_t now_us);
void mf_target_record_decline (MfTarget *target, uint64_t now_us);
void mf_target_mark_replaced (MfTarget *target, uint64_t until_us);
double mf_target_failure_share (const MfTarget *target, uint64_t now_us);
double mf_target_answer_us (const MfTarget *target, double fallback_us, uint64_t now_us);

#endif
