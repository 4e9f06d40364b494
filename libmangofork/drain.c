#include "core.h"

const MfController mf_drain_controller = { .name = "drain" };
