#include "retry.h"

/* Budgets are in thousandths of a call. Each request earns a tenth of a retry and a twentieth of a
 * hedge. The burst of retries covers all streams of one engine. */
#define TOKEN_MILLI 1000
#define RETRY_EARN_MILLI 100
#define RETRY_BURST_MILLI (64 * TOKEN_MILLI)
#define HEDGE_EARN_MILLI 50
#define HEDGE_BURST_MILLI (8 * TOKEN_MILLI)
/* Each period also earns one retry, so that the budget of a service with little traffic
 * recovers. */
#define RETRY_PERIOD_US MF_US_PER_S
/* After n earlier retries the backoff is random below BACKOFF_BASE_US doubled n times, and at most
 * BACKOFF_DOUBLINGS_MAX times. */
#define BACKOFF_BASE_US (5 * MF_US_PER_MS)
#define BACKOFF_DOUBLINGS_MAX 7

static void
earn (MfBudget *budget, uint32_t n_milli, uint32_t burst_milli)
{
  budget->tokens_milli += n_milli;
  if (budget->tokens_milli > burst_milli)
    budget->tokens_milli = burst_milli;
}

static void
earn_by_time (MfBudget *budget, uint64_t now_us)
{
  uint64_t n_periods = (now_us - budget->refilled_us) / RETRY_PERIOD_US;

  budget->refilled_us += n_periods * RETRY_PERIOD_US;
  if (n_periods > RETRY_BURST_MILLI / TOKEN_MILLI)
    n_periods = RETRY_BURST_MILLI / TOKEN_MILLI;
  earn (budget, (uint32_t)n_periods * TOKEN_MILLI, RETRY_BURST_MILLI);
}

static bool
spend (MfBudget *budget)
{
  if (budget->tokens_milli < TOKEN_MILLI)
    return false;
  budget->tokens_milli -= TOKEN_MILLI;
  return true;
}

/* A request of the service has been accepted. */
void
mf_retry_earn (MfCore *core, uint32_t service)
{
  MfServiceRow *row = &core->board.services.rows[service];

  if (!row->budgets_filled)
    {
      row->retry.tokens_milli = RETRY_BURST_MILLI;
      row->budgets_filled = true;
    }
  earn (&row->retry, RETRY_EARN_MILLI, RETRY_BURST_MILLI);
  earn (&row->hedge, HEDGE_EARN_MILLI, HEDGE_BURST_MILLI);
}

/* Takes one retry from the service's budget; returns false if it is exhausted. The first retry has
 * no delay. The delay then doubles with each and has full jitter from the core's own random
 * generator. */
bool
mf_retry_may (MfCore *core, MfRequest *request, uint64_t *delay_us)
{
  MfServiceRow *row = &core->board.services.rows[request->service];
  uint32_t doublings
      = request->n_retries < BACKOFF_DOUBLINGS_MAX ? request->n_retries : BACKOFF_DOUBLINGS_MAX;

  earn_by_time (&row->retry, core->board.now_us);
  if (!spend (&row->retry))
    return false;
  *delay_us
      = request->n_retries == 0 ? 0 : mf_core_random_below (core, BACKOFF_BASE_US << doublings);
  return true;
}

bool
mf_retry_may_hedge (MfCore *core, uint32_t service)
{
  return spend (&core->board.services.rows[service].hedge);
}
