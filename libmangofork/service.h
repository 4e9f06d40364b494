#ifndef MF_SERVICE_H
#define MF_SERVICE_H

#include "config.h"

typedef struct MfCore MfCore;

/* Token bucket of retries or hedges. Each accepted request adds to it, and for retries time does as
 * well. */
typedef struct
{
  uint32_t tokens_milli;
  uint64_t refilled_us; /* the time up to which the bucket has been refilled by time */
} MfBudget;

/* A service in any configuration so far. Rows keep their index for the life of the process. */
typedef struct
{
  uint64_t name_hash;
  MfService config; /* its pools and dependencies are rows of MfServices */
  bool in_config;
  uint32_t index_in_config; /* MF_NONE when not in the configuration in force */
  uint32_t output_tokens;   /* mean length of an answer; 0 before the first */
  uint32_t n_in_flight;
  uint64_t placement_gap_us; /* mean time between two placements while requests are queued */
  uint64_t last_placement_us;
  uint64_t answer_us; /* plain services: mean time to the answer */
  MfBudget retry;
  MfBudget hedge;
  bool budgets_filled;
} MfServiceRow;

typedef struct
{
  uint64_t name_hash;
  MfRole role;
  bool in_config;
  uint32_t *members; /* rows of its upstreams in the configuration in force */
  uint32_t n_members;
  uint32_t *active; /* the members that this instance uses, at most MF_POOL_ACTIVE_MAX */
  uint32_t n_active;
  uint32_t n_usable;      /* active members that may be given new work */
  uint64_t down_since_us; /* when the last usable one was lost; 0 if there is one */
  uint32_t next_member;   /* index of the next member of a round robin */
  uint64_t token_gap_us;  /* mean gap between tokens, over its members */
  uint64_t answer_us;     /* plain pools: mean time to the answer */
  uint32_t n_answers;
  bool window_was_narrowed; /* plain pools: the window has reached its limit once */
  uint64_t base_answer_us;  /* plain pools: lowest recent value of answer_us */
  uint32_t n_own_requests;  /* requests that this instance has at the pool */
  uint32_t n_in_transit;    /* those of n_own_requests that have no decode slot yet */
  uint32_t window_milli;
  uint64_t n_kv_waits; /* KVs that got a decode slot, and how long they waited for it */
  uint64_t sum_kv_wait_us;
} MfPoolRow;

typedef struct
{
  uint64_t name_hash;
  MfCustomer config;
  bool in_config;
  uint32_t index_in_config;
  uint32_t n_in_flight;
  uint64_t credit_micro; /* of requests_per_s */
  uint64_t credit_us;
  uint64_t virtual_time; /* work placed for it, divided by its weight */
} MfCustomerRow;

typedef struct
{
  MfServiceRow *rows;
  uint32_t n_rows;
  MfPoolRow *pools;
  uint32_t n_pools;
  MfCustomerRow *customers;
  uint32_t n_customers;
  uint32_t *config_service_rows; /* maps an index of the configuration to a row */
  uint32_t *config_pool_rows;
  uint32_t *config_customer_rows;
} MfServices;

/* Limit of the members of one pool that one instance uses and polls. */
#define MF_POOL_ACTIVE_MAX 32

/* These return a row, or MF_NONE. */
uint32_t mf_service_find_model (const MfCore *core, const char *model);
uint32_t mf_service_find_path (const MfCore *core, const char *path);
uint32_t mf_service_find_customer (const MfCore *core, const uint8_t digest[MF_DIGEST_BYTES]);
bool mf_service_is_up (const MfCore *core, uint32_t service, MfCode *missing);
bool mf_service_may_wait (const MfCore *core, uint32_t service, MfCode *missing);
uint32_t mf_service_output_tokens (const MfServiceRow *service);
void mf_service_note_output (MfServiceRow *service, uint32_t n_tokens);

#endif
