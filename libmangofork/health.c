#include "core.h"

const MfController mf_health_controller = { .name = "health" };
