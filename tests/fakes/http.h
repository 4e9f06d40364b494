#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include "libmangofork/types.h"

#include <ev.h>

/* A small HTTP/1.1 server whose connections can be cut at will. One request at a time on a
 * connection; bodies need a Content-Length. */
typedef struct FakeHttp FakeHttp;
typedef struct FakeConn FakeConn;

/* Strings are borrowed for the duration of on_request and never NULL. */
typedef struct
{
  const char *method;
  const char *path;  /* without the query */
  const char *query; /* without the question mark */
  const char *request_id;
  const char *fence;
  const char *token;
  const char *body;
  size_t body_bytes;
} FakeHttpRequest;

typedef struct
{
  /* The connection is lent until its answer has ended or on_closed was called. */
  void (*on_request) (FakeConn *conn, const FakeHttpRequest *request, void *data);
  /* The other side left, or the server was stopped, before the answer had ended. */
  void (*on_closed) (FakeConn *conn, void *data);
} FakeHttpCallbacks;

FakeHttp *fake_http_new (struct ev_loop *loop, const char *address,
                         const FakeHttpCallbacks *callbacks, void *data);
void fake_http_free (FakeHttp *http);
/* Closes the port and resets every connection. */
void fake_http_stop (FakeHttp *http);
void fake_http_start (FakeHttp *http);
uint16_t fake_http_port (const FakeHttp *http);

void fake_conn_answer (FakeConn *conn, unsigned status, const char *headers, const char *body,
                       size_t body_bytes);
/* Streams: begin, any number of sends, end. */
void fake_conn_begin (FakeConn *conn);
void fake_conn_send (FakeConn *conn, const char *data, size_t data_bytes);
void fake_conn_end (FakeConn *conn);
/* Writes bytes as they are, for answers that break off. */
void fake_conn_send_raw (FakeConn *conn, const char *data, size_t data_bytes);
/* Closes the connection from the loop, by a reset or in order; on_closed is not called. */
void fake_conn_close (FakeConn *conn, bool reset);

/* Copies the value of a query's key; "" when it is not there. */
void fake_query_get (const char *query, const char *key, char *value, size_t value_bytes);

#endif
