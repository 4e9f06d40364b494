#include "fuzz.h"

/* The entry point of libFuzzer; FUZZ_TARGET is the target that it runs. */
#ifdef FUZZ_TARGET
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes)
{
  return FUZZ_TARGET (data, n_bytes);
}
#endif
