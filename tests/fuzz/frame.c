#include "fuzz.h"

#include "libmangofork/frame.h"

#include <stdlib.h>
#include <string.h>

/* A payload that decodes is encoded to bytes that survive another round trip unchanged. */
int
fuzz_frame (const uint8_t *data, size_t n_bytes)
{
  MfError error = { 0 };
  MfFrame frame, again;
  uint8_t *bytes, *bytes_again;
  size_t n, n_again;

  if (!mf_frame_decode (data, n_bytes, &frame, &error))
    return 0;
  bytes = mf_frame_encode (&frame.message, &n, &error);
  if (bytes == NULL
      || !mf_frame_decode (bytes + MF_FRAME_LENGTH_BYTES, n - MF_FRAME_LENGTH_BYTES, &again,
                           &error))
    abort ();
  bytes_again = mf_frame_encode (&again.message, &n_again, &error);
  if (bytes_again == NULL || n != n_again || memcmp (bytes, bytes_again, n) != 0)
    abort ();
  free (bytes_again);
  free (bytes);
  mf_frame_clear (&again);
  mf_frame_clear (&frame);
  return 0;
}
