#include "libmangofork/intake.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static MfIntakeSource
model_source (const char *body)
{
  return (MfIntakeSource){ .method = "POST",
                           .path = "/v1/completions",
                           .request_name = "r-1",
                           .body = body,
                           .body_bytes = strlen (body) };
}

static MfCode
read_code (const MfIntakeSource *source)
{
  MfIntake intake;
  MfError error = { 0 };

  return mf_intake_read (source, 1, &intake, &error) ? MF_CODE_OK : error.code;
}

static void
test_prompt_string_is_estimated (void **state)
{
  MfIntakeSource source = model_source (
      "{\"model\":\"m\",\"prompt\":\"123456789\",\"max_tokens\":7,\"stream\":true}");
  MfIntake intake;
  MfError error = { 0 };

  (void)state;
  assert_true (mf_intake_read (&source, 9, &intake, &error));
  assert_int_equal (intake.request.request_id, 9);
  assert_string_equal (intake.request.model, "m");
  assert_string_equal (intake.request.name, "r-1");
  assert_int_equal (intake.request.prompt_tokens, 3);
  assert_int_equal (intake.request.max_tokens, 7);
  assert_true (intake.request.stream);
  assert_int_equal (intake.request.n_prefix_hashes, 0);
}

static void
test_invalid_bodies (void **state)
{
  static const struct
  {
    const char *body;
    MfCode code;
  } cases[] = {
    { "{\"model\":\"m\",\"prompt\":[1,2,3]}", MF_CODE_OK },
    { "{\"model\":\"m\",\"prompt\":\"a\"}\n", MF_CODE_OK },
    { "{\"model\":\"m\",\"prompt\":\"a\"}x", MF_CODE_BAD_JSON },
    { "{\"model\":\"m\",\"prompt\":\"a\"", MF_CODE_BAD_JSON },
    { "{\"model\":\"m\",\"prompt\":\"\xc3\x28\"}", MF_CODE_BAD_ENCODING },
    { "[]", MF_CODE_BAD_FIELD },
    { "{\"prompt\":\"a\"}", MF_CODE_BAD_FIELD },
    { "{\"model\":7,\"prompt\":\"a\"}", MF_CODE_BAD_FIELD },
    { "{\"model\":\"m\"}", MF_CODE_BAD_FIELD },
    { "{\"model\":\"m\",\"prompt\":\"\"}", MF_CODE_BAD_FIELD },
    { "{\"model\":\"m\",\"prompt\":[\"a\",\"b\"]}", MF_CODE_BAD_FIELD },
    { "{\"model\":\"m\",\"prompt\":\"a\",\"max_tokens\":0}", MF_CODE_BAD_FIELD },
    { "{\"model\":\"m\",\"prompt\":\"a\",\"max_tokens\":\"9\"}", MF_CODE_BAD_FIELD },
    { "{\"model\":\"m\",\"prompt\":\"a\",\"stream\":1}", MF_CODE_BAD_FIELD },
    { "{\"model\":\"m\",\"prompt\":\"a\",\"n\":2}", MF_CODE_BAD_FIELD },
  };

  (void)state;
  for (size_t i = 0; i < MF_ARRAY_LEN (cases); i++)
    {
      MfIntakeSource source = model_source (cases[i].body);

      if (read_code (&source) != cases[i].code)
        print_message ("%s\n", cases[i].body);
      assert_int_equal (read_code (&source), cases[i].code);
    }
}

/* Deep nesting would exhaust the stack of a recursive parser without a depth limit. */
static void
test_deep_nesting_is_refused (void **state)
{
  char body[4000];
  MfIntakeSource source;

  (void)state;
  memset (body, '[', sizeof body - 1);
  body[sizeof body - 1] = '\0';
  source = model_source (body);
  assert_int_equal (read_code (&source), MF_CODE_BAD_JSON);
}

/* Creates a completion body with a prompt of n times one letter and the tail. */
static char *
long_body (size_t n, const char *tail)
{
  size_t body_bytes = n + strlen (tail) + 64;
  char *body = malloc (body_bytes);
  int at = snprintf (body, body_bytes, "{\"model\":\"m\",\"prompt\":\"");

  memset (body + at, 'a', n);
  snprintf (body + at + n, body_bytes - (size_t)at - n, "%s\"}", tail);
  return body;
}

static void
test_prefix_hashes_chain_over_full_pieces (void **state)
{
  size_t piece_bytes = (size_t)MF_PIECE_TOKENS * 4;
  char *one = long_body (piece_bytes * 2 + 10, "x");
  char *other = long_body (piece_bytes * 2 - 10, "different from here on");
  uint64_t hashes[2][MF_PREFIX_HASHES_MAX];

  (void)state;
  assert_int_equal (mf_intake_prefix_hashes (one, strlen (one), hashes[0]), 2);
  assert_int_equal (mf_intake_prefix_hashes (other, strlen (other), hashes[1]), 2);
  assert_true (hashes[0][0] == hashes[1][0]);
  assert_true (hashes[0][1] != hashes[1][1]);
  assert_true (hashes[0][0] != hashes[0][1]);
  free (one);
  free (other);
}

static void
test_messages_are_counted_and_need_roles (void **state)
{
  MfIntakeSource source
      = model_source ("{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"12345678\"},"
                      "{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"1234\"}]}]}");
  MfIntake intake;
  MfError error = { 0 };

  (void)state;
  source.path = "/v1/chat/completions";
  assert_true (mf_intake_read (&source, 1, &intake, &error));
  assert_true (intake.chat);
  assert_int_equal (intake.request.prompt_tokens, 1 + 2 + 4 + 1 + 1 + 4);
  source.body = "{\"model\":\"m\",\"messages\":[{\"content\":\"a\"}]}";
  source.body_bytes = strlen (source.body);
  assert_int_equal (read_code (&source), MF_CODE_BAD_FIELD);
  source.body = "{\"model\":\"m\",\"messages\":[]}";
  source.body_bytes = strlen (source.body);
  assert_int_equal (read_code (&source), MF_CODE_BAD_FIELD);
}

static void
test_idempotency_keys_and_creation_time (void **state)
{
  MfIntakeSource source = { .method = "POST", .path = "/orders", .request_name = "r", .body = "" };
  MfIntake first;
  MfIntake second;
  MfError error = { 0 };

  (void)state;
  source.idempotency_key = "01890a5d-ac96-774b-bcce-b302099a8057";
  assert_true (mf_intake_read (&source, 1, &first, &error));
  assert_true (first.request.has_idempotency_key);
  assert_true (first.request.key_created_ms == UINT64_C (0x01890a5dac96));
  source.idempotency_key = "\"01890a5d-ac96-774b-bcce-b302099a8057\"";
  assert_true (mf_intake_read (&source, 1, &second, &error));
  assert_memory_equal (first.request.key_digest, second.request.key_digest, MF_DIGEST_BYTES);
  source.authorization = "Bearer someone";
  assert_true (mf_intake_read (&source, 1, &second, &error));
  assert_memory_not_equal (first.request.key_digest, second.request.key_digest, MF_DIGEST_BYTES);
  source.idempotency_key = "01890a5d-ac96-474b-bcce-b302099a8057";
  assert_true (mf_intake_read (&source, 1, &second, &error));
  assert_true (second.request.key_created_ms == 0);
  source.idempotency_key = "\"\"";
  assert_int_equal (read_code (&source), MF_CODE_KEY_BAD);
}

static void
test_invalid_headers (void **state)
{
  MfIntakeSource good = { .method = "GET",
                          .path = "/stock/a",
                          .request_name = "r",
                          .body = "",
                          .deadline_ms = "250",
                          .class_ = "order",
                          .authorization = "bearer key" };
  MfIntakeSource bad = good;
  MfIntake intake;
  MfError error = { 0 };

  (void)state;
  assert_true (mf_intake_read (&good, 1, &intake, &error));
  assert_true (intake.request.deadline_us == 250 * MF_US_PER_MS);
  assert_int_equal (intake.request.class_, MF_CLASS_ORDER);
  assert_true (intake.request.has_api_key);
  assert_null (intake.request.model);
  bad.deadline_ms = "-1";
  assert_int_equal (read_code (&bad), MF_CODE_BAD_HEADER);
  bad = good;
  bad.class_ = "first";
  assert_int_equal (read_code (&bad), MF_CODE_BAD_HEADER);
  bad = good;
  bad.authorization = "Basic eA==";
  assert_int_equal (read_code (&bad), MF_CODE_BAD_HEADER);
  bad = good;
  bad.request_name = "a b";
  assert_int_equal (read_code (&bad), MF_CODE_BAD_HEADER);
  bad = good;
  bad.method = "TRACE";
  assert_int_equal (read_code (&bad), MF_CODE_BAD_METHOD);
  bad = good;
  bad.path = "/stock/%2e%2E/orders";
  assert_int_equal (read_code (&bad), MF_CODE_BAD_FIELD);
}

static void
test_plain_json_is_checked_and_the_rest_is_not (void **state)
{
  MfIntakeSource source = { .method = "POST",
                            .path = "/orders",
                            .request_name = "r",
                            .content_type = "application/json; charset=utf-8",
                            .body = "{\"a\":",
                            .body_bytes = 5 };

  (void)state;
  assert_int_equal (read_code (&source), MF_CODE_BAD_JSON);
  source.content_type = "text/plain";
  assert_int_equal (read_code (&source), MF_CODE_OK);
}

static void
test_digest_differs_by_body (void **state)
{
  MfIntakeSource source = model_source ("{\"model\":\"m\",\"prompt\":\"a\"}");
  MfIntake first;
  MfIntake second;
  MfError error = { 0 };

  (void)state;
  assert_true (mf_intake_read (&source, 1, &first, &error));
  assert_true (mf_intake_read (&source, 2, &second, &error));
  assert_true (first.request.digest == second.request.digest);
  source.body = "{\"model\":\"m\",\"prompt\":\"b\"}";
  assert_true (mf_intake_read (&source, 2, &second, &error));
  assert_true (first.request.digest != second.request.digest);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_prompt_string_is_estimated),
    cmocka_unit_test (test_invalid_bodies),
    cmocka_unit_test (test_deep_nesting_is_refused),
    cmocka_unit_test (test_prefix_hashes_chain_over_full_pieces),
    cmocka_unit_test (test_messages_are_counted_and_need_roles),
    cmocka_unit_test (test_idempotency_keys_and_creation_time),
    cmocka_unit_test (test_invalid_headers),
    cmocka_unit_test (test_plain_json_is_checked_and_the_rest_is_not),
    cmocka_unit_test (test_digest_differs_by_body),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
