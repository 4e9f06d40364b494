#include "libmangofork/platform.h"

#include "fakes/fakes.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TURN_S 0.01
#define TURNS_MAX 3000
#define EVENTS_MAX 16

typedef struct
{
  struct ev_loop *loop;
  FakePlatform *fake;
  MfSettings settings;
  MfPlatform *platform;
  MfEventType types[EVENTS_MAX];
  uint32_t n_events;
  uint64_t revision;
  size_t text_bytes;
  char text[32];
  MfListedInstance listed[4];
  uint32_t n_listed;
  MfPlatformFailedEvent lost;
} Rig;

static void
on_event (const MfEvent *event, void *data)
{
  Rig *rig = data;

  assert_true (rig->n_events < EVENTS_MAX);
  rig->types[rig->n_events++] = event->type;
  if (event->type == MF_EVENT_PLATFORM_TEXT)
    {
      rig->revision = event->text.revision;
      rig->text_bytes = event->text.text_bytes;
      snprintf (rig->text, sizeof rig->text, "%.*s", (int)event->text.text_bytes, event->text.text);
    }
  else if (event->type == MF_EVENT_PLATFORM_LIST)
    {
      rig->revision = event->list.index;
      rig->n_listed = event->list.n_listed;
      memcpy (rig->listed, event->list.listed, rig->n_listed * sizeof rig->listed[0]);
    }
  else
    rig->lost = event->platform_failed;
}

static int
rig_setup (void **state)
{
  Rig *rig = calloc (1, sizeof *rig);
  json_object *settings = json_tokener_parse (
      "{\"token\":\"secret\",\"address\":\"127.0.0.1:0\",\"instances\":["
      "{\"name\":\"entry-1\",\"address\":\"127.0.0.1:1\",\"data_centre\":\"a\"},"
      "{\"name\":\"entry-2\",\"address\":\"127.0.0.1:2\",\"data_centre\":\"b\",\"leaving\":1}]}");
  MfError error = { 0 };
  int fd;

  rig->loop = ev_loop_new (0);
  rig->fake = fake_platform_new (rig->loop, settings);
  json_object_put (settings);
  snprintf (rig->settings.platform, sizeof rig->settings.platform, "127.0.0.1:%u",
            fake_platform_port (rig->fake));
  mf_name_set (rig->settings.platform_text_key, MF_ADDRESS_BYTES, "mangofork/text");
  mf_name_set (rig->settings.platform_service, MF_ADDRESS_BYTES, "mangofork");
  mf_name_set (rig->settings.platform_token_file, sizeof rig->settings.platform_token_file,
               "/tmp/mangofork-test-token-XXXXXX");
  fd = mkstemp (rig->settings.platform_token_file);
  assert_int_equal (write (fd, "secret\n", 7), 7);
  close (fd);
  rig->platform = mf_platform_new (rig->loop, &rig->settings, on_event, rig, &error);
  *state = rig;
  return rig->platform == NULL;
}

static int
rig_teardown (void **state)
{
  Rig *rig = *state;

  unlink (rig->settings.platform_token_file);
  mf_platform_free (rig->platform);
  fake_platform_free (rig->fake);
  ev_loop_destroy (rig->loop);
  free (rig);
  return 0;
}

static void
on_turn (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
}

/* Runs the loop until so many events have come; the timer only keeps it turning. */
static void
run_until (Rig *rig, uint32_t n_events)
{
  ev_timer turn;
  int n_turns = 0;

  ev_timer_init (&turn, on_turn, TURN_S, TURN_S);
  ev_timer_start (rig->loop, &turn);
  while (rig->n_events < n_events && n_turns++ < TURNS_MAX)
    ev_run (rig->loop, EVRUN_ONCE);
  ev_timer_stop (rig->loop, &turn);
  assert_int_equal (rig->n_events, n_events);
}

static uint64_t
fake_calls (const Rig *rig, const char *what)
{
  json_object *ledger = fake_platform_ledger (rig->fake);
  uint64_t n = fake_setting (ledger, what, 0);

  json_object_put (ledger);
  return n;
}

static void
wait_until_watched (Rig *rig)
{
  for (int i = 0; i < TURNS_MAX && fake_calls (rig, "waiting") == 0; i++)
    {
      ev_run (rig->loop, EVRUN_NOWAIT);
      ev_sleep (TURN_S / 10);
    }
  assert_int_equal (fake_calls (rig, "waiting"), 1);
}

static void
test_text_is_read_and_watched (void **state)
{
  Rig *rig = *state;
  uint64_t first;

  fake_platform_set_text (rig->fake, "{ \"one\": 1 }");
  mf_platform_read_text (rig->platform, 0);
  assert_int_equal (rig->n_events, 0);
  run_until (rig, 1);
  assert_string_equal (rig->text, "{ \"one\": 1 }");
  first = rig->revision;
  mf_platform_read_text (rig->platform, first);
  wait_until_watched (rig);
  fake_platform_set_text (rig->fake, "two");
  run_until (rig, 2);
  assert_string_equal (rig->text, "two");
  assert_true (rig->revision > first);
  assert_int_equal (fake_calls (rig, "calls"), 2);
  assert_int_equal (mf_platform_calls (rig->platform), 2);
}

static void
test_text_of_a_megabyte (void **state)
{
  Rig *rig = *state;
  size_t n = MF_CONFIG_TEXT_BYTES_MAX;
  char *text = calloc (1, n + 1);

  memset (text, 'x', n);
  fake_platform_set_text (rig->fake, text);
  free (text);
  mf_platform_read_text (rig->platform, 0);
  run_until (rig, 1);
  assert_int_equal (rig->types[0], MF_EVENT_PLATFORM_TEXT);
  assert_int_equal (rig->text_bytes, MF_CONFIG_TEXT_BYTES_MAX);
}

static void
test_list_of_instances (void **state)
{
  Rig *rig = *state;

  mf_platform_read_list (rig->platform, 0);
  run_until (rig, 1);
  assert_int_equal (rig->n_listed, 2);
  assert_string_equal (rig->listed[0].name, "entry-1");
  assert_string_equal (rig->listed[0].address, "127.0.0.1:1");
  assert_string_equal (rig->listed[1].data_centre, "b");
  assert_false (rig->listed[0].leaving);
  assert_true (rig->listed[1].leaving);
}

/* What the platform serves after a revert shows its lower revision: the core refuses it. */
static void
test_reverted_text_shows_its_lower_revision (void **state)
{
  Rig *rig = *state;
  uint64_t last;

  fake_platform_set_text (rig->fake, "one");
  fake_platform_set_text (rig->fake, "two");
  mf_platform_read_text (rig->platform, 0);
  run_until (rig, 1);
  last = rig->revision;
  mf_platform_read_text (rig->platform, last);
  wait_until_watched (rig);
  fake_platform_fault (rig->fake, "revert", 1);
  run_until (rig, 2);
  assert_string_equal (rig->text, "one");
  assert_true (rig->revision < last);
}

static void
assert_lost (Rig *rig, uint32_t n_events)
{
  mf_platform_read_text (rig->platform, 0);
  run_until (rig, n_events);
  assert_int_equal (rig->types[n_events - 1], MF_EVENT_PLATFORM_FAILED);
  assert_true (rig->lost.text);
  assert_false (rig->lost.list);
}

static void
test_reads_that_fail_are_said_to (void **state)
{
  Rig *rig = *state;

  assert_lost (rig, 1); /* no such key */
  fake_platform_set_text (rig->fake, "one");
  fake_platform_fault (rig->fake, "garbled", 1);
  assert_lost (rig, 2);
  fake_platform_fault (rig->fake, "garbled", 0);
  assert_int_equal (truncate (rig->settings.platform_token_file, 3), 0);
  assert_lost (rig, 3); /* a wrong token */
  unlink (rig->settings.platform_token_file);
  assert_lost (rig, 4);
  rig->settings.platform_token_file[0] = '\0';
  fake_platform_fault (rig->fake, "down", 0);
  assert_lost (rig, 5);
  assert_int_equal (fake_calls (rig, "forbidden"), 1);
}

static void
test_platform_lost_in_a_watch (void **state)
{
  Rig *rig = *state;

  fake_platform_set_text (rig->fake, "one");
  mf_platform_read_text (rig->platform, 0);
  run_until (rig, 1);
  mf_platform_read_text (rig->platform, rig->revision);
  wait_until_watched (rig);
  fake_platform_fault (rig->fake, "down", 0);
  run_until (rig, 2);
  assert_int_equal (rig->types[1], MF_EVENT_PLATFORM_FAILED);
}

int
main (void)
{
#define RIG_TEST(name) cmocka_unit_test_setup_teardown (name, rig_setup, rig_teardown)
  const struct CMUnitTest tests[] = {
    RIG_TEST (test_text_is_read_and_watched),
    RIG_TEST (test_text_of_a_megabyte),
    RIG_TEST (test_list_of_instances),
    RIG_TEST (test_reverted_text_shows_its_lower_revision),
    RIG_TEST (test_reads_that_fail_are_said_to),
    RIG_TEST (test_platform_lost_in_a_watch),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
