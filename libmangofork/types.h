#ifndef MF_TYPES_H
#define MF_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of a name, with the terminating NUL. */
#define MF_NAME_BYTES 48
/* Size of an address such as "127.0.0.1:8000", with the terminating NUL. */
#define MF_ADDRESS_BYTES 64
/* Tokens in one piece of an engine's KV memory. */
#define MF_PIECE_TOKENS 2000
/* Prefix hashes kept for one prompt, one for each complete piece from its start. */
#define MF_PREFIX_HASHES_MAX 32
/* Size of the digest of an idempotency key or an API key. */
#define MF_DIGEST_BYTES 32
/* Value of an index that refers to no upstream, service, customer or pool. */
#define MF_NONE UINT32_MAX

#define MF_US_PER_MS UINT64_C (1000)
#define MF_US_PER_S UINT64_C (1000000)

#define MF_ARRAY_LEN(array) (sizeof (array) / sizeof ((array)[0]))

/* Whether any of a refused request's work ran. */
typedef enum
{
  MF_OUTCOME_NOT_RUN,
  MF_OUTCOME_RAN,
  MF_OUTCOME_UNKNOWN,
} MfOutcome;

/* What an upstream does. */
typedef enum
{
  MF_ROLE_PREFILL,
  MF_ROLE_DECODE,
  MF_ROLE_PLAIN,
  MF_ROLE_COUNT,
} MfRole;

/* How urgent a request is; lower values are more urgent. */
typedef enum
{
  MF_CLASS_READ,
  MF_CLASS_ORDER,
  MF_CLASS_SUMMARY,
  MF_CLASS_COUNT,
} MfClass;

/* Identifies one process of an instance. The name survives a restart, the incarnation number does
 * not; a higher number is a later process. */
typedef struct
{
  char name[MF_NAME_BYTES];
  uint64_t incarnation;
} MfInstanceId;

/* Returns whether both are the same process. */
bool mf_instance_id_equal (const MfInstanceId *a, const MfInstanceId *b);

const char *mf_outcome_name (MfOutcome outcome);
const char *mf_role_name (MfRole role);
const char *mf_class_name (MfClass class_);

/* Copies a string into a fixed-size field, always NUL-terminated. Returns false if it was
 * truncated. */
bool mf_name_set (char *dst, size_t dst_bytes, const char *src);

#endif
