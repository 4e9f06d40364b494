#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* Fuzz targets: each takes arbitrary bytes, and aborts when a property of the decoder does not
 * hold. */
int fuzz_frame (const uint8_t *data, size_t n_bytes);
int fuzz_entry (const uint8_t *data, size_t n_bytes);
int fuzz_routes (const uint8_t *data, size_t n_bytes);
int fuzz_settings (const uint8_t *data, size_t n_bytes);
int fuzz_stream (const uint8_t *data, size_t n_bytes);
int fuzz_text (const uint8_t *data, size_t n_bytes);
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes);

#endif
