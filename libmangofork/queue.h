#ifndef MF_QUEUE_H
#define MF_QUEUE_H

#include "request.h"

/* Queues an admitted request, or refuses it at once if it is not expected to be placed before its
 * deadline. The request may have been freed on return. */
void mf_queue_add (MfCore *core, MfRequest *request);
/* Queues a request again after a failed attempt, ahead of others unless it is late. */
void mf_queue_requeue (MfCore *core, MfRequest *request);
void mf_queue_remove (MfCore *core, MfRequest *request);
/* Adds the request to those whose KV waits for a decode engine. They are offered one, oldest first,
 * in every placement pass. */
void mf_queue_add_transfer (MfCore *core, MfRequest *request);
/* Returns how long the oldest waiting KV has waited; 0 if none waits. */
uint64_t mf_queue_transfer_wait_us (const MfCore *core);
void mf_queue_remove_transfer (MfCore *core, MfRequest *request);
/* Schedules a placement pass at the end of this step, because capacity or the queue has changed. */
void mf_queue_schedule_pass (MfCore *core);
uint32_t mf_queue_length (const MfCore *core);
uint32_t mf_queue_service_length (const MfCore *core, uint32_t service);
/* Returns after what time a refused caller should retry. */
uint64_t mf_queue_retry_after_ms (const MfCore *core, uint32_t service);

#endif
