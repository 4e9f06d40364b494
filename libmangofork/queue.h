#ifndef MF_QUEUE_H
#define MF_QUEUE_H

#include "request.h"

/* Queues an admitted request; refuses it at once when it is certain that its turn would come after
 * its deadline. The request may be gone afterwards. */
void mf_queue_add (MfCore *core, MfRequest *request);
/* Queues a request that has been served before: it goes first. */
void mf_queue_add_again (MfCore *core, MfRequest *request);
void mf_queue_remove (MfCore *core, MfRequest *request);
/* The request's KV waits for a decode engine: it is asked for one whenever something changes, the
 * oldest first. */
void mf_queue_wait_transfer (MfCore *core, MfRequest *request);
/* How long the KV that waits longest has waited; 0 when none waits. */
uint64_t mf_queue_transfer_wait_us (const MfCore *core);
void mf_queue_end_wait (MfCore *core, MfRequest *request);
/* Something has changed: places are looked for at the end of this step. */
void mf_queue_stir (MfCore *core);
uint32_t mf_queue_length (const MfCore *core);
uint32_t mf_queue_service_length (const MfCore *core, uint32_t service);
/* When a refused caller should come back. */
uint64_t mf_queue_retry_after_ms (const MfCore *core, uint32_t service);

#endif
