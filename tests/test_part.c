#include "libmangofork/part.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static MfParts
read_parts (const char *text)
{
  MfParts parts = { .n_parts = 9 };

  mf_parts_read (&parts, text, strlen (text));
  return parts;
}

static void
test_last_part_is_the_requests_own (void **state)
{
  MfParts parts = read_parts ("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  MfParts other = read_parts ("5C1E07A2:700, 91bd3f06:410,0:1,ff:2");

  (void)state;
  assert_int_equal (parts.n_parts, 2);
  assert_true (parts.hashes[0] != parts.hashes[1]);
  assert_int_equal (other.n_parts, 3);
  assert_true (other.hashes[0] == parts.hashes[0]);
  assert_true (other.hashes[1] == parts.hashes[1]);
  assert_int_equal (read_parts ("5c1e07a2:800").n_parts, 0);
  assert_int_equal (read_parts ("").n_parts, 0);
  assert_true (parts.own_hash == mf_part_hash ("E4402B7D", 8));
  assert_int_equal (parts.own_tokens, 250);
  assert_true (read_parts ("5c1e07a2:800").own_hash == parts.hashes[0]);
  assert_int_equal (read_parts ("").own_hash, 0);
  assert_int_equal (read_parts ("ff:99999999999999").own_tokens, MF_PART_TOKENS_MAX);
}

static void
test_long_and_malformed_lists_are_bounded (void **state)
{
  char text[4096] = "";
  char line[MF_PARTS_TEXT_BYTES];
  MfParts parts;

  (void)state;
  for (uint32_t i = 0; i < 200; i++)
    snprintf (text + strlen (text), sizeof text - strlen (text), "%x:1,", i);
  parts = read_parts (text);
  assert_int_equal (parts.n_parts, MF_PARTS_MAX);
  assert_int_equal (strlen (mf_parts_format (&parts, line, sizeof line)), sizeof line - 2);
  assert_int_equal (parts.own_hash, 0);
  parts = read_parts (",,::,:");
  assert_int_equal (parts.own_tokens, 0);
  assert_int_equal (parts.n_parts, 3);
  assert_true (parts.hashes[0] != 0);
  memset (text, 'a', sizeof text - 1);
  text[sizeof text - 2] = ',';
  text[sizeof text - 1] = '\0';
  assert_int_equal (read_parts (text).n_parts, 1);
  parts.n_parts = 0;
  assert_string_equal (mf_parts_format (&parts, line, sizeof line), "none");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_last_part_is_the_requests_own),
    cmocka_unit_test (test_long_and_malformed_lists_are_bounded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
