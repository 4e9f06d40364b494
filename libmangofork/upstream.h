#ifndef MF_UPSTREAM_H
#define MF_UPSTREAM_H

#include "event.h"

typedef struct MfCore MfCore;

/* Whether an upstream is given work. */
typedef enum
{
  MF_HEALTH_OK,
  MF_HEALTH_SLOW,    /* gray: a smaller share */
  MF_HEALTH_EJECTED, /* none until its probe succeeds */
  MF_HEALTH_DEAD,
  MF_HEALTH_LEAVING,
  MF_HEALTH_COUNT,
} MfHealth;

/* Own placements remembered for correcting aged reports. */
#define MF_OWN_CHANGES_MAX 64

/* What this instance knows of one upstream. Rows are never moved to another index while the process
 * lives; a removed one is kept with in_config false until nothing refers to it. */
typedef struct
{
  MfUpstreamConfig config;
  uint64_t name_hash; /* mf_hash_name of config.name */
  bool in_config;
  MfRole role; /* in force: its pool's, or what its load report says */
  MfHealth health;
  MfCode health_reason;
  uint64_t health_since_us;
  uint64_t leaving_at_us; /* last sign that it is leaving */
  MfLoadEvent load;       /* the last report */
  uint64_t load_at_us;    /* when it was received; 0 for never */
  bool load_asked;
  uint32_t own_slots; /* in use by this instance's calls */
  uint32_t own_pieces;
  int32_t own_since_report;       /* net own placements the last report cannot have seen */
  uint64_t own_prefill_tokens;    /* prompt tokens of own prefills that have not ended */
  uint64_t own_prefill_at_report; /* own_prefill_tokens when the last report came */
  uint64_t prefill_tokens_per_s;  /* observed */
  uint64_t prefill_sum_tokens;    /* decaying sums that the rate comes from */
  uint64_t prefill_sum_us;
  uint64_t link_sum_bytes;
  uint64_t link_sum_us;
  uint64_t kv_life_us;       /* observed time its prefills' KV lives */
  uint64_t token_gap_us;     /* observed between tokens */
  uint64_t answer_us;        /* plain: observed time to the whole answer */
  uint64_t link_bytes_per_s; /* observed, from its transfers */
  uint32_t n_failures_in_row;
  uint32_t slow_start_ppm; /* share of full weight while it returns */
  uint64_t probe_at_us;
  uint32_t pool;                              /* row of its pool; MF_NONE when not in the text */
  uint32_t index_in_config;                   /* MF_NONE when not in the text */
  int64_t own_changes_us[MF_OWN_CHANGES_MAX]; /* ring: times of own placements, negative for ends */
  uint32_t n_own_changes;
  uint64_t load_call_id; /* the poll in flight; 0 for none */
  uint64_t load_due_us;
  struct MfCall *calls;          /* this instance's running calls on it */
  uint64_t transfer_bytes;       /* own KV now on its link */
  uint32_t n_transfers;          /* own transfers on its link */
  uint64_t transfer_progress_us; /* when the first of them began, or the last one ended */
  uint64_t window_start_us;      /* start of the window the next two count in */
  uint32_t n_window_calls;
  uint32_t n_window_failures;
  bool on_hold;           /* given no work, for an order; order.c */
  uint64_t full_until_us; /* it refused for want of room: not asked before this */
  bool ejected_by_polls;  /* ejected because its polls were not answered */
  bool call_failed;       /* a call broke; whether it died is not known yet */
  bool death_pending;     /* its death is dealt with at the end of this step */
  bool watched;           /* health looks at it periodically */
  uint32_t n_ejections;
  uint32_t n_suspects; /* running suspected requests */
  uint64_t fence_last; /* highest fencing number known for it */
} MfUpstream;

uint64_t mf_hash_name (const char *name);

/* Brings the table in line with the text now in force. */
void mf_upstream_apply_config (MfCore *core);
/* After rows were added; upstream_index.c. */
void mf_upstream_index_build (MfCore *core);
/* Returns the row of that name's hash, or MF_NONE. */
uint32_t mf_upstream_find (const MfCore *core, uint64_t name_hash);
/* What another instance learnt. Never empties a pool by hearsay alone. */
void mf_upstream_note_leaving (MfCore *core, uint32_t upstream, uint64_t incarnation);
void mf_upstream_note_dead (MfCore *core, uint32_t upstream, uint64_t incarnation);

/* Whether the row may be given new work at all. */
bool mf_upstream_is_usable (const MfUpstream *upstream);
/* The slots in use as far as known: the aged report corrected by own placements since. */
uint32_t mf_upstream_slots_used (const MfUpstream *upstream);
uint32_t mf_upstream_slots (const MfUpstream *upstream);
/* Tokens that wait to be prefilled there, as far as known. */
uint64_t mf_upstream_prefill_queue (const MfUpstream *upstream);
/* Notes an own placement and its end. */
void mf_upstream_acquire_slot (MfCore *core, uint32_t upstream, uint32_t pieces);
void mf_upstream_release_slot (MfCore *core, uint32_t upstream, uint32_t pieces);
/* Brings pools' subsets in line after a change of health. */
void mf_upstream_refresh_pools (MfCore *core);
const char *mf_health_name (MfHealth health);
void mf_upstream_set_health (MfCore *core, uint32_t upstream, MfHealth health, MfCode reason);
/* Asks for a load report at once. */
void mf_upstream_poll (MfCore *core, uint32_t upstream);

#endif
