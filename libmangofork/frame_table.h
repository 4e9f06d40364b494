#ifndef MF_FRAME_TABLE_H
#define MF_FRAME_TABLE_H

#include "peer.h"

/* Description of the encoding of each message between instances, used by frame.c. */

typedef enum
{
  MF_FRAME_FIELD_BOOL,
  MF_FRAME_FIELD_U16,
  MF_FRAME_FIELD_U32,
  MF_FRAME_FIELD_U64,
  MF_FRAME_FIELD_ENUM,   /* 4 bytes, below max */
  MF_FRAME_FIELD_DIGEST, /* uint8_t[MF_DIGEST_BYTES] */
  MF_FRAME_FIELD_NAME,   /* char[max] */
  MF_FRAME_FIELD_STRING, /* char *, NUL-terminated, or NULL */
  MF_FRAME_FIELD_BYTES,  /* pointer; the uint32_t length is at count_offset */
  MF_FRAME_FIELD_STRUCT, /* one struct described by item_table */
  MF_FRAME_FIELD_ARRAY,  /* array of at most max structs; the uint32_t number is at count_offset */
  MF_FRAME_FIELD_LIST,   /* pointer to structs; the uint32_t number is at count_offset */
} MfFrameFieldKind;

typedef struct MfFrameTable MfFrameTable;

/* The position of one field in its struct and how it is encoded. */
typedef struct
{
  uint8_t key; /* number in the map of a message */
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
  size_t struct_bytes;
};

const MfFrameTable *mf_frame_table (MfPeerMessageType type);
/* frame_check.c */
bool mf_frame_is_well_formed (const uint8_t *payload, size_t payload_bytes);

#endif
