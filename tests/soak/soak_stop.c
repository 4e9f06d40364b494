#include "soak_stop.h"

#include "libmangofork/clock.h"
#include "libmangofork/code.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS_MAX 65536
#define INSTANCES_MAX 240
#define PROCESSES_MAX 64 /* of one instance */
#define SIGNALS_MAX 64
#define ENGINES_MAX 16
#define ID_BYTES 40
#define LINE_BYTES 4096
/* The process exits this long before the end of its grace period, or a quarter of that if it is
 * less. */
#define EXIT_MARGIN_US (250 * MF_US_PER_MS)
/* Time from one stop to the next. A stop takes 2.5 s and more, so that several overlap. */
#define STOP_MIN_MS 100
#define STOP_MAX_MS 1300
/* How long before or after SIGTERM a SIGHUP comes at most. */
#define HANGUP_MS 300
/* How long an engine behaves in one way. */
#define PACE_MIN_MS 600
#define PACE_MAX_MS 2600
/* Pause of an engine that is silent for a while; three of the routes' longest pauses are 600 ms. */
#define SILENT_MIN_MS 650
#define SILENT_MAX_MS 2600
/* Percentages of the events after which such an engine is silent, and after which one stays
 * silent. */
#define SILENT_PERCENT 18
#define NEVER_PERCENT 4
/* A request that an instance has had for so long was read, also if its log does not name it. */
#define READ_US (500 * MF_US_PER_MS)

typedef enum
{
  PACE_USUAL,
  PACE_SLOW,
  PACE_SILENT, /* in the middle of streams for a while */
  PACE_NEVER,  /* some streams never go on */
  PACE_COUNT,
} Pace;

typedef struct
{
  const SoakUpstream *engine;
  Pace pace;
  uint64_t until_us;
} Engine;

/* A signal that is to be sent; at_us 0: free. */
typedef struct
{
  uint64_t at_us;
  uint32_t instance;
  int signal;
} Signal;

typedef struct
{
  uint64_t term_us[PROCESSES_MAX]; /* SIGTERM to each process; 0: none */
  uint32_t process;                /* that runs; the first is 1 */
  bool is_stopping;                /* a stop of this process is drawn */
  uint32_t n_dropped;              /* lines that its logs leave out */
  uint32_t n_missing;              /* requests that its logs name without an end */
} Instance;

typedef struct
{
  uint64_t sent_us;
  uint64_t ended_us; /* as the caller saw it; 0: not yet */
  uint32_t instance;
  uint32_t process;
  uint32_t status;   /* of a complete answer; 0: none */
  uint32_t n_logged; /* ends in the logs */
  uint32_t log_status;
  bool is_read;       /* a log names it */
  bool has_left;      /* the caller closed the connection */
  bool is_unanswered; /* closed before its deadline without the head of an answer */
  bool is_old;        /* was unanswered after READ_US */
} Row;

struct SoakStop
{
  SoakStopSettings settings;
  const SoakStopCallbacks *callbacks;
  void *data;
  uint64_t random;
  uint64_t exit_us; /* from SIGTERM to the exit */
  uint64_t next_stop_us;
  uint32_t n_begun;
  uint32_t n_overlapping;
  uint32_t n_hangups;
  uint32_t n_silences;
  uint32_t n_never;
  uint32_t n_at_exit;   /* cut off at the exit, as callers saw it */
  uint32_t n_deadlines; /* cut off at the deadline */
  uint32_t n_unread;
  uint32_t n_log_ends;
  uint32_t n_log_exit; /* cut off at the exit, by the logs */
  bool has_ended;
  Engine engines[ENGINES_MAX];
  Instance instances[INSTANCES_MAX];
  Signal signals[SIGNALS_MAX];
  uint32_t n_rows;
  Row rows[REQUESTS_MAX];
};

static uint32_t
draw (SoakStop *stop, uint32_t bound)
{
  stop->random ^= stop->random << 13;
  stop->random ^= stop->random >> 7;
  stop->random ^= stop->random << 17;
  return (uint32_t)(stop->random >> 33) % bound;
}

SoakStop *
soak_stop_new (const SoakStopSettings *settings, const SoakStopCallbacks *callbacks, void *data)
{
  SoakStop *stop = calloc (1, sizeof *stop);
  uint64_t margin_us
      = settings->grace_us / 4 < EXIT_MARGIN_US ? settings->grace_us / 4 : EXIT_MARGIN_US;

  if (stop == NULL || settings->n_instances > INSTANCES_MAX)
    abort ();
  stop->settings = *settings;
  stop->callbacks = callbacks;
  stop->data = data;
  stop->random = settings->seed * UINT64_C (0x9e3779b97f4a7c15) + 1;
  stop->exit_us = settings->grace_us - margin_us;
  return stop;
}

static void
report (const SoakStop *stop, const char *what, uint32_t index)
{
  const Row *row = &stop->rows[index];
  uint64_t term_us = stop->instances[row->instance].term_us[row->process];
  uint64_t ended_us = row->ended_us > 0 ? row->ended_us : mf_clock_now_us ();
  char detail[128];

  snprintf (detail, sizeof detail,
            "r%u, instance %u, ended %.3f s after its send and %.3f s after SIGTERM", index,
            row->instance, (double)(ended_us - row->sent_us) / 1e6,
            term_us > 0 ? ((double)ended_us - (double)term_us) / 1e6 : -1.);
  stop->callbacks->violation (stop->data, what, detail);
}

void
soak_stop_note_start (SoakStop *stop, uint32_t instance)
{
  Instance *row = &stop->instances[instance];

  if (++row->process == PROCESSES_MAX)
    abort ();
  row->is_stopping = false;
}

void
soak_stop_note_exit (SoakStop *stop, uint32_t instance, uint64_t now_us)
{
  const Instance *row = &stop->instances[instance];
  uint64_t term_us = row->term_us[row->process];
  char detail[ID_BYTES];

  snprintf (detail, sizeof detail, "instance %u", instance);
  if (term_us == 0)
    stop->callbacks->violation (stop->data, "an instance exited without SIGTERM", detail);
  else if (now_us > term_us + stop->settings.grace_us)
    stop->callbacks->violation (stop->data, "an instance ran beyond its grace period", detail);
}

uint32_t
soak_stop_process (const SoakStop *stop, uint32_t instance)
{
  return stop->instances[instance].process;
}

static void
signal_add (SoakStop *stop, uint32_t instance, int signal, uint64_t at_us)
{
  for (uint32_t i = 0; i < SIGNALS_MAX; i++)
    {
      if (stop->signals[i].at_us > 0)
        continue;
      stop->signals[i] = (Signal){ .at_us = at_us, .instance = instance, .signal = signal };
      return;
    }
  abort ();
}

static void
signals_send (SoakStop *stop, uint64_t now_us)
{
  for (uint32_t i = 0; i < SIGNALS_MAX; i++)
    {
      Signal *due = &stop->signals[i];
      Instance *instance = &stop->instances[due->instance];

      if (due->at_us == 0 || now_us < due->at_us)
        continue;
      if (due->signal == SIGTERM)
        instance->term_us[instance->process] = mf_clock_now_us ();
      stop->callbacks->signal (stop->data, due->instance, due->signal);
      due->at_us = 0;
    }
}

/* Draws the stop of one instance, with SIGHUP shortly before or after it or none. One instance
 * always goes on. */
static void
stop_begin (SoakStop *stop, uint64_t now_us)
{
  uint32_t first = draw (stop, stop->settings.n_instances);
  uint32_t n_stopping = 0;
  uint32_t index = UINT32_MAX;
  uint64_t before_us = draw (stop, HANGUP_MS) * MF_US_PER_MS;
  uint32_t order = draw (stop, 3);

  for (uint32_t i = 0; i < stop->settings.n_instances; i++)
    {
      uint32_t at = (first + i) % stop->settings.n_instances;

      n_stopping += stop->instances[at].is_stopping;
      if (index == UINT32_MAX && !stop->instances[at].is_stopping)
        index = at;
    }
  if (n_stopping + 1 >= stop->settings.n_instances)
    return;
  stop->instances[index].is_stopping = true;
  stop->n_begun++;
  stop->n_overlapping += n_stopping > 0;
  stop->n_hangups += order > 0;
  signal_add (stop, index, SIGTERM, now_us + (order == 1 ? before_us : 0));
  if (order > 0)
    signal_add (stop, index, SIGHUP, now_us + (order == 1 ? 0 : before_us));
}

void
soak_stop_step (SoakStop *stop, uint64_t now_us, bool has_ended)
{
  stop->has_ended = has_ended;
  signals_send (stop, now_us);
  if (has_ended || now_us < stop->next_stop_us || stop->n_begun == stop->settings.n_stops)
    return;
  stop_begin (stop, now_us);
  stop->next_stop_us
      = now_us + (STOP_MIN_MS + draw (stop, STOP_MAX_MS - STOP_MIN_MS)) * MF_US_PER_MS;
}

/* Returns how an engine behaves now. */
static Pace
engine_pace (SoakStop *stop, const SoakUpstream *engine)
{
  uint64_t now_us = mf_clock_now_us ();
  Engine *row = stop->engines;

  while (row->engine != NULL && row->engine != engine)
    row++;
  row->engine = engine;
  if (stop->has_ended)
    return PACE_USUAL;
  if (now_us >= row->until_us)
    {
      row->pace = (Pace)draw (stop, PACE_COUNT);
      row->until_us
          = now_us + (PACE_MIN_MS + draw (stop, PACE_MAX_MS - PACE_MIN_MS)) * MF_US_PER_MS;
    }
  return row->pace;
}

double
soak_stop_pause_s (void *data, const SoakUpstream *engine)
{
  SoakStop *stop = data;
  Pace pace = engine_pace (stop, engine);

  if (pace == PACE_SLOW)
    return 0.15 + draw (stop, 150) * 0.001;
  if (pace == PACE_SILENT && draw (stop, 100) < SILENT_PERCENT)
    {
      stop->n_silences++;
      return (SILENT_MIN_MS + draw (stop, SILENT_MAX_MS - SILENT_MIN_MS)) * 0.001;
    }
  if (pace == PACE_NEVER && draw (stop, 100) < NEVER_PERCENT)
    {
      stop->n_never++;
      return -1.;
    }
  return 0.04 + draw (stop, 120) * 0.001;
}

void
soak_stop_note_send (SoakStop *stop, uint32_t index, uint32_t instance, uint32_t process)
{
  if (index >= REQUESTS_MAX)
    abort ();
  stop->rows[index]
      = (Row){ .sent_us = mf_clock_now_us (), .instance = instance, .process = process };
  if (index >= stop->n_rows)
    stop->n_rows = index + 1;
}

void
soak_stop_note_end (SoakStop *stop, uint32_t index, const SoakStopEnd *end)
{
  Row *row = &stop->rows[index];
  uint64_t now_us = mf_clock_now_us ();
  uint64_t term_us = stop->instances[row->instance].term_us[row->process];

  row->ended_us = now_us;
  row->has_left = end->has_left;
  row->status = end->is_complete ? end->status : 0;
  if (!end->is_in_order)
    report (stop, "what has come of an answer does not belong to its request", index);
  if (end->is_complete || end->has_left)
    return;
  if (now_us >= row->sent_us + stop->settings.deadline_us)
    stop->n_deadlines++;
  else if (!end->has_head)
    {
      row->is_unanswered = true;
      row->is_old = now_us >= row->sent_us + READ_US;
    }
  else if (term_us > 0 && now_us >= term_us + stop->exit_us)
    stop->n_at_exit++;
  else
    report (stop, "an answer was closed without its end before the exit of its instance", index);
}

/* Reads a number that follows a name in a line of the log. */
static double
line_number (const char *line, const char *name)
{
  const char *at = strstr (line, name);

  return at == NULL ? -2. : strtod (at + strlen (name), NULL);
}

/* Checks one end of a request that the log names; one that was refused at its arrival names no time
 * since SIGTERM. */
static void
log_end_check (SoakStop *stop, const char *line, uint32_t index)
{
  Row *row = &stop->rows[index];
  MfCode code = (MfCode)line_number (line, " code=");
  double stop_ms = line_number (line, " stop_ms=");
  double took_ms = line_number (line, " took_ms=");

  row->n_logged++;
  row->log_status = (uint32_t)line_number (line, " status=");
  stop->n_log_ends++;
  if (stop_ms < -1. && strstr (line, " event=request.end ") != NULL)
    report (stop, "the log does not name the time since SIGTERM", index);
  if (row->log_status > 0)
    return;
  if (stop_ms >= (double)stop->exit_us / MF_US_PER_MS)
    stop->n_log_exit++;
  else if (!(code == MF_CODE_DEPARTED && row->has_left)
           && !(code == MF_CODE_DEADLINE
                && took_ms >= (double)stop->settings.deadline_us / MF_US_PER_MS))
    {
      printf ("%s", line);
      report (stop, "the log names an end of a begun answer before the exit", index);
    }
}

void
soak_stop_check_log (SoakStop *stop, uint32_t instance, const char *path)
{
  FILE *file = fopen (path, "r");
  char line[LINE_BYTES];

  if (file == NULL)
    {
      stop->callbacks->violation (stop->data, "a log cannot be read", path);
      return;
    }
  while (fgets (line, sizeof line, file) != NULL)
    {
      const char *id = strstr (line, " id=r");
      uint32_t index
          = id == NULL ? UINT32_MAX : (uint32_t)strtoul (id + strlen (" id=r"), NULL, 10);

      if (strstr (line, " event=log.dropped ") != NULL)
        stop->instances[instance].n_dropped += (uint32_t)line_number (line, " lines=");
      if (strstr (line, " event=request.") == NULL || index >= stop->n_rows)
        continue;
      stop->rows[index].is_read = true;
      if (strstr (line, " event=request.end ") != NULL
          || strstr (line, " event=request.refused ") != NULL)
        log_end_check (stop, line, index);
    }
  fclose (file);
}

/* Checks what the caller saw of a request against the logs. */
static void
row_check (SoakStop *stop, uint32_t index)
{
  const Row *row = &stop->rows[index];
  Instance *instance = &stop->instances[row->instance];
  char id[ID_BYTES];

  snprintf (id, sizeof id, "r%u", index);
  if (row->is_unanswered && (row->is_read || row->is_old))
    report (stop, "a request that was read got no answer", index);
  stop->n_unread += row->is_unanswered && !row->is_read && !row->is_old;
  if (row->n_logged > 1)
    report (stop, "the log names two ends of a request", index);
  if (row->ended_us > 0 && row->is_read && row->n_logged == 0
      && ++instance->n_missing > instance->n_dropped)
    report (stop, "the log names no end of a request", index);
  if (row->status > 0 && row->n_logged > 0 && row->status != row->log_status)
    report (stop, "the log and the caller disagree on the status", index);
  if ((row->status == 503 || row->status == 429)
      && stop->callbacks->count_runs (stop->data, id) > 0)
    report (stop, "a request answered with 503 or 429 has run", index);
}

void
soak_stop_check (SoakStop *stop)
{
  uint32_t n_dropped = 0;

  for (uint32_t i = 0; i < stop->n_rows; i++)
    row_check (stop, i);
  for (uint32_t i = 0; i < stop->settings.n_instances; i++)
    n_dropped += stop->instances[i].n_dropped;
  if (stop->n_log_ends == 0)
    stop->callbacks->violation (stop->data, "the logs name no end of a request", "");
  printf ("stops: %u of %u, %u overlapping, %u with SIGHUP; pauses of engines: %u, %u without end; "
          "cut off at the exit: %u (%u in the logs), at the deadline: %u; unread: %u; lines left "
          "out of logs: %u\n",
          stop->n_begun, stop->settings.n_stops, stop->n_overlapping, stop->n_hangups,
          stop->n_silences, stop->n_never, stop->n_at_exit, stop->n_log_exit, stop->n_deadlines,
          stop->n_unread, n_dropped);
}
