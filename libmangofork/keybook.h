#ifndef MF_KEYBOOK_H
#define MF_KEYBOOK_H

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
  uint64_t noted_us;
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
} MfKeybook;

typedef bool (*MfKeyFunc) (const MfKeyEntry *entry, void *data);

MfKeyEntry *mf_keybook_find (MfKeybook *book, const uint8_t key[MF_DIGEST_BYTES]);
/* Returns NULL when the book is full. The key must not be in it. */
MfKeyEntry *mf_keybook_add (MfKeybook *book, const uint8_t key[MF_DIGEST_BYTES], uint64_t now_us);
/* Copies the result; an answer too large to keep is recorded without its body. */
void mf_keybook_finish (MfKeybook *book, MfKeyEntry *entry, MfKeyState state,
                        const MfClaimResult *result);
void mf_keybook_remove (MfKeybook *book, MfKeyEntry *entry);
/* Forgets what was noted before before_us. */
void mf_keybook_expire (MfKeybook *book, uint64_t before_us);
void mf_keybook_foreach (const MfKeybook *book, MfKeyFunc func, void *data);
void mf_keybook_clear (MfKeybook *book);

#endif
