#ifndef MF_EXCHANGE_H
#define MF_EXCHANGE_H

#include "answer.h"
#include "http_in.h"
#include "httpd.h"
#include "intake.h"
#include "table.h"

/* Buffer size for a request's content type; a longer one is cut. */
#define MF_CONTENT_TYPE_BYTES 128
#define MF_METHOD_BYTES 16

typedef struct MfExchange MfExchange;

/* All exchanges of one listening address. */
typedef struct
{
  struct ev_loop *loop;
  MfHttpInOptions options;
  MfHttpInHooks hooks;
  void *data;
  MfHttpd *httpd;
  MfExchange *in_core; /* those submitted to the core and not ended, by id */
  uint32_t n_exchanges;
  bool closing; /* shutting down: no more events for the core */
} MfExchanges;

/* One HTTP request of a caller and its answer. */
struct MfExchange
{
  MfExchanges *set;
  struct MHD_Connection *connection;
  int fd;
  uint64_t id;
  double started_s;
  char *uri;  /* as received, with the query */
  char *path; /* without the query */
  char method[MF_METHOD_BYTES];
  char content_type[MF_CONTENT_TYPE_BYTES];
  MfBuffer body;
  uint64_t declared_bytes; /* Content-Length */
  bool has_length;
  bool headers_seen;
  bool too_large;
  bool complete;   /* the whole request has been received */
  bool in_core;    /* submitted to the core, which has not ended it */
  bool in_handler; /* libmicrohttpd is inside its access handler */
  bool suspended;
  bool departed;       /* the caller has disconnected, or the connection is to be closed */
  bool streaming;      /* a streamed answer has started */
  bool ended;          /* the last byte of the answer is in out */
  bool truncated;      /* the answer ends before it is complete */
  bool reading_paused; /* reading from the upstream call is paused */
  bool watched;        /* its socket is in the epoll set */
  uint64_t call_id;    /* the upstream call that provides the answer; 0 for none */
  MfIntake intake;
  MfAnswerShape shape;
  char generated_name[MF_REQUEST_NAME_BYTES]; /* request id if the caller sent no X-Request-Id */
  MfBuffer out;                               /* not yet read by libmicrohttpd */
  MfBuffer delivered;                         /* text of the answer so far, JSON-escaped */
  uint32_t n_tokens;
  struct MHD_Response *response; /* queued when libmicrohttpd next calls */
  uint16_t status;
  UT_hash_handle hh; /* by id, while in_core */
};

/* Creates an exchange when the request line has arrived. Returns NULL when out of memory. */
MfExchange *mf_exchange_new (MfExchanges *set, struct MHD_Connection *connection, int fd,
                             uint64_t id, const char *uri);
void mf_exchange_free (MfExchange *exchange);
/* Returns an exchange that is in the core, or NULL. */
MfExchange *mf_exchange_find (const MfExchanges *set, uint64_t id);

/* Submits a complete request to the core. */
void mf_exchange_submit (MfExchange *exchange);
/* The caller has disconnected: sends MF_EVENT_DEPARTED if the request is in the core. */
void mf_exchange_handle_departure (MfExchange *exchange);
/* Suspend and resume the connection in libmicrohttpd. */
void mf_exchange_suspend (MfExchange *exchange);
void mf_exchange_resume (MfExchange *exchange);

/* Creates the error answer of a request that is not submitted to the core. */
void mf_exchange_refuse (MfExchange *exchange, const MfError *error);
/* Answers a request for the list of models. Returns false for any other request. */
bool mf_exchange_answer_models (MfExchange *exchange);
/* Executes one of the core's MF_ACTION_ANSWER_ actions. */
void mf_exchange_answer (MfExchange *exchange, const MfAction *action);
/* Queues the created response in libmicrohttpd, or closes the connection when there is none. */
enum MHD_Result mf_exchange_queue_response (MfExchange *exchange);
/* Answers a request that will never be complete, directly on the socket, and closes the
 * connection. */
void mf_exchange_refuse_on_socket (MfExchange *exchange, MfCode code);

#endif
