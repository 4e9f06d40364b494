#ifndef MF_RELAY_TARGET_H
#define MF_RELAY_TARGET_H

#include "line.h"
#include "link.h"
#include "listing.h"
#include "version.h"

#include "libmangofork/rate.h"
#include "libmangofork/spillover.h"

/* Bytes of the id of an upstream, including the terminating NUL. */
#define MF_TARGET_ID_BYTES 64

/* An upstream process as listed by discovery. */
typedef struct
{
  char id[MF_TARGET_ID_BYTES];
  char service[MF_NAME_BYTES];
  char address[MF_ADDRESS_BYTES];
  char data_centre[MF_NAME_BYTES];
  char version[MF_NAME_BYTES]; /* of its software */
  MfRole role;
  bool leaving;
  uint32_t slots;
  uint64_t started_ms; /* wall-clock time of its start; 0: unknown */
  uint64_t sequence;   /* does not fall from one entry of a process to the next */
} MfTargetInfo;

/* Sends to an upstream are counted for this long. */
#define MF_TARGET_SENDS_US (1 * MF_US_PER_S)
#define MF_TARGET_SEND_SLOTS 10

/* What this instance has sent to an upstream lately, whatever it was. */
typedef struct
{
  uint64_t slot; /* number of the newest slot since the start of the clock */
  uint32_t n_sends[MF_TARGET_SEND_SLOTS];
} MfTargetSends;

typedef struct MfTarget MfTarget;
typedef struct MfTargets MfTargets;

/* Callbacks on events of upstreams. */
typedef struct
{
  /* The process has ended: nothing listens at its address, or another process does. May be called
   * more than once. */
  void (*ended) (void *data, MfTarget *target, const char *why);
  /* Discovery lists a new process, and none at its address that was started later. */
  void (*added) (void *data, MfTarget *target);
  /* The probe by mf_target_probe has ended. */
  void (*probed) (void *data, MfTarget *target);
  /* Its rate limit has changed. by_answer is set when one of its own answers says so. May be NULL.
   */
  void (*limit_changed) (void *data, MfTarget *target, bool by_answer);
  /* A process was removed, is listed again or is leaving, as this instance has read. May be NULL.
   */
  void (*listing_changed) (void *data, const MfListing *listing);
} MfTargetsCallbacks;

/* One upstream process, and what this instance has observed of it. */
struct MfTarget
{
  MfTargets *targets;
  MfTargetInfo info;
  MfLinkPool pool;
  MfTarget *next;
  bool listed;            /* in the list of discovery that is being read, or was read last */
  bool is_dropped;        /* no upstream any more; in memory until it is released */
  uint64_t unlisted_us;   /* when it was unlisted while discovery was unreachable; 0: it was not */
  MfPosition position;    /* of its entry, or of its removal while it is kept */
  bool is_withdrawn;      /* another instance has read a later removal of its entry */
  uint32_t n_active;      /* running requests of this instance */
  uint64_t active_tokens; /* their KV use when they end */
  uint32_t n_suspects;    /* of these, suspect requests */
  uint32_t n_reserved;    /* requests of this instance with a reserved slot */
  uint64_t reserved_tokens;
  uint32_t n_remote; /* requests of other instances, from their reports */
  uint64_t remote_tokens;
  double remote_failure_share;    /* the highest in the reports of other instances */
  uint32_t n_remote_unreachable;  /* other instances that could not reach it */
  uint32_t n_remote_replaced;     /* other instances that found another process at its address */
  uint32_t n_remote_answering;    /* other instances that it answers */
  uint64_t remote_avoid_until_us; /* when the last of these uses it again */
  uint64_t id_hash;               /* identifies it in messages between instances */
  uint64_t process_id;            /* the same, different from later processes with its id */
  uint64_t service;               /* hash of its service */
  uint64_t version;               /* hash of its service and its software version */
  uint64_t silent_since_us;       /* while requests run: the last sign of life */
  uint64_t alive_us;              /* last sign of life; 0: none since a connection broke */
  double answer_us;               /* moving average of response times; 0: none yet */
  double us_per_token;            /* prefill time, including queueing; 0: none yet */
  uint64_t answered_us;           /* when these were last updated */
  double failure_share;           /* moving average, 0 to 1 */
  uint64_t failed_us;             /* when it was last updated */
  uint32_t n_failures;            /* consecutive failures to connect or to get an answer */
  uint64_t suspect_until_us;      /* this instance avoids it until then */
  bool replaced;                  /* it is avoided because another process answers at its address */
  uint64_t full_until_us;   /* it declined for lack of capacity; it gets no requests until then */
  uint32_t n_declined;      /* consecutive requests declined without any load */
  bool announced_leaving;   /* a response, or an entry, announced that it is about to stop */
  uint64_t held_until_us;   /* its entry may be a removed one, and it is not used until then */
  uint64_t paused_until_us; /* it asked this instance to send no requests until then */
  MfRateNotice limit;       /* requests a second that it takes from all instances together */
  uint64_t rate_ready_us;   /* a request within its limit may be granted from then on */
  uint64_t rate_unanswered_us; /* the allocator did not answer then */
  bool rate_was_asked;         /* an allocator has been asked since the limit is known */
  uint64_t rate_allocator;     /* hash of the one that was asked last */
  uint64_t dispatch_after_us;  /* this instance dispatches no request to it before */
  MfRateBucket local_rate;     /* for when no allocator can be reached */
  MfTargetSends sends;
  MfRole stage_ordered;     /* the role that it was ordered to change to */
  uint64_t stage_until_us;  /* it accepts nothing before this time while it changes; 0: no order */
  MfLink *probe;            /* connection attempt that checks whether it is running; NULL: none */
  uint64_t ended_us;        /* when it was last found to have ended; 0: never */
  uint32_t n_orders_failed; /* orders that it refused or that had no effect */
  uint32_t n_refs;
};

/* A process that has announced that it is about to stop. */
typedef struct
{
  uint64_t id_hash;
  uint64_t started_ms;
} MfDeparture;

/* The rate limit of a process that is not listed now. */
typedef struct
{
  uint64_t process_id;
  MfRateNotice limit;
} MfUnlistedLimit;

/* Limits of unlisted processes kept. Those of a service may be unlisted together when discovery has
 * an outage. */
#define MF_TARGETS_UNLISTED_LIMITS_MAX 256

/* Departures kept. A process stops within seconds of its announcement, and the pools that are
 * replaced at one time are smaller than this. */
#define MF_TARGETS_DEPARTURES_MAX 512

/* All known upstreams, in one unordered list. */
struct MfTargets
{
  MfRelayLog *log; /* NULL: no logging */
  struct ev_loop *loop;
  const MfDialect *dialect;
  const MfTargetsCallbacks *callbacks; /* may be NULL */
  void *user_data;
  char data_centre[MF_NAME_BYTES];
  MfSpillover *spillover; /* decides what leaves the data centre; NULL: constant costs do */
  MfTarget *first;
  uint32_t n_targets;
  uint64_t unacked_timeout_us;
  MfDeparture departures[MF_TARGETS_DEPARTURES_MAX]; /* the oldest one is overwritten */
  uint32_t n_departures;                             /* ever recorded */
  bool is_restoring;   /* the entries that are added may be removed ones */
  MfPosition position; /* of the change that is being applied */
  MfListings listings; /* processes that were removed or are leaving, as read by any instance */
  MfUnlistedLimit unlisted_limits[MF_TARGETS_UNLISTED_LIMITS_MAX]; /* the oldest is overwritten */
  uint32_t n_unlisted_limits;                                      /* ever recorded */
  MfVersionLog versions; /* that upstreams had which are leaving or not listed any more */
};

bool mf_targets_update (MfTargets *targets, const MfTargetInfo *info);
bool mf_targets_remove (MfTargets *targets, const char *id, bool at_once, uint64_t now_us);
uint32_t mf_targets_expire (MfTargets *targets, uint64_t before_us);
MfTarget *mf_targets_find (const MfTargets *targets, const char *id);
MfTarget *mf_targets_by_hash (const MfTargets *targets, uint64_t hash);
const MfTarget *mf_targets_by_version (const MfTargets *targets, uint64_t version);
MfTarget *mf_targets_by_process (const MfTargets *targets, uint64_t process_id);
void mf_targets_note_limit (MfTargets *targets, uint64_t process_id, const MfRateNotice *limit);
void mf_targets_note_listing (MfTargets *targets, const MfListing *listing);
void mf_targets_begin_list (MfTargets *targets);
uint64_t mf_targets_sole_version (const MfTargets *targets, const char *service, uint64_t since_us);
void mf_targets_clear (MfTargets *targets);

MfTarget *mf_target_ref (MfTarget *target);
uint64_t mf_target_process_id (const MfTarget *target);
void mf_target_probe (MfTarget *target);
void mf_target_unref (MfTarget *target);

void mf_target_begin_request (MfTarget *target, uint64_t tokens, uint64_t now_us);
void mf_target_end_request (MfTarget *target, uint64_t tokens);
void mf_target_limit_idle (MfTarget *target, uint32_t connections_max, uint32_t n_instances);
void mf_target_note_send (MfTarget *target, uint64_t now_us);
uint32_t mf_target_n_recent_sends (const MfTarget *target, uint64_t now_us);
void mf_target_add_tokens (MfTarget *target, uint64_t tokens);
void mf_target_reserve (MfTarget *target, uint64_t tokens);
void mf_target_unreserve (MfTarget *target, uint64_t tokens);
uint32_t mf_target_load (const MfTarget *target);
uint64_t mf_target_load_tokens (const MfTarget *target);
bool mf_target_is_leaving (const MfTarget *target);
bool mf_target_has_left (const MfTarget *target);
bool mf_target_accepts (const MfTarget *target, uint64_t now_us);
bool mf_target_is_limited (const MfTarget *target);
bool mf_target_rate_ready (const MfTarget *target, uint64_t max_wait_us, uint64_t now_us);
uint64_t mf_target_available_us (const MfTarget *target);
void mf_target_note_limit (MfTarget *target, const MfRateNotice *limit, bool by_answer);
bool mf_target_serves_version (const MfTarget *target, uint64_t version, uint64_t now_us);
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
