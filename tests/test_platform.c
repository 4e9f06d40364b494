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

#define POLL_INTERVAL_S 0.01
#define POLLS_MAX 3000
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
  MfPlatformFailedEvent last_failure;
} Fixture;

static void
on_event (const MfEvent *event, void *data)
{
  Fixture *fixture = data;

  assert_true (fixture->n_events < EVENTS_MAX);
  fixture->types[fixture->n_events++] = event->type;
  if (event->type == MF_EVENT_PLATFORM_TEXT)
    {
      fixture->revision = event->text.revision;
      fixture->text_bytes = event->text.text_bytes;
      snprintf (fixture->text, sizeof fixture->text, "%.*s", (int)event->text.text_bytes,
                event->text.text);
    }
  else if (event->type == MF_EVENT_PLATFORM_LIST)
    {
      fixture->revision = event->list.index;
      fixture->n_listed = event->list.n_listed;
      memcpy (fixture->listed, event->list.listed, fixture->n_listed * sizeof fixture->listed[0]);
    }
  else
    fixture->last_failure = event->platform_failed;
}

static int
setup (void **state)
{
  Fixture *fixture = calloc (1, sizeof *fixture);
  json_object *settings = json_tokener_parse (
      "{\"token\":\"secret\",\"address\":\"127.0.0.1:0\",\"instances\":["
      "{\"name\":\"entry-1\",\"address\":\"127.0.0.1:1\",\"data_centre\":\"a\"},"
      "{\"name\":\"entry-2\",\"address\":\"127.0.0.1:2\",\"data_centre\":\"b\",\"leaving\":1}]}");
  MfError error = { 0 };
  int fd;

  fixture->loop = ev_loop_new (0);
  fixture->fake = fake_platform_new (fixture->loop, settings);
  json_object_put (settings);
  snprintf (fixture->settings.platform, sizeof fixture->settings.platform, "127.0.0.1:%u",
            fake_platform_port (fixture->fake));
  mf_name_set (fixture->settings.platform_text_key, MF_ADDRESS_BYTES, "mangofork/text");
  mf_name_set (fixture->settings.platform_service, MF_ADDRESS_BYTES, "mangofork");
  mf_name_set (fixture->settings.platform_token_file, sizeof fixture->settings.platform_token_file,
               "/tmp/mangofork-test-token-XXXXXX");
  fd = mkstemp (fixture->settings.platform_token_file);
  assert_int_equal (write (fd, "secret\n", 7), 7);
  close (fd);
  fixture->platform
      = mf_platform_new (fixture->loop, &fixture->settings, on_event, fixture, &error);
  *state = fixture;
  return fixture->platform == NULL;
}

static int
teardown (void **state)
{
  Fixture *fixture = *state;

  unlink (fixture->settings.platform_token_file);
  mf_platform_free (fixture->platform);
  fake_platform_free (fixture->fake);
  ev_loop_destroy (fixture->loop);
  free (fixture);
  return 0;
}

static void
on_poll (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
}

/* Runs the loop until there have been n_events in all. The timer limits how long ev_run blocks. */
static void
run_until (Fixture *fixture, uint32_t n_events)
{
  ev_timer poll;
  int n_polls = 0;

  ev_timer_init (&poll, on_poll, POLL_INTERVAL_S, POLL_INTERVAL_S);
  ev_timer_start (fixture->loop, &poll);
  while (fixture->n_events < n_events && n_polls++ < POLLS_MAX)
    ev_run (fixture->loop, EVRUN_ONCE);
  ev_timer_stop (fixture->loop, &poll);
  assert_int_equal (fixture->n_events, n_events);
}

static uint64_t
fake_count (const Fixture *fixture, const char *what)
{
  json_object *ledger = fake_platform_ledger (fixture->fake);
  uint64_t n = fake_setting (ledger, what, 0);

  json_object_put (ledger);
  return n;
}

static void
wait_for_blocking_read (Fixture *fixture)
{
  for (int i = 0; i < POLLS_MAX && fake_count (fixture, "waiting") == 0; i++)
    {
      ev_run (fixture->loop, EVRUN_NOWAIT);
      ev_sleep (POLL_INTERVAL_S / 10);
    }
  assert_int_equal (fake_count (fixture, "waiting"), 1);
}

static void
test_text_is_read_and_watched (void **state)
{
  Fixture *fixture = *state;
  uint64_t first;

  fake_platform_set_text (fixture->fake, "{ \"one\": 1 }");
  mf_platform_read_text (fixture->platform, 0);
  assert_int_equal (fixture->n_events, 0);
  run_until (fixture, 1);
  assert_string_equal (fixture->text, "{ \"one\": 1 }");
  first = fixture->revision;
  mf_platform_read_text (fixture->platform, first);
  wait_for_blocking_read (fixture);
  fake_platform_set_text (fixture->fake, "two");
  run_until (fixture, 2);
  assert_string_equal (fixture->text, "two");
  assert_true (fixture->revision > first);
  assert_int_equal (fake_count (fixture, "calls"), 2);
  assert_int_equal (mf_platform_n_reads (fixture->platform), 2);
}

static void
test_text_of_a_megabyte (void **state)
{
  Fixture *fixture = *state;
  size_t n = MF_CONFIG_TEXT_BYTES_MAX;
  char *text = calloc (1, n + 1);

  memset (text, 'x', n);
  fake_platform_set_text (fixture->fake, text);
  free (text);
  mf_platform_read_text (fixture->platform, 0);
  run_until (fixture, 1);
  assert_int_equal (fixture->types[0], MF_EVENT_PLATFORM_TEXT);
  assert_int_equal (fixture->text_bytes, MF_CONFIG_TEXT_BYTES_MAX);
}

static void
test_list_of_instances (void **state)
{
  Fixture *fixture = *state;

  mf_platform_read_list (fixture->platform, 0);
  run_until (fixture, 1);
  assert_int_equal (fixture->n_listed, 2);
  assert_string_equal (fixture->listed[0].name, "entry-1");
  assert_string_equal (fixture->listed[0].address, "127.0.0.1:1");
  assert_string_equal (fixture->listed[1].data_centre, "b");
  assert_false (fixture->listed[0].leaving);
  assert_true (fixture->listed[1].leaving);
}

/* The event after a revert has the lower revision, by which the core refuses the text. */
static void
test_reverted_text_shows_its_lower_revision (void **state)
{
  Fixture *fixture = *state;
  uint64_t last;

  fake_platform_set_text (fixture->fake, "one");
  fake_platform_set_text (fixture->fake, "two");
  mf_platform_read_text (fixture->platform, 0);
  run_until (fixture, 1);
  last = fixture->revision;
  mf_platform_read_text (fixture->platform, last);
  wait_for_blocking_read (fixture);
  fake_platform_fault (fixture->fake, "revert", 1);
  run_until (fixture, 2);
  assert_string_equal (fixture->text, "one");
  assert_true (fixture->revision < last);
}

static void
assert_text_read_fails (Fixture *fixture, uint32_t n_events)
{
  mf_platform_read_text (fixture->platform, 0);
  run_until (fixture, n_events);
  assert_int_equal (fixture->types[n_events - 1], MF_EVENT_PLATFORM_FAILED);
  assert_true (fixture->last_failure.text);
  assert_false (fixture->last_failure.list);
}

static void
test_failed_reads_are_reported (void **state)
{
  Fixture *fixture = *state;

  assert_text_read_fails (fixture, 1); /* the key does not exist */
  fake_platform_set_text (fixture->fake, "one");
  fake_platform_fault (fixture->fake, "garbled", 1);
  assert_text_read_fails (fixture, 2);
  fake_platform_fault (fixture->fake, "garbled", 0);
  assert_int_equal (truncate (fixture->settings.platform_token_file, 3), 0);
  assert_text_read_fails (fixture, 3); /* wrong token */
  unlink (fixture->settings.platform_token_file);
  assert_text_read_fails (fixture, 4); /* no token file: no request is sent */
  fixture->settings.platform_token_file[0] = '\0';
  fake_platform_fault (fixture->fake, "down", 0);
  assert_text_read_fails (fixture, 5);
  assert_int_equal (fake_count (fixture, "forbidden"), 1);
}

static void
test_platform_down_during_a_blocking_read (void **state)
{
  Fixture *fixture = *state;

  fake_platform_set_text (fixture->fake, "one");
  mf_platform_read_text (fixture->platform, 0);
  run_until (fixture, 1);
  mf_platform_read_text (fixture->platform, fixture->revision);
  wait_for_blocking_read (fixture);
  fake_platform_fault (fixture->fake, "down", 0);
  run_until (fixture, 2);
  assert_int_equal (fixture->types[1], MF_EVENT_PLATFORM_FAILED);
}

int
main (void)
{
#define FIXTURE_TEST(name) cmocka_unit_test_setup_teardown (name, setup, teardown)
  const struct CMUnitTest tests[] = {
    FIXTURE_TEST (test_text_is_read_and_watched),
    FIXTURE_TEST (test_text_of_a_megabyte),
    FIXTURE_TEST (test_list_of_instances),
    FIXTURE_TEST (test_reverted_text_shows_its_lower_revision),
    FIXTURE_TEST (test_failed_reads_are_reported),
    FIXTURE_TEST (test_platform_down_during_a_blocking_read),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
