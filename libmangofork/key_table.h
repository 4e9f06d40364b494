#ifndef MF_KEY_TABLE_H
#define MF_KEY_TABLE_H

#include "claim.h"

#include "table.h"

/* What is kept for one idempotency key. */
typedef struct
{
  uint8_t key[MF_DIGEST_BYTES];
  uint64_t body_digest;
  MfInstanceId holder; /* instance that may run the request */
  uint64_t claim_id;   /* claim id of the holder */
  bool inherited;      /* handed over by another voter: not granted to any instance again */
  MfKeyState state;
  uint64_t added_us;
  MfClaimResult result; /* strings owned by the table */
  char *content_type;
  char *body;
  UT_hash_handle hh;
} MfKeyEntry;

/* The idempotency keys kept by an instance, as a voter or as the claimant, oldest first. */
typedef struct
{
  MfKeyEntry *entries;
  uint64_t body_bytes; /* of all recorded answers */
} MfKeyTable;

typedef bool (*MfKeyFunc) (const MfKeyEntry *entry, void *data);

MfKeyEntry *mf_key_table_find (MfKeyTable *key_table, const uint8_t key[MF_DIGEST_BYTES]);
/* Returns NULL when the table is full or out of memory. The key must not be in the table. */
MfKeyEntry *mf_key_table_add (MfKeyTable *key_table, const uint8_t key[MF_DIGEST_BYTES],
                              uint64_t now_us);
/* Records the result, copied; an answer that is too large to keep is recorded without its body. */
void mf_key_table_finish (MfKeyTable *key_table, MfKeyEntry *entry, MfKeyState state,
                          const MfClaimResult *result);
void mf_key_table_remove (MfKeyTable *key_table, MfKeyEntry *entry);
/* Removes the entries that were added before before_us. */
void mf_key_table_expire (MfKeyTable *key_table, uint64_t before_us);
void mf_key_table_foreach (const MfKeyTable *key_table, MfKeyFunc func, void *data);
void mf_key_table_clear (MfKeyTable *key_table);

#endif
