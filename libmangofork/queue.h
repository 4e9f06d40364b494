#ifndef MF_QUEUE_H
#define MF_QUEUE_H

#include "request.h"

/* Queues an admitted request; refuses it at once when it is certain that its turn would come after
 * its deadline. The request may be gone afterwards. */
void mf_queue_add (MfCore *core, MfRequest *request);
/* Queues a request that has been served before: it goes first. */
void mf_queue_add_again (MfCore *core, MfRequest *request);
void mf_queue_remove (MfCore *core, MfRequest *request);
/* Something has changed: places are looked for at the end of this step. */
void mf_queue_stir (MfCore *core);
uint32_t mf_queue_length (const MfCore *core);
uint32_t mf_queue_service_length (const MfCore *core, uint32_t service);
/* When a refused caller should come back. */
uint64_t mf_queue_retry_after_ms (const MfCore *core, uint32_t service);

#endif
