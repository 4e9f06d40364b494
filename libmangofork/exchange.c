#include "exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Block size of a streamed answer in libmicrohttpd. */
#define STREAM_BLOCK_BYTES 16384

MfExchange *
mf_exchange_new (MfExchanges *set, struct MHD_Connection *connection, int fd, uint64_t id,
                 const char *uri)
{
  MfExchange *exchange = calloc (1, sizeof *exchange);

  if (exchange == NULL)
    return NULL;
  set->n_exchanges++;
  exchange->set = set;
  exchange->connection = connection;
  exchange->fd = fd;
  exchange->id = id;
  exchange->started_s = ev_now (set->loop);
  exchange->uri = strdup (uri);
  exchange->path = strndup (uri, strcspn (uri, "?"));
  if (exchange->uri != NULL && exchange->path != NULL)
    return exchange;
  mf_exchange_free (exchange);
  return NULL;
}

void
mf_exchange_resume (MfExchange *exchange)
{
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  MHD_resume_connection (exchange->connection);
  mf_httpd_schedule_run (exchange->set->httpd);
}

void
mf_exchange_suspend (MfExchange *exchange)
{
  exchange->suspended = true;
  MHD_suspend_connection (exchange->connection);
}

/* Removes the exchange from those in the core and frees what only a running request needs. */
static void
exchange_leave_core (MfExchange *exchange)
{
  if (!exchange->in_core)
    return;
  exchange->in_core = false;
  HASH_DEL (exchange->set->in_core, exchange);
  mf_buffer_clear (&exchange->body);
  mf_buffer_clear (&exchange->delivered);
}

void
mf_exchange_handle_departure (MfExchange *exchange)
{
  MfEvent event = { .type = MF_EVENT_DEPARTED, .departed_id = exchange->id };

  exchange->departed = true;
  if (!exchange->in_core)
    return;
  exchange_leave_core (exchange);
  if (!exchange->set->closing)
    exchange->set->hooks.on_event (&event, exchange->set->data);
}

void
mf_exchange_free (MfExchange *exchange)
{
  MfExchanges *set = exchange->set;

  exchange_leave_core (exchange);
  if (exchange->response != NULL)
    MHD_destroy_response (exchange->response);
  mf_buffer_clear (&exchange->body);
  mf_buffer_clear (&exchange->delivered);
  mf_buffer_clear (&exchange->out);
  free (exchange->uri);
  free (exchange->path);
  free (exchange);
  set->n_exchanges--;
}

MfExchange *
mf_exchange_find (const MfExchanges *set, uint64_t id)
{
  MfExchange *exchange;

  HASH_FIND (hh, set->in_core, &id, sizeof id, exchange);
  return exchange;
}

/* Pauses reading from the upstream when more than caller_buffer_bytes are unsent to the caller, and
 * resumes it once at most half of that is left. */
static void
exchange_apply_backpressure (MfExchange *exchange)
{
  MfExchanges *set = exchange->set;
  size_t unsent_bytes = mf_buffer_bytes (&exchange->out);
  bool paused = exchange->reading_paused ? unsent_bytes > set->options.caller_buffer_bytes / 2
                                         : unsent_bytes > set->options.caller_buffer_bytes;

  if (paused == exchange->reading_paused || exchange->call_id == 0 || !exchange->in_core)
    return;
  exchange->reading_paused = paused;
  set->hooks.on_pause_reading (exchange->call_id, paused, set->data);
}

/* Content reader of a streamed answer. Suspends the connection while there is nothing to send. */
static ssize_t
stream_read (void *cls, uint64_t offset, char *dst, size_t dst_bytes)
{
  MfExchange *exchange = cls;
  size_t n = mf_buffer_bytes (&exchange->out);

  (void)offset;
  if (exchange->departed || exchange->out.failed)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (n == 0 && exchange->ended)
    return exchange->truncated ? MHD_CONTENT_READER_END_WITH_ERROR
                               : MHD_CONTENT_READER_END_OF_STREAM;
  if (n == 0)
    {
      mf_exchange_suspend (exchange);
      return 0;
    }
  if (n > dst_bytes)
    n = dst_bytes;
  memcpy (dst, mf_buffer_data (&exchange->out), n);
  mf_buffer_consume (&exchange->out, n);
  exchange_apply_backpressure (exchange);
  return (ssize_t)n;
}

static void
header_add (MfExchange *exchange, const char *name, const char *value)
{
  if (value != NULL && value[0] != '\0')
    MHD_add_response_header (exchange->response, name, value);
}

static void
response_create_stream (MfExchange *exchange)
{
  exchange->streaming = true;
  exchange->status = MHD_HTTP_OK;
  exchange->response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                                          stream_read, exchange, NULL);
  if (exchange->response == NULL)
    {
      exchange->departed = true;
      return;
    }
  header_add (exchange, "Content-Type", "text/event-stream");
  header_add (exchange, "Cache-Control", "no-cache");
  header_add (exchange, "X-Request-Id", exchange->intake.name);
}

/* Creates a complete response. The body is copied. */
static void
response_create (MfExchange *exchange, uint16_t status, const char *content_type, const void *body,
                 size_t body_bytes)
{
  exchange->status = status;
  exchange->ended = true;
  exchange->response
      = MHD_create_response_from_buffer (body_bytes, (void *)body, MHD_RESPMEM_MUST_COPY);
  if (exchange->response == NULL)
    {
      exchange->departed = true;
      return;
    }
  header_add (exchange, "Content-Type", content_type);
  header_add (exchange, "X-Request-Id", exchange->intake.name);
}

/* Creates the response of a refusal: a problem document (RFC 9457) and its headers. */
static void
response_create_problem (MfExchange *exchange, const MfAnswerAction *refusal, const char *detail)
{
  const MfCodeInfo *info = mf_code_info (refusal->code);
  uint64_t retry_after_s = mf_answer_retry_after_s (refusal->retry_after_ms);
  MfBuffer body = { 0 };
  char number[24];

  mf_answer_problem (&body, refusal, exchange->intake.name, detail);
  response_create (exchange, refusal->status != 0 ? refusal->status : info->http_status,
                   "application/problem+json", mf_buffer_data (&body), mf_buffer_bytes (&body));
  mf_buffer_clear (&body);
  if (exchange->response == NULL)
    return;
  header_add (exchange, "Mangofork-Outcome", mf_outcome_name (refusal->outcome));
  snprintf (number, sizeof number, "%d", (int)info->code);
  header_add (exchange, "Mangofork-Code", number);
  snprintf (number, sizeof number, "%llu", (unsigned long long)retry_after_s);
  if (retry_after_s != 0)
    header_add (exchange, "Retry-After", number);
  if (refusal->code == MF_CODE_NO_CUSTOMER)
    header_add (exchange, "WWW-Authenticate", "Bearer");
}

void
mf_exchange_refuse (MfExchange *exchange, const MfError *error)
{
  MfAnswerAction refusal = { .code = error->code, .outcome = MF_OUTCOME_NOT_RUN };

  if (exchange->intake.name[0] == '\0')
    mf_name_set (exchange->intake.name, sizeof exchange->intake.name, exchange->generated_name);
  response_create_problem (exchange, &refusal, error->text);
  mf_buffer_clear (&exchange->body);
  exchange->set->hooks.on_refused (error->code, exchange->set->data);
}

/* MHD_NO makes libmicrohttpd close the connection. */
enum MHD_Result
mf_exchange_queue_response (MfExchange *exchange)
{
  struct MHD_Response *response = exchange->response;
  enum MHD_Result result;

  if (exchange->departed || response == NULL)
    return MHD_NO;
  exchange->response = NULL;
  result = MHD_queue_response (exchange->connection, exchange->status, response);
  MHD_destroy_response (response);
  return result;
}

/* Resumes the connection so that libmicrohttpd fetches new bytes or the response. Inside the access
 * handler the connection is not suspended yet. */
static void
exchange_wake_connection (MfExchange *exchange)
{
  if (!exchange->in_handler)
    mf_exchange_resume (exchange);
}

void
mf_exchange_submit (MfExchange *exchange)
{
  MfExchanges *set = exchange->set;
  MfEvent event = { .type = MF_EVENT_REQUEST, .request = exchange->intake.request };

  exchange->shape = (MfAnswerShape){
    .chat = exchange->intake.chat,
    .name = exchange->intake.name,
    .model = exchange->intake.model,
    .created_s = (uint64_t)ev_now (set->loop),
    .prompt_tokens = event.request.prompt_tokens,
    .max_tokens = event.request.max_tokens,
  };
  exchange->in_core = true;
  HASH_ADD (hh, set->in_core, id, sizeof exchange->id, exchange);
  set->hooks.on_event (&event, set->data);
}

/* The list comes from the configuration in force; the core takes no part. */
bool
mf_exchange_answer_models (MfExchange *exchange)
{
  MfBuffer body = { 0 };

  if (strcmp (exchange->path, "/v1/models") != 0 || strcmp (exchange->method, "GET") != 0)
    return false;
  mf_answer_models (&body, exchange->set->hooks.on_config (exchange->set->data));
  response_create (exchange, MHD_HTTP_OK, "application/json", mf_buffer_data (&body),
                   mf_buffer_bytes (&body));
  mf_buffer_clear (&body);
  return true;
}

/* Writes to the socket directly, because libmicrohttpd cannot queue a response while a body is
 * arriving. The connection cannot be used after that. */
void
mf_exchange_refuse_on_socket (MfExchange *exchange, MfCode code)
{
  const MfCodeInfo *info = mf_code_info (code);
  MfAnswerAction refusal = { .code = code, .outcome = MF_OUTCOME_NOT_RUN };
  MfBuffer body = { 0 };
  char head[256];
  int head_bytes;

  mf_answer_problem (&body, &refusal, exchange->generated_name, NULL);
  head_bytes = snprintf (head, sizeof head,
                         "HTTP/1.1 %u %s\r\nContent-Type: application/problem+json\r\n"
                         "Mangofork-Outcome: not-run\r\nMangofork-Code: %d\r\n"
                         "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                         info->http_status, info->name, (int)code, mf_buffer_bytes (&body));
  if (send (exchange->fd, head, (size_t)head_bytes, MSG_DONTWAIT | MSG_NOSIGNAL | MSG_MORE) > 0)
    send (exchange->fd, mf_buffer_data (&body), mf_buffer_bytes (&body),
          MSG_DONTWAIT | MSG_NOSIGNAL);
  mf_buffer_clear (&body);
  shutdown (exchange->fd, SHUT_RDWR);
  exchange->departed = true;
  exchange->set->hooks.on_refused (code, exchange->set->data);
}

static void
answer_tokens (MfExchange *exchange, const MfAnswerAction *answer)
{
  bool first = exchange->n_tokens == 0;

  exchange->n_tokens += answer->n_tokens;
  mf_buffer_add (&exchange->delivered, answer->data, answer->data_bytes);
  if (!exchange->intake.request.stream)
    return;
  mf_answer_chunk (&exchange->out, &exchange->shape, first, answer->data, answer->data_bytes);
  if (!exchange->streaming)
    response_create_stream (exchange);
  exchange_apply_backpressure (exchange);
}

static void
answer_end (MfExchange *exchange)
{
  MfBuffer body = { 0 };

  if (exchange->intake.request.stream)
    {
      mf_answer_chunk_end (&exchange->out, &exchange->shape, exchange->n_tokens);
      if (!exchange->streaming)
        response_create_stream (exchange);
      exchange->ended = true;
      return;
    }
  mf_answer_full (&body, &exchange->shape, mf_buffer_data (&exchange->delivered),
                  mf_buffer_bytes (&exchange->delivered), exchange->n_tokens);
  response_create (exchange, MHD_HTTP_OK, "application/json", mf_buffer_data (&body),
                   mf_buffer_bytes (&body));
  if (body.failed || exchange->delivered.failed)
    exchange->departed = true;
  mf_buffer_clear (&body);
}

static void
answer_plain (MfExchange *exchange, const MfAnswerAction *answer)
{
  response_create (exchange, answer->status, answer->content_type, answer->data,
                   answer->data_bytes);
  if (answer->replayed && exchange->response != NULL)
    header_add (exchange, "Mangofork-Replayed", "yes");
}

static void
answer_refuse (MfExchange *exchange, const MfAnswerAction *answer)
{
  if (!exchange->streaming)
    {
      response_create_problem (exchange, answer, NULL);
      return;
    }
  mf_answer_chunk_error (&exchange->out, answer, exchange->intake.name);
  exchange->ended = true;
  exchange->truncated = true;
}

void
mf_exchange_answer (MfExchange *exchange, const MfAction *action)
{
  if (exchange->ended)
    return;
  if (action->type == MF_ACTION_ANSWER_TOKENS)
    answer_tokens (exchange, &action->answer);
  else if (action->type == MF_ACTION_ANSWER_END)
    answer_end (exchange);
  else if (action->type == MF_ACTION_ANSWER_PLAIN)
    answer_plain (exchange, &action->answer);
  else
    answer_refuse (exchange, &action->answer);
  if (exchange->ended)
    exchange_leave_core (exchange);
  if (exchange->response != NULL || exchange->streaming || exchange->departed)
    exchange_wake_connection (exchange);
}
