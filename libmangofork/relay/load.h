#ifndef MF_RELAY_LOAD_H
#define MF_RELAY_LOAD_H

#include "load_report.h"
#include "route.h"
#include "target.h"

/* Load of the engines summed over all instances, and the check whether a request fits. It is needed
 * in bursts that exhaust the engines' KV memory: without shared load figures, instances would fill
 * the same engines, which then decline prompts that are already prefilled, or preempt requests and
 * prefill them again. */

uint64_t mf_load_kv_tokens (uint64_t prompt_tokens, uint64_t hint_tokens, uint64_t typical_tokens,
                            uint64_t max_tokens);
uint64_t mf_load_answer_tokens (uint64_t hint_tokens, uint64_t typical_tokens, uint64_t max_tokens);
bool mf_load_fits (const MfTarget *target, const MfRouteService *config, uint64_t tokens,
                   uint64_t now_us);
void mf_load_fill_report (const MfTargets *targets, MfLoadReport *report, uint64_t now_us);
void mf_load_reset_remote (MfTargets *targets);
void mf_load_add_remote (void *data, const MfLoadEntry *entry, uint64_t received_us);

#endif
