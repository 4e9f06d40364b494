#include "limit.h"

/* Credit for requests is counted in millionths. */
#define MICRO UINT64_C (1000000)
/* Burst of requests that a customer may send, in seconds of its rate. */
#define BURST_S 2

static bool
consume_rate_credit (const MfCore *core, MfCustomerRow *row, uint64_t *retry_after_ms)
{
  uint64_t rate = row->config.requests_per_s;
  uint64_t now = core->board.now_us;

  if (rate == 0)
    return true;
  row->credit_micro += row->credit_us == 0 ? rate * BURST_S * MICRO : (now - row->credit_us) * rate;
  row->credit_us = now;
  if (row->credit_micro > rate * BURST_S * MICRO)
    row->credit_micro = rate * BURST_S * MICRO;
  if (row->credit_micro < MICRO)
    {
      *retry_after_ms = (MICRO - row->credit_micro) / rate / MF_US_PER_MS + 1;
      return false;
    }
  row->credit_micro -= MICRO;
  return true;
}

bool
mf_limit_acquire (MfCore *core, uint32_t customer, uint64_t *retry_after_ms)
{
  MfCustomerRow *row;

  if (customer == MF_NONE)
    return true;
  row = &core->board.services.customers[customer];
  if (row->config.in_flight_max > 0 && row->n_in_flight >= row->config.in_flight_max)
    return false;
  if (!consume_rate_credit (core, row, retry_after_ms))
    return false;
  row->n_in_flight++;
  return true;
}

/* Releases what a request that has ended counted against its customer. */
void
mf_limit_release (MfCore *core, const MfRequest *request)
{
  if (request->customer != MF_NONE)
    core->board.services.customers[request->customer].n_in_flight--;
}
