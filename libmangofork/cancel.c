#include "cancel.h"

#include "heap.h"

#include "table.h"
#include <stdlib.h>

#define CALL_TIMEOUT_US (500 * MF_US_PER_MS)
#define RETRY_FIRST_US (50 * MF_US_PER_MS)
#define RETRY_DOUBLINGS_MAX 5
/* The cancel for a dead instance is sent until it was confirmed this often, as its last calls may
 * arrive after the first cancel. */
#define INSTANCE_CONFIRMATIONS 3
#define INSTANCE_REPEAT_US (1 * MF_US_PER_S)

typedef struct PendingCancel
{
  MfHeapNode timer; /* first member */
  uint32_t upstream;
  uint64_t request_id;
  uint64_t target_call_id;
  uint32_t target_attempt;
  bool of_instance;
  MfInstanceId instance;
  uint32_t n_tries;
  uint32_t n_confirmed;
  uint64_t call_id; /* of the cancel in flight; 0 when there is none */
  struct PendingCancel *prev;
  struct PendingCancel *next;
  UT_hash_handle hh; /* by call_id, while in flight */
} PendingCancel;

struct MfCancels
{
  PendingCancel *first;
  PendingCancel *in_flight;
  MfHeap timers;
  uint32_t n_cancels;
};

static void
cancel_remove (MfCancels *cancels, PendingCancel *cancel)
{
  if (cancel->call_id != 0)
    HASH_DEL (cancels->in_flight, cancel);
  mf_heap_remove (&cancels->timers, &cancel->timer);
  if (cancel->prev != NULL)
    cancel->prev->next = cancel->next;
  else
    cancels->first = cancel->next;
  if (cancel->next != NULL)
    cancel->next->prev = cancel->prev;
  cancels->n_cancels--;
  free (cancel);
}

/* Sends the cancel; it stays pending until the upstream confirms it. */
static void
cancel_send (MfCore *core, PendingCancel *cancel)
{
  MfCancels *cancels = core->board.cancels;
  const MfUpstream *row = &core->board.upstreams[cancel->upstream];
  MfAction action = {
    .type = MF_ACTION_CALL_START,
    .call = { .call_id = mf_core_next_call_id (core),
              .kind = cancel->of_instance ? MF_CALL_CANCEL_OWNER : MF_CALL_CANCEL,
              .upstream = cancel->upstream,
              .address = row->config.address,
              .engine = row->config.engine,
              .request_id = cancel->request_id,
              .attempt = cancel->target_attempt,
              .target_call_id = cancel->target_call_id,
              .target_attempt = cancel->target_attempt,
              .owner = cancel->instance,
              .timeout_us = CALL_TIMEOUT_US },
  };

  if (cancel->call_id != 0)
    HASH_DEL (cancels->in_flight, cancel);
  cancel->call_id = action.call.call_id;
  HASH_ADD (hh, cancels->in_flight, call_id, sizeof cancel->call_id, cancel);
  cancel->n_tries++;
  mf_heap_set (&cancels->timers, &cancel->timer, core->board.now_us + 2 * CALL_TIMEOUT_US);
  mf_core_emit (core, &action);
}

static PendingCancel *
cancel_new (MfCore *core, uint32_t upstream)
{
  MfCancels *cancels = core->board.cancels;
  PendingCancel *cancel = calloc (1, sizeof *cancel);

  if (cancel == NULL)
    abort ();
  cancel->timer.position = MF_HEAP_NO_POSITION;
  cancel->upstream = upstream;
  cancel->next = cancels->first;
  if (cancels->first != NULL)
    cancels->first->prev = cancel;
  cancels->first = cancel;
  cancels->n_cancels++;
  mf_heap_set (&cancels->timers, &cancel->timer, core->board.now_us);
  return cancel;
}

/* Cancels one call; the cancel is repeated until the upstream confirms it or restarts. */
void
mf_cancel_add (MfCore *core, uint32_t upstream, uint64_t request_id, uint64_t call_id,
               uint32_t attempt)
{
  PendingCancel *cancel;

  if (core->board.options.naive)
    return;
  cancel = cancel_new (core, upstream);
  cancel->request_id = request_id;
  cancel->target_call_id = call_id;
  cancel->target_attempt = attempt;
}

/* Cancels all work of a dead incarnation of an instance at an upstream. */
void
mf_cancel_add_instance (MfCore *core, uint32_t upstream, const MfInstanceId *instance)
{
  PendingCancel *cancel = cancel_new (core, upstream);

  cancel->of_instance = true;
  cancel->instance = *instance;
}

/* Drops the cancels of single calls at an upstream that has restarted: their calls are gone. */
void
mf_cancel_upstream_restarted (MfCore *core, uint32_t upstream)
{
  MfCancels *cancels = core->board.cancels;
  PendingCancel *cancel = cancels->first;

  while (cancel != NULL)
    {
      PendingCancel *next = cancel->next;

      if (cancel->upstream == upstream && !cancel->of_instance)
        cancel_remove (cancels, cancel);
      cancel = next;
    }
}

uint32_t
mf_cancel_count (const MfCore *core)
{
  return core->board.cancels->n_cancels;
}

/* Handles the end of a cancel. Any status below 300, and 404, confirm it. */
static void
cancel_handle (MfCore *core, const MfEvent *event)
{
  MfCancels *cancels = core->board.cancels;
  uint64_t call_id = event->call.call_id;
  uint32_t doublings;
  PendingCancel *cancel;

  if (event->type != MF_EVENT_CALL_DONE && event->type != MF_EVENT_CALL_FAILED)
    return;
  HASH_FIND (hh, cancels->in_flight, &call_id, sizeof call_id, cancel);
  if (cancel == NULL)
    return;
  HASH_DEL (cancels->in_flight, cancel);
  cancel->call_id = 0;
  if (event->type == MF_EVENT_CALL_DONE && (event->call.status < 300 || event->call.status == 404))
    {
      mf_counter_add (&core->board.counters, MF_COUNTER_CANCELS, 1);
      if (!cancel->of_instance || ++cancel->n_confirmed >= INSTANCE_CONFIRMATIONS)
        cancel_remove (cancels, cancel);
      else
        mf_heap_set (&cancels->timers, &cancel->timer, core->board.now_us + INSTANCE_REPEAT_US);
      return;
    }
  doublings = cancel->n_tries < RETRY_DOUBLINGS_MAX ? cancel->n_tries : RETRY_DOUBLINGS_MAX;
  mf_heap_set (&cancels->timers, &cancel->timer,
               core->board.now_us + (RETRY_FIRST_US << doublings));
}

/* Returns whether the upstream is dead and no longer configured: it is not expected to return at
 * its address. */
static bool
is_obsolete (const MfCore *core, const PendingCancel *cancel)
{
  const MfUpstream *row = &core->board.upstreams[cancel->upstream];

  return !row->in_config && row->health == MF_HEALTH_DEAD;
}

static void
cancel_tick (MfCore *core)
{
  MfCancels *cancels = core->board.cancels;
  MfHeapNode *node;

  while ((node = mf_heap_first (&cancels->timers)) != NULL && node->at_us <= core->board.now_us)
    {
      if (is_obsolete (core, (PendingCancel *)node))
        cancel_remove (cancels, (PendingCancel *)node);
      else
        cancel_send (core, (PendingCancel *)node);
    }
  if (node != NULL)
    mf_core_wake_at (core, node->at_us);
}

static bool
cancel_init (MfCore *core, MfError *error)
{
  core->board.cancels = calloc (1, sizeof *core->board.cancels);
  if (core->board.cancels == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY,
                  "out of memory while creating the table of pending cancels");
  return core->board.cancels != NULL;
}

static void
cancel_finish (MfCore *core)
{
  MfCancels *cancels = core->board.cancels;

  if (cancels == NULL)
    return;
  while (cancels->first != NULL)
    cancel_remove (cancels, cancels->first);
  mf_heap_clear (&cancels->timers);
  free (cancels);
}

const MfController mf_cancel_controller = {
  .name = "cancel",
  .init = cancel_init,
  .finish = cancel_finish,
  .handle = cancel_handle,
  .tick = cancel_tick,
};
