#include "command.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_BYTES_MAX ((size_t)16 * 1024 * 1024)
#define READ_BYTES 65536

/* Reads a file to its end. Returns NULL on a read error, when out of memory, or when the file is
 * larger than FILE_BYTES_MAX. */
static char *
file_read (FILE *file, size_t *text_bytes)
{
  char *text = NULL;
  size_t n = 0;

  while (n <= FILE_BYTES_MAX)
    {
      char *grown = realloc (text, n + READ_BYTES);
      size_t got;

      if (grown == NULL)
        break;
      text = grown;
      got = fread (text + n, 1, READ_BYTES, file);
      n += got;
      if (got == 0)
        {
          *text_bytes = n;
          if (ferror (file) == 0)
            return text;
          break;
        }
    }
  free (text);
  return NULL;
}

char *
command_read_file (const char *path, size_t *text_bytes)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char *text = file == NULL ? NULL : file_read (file, text_bytes);

  if (text == NULL)
    fprintf (stderr, "mangofork: %s: %s\n", path, errno == 0 ? "too large" : strerror (errno));
  if (file != NULL && file != stdin)
    fclose (file);
  return text;
}

void
command_print_fault (const MfError *fault, void *data)
{
  fprintf (stderr, "%s:%u:%u: %d %s: %s\n", (const char *)data, fault->line, fault->column,
           (int)fault->code, mf_code_info (fault->code)->name, fault->text);
}
