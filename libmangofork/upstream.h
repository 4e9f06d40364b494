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
  MfLoadEvent load;    /* the last report */
  uint64_t load_at_us; /* when it was received; 0 for never */
  bool load_asked;
  uint32_t own_slots; /* in use by this instance's calls */
  uint32_t own_pieces;
  uint32_t own_since_report;     /* own placements the last report cannot have seen */
  uint64_t own_prefill_tokens;   /* prompt tokens of own prefills that have not ended */
  uint64_t prefill_tokens_per_s; /* observed */
  uint64_t token_gap_us;         /* observed between tokens */
  uint64_t answer_us;            /* plain: observed time to the whole answer */
  uint64_t link_bytes_per_s;     /* observed, from its transfers */
  uint32_t n_failures_in_row;
  uint32_t slow_start_ppm; /* share of full weight while it returns */
  uint64_t probe_at_us;
  uint32_t suspects;   /* running suspected requests */
  uint64_t fence_last; /* highest fencing number known for it */
} MfUpstream;

uint64_t mf_hash_name (const char *name);

/* Brings the table in line with the text now in force. */
void mf_upstream_apply_config (MfCore *core);
/* Returns the row of that name's hash, or MF_NONE. */
uint32_t mf_upstream_find (const MfCore *core, uint64_t name_hash);
/* What another instance learnt. Never empties a pool by hearsay alone. */
void mf_upstream_note_leaving (MfCore *core, uint32_t upstream);
void mf_upstream_note_dead (MfCore *core, uint32_t upstream, uint64_t incarnation);

#endif
