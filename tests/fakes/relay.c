#include "fakes.h"

#include "libmangofork/buffer.h"
#include "libmangofork/socket.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
#define RULES_MAX 8

/* What the proxy does with the connections that one instance opens through it. */
typedef enum
{
  RULE_PASS,
  RULE_CUT,      /* open connections are closed, new ones with their first message */
  RULE_HOLD_IN,  /* data from the opener is held back */
  RULE_HOLD_OUT, /* data to the opener is held back */
  RULE_COUNT,
} Rule;

static const char *const rule_names[RULE_COUNT] = {
  [RULE_PASS] = "pass",
  [RULE_CUT] = "cut",
  [RULE_HOLD_IN] = "hold-in",
  [RULE_HOLD_OUT] = "hold-out",
};

typedef struct
{
  char from[MF_NAME_BYTES];
  Rule rule;
} RuleRow;

typedef struct ProxyConn ProxyConn;

/* One socket of a proxied connection. Bytes read from it are appended to the pending bytes of the
 * other side. */
typedef struct
{
  ProxyConn *conn;
  ev_io read_watcher;
  ev_io write_watcher;
  MfBuffer pending; /* to be sent to this socket */
} Side;

struct ProxyConn
{
  FakePeerProxy *proxy;
  Side opener;
  Side target;
  char from[MF_NAME_BYTES]; /* instance that opened it; "" until its first message */
  ProxyConn *next;
};

struct FakePeerProxy
{
  struct ev_loop *loop;
  char name[MF_NAME_BYTES];
  char address[MF_ADDRESS_BYTES];
  char to[MF_ADDRESS_BYTES];
  ev_io accept_watcher;
  RuleRow rules[RULES_MAX];
  uint32_t n_rules;
  ProxyConn *conns;
  FakePeerProxy *next;
};

static void
side_close (struct ev_loop *loop, Side *side)
{
  ev_io_stop (loop, &side->read_watcher);
  ev_io_stop (loop, &side->write_watcher);
  close (side->read_watcher.fd);
  mf_buffer_clear (&side->pending);
}

static void
conn_close (ProxyConn *conn)
{
  FakePeerProxy *proxy = conn->proxy;
  ProxyConn **at = &proxy->conns;

  while (*at != conn)
    at = &(*at)->next;
  *at = conn->next;
  side_close (proxy->loop, &conn->opener);
  side_close (proxy->loop, &conn->target);
  free (conn);
}

static Rule
rule_for (const FakePeerProxy *proxy, const char *from)
{
  for (uint32_t i = 0; i < proxy->n_rules; i++)
    {
      if (proxy->rules[i].from[0] == '\0' || strcmp (proxy->rules[i].from, from) == 0)
        return proxy->rules[i].rule;
    }
  return RULE_PASS;
}

/* Returns whether the rules let bytes be sent to this side. */
static bool
side_can_write (const Side *side)
{
  Rule rule = rule_for (side->conn->proxy, side->conn->from);

  return side == &side->conn->target ? rule != RULE_HOLD_IN : rule != RULE_HOLD_OUT;
}

static void
side_flush (Side *side)
{
  struct ev_loop *loop = side->conn->proxy->loop;

  while (mf_buffer_bytes (&side->pending) > 0 && side_can_write (side))
    {
      ssize_t n = send (side->write_watcher.fd, mf_buffer_data (&side->pending),
                        mf_buffer_bytes (&side->pending), MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n <= 0)
        break;
      mf_buffer_consume (&side->pending, (size_t)n);
    }
  if (mf_buffer_bytes (&side->pending) > 0 && side_can_write (side))
    ev_io_start (loop, &side->write_watcher);
  else
    ev_io_stop (loop, &side->write_watcher);
}

/* Finds the name of the opening instance, which the first message of a link contains unencrypted.
 */
static void
read_opener_name (ProxyConn *conn, const char *data, size_t data_bytes)
{
  const char *name = memmem (data, data_bytes, "entry-", 6);
  size_t n = name == NULL ? 0 : 7;

  if (conn->from[0] != '\0' || n == 0 || (size_t)(name - data) + n > data_bytes)
    return;
  memcpy (conn->from, name, n);
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  Side *side = io->data;
  ProxyConn *conn = side->conn;
  Side *other = side == &conn->opener ? &conn->target : &conn->opener;
  char data[READ_BYTES];
  ssize_t n = recv (io->fd, data, sizeof data, MSG_DONTWAIT);

  (void)loop;
  (void)events;
  if (n < 0 && errno == EAGAIN)
    return;
  if (n > 0)
    read_opener_name (conn, data, (size_t)n);
  if (n <= 0 || rule_for (conn->proxy, conn->from) == RULE_CUT)
    {
      conn_close (conn);
      return;
    }
  mf_buffer_add (&other->pending, data, (size_t)n);
  side_flush (other);
}

static void
on_writable (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  (void)events;
  side_flush (io->data);
}

static void
side_open (ProxyConn *conn, Side *side, int fd)
{
  side->conn = conn;
  ev_io_init (&side->read_watcher, on_readable, fd, EV_READ);
  ev_io_init (&side->write_watcher, on_writable, fd, EV_WRITE);
  side->read_watcher.data = side;
  side->write_watcher.data = side;
  ev_io_start (conn->proxy->loop, &side->read_watcher);
}

static void
on_accept (struct ev_loop *loop, ev_io *io, int events)
{
  FakePeerProxy *proxy = io->data;
  MfError error = { 0 };
  int opener = accept4 (io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int target = opener < 0 ? -1 : mf_socket_connect (proxy->to, &error);
  ProxyConn *conn;

  (void)loop;
  (void)events;
  if (target < 0)
    {
      close (opener);
      return;
    }
  conn = calloc (1, sizeof *conn);
  if (conn == NULL)
    abort ();
  conn->proxy = proxy;
  conn->next = proxy->conns;
  proxy->conns = conn;
  side_open (conn, &conn->opener, opener);
  side_open (conn, &conn->target, target);
}

static RuleRow *
rule_row (FakePeerProxy *proxy, const char *from)
{
  for (uint32_t i = 0; i < proxy->n_rules; i++)
    {
      if (strcmp (proxy->rules[i].from, from) == 0)
        return &proxy->rules[i];
    }
  if (proxy->n_rules == RULES_MAX)
    abort ();
  mf_name_set (proxy->rules[proxy->n_rules].from, MF_NAME_BYTES, from);
  return &proxy->rules[proxy->n_rules++];
}

/* Sets the rule for the connections opened by the instance from; "" sets it for all instances. */
bool
fake_peer_proxy_fault (FakePeerProxy *proxy, const char *kind, const char *from)
{
  Rule rule = RULE_PASS;

  while (rule < RULE_COUNT && strcmp (kind, rule_names[rule]) != 0)
    rule++;
  if (rule == RULE_COUNT)
    return false;
  rule_row (proxy, from)->rule = rule;
  for (ProxyConn *conn = proxy->conns; conn != NULL;)
    {
      ProxyConn *next = conn->next;

      if (rule_for (proxy, conn->from) == RULE_CUT)
        conn_close (conn);
      else
        {
          side_flush (&conn->opener);
          side_flush (&conn->target);
        }
      conn = next;
    }
  return true;
}

static void
proxy_listen (FakePeerProxy *proxy)
{
  MfError error = { 0 };
  int fd = mf_socket_listen (proxy->address, &error);

  if (fd < 0)
    {
      fprintf (stderr, "fakes: %s\n", error.text);
      exit (1);
    }
  ev_io_init (&proxy->accept_watcher, on_accept, fd, EV_READ);
  proxy->accept_watcher.data = proxy;
  ev_io_start (proxy->loop, &proxy->accept_watcher);
}

void
fake_peer_proxy_set_refusing (FakePeerProxy *proxy, bool refuses)
{
  static const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (refuses == (proxy->accept_watcher.fd < 0))
    return;
  if (!refuses)
    {
      proxy_listen (proxy);
      return;
    }
  ev_io_stop (proxy->loop, &proxy->accept_watcher);
  close (proxy->accept_watcher.fd);
  proxy->accept_watcher.fd = -1;
  while (proxy->conns != NULL)
    {
      setsockopt (proxy->conns->opener.read_watcher.fd, SOL_SOCKET, SO_LINGER, &linger,
                  sizeof linger);
      conn_close (proxy->conns);
    }
}

FakePeerProxy *
fake_peer_proxy_new (struct ev_loop *loop, FakePeerProxy **list, json_object *settings)
{
  FakePeerProxy *proxy = calloc (1, sizeof *proxy);

  if (proxy == NULL)
    abort ();
  proxy->loop = loop;
  mf_name_set (proxy->address, sizeof proxy->address,
               fake_setting_text (settings, "address", "127.0.0.1:0"));
  mf_name_set (proxy->name, sizeof proxy->name, fake_setting_text (settings, "name", "relay"));
  mf_name_set (proxy->to, sizeof proxy->to, fake_setting_text (settings, "to", ""));
  proxy_listen (proxy);
  proxy->next = *list;
  *list = proxy;
  return proxy;
}

void
fake_peer_proxy_free (FakePeerProxy *proxy)
{
  for (ProxyConn *conn = proxy->conns; conn != NULL;)
    {
      ProxyConn *next = conn->next;

      conn_close (conn);
      conn = next;
    }
  if (proxy->accept_watcher.fd >= 0)
    {
      ev_io_stop (proxy->loop, &proxy->accept_watcher);
      close (proxy->accept_watcher.fd);
    }
  free (proxy);
}

const char *
fake_peer_proxy_name (const FakePeerProxy *proxy)
{
  return proxy->name;
}

FakePeerProxy *
fake_peer_proxy_next (FakePeerProxy *proxy)
{
  return proxy->next;
}
