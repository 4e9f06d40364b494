#include "counter.h"

static const char *const names[] = {
#define MF_COUNTER_NAME(id, name, help) name,
  MF_COUNTER_TABLE (MF_COUNTER_NAME)
#undef MF_COUNTER_NAME
};

static const char *const helps[] = {
#define MF_COUNTER_HELP(id, name, help) help,
  MF_COUNTER_TABLE (MF_COUNTER_HELP)
#undef MF_COUNTER_HELP
};

/* Returns the name under which a counter is exported. */
const char *
mf_counter_name (MfCounter counter)
{
  return names[counter];
}

const char *
mf_counter_help (MfCounter counter)
{
  return helps[counter];
}
