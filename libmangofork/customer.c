#include "customer.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* The digest of a key. Keys are not kept. */
typedef struct
{
  uint8_t digest[MF_DIGEST_BYTES];
  uint32_t customer;
} CustomerKey;

struct MfCustomers
{
  MfCustomerInfo *infos;
  uint32_t n_infos;
  CustomerKey *keys;
  uint32_t n_keys;
};

/* Returns a table of customers without names and keys, or NULL when out of memory. */
MfCustomers *
mf_customers_new (uint32_t n_customers)
{
  MfCustomers *customers = calloc (1, sizeof *customers);

  if (customers == NULL)
    return NULL;
  customers->infos = calloc (n_customers + 1, sizeof *customers->infos);
  customers->n_infos = n_customers;
  if (customers->infos != NULL)
    return customers;
  free (customers);
  return NULL;
}

/* Accepts NULL. */
void
mf_customers_free (MfCustomers *customers)
{
  if (customers == NULL)
    return;
  for (uint32_t i = 0; i < customers->n_infos; i++)
    free (customers->infos[i].name);
  free (customers->infos);
  free (customers->keys);
  free (customers);
}

/* index must be less than the number of customers. */
MfCustomerInfo *
mf_customers_get (const MfCustomers *customers, uint32_t index)
{
  return &customers->infos[index];
}

uint32_t
mf_customers_n (const MfCustomers *customers)
{
  return customers->n_infos;
}

uint32_t
mf_customers_n_keys (const MfCustomers *customers)
{
  return customers->n_keys;
}

/* Copies the name of a customer and sets its hash. Returns false when out of memory. */
bool
mf_customers_set_name (MfCustomers *customers, uint32_t index, const char *name)
{
  MfCustomerInfo *info = &customers->infos[index];

  info->name = strdup (name);
  info->name_hash = XXH3_64bits (name, strlen (name));
  if (info->name_hash == 0)
    info->name_hash = 1;
  return info->name != NULL;
}

/* Computes the digest of a key of any length: BLAKE2b-256. */
void
mf_key_digest (const char *key, size_t key_bytes, uint8_t digest[MF_DIGEST_BYTES])
{
  crypto_generichash (digest, MF_DIGEST_BYTES, (const unsigned char *)key, key_bytes, NULL, 0);
}

/* The same for a key of a table, which must not be empty or too long. Returns false if it is. */
bool
mf_customer_key_digest (const char *key, size_t key_bytes, uint8_t digest[MF_DIGEST_BYTES])
{
  if (key_bytes == 0 || key_bytes > MF_CUSTOMER_KEY_BYTES_MAX)
    return false;
  mf_key_digest (key, key_bytes, digest);
  return true;
}

/* Adds a key of a customer. Returns false when it is empty or too long, or memory ran out. */
bool
mf_customers_add_key (MfCustomers *customers, uint32_t index, const char *key, size_t key_bytes)
{
  CustomerKey row = { .customer = index };
  CustomerKey *keys;

  if (!mf_customer_key_digest (key, key_bytes, row.digest))
    return false;
  keys = realloc (customers->keys, (customers->n_keys + 1) * sizeof *keys);
  if (keys == NULL)
    return false;
  customers->keys = keys;
  keys[customers->n_keys++] = row;
  return true;
}

/* Returns the customer that has the key with a digest, or MF_NONE. The time taken does not depend
 * on which keys exist. */
uint32_t
mf_customers_find_digest (const MfCustomers *customers, const uint8_t digest[MF_DIGEST_BYTES])
{
  uint32_t found = MF_NONE;

  for (uint32_t i = 0; i < customers->n_keys; i++)
    {
      bool is_equal = sodium_memcmp (digest, customers->keys[i].digest, MF_DIGEST_BYTES) == 0;

      found = is_equal ? customers->keys[i].customer : found;
    }
  return found;
}

/* Returns the customer that has a key, or MF_NONE. */
uint32_t
mf_customers_find (const MfCustomers *customers, const char *key, size_t key_bytes)
{
  uint8_t digest[MF_DIGEST_BYTES];

  if (!mf_customer_key_digest (key, key_bytes, digest))
    return MF_NONE;
  return mf_customers_find_digest (customers, digest);
}
