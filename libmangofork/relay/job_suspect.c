#include "job_row.h"

#include <string.h>
#include <xxhash.h>

/* Hash of what makes two tries of a caller the same request: its host, method, target and body.
 * Never 0. */
uint64_t
mf_job_digest (const MfCaller *caller)
{
  const MfHead *head = mf_caller_head (caller);
  const char *method = mf_caller_method (caller);
  const MfBuffer *body = mf_caller_body (caller);
  uint64_t parts[] = {
    mf_caller_host (caller),
    XXH3_64bits (method, strlen (method)),
    XXH3_64bits (mf_head_text (head, 0), head->target_bytes),
    XXH3_64bits (mf_buffer_data (body), mf_buffer_bytes (body)),
  };
  uint64_t digest = XXH3_64bits (parts, sizeof parts);

  return digest != 0 ? digest : 1;
}
