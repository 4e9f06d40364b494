#include "loop_pump.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ITERATIONS_MAX 4000
#define ITERATION_S 0.002

static void
on_iteration_end (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ONE);
}

static void
iterate (struct ev_loop *loop)
{
  ev_timer timer;

  ev_timer_init (&timer, on_iteration_end, ITERATION_S, 0);
  ev_timer_start (loop, &timer);
  ev_run (loop, EVRUN_ONCE);
  ev_timer_stop (loop, &timer);
}

bool
loop_pump (struct ev_loop *loop, bool (*done) (void *data), void *data)
{
  for (int i = 0; i < ITERATIONS_MAX; i++)
    {
      if (done (data))
        return true;
      iterate (loop);
    }
  return done (data);
}

void
loop_spin (struct ev_loop *loop, int n_iterations)
{
  for (int i = 0; i < n_iterations; i++)
    iterate (loop);
}

int
loop_connect_from (uint32_t host, uint16_t port)
{
  struct sockaddr_in own = { .sin_family = AF_INET, .sin_addr = { .s_addr = htonl (host) } };
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr = { .s_addr = htonl (INADDR_LOOPBACK) } };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (bind (fd, (struct sockaddr *)&own, sizeof own) != 0
      || connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

int
loop_connect (uint16_t port)
{
  return loop_connect_from (INADDR_LOOPBACK, port);
}

void
loop_send (int fd, const char *data, size_t data_bytes)
{
  while (data_bytes > 0)
    {
      ssize_t n = send (fd, data, data_bytes, MSG_NOSIGNAL);

      if (n <= 0)
        return;
      data += n;
      data_bytes -= (size_t)n;
    }
}

size_t
loop_receive (struct ev_loop *loop, int fd, const char *needle, char *dst, size_t dst_bytes)
{
  size_t n_received = 0;

  dst[0] = '\0';
  for (int i = 0; i < ITERATIONS_MAX && n_received + 1 < dst_bytes; i++)
    {
      ssize_t n = recv (fd, dst + n_received, dst_bytes - n_received - 1, 0);

      if (n == 0 || (n < 0 && errno != EAGAIN))
        break;
      if (n < 0)
        {
          iterate (loop);
          continue;
        }
      n_received += (size_t)n;
      dst[n_received] = '\0';
      if (needle != NULL && strstr (dst, needle) != NULL)
        break;
    }
  return n_received;
}

int
loop_listen (char *address, size_t address_bytes)
{
  struct sockaddr_in own
      = { .sin_family = AF_INET, .sin_addr = { .s_addr = htonl (INADDR_LOOPBACK) } };
  socklen_t own_bytes = sizeof own;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *)&own, sizeof own) != 0 || listen (fd, 4) != 0
      || getsockname (fd, (struct sockaddr *)&own, &own_bytes) != 0)
    abort ();
  snprintf (address, address_bytes, "127.0.0.1:%u", ntohs (own.sin_port));
  return fd;
}

void
loop_close (int fd, LoopClose how)
{
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  if (how != LOOP_CLOSE_RESET)
    shutdown (fd, SHUT_WR);
  if (how != LOOP_CLOSE_ORDERLY)
    {
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (fd);
    }
}
