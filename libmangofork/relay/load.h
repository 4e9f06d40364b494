#ifndef MF_RELAY_LOAD_H
#define MF_RELAY_LOAD_H

#include "load_report.h"
#include "route.h"
#include "target.h"

/* Load of engines over all instances, and whether a request fits. It answers the bursts in which
 * the engines' memory is the bound: without a common picture instances fill the same engines, which
 * then decline prompts that were already read, or put requests back and read them again. */

uint64_t mf_load_kv_tokens (uint64_t prompt_tokens, uint64_t hint_tokens, uint64_t typical_tokens,
                            uint64_t max_tokens);
uint64_t mf_load_answer_tokens (uint64_t hint_tokens, uint64_t typical_tokens, uint64_t max_tokens);
bool mf_load_fits (const MfTarget *target, const MfRouteService *config, uint64_t tokens,
                   uint64_t now_us);
void mf_load_fill_report (const MfTargets *targets, MfLoadReport *report, uint64_t now_us);
void mf_load_reset_remote (MfTargets *targets);
void mf_load_add_remote (void *data, const MfLoadEntry *entry, uint64_t received_us);

#endif
