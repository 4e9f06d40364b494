#include "debt.h"

#include "heap.h"

#include "table.h"
#include <stdlib.h>

#define CANCEL_TIMEOUT_US (500 * MF_US_PER_MS)
#define RETRY_FIRST_US (50 * MF_US_PER_MS)
#define RETRY_DOUBLINGS_MAX 5
/* What a dead instance held is asked for more than once, as its last calls may still arrive. */
#define OWNER_REPEATS 3
#define OWNER_REPEAT_US (1 * MF_US_PER_S)

typedef struct Debt
{
  MfHeapNode timer; /* first member */
  uint32_t upstream;
  uint64_t request_id;
  uint64_t target_call_id;
  uint32_t target_attempt;
  bool of_owner;
  MfInstanceId owner;
  uint32_t n_tries;
  uint32_t n_confirmed;
  uint64_t call_id; /* the cancel in flight; 0 for none */
  struct Debt *prev;
  struct Debt *next;
  UT_hash_handle hh; /* by call_id, while in flight */
} Debt;

struct MfDebts
{
  Debt *first;
  Debt *in_flight;
  MfHeap timers;
  uint32_t n_debts;
};

static void
remove_debt (MfDebts *debts, Debt *debt)
{
  if (debt->call_id != 0)
    HASH_DEL (debts->in_flight, debt);
  mf_heap_remove (&debts->timers, &debt->timer);
  if (debt->prev != NULL)
    debt->prev->next = debt->next;
  else
    debts->first = debt->next;
  if (debt->next != NULL)
    debt->next->prev = debt->prev;
  debts->n_debts--;
  free (debt);
}

/* Asks the upstream; the debt stays until it confirms. */
static void
ask (MfCore *core, Debt *debt)
{
  MfDebts *debts = core->board.debts;
  const MfUpstream *row = &core->board.upstreams[debt->upstream];
  MfAction action = {
    .type = MF_ACTION_CALL_START,
    .call = { .call_id = mf_core_next_call_id (core),
              .kind = debt->of_owner ? MF_CALL_CANCEL_OWNER : MF_CALL_CANCEL,
              .upstream = debt->upstream,
              .address = row->config.address,
              .engine = row->config.engine,
              .request_id = debt->request_id,
              .attempt = debt->target_attempt,
              .target_call_id = debt->target_call_id,
              .target_attempt = debt->target_attempt,
              .owner = debt->owner,
              .timeout_us = CANCEL_TIMEOUT_US },
  };

  if (debt->call_id != 0)
    HASH_DEL (debts->in_flight, debt);
  debt->call_id = action.call.call_id;
  HASH_ADD (hh, debts->in_flight, call_id, sizeof debt->call_id, debt);
  debt->n_tries++;
  mf_heap_set (&debts->timers, &debt->timer, core->board.now_us + 2 * CANCEL_TIMEOUT_US);
  mf_core_emit (core, &action);
}

static Debt *
new_debt (MfCore *core, uint32_t upstream)
{
  MfDebts *debts = core->board.debts;
  Debt *debt = calloc (1, sizeof *debt);

  if (debt == NULL)
    abort ();
  debt->timer.position = MF_HEAP_NO_POSITION;
  debt->upstream = upstream;
  debt->next = debts->first;
  if (debts->first != NULL)
    debts->first->prev = debt;
  debts->first = debt;
  debts->n_debts++;
  mf_heap_set (&debts->timers, &debt->timer, core->board.now_us);
  return debt;
}

/* Owes the upstream a cancel of one call; repeated until confirmed or the upstream restarted. */
void
mf_debt_add (MfCore *core, uint32_t upstream, uint64_t request_id, uint64_t call_id,
             uint32_t attempt)
{
  Debt *debt;

  if (core->board.options.naive)
    return;
  debt = new_debt (core, upstream);
  debt->request_id = request_id;
  debt->target_call_id = call_id;
  debt->target_attempt = attempt;
}

/* Owes the upstream a cancel of all that a dead incarnation of an instance held there. */
void
mf_debt_add_owner (MfCore *core, uint32_t upstream, const MfInstanceId *owner)
{
  Debt *debt = new_debt (core, upstream);

  debt->of_owner = true;
  debt->owner = *owner;
}

void
mf_debt_upstream_restarted (MfCore *core, uint32_t upstream)
{
  MfDebts *debts = core->board.debts;
  Debt *debt = debts->first;

  while (debt != NULL)
    {
      Debt *next = debt->next;

      if (debt->upstream == upstream && !debt->of_owner)
        remove_debt (debts, debt);
      debt = next;
    }
}

uint32_t
mf_debt_count (const MfCore *core)
{
  return core->board.debts->n_debts;
}

/* A cancel has ended: 200 and 404 both confirm. */
static void
debt_handle (MfCore *core, const MfEvent *event)
{
  MfDebts *debts = core->board.debts;
  uint64_t call_id = event->call.call_id;
  uint32_t doublings;
  Debt *debt;

  if (event->type != MF_EVENT_CALL_DONE && event->type != MF_EVENT_CALL_FAILED)
    return;
  HASH_FIND (hh, debts->in_flight, &call_id, sizeof call_id, debt);
  if (debt == NULL)
    return;
  HASH_DEL (debts->in_flight, debt);
  debt->call_id = 0;
  if (event->type == MF_EVENT_CALL_DONE && (event->call.status < 300 || event->call.status == 404))
    {
      mf_counter_add (&core->board.counters, MF_COUNTER_CANCELS, 1);
      if (!debt->of_owner || ++debt->n_confirmed >= OWNER_REPEATS)
        remove_debt (debts, debt);
      else
        mf_heap_set (&debts->timers, &debt->timer, core->board.now_us + OWNER_REPEAT_US);
      return;
    }
  doublings = debt->n_tries < RETRY_DOUBLINGS_MAX ? debt->n_tries : RETRY_DOUBLINGS_MAX;
  mf_heap_set (&debts->timers, &debt->timer, core->board.now_us + (RETRY_FIRST_US << doublings));
}

/* An upstream that the text no longer names and that does not answer will not come back under its
 * address. */
static bool
is_void (const MfCore *core, const Debt *debt)
{
  const MfUpstream *row = &core->board.upstreams[debt->upstream];

  return !row->in_config && row->health == MF_HEALTH_DEAD;
}

static void
debt_tick (MfCore *core)
{
  MfDebts *debts = core->board.debts;
  MfHeapNode *node;

  while ((node = mf_heap_first (&debts->timers)) != NULL && node->at_us <= core->board.now_us)
    {
      if (is_void (core, (Debt *)node))
        remove_debt (debts, (Debt *)node);
      else
        ask (core, (Debt *)node);
    }
  if (node != NULL)
    mf_core_wake_at (core, node->at_us);
}

static bool
debt_init (MfCore *core, MfError *error)
{
  core->board.debts = calloc (1, sizeof *core->board.debts);
  if (core->board.debts == NULL)
    mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the debts");
  return core->board.debts != NULL;
}

static void
debt_finish (MfCore *core)
{
  MfDebts *debts = core->board.debts;

  if (debts == NULL)
    return;
  while (debts->first != NULL)
    remove_debt (debts, debts->first);
  mf_heap_clear (&debts->timers);
  free (debts);
}

const MfController mf_debt_controller = {
  .name = "debt",
  .init = debt_init,
  .finish = debt_finish,
  .handle = debt_handle,
  .tick = debt_tick,
};
