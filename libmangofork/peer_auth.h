#ifndef MF_PEER_AUTH_H
#define MF_PEER_AUTH_H

#include "buffer.h"
#include "error.h"
#include "peer_link.h"

#include <sodium.h>

/* Longest payload of a handshake frame. */
#define MF_PEER_HANDSHAKE_BYTES_MAX 1024

/* One side of the handshake of a link, without its socket. The initiator sends its hello; the
 * responder answers with its own and a proof over both; the initiator closes with its proof. Each
 * proof and the keys that follow from the handshake take in both nonces, slot names, incarnations
 * and addresses, so that nothing of it can be replayed or moved to another link. */
typedef struct
{
  bool initiator;
  uint32_t version; /* agreed */
  MfInstanceId peer;
  char peer_address[MF_ADDRESS_BYTES];
  uint8_t secret[crypto_scalarmult_SCALARBYTES];
  uint8_t nonce[crypto_scalarmult_BYTES]; /* also the ephemeral public key */
  uint8_t peer_nonce[crypto_scalarmult_BYTES];
  uint8_t key[MF_PEER_KEY_BYTES];
  crypto_generichash_state transcript;
  uint8_t transcript_digest[MF_DIGEST_BYTES];
  crypto_secretstream_xchacha20poly1305_state push;
  crypto_secretstream_xchacha20poly1305_state pull;
} MfPeerAuth;

/* The initiator's first payload. expected is the slot it means to reach. */
bool mf_peer_auth_begin (MfPeerAuth *auth, const MfPeerLinkOptions *options, const char *expected,
                         MfBuffer *payload, MfError *error);
/* The responder takes the initiator's hello and makes its answer. */
bool mf_peer_auth_respond (MfPeerAuth *auth, const MfPeerLinkOptions *options, const uint8_t *hello,
                           size_t hello_bytes, MfBuffer *payload, MfError *error);
/* The initiator checks the answer and makes its proof. The link is then authenticated. */
bool mf_peer_auth_confirm (MfPeerAuth *auth, const MfPeerLinkOptions *options, const char *expected,
                           const uint8_t *answer, size_t answer_bytes, MfBuffer *payload,
                           MfError *error);
/* The responder checks the proof. The link is then authenticated. */
bool mf_peer_auth_finish (MfPeerAuth *auth, const uint8_t *proof, size_t proof_bytes,
                          MfError *error);

#endif
