#include "core.h"

const MfController mf_confsync_controller = { .name = "confsync" };
