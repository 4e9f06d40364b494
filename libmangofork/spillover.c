#include "spillover.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The share moves at this interval: the answers to what the last step changed have been seen by
 * then where information is up to about a second old. */
#define STEP_US (1 * MF_US_PER_S)
/* A rising share gains this much in a step, times the part of the time here that leaving saves. */
#define STEP_UP_MAX 0.25
/* A falling share loses this part of itself in a step, but at least STEP_DOWN_MIN. It falls more
 * slowly than it rises: the upstreams here still have the queue that made it rise. */
#define STEP_DOWN_PART 0.125
#define STEP_DOWN_MIN 0.01
/* The share does not rise while the time here falls by more than this part in a step, nor fall
 * while it rises by more: the last steps still take effect. */
#define TREND_PART 0.08
/* Steps that must indicate the other direction before the share turns. */
#define REVERSAL_STEPS 4
/* A gain counts if it exceeds this part of the time there: response times of instances with few
 * requests scatter by about as much. */
#define GAIN_MIN_PART 0.3
/* Weight that a new observation has in the moving average of placement. A step is smaller by the
 * part of that average that is older than the last step. */
#define NEWS_WEIGHT 0.15
/* However much is new, a step is not larger than this part: queues take seconds to drain. */
#define NEWS_MAX 0.35
/* Weight of an observation halves with its age at this interval; from TOO_OLD_US on it is unused.
 * An instance with one request a second and a share of a tenth sees the other data centre every 10
 * s. */
#define HALF_LIFE_US (8. * (double)MF_US_PER_S)
#define TOO_OLD_US (24 * MF_US_PER_S)
/* Weight of one note in the moving average of a time; notes come every 100 ms, and a step sees
 * those since the last one. */
#define TIME_WEIGHT 0.2
/* The time without queues follows a lower time at once and a higher one at this weight for each
 * note, over about a minute. */
#define BASE_WEIGHT 0.002
/* Round trip to another data centre, for times that include none or are too old. */
#define ROUND_TRIP_US 3000.
/* Added to upstreams elsewhere for requests outside of the share. Any usable upstream here comes
 * first, unless it is as good as broken. */
#define HOLD_US 1e6
/* Subtracted from the cost of upstreams elsewhere for requests inside of the share, as a part of
 * the time here. The share has taken the crossing into account; without this, requests inside of it
 * would return to the same upstreams together whenever a few answers there were slow. */
#define LEAVE_PART 0.5
/* Moving KV to another data centre takes this much longer for each token than within one. */
#define KV_EXTRA_US_PER_TOKEN 8.
/* Bytes that a token of KV counts as in the price. It is sent in bulk, and a stream is worth more
 * than a plain request: with the time to move it, 5,200 tokens cost as much as before, 80 ms. */
#define KV_PRICED_BYTES 4.
/* Sizes before any was observed. */
#define DEFAULT_BYTES 1024.
#define BYTES_WEIGHT 0.05
/* Requests there without any sign of life for this long, and this many times the expected time,
 * mean that the way there or back is cut. */
#define SILENT_MIN_US 250e3
#define SILENT_FACTOR 4.
#define CUT_US (10 * MF_US_PER_S)
/* Interval at which a single request learns the times of another data centre while upstreams here
 * are slow and nothing recent is known there; doubled each time up to the maximum. */
#define PROBE_FIRST_US (4 * MF_US_PER_S)
#define PROBE_MAX_US (128 * MF_US_PER_S)
/* Part of the requests that may be such a probe. */
#define PROBE_PART 0.1
/* From this share on, the next probe may follow after the first interval again. */
#define PROBE_RESET_SHARE 0.05
/* Some requests stay, so that the times here are seen. Where they have not been seen for
 * UNSEEN_HERE_US, the share falls. */
#define SHARE_MAX 0.9
#define UNSEEN_HERE_US (8 * MF_US_PER_S)
/* Least change of a share that is reported, and least interval of reports. */
#define REPORT_CHANGE 0.05
#define REPORT_US (2 * MF_US_PER_S)

typedef struct
{
  char name[MF_NAME_BYTES];
  bool is_noted;
  uint32_t n_usable;
  double time_us;  /* moving average; 0: none yet */
  double base_us;  /* without queues */
  double prior_us; /* as the last note has it, whatever its age */
  uint64_t seen_us;
  uint32_t n_news; /* notes with newer observations since the last step */
  uint64_t cut_until_us;
  uint64_t probe_due_us;
  uint64_t probe_interval_us;
} Centre;

typedef struct
{
  char service[MF_NAME_BYTES];
  MfRole role;
  Centre here;
  Centre others[MF_SPILLOVER_CENTRES_MAX - 1];
  uint32_t n_others;
  double share;
  double last_here_us; /* at the last step */
  int direction;       /* of the share's last move; 0: none yet */
  uint32_t n_opposite; /* steps in a row that indicated the other direction */
  uint64_t step_due_us;
  double reported_share;
  uint64_t reported_us;
  double request_bytes; /* moving averages */
  double answer_bytes;
  double tokens;
  uint64_t counts[MF_SPILLOVER_N_REASONS];
  uint64_t left_bytes;
} Row;

struct MfSpillover
{
  double us_per_kb;
  uint64_t phase_us; /* steps of different instances are spread over the interval */
  Row rows[MF_SPILLOVER_ROWS_MAX];
  uint32_t n_rows;
};

static const char *const reason_names[] = {
  [MF_SPILLOVER_STAYED] = "stayed",
  [MF_SPILLOVER_QUEUEING] = "queueing",
  [MF_SPILLOVER_SLOWER] = "slower",
  [MF_SPILLOVER_UNUSABLE] = "unusable",
};

/* Returns the name of a reason in logs and metrics. */
const char *
mf_spillover_reason_name (MfSpilloverReason reason)
{
  return reason_names[reason];
}

/* Returns a state without any observation, or NULL when out of memory. us_per_kb is the time that a
 * caller has to gain for each kilobyte sent; seed differs from instance to instance. */
MfSpillover *
mf_spillover_new (double us_per_kb, uint32_t seed)
{
  MfSpillover *spillover = calloc (1, sizeof *spillover);

  if (spillover == NULL)
    return NULL;
  spillover->us_per_kb = us_per_kb;
  spillover->phase_us = seed % STEP_US;
  return spillover;
}

/* Accepts NULL. */
void
mf_spillover_free (MfSpillover *spillover)
{
  free (spillover);
}

static const Row *
row_find (const MfSpillover *spillover, const char *service, MfRole role)
{
  for (uint32_t i = 0; i < spillover->n_rows; i++)
    {
      if (spillover->rows[i].role == role && strcmp (spillover->rows[i].service, service) == 0)
        return &spillover->rows[i];
    }
  return NULL;
}

/* Returns the row, which is added if there is none; NULL when there are too many. */
static Row *
row_get (MfSpillover *spillover, const char *service, MfRole role)
{
  Row *row = (Row *)row_find (spillover, service, role);

  if (row != NULL || spillover->n_rows == MF_SPILLOVER_ROWS_MAX)
    return row;
  row = &spillover->rows[spillover->n_rows];
  if (!mf_name_set (row->service, sizeof row->service, service))
    return NULL;
  row->role = role;
  row->request_bytes = DEFAULT_BYTES;
  row->answer_bytes = DEFAULT_BYTES;
  spillover->n_rows++;
  return row;
}

static const Centre *
centre_find (const Row *row, const char *name)
{
  for (uint32_t i = 0; i < row->n_others; i++)
    {
      if (strcmp (row->others[i].name, name) == 0)
        return &row->others[i];
    }
  return NULL;
}

static Centre *
centre_get (Row *row, const MfSpilloverNote *note)
{
  Centre *centre;

  if (note->is_here)
    return &row->here;
  centre = (Centre *)centre_find (row, note->data_centre);
  if (centre != NULL || row->n_others == MF_SPILLOVER_CENTRES_MAX - 1)
    return centre;
  centre = &row->others[row->n_others];
  if (!mf_name_set (centre->name, sizeof centre->name, note->data_centre))
    return NULL;
  centre->probe_interval_us = PROBE_FIRST_US;
  row->n_others++;
  return centre;
}

static void
average_add (double *average, double value, double weight)
{
  *average = *average <= 0. ? value : *average + weight * (value - *average);
}

/* Weight of what was observed of a data centre, 0 to 1. */
static double
centre_weight (const Centre *centre, uint64_t now_us)
{
  uint64_t age_us = now_us > centre->seen_us ? now_us - centre->seen_us : 0;

  if (centre->seen_us == 0 || age_us >= TOO_OLD_US)
    return 0.;
  return exp2 (-(double)age_us / HALF_LIFE_US);
}

/* Records what is known of the upstreams of one data centre. */
void
mf_spillover_note (MfSpillover *spillover, const MfSpilloverNote *note, uint64_t now_us)
{
  Row *row = row_get (spillover, note->service, note->role);
  Centre *centre = row != NULL ? centre_get (row, note) : NULL;

  if (centre == NULL)
    return;
  centre->is_noted = true;
  centre->n_usable = note->n_usable;
  centre->prior_us = note->time_us;
  if (!note->is_here && note->silent_us > SILENT_MIN_US
      && note->silent_us > SILENT_FACTOR * centre->time_us)
    centre->cut_until_us = now_us + CUT_US;
  if (note->n_usable == 0 || note->time_seen_us == 0)
    return;
  average_add (&centre->time_us, note->time_us, TIME_WEIGHT);
  if (centre->base_us <= 0. || centre->time_us < centre->base_us)
    centre->base_us = centre->time_us;
  else
    centre->base_us += BASE_WEIGHT * (centre->time_us - centre->base_us);
  if (note->time_seen_us > centre->seen_us)
    {
      centre->seen_us = note->time_seen_us;
      centre->n_news++;
    }
}

/* Records the size of an answer in bytes. */
void
mf_spillover_note_answer (MfSpillover *spillover, const char *service, MfRole role,
                          uint64_t answer_bytes)
{
  Row *row = row_get (spillover, service, role);

  if (row != NULL)
    average_add (&row->answer_bytes, (double)answer_bytes, BYTES_WEIGHT);
}

/* Records the tokens of a request. */
void
mf_spillover_note_tokens (MfSpillover *spillover, const char *service, MfRole role, uint64_t tokens)
{
  Row *row = row_get (spillover, service, role);

  if (row != NULL && tokens > 0)
    average_add (&row->tokens, (double)tokens, BYTES_WEIGHT);
}

/* Returns the average tokens of a request; 0: unknown. */
uint64_t
mf_spillover_tokens (const MfSpillover *spillover, const char *service, MfRole role)
{
  const Row *row = row_find (spillover, service, role);

  return row != NULL ? (uint64_t)row->tokens : 0;
}

/* Bytes that a request and its answer send to another data centre and back, without KV. */
static double
query_bytes (const Row *row, const MfSpilloverQuery *query)
{
  double request_bytes = row != NULL ? row->request_bytes : DEFAULT_BYTES;

  if (query->request_bytes > 0)
    request_bytes = (double)query->request_bytes;
  return request_bytes + (row != NULL ? row->answer_bytes : DEFAULT_BYTES);
}

/* Records that a request was sent, where and why. data_centre is NULL if it has stayed. */
void
mf_spillover_note_send (MfSpillover *spillover, const MfSpilloverQuery *query,
                        MfSpilloverReason reason, uint64_t now_us)
{
  Row *row = row_get (spillover, query->service, query->role);
  Centre *centre;

  if (row == NULL)
    return;
  row->counts[reason]++;
  if (query->request_bytes > 0)
    average_add (&row->request_bytes, (double)query->request_bytes, BYTES_WEIGHT);
  if (reason == MF_SPILLOVER_STAYED || query->data_centre == NULL)
    return;
  row->left_bytes
      += (uint64_t)(query_bytes (row, query) + (double)query->kv_moved_tokens * KV_PRICED_BYTES);
  centre = (Centre *)centre_find (row, query->data_centre);
  if (centre == NULL)
    return;
  if (now_us >= centre->probe_due_us && row->share <= 0.)
    {
      centre->probe_due_us = now_us + centre->probe_interval_us;
      if (centre->probe_interval_us < PROBE_MAX_US)
        centre->probe_interval_us *= 2;
    }
}

/* Returns the price of moving KV between data centres and the time that it takes, in microseconds.
 */
double
mf_spillover_kv_us (const MfSpillover *spillover, uint64_t kv_tokens)
{
  double tokens = (double)kv_tokens;

  return spillover->us_per_kb * tokens * KV_PRICED_BYTES / 1024. + tokens * KV_EXTRA_US_PER_TOKEN;
}

/* Time that the way to a data centre and its price add to a request. weight is that of the observed
 * times; those of plain services include the network. */
static double
crossing_us (const MfSpillover *spillover, MfRole role, double bytes, double kv_tokens,
             double weight)
{
  return ROUND_TRIP_US * (role == MF_ROLE_PLAIN ? 1. - weight : 1.)
         + spillover->us_per_kb * bytes / 1024.
         + mf_spillover_kv_us (spillover, (uint64_t)kv_tokens);
}

static bool
centre_is_usable (const Centre *centre, uint64_t now_us)
{
  return centre->n_usable > 0 && centre->cut_until_us <= now_us;
}

/* Whether it may attract a share: it is usable and known. */
static bool
centre_is_known (const Centre *centre, uint64_t now_us)
{
  return centre_is_usable (centre, now_us) && centre_weight (centre, now_us) > 0.;
}

/* Expected time of a request there without the crossing. What is not known recently is taken to be
 * as bad as here, so that it attracts nothing. */
static double
centre_time_us (const Row *row, const Centre *centre, uint64_t now_us)
{
  double weight = centre_weight (centre, now_us);

  return centre->time_us * weight + row->here.time_us * (1. - weight);
}

/* The same for an average request of the row. KV of all of its tokens moves. */
static double
row_crossing_us (const MfSpillover *spillover, const Row *row, const Centre *centre,
                 uint64_t now_us)
{
  return crossing_us (spillover, row->role, row->request_bytes + row->answer_bytes,
                      row->role == MF_ROLE_PLAIN ? 0. : row->tokens,
                      centre_weight (centre, now_us));
}

/* Returns the other data centre with the least expected time; NULL: none is usable
 * and known. */
static const Centre *
row_best (const MfSpillover *spillover, const Row *row, uint64_t now_us)
{
  const Centre *best = NULL;
  double best_us = 0.;

  for (uint32_t i = 0; i < row->n_others; i++)
    {
      const Centre *centre = &row->others[i];
      double time_us
          = centre_time_us (row, centre, now_us) + row_crossing_us (spillover, row, centre, now_us);

      if (!centre_is_known (centre, now_us) || (best != NULL && time_us >= best_us))
        continue;
      best = centre;
      best_us = time_us;
    }
  return best;
}

/* Which way the share should move; *gain_us is set to what a request gains by leaving. */
static int
row_indication (const MfSpillover *spillover, const Row *row, uint64_t now_us, double *gain_us)
{
  const Centre *best = row_best (spillover, row, now_us);
  double trend_us = row->here.time_us - row->last_here_us;
  double limit_us = row->here.time_us * TREND_PART;
  double there_us;
  double cost_us;

  *gain_us = 0.;
  if (best == NULL)
    return -1;
  cost_us = row_crossing_us (spillover, row, best, now_us);
  there_us = centre_time_us (row, best, now_us);
  *gain_us = row->here.time_us - there_us - cost_us;
  if (*gain_us < 0.)
    return trend_us > limit_us ? 0 : -1;
  *gain_us -= there_us * GAIN_MIN_PART;
  if (*gain_us > 0.)
    return trend_us < -limit_us ? 0 : 1;
  return 0;
}

/* Moves the share by one step. */
static void
row_step (const MfSpillover *spillover, Row *row, uint64_t now_us)
{
  double gain_us;
  int indication = row_indication (spillover, row, now_us, &gain_us);
  double news = 1. - pow (1. - NEWS_WEIGHT, row->here.n_news);

  if (now_us - row->here.seen_us > UNSEEN_HERE_US)
    {
      indication = -1;
      news = NEWS_MAX;
    }
  if (news > NEWS_MAX)
    news = NEWS_MAX;
  row->here.n_news = 0;
  row->last_here_us = row->here.time_us;
  if (row_best (spillover, row, now_us) == NULL)
    {
      row->share = 0.;
      row->direction = 0;
      row->n_opposite = 0;
      return;
    }
  if (indication == 0)
    return;
  if (row->direction != 0 && indication != row->direction && row->share > 0.
      && ++row->n_opposite < REVERSAL_STEPS)
    return;
  row->n_opposite = 0;
  row->direction = indication;
  if (indication > 0)
    row->share += news * STEP_UP_MAX * gain_us / row->here.time_us;
  else
    {
      double step = STEP_DOWN_PART * row->share;

      row->share -= news * (step > STEP_DOWN_MIN ? step : STEP_DOWN_MIN);
    }
  row->share = row->share < 0. ? 0. : row->share > SHARE_MAX ? SHARE_MAX : row->share;
}

static MfSpilloverReason
row_reason (const Row *row)
{
  for (uint32_t i = 0; i < row->n_others; i++)
    {
      const Centre *centre = &row->others[i];

      if (centre->base_us > 0. && row->here.base_us > centre->base_us + ROUND_TRIP_US)
        return MF_SPILLOVER_SLOWER;
    }
  return MF_SPILLOVER_QUEUEING;
}

/* Returns why a request of this service and role leaves while upstreams here are usable. */
MfSpilloverReason
mf_spillover_reason (const MfSpillover *spillover, const char *service, MfRole role)
{
  const Row *row = row_find (spillover, service, role);

  return row != NULL ? row_reason (row) : MF_SPILLOVER_QUEUEING;
}

static MfSpilloverInfo
row_info (const MfSpillover *spillover, const Row *row, uint64_t now_us)
{
  const Centre *best = row_best (spillover, row, now_us);
  MfSpilloverInfo info = {
    .service = row->service,
    .role = row->role,
    .share = row->share,
    .share_before = row->reported_share,
    .here_us = row->here.time_us,
    .there = best != NULL ? best->name : "",
    .reason = row_reason (row),
    .left_bytes = row->left_bytes,
  };

  memcpy (info.counts, row->counts, sizeof info.counts);
  if (best == NULL)
    return info;
  info.there_us = best->time_us;
  info.crossing_us = row_crossing_us (spillover, row, best, now_us);
  info.there_age_us = best->seen_us > 0 && best->seen_us < now_us ? now_us - best->seen_us : 0;
  return info;
}

/* Moves the shares that are due, and reports those that have changed noticeably since their last
 * report, or have become or left 0. */
void
mf_spillover_update (MfSpillover *spillover, uint64_t now_us, MfSpilloverFunc changed, void *data)
{
  for (uint32_t i = 0; i < spillover->n_rows; i++)
    {
      Row *row = &spillover->rows[i];
      MfSpilloverInfo info;

      if (row->step_due_us == 0)
        {
          row->step_due_us = now_us + STEP_US + spillover->phase_us;
          row->last_here_us = row->here.time_us;
        }
      if (now_us < row->step_due_us)
        continue;
      row->step_due_us = now_us + STEP_US;
      row_step (spillover, row, now_us);
      for (uint32_t j = 0; j < row->n_others && row->share >= PROBE_RESET_SHARE; j++)
        row->others[j].probe_interval_us = PROBE_FIRST_US;
      if (row->share == row->reported_share
          || (fabs (row->share - row->reported_share) < REPORT_CHANGE && row->share > 0.
              && row->reported_share > 0.)
          || (row->reported_us > 0 && now_us - row->reported_us < REPORT_US))
        continue;
      info = row_info (spillover, row, now_us);
      row->reported_share = row->share;
      row->reported_us = now_us;
      if (changed != NULL)
        changed (data, &info);
    }
}

/* Whether a single request may learn the times there: upstreams here are so slow that the crossing
 * would pay if those there were idle, and nothing recent is known. */
static bool
centre_needs_probe (const MfSpillover *spillover, const Row *row, const Centre *centre,
                    uint64_t now_us)
{
  double idle_us = centre->prior_us < row->here.base_us ? centre->prior_us : row->here.base_us;

  return row->share <= 0. && now_us >= centre->probe_due_us
         && row->here.time_us > idle_us + row_crossing_us (spillover, row, centre, now_us)
         && (centre->seen_us == 0 || now_us - centre->seen_us >= PROBE_FIRST_US);
}

/* Returns what placement adds to the cost of an upstream in another data centre, in microseconds:
 * the way there, the price of the bytes, the KV, and HOLD_US for requests outside of the share. It
 * is negative for requests inside of the share. */
double
mf_spillover_cost_us (const MfSpillover *spillover, const MfSpilloverQuery *query, uint64_t now_us)
{
  const Row *row = row_find (spillover, query->service, query->role);
  const Centre *centre = row != NULL ? centre_find (row, query->data_centre) : NULL;
  double draw = (double)query->draw / 4294967296.;
  double more_us;
  double cost_us;

  /* The instance that decides for all may itself be in the data centre of the upstream, or in a
   * third one. */
  cost_us = crossing_us (spillover, query->role, query_bytes (row, query),
                         (double)query->kv_moved_tokens,
                         centre != NULL ? centre_weight (centre, now_us) : 0.);
  if (centre != NULL && !centre_is_usable (centre, now_us))
    return cost_us + HOLD_US;
  /* Upstreams here may be failing without being left out by placement. */
  if (query->is_central || (row != NULL && row->here.is_noted && row->here.n_usable == 0))
    return cost_us;
  if (centre == NULL)
    return cost_us + HOLD_US;
  if (draw < row->share && centre_is_known (centre, now_us))
    {
      /* The share has taken an average crossing into account; a larger request pays the rest. */
      more_us = cost_us - row_crossing_us (spillover, row, centre, now_us);
      return (more_us > 0. ? more_us : 0.) - LEAVE_PART * row->here.time_us;
    }
  return draw < PROBE_PART && centre_needs_probe (spillover, row, centre, now_us)
             ? cost_us
             : cost_us + HOLD_US;
}

/* Returns the share of requests that may leave, 0 to 1. */
double
mf_spillover_share (const MfSpillover *spillover, const char *service, MfRole role)
{
  const Row *row = row_find (spillover, service, role);

  return row != NULL ? row->share : 0.;
}

/* Calls func with the state of each service and role. */
void
mf_spillover_foreach (const MfSpillover *spillover, uint64_t now_us, MfSpilloverFunc func,
                      void *data)
{
  for (uint32_t i = 0; i < spillover->n_rows; i++)
    {
      MfSpilloverInfo info = row_info (spillover, &spillover->rows[i], now_us);

      func (data, &info);
    }
}
