#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/wait.h>

#include <cmocka.h>

#define OUTPUT_BYTES 16384

typedef struct
{
  int code;
  char text[OUTPUT_BYTES]; /* both streams */
} Output;

/* Runs the program with arguments as a shell reads them; what it prints is kept. */
static void
run (const char *shell_prefix, const char *arguments, Output *output)
{
  char line[1024];
  FILE *pipe;
  size_t n;

  snprintf (line, sizeof line, "%s '%s' %s 2>&1", shell_prefix, MANGOFORK, arguments);
  pipe = popen (line, "r"); /* NOLINT(cert-env33-c) */
  assert_non_null (pipe);
  n = fread (output->text, 1, sizeof output->text - 1, pipe);
  output->text[n] = '\0';
  output->code = WEXITSTATUS (pclose (pipe));
}

static void
test_check_shows_the_services (void **state)
{
  Output output;

  (void)state;
  run ("", "check '" SOURCE_ROOT "/examples/text.json'", &output);
  assert_int_equal (output.code, 0);
  assert_non_null (strstr (output.text, "fault-reports"));
  assert_non_null (strstr (output.text, "\n  stock"));
  run ("", "check --quiet '" SOURCE_ROOT "/examples/instance.json'", &output);
  assert_int_equal (output.code, 0);
  assert_string_equal (output.text, "");
}

static void
test_check_locates_each_fault (void **state)
{
  Output output;

  (void)state;
  run ("printf '{ \"services\": [],\\n \"pool\": [] }' |", "check -", &output);
  assert_int_equal (output.code, 1);
  assert_string_equal (output.text, "-:1:1: 5006 text-missing: \"pools\" is missing\n"
                                    "-:2:2: 5002 text-unknown-key: unknown key \"pool\"\n");
  run ("printf '{ \"listen\": 1 }' |", "check -", &output);
  assert_int_equal (output.code, 1);
  assert_non_null (strstr (output.text, "-:1:13: 5003 text-type: \"listen\" is not a string\n"));
  run ("", "check /nonexistent/text.json", &output);
  assert_int_equal (output.code, 1);
}

static void
test_wrong_command_lines (void **state)
{
  static const char *const lines[] = { "",
                                       "bake",
                                       "check",
                                       "check a b",
                                       "serve",
                                       "status",
                                       "explain 127.0.0.1:1",
                                       "digest key",
                                       "relay -s x --spillover=perhaps",
                                       "relay -s x --spillover-us-per-kb=-1" };
  Output output;

  (void)state;
  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    {
      run ("", lines[i], &output);
      if (output.code != 2)
        fail_msg ("\"%s\" ended with %d", lines[i], output.code);
    }
}

static void
test_digest_ignores_trailing_newline (void **state)
{
  Output bare;
  Output line;

  (void)state;
  run ("printf 'key' |", "digest", &bare);
  run ("printf 'key\\n' |", "digest", &line);
  assert_int_equal (bare.code, 0);
  assert_int_equal (strlen (bare.text), 65);
  assert_string_equal (bare.text, line.text);
  run ("printf '' |", "digest", &bare);
  assert_int_equal (bare.code, 1);
}

static void
test_unreachable_instance_fails (void **state)
{
  Output output;

  (void)state;
  run ("", "status 127.0.0.1:1", &output);
  assert_int_equal (output.code, 1);
  run ("", "explain 127.0.0.1:1 some-request", &output);
  assert_int_equal (output.code, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_check_shows_the_services),
    cmocka_unit_test (test_check_locates_each_fault),
    cmocka_unit_test (test_wrong_command_lines),
    cmocka_unit_test (test_digest_ignores_trailing_newline),
    cmocka_unit_test (test_unreachable_instance_fails),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
