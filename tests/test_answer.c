#include "libmangofork/answer.h"

#include <json-c/json.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

static const MfAnswerShape shape = {
  .name = "r-1", .model = "a \"model\"", .created_s = 5, .prompt_tokens = 3, .max_tokens = 2
};

/* Terminates the text with NUL and parses the JSON after a prefix. */
static struct json_object *
parse (MfBuffer *out, const char *prefix)
{
  struct json_object *root;

  mf_buffer_add (out, "", 1);
  assert_false (out->failed);
  assert_int_equal (strncmp (mf_buffer_data (out), prefix, strlen (prefix)), 0);
  root = json_tokener_parse (mf_buffer_data (out) + strlen (prefix));
  assert_non_null (root);
  return root;
}

static struct json_object *
choice (struct json_object *root)
{
  return json_object_array_get_idx (json_object_object_get (root, "choices"), 0);
}

static void
test_chunk_carries_escaped_text (void **state)
{
  MfBuffer out = { 0 };
  struct json_object *root;

  (void)state;
  mf_answer_chunk (&out, &shape, true, "a\\\"\\n", 5);
  root = parse (&out, "data: ");
  assert_string_equal (json_object_get_string (json_object_object_get (root, "model")),
                       "a \"model\"");
  assert_string_equal (json_object_get_string (json_object_object_get (choice (root), "text")),
                       "a\"\n");
  json_object_put (root);
  mf_buffer_clear (&out);
}

static void
test_only_first_chat_chunk_has_role (void **state)
{
  MfAnswerShape chat = shape;

  (void)state;
  chat.chat = true;
  for (int first = 0; first < 2; first++)
    {
      MfBuffer out = { 0 };
      struct json_object *root;
      struct json_object *delta;

      mf_answer_chunk (&out, &chat, first == 1, "a", 1);
      root = parse (&out, "data: ");
      delta = json_object_object_get (choice (root), "delta");
      assert_int_equal (json_object_object_get_ex (delta, "role", NULL), first);
      json_object_put (root);
      mf_buffer_clear (&out);
    }
}

static void
test_chunk_end_has_finish_reason_and_usage (void **state)
{
  MfBuffer out = { 0 };
  struct json_object *root;

  (void)state;
  mf_answer_chunk_end (&out, &shape, 1);
  assert_non_null (strstr (mf_buffer_data (&out), "\n\ndata: [DONE]\n\n"));
  root = parse (&out, "data: ");
  assert_string_equal (
      json_object_get_string (json_object_object_get (choice (root), "finish_reason")), "stop");
  assert_int_equal (json_object_get_int (json_object_object_get (
                        json_object_object_get (root, "usage"), "total_tokens")),
                    4);
  json_object_put (root);
  mf_buffer_clear (&out);
}

static void
test_full_answer_of_both_forms (void **state)
{
  MfAnswerShape chat = shape;
  MfBuffer out = { 0 };
  struct json_object *root;

  (void)state;
  mf_answer_full (&out, &shape, "ab", 2, 2);
  root = parse (&out, "");
  assert_string_equal (json_object_get_string (json_object_object_get (choice (root), "text")),
                       "ab");
  assert_string_equal (
      json_object_get_string (json_object_object_get (choice (root), "finish_reason")), "length");
  json_object_put (root);
  mf_buffer_clear (&out);
  chat.chat = true;
  mf_answer_full (&out, &chat, "ab", 2, 2);
  root = parse (&out, "");
  assert_string_equal (json_object_get_string (json_object_object_get (
                           json_object_object_get (choice (root), "message"), "content")),
                       "ab");
  json_object_put (root);
  mf_buffer_clear (&out);
}

static void
test_problem_document_has_code_and_outcome (void **state)
{
  const MfAnswerAction refusal
      = { .code = MF_CODE_QUEUE_FULL, .outcome = MF_OUTCOME_UNKNOWN, .retry_after_ms = 1001 };
  MfBuffer out = { 0 };
  struct json_object *root;

  (void)state;
  mf_answer_problem (&out, &refusal, "r\n1", "a \"detail\"");
  root = parse (&out, "");
  assert_int_equal (json_object_get_int (json_object_object_get (root, "status")), 503);
  assert_int_equal (json_object_get_int (json_object_object_get (root, "code")), 2001);
  assert_int_equal (json_object_get_int (json_object_object_get (root, "retry_after_s")), 2);
  assert_string_equal (json_object_get_string (json_object_object_get (root, "outcome")),
                       "unknown");
  assert_string_equal (json_object_get_string (json_object_object_get (root, "request")), "r\n1");
  json_object_put (root);
  mf_buffer_clear (&out);
}

static void
test_models_are_those_of_the_config (void **state)
{
  MfService services[] = { { .name = "s", .kind = MF_SERVICE_MODEL, .model = "m1" },
                           { .name = "p", .kind = MF_SERVICE_PLAIN },
                           { .name = "t", .kind = MF_SERVICE_MODEL, .model = "m2" } };
  MfConfig config = { .services = services, .n_services = 3 };
  MfBuffer out = { 0 };
  struct json_object *root;

  (void)state;
  mf_answer_models (&out, &config);
  root = parse (&out, "");
  assert_int_equal (json_object_array_length (json_object_object_get (root, "data")), 2);
  json_object_put (root);
  mf_buffer_clear (&out);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_chunk_carries_escaped_text),
    cmocka_unit_test (test_only_first_chat_chunk_has_role),
    cmocka_unit_test (test_chunk_end_has_finish_reason_and_usage),
    cmocka_unit_test (test_full_answer_of_both_forms),
    cmocka_unit_test (test_problem_document_has_code_and_outcome),
    cmocka_unit_test (test_models_are_those_of_the_config),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
