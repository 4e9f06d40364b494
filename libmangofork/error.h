#ifndef MF_ERROR_H
#define MF_ERROR_H

#include "code.h"

#define MF_ERROR_TEXT_BYTES 256

/* Why a call failed. The caller owns it and passes it to the function that may fail, which sets it.
 * Only the first error is kept. Line and column count from 1 and are 0 when the error has no
 * position in a text. */
typedef struct
{
  MfCode code;
  uint32_t line;
  uint32_t column;
  char text[MF_ERROR_TEXT_BYTES];
} MfError;

void mf_error_set (MfError *error, MfCode code, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void mf_error_set_at (MfError *error, MfCode code, uint32_t line, uint32_t column,
                      const char *format, ...) __attribute__ ((format (printf, 5, 6)));
bool mf_error_is_set (const MfError *error);

#endif
