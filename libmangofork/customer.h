#ifndef MF_CUSTOMER_H
#define MF_CUSTOMER_H

#include "types.h"

/* Maximum bytes of an API key. */
#define MF_CUSTOMER_KEY_BYTES_MAX 256

/* What the configuration says of a customer. */
typedef struct
{
  char *name;
  uint64_t name_hash; /* identifies it in messages between instances; never 0 */
  bool has_priority;
  uint32_t priority;     /* in place of its routes' priorities; 0 is the most urgent */
  bool counts_tokens;    /* the quota counts tokens instead of requests */
  uint64_t plain_tokens; /* tokens of a request that states none */
  uint64_t per_s;        /* quota; 0: no limit */
  uint64_t burst;        /* units beyond the rate */
} MfCustomerInfo;

/* The customers of one version of a configuration and their keys; immutable once it is in force. */
typedef struct MfCustomers MfCustomers;

MfCustomers *mf_customers_new (uint32_t n_customers);
void mf_customers_free (MfCustomers *customers);
MfCustomerInfo *mf_customers_get (const MfCustomers *customers, uint32_t index);
uint32_t mf_customers_n (const MfCustomers *customers);
uint32_t mf_customers_n_keys (const MfCustomers *customers);
bool mf_customers_set_name (MfCustomers *customers, uint32_t index, const char *name);
bool mf_customers_add_key (MfCustomers *customers, uint32_t index, const char *key,
                           size_t key_bytes);
void mf_key_digest (const char *key, size_t key_bytes, uint8_t digest[MF_DIGEST_BYTES]);
bool mf_customer_key_digest (const char *key, size_t key_bytes, uint8_t digest[MF_DIGEST_BYTES]);
uint32_t mf_customers_find_digest (const MfCustomers *customers,
                                   const uint8_t digest[MF_DIGEST_BYTES]);
uint32_t mf_customers_find (const MfCustomers *customers, const char *key, size_t key_bytes);

#endif
