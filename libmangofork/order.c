#include "core.h"

const MfController mf_order_controller = { .name = "order" };
