#ifndef MF_FRAME_H
#define MF_FRAME_H

#include "error.h"
#include "peer.h"

/* Version of the messages between instances; a reader skips fields it does not know. */
#define MF_FRAME_VERSION 1
/* Bytes of the length before each payload. */
#define MF_FRAME_LENGTH_BYTES 4

/* Encodes a message as msgpack after a 4-byte big-endian length. Returns a buffer of *frame_bytes
 * owned by the caller, or NULL when memory ran out or the message is too large. */
uint8_t *mf_frame_encode (const MfPeerMessage *message, size_t *frame_bytes, MfError *error);

/* A message and the memory its borrowed pointers stand in. */
typedef struct
{
  MfPeerMessage message;
  void *memory;
} MfFrame;

/* Decodes the payload of one frame, without its length. Returns false with error set when it is
 * malformed. The caller frees frame with mf_frame_clear. */
bool mf_frame_decode (const uint8_t *payload, size_t payload_bytes, MfFrame *frame, MfError *error);
void mf_frame_clear (MfFrame *frame);

#endif
