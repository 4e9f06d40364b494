#ifndef MF_RELAY_SETTING_H
#define MF_RELAY_SETTING_H

#include "libmangofork/error.h"

/* Faults of one file that are kept; further ones are only counted. */
#define MF_SETTING_FAULTS_MAX 8

/* How the text of a value is read. The type of the member that it sets is in parentheses. */
typedef enum
{
  MF_SETTING_TEXT,       /* (char array) */
  MF_SETTING_ADDRESS,    /* (char array) a host and a port */
  MF_SETTING_NUMBER,     /* (uint64_t) after scaling */
  MF_SETTING_LOWEST,     /* (uint64_t) likewise, and the lowest of several keys applies */
  MF_SETTING_U32,        /* (uint32_t) after scaling */
  MF_SETTING_REAL,       /* (double) */
  MF_SETTING_FLAG,       /* (bool) "true" or "false" */
  MF_SETTING_FIRST_PORT, /* (uint32_t) the first port of a list */
} MfSettingKind;

/* A key of a settings file and the member of a structure that it sets. A key may have several
 * rows. */
typedef struct
{
  const char *key;
  MfSettingKind kind;
  size_t offset;
  size_t bytes;  /* of the member, for texts and addresses */
  double scale;  /* of numbers */
  bool required; /* without a usable value, the file cannot be used */
  bool positive; /* a number that must not be 0 */
} MfSettingRow;

/* Values that are not used. Their keys count as not set. */
typedef struct
{
  MfError faults[MF_SETTING_FAULTS_MAX];
  uint32_t n_faults; /* also those that are not kept */
} MfSettingFaults;

bool mf_setting_read_lines (const MfSettingRow *rows, uint32_t n_rows, const char *text,
                            size_t text_bytes, void *settings, MfSettingFaults *faults,
                            MfError *error);
char *mf_setting_read_file (const char *path, size_t *text_bytes, MfError *error);
uint32_t mf_setting_faults_kept (const MfSettingFaults *faults);

#endif
