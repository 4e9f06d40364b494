#ifndef MF_EXCHANGE_H
#define MF_EXCHANGE_H

#include "answer.h"
#include "http_in.h"
#include "httpd.h"
#include "intake.h"
#include "table.h"

/* Longest content type that is kept of a request. */
#define MF_CONTENT_TYPE_BYTES 128
#define MF_METHOD_BYTES 16

typedef struct MfExchange MfExchange;

/* The exchanges of one listening address. */
typedef struct
{
  struct ev_loop *loop;
  MfHttpInOptions options;
  MfHttpInHooks hooks;
  void *data;
  MfHttpd *httpd;
  MfExchange *in_core; /* those that the core knows, by id */
  uint32_t n_exchanges;
  bool closing; /* the core is not told any more */
} MfExchanges;

/* One request of a caller and its answer. */
struct MfExchange
{
  MfExchanges *set;
  struct MHD_Connection *connection;
  int fd;
  uint64_t id;
  double started_s;
  char *uri;  /* as sent */
  char *path; /* without the query */
  char method[MF_METHOD_BYTES];
  char content_type[MF_CONTENT_TYPE_BYTES];
  MfBuffer body;
  uint64_t declared_bytes; /* Content-Length */
  bool has_length;
  bool headers_seen;
  bool too_large;
  bool complete;   /* the request has arrived */
  bool in_core;    /* the core knows it and has not ended it */
  bool in_handler; /* the library is inside the access handler for it */
  bool suspended;
  bool departed;
  bool streaming;      /* a streamed answer has begun */
  bool ended;          /* the answer's last byte is in out */
  bool truncated;      /* the answer ends without being whole */
  bool reading_paused; /* the call that feeds it was told to pause */
  bool watched;
  uint64_t call_id; /* the call that feeds it; 0 for none */
  MfIntake intake;
  MfAnswerShape shape;
  char generated_name[MF_REQUEST_NAME_BYTES];
  MfBuffer out;       /* not yet taken by the library */
  MfBuffer delivered; /* the answer's text so far, JSON-escaped */
  uint32_t n_tokens;
  struct MHD_Response *response; /* to be queued once the library asks */
  uint16_t status;
  UT_hash_handle hh; /* by id, while given */
};

/* Begins an exchange when its request line has arrived; returns NULL when memory ran out. */
MfExchange *mf_exchange_new (MfExchanges *set, struct MHD_Connection *connection, int fd,
                             uint64_t id, const char *uri);
void mf_exchange_free (MfExchange *exchange);
/* Returns an exchange that the core knows, or NULL. */
MfExchange *mf_exchange_find (const MfExchanges *set, uint64_t id);

/* Gives the core a request that is whole. */
void mf_exchange_submit (MfExchange *exchange);
/* The caller has gone: tells the core when it knows the request. */
void mf_exchange_handle_departure (MfExchange *exchange);
/* Have the library leave the connection alone, and take it up again. */
void mf_exchange_suspend (MfExchange *exchange);
void mf_exchange_resume (MfExchange *exchange);

/* Makes the answer of a request that the core does not get. */
void mf_exchange_refuse (MfExchange *exchange, const MfError *error);
/* Answers a list of models; returns false when the request is for something else. */
bool mf_exchange_answer_models (MfExchange *exchange);
/* Carries out one of the core's answer actions. */
void mf_exchange_answer (MfExchange *exchange, const MfAction *action);
/* Hands the answer that was made to the library, or closes the connection when there is none. */
enum MHD_Result mf_exchange_queue_response (MfExchange *exchange);
/* Answers a request that will never be whole, and ends its connection. */
void mf_exchange_refuse_on_socket (MfExchange *exchange, MfCode code);

#endif
