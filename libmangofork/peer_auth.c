#include "peer_auth.h"

#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAGIC "mangofork-peer"
#define VERSION_MIN 1
#define VERSION_MAX 1
#define KEY_ID_BYTES 8
#define KEY_IDS_MAX 2
#define STREAM_HEADER_BYTES crypto_secretstream_xchacha20poly1305_HEADERBYTES
#define PROOF_BYTES MF_DIGEST_BYTES
/* Header of the sender's stream and proof: they follow the responder's hello, and are the whole of
 * the initiator's second payload. */
#define TRAILER_BYTES (STREAM_HEADER_BYTES + PROOF_BYTES)

/* Members of a hello, an array, in this order. Later versions may append members. */
typedef enum
{
  HELLO_MAGIC,
  HELLO_VERSION_MIN,
  HELLO_VERSION_MAX,
  HELLO_NAME,
  HELLO_INCARNATION,
  HELLO_ADDRESS,
  HELLO_EXPECTED,
  HELLO_NONCE,
  HELLO_KEY_IDS, /* initiator: all that it accepts, preferred first; responder: the one it chose */
  HELLO_MEMBER_COUNT,
} HelloMember;

typedef struct
{
  uint32_t version_min;
  uint32_t version_max;
  MfInstanceId instance;
  char address[MF_ADDRESS_BYTES];
  char expected[MF_NAME_BYTES]; /* name of the receiver; "" accepts any */
  uint8_t nonce[crypto_scalarmult_BYTES];
  uint8_t key_ids[KEY_IDS_MAX][KEY_ID_BYTES];
  uint32_t n_key_ids;
} Hello;

static bool
auth_error (MfError *error, const char *fault)
{
  mf_error_set (error, MF_CODE_PEER_AUTH, "%s", fault);
  return false;
}

/* Computes a keyed hash of a label and two parts. */
static void
key_hash (const uint8_t key[MF_PEER_KEY_BYTES], const char *label, const void *first,
          size_t first_bytes, const void *second, size_t second_bytes, uint8_t *hash,
          size_t hash_bytes)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, key, MF_PEER_KEY_BYTES, hash_bytes);
  crypto_generichash_update (&state, (const unsigned char *)label, strlen (label) + 1);
  crypto_generichash_update (&state, first, first_bytes);
  crypto_generichash_update (&state, second, second_bytes);
  crypto_generichash_final (&state, hash, hash_bytes);
}

/* Computes the public identifier of a key, which does not reveal the key. */
static void
key_id (const uint8_t key[MF_PEER_KEY_BYTES], uint8_t id[KEY_ID_BYTES])
{
  uint8_t hash[MF_DIGEST_BYTES];

  key_hash (key, "mangofork peer key id", NULL, 0, NULL, 0, hash, sizeof hash);
  memcpy (id, hash, KEY_ID_BYTES);
}

/* Finds the accepted key with this id. */
static bool
key_find (const MfPeerKeys *keys, const uint8_t id[KEY_ID_BYTES], uint8_t key[MF_PEER_KEY_BYTES])
{
  uint8_t own_id[KEY_ID_BYTES];

  key_id (keys->key, own_id);
  if (memcmp (own_id, id, KEY_ID_BYTES) == 0)
    {
      memcpy (key, keys->key, MF_PEER_KEY_BYTES);
      return true;
    }
  if (!keys->has_old_key)
    return false;
  key_id (keys->old_key, own_id);
  if (memcmp (own_id, id, KEY_ID_BYTES) != 0)
    return false;
  memcpy (key, keys->old_key, MF_PEER_KEY_BYTES);
  return true;
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  msgpack_pack_str_with_body (packer, text, strlen (text));
}

static void
pack_bytes (msgpack_packer *packer, const void *bytes, size_t n_bytes)
{
  msgpack_pack_bin_with_body (packer, bytes, n_bytes);
}

static void
hello_pack (const Hello *hello, MfBuffer *payload)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, HELLO_MEMBER_COUNT);
  pack_text (&packer, MAGIC);
  msgpack_pack_uint32 (&packer, hello->version_min);
  msgpack_pack_uint32 (&packer, hello->version_max);
  pack_text (&packer, hello->instance.name);
  msgpack_pack_uint64 (&packer, hello->instance.incarnation);
  pack_text (&packer, hello->address);
  pack_text (&packer, hello->expected);
  pack_bytes (&packer, hello->nonce, sizeof hello->nonce);
  msgpack_pack_array (&packer, hello->n_key_ids);
  for (uint32_t i = 0; i < hello->n_key_ids; i++)
    pack_bytes (&packer, hello->key_ids[i], KEY_ID_BYTES);
  mf_buffer_add (payload, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

static bool
read_number (const msgpack_object *object, uint64_t max, uint64_t *number)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    return false;
  *number = object->via.u64;
  return true;
}

static bool
read_text (const msgpack_object *object, char *text, size_t text_bytes)
{
  size_t n = object->via.str.size;

  if (object->type != MSGPACK_OBJECT_STR || n >= text_bytes
      || memchr (object->via.str.ptr, '\0', n) != NULL)
    return false;
  memcpy (text, object->via.str.ptr, n);
  text[n] = '\0';
  return true;
}

static bool
read_bytes (const msgpack_object *object, void *bytes, size_t n_bytes)
{
  if (object->type != MSGPACK_OBJECT_BIN || object->via.bin.size != n_bytes)
    return false;
  memcpy (bytes, object->via.bin.ptr, n_bytes);
  return true;
}

static bool
read_key_ids (const msgpack_object *object, Hello *hello)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > KEY_IDS_MAX)
    return false;
  hello->n_key_ids = object->via.array.size;
  for (uint32_t i = 0; i < hello->n_key_ids; i++)
    {
      if (!read_bytes (&object->via.array.ptr[i], hello->key_ids[i], KEY_ID_BYTES))
        return false;
    }
  return true;
}

static bool
hello_read (const msgpack_object *object, Hello *hello)
{
  const msgpack_object *members = object->via.array.ptr;
  uint64_t version_min = 0;
  uint64_t version_max = 0;
  char magic[sizeof MAGIC];

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < HELLO_MEMBER_COUNT
      || !read_text (&members[HELLO_MAGIC], magic, sizeof magic) || strcmp (magic, MAGIC) != 0
      || !read_number (&members[HELLO_VERSION_MIN], UINT32_MAX, &version_min)
      || !read_number (&members[HELLO_VERSION_MAX], UINT32_MAX, &version_max)
      || !read_text (&members[HELLO_NAME], hello->instance.name, sizeof hello->instance.name)
      || !read_number (&members[HELLO_INCARNATION], UINT64_MAX, &hello->instance.incarnation)
      || !read_text (&members[HELLO_ADDRESS], hello->address, sizeof hello->address)
      || !read_text (&members[HELLO_EXPECTED], hello->expected, sizeof hello->expected)
      || !read_bytes (&members[HELLO_NONCE], hello->nonce, sizeof hello->nonce)
      || !read_key_ids (&members[HELLO_KEY_IDS], hello))
    return false;
  hello->version_min = (uint32_t)version_min;
  hello->version_max = (uint32_t)version_max;
  return hello->instance.name[0] != '\0';
}

static bool
hello_unpack (const uint8_t *data, size_t data_bytes, Hello *hello, MfError *error)
{
  msgpack_unpacked unpacked;
  size_t at = 0;
  bool ok;

  *hello = (Hello){ 0 };
  msgpack_unpacked_init (&unpacked);
  ok = data_bytes <= MF_PEER_HANDSHAKE_BYTES_MAX
       && msgpack_unpack_next (&unpacked, (const char *)data, data_bytes, &at)
              == MSGPACK_UNPACK_SUCCESS
       && at == data_bytes && hello_read (&unpacked.data, hello);
  msgpack_unpacked_destroy (&unpacked);
  return ok ? true : auth_error (error, "the hello is malformed");
}

/* Fills in the members that are the same for both sides, and generates the ephemeral key pair. */
static void
hello_init (MfPeerAuth *auth, const MfPeerLinkOptions *options, const char *expected, Hello *hello)
{
  randombytes_buf (auth->secret, sizeof auth->secret);
  crypto_scalarmult_base (auth->nonce, auth->secret);
  *hello = (Hello){
    .version_min = VERSION_MIN,
    .version_max = VERSION_MAX,
    .instance = options->self,
  };
  mf_name_set (hello->address, sizeof hello->address, options->address);
  mf_name_set (hello->expected, sizeof hello->expected, expected);
  memcpy (hello->nonce, auth->nonce, sizeof hello->nonce);
}

/* Checks the version and the names in the peer's hello, and copies its members. */
static bool
hello_check (MfPeerAuth *auth, const MfPeerLinkOptions *options, const Hello *hello, MfError *error)
{
  uint32_t highest = hello->version_max < VERSION_MAX ? hello->version_max : VERSION_MAX;

  if (highest < VERSION_MIN || highest < hello->version_min)
    {
      mf_error_set (error, MF_CODE_PEER_VERSION,
                    "no common protocol version: the peer supports %u to %u", hello->version_min,
                    hello->version_max);
      return false;
    }
  if (strcmp (hello->instance.name, options->self.name) == 0)
    return auth_error (error, "the peer has the same name as this instance");
  if (hello->expected[0] != '\0' && strcmp (hello->expected, options->self.name) != 0)
    return auth_error (error, "the peer expects another instance at this address");
  auth->version = highest;
  auth->peer = hello->instance;
  memcpy (auth->peer_address, hello->address, sizeof auth->peer_address);
  memcpy (auth->peer_nonce, hello->nonce, sizeof auth->peer_nonce);
  return true;
}

static void
transcript_add (MfPeerAuth *auth, const void *data, size_t data_bytes)
{
  uint64_t n = data_bytes;

  crypto_generichash_update (&auth->transcript, (const unsigned char *)&n, sizeof n);
  crypto_generichash_update (&auth->transcript, data, data_bytes);
}

/* Derives the key of the stream in one direction from the pre-shared key, the transcript and the
 * shared secret of the ephemeral keys. */
static bool
stream_key_derive (const MfPeerAuth *auth, bool from_initiator, uint8_t key[MF_DIGEST_BYTES])
{
  uint8_t shared[crypto_scalarmult_BYTES];

  if (crypto_scalarmult (shared, auth->secret, auth->peer_nonce) != 0)
    return false;
  key_hash (auth->key,
            from_initiator ? "mangofork peer to responder" : "mangofork peer to initiator",
            auth->transcript_digest, MF_DIGEST_BYTES, shared, sizeof shared, key, MF_DIGEST_BYTES);
  sodium_memzero (shared, sizeof shared);
  return true;
}

static void
proof_compute (const MfPeerAuth *auth, bool by_initiator, const uint8_t *stream, uint8_t *proof)
{
  key_hash (auth->key, by_initiator ? "mangofork peer initiator" : "mangofork peer responder",
            auth->transcript_digest, MF_DIGEST_BYTES, stream, STREAM_HEADER_BYTES, proof,
            PROOF_BYTES);
}

/* Opens the outgoing stream and appends its header and the proof to a payload. */
static bool
send_stream_open (MfPeerAuth *auth, MfBuffer *payload, MfError *error)
{
  uint8_t key[MF_DIGEST_BYTES];
  uint8_t stream[STREAM_HEADER_BYTES];
  uint8_t proof[PROOF_BYTES];

  if (!stream_key_derive (auth, auth->initiator, key)
      || crypto_secretstream_xchacha20poly1305_init_push (&auth->push, stream, key) != 0)
    return auth_error (error, "cannot open the outgoing stream");
  sodium_memzero (key, sizeof key);
  proof_compute (auth, auth->initiator, stream, proof);
  mf_buffer_add (payload, stream, sizeof stream);
  mf_buffer_add (payload, proof, sizeof proof);
  return payload->failed ? auth_error (error, "no memory for the proof") : true;
}

/* Checks the peer's proof and opens the incoming stream. trailer holds its header and the proof. */
static bool
receive_stream_open (MfPeerAuth *auth, const uint8_t *trailer, MfError *error)
{
  uint8_t key[MF_DIGEST_BYTES];
  uint8_t expected[PROOF_BYTES];

  proof_compute (auth, !auth->initiator, trailer, expected);
  if (sodium_memcmp (expected, trailer + STREAM_HEADER_BYTES, PROOF_BYTES) != 0)
    return auth_error (error, "the peer's proof is not valid");
  if (!stream_key_derive (auth, !auth->initiator, key)
      || crypto_secretstream_xchacha20poly1305_init_pull (&auth->pull, trailer, key) != 0)
    return auth_error (error, "cannot open the incoming stream");
  sodium_memzero (key, sizeof key);
  return true;
}

/* Starts a handshake as the initiator and writes the first payload. expected is the name of the
 * instance to reach. */
bool
mf_peer_auth_begin (MfPeerAuth *auth, const MfPeerLinkOptions *options, const char *expected,
                    MfBuffer *payload, MfError *error)
{
  Hello hello;

  *auth = (MfPeerAuth){ .initiator = true };
  hello_init (auth, options, expected, &hello);
  key_id (options->keys.key, hello.key_ids[hello.n_key_ids++]);
  if (options->keys.has_old_key)
    key_id (options->keys.old_key, hello.key_ids[hello.n_key_ids++]);
  hello_pack (&hello, payload);
  if (payload->failed)
    return auth_error (error, "no memory for the hello");
  crypto_generichash_init (&auth->transcript, NULL, 0, MF_DIGEST_BYTES);
  transcript_add (auth, mf_buffer_data (payload), mf_buffer_bytes (payload));
  return true;
}

/* Chooses the first key offered by the initiator that this side accepts. */
static bool
key_choose (MfPeerAuth *auth, const MfPeerKeys *keys, const Hello *peer_hello, Hello *own_hello)
{
  for (uint32_t i = 0; i < peer_hello->n_key_ids; i++)
    {
      if (key_find (keys, peer_hello->key_ids[i], auth->key))
        {
          memcpy (own_hello->key_ids[0], peer_hello->key_ids[i], KEY_ID_BYTES);
          own_hello->n_key_ids = 1;
          return true;
        }
    }
  return false;
}

/* Checks the initiator's hello and writes the response: the responder's hello and proof. */
bool
mf_peer_auth_respond (MfPeerAuth *auth, const MfPeerLinkOptions *options, const uint8_t *hello,
                      size_t hello_bytes, MfBuffer *payload, MfError *error)
{
  Hello peer_hello;
  Hello own_hello;

  *auth = (MfPeerAuth){ 0 };
  if (!hello_unpack (hello, hello_bytes, &peer_hello, error)
      || !hello_check (auth, options, &peer_hello, error))
    return false;
  hello_init (auth, options, peer_hello.instance.name, &own_hello);
  if (!key_choose (auth, &options->keys, &peer_hello, &own_hello))
    return auth_error (error, "no key in common with the peer");
  hello_pack (&own_hello, payload);
  crypto_generichash_init (&auth->transcript, NULL, 0, MF_DIGEST_BYTES);
  transcript_add (auth, hello, hello_bytes);
  transcript_add (auth, mf_buffer_data (payload), mf_buffer_bytes (payload));
  crypto_generichash_final (&auth->transcript, auth->transcript_digest, MF_DIGEST_BYTES);
  return send_stream_open (auth, payload, error);
}

/* Checks the response and writes the initiator's proof. The link is then authenticated. */
bool
mf_peer_auth_confirm (MfPeerAuth *auth, const MfPeerLinkOptions *options, const char *expected,
                      const uint8_t *answer, size_t answer_bytes, MfBuffer *payload, MfError *error)
{
  size_t hello_bytes = answer_bytes - TRAILER_BYTES;
  Hello peer_hello;

  if (answer_bytes <= TRAILER_BYTES)
    return auth_error (error, "the response to the hello is too short");
  if (!hello_unpack (answer, hello_bytes, &peer_hello, error)
      || !hello_check (auth, options, &peer_hello, error))
    return false;
  if (expected[0] != '\0' && strcmp (peer_hello.instance.name, expected) != 0)
    return auth_error (error, "another instance than the expected one responded");
  if (peer_hello.n_key_ids != 1 || !key_find (&options->keys, peer_hello.key_ids[0], auth->key))
    return auth_error (error, "the peer chose an unknown key");
  transcript_add (auth, answer, hello_bytes);
  crypto_generichash_final (&auth->transcript, auth->transcript_digest, MF_DIGEST_BYTES);
  return receive_stream_open (auth, answer + hello_bytes, error)
         && send_stream_open (auth, payload, error);
}

/* Checks the initiator's proof. The link is then authenticated. */
bool
mf_peer_auth_finish (MfPeerAuth *auth, const uint8_t *proof, size_t proof_bytes, MfError *error)
{
  if (proof_bytes != TRAILER_BYTES)
    return auth_error (error, "the proof has the wrong length");
  return receive_stream_open (auth, proof, error);
}

/* Reads one key from a file of hexadecimal digits. */
static bool
key_read (const char *path, uint8_t key[MF_PEER_KEY_BYTES], MfError *error)
{
  FILE *file = fopen (path, "r");
  char text[2 * MF_PEER_KEY_BYTES + 1];
  size_t n_bytes = 0;
  size_t n = file == NULL ? 0 : fread (text, 1, sizeof text - 1, file);

  if (file != NULL)
    fclose (file);
  if (n == sizeof text - 1
      && sodium_hex2bin (key, MF_PEER_KEY_BYTES, text, n, NULL, &n_bytes, NULL) == 0
      && n_bytes == MF_PEER_KEY_BYTES)
    return true;
  mf_error_set (error, MF_CODE_FILE_READ,
                "%s cannot be read or is not a key of 64 hexadecimal digits", path);
  return false;
}

/* Reads the key files. old_path may be "". */
bool
mf_peer_keys_read (const char *path, const char *old_path, MfPeerKeys *keys, MfError *error)
{
  *keys = (MfPeerKeys){ .has_old_key = old_path[0] != '\0' };
  return key_read (path, keys->key, error)
         && (!keys->has_old_key || key_read (old_path, keys->old_key, error));
}
