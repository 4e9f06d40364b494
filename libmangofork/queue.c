#include "core.h"

const MfController mf_queue_controller = { .name = "queue" };
