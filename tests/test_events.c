#include "libmangofork/relay/events.h"

#include "libmangofork/types.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#define LONG_EVENT_BYTES 250000

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
  mf_event_stream_begin_run (&stream, 2);
  assert_true (mf_event_stream_at_boundary (&stream));
  mf_event_stream_feed (&stream, after, sizeof after - 1, &out);
  assert_int_equal (mf_buffer_bytes (&out), 2 * strlen ("id: 1\ndata: a\n\n"));
  assert_int_equal (stream.last_id, 2);
  assert_null (stream.defect);
  mf_event_stream_feed (&stream, "id: 9\n\n", 7, &out);
  assert_non_null (stream.defect);
  assert_int_equal (mf_buffer_bytes (&out), 2 * strlen ("id: 1\ndata: a\n\n"));
  assert_int_equal (stream.last_id, 2);
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
          mf_event_stream_begin_run (&stream, 2);
          mf_event_stream_feed (&stream, text, sizeof text - 1, &out);
          assert_null (stream.defect);
          assert_int_equal (mf_buffer_bytes (&out), sizeof good - 1 + strlen ("id:3\ndata: c\n\n"));
          assert_int_equal (stream.n_events, 3);
          mf_event_stream_clear (&stream);
          mf_buffer_clear (&out);
        }
    }
}

/* Feeds one event to a stream, in a new run if source is not 0. Returns whether it is passed on. */
static bool
event_is_passed_on (MfEventStream *stream, uint64_t source, uint64_t id)
{
  MfBuffer out = { 0 };
  char event[40];
  bool is_passed_on;

  if (source != 0)
    mf_event_stream_begin_run (stream, source);
  snprintf (event, sizeof event, "id: %llu\n\n", (unsigned long long)id);
  mf_event_stream_feed (stream, event, strlen (event), &out);
  is_passed_on = mf_buffer_bytes (&out) > 0;
  assert_int_equal (is_passed_on, stream->defect == NULL);
  mf_buffer_clear (&out);
  return is_passed_on;
}

/* A missing event was not noticed. A gap ends the run unless a second upstream goes on with the
 * same event, for the same request. */
static void
test_gap_needs_a_second_upstream (void **state)
{
  MfEventNumbering numbering = { 0 };
  MfEventStream stream = { .numbering = &numbering, .name = 7 };
  MfEventStream other = { .numbering = &numbering, .name = 8 };

  (void)state;
  assert_true (event_is_passed_on (&stream, 1, 4));
  assert_true (event_is_passed_on (&stream, 0, 5));
  assert_false (event_is_passed_on (&stream, 0, 7));
  /* The same upstream again, another event, the same gap of another request. */
  assert_false (event_is_passed_on (&stream, 1, 7));
  assert_false (event_is_passed_on (&stream, 2, 8));
  assert_true (event_is_passed_on (&other, 3, 5));
  assert_false (event_is_passed_on (&other, 3, 8));
  assert_false (event_is_passed_on (&stream, 1, 7));
  assert_true (event_is_passed_on (&stream, 2, 7));
  mf_event_stream_clear (&stream);
  mf_event_stream_clear (&other);
}

/* Where the ids of a service always skip some, only its first stream is in doubt. */
static void
test_service_whose_ids_have_gaps_is_served (void **state)
{
  MfEventNumbering numbering = { 0 };

  (void)state;
  for (uint64_t name = 1; name < 20; name++)
    {
      MfEventStream stream = { .numbering = &numbering, .name = name };

      assert_true (event_is_passed_on (&stream, 1, 10));
      assert_int_equal (event_is_passed_on (&stream, 0, 20), name > 1);
      assert_true (event_is_passed_on (&stream, 2, 30));
      mf_event_stream_clear (&stream);
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

/* An event that came byte by byte was searched from its start for each of them, which kept an
 * instance from its other requests for seconds. */
static void
test_event_of_many_pieces_is_read_in_linear_time (void **state)
{
  MfEventStream stream = { 0 };
  MfBuffer out = { 0 };
  clock_t started = clock ();

  (void)state;
  mf_event_stream_feed (&stream, "id: 1\ndata: ", 12, &out);
  for (uint32_t i = 0; i < LONG_EVENT_BYTES; i++)
    mf_event_stream_feed (&stream, "z", 1, &out);
  assert_null (stream.defect);
  mf_event_stream_feed (&stream, "\n", 1, &out);
  mf_event_stream_feed (&stream, "\n", 1, &out);
  assert_int_equal (stream.n_events, 1);
  assert_int_equal (mf_buffer_bytes (&out), 12 + LONG_EVENT_BYTES + 2);
  assert_true (clock () - started < 2 * CLOCKS_PER_SEC);
  mf_event_stream_clear (&stream);
  mf_buffer_clear (&out);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stream_is_the_same_however_it_is_cut),
    cmocka_unit_test (test_cut_event_comes_once),
    cmocka_unit_test (test_nothing_after_an_invalid_event_is_passed_on),
    cmocka_unit_test (test_gap_needs_a_second_upstream),
    cmocka_unit_test (test_service_whose_ids_have_gaps_is_served),
    cmocka_unit_test (test_event_of_many_pieces_is_read_in_linear_time),
    cmocka_unit_test (test_end_inside_an_event_is_no_boundary),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
