#ifndef MF_RELAY_LINK_H
#define MF_RELAY_LINK_H

#include "message.h"

#include <ev.h>

typedef struct MfLink MfLink;

/* How an HTTP exchange ended. */
typedef enum
{
  MF_LINK_COMPLETE,  /* the response is complete */
  MF_LINK_CLOSED,    /* the same, but its end is that of the connection, as that of a process */
  MF_LINK_UNREACHED, /* no byte of the request was sent */
  MF_LINK_BROKEN,    /* part of it was sent; the response is missing or incomplete */
} MfLinkEnd;

/* Callbacks of an exchange, never called from within mf_link_start. head and body may be NULL. */
typedef struct
{
  /* The head of the response has been read. */
  void (*head) (void *data, const MfHead *head, uint32_t status);
  void (*body) (void *data, const char *bytes, size_t n_bytes);
  /* The exchange has ended and the link must not be used any more. why is the cause, for
   * the log. */
  void (*end) (void *data, MfLinkEnd end, const char *why);
} MfLinkCallbacks;

/* The connections to one address, with those that are idle kept for reuse. */
typedef struct
{
  struct ev_loop *loop;
  const MfDialect *dialect;
  char address[MF_ADDRESS_BYTES];
  MfLink *idle; /* most recently used first */
  uint32_t n_idle;
  uint32_t n_idle_max;
  uint32_t n_links;         /* all connections, idle ones included */
  uint64_t idle_default_us; /* idle timeout for a peer that sends no Keep-Alive timeout */
  uint64_t connect_timeout_us;
  /* Sent data must be acknowledged within this time (TCP_USER_TIMEOUT). */
  uint64_t unacked_timeout_us;
  uint64_t n_connects;
  /* Called with the head of each response from the address, also of one that belongs to another
   * request; may be NULL. asked_us is when the request was started whose id the response repeats;
   * 0: it repeats none, or another. */
  void (*on_response) (void *owner, const MfHead *head, uint32_t status, uint64_t asked_us);
  /* Called when a connection is refused, as nothing listens at the address; may be NULL. */
  void (*refused) (void *owner);
  void *owner;
} MfLinkPool;

/* A request to send. The head and the id are copied, and the body unless it is kept. */
typedef struct
{
  const MfLinkCallbacks *callbacks;
  void *data;
  const char *head;
  size_t head_bytes;
  const char *body;
  size_t body_bytes;
  bool body_is_kept;    /* the body stays as it is until the exchange has ended */
  const char *echo_id;  /* its request id, which the response repeats; NULL: none */
  uint64_t idle_max_us; /* a connection that was idle for longer is not reused; 0: any is */
  bool head_only;       /* a HEAD request, whose response has no body */
  uint64_t timeout_us;  /* for the complete exchange, from the connection on; 0: none */
} MfLinkRequest;

MfLink *mf_link_open (MfLinkPool *pool, const MfLinkCallbacks *callbacks, void *data);
MfLink *mf_link_start (MfLinkPool *pool, const MfLinkRequest *request);
bool mf_link_copy_body (MfLink *link);
void mf_link_cancel (MfLink *link);
void mf_link_set_callbacks (MfLink *link, const MfLinkCallbacks *callbacks);
void mf_link_pause_reading (MfLink *link, bool paused);
bool mf_link_has_sent (const MfLink *link);
void mf_link_pool_close (MfLinkPool *pool);

#endif
