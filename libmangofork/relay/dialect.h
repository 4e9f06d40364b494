#ifndef MF_RELAY_DIALECT_H
#define MF_RELAY_DIALECT_H

#include "libmangofork/buffer.h"
#include "libmangofork/types.h"

/* What a header means to the relay. The names that stand for these meanings on the wire belong to
 * the deployment's dialect. */
typedef enum
{
  MF_HEADER_REQUEST_ID,      /* names one try of a caller; upstreams echo it */
  MF_HEADER_RESPONSE_SEAL,   /* an upstream's mark on its own answers */
  MF_HEADER_NOT_RUN,         /* in an answer: the upstream did not run the request */
  MF_HEADER_LEAVING,         /* in an answer: the upstream is about to stop, unless "0" */
  MF_HEADER_DEADLINE,        /* milliseconds that are left for the answer */
  MF_HEADER_EXPECT_UPSTREAM, /* the only upstream process that may run the request */
  MF_HEADER_TOKEN_COUNT,     /* "prompt tokens,output tokens at most" */
  MF_HEADER_LENGTH_HINT,     /* tokens the caller expects of the answer */
  MF_HEADER_LAST_EVENT_ID,   /* a stream goes on after this event */
  MF_HEADER_STAGE,           /* asks for the prompt to be read only */
  MF_HEADER_KV_SOURCE,       /* engine memory the request goes on from */
  MF_HEADER_ENGINE_PRIORITY, /* rank of the request in an engine */
  MF_HEADER_ENGINE_CONTROL,  /* any other header by which only a router steers an engine */
  MF_HEADER_HOST,
  MF_HEADER_CONTENT_LENGTH,
  MF_HEADER_CONTENT_TYPE,
  MF_HEADER_CONTENT_ENCODING,
  MF_HEADER_KEEP_ALIVE,
  MF_HEADER_RETRY_AFTER, /* in a refusal: seconds, maybe with a fraction */
  MF_HEADER_EXPECT_CONTINUE,
  MF_HEADER_CONNECTION,
  MF_HEADER_HOP_BY_HOP, /* any other header that concerns one connection only */
  MF_HEADER_OTHER,
} MfHeaderId;

/* One name on the wire and what it means. */
typedef struct
{
  const char *name;
  MfHeaderId header;
} MfDialectHeader;

/* How an engine tells that it has read a prompt. */
typedef struct
{
  char handle[64]; /* names the memory at the engine */
  uint32_t tokens;
} MfPrefillAnswer;

/* The wire of one deployment: names of headers, and the forms of the calls that engines take. */
typedef struct
{
  const MfDialectHeader *headers; /* the first name of a meaning is the one that is written */
  uint32_t n_headers;
  const char *stage_prefill; /* value of MF_HEADER_STAGE that asks for the prompt only */
  const char *release_path;  /* a DELETE of this path and a handle frees it */
  /* Reads an engine's answer to a prefill; returns false when it names no handle. */
  bool (*read_prefill) (const char *body, size_t body_bytes, MfPrefillAnswer *answer);
  const char *order_path; /* takes orders to an engine, by POST */
  /* Writes the body of an order to work as a prefill or decode engine. Of two orders, an engine
   * that checks takes the one with the higher fence. */
  void (*write_stage_order) (MfRole role, const char *holder, uint64_t fence, MfBuffer *body);
} MfDialect;

MfHeaderId mf_dialect_header_id (const MfDialect *dialect, const char *name, size_t name_bytes);
const char *mf_dialect_header_name (const MfDialect *dialect, MfHeaderId header);

#endif
