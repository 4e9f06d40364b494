#ifndef MF_FRAME_TABLE_H
#define MF_FRAME_TABLE_H

#include "peer.h"

/* How the messages between instances are written, for frame.c. */

typedef enum
{
  MF_FRAME_FIELD_BOOL,
  MF_FRAME_FIELD_U16,
  MF_FRAME_FIELD_U32,
  MF_FRAME_FIELD_U64,
  MF_FRAME_FIELD_ENUM,   /* an int below max */
  MF_FRAME_FIELD_DIGEST, /* MF_DIGEST_BYTES */
  MF_FRAME_FIELD_NAME,   /* char[max] */
  MF_FRAME_FIELD_STRING, /* char *, NUL-terminated, or NULL */
  MF_FRAME_FIELD_BYTES,  /* pointer, with its uint32_t length at count */
  MF_FRAME_FIELD_STRUCT, /* one value of type items */
  MF_FRAME_FIELD_ARRAY,  /* an array of at most max items, their uint32_t number at count */
  MF_FRAME_FIELD_LIST,   /* a pointer to items, their uint32_t number at count */
} MfFrameFieldKind;

typedef struct MfFrameTable MfFrameTable;

/* Where a value stands in its struct and how it is written. */
typedef struct
{
  uint8_t key;
  MfFrameFieldKind kind;
  size_t offset;
  size_t count_offset;
  uint32_t max;
  const MfFrameTable *item_table;
} MfFrameField;

struct MfFrameTable
{
  const MfFrameField *fields;
  uint32_t n_fields;
  size_t struct_bytes; /* of one struct */
};

/* How a message of that type is written. Every member of the message's union starts where the
 * digest does. */
const MfFrameTable *mf_frame_table (MfPeerMessageType type);
/* Whether a payload is one value whose containers hold no more values than there are bytes left;
 * frame_check.c. The library allocates what a container's head promises, so it only sees payloads
 * that pass. */
bool mf_frame_is_well_formed (const uint8_t *payload, size_t payload_bytes);

#endif
