#include "core.h"

const MfController mf_series_controller = { .name = "series" };
