#include "error.h"

#include <stdarg.h>
#include <stdio.h>

static void error_fill (MfError *error, MfCode code, uint32_t line, uint32_t column,
                        const char *format, va_list args) __attribute__ ((format (printf, 5, 0)));

static void
error_fill (MfError *error, MfCode code, uint32_t line, uint32_t column, const char *format,
            va_list args)
{
  if (error == NULL || error->code != MF_CODE_OK)
    return;
  error->code = code;
  error->line = line;
  error->column = column;
  vsnprintf (error->text, sizeof error->text, format, args);
}

/* Sets an error without a position in a text. Keeps an error that is already set. */
void
mf_error_set (MfError *error, MfCode code, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  error_fill (error, code, 0, 0, format, args);
  va_end (args);
}

/* Sets an error at a line and column of a text. Keeps an error that is already set. */
void
mf_error_set_at (MfError *error, MfCode code, uint32_t line, uint32_t column, const char *format,
                 ...)
{
  va_list args;

  va_start (args, format);
  error_fill (error, code, line, column, format, args);
  va_end (args);
}

bool
mf_error_is_set (const MfError *error)
{
  return error->code != MF_CODE_OK;
}
