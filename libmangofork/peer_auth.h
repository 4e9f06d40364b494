#ifndef MF_PEER_AUTH_H
#define MF_PEER_AUTH_H

#include "buffer.h"
#include "error.h"
#include "peer_link.h"

#include <sodium.h>

/* Maximum payload of a handshake frame. */
#define MF_PEER_HANDSHAKE_BYTES_MAX 1024

/* One side of the handshake of a link, without its socket. The initiator sends a hello, the
 * responder a hello and a proof, and the initiator a proof. The proofs and the keys of both streams
 * are derived from a transcript of the two hellos, which hold the nonces, names, incarnations and
 * addresses of both sides: no part of a handshake can be replayed or used on another link. */
typedef struct
{
  bool initiator;
  uint32_t version; /* the highest that both sides support */
  MfInstanceId peer;
  char peer_address[MF_ADDRESS_BYTES];
  uint8_t secret[crypto_scalarmult_SCALARBYTES]; /* ephemeral private key */
  uint8_t nonce[crypto_scalarmult_BYTES];        /* ephemeral public key */
  uint8_t peer_nonce[crypto_scalarmult_BYTES];
  uint8_t key[MF_PEER_KEY_BYTES];      /* the pre-shared key that the responder chose */
  crypto_generichash_state transcript; /* of both hellos */
  uint8_t transcript_digest[MF_DIGEST_BYTES];
  crypto_secretstream_xchacha20poly1305_state push; /* outgoing stream */
  crypto_secretstream_xchacha20poly1305_state pull; /* incoming stream */
} MfPeerAuth;

bool mf_peer_auth_begin (MfPeerAuth *auth, const MfPeerLinkOptions *options, const char *expected,
                         MfBuffer *payload, MfError *error);
bool mf_peer_auth_respond (MfPeerAuth *auth, const MfPeerLinkOptions *options, const uint8_t *hello,
                           size_t hello_bytes, MfBuffer *payload, MfError *error);
bool mf_peer_auth_confirm (MfPeerAuth *auth, const MfPeerLinkOptions *options, const char *expected,
                           const uint8_t *answer, size_t answer_bytes, MfBuffer *payload,
                           MfError *error);
bool mf_peer_auth_finish (MfPeerAuth *auth, const uint8_t *proof, size_t proof_bytes,
                          MfError *error);

#endif
