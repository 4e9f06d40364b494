#include "core.h"

const MfController mf_prefix_controller = { .name = "prefix" };
