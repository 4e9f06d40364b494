#ifndef FAKE_OFFLINE_H
#define FAKE_OFFLINE_H

#include "libmangofork/relay/caller.h"
#include "libmangofork/relay/link.h"
#include "libmangofork/relay/peers.h"

/* The clock, the links to upstreams, the callers and the other instances, linked in place of the
 * real ones. Nothing happens by itself: a test plays each event, without a network. */

/* Queries to other instances that are kept, the latest ones. */
#define OFFLINE_QUERIES_MAX 64

/* An exchange with an upstream, or a probe of it. */
struct MfLink
{
  MfLink *next;
  MfLinkPool *pool;
  const MfLinkCallbacks *callbacks;
  void *data;
  MfMessage message;
  char head[2048]; /* of the request; "": a probe */
  char id[64];     /* of the request */
  bool has_sent;
  bool in_callback;
  bool cancelled;
  bool has_answered;   /* a head has been received */
  uint32_t last_event; /* that the upstream has sent, or that the request names */
};

/* A caller with its request, and what it has received. */
struct MfCaller
{
  MfCaller *next;
  MfMessage message;
  MfBuffer body;
  void *job;
  char id[64];
  uint64_t started_us;
  uint32_t n_heads;
  uint32_t status;
  MfBuffer events; /* of a stream */
  bool has_ended;  /* its response is complete */
  bool is_gone;    /* it, or this side, has disconnected */
  bool is_misused; /* something was sent after that */
  /* For the test: runs of its request that an upstream may have executed, and the last event that
   * it had when it came. */
  uint32_t n_runs;
  uint32_t after_event;
};

typedef struct
{
  MfRelayMessageKind kind;
  uint64_t id;
  uint64_t peer;
  uint64_t key; /* of a quota or a rate */
  uint32_t n_units;
} OfflineQuery;

struct MfPeers
{
  uint64_t leader;
  uint64_t allocator;
  bool is_cut; /* messages cannot be sent */
  OfflineQuery queries[OFFLINE_QUERIES_MAX];
  uint32_t n_queries;   /* made since the start */
  uint32_t n_withdrawn; /* slot requests that were taken back */
  uint32_t n_returned;  /* retries that were returned */
  MfRetryRequest retry; /* of the latest message about a retry */
};

void offline_begin (void);
/* Frees all callers. Links must have been cancelled. */
void offline_end (void);
void offline_advance (uint64_t us);

/* The open exchanges and all callers, latest first. */
MfLink *offline_links (void);
MfCaller *offline_callers (void);
/* An upstream sends a part of its answer; the link may have been freed on return. */
void offline_link_receive (MfLink *link, const char *text);
void offline_link_end (MfLink *link, MfLinkEnd end);
/* A caller sends a request without a body. */
MfCaller *offline_call (const MfListenerCallbacks *callbacks, void *data, const char *id,
                        uint32_t after_event, const char *text);
void offline_caller_leave (MfCaller *caller, const MfListenerCallbacks *callbacks, void *data);

#endif
