#include "adapter.h"

const MfEngineAdapter mf_plain_adapter = { .name = "plain" };
