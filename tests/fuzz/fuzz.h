#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>

/* Each takes any bytes and aborts when a promise about them is broken. */
int fuzz_frame (const uint8_t *data, size_t n_bytes);
int fuzz_text (const uint8_t *data, size_t n_bytes);
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes);

#endif
