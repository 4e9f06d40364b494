#ifndef MF_ENCODE_H
#define MF_ENCODE_H

#include "buffer.h"

/* Encodings of text in requests and responses. */

void mf_encode_query (const char *text, size_t text_bytes, char *value, size_t value_bytes);
bool mf_decode_base64 (const char *text, size_t text_bytes, MfBuffer *bytes);

#endif
