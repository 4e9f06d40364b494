#ifndef MF_CONFIG_H
#define MF_CONFIG_H

#include "error.h"

#define MF_CONFIG_TEXT_BYTES_MAX 1048576
#define MF_SERVICE_DEPENDS_MAX 8
/* Services in one configuration. */
#define MF_SERVICES_MAX 1024

/* A model service generates tokens through prefill and decode; a plain service is called over
 * HTTP. */
typedef enum
{
  MF_SERVICE_MODEL,
  MF_SERVICE_PLAIN,
} MfServiceKind;

/* One configured service. It refers to pools and services by their index in MfConfig. */
typedef struct
{
  char name[MF_NAME_BYTES];
  MfServiceKind kind;
  MfClass class_;
  char model[MF_NAME_BYTES];   /* model services */
  char adapter[MF_NAME_BYTES]; /* required LoRA adapter, "" for none */
  char version[MF_NAME_BYTES]; /* required model version, "" for any */
  char path[MF_ADDRESS_BYTES]; /* plain services: path prefix */
  bool get_is_idempotent;      /* plain services: GET and HEAD may be retried */
  uint32_t prefill_pool;       /* model services, else MF_NONE */
  uint32_t decode_pool;        /* model services, else MF_NONE */
  uint32_t plain_pool;         /* plain services, else MF_NONE */
  uint64_t deadline_us;        /* for the complete answer, unless the caller sets another one */
  uint64_t ttft_target_us;
  uint64_t tbt_target_us;
  uint64_t kv_token_bytes;     /* size of one token in the KV cache */
  uint32_t expected_tokens;    /* output length assumed until one has been observed */
  uint32_t objective_ttft_ppm; /* required share of answers that meet ttft_target_us */
  uint32_t objective_tbt_ppm;
  uint32_t objective_availability_ppm;
  uint32_t depends[MF_SERVICE_DEPENDS_MAX];
  uint32_t n_depends;
} MfService;

typedef struct
{
  char name[MF_NAME_BYTES];
  MfRole role;
} MfPool;

/* One upstream as configured. */
typedef struct
{
  char name[MF_NAME_BYTES];
  char address[MF_ADDRESS_BYTES];
  char data_centre[MF_NAME_BYTES];
  char engine[MF_NAME_BYTES]; /* name of the engine adapter: openai or plain */
  uint32_t pool;
  bool checks_fencing;
  uint32_t slots;  /* requests it runs concurrently */
  uint32_t pieces; /* blocks of its KV cache */
  uint64_t link_bytes_per_s;
} MfUpstreamConfig;

typedef struct
{
  char name[MF_NAME_BYTES];
  uint8_t key_digest[MF_DIGEST_BYTES]; /* BLAKE2b-256 of the API key */
  uint32_t share;                      /* weight in the queue's fair sharing */
  uint32_t in_flight_max;              /* 0 for no limit */
  uint32_t requests_per_s;             /* 0 for no limit */
} MfCustomer;

/* The name of an instance that votes on idempotency keys. */
typedef struct
{
  char name[MF_NAME_BYTES];
} MfVoter;

/* Hash tables that make the look-ups below take constant time. */
typedef struct MfConfigIndex MfConfigIndex;

/* A completely validated configuration. Immutable once built; the board owns the one in force. */
typedef struct
{
  uint64_t revision;
  char *text; /* as accepted, to be sent to peers; owned */
  size_t text_bytes;
  MfService *services;
  uint32_t n_services;
  MfPool *pools;
  uint32_t n_pools;
  MfUpstreamConfig *upstreams;
  uint32_t n_upstreams;
  MfCustomer *customers;
  uint32_t n_customers;
  MfVoter *voters;
  uint32_t n_voters;
  uint32_t voters_per_key; /* number of voters for one idempotency key; at most 7 */
  uint64_t key_life_us;    /* how long the outcome of an idempotency key is kept */
  uint64_t weight_store_bytes_per_s;
  bool allow_anonymous; /* callers without an API key are served */
  MfConfigIndex *index;
} MfConfig;

/* Called for each fault of a text, in order of line and column. */
typedef void (*MfFaultFunc) (const MfError *fault, void *data);

/* Parses and validates the operators' configuration text. Reports every fault, and returns NULL
 * when there is any. The caller frees the result with mf_config_free. */
MfConfig *mf_config_parse (const char *text, size_t text_bytes, uint64_t revision,
                           MfFaultFunc on_fault, void *data);
void mf_config_free (MfConfig *config);

/* Return an index, or MF_NONE. mf_config_find_path finds the plain service with the longest path
 * prefix that matches up to a '/' or to the end of the path. */
uint32_t mf_config_find_model (const MfConfig *config, const char *model);
uint32_t mf_config_find_path (const MfConfig *config, const char *path);
uint32_t mf_config_find_customer (const MfConfig *config, const uint8_t digest[MF_DIGEST_BYTES]);
uint32_t mf_config_find_upstream (const MfConfig *config, const char *name);
uint32_t mf_config_find_service (const MfConfig *config, const char *name);

#endif
