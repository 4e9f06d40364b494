#include "libmangofork/relay/peers.h"

#include "libmangofork/clock.h"

#include "fakes/ports.h"
#include "loop_pump.h"

#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define N 4
#define FENCE 4711

typedef struct
{
  MfPeers *peers;
  char address[MF_ADDRESS_BYTES];
  uint32_t n_active; /* load that it reports for engine 7 */
  MfRelayMessage last;
  uint64_t last_peer;
  uint32_t n_messages;
  uint32_t n_gone;
} Node;

typedef struct
{
  struct ev_loop *loop;
  MfRelayLog *log;
  int log_fd;
  Node nodes[N];
  uint16_t ports[N];
} Fleet;

static void
on_fill (void *data, MfLoadReport *report)
{
  const Node *node = data;

  report->entries[report->n_entries++] = (MfLoadEntry){ .upstream = 7, .n_active = node->n_active };
}

static void
on_changed (void *data)
{
  (void)data;
}

static void
on_message (void *data, uint64_t peer, const MfRelayMessage *message)
{
  Node *node = data;

  node->last = *message;
  node->last_peer = peer;
  node->n_messages++;
}

static void
on_lost (void *data, uint64_t peer)
{
  Node *node = data;

  (void)peer;
  node->n_gone++;
}

static const MfPeersCallbacks callbacks = {
  .fill_report = on_fill,
  .loads_changed = on_changed,
  .message = on_message,
  .lost = on_lost,
};

static void
node_begin (Fleet *fleet, uint32_t index)
{
  Node *node = &fleet->nodes[index];
  MfError error = { 0 };

  node->n_active = index + 1;
  snprintf (node->address, sizeof node->address, "127.0.0.1:%u", fleet->ports[index]);
  node->peers = mf_peers_new (fleet->loop, node->address, &callbacks, node, fleet->log, &error);
  assert_non_null (node->peers);
  mf_peers_add_seeds (node->peers, fleet->nodes[0].address);
}

static void
fleet_begin (Fleet *fleet)
{
  MfError error = { 0 };

  memset (fleet, 0, sizeof *fleet);
  fleet->loop = ev_loop_new (0);
  fleet->log_fd = open ("/dev/null", O_WRONLY);
  fleet->log = mf_relay_log_new (fleet->loop, "t", fleet->log_fd, &error);
  assert_non_null (fleet->log);
  for (uint32_t i = 0; i < N; i++)
    fleet->ports[i] = fake_ports_reserve ();
  for (uint32_t i = 0; i < N; i++)
    node_begin (fleet, i);
}

static void
fleet_end (Fleet *fleet)
{
  for (uint32_t i = 0; i < N; i++)
    mf_peers_free (fleet->nodes[i].peers);
  mf_relay_log_free (fleet->log);
  close (fleet->log_fd);
  ev_loop_destroy (fleet->loop);
}

static void
entry_sum (void *data, const MfLoadEntry *entry, uint64_t received_us)
{
  (void)received_us;
  *(uint32_t *)data += entry->n_active;
}

/* Whether each running instance has the reports of all others. */
static bool
all_have_reports (void *data)
{
  Fleet *fleet = data;
  uint32_t total = 0;

  for (uint32_t i = 0; i < N; i++)
    total += fleet->nodes[i].peers != NULL ? fleet->nodes[i].n_active : 0;
  for (uint32_t i = 0; i < N; i++)
    {
      uint32_t sum = fleet->nodes[i].n_active;

      if (fleet->nodes[i].peers == NULL)
        continue;
      mf_peers_foreach_entry (fleet->nodes[i].peers, mf_clock_now_us (), entry_sum, &sum);
      if (sum != total)
        return false;
    }
  return true;
}

static void
test_instances_find_each_other_by_one_seed (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_begin (&fleet);
  assert_true (loop_pump (fleet.loop, all_have_reports, &fleet));
  for (uint32_t i = 0; i < N; i++)
    assert_int_equal (mf_peers_n_alive (fleet.nodes[i].peers, mf_clock_now_us ()), N);
  fleet.nodes[2].n_active = 50;
  mf_peers_schedule_report (fleet.nodes[2].peers);
  assert_true (loop_pump (fleet.loop, all_have_reports, &fleet));
  fleet_end (&fleet);
}

/* All instances name the same leader, which names itself. */
static void
test_one_instance_is_leader (void **state)
{
  Fleet fleet;
  uint64_t leader = 0;
  uint32_t n_self = 0;
  uint32_t requester = 0;

  (void)state;
  fleet_begin (&fleet);
  assert_true (loop_pump (fleet.loop, all_have_reports, &fleet));
  for (uint32_t i = 0; i < N; i++)
    {
      uint64_t named = mf_peers_leader (fleet.nodes[i].peers, "llm", mf_clock_now_us ());

      n_self += named == MF_DISPATCH_SELF;
      if (named == MF_DISPATCH_SELF)
        continue;
      assert_true (leader == 0 || leader == named);
      leader = named;
      requester = i;
    }
  assert_int_equal (n_self, 1);
  /* An instance excludes a leader that did not answer it, and chooses the next one. */
  mf_peers_exclude_leader (fleet.nodes[requester].peers, leader);
  assert_int_not_equal (mf_peers_leader (fleet.nodes[requester].peers, "llm", mf_clock_now_us ()),
                        leader);
  fleet_end (&fleet);
}

static uint32_t
n_leading (Fleet *fleet)
{
  uint32_t n_leads = 0;

  for (uint32_t i = 0; i < N; i++)
    n_leads += fleet->nodes[i].peers != NULL
               && mf_peers_is_leader (fleet->nodes[i].peers, "llm", mf_clock_now_us ());
  return n_leads;
}

static bool
one_leads (void *data)
{
  return n_leading (data) == 1;
}

/* A leader needs the votes of more than half of all known instances: after a split into two halves,
 * neither has one. */
static void
test_who_leads_is_named_by_more_than_half (void **state)
{
  Fleet fleet;
  uint32_t n_ended = 0;

  (void)state;
  fleet_begin (&fleet);
  assert_true (loop_pump (fleet.loop, all_have_reports, &fleet));
  assert_int_equal (n_leading (&fleet), 0);
  assert_true (loop_pump (fleet.loop, one_leads, &fleet));
  for (uint32_t i = 0; i < N && n_ended < N / 2; i++)
    {
      if (mf_peers_is_leader (fleet.nodes[i].peers, "llm", mf_clock_now_us ()))
        continue;
      mf_peers_free (fleet.nodes[i].peers);
      fleet.nodes[i].peers = NULL;
      n_ended++;
    }
  loop_spin (fleet.loop, 20);
  assert_int_equal (n_leading (&fleet), 0);
  fleet_end (&fleet);
}

static bool
all_know_the_fence (void *data)
{
  Fleet *fleet = data;

  for (uint32_t i = 0; i < N; i++)
    {
      if (mf_peers_fence (fleet->nodes[i].peers, "llm") != FENCE)
        return false;
    }
  return true;
}

/* The next leader knows the fencing token of the last order, also from instances that only received
 * it in a report. Lower tokens and those far in the future change nothing. */
static void
test_fences_are_told_to_all (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_begin (&fleet);
  assert_true (loop_pump (fleet.loop, all_have_reports, &fleet));
  n_leading (&fleet);
  mf_peers_record_fence (fleet.nodes[0].peers, "llm", FENCE);
  mf_peers_record_fence (fleet.nodes[0].peers, "llm", FENCE - 1);
  mf_peers_record_fence (fleet.nodes[1].peers, "llm", UINT64_MAX);
  assert_true (loop_pump (fleet.loop, all_know_the_fence, &fleet));
  fleet_end (&fleet);
}

static bool
has_message (void *data)
{
  return ((Node *)data)->n_messages > 0;
}

static void
test_messages_name_their_sender (void **state)
{
  Fleet fleet;
  MfRelayMessage message = { .kind = MF_RELAY_MESSAGE_GRANT, .grant = { 5, 6, 7 } };

  (void)state;
  fleet_begin (&fleet);
  assert_true (loop_pump (fleet.loop, all_have_reports, &fleet));
  assert_true (
      mf_peers_send (fleet.nodes[1].peers, mf_load_hash (fleet.nodes[3].address), &message));
  assert_true (loop_pump (fleet.loop, has_message, &fleet.nodes[3]));
  assert_int_equal (fleet.nodes[3].last_peer, mf_load_hash (fleet.nodes[1].address));
  assert_int_equal (fleet.nodes[3].last.grant.decode, 6);
  assert_false (mf_peers_send (fleet.nodes[1].peers, 12345, &message));
  fleet_end (&fleet);
}

static bool
is_gone_everywhere (void *data)
{
  const Fleet *fleet = data;

  return fleet->nodes[0].n_gone == 1 && fleet->nodes[2].n_gone == 1 && fleet->nodes[3].n_gone == 1;
}

/* The load of an instance ends with its process, and is counted again after a restart. */
static void
test_an_instance_ends_and_comes_back (void **state)
{
  Fleet fleet;

  (void)state;
  fleet_begin (&fleet);
  assert_true (loop_pump (fleet.loop, all_have_reports, &fleet));
  mf_peers_free (fleet.nodes[1].peers);
  fleet.nodes[1].peers = NULL;
  assert_true (loop_pump (fleet.loop, is_gone_everywhere, &fleet));
  assert_true (loop_pump (fleet.loop, all_have_reports, &fleet));
  node_begin (&fleet, 1);
  assert_true (loop_pump (fleet.loop, all_have_reports, &fleet));
  fleet_end (&fleet);
}

/* Lets the fleet connect, and sends bytes to its first node on a connection, which is returned. */
static int
fleet_begin_with_bytes (Fleet *fleet, const char *bytes, size_t n_bytes)
{
  int fd;

  fleet_begin (fleet);
  assert_true (loop_pump (fleet->loop, all_have_reports, fleet));
  fd = loop_connect (fleet->ports[0]);
  loop_send (fd, bytes, n_bytes);
  return fd;
}

/* Malformed bytes close their own connection and change nothing else. */
static void
test_foreign_bytes (void **state)
{
  Fleet fleet;
  char got[16];
  int fd;

  (void)state;
  fd = fleet_begin_with_bytes (&fleet, "GET / HTTP/1.1\r\n\r\n", 18);
  assert_int_equal (loop_receive (fleet.loop, fd, NULL, got, sizeof got), 0);
  close (fd);
  assert_true (all_have_reports (&fleet));
  fleet_end (&fleet);
}

/* Instances of an older release ended the connection of a newer one at each message that they did
 * not know, and with it the reports that it brings. */
static void
test_messages_of_a_newer_release_are_passed_over (void **state)
{
  static const char frames[] = "\0\0\0\3\x92\x63\1\0\0\0\5\x92\xcd\x27\x10\1";
  Fleet fleet;
  char got[16];
  int fd;

  (void)state;
  fd = fleet_begin_with_bytes (&fleet, frames, sizeof frames - 1);
  loop_spin (fleet.loop, 50);
  assert_int_equal (recv (fd, got, sizeof got, MSG_DONTWAIT), -1);
  assert_int_equal (errno, EAGAIN);
  close (fd);
  fleet_end (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_instances_find_each_other_by_one_seed),
    cmocka_unit_test (test_one_instance_is_leader),
    cmocka_unit_test (test_who_leads_is_named_by_more_than_half),
    cmocka_unit_test (test_messages_name_their_sender),
    cmocka_unit_test (test_an_instance_ends_and_comes_back),
    cmocka_unit_test (test_foreign_bytes),
    cmocka_unit_test (test_messages_of_a_newer_release_are_passed_over),
    cmocka_unit_test (test_fences_are_told_to_all),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
