#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include "libmangofork/types.h"

#include <ev.h>

/* A minimal HTTP/1.1 server whose connections can be closed or reset at any point. It handles one
 * request at a time on each connection; request bodies need a Content-Length. */
typedef struct FakeHttp FakeHttp;
typedef struct FakeConn FakeConn;

/* The strings are valid during on_request only and are never NULL. */
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
  /* The connection may be used until its answer has ended or on_closed has been called. */
  void (*on_request) (FakeConn *conn, const FakeHttpRequest *request, void *data);
  /* The client closed the connection, or the server was stopped, before the answer had ended. */
  void (*on_closed) (FakeConn *conn, void *data);
} FakeHttpCallbacks;

FakeHttp *fake_http_new (struct ev_loop *loop, const char *address,
                         const FakeHttpCallbacks *callbacks, void *data);
void fake_http_free (FakeHttp *http);
/* Closes the port and resets every connection. */
void fake_http_stop (FakeHttp *http);
void fake_http_start (FakeHttp *http);
/* Limits what each connection sends, as a slow link does; 0: no limit. */
void fake_http_set_rate (FakeHttp *http, uint64_t bytes_per_s);
uint16_t fake_http_port (const FakeHttp *http);

void fake_conn_answer (FakeConn *conn, unsigned status, const char *headers, const char *body,
                       size_t body_bytes);
/* A streamed answer: one begin, any number of sends, one end. */
void fake_conn_begin (FakeConn *conn);
void fake_conn_send (FakeConn *conn, const char *data, size_t data_bytes);
void fake_conn_end (FakeConn *conn);
/* Sends bytes without HTTP framing, for truncated answers. */
void fake_conn_send_raw (FakeConn *conn, const char *data, size_t data_bytes);
/* Closes the connection, with a TCP reset or in order, when the event loop next runs. on_closed is
 * not called. */
void fake_conn_close (FakeConn *conn, bool reset);

/* Copies the value of a key of a query string; "" if the key is absent. */
void fake_query_get (const char *query, const char *key, char *value, size_t value_bytes);

#endif
