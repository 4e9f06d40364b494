#include "window.h"

#define MILLI 1000
#define WINDOW_MIN_MILLI MILLI
/* A wait for a decode slot that means too many at once, and what it takes off the window. */
#define WAIT_HIGH_US (60 * MF_US_PER_MS)
#define WAIT_FALL_DIVISOR 40
#define KV_EXPIRED_FALL_DIVISOR 16
/* Plain answers this much slower than the fastest mean seen mean that calls wait there. */
#define SLOWER_PERCENT 120
#define PLAIN_RISE_MILLI 20
#define PLAIN_FALL_DIVISOR 64
#define MEAN_DIVISOR 32
#define IDLE_DIVISOR 4
/* The first window is small, so that the first answers are seen unhindered; it rises faster until
 * it has been narrowed once. */
#define INIT_DIVISOR 16
#define INIT_RISE_MILLI 100

/* Begins with a part of what the pool's upstreams hold. */
void
mf_window_begin (MfPoolRow *pool, uint32_t n_slots)
{
  if (pool->window_milli == 0)
    pool->window_milli = n_slots * MILLI / INIT_DIVISOR + WINDOW_MIN_MILLI;
}

/* Whether one more may be kept there. */
bool
mf_window_allows (const MfPoolRow *pool)
{
  return pool->n_own * MILLI < pool->window_milli || pool->n_own == 0;
}

/* Counts one more request there. One that went in beside the window, because there was room, widens
 * it. */
void
mf_window_take (MfPoolRow *pool, bool spare)
{
  pool->n_own++;
  if (spare && pool->window_milli < pool->n_own * MILLI)
    pool->window_milli = pool->n_own * MILLI;
}

void
mf_window_give (MfPoolRow *pool)
{
  pool->n_own--;
}

static void
narrow (MfPoolRow *pool, uint32_t by_milli)
{
  pool->window_milli = pool->window_milli > WINDOW_MIN_MILLI + by_milli
                           ? pool->window_milli - by_milli
                           : WINDOW_MIN_MILLI;
}

/* Widens the window only while it is what holds requests back. */
static void
widen (MfPoolRow *pool, uint32_t by_milli)
{
  if ((pool->n_own + 1) * MILLI >= pool->window_milli)
    pool->window_milli += by_milli;
}

/* Narrows by a share of the window, so that wide ones give up more and instances grow alike. */
void
mf_window_note_wait (MfPoolRow *pool, uint64_t wait_us)
{
  pool->n_waits++;
  pool->sum_wait_us += wait_us;
  if (wait_us > WAIT_HIGH_US)
    narrow (pool, pool->window_milli / WAIT_FALL_DIVISOR);
}

void
mf_window_lose (MfPoolRow *pool, uint32_t n_slots, uint32_t n_slots_before)
{
  if (n_slots_before > 0)
    narrow (pool, (uint32_t)((uint64_t)pool->window_milli * n_slots / n_slots_before));
}

void
mf_window_note_loss (MfPoolRow *pool)
{
  narrow (pool, pool->window_milli / KV_EXPIRED_FALL_DIVISOR);
}

/* Keeps the window where answers are hardly slower than the fastest they have been. What they take
 * when hardly any are out is taken as it is. */
void
mf_window_note_answer (MfPoolRow *pool, uint64_t answer_us)
{
  uint32_t divisor = pool->n_answers < MEAN_DIVISOR ? pool->n_answers + 1 : MEAN_DIVISOR;
  int64_t step = ((int64_t)answer_us - (int64_t)pool->answer_us) / (int64_t)divisor;

  pool->answer_us = (uint64_t)((int64_t)pool->answer_us + step);
  if (++pool->n_answers < MEAN_DIVISOR)
    return;
  if (pool->base_us == 0 || pool->answer_us < pool->base_us
      || pool->n_own * IDLE_DIVISOR * MILLI < pool->window_milli)
    pool->base_us = pool->answer_us;
  if (pool->answer_us * 100 > pool->base_us * SLOWER_PERCENT)
    {
      narrow (pool, pool->window_milli / PLAIN_FALL_DIVISOR);
      pool->narrowed = true;
    }
  else
    widen (pool, pool->narrowed ? PLAIN_RISE_MILLI : INIT_RISE_MILLI);
}
