#ifndef TOWN_H
#define TOWN_H

#include "libmangofork/relay/job.h"

#include "fakes/wire.h"

#define TOWN_N_UPSTREAMS 4
#define TOWN_SEAL "X-Response-Seal: s\r\n"
#define TOWN_STREAM_HEAD                                                                           \
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\n" TOWN_SEAL                                               \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

/* What an upstream does with each request. */
typedef void (*TownAct) (FakeWireConn *conn, const char *text, const char *id);

typedef struct
{
  FakeWire *wire;
  TownAct act;
} TownUpstream;

/* One instance's door and requests, and upstreams, on one loop. */
typedef struct
{
  struct ev_loop *loop;
  MfRelayLog *lines;
  int lines_fd;
  uint16_t port;
  MfJobs jobs;
  MfListener *door;
  TownUpstream upstreams[TOWN_N_UPSTREAMS];
  char got[8192];
} Town;

/* Opens the door at a port of the loopback address. Routes by their prefixes: /read/ and /order/ at
 * the plain service "shop", /llm/ and /once/ at the service "engines", the latter not resumable. */
void town_begin (Town *town, struct ev_loop *loop, uint16_t port);
/* The loop stays. */
void town_end (Town *town);
/* Adds an upstream; the first of a role is preferred as it stands in this data centre. */
void town_add (Town *town, uint32_t index, MfRole role, TownAct act);
/* Tells a town of an upstream that stands elsewhere. */
void town_know (Town *town, const char *id, MfRole role, const char *address);
/* Answers of upstreams. */
void town_answer (FakeWireConn *conn, const char *id, const char *status, const char *headers,
                  const char *body);
void town_decline (FakeWireConn *conn, const char *text, const char *id);
/* Reads the prompt, which a request must ask for; takes back its memory. */
void town_prefill (FakeWireConn *conn, const char *text, const char *id);
void town_stream_breaks (FakeWireConn *conn, const char *text, const char *id);
void town_stream_hangs (FakeWireConn *conn, const char *text, const char *id);
uint32_t town_n_requests (const Town *town, uint32_t index);

#endif
