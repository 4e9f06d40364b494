#ifndef MF_TEXT_DELTA_H
#define MF_TEXT_DELTA_H

#include "peer.h"

/* Fills message with the difference that turns base into text: the bytes between their common
 * prefix and common suffix. Pointers are borrowed from text. */
void mf_text_delta_make (const char *base, size_t base_bytes, const char *text, size_t text_bytes,
                         MfConfigMessage *message);
/* Rebuilds the full text, NUL-terminated and freed by the caller. Returns NULL when the message
 * does not fit the base or memory is exhausted. */
char *mf_text_delta_apply (const char *base, size_t base_bytes, const MfConfigMessage *message,
                           size_t *text_bytes);
uint64_t mf_text_hash (const char *text, size_t text_bytes);

#endif
