#include "budget.h"

void
mf_budget_init (MfBudget *budget, uint64_t window_us, double ratio, uint32_t floor)
{
  *budget = (MfBudget){ .window_us = window_us, .ratio = ratio, .floor = floor };
}

/* Moves on to the part of the window that now is in. */
static void
budget_turn (MfBudget *budget, uint64_t now_us)
{
  uint64_t part_us = budget->window_us / MF_BUDGET_PARTS;

  if (part_us == 0)
    return;
  for (uint32_t i = 0; i < MF_BUDGET_PARTS && now_us - budget->part_begun_us >= part_us; i++)
    {
      budget->part = (budget->part + 1) % MF_BUDGET_PARTS;
      budget->n_requests[budget->part] = 0;
      budget->n_repeats[budget->part] = 0;
      budget->part_begun_us += part_us;
    }
  if (now_us - budget->part_begun_us >= part_us)
    budget->part_begun_us = now_us;
}

void
mf_budget_note_request (MfBudget *budget, uint64_t now_us)
{
  budget_turn (budget, now_us);
  budget->n_requests[budget->part]++;
}

bool
mf_budget_take (MfBudget *budget, uint64_t now_us)
{
  uint64_t n_requests = 0;
  uint64_t n_repeats = 0;

  budget_turn (budget, now_us);
  for (uint32_t i = 0; i < MF_BUDGET_PARTS; i++)
    {
      n_requests += budget->n_requests[i];
      n_repeats += budget->n_repeats[i];
    }
  if ((double)(n_repeats + 1) > budget->ratio * (double)n_requests + (double)budget->floor)
    return false;
  budget->n_repeats[budget->part]++;
  return true;
}
