#ifndef MF_WINDOW_H
#define MF_WINDOW_H

#include "core.h"

/* How many requests this instance keeps at one pool at once. Several instances use the same
 * engines without asking each other; each finds its part by what it sees of the waiting there. */
void mf_window_begin (MfPoolRow *pool, uint32_t n_slots);
bool mf_window_allows (const MfPoolRow *pool);
void mf_window_take (MfPoolRow *pool, bool spare);
void mf_window_give (MfPoolRow *pool);
/* A request got its place after waiting so long for it, though there seemed to be room. */
void mf_window_note_wait (MfPoolRow *pool, uint64_t wait_us);
/* Some of the pool's slots are out of use. */
void mf_window_lose (MfPoolRow *pool, uint32_t n_slots, uint32_t n_slots_before);
/* A request lost its work to waiting. */
void mf_window_note_loss (MfPoolRow *pool);
/* A plain call was answered in this time. */
void mf_window_note_answer (MfPoolRow *pool, uint64_t answer_us);

#endif
