#include "libmangofork/relay/events.h"

#include "libmangofork/types.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static const char text[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";

static void
test_stream_is_the_same_however_it_is_cut (void **state)
{
  (void)state;
  for (size_t cut = 0; cut < sizeof text; cut++)
    {
      MfEventStream stream = { 0 };
      MfBuffer out = { 0 };

      mf_event_stream_feed (&stream, text, cut, &out);
      if (cut < sizeof text - 1)
        mf_event_stream_feed (&stream, text + cut, sizeof text - 1 - cut, &out);
      assert_int_equal (mf_buffer_bytes (&out), sizeof text - 1);
      assert_memory_equal (mf_buffer_data (&out), text, sizeof text - 1);
      assert_int_equal (stream.last_id, 3);
      assert_int_equal (stream.n_events, 3);
      assert_true (mf_event_stream_at_boundary (&stream));
      mf_event_stream_clear (&stream);
      mf_buffer_clear (&out);
    }
}

/* A stream that is resumed at another upstream contains no event twice and no incomplete event. */
static void
test_cut_event_comes_once (void **state)
{
  MfEventStream stream = { 0 };
  MfBuffer out = { 0 };
  static const char before[] = "id: 1\ndata: a\n\nid: 2\nda";
  static const char after[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

  (void)state;
  mf_event_stream_feed (&stream, before, sizeof before - 1, &out);
  assert_false (mf_event_stream_at_boundary (&stream));
  mf_event_stream_begin_run (&stream);
  assert_true (mf_event_stream_at_boundary (&stream));
  mf_event_stream_feed (&stream, after, sizeof after - 1, &out);
  assert_int_equal (mf_buffer_bytes (&out), 2 * strlen ("id: 1\ndata: a\n\n"));
  assert_int_equal (stream.last_id, 2);
  assert_false (stream.has_gap);
  mf_event_stream_feed (&stream, "id: 9\n\n", 7, &out);
  assert_true (stream.has_gap);
  mf_event_stream_clear (&stream);
  mf_buffer_clear (&out);
}

/* Events of a garbled stream reached the caller. Of each run only what comes before the first event
 * that is not as it should be is passed on. */
static void
test_nothing_after_an_invalid_event_is_passed_on (void **state)
{
  static const char good[] = "id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\n\n:\n\n";
  static const char *const invalid[] = {
    "data: c\n\n",
    "garbage\n\n",
    "\x01\xff\xfe\n\n",
    "garbage\nid: 3\ndata: c\n\n",
    "garbageid: 3\ndata: c\n\n",
    "\xffid: 3\ndata: c\n\n",
    "id:\ndata: c\n\n",
    "id: \ndata: c\n\n",
    "id\ndata: c\n\n",
    "id: x3\ndata: c\n\n",
    "id: 3xyz\ndata: c\n\n",
    "id: 3 4\ndata: c\n\n",
    "id: -3\ndata: c\n\n",
    "id: 3.0\ndata: c\n\n",
    "id: 99999999999999999999\ndata: c\n\n",
    "id: 3\nid: 4\ndata: c\n\n",
    "id: 2\ndata: b\n\n",
    "id: 1\ndata: a\n\n",
    "id: 0\ndata: z\n\n",
  };
  static const char after[] = "id: 3\ndata: c\n\n";

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (invalid); i++)
    {
      for (size_t cut = 0; cut <= strlen (invalid[i]); cut++)
        {
          MfEventStream stream = { 0 };
          MfBuffer out = { 0 };

          mf_event_stream_feed (&stream, good, sizeof good - 1, &out);
          assert_null (stream.defect);
          mf_event_stream_feed (&stream, invalid[i], cut, &out);
          mf_event_stream_feed (&stream, invalid[i] + cut, strlen (invalid[i]) - cut, &out);
          assert_non_null (stream.defect);
          assert_false (mf_event_stream_at_boundary (&stream));
          mf_event_stream_feed (&stream, after, sizeof after - 1, &out);
          assert_int_equal (mf_buffer_bytes (&out), sizeof good - 1);
          assert_memory_equal (mf_buffer_data (&out), good, sizeof good - 1);
          assert_int_equal (stream.last_id, 2);
          /* The next run goes on, also when it repeats what has been passed on. */
          mf_event_stream_begin_run (&stream);
          mf_event_stream_feed (&stream, text, sizeof text - 1, &out);
          assert_null (stream.defect);
          assert_int_equal (mf_buffer_bytes (&out), sizeof good - 1 + strlen ("id:3\ndata: c\n\n"));
          assert_int_equal (stream.n_events, 3);
          mf_event_stream_clear (&stream);
          mf_buffer_clear (&out);
        }
    }
}

/* A stream that ended inside an event looked complete. */
static void
test_end_inside_an_event_is_no_boundary (void **state)
{
  static const char *const incomplete[]
      = { "i", "id: 1\ndata: a\n", "id: 1\n\nid: 2\nda", "id: 1\r\n\r\n:", "\n\nid: 1\n" };
  static const char *const complete[]
      = { "", "\n", "id: 1\n\n\n", "id: 1\r\n\r\n\r\n", "\n\n\n:\n\n" };

  (void)state;
  for (size_t i = 0; i < 2 * MF_ARRAY_LEN (complete); i++)
    {
      bool is_complete = i % 2 == 0;
      const char *bytes = is_complete ? complete[i / 2] : incomplete[i / 2];
      MfEventStream fed = { 0 };
      MfBuffer out = { 0 };

      mf_event_stream_feed (&fed, bytes, strlen (bytes), &out);
      assert_int_equal (mf_event_stream_at_boundary (&fed), is_complete);
      mf_event_stream_clear (&fed);
      mf_buffer_clear (&out);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stream_is_the_same_however_it_is_cut),
    cmocka_unit_test (test_cut_event_comes_once),
    cmocka_unit_test (test_nothing_after_an_invalid_event_is_passed_on),
    cmocka_unit_test (test_end_inside_an_event_is_no_boundary),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
