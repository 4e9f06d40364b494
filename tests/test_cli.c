#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

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
                                       "place 127.0.0.1:1 --host h",
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

/* The log on standard output had no line for a start that failed. */
static void
test_failed_start_of_the_relay_is_logged (void **state)
{
  static const struct
  {
    const char *text; /* of the settings */
    const char *why;
  } rows[] = {
    { "node=n1\\nzone=\\nlisten.front=127.0.0.1:1\\n", "zone is missing or has no value" },
    { "node=n1\\nzone=z\\nlisten.front=here\\n", "listen.front is not a numeric address" },
    { "node=n1\\nzone=z\\nlisten.front=192.0.2.1:1\\nlisten.readiness=192.0.2.1:2\\n"
      "provider.address=127.0.0.1:1\\n",
      "cannot listen on 192.0.2.1:2" },
  };

  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      char settings[512];
      Output output;

      snprintf (settings, sizeof settings, "printf '%s' >cli-test.conf && ", rows[i].text);
      run (settings, "relay -s cli-test.conf 2>/dev/null", &output);
      unlink ("cli-test.conf");
      assert_int_equal (output.code, 1);
      assert_non_null (strstr (output.text, "event=start.failed code="));
      assert_non_null (strstr (output.text, rows[i].why));
      assert_true (i == 2 || strstr (output.text, "cli-test.conf") != NULL);
    }
}

static void
test_unreachable_instance_fails (void **state)
{
  Output output;

  (void)state;
  run ("", "status 127.0.0.1:1", &output);
  assert_int_equal (output.code, 1);
  run ("", "place 127.0.0.1:1 --host h --path /a", &output);
  assert_int_equal (output.code, 1);
  run ("", "explain 127.0.0.1:1 some-request", &output);
  assert_int_equal (output.code, 1);
}

/* Answers one request on a loopback port with a page, in a child process. Returns the port. */
static unsigned
serve_page (const char *page, pid_t *child)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t address_bytes = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  char text[4096];

  assert_true (listener >= 0);
  assert_int_equal (bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (listener, 1), 0);
  assert_int_equal (getsockname (listener, (struct sockaddr *)&address, &address_bytes), 0);
  *child = fork ();
  assert_true (*child >= 0);
  if (*child == 0)
    {
      int fd = accept (listener, NULL, NULL);
      int n = snprintf (text, sizeof text, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                        strlen (page), page);
      char request[2048];

      _exit (fd >= 0 && read (fd, request, sizeof request) > 0 && write (fd, text, (size_t)n) == n
                 ? 0
                 : 1);
    }
  close (listener);
  return ntohs (address.sin_port);
}

/* The table names the choice, each candidate's cost and why it is left out. */
static void
test_place_prints_a_table (void **state)
{
  static const char page[]
      = "{\"instance\":\"n1\",\"data_centre\":\"a\",\"spillover\":true,\"config\":7,"
        "\"route\":\"r\",\"services\":[{\"service\":\"s\",\"weight\":3,\"roles\":[{"
        "\"role\":\"plain\",\"chosen\":\"u1\",\"any_available\":true,\"share\":0.25,"
        "\"chosen_in_share\":\"u2\",\"candidates\":[{\"upstream\":\"u1\",\"data_centre\":\"a\","
        "\"cost_ms\":15.5,\"load\":2,\"load_tokens\":0,\"failure_share\":0.1,\"left_out\":\"\"},"
        "{\"upstream\":\"u3\",\"data_centre\":\"a\",\"cost_ms\":20,\"left_out\":\"paused\"}]}]}]}";
  char arguments[128];
  Output output;
  pid_t child;
  int status;

  (void)state;
  snprintf (arguments, sizeof arguments, "place 127.0.0.1:%u --host h --path /a",
            serve_page (page, &child));
  run ("", arguments, &output);
  assert_int_equal (waitpid (child, &status, 0), child);
  assert_int_equal (status, 0);
  assert_int_equal (output.code, 0);
  assert_non_null (strstr (output.text, "plain: u1\n"));
  assert_non_null (strstr (output.text, "0.250, to u2\n"));
  assert_non_null (strstr (output.text, "15.5 ms"));
  assert_non_null (strstr (output.text, "  paused\n"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_check_shows_the_services),
    cmocka_unit_test (test_check_locates_each_fault),
    cmocka_unit_test (test_wrong_command_lines),
    cmocka_unit_test (test_digest_ignores_trailing_newline),
    cmocka_unit_test (test_failed_start_of_the_relay_is_logged),
    cmocka_unit_test (test_unreachable_instance_fails),
    cmocka_unit_test (test_place_prints_a_table),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
