#include "soak_limit.h"

#include <stdio.h>
#include <stdlib.h>

/* The rule LIMIT: what an upstream may get in any window, and how long after it first named a limit
 * the rule holds. */
#define WINDOW_US (4 * MF_US_PER_S)
#define CONTACT_US (3 * MF_US_PER_S)
/* What came before an upstream first named its limit counts, too, unless it was more than this many
 * seconds of the limit: too much to be made up for until the rule holds. Arrivals then count from
 * TOLD_US after that. */
#define MADE_UP_S 4
#define TOLD_US (500 * MF_US_PER_MS)
#define SHARE_ALLOWED 1.5
#define SLACK_ALLOWED 5.
#define ARRIVALS_MAX 8192
#define PERIODS_MAX 64

/* A time during which the upstream named one limit. */
typedef struct
{
  uint32_t milli_per_s;
  uint64_t begun_us;
  uint64_t ended_us;   /* 0: it lasts */
  uint32_t n_arrivals; /* while it lasted */
  uint32_t n_most;     /* arrivals in a window that was checked */
  double allowed;      /* in that window */
} Period;

struct SoakLimit
{
  Period periods[PERIODS_MAX];
  uint32_t n_periods;
  uint64_t named_us; /* first answer with a limit since it had none; 0: not yet */
  uint64_t counted_from_us;
  uint64_t arrivals[ARRIVALS_MAX]; /* the oldest is overwritten */
  uint32_t n_arrivals;
};

SoakLimit *
soak_limit_new (void)
{
  SoakLimit *limit = calloc (1, sizeof *limit);

  if (limit == NULL)
    abort ();
  limit->periods[0] = (Period){ .milli_per_s = SOAK_LIMIT_NONE };
  limit->n_periods = 1;
  return limit;
}

void
soak_limit_free (SoakLimit *limit)
{
  free (limit);
}

static Period *
last_period (SoakLimit *limit)
{
  return &limit->periods[limit->n_periods - 1];
}

uint32_t
soak_limit_milli_per_s (const SoakLimit *limit)
{
  return limit->periods[limit->n_periods - 1].milli_per_s;
}

void
soak_limit_set (SoakLimit *limit, uint32_t milli_per_s, uint64_t now_us)
{
  if (limit->n_periods == PERIODS_MAX || milli_per_s == soak_limit_milli_per_s (limit))
    return;
  if (milli_per_s == SOAK_LIMIT_NONE || soak_limit_milli_per_s (limit) == SOAK_LIMIT_NONE)
    limit->named_us = 0;
  last_period (limit)->ended_us = now_us;
  limit->periods[limit->n_periods++] = (Period){ .milli_per_s = milli_per_s, .begun_us = now_us };
}

/* Number of arrivals that count since then. */
static uint32_t
n_arrivals_since (const SoakLimit *limit, uint64_t since_us)
{
  uint64_t from_us = since_us > limit->counted_from_us ? since_us : limit->counted_from_us;
  uint32_t n_found = 0;

  while (n_found < limit->n_arrivals && n_found < ARRIVALS_MAX
         && limit->arrivals[(limit->n_arrivals - 1 - n_found) % ARRIVALS_MAX] > from_us)
    n_found++;
  return n_found;
}

void
soak_limit_note_answer (SoakLimit *limit, uint64_t now_us)
{
  if (limit->named_us > 0 || soak_limit_milli_per_s (limit) == SOAK_LIMIT_NONE)
    return;
  limit->named_us = now_us;
  if (n_arrivals_since (limit, now_us - (WINDOW_US - CONTACT_US)) * 1000
      > (uint64_t)soak_limit_milli_per_s (limit) * MADE_UP_S)
    soak_limit_excuse (limit, now_us + TOLD_US);
}

void
soak_limit_restart (SoakLimit *limit)
{
  limit->named_us = 0;
}

void
soak_limit_excuse (SoakLimit *limit, uint64_t until_us)
{
  if (limit->counted_from_us == UINT64_MAX || until_us > limit->counted_from_us)
    limit->counted_from_us = until_us;
}

/* What the limits that were in force allow in the window that ends now. Before the first one the
 * present limit is taken. */
static double
window_allowed (const SoakLimit *limit, uint64_t now_us)
{
  double n_allowed = 0.;
  uint64_t at_us = now_us;

  for (uint32_t i = limit->n_periods; i-- > 0 && at_us > now_us - WINDOW_US;)
    {
      const Period *period = &limit->periods[i];
      bool is_first = i == 0 || limit->periods[i - 1].milli_per_s == SOAK_LIMIT_NONE;
      uint64_t from_us = period->begun_us > now_us - WINDOW_US && !is_first ? period->begun_us
                                                                            : now_us - WINDOW_US;

      n_allowed += period->milli_per_s / 1e3 * (double)(at_us - from_us) / (double)MF_US_PER_S;
      at_us = from_us;
    }
  return n_allowed * SHARE_ALLOWED + SLACK_ALLOWED;
}

bool
soak_limit_note_arrival (SoakLimit *limit, uint64_t now_us)
{
  Period *period = last_period (limit);
  uint32_t n_found;
  double n_allowed;

  limit->arrivals[limit->n_arrivals++ % ARRIVALS_MAX] = now_us;
  period->n_arrivals++;
  if (limit->named_us == 0 || now_us < limit->named_us + CONTACT_US
      || period->milli_per_s == SOAK_LIMIT_NONE)
    return false;
  n_found = n_arrivals_since (limit, now_us - WINDOW_US);
  n_allowed = window_allowed (limit, now_us);
  if (period->n_most == 0 || n_found - n_allowed > period->n_most - period->allowed)
    {
      period->n_most = n_found;
      period->allowed = n_allowed;
    }
  return n_found > n_allowed;
}

void
soak_limit_print (SoakLimit *limit, const char *name, uint64_t now_us)
{
  for (uint32_t i = 1; i < limit->n_periods; i++)
    {
      const Period *period = &limit->periods[i];
      uint64_t ended_us = period->ended_us > 0 ? period->ended_us : now_us;
      double lasted_s = (double)(ended_us - period->begun_us) / (double)MF_US_PER_S;

      if (period->milli_per_s == SOAK_LIMIT_NONE)
        printf ("%s: no limit for %.1f s: %.1f a second\n", name, lasted_s,
                period->n_arrivals / lasted_s);
      else
        printf ("%s: limit %.3f a second for %.1f s: most %u in 4 s, allowed %.0f; %.1f a second\n",
                name, period->milli_per_s / 1e3, lasted_s, period->n_most, period->allowed,
                period->n_arrivals / lasted_s);
    }
}
