#ifndef MF_ORDER_H
#define MF_ORDER_H

#include "core.h"

/* Whether an upstream is to be given no work: it serves another model than its pool's, or it is
 * being emptied for an order. */
bool mf_order_holds (const MfCore *core, uint32_t upstream);

#endif
