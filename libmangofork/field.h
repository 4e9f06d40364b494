#ifndef MF_FIELD_H
#define MF_FIELD_H

#include "jsonc.h"

/* How the value of a key is read. */
typedef enum
{
  MF_FIELD_BOOL,
  MF_FIELD_U32,
  MF_FIELD_U64,
  MF_FIELD_STRING,
  MF_FIELD_ADDRESS, /* an IP address and a port */
  MF_FIELD_CHOICE,  /* one of the words in choices; its place is stored */
  MF_FIELD_DIGEST,  /* MF_DIGEST_BYTES in hex */
  MF_FIELD_OBJECT,  /* an object with its own fields in the same struct */
  MF_FIELD_OTHER,   /* known here, read elsewhere */
} MfFieldType;

/* One key of an object and where its value goes. */
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
  size_t bytes;  /* strings: room, closing NUL included */
  uint64_t min;  /* numbers as written; strings: least length */
  uint64_t max;
  uint64_t scale;              /* stored value of one unit as written; 0 means 1 */
  const char *const *choices;  /* closed by NULL */
  const MfFieldTable *members; /* of an object */
  uint32_t kinds;              /* which kinds of object have this key; 0 for all */
  bool required;
};

/* Bytes of a path, its closing NUL included; a longer one is cut and its fault has no place. */
#define MF_PATH_BYTES 256

/* Write the path of the value under a key of the object at path, and of an element of the array
 * under that key; key is empty for the array at path itself. */
void mf_path_member (char dst[MF_PATH_BYTES], const char *path, const char *key);
void mf_path_element (char dst[MF_PATH_BYTES], const char *path, const char *key, size_t index);

/* Reads an object into the struct at dst. Keys that are absent leave what dst holds. The kind is a
 * bit of MfField.kinds, 0 when objects of this table are all alike. */
void mf_field_read (MfJsonc *jsonc, const char *path, json_object *object,
                    const MfFieldTable *table, uint32_t kind, void *dst);

/* Returns the array under a key; NULL when it is absent or no array, which is then a fault. */
json_object *mf_field_array (MfJsonc *jsonc, const char *path, json_object *object, const char *key,
                             bool required);

#endif
