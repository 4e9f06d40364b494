#ifndef MF_EVENT_H
#define MF_EVENT_H

#include "config.h"
#include "peer.h"

/* Everything that can happen to the core. Pointers in an event are borrowed for the duration of
 * mf_core_step. */
typedef enum
{
  MF_EVENT_TICK,           /* mf_core_next_us has come */
  MF_EVENT_REQUEST,        /* a caller's whole request has been read */
  MF_EVENT_DEPARTED,       /* the caller's connection is gone */
  MF_EVENT_CALL_SENT,      /* a byte of the call may have left for the upstream */
  MF_EVENT_CALL_PREFILLED, /* prefill: the KV waits to be imported */
  MF_EVENT_CALL_IMPORTED,  /* decode: the engine holds the KV */
  MF_EVENT_CALL_TOKENS,    /* decode: tokens, in order */
  MF_EVENT_CALL_DONE,      /* the upstream's whole answer has arrived */
  MF_EVENT_CALL_FAILED,    /* no whole answer will arrive */
  MF_EVENT_LOAD,           /* a load report of an upstream */
  MF_EVENT_CACHE,          /* cache events of an upstream */
  MF_EVENT_TEXT,           /* a revision of the operators' text, from the platform */
  MF_EVENT_LIST,           /* the published list of instances */
  MF_EVENT_PLATFORM_LOST,  /* a read of the platform failed; lost says which */
  MF_EVENT_PEER_UP,        /* an authenticated link to a peer */
  MF_EVENT_PEER_DOWN,
  MF_EVENT_PEER_MESSAGE,
  MF_EVENT_SHUTDOWN, /* the process was asked to end */
  MF_EVENT_COUNT,
} MfEventType;

/* A caller's request as the adapter read it. The adapter keeps the body and the answer's tokens
 * under request_id until the request ends. */
typedef struct
{
  uint64_t request_id; /* unique within this process; never 0 */
  const char *name;    /* the caller's X-Request-Id, or one made by the adapter */
  const char *model;   /* NULL for a plain call */
  const char *path;
  const char *method;
  bool has_api_key;
  uint8_t api_key_digest[MF_DIGEST_BYTES];
  bool stream;
  bool has_deadline;
  uint64_t deadline_us; /* from now */
  bool has_class;
  MfClass class_; /* asked for; may only lower the service's own */
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint64_t digest; /* of the body and model: the same request sent again has the same */
  uint64_t prefix_hashes[MF_PREFIX_HASHES_MAX]; /* of the prompt's first 1, 2, ... pieces */
  uint32_t n_prefix_hashes;
  bool has_key; /* an Idempotency-Key came with it */
  uint8_t key_digest[MF_DIGEST_BYTES];
  uint64_t key_minted_ms; /* wall clock, from a UUIDv7 key; 0 for an opaque key */
} MfRequestEvent;

typedef struct
{
  uint64_t call_id;
  uint64_t expires_us; /* prefilled: absolute, when the engine drops the KV */
  uint64_t kv_bytes;
  uint32_t first_index; /* tokens: index of the first one in the whole answer */
  uint32_t n_tokens;
  const char *data; /* tokens: text as JSON-escaped bytes; done: the body of a plain answer */
  size_t data_bytes;
  const char *content_type; /* done, plain */
  uint16_t status;          /* done */
  bool sent;                /* failed: whether a byte of the call may have reached the upstream */
  bool stopped;             /* done, decode: the engine reached the end of the answer */
  bool refused;             /* failed or done: the upstream said it has no room and ran nothing */
  bool leaving;             /* the upstream said it is leaving */
  bool connect_failed;      /* failed: no connection could be made */
  bool timed_out;           /* failed: the adapter's own time limit */
  bool too_large;           /* failed: the answer exceeded the limit */
} MfCallEvent;

/* A load report; measured_us says when it was true. */
typedef struct
{
  uint32_t upstream;
  uint64_t incarnation; /* the engine's own; changes when it restarts */
  uint64_t measured_us;
  uint32_t slots_total;
  uint32_t slots_used;
  uint32_t queued;
  uint32_t pieces_total;
  uint32_t pieces_free;
  uint64_t prefill_tokens_queued;
  bool leaving;
  MfRole role;
  char model[MF_NAME_BYTES];
  char adapter[MF_NAME_BYTES];
  char version[MF_NAME_BYTES];
  bool loading;        /* a model, adapter or version is being loaded */
  uint64_t fence_seen; /* highest fencing number it obeyed, 0 when it keeps none */
} MfLoadEvent;

/* Cache events first..first+n-1 of an upstream; a jump in first is a gap. */
typedef struct
{
  uint32_t upstream;
  uint64_t incarnation;
  uint64_t first;
  uint32_t n;
  const uint64_t *hashes; /* prefix hashes, n of them */
  const bool *stored;     /* true when stored, false when evicted */
} MfCacheEvent;

typedef struct
{
  uint64_t revision;
  const char *text;
  size_t text_bytes;
} MfTextEvent;

typedef struct
{
  uint64_t index;
  const MfListedInstance *listed;
  uint32_t n_listed;
} MfListEvent;

/* Which reads failed; neither set means both. */
typedef struct
{
  bool text;
  bool list;
} MfLostEvent;

/* A link that could not be made is reported as PEER_DOWN with link_id 0 and the peer's name. */
typedef struct
{
  uint32_t link_id;               /* given by the adapter; unique within this process */
  MfOwner peer;                   /* proved by the peer's key */
  char address[MF_ADDRESS_BYTES]; /* of its peer port */
  const MfPeerMessage *message;
} MfPeerEvent;

typedef struct
{
  MfEventType type;
  uint64_t now_us;  /* monotonic */
  uint64_t wall_ms; /* wall clock; may jump */
  union
  {
    MfRequestEvent request;
    uint64_t departed_id;
    MfCallEvent call;
    MfLoadEvent load;
    MfCacheEvent cache;
    MfTextEvent text;
    MfListEvent list;
    MfLostEvent lost;
    MfPeerEvent peer;
  };
} MfEvent;

#endif
