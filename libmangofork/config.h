#ifndef MF_CONFIG_H
#define MF_CONFIG_H

#include "error.h"

#define MF_TEXT_BYTES_MAX 1048576
#define MF_SERVICE_DEPENDS_MAX 8
/* Services of one text. */
#define MF_SERVICES_MAX 1024

/* What a service is: tokens from a model through prefill and decode, or calls to a plain service.
 */
typedef enum
{
  MF_SERVICE_MODEL,
  MF_SERVICE_PLAIN,
} MfServiceKind;

/* One service of the operators' text. Pools and services are named by index into MfConfig. */
typedef struct
{
  char name[MF_NAME_BYTES];
  MfServiceKind kind;
  MfClass class_;
  char model[MF_NAME_BYTES];   /* model services */
  char adapter[MF_NAME_BYTES]; /* wanted adapter, "" for none */
  char version[MF_NAME_BYTES]; /* wanted version, "" for any */
  char path[MF_ADDRESS_BYTES]; /* plain services: path prefix */
  bool get_is_idempotent;      /* plain services: GET and HEAD may be repeated */
  uint32_t prefill_pool;       /* model services, else MF_NONE */
  uint32_t decode_pool;        /* model services, else MF_NONE */
  uint32_t plain_pool;         /* plain services, else MF_NONE */
  uint64_t deadline_us;        /* longest time to the whole answer, when the caller names none */
  uint64_t ttft_target_us;
  uint64_t tbt_target_us;
  uint64_t kv_token_bytes;     /* KV cache of one token */
  uint32_t expected_tokens;    /* output length assumed before any is observed */
  uint32_t objective_ttft_ppm; /* share of answers whose first token is in time */
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

/* One upstream as the operators wrote it. */
typedef struct
{
  char name[MF_NAME_BYTES];
  char address[MF_ADDRESS_BYTES];
  char data_centre[MF_NAME_BYTES];
  char engine[MF_NAME_BYTES]; /* which engine adapter speaks to it */
  uint32_t pool;
  bool checks_fencing;
  uint32_t slots;  /* requests it holds at once */
  uint32_t pieces; /* pieces of engine memory */
  uint64_t link_bytes_per_s;
} MfUpstreamConfig;

typedef struct
{
  char name[MF_NAME_BYTES];
  uint8_t key_digest[MF_DIGEST_BYTES]; /* BLAKE2b-256 of the API key */
  uint32_t share;                      /* weight of its fair share */
  uint32_t in_flight_max;              /* 0 for no limit */
  uint32_t requests_per_s;             /* 0 for no limit */
} MfCustomer;

/* An instance slot that votes on idempotency keys. */
typedef struct
{
  char name[MF_NAME_BYTES];
} MfVoter;

/* Tables that make the look-ups below cost the same at any size. */
typedef struct MfConfigIndex MfConfigIndex;

/* The operators' text, checked whole. Immutable once built; owned by the board when in force. */
typedef struct
{
  uint64_t revision;
  char *text; /* as accepted, for handing to peers; owned */
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
  uint32_t voters_per_key; /* size of the cell that votes on one key; at most 7 */
  uint64_t key_life_us;    /* how long a key's outcome is kept */
  uint64_t weight_store_bytes_per_s;
  bool allow_anonymous; /* callers without an API key are served */
  MfConfigIndex *index;
} MfConfig;

/* Called for each fault of a text, in the order of their places. */
typedef void (*MfFaultFunc) (const MfError *fault, void *data);

/* Parses and checks the operators' text. Every fault is reported, and nothing is returned when
 * there is any. Caller frees the result with mf_config_free. */
MfConfig *mf_config_parse (const char *text, size_t text_bytes, uint64_t revision,
                           MfFaultFunc on_fault, void *data);
void mf_config_free (MfConfig *config);

/* Return an index, or MF_NONE. The model or path need not be NUL-terminated at a boundary: a plain
 * service matches the longest path prefix that ends at a '/' or at the end of the path. */
uint32_t mf_config_find_model (const MfConfig *config, const char *model);
uint32_t mf_config_find_path (const MfConfig *config, const char *path);
uint32_t mf_config_find_customer (const MfConfig *config, const uint8_t digest[MF_DIGEST_BYTES]);
uint32_t mf_config_find_upstream (const MfConfig *config, const char *name);
uint32_t mf_config_find_service (const MfConfig *config, const char *name);

#endif
