#ifndef MF_KEY_TABLE_H
#define MF_KEY_TABLE_H

#include "claim.h"

#include "table.h"

/* What is remembered of one idempotency key. */
typedef struct
{
  uint8_t key[MF_DIGEST_BYTES];
  uint64_t body_digest;
  MfInstanceId holder; /* who may run it */
  uint64_t claim_id;   /* the holder's */
  bool inherited;      /* handed over by another voter: granted to nobody again */
  MfKeyState state;
  uint64_t added_us;
  MfClaimResult result; /* strings owned by the book */
  char *content_type;
  char *body;
  UT_hash_handle hh;
} MfKeyEntry;

/* The keys an instance remembers, as a voter or as the claimant, oldest first. */
typedef struct
{
  MfKeyEntry *entries;
  uint64_t body_bytes; /* of all recorded answers */
} MfKeyTable;

typedef bool (*MfKeyFunc) (const MfKeyEntry *entry, void *data);

MfKeyEntry *mf_key_table_find (MfKeyTable *key_table, const uint8_t key[MF_DIGEST_BYTES]);
/* Returns NULL when the book is full. The key must not be in it. */
MfKeyEntry *mf_key_table_add (MfKeyTable *key_table, const uint8_t key[MF_DIGEST_BYTES],
                              uint64_t now_us);
/* Copies the result; an answer too large to keep is recorded without its body. */
void mf_key_table_finish (MfKeyTable *key_table, MfKeyEntry *entry, MfKeyState state,
                          const MfClaimResult *result);
void mf_key_table_remove (MfKeyTable *key_table, MfKeyEntry *entry);
/* Forgets what was noted before before_us. */
void mf_key_table_expire (MfKeyTable *key_table, uint64_t before_us);
void mf_key_table_foreach (const MfKeyTable *key_table, MfKeyFunc func, void *data);
void mf_key_table_clear (MfKeyTable *key_table);

#endif
