#ifndef MF_PART_H
#define MF_PART_H

#include "types.h"

/* Parts of a prompt kept at most; the longest known prompts have fewer than ten. */
#define MF_PARTS_MAX 32
/* Tokens of a part at most; messages between instances hold no more. */
#define MF_PART_TOKENS_MAX UINT32_MAX
/* Bytes of a formatted list, including the terminating NUL; it shows the first eight parts. */
#define MF_PARTS_TEXT_BYTES (8 * 17 + 1)

/* Hashes of the parts of a prompt that other prompts may share, in order; never 0. The last part
 * of a prompt is its own and not among them. */
typedef struct
{
  uint64_t hashes[MF_PARTS_MAX];
  uint32_t n_parts;
  uint64_t own_hash; /* of the last part; 0: there is none */
  uint64_t own_tokens;
} MfParts;

uint64_t mf_part_hash (const char *id, size_t id_bytes);

void mf_parts_read (MfParts *parts, const char *text, size_t text_bytes);
const char *mf_parts_format (const MfParts *parts, char *text, size_t text_bytes);

#endif
