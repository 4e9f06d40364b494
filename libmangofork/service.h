#ifndef MF_SERVICE_H
#define MF_SERVICE_H

#include "config.h"

typedef struct MfCore MfCore;

/* Retries and hedges are paid from a bucket that finished work fills. */
typedef struct
{
  uint32_t tokens_milli;
  uint64_t refilled_us; /* up to when time has paid */
} MfBudget;

/* One service, over all texts that named it. Rows keep their index while the process lives. */
typedef struct
{
  uint64_t name_hash;
  MfService config; /* its pools and dependencies are rows here, not places in the text */
  bool in_config;
  uint32_t index_in_config; /* MF_NONE when the text in force does not have it */
  uint32_t output_tokens;   /* observed mean length of an answer; 0 before any */
  uint32_t n_in_flight;
  uint64_t placement_gap_us; /* observed time between two placements while some wait */
  uint64_t last_placement_us;
  uint64_t answer_us; /* plain: usual time to the answer */
  MfBudget retry;
  MfBudget hedge;
  bool budgets_filled;
} MfServiceRow;

typedef struct
{
  uint64_t name_hash;
  MfRole role;
  bool in_config;
  uint32_t *members; /* rows of upstreams in the text */
  uint32_t n_members;
  uint32_t *active; /* of them, those this instance uses: a bounded subset */
  uint32_t n_active;
  uint32_t n_usable;      /* active members that may be given work */
  uint64_t down_since_us; /* when the last usable one was lost; 0 while there is one */
  uint32_t next_member;   /* round robin */
  uint64_t token_gap_us;  /* usual gap, over its members */
  uint64_t answer_us;     /* plain: recent mean time to the answer */
  uint32_t n_answers;
  bool window_was_narrowed; /* plain: its window has met its limit once */
  uint64_t base_answer_us;  /* plain: the least that mean has been of late */
  uint32_t n_own_requests;  /* requests this instance keeps there */
  uint32_t n_in_transit;    /* of them, those on the way to a decode slot */
  uint32_t window_milli;
  uint64_t n_kv_waits; /* KVs taken up, and how long they waited */
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
  uint64_t virtual_time; /* work given to it, by weight */
} MfCustomerRow;

typedef struct
{
  MfServiceRow *rows;
  uint32_t n_rows;
  MfPoolRow *pools;
  uint32_t n_pools;
  MfCustomerRow *customers;
  uint32_t n_customers;
  uint32_t *config_service_rows; /* rows of the text's services, pools and customers */
  uint32_t *config_pool_rows;
  uint32_t *config_customer_rows;
} MfServices;

/* Members of one pool that one instance uses and polls, at most. */
#define MF_POOL_ACTIVE_MAX 32

/* Returns a row, or MF_NONE. */
uint32_t mf_service_find_model (const MfCore *core, const char *model);
uint32_t mf_service_find_path (const MfCore *core, const char *path);
uint32_t mf_service_find_customer (const MfCore *core, const uint8_t digest[MF_DIGEST_BYTES]);
/* Whether every pool that the service and what it depends on need has a usable upstream. Sets
 * *missing to the code of a refusal when not. */
bool mf_service_is_up (const MfCore *core, uint32_t service, MfCode *missing);
/* The same, but pools that were lost a moment ago count as up: a request can wait for one to come
 * back sooner than its caller can. */
bool mf_service_may_wait (const MfCore *core, uint32_t service, MfCode *missing);
/* Output length to plan for. */
uint32_t mf_service_output_tokens (const MfServiceRow *service);
void mf_service_note_output (MfServiceRow *service, uint32_t n_tokens);

#endif
