#ifndef MF_FRAME_H
#define MF_FRAME_H

#include "error.h"
#include "peer.h"

/* Protocol version of the messages between instances. A decoder ignores unknown fields. */
#define MF_FRAME_VERSION 1
/* Size of the length before each payload. */
#define MF_FRAME_LENGTH_BYTES 4

uint8_t *mf_frame_encode (const MfPeerMessage *message, size_t *frame_bytes, MfError *error);

/* A decoded message and the memory that its pointers refer to. */
typedef struct
{
  MfPeerMessage message;
  void *memory; /* msgpack_zone */
} MfFrame;

bool mf_frame_decode (const uint8_t *payload, size_t payload_bytes, MfFrame *frame, MfError *error);
void mf_frame_clear (MfFrame *frame);

#endif
