#include "libmangofork/frame.h"
#include "libmangofork/peer_auth.h"

#include "loop_pump.h"

#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define N_NODES 3
#define KEY_NEW 1
#define KEY_OLD 2
#define LENGTH_BYTES 4

/* The peer links of one instance, and the events that it got. */
typedef struct
{
  MfPeerLinks *links;
  char address[MF_ADDRESS_BYTES];
  uint32_t n_up;
  uint32_t n_down;
  uint32_t n_messages;
  uint32_t last_link;
  uint64_t last_value;
  MfPeerEvent last_down;
} Node;

typedef struct
{
  struct ev_loop *loop;
  Node nodes[N_NODES];
} Fixture;

static void
on_event (const MfEvent *event, void *data)
{
  Node *node = data;

  if (event->type == MF_EVENT_PEER_UP)
    {
      node->n_up++;
      node->last_link = event->peer.link_id;
    }
  else if (event->type == MF_EVENT_PEER_DOWN)
    {
      node->n_down++;
      node->last_down = event->peer;
    }
  else
    {
      assert_int_equal (event->peer.message->type, MF_PEER_CONFIG_REQUEST);
      node->n_messages++;
      node->last_value = event->peer.message->known_revision;
    }
}

static MfPeerKeys
keys_of (uint8_t key, uint8_t old_key)
{
  MfPeerKeys keys = { .has_old_key = old_key != 0 };

  memset (keys.key, key, sizeof keys.key);
  memset (keys.old_key, old_key, sizeof keys.old_key);
  return keys;
}

static MfPeerLinkOptions
options_of (const char *name)
{
  MfPeerLinkOptions options = { .listen = "127.0.0.1:0",
                                .address = "127.0.0.1:1",
                                .self = { .incarnation = 7 },
                                .keys = keys_of (KEY_NEW, 0) };

  mf_name_set (options.self.name, sizeof options.self.name, name);
  return options;
}

static int
setup (void **state)
{
  static const char *const names[N_NODES] = { "a", "b", "c" };
  Fixture *fixture = calloc (1, sizeof *fixture);

  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  for (int i = 0; i < N_NODES; i++)
    {
      Node *node = &fixture->nodes[i];
      const MfPeerLinkOptions options = options_of (names[i]);
      MfError error = { 0 };

      node->links = mf_peer_links_new (fixture->loop, &options, on_event, node, &error);
      assert_non_null (node->links);
      snprintf (node->address, sizeof node->address, "127.0.0.1:%u",
                mf_peer_links_port (node->links));
    }
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  Fixture *fixture = *state;

  for (int i = 0; i < N_NODES; i++)
    mf_peer_links_free (fixture->nodes[i].links);
  ev_loop_destroy (fixture->loop);
  free (fixture);
  return 0;
}

static bool
both_up (void *data)
{
  const Fixture *fixture = data;

  return fixture->nodes[0].n_up > 0 && fixture->nodes[1].n_up > 0;
}

static bool
first_down (void *data)
{
  return ((Fixture *)data)->nodes[0].n_down > 0;
}

static bool
both_received (void *data)
{
  const Fixture *fixture = data;

  return fixture->nodes[0].n_messages > 0 && fixture->nodes[1].n_messages > 0;
}

static bool
second_bad (void *data)
{
  return mf_peer_links_stats (((Fixture *)data)->nodes[1].links)->frames_bad > 0;
}

static bool
second_refused (void *data)
{
  return mf_peer_links_stats (((Fixture *)data)->nodes[1].links)->refused > 0;
}

static bool
second_down (void *data)
{
  return ((Fixture *)data)->nodes[1].n_down > 0;
}

static bool
second_up (void *data)
{
  return ((Fixture *)data)->nodes[1].n_up > 0;
}

static bool
second_received (void *data)
{
  return ((Fixture *)data)->nodes[1].n_messages > 0;
}

static void
send_value (Node *node, uint64_t value)
{
  const MfPeerMessage message = { .type = MF_PEER_CONFIG_REQUEST, .known_revision = value };

  mf_peer_links_send (node->links, node->last_link, &message);
}

static void
test_two_instances_connect_and_exchange_messages (void **state)
{
  Fixture *fixture = *state;
  Node *a = &fixture->nodes[0];
  Node *b = &fixture->nodes[1];

  mf_peer_links_open (a->links, "b", b->address);
  assert_true (loop_pump (fixture->loop, both_up, fixture));
  send_value (a, 41);
  send_value (b, 42);
  assert_true (loop_pump (fixture->loop, both_received, fixture));
  assert_int_equal (b->last_value, 41);
  assert_int_equal (a->last_value, 42);
  mf_peer_links_close (a->links, a->last_link);
  assert_true (loop_pump (fixture->loop, second_down, fixture));
  assert_string_equal (b->last_down.peer.name, "a");
  assert_int_equal (a->n_down, 0);
}

static void
test_open_from_both_sides_leaves_one_link (void **state)
{
  Fixture *fixture = *state;
  Node *a = &fixture->nodes[0];
  Node *b = &fixture->nodes[1];

  mf_peer_links_open (a->links, "b", b->address);
  mf_peer_links_open (b->links, "a", a->address);
  assert_true (loop_pump (fixture->loop, both_up, fixture));
  loop_spin (fixture->loop, 20);
  assert_int_equal (a->n_up - (a->last_down.link_id != 0 ? a->n_down : 0), 1);
  send_value (a, 1);
  send_value (b, 2);
  assert_true (loop_pump (fixture->loop, both_received, fixture));
}

static void
test_wrong_key_is_refused (void **state)
{
  Fixture *fixture = *state;
  const MfPeerKeys other = keys_of (9, 0);

  mf_peer_links_set_keys (fixture->nodes[1].links, &other);
  mf_peer_links_open (fixture->nodes[0].links, "b", fixture->nodes[1].address);
  assert_true (loop_pump (fixture->loop, first_down, fixture));
  assert_int_equal (fixture->nodes[0].last_down.link_id, 0);
  assert_string_equal (fixture->nodes[0].last_down.peer.name, "b");
  assert_int_equal (fixture->nodes[1].n_up, 0);
}

static void
test_old_key_is_accepted_while_keys_change (void **state)
{
  Fixture *fixture = *state;
  const MfPeerKeys rotated = keys_of (KEY_OLD, KEY_NEW);

  mf_peer_links_set_keys (fixture->nodes[0].links, &rotated);
  mf_peer_links_open (fixture->nodes[0].links, "b", fixture->nodes[1].address);
  assert_true (loop_pump (fixture->loop, both_up, fixture));
}

static void
test_another_instance_at_the_address (void **state)
{
  Fixture *fixture = *state;

  mf_peer_links_open (fixture->nodes[0].links, "b", fixture->nodes[2].address);
  assert_true (loop_pump (fixture->loop, first_down, fixture));
  assert_string_equal (fixture->nodes[0].last_down.peer.name, "b");
  assert_int_equal (fixture->nodes[0].n_up + fixture->nodes[2].n_up, 0);
}

static void
test_nobody_at_the_address (void **state)
{
  Fixture *fixture = *state;

  mf_peer_links_open (fixture->nodes[0].links, "b", "127.0.0.1:1");
  mf_peer_links_open (fixture->nodes[0].links, "b", "not an address");
  assert_int_equal (fixture->nodes[0].n_down, 0);
  assert_true (loop_pump (fixture->loop, first_down, fixture));
}

static void
frame_write (int fd, const void *payload, size_t payload_bytes)
{
  uint32_t length = htonl ((uint32_t)payload_bytes);

  loop_send (fd, (const char *)&length, sizeof length);
  loop_send (fd, payload, payload_bytes);
}

/* Reads one frame and returns the size of its payload; 0 when the connection is closed. */
static size_t
frame_read (Fixture *fixture, int fd, uint8_t *payload, size_t max)
{
  uint8_t data[2048];
  size_t got = 0;
  uint32_t length = 0;

  for (int i = 0; i < 1000 && (got < LENGTH_BYTES || got < LENGTH_BYTES + (size_t)length); i++)
    {
      ssize_t n = recv (fd, data + got, sizeof data - got, 0);

      if (n == 0 || (n < 0 && errno != EAGAIN))
        return 0;
      if (n < 0)
        loop_spin (fixture->loop, 1);
      else
        got += (size_t)n;
      if (got >= LENGTH_BYTES)
        memcpy (&length, data, sizeof length);
      length = got >= LENGTH_BYTES ? ntohl (length) : 0;
    }
  assert_true (got == LENGTH_BYTES + (size_t)length && length <= max);
  memcpy (payload, data + LENGTH_BYTES, length);
  return length;
}

/* Performs the handshake with b as the initiator. Returns the socket and both payloads sent. */
static int
handshake_manually (Fixture *fixture, MfPeerAuth *auth, MfBuffer *hello, MfBuffer *proof)
{
  const MfPeerLinkOptions self = options_of ("z");
  int fd = loop_connect (mf_peer_links_port (fixture->nodes[1].links));
  uint8_t answer[MF_PEER_HANDSHAKE_BYTES_MAX];
  size_t answer_bytes;
  MfError error = { 0 };

  assert_true (mf_peer_auth_begin (auth, &self, "b", hello, &error));
  frame_write (fd, mf_buffer_data (hello), mf_buffer_bytes (hello));
  answer_bytes = frame_read (fixture, fd, answer, sizeof answer);
  assert_true (mf_peer_auth_confirm (auth, &self, "b", answer, answer_bytes, proof, &error));
  frame_write (fd, mf_buffer_data (proof), mf_buffer_bytes (proof));
  return fd;
}

static void
test_replayed_handshake_is_refused (void **state)
{
  Fixture *fixture = *state;
  MfPeerAuth auth;
  MfBuffer hello = { 0 };
  MfBuffer proof = { 0 };
  uint8_t answer[MF_PEER_HANDSHAKE_BYTES_MAX];
  int fd = handshake_manually (fixture, &auth, &hello, &proof);
  int again = loop_connect (mf_peer_links_port (fixture->nodes[1].links));

  assert_true (loop_pump (fixture->loop, second_up, fixture));
  frame_write (again, mf_buffer_data (&hello), mf_buffer_bytes (&hello));
  assert_true (frame_read (fixture, again, answer, sizeof answer) > 0);
  frame_write (again, mf_buffer_data (&proof), mf_buffer_bytes (&proof));
  assert_true (loop_pump (fixture->loop, second_refused, fixture));
  assert_int_equal (fixture->nodes[1].n_up, 1);
  mf_buffer_clear (&hello);
  mf_buffer_clear (&proof);
  close (fd);
  close (again);
}

/* Encrypts and sends a payload; with damage, one bit of the ciphertext is flipped. */
static void
encrypt_and_send (int fd, MfPeerAuth *auth, const void *payload, size_t payload_bytes, bool damage)
{
  uint8_t ciphertext[1024];
  unsigned long long ciphertext_bytes = 0;

  crypto_secretstream_xchacha20poly1305_push (&auth->push, ciphertext, &ciphertext_bytes, payload,
                                              payload_bytes, NULL, 0, 0);
  if (damage)
    ciphertext[ciphertext_bytes / 2] ^= 1;
  frame_write (fd, ciphertext, (size_t)ciphertext_bytes);
}

static void
test_unreadable_message_is_dropped_and_failed_decryption_closes_the_link (void **state)
{
  Fixture *fixture = *state;
  const MfPeerMessage message = { .type = MF_PEER_CONFIG_REQUEST, .known_revision = 5 };
  MfPeerAuth auth;
  MfBuffer hello = { 0 };
  MfBuffer proof = { 0 };
  MfError error = { 0 };
  size_t frame_bytes = 0;
  uint8_t *frame = mf_frame_encode (&message, &frame_bytes, &error);
  int fd = handshake_manually (fixture, &auth, &hello, &proof);

  encrypt_and_send (fd, &auth, "garbage", 7, false);
  assert_true (loop_pump (fixture->loop, second_bad, fixture));
  encrypt_and_send (fd, &auth, frame + LENGTH_BYTES, frame_bytes - LENGTH_BYTES, false);
  assert_true (loop_pump (fixture->loop, second_received, fixture));
  assert_int_equal (fixture->nodes[1].n_down, 0);
  encrypt_and_send (fd, &auth, frame + LENGTH_BYTES, frame_bytes - LENGTH_BYTES, true);
  assert_true (loop_pump (fixture->loop, second_down, fixture));
  assert_int_equal (fixture->nodes[1].n_messages, 1);
  assert_int_equal (mf_peer_links_stats (fixture->nodes[1].links)->frames_bad, 2);
  free (frame);
  mf_buffer_clear (&hello);
  mf_buffer_clear (&proof);
  close (fd);
}

static void
test_garbage_and_oversize_frames (void **state)
{
  static const char *const texts[] = { "\xff\xff\xff\xff....", "\x00\x00\x00\x04oops",
                                       "\x00\x00\x00\x00", "\x00\x00\x04\x01x..." };
  Fixture *fixture = *state;

  for (size_t i = 0; i < MF_ARRAY_LEN (texts); i++)
    {
      char got[64];
      int fd = loop_connect (mf_peer_links_port (fixture->nodes[1].links));

      loop_send (fd, texts[i], i == 2 ? 4 : 8);
      assert_int_equal (loop_receive (fixture->loop, fd, NULL, got, sizeof got), 0);
      close (fd);
    }
  assert_int_equal (mf_peer_links_stats (fixture->nodes[1].links)->refused, 4);
  mf_peer_links_open (fixture->nodes[0].links, "b", fixture->nodes[1].address);
  assert_true (loop_pump (fixture->loop, both_up, fixture));
}

static void
test_unknown_version_is_refused (void **state)
{
  const MfPeerLinkOptions self = options_of ("z");
  const MfPeerLinkOptions other = options_of ("b");
  MfPeerAuth auth;
  MfPeerAuth responder;
  MfBuffer hello = { 0 };
  MfBuffer answer = { 0 };
  MfError error = { 0 };
  size_t version_at = 1 + 1 + strlen ("mangofork-peer");

  (void)state;
  assert_true (mf_peer_auth_begin (&auth, &self, "b", &hello, &error));
  hello.memory[version_at] = 9;
  hello.memory[version_at + 1] = 9;
  assert_false (mf_peer_auth_respond (&responder, &other, (const uint8_t *)mf_buffer_data (&hello),
                                      mf_buffer_bytes (&hello), &answer, &error));
  assert_int_equal (error.code, MF_CODE_PEER_VERSION);
  mf_buffer_clear (&hello);
  mf_buffer_clear (&answer);
}

/* The proof covers every byte of the response. */
static void
test_any_change_to_the_answer_is_noticed (void **state)
{
  const MfPeerLinkOptions self = options_of ("z");
  const MfPeerLinkOptions other = options_of ("b");
  MfPeerAuth auth;
  MfPeerAuth responder;
  MfBuffer hello = { 0 };
  MfBuffer answer = { 0 };
  MfError error = { 0 };

  (void)state;
  assert_true (mf_peer_auth_begin (&auth, &self, "b", &hello, &error));
  assert_true (mf_peer_auth_respond (&responder, &other, (const uint8_t *)mf_buffer_data (&hello),
                                     mf_buffer_bytes (&hello), &answer, &error));
  for (size_t i = 0; i < mf_buffer_bytes (&answer); i++)
    {
      MfPeerAuth copy = auth;
      MfBuffer proof = { 0 };
      MfError fault = { 0 };

      answer.memory[i] ^= 1;
      assert_false (mf_peer_auth_confirm (&copy, &self, "b", (const uint8_t *)answer.memory,
                                          mf_buffer_bytes (&answer), &proof, &fault));
      answer.memory[i] ^= 1;
      mf_buffer_clear (&proof);
    }
  mf_buffer_clear (&hello);
  mf_buffer_clear (&answer);
}

static void
test_silent_connections_are_bounded (void **state)
{
  Fixture *fixture = *state;
  int fds[80];

  for (size_t i = 0; i < MF_ARRAY_LEN (fds); i++)
    {
      fds[i] = loop_connect (mf_peer_links_port (fixture->nodes[1].links));
      loop_spin (fixture->loop, 1);
    }
  assert_true (loop_pump (fixture->loop, second_refused, fixture));
  for (size_t i = 0; i < MF_ARRAY_LEN (fds); i++)
    close (fds[i]);
}

static void
test_key_files (void **state)
{
  char path[] = "/tmp/mangofork-test-key-XXXXXX";
  int fd = mkstemp (path);
  MfPeerKeys keys;
  MfError error = { 0 };

  (void)state;
  for (int i = 0; i < MF_PEER_KEY_BYTES; i++)
    dprintf (fd, "%02x", i);
  dprintf (fd, "\n");
  assert_true (mf_peer_keys_read (path, "", &keys, &error));
  assert_false (keys.has_old_key);
  assert_int_equal (keys.key[31], 31);
  assert_int_equal (ftruncate (fd, 10), 0);
  assert_false (mf_peer_keys_read (path, "", &keys, &error));
  assert_int_equal (error.code, MF_CODE_FILE_READ);
  close (fd);
  unlink (path);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_two_instances_connect_and_exchange_messages, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (test_open_from_both_sides_leaves_one_link, setup, teardown),
    cmocka_unit_test_setup_teardown (test_wrong_key_is_refused, setup, teardown),
    cmocka_unit_test_setup_teardown (test_old_key_is_accepted_while_keys_change, setup, teardown),
    cmocka_unit_test_setup_teardown (test_another_instance_at_the_address, setup, teardown),
    cmocka_unit_test_setup_teardown (test_nobody_at_the_address, setup, teardown),
    cmocka_unit_test_setup_teardown (test_replayed_handshake_is_refused, setup, teardown),
    cmocka_unit_test_setup_teardown (
        test_unreadable_message_is_dropped_and_failed_decryption_closes_the_link, setup, teardown),
    cmocka_unit_test_setup_teardown (test_garbage_and_oversize_frames, setup, teardown),
    cmocka_unit_test (test_unknown_version_is_refused),
    cmocka_unit_test (test_any_change_to_the_answer_is_noticed),
    cmocka_unit_test_setup_teardown (test_silent_connections_are_bounded, setup, teardown),
    cmocka_unit_test (test_key_files),
  };

  if (sodium_init () < 0)
    return 1;
  return cmocka_run_group_tests (tests, NULL, NULL);
}
