#include "logger.h"

#include "buffer.h"

#include <log4c.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define LINE_BYTES 1024

struct MfLogger
{
  log4c_category_t *category;
  log4c_appender_t *appender;
  log4c_layout_t *layout;
  char instance[MF_NAME_BYTES];
  char line[LINE_BYTES];
};

/* Formats a line: time, level and the pairs of the message. */
static const char *
layout_format (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  MfLogger *logger = log4c_layout_get_udata (layout);
  struct tm utc;
  char stamp[32];

  gmtime_r (&event->evt_timestamp.tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  snprintf (logger->line, sizeof logger->line, "time=%s.%03dZ level=%s %s\n", stamp,
            (int)(event->evt_timestamp.tv_usec / 1000),
            log4c_priority_to_string (event->evt_priority), event->evt_msg);
  return logger->line;
}

static const log4c_layout_type_t layout_type = {
  .name = "mangofork",
  .format = layout_format,
};

static int
appender_append (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  return fputs (event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t appender_type = {
  .name = "mangofork",
  .append = appender_append,
};

/* level is a priority of log4c: "error", "warn", "notice", "info", "debug" or "trace". */
MfLogger *
mf_logger_new (const char *level, const char *instance, MfError *error)
{
  MfLogger *logger = calloc (1, sizeof *logger);

  if (logger == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "no memory for the logger");
      return NULL;
    }
  mf_name_set (logger->instance, sizeof logger->instance, instance);
  logger->category = log4c_category_get ("mangofork");
  logger->appender = log4c_appender_get ("mangofork");
  logger->layout = log4c_layout_get ("mangofork");
  log4c_appender_set_type (logger->appender, &appender_type);
  log4c_layout_set_type (logger->layout, &layout_type);
  log4c_layout_set_udata (logger->layout, logger);
  log4c_appender_set_layout (logger->appender, logger->layout);
  log4c_category_set_appender (logger->category, logger->appender);
  log4c_category_set_additivity (logger->category, 0);
  log4c_category_set_priority (logger->category, log4c_priority_to_int (level));
  return logger;
}

/* Accepts NULL. */
void
mf_logger_free (MfLogger *logger)
{
  if (logger == NULL)
    return;
  log4c_layout_set_udata (logger->layout, NULL);
  log4c_category_set_priority (logger->category, LOG4C_PRIORITY_UNKNOWN);
  log4c_category_set_appender (logger->category, NULL);
  free (logger);
}

/* Adds a key and its value in quotes; nothing for an empty value. */
static void
key_add (MfBuffer *line, const char *key, const char *value)
{
  if (value == NULL || value[0] == '\0')
    return;
  mf_buffer_add_text (line, " ");
  mf_buffer_add_text (line, key);
  mf_buffer_add_text (line, "=\"");
  mf_buffer_add_escaped (line, value);
  mf_buffer_add_text (line, "\"");
}

/* Logs a change of state. */
void
mf_logger_log (MfLogger *logger, const MfLogAction *log)
{
  MfBuffer line = { 0 };

  mf_buffer_add_text (&line, "instance=\"");
  mf_buffer_add_escaped (&line, logger->instance);
  mf_buffer_add_text (&line, "\"");
  key_add (&line, "subject", log->subject);
  key_add (&line, "name", log->name);
  key_add (&line, "from", log->from);
  key_add (&line, "to", log->to);
  key_add (&line, "reason", log->reason);
  mf_buffer_add (&line, "", 1);
  if (!line.failed)
    log4c_category_log (logger->category, LOG4C_PRIORITY_INFO, "%s", mf_buffer_data (&line));
  mf_buffer_clear (&line);
}
