#include "relay_upstream.h"

#include "libmangofork/buffer.h"
#include "libmangofork/socket.h"
#include "tests/fakes/fakes.h"

#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SLOTS 8000
#define PIECES 100000
#define PROXY_READ_BYTES 65536
/* Steps by which the streams' first gaps are spread, so that their tokens do not come in step. */
#define N_STAGGER_STEPS 97
#define KV_HANDLE                                                                                  \
  "{\"usage\":{\"total_tokens\":1},\"choices\":[{\"index\":0,\"text\":\"\"}],\"kv_transfer_"       \
  "params\":{\"do_remote_prefill\":true,"                                                          \
  "\"remote_engine_id\":\"p\",\"remote_handle\":1,\"kv_bytes\":1,\"life_ms\":800}}"
#define TOKEN                                                                                      \
  "data: {\"id\":\"cmpl-0\",\"object\":\"text_completion\",\"created\":0,\"model\":\"m\","         \
  "\"choices\":[{\"index\":0,\"text\":\" token\",\"finish_reason\":null}]}\n\n"
#define LAST_TOKEN                                                                                 \
  "data: {\"id\":\"cmpl-0\",\"object\":\"text_completion\",\"created\":0,\"model\":\"m\","         \
  "\"choices\":[{\"index\":0,\"text\":\" token\",\"finish_reason\":\"length\"}]}\n\n"              \
  "data: [DONE]\n\n"

typedef struct Upstream Upstream;

/* One decode. */
typedef struct Stream
{
  Upstream *upstream;
  FakeConn *conn;
  uint64_t n_tokens_left;
  ev_timer timer;
  struct Stream *next;
} Stream;

struct Upstream
{
  struct ev_loop *loop;
  const char *role;
  Stream *streams;
  uint64_t n_streams; /* begun so far */
};

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static void
run_until_signal (struct ev_loop *loop)
{
  ev_signal terminate;

  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&terminate, on_signal, SIGTERM);
  ev_signal_start (loop, &terminate);
  ev_run (loop, 0);
}

/* The number after a key of a JSON body, or 0. */
static uint64_t
body_number (const FakeHttpRequest *request, const char *key)
{
  const char *at = memmem (request->body, request->body_bytes, key, strlen (key));

  if (at == NULL)
    return 0;
  at += strlen (key);
  return strtoull (at + strspn (at, "\": "), NULL, 10);
}

static void
stream_free (Stream *stream)
{
  Stream **at = &stream->upstream->streams;

  while (*at != stream)
    at = &(*at)->next;
  *at = stream->next;
  ev_timer_stop (stream->upstream->loop, &stream->timer);
  free (stream);
}

/* Sends one token; the last one ends the stream. */
static void
stream_send_token (Stream *stream)
{
  FakeConn *conn = stream->conn;

  if (--stream->n_tokens_left > 0)
    {
      fake_conn_send (conn, TOKEN, sizeof TOKEN - 1);
      return;
    }
  stream_free (stream);
  fake_conn_send (conn, LAST_TOKEN, sizeof LAST_TOKEN - 1);
  fake_conn_end (conn);
}

static void
stream_due (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  stream_send_token (watcher->data);
}

static void
stream_start (Upstream *upstream, FakeConn *conn, uint64_t n_tokens, uint64_t gap_us)
{
  Stream *stream = calloc (1, sizeof *stream);

  stream->upstream = upstream;
  stream->conn = conn;
  stream->n_tokens_left = n_tokens == 0 ? 1 : n_tokens;
  stream->next = upstream->streams;
  upstream->streams = stream;
  fake_conn_begin (conn);
  fake_conn_send (conn, ": imported\n\n", 12);
  ev_timer_init (&stream->timer, stream_due,
                 (double)gap_us / 1e6 * (double)(1 + upstream->n_streams++ % N_STAGGER_STEPS)
                     / N_STAGGER_STEPS,
                 (double)gap_us / 1e6);
  stream->timer.data = stream;
  if (gap_us > 0 && stream->n_tokens_left > 1)
    {
      fake_conn_send (conn, TOKEN, sizeof TOKEN - 1);
      stream->n_tokens_left--;
      ev_timer_start (upstream->loop, &stream->timer);
      return;
    }
  for (uint64_t n_tokens_left = stream->n_tokens_left; n_tokens_left > 0; n_tokens_left--)
    stream_send_token (stream);
}

static void
answer_load (Upstream *upstream, FakeConn *conn)
{
  char text[512];
  int n = snprintf (text, sizeof text,
                    "{\"incarnation\":1,\"age_ms\":0,\"slots_total\":%d,\"slots_used\":0,"
                    "\"queued\":0,\"pieces_total\":%d,\"pieces_free\":%d,"
                    "\"prefill_tokens_queued\":0,\"leaving\":false,\"role\":\"%s\",\"model\":\"m\","
                    "\"adapter\":\"\",\"version\":\"\",\"loading\":false,\"fence_seen\":0,"
                    "\"cache\":{\"first\":0,\"events\":[]}}",
                    SLOTS, PIECES, PIECES, upstream->role);

  fake_conn_answer (conn, 200, "Content-Type: application/json\r\n", text, (size_t)n);
}

static void
on_request (FakeConn *conn, const FakeHttpRequest *request, void *data)
{
  Upstream *upstream = data;

  if (strcmp (request->path, "/load") == 0)
    answer_load (upstream, conn);
  else if (strcmp (request->path, "/v1/completions") != 0)
    fake_conn_answer (conn, 200, "", "{}", 2);
  else if (strcmp (upstream->role, "prefill") == 0)
    fake_conn_answer (conn, 200, "Content-Type: application/json\r\n", KV_HANDLE,
                      sizeof KV_HANDLE - 1);
  else
    stream_start (upstream, conn, body_number (request, "\"max_tokens\""),
                  body_number (request, "\"bench_gap_us\""));
}

static void
on_closed (FakeConn *conn, void *data)
{
  Upstream *upstream = data;

  for (Stream *stream = upstream->streams; stream != NULL; stream = stream->next)
    {
      if (stream->conn == conn)
        {
          stream_free (stream);
          return;
        }
    }
}

/* Publishes a text with one prefill engine and all that decode. */
static void
platform_start (struct ev_loop *loop, uint16_t platform_port, uint16_t prefill_port,
                const uint16_t *decode_ports)
{
  char settings[128];
  char text[4096];
  FakePlatform *platform;
  int n;

  snprintf (settings, sizeof settings, "{\"address\":\"127.0.0.1:%u\"}", platform_port);
  platform = fake_platform_new (loop, json_tokener_parse (settings));
  n = snprintf (text, sizeof text,
                "{ \"services\": [ { \"name\": \"bench\", \"kind\": \"model\", \"model\": \"m\","
                " \"class\": \"summary\", \"prefill_pool\": \"p\", \"decode_pool\": \"d\","
                " \"deadline_ms\": 600000, \"ttft_target_ms\": 1500, \"tbt_target_ms\": 30,"
                " \"kv_token_bytes\": 131072, \"expected_tokens\": 200 } ],"
                " \"allow_anonymous\": true, \"pools\": [ { \"name\": \"p\", \"role\": \"prefill\","
                " \"upstreams\": [ { \"name\": \"p1\", \"address\": \"127.0.0.1:%u\","
                " \"data_centre\": \"a\", \"slots\": %d, \"pieces\": %d } ] },"
                " { \"name\": \"d\", \"role\": \"decode\", \"upstreams\": [ ",
                prefill_port, SLOTS, PIECES);
  for (int i = 0; i < RELAY_N_DECODES; i++)
    n += snprintf (text + n, sizeof text - (size_t)n,
                   "%s{ \"name\": \"d%d\", \"address\": \"127.0.0.1:%u\", \"data_centre\": \"a\","
                   " \"slots\": %d, \"pieces\": %d }",
                   i == 0 ? "" : ", ", i, decode_ports[i], SLOTS, PIECES);
  snprintf (text + n, sizeof text - (size_t)n, " ] } ] }");
  fake_platform_set_text (platform, text);
}

void
relay_upstream_run (uint16_t prefill_port, const uint16_t decode_ports[RELAY_N_DECODES],
                    uint16_t platform_port)
{
  static const FakeHttpCallbacks hooks = { .on_request = on_request, .on_closed = on_closed };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  Upstream prefill = { .loop = loop, .role = "prefill" };
  Upstream decode = { .loop = loop, .role = "decode" };
  char address[MF_ADDRESS_BYTES];

  snprintf (address, sizeof address, "127.0.0.1:%u", prefill_port);
  fake_http_new (loop, address, &hooks, &prefill);
  for (int i = 0; i < RELAY_N_DECODES; i++)
    {
      snprintf (address, sizeof address, "127.0.0.1:%u", decode_ports[i]);
      fake_http_new (loop, address, &hooks, &decode);
    }
  platform_start (loop, platform_port, prefill_port, decode_ports);
  run_until_signal (loop);
}

/* One direction of a copied connection; the other is its twin. */
typedef struct Pipe
{
  struct Pipe *peer;
  ev_io read;
  ev_io write;
  MfBuffer out; /* for the own descriptor */
} Pipe;

typedef struct
{
  struct ev_loop *loop;
  char target_address[MF_ADDRESS_BYTES];
  int fd;
  ev_io accept;
} TcpProxy;

static void
pipe_close (struct ev_loop *loop, Pipe *pipe)
{
  Pipe *ends[] = { pipe, pipe->peer };

  for (int i = 0; i < 2; i++)
    {
      ev_io_stop (loop, &ends[i]->read);
      ev_io_stop (loop, &ends[i]->write);
      close (ends[i]->read.fd);
      mf_buffer_clear (&ends[i]->out);
    }
  free (ends[0]);
  free (ends[1]);
}

static void
pipe_flush (struct ev_loop *loop, Pipe *pipe)
{
  ssize_t n = send (pipe->write.fd, mf_buffer_data (&pipe->out), mf_buffer_bytes (&pipe->out),
                    MSG_DONTWAIT | MSG_NOSIGNAL);

  if (n > 0)
    mf_buffer_consume (&pipe->out, (size_t)n);
  if (mf_buffer_bytes (&pipe->out) > 0)
    ev_io_start (loop, &pipe->write);
  else
    ev_io_stop (loop, &pipe->write);
}

static void
pipe_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)events;
  pipe_flush (loop, watcher->data);
}

static void
pipe_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Pipe *pipe = watcher->data;
  char data[PROXY_READ_BYTES];
  ssize_t n = recv (watcher->fd, data, sizeof data, MSG_DONTWAIT);

  (void)events;
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0)
    {
      pipe_close (loop, pipe);
      return;
    }
  mf_buffer_add (&pipe->peer->out, data, (size_t)n);
  pipe_flush (loop, pipe->peer);
}

static Pipe *
pipe_new (struct ev_loop *loop, int fd)
{
  Pipe *pipe = calloc (1, sizeof *pipe);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  ev_io_init (&pipe->read, pipe_readable, fd, EV_READ);
  pipe->read.data = pipe;
  ev_io_init (&pipe->write, pipe_writable, fd, EV_WRITE);
  pipe->write.data = pipe;
  ev_io_start (loop, &pipe->read);
  return pipe;
}

static void
tcp_proxy_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  TcpProxy *tcp_proxy = watcher->data;
  MfError error = { 0 };
  int fd = accept4 (tcp_proxy->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  Pipe *client;

  (void)events;
  if (fd < 0)
    return;
  client = pipe_new (loop, fd);
  client->peer = pipe_new (loop, mf_socket_connect (tcp_proxy->target_address, &error));
  client->peer->peer = client;
}

void
relay_tcp_proxy_run (uint16_t from_port, uint16_t to_port)
{
  TcpProxy tcp_proxy = { .loop = ev_loop_new (EVFLAG_AUTO) };
  MfError error = { 0 };
  char address[MF_ADDRESS_BYTES];

  snprintf (tcp_proxy.target_address, sizeof tcp_proxy.target_address, "127.0.0.1:%u", to_port);
  snprintf (address, sizeof address, "127.0.0.1:%u", from_port);
  tcp_proxy.fd = mf_socket_listen (address, &error);
  ev_io_init (&tcp_proxy.accept, tcp_proxy_accept, tcp_proxy.fd, EV_READ);
  tcp_proxy.accept.data = &tcp_proxy;
  ev_io_start (tcp_proxy.loop, &tcp_proxy.accept);
  run_until_signal (tcp_proxy.loop);
}
