#include "setting.h"

#include "libmangofork/socket.h"

#include <errno.h>
#include <math.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_BYTES_MAX 1048576
#define READ_BYTES 65536
/* Bytes of a value that are shown in a message. */
#define SHOWN_BYTES 64
/* Larger numbers are not exact after scaling. */
#define NUMBER_MAX 1e15
/* Rows of a table at most, one bit each. */
#define ROWS_MAX 64

/* Reads the value of a row into its member, or sets error to why it cannot be used. */
typedef bool (*ReadFunc) (const MfSettingRow *row, const char *value, void *member, MfError *error);

static bool
value_reject (const MfSettingRow *row, const char *value, MfCode code, const char *why,
              MfError *error)
{
  mf_error_set (error, code, "%s %s: \"%.*s\"", row->key, why, SHOWN_BYTES, value);
  return false;
}

static bool
read_text (const MfSettingRow *row, const char *value, void *member, MfError *error)
{
  return mf_name_set (member, row->bytes, value)
         || value_reject (row, value, MF_CODE_TEXT_RANGE, "is too long", error);
}

static bool
read_address (const MfSettingRow *row, const char *value, void *member, MfError *error)
{
  struct sockaddr_storage parsed;
  socklen_t parsed_bytes = 0;
  MfError why = { 0 };

  if (!mf_socket_parse (value, &parsed, &parsed_bytes, &why))
    return value_reject (row, value, MF_CODE_TEXT_TYPE, "is not a numeric address with a port",
                         error);
  return read_text (row, value, member, error);
}

static bool
read_real (const MfSettingRow *row, const char *value, void *member, MfError *error)
{
  char *end;
  double number = strtod (value, &end);

  if (end == value || *end != '\0' || !isfinite (number) || number < 0.)
    return value_reject (row, value, MF_CODE_TEXT_TYPE, "is not a valid number", error);
  number *= row->scale;
  if (number > NUMBER_MAX || (row->positive && number < 1.))
    return value_reject (row, value, MF_CODE_TEXT_RANGE, "is out of range", error);
  memcpy (member, &number, sizeof number);
  return true;
}

static bool
read_number (const MfSettingRow *row, const char *value, void *member, MfError *error)
{
  double number = 0.;
  uint64_t integer;

  if (!read_real (row, value, &number, error))
    return false;
  integer = (uint64_t)number;
  memcpy (member, &integer, sizeof integer);
  return true;
}

static bool
read_lowest (const MfSettingRow *row, const char *value, void *member, MfError *error)
{
  uint64_t integer = 0;
  uint64_t before;

  if (!read_number (row, value, &integer, error))
    return false;
  memcpy (&before, member, sizeof before);
  if (before == 0 || integer < before)
    memcpy (member, &integer, sizeof integer);
  return true;
}

static bool
read_u32 (const MfSettingRow *row, const char *value, void *member, MfError *error)
{
  uint64_t integer = 0;
  uint32_t small_integer;

  if (!read_number (row, value, &integer, error))
    return false;
  if (integer > UINT32_MAX)
    return value_reject (row, value, MF_CODE_TEXT_RANGE, "is out of range", error);
  small_integer = (uint32_t)integer;
  memcpy (member, &small_integer, sizeof small_integer);
  return true;
}

static bool
read_flag (const MfSettingRow *row, const char *value, void *member, MfError *error)
{
  bool is_true = strcmp (value, "true") == 0;

  if (!is_true && strcmp (value, "false") != 0)
    return value_reject (row, value, MF_CODE_TEXT_TYPE, "is neither true nor false", error);
  memcpy (member, &is_true, sizeof is_true);
  return true;
}

static bool
read_first_port (const MfSettingRow *row, const char *value, void *member, MfError *error)
{
  char *end;
  unsigned long number = strtoul (value, &end, 10);
  uint32_t port;

  if (end == value || (*end != '\0' && *end != ',') || number == 0 || number > UINT16_MAX)
    return value_reject (row, value, MF_CODE_TEXT_TYPE, "does not begin with a port", error);
  port = (uint32_t)number;
  memcpy (member, &port, sizeof port);
  return true;
}

static const ReadFunc readers[] = {
  [MF_SETTING_TEXT] = read_text,     [MF_SETTING_ADDRESS] = read_address,
  [MF_SETTING_NUMBER] = read_number, [MF_SETTING_LOWEST] = read_lowest,
  [MF_SETTING_U32] = read_u32,       [MF_SETTING_REAL] = read_real,
  [MF_SETTING_FLAG] = read_flag,     [MF_SETTING_FIRST_PORT] = read_first_port,
};

static void
fault_add (MfSettingFaults *faults, const MfError *fault)
{
  if (faults->n_faults < MF_SETTING_FAULTS_MAX)
    faults->faults[faults->n_faults] = *fault;
  faults->n_faults++;
}

/* Ends the line before the white space at its end. */
static void
line_trim (char *line, size_t line_bytes)
{
  while (line_bytes > 0 && strchr (" \t\r", line[line_bytes - 1]) != NULL)
    line_bytes--;
  line[line_bytes] = '\0';
}

/* Returns the value of a line "key=value" and ends its key, or NULL when the line has no value: an
 * empty one counts as not set. */
static const char *
line_split (char *line)
{
  char *equals = strchr (line, '=');

  if (equals == NULL || equals[1] == '\0')
    return NULL;
  *equals = '\0';
  return equals + 1;
}

/* Parses a text of lines "key=value" into a structure that has the defaults. Keys without a row
 * are ignored, and keys without a value are not set. Neither is a key whose value cannot be used:
 * faults says why. Returns false with error set when a required key is not set; the structure may
 * have been changed by then. */
bool
mf_setting_read_lines (const MfSettingRow *rows, uint32_t n_rows, const char *text,
                       size_t text_bytes, void *settings, MfSettingFaults *faults, MfError *error)
{
  char *line = malloc (text_bytes + 1);
  uint64_t is_set = 0;

  if (line == NULL || n_rows > ROWS_MAX)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory while reading the settings");
      free (line);
      return false;
    }
  for (size_t at = 0; at < text_bytes;)
    {
      const char *newline = memchr (text + at, '\n', text_bytes - at);
      size_t line_bytes = newline == NULL ? text_bytes - at : (size_t)(newline - (text + at));
      const char *value;

      memcpy (line, text + at, line_bytes);
      at += line_bytes + 1;
      line_trim (line, line_bytes);
      value = line_split (line);
      for (uint32_t i = 0; value != NULL && i < n_rows; i++)
        {
          MfError fault = { 0 };

          if (strcmp (rows[i].key, line) != 0)
            continue;
          if (readers[rows[i].kind](&rows[i], value, (char *)settings + rows[i].offset, &fault))
            is_set |= UINT64_C (1) << i;
          else if (rows[i].required)
            mf_error_set (error, fault.code, "%s", fault.text);
          else
            fault_add (faults, &fault);
        }
    }
  free (line);
  for (uint32_t i = 0; i < n_rows; i++)
    {
      if (rows[i].required && (is_set & (UINT64_C (1) << i)) == 0)
        mf_error_set (error, MF_CODE_TEXT_MISSING, "%s is missing or has no value", rows[i].key);
    }
  return !mf_error_is_set (error);
}

/* Reads a file of one megabyte at most to its end. Returns NULL with error set on failure. */
char *
mf_setting_read_file (const char *path, size_t *text_bytes, MfError *error)
{
  FILE *file = fopen (path, "r");
  char *text = malloc (FILE_BYTES_MAX + 1);
  bool is_read;

  if (file == NULL || text == NULL)
    {
      mf_error_set (error, file == NULL ? MF_CODE_FILE_READ : MF_CODE_NO_MEMORY, "%s: %s", path,
                    strerror (errno));
      if (file != NULL)
        fclose (file);
      free (text);
      return NULL;
    }
  *text_bytes = fread (text, 1, FILE_BYTES_MAX + 1, file);
  is_read = ferror (file) == 0;
  fclose (file);
  if (is_read && *text_bytes <= FILE_BYTES_MAX)
    return text;
  mf_error_set (error, is_read ? MF_CODE_TEXT_TOO_LARGE : MF_CODE_FILE_READ, "%s: %s", path,
                is_read ? "larger than one megabyte" : "read error");
  free (text);
  return NULL;
}

/* Returns how many faults have a text. */
uint32_t
mf_setting_faults_kept (const MfSettingFaults *faults)
{
  return faults->n_faults < MF_SETTING_FAULTS_MAX ? faults->n_faults : MF_SETTING_FAULTS_MAX;
}
