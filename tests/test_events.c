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
  /* The run has made event 2, so that what it makes next follows it. */
  mf_event_stream_feed (&stream, "id: 9\n\n", 7, &out);
  assert_null (stream.defect);
  assert_int_equal (stream.last_id, 9);
  assert_int_equal (stream.n_events, 3);
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

/* Feeds a run of n events from the first id on, the given step apart. */
static void
run_events (MfEventStream *stream, uint64_t source, uint64_t first, uint64_t step, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    assert_true (event_is_passed_on (stream, i == 0 ? source : 0, first + i * step));
}

/* The first streams of a process were cut off at their second event where ids do not count by one.
 * What one run numbers is passed on, whatever other streams have shown before. */
static void
test_no_gap_within_a_run_is_in_doubt (void **state)
{
  static const uint64_t ids[][5] = {
    { 10, 20, 30, 40, 50 },
    { 1, 2, 3, 1000000, 1000001 },
    { 3, 4, 60, 61, 900 },
    { 0, 1, 2, 4, 5 },
    { 1796694591033, 1796694591040, 1796694591052, 1796694591052000, 9000000000000000000 },
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (ids) * 3; i++)
    {
      MfEventNumbering numbering = { 0 };
      MfEventStream usual = { .numbering = &numbering, .name = 1 };
      MfEventStream stream = { .numbering = i % 3 > 0 ? &numbering : NULL, .name = 2 };

      if (i % 3 == 2)
        run_events (&usual, 1, 1, 1, 2000);
      for (size_t j = 0; j < MF_ARRAY_LEN (ids[0]); j++)
        assert_true (event_is_passed_on (&stream, j == 0 ? 1 : 0, ids[i / 3][j]));
      mf_event_stream_clear (&stream);
      mf_event_stream_clear (&usual);
    }
}

/* A missing event was not noticed where another upstream goes on with a stream. The gap ends its
 * run unless a second upstream goes on with the same event, for the same request. */
static void
test_gap_between_runs_needs_a_second_upstream (void **state)
{
  static const uint64_t steps[] = { 1, 10 };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (steps); i++)
    {
      uint64_t step = steps[i];
      MfEventNumbering numbering = { 0 };
      MfEventStream stream = { .numbering = &numbering, .name = 7 };
      MfEventStream other = { .numbering = &numbering, .name = 8 };

      run_events (&stream, 1, step, step, 20);
      assert_false (event_is_passed_on (&stream, 2, 22 * step));
      assert_int_equal (stream.gap.after, 20 * step);
      assert_int_equal (stream.gap.first, 22 * step);
      assert_int_equal (stream.gap.step, step);
      assert_false (stream.gap.is_confirmed);
      /* The same upstream again, another event, the same gap of another request. */
      assert_false (event_is_passed_on (&stream, 2, 22 * step));
      assert_false (event_is_passed_on (&stream, 3, 23 * step));
      run_events (&other, 4, step, step, 20);
      assert_false (event_is_passed_on (&other, 5, 22 * step));
      assert_false (event_is_passed_on (&stream, 2, 22 * step));
      assert_true (event_is_passed_on (&stream, 3, 22 * step));
      assert_true (stream.gap.is_confirmed);
      /* Right after it, nothing is in doubt. */
      assert_true (event_is_passed_on (&stream, 6, 23 * step));
      assert_int_equal (stream.gap.first, 0);
      mf_event_stream_clear (&stream);
      mf_event_stream_clear (&other);
    }
}

/* Where a stream's ids vary, or too few are known, a gap between two runs shows nothing. */
static void
test_gap_between_runs_is_passed_on_where_ids_vary (void **state)
{
  MfEventNumbering numbering = { 0 };
  MfEventStream short_one = { .numbering = &numbering, .name = 1 };
  MfEventStream varying = { .numbering = &numbering, .name = 2 };
  MfEventStream usual = { .numbering = &numbering, .name = 3 };

  (void)state;
  run_events (&short_one, 1, 1, 1, 4);
  assert_true (event_is_passed_on (&short_one, 2, 9));
  assert_true (event_is_passed_on (&varying, 1, 1));
  assert_true (event_is_passed_on (&varying, 0, 3));
  for (uint64_t id = 4; id < 40; id++)
    assert_true (event_is_passed_on (&varying, 0, id));
  /* Other streams of the service have the same step throughout, this one has not. */
  run_events (&usual, 1, 1, 1, 2000);
  assert_true (event_is_passed_on (&varying, 2, 45));
  mf_event_stream_clear (&short_one);
  mf_event_stream_clear (&varying);
  mf_event_stream_clear (&usual);
}

/* A stream that its caller takes up has shown no step of its own; other streams of its service
 * have. */
static void
test_gap_after_the_callers_last_event_needs_a_known_service (void **state)
{
  MfEventNumbering numbering = { 0 };

  (void)state;
  for (uint64_t name = 1; name <= 4; name++)
    {
      MfEventStream before = { .numbering = &numbering, .name = name };
      MfEventStream taken_up
          = { .numbering = &numbering, .name = 10 + name, .has_last_id = true, .last_id = 30 };

      assert_int_equal (event_is_passed_on (&taken_up, 1, 50), name != 3);
      /* The ids of the service come in tens from its second stream on, and vary after its third. */
      run_events (&before, 1, 10, name < 3 ? 10 : 13, name == 1 ? 10 : 2000);
      mf_event_stream_clear (&before);
      mf_event_stream_clear (&taken_up);
    }
}

/* A run that repeats the last event goes on from it, whatever it numbers next. */
static void
test_run_that_repeats_the_last_event_is_not_in_doubt (void **state)
{
  MfEventStream stream = { .name = 1 };
  MfBuffer out = { 0 };

  (void)state;
  run_events (&stream, 1, 1, 1, 20);
  mf_event_stream_begin_run (&stream, 2);
  mf_event_stream_feed (&stream, "id: 19\n\nid: 20\n\nid: 22\n\n", 24, &out);
  assert_null (stream.defect);
  assert_int_equal (stream.last_id, 22);
  mf_buffer_clear (&out);
  mf_event_stream_clear (&stream);
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
    cmocka_unit_test (test_no_gap_within_a_run_is_in_doubt),
    cmocka_unit_test (test_gap_between_runs_needs_a_second_upstream),
    cmocka_unit_test (test_gap_between_runs_is_passed_on_where_ids_vary),
    cmocka_unit_test (test_gap_after_the_callers_last_event_needs_a_known_service),
    cmocka_unit_test (test_run_that_repeats_the_last_event_is_not_in_doubt),
    cmocka_unit_test (test_event_of_many_pieces_is_read_in_linear_time),
    cmocka_unit_test (test_end_inside_an_event_is_no_boundary),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
