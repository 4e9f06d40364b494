#include "window.h"

#define MILLI 1000
#define WINDOW_MIN_MILLI MILLI
/* A longer wait for a decode slot means too many requests at once; it narrows the window by one
 * part in WAIT_FALL_DIVISOR. A KV that expires meanwhile narrows it by one part in
 * KV_EXPIRED_FALL_DIVISOR. */
#define WAIT_HIGH_US (60 * MF_US_PER_MS)
#define WAIT_FALL_DIVISOR 40
#define KV_EXPIRED_FALL_DIVISOR 16
/* A mean answer time of a plain pool above this percentage of the fastest mean seen means that
 * calls queue there. */
#define SLOWER_PERCENT 120
/* A plain pool's window shrinks by one part in PLAIN_FALL_DIVISOR for each answer while the mean is
 * above that, and otherwise grows by PLAIN_RISE_MILLI. */
#define PLAIN_RISE_MILLI 20
#define PLAIN_FALL_DIVISOR 64
/* One answer counts for one part in this of the moving mean, which is used after as many answers.
 */
#define MEAN_DIVISOR 32
/* With less than one part in this of the window in flight, the mean is taken as the new base. */
#define IDLE_DIVISOR 4
/* The initial window is small, so that the first answers are measured without queueing. It grows
 * faster until it has been narrowed once. */
#define INIT_DIVISOR 16
#define INIT_RISE_MILLI 100

/* Sets the initial window to a part of the pool's slots. */
void
mf_window_init (MfPoolRow *pool, uint32_t n_slots)
{
  if (pool->window_milli == 0)
    pool->window_milli = n_slots * MILLI / INIT_DIVISOR + WINDOW_MIN_MILLI;
}

/* Returns whether one more request may use the pool. */
bool
mf_window_allows (const MfPoolRow *pool)
{
  return pool->n_own_requests * MILLI < pool->window_milli || pool->n_own_requests == 0;
}

/* Counts one more request at the pool. One with a reserved slot does not depend on the window,
 * and widens it if it is full. */
void
mf_window_acquire (MfPoolRow *pool, bool slot_reserved)
{
  pool->n_own_requests++;
  if (slot_reserved && pool->window_milli < pool->n_own_requests * MILLI)
    pool->window_milli = pool->n_own_requests * MILLI;
}

void
mf_window_release (MfPoolRow *pool)
{
  pool->n_own_requests--;
}

static void
narrow (MfPoolRow *pool, uint32_t by_milli)
{
  pool->window_milli = pool->window_milli > WINDOW_MIN_MILLI + by_milli
                           ? pool->window_milli - by_milli
                           : WINDOW_MIN_MILLI;
}

/* Widens the window only if it is what limits requests. */
static void
widen (MfPoolRow *pool, uint32_t by_milli)
{
  if ((pool->n_own_requests + 1) * MILLI >= pool->window_milli)
    pool->window_milli += by_milli;
}

/* Narrows by a fraction of the window, so that wide windows give up more and those of the instances
 * converge. */
void
mf_window_note_wait (MfPoolRow *pool, uint64_t wait_us)
{
  pool->n_kv_waits++;
  pool->sum_kv_wait_us += wait_us;
  if (wait_us > WAIT_HIGH_US)
    narrow (pool, pool->window_milli / WAIT_FALL_DIVISOR);
}

void
mf_window_note_slots_lost (MfPoolRow *pool, uint32_t n_slots, uint32_t n_slots_before)
{
  if (n_slots_before > 0)
    narrow (pool, (uint32_t)((uint64_t)pool->window_milli * n_slots / n_slots_before));
}

void
mf_window_note_kv_expired (MfPoolRow *pool)
{
  narrow (pool, pool->window_milli / KV_EXPIRED_FALL_DIVISOR);
}

/* Adjusts the window so that answers stay nearly as fast as the fastest mean. The mean is taken as
 * the new base when few of the window's requests are in flight. */
void
mf_window_note_answer (MfPoolRow *pool, uint64_t answer_us)
{
  uint32_t divisor = pool->n_answers < MEAN_DIVISOR ? pool->n_answers + 1 : MEAN_DIVISOR;
  int64_t step = ((int64_t)answer_us - (int64_t)pool->answer_us) / (int64_t)divisor;

  pool->answer_us = (uint64_t)((int64_t)pool->answer_us + step);
  if (++pool->n_answers < MEAN_DIVISOR)
    return;
  if (pool->base_answer_us == 0 || pool->answer_us < pool->base_answer_us
      || pool->n_own_requests * IDLE_DIVISOR * MILLI < pool->window_milli)
    pool->base_answer_us = pool->answer_us;
  if (pool->answer_us * 100 > pool->base_answer_us * SLOWER_PERCENT)
    {
      narrow (pool, pool->window_milli / PLAIN_FALL_DIVISOR);
      pool->window_was_narrowed = true;
    }
  else
    widen (pool, pool->window_was_narrowed ? PLAIN_RISE_MILLI : INIT_RISE_MILLI);
}
