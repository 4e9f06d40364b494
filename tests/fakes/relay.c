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

/* What happens to the links that one instance opens through this relay. */
typedef enum
{
  RULE_PASS,
  RULE_CUT,      /* links are closed, and none is let through */
  RULE_HOLD_IN,  /* nothing arrives from the one that opened the link */
  RULE_HOLD_OUT, /* nothing goes back to it */
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

typedef struct Pair Pair;

/* One direction of a relayed connection: bytes read from its socket wait to be written to the
 * other's. */
typedef struct
{
  Pair *pair;
  ev_io readable;
  ev_io writable;
  MfBuffer pending; /* to be written to this side's socket */
} Side;

struct Pair
{
  FakeRelay *relay;
  Side opener;
  Side target;
  char from[MF_NAME_BYTES]; /* who opened it, from the first bytes; "" before */
  Pair *next;
};

struct FakeRelay
{
  struct ev_loop *loop;
  char name[MF_NAME_BYTES];
  char address[MF_ADDRESS_BYTES];
  char to[MF_ADDRESS_BYTES];
  ev_io accepting;
  RuleRow rules[RULES_MAX];
  uint32_t n_rules;
  Pair *pairs;
  FakeRelay *next;
};

static void
side_close (struct ev_loop *loop, Side *side)
{
  ev_io_stop (loop, &side->readable);
  ev_io_stop (loop, &side->writable);
  close (side->readable.fd);
  mf_buffer_clear (&side->pending);
}

static void
pair_close (Pair *pair)
{
  FakeRelay *relay = pair->relay;
  Pair **at = &relay->pairs;

  while (*at != pair)
    at = &(*at)->next;
  *at = pair->next;
  side_close (relay->loop, &pair->opener);
  side_close (relay->loop, &pair->target);
  free (pair);
}

static Rule
rule_for (const FakeRelay *relay, const char *from)
{
  for (uint32_t i = 0; i < relay->n_rules; i++)
    {
      if (relay->rules[i].from[0] == '\0' || strcmp (relay->rules[i].from, from) == 0)
        return relay->rules[i].rule;
    }
  return RULE_PASS;
}

/* Whether bytes may now be written to this side. */
static bool
side_flows (const Side *side)
{
  Rule rule = rule_for (side->pair->relay, side->pair->from);

  return side == &side->pair->target ? rule != RULE_HOLD_IN : rule != RULE_HOLD_OUT;
}

static void
side_flush (Side *side)
{
  struct ev_loop *loop = side->pair->relay->loop;

  while (mf_buffer_bytes (&side->pending) > 0 && side_flows (side))
    {
      ssize_t n = send (side->writable.fd, mf_buffer_data (&side->pending),
                        mf_buffer_bytes (&side->pending), MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n <= 0)
        break;
      mf_buffer_consume (&side->pending, (size_t)n);
    }
  if (mf_buffer_bytes (&side->pending) > 0 && side_flows (side))
    ev_io_start (loop, &side->writable);
  else
    ev_io_stop (loop, &side->writable);
}

/* The first message of a link names who opened it, in the clear. */
static void
read_opener (Pair *pair, const char *data, size_t data_bytes)
{
  const char *name = memmem (data, data_bytes, "entry-", 6);
  size_t n = name == NULL ? 0 : 7;

  if (pair->from[0] != '\0' || n == 0 || (size_t)(name - data) + n > data_bytes)
    return;
  memcpy (pair->from, name, n);
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  Side *side = io->data;
  Pair *pair = side->pair;
  Side *other = side == &pair->opener ? &pair->target : &pair->opener;
  char data[READ_BYTES];
  ssize_t n = recv (io->fd, data, sizeof data, MSG_DONTWAIT);

  (void)loop;
  (void)events;
  if (n < 0 && errno == EAGAIN)
    return;
  if (n > 0)
    read_opener (pair, data, (size_t)n);
  if (n <= 0 || rule_for (pair->relay, pair->from) == RULE_CUT)
    {
      pair_close (pair);
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
side_open (Pair *pair, Side *side, int fd)
{
  side->pair = pair;
  ev_io_init (&side->readable, on_readable, fd, EV_READ);
  ev_io_init (&side->writable, on_writable, fd, EV_WRITE);
  side->readable.data = side;
  side->writable.data = side;
  ev_io_start (pair->relay->loop, &side->readable);
}

static void
on_accept (struct ev_loop *loop, ev_io *io, int events)
{
  FakeRelay *relay = io->data;
  MfError error = { 0 };
  int opener = accept4 (io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int target = opener < 0 ? -1 : mf_socket_connect (relay->to, &error);
  Pair *pair;

  (void)loop;
  (void)events;
  if (target < 0)
    {
      close (opener);
      return;
    }
  pair = calloc (1, sizeof *pair);
  if (pair == NULL)
    abort ();
  pair->relay = relay;
  pair->next = relay->pairs;
  relay->pairs = pair;
  side_open (pair, &pair->opener, opener);
  side_open (pair, &pair->target, target);
}

static RuleRow *
rule_row (FakeRelay *relay, const char *from)
{
  for (uint32_t i = 0; i < relay->n_rules; i++)
    {
      if (strcmp (relay->rules[i].from, from) == 0)
        return &relay->rules[i];
    }
  if (relay->n_rules == RULES_MAX)
    abort ();
  mf_name_set (relay->rules[relay->n_rules].from, MF_NAME_BYTES, from);
  return &relay->rules[relay->n_rules++];
}

/* Sets the rule for the links that one instance opens; "" is all of them. */
bool
fake_relay_fault (FakeRelay *relay, const char *kind, const char *from)
{
  Rule rule = RULE_PASS;

  while (rule < RULE_COUNT && strcmp (kind, rule_names[rule]) != 0)
    rule++;
  if (rule == RULE_COUNT)
    return false;
  rule_row (relay, from)->rule = rule;
  for (Pair *pair = relay->pairs; pair != NULL;)
    {
      Pair *next = pair->next;

      if (rule_for (relay, pair->from) == RULE_CUT)
        pair_close (pair);
      else
        {
          side_flush (&pair->opener);
          side_flush (&pair->target);
        }
      pair = next;
    }
  return true;
}

static void
relay_listen (FakeRelay *relay)
{
  MfError error = { 0 };
  int fd = mf_socket_listen (relay->address, &error);

  if (fd < 0)
    {
      fprintf (stderr, "fakes: %s\n", error.text);
      exit (1);
    }
  ev_io_init (&relay->accepting, on_accept, fd, EV_READ);
  relay->accepting.data = relay;
  ev_io_start (relay->loop, &relay->accepting);
}

void
fake_relay_refuse (FakeRelay *relay, bool refuses)
{
  static const struct linger hard = { .l_onoff = 1, .l_linger = 0 };

  if (refuses == (relay->accepting.fd < 0))
    return;
  if (!refuses)
    {
      relay_listen (relay);
      return;
    }
  ev_io_stop (relay->loop, &relay->accepting);
  close (relay->accepting.fd);
  relay->accepting.fd = -1;
  while (relay->pairs != NULL)
    {
      setsockopt (relay->pairs->opener.readable.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      pair_close (relay->pairs);
    }
}

FakeRelay *
fake_relay_new (struct ev_loop *loop, FakeRelay **list, json_object *settings)
{
  FakeRelay *relay = calloc (1, sizeof *relay);

  if (relay == NULL)
    abort ();
  relay->loop = loop;
  mf_name_set (relay->address, sizeof relay->address,
               fake_setting_text (settings, "address", "127.0.0.1:0"));
  mf_name_set (relay->name, sizeof relay->name, fake_setting_text (settings, "name", "relay"));
  mf_name_set (relay->to, sizeof relay->to, fake_setting_text (settings, "to", ""));
  relay_listen (relay);
  relay->next = *list;
  *list = relay;
  return relay;
}

void
fake_relay_free (FakeRelay *relay)
{
  for (Pair *pair = relay->pairs; pair != NULL;)
    {
      Pair *next = pair->next;

      pair_close (pair);
      pair = next;
    }
  if (relay->accepting.fd >= 0)
    {
      ev_io_stop (relay->loop, &relay->accepting);
      close (relay->accepting.fd);
    }
  free (relay);
}

const char *
fake_relay_name (const FakeRelay *relay)
{
  return relay->name;
}

FakeRelay *
fake_relay_next (FakeRelay *relay)
{
  return relay->next;
}
