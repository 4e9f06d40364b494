#include "relay_client.h"

#include "libmangofork/socket.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define READ_BYTES 262144
/* Bytes kept from one read to the next, so that a mark that is cut in two is seen. */
#define TAIL_BYTES 16
#define TOKEN_MARK " token"
#define STREAM_END "data: [DONE]\n\n\r\n0\r\n\r\n"

struct RelayClient
{
  struct ev_loop *loop;
  RelayClientCallbacks callbacks;
  void *data;
  ev_io read;
  bool stream;
  bool busy;
  bool first_token_seen;
  uint64_t n_tokens;
  char tail[64];
  size_t tail_bytes;
};

double
relay_clock_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Counts the marks in new bytes; at most one mark can straddle the kept tail. */
static uint64_t
count_token_marks (const char *data, size_t data_bytes)
{
  uint64_t n = 0;
  const char *end = data + data_bytes;
  const char *at = data;

  while ((at = memmem (at, (size_t)(end - at), TOKEN_MARK, sizeof TOKEN_MARK - 1)) != NULL)
    {
      n++;
      at += sizeof TOKEN_MARK - 1;
    }
  return n;
}

static bool
answer_ended (const RelayClient *client, const char *data, size_t data_bytes)
{
  const char *mark = client->stream ? "[DONE]" : "total_tokens";

  return memmem (data, data_bytes, mark, strlen (mark)) != NULL;
}

static void
client_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  RelayClient *client = watcher->data;
  char data[READ_BYTES];
  ssize_t n;
  size_t total;
  uint64_t before;

  (void)loop;
  (void)events;
  memcpy (data, client->tail, client->tail_bytes);
  n = recv (watcher->fd, data + client->tail_bytes, sizeof data - client->tail_bytes, MSG_DONTWAIT);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0)
    {
      ev_io_stop (client->loop, &client->read);
      client->callbacks.on_failure (client, client->data);
      return;
    }
  total = client->tail_bytes + (size_t)n;
  before = count_token_marks (data, client->tail_bytes);
  client->n_tokens += count_token_marks (data, total) - before;
  if (!client->first_token_seen && client->busy && count_token_marks (data, total) > 0)
    {
      client->first_token_seen = true;
      if (client->callbacks.on_first_token != NULL)
        client->callbacks.on_first_token (client, client->data);
    }
  if (client->busy && answer_ended (client, data, total))
    {
      client->busy = false;
      client->tail_bytes = 0;
      client->callbacks.on_complete (client, client->data);
      return;
    }
  client->tail_bytes = total < TAIL_BYTES ? total : TAIL_BYTES;
  memcpy (client->tail, data + total - client->tail_bytes, client->tail_bytes);
}

RelayClient *
relay_client_new (struct ev_loop *loop, uint16_t port, const RelayClientCallbacks *callbacks,
                  void *data)
{
  RelayClient *client = calloc (1, sizeof *client);
  MfError error = { 0 };
  char address[MF_ADDRESS_BYTES];
  int fd;

  snprintf (address, sizeof address, "127.0.0.1:%u", port);
  fd = mf_socket_connect (address, &error);
  if (fd < 0)
    {
      fprintf (stderr, "relay: %s\n", error.text);
      exit (1);
    }
  client->loop = loop;
  client->callbacks = *callbacks;
  client->data = data;
  ev_io_init (&client->read, client_readable, fd, EV_READ);
  client->read.data = client;
  ev_io_start (loop, &client->read);
  return client;
}

void
relay_client_free (RelayClient *client)
{
  ev_io_stop (client->loop, &client->read);
  close (client->read.fd);
  free (client);
}

void
relay_client_send (RelayClient *client, const char *body, bool stream)
{
  char text[1024];
  int n = snprintf (text, sizeof text,
                    "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
                    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                    strlen (body), body);
  ssize_t sent = -1;

  client->stream = stream;
  client->busy = true;
  client->first_token_seen = false;
  client->tail_bytes = 0;
  for (int i = 0; i < 1000 && sent < 0; i++)
    {
      sent = send (client->read.fd, text, (size_t)n, MSG_NOSIGNAL);
      if (sent < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS)
        break;
      if (sent < 0)
        usleep (1000);
    }
  if (sent != n)
    {
      fprintf (stderr, "relay: a request could not be sent\n");
      exit (1);
    }
}

uint64_t
relay_client_tokens (const RelayClient *client)
{
  return client->n_tokens;
}
