#ifndef MF_UPSTREAM_H
#define MF_UPSTREAM_H

#include "event.h"

typedef struct MfCore MfCore;

/* Decides whether an upstream is given work. */
typedef enum
{
  MF_HEALTH_OK,
  MF_HEALTH_SLOW,    /* gray failure: given a smaller share of the work */
  MF_HEALTH_EJECTED, /* given no work until its probe is due */
  MF_HEALTH_DEAD,
  MF_HEALTH_LEAVING,
  MF_HEALTH_COUNT,
} MfHealth;

/* Number of own placements and ends that are kept to correct outdated load reports. */
#define MF_OWN_CHANGES_MAX 64

/* What this instance knows about one upstream. Rows keep their index for the life of the process.
 * The row of an upstream that was removed from the configuration stays, with in_config false. */
typedef struct
{
  MfUpstreamConfig config;
  uint64_t name_hash; /* mf_hash_name of config.name */
  bool in_config;
  MfRole role; /* that of its pool, or of a later load report */
  MfHealth health;
  MfCode health_reason;
  uint64_t health_since_us;
  uint64_t leaving_at_us; /* time of the last sign that it is leaving */
  MfLoadEvent load;       /* last load report */
  uint64_t load_at_us;    /* when that was received; 0 for never */
  bool load_asked;
  uint32_t own_slots; /* slots in use by calls of this instance */
  uint32_t own_pieces;
  int32_t own_since_report;    /* own placements less ends that the last report does not include */
  uint64_t own_prefill_tokens; /* prompt tokens of own running prefills */
  uint64_t own_prefill_at_report; /* own_prefill_tokens when the last report came */
  uint64_t prefill_tokens_per_s;  /* measured rate */
  uint64_t prefill_sum_tokens;    /* decaying sums from which the rate is computed */
  uint64_t prefill_sum_us;
  uint64_t link_sum_bytes;
  uint64_t link_sum_us;
  uint64_t kv_life_us;       /* measured time until a KV of its prefills expires */
  uint64_t token_gap_us;     /* mean gap between tokens */
  uint64_t answer_us;        /* plain services: mean time to the complete answer */
  uint64_t link_bytes_per_s; /* measured rate of its transfers */
  uint32_t n_failures_in_row;
  uint32_t slow_start_ppm; /* share of full weight in slow start, in parts per million */
  uint64_t probe_at_us;
  uint32_t pool;                              /* row of its pool */
  uint32_t index_in_config;                   /* MF_NONE when not in the configuration in force */
  int64_t own_changes_us[MF_OWN_CHANGES_MAX]; /* ring of placement times; negative for ends */
  uint32_t n_own_changes;
  uint64_t load_call_id; /* of the poll in flight; 0 for none */
  uint64_t load_due_us;
  struct MfCall *calls;          /* running calls of this instance */
  uint64_t transfer_bytes;       /* KV of this instance that its link transfers now */
  uint32_t n_transfers;          /* transfers of this instance on its link */
  uint64_t transfer_progress_us; /* when the first of them started, or the last one ended */
  uint64_t window_start_us;      /* start of the window of the next two counters */
  uint32_t n_window_calls;
  uint32_t n_window_failures;
  bool on_hold;           /* given no work because of an order; set by order.c */
  uint64_t full_until_us; /* it refused a call for lack of capacity; given no work until then */
  bool ejected_by_polls;  /* ejected because its polls timed out */
  bool call_failed;       /* a call failed; a poll will show whether the upstream died */
  bool death_pending;     /* it died; handled at the end of this step */
  bool watched;           /* checked periodically by health.c */
  uint32_t n_ejections;
  uint32_t n_suspects; /* running suspect requests */
  uint64_t fence_last; /* highest fencing number known for it */
} MfUpstream;

uint64_t mf_hash_name (const char *name);

void mf_upstream_apply_config (MfCore *core);
void mf_upstream_index_build (MfCore *core);
uint32_t mf_upstream_find (const MfCore *core, uint64_t name_hash);
/* These apply a report of another instance. */
void mf_upstream_note_leaving (MfCore *core, uint32_t upstream, uint64_t incarnation);
void mf_upstream_note_dead (MfCore *core, uint32_t upstream, uint64_t incarnation);

bool mf_upstream_is_usable (const MfUpstream *upstream);
uint32_t mf_upstream_slots_used (const MfUpstream *upstream);
uint32_t mf_upstream_slots (const MfUpstream *upstream);
uint64_t mf_upstream_prefill_queue (const MfUpstream *upstream);
void mf_upstream_acquire_slot (MfCore *core, uint32_t upstream, uint32_t pieces);
void mf_upstream_release_slot (MfCore *core, uint32_t upstream, uint32_t pieces);
void mf_upstream_refresh_pools (MfCore *core);
const char *mf_health_name (MfHealth health);
void mf_upstream_set_health (MfCore *core, uint32_t upstream, MfHealth health, MfCode reason);
void mf_upstream_poll (MfCore *core, uint32_t upstream);

#endif
