#ifndef MF_WINDOW_H
#define MF_WINDOW_H

#include "core.h"

/* The window limits how many requests this instance has at one pool at once. Instances use the same
 * engines without coordinating for each request; each adapts its window to the waiting times that
 * it observes there. */
void mf_window_init (MfPoolRow *pool, uint32_t n_slots);
bool mf_window_allows (const MfPoolRow *pool);
void mf_window_acquire (MfPoolRow *pool, bool slot_reserved);
void mf_window_release (MfPoolRow *pool);
/* A KV waited this long for its decode slot, although there seemed to be capacity. */
void mf_window_note_wait (MfPoolRow *pool, uint64_t wait_us);
/* Some of the pool's slots can no longer be used. */
void mf_window_note_slots_lost (MfPoolRow *pool, uint32_t n_slots, uint32_t n_slots_before);
/* A KV expired while it waited for a decode slot. */
void mf_window_note_kv_expired (MfPoolRow *pool);
/* A plain call was answered in this time. */
void mf_window_note_answer (MfPoolRow *pool, uint64_t answer_us);

#endif
