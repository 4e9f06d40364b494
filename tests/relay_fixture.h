#ifndef RELAY_FIXTURE_H
#define RELAY_FIXTURE_H

#include "libmangofork/relay/job.h"

#include "fakes/upstream.h"

#define RELAY_FIXTURE_N_UPSTREAMS 4
#define RELAY_FIXTURE_SEAL "X-Response-Seal: s\r\n"
#define RELAY_FIXTURE_STREAM_HEAD                                                                  \
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\n" RELAY_FIXTURE_SEAL                                      \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

/* Start of an upstream before or after all instances. */
#define RELAY_FIXTURE_STARTED_FIRST_MS 1
#define RELAY_FIXTURE_STARTED_LAST_MS UINT64_C (4102444800000)

/* Handles a request at an upstream. */
typedef void (*RelayFixtureHandler) (FakeUpstreamConn *conn, const char *text, const char *id);

typedef struct
{
  FakeUpstream *server;
  RelayFixtureHandler handler;
} RelayFixtureUpstream;

/* One instance with its listener and upstreams, on one event loop. */
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

/* Listens at a port of its own on the loopback address, which no test that has failed can have left
 * open. Routes by path prefix: /read/ (idempotent) and /order/
 * (non-idempotent) to the plain service "shop"; to the service "engines" the streams /llm/
 * (resumable) and /once/, and without streams /ask/ (idempotent) and /buy/ (non-idempotent). */
void relay_fixture_setup (RelayFixture *fixture, struct ev_loop *loop);
/* Returns the port of the fixture that was set up last. */
uint16_t relay_fixture_port (void);
/* Does not free the loop. */
void relay_fixture_teardown (RelayFixture *fixture);
/* Adds an upstream. Numbers 0 and 2 are in the instance's data centre and therefore preferred. */
void relay_fixture_add_upstream (RelayFixture *fixture, uint32_t index, MfRole role,
                                 RelayFixtureHandler handler);
/* Lists an upstream that does not belong to this fixture. */
void relay_fixture_list_upstream (RelayFixture *fixture, const char *id, MfRole role,
                                  const char *address);
/* The same with the version of its software; other upstreams have none. */
void relay_fixture_list_version (RelayFixture *fixture, const char *id, MfRole role,
                                 const char *address, const char *version);
/* Sets the start of the upstreams that are listed from now on: RELAY_FIXTURE_STARTED_FIRST_MS, or
 * RELAY_FIXTURE_STARTED_LAST_MS, which is the default. */
void relay_fixture_set_started (uint64_t ms);
/* Sends an answer. The functions after it are handlers for upstreams. */
void relay_fixture_answer (FakeUpstreamConn *conn, const char *id, const char *status,
                           const char *headers, const char *body);
void relay_fixture_decline (FakeUpstreamConn *conn, const char *text, const char *id);
/* Prefills the prompt, which a request must ask for; accepts calls that free KV. */
void relay_fixture_prefill (FakeUpstreamConn *conn, const char *text, const char *id);
void relay_fixture_stream_breaks (FakeUpstreamConn *conn, const char *text, const char *id);
void relay_fixture_stream_hangs (FakeUpstreamConn *conn, const char *text, const char *id);
uint32_t relay_fixture_n_requests (const RelayFixture *fixture, uint32_t index);

#endif
