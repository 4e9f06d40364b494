#ifndef RELAY_FIXTURE_H
#define RELAY_FIXTURE_H

#include "libmangofork/relay/job.h"

#include "fakes/wire.h"

#define RELAY_FIXTURE_N_UPSTREAMS 4
#define RELAY_FIXTURE_SEAL "X-Response-Seal: s\r\n"
#define RELAY_FIXTURE_STREAM_HEAD                                                                  \
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\n" RELAY_FIXTURE_SEAL                                      \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

/* What an upstream does with each request. */
typedef void (*RelayFixtureHandler) (FakeWireConn *conn, const char *text, const char *id);

typedef struct
{
  FakeWire *wire;
  RelayFixtureHandler handler;
} RelayFixtureUpstream;

/* One instance's door and requests, and upstreams, on one loop. */
typedef struct
{
  struct ev_loop *loop;
  MfRelayLog *log;
  int log_fd;
  uint16_t port;
  MfJobs jobs;
  MfListener *listener;
  RelayFixtureUpstream upstreams[RELAY_FIXTURE_N_UPSTREAMS];
  char received[8192];
} RelayFixture;

/* Opens the door at a port of the loopback address. Routes by their prefixes: /read/ and /order/ at
 * the plain service "shop", /llm/ and /once/ at the service "engines", the latter not resumable. */
void relay_fixture_setup (RelayFixture *fixture, struct ev_loop *loop, uint16_t port);
/* The loop stays. */
void relay_fixture_teardown (RelayFixture *fixture);
/* Adds an upstream; the first of a role is preferred as it stands in this data centre. */
void relay_fixture_add_upstream (RelayFixture *fixture, uint32_t index, MfRole role,
                                 RelayFixtureHandler handler);
/* Tells a town of an upstream that stands elsewhere. */
void relay_fixture_list_upstream (RelayFixture *fixture, const char *id, MfRole role,
                                  const char *address);
/* Answers of upstreams. */
void relay_fixture_answer (FakeWireConn *conn, const char *id, const char *status,
                           const char *headers, const char *body);
void relay_fixture_decline (FakeWireConn *conn, const char *text, const char *id);
/* Reads the prompt, which a request must ask for; takes back its memory. */
void relay_fixture_prefill (FakeWireConn *conn, const char *text, const char *id);
void relay_fixture_stream_breaks (FakeWireConn *conn, const char *text, const char *id);
void relay_fixture_stream_hangs (FakeWireConn *conn, const char *text, const char *id);
uint32_t relay_fixture_n_requests (const RelayFixture *fixture, uint32_t index);

#endif
