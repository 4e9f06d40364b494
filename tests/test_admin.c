#include "libmangofork/admin.h"

#include "loop_pump.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

typedef struct
{
  struct ev_loop *loop;
  MfCore *core;
  MfAdmin *admin;
  uint32_t n_refreshed;
} Fixture;

static void
on_action (const MfAction *action, void *data)
{
  (void)action;
  (void)data;
}

static void
on_refresh (void *data)
{
  ((Fixture *)data)->n_refreshed++;
}

static int
setup (void **state)
{
  Fixture *fixture = calloc (1, sizeof *fixture);
  const MfAdminOptions options
      = { .listen = "127.0.0.1:0", .on_refresh = on_refresh, .data = fixture };
  MfOptions core_options;
  MfError error = { 0 };

  mf_core_options (&core_options);
  mf_name_set (core_options.self.name, sizeof core_options.self.name, "entry-1");
  core_options.self.incarnation = 1;
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->core = mf_core_new (&core_options, 1, 1, on_action, NULL, &error);
  assert_non_null (fixture->core);
  fixture->admin = mf_admin_new (fixture->loop, &options, fixture->core, &error);
  assert_non_null (fixture->admin);
  *state = fixture;
  return 0;
}

static int
teardown (void **state)
{
  Fixture *fixture = *state;

  mf_admin_free (fixture->admin);
  mf_core_free (fixture->core);
  ev_loop_destroy (fixture->loop);
  free (fixture);
  return 0;
}

/* Sends a request without a body, and checks the status and a part of the response. */
static void
check_page (Fixture *fixture, const char *request, const char *status, const char *text)
{
  static char got[262144];
  char head[256];
  int fd = loop_connect (mf_admin_port (fixture->admin));
  int n = snprintf (head, sizeof head, "%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                    request);

  assert_true (fd >= 0);
  loop_send (fd, head, (size_t)n);
  loop_receive (fixture->loop, fd, NULL, got, sizeof got);
  snprintf (head, sizeof head, "HTTP/1.1 %s ", status);
  assert_int_equal (strncmp (got, head, strlen (head)), 0);
  assert_non_null (strstr (got, text));
  close (fd);
}

static void
test_pages (void **state)
{
  Fixture *fixture = *state;

  check_page (fixture, "GET /healthz", "200", "ok");
  check_page (fixture, "GET /metrics", "200", "mangofork_requests_total");
  check_page (fixture, "GET /status", "200", "entry-1");
  check_page (fixture, "GET /report", "200", "{");
  check_page (fixture, "GET /explain/nothing-of-that-name", "404", "error");
  check_page (fixture, "GET /none", "404", "no such page");
  check_page (fixture, "POST /status", "405", "only GET");
  assert_true (fixture->n_refreshed >= 5);
}

static void
test_readiness_follows_the_board (void **state)
{
  Fixture *fixture = *state;

  fixture->core->board.ready = false;
  check_page (fixture, "GET /readyz", "503", "not ready");
  fixture->core->board.ready = true;
  check_page (fixture, "GET /readyz", "200", "ready");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_pages, setup, teardown),
    cmocka_unit_test_setup_teardown (test_readiness_follows_the_board, setup, teardown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
