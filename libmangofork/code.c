#include "code.h"

static const MfCodeInfo code_table[] = {
#define MF_CODE_ROW(id, number, status, result, short_name, text)                                  \
  { .code = MF_CODE_##id,                                                                          \
    .http_status = (status),                                                                       \
    .outcome = MF_OUTCOME_##result,                                                                \
    .name = (short_name),                                                                          \
    .summary = (text) },
  MF_CODE_TABLE (MF_CODE_ROW)
#undef MF_CODE_ROW
};

/* Returns the index of a code in the table, for counters by code. That of an unknown code is the
 * index of MF_CODE_INTERNAL. */
size_t
mf_code_index (MfCode code)
{
  size_t internal = 0;

  for (size_t i = 0; i < MF_ARRAY_LEN (code_table); i++)
    {
      if (code_table[i].code == code)
        return i;
      if (code_table[i].code == MF_CODE_INTERNAL)
        internal = i;
    }
  return internal;
}

/* Returns the row of a code, or that of MF_CODE_INTERNAL if the code is unknown. */
const MfCodeInfo *
mf_code_info (MfCode code)
{
  return &code_table[mf_code_index (code)];
}

size_t
mf_code_count (void)
{
  return MF_ARRAY_LEN (code_table);
}

/* Calls func for each row in ascending order of number. */
void
mf_code_foreach (MfCodeFunc func, void *data)
{
  for (size_t i = 0; i < MF_ARRAY_LEN (code_table); i++)
    {
      if (!func (&code_table[i], data))
        return;
    }
}
