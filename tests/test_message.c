#include "libmangofork/relay/message.h"

#include "platform/platform.h"

#include "libmangofork/rate.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

typedef struct
{
  MfMessage message;
  MfBuffer body;
} Reader;

static void
on_body (MfMessage *message, const char *bytes, size_t n_bytes, void *data)
{
  Reader *reader = data;

  (void)message;
  mf_buffer_add (&reader->body, bytes, n_bytes);
}

static const MfMessageCallbacks callbacks = { .body = on_body };

static void
reader_begin (Reader *reader, enum http_parser_type type)
{
  *reader = (Reader){ 0 };
  mf_message_init (&reader->message, type, &platform_dialect, &callbacks, reader);
}

static void
reader_end (Reader *reader)
{
  mf_message_clear (&reader->message);
  mf_buffer_clear (&reader->body);
}

/* Returns the code for which a request is rejected, MF_CODE_OK when it is complete. */
static MfCode
error_of (const char *text, uint64_t head_bytes_max)
{
  Reader reader;
  MfCode fault;

  reader_begin (&reader, HTTP_REQUEST);
  reader.message.head_bytes_max = head_bytes_max;
  mf_message_feed (&reader.message, text, strlen (text));
  fault = reader.message.error_code;
  if (fault == MF_CODE_OK)
    assert_true (reader.message.done);
  reader_end (&reader);
  return fault;
}

static void
test_heads_that_hide_a_second_request (void **state)
{
  (void)state;
  assert_int_equal (error_of ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc", 0),
                    MF_CODE_BAD_HEADER);
  assert_int_equal (error_of ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                              0),
                    MF_CODE_BAD_LENGTH);
  assert_int_equal (error_of ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                              "Content-Length: 4\r\n\r\nabcd",
                              0),
                    MF_CODE_BAD_LENGTH);
  assert_int_equal (
      error_of ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", 0),
      MF_CODE_BAD_LENGTH);
  assert_int_equal (error_of ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1x\r\n\r\n", 0),
                    MF_CODE_BAD_LENGTH);
  assert_int_equal (error_of ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "zz\r\n\r\n",
                              0),
                    MF_CODE_BAD_LENGTH);
  assert_int_equal (error_of ("GET / HTTP/1.1\r\nHo st: a\r\n\r\n", 0), MF_CODE_BAD_HEADER);
}

static void
test_head_too_large (void **state)
{
  (void)state;
  assert_int_equal (error_of ("GET / HTTP/1.1\r\nHost: a\r\nX-Long: 0123456789\r\n\r\n", 20),
                    MF_CODE_HEADERS_TOO_LARGE);
  assert_int_equal (error_of ("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 20), MF_CODE_OK);
}

static void
test_request_is_the_same_however_it_is_cut (void **state)
{
  static const char text[]
      = "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id:  id7 \r\nX-Deadline-Ms: 600\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: t\r\n\r\n";

  (void)state;
  for (size_t cut = 1; cut < sizeof text - 1; cut++)
    {
      Reader reader;
      char id[16];
      uint64_t deadline_ms = 0;

      reader_begin (&reader, HTTP_REQUEST);
      mf_message_feed (&reader.message, text, cut);
      mf_message_feed (&reader.message, text + cut, sizeof text - 1 - cut);
      assert_true (reader.message.done);
      assert_int_equal (reader.message.head.target_bytes, 8);
      assert_memory_equal (mf_head_text (&reader.message.head, 0), "/a/b?c=1", 8);
      assert_true (mf_head_copy (&reader.message.head, MF_HEADER_REQUEST_ID, id, sizeof id));
      assert_string_equal (id, "id7");
      assert_true (mf_head_number (&reader.message.head, MF_HEADER_DEADLINE, &deadline_ms));
      assert_int_equal (deadline_ms, 600);
      assert_int_equal (mf_buffer_bytes (&reader.body), 5);
      assert_memory_equal (mf_buffer_data (&reader.body), "abcde", 5);
      reader_end (&reader);
    }
}

static void
test_reading_stops_at_the_end_of_a_message (void **state)
{
  static const char two[]
      = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nokGET /next HTTP/1.1\r\n";
  Reader reader;
  size_t taken;

  (void)state;
  reader_begin (&reader, HTTP_REQUEST);
  taken = mf_message_feed (&reader.message, two, sizeof two - 1);
  assert_true (reader.message.done);
  assert_memory_equal (two + taken, "GET /next", 9);
  mf_message_reset (&reader.message);
  assert_int_equal (mf_message_feed (&reader.message, two + taken, sizeof two - 1 - taken),
                    sizeof two - 1 - taken);
  assert_false (reader.message.done);
  assert_int_equal (reader.message.error_code, MF_CODE_OK);
  reader_end (&reader);
}

static void
test_answers (void **state)
{
  static const char interim[]
      = "HTTP/1.1 100 Continue\r\nX-Attempt-Id: no\r\n\r\n"
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: yes\r\nContent-Length: 1\r\n\r\nx";
  static const char unframed[] = "HTTP/1.1 200 OK\r\n\r\nsome";
  static const char cut[] = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome";
  Reader reader;
  char id[8];

  (void)state;
  reader_begin (&reader, HTTP_RESPONSE);
  mf_message_feed (&reader.message, interim, sizeof interim - 1);
  assert_true (reader.message.done);
  assert_true (mf_head_copy (&reader.message.head, MF_HEADER_REQUEST_ID, id, sizeof id));
  assert_string_equal (id, "yes");
  reader_end (&reader);
  reader_begin (&reader, HTTP_RESPONSE);
  mf_message_feed (&reader.message, unframed, sizeof unframed - 1);
  assert_false (reader.message.done);
  assert_true (mf_message_finish (&reader.message));
  reader_end (&reader);
  reader_begin (&reader, HTTP_RESPONSE);
  mf_message_feed (&reader.message, cut, sizeof cut - 1);
  assert_false (mf_message_finish (&reader.message));
  reader_end (&reader);
}

static void
test_hop_by_hop_headers (void **state)
{
  static const char text[] = "GET / HTTP/1.1\r\nHost: a\r\nConnection: keep-alive , "
                             "X-Own\r\nX-Own: 1\r\nX-On: 2\r\n\r\n";
  Reader reader;
  uint32_t n_hop_by_hop = 0;

  (void)state;
  reader_begin (&reader, HTTP_REQUEST);
  mf_message_feed (&reader.message, text, sizeof text - 1);
  assert_true (reader.message.done);
  for (uint32_t i = 0; i < reader.message.head.n_fields; i++)
    n_hop_by_hop += mf_head_is_hop_by_hop (&reader.message.head, &reader.message.head.fields[i]);
  assert_int_equal (n_hop_by_hop, 1);
  reader_end (&reader);
}

static void
test_rates_of_a_head (void **state)
{
  static const struct
  {
    const char *headers;
    bool is_number;
    uint64_t micro_per_s;
  } heads[] = {
    { "", false, 0 },
    { "Server-Limit: 4.9\r\n", true, 4900000 },
    { "server-limit:  12 \r\n", true, 12000000 },
    { "Server-Limit: 0\r\n", true, 0 },
    { "Server-Limit: 0.0000004\r\n", true, 0 },
    { "Server-Limit: 3.\r\n", true, 3000000 },
    { "Server-Limit: 99999999999999999999999\r\n", true, MF_RATE_MAX * MF_RATE_MICRO },
    { "Server-Limit: 10000.5\r\n", true, MF_RATE_MAX * MF_RATE_MICRO },
    { "Server-Limit: 8\r\nServer-Limit: 2.5\r\n", true, 2500000 },
    { "Server-Limit: many\r\nServer-Limit: 2.5\r\n", true, 2500000 },
    { "Server-Limit: many\r\n", false, 0 },
    { "Server-Limit: -1\r\n", false, 0 },
    { "Server-Limit: 1e3\r\n", false, 0 },
    { "Server-Limit: .5\r\n", false, 0 },
    { "Server-Limit:\r\n", false, 0 },
    { "Server-Limit: 111111111111111111111111111111111111111111\r\n", false, 0 },
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (heads); i++)
    {
      Reader reader;
      char text[256];
      uint64_t micro_per_s = 0;

      reader_begin (&reader, HTTP_RESPONSE);
      snprintf (text, sizeof text, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n",
                heads[i].headers);
      mf_message_feed (&reader.message, text, strlen (text));
      assert_true (reader.message.done);
      assert_int_equal (mf_head_rate (&reader.message.head, MF_HEADER_RATE_LIMIT, &micro_per_s),
                        heads[i].is_number);
      assert_int_equal (micro_per_s, heads[i].micro_per_s);
      reader_end (&reader);
    }
}

/* A trailer of a chunked request replaced the last header of its head. */
static void
test_trailers_change_no_header (void **state)
{
  static const char text[]
      = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX-Prompt-Prefix: a1:10\r\n"
        "\r\n2\r\nhi\r\n0\r\nX-Model: other\r\nX-Digest: 123\r\n\r\n";

  (void)state;
  for (size_t cut = 0; cut < sizeof text; cut++)
    {
      Reader reader;
      char value[32];

      reader_begin (&reader, HTTP_REQUEST);
      mf_message_feed (&reader.message, text, cut);
      mf_message_feed (&reader.message, text + cut, sizeof text - 1 - cut);
      assert_true (reader.message.done);
      assert_int_equal (reader.message.error_code, MF_CODE_OK);
      assert_int_equal (reader.message.head.n_fields, 3);
      assert_true (
          mf_head_copy (&reader.message.head, MF_HEADER_PROMPT_PARTS, value, sizeof value));
      assert_string_equal (value, "a1:10");
      assert_int_equal (mf_buffer_bytes (&reader.body), 2);
      reader_end (&reader);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_trailers_change_no_header),
    cmocka_unit_test (test_heads_that_hide_a_second_request),
    cmocka_unit_test (test_head_too_large),
    cmocka_unit_test (test_request_is_the_same_however_it_is_cut),
    cmocka_unit_test (test_reading_stops_at_the_end_of_a_message),
    cmocka_unit_test (test_answers),
    cmocka_unit_test (test_hop_by_hop_headers),
    cmocka_unit_test (test_rates_of_a_head),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
