#include "libmangofork/adapter.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENTS_MAX 16
#define TEXT_BYTES 256
#define NOW_US UINT64_C (5000000)

/* Records the events that the adapter emits for an answer. */
typedef struct
{
  MfEventType types[EVENTS_MAX];
  MfCallEvent calls[EVENTS_MAX];
  uint32_t n_events;
  MfEvent load;
  uint64_t hashes[4];
  MfEvent cache;
  char text[TEXT_BYTES];
} Found;

static const MfInstanceId self = { .name = "entry-1", .incarnation = 0x1f };
static const MfEngineAdapter *const adapter = &mf_openai_adapter;

static void
on_event (MfEventType type, const MfCallEvent *event, void *data)
{
  Found *found = data;

  assert_true (found->n_events < EVENTS_MAX);
  found->types[found->n_events] = type;
  found->calls[found->n_events++] = *event;
  if (type == MF_EVENT_CALL_TOKENS)
    strncat (found->text, event->data, event->data_bytes);
}

static void
on_report (const MfEvent *event, void *data)
{
  Found *found = data;

  if (event->type == MF_EVENT_LOAD)
    found->load = *event;
  else
    {
      found->cache = *event;
      memcpy (found->hashes, event->cache.hashes, event->cache.n * sizeof found->hashes[0]);
    }
}

static json_object *
build (const MfCallAction *call, const MfCallInput *input, MfHttpRequest *request)
{
  MfError error = { 0 };

  assert_true (adapter->build (call, input, &self, request, &error));
  return request->body == NULL ? NULL : json_tokener_parse (request->body);
}

static const char *
text_at (json_object *object, const char *key)
{
  return json_object_get_string (json_object_object_get (object, key));
}

static void
test_prefill_keeps_the_callers_fields (void **state)
{
  static const char caller[] = "{\"model\":\"m\",\"prompt\":\"a/b\",\"stream\":true,\"top_p\":0.5,"
                               "\"max_tokens\":9,\"stream_options\":{}}";
  MfCallAction call = { .kind = MF_CALL_PREFILL,
                        .address = "127.0.0.1:1",
                        .request_id = 7,
                        .attempt = 2,
                        .priority = 3,
                        .cache_salt = 0xab };
  MfCallInput input
      = { .body = caller, .body_bytes = sizeof caller - 1, .path = "/v1/completions" };
  MfHttpRequest request;
  json_object *body = build (&call, &input, &request);

  (void)state;
  assert_string_equal (request.url, "http://127.0.0.1:1/v1/completions");
  assert_non_null (strstr (request.headers, "X-Request-Id: entry-1:1f:7:2\n"));
  assert_string_equal (text_at (body, "top_p"), "0.5");
  assert_string_equal (text_at (body, "prompt"), "a/b");
  assert_string_equal (text_at (body, "max_tokens"), "1");
  assert_string_equal (text_at (body, "stream"), "false");
  assert_string_equal (text_at (body, "cache_salt"), "00000000000000ab");
  assert_null (json_object_object_get (body, "stream_options"));
  assert_null (json_object_object_get (body, "mangofork_resume"));
  json_object_put (body);
  mf_http_request_clear (&request);
}

static void
test_decode_carries_the_handle_and_what_was_delivered (void **state)
{
  static const char caller[] = "{\"prompt\":\"p\"}";
  static const char delivered[] = "a \\\"b\\\" \\u00e9";
  static const char handle[] = "{\"remote_handle\":4}";
  MfCallAction call
      = { .kind = MF_CALL_DECODE, .address = "127.0.0.1:1", .from_token = 3, .max_tokens = 6 };
  MfCallInput input = { .body = caller,
                        .body_bytes = sizeof caller - 1,
                        .path = "/v1/completions",
                        .delivered = delivered,
                        .delivered_bytes = sizeof delivered - 1,
                        .kv_handle = handle,
                        .kv_handle_bytes = sizeof handle - 1 };
  MfHttpRequest request;
  json_object *body = build (&call, &input, &request);
  json_object *resume = json_object_object_get (body, "mangofork_resume");

  (void)state;
  assert_string_equal (
      text_at (json_object_object_get (body, "kv_transfer_params"), "remote_handle"), "4");
  assert_string_equal (text_at (body, "max_tokens"), "6");
  assert_string_equal (text_at (resume, "text"), "a \"b\" \u00e9");
  assert_string_equal (text_at (resume, "from_token"), "3");
  json_object_put (body);
  mf_http_request_clear (&request);
}

static void
test_cancel_and_order_requests (void **state)
{
  MfCallAction cancel
      = { .kind = MF_CALL_CANCEL, .address = "127.0.0.1:1", .request_id = 7, .target_attempt = 4 };
  MfCallAction order = { .kind = MF_CALL_ORDER,
                         .address = "127.0.0.1:1",
                         .order = MF_ORDER_ROLE,
                         .order_value = "decode",
                         .fence = 12 };
  MfCallInput none = { 0 };
  MfHttpRequest request;
  json_object *body = build (&cancel, &none, &request);

  (void)state;
  assert_string_equal (text_at (body, "rid"), "entry-1:1f:7:4");
  json_object_put (body);
  mf_http_request_clear (&request);
  body = build (&order, &none, &request);
  assert_string_equal (request.url, "http://127.0.0.1:1/v1/role");
  assert_non_null (strstr (request.headers, "X-Fence: 12\n"));
  assert_string_equal (text_at (body, "role"), "decode");
  json_object_put (body);
  mf_http_request_clear (&request);
}

static void
test_decode_without_a_handle_is_not_built (void **state)
{
  MfCallAction call = { .kind = MF_CALL_DECODE, .address = "127.0.0.1:1" };
  MfCallInput input = { .body = "{}", .body_bytes = 2, .path = "/v1/completions" };
  MfHttpRequest request;
  MfError error = { 0 };

  (void)state;
  assert_false (adapter->build (&call, &input, &self, &request, &error));
  assert_true (mf_error_is_set (&error));
}

static void
feed (void *answer, const char *data, size_t step)
{
  MfError error = { 0 };
  size_t n = strlen (data);

  for (size_t at = 0; at < n; at += step)
    assert_true (adapter->feed (answer, data + at, n - at < step ? n - at : step, &error));
}

/* The tokens do not depend on how the stream is split into reads: the stream is fed in pieces of
 * every size, so that each line, key and escape is split somewhere. */
static void
test_stream_is_the_same_however_it_is_cut (void **state)
{
  static const char stream[]
      = ": imported\n\n"
        "data: {\"choices\":[{\"text\":\" a\\\"\",\"finish_reason\":null}]}\n\n"
        "data: {\"choices\": [{\"text\": \"\\\\\", \"finish_reason\": null}]}\r\n\r\n"
        "data: {\"choices\":[{\"delta\":{\"content\":\"\\\"text\\\":\\\"x\"}}]}\n\n"
        "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n"
        "data: [DONE]\n\n";

  (void)state;
  for (size_t step = 1; step < sizeof stream; step++)
    {
      MfCallAction call = { .kind = MF_CALL_DECODE, .from_token = 5 };
      Found found = { 0 };
      void *answer = adapter->begin (&call, on_event, on_report, &found);
      uint32_t n_tokens = 0;

      feed (answer, stream, step);
      adapter->end (answer, 200, true, NOW_US);
      adapter->release (answer);
      assert_int_equal (found.types[0], MF_EVENT_CALL_IMPORTED);
      for (uint32_t i = 1; i + 1 < found.n_events; i++)
        {
          assert_int_equal (found.types[i], MF_EVENT_CALL_TOKENS);
          assert_int_equal (found.calls[i].first_index, 5 + n_tokens);
          n_tokens += found.calls[i].n_tokens;
        }
      assert_int_equal (n_tokens, 3);
      assert_string_equal (found.text, " a\\\"\\\\\\\"text\\\":\\\"x");
      assert_int_equal (found.types[found.n_events - 1], MF_EVENT_CALL_DONE);
      assert_true (found.calls[found.n_events - 1].stopped);
    }
}

static void
assert_ends_with (const char *stream, uint16_t status, MfEventType expected)
{
  MfCallAction call = { .kind = MF_CALL_DECODE };
  Found found = { 0 };
  void *answer = adapter->begin (&call, on_event, on_report, &found);

  feed (answer, stream, 64);
  adapter->end (answer, status, true, NOW_US);
  adapter->release (answer);
  assert_int_equal (found.types[found.n_events - 1], expected);
}

static void
test_stream_without_its_closing_line_has_failed (void **state)
{
  (void)state;
  assert_ends_with ("data: {\"text\":\"a\"}\n\n", 200, MF_EVENT_CALL_FAILED);
  assert_ends_with ("data: {\"text\":\"a\"}\n\ndata: [DONE]", 200, MF_EVENT_CALL_FAILED);
  assert_ends_with ("data: {\"error\":\"x\"}\n\ndata: [DONE]\n\n", 200, MF_EVENT_CALL_FAILED);
  assert_ends_with ("data: [DONE]\n\n", 503, MF_EVENT_CALL_FAILED);
  assert_ends_with ("data: [DONE]\n\n", 200, MF_EVENT_CALL_DONE);
}

static void
test_prefill_ends_with_its_handle (void **state)
{
  MfCallAction call = { .kind = MF_CALL_PREFILL };
  Found found = { 0 };
  void *answer = adapter->begin (&call, on_event, on_report, &found);
  size_t n;

  (void)state;
  feed (answer, "{\"kv_transfer_params\":{\"remote_handle\":4,\"kv_bytes\":9,\"life_ms\":800}}", 7);
  adapter->end (answer, 200, true, NOW_US);
  assert_int_equal (found.types[0], MF_EVENT_CALL_PREFILLED);
  assert_int_equal (found.calls[0].kv_bytes, 9);
  assert_int_equal (found.calls[0].expires_us, NOW_US + 800000);
  assert_non_null (strstr (adapter->kv_handle (answer, &n), "remote_handle"));
  adapter->release (answer);
}

static void
test_load_report_and_cache_events (void **state)
{
  static const char report[]
      = "{\"incarnation\":3,\"age_ms\":50,\"slots_total\":20,\"slots_used\":4,\"role\":\"decode\","
        "\"leaving\":true,\"cache\":{\"first\":11,\"events\":[[\"ff\",true],[\"0a\",false]]}}";
  MfCallAction call = { .kind = MF_CALL_LOAD, .upstream = 6 };
  Found found = { 0 };
  void *answer = adapter->begin (&call, on_event, on_report, &found);

  (void)state;
  feed (answer, report, 20);
  adapter->end (answer, 200, true, NOW_US);
  adapter->release (answer);
  assert_int_equal (found.load.load.upstream, 6);
  assert_int_equal (found.load.load.measured_us, NOW_US - 50000);
  assert_int_equal (found.load.load.role, MF_ROLE_DECODE);
  assert_true (found.load.load.leaving);
  assert_int_equal (found.cache.cache.first, 11);
  assert_int_equal (found.cache.cache.n, 2);
  assert_int_equal (found.hashes[0], 0xff);
  assert_int_equal (found.types[0], MF_EVENT_CALL_DONE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_prefill_keeps_the_callers_fields),
    cmocka_unit_test (test_decode_carries_the_handle_and_what_was_delivered),
    cmocka_unit_test (test_cancel_and_order_requests),
    cmocka_unit_test (test_decode_without_a_handle_is_not_built),
    cmocka_unit_test (test_stream_is_the_same_however_it_is_cut),
    cmocka_unit_test (test_stream_without_its_closing_line_has_failed),
    cmocka_unit_test (test_prefill_ends_with_its_handle),
    cmocka_unit_test (test_load_report_and_cache_events),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
