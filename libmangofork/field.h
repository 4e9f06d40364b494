#ifndef MF_FIELD_H
#define MF_FIELD_H

#include "jsonc.h"

/* Type of the value of a key. */
typedef enum
{
  MF_FIELD_BOOL,
  MF_FIELD_U32,
  MF_FIELD_U64,
  MF_FIELD_STRING,
  MF_FIELD_ADDRESS, /* an IP address and a port */
  MF_FIELD_CHOICE,  /* one of the names in choices; its index is stored */
  MF_FIELD_DIGEST,  /* MF_DIGEST_BYTES in hex */
  MF_FIELD_OBJECT,  /* an object whose fields go to the same struct */
  MF_FIELD_CUSTOM,  /* accepted here, read by other code */
} MfFieldType;

/* One key of an object and the struct member that takes its value. */
typedef struct MfField MfField;

typedef struct
{
  const MfField *fields;
  uint32_t n_fields;
} MfFieldTable;

struct MfField
{
  const char *key;
  MfFieldType type;
  size_t offset; /* into the struct */
  size_t bytes;  /* strings: size of the member, terminating NUL included */
  uint64_t min;  /* numbers: least value as written; strings: least length */
  uint64_t max;
  uint64_t scale;              /* factor from the written to the stored value; 0 means 1 */
  const char *const *choices;  /* terminated by NULL */
  const MfFieldTable *members; /* MF_FIELD_OBJECT: its fields */
  uint32_t kinds;              /* bit mask of the object kinds that have this key; 0 for all */
  bool required;
};

/* Size of a path, terminating NUL included. A longer path is truncated, and its faults are reported
 * at the start of the text. */
#define MF_PATH_BYTES 256

/* Write the path of a member of the object at path, and of an element of the array in that member.
 * An empty key means the array at path itself. */
void mf_path_member (char dst[MF_PATH_BYTES], const char *path, const char *key);
void mf_path_element (char dst[MF_PATH_BYTES], const char *path, const char *key, size_t index);

/* Reads an object into the struct at dst; absent keys leave their members unchanged. kind is one
 * bit of MfField.kinds, or 0 when the table has no kinds. */
void mf_field_read (MfJsonc *jsonc, const char *path, json_object *object,
                    const MfFieldTable *table, uint32_t kind, void *dst);

/* Returns the array under a key. Returns NULL with a fault recorded when the value is no array or a
 * required one is absent, and NULL alone when an optional one is absent. */
json_object *mf_field_array (MfJsonc *jsonc, const char *path, json_object *object, const char *key,
                             bool required);

#endif
