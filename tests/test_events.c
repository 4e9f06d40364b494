#include "libmangofork/relay/events.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static const char stream[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";

static void
test_stream_is_the_same_however_it_is_cut (void **state)
{
  (void)state;
  for (size_t cut = 0; cut < sizeof stream; cut++)
    {
      MfEvents events = { 0 };
      MfBuffer out = { 0 };

      mf_events_feed (&events, stream, cut, &out);
      if (cut < sizeof stream - 1)
        mf_events_feed (&events, stream + cut, sizeof stream - 1 - cut, &out);
      assert_int_equal (mf_buffer_bytes (&out), sizeof stream - 1);
      assert_memory_equal (mf_buffer_data (&out), stream, sizeof stream - 1);
      assert_int_equal (events.last_id, 3);
      assert_int_equal (events.n_events, 3);
      assert_true (mf_events_at_boundary (&events));
      mf_events_clear (&events);
      mf_buffer_clear (&out);
    }
}

/* A stream that goes on elsewhere repeats no event and leaves no half of one. */
static void
test_cut_event_comes_once (void **state)
{
  MfEvents events = { 0 };
  MfBuffer out = { 0 };
  static const char before[] = "id: 1\ndata: a\n\nid: 2\nda";
  static const char after[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

  (void)state;
  mf_events_feed (&events, before, sizeof before - 1, &out);
  assert_false (mf_events_at_boundary (&events));
  mf_events_cut (&events);
  assert_true (mf_events_at_boundary (&events));
  mf_events_feed (&events, after, sizeof after - 1, &out);
  assert_int_equal (mf_buffer_bytes (&out), 2 * strlen ("id: 1\ndata: a\n\n"));
  assert_int_equal (events.last_id, 2);
  assert_false (events.has_gap);
  mf_events_feed (&events, "id: 9\n\n", 7, &out);
  assert_true (events.has_gap);
  mf_events_clear (&events);
  mf_buffer_clear (&out);
}

static void
test_events_are_counted_however_they_are_cut (void **state)
{
  (void)state;
  for (size_t cut = 0; cut < sizeof stream; cut++)
    {
      MfEvents events = { 0 };

      mf_events_count (&events, stream, cut);
      if (cut < sizeof stream - 1)
        mf_events_count (&events, stream + cut, sizeof stream - 1 - cut);
      assert_int_equal (events.n_events, 3);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stream_is_the_same_however_it_is_cut),
    cmocka_unit_test (test_cut_event_comes_once),
    cmocka_unit_test (test_events_are_counted_however_they_are_cut),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
