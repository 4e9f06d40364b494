#include "line.h"

#include "libmangofork/buffer.h"
#include "libmangofork/clock.h"

#include <errno.h>
#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES 1024
/* Twice the highest request rate of one instance at the known sites. */
#define REQUEST_LINES_PER_S 120
#define STATE_LINES_PER_S 60
/* Lines are dropped while more than this is waiting for a slow reader. */
#define PENDING_BYTES_MAX 65536
/* Lines are written in batches at this interval, to save system calls. */
#define FLUSH_INTERVAL_S 0.25

/* Limits the lines of one kind per second. */
typedef struct
{
  uint32_t per_s;
  uint32_t n_left;
  uint64_t second;
} RateLimit;

struct MfRelayLog
{
  struct ev_loop *loop;
  ev_timer timer;
  int fd;
  char instance[MF_NAME_BYTES];
  log4c_category_t *category;
  log4c_appender_t *appender;
  MfBuffer pending;
  RateLimit request_limit;
  RateLimit state_limit;
  uint64_t n_dropped;
  uint64_t n_dropped_reported;
};

static int
appender_append (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  MfRelayLog *log = log4c_appender_get_udata (appender);

  mf_buffer_add_text (&log->pending, event->evt_rendered_msg);
  return 0;
}

static const log4c_appender_type_t appender_type = {
  .name = "mangofork-lines",
  .append = appender_append,
};

static const char *
layout_format (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  return event->evt_msg;
}

static const log4c_layout_type_t layout_type = {
  .name = "mangofork-lines",
  .format = layout_format,
};

/* Writes what the reader accepts without blocking. */
static void
log_flush (MfRelayLog *log)
{
  struct pollfd ready = { .fd = log->fd, .events = POLLOUT };

  while (mf_buffer_bytes (&log->pending) > 0 && poll (&ready, 1, 0) == 1
         && (ready.revents & POLLOUT) != 0)
    {
      size_t n_bytes = mf_buffer_bytes (&log->pending);
      /* A writable pipe accepts 4096 bytes without blocking. */
      ssize_t n_written
          = write (log->fd, mf_buffer_data (&log->pending), n_bytes < 4096 ? n_bytes : 4096);

      if (n_written <= 0)
        break;
      mf_buffer_consume (&log->pending, (size_t)n_written);
    }
  if (log->pending.failed)
    mf_buffer_clear (&log->pending);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  MfRelayLog *log = watcher->data;

  (void)events;
  if (log->n_dropped != log->n_dropped_reported)
    {
      uint64_t n_new = log->n_dropped - log->n_dropped_reported;

      log->n_dropped_reported = log->n_dropped;
      mf_relay_log_state (log, "log.dropped", "lines=%llu", (unsigned long long)n_new);
    }
  log_flush (log);
  ev_timer_stop (loop, watcher);
}

static bool
rate_limit_take (RateLimit *limit, uint64_t now_us)
{
  uint64_t second = now_us / MF_US_PER_S;

  if (limit->second != second)
    {
      limit->second = second;
      limit->n_left = limit->per_s;
    }
  if (limit->n_left == 0)
    return false;
  limit->n_left--;
  return true;
}

static void
log_write (MfRelayLog *log, const char *event, const char *pairs)
{
  char line[LINE_BYTES + 256];
  uint64_t wall_ms = mf_clock_wall_ms ();
  time_t wall_s = (time_t)(wall_ms / 1000);
  struct tm utc;
  char stamp[32];

  gmtime_r (&wall_s, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  snprintf (line, sizeof line, "time=%s.%03uZ instance=%s event=%s %s\n", stamp,
            (unsigned int)(wall_ms % 1000), log->instance, event, pairs);
  log4c_category_log (log->category, LOG4C_PRIORITY_INFO, "%s", line);
  if (!ev_is_active (&log->timer))
    {
      ev_timer_set (&log->timer, FLUSH_INTERVAL_S, 0.);
      ev_timer_start (log->loop, &log->timer);
    }
}

static void log_write_limited (MfRelayLog *log, RateLimit *limit, const char *event,
                               const char *format, va_list args)
    __attribute__ ((format (printf, 4, 0)));

static void
log_write_limited (MfRelayLog *log, RateLimit *limit, const char *event, const char *format,
                   va_list args)
{
  char pairs[LINE_BYTES];

  if (!rate_limit_take (limit, mf_clock_now_us ())
      || mf_buffer_bytes (&log->pending) > PENDING_BYTES_MAX)
    {
      log->n_dropped++;
      return;
    }
  vsnprintf (pairs, sizeof pairs, format, args);
  log_write (log, event, pairs);
}

/* Logs an event about a request: its name, then key=value pairs. */
void
mf_relay_log_event (MfRelayLog *log, const char *event, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  log_write_limited (log, &log->request_limit, event, format, args);
  va_end (args);
}

/* Logs a change of state. It has its own rate limit, so that a burst of requests cannot crowd it
 * out. */
void
mf_relay_log_state (MfRelayLog *log, const char *event, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  log_write_limited (log, &log->state_limit, event, format, args);
  va_end (args);
}

/* Returns the number of lines dropped since the start. */
uint64_t
mf_relay_log_n_dropped (const MfRelayLog *log)
{
  return log->n_dropped;
}

/* Logs to a descriptor, which is borrowed. Returns NULL with error set on failure. */
MfRelayLog *
mf_relay_log_new (struct ev_loop *loop, const char *instance, int fd, MfError *error)
{
  MfRelayLog *log = calloc (1, sizeof *log);
  log4c_layout_t *layout;

  if (log == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while opening the log");
      return NULL;
    }
  *log = (MfRelayLog){
    .loop = loop,
    .fd = fd,
    .request_limit = { .per_s = REQUEST_LINES_PER_S },
    .state_limit = { .per_s = STATE_LINES_PER_S },
  };
  mf_name_set (log->instance, sizeof log->instance, instance);
  ev_timer_init (&log->timer, on_timer, FLUSH_INTERVAL_S, 0.);
  log->timer.data = log;
  log->category = log4c_category_get ("mangofork-lines");
  log->appender = log4c_appender_get ("mangofork-lines");
  layout = log4c_layout_get ("mangofork-lines");
  log4c_appender_set_type (log->appender, &appender_type);
  log4c_appender_set_udata (log->appender, log);
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_set_layout (log->appender, layout);
  log4c_category_set_appender (log->category, log->appender);
  log4c_category_set_additivity (log->category, 0);
  log4c_category_set_priority (log->category, LOG4C_PRIORITY_INFO);
  return log;
}

/* Writes the pending lines, as far as the reader accepts them, and frees the log. Accepts NULL. */
void
mf_relay_log_free (MfRelayLog *log)
{
  if (log == NULL)
    return;
  log_flush (log);
  ev_timer_stop (log->loop, &log->timer);
  log4c_category_set_appender (log->category, NULL);
  log4c_appender_set_udata (log->appender, NULL);
  mf_buffer_clear (&log->pending);
  free (log);
}
