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
/* Records how long a KV waited for its decode slot although there seemed to be capacity. A long
 * wait narrows the window. */
void mf_window_note_wait (MfPoolRow *pool, uint64_t wait_us);
/* Narrows the window after some of the pool's slots have become unusable. */
void mf_window_note_slots_lost (MfPoolRow *pool, uint32_t n_slots, uint32_t n_slots_before);
/* Narrows the window after a KV has expired while it waited for a decode slot. */
void mf_window_note_kv_expired (MfPoolRow *pool);
/* Adjusts the window to the duration of a plain call. */
void mf_window_note_answer (MfPoolRow *pool, uint64_t answer_us);

#endif
