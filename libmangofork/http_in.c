#include "http_in.h"

#include "exchange.h"
#include "header.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include "table.h"
#include <utlist.h>

/* A connection on which nothing is sent or received for this long is closed. */
#define IDLE_TIMEOUT_S 60
/* Memory of a connection in addition to the limit on its headers. */
#define CONNECTION_MEMORY_BYTES_EXTRA 8192
/* Events read from the epoll descriptor at once. */
#define WATCH_EVENTS_MAX 64

typedef struct Connection Connection;

/* State of a caller's connection. */
struct Connection
{
  int fd;
  double idle_since_s;
  MfExchange *exchange; /* NULL between requests */
  Connection *prev;
  Connection *next;
};

struct MfHttpIn
{
  MfExchanges exchanges;
  Connection *connections;
  uint64_t last_id;
  uint64_t name_prefix; /* random; starts each generated request id */
  int watch_fd;         /* epoll descriptor for hang-ups of callers during a request */
  ev_io watch;
  ev_timer sweep; /* periodic search for slow requests and idle connections */
};

static const char *
header_get (const MfExchange *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection, MHD_HEADER_KIND, name);
}

/* Watches the socket for a hang-up of the caller. libmicrohttpd does not watch a suspended
 * connection. */
static void
exchange_watch (MfHttpIn *in, MfExchange *exchange)
{
  struct epoll_event event = { .events = EPOLLRDHUP | EPOLLET, .data.ptr = exchange };

  exchange->watched = epoll_ctl (in->watch_fd, EPOLL_CTL_ADD, exchange->fd, &event) == 0;
}

/* What is checked over all headers of a request. */
typedef struct
{
  uint32_t n_content_lengths;
  uint32_t n_transfer_encodings;
  uint32_t n_idempotency_keys;
  uint32_t n_hosts;
  const char *content_length;
  bool length_conflict; /* several Content-Length with different values */
  bool name_invalid;    /* a header name with a character that RFC 9110 does not allow */
} HeaderSummary;

static enum MHD_Result
header_summarize (void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
  HeaderSummary *summary = cls;

  (void)kind;
  if (strcasecmp (name, "Content-Length") == 0)
    {
      summary->n_content_lengths++;
      if (summary->content_length != NULL
          && (value == NULL || strcmp (summary->content_length, value) != 0))
        summary->length_conflict = true;
      summary->content_length = value;
    }
  else if (strcasecmp (name, "Transfer-Encoding") == 0)
    summary->n_transfer_encodings++;
  else if (strcasecmp (name, "Idempotency-Key") == 0)
    summary->n_idempotency_keys++;
  else if (strcasecmp (name, "Host") == 0)
    summary->n_hosts++;
  summary->name_invalid = summary->name_invalid || !mf_header_name_is_valid (name, strlen (name));
  return MHD_YES;
}

/* Checks the headers and the announced length before the body is read. */
static bool
headers_check (MfExchange *exchange, MfError *error)
{
  const MfHttpInOptions *options = &exchange->set->options;
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (exchange->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  HeaderSummary summary = { 0 };

  MHD_get_connection_values (exchange->connection, MHD_HEADER_KIND, header_summarize, &summary);
  if (info != NULL && info->header_size > options->header_bytes_max)
    mf_error_set (error, MF_CODE_HEADERS_TOO_LARGE, "request headers exceed the size limit");
  else if (summary.name_invalid)
    mf_error_set (error, MF_CODE_BAD_HEADER, "a header name contains an invalid character");
  else if (summary.n_hosts != 1)
    mf_error_set (error, MF_CODE_BAD_HEADER, "header Host is missing or repeated");
  else if (summary.length_conflict || summary.n_transfer_encodings > 1
           || (summary.n_content_lengths > 0 && summary.n_transfer_encodings > 0))
    mf_error_set (error, MF_CODE_BAD_LENGTH,
                  "conflicting Content-Length or Transfer-Encoding headers");
  else if (summary.n_idempotency_keys > 1)
    mf_error_set (error, MF_CODE_KEY_BAD, "header Idempotency-Key is repeated");
  exchange->has_length = summary.content_length != NULL;
  if (exchange->has_length)
    exchange->declared_bytes = strtoull (summary.content_length, NULL, 10);
  if (exchange->declared_bytes > options->body_bytes_max)
    mf_error_set (error, MF_CODE_BODY_TOO_LARGE, "the body exceeds %llu bytes",
                  (unsigned long long)options->body_bytes_max);
  return !mf_error_is_set (error);
}

/* Handles complete headers, on the first call of the access handler. */
static enum MHD_Result
exchange_handle_headers (MfHttpIn *in, MfExchange *exchange, const char *method)
{
  const char *content_type = header_get (exchange, "Content-Type");
  MfError error = { 0 };

  exchange->headers_seen = true;
  mf_name_set (exchange->method, sizeof exchange->method, method);
  mf_name_set (exchange->content_type, sizeof exchange->content_type,
               content_type == NULL ? "" : content_type);
  exchange_watch (in, exchange);
  if (headers_check (exchange, &error))
    return MHD_YES;
  mf_exchange_refuse (exchange, &error);
  /* The body is not read, so where the next request starts is unknown. */
  if (exchange->response != NULL)
    MHD_add_response_header (exchange->response, MHD_HTTP_HEADER_CONNECTION, "close");
  return mf_exchange_queue_response (exchange);
}

/* Appends a part of the body. A body over the limit is read to its end but not kept. */
static void
exchange_append_body (MfExchange *exchange, const char *data, size_t *data_bytes)
{
  if (mf_buffer_bytes (&exchange->body) + *data_bytes > exchange->set->options.body_bytes_max)
    {
      exchange->too_large = true;
      mf_buffer_clear (&exchange->body);
    }
  if (!exchange->too_large)
    mf_buffer_add (&exchange->body, data, *data_bytes);
  *data_bytes = 0;
}

/* Parses and checks the complete request. */
static bool
exchange_parse (MfExchange *exchange, MfError *error)
{
  const char *name = header_get (exchange, "X-Request-Id");
  const MfIntakeSource source = {
    .method = exchange->method,
    .path = exchange->path,
    .content_type = exchange->content_type,
    .authorization = header_get (exchange, "Authorization"),
    .idempotency_key = header_get (exchange, "Idempotency-Key"),
    .request_name = name != NULL ? name : exchange->generated_name,
    .deadline_ms = header_get (exchange, "Mangofork-Deadline-Ms"),
    .class_ = header_get (exchange, "Mangofork-Class"),
    .body = mf_buffer_data (&exchange->body),
    .body_bytes = mf_buffer_bytes (&exchange->body),
  };

  if (exchange->too_large)
    mf_error_set (error, MF_CODE_BODY_TOO_LARGE, "the body exceeds %llu bytes",
                  (unsigned long long)exchange->set->options.body_bytes_max);
  else if (exchange->body.failed)
    mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory for the request body");
  return !mf_error_is_set (error)
         && mf_intake_read (&source, exchange->id, &exchange->intake, error);
}

/* Handles a complete request: answers it, or submits it to the core and suspends the connection
 * until the core answers. */
static enum MHD_Result
exchange_handle_complete (MfExchange *exchange)
{
  MfError error = { 0 };

  exchange->complete = true;
  exchange->in_handler = true;
  if (!exchange_parse (exchange, &error))
    mf_exchange_refuse (exchange, &error);
  else if (!mf_exchange_answer_models (exchange))
    mf_exchange_submit (exchange);
  exchange->in_handler = false;
  if (exchange->response != NULL || exchange->departed)
    return mf_exchange_queue_response (exchange);
  mf_exchange_suspend (exchange);
  return MHD_YES;
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *connection, const char *url, const char *method,
           const char *version, const char *upload_data, size_t *upload_data_bytes,
           void **request_cls)
{
  MfExchange *exchange = *request_cls;

  (void)url;
  (void)version;
  (void)connection;
  if (exchange == NULL)
    return MHD_NO;
  if (!exchange->headers_seen)
    return exchange_handle_headers (cls, exchange, method);
  if (*upload_data_bytes > 0)
    {
      exchange_append_body (exchange, upload_data, upload_data_bytes);
      return MHD_YES;
    }
  if (!exchange->complete)
    return exchange_handle_complete (exchange);
  return mf_exchange_queue_response (exchange);
}

/* Returns the state kept for a connection, or NULL if it could not be allocated. */
static Connection *
connection_state (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info == NULL ? NULL : info->socket_context;
}

/* Creates the exchange when the request line has arrived. libmicrohttpd passes it to the later
 * callbacks as request_cls. */
static void *
on_uri (void *cls, const char *uri, struct MHD_Connection *connection)
{
  MfHttpIn *in = cls;
  Connection *conn = connection_state (connection);
  MfExchange *exchange;

  if (conn == NULL)
    return NULL;
  exchange = mf_exchange_new (&in->exchanges, connection, conn->fd, ++in->last_id, uri);
  if (exchange == NULL)
    return NULL;
  snprintf (exchange->generated_name, sizeof exchange->generated_name, "%016llx-%llu",
            (unsigned long long)in->name_prefix, (unsigned long long)exchange->id);
  conn->exchange = exchange;
  return exchange;
}

static void
on_completed (void *cls, struct MHD_Connection *connection, void **request_cls,
              enum MHD_RequestTerminationCode code)
{
  MfHttpIn *in = cls;
  MfExchange *exchange = *request_cls;
  Connection *conn = connection_state (connection);

  (void)code;
  if (exchange == NULL)
    return;
  *request_cls = NULL;
  if (conn != NULL)
    {
      conn->exchange = NULL;
      conn->idle_since_s = ev_now (in->exchanges.loop);
    }
  if (exchange->watched)
    epoll_ctl (in->watch_fd, EPOLL_CTL_DEL, exchange->fd, NULL);
  mf_exchange_handle_departure (exchange);
  mf_exchange_free (exchange);
}

static void
on_connection (void *cls, struct MHD_Connection *connection, void **socket_context,
               enum MHD_ConnectionNotificationCode code)
{
  MfHttpIn *in = cls;
  Connection *conn = *socket_context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      conn = calloc (1, sizeof *conn);
      *socket_context = conn;
      if (conn == NULL)
        return;
      conn->fd
          = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
      conn->idle_since_s = ev_now (in->exchanges.loop);
      DL_APPEND (in->connections, conn);
      return;
    }
  if (conn == NULL)
    return;
  DL_DELETE (in->connections, conn);
  free (conn);
  *socket_context = NULL;
}

/* The caller has closed its side of the connection. What it sent before may still be unread in the
 * socket, so an incomplete request is refused only when the rest of it cannot arrive any more. */
static void
exchange_handle_hangup (MfExchange *exchange)
{
  int unread_bytes = 0;

  if (exchange->departed || exchange->ended)
    return;
  if (!exchange->complete)
    {
      uint64_t received_bytes = mf_buffer_bytes (&exchange->body);

      ioctl (exchange->fd, FIONREAD, &unread_bytes);
      received_bytes += (uint64_t)unread_bytes;
      if (exchange->has_length ? received_bytes < exchange->declared_bytes : unread_bytes == 0)
        mf_exchange_refuse_on_socket (exchange, MF_CODE_BODY_TRUNCATED);
      return;
    }
  shutdown (exchange->fd, SHUT_RDWR);
  mf_exchange_handle_departure (exchange);
  mf_exchange_resume (exchange);
}

static void
watch_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  MfHttpIn *in = watcher->data;
  struct epoll_event ready[WATCH_EVENTS_MAX];
  int n = epoll_wait (in->watch_fd, ready, WATCH_EVENTS_MAX, 0);

  (void)loop;
  (void)events;
  for (int i = 0; i < n; i++)
    exchange_handle_hangup (ready[i].data.ptr);
}

/* Refuses requests that take longer than slow_sender_us to arrive, and closes connections on which
 * no request line has arrived for IDLE_TIMEOUT_S: a client that sends a byte now and then does not
 * run into the idle time-out of libmicrohttpd. */
static void
sweep_due (struct ev_loop *loop, ev_timer *watcher, int events)
{
  MfHttpIn *in = watcher->data;
  double now_s = ev_now (loop);
  double limit_s = (double)in->exchanges.options.slow_sender_us / (double)MF_US_PER_S;
  Connection *conn;

  (void)events;
  DL_FOREACH (in->connections, conn)
  {
    MfExchange *exchange = conn->exchange;

    if (exchange == NULL && now_s - conn->idle_since_s > IDLE_TIMEOUT_S)
      shutdown (conn->fd, SHUT_RDWR);
    if (exchange != NULL && !exchange->complete && !exchange->ended && !exchange->departed
        && now_s - exchange->started_s > limit_s)
      mf_exchange_refuse_on_socket (exchange, MF_CODE_SLOW_SENDER);
  }
}

static bool
watch_open (MfHttpIn *in, MfError *error)
{
  double period_s = (double)in->exchanges.options.slow_sender_us / (double)MF_US_PER_S / 4;

  in->watch_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (in->watch_fd < 0)
    {
      mf_error_set (error, MF_CODE_LISTEN, "cannot create an epoll descriptor: %s",
                    strerror (errno));
      return false;
    }
  ev_io_init (&in->watch, watch_ready, in->watch_fd, EV_READ);
  in->watch.data = in;
  ev_set_priority (&in->watch, EV_MAXPRI);
  ev_io_start (in->exchanges.loop, &in->watch);
  ev_timer_init (&in->sweep, sweep_due, period_s, period_s);
  in->sweep.data = in;
  ev_timer_start (in->exchanges.loop, &in->sweep);
  return true;
}

/* Starts to listen for callers. Returns a handle owned by the caller of this function, or NULL with
 * error set. */
MfHttpIn *
mf_http_in_new (struct ev_loop *loop, const MfHttpInOptions *options, const MfHttpInHooks *hooks,
                void *data, MfError *error)
{
  MfHttpIn *in = calloc (1, sizeof *in);

  if (in == NULL)
    {
      mf_error_set (error, MF_CODE_NO_MEMORY, "out of memory for the HTTP server");
      return NULL;
    }
  in->exchanges.loop = loop;
  in->exchanges.options = *options;
  in->exchanges.hooks = *hooks;
  in->exchanges.data = data;
  randombytes_buf (&in->name_prefix, sizeof in->name_prefix);
  if (watch_open (in, error))
    {
      const MfHttpdOptions httpd = {
        .address = options->listen,
        .connections_max = options->connections_max,
        .connections_per_address_max = options->connections_per_address_max,
        .idle_timeout_s = IDLE_TIMEOUT_S,
        .connection_memory_bytes = options->header_bytes_max + CONNECTION_MEMORY_BYTES_EXTRA,
        .on_access = on_access,
        .on_uri = on_uri,
        .on_completed = on_completed,
        .on_connection = on_connection,
        .data = in,
      };

      in->exchanges.httpd = mf_httpd_new (loop, &httpd, error);
    }
  if (in->exchanges.httpd != NULL)
    return in;
  mf_http_in_free (in);
  return NULL;
}

void
mf_http_in_free (MfHttpIn *in)
{
  Connection *conn;

  if (in == NULL)
    return;
  in->exchanges.closing = true;
  DL_FOREACH (in->connections, conn)
  {
    if (conn->exchange == NULL)
      continue;
    conn->exchange->departed = true;
    mf_exchange_resume (conn->exchange);
  }
  mf_httpd_free (in->exchanges.httpd);
  if (in->watch_fd >= 0)
    {
      ev_io_stop (in->exchanges.loop, &in->watch);
      ev_timer_stop (in->exchanges.loop, &in->sweep);
      close (in->watch_fd);
    }
  free (in);
}

uint16_t
mf_http_in_port (const MfHttpIn *in)
{
  return mf_httpd_port (in->exchanges.httpd);
}

uint32_t
mf_http_in_count (const MfHttpIn *in)
{
  return in->exchanges.n_exchanges;
}

void
mf_http_in_answer (MfHttpIn *in, const MfAction *action)
{
  MfExchange *exchange = mf_exchange_find (&in->exchanges, action->answer.request_id);

  if (exchange != NULL)
    mf_exchange_answer (exchange, action);
}

void
mf_http_in_set_call (MfHttpIn *in, uint64_t request_id, uint64_t call_id)
{
  MfExchange *exchange = mf_exchange_find (&in->exchanges, request_id);

  if (exchange == NULL)
    return;
  exchange->call_id = call_id;
  if (exchange->reading_paused)
    in->exchanges.hooks.on_pause_reading (call_id, true, in->exchanges.data);
}

bool
mf_http_in_call_input (const MfHttpIn *in, uint64_t request_id, MfCallInput *input)
{
  const MfExchange *exchange = mf_exchange_find (&in->exchanges, request_id);

  if (exchange == NULL)
    return false;
  *input = (MfCallInput){
    .name = exchange->intake.name,
    .body = mf_buffer_data (&exchange->body),
    .body_bytes = mf_buffer_bytes (&exchange->body),
    .method = exchange->method,
    .path = exchange->uri,
    .content_type = exchange->content_type,
    .delivered = mf_buffer_data (&exchange->delivered),
    .delivered_bytes = mf_buffer_bytes (&exchange->delivered),
  };
  return true;
}
