#include "adapter.h"

const MfEngineAdapter mf_openai_adapter = { .name = "openai" };
