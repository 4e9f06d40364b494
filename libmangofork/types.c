#include "types.h"

#include <string.h>

/* Returns the name of an outcome as sent to callers. */
const char *
mf_outcome_name (MfOutcome outcome)
{
  static const char *const names[] = {
    [MF_OUTCOME_NOT_RUN] = "not-run",
    [MF_OUTCOME_RAN] = "ran",
    [MF_OUTCOME_UNKNOWN] = "unknown",
  };

  return names[outcome];
}

/* Returns the name of a role as used in the operators' text. */
const char *
mf_role_name (MfRole role)
{
  static const char *const names[MF_ROLE_COUNT] = {
    [MF_ROLE_PREFILL] = "prefill",
    [MF_ROLE_DECODE] = "decode",
    [MF_ROLE_PLAIN] = "plain",
  };

  return role < MF_ROLE_COUNT ? names[role] : "none";
}

/* Returns the name of a request class as used in the operators' text. */
const char *
mf_class_name (MfClass class_)
{
  static const char *const names[MF_CLASS_COUNT] = {
    [MF_CLASS_READ] = "read",
    [MF_CLASS_ORDER] = "order",
    [MF_CLASS_SUMMARY] = "summary",
  };

  return class_ < MF_CLASS_COUNT ? names[class_] : "none";
}

bool
mf_name_set (char *dst, size_t dst_bytes, const char *src)
{
  size_t len = strlen (src);
  bool fits = len < dst_bytes;

  if (!fits)
    len = dst_bytes - 1;
  memcpy (dst, src, len);
  dst[len] = '\0';
  return fits;
}

bool
mf_instance_id_equal (const MfInstanceId *a, const MfInstanceId *b)
{
  return a->incarnation == b->incarnation && strcmp (a->name, b->name) == 0;
}
