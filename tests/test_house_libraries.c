#include "fakes/ports.h"
#include "fakes/upstream.h"
#include "loop_pump.h"

#include <curl/curl.h>
#include <microhttpd.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

/* The relay's listener and its connections to upstreams use an HTTP parser instead of libmicrohttpd
 * and libcurl, because these behave in ways that the relay's requirements forbid. The tests show
 * this behaviour. When one fails with a newer version of a library, the choice, which
 * docs/DESIGN.md describes, can be reconsidered. */

typedef struct
{
  unsigned n_requests;
  size_t body_bytes;
} Daemon;

static enum MHD_Result
on_mhd_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
                const char *version, const char *upload, size_t *upload_bytes, void **request)
{
  Daemon *daemon = data;
  struct MHD_Response *response;
  enum MHD_Result result;

  (void)url;
  (void)method;
  (void)version;
  (void)upload;
  if (*request == NULL)
    {
      *request = daemon;
      return MHD_YES;
    }
  if (*upload_bytes > 0)
    {
      daemon->body_bytes += *upload_bytes;
      *upload_bytes = 0;
      return MHD_YES;
    }
  daemon->n_requests++;
  response = MHD_create_response_from_buffer (2, (void *)"ok", MHD_RESPMEM_PERSISTENT);
  result = MHD_queue_response (connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

/* libmicrohttpd ignores a Content-Length with a space before the colon: a request would run without
 * its body, and the body would be parsed as the next request. */
static void
test_microhttpd_reads_a_hidden_request (void **state)
{
  static const char text[] = "POST /order HTTP/1.1\r\nHost: h\r\nContent-Length : 35\r\n\r\n"
                             "GET /hidden HTTP/1.1\r\nHost: hid\r\n\r\n";
  struct ev_loop *loop = ev_loop_new (0);
  Daemon daemon = { 0 };
  uint16_t port = fake_ports_reserve ();
  struct MHD_Daemon *mhd = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, port, NULL, NULL,
                                             on_mhd_request, &daemon, MHD_OPTION_END);
  char received[4096];
  int fd;

  (void)state;
  assert_non_null (mhd);
  fd = loop_connect (port);
  assert_true (fd >= 0);
  loop_send (fd, text, strlen (text));
  loop_receive (loop, fd, "ok", received, sizeof received);
  close (fd);
  MHD_stop_daemon (mhd);
  assert_true (daemon.n_requests >= 1);
  assert_int_equal (daemon.body_bytes, 0);
  ev_loop_destroy (loop);
}

/* The upstream responds to the first request twice, as a faulty one does; the test sends the second
 * response late. */
static void
on_upstream_request (FakeUpstreamConn *conn, const char *text, void *data)
{
  (void)text;
  if (++*(unsigned *)data > 1)
    return;
  fake_upstream_conn_send (conn,
                           "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: 5\r\n\r\nfirst");
}

static size_t
on_curl_body (char *bytes, size_t size, size_t n_bytes, void *data)
{
  char *body = data;
  size_t had_bytes = strlen (body);

  snprintf (body + had_bytes, 64 - had_bytes, "%.*s", (int)(size * n_bytes), bytes);
  return size * n_bytes;
}

/* Runs one request to its end, for a bounded number of iterations. Returns whether it has ended. */
static bool
curl_run (struct ev_loop *loop, CURLM *multi, CURL *easy)
{
  int n_running = 1;

  curl_multi_add_handle (multi, easy);
  for (int i = 0; i < 1000 && n_running > 0; i++)
    {
      curl_multi_perform (multi, &n_running);
      loop_spin (loop, 1);
    }
  curl_multi_remove_handle (multi, easy);
  return n_running == 0;
}

/* libcurl takes a late response to an earlier request for the response to the next request on the
 * connection, and has no way to skip it. */
static void
test_curl_takes_the_answer_to_another_request (void **state)
{
  struct ev_loop *loop = ev_loop_new (0);
  unsigned n_requests = 0;
  FakeUpstream *upstream = fake_upstream_new (loop, on_upstream_request, &n_requests);
  CURLM *multi = curl_multi_init ();
  CURL *easy = curl_easy_init ();
  char url[128];
  char body[64] = "";

  (void)state;
  snprintf (url, sizeof url, "http://%s/", fake_upstream_address (upstream));
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_curl_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, body);
  assert_true (curl_run (loop, multi, easy));
  assert_string_equal (body, "first");
  body[0] = '\0';
  curl_multi_add_handle (multi, easy);
  for (int i = 0, n_running = 1; i < 50 && n_requests < 2; i++)
    {
      curl_multi_perform (multi, &n_running);
      loop_spin (loop, 1);
    }
  assert_int_equal (n_requests, 2);
  fake_upstream_conn_send (fake_upstream_last_conn (upstream),
                           "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: 5\r\n\r\nfirst");
  for (int i = 0, n_running = 1; i < 500 && n_running > 0; i++)
    {
      curl_multi_perform (multi, &n_running);
      loop_spin (loop, 1);
    }
  assert_string_equal (body, "first");
  curl_multi_remove_handle (multi, easy);
  curl_easy_cleanup (easy);
  curl_multi_cleanup (multi);
  fake_upstream_free (upstream);
  ev_loop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_microhttpd_reads_a_hidden_request),
    cmocka_unit_test (test_curl_takes_the_answer_to_another_request),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
