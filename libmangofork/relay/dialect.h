#ifndef MF_RELAY_DIALECT_H
#define MF_RELAY_DIALECT_H

#include "libmangofork/buffer.h"
#include "libmangofork/types.h"

/* Headers that the relay knows. Their names on the wire are part of the deployment's dialect. */
typedef enum
{
  MF_HEADER_REQUEST_ID,      /* id of one attempt of a caller; upstreams echo it */
  MF_HEADER_RESPONSE_SEAL,   /* marks a response as written by the upstream itself */
  MF_HEADER_NOT_RUN,         /* in a response: the upstream did not run the request */
  MF_HEADER_LEAVING,         /* in a response: the upstream is shutting down, unless "0" */
  MF_HEADER_RATE_LIMIT,      /* in a response: requests a second that the upstream takes in total */
  MF_HEADER_DEADLINE,        /* milliseconds left for the response */
  MF_HEADER_EXPECT_UPSTREAM, /* id of the upstream process that is to run the request */
  MF_HEADER_TOKEN_COUNT,     /* "PROMPT,OUTPUT": tokens of the prompt, and of the output at most */
  MF_HEADER_PROMPT_PARTS,    /* "ID:TOKENS,ID:TOKENS": the parts of the prompt in order */
  MF_HEADER_LENGTH_HINT,     /* output tokens that the caller expects */
  MF_HEADER_LAST_EVENT_ID,   /* the stream goes on after this event */
  MF_HEADER_STREAM_BEGUN_AS, /* id of the caller's attempt that brought the stream's first event */
  MF_HEADER_STAGE,           /* requests a prefill only */
  MF_HEADER_KV_SOURCE,       /* KV of a prefill that a decode continues from */
  MF_HEADER_ENGINE_PRIORITY, /* priority of the request in an engine */
  MF_HEADER_ENGINE_CONTROL,  /* any other header for engines that only a router may send */
  MF_HEADER_API_KEY,         /* key of a customer; never forwarded */
  MF_HEADER_CUSTOMER,        /* name of the customer, written by the relay only */
  MF_HEADER_STORE_ERA,       /* in a response of the store: rises when it returns from a backup */
  MF_HEADER_HOST,
  MF_HEADER_CONTENT_LENGTH,
  MF_HEADER_CONTENT_TYPE,
  MF_HEADER_CONTENT_ENCODING,
  MF_HEADER_KEEP_ALIVE,
  MF_HEADER_RETRY_AFTER, /* seconds, which may have a fraction */
  MF_HEADER_EXPECT_CONTINUE,
  MF_HEADER_CONNECTION,
  MF_HEADER_HOP_BY_HOP, /* any other hop-by-hop header */
  MF_HEADER_OTHER,
} MfHeaderId;

typedef struct
{
  const char *name;
  MfHeaderId header;
} MfDialectHeader;

/* An engine's response to a prefill. */
typedef struct
{
  char handle[64]; /* names the KV at the engine */
  uint32_t tokens;
} MfPrefillAnswer;

/* Called with the hash of a part of prompts and the tokens that an engine holds of it. */
typedef void (*MfHeldPartFunc) (void *data, uint64_t part, uint64_t tokens);

/* The wire format of one deployment: header names and the requests that engines accept. */
typedef struct
{
  const MfDialectHeader *headers; /* the first entry of an id is used for sending */
  uint32_t n_headers;
  const char *stage_prefill; /* value of MF_HEADER_STAGE that requests a prefill only */
  const char *release_path;  /* DELETE of this path plus a KV handle frees the KV */
  /* Parses an engine's response to a prefill. Returns false when it has no handle. */
  bool (*read_prefill) (const char *body, size_t body_bytes, MfPrefillAnswer *answer);
  const char *held_parts_path; /* GET of this path tells which parts of prompts an engine holds */
  /* Parses the answer to that, and calls func with the hash of each part and the tokens held of it.
   * n_changes is set to the number of changes of what it holds since its start. Returns false when
   * it is malformed. */
  bool (*read_held_parts) (const char *body, size_t body_bytes, MfHeldPartFunc func, void *data,
                           uint64_t *n_changes);
  const char *held_changes_path; /* the same, plus a number, for the changes after that one */
  /* Calls func with each part that was added. */
  bool (*read_held_changes) (const char *body, size_t body_bytes, MfHeldPartFunc func, void *data);
  const char *order_path; /* orders to an engine are sent here by POST */
  /* Writes the body of an order to change to the prefill or decode role. An engine that checks
   * fences rejects an order whose fence is lower than that of an earlier one. */
  void (*write_stage_order) (MfRole role, const char *holder, uint64_t fence, MfBuffer *body);
} MfDialect;

MfHeaderId mf_dialect_header_id (const MfDialect *dialect, const char *name, size_t name_bytes);
const char *mf_dialect_header_name (const MfDialect *dialect, MfHeaderId header);

#endif
