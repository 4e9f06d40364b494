#ifndef MF_RELAY_LINK_H
#define MF_RELAY_LINK_H

#include "message.h"

#include <ev.h>

typedef struct MfLink MfLink;

/* How an exchange on a connection ended. */
typedef enum
{
  MF_LINK_WHOLE,     /* the answer came whole */
  MF_LINK_UNREACHED, /* no byte of the request has left */
  MF_LINK_BROKEN,    /* some of it has left; the answer did not come whole */
} MfLinkEnd;

/* What an exchange tells its user; never from within mf_link_start. head and body may be NULL. */
typedef struct
{
  /* The head of the answer to this request. */
  void (*head) (void *data, const MfHead *head, uint32_t status);
  void (*body) (void *data, const char *bytes, size_t n_bytes);
  /* The link is gone for the user when this is called. why names the cause in plain words. */
  void (*end) (void *data, MfLinkEnd end, const char *why);
} MfLinkUser;

/* The connections to one address. */
typedef struct
{
  struct ev_loop *loop;
  const MfDialect *dialect;
  char address[MF_ADDRESS_BYTES];
  MfLink *idle; /* the last used first */
  uint32_t n_idle;
  uint32_t n_idle_max;
  uint32_t n_links;         /* idle ones included */
  uint64_t idle_default_us; /* an idle connection is kept this long when the peer names no time */
  uint64_t connect_timeout_us;
  uint64_t unacked_timeout_us; /* the peer must acknowledge what it is sent within this time */
  uint64_t n_connects;
  /* Told of the head of each answer that comes from the address, to whatever call; may be NULL. */
  void (*heard) (void *owner, const MfHead *head, uint32_t status);
  /* Told when the host says that nothing listens at the address; may be NULL. */
  void (*refused) (void *owner);
  void *owner;
} MfLinkPool;

/* One request to send. All is copied. */
typedef struct
{
  const MfLinkUser *user;
  void *data;
  const char *head;
  size_t head_bytes;
  const char *body;
  size_t body_bytes;
  const char *echo_id;  /* answers that name another request are passed over; NULL: it has no id */
  uint64_t idle_max_us; /* a connection that was idle for longer is not used; 0: any */
  bool head_only;       /* a HEAD request */
  uint64_t timeout_us;  /* the whole exchange, once connected; 0: its user sees to it */
} MfLinkCall;

MfLink *mf_link_open (MfLinkPool *pool, const MfLinkUser *user, void *data);
MfLink *mf_link_start (MfLinkPool *pool, const MfLinkCall *call);
void mf_link_cancel (MfLink *link);
void mf_link_hold (MfLink *link, bool held);
bool mf_link_has_sent (const MfLink *link);
void mf_link_pool_close (MfLinkPool *pool);

#endif
